package group

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/expertmap"
	"baywall.example/core/settings"
	"baywall.example/core/wire"
)

const (
	// collectTimeout bounds one poll of a group.
	collectTimeout = 400 * time.Millisecond
	// minAnswered is the share of the ranks that has to answer for a poll to count: more
	// than a quarter fail to answer only when the group is stopped anyway.
	minAnswered = 0.75
)

// pollRequest is what one poll requests.
type pollRequest struct {
	counts    bool  // from the own rank and the reporting chunks
	reporting []int // chunks that report their counts
	marked    []int // chunks that report in the next poll; their counters restart now
	placement bool  // every rank reports which experts it holds
}

// pollResult holds the ranks' answers to one poll.
type pollResult struct {
	answered int
	active   uint64 // version in use
	mixed    bool   // ranks reported different versions: a switch is in progress
	held     bool   // a rank holds a step
	step     uint64 // the latest step that any rank has begun
	speeds   []float64
	// running is the mean number of requests in a rank's batch, 0 = not known.
	running float64

	counts  expertmap.Counts
	counted int // number of ranks whose counts are included
	request pollRequest
	parts   []*wire.ExpertMap // by rank, nil = not reported
	took    time.Duration
}

// enough reports whether enough ranks have answered.
func (c *pollResult) enough() bool {
	return float64(c.answered) >= minAnswered*float64(len(c.speeds))
}

// collect polls every rank.
func (l *leadership) collect(ctx context.Context, req pollRequest) pollResult {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	began := clock.Now()
	shape := shapeOf(&l.spec)
	out := &pollCollector{pollResult: pollResult{
		speeds: make([]float64, shape.Ranks), counts: expertmap.NewCounts(shape), parts: make([]*wire.ExpertMap, shape.Ranks), request: req,
	}}
	pending := make(chan struct{}, len(l.chunks)+1)
	l.set.calls.Go(func() {
		own := l.set.Handle(ctx, l.countsOrder(req, req.counts, req.counts))
		out.addState(uint32(l.rank), own)
		if own.GetOk() {
			out.add(own.GetCounts(), 1)
		}
		pending <- struct{}{}
	})
	for i, chunk := range l.chunks {
		order := l.countsOrder(req, slices.Contains(req.reporting, i), slices.Contains(req.marked, i))
		l.set.calls.Go(func() {
			l.collectChunk(ctx, i, chunk, order, out)
			pending <- struct{}{}
		})
	}
	for range cap(pending) {
		select {
		case <-pending:
		case <-ctx.Done(): // a call to an unresponsive peer may outlast its context
			return out.close(clock.Since(began))
		}
	}
	return out.close(clock.Since(began))
}

func (l *leadership) countsOrder(req pollRequest, counts, mark bool) *wire.SwitchOrder {
	return &wire.SwitchOrder{
		Group: l.name, Fence: l.coord.Fence(), Phase: wire.SwitchPhase_SWITCH_COUNTS, Coordinator: string(l.set.env.VM),
		Counts: counts, Mark: mark, Placement: req.placement, Shape: shapeToWire(shapeOf(&l.spec)),
	}
}

func (l *leadership) collectChunk(ctx context.Context, number int, chunk []int, order *wire.SwitchOrder, out *pollCollector) {
	relay := l.relayOf(chunk, clock.Now())
	req := &wire.SwitchRelay{Order: order, Chunk: uint32(number + 1)}
	if !l.relays.knows(number, relay) {
		for _, rank := range chunk {
			req.Targets = append(req.Targets, l.target(rank, relay, 0))
		}
	}
	err := l.exchange(ctx, relay, req, len(chunk), func(r *wire.SwitchRelayReply) {
		reported := 0
		for _, one := range r.GetReplies() {
			out.addState(one.GetRank(), one.GetReply())
			if one.GetReply().GetOk() {
				reported++
			}
		}
		out.add(r.GetCounts(), reported)
	})
	switch {
	case errors.Is(err, errTargets):
		l.relays.note(number, noRelay) // the relay's agent was restarted
	case err != nil:
		l.recordRelayFailure(relay, clock.Now())
	default:
		l.relays.note(number, relay)
	}
}

// noRelay means that no rank knows the chunk's targets.
const noRelay = -1

// relayTable records which rank was sent each chunk's targets. It is safe for concurrent
// use.
type relayTable struct {
	mu       sync.Mutex
	informed map[int]int // rank by chunk
}

func (t *relayTable) knows(chunk, rank int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	informed, ok := t.informed[chunk]
	return ok && informed == rank
}

func (t *relayTable) note(chunk, rank int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.informed == nil {
		t.informed = make(map[int]int)
	}
	t.informed[chunk] = rank
}

// pollCollector assembles the result while answers arrive. It is safe for concurrent use.
type pollCollector struct {
	mu     sync.Mutex
	closed bool // later answers are dropped
	pollResult
}

// close ends the collection and returns the result.
func (g *pollCollector) close(took time.Duration) pollResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed, g.took = true, took
	return g.pollResult
}

// addState adds one rank's answer without its counts.
func (g *pollCollector) addState(rank uint32, r *wire.SwitchReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || !r.GetOk() || int(rank) >= len(g.speeds) {
		return // the rank is polled again with the next poll
	}
	if g.answered > 0 && r.GetActive() != g.active {
		g.mixed = true
	}
	g.active = r.GetActive()
	g.answered++
	g.step = max(g.step, r.GetStep())
	g.held = g.held || r.GetArmedStep() != 0
	g.speeds[rank] = settings.Or(r.GetSpeed(), 1)
	g.running += float64(r.GetRunning()) / float64(len(g.speeds))
	g.parts[rank] = r.GetMap()
}

// add adds the counts of some ranks.
func (g *pollCollector) add(counts []*wire.LayerCounts, ranks int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || len(counts) != len(g.counts) {
		return // not requested, or from an engine whose shape is not known yet
	}
	addCounts(g.counts, counts)
	g.counted += ranks
}

// compose assembles the map in use from the experts that all ranks hold, and reports
// whether all ranks reported theirs.
func (c *pollResult) compose(shape expertmap.Shape) (expertmap.Map, bool) {
	out := expertmap.Map{Version: c.active}
	for layer := range shape.Layers {
		var slots []int32
		for _, part := range c.parts {
			if layer >= len(part.GetLayers()) || part.GetVersion() != c.active {
				return expertmap.Map{}, false
			}
			slots = append(slots, padded(part.GetLayers()[layer].GetSlots(), shape.Slots)...)
		}
		out.Layers = append(out.Layers, slots)
	}
	return out, out.Validate(shape) == nil
}

// padded returns a rank's experts by slot, with the remaining slots empty.
func padded(experts []int32, slots int) []int32 {
	out := make([]int32, slots)
	for i := range out {
		out[i] = expertmap.Empty
		if i < len(experts) {
			out[i] = experts[i]
		}
	}
	return out
}
