package quarantine

import (
	"bytes"
	"slices"
	"time"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

const (
	// maxReported bounds the suspects in one heartbeat; those that changed within recentTime
	// come first. Each takes 30 bytes, and 22 more for each end.
	maxReported = 16
	recentTime  = 2 * time.Second
	// maxReportedEnds bounds the ends in one heartbeat, so that they fit a datagram of the
	// usual size.
	maxReportedEnds = 40
	// minRotated is the least number of unchanged suspects in a heartbeat, if there are as
	// many.
	minRotated = 4
)

// Report returns the suspects to report in a heartbeat: those that changed recently, and
// others in rotation.
func (t *Table) Report(now time.Time) []*wire.Suspect {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	fresh, old := t.reportable(now)
	slices.SortFunc(fresh, func(a, b Fingerprint) int { return t.records[b].changed.Compare(t.records[a].changed) })
	slices.SortFunc(old, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	fresh = fresh[:min(len(fresh), maxReported-min(minRotated, len(old)))]
	var out []*wire.Suspect
	ends := 0
	for _, f := range fresh {
		if ends += len(t.records[f].ends); ends > maxReportedEnds {
			return out
		}
		out = append(out, t.records[f].wire(f, now, false))
	}
	for range min(len(old), maxReported-len(fresh)) {
		t.rotated = (t.rotated + 1) % len(old)
		f := old[t.rotated]
		if ends += len(t.records[f].ends); ends > maxReportedEnds {
			break
		}
		out = append(out, t.records[f].wire(f, now, false))
	}
	return out
}

// reportable returns the records to report to other processes: those that changed recently,
// even if nothing counts against the request, because their ends make outages known, and
// older ones of requests that are suspected.
func (t *Table) reportable(now time.Time) (fresh, old []Fingerprint) {
	for f, r := range t.records {
		switch {
		case now.Sub(r.changed) < recentTime || len(r.running) > 0:
			fresh = append(fresh, f)
		case t.judge(r, now).Status != Unsuspected:
			old = append(old, f)
		}
	}
	return fresh, old
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
	out := &wire.Suspect{Fingerprint: f[:], Intent: now.Before(r.announcedUntil)}
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
		if len(w.GetFingerprint()) != len(Fingerprint{}) {
			t.log.Warn().Str("peer", string(from)).Hex("fingerprint", w.GetFingerprint()).Msg("suspect not understood")
			continue
		}
		t.receive(from, Fingerprint(w.GetFingerprint()), w, now)
	}
}

func (t *Table) receive(from vm.ID, f Fingerprint, w *wire.Suspect, now time.Time) {
	if ms := w.GetClearedMs(); ms > 0 {
		t.clear(f, t.record(f, now), now.Add(-time.Duration(ms-1)*time.Millisecond), string(from))
	}
	for _, e := range w.GetEnds() {
		if age := time.Duration(e.GetAgeMs()) * time.Millisecond; e.GetRound() > 0 && age < recordTTL(maxEnds) {
			t.addEnd(f, End{Server: ServerKey(e.GetServer()), Round: int(e.GetRound()), At: now.Add(-age)}, string(from))
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
