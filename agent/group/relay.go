package group

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/expertmap"
	"baywall.example/core/link"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// gatherTime is how long answers of other ranks are gathered, from the first one on,
// before they are passed back together: they come within a few milliseconds, and each
// message costs its receiver some tenths of a millisecond of a slow core.
const gatherTime = 6 * time.Millisecond

// passTimeout and countsTimeout bound an order, and a poll, that is passed on: less than
// whoever asked waits, so that one rank that is silent is told from a relay that is.
const (
	passTimeout   = callTimeout * 3 / 4
	countsTimeout = collectTimeout * 3 / 4
)

// errNotReached is the reason in place of an answer that did not come.
const errNotReached = "not reached"

// rankAnswer is one rank's answer to an order that was passed on.
type rankAnswer struct {
	rank  uint32
	reply *wire.SwitchReply
}

// Relay gives an order to each of its targets, this rank among them, and sends back
// what they answer as it comes, or that they do not.
func (s *Set) Relay(ctx context.Context, r *wire.SwitchRelay, send func(*wire.SwitchRelayReply) error) error {
	targets := s.targets.resolve(r)
	if len(targets) == 0 {
		return send(&wire.SwitchRelayReply{TargetsUnknown: true})
	}
	answers := make(chan rankAnswer, len(targets))
	for _, target := range targets {
		go func() { answers <- rankAnswer{target.GetRank(), s.pass(ctx, r.GetOrder(), target)} }()
	}
	for left := len(targets); left > 0; {
		batch := gather(answers, left)
		left -= len(batch)
		if err := send(summed(batch, r.GetOrder())); err != nil {
			return err
		}
	}
	return nil
}

// pass gives the order to one target and returns its answer.
func (s *Set) pass(ctx context.Context, order *wire.SwitchOrder, target *wire.RelayTarget) *wire.SwitchReply {
	mine := addressed(order, target.GetIncarnation())
	if target.GetVm() == "" {
		return s.Handle(ctx, mine)
	}
	limit := passTimeout
	if order.GetPhase() == wire.SwitchPhase_SWITCH_COUNTS {
		limit = countsTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := s.env.Pool.Get(ctx, vm.VM{ID: vm.ID(target.GetVm()), Link: target.GetAddress(), Role: vm.RoleBackend})
	if err != nil {
		s.env.Log.Info().Err(err).Str("group", order.GetGroup()).Uint32("rank", target.GetRank()).Msg("order not passed on")
		return &wire.SwitchReply{Reason: errNotReached}
	}
	single := &wire.SwitchRelay{Order: mine, Targets: []*wire.RelayTarget{{Rank: target.GetRank(), Incarnation: target.GetIncarnation()}}}
	reply, err := conn.Call(ctx, &wire.Call{Body: &wire.Call_SwitchRelay{SwitchRelay: single}})
	if err != nil || len(reply.GetSwitchRelay().GetReplies()) != 1 {
		return &wire.SwitchReply{Reason: errNotReached} // the coordinator sends the order again
	}
	out := reply.GetSwitchRelay().GetReplies()[0].GetReply()
	out.Counts = reply.GetSwitchRelay().GetCounts()
	return out
}

// gather returns the answers that come within the gather time of the first one, which
// it waits for, at most a number of them.
func gather(answers <-chan rankAnswer, most int) []rankAnswer {
	out := []rankAnswer{<-answers}
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for len(out) < most {
		select {
		case a := <-answers:
			out = append(out, a)
		case <-timer.C:
			return out
		}
	}
	return out
}

// summed puts answers together, with their counts as one sum.
func summed(batch []rankAnswer, order *wire.SwitchOrder) *wire.SwitchRelayReply {
	out := &wire.SwitchRelayReply{}
	var told [][]*wire.LayerCounts
	for _, a := range batch {
		if a.reply.GetOk() && order.GetCounts() {
			told = append(told, a.reply.GetCounts())
			a.reply.Counts = nil
		}
		out.Replies = append(out.Replies, &wire.RankReply{Rank: a.rank, Reply: a.reply})
	}
	out.Counts = sumCounts(told, order.GetShape())
	return out
}

// sumCounts adds up the counts of several ranks.
func sumCounts(told [][]*wire.LayerCounts, w *wire.EngineShape) []*wire.LayerCounts {
	if len(told) <= 1 {
		if len(told) == 0 {
			return nil
		}
		return told[0]
	}
	sum := expertmap.NewCounts(shapeFromWire(w))
	for _, counts := range told {
		addCounts(sum, counts)
	}
	rounded := make([][]int64, len(sum))
	for l, row := range sum {
		rounded[l] = make([]int64, len(row))
		for e, n := range row {
			rounded[l][e] = int64(n + 0.5)
		}
	}
	return encodeCounts(rounded)
}

// targetCache keeps, by group, the targets that this rank passed on to last, as naming
// them takes half of a poll. It is safe for concurrent use.
type targetCache struct {
	mu   sync.Mutex
	kept map[string]keptTargets
}

type keptTargets struct {
	fence   uint64
	chunk   uint32
	targets []*wire.RelayTarget
}

// resolve returns the targets of a relay, none if they are not known.
func (c *targetCache) resolve(r *wire.SwitchRelay) []*wire.RelayTarget {
	group, fence := r.GetOrder().GetGroup(), r.GetOrder().GetFence()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(r.GetTargets()) == 0 {
		if k := c.kept[group]; k.fence == fence && k.chunk == r.GetChunk() {
			return k.targets
		}
		return nil
	}
	if r.GetChunk() != 0 {
		if c.kept == nil {
			c.kept = make(map[string]keptTargets)
		}
		c.kept[group] = keptTargets{fence, r.GetChunk(), r.GetTargets()}
	}
	return r.GetTargets()
}

// errTargets means that a relay does not know whom to pass on to.
var errTargets = eris.New("group: relay does not know its targets")

// exchange has a rank pass an order on to a number of targets and hands over what they
// answer, until all have or the context ends.
func exchange(ctx context.Context, conn *link.Link, r *wire.SwitchRelay, targets int, each func(*wire.SwitchRelayReply)) error {
	stream, err := conn.Open(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := stream.SendCall(&wire.Call{Body: &wire.Call_SwitchRelay{SwitchRelay: r}}); err != nil {
		return err
	}
	for left := targets; left > 0; {
		reply, err := stream.RecvReply()
		if err != nil {
			return err
		}
		if reply.GetSwitchRelay().GetTargetsUnknown() {
			return errTargets
		}
		left -= len(reply.GetSwitchRelay().GetReplies())
		each(reply.GetSwitchRelay())
	}
	return nil
}
