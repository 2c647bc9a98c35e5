package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/cluster"
	"baywall.example/core/source"
	"baywall.example/core/vm"
)

func peerAt(id string, era, revision uint64, heard time.Time) cluster.Peer {
	return cluster.Peer{VM: vm.ID(id), Front: "f", StoreChanged: source.Position{Era: era, Revision: revision}, Heard: heard}
}

// The gateway that has not noticed the store's return knows the highest revision, and was
// asked for it: what it offered was the state from before.
func TestALaterEraIsNewerThanAHigherRevision(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := NewExchange("z", 2*time.Second)
	own := Standing{Changed: source.Position{Era: 1, Revision: 50}, Listed: true, Resting: true}
	live := []cluster.Peer{peerAt("unaware", 1, 53, now), peerAt("aware", 2, 49, now.Add(-time.Millisecond))}
	s := x.Look(own, live, now)
	is.Equal(s.Nudge, source.Position{Era: 2, Revision: 49})
	is.True(s.Pull != nil)
	x.Ended(s.Pull.VM)
	own.Changed = source.Position{Era: 2, Revision: 49}
	s = x.Look(own, live, now.Add(time.Second))
	is.Equal(s.Nudge, source.Position{})
	is.True(s.Pull == nil)
}

// A gateway that was asked and is frozen held all others up for two seconds.
func TestAPullThatTakesLongIsHedged(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := NewExchange("z", 2*time.Second)
	own := Standing{Changed: source.Position{Revision: 1}, Listed: true, Resting: true}
	live := []cluster.Peer{peerAt("frozen", 0, 2, now), peerAt("b", 0, 2, now.Add(-time.Millisecond)), peerAt("c", 0, 2, now.Add(-time.Second))}
	is.Equal(x.Look(own, live, now).Pull.VM, vm.ID("frozen"))
	is.True(x.Look(own, live, now.Add(hedgeAfter/2)).Pull == nil)
	is.Equal(x.Look(own, live, now.Add(hedgeAfter)).Pull.VM, vm.ID("b"))
	is.Equal(x.Look(own, live, now.Add(2*hedgeAfter)).Pull.VM, vm.ID("c"))
	is.True(x.Look(own, live, now.Add(3*hedgeAfter)).Pull == nil) // enough are asked
}

// What others know better than the store is asked for once a while, not at each look.
func TestWhatOthersKnowBetterIsAskedFor(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := NewExchange("z", 2*time.Second)
	own := Standing{Changed: source.Position{Era: 2, Revision: 9}, Catalog: 4, Listed: true}
	knows := peerAt("knows", 2, 9, now)
	knows.CatalogVersion, knows.Retained = 5, 77
	s := x.Look(own, []cluster.Peer{knows}, now)
	is.Equal(s.Pull.VM, vm.ID("knows"))
	x.Ended("knows")
	is.True(x.Look(own, []cluster.Peer{knows}, now.Add(askAgain/2)).Pull == nil)
	is.True(x.Look(own, []cluster.Peer{knows}, now.Add(askAgain)).Pull != nil)
	x.Ended("knows")
	own.Catalog, own.Retained = 5, 77
	is.True(x.Look(own, []cluster.Peer{knows}, now.Add(3*askAgain)).Pull == nil)
}

// States are most of the bytes between zones.
func TestAGatewayOfTheSameZoneIsAskedFirst(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := NewExchange("z", 2*time.Second)
	own := Standing{Changed: source.Position{Revision: 1}, Listed: true, Resting: true}
	near := peerAt("near", 0, 2, now.Add(-100*time.Millisecond))
	near.Zone = "z"
	is.Equal(x.Look(own, []cluster.Peer{peerAt("far", 0, 3, now), near}, now).Pull.VM, vm.ID("near"))
	x.Ended("near")
	is.Equal(x.Look(own, []cluster.Peer{peerAt("far", 0, 3, now)}, now.Add(time.Second)).Pull.VM, vm.ID("far"))
}
