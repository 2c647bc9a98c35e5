package quarantine

import (
	"slices"
	"time"

	"baywall.example/core/vm"
)

const (
	// onTrialFrom is the number of servers that ended from which a request is tried one at a
	// time, and quarantinedFrom the number of rounds from which it is no longer tried: two
	// servers in a row occasionally end for other reasons, and a request may bring down three
	// at most. Copies that were in progress together count once for the quarantine only, as
	// trying them one at a time harms nobody.
	onTrialFrom     = 2
	quarantinedFrom = 3
	// suspectTTL is how long ends count if there are too few of them for a quarantine.
	suspectTTL = 10 * time.Minute
	// firstQuarantine is the duration of a quarantine after the third end: it takes
	// minutes at least until servers are replaced by repaired ones. Each further end
	// doubles it, up to maxEnds.
	firstQuarantine = 10 * time.Minute
	// clearedTTL is how long after a run that ended well new ends are disregarded, and
	// partClearedTTL the same for a part of prompts, which is cleared each time that a request
	// with it is answered.
	clearedTTL     = 10 * time.Second
	partClearedTTL = time.Second
	// unansweredLimit is how long a process tries no other request with a suspected part while
	// one of them is not answered. Backend servers begin to answer earlier, unless they stall.
	unansweredLimit = 300 * time.Millisecond
	// maxEnds bounds the ends kept for one fingerprint.
	maxEnds = 8
)

// ServerKey identifies one incarnation of a backend server.
type ServerKey uint64

// End is the end of a backend server while it was running a request.
type End struct {
	Server ServerKey
	Round  int // round of the attempt, see Attempt.Round
	At     time.Time
}

// Status is the status of a request, which determines how it is handled.
type Status int

// The statuses of a request.
const (
	Unsuspected Status = iota
	Suspected          // servers ended while running it; it is tried, apart from other suspects
	OnTrial            // it is tried one at a time
	Quarantined        // it is refused
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"unsuspected", "suspected", "on-trial", "quarantined"}[s]
}

// record holds what is known about one fingerprint.
type record struct {
	ends       []End     // one per server
	position   int       // of a part: the last one at which it was in a prompt
	cleared    time.Time // when a run last ended well; zero if never
	ownRun     bool      // whether that run was in this process
	changed    time.Time
	observed   time.Time         // when this process last observed something itself
	reported   uint64            // number of the report in which it was last sent
	logged     Status            // as of the latest end
	evidence   evidence          // as of the latest judgement
	running    map[ServerKey]int // attempts of this process, by server
	admitted   int               // attempts of this process that are not released yet
	admittedAt time.Time         // when the latest of them was admitted
	announced  time.Time         // when this process announced that it intends to try the request
	// announcedUntil is when the announcement expires; zero if there is none.
	announcedUntil time.Time
	peerReports    map[vm.ID]peerReport // by process
}

// peerReport is the last report of another process about its attempts.
type peerReport struct {
	running   []ServerKey
	announced bool
	at        time.Time
}

// add merges an end into the record and reports whether the record changed. Of two
// attempts on the same server the later round counts.
func (r *record) add(e End) bool {
	same := slices.IndexFunc(r.ends, func(known End) bool { return known.Server == e.Server })
	switch {
	case same < 0:
		r.ends = append(r.ends, e)
	case r.ends[same].Round < e.Round:
		r.ends[same].Round = e.Round
	default:
		return false
	}
	slices.SortStableFunc(r.ends, func(a, b End) int { return a.Round - b.Round })
	if len(r.ends) > maxEnds {
		r.ends = r.ends[1:]
	}
	return true
}

// clear records that a run ended well, in this process or another one, and reports whether
// fewer ends count as a result.
func (r *record) clear(k Kind, at time.Time, ownRun bool) bool {
	if !at.After(r.cleared) {
		return false
	}
	before := record{cleared: r.cleared}
	r.cleared, r.ownRun = at, ownRun
	return slices.ContainsFunc(r.ends, func(e End) bool { return r.isCleared(k, e) && !before.isCleared(k, e) })
}

// isCleared reports whether an end is disregarded because of a run that ended well.
func (r *record) isCleared(k Kind, e End) bool {
	ttl := clearedTTL
	if k == KindPart {
		ttl = partClearedTTL
	}
	return !r.cleared.IsZero() && e.At.Before(r.cleared.Add(ttl))
}

// nextRound returns the round of an attempt that is admitted now.
func (r *record) nextRound() int {
	if len(r.ends) == 0 {
		return 1
	}
	return 1 + r.ends[len(r.ends)-1].Round
}

// quarantine returns how long a request is refused after the given number of ends.
func quarantine(ends int) time.Duration {
	if ends < quarantinedFrom {
		return 0
	}
	return firstQuarantine << (min(ends, maxEnds) - quarantinedFrom)
}

// recordTTL returns how long a record with the given number of ends is kept after the latest
// one.
func recordTTL(ends int) time.Duration { return max(suspectTTL, 2*quarantine(ends)) }
