package balance

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/notice"
	"baywall.example/core/ratelimit"
)

// fixedLimits are limits by key, with the times at which they open.
type fixedLimits map[ratelimit.Key]struct {
	opens     time.Time
	perSecond float64
}

func (l fixedLimits) Limited() int { return len(l) }

func (l fixedLimits) Opens(server ratelimit.Key) (time.Time, ratelimit.KnownLimit, bool) {
	one, limited := l[server]
	return one.opens, ratelimit.KnownLimit{Observation: ratelimit.Observation{Server: server, Limit: one.perSecond, Limited: limited}}, limited
}

// limitedRegistry returns a registry with one server per wait, which is the time until
// its limit opens; a server with a negative wait has no limit.
func limitedRegistry(waits ...time.Duration) (*Registry, map[string]time.Duration) {
	r := NewRegistry(peerLoad{}, "", zerolog.Nop())
	limits := fixedLimits{}
	byID := make(map[string]time.Duration)
	var list []Info
	for i, wait := range waits {
		info := infos(string(rune('a' + i)))[0]
		list = append(list, info)
		byID[info.ID] = wait
		if wait >= 0 {
			limits[newServer(info, &notice.State{}).Limit()] = struct {
				opens     time.Time
				perSecond float64
			}{start.Add(wait), 2}
		}
	}
	r.LimitBy(limits)
	r.Update(list, at(1), 0, start)
	return r, byID
}

const none = time.Duration(-1)

func TestAServerAtItsLimitIsLeftOut(t *testing.T) {
	cases := []struct {
		name   string
		waits  []time.Duration // until each server may get a request
		demand Demand
		found  Availability
		want   string // ids of the servers that may be picked
	}{
		{"others are there", []time.Duration{time.Second, none, none}, Demand{}, Available, "bc"},
		{"a permit may be there", []time.Duration{0, time.Second}, Demand{}, Available, "a"},
		{"all are at their limits", []time.Duration{time.Second, time.Second}, Demand{}, Limited, ""},
		{"a second attempt, others are there", []time.Duration{0, none}, Demand{PreferUnlimited: true}, Available, "b"},
		{"a second attempt, no others", []time.Duration{0, time.Second}, Demand{PreferUnlimited: true}, Available, "a"},
		{"never to a limited one", []time.Duration{0, 0}, Demand{Unlimited: true}, Limited, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, _ := limitedRegistry(c.waits...)
			c.demand.Service = "s"
			picked := make(map[string]bool)
			for range 50 {
				choice, found := r.Pick(c.demand, start)
				is.Equal(found, c.found)
				if found == Available {
					picked[choice.Server.ID] = true
				}
			}
			is.Equal(len(picked), len(c.want))
			for _, id := range c.want {
				is.True(picked[string(id)])
			}
			for _, s := range r.shard("s").servers {
				is.True(s.usable(start)) // neither rejecting nor ejected
			}
		})
	}
}

func TestPermitsOfAService(t *testing.T) {
	is := is.New(t)
	r, _ := limitedRegistry(2*time.Second, time.Second)
	is.Equal(r.Permits("s", start), Permits{Next: time.Second, PerSecond: 4})
	r, _ = limitedRegistry(2*time.Second, 0)
	is.Equal(r.Permits("s", start), Permits{Open: 1, PerSecond: 4})
	r, _ = limitedRegistry(2*time.Second, none)
	is.Equal(r.Permits("s", start), Permits{Open: 1, PerSecond: math.Inf(1)})
	is.Equal(r.Permits("other", start), Permits{})
}

// A limit must not carry over to a server that restarted under the id, or to another
// server at the address. It must stay if the entry of the server was missing for a while
// and is written again.
func TestALimitAppliesToOneIncarnation(t *testing.T) {
	is := is.New(t)
	key := func(change func(*Info)) ratelimit.Key {
		info := Info{ID: "a", Service: "s", Address: "127.0.0.1:1", Started: 5}
		change(&info)
		return newServer(info, &notice.State{}).Limit()
	}
	same := key(func(*Info) {})
	is.True(key(func(i *Info) { i.Started = 6 }) != same)
	is.True(key(func(i *Info) { i.ID = "b" }) != same)
	is.Equal(key(func(i *Info) { i.At = at(99) }), same)
	is.Equal(key(func(i *Info) { i.Draining = true }), same)
}

// All gateways left the server out, so they would otherwise resume sending at the same
// moment.
func TestSlowStartAfterALimitEnds(t *testing.T) {
	is := is.New(t)
	r := registry(peerLoad{}, "a", "b")
	a := r.shard("s").servers["a"]
	r.LimitEnded(a.Limit(), start)
	is.True(a.startShare(start) < 1)
	is.Equal(a.startShare(start.Add(slowStartTime)), 1.0)
	is.Equal(r.shard("s").servers["b"].startShare(start), 1.0)
	is.Equal(r.IDOf(a.Limit()), "a")
	is.Equal(r.IDOf(a.Limit()+1), "")
}
