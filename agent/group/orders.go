package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"baywall.example/agent/mapswitch"
	"baywall.example/core/clock"
	"baywall.example/core/wait"
	"baywall.example/core/wire"
)

// distrustTime is how long a rank that failed to pass orders on is not asked to.
const distrustTime = 2 * time.Second

// distrust remembers ranks that failed to pass orders on. It is safe for concurrent
// use.
type distrust struct {
	mu    sync.Mutex
	until map[int]time.Time
}

func (d *distrust) note(rank int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = make(map[int]time.Time)
	}
	d.until[rank] = now.Add(distrustTime)
}

func (d *distrust) trusts(rank int, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !now.Before(d.until[rank])
}

// relayOf returns the rank that passes orders on to a chunk: the first one that has not
// failed to lately.
func (l *leadership) relayOf(chunk []int, now time.Time) int {
	for _, rank := range chunk {
		if l.distrusted.trusts(rank, now) {
			return rank
		}
	}
	return chunk[0]
}

// distrust notes that a rank failed to pass orders on.
func (l *leadership) distrust(rank int, now time.Time) {
	l.distrusted.note(rank, now)
	l.set.env.Log.Info().Str("group", l.name).Int("rank", rank).Msg("rank does not pass orders on")
}

// target returns how a relay reaches a rank; it knows itself.
func (l *leadership) target(rank, relay int, incarnation uint64) *wire.RelayTarget {
	t := &wire.RelayTarget{Rank: uint32(rank), Incarnation: incarnation}
	if rank != relay {
		v := l.set.env.World.Find(l.spec.Ranks[rank])
		t.Vm, t.Address = string(v.ID), v.Link
	}
	return t
}

// batch is one order to ranks that are reached through one of them and have the same
// map.
type batch struct {
	relay  int
	base   uint64 // version of that map, 0 = not known
	orders []mapswitch.Outgoing
}

// batches groups orders by the rank through which they go. One that had no answer goes
// straight to its rank.
func (l *leadership) batches(orders []mapswitch.Outgoing, now time.Time) []*batch {
	var out []*batch
	for _, o := range orders {
		relay := o.Rank
		if !o.Resent && o.Rank != l.rank {
			relay = l.relayOf(l.chunkOf(o.Rank), now)
		}
		base, _ := l.maps.base(o.Rank)
		at := slices.IndexFunc(out, func(b *batch) bool { return b.relay == relay && b.base == base.Version })
		if at < 0 {
			at = len(out)
			out = append(out, &batch{relay: relay, base: base.Version})
		}
		out[at].orders = append(out[at].orders, o)
	}
	return out
}

func (l *leadership) chunkOf(rank int) []int {
	for _, chunk := range l.chunks {
		if slices.Contains(chunk, rank) {
			return chunk
		}
	}
	return []int{rank}
}

// send gives orders to ranks.
func (l *leadership) send(ctx context.Context, orders []mapswitch.Outgoing) {
	for _, b := range l.batches(orders, clock.Now()) {
		l.set.calls.Go(func() {
			if l.askHold(b.orders[0]) && !wait.Sleep(ctx, holdTime) {
				return
			}
			l.give(ctx, b)
		})
	}
}

// holdTime is for how long others are left to give a hold that they were asked for, before
// the rank's own agent is asked whether it holds, and gives it otherwise: a datagram and
// an order, each of a few milliseconds.
const holdTime = 15 * time.Millisecond

// askHold asks others to give an order to hold a step, where there are any, and reports
// whether it did. A VM is most likely to be missed just after it gave that order, and
// one that has a rank then keeps the group at a stand: for 4 s, as long as it was frozen.
func (l *leadership) askHold(o mapswitch.Outgoing) bool {
	if o.Order.Phase != mapswitch.PhaseHold || o.Resent || l.set.env.AskHold == nil {
		return false
	}
	l.set.env.AskHold(l.set.env.World.Find(l.spec.Ranks[o.Rank]), o.Order.Epoch, o.Order.Step)
	return true
}

// give gives one batch and hands over the answers.
func (l *leadership) give(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := l.encode(b.orders[0])
	relay := &wire.SwitchRelay{Order: message}
	for _, o := range b.orders {
		relay.Targets = append(relay.Targets, l.target(o.Rank, b.relay, uint64(o.Order.Incarnation)))
	}
	err := l.exchange(ctx, b.relay, relay, len(b.orders), func(r *wire.SwitchRelayReply) {
		for _, one := range r.GetReplies() {
			l.answered(ctx, b, one)
		}
	})
	if err != nil && ctx.Err() == nil && len(b.orders) > 1 {
		l.distrust(b.relay, clock.Now()) // the orders are sent again without it
	}
}

// answered hands over one rank's answer.
func (l *leadership) answered(ctx context.Context, b *batch, one *wire.RankReply) {
	at := slices.IndexFunc(b.orders, func(o mapswitch.Outgoing) bool { return o.Rank == int(one.GetRank()) })
	if at < 0 {
		return
	}
	o, reply := b.orders[at], one.GetReply()
	l.noteBase(o, reply)
	select {
	case l.answers <- answer{rank: o.Rank, order: o.Order, reply: replyFromWire(reply)}:
	case <-ctx.Done():
	}
}

// encode turns an order into a message, with the map as changes where the rank is
// known to have another one.
func (l *leadership) encode(o mapswitch.Outgoing) *wire.SwitchOrder {
	w := orderToWire(l.name, l.set.env.VM, o.Order)
	w.Shape = shapeToWire(shapeOf(&l.spec))
	if o.Order.Phase != mapswitch.PhasePrepare {
		return w
	}
	target := o.Order.Map
	target.Version = o.Order.Version
	l.maps.add(target)
	if base, ok := l.maps.base(o.Rank); ok {
		w.Changes = changesBetween(base, target)
	}
	if w.Changes == nil {
		w.PackedMap = l.maps.pack(target)
	}
	return w
}

// noteBase notes which map the rank has after its reply.
func (l *leadership) noteBase(o mapswitch.Outgoing, reply *wire.SwitchReply) {
	switch {
	case reply.GetBaseUnknown():
		l.maps.given(o.Rank, 0)
	case o.Order.Phase == mapswitch.PhaseRead && reply.GetOk():
		l.maps.given(o.Rank, reply.GetCached())
	case o.Order.Phase == mapswitch.PhasePrepare && reply.GetOk():
		l.maps.given(o.Rank, o.Order.Version)
	}
}

// exchange has a rank pass an order on; without a link if the rank is this one.
func (l *leadership) exchange(ctx context.Context, rank int, r *wire.SwitchRelay, targets int, each func(*wire.SwitchRelayReply)) error {
	if rank == l.rank {
		return l.set.Relay(ctx, r, func(reply *wire.SwitchRelayReply) error {
			each(reply)
			return nil
		})
	}
	conn, err := l.set.env.Pool.Get(ctx, l.set.env.World.Find(l.spec.Ranks[rank]))
	if err != nil {
		return err
	}
	return exchange(ctx, conn, r, targets, each)
}
