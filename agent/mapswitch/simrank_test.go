package mapswitch_test

import (
	"context"
	"errors"
	"time"

	"baywall.example/agent/engine"
	"baywall.example/agent/mapswitch"
	"baywall.example/agent/rank"
	"baywall.example/core/vm"
)

// errNoAnswer is the error of a lost order or report.
var errNoAnswer = errors.New("no answer")

// simRank simulates one rank on a platform without fencing numbers: orders may be left
// unanswered and carried out late, any number of orders may leave the sequence number
// unchanged, and ranks do not compare maps. It implements rank.API.
type simRank struct {
	world       *rankWorld
	index       int
	sequence    uint64
	inUse       content
	prepared    content
	copying     content // a version whose copy is not complete
	maxPrepared uint64  // the highest version that it has prepared
	armed       rank.Arming
	arming      content // that the rank is armed with
	held        uint64
	late        []rank.Order
	skew        time.Duration // of the VM's wall clock
	led         time.Time     // when its latest coordinator started

	member      *mapswitch.Member
	incarnation vm.Incarnation
}

// content is a map version together with what the map places: two maps of the same
// version may differ.
type content struct {
	version uint64
	expert  int32
}

func (r *simRank) Report(context.Context) (rank.Report, error) {
	if r.world.lose(r.world.lossyReports) {
		return rank.Report{}, errNoAnswer
	}
	w := r.world
	return rank.Report{
		Group: "g", Epoch: w.epoch, Rank: r.index, Size: len(w.ranks), Open: true, Sequence: r.sequence, Slowdown: 1,
		Busy: r.copying.version != 0,
		Step: w.step, Map: r.inUse.version, Prepared: r.prepared.version, Armed: r.armed, Held: r.held,
	}, nil
}

func (r *simRank) Counts(context.Context) (rank.Counts, error) { return rank.Counts{}, nil }

func (r *simRank) Placement(context.Context) (rank.Placement, error) { return rank.Placement{}, nil }

// Order carries out an order or leaves it unanswered; an unanswered order is done, lost
// or delayed.
func (r *simRank) Order(_ context.Context, o rank.Order) (rank.Result, error) {
	if !r.world.lose(r.world.lossyOrders) {
		return r.do(o), nil
	}
	switch r.world.choose(3) {
	case 0:
		r.do(o)
	case 1:
		r.world.note("rank %d: %s of version %d, step %d is delayed", r.index, o.Kind, o.Version, o.Step)
		r.late = append(r.late, o)
	}
	if r.world.bugs.lostIsDone {
		return rank.ResultDone, nil
	}
	return 0, errNoAnswer
}

func (r *simRank) do(o rank.Order) rank.Result {
	if o.Epoch != r.world.epoch || o.Sequence != r.sequence && !o.AnySequence {
		return rank.ResultRefused
	}
	ok := false
	switch o.Kind {
	case rank.OrderPrepare:
		ok = r.prepare(o)
	case rank.OrderArm:
		ok = o.Version == r.prepared.version && o.Step > r.world.step
		if ok {
			r.armed, r.arming = rank.Arming{Version: o.Version, Step: o.Step}, r.prepared
		}
	case rank.OrderHold:
		ok = r.held == o.Step || (r.held == 0 || r.world.holdReplaces) && o.Step > r.world.step
		if ok {
			r.held = o.Step
		}
	case rank.OrderRelease:
		if ok = r.held == o.Step; ok {
			r.held = 0
		}
	}
	r.world.note("rank %d: %s of version %d, step %d: %t", r.index, o.Kind, o.Version, o.Step, ok)
	switch {
	case !ok:
		return rank.ResultRefused
	case o.Kind == rank.OrderPrepare && r.copying.version != 0:
		return rank.ResultBegun
	default:
		return rank.ResultDone
	}
}

func (r *simRank) prepare(o rank.Order) bool {
	if o.Version <= r.maxPrepared || r.armed.Version != 0 {
		return false
	}
	r.maxPrepared = o.Version
	r.copying = content{o.Version, o.Map[0][r.index][0]}
	if !r.world.allow.lateOrders || r.world.choose(2) == 0 {
		r.sequence++ // it copies an expert
	}
	if !r.world.allow.slowCopies {
		r.copied()
	} else if !r.world.keepsPrepared {
		r.prepared = content{}
	}
	return true
}

// copied ends the copy of a version.
func (r *simRank) copied() {
	r.world.note("rank %d: version %d is prepared, with map %d", r.index, r.copying.version, r.copying.expert)
	r.prepared, r.copying = r.copying, content{}
}

// choosingEngine is a rank's engine whose wait for copies lasts a number of choices.
type choosingEngine struct {
	*rank.Engine
	rank *simRank
}

// maxChoicesPerWait bounds the number of choices during one wait for copies.
const maxChoicesPerWait = 6

func (e choosingEngine) Loaded(_ context.Context, version uint64) (engine.ExpertState, error) {
	w := e.rank.world
	for n := w.choose(maxChoicesPerWait); n > 0 && w.allow.slowCopies && e.rank.copying.version == version; n-- {
		w.act()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return e.Engine.Loaded(ctx, version)
}

func (r *simRank) carryOutLate() {
	if len(r.late) == 0 {
		return
	}
	i := r.world.choose(len(r.late))
	o := r.late[i]
	r.late = append(r.late[:i:i], r.late[i+1:]...)
	r.world.note("rank %d: carries out an order late", r.index)
	r.do(o)
}
