package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// evidence is what the ends of servers prove against the requests with a fingerprint.
type evidence struct {
	version uint64    // version of the table's state that it was derived from, 0 = none
	points  int       // weight of the evidence, see points
	servers int       // number of servers whose ends count
	latest  time.Time // time of the latest end that counts
}

// onTrial reports whether requests with a fingerprint of this kind are tried one at a time.
// For equal requests that harms none: one that ends well clears all. A part of prompts may be
// common to all requests of a service, so that more evidence is needed.
func (e *evidence) onTrial(k Kind) bool {
	if k == KindPart {
		return e.points >= onTrialFrom
	}
	return e.servers >= onTrialFrom
}

// weigh returns the evidence against the requests of a record. Ends of the given servers do
// not count, as other suspects explain them.
func (t *Table) weigh(f Fingerprint, r *record, attributed map[ServerKey]bool) evidence {
	out := evidence{version: t.version}
	var round []End // the ends of one round that count
	for _, e := range r.ends {
		if attributed[e.Server] || r.isCleared(f.Kind, e) || t.outages.coincides(e.Server, f, t.explained) {
			continue
		}
		if len(round) > 0 && e.Round != round[0].Round {
			out.points += t.points(f.Kind, round)
			round = nil
		}
		round = append(round, e)
		out.servers++
		if e.At.After(out.latest) {
			out.latest = e.At
		}
	}
	out.points += t.points(f.Kind, round)
	return out
}

// points returns the weight of the ends of one round. Copies of a request that were in
// progress together count once. A part may be held by several different requests, so two
// servers count twice, unless several ended at the same moment, which points to another
// cause, or one request was on both.
func (t *Table) points(k Kind, round []End) int {
	if k != KindPart || len(round) < 2 || !slices.ContainsFunc(round, t.outages.endedApart) {
		return min(len(round), 1)
	}
	for _, e := range round[1:] {
		if !t.hadCopies(round[0].Server, e.Server) {
			return 2
		}
	}
	return 1
}

// hadCopies reports whether equal requests, or requests with the same content, were on both
// servers when these ended.
func (t *Table) hadCopies(a, b ServerKey) bool {
	for f, r := range t.records {
		if f.Kind != KindPart && hasServer(r.ends, a) && hasServer(r.ends, b) {
			return true
		}
	}
	return false
}

// evidenceOf returns the evidence against the requests of a record.
func (t *Table) evidenceOf(f Fingerprint, r *record) *evidence {
	t.settle()
	if r.evidence.version != t.version {
		r.evidence = t.weigh(f, r, t.attributed)
	}
	return &r.evidence
}

// settle brings up to date which ends are explained and which are attributed to a suspect. The
// result depends only on what was recorded, not on the order in which it became known, so
// processes with the same records agree.
func (t *Table) settle() {
	if t.settled == t.version {
		return
	}
	t.settled = t.version
	t.explained = make(map[ServerKey]bool)
	for t.explain() {
	}
	t.attribute()
}

// explain adds the ends that requests on trial explain, and reports whether there were any
// to add. An explained end shows nothing about requests on other servers that ended at the
// same moment.
func (t *Table) explain() (added bool) {
	for f, r := range t.records {
		if len(r.ends) < onTrialFrom || !t.outages.accompanied(r.ends) {
			continue
		}
		if found := t.weigh(f, r, nil); !found.onTrial(f.Kind) {
			continue
		}
		for _, e := range r.ends {
			if !r.isCleared(f.Kind, e) && !t.explained[e.Server] {
				t.explained[e.Server] = true
				added = true
			}
		}
	}
	return added
}

// candidate is a suspect with enough evidence for a quarantine.
type candidate struct {
	fingerprint Fingerprint
	record      *record
	evidence    evidence
}

// attribute attributes ends to suspects, and stores the evidence against these. All requests
// on a server that ended are suspected, with all parts of their prompts, but one of them is
// enough to explain the end. So the ends under the most likely suspect count against no other
// one, and so on.
func (t *Table) attribute() {
	t.attributed = make(map[ServerKey]bool)
	settled := make(map[*record]bool)
	for {
		next, found := mostLikely(t.candidates(settled))
		if !found {
			return
		}
		settled[next.record] = true
		next.record.evidence = next.evidence
		for _, e := range next.record.ends {
			t.attributed[e.Server] = true
		}
	}
}

func (t *Table) candidates(settled map[*record]bool) (out []candidate) {
	for f, r := range t.records {
		if len(r.ends) < quarantinedFrom || settled[r] {
			continue
		}
		if found := t.weigh(f, r, t.attributed); found.points >= quarantinedFrom {
			out = append(out, candidate{f, r, found})
		}
	}
	return out
}

// mostLikely returns the suspect that explains the ends best: a request, or its content,
// unless more speaks against a part, and of the parts the one that comes last in prompts. The
// parts before it are held by the same requests and by others.
func mostLikely(candidates []candidate) (best candidate, found bool) {
	partPoints := 0
	for _, c := range candidates {
		if c.fingerprint.Kind == KindPart {
			partPoints = max(partPoints, c.evidence.points)
		}
	}
	for _, c := range candidates {
		if c.fingerprint.Kind != KindPart && c.evidence.points < partPoints {
			continue
		}
		if !found || c.compare(best) > 0 {
			best, found = c, true
		}
	}
	return best, found
}

// compare returns a positive number if c is a better explanation than o.
func (c candidate) compare(o candidate) int {
	isPart := c.fingerprint.Kind == KindPart
	if isPart != (o.fingerprint.Kind == KindPart) {
		if isPart {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(c.record.position, o.record.position),
		cmp.Compare(c.evidence.points, o.evidence.points),
		cmp.Compare(o.fingerprint.Kind, c.fingerprint.Kind),
		bytes.Compare(c.fingerprint.digest[:], o.fingerprint.digest[:]),
	)
}
