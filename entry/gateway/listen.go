package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/contract"
	"baywall.example/core/inbound"
	"baywall.example/core/link"
)

// clientLogBurst is how many refusals of requests that were not read to their end are logged in a
// second, each with a line. The listeners' lines tell the numbers of all.
const clientLogBurst = 10

// headerAllowance is how much longer than the configured time a head may take: bytes that a client
// sent in time may be sent again, and arrive later.
const headerAllowance = time.Second

// listenHTTP opens the listeners for HTTP.
func (g *Gateway) listenHTTP() error {
	l := g.settings.Listen
	front, err := g.serve(inbound.Options{Name: "front", Address: l.Front, Limits: g.clientLimits}, http.HandlerFunc(g.serveRequest), g.refuseHead)
	if err != nil {
		return err
	}
	g.front = front
	for _, s := range []struct {
		options inbound.Options
		handler http.Handler
	}{
		{inbound.Options{Name: "ready", Address: l.Ready, Kind: inbound.KindAuxiliary}, g.adapter.Ready(g)},
		{inbound.Options{Name: "directory", Address: l.Directory, Kind: inbound.KindAuxiliary, Connections: g.settings.Entries.Connections}, g.adapter.Directory(g)},
		{inbound.Options{Name: "metrics", Address: l.Metrics, Kind: inbound.KindAuxiliary}, g.inst},
	} {
		if s.options.Address == "" {
			continue
		}
		if _, err := g.serve(s.options, s.handler, nil); err != nil {
			return err
		}
	}
	return nil
}

// serve serves HTTP on a new listener until it is closed.
func (g *Gateway) serve(o inbound.Options, handler http.Handler, refuse inbound.Refuser) (*inbound.Listener, error) {
	l, err := g.listeners.Listen(o)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "%v", err)
	}
	g.run.Go(func() {
		if err := l.Serve(handler, refuse); err != nil {
			g.log.Error().Err(err).Str("address", o.Address).Msg("listener failed")
		}
	})
	return l, nil
}

// listenPeers accepts links from other gateways.
func (g *Gateway) listenPeers(ctx context.Context) error {
	ln, err := g.listeners.Listen(inbound.Options{Name: "peers", Address: g.settings.Listen.Peers, Kind: inbound.KindLinks})
	if err != nil {
		return eris.Wrapf(ErrStart, "%v", err)
	}
	context.AfterFunc(ctx, func() {
		_ = ln.Close() // no further links are accepted
		g.peering.pool.Close()
	})
	g.run.Go(func() {
		if err := link.Accept(ln, g.peering.local, g.node.Authorize, g.peering); err != nil && ctx.Err() == nil {
			g.log.Error().Err(err).Msg("link listener failed")
		}
	})
	return nil
}

// clientLimits returns the limits for callers: those of the configuration in force, and of the
// settings where it has none.
func (g *Gateway) clientLimits() inbound.Limits {
	limits := g.settings.Clients.Limits()
	snapshot := g.catalog.Current()
	if snapshot == nil {
		return limits
	}
	if n := snapshot.Limits.HeaderBytes; n > 0 {
		limits.HeaderBytes = n
	}
	if d := snapshot.Limits.HeaderTimeout; d > 0 {
		limits.HeaderTimeout = d + headerAllowance
	}
	if d := snapshot.Limits.IdleTimeout; d > 0 {
		limits.IdleTimeout = d
	}
	return limits
}

// refuseHead refuses a request whose head exceeds a limit.
func (g *Gateway) refuseHead(w http.ResponseWriter, r *http.Request, refusal *inbound.Refusal) {
	q := g.newRequest(w, r)
	q.log = g.clientLog
	reason := contract.ReasonBadRequest
	if refusal.Reason == inbound.ReasonHeadRoom {
		reason = contract.ReasonMemory
	}
	q.refuse(refusal.Status, contract.Refusal{Outcome: contract.NotRun, Reason: reason})
}

// newRequest returns the state of a request that was received.
func (g *Gateway) newRequest(w http.ResponseWriter, r *http.Request) *request {
	return &request{g: g, w: w, r: r, ctx: r.Context(), began: clock.Now(), id: r.Header.Get(g.headers.RequestID), log: g.log}
}
