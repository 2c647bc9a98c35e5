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

// at is a position of the list.
func at(revision uint64) source.Position { return source.Position{Revision: revision} }

// absence is for how long a server that is missing after an outage may be on its way back.
const absence = 1500 * time.Millisecond

// peerLoad is a fixed load of other gateways.
type peerLoad map[uint32]int

// slowRanks are the paces of ranks by engine key, with no load of peers.
type slowRanks map[uint32]float64

func (slowRanks) Load([]uint32, []cluster.Load) {}
func (slowRanks) Members() int                  { return 1 }
func (slowRanks) Staleness() time.Duration      { return 0 }

func (slowRanks) Formed([]uint32, []time.Time) {}

func (s slowRanks) Pace(engines []uint32, out []float64) {
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

func (peerLoad) Pace(_ []uint32, out []float64) {
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

// pickFrom picks any server but those excluded.
func pickFrom(r *Registry, exclude map[string]bool, now time.Time) (Choice, bool) {
	c, found := r.Pick(Demand{Service: "s", Exclude: exclude}, now)
	return c, found == Available
}

// A backend server that starts again under its id is another one: nothing that is known
// of the one before holds.
func TestAServerThatStartsAgainUnderItsIDIsANewOne(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(peerLoad(nil), "", zerolog.Nop())
	info := Info{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 12, Started: 1000}
	r.Update([]Info{info}, at(1), 0, start)
	old := r.shard("s").servers["a"]
	r.Replaced(old)
	_, found := r.Pick(Demand{Service: "s"}, start)
	is.Equal(found, Unavailable)
	r.Update([]Info{info}, at(2), 0, start) // the same one
	is.True(r.shard("s").servers["a"] == old)
	info.Started = 2000
	r.Update([]Info{info}, at(3), 0, start)
	is.True(r.shard("s").servers["a"] != old)
	is.Equal(pick(t, r, start).Server.ID, "a")
	r.Replaced(old) // an answer to a request from before
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

func TestDrainingAndGoneServersTakeNothing(t *testing.T) {
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

func TestAServerMissingAfterAnOutageIsKeptForAWhile(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	r.Update(infos("a"), at(2), absence, start)
	is.Equal(r.Load("s", start).Servers, 2)
	r.Update(infos("a", "b"), at(3), 0, start.Add(time.Second)) // listed again
	r.Expire(at(3), start.Add(time.Minute))
	is.Equal(r.Load("s", start).Servers, 2)
	r.Update(infos("a"), at(4), absence, start)
	r.Expire(at(4), start.Add(absence+time.Millisecond))
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
	is.True(ok) // one request tries it
	_, ok = pickFrom(r, map[string]bool{"b": true}, later)
	is.True(!ok) // and only one
	r.Failed(trial.Server, "test", later)
	is.Equal(r.Load("s", later.Add(firstEjection+time.Millisecond)).Servers, 1) // twice as long
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

func TestAMixedServerIsEjectedByItsRate(t *testing.T) {
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

func TestAReplacedServerTakesNothingUntilItIsListedAnew(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	a, _ := pickFrom(r, map[string]bool{"b": true}, start)
	r.Replaced(a.Server)
	r.Update(infos("a", "b"), at(2), 0, start) // a list from before
	for range 4 {
		is.Equal(pick(t, r, start).Server.ID, "b")
	}
	r.Update(infos("c", "b"), at(3), 0, start)
	is.Equal(r.Load("s", start).Servers, 2)
}

func TestAFullServerIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	a, _ := pickFrom(r, map[string]bool{"b": true}, start)
	r.Rejected(a.Server, start)
	is.Equal(r.Load("s", start).Servers, 1)
	later := start.Add(firstFull)
	is.Equal(r.Load("s", later).Servers, 2)
	r.Rejected(a.Server, later)
	is.Equal(r.Load("s", later.Add(firstFull)).Servers, 1) // twice as long
	r.Accepted(a.Server, start)
	is.Equal(r.Load("s", later).Servers, 2)
}

// A server that leaves just after an outage must get nothing two seconds later,
// the gateway's look at grace periods included.
func TestAServerThatLeavesAfterAnOutageIsDroppedInTime(t *testing.T) {
	is := is.New(t)
	const drain, look = 2 * time.Second, 200 * time.Millisecond
	r := registry(nil, "a", "b")
	r.Update(infos("a"), at(2), absence, start)
	r.Expire(at(2), start.Add(drain-2*look))
	is.Equal(r.Load("s", start).Servers, 1)
}

// After a loss of power, the list names servers that are gone. Requests are kept
// off them by probes, which cost no retries.
func TestServersThatAllTurnRequestsAwayAreProbed(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b", "c", "d")
	is.Equal(len(r.DueProbes(start)), 0) // nothing is known against them
	for _, id := range []string{"a", "b", "c"} {
		c := pick(t, r, start)
		c.Release()
		r.Rejected(r.shard("s").servers[id], start)
	}
	_, found := r.Pick(Demand{Service: "s"}, start)
	is.Equal(found, Unavailable)
	due := r.DueProbes(start)
	is.Equal(len(due), 4)
	is.Equal(len(r.DueProbes(start)), 0) // they are being asked
	for _, server := range due {
		r.Probed(server, server.ID == "b")
	}
	c := pick(t, r, start)
	is.Equal(c.Server.ID, "b")
	r.Accepted(c.Server, start)
	is.Equal(pick(t, r, start).Server.ID, "b") // the others stay suspect
	is.Equal(len(r.DueProbes(start.Add(probeInterval))), 3)
	r.Update(infos("a", "b", "e"), at(2), 0, start)
	is.Equal(r.Load("s", start).Servers, 2) // what is listed anew is trusted
	is.Equal(r.Load("s", start.Add(suspectTime+time.Second)).Servers, 3)
}

// Where no probe is answered, requests find out by themselves in the end.
func TestARequestDoesNotQueueForLong(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	d := Demand{Service: "s", MostWait: 200 * time.Millisecond}
	for range 12 {
		_, found := r.Pick(d, start)
		is.Equal(found, Available)
	}
	_, found := r.Pick(d, start)
	is.Equal(found, Available) // how long requests take is not known yet
	r.Occupied("s", 1500*time.Millisecond)
	_, found = r.Pick(d, start)
	is.Equal(found, AllBusy) // 2 before it, 125 ms each
	d.MostWait = time.Second
	_, found = r.Pick(d, start)
	is.Equal(found, Available)
}

func TestStreamsKeepAwayFromSlowPasses(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	slow := r.shard("s").servers["a"]
	slow.Pace.Begun(start)
	slow.Pace.Event(180*time.Millisecond, start)
	d := Demand{Service: "s", GapTarget: 120 * time.Millisecond}
	for range 11 {
		c, _ := r.Pick(d, start)
		is.Equal(c.Server.ID, "b") // up to its slots
	}
	slow.Pace.Event(60*time.Millisecond, start)
	slow.Pace.Event(60*time.Millisecond, start)
	slow.Pace.Event(60*time.Millisecond, start)
	c, _ := r.Pick(d, start)
	is.Equal(c.Server.ID, "a")
	is.Equal(slow.Pace.Gap(start.Add(500*time.Millisecond)), 500*time.Millisecond) // a pause that goes on
}

// A server that crashed and started again is listed twice until the lease of its
// first entry ends; requests to the first would only be turned away.
func TestALaterServerAtTheSameAddressReplacesTheFirst(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(peerLoad(nil), "", zerolog.Nop())
	first := Info{ID: "old", Service: "s", Address: "127.0.0.1:1", Slots: 12, At: at(5)}
	later := Info{ID: "new", Service: "s", Address: "127.0.0.1:1", Slots: 12, At: at(9)}
	r.Update([]Info{first, later}, at(9), 0, start)
	is.Equal(r.Load("s", start).Servers, 1)
	is.Equal(pick(t, r, start).Server.ID, "new")
	moved := Info{ID: "other", Service: "t", Address: "127.0.0.1:1", Slots: 12, At: at(11)}
	r.Update([]Info{first, later, moved}, at(11), 0, start) // another service took the address over
	is.Equal(r.Load("s", start).Servers, 0)
	is.Equal(r.Load("t", start).Servers, 1)
}

// After a probation late requests get a growing part of the slots. Punctual ones come at
// their own pace, which no backlog adds to, and are bounded by the length of passes.
// While passes are long, servers on which nobody has a stream are no better than the
// others of their group: otherwise all streams would go to these few.
// Late requests get the places that punctual arrivals leave, and give them back.
// Servers whose agents tell that their group was formed get requests again at once:
// neither a probe nor what was seen of the group before has to run out.
// Bytes between availability zones cost money; but a longer queue costs more.
func TestTheOwnZoneIsPreferredAtEqualLoads(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(peerLoad(nil), "here", zerolog.Nop())
	r.Update([]Info{
		{ID: "near", Service: "s", Address: "127.0.0.1:1", Zone: "here", Slots: 10},
		{ID: "far", Service: "s", Address: "127.0.0.1:2", Zone: "there", Slots: 10},
	}, at(1), 0, start)
	is.Equal(pick(t, r, start).Server.ID, "near")
	near := r.shard("s").servers["near"]
	near.inFlight.Store(3) // three requests more are too many
	is.Equal(pick(t, r, start).Server.ID, "far")
}

// Load pattern: a group of ranks is formed anew, and each of many gateways would probe
// all of its servers.
func TestWhatOtherGatewaysServeNeedsNoProbe(t *testing.T) {
	for name, c := range map[string]struct {
		gap  time.Duration
		want int
	}{"streams flow": {80 * time.Millisecond, 1}, "they stand": {standsFrom, 0}, "nothing is known": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := registry(nil, "a", "b", "c", "d")
			r.peers = servedByPeers{peerLoad{r.shard("s").servers["b"].Key: 2}, c.gap, 1}
			for _, server := range r.shard("s").servers {
				r.Rejected(server, start)
			}
			is.Equal(r.Load("s", start.Add(longestFull)).Servers, 0) // what they said may be older
			is.Equal(r.Load("s", start.Add(peersPatience)).Servers, c.want)
		})
	}
}

// foundByPeers are servers that another gateway found to take requests again.
type foundByPeers struct{ peerLoad }

func (p foundByPeers) Load(servers []uint32, out []cluster.Load) {
	for i, s := range servers {
		out[i].Found = p.peerLoad[s] > 0
	}
}

// Load pattern: all processes and groups come back together, and each of the gateways
// may probe a few of several hundred servers in an interval.
func TestWhatOneGatewayFindsTheOthersKnow(t *testing.T) {
	is := is.New(t)
	finder := registry(nil, "a", "b", "c", "d")
	for _, server := range finder.shard("s").servers {
		finder.Rejected(server, start)
	}
	is.Equal(finder.Load("s", start.Add(longestFull)).Servers, 0)
	b := finder.shard("s").servers["b"]
	finder.Probed(b, true)
	found := finder.Found(time.Now())
	is.Equal(found, []uint32{b.Key})
	is.Equal(len(finder.Found(time.Now().Add(foundTold))), 0) // not for ever

	other := registry(nil, "a", "b", "c", "d")
	other.peers = foundByPeers{peerLoad{found[0]: 1}}
	for _, server := range other.shard("s").servers {
		other.Rejected(server, start)
	}
	is.Equal(other.Load("s", start.Add(longestFull)).Servers, 0) // it may be older than the rejection
	is.Equal(other.Load("s", start.Add(foundPatience)).Servers, 1)
	is.Equal(pick(t, other, start.Add(foundPatience)).Server.ID, "b")
}

func TestGatewaysShareTheProbes(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	const members, servers = 16, 192
	r.peers = servedByPeers{members: members}
	const intervals, looks = 40, 3
	sum := 0
	for range members {
		var b probeBudget
		for i := range intervals * looks {
			at := start.Add(time.Duration(i) * probeInterval / looks)
			sum += b.take(r.probesAtOnce(servers), at)
		}
	}
	perInterval := float64(sum) / intervals
	is.True(perInterval > 0.9*servers/probedPart && perInterval < 1.1*servers/probedPart)
}

// What is not needed is not saved up for the next outage.
func TestProbesAreNotSavedUp(t *testing.T) {
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
