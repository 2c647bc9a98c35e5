// Package engine is a stand-in for a model engine: ranks of an expert-parallel group that
// step together, batch requests continuously and stream tokens.
//
// Time model: a step takes the base duration, multiplied by the skew of the slowest rank
// under the active expert map and the current popularity of experts, and by the slowdown
// that slow ranks cause. All ranks of a group advance together or not at all. A request
// first needs prefill steps, fewer if its prompt prefix is cached, and then emits one token
// per step. A rank runs a limited number of requests at a time; the others wait in a queue
// ordered by priority. Load reports lag behind the load.
package engine

import (
	"sync"
	"time"

	"baywall.example/core/expertmap"
)

// Options configure a group.
type Options struct {
	Shape    expertmap.Shape
	BaseStep time.Duration // duration of a perfectly balanced step
	Batch    int           // maximum number of requests that a rank runs at a time
	Cache    int           // number of prompt prefixes that a rank caches
	LoadLag  time.Duration // minimum interval between updates of a load report
	Fenced   bool          // reject orders with outdated fencing numbers
	// LoadTime is the time to load one expert; the weight store serves the ranks of
	// a group one at a time.
	LoadTime time.Duration
}

// Popularity returns the share of tokens that each expert of each layer gets at a step; the
// shares of a layer add up to 1.
type Popularity func(step uint64) expertmap.Counts

// Group is a set of ranks that advance in lockstep. It is safe for concurrent use.
type Group struct {
	opts        Options
	popularity  Popularity
	weightStore sync.Mutex // held while the weight store serves a rank

	mu        sync.Mutex
	step      uint64
	ranks     []*Rank
	mixed     int
	skew      float64
	slowdown  float64 // factor on the step time: ranks / sum of their speeds, 1 = none
	skews     []float64
	heldPolls int
	stop      chan struct{}
	done      chan struct{}
}

// NewGroup returns a group whose active map is the initial map, with version 1.
func NewGroup(opts Options, popularity Popularity) (*Group, error) {
	m, err := expertmap.Initial(opts.Shape)
	if err != nil {
		return nil, err
	}
	m.Version = 1
	g := &Group{opts: opts, popularity: popularity, stop: make(chan struct{}), done: make(chan struct{})}
	for i := range opts.Shape.Ranks {
		g.ranks = append(g.ranks, newRank(g, i, m))
	}
	return g, nil
}

// Rank returns one rank.
func (g *Group) Rank(i int) *Rank { return g.ranks[i] }

// Start starts the step loop.
func (g *Group) Start() { go g.run() }

// Stop stops the step loop and waits for its end.
func (g *Group) Stop() {
	close(g.stop)
	<-g.done
}

func (g *Group) run() {
	defer close(g.done)
	next := time.Now()
	for {
		d := g.advance()
		next = next.Add(d)
		if behind := time.Since(next); behind > 0 {
			next = time.Now()
		}
		select {
		case <-g.stop:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// heldPollInterval is how long a group waits before it checks again whether the next step
// may begin.
const heldPollInterval = time.Millisecond

// advance runs one step, if no rank holds it or is stalled, and returns the time until the
// next call.
func (g *Group) advance() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.stalled || r.hold != 0 && r.hold == g.step {
			g.heldPolls++
			return heldPollInterval
		}
	}
	tokens := 0
	version := uint64(0)
	for i, r := range g.ranks {
		r.activateAt(g.step)
		if i > 0 && r.active.Version != version {
			g.mixed++
		}
		version = r.active.Version
		tokens += r.tokens()
	}
	g.account(tokens)
	for _, r := range g.ranks {
		r.runStep()
	}
	g.step++
	return time.Duration(float64(g.opts.BaseStep) * g.skew * g.slowdown)
}

func sum(xs []float64) float64 {
	total := 0.0
	for _, x := range xs {
		total += x
	}
	return total
}

// account computes the step's skew and slowdown, and adds its tokens to the counts.
func (g *Group) account(tokens int) {
	shares := g.popularity(g.step)
	speeds := make([]float64, len(g.ranks))
	for i, r := range g.ranks {
		speeds[i] = r.speed
	}
	g.skew = expertmap.Skew(g.ranks[0].active, shares, g.opts.Shape.Slots, speeds)
	g.slowdown = float64(len(speeds)) / sum(speeds)
	if tokens == 0 {
		return
	}
	g.skews = append(g.skews, g.skew)
	counts := g.ranks[0].counts // rank 0 counts every token of the group
	for l := range shares {
		for e, share := range shares[l] {
			counts[l][e] += share * float64(tokens)
		}
	}
}

// Stats are measurements of a group.
type Stats struct {
	Steps, Mixed int // Mixed counts adjacent ranks that ran a step with different maps
	HeldMillis   int // ms that the group waited for a held step or a stalled rank
	MeanSkew     float64
	Version      uint64
}

// Stats returns the measurements since the last call; Mixed counts since the start of the
// group.
func (g *Group) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Stats{Steps: len(g.skews), Mixed: g.mixed, HeldMillis: g.heldPolls, Version: g.ranks[0].active.Version}
	for _, x := range g.skews {
		s.MeanSkew += x / float64(len(g.skews))
	}
	g.skews = nil
	g.heldPolls = 0
	return s
}
