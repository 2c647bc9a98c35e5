package quarantine

import "time"

// evidence is what the ends of servers prove against the requests with a fingerprint.
type evidence struct {
	version uint64    // version of the table's state that it was derived from, 0 = none
	rounds  int       // number of rounds that count
	servers int       // number of servers whose ends count
	latest  time.Time // time of the latest end that counts
}

// settle brings the explained ends up to date: those of servers on which a request was
// running that is tried one at a time or not at all. An explained end shows nothing about
// requests on servers that ended at the same moment. The result depends only on the recorded
// ends, not on the order in which they became known.
func (t *Table) settle() {
	if t.settled == t.version {
		return
	}
	t.settled = t.version
	t.explained = make(map[ServerKey]bool)
	for t.explain() {
	}
}

// explain adds ends to the explained ones and reports whether there were any to add.
func (t *Table) explain() (added bool) {
	for _, r := range t.records {
		if len(r.ends) < onTrialFrom || !t.outages.accompanied(r.ends) || t.weigh(r).servers < onTrialFrom {
			continue
		}
		for _, e := range r.ends {
			if !r.isCleared(e) && !t.explained[e.Server] {
				t.explained[e.Server] = true
				added = true
			}
		}
	}
	return added
}

// weigh returns the evidence against the requests of a record.
func (t *Table) weigh(r *record) evidence {
	out := evidence{version: t.version}
	round := 0 // the last round counted
	for _, e := range r.ends {
		if r.isCleared(e) || t.outages.coincides(e.Server, r.ends, t.explained) {
			continue
		}
		out.servers++
		if e.Round != round {
			round = e.Round
			out.rounds++
		}
		if e.At.After(out.latest) {
			out.latest = e.At
		}
	}
	return out
}

// evidenceOf returns the evidence against the requests of a record.
func (t *Table) evidenceOf(r *record) *evidence {
	if r.evidence.version != t.version {
		t.settle()
		r.evidence = t.weigh(r)
	}
	return &r.evidence
}
