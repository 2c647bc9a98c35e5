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
	// maxUnder bounds the fingerprints that are kept for one end: some dozen requests run on
	// a server.
	maxUnder = 96
)

// outage is the end of a server.
type outage struct {
	server ServerKey
	at     time.Time
	near   int // number of other servers that ended at the same moment
	// under holds what requests on the server had in common, up to maxUnder fingerprints. A
	// record keeps some of its ends only.
	under []Fingerprint
}

func (o *outage) addUnder(f Fingerprint) {
	if len(o.under) < maxUnder && !slices.Contains(o.under, f) {
		o.under = append(o.under, f)
	}
}

// outages holds the known ends of servers, by incarnation and in the order of their times.
type outages struct {
	known  map[ServerKey]*outage
	sorted []*outage
}

func newOutages() outages { return outages{known: make(map[ServerKey]*outage)} }

// from returns the index of the first end that is not before the time.
func (o *outages) from(at time.Time) int {
	i, _ := slices.BinarySearchFunc(o.sorted, at, func(out *outage, at time.Time) int { return out.at.Compare(at) })
	return i
}

// around returns the ends at the same moment as the given time.
func (o *outages) around(at time.Time) []*outage {
	return o.sorted[o.from(at.Add(-simultaneousWithin)):o.from(at.Add(simultaneousWithin+1))]
}

// add records an end and reports whether it was unknown. It drops the oldest one if the
// limit is reached.
func (o *outages) add(server ServerKey, at time.Time) bool {
	if o.known[server] != nil {
		return false
	}
	if len(o.sorted) >= maxOutages {
		o.remove(o.sorted[0].server)
	}
	added := &outage{server: server, at: at}
	for _, other := range o.around(at) {
		other.near++
		added.near++
	}
	o.known[server] = added
	o.sorted = slices.Insert(o.sorted, o.from(at), added)
	return true
}

func (o *outages) remove(server ServerKey) {
	removed := o.known[server]
	if removed == nil {
		return
	}
	delete(o.known, server)
	o.sorted = slices.DeleteFunc(o.sorted, func(out *outage) bool { return out == removed })
	for _, other := range o.around(removed.at) {
		other.near--
	}
}

// expire removes the ends before the given time, and reports whether there were any.
func (o *outages) expire(before time.Time) (removed bool) {
	for len(o.sorted) > 0 && o.sorted[0].at.Before(before) {
		o.remove(o.sorted[0].server)
		removed = true
	}
	return removed
}

// accompanied reports whether another server ended at the same moment as one of the ends.
func (o *outages) accompanied(ends []End) bool {
	return slices.ContainsFunc(ends, func(e End) bool {
		end := o.known[e.Server]
		return end != nil && end.near > 0
	})
}

// endedApart reports whether at most one other server ended at the same moment.
func (o *outages) endedApart(e End) bool {
	end := o.known[e.Server]
	return end == nil || end.near < minUnrelatedEnds
}

// coincides reports whether several servers on which no request with the fingerprint was
// running ended at the same moment as the given server, so that such a request is not the
// cause of its end. Servers whose ends other requests explain show nothing about this one.
func (o *outages) coincides(server ServerKey, f Fingerprint, explained map[ServerKey]bool) bool {
	end := o.known[server]
	if end == nil || end.near < minUnrelatedEnds {
		return false
	}
	others := 0
	for _, other := range o.around(end.at) {
		if explained[other.server] || slices.Contains(other.under, f) {
			continue
		}
		if others++; others >= minUnrelatedEnds {
			return true
		}
	}
	return false
}

func hasServer(ends []End, server ServerKey) bool {
	return slices.ContainsFunc(ends, func(e End) bool { return e.Server == server })
}
