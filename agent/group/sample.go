package group

import (
	"math/rand/v2"
	"slices"
	"time"
)

// A coordinator's polls are limited by its VM's link, which also carries the requests to
// the backend server on the same VM. It polls as often as the answers of all ranks fit
// into half of its share of the link, and requests counts from as many chunks as fit into
// the remainder, in rotation. Which experts are popular is a property of the group's
// whole work, so a few ranks report it nearly as well as all: in one step, 30 streams
// choose each of 192 experts a hundred times.

const (
	// controlShare is the share of its VM's link that a coordinator may use.
	controlShare = 0.1
	// stateShare is the share of that for the ranks' answers without their counts.
	stateShare = 0.5
	// callBytes is the approximate size of the order to one chunk in a poll, including
	// the frames of its stream in both directions: 63 bytes and nine frames of 12.
	// stateBytes is the size of one rank's answer without its counts.
	callBytes, stateBytes = 170, 27
	// rootBytes is the size of the counts of one expert, layerBytes the overhead of each
	// layer.
	rootBytes  = 1
	layerBytes = 8
)

// budget bounds a coordinator's polls.
type budget struct {
	perSec float64 // bytes per second, 0 = unlimited
	state  float64 // bytes of one poll without counts
	counts float64 // bytes of one chunk's counts
}

// newBudget returns the budget on a link with a speed in bytes per second, 0 = not known.
func newBudget(link float64, ranks, layers, experts int) budget {
	return budget{
		perSec: controlShare * link, state: float64(ranks*stateBytes + min(maxDirectCalls, ranks)*callBytes),
		counts: float64(layers * (experts*rootBytes + layerBytes)),
	}
}

// pollsPerElection is the minimum number of polls per election timeout.
const pollsPerElection = 3

// minInterval returns the minimum time between two polls, given the time without contact
// after which ranks elect another coordinator.
func (b budget) minInterval(election time.Duration) time.Duration {
	if b.perSec <= 0 {
		return 0
	}
	return min(election/pollsPerElection, time.Duration(b.state/(stateShare*b.perSec)*float64(time.Second)))
}

// chunks returns how many of the chunks may report their counts in a poll, given the time
// since the previous poll; at least one.
func (b budget) chunks(passed time.Duration, of int) int {
	if b.perSec <= 0 {
		return of
	}
	n := int((b.perSec*passed.Seconds() - b.state) / b.counts)
	return min(of, max(1, n))
}

// rotation selects each chunk once per round, in a new random order each round.
type rotation struct {
	remaining []int
	next      []int // chunks that the next poll requests
}

// take returns the chunks to request now, which were announced with the previous poll,
// and announces n chunks for the next one. The first call has none to request.
func (r *rotation) take(n, of int) (now, next []int) {
	now = r.next
	r.next = nil
	for len(r.next) < min(n, of) {
		if len(r.remaining) == 0 {
			r.remaining = rand.Perm(of)
		}
		if !slices.Contains(r.next, r.remaining[0]) {
			r.next = append(r.next, r.remaining[0])
		}
		r.remaining = r.remaining[1:]
	}
	return now, r.next
}
