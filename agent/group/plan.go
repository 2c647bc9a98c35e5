package group

import (
	"fmt"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/expertmap"
	"baywall.example/core/timeline"
)

// planner returns the search that suits the group: where a switch may copy only a few
// experts, it makes single changes in order of their gain.
func (l *leadership) planner() func(expertmap.Input) (expertmap.Result, error) {
	if l.spec.MaxNewTotal > 0 {
		return expertmap.Improve
	}
	return expertmap.Plan
}

const (
	// referenceBatch is the batch size, in requests, to which an intent's price of a move
	// applies.
	referenceBatch = 6
	// minPriceFactor and maxPriceFactor bound how far the price is scaled with the batch
	// size.
	minPriceFactor = 0.5
	maxPriceFactor = 4
)

// price returns the gain in skew that justifies a move. The part of a step's time that
// depends on the map grows with the batch, while the slack that a pass has before streams
// are late shrinks. In a small batch, skew therefore costs little.
func price(moveCost, running float64) float64 {
	if running <= 0 {
		return moveCost
	}
	ratio := referenceBatch / running
	return moveCost * min(maxPriceFactor, max(minPriceFactor, ratio*ratio))
}

// plan is the result of planning: a map, or the reason why there is none.
type plan struct {
	result expertmap.Result
	from   uint64 // version of the map that the plan changes
	price  float64
	err    error
	took   time.Duration
}

// beginPlan plans a better map in a goroutine of its own, as planning takes long on a
// slow core and the ranks need heartbeats meanwhile.
func (l *leadership) beginPlan(c pollResult, current expertmap.Map, now time.Time) {
	if l.planning {
		return
	}
	l.planning = true
	in := expertmap.Input{
		Shape: shapeOf(&l.spec), Counts: l.demand.Counts().Clone(), Speeds: c.speeds, Current: current,
		Price:  price(l.set.env.Directory.Intent(l.spec.Service).MoveCost, c.running),
		MaxNew: l.spec.MaxNewExperts, MaxNewTotal: l.spec.MaxNewTotal,
	}
	search := l.planner()
	l.set.calls.Go(func() {
		result, err := search(in)
		l.plans <- plan{result: result, from: current.Version, price: in.Price, err: err, took: clock.Since(now)}
	})
}

// propose starts a switch to a planned map if its gain outweighs the cost of its moves.
func (l *leadership) propose(p plan, now time.Time) {
	if p.err != nil {
		l.record(timeline.KindMapPlan, "none", p.err.Error())
		return
	}
	if l.coord.Stopped() {
		return // the group would wait for the copies
	}
	res := p.result
	reason := fmt.Sprintf("predicted skew %.4f -> %.4f with %d moves at price %.3g in %s",
		res.SkewBefore, res.SkewAfter, res.Moves, p.price, p.took.Round(time.Millisecond))
	gain := (res.SkewBefore - res.SkewAfter) * l.lifetime.Remaining(now).Seconds()
	if res.Moves == 0 || gain < l.set.env.Timing.MinGain || !l.coord.InEffect(p.from) {
		l.set.env.Log.Debug().Str("group", l.name).Str("reason", reason).Msg("planned map rejected")
		return
	}
	l.record(timeline.KindMapPlan, "switch", reason)
	if l.coord.Propose(res.Map, now) {
		l.logProposal(l.coord.Target(), p.from, res.Moves)
	}
}
