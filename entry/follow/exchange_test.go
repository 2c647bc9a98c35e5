package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/cluster"
	"baywall.example/core/source"
	"baywall.example/core/vm"
)

func peerAt(id string, term, revision uint64, lastHeartbeat time.Time) cluster.Peer {
	return cluster.Peer{VM: vm.ID(id), Front: "f", StoreChanged: source.Position{Term: term, Revision: revision}, LastHeartbeat: lastHeartbeat}
}

// After the store was restored, a gateway that has not noticed it may know the highest
// revision. Pulling from it would bring the state from before the restore.
func TestLaterTermIsNewerThanHigherRevision(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := NewExchange("z", 2*time.Second)
	own := State{Changed: source.Position{Term: 1, Revision: 50}, Listed: true, Passive: true}
	live := []cluster.Peer{peerAt("unaware", 1, 53, now), peerAt("aware", 2, 49, now.Add(-time.Millisecond))}
	s := x.Check(own, live, now)
	is.Equal(s.Nudge, source.Position{Term: 2, Revision: 49})
	is.True(s.Pull != nil)
	x.PullEnded(s.Pull.VM)
	own.Changed = source.Position{Term: 2, Revision: 49}
	s = x.Check(own, live, now.Add(time.Second))
	is.Equal(s.Nudge, source.Position{})
	is.True(s.Pull == nil)
}

// Without hedging, a pull from a frozen gateway delays all others by the timeout of two
// seconds.
func TestSlowPullIsHedged(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := NewExchange("z", 2*time.Second)
	own := State{Changed: source.Position{Revision: 1}, Listed: true, Passive: true}
	live := []cluster.Peer{peerAt("frozen", 0, 2, now), peerAt("b", 0, 2, now.Add(-time.Millisecond)), peerAt("c", 0, 2, now.Add(-time.Second))}
	is.Equal(x.Check(own, live, now).Pull.VM, vm.ID("frozen"))
	is.True(x.Check(own, live, now.Add(hedgeAfter/2)).Pull == nil)
	is.Equal(x.Check(own, live, now.Add(hedgeAfter)).Pull.VM, vm.ID("b"))
	is.Equal(x.Check(own, live, now.Add(2*hedgeAfter)).Pull.VM, vm.ID("c"))
	// The maximum number of pulls is in progress.
	is.True(x.Check(own, live, now.Add(3*hedgeAfter)).Pull == nil)
}

// A state in which another gateway is ahead of the store is pulled at intervals of
// repeatPullAfter, not at each check.
func TestStateAheadOfStoreIsPulled(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := NewExchange("z", 2*time.Second)
	own := State{Changed: source.Position{Term: 2, Revision: 9}, Catalog: 4, Listed: true}
	ahead := peerAt("ahead", 2, 9, now)
	ahead.CatalogVersion, ahead.Retained = 5, 77
	s := x.Check(own, []cluster.Peer{ahead}, now)
	is.Equal(s.Pull.VM, vm.ID("ahead"))
	x.PullEnded("ahead")
	is.True(x.Check(own, []cluster.Peer{ahead}, now.Add(repeatPullAfter/2)).Pull == nil)
	is.True(x.Check(own, []cluster.Peer{ahead}, now.Add(repeatPullAfter)).Pull != nil)
	x.PullEnded("ahead")
	own.Catalog, own.Retained = 5, 77
	is.True(x.Check(own, []cluster.Peer{ahead}, now.Add(3*repeatPullAfter)).Pull == nil)
}

// States are most of the traffic between zones, so they are pulled within the zone if
// possible.
func TestPullPrefersGatewayOfSameZone(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := NewExchange("z", 2*time.Second)
	own := State{Changed: source.Position{Revision: 1}, Listed: true, Passive: true}
	near := peerAt("near", 0, 2, now.Add(-100*time.Millisecond))
	near.Zone = "z"
	is.Equal(x.Check(own, []cluster.Peer{peerAt("far", 0, 3, now), near}, now).Pull.VM, vm.ID("near"))
	x.PullEnded("near")
	is.Equal(x.Check(own, []cluster.Peer{peerAt("far", 0, 3, now)}, now.Add(time.Second)).Pull.VM, vm.ID("far"))
}
