package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
)

// Processing a prompt while passes are long makes them even longer for all streams of the
// group. If passes stay long, holding streams back longer does not help.
func TestStreamsAreHeldBackForAShortTimeWhilePassesAreLong(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	server := r.shard("s").servers["a"]
	long := func(gap time.Duration, now time.Time) {
		server.StreamGap = StreamGap{}
		server.StreamGap.Begun(now)
		server.StreamGap.Event(gap, now)
	}
	stream := Demand{Service: "s", GapTarget: 120 * time.Millisecond, MaxWait: time.Second, HoldThreshold: 90 * time.Millisecond}
	availability := func(d Demand, now time.Time) Availability {
		c, found := r.Pick(d, now)
		if found == Available {
			c.Release()
		}
		return found
	}
	long(60*time.Millisecond, start)
	is.Equal(availability(stream, start), Available)
	long(140*time.Millisecond, start)
	is.Equal(availability(stream, start), AllBusy)
	withoutHold := stream
	withoutHold.HoldThreshold = 0
	is.Equal(availability(withoutHold, start), Available)
	later := start.Add(holdTime)
	long(140*time.Millisecond, later)
	is.Equal(availability(stream, later), Available) // passes did not get shorter
	long(60*time.Millisecond, later)
	is.Equal(availability(stream, later), Available)
	long(140*time.Millisecond, later)
	is.Equal(availability(stream, later), AllBusy) // passes became long again
}

// ranks returns a registry of three servers, of which those in slow have slow ranks.
func ranks(slow slowRanks) *Registry {
	r := NewRegistry(slow, "", zerolog.Nop())
	var list []Info
	for i := range 3 {
		list = append(list, Info{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 12})
	}
	r.Update(list, at(1), 0, start)
	return r
}

// A slow rank makes its whole group wait, and the longer the more requests it has.
func TestASlowRankGetsNoStreamsWhileMostRanksAreNotSlow(t *testing.T) {
	is := is.New(t)
	stream := Demand{Service: "s", GapTarget: 120 * time.Millisecond, MaxWait: time.Millisecond}
	one := ranks(slowRanks{cluster.EngineKey("127.0.0.1:1"): 3.3})
	one.RecordServiceTime("s", time.Second)
	for range 24 {
		c, found := one.Pick(stream, start)
		is.Equal(found, Available)
		is.True(c.Server.ID != "0")
	}
	servers := one.shard("s").servers
	is.True(one.TooSlow(servers["0"]))
	is.True(!one.TooSlow(servers["1"]))
	_, found := one.Pick(stream, start)
	is.Equal(found, AllBusy) // rather than making all streams late
	c, found := one.Pick(Demand{Service: "s", MaxWait: time.Millisecond}, start)
	is.Equal(found, Available) // a request that is not a stream does not depend on the gap
	is.Equal(c.Server.ID, "0")

	all := ranks(slowRanks{cluster.EngineKey("127.0.0.1:1"): 3, cluster.EngineKey("127.0.0.1:2"): 3})
	for range 36 {
		_, found := all.Pick(stream, start)
		is.Equal(found, Available)
	}
	is.True(!all.TooSlow(all.shard("s").servers["0"])) // no server is better
}

func TestASlightlySlowRankGetsFewerStreams(t *testing.T) {
	is := is.New(t)
	r := ranks(slowRanks{cluster.EngineKey("127.0.0.1:1"): 1.1})
	counts := make(map[string]int)
	for range 18 {
		c, _ := r.Pick(Demand{Service: "s", GapTarget: 120 * time.Millisecond}, start)
		counts[c.Server.ID]++
	}
	is.True(counts["0"] > 0)
	is.True(counts["0"] < 5)
}

// A stalled group is detected by the streams that wait for their first event, even if all
// earlier streams have ended. It stays detected for a short time after the last of them
// left.
func TestGapOfAStalledServer(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p StreamGap
	p.Begun(at(0))
	p.Event(60*time.Millisecond, at(60))
	p.Sent(at(100))
	p.Ended() // its caller left
	is.Equal(p.Gap(at(300)), 60*time.Millisecond)
	is.True(p.Gap(at(700)) >= stallThreshold)
	p.Answered() // it ended without an event
	is.Equal(p.Gap(at(1000)), stallThreshold)
	is.Equal(p.Gap(at(700).Add(stallLifetime)), time.Duration(0)) // to be tried again
	p.Begun(at(5000))
	p.Event(5*time.Second, at(5000))
	is.True(p.Gap(at(5010)) < stallThreshold) // the stall has ended
}

// Streams sent to a stalled group are lost, because callers leave after two seconds. They
// have to be refused with a retry time instead.
func TestNoStreamsAreSentToAStalledService(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b", "c")
	servers := r.shard("s").servers
	stream := Demand{Service: "s", GapTarget: 120 * time.Millisecond}
	servers["a"].StreamGap.Sent(start)
	servers["b"].StreamGap.Sent(start)
	c, found := r.Pick(stream, start)
	is.Equal(found, Available) // the waiting time is still below the threshold
	c.Release()
	later := start.Add(stallThreshold)
	_, found = r.Pick(stream, later)
	is.Equal(found, Stalled) // although the gap of c is unknown
	_, found = r.Pick(Demand{Service: "s"}, later)
	is.Equal(found, Available) // not a stream
	servers["a"].StreamGap.Begun(later)
	servers["a"].StreamGap.Event(60*time.Millisecond, later)
	c, found = r.Pick(stream, later)
	is.Equal(found, Available) // one of the two is no longer stalled
	is.True(c.Server.ID != "b")
}

// A gateway that has just started knows no service time. Without an assumed one, it would
// let any number of requests queue.
func TestQueuesAreBoundedBeforeAnyRequestHasEnded(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	d := Demand{Service: "s", MaxWait: 250 * time.Millisecond, AssumedServiceTime: 2 * time.Second}
	for range 13 { // 12 in the slots, and one that waits for 167 ms
		_, found := r.Pick(d, start)
		is.Equal(found, Available)
	}
	_, found := r.Pick(d, start)
	is.Equal(found, AllBusy)
}
