package quarantine

import (
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

// Attempt is one attempt at a suspected request. The zero value is for a request about
// which nothing is known.
type Attempt struct {
	// Round is one more than the round of the latest end that was known when the attempt
	// was admitted.
	Round int

	table       *Table
	fingerprint Fingerprint
	server      ServerKey
	sent        bool
}

// Admit decides whether a request may be tried. The caller must release a granted
// attempt.
func (t *Table) Admit(f Fingerprint, now time.Time) (Attempt, Permission) {
	if t.Empty() {
		return Attempt{Round: 1}, Granted
	}
	interval := t.interval() // acquires the lock under which the heartbeat's report is built
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	j := t.judge(r, now)
	switch {
	case j.Status == Quarantined:
		return Attempt{}, Refused
	case j.Status == Unsuspected:
		return Attempt{Round: 1}, Granted
	case j.Status == OnTrial && !t.mayTry(f, r, interval, now):
		return Attempt{}, Wait
	}
	r.admitted++
	r.announcedUntil = time.Time{}
	return Attempt{Round: r.nextRound(), table: t, fingerprint: f}, Granted
}

// mayTry reports whether a request on trial may be tried: no other attempt is in progress,
// this process has announced its intent for long enough, and no process that precedes it
// has announced the same.
func (t *Table) mayTry(f Fingerprint, r *record, interval time.Duration, now time.Time) bool {
	if r.admitted > 0 || len(r.running) > 0 {
		return false
	}
	for peer, report := range r.peerReports {
		if now.Sub(report.at) >= peerReportTTL(interval) {
			continue
		}
		if len(report.running) > 0 || report.announced && precedes(f, peer, t.self) {
			return false
		}
	}
	pause := max(minAnnounceTime, receiveIntervals*interval)
	if !now.Before(r.announcedUntil) {
		r.announced, r.announcedUntil, r.changed = now, now.Add(max(minIntentTTL, 2*pause)), now
		return false
	}
	return now.Sub(r.announced) >= pause
}

// precedes reports whether process a has precedence over process b in trying a request.
func precedes(f Fingerprint, a, b vm.ID) bool {
	weight := func(id vm.ID) uint64 { return xxhash.Sum64String(string(f[:]) + string(id)) }
	return weight(a) < weight(b)
}

// Send records the server to which the attempt is sent.
func (a *Attempt) Send(server ServerKey, now time.Time) {
	if a.table == nil {
		return
	}
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.server, a.sent = server, true
	if r := a.table.records[a.fingerprint]; r != nil {
		r.running[server]++
		r.changed = now
	}
}

// Release ends the attempt.
func (a *Attempt) Release() {
	if a.table == nil {
		return
	}
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	r := a.table.records[a.fingerprint]
	a.table = nil
	if r == nil {
		return // evicted in the meantime
	}
	r.admitted = max(0, r.admitted-1)
	if !a.sent {
		return
	}
	if r.running[a.server]--; r.running[a.server] <= 0 {
		delete(r.running, a.server)
	}
}

// Avoid returns the servers that a request should not be sent to if there are others: a
// request on trial may bring down its server, and two suspects on one server could not be
// told apart. The result is nil if there are no such servers.
func (t *Table) Avoid(f Fingerprint, now time.Time) map[ServerKey]bool {
	if t.Empty() {
		return nil
	}
	// interval acquires the lock under which the heartbeat's report is built.
	fresh := peerReportTTL(t.interval())
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := t.judge(t.records[f], now).Status != Unsuspected
	var out map[ServerKey]bool
	for other, r := range t.records {
		if other == f || len(r.running) == 0 && len(r.peerReports) == 0 {
			continue
		}
		if !suspected && t.judge(r, now).Status < OnTrial {
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
