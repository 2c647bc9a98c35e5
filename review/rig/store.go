package rig

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// historyTime is how long the store keeps events.
	historyTime = 20 * time.Second
	// pageItems and pageBytes bound one page of a list.
	pageItems, pageBytes = 500, 1 << 20
)

// Store is a stand-in of the platform's store that keeps its history for 20 s. It is safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	dropped  uint64 // revision of the latest event that is no longer in the history
	revision uint64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// NewHistoryStore returns an empty store.
func NewHistoryStore() *Store {
	return &Store{items: make(map[string]storeItem), changed: make(chan struct{})}
}

// Put writes an item. Its return is the acknowledgement.
func (s *Store) Put(key string, value []byte) uint64 {
	return s.write(storeItem{Key: key, Value: value})
}

// Delete removes an item.
func (s *Store) Delete(key string) uint64 { return s.write(storeItem{Key: key, Removed: true}) }

func (s *Store) write(item storeItem) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision, item.at = s.revision, time.Now()
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		item.Created = s.revision
		if before, ok := s.items[item.Key]; ok {
			item.Created = before.Created
		}
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	s.drop()
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// drop drops the events that are too old. The caller holds the lock.
func (s *Store) drop() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// Front is the store as some machines reach it. While it rejects them, each call gets 503 and
// waiting watches are cut.
type Front struct {
	Store *Store
	// Answered is called with the size of each answer to a watch that has events.
	Answered func(events, bytes int)

	rejects atomic.Bool
	mu      sync.Mutex
	cut     chan struct{} // closed when the store begins to reject
}

// NewFront returns a front that serves.
func NewFront(s *Store) *Front { return &Front{Store: s, cut: make(chan struct{})} }

// Reject makes the store reject the machines, or serve them again.
func (f *Front) Reject(rejects bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejects.Swap(rejects) == rejects {
		return
	}
	if rejects {
		close(f.cut)
	} else {
		f.cut = make(chan struct{})
	}
}

// ServeHTTP serves lists and watches.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	switch {
	case f.rejects.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/-/kv-range":
		f.serveRange(w, r)
	case r.URL.Path == "/-/kv-watch":
		f.serveWatch(w, r, cut)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (f *Front) serveRange(w http.ResponseWriter, r *http.Request) {
	s := f.Store
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var items []storeItem
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	n, size := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Value) <= pageBytes) {
		size += len(items[n].Value)
		n++
	}
	reply(w, map[string]any{"items": append([]storeItem{}, items[:n]...), "has-more": n < len(items), "store-revision": revision})
}

func (f *Front) serveWatch(w http.ResponseWriter, r *http.Request, cut <-chan struct{}) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, werr := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || werr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		events, revision, gone, changed := f.Store.since(after, query.Get("path-prefix"))
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			size := reply(w, map[string]any{"events": append([]storeItem{}, events...), "store-revision": revision})
			if len(events) > 0 && f.Answered != nil {
				f.Answered(len(events), size)
			}
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(after uint64, prefix string) (events []storeItem, revision uint64, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop()
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, after < s.dropped, s.changed
}

// reply sends a JSON body and returns its size.
func reply(w http.ResponseWriter, body any) int {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // not reached: the bodies are plain values
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // the reader may have disconnected
	return len(raw)
}
