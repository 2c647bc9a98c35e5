package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

const (
	// maxReported bounds the suspects in one heartbeat; those of which something was observed
	// within recentTime come first. Each takes 34 bytes, and 22 more for each end.
	maxReported = 16
	recentTime  = 2 * time.Second
	// maxReportedEnds bounds the ends in one heartbeat, so that they fit a datagram of the
	// usual size.
	maxReportedEnds = 40
	// maxPosition is the largest position in a request's list of fingerprints.
	maxPosition = maxParts + 1
	// minRotated is the least number of quarantined suspects in a heartbeat, and of others, if
	// there are as many.
	minRotated = 4
)

// Report returns the suspects to report in a heartbeat: those of which this process observed
// something recently, and in rotation those that are quarantined and all others.
func (t *Table) Report(now time.Time) []*wire.Suspect {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports++
	fresh, quarantined, others := t.reportable(now)
	reserved := min(minRotated, len(quarantined)) + min(minRotated, len(others))
	chosen := t.leastReported(fresh, maxReported-reserved)
	reserved -= min(minRotated, len(quarantined))
	chosen = append(chosen, t.leastReported(quarantined, maxReported-len(chosen)-reserved)...)
	chosen = append(chosen, t.leastReported(others, maxReported-len(chosen))...)
	var out []*wire.Suspect
	ends := 0
	for _, f := range chosen {
		r := t.records[f]
		if ends += len(r.ends); ends > maxReportedEnds {
			break
		}
		r.reported = t.reports
		out = append(out, r.wire(f, now, false))
	}
	return out
}

// leastReported returns the given number of fingerprints: those that were reported the longest
// time ago, so that all of them are in turn.
func (t *Table) leastReported(fingerprints []Fingerprint, n int) []Fingerprint {
	slices.SortFunc(fingerprints, func(a, b Fingerprint) int {
		ra, rb := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(ra.reported, rb.reported), cmp.Compare(len(rb.ends), len(ra.ends)), bytes.Compare(a.digest[:], b.digest[:]))
	})
	return fingerprints[:min(n, len(fingerprints))]
}

// reportable returns the fingerprints to report to other processes: those of which this
// process observed something recently, even if nothing counts against them, because their
// ends make outages known, and others that are quarantined or suspected.
func (t *Table) reportable(now time.Time) (fresh, quarantined, others []Fingerprint) {
	for f, r := range t.records {
		status := t.judge(f, now).Status
		switch {
		case now.Sub(r.observed) < recentTime || len(r.running) > 0:
			fresh = append(fresh, f)
		case status == Quarantined:
			quarantined = append(quarantined, f)
		case status != Unsuspected:
			others = append(others, f)
		}
	}
	return fresh, quarantined, others
}

// FullReport returns the complete state.
func (t *Table) FullReport(now time.Time) []*wire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*wire.Suspect, 0, len(t.records))
	for f, r := range t.records {
		out = append(out, r.wire(f, now, true))
	}
	return out
}

// wire returns the record as it is reported. In heartbeats, only the process that observed
// a run that ended well reports it, because transmission delays make its age appear smaller
// with each hop. If relayed is true, other processes report it as well.
func (r *record) wire(f Fingerprint, now time.Time, relayed bool) *wire.Suspect {
	out := &wire.Suspect{Fingerprint: f.digest[:], Kind: wire.SuspectKind(f.Kind), Position: uint32(r.position), Intent: now.Before(r.announcedUntil)}
	for _, e := range r.ends {
		out.Ends = append(out.Ends, &wire.ServerEnd{Server: uint64(e.Server), Round: uint32(e.Round), AgeMs: ageMs(e.At, now)})
	}
	if !r.cleared.IsZero() && (r.ownRun || relayed) {
		out.ClearedMs = 1 + ageMs(r.cleared, now)
	}
	for server := range r.running {
		out.Running = append(out.Running, uint64(server))
	}
	return out
}

func ageMs(at, now time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

// Receive merges a report of another process.
func (t *Table) Receive(from vm.ID, suspects []*wire.Suspect, now time.Time) {
	if len(suspects) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range suspects {
		f, ok := fingerprintFromWire(w)
		if !ok {
			t.log.Warn().Str("peer", string(from)).Stringer("kind", w.GetKind()).Hex("fingerprint", w.GetFingerprint()).Msg("suspect not understood")
			continue
		}
		t.receive(from, f, w, now)
	}
}

// fingerprintFromWire returns the fingerprint of a reported suspect. It returns false if this
// process does not know its kind.
func fingerprintFromWire(w *wire.Suspect) (Fingerprint, bool) {
	_, known := wire.SuspectKind_name[int32(w.GetKind())]
	if !known || len(w.GetFingerprint()) != len(digest{}) {
		return Fingerprint{}, false
	}
	return Fingerprint{Kind: Kind(w.GetKind()), digest: digest(w.GetFingerprint())}, true
}

func (t *Table) receive(from vm.ID, f Fingerprint, w *wire.Suspect, now time.Time) {
	if ms := w.GetClearedMs(); ms > 0 {
		t.clear(f, t.record(f, now), now.Add(-time.Duration(ms-1)*time.Millisecond), string(from))
	}
	for _, e := range w.GetEnds() {
		if age := time.Duration(e.GetAgeMs()) * time.Millisecond; e.GetRound() > 0 && age < recordTTL(maxEnds) {
			t.addEnd(f, End{Server: ServerKey(e.GetServer()), Round: int(e.GetRound()), At: now.Add(-age)}, int(min(w.GetPosition(), maxPosition)), string(from))
		}
	}
	r := t.records[f]
	if r == nil {
		return
	}
	report := peerReport{announced: w.GetIntent(), at: now}
	for _, server := range w.GetRunning() {
		report.running = append(report.running, ServerKey(server))
	}
	if !report.announced && len(report.running) == 0 {
		delete(r.peerReports, from)
		return
	}
	r.peerReports[from] = report
}
