package source

import "cmp"

// Position is a position in the store's history: a revision within a term. A store that
// was restored from an older copy of itself begins a new term and gives revisions out
// again, so revisions compare within a term only. The zero Position is before all others.
type Position struct {
	Term     uint64 // term of the store, 0 = the store reports none
	Revision uint64
}

// Compare returns -1 if p is before q, 0 if they are the same, and 1 if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// later returns the later of two positions.
func later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
