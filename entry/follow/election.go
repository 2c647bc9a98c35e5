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
	// watchersPerZone is how many gateways of an availability zone follow the
	// store, as each call has its price and the store's rate is shared; the others
	// take what these hear.
	watchersPerZone = 1
	// smallFleet is up to how many gateways all of them follow the store: it can
	// bear their calls, and no change takes a second way. smallLeaders of them follow it for
	// the others, too.
	smallFleet, smallLeaders = 12, 2
	// shortestMeeting and longestMeeting bound the random time for which a gateway that
	// has just started waits to meet one that knows the state of the store already: when
	// a fleet of 150 starts, some of them list the backend servers in place of all.
	shortestMeeting, longestMeeting = 80 * time.Millisecond, 280 * time.Millisecond
	// askedAfter is when a gateway that has not got the state from another one asks the
	// store itself.
	askedAfter = 1500 * time.Millisecond
	// bootstrapMeeting and bootstrapAskedAfter are the longest meeting and askedAfter of a
	// fleet that starts for the first time: no caller waits yet, and all have to meet before
	// they know which of them list the state for the others.
	bootstrapMeeting, bootstrapAskedAfter = 1200 * time.Millisecond, 3 * time.Second
)

// watcherKey is what the order of those who follow the store is drawn for.
const watcherKey = "store-watch"

// Election decides whether a gateway follows the store itself or leaves it to others. It does no
// input or output.
type Election struct {
	vm, zone string
	within   time.Duration // in which a change has to be in force
	meets    bool          // there are others to look for at first
	began    time.Time
	meeting  time.Duration // for which they are looked for
	asks     time.Duration // askedAfter
}

// NewElection returns the election of a gateway of a fleet in which a change has to be in force
// within a time. It meets others, or is alone; with bootstrap the fleet starts for the first time.
func NewElection(vm, zone string, within time.Duration, meets, bootstrap bool, now time.Time) *Election {
	e := &Election{
		vm: vm, zone: zone, within: within, meets: meets, began: now,
		meeting: shortestMeeting + rand.N(longestMeeting-shortestMeeting), asks: askedAfter,
	}
	if bootstrap {
		e.meeting, e.asks = bootstrapMeeting-rand.N(longestMeeting), bootstrapAskedAfter
	}
	return e
}

// Decide returns the gateway's part. Heartbeats tell who hears the store.
func (e *Election) Decide(live []cluster.Peer, own Standing, now time.Time) source.Duty {
	age := now.Sub(e.began)
	small := len(live)+1 <= smallFleet
	var order watchable
	order.add(e.vm, own.Active, own.Failing)
	fresh := false
	for _, p := range live {
		fresh = fresh || now.Sub(p.StoreHeard) < source.Staleness(e.within)
		if small || p.Zone == e.zone {
			order.add(string(p.VM), p.Active, p.StoreFailing)
		}
	}
	most := watchersPerZone
	if small {
		most = smallLeaders
	}
	switch {
	case !own.Listed && e.meets && age < e.meeting:
		return source.DutyRest
	case slices.Contains(order.first(most), e.vm):
		return source.DutyLead
	case small:
		return source.DutyFollow
	case fresh && (own.Listed || age <= e.asks):
		return source.DutyRest
	default:
		return source.DutyStandIn
	}
}

// Followers returns how many gateways of a fleet follow the store, the one of the zone
// that sees the others included.
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

// watchable are the ids of gateways that may follow the store for others.
type watchable struct{ active, standby, failing []string }

func (w *watchable) add(id string, active, failing bool) {
	switch {
	case failing:
		w.failing = append(w.failing, id)
	case active:
		w.active = append(w.active, id)
	default:
		w.standby = append(w.standby, id)
	}
}

// first returns those that follow the store: active ones first, as the others hear these
// most often, and those that the store does not answer last.
func (w *watchable) first(most int) []string {
	var order []string
	for _, ids := range [][]string{w.active, w.standby, w.failing} {
		order = append(order, rendezvous.Order(ids, watcherKey, func(id string) string { return id })...)
	}
	return order[:min(len(order), most)]
}
