package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
)

// A prompt that is begun while passes are long makes them longer still for all
// streams of the group. But passes that stay long are no reason to wait.
func TestStreamsAreHeldBackForAShortTimeWhilePassesAreLong(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	server := r.shard("s").servers["a"]
	long := func(gap time.Duration, now time.Time) {
		server.Pace = Pace{}
		server.Pace.Begun(now)
		server.Pace.Event(gap, now)
	}
	stream := Demand{Service: "s", GapTarget: 120 * time.Millisecond, MostWait: time.Second, HoldAt: 90 * time.Millisecond}
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
	patientNoMore := stream
	patientNoMore.HoldAt = 0
	is.Equal(availability(patientNoMore, start), Available)
	later := start.Add(holdTime)
	long(140*time.Millisecond, later)
	is.Equal(availability(stream, later), Available) // it does not get better
	long(60*time.Millisecond, later)
	is.Equal(availability(stream, later), Available)
	long(140*time.Millisecond, later)
	is.Equal(availability(stream, later), AllBusy) // passes became long once more
}

// ranks returns a registry of three servers of which those at the addresses are slow.
func ranks(slow slowRanks) *Registry {
	r := NewRegistry(slow, "", zerolog.Nop())
	var list []Info
	for i := range 3 {
		list = append(list, Info{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 12})
	}
	r.Update(list, at(1), 0, start)
	return r
}

// A slow rank makes its whole group wait, the more the more it has to do.
func TestASlowRankGetsNoStreamsWhileMostAreAsUsual(t *testing.T) {
	is := is.New(t)
	stream := Demand{Service: "s", GapTarget: 120 * time.Millisecond, MostWait: time.Millisecond}
	one := ranks(slowRanks{cluster.EngineKey("127.0.0.1:1"): 3.3})
	one.Occupied("s", time.Second)
	for range 24 {
		c, found := one.Pick(stream, start)
		is.Equal(found, Available)
		is.True(c.Server.ID != "0")
	}
	servers := one.shard("s").servers
	is.True(one.Spared(servers["0"]))
	is.True(!one.Spared(servers["1"]))
	_, found := one.Pick(stream, start)
	is.Equal(found, AllBusy) // rather than making all of them late
	c, found := one.Pick(Demand{Service: "s", MostWait: time.Millisecond}, start)
	is.Equal(found, Available) // what is no stream does not wait for passes
	is.Equal(c.Server.ID, "0")

	all := ranks(slowRanks{cluster.EngineKey("127.0.0.1:1"): 3, cluster.EngineKey("127.0.0.1:2"): 3})
	for range 36 {
		_, found := all.Pick(stream, start)
		is.Equal(found, Available)
	}
	is.True(!all.Spared(all.shard("s").servers["0"])) // there is no better place
}

func TestAnAlmostUsualRankGetsFewerStreams(t *testing.T) {
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

// A group that stands still is known by the streams that wait for it, also when those
// that had begun are gone, and for a short time when nobody waits any more.
func TestAServerThatStandsStill(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p Pace
	p.Begun(at(0))
	p.Event(60*time.Millisecond, at(60))
	p.Sent(at(100))
	p.Ended() // its caller left
	is.Equal(p.Gap(at(300)), 60*time.Millisecond)
	is.True(p.Gap(at(700)) >= standsFrom)
	p.Answered() // without an event
	is.Equal(p.Gap(at(1000)), standsFrom)
	is.Equal(p.Gap(at(700).Add(standsLifetime)), time.Duration(0)) // to be tried again
	p.Begun(at(5000))
	p.Event(5*time.Second, at(5000))
	is.True(p.Gap(at(5010)) < standsFrom) // it goes on
}

// What is sent to a group that stands still is lost to callers that leave after two
// seconds; so they are told when to come back.
func TestNothingIsSentToAServiceThatStandsStill(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b", "c")
	servers := r.shard("s").servers
	stream := Demand{Service: "s", GapTarget: 120 * time.Millisecond}
	servers["a"].Pace.Sent(start)
	servers["b"].Pace.Sent(start)
	c, found := r.Pick(stream, start)
	is.Equal(found, Available) // it has only just been asked
	c.Release()
	later := start.Add(standsFrom)
	_, found = r.Pick(stream, later)
	is.Equal(found, Standing) // although nothing is known of c
	_, found = r.Pick(Demand{Service: "s"}, later)
	is.Equal(found, Available) // no stream
	servers["a"].Pace.Begun(later)
	servers["a"].Pace.Event(60*time.Millisecond, later)
	c, found = r.Pick(stream, later)
	is.Equal(found, Available) // one of two goes on
	is.True(c.Server.ID != "b")
}

// A process that has just started has seen no request end; without a guess it would
// let any number queue.
func TestQueuesAreBoundedBeforeAnyRequestHasEnded(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	d := Demand{Service: "s", MostWait: 250 * time.Millisecond, Occupies: 2 * time.Second}
	for range 13 { // 12 slots, and one that waits for 167 ms
		_, found := r.Pick(d, start)
		is.Equal(found, Available)
	}
	_, found := r.Pick(d, start)
	is.Equal(found, AllBusy)
}
