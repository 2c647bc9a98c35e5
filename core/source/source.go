package source

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Store.
var (
	// ErrHistoryLost means that the events after a position are not kept, or never were in
	// the store's present history: list again.
	ErrHistoryLost = eris.New("source: history lost")
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
	Removed bool // Value is then the last one that is known, if any
}

// Freshness tells how old a list may be.
type Freshness int

// Freshness of a list.
const (
	// Current lists are linearizable.
	Current Freshness = iota
	// Stale lists cost less and may be seconds old: never proof that an entry
	// is gone.
	Stale
)

// Store is a read-only store with one revision counter. Positions are of the era that the
// answer names.
type Store interface {
	// List returns all entries under the prefix and the position from which a
	// watch goes on.
	List(ctx context.Context, prefix string, f Freshness) ([]Item, Position, error)
	// Watch returns the events after the position as soon as there are any, or
	// none after the wait, and the position to go on from.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Event, Position, error)
}
