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

// Info is what a configuration source lists of a backend server.
type Info struct {
	ID       string
	Service  string
	Address  string // IP:port
	Zone     string
	Slots    int  // requests that it runs at a time
	Draining bool // it finishes what it has and takes nothing new
	// At is the position of its entry's last change. Of two servers that are listed
	// at one address, the one changed last is there.
	At source.Position
	// Cold is for how much longer it bears few requests, from when the entry was written.
	Cold time.Duration
	// Started is the Unix time in ms at which this incarnation began, 0 = not known. One
	// that starts again under its id knows nothing of what the one before was asked.
	Started uint64
}

// laterThan reports whether the server took an address over from the other one. Entries of
// two eras of the source are told apart by when the servers began.
func (i Info) laterThan(o Info) bool {
	if i.At.Era != o.At.Era && i.Started != 0 && o.Started != 0 {
		return i.Started > o.Started
	}
	return i.At.After(o.At)
}

// Server is one incarnation of a backend server.
type Server struct {
	Info
	Key  uint32 // hash of the id, as gateways exchange it
	Pool *upstream.Pool
	Pace Pace

	engine   uint32 // key of its pace
	limit    ratelimit.Key
	cold     ratelimit.Key
	inFlight atomic.Int32

	said *notice.State // of itself, and its entry of it

	// under the shard's lock
	gone         bool      // no longer listed
	replaced     bool      // another backend server answers at its address
	evacuated    bool      // its availability zone is
	missingUntil time.Time // zero = it is not missing since the source was away
	health       health
	full         fullness

	probation probation
	slowStart time.Time // when its service, or its group of ranks, began to serve again
	long      longPasses
	returning returning
}

// dialTimeout bounds a connection attempt: a backend server answers within a
// few milliseconds, and the request still has to be served elsewhere.
const dialTimeout = 400 * time.Millisecond

// Incarnation returns a key that only this incarnation of the backend server has.
func (i Info) Incarnation() uint64 {
	return xxhash.Sum64String(i.incarnation())
}

func (i Info) incarnation() string { return i.ID + "/" + strconv.FormatUint(i.Started, 10) }

// noticeKey returns the key of what is known of this incarnation at its address: without a start
// time, a server at another address is another one.
func (i Info) noticeKey() notice.Key {
	return notice.Key(xxhash.Sum64String(i.incarnation() + "@" + i.Address))
}

// ColdKey returns the key of the limit that holds for this incarnation while it is cold. It
// is another one than that of the limit that the backend server may name.
func (i Info) ColdKey() ratelimit.Key {
	return ratelimit.Key(xxhash.Sum64String(i.incarnation() + "/cold"))
}

// Limits returns the keys of the limits that may hold for the backend server: that while it
// is cold, and that which it may name.
func (s *Server) Limits() [2]ratelimit.Key { return [2]ratelimit.Key{s.cold, s.limit} }

// isLimitedBy reports whether the key is of a limit that may hold for the backend server.
func (s *Server) isLimitedBy(key ratelimit.Key) bool { return key == s.limit || key == s.cold }

// Limit returns the key of the limit that the backend server may name.
func (s *Server) Limit() ratelimit.Key { return s.limit }

func newServer(info Info, said *notice.State) *Server {
	s := &Server{
		Info: info, Key: uint32(xxhash.Sum64String(info.ID)), said: said,
		Pool: upstream.NewPool(info.Address, dialTimeout), engine: cluster.EngineKey(info.Address),
	}
	s.limit, s.cold = ratelimit.Key(s.Incarnation()), s.ColdKey()
	if info.Draining {
		said.Leave(notice.FromEntry)
	}
	return s
}

// usable reports whether the server may get a request, under the shard's lock.
func (s *Server) usable(now time.Time) bool {
	return s.fit(now) && !s.Rests(now)
}

// fit reports whether the server may get a request but for a rest, under the shard's lock.
func (s *Server) fit(now time.Time) bool {
	return !s.leaves() && !s.health.ejected(now) && !now.Before(s.full.until)
}

// drains reports whether the server said itself, or its entry, that it leaves.
func (s *Server) drains() bool {
	_, leaves := s.said.Leaving()
	return leaves
}

// leaves reports whether the server takes nothing new, under the shard's lock.
func (s *Server) leaves() bool { return s.replaced || s.evacuated || s.drains() }

// InFlight returns how many requests this gateway has in flight to the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

const (
	// failuresToEject is how many failures in a row eject a server. Servers of
	// the users' sites fail up to one request in seven by themselves; three in
	// a row are then one in 343.
	failuresToEject = 3
	// firstEjection is the length of the first ejection; each further one in a
	// row is twice as long, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// resultWeight is the weight of the newest result in the failure rate.
	resultWeight = 0.1
	// rateToEject is the smoothed failure rate that ejects a server.
	rateToEject = 0.35
	// resultsToJudge is how many results a failure rate needs.
	resultsToJudge = 8
)

const (
	// firstFull and longestFull bound how long a server that turned a request
	// away as full is left alone: a pass or two of an engine first.
	firstFull   = 60 * time.Millisecond
	longestFull = 240 * time.Millisecond
)

// fullness remembers that a server turned requests away.
type fullness struct {
	rejections int // in a row
	until      time.Time
}

func (f *fullness) rejected(now time.Time) {
	f.until = now.Add(min(longestFull, firstFull<<min(f.rejections, 4)))
	f.rejections++
}

// health is the outlier detection of one server.
type health struct {
	failures  int // in a row
	results   int
	rate      float64 // smoothed share of failures
	ejections int     // in a row
	until     time.Time
	trial     bool // one request is trying the server after an ejection
}

// ejected reports whether the server takes no requests at now.
func (h *health) ejected(now time.Time) bool {
	if h.until.IsZero() {
		return false
	}
	return now.Before(h.until) || h.trial
}

// onTrial reports whether an ejection is over and no request has succeeded.
func (h *health) onTrial() bool { return !h.until.IsZero() }

// success notes a whole answer.
func (h *health) success() {
	switch {
	case h.onTrial() && !h.trial: // to a request from before the ejection
	case h.onTrial():
		*h = health{ejections: h.ejections}
	default:
		h.failures = 0
		h.note(0)
		if h.results > 4*resultsToJudge {
			h.ejections = 0
		}
	}
}

// failure notes a failed request and reports whether it ejects the server.
func (h *health) failure(now time.Time) bool {
	if h.onTrial() && !h.trial {
		return false // of a request from before the ejection
	}
	h.failures++
	h.note(1)
	failing := h.failures >= failuresToEject || h.results >= resultsToJudge && h.rate >= rateToEject
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
