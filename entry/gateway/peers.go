package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/cluster"
	"baywall.example/core/link"
	"baywall.example/core/source"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/core/zone"
)

// A gateway that does not reach the store, or that the store turns away, takes
// configuration and backend servers from another gateway that knows of a newer
// change. Heartbeats tell who does.

const (
	// nudgeAfter and pullAfter are how often in a row, at intervals of
	// expireInterval, a gateway finds that others know of a newer change before
	// it asks the store again, and before it asks one of them.
	nudgeAfter = 2
	pullAfter  = 3
	// pullTimeout bounds the exchange with another gateway.
	pullTimeout = 2 * time.Second
	// linkIdle is how long an unused link to another gateway is kept.
	linkIdle = 10 * time.Second
)

// peering exchanges states of the store with other gateways.
type peering struct {
	gateway *Gateway
	local   *link.Local
	pool    *link.Pool
	pulling chan struct{} // holds one token while a pull is under way
	behind  int           // looks in a row that found a newer change
}

func newPeering(g *Gateway) *peering {
	host, _, _ := net.SplitHostPort(g.settings.Listen.Peers) // validated
	p := &peering{gateway: g, pulling: make(chan struct{}, 1)}
	p.local = &link.Local{
		VM: vm.ID(g.settings.VM), Incarnation: g.incarnation, Role: vm.RoleEntry, Zone: zone.ID(g.settings.Zone), BindIP: host,
		Clock: &timeline.Clock{}, Log: g.log, Revisions: func() (config, vms uint64) { return g.catalog.Version(), g.changed.Load() },
	}
	p.pool = link.NewPool(p.local, nil, nil, nil)
	return p
}

// look compares what others know with what this gateway knows.
func (p *peering) look(ctx context.Context) {
	newest, peer := p.newest()
	if newest <= p.gateway.changed.Load() {
		p.behind = 0
		return
	}
	p.behind++
	if p.behind == nudgeAfter {
		p.gateway.follower.Nudge(newest)
	}
	if p.behind < pullAfter && p.gateway.listed.Load() {
		return
	}
	select {
	case p.pulling <- struct{}{}:
		p.gateway.run.Go(func() {
			defer func() { <-p.pulling }()
			p.pull(ctx, peer, newest)
		})
	default: // one at a time
	}
}

// newest returns the newest change that another gateway knows of, and which.
func (p *peering) newest() (uint64, cluster.Peer) {
	var newest cluster.Peer
	for _, peer := range p.gateway.node.Live() {
		if peer.BackendsRevision > newest.BackendsRevision {
			newest = peer
		}
	}
	return newest.BackendsRevision, newest
}

// pull takes the state that another gateway knows.
func (p *peering) pull(ctx context.Context, from cluster.Peer, newest uint64) {
	state, err := p.fetch(ctx, from)
	log := p.gateway.log.Info()
	if err != nil {
		log = p.gateway.log.Warn().Err(err)
	}
	log.Str("peer", string(from.VM)).Uint64("newest", newest).Uint64("known", p.gateway.changed.Load()).
		Uint64("revision", state.Revision).Msg("state asked from another gateway")
	if err == nil && state.Changed > 0 {
		p.gateway.follower.Offer(state)
	}
}

func (p *peering) fetch(ctx context.Context, from cluster.Peer) (source.State, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	conn, err := p.pool.Get(ctx, vm.VM{ID: from.VM, Link: from.Address, Role: vm.RoleEntry})
	if err != nil {
		return source.State{}, err
	}
	reply, err := conn.Call(ctx, &wire.Call{Body: &wire.Call_Source{Source: &wire.SourcePull{}}})
	if err != nil {
		p.pool.Retain(func(id vm.ID) bool { return id != from.VM }) // the link may have gone silent
		return source.State{}, err
	}
	return stateFromWire(reply.GetSource()), nil
}

// ServeStream answers another gateway.
func (p *peering) ServeStream(_ context.Context, from *link.Link, s *link.Stream, call *wire.Call) {
	if call.GetSource() == nil {
		p.gateway.log.Warn().Str("peer", string(from.Remote)).Msg("unexpected call")
		return
	}
	reply := &wire.SourceReply{}
	if u := p.gateway.known.Load(); u != nil {
		reply = stateToWire(*u)
	}
	if err := s.SendReply(&wire.Reply{Body: &wire.Reply_Source{Source: reply}}); err != nil {
		p.gateway.log.Info().Err(err).Str("peer", string(from.Remote)).Msg("state not sent")
	}
}

// authorize accepts links from gateways that are heard, from their own address.
func (p *peering) authorize(h *wire.Hello, remote net.Addr) error {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return eris.Wrapf(link.ErrUnauthorized, "%v", err)
	}
	known := slices.ContainsFunc(p.gateway.node.Live(), func(peer cluster.Peer) bool {
		at, _, _ := net.SplitHostPort(peer.Address)
		return string(peer.VM) == h.GetVm() && at == host
	})
	if !known {
		return eris.Wrapf(link.ErrUnauthorized, "%s at %s is not heard", h.GetVm(), host)
	}
	return nil
}

func stateToWire(u source.Update) *wire.SourceReply {
	out := &wire.SourceReply{Revision: u.Revision, Changed: u.Changed}
	for _, item := range u.Items {
		out.Items = append(out.Items, &wire.SourceItem{Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
	return out
}

func stateFromWire(w *wire.SourceReply) source.State {
	out := source.State{Items: make(map[string]source.Item, len(w.GetItems())), Revision: w.GetRevision(), Changed: w.GetChanged()}
	for _, item := range w.GetItems() {
		out.Items[item.GetKey()] = source.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision()}
	}
	return out
}
