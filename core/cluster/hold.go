package cluster

import "baywall.example/core/wire"

// While a group of ranks switches to another expert map, one of its ranks holds a step.
// The agent that ordered the hold may be frozen, and its own rank, if it has one, is then
// unreachable for all others. So agents ask members that have no rank to pass the order
// on.

// Hold is a request to order a rank to hold a step of its group.
type Hold struct {
	Engine string // address of the backend server, IP:port
	Epoch  uint64 // epoch of the group
	Step   uint64
}

// RequestHold asks members to pass the order on. The request is sent once and has no reply:
// the step that the rank holds is read from the rank.
func (n *Node) RequestHold(members []string, h Hold) {
	hb := &wire.Heartbeat{Hold: &wire.RankHold{Engine: h.Engine, Epoch: h.Epoch, Step: h.Step}}
	out := make([]Datagram, 0, len(members))
	for _, address := range members {
		out = append(out, Datagram{address, hb})
	}
	n.send(out)
}

// OnHold sets the function that is called with each such request. The function must not
// block. OnHold must be called before Run.
func (n *Node) OnHold(f func(Hold)) { n.onHold = f }

func (n *Node) receiveHold(w *wire.RankHold) {
	if w != nil && n.onHold != nil {
		n.onHold(Hold{Engine: w.GetEngine(), Epoch: w.GetEpoch(), Step: w.GetStep()})
	}
}
