package source

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Store.
var (
	// ErrHistoryLost means that the events after a position are no longer available, or
	// never existed in the store's present term: list again.
	ErrHistoryLost = eris.New("source: history lost")
	// ErrBacklog means that the store has events after a position, but more than a watch can
	// return: list again.
	ErrBacklog = eris.New("source: too many events for a watch")
	// ErrUnavailable means that the store gave no usable answer.
	ErrUnavailable = eris.New("source: unavailable")
)

// Item is one entry of a store, with the position of its last change.
type Item struct {
	Key   string
	Value []byte
	Position
}

// Event is a change of one entry.
type Event struct {
	Item
	Removed bool // Value is then the last known one, if any
}

// Freshness is how old a list may be.
type Freshness int

// Values of Freshness.
const (
	// Current lists are linearizable.
	Current Freshness = iota
	// Stale lists cost less and may be seconds old: they never prove that an entry is
	// gone.
	Stale
)

// Store is a read-only store with one revision counter. Positions belong to the term that
// the answer names.
type Store interface {
	// List returns all entries under the prefix and the position from which a watch
	// continues.
	List(ctx context.Context, prefix string, f Freshness) ([]Item, Position, error)
	// Watch returns the events after the position as soon as there are any, or none after
	// the wait, and the position to continue from.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Event, Position, error)
}
