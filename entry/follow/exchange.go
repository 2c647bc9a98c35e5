package follow

import (
	"maps"
	"time"

	"baywall.example/core/cluster"
	"baywall.example/core/source"
	"baywall.example/core/vm"
)

const (
	// LookInterval is how often a gateway looks whether others know more, RestLook how often
	// one does that does not follow the store itself.
	LookInterval = 200 * time.Millisecond
	RestLook     = 100 * time.Millisecond
	// PullTimeout bounds the exchange with another gateway.
	PullTimeout = 2 * time.Second
)

const (
	// nudgeAfter and pullAfter are how many looks in a row, at intervals of LookInterval,
	// find that others know of a newer change before the store is asked again, and before
	// one of them is asked.
	nudgeAfter = 1
	pullAfter  = 2
	// hedgeAfter is how long another gateway may take to answer before a second one is
	// asked, mostPulls how many are asked at a time: the first may be frozen or cut off, and
	// nobody has missed its heartbeats yet.
	hedgeAfter = 250 * time.Millisecond
	mostPulls  = 3
	// askAgain is when what a gateway said that it knows better than the store is asked for
	// once more.
	askAgain = time.Second
	// pullPart is the part of the time within which a change has to be in force that passes
	// between two pulls at least: changes in quick succession then come together.
	pullPart = 0.1
)

// Standing is what a gateway knows, as it and others tell it.
type Standing struct {
	Changed  source.Position // newest change
	Catalog  uint64          // version in force
	Retained uint64          // digest of what it knows better than the store
	Listed   bool            // it knows a state at all
	Resting  bool            // it does not follow the store itself
	Active   bool            // callers are told of it
	Failing  bool            // the store does not answer it
}

// better is what a gateway knows better than the store.
type better struct{ retained, catalog uint64 }

// Step is what follows from a look at the other gateways.
type Step struct {
	Nudge source.Position // the store is asked for this change; zero = it is not
	Pull  *cluster.Peer   // that is asked for its state, nil = none
}

// Exchange decides when a gateway asks the store again, and whom it asks in its place. It is
// not safe for concurrent use.
type Exchange struct {
	zone    string        // of this gateway
	gap     time.Duration // between two pulls
	behind  int           // looks in a row that found a newer change
	pulled  time.Time     // when the latest pull began
	pulling map[vm.ID]time.Time
	asked   map[better]time.Time
}

// NewExchange returns the exchange of a gateway in an availability zone; a change has to be in force
// within a time.
func NewExchange(zone string, within time.Duration) *Exchange {
	return &Exchange{
		zone:    zone,
		gap:     time.Duration(pullPart * float64(within)),
		pulling: make(map[vm.ID]time.Time), asked: make(map[better]time.Time),
	}
}

// Look compares what others know with what this gateway knows.
func (x *Exchange) Look(own Standing, live []cluster.Peer, now time.Time) Step {
	var out Step
	newest := own.Changed
	for i := range live {
		if live[i].StoreChanged.After(newest) {
			newest = live[i].StoreChanged
		}
	}
	if newest == own.Changed {
		x.behind = 0
		out.Pull = x.pullIf(live, now, func(p *cluster.Peer) bool { return x.knowsBetter(own, p, now) })
		if out.Pull != nil {
			maps.DeleteFunc(x.asked, func(_ better, at time.Time) bool { return now.Sub(at) >= askAgain })
			x.asked[better{out.Pull.Retained, out.Pull.CatalogVersion}] = now
		}
		return out
	}
	x.behind++
	if x.behind == nudgeAfter {
		out.Nudge = newest
	}
	if x.behind >= pullAfter || !own.Listed || own.Resting {
		out.Pull = x.pullIf(live, now, func(p *cluster.Peer) bool { return p.StoreChanged.After(own.Changed) })
	}
	return out
}

// knowsBetter reports whether a gateway knows something better than the store that this one
// does not, and has not been asked for it lately.
func (x *Exchange) knowsBetter(own Standing, p *cluster.Peer, now time.Time) bool {
	b := better{p.Retained, p.CatalogVersion}
	differs := b.retained != 0 && b.retained != own.Retained || b.catalog > own.Catalog
	return differs && now.Sub(x.asked[b]) >= askAgain
}

// pullIf returns the gateway to ask among those that fit: of the same availability zone if
// there is one, as states are most of the bytes between zones, and of these the one heard last,
// which most likely answers.
func (x *Exchange) pullIf(live []cluster.Peer, now time.Time, fits func(*cluster.Peer) bool) *cluster.Peer {
	if !x.mayPull(now) {
		return nil
	}
	var best *cluster.Peer
	for i := range live {
		p := &live[i]
		if _, under := x.pulling[p.VM]; under || p.Front == "" || !fits(p) {
			continue
		}
		if best == nil || x.isBetter(p, best) {
			best = p
		}
	}
	if best != nil {
		x.pulled = now
		x.pulling[best.VM] = now
	}
	return best
}

func (x *Exchange) isBetter(p, than *cluster.Peer) bool {
	if near := p.Zone == x.zone; near != (than.Zone == x.zone) {
		return near
	}
	return p.Heard.After(than.Heard)
}

// mayPull reports whether another pull may begin: one at a time, unless it takes long.
func (x *Exchange) mayPull(now time.Time) bool {
	if len(x.pulling) >= mostPulls {
		return false
	}
	if len(x.pulling) > 0 {
		return now.Sub(x.pulled) >= hedgeAfter
	}
	return now.Sub(x.pulled) >= x.gap
}

// Ended notes that a pull is over.
func (x *Exchange) Ended(from vm.ID) { delete(x.pulling, from) }
