package mapswitch_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"baywall.example/agent/mapswitch"
	"baywall.example/agent/rank"
)

// exchangeUntil exchanges messages until the coordinator reaches a stage, or many times.
func (w *rankWorld) exchangeUntil(s mapswitch.Stage) {
	for range 300 {
		if w.coords[0].Stage() == s {
			return
		}
		w.exchange(-1)
	}
}

// armLater takes the order to arm a rank out of the network; the rank carries it out late.
func (w *rankWorld) armLater(i int) {
	for _, o := range w.orders {
		if o.rank == i {
			r := w.ranks[i]
			r.late = append(r.late, rank.Order{Kind: rank.OrderArm, Epoch: w.epoch, Sequence: r.sequence, Version: o.order.Version, Step: o.order.Step})
		}
	}
	w.orders, w.replies = nil, nil
}

// Two ranks hold a step each, as the hold of an earlier coordinator came late, and an order to arm a
// rank for the later step is still in flight.
func TestALateArmForAnotherHeldStepDoesNotMixMaps(t *testing.T) {
	is := is.New(t)
	w := newRankWorld(3, rankBugs{}, conditions{}, func(int) int { return 0 })
	w.maxPlans, w.coords = 0, nil
	w.lead(0)
	w.exchange(-1)
	w.prepared()
	w.exchangeUntil(mapswitch.StageCommitting)
	first := w.externalHolds[0].order.Step
	w.ranks[1].held, w.externalHolds, w.orders, w.replies = 0, nil, nil, nil // the hold has not arrived
	w.advance()
	w.inactive = true
	w.takeOver(1)
	w.prepared()
	w.tick()
	for w.coords[0].Stage() != mapswitch.StageCommitting {
		w.tick()
		for len(w.orders) > 0 {
			w.deliverOrder(0, false)
		}
		for len(w.replies) > 0 && w.coords[0].Stage() != mapswitch.StageCommitting {
			w.deliverReply(0)
		}
	}
	w.armLater(0)
	w.restart(0)
	_, _ = w.ranks[1].Order(context.Background(), rank.Order{Kind: rank.OrderHold, Epoch: w.epoch, Step: first, AnySequence: true})
	w.takeOver(2)
	for i := 0; i < 20 && w.coords[0].Stage() == mapswitch.StageCommitting; i++ {
		w.exchange(-1)
	}
	w.ranks[0].carryOutLate()
	w.inactive = false
	for range 300 {
		w.exchange(-1)
		w.advance()
	}
	is.True(!w.mixed)
}

// A rank carries out late the order to prepare a version of a coordinator that had abandoned a switch,
// while the next coordinator arms ranks.
func TestAGroupGoesOnAfterALatePrepareOfAnAbandoningCoordinator(t *testing.T) {
	is := is.New(t)
	w := newScriptedWorld(0)
	w.allow = conditions{}
	w.exchange(-1)
	w.propose(w.coords[0])
	for w.coords[0].Stage() == mapswitch.StagePreparing {
		w.exchange(1) // rank 1 is not reached
	}
	if w.coords[0].Stage() == mapswitch.StageSuperseded {
		w.lead(0)
		w.coords = w.coords[1:]
	}
	w.exchangeUntil(mapswitch.StageIdle)
	w.propose(w.coords[0])
	w.tick()
	for _, o := range w.orders {
		if o.rank == 1 {
			w.ranks[1].late = append(w.ranks[1].late, rank.Order{Kind: rank.OrderPrepare, Epoch: w.epoch, AnySequence: true, Version: o.order.Version, Map: [][][]int32{{{9}, {9}}}})
		}
	}
	w.restart(1)
	w.takeOver(1)
	for w.coords[0].Stage() == mapswitch.StageSuperseded {
		w.lead(1)
		w.coords = w.coords[1:]
		w.exchange(-1)
	}
	w.propose(w.coords[0])
	w.exchangeUntil(mapswitch.StageCommitting)
	w.orders, w.replies = nil, nil
	w.ranks[1].carryOutLate()
	for range 200 {
		w.exchange(-1)
		w.advance()
	}
	is.True(w.noneHeld())
}

// A rank is armed late for a version that another rank can no longer load, while the coordinator
// prepares the map in use under a held step.
func TestAGroupGoesOnAfterALateArmWhileAStepIsHeld(t *testing.T) {
	is := is.New(t)
	w := newScriptedWorld(0)
	w.allow = conditions{}
	w.exchange(-1)
	w.prepared()
	w.exchangeUntil(mapswitch.StageCommitting)
	armed := w.ranks[0].prepared.version
	w.ranks[0].late = append(w.ranks[0].late, rank.Order{Kind: rank.OrderArm, Epoch: w.epoch, AnySequence: true, Version: armed, Step: w.ranks[1].held})
	w.ranks[1].do(rank.Order{Kind: rank.OrderPrepare, Epoch: w.epoch, AnySequence: true, Version: armed + 1<<20, Map: [][][]int32{{{9}, {9}}}})
	w.restart(0)
	w.restart(1)
	w.replies = nil
	w.takeOver(0)
	w.exchangeUntil(mapswitch.StageHeld)
	w.ranks[0].carryOutLate()
	for range 300 {
		if w.coords[0].Stage() == mapswitch.StageSuperseded {
			w.lead(0)
			w.coords = w.coords[1:]
		}
		w.exchange(-1)
		w.advance()
	}
	is.True(!w.mixed)
	is.True(w.noneHeld())
}
