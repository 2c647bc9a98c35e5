package group

import (
	"sync"

	"github.com/rs/zerolog"

	"baywall.example/agent/mapswitch"
	"baywall.example/core/expertmap"
	"baywall.example/core/wire"
)

// acceptedOrder identifies an order among those that a rank has accepted.
type acceptedOrder struct {
	group, coordinator string
	phase              mapswitch.Phase
	fence, epoch       uint64
	version, step      uint64
}

// orderLog stores the order that was logged last, so that a resent one is not logged again. It is
// safe for concurrent use.
type orderLog struct {
	mu   sync.Mutex
	last acceptedOrder
}

// add stores the order and reports whether it differs from the one before.
func (l *orderLog) add(o acceptedOrder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	repeated := l.last == o
	l.last = o
	return !repeated
}

// logOrder logs an order that this rank has accepted or refused. Accepted reads are not logged:
// they change nothing.
func (s *Set) logOrder(w *wire.SwitchOrder, o mapswitch.Order, r mapswitch.Reply) {
	if r.OK && (o.Phase == mapswitch.PhaseRead || !s.orders.add(acceptedOrder{
		group: w.GetGroup(), coordinator: w.GetCoordinator(), phase: o.Phase,
		fence: o.Fence, epoch: o.Epoch, version: o.Version, step: o.Step,
	})) {
		return
	}
	event := s.env.Log.Info().Str("group", w.GetGroup()).Str("coordinator", w.GetCoordinator()).Str("phase", o.Phase.String()).
		Uint64("version", o.Version).Uint64("epoch", o.Epoch).Uint64("fence", o.Fence)
	if o.Phase == mapswitch.PhasePrepare {
		s.addMapFields(event, w, o.Map)
	} else {
		event.Uint64("step", o.Step)
	}
	if !r.OK {
		event.Bool("superseded", r.Superseded).Str("reason", r.Reason).Msg("switch order refused")
		return
	}
	event.Uint64("rank_step", r.State.Step).Uint64("rank_epoch", r.State.Epoch).Msg("switch order accepted")
}

// addMapFields adds to an event how the map of an order was sent, and the digests of the map and
// of this rank's part of it. A map that could not be decoded has no digest.
func (s *Set) addMapFields(event *zerolog.Event, w *wire.SwitchOrder, m expertmap.Map) {
	event.Bool("whole", w.GetChanges() == nil)
	if w.GetChanges() != nil {
		event.Uint64("base", w.GetChanges().GetBase())
	}
	if len(m.Layers) == 0 {
		return
	}
	slots := int(w.GetShape().GetSlots())
	event.Str("digest", expertmap.FormatDigest(m.Digest(slots)))
	if g := s.env.Directory.Groups()[w.GetGroup()]; g != nil && s.rankIn(g) >= 0 {
		rank := s.rankIn(g)
		event.Int("rank", rank).Str("rank_digest", expertmap.FormatDigest(m.RankDigest(rank, slots)))
	}
}
