package rank

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"baywall.example/agent/engine"
	"baywall.example/core/clock"
	"baywall.example/core/wait"
)

// Errors of orders.
var (
	// ErrRefused means that the rank did not carry out an order and will not.
	ErrRefused = eris.New("rank: order refused")
	// ErrUnsettled means that an order had no answer and its effect is not
	// known yet.
	ErrUnsettled = eris.New("rank: order unsettled")
	// ErrLoading means that the rank is still copying experts.
	ErrLoading = eris.New("rank: still loading")
)

const (
	// answerTimeout is how long to wait for the answer to an order. The engine is
	// on the same VM, so the answer comes within a few milliseconds or never, and
	// the group may be waiting meanwhile.
	answerTimeout = 30 * time.Millisecond
	// maxTries is how often an order is sent before it is left to the next call to
	// settle it: with half of the answers lost, one order in 65,000 needs more.
	maxTries = 16
	// settleTimeout bounds one attempt to settle an order that had no answer.
	settleTimeout = 1500 * time.Millisecond
	// loadPollInterval is how often a rank that copies experts is polled.
	loadPollInterval = 15 * time.Millisecond
	// maxFreshSteps is the number of steps, a few seconds' worth, up to which all
	// counts since a rank's start represent the current demand.
	maxFreshSteps = 40
	// loadTimeout is how long one call waits for the copies; the coordinator calls
	// again.
	loadTimeout = 1500 * time.Millisecond
)

// Engine drives one rank's expert map. It implements mapswitch.Engine and is
// safe for concurrent use; orders are sent one at a time.
type Engine struct {
	api   API
	shape func() Shape
	log   zerolog.Logger

	// loading is the version whose order to load is not sent again, 0 = none. ordered is the
	// version of the latest such order that the rank accepted; it is never reset.
	loading, ordered atomic.Uint64

	mu      sync.Mutex
	pending *Order // sent, without an answer or a visible effect

	observeMu sync.Mutex
	baseline  Counts
	placement Placement
}

// Shape holds the dimensions of a group's expert maps.
type Shape struct {
	Layers, Experts, Slots int // Slots is per rank and layer
}

// NewEngine returns the engine of a rank. shape is called whenever the shape is needed,
// as it may not be known at first.
func NewEngine(api API, shape func() Shape, log zerolog.Logger) *Engine {
	return &Engine{api: api, shape: shape, log: log}
}

// Experts returns the rank's state once the outcome of all earlier orders is known.
func (e *Engine) Experts(ctx context.Context) (engine.ExpertState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.settle(ctx); err != nil {
		return engine.ExpertState{}, err
	}
	return e.report(ctx)
}

func (e *Engine) report(ctx context.Context) (engine.ExpertState, error) {
	report, err := e.api.Report(ctx)
	if err != nil {
		return engine.ExpertState{}, err
	}
	return e.stateOf(report), nil
}

// Observe returns the rank's current state without settling a pending order. If counts
// is true, it includes the tokens counted since the last call with counts.
func (e *Engine) Observe(ctx context.Context, counts bool) (engine.ExpertState, error) {
	e.observeMu.Lock()
	defer e.observeMu.Unlock()
	report, err := e.api.Report(ctx)
	if err != nil {
		return engine.ExpertState{}, err
	}
	state := e.stateOf(report)
	if counts {
		if err := e.addCounts(ctx, report, &state); err != nil {
			return engine.ExpertState{}, err
		}
	}
	return state, nil
}

// stateOf returns the state in a report. While a rank copies the experts of a version, it may
// still report the one before as prepared, which is not loaded any more once the copy is
// complete.
func (e *Engine) stateOf(r Report) engine.ExpertState {
	s := engine.ExpertState{Group: r.Group, Step: r.Step, Active: r.Map, Loaded: r.Prepared, Hold: r.Held, Epoch: r.Epoch, Running: r.Running}
	if r.Slowdown > 0 {
		s.Speed = 1 / r.Slowdown
	}
	if ordered := e.ordered.Load(); ordered != 0 && ordered != r.Prepared {
		s.Loaded = 0
	}
	if r.Armed.Version != 0 {
		s.Loaded, s.Activate = r.Armed.Version, r.Armed.Step
	}
	return s
}

// addCounts adds to s the counts since the last call and the map in use.
func (e *Engine) addCounts(ctx context.Context, r Report, s *engine.ExpertState) error {
	counts, err := e.api.Counts(ctx)
	if err != nil {
		return err
	}
	s.Counts = e.countsDelta(counts)
	if e.placement.Layers == nil || e.placement.Version != r.Map || e.placement.Epoch != r.Epoch {
		if e.placement, err = e.api.Placement(ctx); err != nil {
			return err
		}
		e.logPlacement()
	}
	s.ActiveMap = e.placement.Layers
	s.Active = e.placement.Version
	return nil
}

// countsDelta returns by layer how much the counts grew since the last call. After a
// restart of the rank, which counts from zero again, it returns the counts themselves.
func (e *Engine) countsDelta(now Counts) [][]int64 {
	shape := e.shape()
	if shape.Experts == 0 || len(now.Tokens) != shape.Layers*shape.Experts {
		return nil
	}
	base := e.baseline.Tokens
	if len(base) != len(now.Tokens) && now.Step > maxFreshSteps {
		base = now.Tokens // counts over a long run do not show the current demand
	}
	fresh := len(base) != len(now.Tokens)
	for i := 0; !fresh && i < len(base); i++ {
		fresh = now.Tokens[i] < base[i]
	}
	out := make([][]int64, shape.Layers)
	for l := range out {
		out[l] = make([]int64, shape.Experts)
		for x := range out[l] {
			i := l*shape.Experts + x
			out[l][x] = now.Tokens[i]
			if !fresh {
				out[l][x] -= base[i]
			}
		}
	}
	e.baseline = now
	return out
}

// Order carries out an order of the group's coordinator and returns the state
// after it.
func (e *Engine) Order(ctx context.Context, o engine.Order) (engine.ExpertState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.settle(ctx); err != nil {
		return engine.ExpertState{}, err
	}
	if err := e.execute(ctx, o); err != nil {
		return engine.ExpertState{}, err
	}
	return e.report(ctx)
}

func (e *Engine) execute(ctx context.Context, o engine.Order) error {
	switch o.Kind {
	case engine.OrderLoad:
		return e.load(ctx, Order{Kind: OrderPrepare, Epoch: o.Epoch, Version: o.Version, Map: e.byRank(o.Map)})
	case engine.OrderHold:
		return e.send(ctx, Order{Kind: OrderHold, Epoch: o.Epoch, Step: o.Step})
	case engine.OrderActivate:
		return e.send(ctx, Order{Kind: OrderArm, Epoch: o.Epoch, Version: o.Version, Step: o.Step})
	case engine.OrderRelease:
		return e.send(ctx, Order{Kind: OrderRelease, Epoch: o.Epoch, Step: o.Step})
	default:
		return eris.Wrapf(ErrRefused, "unknown kind %q", o.Kind)
	}
}

// byRank converts slots by layer to experts by layer and rank.
func (e *Engine) byRank(layers [][]int32) [][][]int32 {
	slots := e.shape().Slots
	if slots == 0 {
		return nil
	}
	out := make([][][]int32, len(layers))
	for l, row := range layers {
		for base := 0; base+slots <= len(row); base += slots {
			experts := make([]int32, 0, slots)
			for _, x := range row[base : base+slots] {
				if x >= 0 {
					experts = append(experts, x)
				}
			}
			out[l] = append(out[l], experts)
		}
	}
	return out
}

// load sends a prepare order, unless the rank already loads that version.
func (e *Engine) load(ctx context.Context, o Order) error {
	if e.loading.Load() == o.Version {
		return nil
	}
	if err := e.send(ctx, o); err != nil {
		return err
	}
	e.loading.Store(o.Version)
	e.ordered.Store(o.Version)
	return nil
}

// Loaded waits until the rank has loaded a version that it has begun to load. It returns
// ErrLoading after loadTimeout, or as soon as another version is being loaded instead.
func (e *Engine) Loaded(ctx context.Context, version uint64) (engine.ExpertState, error) {
	for until := clock.Now().Add(loadTimeout); clock.Now().Before(until); {
		state, err := e.report(ctx)
		if err != nil {
			return engine.ExpertState{}, err
		}
		if state.Loaded == version {
			return state, nil
		}
		if e.loading.Load() != version {
			return engine.ExpertState{}, ErrLoading
		}
		if !wait.Sleep(ctx, loadPollInterval) {
			break
		}
	}
	e.loading.CompareAndSwap(version, 0) // so that load sends the order again, which does no harm
	return engine.ExpertState{}, ErrLoading
}

// send sends an order repeatedly until it is answered, its effect shows or it is void.
// After maxTries, or if the context ends, the order becomes pending and send returns
// ErrUnsettled.
func (e *Engine) send(ctx context.Context, o Order) error {
	report, err := e.api.Report(ctx)
	if err != nil {
		return err
	}
	if report.Epoch != o.Epoch {
		return eris.Wrapf(ErrRefused, "%s of version %d for epoch %d: rank is in epoch %d", o.Kind, o.Version, o.Epoch, report.Epoch)
	}
	o.Sequence = report.Sequence
	for tries := 1; ; tries++ {
		settled, err := e.sendOnce(ctx, o, tries)
		if settled {
			return err
		}
		if ctx.Err() != nil || tries >= maxTries {
			e.pending = &o
			e.log.Warn().Str("order", o.Kind.String()).Uint64("version", o.Version).Uint64("step", o.Step).
				Uint64("epoch", o.Epoch).Int("tries", tries).Msg("order without an answer")
			return eris.Wrapf(ErrUnsettled, "%s", o.Kind)
		}
	}
}

// sendOnce sends the order once and reports whether its outcome is known.
func (e *Engine) sendOnce(ctx context.Context, o Order, tries int) (settled bool, err error) {
	once, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	result, err := e.api.Order(once, o)
	if err == nil && (result == ResultDone || result == ResultBegun) {
		return true, nil
	}
	report, reportErr := e.api.Report(ctx)
	if reportErr != nil {
		return false, reportErr
	}
	if o.tookEffect(report) {
		return true, nil
	}
	if err == nil {
		return true, eris.Wrapf(ErrRefused, "%s of version %d at step %d in epoch %d, try %d: rank is at step %d in epoch %d",
			o.Kind, o.Version, o.Step, o.Epoch, tries, report.Step, report.Epoch)
	}
	return false, err
}

// tookEffect reports whether the rank's report shows the order's effect.
func (o Order) tookEffect(r Report) bool {
	if r.Epoch != o.Epoch {
		return false
	}
	switch o.Kind {
	case OrderPrepare:
		return r.Prepared == o.Version || r.Map == o.Version || r.Busy && r.Sequence > o.Sequence
	case OrderArm:
		return r.Armed == Arming{o.Version, o.Step} || r.Map == o.Version
	case OrderHold:
		return r.Held == o.Step
	case OrderRelease:
		return r.Held != o.Step
	default:
		return false
	}
}

// settle sends a pending order again until its outcome is known.
func (e *Engine) settle(ctx context.Context) error {
	if e.pending == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	o := *e.pending
	for tries := 1; ctx.Err() == nil && tries <= maxTries; tries++ {
		settled, err := e.sendOnce(ctx, o, tries)
		if settled {
			e.pending = nil
			e.log.Info().Str("order", o.Kind.String()).Uint64("version", o.Version).Uint64("step", o.Step).
				Uint64("epoch", o.Epoch).AnErr("refused", err).Msg("order settled")
			return nil
		}
	}
	return eris.Wrapf(ErrUnsettled, "%s", o.Kind)
}
