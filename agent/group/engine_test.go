package group

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/agent/engine"
	"baywall.example/core/expertmap"
)

const (
	stepLength = 10 * time.Millisecond
	loadLength = 15 * time.Millisecond
)

var errRefused = eris.New("refused")

// ranks simulates the engines of a group, which run their steps together.
type ranks struct {
	mu         sync.Mutex
	shape      expertmap.Shape
	step       uint64
	all        []*testRank
	agentHolds int // holds ordered by agents of ranks
	mixed      int // steps with more than one map
}

func newRanks(shape expertmap.Shape) *ranks {
	r := &ranks{shape: shape, step: 1}
	initial, err := expertmap.Initial(shape)
	if err != nil {
		panic(err) // the tests choose a valid shape
	}
	for i := range shape.Ranks {
		r.all = append(r.all, &testRank{group: r, index: i, inUse: initial, demand: 0})
	}
	return r
}

// run runs steps until the context ends.
func (r *ranks) run(ctx context.Context) {
	ticker := time.NewTicker(stepLength)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.advance()
		}
	}
}

func (r *ranks) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rank := range r.all {
		if rank.hold == r.step+1 {
			return
		}
	}
	r.step++
	for _, rank := range r.all {
		if rank.activate == r.step {
			rank.inUse, rank.loaded, rank.activate = rank.loaded, expertmap.Map{}, 0
		}
		for l := range rank.tokens {
			for e := range rank.tokens[l] {
				rank.tokens[l][e] += int64(1000 * math.Pow(float64(1+(e+rank.demand)%r.shape.Experts), -0.7))
			}
		}
	}
	for _, rank := range r.all[1:] {
		if rank.inUse.Version != r.all[0].inUse.Version {
			r.mixed++
			return
		}
	}
}

// shift makes other experts popular.
func (r *ranks) shift(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rank := range r.all {
		rank.demand += by
	}
}

// versions returns the smallest and the largest version in use.
func (r *ranks) versions() (least, most uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	least = math.MaxUint64
	for _, rank := range r.all {
		least, most = min(least, rank.inUse.Version), max(most, rank.inUse.Version)
	}
	return least, most
}

// skew returns the skew of the map in use for the present demand.
func (r *ranks) skew() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := expertmap.NewCounts(r.shape)
	for l := range counts {
		for e := range counts[l] {
			counts[l][e] = math.Pow(float64(1+(e+r.all[0].demand)%r.shape.Experts), -0.7)
		}
	}
	return expertmap.Skew(r.all[0].inUse, counts, r.shape.Slots, nil)
}

// agentHoldCount returns how many holds were ordered by agents of ranks, whose orders
// carry a fencing number.
func (r *ranks) agentHoldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agentHolds
}

func (r *ranks) mixedSteps() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mixed
}

// testRank simulates one rank's engine. It implements mapswitch.Engine.
type testRank struct {
	group *ranks
	index int

	inUse    expertmap.Map
	loaded   expertmap.Map
	loading  expertmap.Map
	ready    time.Time // when loading is complete
	hold     uint64
	activate uint64
	demand   int
	tokens   [][]int64 // since the last Observe with counts, nil = none yet
}

func (r *testRank) state() engine.ExpertState {
	if r.loading.Version != 0 && !time.Now().Before(r.ready) {
		r.loaded, r.loading = r.loading, expertmap.Map{}
	}
	return engine.ExpertState{
		Group: "g", Step: r.group.step, Active: r.inUse.Version, Loaded: r.loaded.Version, Hold: r.hold, Activate: r.activate,
		Epoch: 1, Running: 6,
	}
}

func (r *testRank) Experts(context.Context) (engine.ExpertState, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.state(), nil
}

func (r *testRank) Observe(_ context.Context, counts bool) (engine.ExpertState, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	s := r.state()
	if !counts {
		return s, nil
	}
	s.ActiveMap = r.inUse.Layers
	s.Counts = r.tokens
	r.tokens = make([][]int64, r.group.shape.Layers)
	for l := range r.tokens {
		r.tokens[l] = make([]int64, r.group.shape.Experts)
	}
	return s, nil
}

func (r *testRank) Order(_ context.Context, o engine.Order) (engine.ExpertState, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	switch o.Kind {
	case engine.OrderLoad:
		r.loading = expertmap.Map{Version: o.Version, Layers: o.Map}
		r.ready = time.Now().Add(loadLength)
	case engine.OrderHold:
		if r.group.step >= o.Step {
			return engine.ExpertState{}, errRefused
		}
		r.hold = o.Step
		if o.Fence != 0 {
			r.group.agentHolds++
		}
	case engine.OrderActivate:
		if r.group.step >= o.Step {
			return engine.ExpertState{}, errRefused
		}
		r.activate = o.Step
	case engine.OrderRelease:
		r.hold = 0
	}
	return r.state(), nil
}

func (r *testRank) Loaded(ctx context.Context, version uint64) (engine.ExpertState, error) {
	for {
		s, _ := r.Experts(ctx)
		if s.Loaded == version {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}
