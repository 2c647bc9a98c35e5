package follow

import (
	"math/rand/v2"
	"slices"
	"time"

	"baywall.example/core/cluster"
	"baywall.example/core/rendezvous"
	"baywall.example/core/source"
)

const (
	// watchersPerZone is how many gateways of an availability zone follow the store. The
	// others take the changes from these, because each call to the store is charged and the
	// rate of calls is shared.
	watchersPerZone = 1
	// smallFleet is the largest number of gateways with which all of them follow the store:
	// the store can handle their calls, and no change needs a second hop. smallLeaders of
	// them also follow it on behalf of the others.
	smallFleet, smallLeaders = 12, 2
	// minDiscovery and maxDiscovery bound the random time for which a gateway that
	// has just started waits to discover one that already knows the state of the store. So
	// when a fleet of 150 starts, only some of the gateways list the backend servers.
	minDiscovery, maxDiscovery = 80 * time.Millisecond, 280 * time.Millisecond
	// fallbackAfter is when a gateway that has not received the state from another one queries
	// the store itself.
	fallbackAfter = 1500 * time.Millisecond
	// bootstrapDiscovery and bootstrapFallbackAfter replace maxDiscovery and fallbackAfter
	// in a fleet that starts for the first time: no caller is waiting yet, and all gateways
	// have to discover each other before they know which of them list the state for the
	// others.
	bootstrapDiscovery, bootstrapFallbackAfter = 1200 * time.Millisecond, 3 * time.Second
)

// watcherKey is the rendezvous key for the order in which gateways are chosen to follow the
// store.
const watcherKey = "store-watch"

// Election decides whether a gateway follows the store itself or relies on others to do so. It
// does no input or output.
type Election struct {
	vm, zone  string
	within    time.Duration // time within which a change has to be in force
	hasPeers  bool          // whether there are other gateways to discover at the start
	started   time.Time
	discovery time.Duration // how long to wait for them
	fallback  time.Duration // fallbackAfter or its value for a bootstrap
}

// NewElection returns the election of a gateway in a fleet in which a change has to be in
// force within the given time. The argument hasPeers tells whether there are other gateways
// to discover, and bootstrap whether the fleet starts for the first time.
func NewElection(vm, zone string, within time.Duration, hasPeers, bootstrap bool, now time.Time) *Election {
	e := &Election{
		vm: vm, zone: zone, within: within, hasPeers: hasPeers, started: now,
		discovery: minDiscovery + rand.N(maxDiscovery-minDiscovery), fallback: fallbackAfter,
	}
	if bootstrap {
		e.discovery, e.fallback = bootstrapDiscovery-rand.N(maxDiscovery), bootstrapFallbackAfter
	}
	return e
}

// Decide returns the gateway's role. Heartbeats report which gateways are in contact with the
// store.
func (e *Election) Decide(live []cluster.Peer, own State, now time.Time) source.Role {
	age := now.Sub(e.started)
	small := len(live)+1 <= smallFleet
	var order candidates
	order.add(e.vm, own.Active, own.Failing)
	fresh := false
	for _, p := range live {
		fresh = fresh || now.Sub(p.LastStoreAnswer) < source.MaxStaleness(e.within)
		if small || p.Zone == e.zone {
			order.add(string(p.VM), p.Active, p.StoreFailing)
		}
	}
	limit := watchersPerZone
	if small {
		limit = smallLeaders
	}
	switch {
	case !own.Listed && e.hasPeers && age < e.discovery:
		return source.RolePassive
	case slices.Contains(order.first(limit), e.vm):
		return source.RoleLead
	case small:
		return source.RoleFollow
	case fresh && (own.Listed || age <= e.fallback):
		return source.RolePassive
	default:
		return source.RoleStandIn
	}
}

// Followers returns how many gateways follow the store: among the live ones and this gateway,
// which is in the given zone.
func Followers(zone string, live []cluster.Peer) int {
	if len(live) < smallFleet {
		return len(live) + 1
	}
	zones := map[string]int{zone: 1}
	for _, p := range live {
		zones[p.Zone]++
	}
	sum := 0
	for _, n := range zones {
		sum += min(n, watchersPerZone)
	}
	return sum
}

// candidates holds the IDs of gateways that may follow the store on behalf of others.
type candidates struct{ active, standby, failing []string }

func (w *candidates) add(id string, active, failing bool) {
	switch {
	case failing:
		w.failing = append(w.failing, id)
	case active:
		w.active = append(w.active, id)
	default:
		w.standby = append(w.standby, id)
	}
}

// first returns the gateways that follow the store. Active ones come first, because the others
// receive their heartbeats most often, and those that the store does not answer come last.
func (w *candidates) first(limit int) []string {
	var order []string
	for _, ids := range [][]string{w.active, w.standby, w.failing} {
		order = append(order, rendezvous.Order(ids, watcherKey, func(id string) string { return id })...)
	}
	return order[:min(len(order), limit)]
}
