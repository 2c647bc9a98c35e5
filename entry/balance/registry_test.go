package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
	"baywall.example/core/notice"
	"baywall.example/core/source"
)

// at returns a source position with the revision.
func at(revision uint64) source.Position { return source.Position{Revision: revision} }

// gracePeriod is for how long servers that are missing after an outage are retained.
const gracePeriod = 1500 * time.Millisecond

// peerLoad is a fixed load of other gateways.
type peerLoad map[uint32]int

// slowRanks are the slowdowns of ranks by engine key, without load of peers.
type slowRanks map[uint32]float64

func (slowRanks) Load([]uint32, []cluster.Load) {}
func (slowRanks) Members() int                  { return 1 }
func (slowRanks) Staleness() time.Duration      { return 0 }

func (slowRanks) Formed([]uint32, []time.Time) {}

func (s slowRanks) Slowdowns(engines []uint32, out []float64) {
	for i, e := range engines {
		out[i] = max(1, s[e])
	}
}

func (p peerLoad) Load(servers []uint32, out []cluster.Load) {
	for i, s := range servers {
		out[i].Requests = p[s]
	}
}

func (peerLoad) Formed([]uint32, []time.Time) {}

func (peerLoad) Slowdowns(_ []uint32, out []float64) {
	for i := range out {
		out[i] = 1
	}
}

func (peerLoad) Members() int             { return 1 }
func (peerLoad) Staleness() time.Duration { return 0 }

var start = time.Unix(1_700_000_000, 0)

func registry(peers peerLoad, ids ...string) *Registry {
	r := NewRegistry(peers, "", zerolog.Nop())
	r.Update(infos(ids...), at(1), 0, start)
	return r
}

func infos(ids ...string) []Info {
	var out []Info
	for _, id := range ids {
		out = append(out, Info{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 12})
	}
	return out
}

func pick(t *testing.T, r *Registry, now time.Time) Choice {
	t.Helper()
	c, found := r.Pick(Demand{Service: "s"}, now)
	is.New(t).Equal(found, Available)
	return c
}

// pickFrom picks any server except the excluded ones.
func pickFrom(r *Registry, exclude map[string]bool, now time.Time) (Choice, bool) {
	c, found := r.Pick(Demand{Service: "s", Exclude: exclude}, now)
	return c, found == Available
}

// A backend server that restarts under its id is another incarnation. Nothing that was
// recorded for the previous one applies to it.
func TestARestartedServerIsANewIncarnation(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(peerLoad(nil), "", zerolog.Nop())
	info := Info{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 12, Started: 1000}
	r.Update([]Info{info}, at(1), 0, start)
	old := r.shard("s").servers["a"]
	r.Replaced(old)
	_, found := r.Pick(Demand{Service: "s"}, start)
	is.Equal(found, Unavailable)
	r.Update([]Info{info}, at(2), 0, start) // the same incarnation
	is.True(r.shard("s").servers["a"] == old)
	info.Started = 2000
	r.Update([]Info{info}, at(3), 0, start)
	is.True(r.shard("s").servers["a"] != old)
	is.Equal(pick(t, r, start).Server.ID, "a")
	r.Replaced(old) // a late answer to a request sent before the restart
	is.Equal(pick(t, r, start).Server.ID, "a")
}

func TestTheLeastLoadedServerIsPicked(t *testing.T) {
	is := is.New(t)
	busy := newServer(Info{ID: "a"}, &notice.State{}).Key
	r := registry(peerLoad{busy: 2}, "a", "b")
	is.Equal(pick(t, r, start).Server.ID, "b")
	is.Equal(pick(t, r, start).Server.ID, "b")
	third := pick(t, r, start)
	third.Release()
	is.Equal(r.Load("s", start).InFlight, 4)
}

func TestDrainingAndUnlistedServersGetNoRequests(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	list := infos("a", "b")
	list[0].Draining = true
	r.Update(list, at(2), 0, start)
	for range 4 {
		is.Equal(pick(t, r, start).Server.ID, "b")
	}
	r.Update(nil, at(3), 0, start)
	_, ok := pickFrom(r, nil, start)
	is.True(!ok)
}

func TestAServerMissingAfterAnOutageIsRetainedForTheGracePeriod(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	r.Update(infos("a"), at(2), gracePeriod, start)
	is.Equal(r.Load("s", start).Servers, 2)
	r.Update(infos("a", "b"), at(3), 0, start.Add(time.Second)) // listed again
	r.Expire(at(3), start.Add(time.Minute))
	is.Equal(r.Load("s", start).Servers, 2)
	r.Update(infos("a"), at(4), gracePeriod, start)
	r.Expire(at(4), start.Add(gracePeriod+time.Millisecond))
	is.Equal(r.Load("s", start).Servers, 1)
}

func TestAFailingServerIsEjectedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	a, _ := pickFrom(r, map[string]bool{"b": true}, start)
	for range failuresToEject {
		r.Failed(a.Server, "test", start)
	}
	a.Release()
	is.Equal(r.Load("s", start).Servers, 1)
	later := start.Add(firstEjection + time.Millisecond)
	trial, ok := pickFrom(r, map[string]bool{"b": true}, later)
	is.True(ok) // one request is sent as a trial
	_, ok = pickFrom(r, map[string]bool{"b": true}, later)
	is.True(!ok) // and only one
	r.Failed(trial.Server, "test", later)
	is.Equal(r.Load("s", later.Add(firstEjection+time.Millisecond)).Servers, 1) // the second ejection is twice as long
	again, ok := pickFrom(r, map[string]bool{"b": true}, later.Add(2*firstEjection+time.Millisecond))
	is.True(ok)
	r.Succeeded(again.Server)
	is.Equal(r.Load("s", later).Servers, 2)
}

func TestAtMostHalfOfAServiceIsEjected(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b", "c", "d")
	for range 3 * failuresToEject {
		for _, id := range []string{"a", "b", "c", "d"} {
			exclude := map[string]bool{"a": true, "b": true, "c": true, "d": true}
			delete(exclude, id)
			if c, ok := pickFrom(r, exclude, start); ok {
				r.Failed(c.Server, "test", start)
				c.Release()
			}
		}
	}
	is.Equal(r.Load("s", start).Servers, 2)
}

func TestAServerIsEjectedByItsFailureRate(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	a, _ := pickFrom(r, map[string]bool{"b": true}, start)
	for i := range 40 {
		if i%2 == 0 {
			r.Failed(a.Server, "test", start)
		} else {
			r.Succeeded(a.Server)
		}
	}
	is.Equal(r.Load("s", start).Servers, 1)
}

func TestAReplacedServerGetsNoRequestsUntilItIsListedAgain(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	a, _ := pickFrom(r, map[string]bool{"b": true}, start)
	r.Replaced(a.Server)
	r.Update(infos("a", "b"), at(2), 0, start) // a list from before the replacement
	for range 4 {
		is.Equal(pick(t, r, start).Server.ID, "b")
	}
	r.Update(infos("c", "b"), at(3), 0, start)
	is.Equal(r.Load("s", start).Servers, 2)
}

func TestAFullServerGetsNoRequestsForAWhile(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	a, _ := pickFrom(r, map[string]bool{"b": true}, start)
	r.Rejected(a.Server, start)
	is.Equal(r.Load("s", start).Servers, 1)
	later := start.Add(minOverloadPause)
	is.Equal(r.Load("s", later).Servers, 2)
	r.Rejected(a.Server, later)
	is.Equal(r.Load("s", later.Add(minOverloadPause)).Servers, 1) // the second pause is twice as long
	r.Accepted(a.Server, start)
	is.Equal(r.Load("s", later).Servers, 2)
}

// A server that drains just after an outage of the source must be dropped within two
// seconds, including the interval at which the gateway checks grace periods.
func TestAServerThatLeavesAfterAnOutageIsDroppedInTime(t *testing.T) {
	is := is.New(t)
	const drainTime, checkInterval = 2 * time.Second, 200 * time.Millisecond
	r := registry(nil, "a", "b")
	r.Update(infos("a"), at(2), gracePeriod, start)
	r.Expire(at(2), start.Add(drainTime-2*checkInterval))
	is.Equal(r.Load("s", start).Servers, 1)
}

// After a loss of power, the list contains servers that are gone. Probes keep requests
// from them without using up retries.
func TestServersAreProbedIfAllRejectRequests(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b", "c", "d")
	is.Equal(len(r.DueProbes(start)), 0) // no server is suspect
	for _, id := range []string{"a", "b", "c"} {
		c := pick(t, r, start)
		c.Release()
		r.Rejected(r.shard("s").servers[id], start)
	}
	_, found := r.Pick(Demand{Service: "s"}, start)
	is.Equal(found, Unavailable)
	due := r.DueProbes(start)
	is.Equal(len(due), 4)
	is.Equal(len(r.DueProbes(start)), 0) // probes of all are in flight
	for _, server := range due {
		r.Probed(server, server.ID == "b")
	}
	c := pick(t, r, start)
	is.Equal(c.Server.ID, "b")
	r.Accepted(c.Server, start)
	is.Equal(pick(t, r, start).Server.ID, "b") // the others stay suspect
	is.Equal(len(r.DueProbes(start.Add(probeInterval))), 3)
	r.Update(infos("a", "b", "e"), at(2), 0, start)
	is.Equal(r.Load("s", start).Servers, 2) // a newly listed server is trusted
	is.Equal(r.Load("s", start.Add(suspectTime+time.Second)).Servers, 3)
}

// Bounds the expected time in a server's queue once the service time is known.
func TestTheQueueTimeIsBounded(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	d := Demand{Service: "s", MaxWait: 200 * time.Millisecond}
	for range 12 {
		_, found := r.Pick(d, start)
		is.Equal(found, Available)
	}
	_, found := r.Pick(d, start)
	is.Equal(found, Available) // the service time is not known yet
	r.RecordServiceTime("s", 1500*time.Millisecond)
	_, found = r.Pick(d, start)
	is.Equal(found, AllBusy) // 2 requests before it, 125 ms each
	d.MaxWait = time.Second
	_, found = r.Pick(d, start)
	is.Equal(found, Available)
}

func TestStreamsAvoidServersWithLongPasses(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	slow := r.shard("s").servers["a"]
	slow.StreamGap.Begun(start)
	slow.StreamGap.Event(180*time.Millisecond, start)
	d := Demand{Service: "s", GapTarget: 120 * time.Millisecond}
	for range 11 {
		c, _ := r.Pick(d, start)
		is.Equal(c.Server.ID, "b") // up to its slots
	}
	slow.StreamGap.Event(60*time.Millisecond, start)
	slow.StreamGap.Event(60*time.Millisecond, start)
	slow.StreamGap.Event(60*time.Millisecond, start)
	c, _ := r.Pick(d, start)
	is.Equal(c.Server.ID, "a")
	is.Equal(slow.StreamGap.Gap(start.Add(500*time.Millisecond)), 500*time.Millisecond) // a gap that has not ended counts
}

// A server that crashed and restarted is listed twice until the lease of its first entry
// expires. Requests to the first entry would only be rejected.
func TestALaterServerAtTheSameAddressReplacesTheFirst(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(peerLoad(nil), "", zerolog.Nop())
	first := Info{ID: "old", Service: "s", Address: "127.0.0.1:1", Slots: 12, At: at(5)}
	later := Info{ID: "new", Service: "s", Address: "127.0.0.1:1", Slots: 12, At: at(9)}
	r.Update([]Info{first, later}, at(9), 0, start)
	is.Equal(r.Load("s", start).Servers, 1)
	is.Equal(pick(t, r, start).Server.ID, "new")
	moved := Info{ID: "other", Service: "t", Address: "127.0.0.1:1", Slots: 12, At: at(11)}
	r.Update([]Info{first, later, moved}, at(11), 0, start) // a server of another service took over the address
	is.Equal(r.Load("s", start).Servers, 0)
	is.Equal(r.Load("t", start).Servers, 1)
}

// Traffic between availability zones costs money, but a longer queue costs more.
func TestTheOwnZoneIsPreferredAtEqualLoads(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(peerLoad(nil), "here", zerolog.Nop())
	r.Update([]Info{
		{ID: "near", Service: "s", Address: "127.0.0.1:1", Zone: "here", Slots: 10},
		{ID: "far", Service: "s", Address: "127.0.0.1:2", Zone: "there", Slots: 10},
	}, at(1), 0, start)
	is.Equal(pick(t, r, start).Server.ID, "near")
	near := r.shard("s").servers["near"]
	near.inFlight.Store(3) // three more requests outweigh the zone
	is.Equal(pick(t, r, start).Server.ID, "far")
}

// Without reports from other gateways, each of many gateways would probe all servers of a
// group that is formed again.
func TestServersThatServeOtherGatewaysNeedNoProbe(t *testing.T) {
	for name, c := range map[string]struct {
		gap  time.Duration
		want int
	}{"streams flow": {80 * time.Millisecond, 1}, "they are stalled": {stallThreshold, 0}, "nothing is known": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := registry(nil, "a", "b", "c", "d")
			r.peers = servedByPeers{peerLoad{r.shard("s").servers["b"].Key: 2}, c.gap, 1}
			for _, server := range r.shard("s").servers {
				r.Rejected(server, start)
			}
			is.Equal(r.Load("s", start.Add(maxOverloadPause)).Servers, 0) // the report may be older than the rejections
			is.Equal(r.Load("s", start.Add(peerReportMaxAge)).Servers, c.want)
		})
	}
}

// foundByPeers reports servers that another gateway found to take requests again.
type foundByPeers struct{ peerLoad }

func (p foundByPeers) Load(servers []uint32, out []cluster.Load) {
	for i, s := range servers {
		out[i].Found = p.peerLoad[s] > 0
	}
}

// After a common outage of all servers, each gateway may probe only a few of several
// hundred servers in an interval, so gateways have to report what they find to each
// other.
func TestFoundServersAreReportedToOtherGateways(t *testing.T) {
	is := is.New(t)
	finder := registry(nil, "a", "b", "c", "d")
	for _, server := range finder.shard("s").servers {
		finder.Rejected(server, start)
	}
	is.Equal(finder.Load("s", start.Add(maxOverloadPause)).Servers, 0)
	b := finder.shard("s").servers["b"]
	finder.Probed(b, true)
	found := finder.Found(time.Now())
	is.Equal(found, []uint32{b.Key})
	is.Equal(len(finder.Found(time.Now().Add(recoveryReportTime))), 0) // reported for a limited time only

	other := registry(nil, "a", "b", "c", "d")
	other.peers = foundByPeers{peerLoad{found[0]: 1}}
	for _, server := range other.shard("s").servers {
		other.Rejected(server, start)
	}
	is.Equal(other.Load("s", start.Add(maxOverloadPause)).Servers, 0) // the report may be older than the rejection
	is.Equal(other.Load("s", start.Add(recoveryReportMaxAge)).Servers, 1)
	is.Equal(pick(t, other, start.Add(recoveryReportMaxAge)).Server.ID, "b")
}

func TestGatewaysShareTheProbes(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	const members, servers = 16, 192
	r.peers = servedByPeers{members: members}
	const intervals, checks = 40, 3
	sum := 0
	for range members {
		var b probeBudget
		for i := range intervals * checks {
			at := start.Add(time.Duration(i) * probeInterval / checks)
			sum += b.take(r.probesPerInterval(servers), at)
		}
	}
	perInterval := float64(sum) / intervals
	is.True(perInterval > 0.9*servers/probeDivisor && perInterval < 1.1*servers/probeDivisor)
}

// Unused probes must not accumulate until the next outage.
func TestUnusedProbesDoNotAccumulate(t *testing.T) {
	is := is.New(t)
	var b probeBudget
	is.Equal(b.take(4, start), 4)
	is.Equal(b.take(4, start), 0)
	b.putBack(3)
	is.Equal(b.take(4, start.Add(time.Hour)), 4)
	var rare probeBudget
	sum := 0
	for i := range 100 {
		sum += rare.take(0.25, start.Add(time.Duration(i)*probeInterval))
	}
	is.True(sum >= 24 && sum <= 26)
}
