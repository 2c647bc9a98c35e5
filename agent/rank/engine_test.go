package rank

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/agent/engine"
)

var errLost = errors.New("no answer")

// fakeRank carries out orders and loses a given number of answers.
type fakeRank struct {
	report      Report
	counts      Counts
	loseAnswers int  // how many of the next answers are lost
	dropOrders  bool // an order whose answer is lost is not carried out
	hangLoading bool // loading never ends
	orders      []Order
}

func (f *fakeRank) Report(context.Context) (Report, error)       { return f.report, nil }
func (f *fakeRank) Counts(context.Context) (Counts, error)       { return f.counts, nil }
func (f *fakeRank) Placement(context.Context) (Placement, error) { return Placement{}, nil }

func (f *fakeRank) Order(_ context.Context, o Order) (Result, error) {
	f.orders = append(f.orders, o)
	lost := f.loseAnswers > 0
	if lost {
		f.loseAnswers--
	}
	if lost && f.dropOrders {
		return 0, errLost
	}
	switch o.Kind {
	case OrderHold:
		if o.Step <= f.report.Step {
			return ResultRefused, nil
		}
		f.report.Held = o.Step
	case OrderRelease:
		f.report.Held = 0
	case OrderArm:
		f.report.Armed = Arming{o.Version, o.Step}
	case OrderPrepare:
		if !f.hangLoading {
			f.report.Prepared = o.Version
		}
		f.report.Sequence++
	}
	if lost {
		return 0, errLost
	}
	return ResultDone, nil
}

func newEngine(f *fakeRank) *Engine {
	return NewEngine(f, func() Shape { return Shape{Layers: 1, Experts: 4, Slots: 2} }, zerolog.Nop())
}

func hold(step, epoch uint64) engine.Order {
	return engine.Order{Kind: engine.OrderHold, Step: step, Epoch: epoch}
}

func TestOrderIsResentUntilItTakesEffect(t *testing.T) {
	is := is.New(t)
	f := &fakeRank{report: Report{Epoch: 3, Step: 5, Sequence: 2}, loseAnswers: 3, dropOrders: true}
	s, err := newEngine(f).Order(context.Background(), hold(9, 3))
	is.NoErr(err)
	is.Equal(s.Hold, uint64(9))
	is.Equal(len(f.orders), 4)
	is.Equal(f.orders[0], Order{Kind: OrderHold, Epoch: 3, Sequence: 2, Step: 9})
}

func TestOrderWithLostAnswerIsConfirmedByReport(t *testing.T) {
	is := is.New(t)
	f := &fakeRank{report: Report{Step: 5}, loseAnswers: 1}
	_, err := newEngine(f).Order(context.Background(), hold(9, 0))
	is.NoErr(err)
	is.Equal(len(f.orders), 1)
}

func TestRefusedOrderIsNotResent(t *testing.T) {
	is := is.New(t)
	f := &fakeRank{report: Report{Step: 9}}
	_, err := newEngine(f).Order(context.Background(), hold(9, 0))
	is.True(errors.Is(err, ErrRefused))
	is.Equal(len(f.orders), 1)
}

// Until an order without an answer is settled, the rank's state is not reported,
// because the order could still change it.
func TestUnsettledOrderIsResentBeforeStateIsReported(t *testing.T) {
	is := is.New(t)
	f := &fakeRank{report: Report{Step: 5}, loseAnswers: maxTries + 3, dropOrders: true}
	e := newEngine(f)
	_, err := e.Order(context.Background(), hold(9, 0))
	is.True(errors.Is(err, ErrUnsettled))
	s, err := e.Experts(context.Background())
	is.NoErr(err)
	is.Equal(s.Hold, uint64(9)) // the order was resent first
}

// An order to activate does not release the held step: that takes an order of its own,
// once all ranks are armed.
func TestActivateOnlyArms(t *testing.T) {
	is := is.New(t)
	f := &fakeRank{report: Report{Step: 5, Held: 9, Prepared: 4}}
	s, err := newEngine(f).Order(context.Background(), engine.Order{Kind: engine.OrderActivate, Version: 4, Step: 9})
	is.NoErr(err)
	is.Equal(len(f.orders), 1)
	is.Equal(f.orders[0].Kind, OrderArm)
	is.Equal(s.Activate, uint64(9))
	is.Equal(s.Hold, uint64(9))
}

func TestPrepareCarriesTheMapByRank(t *testing.T) {
	is := is.New(t)
	f := &fakeRank{}
	_, err := newEngine(f).Order(context.Background(), engine.Order{Kind: engine.OrderLoad, Version: 4, Map: [][]int32{{0, 1, 2, -1}}})
	is.NoErr(err)
	is.Equal(f.orders[0].Map, [][][]int32{{{0, 1}, {2}}})
}

func TestCountsAreDifferences(t *testing.T) {
	is := is.New(t)
	f := &fakeRank{counts: Counts{Tokens: []int64{1, 2, 3, 4}}}
	e := newEngine(f)
	read := func() []int64 {
		s, err := e.Observe(context.Background(), true)
		is.NoErr(err)
		return s.Counts[0]
	}
	is.Equal(read(), []int64{1, 2, 3, 4})
	f.counts.Tokens = []int64{5, 2, 3, 9}
	is.Equal(read(), []int64{4, 0, 0, 5})
	f.counts.Tokens = []int64{1, 0, 0, 0} // the rank restarted
	is.Equal(read(), []int64{1, 0, 0, 0})
}

// The first counts that an agent reads cover the whole time since the rank started. If
// that is long, they do not show the current demand.
func TestFirstCountsOfALongRunningRankAreIgnored(t *testing.T) {
	cases := []struct {
		name  string
		step  uint64
		first int64
	}{
		{"the rank has just started", 3, 100},
		{"it has run for a long time", 3000, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeRank{counts: Counts{Step: c.step, Tokens: []int64{100, 0, 0, 0}}}
			e := newEngine(f)
			state, err := e.Observe(t.Context(), true)
			is.NoErr(err)
			is.Equal(state.Counts[0][0], c.first)
			f.counts = Counts{Step: c.step + 1, Tokens: []int64{107, 2, 0, 0}}
			state, err = e.Observe(t.Context(), true)
			is.NoErr(err)
			is.Equal(state.Counts[0], []int64{7, 2, 0, 0})
		})
	}
}

// Copying experts takes long. Meanwhile the rank's counts must be readable, and another
// version may be ordered.
func TestLoadReturnsEarlyAndIsSupersededByAnotherVersion(t *testing.T) {
	is := is.New(t)
	f := &fakeRank{hangLoading: true, counts: Counts{Tokens: []int64{1, 2, 3, 4}}}
	e := newEngine(f)
	load := func(version uint64) {
		_, err := e.Order(t.Context(), engine.Order{Kind: engine.OrderLoad, Version: version, Map: [][]int32{{0, 1, 2, 3}}})
		is.NoErr(err)
	}
	load(4)
	load(4)
	is.Equal(len(f.orders), 1) // the second call sends nothing
	s, err := e.Observe(t.Context(), true)
	is.NoErr(err)
	is.Equal(s.Counts[0], []int64{1, 2, 3, 4})
	load(5)
	_, err = e.Loaded(t.Context(), 4)
	is.True(errors.Is(err, ErrLoading))
	f.hangLoading = false
	load(6)
	s, err = e.Loaded(t.Context(), 6)
	is.NoErr(err)
	is.Equal(s.Loaded, uint64(6))
}
