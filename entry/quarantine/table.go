package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/vm"
)

const (
	// maxRecords bounds the fingerprints of a table: when a server ends, all requests on
	// it become suspects, about a dozen.
	maxRecords = 2048
	// minAnnounceTime is the least time for which a process announces that it intends to try a
	// request on trial, so that only one of several such processes tries it. It spans a few
	// heartbeats.
	minAnnounceTime = 150 * time.Millisecond
	// minIntentTTL is the least time for which an announcement is valid if it is not repeated;
	// with long heartbeat intervals it is valid for twice the time that a process waits
	// after it. minPeerReportTTL is the least time for which the report of another process
	// about its attempts is valid.
	minIntentTTL     = time.Second
	minPeerReportTTL = time.Second
	// receiveIntervals is the number of heartbeat intervals within which a message of each
	// process is expected to arrive, as datagrams may be lost.
	receiveIntervals = 3
	// withdrawnTTL is how long the key of a server is kept whose reported end turned out
	// to be wrong.
	withdrawnTTL = suspectTTL
)

// Table holds the state of one process. It is safe for concurrent use.
type Table struct {
	self     vm.ID
	log      zerolog.Logger
	interval func() time.Duration

	nonEmpty atomic.Bool // whether there are records

	mu         sync.Mutex
	records    map[Fingerprint]*record
	outages    outages
	version    uint64             // incremented with each change of the ends and of what clears them
	settled    uint64             // version of which explained is a result, 0 = none
	explained  map[ServerKey]bool // servers whose ends a request on trial explains
	attributed map[ServerKey]bool // servers whose ends are attributed to a quarantined suspect
	answered   answeredParts
	withdrawn  map[ServerKey]time.Time // servers that answered after their reported end
	reports    uint64                  // number of reports built
}

// NewTable returns the empty table of a process. The interval function returns the time
// between two messages of another process that carry its report; it is called without
// holding the table's lock.
func NewTable(self vm.ID, interval func() time.Duration, log zerolog.Logger) *Table {
	return &Table{
		self: self, log: log, interval: interval,
		version: 1, records: make(map[Fingerprint]*record), outages: newOutages(), withdrawn: make(map[ServerKey]time.Time),
	}
}

// Empty reports whether nothing is known about any request, so that no request has to be
// looked up.
func (t *Table) Empty() bool { return !t.nonEmpty.Load() }

// Size returns the number of known fingerprints.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Count returns the number of fingerprints of a kind that have at least the given status.
func (t *Table) Count(k Kind, least Status, now time.Time) (n int) {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.records {
		if f.Kind == k && t.judge(f, now).Status >= least {
			n++
		}
	}
	return n
}

// peerReportTTL returns how long a report of another process about its attempts is valid.
func peerReportTTL(interval time.Duration) time.Duration {
	return max(minPeerReportTTL, receiveIntervals*interval)
}

// Judgement is the assessment of the requests with a fingerprint at one moment.
type Judgement struct {
	Fingerprint Fingerprint
	Status      Status
	Ends        int           // number of rounds of ends that count against the requests
	Remaining   time.Duration // remaining time of the quarantine
	Since       time.Duration // time since the latest end
}

// Judge returns the worst assessment of the fingerprints of a request.
func (t *Table) Judge(fingerprints []Fingerprint, now time.Time) Judgement {
	if t.Empty() {
		return Judgement{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.worst(fingerprints, now)
}

func (t *Table) worst(fingerprints []Fingerprint, now time.Time) (out Judgement) {
	for _, f := range fingerprints {
		if j := t.judge(f, now); j.Status > out.Status || j.Status == out.Status && j.Remaining > out.Remaining {
			out = j
		}
	}
	return out
}

func (t *Table) judge(f Fingerprint, now time.Time) Judgement {
	r := t.records[f]
	if r == nil {
		return Judgement{}
	}
	proof := t.evidenceOf(f, r)
	j := Judgement{Fingerprint: f, Ends: proof.points, Since: now.Sub(proof.latest)}
	if j.Ends == 0 || j.Since >= recordTTL(j.Ends) {
		return Judgement{}
	}
	j.Remaining = max(0, quarantine(j.Ends)-j.Since)
	switch {
	case j.Remaining > 0:
		j.Status = Quarantined
	case proof.onTrial(f.Kind):
		j.Status = OnTrial
	default:
		j.Status = Suspected
	}
	return j
}

// Ended records that a server ended while it was running an attempt at a request with the
// given fingerprints.
func (t *Table) Ended(fingerprints []Fingerprint, a *Attempt, server ServerKey, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for position, f := range fingerprints {
		t.addEnd(f, End{Server: server, Round: a.Round(f), At: at}, position, ownAttempt)
	}
}

// ownAttempt is logged as the source of observations of this process. For reports of
// other processes the source is the ID of the process.
const ownAttempt = "own attempt"

// addEnd records an end under a request that has the fingerprint at the given position of its
// list.
func (t *Table) addEnd(f Fingerprint, e End, position int, source string) {
	if _, isWithdrawn := t.withdrawn[e.Server]; isWithdrawn {
		return
	}
	if t.outages.add(e.Server, e.At) {
		t.version++
	}
	t.outages.known[e.Server].addUnder(f)
	r := t.record(f, e.At)
	if position > r.position {
		r.position = position
		t.version++
	}
	if !r.add(e) {
		return
	}
	t.version++
	r.changed = e.At
	if source == ownAttempt {
		r.observed = e.At
	}
	before, after := r.logged, t.judge(f, e.At)
	r.logged = after.Status
	event := t.log.Info()
	if after.Status == Quarantined && before != Quarantined {
		event = t.log.Warn()
	}
	event.Stringer("suspect", f).Uint64("server_incarnation", uint64(e.Server)).Int("round", e.Round).Str("source", source).
		Int("ends", after.Ends).Stringer("before", before).Stringer("standing", after.Status).
		Dur("quarantine", after.Remaining).Int("position", r.position).Msg("backend server ended under a request")
}

// Began records that a backend server has begun to answer a request with the given parts in
// its prompt (see Parts): none of them crashes servers.
func (t *Table) Began(parts []Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range parts {
		t.answered.record(f.digest, now)
		if r := t.records[f]; r != nil {
			t.clear(f, r, now, ownAttempt)
		}
	}
}

// Succeeded records that a run of a request with the given fingerprints ended well.
func (t *Table) Succeeded(fingerprints []Fingerprint, now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range fingerprints {
		if r := t.records[f]; r != nil {
			t.clear(f, r, now, ownAttempt)
		}
	}
}

func (t *Table) clear(f Fingerprint, r *record, at time.Time, source string) {
	changed := r.clear(f.Kind, at, source == ownAttempt)
	t.version++
	if !changed {
		return
	}
	r.changed = at
	if source == ownAttempt {
		r.observed = at
	}
	t.log.Info().Stringer("suspect", f).Str("source", source).Msg("suspect cleared: a run ended well, or a part of prompts was answered")
}

// Answered records that a server answered a request, given when the connection was opened
// and when the request was sent. If the server's supposed end lies between the two, the
// server has not ended but refused new connections, and the end is withdrawn. A connection
// opened after the end proves nothing: the server may have been restarted under the same
// ID.
func (t *Table) Answered(server ServerKey, opened, sent time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := t.outages.known[server]
	if ended == nil || !sent.After(ended.at) || !opened.Before(ended.at) {
		return
	}
	t.outages.remove(server)
	t.withdrawn[server] = sent
	t.version++
	for _, r := range t.records {
		r.ends = slices.DeleteFunc(r.ends, func(e End) bool { return e.Server == server })
	}
	t.log.Warn().Uint64("server_incarnation", uint64(server)).Msg("end of a backend server withdrawn: it answers")
}

// record returns the record of a fingerprint. It creates one if there is none.
func (t *Table) record(f Fingerprint, now time.Time) *record {
	if r := t.records[f]; r != nil {
		return r
	}
	if len(t.records) >= maxRecords {
		t.evict(now)
	}
	r := &record{changed: now, running: make(map[ServerKey]int), peerReports: make(map[vm.ID]peerReport)}
	if f.Kind == KindPart {
		r.cleared, r.ownRun = t.answered.last(f.digest), true
	}
	t.records[f] = r
	t.nonEmpty.Store(true)
	return r
}

// evict removes one record: among those with the fewest ends, the one that has not changed
// for the longest time.
func (t *Table) evict(now time.Time) {
	var victim Fingerprint
	least, oldest := maxEnds+1, now
	for f, r := range t.records {
		n := len(r.ends)
		if n < least || n == least && r.changed.Before(oldest) {
			victim, least, oldest = f, n, r.changed
		}
	}
	delete(t.records, victim)
	t.version++
	t.log.Warn().Stringer("suspect", victim).Int("ends", least).Msg("suspect forgotten for lack of room")
}

// Expire drops state that no longer affects any decision.
func (t *Table) Expire(now time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		idle := len(r.running) == 0 && r.admitted == 0
		status := t.judge(f, now).Status
		expired := now.Sub(r.changed) >= suspectTTL
		if idle && status == Unsuspected && expired {
			delete(t.records, f)
			t.version++
		}
	}
	for server, at := range t.withdrawn {
		if now.Sub(at) >= withdrawnTTL {
			delete(t.withdrawn, server)
		}
	}
	if t.outages.expire(now.Add(-recordTTL(maxEnds))) {
		t.version++
	}
	t.nonEmpty.Store(len(t.records) > 0)
}
