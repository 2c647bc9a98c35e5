package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"baywall.example/agent/engine"
	"baywall.example/core/expertmap"
)

// prefillTokens is the number of prompt tokens that one prefill step processes.
const prefillTokens = 256

// Rank is one rank of a group; Group.mu guards its state.
type Rank struct {
	group   *Group
	index   int
	speed   float64
	stalled bool
	running []*job
	waiting []*job
	cache   *lru.LRU[uint64, struct{}]
	hits    int
	misses  int
	counts  expertmap.Counts

	active   expertmap.Map
	loaded   expertmap.Map
	hold     uint64 // step that must not begin until it is released, 0 = none
	activate uint64 // step at which the loaded map becomes active, 0 = none
	fence    uint64 // highest fencing number of an order so far

	report   engine.Load
	reported time.Time
}

// job is one request on a rank.
type job struct {
	ctx       context.Context
	priority  int
	prefill   int
	prompt    int // prompt length, in tokens
	remaining int // tokens of the answer not generated yet
	prefix    uint64
	tokens    chan int // receives the index of each generated token; closed at the end
	next      int
}

func newRank(g *Group, index int, m expertmap.Map) *Rank {
	cache, err := lru.NewLRU[uint64, struct{}](max(1, g.opts.Cache), nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &Rank{group: g, index: index, speed: 1, cache: cache, counts: expertmap.NewCounts(g.opts.Shape), active: m.Clone()}
}

// SetSpeed sets the speed of the rank; 1 is nominal.
func (r *Rank) SetSpeed(speed float64) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.speed = speed
}

// SetStalled stalls the rank, and with it the whole group, or ends the stall.
func (r *Rank) SetStalled(stalled bool) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.stalled = stalled
}

// CacheStats returns the numbers of requests whose prefix was cached and was not cached.
func (r *Rank) CacheStats() (hits, misses int) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.hits, r.misses
}

func (r *Rank) submit(j *job) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.waiting = append(r.waiting, j)
	slices.SortStableFunc(r.waiting, func(a, b *job) int { return cmp.Compare(b.priority, a.priority) })
}

// admit moves waiting jobs into the batch while it has free slots.
func (r *Rank) admit() {
	for len(r.waiting) > 0 && len(r.running) < r.group.opts.Batch {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		j.prefill = 1
		if _, cached := r.cache.Get(j.prefix); cached {
			r.hits++
		} else {
			r.misses++
			j.prefill += j.prompt / prefillTokens
			r.cache.Add(j.prefix, struct{}{})
		}
		r.running = append(r.running, j)
	}
}

// tokens admits waiting jobs and returns the number of tokens that the rank's next step
// computes.
func (r *Rank) tokens() int {
	r.admit()
	n := 0
	for _, j := range r.running {
		if j.prefill > 0 {
			n += min(j.prompt, prefillTokens)
		} else {
			n++
		}
	}
	return n
}

// runStep advances every job of the batch by one step.
func (r *Rank) runStep() {
	unfinished := r.running[:0]
	for _, j := range r.running {
		if j.ctx.Err() != nil {
			close(j.tokens)
			continue
		}
		if j.prefill > 0 {
			j.prefill--
		}
		if j.prefill == 0 {
			j.tokens <- j.next // never blocks: the channel's buffer has space for the whole answer
			j.next++
			j.remaining--
		}
		if j.remaining == 0 {
			close(j.tokens)
			continue
		}
		unfinished = append(unfinished, j)
	}
	r.running = unfinished
	r.updateReport()
}

// updateReport updates the load report if the last update is at least LoadLag ago.
func (r *Rank) updateReport() {
	if now := time.Now(); now.Sub(r.reported) >= r.group.opts.LoadLag {
		r.reported = now
		r.report = engine.Load{
			Running: len(r.running), Waiting: len(r.waiting),
			Load: float64(len(r.running)) / float64(r.group.opts.Batch),
		}
	}
}

func (r *Rank) activateAt(step uint64) {
	if r.activate != 0 && r.activate == step {
		r.active, r.activate, r.loaded = r.loaded, 0, expertmap.Map{}
	}
}

// state returns the expert state, and resets the counts if it contains them. The caller
// holds the group's lock.
func (r *Rank) state(counts bool) engine.ExpertState {
	s := engine.ExpertState{
		Fence: r.fence, Step: r.group.step, Active: r.active.Version, Loaded: r.loaded.Version,
		Hold: r.hold, Activate: r.activate, Speed: r.speed,
	}
	if !counts {
		return s
	}
	s.ActiveMap = r.active.Layers
	for l := range r.counts {
		row := make([]int64, len(r.counts[l]))
		for e, n := range r.counts[l] {
			row[e] = int64(n)
			r.counts[l][e] = 0
		}
		s.Counts = append(s.Counts, row)
	}
	return s
}

// order executes an order. The returned message is empty if the order is accepted and says
// why otherwise.
func (r *Rank) order(o engine.Order) (engine.ExpertState, string) {
	if o.Kind == engine.OrderLoad {
		return r.load(o)
	}
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if problem := r.checkFence(o); problem != "" {
		return r.state(false), problem
	}
	switch o.Kind {
	case engine.OrderHold:
		if o.Step <= r.group.step {
			return r.state(false), "step has begun"
		}
		if r.loaded.Version != o.Version {
			return r.state(false), "map is not loaded"
		}
		r.hold = o.Step
	case engine.OrderActivate:
		if o.Step < r.group.step {
			return r.state(false), "step has begun"
		}
		if r.loaded.Version != o.Version {
			return r.state(false), "map is not loaded"
		}
		r.activate = o.Step
	case engine.OrderRelease:
		if r.hold == o.Step {
			r.hold = 0
		}
	default:
		return r.state(false), "unknown order"
	}
	return r.state(false), ""
}

func (r *Rank) checkFence(o engine.Order) string {
	if r.group.opts.Fenced && o.Fence < r.fence {
		return "outdated fencing number"
	}
	r.fence = max(r.fence, o.Fence)
	return ""
}

// load executes a load order: it fetches the experts that the rank does not have yet.
func (r *Rank) load(o engine.Order) (engine.ExpertState, string) {
	g := r.group
	g.mu.Lock()
	if problem := r.checkFence(o); problem != "" {
		defer g.mu.Unlock()
		return r.state(false), problem
	}
	if r.hold != 0 || r.activate != 0 {
		defer g.mu.Unlock()
		return r.state(false), "held or armed: the loaded map is in use"
	}
	next := expertmap.Map{Version: o.Version, Layers: o.Map}
	if err := next.Validate(g.opts.Shape); err != nil {
		defer g.mu.Unlock()
		return r.state(false), err.Error()
	}
	moves := r.missing(next)
	g.mu.Unlock()
	g.weightStore.Lock()
	time.Sleep(time.Duration(moves) * g.opts.LoadTime)
	g.weightStore.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.hold == 0 && r.activate == 0 {
		r.loaded = next
	}
	return r.state(false), ""
}

// missing returns the number of experts of the map that this rank has to fetch.
func (r *Rank) missing(next expertmap.Map) int {
	n := 0
	slots := r.group.opts.Shape.Slots
	for l := range next.Layers {
		current := r.active.Layers[l][r.index*slots : (r.index+1)*slots]
		for _, e := range next.Layers[l][r.index*slots : (r.index+1)*slots] {
			if e != expertmap.Empty && !slices.Contains(current, e) {
				n++
			}
		}
	}
	return n
}
