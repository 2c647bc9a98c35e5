package cluster

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/rendezvous"
)

// sizes are the fleet sizes at which losses must be detected within the same time and at
// the same cost for each member. A tenth of the members is active.
var sizes = []int{254, 508, 1016}

// detectionLimit is the time after which no member may list a lost active member.
const detectionLimit = 1500 * time.Millisecond

// joined returns a fleet whose members have joined: they know each other. The seed determines
// all that is random in the fleet.
func joined(n int, seed uint64) *fleet {
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:1", i/200, i%200))
	}
	f := newFleet(addresses[:3], addresses...)
	f.rnd = rand.New(rand.NewPCG(seed, 2))
	for i, a := range addresses {
		self := f.selves[a]
		self.Active, self.Zone = i%10 == 0, fmt.Sprintf("z%d", i/10%5)
		f.selves[a] = self
	}
	for _, from := range addresses {
		hb := f.tables[from].heartbeat(f.selves[from], f.rnd, f.now)
		for _, to := range addresses {
			f.tables[to].Receive(hb, f.now)
			f.tables[to].joined = f.now.Add(-discoveryTime) // as if no member had joined recently
		}
	}
	return f
}

// runNodes runs the fleet for a time in the way that Node does: a settled standby looks
// for due heartbeats less often. It returns the number of datagrams sent by active members
// and by standbys.
func (f *fleet) runNodes(d time.Duration) (actives, standbys int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, a := range f.shuffled() {
			t, active := f.tables[a], f.selves[a].Active
			if every := int(standbyTick / tick); !active && int(f.now.UnixNano()/int64(tick))%every != int(t.peerHash())%every {
				continue
			}
			out, _ := t.Tick(f.selves[a], f.rnd, f.now)
			sortByAddress(out)
			for _, d := range out {
				if to := f.tables[d.Address]; to != nil && !f.cut[a] && !f.cut[d.Address] {
					to.Receive(d.Heartbeat, f.now)
				}
			}
			if active {
				actives += len(out)
			} else {
				standbys += len(out)
			}
		}
	}
	return actives, standbys
}

// addresses returns the addresses of all members in a fixed order.
func (f *fleet) addresses() []string { return slices.Sorted(maps.Keys(f.tables)) }

// shuffled returns the addresses of all members in the order in which they tick, which is
// another one in each tick and depends on the seed only.
func (f *fleet) shuffled() []string {
	out := f.addresses()
	f.rnd.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func sortByAddress(out []Datagram) {
	slices.SortFunc(out, func(a, b Datagram) int { return cmp.Compare(a.Address, b.Address) })
}

// peerHash spreads the ticks of standbys over time.
func (t *Table) peerHash() uint8 { return uint8(rendezvous.Hash(t.self)) }

// listed reports whether any running member still lists a lost active member.
func (f *fleet) listed(lost map[string]bool) bool {
	for a, table := range f.tables {
		if lost[a] {
			continue
		}
		for gone := range lost {
			if table.alive[gone] && table.peers[gone].Active {
				return true
			}
		}
	}
	return false
}

// lose cuts members off. It returns the time until no running member lists an active one
// of them, or the timeout if that is not reached.
func (f *fleet) lose(lost map[string]bool, timeout time.Duration) time.Duration {
	for a := range lost {
		f.cut[a] = true
	}
	start := f.now
	for f.listed(lost) && f.now.Sub(start) < timeout {
		f.runNodes(tick)
	}
	return f.now.Sub(start)
}

// Callers ask any member where to connect, so no member may list a lost active member for
// long, whether one member is lost or half of the fleet. The cost of detection must not
// grow with the fleet.
func TestLossDetectionTimeAndCostDoNotGrowWithFleet(t *testing.T) {
	for _, n := range sizes {
		for seed := range *lossSeeds {
			t.Run(fmt.Sprintf("%d members, seed %d", n, seed+1), func(t *testing.T) {
				t.Parallel()
				checkLossDetection(t, n, seed+1)
			})
		}
	}
}

// lossSeeds is the number of random fleets of each size in which losses are detected.
var lossSeeds = flag.Uint64("loss-seeds", 1, "fleets of each size in which losses are detected")

func checkLossDetection(t *testing.T, n int, seed uint64) {
	is := is.New(t)
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // the largest fleet has a million Peer values
	f := joined(n, seed)
	f.runNodes(time.Second)
	actives, standbys := f.runNodes(time.Second)
	active, standby := actives/((n+9)/10), standbys/(n-(n+9)/10)
	one := f.lose(map[string]bool{"10.0.0.10:1": true}, 4*time.Second)
	f.runNodes(time.Second)
	lost := make(map[string]bool)
	for _, a := range f.addresses() {
		if f.rnd.IntN(100) < 55 {
			lost[a] = true
		}
	}
	half := f.lose(lost, 4*time.Second)
	t.Logf("%d members: one lost %v, %d lost %v, %d datagrams a second from an active member, %d from a standby",
		n, one, len(lost), half, active, standby)
	is.True(one <= detectionLimit)
	is.True(half <= detectionLimit)
	is.True(active <= 340) // as in a fleet of 100
	is.True(standby <= 20)
}

// A member that receives nothing considers all others lost and reports them to members
// that still receive its heartbeats.
func TestLossReportsOfMemberThatReceivesNothingAreRejected(t *testing.T) {
	is := is.New(t)
	f := joined(120, 1)
	f.runNodes(time.Second)
	const unreachable = "10.0.0.10:1"
	table := f.tables[unreachable]
	for end := f.now.Add(4 * time.Second); f.now.Before(end); {
		f.tables[unreachable] = nil // it receives nothing
		f.tickAllBut(unreachable)
		f.tables[unreachable] = table
		out, _ := table.Tick(f.selves[unreachable], f.rnd, f.now)
		f.deliver(unreachable, out)
		for a, other := range f.tables {
			if a != unreachable {
				live := other.Live()
				// The unreachable member now sends rarely.
				live = slices.DeleteFunc(live, func(p Peer) bool { return p.Address == unreachable })
				is.Equal(len(live), 118)
			}
		}
	}
	is.Equal(len(table.Live()), 0)
}

// tickAllBut runs one tick of all members but one.
func (f *fleet) tickAllBut(unreachable string) {
	for a, t := range f.tables {
		if a != unreachable {
			out, _ := t.Tick(f.selves[a], f.rnd, f.now)
			f.deliver(a, out)
		}
	}
	f.now = f.now.Add(tick)
}

// A member that was frozen for some seconds and marked lost must be listed by all others
// again soon after it resumes.
func TestMemberThatResumesIsListedAgainSoon(t *testing.T) {
	is := is.New(t)
	f := joined(254, 1)
	f.runNodes(time.Second)
	const frozen = "10.0.0.10:1"
	is.True(f.lose(map[string]bool{frozen: true}, 4*time.Second) <= detectionLimit)
	f.runNodes(2500 * time.Millisecond)
	f.cut[frozen] = false
	f.runNodes(2500 * time.Millisecond)
	for a, table := range f.tables {
		if a != frozen {
			is.True(table.alive[frozen])
		}
	}
}
