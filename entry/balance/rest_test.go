package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/cluster"
)

// members is a fleet of gateways that put no load on servers.
type members int

func (members) Load([]uint32, []cluster.Load)   {}
func (members) Pace([]uint32, []float64)        {}
func (members) Formed([]uint32, []time.Time)    {}
func (m members) Members() int                  { return int(m) }
func (members) Staleness() (none time.Duration) { return 0 }

// restRegistry has servers of four slots.
func restRegistry(ids ...string) *Registry {
	r := NewRegistry(members(1), "", zerolog.Nop())
	list := infos(ids...)
	for i := range list {
		list[i].Slots = 4
	}
	r.Update(list, at(1), 0, start)
	return r
}

func serverOf(r *Registry, id string) *Server { return r.shard("s").servers[id] }

func TestAServerThatRestsIsLeftOutUntilTheEnd(t *testing.T) {
	is := is.New(t)
	r := restRegistry("a", "b")
	a := serverOf(r, "a")
	until, before := r.Rested(a, 3*time.Second, start)
	is.Equal(until, start.Add(3*time.Second))
	is.True(!before)
	for range 4 {
		is.Equal(pick(t, r, start).Server.ID, "b")
	}
	is.Equal(r.Admits(a, start), ErrResting) // what was meant for it already
	r.Accepted(a, start.Add(time.Second))    // a request that was under way
	r.Succeeded(a)
	_, before = r.Rested(a, 500*time.Millisecond, start.Add(time.Second))
	is.True(before)
	last := until.Add(-time.Millisecond)
	is.Equal(r.Load("s", last).Servers, 1)
	is.Equal(r.Admits(a, last), ErrResting)
	is.Equal(r.Load("s", until).Servers, 2)
	is.NoErr(r.Admits(a, until))
}

// A resting server is neither probed nor counted among those that turn requests away.
func TestAServerThatRestsIsNotProbed(t *testing.T) {
	is := is.New(t)
	r := restRegistry("a", "b", "c", "d")
	for _, id := range []string{"a", "b", "c"} {
		r.Rejected(serverOf(r, id), start)
	}
	r.Rested(serverOf(r, "a"), time.Second, start)
	for _, due := range r.DueProbes(start) {
		is.True(due.ID != "a")
	}
}

func TestAfterARestRequestsComeBackAFewAtATime(t *testing.T) {
	is := is.New(t)
	r := restRegistry("a")
	a := serverOf(r, "a")
	until, _ := r.Rested(a, time.Second, start)
	d := Demand{Service: "s"}
	_, found := r.Pick(d, start)
	is.Equal(found, Resting)
	first, found := r.Pick(d, until)
	is.Equal(found, Available)
	second, found := r.Pick(d, until)
	is.Equal(found, Resting)
	is.Equal(second.Load.Resting, 1)
	r.Accepted(a, until)
	second, found = r.Pick(d, until) // beside the first one
	is.Equal(found, Available)
	_, found = r.Pick(d, until)
	is.Equal(found, Resting)
	first.Release()
	second.Release()
	r.Accepted(a, until)
	r.Accepted(a, until)
	for range a.Slots {
		pick(t, r, until) // it is no bound any more
	}
	r.Rested(a, time.Second, until)
	_, found = r.Pick(d, until)
	is.Equal(found, Resting)
}

// Another incarnation under the id or at the address has not asked for anything.
func TestANewIncarnationOwesNoRest(t *testing.T) {
	base := infos("a")[0]
	base.Started = 1
	cases := []struct {
		name string
		edit func(*Info)
		owes bool
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
			r.Rested(serverOf(r, "a"), time.Minute, start)
			next := base
			c.edit(&next)
			r.Update(nil, at(2), 0, start)
			r.Update([]Info{next}, at(3), 0, start)
			_, found := r.Pick(Demand{Service: "s"}, start)
			is.Equal(found == Resting, c.owes)
		})
	}
}

// While all servers rest, the first end tells when requests may come again.
func TestWhenTheNextServerIsBackFromItsRest(t *testing.T) {
	is := is.New(t)
	r := restRegistry("a", "b")
	r.Rested(serverOf(r, "a"), 3*time.Second, start)
	is.Equal(r.Permits("s", start).Next, time.Duration(0)) // the other one serves
	r.Rested(serverOf(r, "b"), 2*time.Second, start)
	p := r.Permits("s", start)
	is.Equal(p.Next, 2*time.Second)
	is.Equal(p.Open, 0)
	is.Equal(p.Resting, 2)
	is.True(p.PerSecond > 0 && p.PerSecond <= 100)
}

// Many gateways return to a server of few slots at the end of a rest that it had asked all for: it
// does not have to turn more away than a gateway finds out for itself.
func TestNoWaveAfterARest(t *testing.T) {
	const slots, stay, rest = 12, 500 * time.Millisecond, 3 * time.Second
	for _, n := range []int{7, 25, 30} { // of a fleet of 254, a tenth is active
		rnd := rand.New(rand.NewPCG(uint64(n), 1))
		spread := returnSpread(rest, stay, n, slots)
		var starts []time.Duration
		for range n {
			starts = append(starts, time.Duration(rnd.Int64N(int64(spread+1))))
		}
		most := 0
		for _, at := range starts {
			under := 0
			for _, other := range starts {
				if other <= at && at < other+stay {
					under++
				}
			}
			most = max(most, under)
		}
		t.Logf("%d gateways, spread %v: at most %d first requests at a time for %d slots", n, spread, most, slots)
		is.New(t).True(most <= 2*slots)
	}
}

// That a server leaves is known from its answers or its entry, whichever told so first, and stays
// so: an older entry, or one that is written again from a copy of the store, does not end it.
func TestALeavingIsNeverTakenBack(t *testing.T) {
	base := infos("a")[0]
	base.Started = 1
	draining := base
	draining.Draining = true
	reborn := base
	reborn.Started = 2
	answered := func(r *Registry) { r.SaysLeaving(serverOf(r, "a")) }
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
		{"started again under its id", []func(*Registry){answered, listed(reborn)}, Available},
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
