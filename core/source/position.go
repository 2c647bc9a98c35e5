package source

import "cmp"

// Position is a place in what a store says: a revision in one of its histories. A store
// that is back from an older copy of itself begins a new era and gives revisions out again,
// so revisions compare within an era only. The zero Position is before all others.
type Position struct {
	Era      uint64 // 0 = of a store that names none
	Revision uint64
}

// Compare returns -1 if p is before q, 0 if they are the same, and 1 if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// later returns the later one of two positions.
func later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
