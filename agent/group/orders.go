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

// relayBackoff is how long a rank that failed to forward orders is not used as a relay.
const relayBackoff = 2 * time.Second

// relayFailures records the ranks that failed to forward orders. It is safe for
// concurrent use.
type relayFailures struct {
	mu    sync.Mutex
	until map[int]time.Time
}

func (f *relayFailures) note(rank int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = make(map[int]time.Time)
	}
	f.until[rank] = now.Add(relayBackoff)
}

func (f *relayFailures) usable(rank int, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !now.Before(f.until[rank])
}

// relayOf returns the rank that forwards orders to a chunk: the first one that has not
// failed to recently.
func (l *leadership) relayOf(chunk []int, now time.Time) int {
	for _, rank := range chunk {
		if l.failedRelays.usable(rank, now) {
			return rank
		}
	}
	return chunk[0]
}

// recordRelayFailure records that a rank failed to forward orders.
func (l *leadership) recordRelayFailure(rank int, now time.Time) {
	l.failedRelays.note(rank, now)
	l.set.env.Log.Info().Str("group", l.name).Int("rank", rank).Msg("rank does not pass orders on")
}

// target returns what a relay needs to reach a rank. The relay's own entry has no
// address.
func (l *leadership) target(rank, relay int, incarnation uint64) *wire.RelayTarget {
	t := &wire.RelayTarget{Rank: uint32(rank), Incarnation: incarnation}
	if rank != relay {
		v := l.set.env.Directory.Find(l.spec.Ranks[rank])
		t.Vm, t.Address = string(v.ID), v.Link
	}
	return t
}

// batch is one order to several ranks that are reached through the same relay and have
// the same base map.
type batch struct {
	relay  int
	base   uint64 // version of the base map, 0 = not known
	orders []mapswitch.Outgoing
}

// batches groups orders by relay and base map. A resent order goes directly to its rank.
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

// send sends orders to ranks in batches, each in a goroutine of its own.
func (l *leadership) send(ctx context.Context, orders []mapswitch.Outgoing) {
	for _, b := range l.batches(orders, clock.Now()) {
		l.set.calls.Go(func() {
			if l.requestHold(b.orders[0]) && !wait.Sleep(ctx, externalHoldWait) {
				return
			}
			l.sendBatch(ctx, b)
		})
	}
}

// externalHoldWait is how long other VMs get to order a hold that was requested from
// them. After that the rank's own agent is ordered to, and does so unless the rank holds
// the step already. The wait covers a datagram and an order, each of a few milliseconds.
const externalHoldWait = 15 * time.Millisecond

// requestHold requests other VMs, if there are any, to send an order to hold a step, and
// reports whether it did. A VM that freezes does most harm just after it sent that order:
// if the VM has a rank, the group is stopped until the VM resumes, in one case for 4 s.
func (l *leadership) requestHold(o mapswitch.Outgoing) bool {
	if o.Order.Phase != mapswitch.PhaseHold || o.Resent || l.set.env.RequestHold == nil {
		return false
	}
	l.set.env.RequestHold(l.set.env.Directory.Find(l.spec.Ranks[o.Rank]), o.Order.Epoch, o.Order.Step)
	return true
}

// sendBatch sends one batch and passes the answers on to the coordinator.
func (l *leadership) sendBatch(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	message := l.encode(b.orders[0])
	relay := &wire.SwitchRelay{Order: message}
	for _, o := range b.orders {
		relay.Targets = append(relay.Targets, l.target(o.Rank, b.relay, uint64(o.Order.Incarnation)))
	}
	err := l.exchange(ctx, b.relay, relay, len(b.orders), func(r *wire.SwitchRelayReply) {
		for _, one := range r.GetReplies() {
			l.deliverAnswer(ctx, b, one)
		}
	})
	if err != nil && ctx.Err() == nil && len(b.orders) > 1 {
		l.recordRelayFailure(b.relay, clock.Now()) // the orders are resent without this relay
	}
}

// deliverAnswer passes one rank's answer on to the coordinator.
func (l *leadership) deliverAnswer(ctx context.Context, b *batch, one *wire.RankReply) {
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

// encode turns an order into a message. The map is encoded as changes where the rank is
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

// noteBase records which map the rank has after its reply.
func (l *leadership) noteBase(o mapswitch.Outgoing, reply *wire.SwitchReply) {
	switch {
	case reply.GetBaseUnknown():
		l.maps.setBase(o.Rank, 0)
	case o.Order.Phase == mapswitch.PhaseRead && reply.GetOk():
		l.maps.setBase(o.Rank, reply.GetCached())
	case o.Order.Phase == mapswitch.PhasePrepare && reply.GetOk():
		l.maps.setBase(o.Rank, o.Order.Version)
	}
}

// exchange has a rank forward an order. It uses no link if the rank is this one.
func (l *leadership) exchange(ctx context.Context, rank int, r *wire.SwitchRelay, targets int, each func(*wire.SwitchRelayReply)) error {
	if rank == l.rank {
		return l.set.Relay(ctx, r, func(reply *wire.SwitchRelayReply) error {
			each(reply)
			return nil
		})
	}
	conn, err := l.set.env.Pool.Get(ctx, l.set.env.Directory.Find(l.spec.Ranks[rank]))
	if err != nil {
		return err
	}
	return exchange(ctx, conn, r, targets, each)
}
