package rankserver

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/source"
	"baywall.example/core/wait"
)

// followList reads the list of backend servers periodically to keep the addresses of other
// agents up to date.
func (r *Server) followList(ctx context.Context) {
	if r.awaitGroup(ctx) {
		wait.Sleep(ctx, listInterval) // a list read now may be older than the entries of some ranks
	}
	known := 0
	for ctx.Err() == nil {
		seeds, err := r.readList(ctx)
		if err != nil {
			r.log.Warn().Err(err).Int("known", known).Msg("failed to read the list of backend servers")
		} else if len(seeds) > 0 {
			known = len(seeds)
			r.agentAddresses.Store(&seeds)
			r.updateSeeds()
		}
		period := listInterval
		switch {
		case known == 0:
			period = startInterval
		case r.isStandby():
			period = standbyInterval
		case len(r.directory.Groups()) > 0:
			period = completeInterval
		}
		if !wait.Sleep(ctx, period) {
			return
		}
	}
}

// awaitGroup waits until the rank's group is formed, at most for startWaitLimit, and reports
// whether the group is a new one. Before then no agent opens a link to this rank, and the list
// does not contain all backend servers of the group, so every rank of a fleet that starts at once
// would read it repeatedly. A successor does not wait, because it has to find the other ranks.
func (r *Server) awaitGroup(ctx context.Context) (formed bool) {
	began := clock.Now()
	for !r.isSuccessor() && r.directory.getLabel() == nil && clock.Since(began) < startWaitLimit {
		if !wait.Sleep(ctx, formingInterval) {
			return false
		}
	}
	return !r.isSuccessor() && clock.Since(began) >= labelDeadline
}

// updateSeeds passes the addresses of other agents to the node. A successor contacts them; the
// other ranks only accept links from them, since the successors find them.
func (r *Server) updateSeeds() {
	addresses := r.agentAddresses.Load()
	switch {
	case addresses == nil:
	case r.isSuccessor():
		r.node.SetSeeds(*addresses)
	default:
		r.node.Expect(*addresses)
	}
}

func (r *Server) readList(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := r.store.List(ctx, r.adapter.BackendsPrefix(), source.Stale)
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(r.settings.Listen.Peers) // validated
	var out []string
	for _, item := range items {
		service, address, err := r.adapter.DecodeAddress(item.Key, item.Value)
		if err != nil {
			r.log.Error().Err(err).Str("key", item.Key).Msg("backend server refused")
			continue
		}
		host, _, err := net.SplitHostPort(address)
		if err == nil && service == r.settings.Service {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out, nil
}

// readEngine reads the description of the service's engines from the store until it succeeds.
func (r *Server) readEngine(ctx context.Context) {
	for began := clock.Now(); !r.isSuccessor() && (clock.Since(began) < startWaitLimit || r.isStandby()); {
		if !wait.Sleep(ctx, formingInterval) {
			return
		}
	}
	for ctx.Err() == nil {
		e, err := r.fetchEngine(ctx)
		if err == nil {
			r.directory.setEngine(e)
			r.log.Info().Int("layers", e.Layers).Int("experts", e.Experts).Int("slots", e.SlotsPerRank).Msg("engine configuration read")
			return
		}
		r.log.Warn().Err(err).Msg("failed to read the engine configuration")
		if !wait.Sleep(ctx, startInterval) {
			return
		}
	}
}

func (r *Server) fetchEngine(ctx context.Context) (Engine, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := r.store.List(ctx, r.adapter.CatalogKey(), source.Stale)
	if err != nil {
		return Engine{}, err
	}
	for _, item := range items {
		if item.Key == r.adapter.CatalogKey() {
			return r.adapter.DecodeEngine(item.Value, r.settings.Service)
		}
	}
	return Engine{}, eris.Wrapf(source.ErrUnavailable, "no configuration is published")
}
