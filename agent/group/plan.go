package group

import (
	"fmt"
	"time"

	"baywall.example/core/expertmap"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
)

// planner returns the search that fits the group: where a switch may copy only a
// few experts, single changes in order of their gain.
func (l *leadership) planner() func(expertmap.Input) (expertmap.Result, error) {
	if l.spec.MaxNewTotal > 0 {
		return expertmap.Improve
	}
	return expertmap.Plan
}

const (
	// usualBatch is the batch, in requests, for which an intent's price of a move
	// is meant.
	usualBatch = 6
	// cheapest and dearest bound how far the price follows the batch.
	cheapest = 0.5
	dearest  = 4
)

// price returns the skew that a move must be worth: the part of a step's time that
// depends on the map grows with the batch, and the lead that a pass has before
// streams are late shrinks. In a small batch skew costs little.
func price(moveCost, running float64) float64 {
	if running <= 0 {
		return moveCost
	}
	ratio := usualBatch / running
	return moveCost * min(dearest, max(cheapest, ratio*ratio))
}

// plan proposes a better map if there is one that pays for its moves.
func (l *leadership) plan(poll collection, intent resource.Intent, now time.Time) {
	cost := price(intent.MoveCost, poll.running)
	res, err := l.planner()(expertmap.Input{
		Shape: shapeOf(&l.spec), Counts: l.demand.Counts(), Speeds: poll.speeds, Current: poll.active, Price: cost,
		MaxNew: l.spec.MaxNewExperts, MaxNewTotal: l.spec.MaxNewTotal,
	})
	if err != nil {
		l.record(timeline.KindPlan, "none", err.Error())
		return
	}
	reason := fmt.Sprintf("predicted skew %.4f -> %.4f with %d moves at price %.3g", res.SkewBefore, res.SkewAfter, res.Moves, cost)
	if res.Moves == 0 || (res.SkewBefore-res.SkewAfter)*l.life.Rest(now).Seconds() < l.set.env.Timing.LeastGain {
		l.set.env.Log.Debug().Str("group", l.name).Str("reason", reason).Msg("map kept")
		return
	}
	l.record(timeline.KindPlan, "switch", reason)
	l.coord.Propose(res.Map, now)
}
