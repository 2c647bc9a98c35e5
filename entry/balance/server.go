package balance

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"baywall.example/core/cluster"
	"baywall.example/core/notice"
	"baywall.example/core/ratelimit"
	"baywall.example/core/source"
	"baywall.example/entry/upstream"
)

// Info is the entry of a backend server as a configuration source lists it.
type Info struct {
	ID       string
	Service  string
	Address  string // IP:port
	Zone     string
	Slots    int  // maximum number of concurrent requests
	Draining bool // it finishes the requests in flight and takes no new ones
	// At is the position of the entry's last change. Of two servers that are listed at
	// one address, the one changed last is running there.
	At source.Position
	// Cold is for how much longer the server is cold, which limits its request rate. It
	// is counted from when the entry was written.
	Cold time.Duration
	// Started is the Unix time in ms at which this incarnation started, 0 = unknown. A
	// server that restarts under its id has no state from its previous incarnation.
	Started uint64
}

// laterThan reports whether the server took over an address from the other one. Positions
// from different terms of the source are not comparable, so such entries are ordered by
// the start times of their servers.
func (i Info) laterThan(o Info) bool {
	if i.At.Term != o.At.Term && i.Started != 0 && o.Started != 0 {
		return i.Started > o.Started
	}
	return i.At.After(o.At)
}

// Server is one incarnation of a backend server.
type Server struct {
	Info
	Key       uint32 // hash of the id, as exchanged between gateways
	Pool      *upstream.Pool
	StreamGap StreamGap

	engineKey uint32 // key under which the slowdown of its rank is reported
	limit     ratelimit.Key
	cold      ratelimit.Key
	inFlight  atomic.Int32

	noticeState *notice.State // what the server announced in its answers and its entry

	// guarded by the shard's lock
	gone         bool      // no longer listed
	replaced     bool      // another backend server answers at its address
	evacuated    bool      // its availability zone is evacuated
	missingUntil time.Time // end of the grace period after an outage of the source, zero = not missing
	health       health
	full         overloadState

	probation probation
	slowStart time.Time // when its service, or its group of ranks, began to serve again
	passes    longPasses
	rampUp    rampUp
}

// dialTimeout bounds a connection attempt. A backend server answers within a few
// milliseconds, and after a timeout there must be time left to send the request to
// another server.
const dialTimeout = 400 * time.Millisecond

// Incarnation returns a key that is unique to this incarnation of the backend server.
func (i Info) Incarnation() uint64 {
	return xxhash.Sum64String(i.incarnation())
}

func (i Info) incarnation() string { return i.ID + "/" + strconv.FormatUint(i.Started, 10) }

// noticeKey returns the key of the notices about this incarnation at its address. The
// address is part of the key because, without a start time, a server at another address
// has to be taken for another incarnation.
func (i Info) noticeKey() notice.Key {
	return notice.Key(xxhash.Sum64String(i.incarnation() + "@" + i.Address))
}

// ColdKey returns the key of the limit that applies to this incarnation while it is cold.
// It differs from the key of the limit that the backend server may announce itself.
func (i Info) ColdKey() ratelimit.Key {
	return ratelimit.Key(xxhash.Sum64String(i.incarnation() + "/cold"))
}

// Limits returns the keys of the limits that may apply to the backend server: the one
// while it is cold, and the one that it may announce itself.
func (s *Server) Limits() [2]ratelimit.Key { return [2]ratelimit.Key{s.cold, s.limit} }

// isLimitedBy reports whether the key belongs to a limit that may apply to the backend
// server.
func (s *Server) isLimitedBy(key ratelimit.Key) bool { return key == s.limit || key == s.cold }

// Limit returns the key of the limit that the backend server may announce itself.
func (s *Server) Limit() ratelimit.Key { return s.limit }

func newServer(info Info, noticeState *notice.State) *Server {
	s := &Server{
		Info: info, Key: uint32(xxhash.Sum64String(info.ID)), noticeState: noticeState,
		Pool: upstream.NewPool(info.Address, dialTimeout), engineKey: cluster.EngineKey(info.Address),
	}
	s.limit, s.cold = ratelimit.Key(s.Incarnation()), s.ColdKey()
	if info.Draining {
		noticeState.Leave(notice.FromEntry)
	}
	return s
}

// usable reports whether the server may get a request. The caller holds the shard's lock.
func (s *Server) usable(now time.Time) bool {
	return s.eligible(now) && !s.HasBackoff(now)
}

// eligible reports whether the server may get a request, apart from a backoff. The caller
// holds the shard's lock.
func (s *Server) eligible(now time.Time) bool {
	return !s.withdrawn() && !s.health.ejected(now) && !now.Before(s.full.until)
}

// drains reports whether the server announced in an answer or in its entry that it
// drains.
func (s *Server) drains() bool {
	_, leaves := s.noticeState.Leaving()
	return leaves
}

// withdrawn reports whether the server takes no new requests. The caller holds the
// shard's lock.
func (s *Server) withdrawn() bool { return s.replaced || s.evacuated || s.drains() }

// InFlight returns how many requests this gateway has in flight to the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

const (
	// failuresToEject is how many consecutive failures eject a server. At the users'
	// sites, up to one request in seven fails on a healthy server; three such failures in
	// a row have a probability of 1 in 343.
	failuresToEject = 3
	// firstEjection is the length of the first ejection. Each consecutive one is twice as
	// long, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// resultWeight is the weight of the newest result in the smoothed failure rate.
	resultWeight = 0.1
	// rateToEject is the smoothed failure rate that ejects a server.
	rateToEject = 0.35
	// minResults is how many results are needed before the failure rate is evaluated.
	minResults = 8
)

const (
	// minOverloadPause and maxOverloadPause bound how long a server that rejected a
	// request as full gets no further request. The first pause is about one or two engine
	// passes.
	minOverloadPause = 60 * time.Millisecond
	maxOverloadPause = 240 * time.Millisecond
)

// overloadState tracks the requests that a server rejected as full.
type overloadState struct {
	rejections int // consecutive
	until      time.Time
}

func (f *overloadState) rejected(now time.Time) {
	f.until = now.Add(min(maxOverloadPause, minOverloadPause<<min(f.rejections, 4)))
	f.rejections++
}

// health is the outlier detection of one server.
type health struct {
	failures  int // consecutive
	results   int
	rate      float64 // smoothed fraction of failures
	ejections int     // consecutive
	until     time.Time
	trial     bool // one request is trying the server after an ejection
}

// ejected reports whether an ejection keeps requests from the server at the time.
func (h *health) ejected(now time.Time) bool {
	if h.until.IsZero() {
		return false
	}
	return now.Before(h.until) || h.trial
}

// onTrial reports whether an ejection has ended and no request has succeeded since.
func (h *health) onTrial() bool { return !h.until.IsZero() }

// success records a complete answer.
func (h *health) success() {
	switch {
	case h.onTrial() && !h.trial: // the request was sent before the ejection
	case h.onTrial():
		*h = health{ejections: h.ejections}
	default:
		h.failures = 0
		h.note(0)
		if h.results > 4*minResults {
			h.ejections = 0
		}
	}
}

// failure records a failed request and reports whether it ejects the server.
func (h *health) failure(now time.Time) bool {
	if h.onTrial() && !h.trial {
		return false // the request was sent before the ejection
	}
	h.failures++
	h.note(1)
	failing := h.failures >= failuresToEject || h.results >= minResults && h.rate >= rateToEject
	if !h.onTrial() && !failing {
		return false
	}
	wait := min(maxEjection, firstEjection<<min(h.ejections, 8))
	*h = health{ejections: h.ejections + 1, until: now.Add(wait)}
	return true
}

func (h *health) note(failed float64) {
	h.results++
	weight := max(resultWeight, 1/float64(h.results))
	h.rate += weight * (failed - h.rate)
}
