package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
)

// members is the number of gateways of a fleet that puts no load on servers.
type members int

func (members) Load([]uint32, []cluster.Load)   {}
func (members) Slowdowns([]uint32, []float64)   {}
func (members) Formed([]uint32, []time.Time)    {}
func (m members) Members() int                  { return int(m) }
func (members) Staleness() (none time.Duration) { return 0 }

// backoffRegistry returns a registry of servers with four slots.
func backoffRegistry(ids ...string) *Registry {
	r := NewRegistry(members(1), "", zerolog.Nop())
	list := infos(ids...)
	for i := range list {
		list[i].Slots = 4
	}
	r.Update(list, at(1), 0, start)
	return r
}

func serverOf(r *Registry, id string) *Server { return r.shard("s").servers[id] }

func TestAServerInBackoffGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r := backoffRegistry("a", "b")
	a := serverOf(r, "a")
	until, before := r.StartBackoff(a, 3*time.Second, start)
	is.Equal(until, start.Add(3*time.Second))
	is.True(!before)
	for range 4 {
		is.Equal(pick(t, r, start).Server.ID, "b")
	}
	is.Equal(r.Admits(a, start), ErrInBackoff) // also for a request that was already assigned to it
	r.Accepted(a, start.Add(time.Second))      // a request that was in flight
	r.Succeeded(a)
	_, before = r.StartBackoff(a, 500*time.Millisecond, start.Add(time.Second))
	is.True(before)
	last := until.Add(-time.Millisecond)
	is.Equal(r.Load("s", last).Servers, 1)
	is.Equal(r.Admits(a, last), ErrInBackoff)
	is.Equal(r.Load("s", until).Servers, 2)
	is.NoErr(r.Admits(a, until))
}

// A server in a backoff is not probed.
func TestAServerInBackoffIsNotProbed(t *testing.T) {
	is := is.New(t)
	r := backoffRegistry("a", "b", "c", "d")
	for _, id := range []string{"a", "b", "c"} {
		r.Rejected(serverOf(r, id), start)
	}
	r.StartBackoff(serverOf(r, "a"), time.Second, start)
	for _, due := range r.DueProbes(start) {
		is.True(due.ID != "a")
	}
}

func TestRampUpAfterABackoff(t *testing.T) {
	is := is.New(t)
	r := backoffRegistry("a")
	a := serverOf(r, "a")
	until, _ := r.StartBackoff(a, time.Second, start)
	d := Demand{Service: "s"}
	_, found := r.Pick(d, start)
	is.Equal(found, InBackoff)
	first, found := r.Pick(d, until)
	is.Equal(found, Available)
	second, found := r.Pick(d, until)
	is.Equal(found, InBackoff)
	is.Equal(second.Load.InBackoff, 1)
	r.Accepted(a, until)
	second, found = r.Pick(d, until) // while the first one is in flight
	is.Equal(found, Available)
	_, found = r.Pick(d, until)
	is.Equal(found, InBackoff)
	first.Release()
	second.Release()
	r.Accepted(a, until)
	r.Accepted(a, until)
	for range a.Slots {
		pick(t, r, until) // the window no longer bounds them
	}
	r.StartBackoff(a, time.Second, until)
	_, found = r.Pick(d, until)
	is.Equal(found, InBackoff)
}

// A backoff does not apply to another incarnation under the id or at the address.
func TestABackoffAppliesToOneIncarnation(t *testing.T) {
	base := infos("a")[0]
	base.Started = 1
	cases := []struct {
		name      string
		edit      func(*Info)
		inBackoff bool
	}{
		{"the same one", func(*Info) {}, true},
		{"started again", func(i *Info) { i.Started = 2 }, false},
		{"at another address", func(i *Info) { i.Address = "10.0.0.99:1" }, false},
		{"another id at the address", func(i *Info) { i.ID = "z" }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(members(1), "", zerolog.Nop())
			r.Update([]Info{base}, at(1), 0, start)
			r.StartBackoff(serverOf(r, "a"), time.Minute, start)
			next := base
			c.edit(&next)
			r.Update(nil, at(2), 0, start)
			r.Update([]Info{next}, at(3), 0, start)
			_, found := r.Pick(Demand{Service: "s"}, start)
			is.Equal(found == InBackoff, c.inBackoff)
		})
	}
}

// If all servers are in a backoff, the first one that ends determines when requests are
// served.
func TestPermitsWhileServersAreInBackoff(t *testing.T) {
	is := is.New(t)
	r := backoffRegistry("a", "b")
	r.StartBackoff(serverOf(r, "a"), 3*time.Second, start)
	is.Equal(r.Permits("s", start).Next, time.Duration(0)) // the other server has no backoff
	r.StartBackoff(serverOf(r, "b"), 2*time.Second, start)
	p := r.Permits("s", start)
	is.Equal(p.Next, 2*time.Second)
	is.Equal(p.Open, 0)
	is.Equal(p.InBackoff, 2)
	is.True(p.PerSecond > 0 && p.PerSecond <= 100)
}

// Guards against a burst of requests when a server with few slots has asked all of many
// gateways for the same backoff: no more than twice as many first requests as slots may
// run at a time.
func TestNoBurstAfterABackoff(t *testing.T) {
	const slots, serviceTime, backoff = 12, 500 * time.Millisecond, 3 * time.Second
	for _, n := range []int{7, 25, 30} { // a tenth of a fleet of 254 gateways is active
		rnd := rand.New(rand.NewPCG(uint64(n), 1))
		jitter := backoffJitter(backoff, serviceTime, n, slots)
		var starts []time.Duration
		for range n {
			starts = append(starts, time.Duration(rnd.Int64N(int64(jitter+1))))
		}
		most := 0
		for _, at := range starts {
			running := 0
			for _, other := range starts {
				if other <= at && at < other+serviceTime {
					running++
				}
			}
			most = max(most, running)
		}
		t.Logf("%d gateways, jitter %v: at most %d first requests at a time for %d slots", n, jitter, most, slots)
		is.New(t).True(most <= 2*slots)
	}
}

// A server that announced in an answer or an entry that it drains stays draining. An
// older entry, or one that is written again from a copy of the store, must not reverse
// that.
func TestDrainingIsNeverReversed(t *testing.T) {
	base := infos("a")[0]
	base.Started = 1
	draining := base
	draining.Draining = true
	restarted := base
	restarted.Started = 2
	answered := func(r *Registry) { r.RecordDraining(serverOf(r, "a")) }
	listed := func(list ...Info) func(*Registry) {
		return func(r *Registry) { r.Update(list, at(1), 0, start) }
	}
	cases := []struct {
		name  string
		steps []func(*Registry)
		found Availability
	}{
		{"in an answer", []func(*Registry){answered}, Leaving},
		{"in its entry", []func(*Registry){listed(draining)}, Leaving},
		{"in an answer, an older entry", []func(*Registry){answered, listed(base)}, Leaving},
		{"in its entry, an older one", []func(*Registry){listed(draining), listed(base)}, Leaving},
		{"in an answer, listed again after it was gone", []func(*Registry){answered, listed(), listed(base)}, Leaving},
		{"in its entry, listed again after it was gone", []func(*Registry){listed(draining), listed(), listed(base)}, Leaving},
		{"gone", []func(*Registry){answered, listed()}, Unavailable},
		{"started again under its id", []func(*Registry){answered, listed(restarted)}, Available},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRegistry(members(1), "", zerolog.Nop())
			listed(base)(r)
			for _, step := range c.steps {
				step(r)
			}
			_, found := r.Pick(Demand{Service: "s"}, start)
			is.New(t).Equal(found, c.found)
		})
	}
}
