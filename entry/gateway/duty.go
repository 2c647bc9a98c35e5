package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"baywall.example/core/cluster"
	"baywall.example/core/rendezvous"
	"baywall.example/core/source"
)

const (
	// watchersPerZone is how many gateways of an availability zone follow the
	// store, as each call has its price and the store's rate is shared; the others
	// take what these hear.
	watchersPerZone = 1
	// smallFleet is up to how many gateways all of them follow the store: it can
	// bear their calls, and no change takes a second way.
	smallFleet = 12
	// shortestMeeting and longestMeeting bound the random time for which a gateway that
	// has just started waits to meet one that knows the state of the store already: when
	// a fleet of 150 starts, some of them list the backend servers in place of all.
	shortestMeeting, longestMeeting = 80 * time.Millisecond, 280 * time.Millisecond
	// askedAfter is when a gateway that has not got the state from another one asks the
	// store itself.
	askedAfter = 1500 * time.Millisecond
)

// watcherKey is what the order of those who follow the store is drawn for.
const watcherKey = "store-watch"

// duty decides whether a gateway follows the store itself or leaves it to others. It does no
// input or output.
type duty struct {
	vm, zone string
	within   time.Duration // in which a change has to be in force
	meets    bool          // there are others to look for at first
	began    time.Time
	meeting  time.Duration // for which they are looked for
}

func newDuty(vm, zone string, within time.Duration, meets bool, now time.Time) duty {
	return duty{
		vm: vm, zone: zone, within: within, meets: meets, began: now,
		meeting: shortestMeeting + rand.N(longestMeeting-shortestMeeting),
	}
}

// decide returns whether the gateway is one of those that follow the store for others, and
// whether it leaves the store alone.
func (d *duty) decide(live []cluster.Peer, active, listed bool, now time.Time) (leads, rest bool) {
	age := now.Sub(d.began)
	var own watchable
	own.add(d.vm, active)
	staleness := source.Staleness(followersAmong(d.zone, live)-1, d.within)
	fresh := false
	for _, p := range live {
		fresh = fresh || now.Sub(p.StoreHeard) < staleness
		if p.Zone == d.zone {
			own.add(string(p.VM), p.Active)
		}
	}
	leads = len(live)+1 <= smallFleet || slices.Contains(own.watchers(), d.vm)
	switch {
	case !listed && d.meets && age < d.meeting:
		return leads, true
	case !listed && age > askedAfter:
		return leads, false
	default:
		return leads, fresh && !leads
	}
}

// followersAmong returns how many gateways of a fleet follow the store, the one of the zone
// that sees the others included.
func followersAmong(zone string, live []cluster.Peer) int {
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

// watchable are the ids of an availability zone's gateways.
type watchable struct{ active, standby []string }

func (w *watchable) add(id string, active bool) {
	if active {
		w.active = append(w.active, id)
		return
	}
	w.standby = append(w.standby, id)
}

// watchers returns those that follow the store: active ones first, as the others hear
// these most often.
func (w *watchable) watchers() []string {
	name := func(id string) string { return id }
	order := slices.Concat(rendezvous.Order(w.active, watcherKey, name), rendezvous.Order(w.standby, watcherKey, name))
	return order[:min(len(order), watchersPerZone)]
}
