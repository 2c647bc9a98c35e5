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

// batchWindow is how long answers of other ranks are collected, from the first one on,
// before they are sent back together: they arrive within a few milliseconds of each
// other, and each message costs its receiver some tenths of a millisecond of a slow core.
const batchWindow = 6 * time.Millisecond

// forwardTimeout and countsTimeout bound a forwarded order and a forwarded poll. They are
// shorter than the requester's timeout, so that the requester can tell an unresponsive
// rank from an unresponsive relay.
const (
	forwardTimeout = callTimeout * 3 / 4
	countsTimeout  = collectTimeout * 3 / 4
)

// reasonNotReached is the reason that is reported for a rank that did not answer.
const reasonNotReached = "not reached"

// rankAnswer is one rank's answer to a forwarded order.
type rankAnswer struct {
	rank  uint32
	reply *wire.SwitchReply
}

// Relay sends an order to each of its targets, which include this rank, and returns their
// answers as they arrive. A target that does not answer is reported as not reached.
func (s *Set) Relay(ctx context.Context, r *wire.SwitchRelay, send func(*wire.SwitchRelayReply) error) error {
	targets := s.targets.resolve(r)
	if len(targets) == 0 {
		return send(&wire.SwitchRelayReply{TargetsUnknown: true})
	}
	answers := make(chan rankAnswer, len(targets))
	for _, target := range targets {
		go func() { answers <- rankAnswer{target.GetRank(), s.forward(ctx, r.GetOrder(), target)} }()
	}
	for left := len(targets); left > 0; {
		batch := receiveBatch(answers, left)
		left -= len(batch)
		if err := send(mergeAnswers(batch, r.GetOrder())); err != nil {
			return err
		}
	}
	return nil
}

// forward sends the order to one target and returns its answer.
func (s *Set) forward(ctx context.Context, order *wire.SwitchOrder, target *wire.RelayTarget) *wire.SwitchReply {
	forwarded := withIncarnation(order, target.GetIncarnation())
	if target.GetVm() == "" {
		return s.Handle(ctx, forwarded)
	}
	limit := forwardTimeout
	if order.GetPhase() == wire.SwitchPhase_SWITCH_COUNTS {
		limit = countsTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := s.env.Pool.Get(ctx, vm.VM{ID: vm.ID(target.GetVm()), Link: target.GetAddress(), Role: vm.RoleBackend})
	if err != nil {
		s.env.Log.Info().Err(err).Str("group", order.GetGroup()).Uint32("rank", target.GetRank()).Msg("order not passed on")
		return &wire.SwitchReply{Reason: reasonNotReached}
	}
	single := &wire.SwitchRelay{Order: forwarded, Targets: []*wire.RelayTarget{{Rank: target.GetRank(), Incarnation: target.GetIncarnation()}}}
	reply, err := conn.Call(ctx, &wire.Call{Body: &wire.Call_SwitchRelay{SwitchRelay: single}})
	if err != nil || len(reply.GetSwitchRelay().GetReplies()) != 1 {
		return &wire.SwitchReply{Reason: reasonNotReached} // the coordinator resends the order
	}
	out := reply.GetSwitchRelay().GetReplies()[0].GetReply()
	out.Counts = reply.GetSwitchRelay().GetCounts()
	return out
}

// receiveBatch waits for the first answer and returns it with those that arrive within
// the batch window after it, up to a maximum number.
func receiveBatch(answers <-chan rankAnswer, maxCount int) []rankAnswer {
	out := []rankAnswer{<-answers}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for len(out) < maxCount {
		select {
		case a := <-answers:
			out = append(out, a)
		case <-timer.C:
			return out
		}
	}
	return out
}

// mergeAnswers combines answers into one reply, with the sum of their counts.
func mergeAnswers(batch []rankAnswer, order *wire.SwitchOrder) *wire.SwitchRelayReply {
	out := &wire.SwitchRelayReply{}
	var reported [][]*wire.LayerCounts
	for _, a := range batch {
		if a.reply.GetOk() && order.GetCounts() {
			reported = append(reported, a.reply.GetCounts())
			a.reply.Counts = nil
		}
		out.Replies = append(out.Replies, &wire.RankReply{Rank: a.rank, Reply: a.reply})
	}
	out.Counts = sumCounts(reported, order.GetShape())
	return out
}

// sumCounts adds up the counts of several ranks.
func sumCounts(reported [][]*wire.LayerCounts, w *wire.EngineShape) []*wire.LayerCounts {
	if len(reported) <= 1 {
		if len(reported) == 0 {
			return nil
		}
		return reported[0]
	}
	sum := expertmap.NewCounts(shapeFromWire(w))
	for _, counts := range reported {
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

// targetCache stores, by group, the targets to which this rank forwarded last, because
// listing them takes half of a poll's bytes. It is safe for concurrent use.
type targetCache struct {
	mu      sync.Mutex
	byGroup map[string]cachedTargets
}

type cachedTargets struct {
	fence   uint64
	chunk   uint32
	targets []*wire.RelayTarget
}

// resolve returns the targets of a relay request, or none if they are not known.
func (c *targetCache) resolve(r *wire.SwitchRelay) []*wire.RelayTarget {
	group, fence := r.GetOrder().GetGroup(), r.GetOrder().GetFence()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(r.GetTargets()) == 0 {
		if k := c.byGroup[group]; k.fence == fence && k.chunk == r.GetChunk() {
			return k.targets
		}
		return nil
	}
	if r.GetChunk() != 0 {
		if c.byGroup == nil {
			c.byGroup = make(map[string]cachedTargets)
		}
		c.byGroup[group] = cachedTargets{fence, r.GetChunk(), r.GetTargets()}
	}
	return r.GetTargets()
}

// errTargets means that a relay has no cached targets for the request.
var errTargets = eris.New("group: relay does not know its targets")

// exchange has a rank forward an order to a number of targets and passes their answers to
// each until all have answered or the context ends.
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
