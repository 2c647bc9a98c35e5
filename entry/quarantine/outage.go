package quarantine

import (
	"slices"
	"time"
)

const (
	// simultaneousWithin is the largest time between two observed ends that are attributed to
	// one cause: processes of one host end within milliseconds of each other, and ages
	// are transmitted with an error of a few heartbeats.
	simultaneousWithin = 250 * time.Millisecond
	// minUnrelatedEnds is the number of servers that must end at the same moment without
	// running a request to show that the request is not the cause. A single one may have
	// ended because of another such request.
	minUnrelatedEnds = 2
	// maxOutages bounds the ends of servers that are kept for comparison.
	maxOutages = 512
)

// outages holds the known ends of servers, by incarnation.
type outages struct {
	at      map[ServerKey]time.Time
	version uint64 // incremented with each change of the ends, starting at 1
}

func newOutages() outages { return outages{at: make(map[ServerKey]time.Time), version: 1} }

// add records an end. It drops the oldest one if the limit is reached.
func (o *outages) add(server ServerKey, at time.Time) {
	if _, known := o.at[server]; known {
		return
	}
	if len(o.at) >= maxOutages {
		delete(o.at, o.oldest())
	}
	o.at[server] = at
	o.version++
}

func (o *outages) remove(server ServerKey) {
	delete(o.at, server)
	o.version++
}

func (o *outages) oldest() ServerKey {
	var oldest ServerKey
	var first time.Time
	for server, at := range o.at {
		if first.IsZero() || at.Before(first) {
			oldest, first = server, at
		}
	}
	return oldest
}

// coincides reports whether several servers that are not among the ends of the request
// ended at the same moment as e, so that the request is not the cause of e.
func (o *outages) coincides(e End, own []End) bool {
	others := 0
	for server, at := range o.at {
		if at.Sub(e.At).Abs() <= simultaneousWithin && !hasServer(own, server) {
			if others++; others >= minUnrelatedEnds {
				return true
			}
		}
	}
	return false
}

func hasServer(ends []End, server ServerKey) bool {
	return slices.ContainsFunc(ends, func(e End) bool { return e.Server == server })
}

// count updates the number of rounds whose ends count against a request. It does nothing
// if the ends have not changed since the last call.
func (o *outages) count(r *record) {
	if r.countedVersion == o.version {
		return
	}
	r.countedVersion, r.count, r.servers, r.lastEnd = o.version, 0, 0, time.Time{}
	round := 0 // the last round counted
	for _, e := range r.uncleared() {
		if o.coincides(e, r.ends) {
			continue
		}
		r.servers++
		if e.Round != round {
			round = e.Round
			r.count++
		}
		if e.At.After(r.lastEnd) {
			r.lastEnd = e.At
		}
	}
}
