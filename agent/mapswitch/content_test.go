package mapswitch_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/agent/mapswitch"
	"baywall.example/agent/rank"
)

// newScriptedWorld returns two ranks that copy experts until the test ends the copies, and the
// coordinator on rank 0, whose clock is ahead.
func newScriptedWorld(ahead time.Duration) *rankWorld {
	w := newRankWorld(2, rankBugs{}, conditions{slowCopies: true}, func(int) int { return 0 })
	w.ranks[0].skew, w.maxPlans = ahead, 0
	w.coords = nil
	w.lead(0)
	return w
}

// exchange delivers all orders, except those to a rank that is cut off, and their replies.
func (w *rankWorld) exchange(cutOff int) {
	w.tick()
	for len(w.orders) > 0 {
		if w.orders[0].rank == cutOff {
			w.orders = w.orders[1:]
			continue
		}
		w.deliverOrder(0, false)
	}
	for len(w.replies) > 0 {
		w.deliverReply(0)
	}
}

// finish ends all copies and lets the group run without faults.
func (w *rankWorld) finish() {
	for range 60 {
		for _, r := range w.ranks {
			if r.copying.version != 0 {
				r.copied()
			}
		}
		w.exchange(-1)
		w.advance()
	}
}

// A coordinator whose clock is ahead has a rank copy a second version. Agents restart meanwhile,
// and the next coordinator, with a smaller fencing number, sees the first version only.
func TestARankThatCopiesAnotherMapOfTheVersionIsNotPrepared(t *testing.T) {
	is := is.New(t)
	w := newScriptedWorld(10 * time.Second)
	w.exchange(-1)
	w.propose(w.coords[0])
	w.exchange(-1)
	w.ranks[0].copied()
	w.ranks[1].copied()
	w.propose(w.coords[0])
	w.exchange(1)
	w.restart(0)
	w.restart(1)
	w.coords = nil
	w.lead(1)
	w.exchange(-1)
	w.propose(w.coords[0])
	w.finish()
	is.True(!w.mixed)
	is.Equal(w.ranks[0].inUse, w.ranks[1].inUse)
}

// versionsOf returns the versions that a rank's coordinator assigns to three maps, each of which
// replaces the one before. The ranks report no version, as no copy is complete.
func versionsOf(c *mapswitch.Coordinator, rank int, now time.Time) (out []uint64) {
	for _, o := range c.Tick(now) {
		c.Receive(o.Rank, o.Order, mapswitch.Reply{OK: true, Fence: c.Fence()}, now)
	}
	for i := range 3 {
		c.Propose(mapOf(int32(10*rank+i), 3), now)
		out = append(out, c.Tick(now)[0].Order.Version)
	}
	return out
}

// Two ranks take over from a coordinator before either has read the other one. If its clock was
// ahead, or if both start in one millisecond, the counters of their fencing numbers are equal.
func TestOneVersionNeverNamesTwoMaps(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	cases := []struct {
		name  string
		ahead time.Duration // of the predecessor's clock
		apart time.Duration // between the two starts
	}{
		{"predecessor with a clock ahead", 10 * time.Second, 200 * time.Millisecond},
		{"starts in one millisecond", 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			before := mapswitch.NextFence(0, 0, 1, now.Add(c.ahead))
			start := func(rank int, at time.Time) []uint64 {
				return versionsOf(mapswitch.NewCoordinator(3, mapswitch.NextFence(before, rank, 1, at), mapswitch.Timing{}, at), rank, at)
			}
			seen := make(map[uint64]bool)
			for _, v := range append(start(1, now.Add(time.Second)), start(2, now.Add(time.Second+c.apart))...) {
				is.True(!seen[v]) // no other coordinator has assigned the version
				seen[v] = true
			}
		})
	}
}

// reformingRank is a rank whose group is formed anew before its third report.
type reformingRank struct {
	*simRank
	reports int
}

func (r *reformingRank) Report(ctx context.Context) (rank.Report, error) {
	if r.reports++; r.reports == 3 {
		r.world.reformGroup()
	}
	return r.simRank.Report(ctx)
}

// The group is formed anew after the member has compared the order's epoch with the rank's.
func TestAnOrderOfAnEarlierEpochTakesNoEffect(t *testing.T) {
	is := is.New(t)
	w := newScriptedWorld(0)
	r := &reformingRank{simRank: w.ranks[0]}
	m := mapswitch.NewMember(newTestEngine(r, r.simRank), 1)
	m.Recovered()
	is.True(m.Handle(t.Context(), mapswitch.Order{Phase: mapswitch.PhaseRead, Fence: 1}).OK)
	order := mapswitch.Order{Phase: mapswitch.PhasePrepare, Fence: 1, Incarnation: 1, Version: 7, Epoch: w.epoch, Map: w.plan()}
	m.Handle(t.Context(), order)
	is.Equal(w.epoch, uint64(2))
	is.Equal(r.maxPrepared, uint64(0)) // the rank of epoch 2 has carried out no order of epoch 1
}

// A rank still reports its prepared version while it copies the next one. A coordinator that reads
// it then finds all ranks prepared for the first version, and a late hold of the step of its switch.
func TestAGroupGoesOnIfACopyReplacesThePreparedVersion(t *testing.T) {
	is := is.New(t)
	w := newScriptedWorld(0)
	w.exchange(-1)
	w.propose(w.coords[0])
	w.exchange(-1)
	w.ranks[0].copied()
	w.ranks[1].copied()
	for len(w.externalHolds) == 0 {
		w.exchange(-1)
	}
	w.orders, w.coords = nil, nil // the holder's own agent is not reached
	w.lead(1)
	w.exchange(-1)
	w.propose(w.coords[0])
	w.exchange(0)
	w.holdExternally(0, false)
	w.coords = nil
	w.lead(0)
	w.exchange(-1)
	w.finish()
	is.Equal(w.coords[0].Stage(), mapswitch.StageIdle)
	is.True(w.noneHeld())
}

// withOutcomes makes the ranks leave orders unanswered as chosen: 0 and an outcome, 0 = done,
// 1 = delayed and 2 = lost, for each order without an answer.
func (w *rankWorld) withOutcomes(choices ...int) {
	w.lossyOrders = true
	w.choose = func(n int) int {
		if len(choices) == 0 {
			return min(1, n-1) // answered
		}
		next := choices[0]
		choices = choices[1:]
		return next
	}
}

// prepared lets the coordinator propose a map, and all ranks prepare it.
func (w *rankWorld) prepared() {
	w.propose(w.coords[0])
	for w.coords[0].Stage() == mapswitch.StagePreparing {
		w.exchange(-1)
	}
}

// takeOver starts another coordinator, which reads all ranks. Orders of the present one are lost.
func (w *rankWorld) takeOver(i int) {
	w.orders, w.coords = nil, nil
	w.lead(i)
	w.exchange(-1)
}

// Two VMs are requested to hold a step. One does so late, and the hold is released with a delayed
// copy of the order. The other does so even later, when all ranks have prepared one version.
func TestALateReleaseDoesNotLiftALaterHold(t *testing.T) {
	is := is.New(t)
	w := newScriptedWorld(0)
	w.allow = conditions{}
	w.exchange(-1)
	w.prepared()
	w.takeOver(0)
	w.propose(w.coords[0])
	w.withOutcomes(append([]int{0, 1}, slices.Repeat([]int{0, 2}, 15)...)...)
	w.exchange(-1) // the order to prepare the second map is delayed at rank 0
	w.restart(0)
	w.holdExternally(0, true)
	w.withOutcomes(0, 1)
	w.takeOver(0)
	w.exchange(-1) // the release is delayed, and done when it is sent again
	w.ranks[0].carryOutLate()
	is.Equal(w.ranks[0].prepared, w.ranks[1].prepared)
	w.withOutcomes()
	w.holdExternally(0, false)
	w.takeOver(0)
	w.exchange(1) // rank 0 is armed
	w.ranks[1].carryOutLate()
	for range 10 {
		w.advance()
	}
	is.True(!w.mixed)
}

// A VM carries out the hold of an earlier coordinator while ranks are armed, and the rank holds that
// step instead of the present one.
func TestALateHoldDoesNotReplaceThePresentOne(t *testing.T) {
	is := is.New(t)
	w := newScriptedWorld(0)
	w.allow, w.holdReplaces = conditions{}, true
	w.exchange(-1)
	w.prepared()
	for range 3 {
		w.advance() // the first step to hold begins, so that a later one is chosen
	}
	w.externalHolds = nil
	w.exchange(-1)
	w.takeOver(0)
	w.prepared()
	is.Equal(len(w.externalHolds), 2)
	is.True(w.externalHolds[0].order.Step > w.externalHolds[1].order.Step)
	w.exchange(-1)
	w.exchange(1) // rank 0 is armed
	w.holdExternally(0, false)
	for range 10 {
		w.advance()
	}
	is.True(!w.mixed)
}
