package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/clock"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

const (
	// observationLifetime is how long an observation is retained if nothing refers to it.
	// It is longer than any request lasts, whose answer may carry an older observation.
	observationLifetime = 90 * time.Second
	// maxObservations bounds the table. There is one observation for each server, so this
	// is far above the size of any fleet.
	maxObservations = 8192
	// maxReported bounds the observations in a heartbeat, of 19 bytes each. freshTime is
	// how long a changed observation takes precedence over the others.
	maxReported = 24
	freshTime   = 2 * time.Second
	// newerTolerance is by how much an observation with the same content must be newer to
	// replace an older one. The age in a heartbeat excludes the transmission time, so a
	// relayed observation seems newer at each hop; this would add up when observations
	// circulate.
	newerTolerance = 250 * time.Millisecond
	// startupTime is how long a process needs after its start to receive what others know.
	startupTime = 2 * time.Second
)

// SourceAnswer is the source of an observation from an answer to this process. The source
// of an observation that another gateway reported is the id of that gateway.
const SourceAnswer = "answer"

// sourceImposed is the source of a limit that each process imposes on its own.
const sourceImposed = "imposed"

// KnownLimit is an observation and how it became known.
type KnownLimit struct {
	Observation
	Source string
	// Since is when this process first learned of the limit or of its end.
	Since time.Time
	// New reports that no process knew of it before. In a process that has just started,
	// nothing counts as new.
	New bool
}

// Table keeps the latest observation for each backend server. It is safe for concurrent
// use.
type Table struct {
	log  zerolog.Logger
	name func(Key) string // returns the id of a server, for the log

	startedAt time.Time

	limited atomic.Int32 // number of servers with a limit
	count   atomic.Int32 // number of observations

	mu    sync.Mutex
	known map[Key]*KnownLimit
	next  int // index of the observation last reported in turn
}

// NewTable returns an empty table. name returns the id of a backend server for the log, or
// an empty string if the server is unknown.
func NewTable(name func(Key) string, log zerolog.Logger) *Table {
	return &Table{log: log, name: name, startedAt: clock.Now(), known: make(map[Key]*KnownLimit)}
}

// Limited returns the number of backend servers with a limit.
func (t *Table) Limited() int { return int(t.limited.Load()) }

// Get returns the limit of a server, if it has one.
func (t *Table) Get(server Key) (KnownLimit, bool) {
	if t.limited.Load() == 0 {
		return KnownLimit{}, false
	}
	k, known := t.Latest(server)
	return k, known && k.Limited
}

// Latest returns the latest observation for a server, including that its limit ended.
func (t *Table) Latest(server Key) (KnownLimit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.known[server]
	if k == nil {
		return KnownLimit{}, false
	}
	return *k, true
}

// Record stores what an answer to a request of this process reported. sent is when the
// request was sent. Record reports whether a limit ended.
func (t *Table) Record(server Key, reported Report, sent, now time.Time) (ended bool) {
	switch reported.Kind {
	case LimitSet:
		return t.apply(Observation{Server: server, Limit: reported.Limit, Limited: true, At: sent}, SourceAnswer, now)
	case LimitNone:
		if t.count.Load() == 0 {
			return false // no server has ever reported a limit
		}
		return t.apply(Observation{Server: server, At: sent}, SourceAnswer, now)
	default:
		return false
	}
}

// ReceiveLimits records the observations that another gateway reports, and returns the
// servers whose limits ended.
func (t *Table) ReceiveLimits(from vm.ID, limits []*wire.ServerLimit, now time.Time) []Key {
	var ended []Key
	for _, w := range limits {
		s, ok := ObservationFromWire(w, now)
		if !ok {
			t.log.Warn().Str("peer", string(from)).Uint64("server_incarnation", w.GetServer()).Float64("limit", w.GetLimit()).
				Msg("malformed limit ignored")
			continue
		}
		if t.apply(s, string(from), now) {
			ended = append(ended, s.Server)
		}
	}
	return ended
}

// apply records an observation unless it is outdated, logs the change, and reports whether
// it ended a limit.
func (t *Table) apply(s Observation, source string, now time.Time) (ended bool) {
	before, after, changed := t.merge(s, source, now)
	if !changed {
		return false
	}
	t.logChange(before, after, now) // called without the lock, as it looks up the server's name
	return before.Limited && !after.Limited
}

// merge stores an observation unless it is outdated. It returns the known limits before
// and after, and whether the limit changed.
func (t *Table) merge(s Observation, source string, now time.Time) (before, after KnownLimit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.known[s.Server]
	after = KnownLimit{Observation: s, Source: source, Since: now, New: source != sourceImposed && now.Sub(t.startedAt) >= startupTime}
	if old == nil {
		if !s.Limited && (source == SourceAnswer || now.Sub(s.At) >= observationLifetime) {
			// As far as known, the server had no limit before either.
			return KnownLimit{}, KnownLimit{}, false
		}
		t.evictOldest()
		old = &KnownLimit{}
		t.known[s.Server] = old
		t.count.Store(int32(len(t.known)))
	} else if s.same(old.Observation) {
		if s.At.Sub(old.At) >= newerTolerance {
			old.At = s.At
		}
		if s.until.After(old.until) {
			old.until = s.until
		}
		return KnownLimit{}, KnownLimit{}, false
	} else if !s.supersedes(old.Observation) {
		return KnownLimit{}, KnownLimit{}, false
	}
	before, *old = *old, after
	switch {
	case after.Limited && !before.Limited:
		t.limited.Add(1)
	case before.Limited && !after.Limited:
		t.limited.Add(-1)
	}
	return before, after, before.Limited || after.Limited
}

// logChange logs a changed limit.
func (t *Table) logChange(before, after KnownLimit, now time.Time) {
	message := "backend server names a limit"
	switch {
	case !after.Limited:
		message = "limit of a backend server ended"
	case before.Limited:
		message = "limit of a backend server changed"
	}
	e := t.log.Info().Str("server", t.name(after.Server)).Uint64("server_incarnation", uint64(after.Server)).Str("source", after.Source).
		Dur("age", now.Sub(after.At))
	if after.Limited {
		e = e.Float64("limit", after.Limit)
	}
	if before.Limited {
		e = e.Float64("before", before.Limit).Dur("lasted", now.Sub(before.Since))
	}
	e.Msg(message)
}

// evictOldest removes the oldest observation if the table is full.
func (t *Table) evictOldest() {
	if len(t.known) < maxObservations {
		return
	}
	var oldest *KnownLimit
	for _, k := range t.known {
		if oldest == nil || k.At.Before(oldest.At) {
			oldest = k
		}
	}
	t.log.Warn().Uint64("server_incarnation", uint64(oldest.Server)).Msg("limit forgotten for lack of room")
	t.forget(oldest)
}

func (t *Table) forget(k *KnownLimit) {
	if k.Limited {
		t.limited.Add(-1)
	}
	delete(t.known, k.Server)
	t.count.Store(int32(len(t.known)))
}

// Expire removes old observations of servers that are not listed, and old observations
// of the end of a limit.
func (t *Table) Expire(listed func(Key) bool, now time.Time) {
	if t.count.Load() == 0 {
		return
	}
	for _, server := range t.expired(now) {
		if k, _ := t.Latest(server); k.Limited && listed(server) { // called without the lock
			continue
		}
		t.mu.Lock()
		if k := t.known[server]; k != nil && now.Sub(k.At) >= observationLifetime {
			t.forget(k)
		}
		t.mu.Unlock()
	}
}

// expired returns the servers without an observation newer than observationLifetime.
func (t *Table) expired(now time.Time) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Key
	for server, k := range t.known {
		if now.Sub(k.At) >= observationLifetime {
			out = append(out, server)
		}
	}
	return out
}

// Report returns the observations to send in a heartbeat: recent changes, and others in
// turn.
func (t *Table) Report(now time.Time) []*wire.ServerLimit {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh, old []*KnownLimit
	for _, k := range t.known {
		if k.Source == sourceImposed {
			continue
		}
		if now.Sub(k.Since) < freshTime {
			fresh = append(fresh, k)
		} else {
			old = append(old, k)
		}
	}
	slices.SortFunc(fresh, func(a, b *KnownLimit) int { return b.Since.Compare(a.Since) })
	slices.SortFunc(old, func(a, b *KnownLimit) int { return cmp.Compare(a.Server, b.Server) })
	// Reserve space for some old observations, however many fresh ones there are.
	fresh = fresh[:min(len(fresh), maxReported-min(maxReported/4, len(old)))]
	out := make([]*wire.ServerLimit, 0, min(maxReported, len(fresh)+len(old)))
	for _, k := range fresh {
		out = append(out, k.wire(now))
	}
	for range min(len(old), maxReported-len(fresh)) {
		t.next = (t.next + 1) % len(old)
		out = append(out, old[t.next].wire(now))
	}
	return out
}
