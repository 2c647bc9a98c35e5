package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// peerLoad is a fixed load of other gateways.
type peerLoad map[uint32]int

func (p peerLoad) InFlight(servers []uint32, out []int) {
	for i, s := range servers {
		out[i] = p[s]
	}
}

var start = time.Unix(1_700_000_000, 0)

func registry(peers peerLoad, ids ...string) *Registry {
	r := NewRegistry(peers, zerolog.Nop())
	r.Update(infos(ids...), 1, false, start)
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
	c, ok := r.Pick("s", nil, now)
	is.New(t).True(ok)
	return c
}

func TestTheLeastLoadedServerIsPicked(t *testing.T) {
	is := is.New(t)
	busy := newServer(Info{ID: "a"}).Key
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
	r.Update(list, 2, false, start)
	for range 4 {
		is.Equal(pick(t, r, start).Server.ID, "b")
	}
	r.Update(nil, 3, false, start)
	_, ok := r.Pick("s", nil, start)
	is.True(!ok)
}

func TestAServerMissingAfterAnOutageIsKeptForAWhile(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	r.Update(infos("a"), 2, true, start)
	is.Equal(r.Load("s", start).Servers, 2)
	r.Update(infos("a", "b"), 3, false, start.Add(time.Second)) // listed again
	r.Expire(3, start.Add(time.Minute))
	is.Equal(r.Load("s", start).Servers, 2)
	r.Update(infos("a"), 4, true, start)
	r.Expire(4, start.Add(lapseGrace+time.Millisecond))
	is.Equal(r.Load("s", start).Servers, 1)
}

func TestAFailingServerIsEjectedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	a, _ := r.Pick("s", map[string]bool{"b": true}, start)
	for range failuresToEject {
		r.Failed(a.Server, "test", start)
	}
	a.Release()
	is.Equal(r.Load("s", start).Servers, 1)
	later := start.Add(firstEjection + time.Millisecond)
	trial, ok := r.Pick("s", map[string]bool{"b": true}, later)
	is.True(ok) // one request tries it
	_, ok = r.Pick("s", map[string]bool{"b": true}, later)
	is.True(!ok) // and only one
	r.Failed(trial.Server, "test", later)
	is.Equal(r.Load("s", later.Add(firstEjection+time.Millisecond)).Servers, 1) // twice as long
	again, ok := r.Pick("s", map[string]bool{"b": true}, later.Add(2*firstEjection+time.Millisecond))
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
			if c, ok := r.Pick("s", exclude, start); ok {
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
	a, _ := r.Pick("s", map[string]bool{"b": true}, start)
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
	a, _ := r.Pick("s", map[string]bool{"b": true}, start)
	r.Replaced(a.Server)
	r.Update(infos("a", "b"), 2, false, start) // a list from before
	for range 4 {
		is.Equal(pick(t, r, start).Server.ID, "b")
	}
	r.Update(infos("c", "b"), 3, false, start)
	is.Equal(r.Load("s", start).Servers, 2)
}

func TestAFullServerIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a", "b")
	a, _ := r.Pick("s", map[string]bool{"b": true}, start)
	r.Rejected(a.Server, start)
	is.Equal(r.Load("s", start).Servers, 1)
	later := start.Add(firstFull)
	is.Equal(r.Load("s", later).Servers, 2)
	r.Rejected(a.Server, later)
	is.Equal(r.Load("s", later.Add(firstFull)).Servers, 1) // twice as long
	r.Succeeded(a.Server)
	is.Equal(r.Load("s", later).Servers, 2)
}

// A server that leaves just after an outage must get nothing two seconds later,
// the gateway's look at grace periods included.
func TestAServerThatLeavesAfterAnOutageIsDroppedInTime(t *testing.T) {
	is := is.New(t)
	const drain, look = 2 * time.Second, 200 * time.Millisecond
	r := registry(nil, "a", "b")
	r.Update(infos("a"), 2, true, start)
	r.Expire(2, start.Add(drain-2*look))
	is.Equal(r.Load("s", start).Servers, 1)
}
