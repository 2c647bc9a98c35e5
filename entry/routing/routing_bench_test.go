package routing_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"baywall.example/core/vm"
	"baywall.example/entry/routing"
	"baywall.example/entry/routing/affinity"
	"baywall.example/entry/routing/leastload"
	"baywall.example/entry/routing/roundrobin"
	"baywall.example/entry/routing/twochoices"
)

func runners(n int) []*routing.Runner {
	out := make([]*routing.Runner, n)
	for i := range out {
		out[i] = routing.NewRunner(vm.ID(fmt.Sprintf("runner-%d", i)), "z")
	}
	return out
}

func policies() map[string]routing.Policy {
	return map[string]routing.Policy{
		"affinity": affinity.New(1.25), "round-robin": &roundrobin.Policy{},
		"least-load": leastload.Policy{}, "two-choices": twochoices.Policy{},
	}
}

func TestPick(t *testing.T) {
	for name, p := range policies() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(p.Pick(nil, 1), -1)
			is.Equal(p.Pick(runners(1), 1), 0)
		})
	}
}

func TestAffinityMovesAPrefixOnlyWhileItsRunnerIsBusy(t *testing.T) {
	is := is.New(t)
	p, rs := affinity.New(1.25), runners(8)
	home := p.Pick(rs, 42)
	is.Equal(p.Pick(rs, 42), home)
	for range 10 {
		rs[home].Begin()
	}
	next := p.Pick(rs, 42)
	is.True(next != home)
	for range 10 {
		rs[home].End()
	}
	is.Equal(p.Pick(rs, 42), home)
}

// No runner may get more than the factor times the mean, whatever the keys.
func TestAffinityBoundsTheLoad(t *testing.T) {
	is := is.New(t)
	p, rs := affinity.New(1.25), runners(10)
	for range 400 {
		rs[p.Pick(rs, 7)].Begin()
	}
	for _, r := range rs {
		is.True(r.Own() <= 51)
	}
}

// Between two reports, a strategy that relies on reports alone sends everything to one
// runner; one that counts its own requests does not.
func TestOwnRequestsCountBetweenReports(t *testing.T) {
	is := is.New(t)
	rs := runners(4)
	for i, r := range rs {
		r.Report(int64(10+i), 0)
	}
	onFirst, spread := 0, map[int]int{}
	for range 40 {
		if (leastload.Policy{}).Pick(rs, 0) == 0 {
			onFirst++
		}
		i := affinity.New(1).Pick(rs, 9)
		rs[i].Begin()
		spread[i]++
	}
	is.Equal(onFirst, 40)
	is.Equal(len(spread), 4)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 700} {
		for name, p := range policies() {
			b.Run(fmt.Sprintf("%s/runners=%d", name, n), func(b *testing.B) {
				rs := runners(n)
				b.ReportAllocs()
				key := uint64(0)
				for b.Loop() {
					key++
					p.Pick(rs, key)
				}
			})
		}
	}
}
