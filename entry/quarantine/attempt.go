package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"baywall.example/core/vm"
)

// Permission is the decision whether a request may be tried now.
type Permission int

// Permissions.
const (
	Granted Permission = iota + 1
	Wait               // another attempt at an equal request must end first
	Refused            // the request is quarantined
)

// Attempt is one attempt at a request. The zero value is for a request about which nothing
// is known.
type Attempt struct {
	table    *Table
	admitted []admission
	server   ServerKey
	sent     bool
}

// admission is the admission of an attempt with regard to one of the request's fingerprints
// under which servers have ended.
type admission struct {
	fingerprint Fingerprint
	// round is one more than the round of the latest end that was known.
	round int
	// suspected tells whether the attempt is reported while it is in progress.
	suspected bool
}

// Round returns one more than the round of the latest end under requests with the
// fingerprint that was known when the attempt was admitted.
func (a *Attempt) Round(f Fingerprint) int {
	for _, admitted := range a.admitted {
		if admitted.fingerprint == f {
			return admitted.round
		}
	}
	return 1
}

// Admit decides whether a request with the given fingerprints may be tried. The caller must
// release a granted attempt.
func (t *Table) Admit(fingerprints []Fingerprint, now time.Time) (Attempt, Permission) {
	if t.Empty() {
		return Attempt{}, Granted
	}
	interval := t.interval() // acquires the lock under which the heartbeat's report is built
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.worst(fingerprints, now).Status == Quarantined {
		return Attempt{}, Refused
	}
	permission := Granted
	for _, f := range fingerprints {
		if !t.mayAttempt(f, interval, now) {
			permission = Wait
		}
	}
	if permission == Wait {
		return Attempt{}, Wait
	}
	return t.admit(fingerprints, now), Granted
}

// mayAttempt reports whether the requests with a fingerprint may be tried now. Requests with a
// suspected part of their prompts are many and different, so each process tries one of them
// until a backend server has begun to answer it, or should have.
func (t *Table) mayAttempt(f Fingerprint, interval time.Duration, now time.Time) bool {
	r := t.records[f]
	switch t.judge(f, now).Status {
	case OnTrial:
		return t.mayTry(r, interval, now)
	case Suspected:
		return f.Kind != KindPart || r.admitted == 0 || now.Sub(r.admittedAt) >= unansweredLimit
	default:
		return true
	}
}

// admit returns an attempt that is in progress with regard to all suspected fingerprints.
func (t *Table) admit(fingerprints []Fingerprint, now time.Time) Attempt {
	out := Attempt{table: t}
	for _, f := range fingerprints {
		r := t.records[f]
		if r == nil {
			continue
		}
		suspected := t.judge(f, now).Status != Unsuspected
		if suspected {
			r.admitted++
			r.admittedAt, r.announcedUntil = now, time.Time{}
		}
		out.admitted = append(out.admitted, admission{f, r.nextRound(), suspected})
	}
	return out
}

// mayTry reports whether a request on trial may be tried: no other attempt is in progress,
// this process has announced its intent for long enough, and no process that precedes it
// has announced the same.
func (t *Table) mayTry(r *record, interval time.Duration, now time.Time) bool {
	if r.admitted > 0 || len(r.running) > 0 {
		return false
	}
	for peer, report := range r.peerReports {
		if now.Sub(report.at) >= peerReportTTL(interval) {
			continue
		}
		if len(report.running) > 0 || report.announced && precedes(peer, t.self) {
			return false
		}
	}
	pause := max(minAnnounceTime, receiveIntervals*interval)
	if !now.Before(r.announcedUntil) {
		r.announced, r.announcedUntil = now, now.Add(max(minIntentTTL, 2*pause))
		r.changed, r.observed = now, now
		return false
	}
	return now.Sub(r.announced) >= pause
}

// precedes reports whether process a has precedence over process b in trying a request. The
// order is the same for all fingerprints: otherwise two processes could wait for each other,
// as a request may be on trial with regard to several of them.
func precedes(a, b vm.ID) bool { return xxhash.Sum64String(string(a)) < xxhash.Sum64String(string(b)) }

// Send records the server to which the attempt is sent.
func (a *Attempt) Send(server ServerKey, now time.Time) {
	if len(a.admitted) == 0 {
		return
	}
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.server, a.sent = server, true
	for _, admitted := range a.admitted {
		if r := a.table.records[admitted.fingerprint]; r != nil && admitted.suspected {
			r.running[server]++
			r.changed, r.observed = now, now
		}
	}
}

// Release ends the attempt.
func (a *Attempt) Release() {
	if len(a.admitted) == 0 {
		return
	}
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	for _, admitted := range a.admitted {
		if r := a.table.records[admitted.fingerprint]; r != nil && admitted.suspected { // nil if evicted in the meantime
			r.release(a.server, a.sent)
		}
	}
	a.admitted = nil
}

// release records that an attempt has ended, which was sent to the server if sent is true.
func (r *record) release(server ServerKey, sent bool) {
	r.admitted = max(0, r.admitted-1)
	if !sent {
		return
	}
	if r.running[server]--; r.running[server] <= 0 {
		delete(r.running, server)
	}
}

// Avoid returns the servers that a request should not be sent to if there are others: a
// request on trial may bring down its server, and two suspects on one server could not be
// told apart. The result is nil if there are no such servers.
func (t *Table) Avoid(fingerprints []Fingerprint, now time.Time) map[ServerKey]bool {
	if t.Empty() {
		return nil
	}
	// interval acquires the lock under which the heartbeat's report is built.
	fresh := peerReportTTL(t.interval())
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := t.worst(fingerprints, now).Status != Unsuspected
	var out map[ServerKey]bool
	for other, r := range t.records {
		if slices.Contains(fingerprints, other) || len(r.running) == 0 && len(r.peerReports) == 0 {
			continue
		}
		if !suspected && t.judge(other, now).Status < OnTrial {
			continue
		}
		out = r.addServers(out, fresh, now)
	}
	return out
}

// addServers adds the servers on which attempts are in progress: those of this process,
// and those of other processes whose report is younger than fresh.
func (r *record) addServers(to map[ServerKey]bool, fresh time.Duration, now time.Time) map[ServerKey]bool {
	if to == nil {
		to = make(map[ServerKey]bool)
	}
	for server := range r.running {
		to[server] = true
	}
	for _, report := range r.peerReports {
		if now.Sub(report.at) >= fresh {
			continue
		}
		for _, server := range report.running {
			to[server] = true
		}
	}
	return to
}
