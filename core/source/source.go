package source

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a Store.
var (
	// ErrHistoryLost means that the events after a revision are no longer
	// kept: list again.
	ErrHistoryLost = eris.New("source: history lost")
	// ErrUnavailable means that the store gave no usable answer.
	ErrUnavailable = eris.New("source: unavailable")
)

// Item is one entry of a store.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last change
}

// Event is a change of one entry.
type Event struct {
	Item
	Removed bool // Value is empty then
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

// Store is a read-only store with one revision counter.
type Store interface {
	// List returns all entries under the prefix and the revision from which a
	// watch goes on.
	List(ctx context.Context, prefix string, f Freshness) ([]Item, uint64, error)
	// Watch returns the events after the revision as soon as there are any, or
	// none after the wait, and the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
}
