package group

import (
	"math/rand/v2"
	"slices"
	"time"
)

// What a coordinator asks of its group is bounded by its VM's link, which also carries
// the requests of the backend server beside it. It may ask as often as the answers of
// all ranks fit half of its part, and asks as many of them for their counts as the
// rest allows, in turn. Which experts are popular is a property of the group's whole
// work, so some ranks tell it nearly as well as all: one step of 30 streams chooses
// each of 192 experts a hundred times.

const (
	// controlShare is the part of its VM's link that a coordinator may use.
	controlShare = 0.1
	// stateShare is the part of that for what ranks say besides their counts.
	stateShare = 0.5
	// callBytes is about what the order to one chunk takes in a poll, the frames of its
	// stream both ways included, stateBytes the answer of one rank without its counts: 63
	// bytes and nine frames of 12, and 27 bytes, measured.
	callBytes, stateBytes = 170, 27
	// rootBytes is what the counts of one expert take, layerBytes what each layer takes
	// besides.
	rootBytes  = 1
	layerBytes = 8
)

// budget bounds a coordinator's polls.
type budget struct {
	perSec float64 // bytes, 0 = unbounded
	state  float64 // bytes of one poll without counts
	counts float64 // bytes of one chunk's counts
}

// newBudget returns the budget on a link of some bytes a second, 0 = not known.
func newBudget(link float64, ranks, layers, experts int) budget {
	return budget{
		perSec: controlShare * link, state: float64(ranks*stateBytes + min(mostDirect, ranks)*callBytes),
		counts: float64(layers * (experts*rootBytes + layerBytes)),
	}
}

// heardTimes is how often ranks have to hear their coordinator in the time after which
// they elect another one.
const heardTimes = 3

// gap returns the least time between two polls, where ranks elect another coordinator
// after some silence.
func (b budget) gap(election time.Duration) time.Duration {
	if b.perSec <= 0 {
		return 0
	}
	return min(election/heardTimes, time.Duration(b.state/(stateShare*b.perSec)*float64(time.Second)))
}

// chunks returns how many chunks may tell their counts in a poll that comes so long
// after the one before, at least one.
func (b budget) chunks(passed time.Duration, of int) int {
	if b.perSec <= 0 {
		return of
	}
	n := int((b.perSec*passed.Seconds() - b.state) / b.counts)
	return min(of, max(1, n))
}

// rotation picks chunks in turn, each round in a new random order.
type rotation struct {
	rest []int
	next []int // what the next poll asks
}

// take returns the chunks to ask now, which were announced with the poll before, and
// announces n for the next one. Without an announcement there is nothing to ask yet.
func (r *rotation) take(n, of int) (now, next []int) {
	now = r.next
	r.next = nil
	for len(r.next) < min(n, of) {
		if len(r.rest) == 0 {
			r.rest = rand.Perm(of)
		}
		if !slices.Contains(r.next, r.rest[0]) {
			r.next = append(r.next, r.rest[0])
		}
		r.rest = r.rest[1:]
	}
	return now, r.next
}
