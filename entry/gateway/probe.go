package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/ratelimit"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/upstream"
)

const (
	// probeTick is how often servers to be probed are looked for.
	probeTick = 40 * time.Millisecond
	// probeTimeout bounds one probe: a server answers in a few milliseconds.
	probeTimeout = 300 * time.Millisecond
	// maxProbeBody bounds the answer to a probe, in bytes.
	maxProbeBody = 64 << 10
)

// probe asks the servers of services that are on probation until the context
// ends.
func (g *Gateway) probe(ctx context.Context) {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := clock.Now()
			if !g.activity.is() {
				continue // it gets few requests, and each probe costs its server
			}
			for _, server := range g.registry.DueProbes(now) {
				g.run.Go(func() { g.probeOne(ctx, server) })
			}
		}
	}
}

// probeOne asks one server. One that is at a limit, or is to get nothing any more, is not
// asked now.
func (g *Gateway) probeOne(ctx context.Context, server *balance.Server) {
	good, err := g.takesRequests(ctx, server)
	if errors.Is(err, ratelimit.ErrClosed) || errors.Is(err, errOutdated) || errors.Is(err, balance.ErrResting) {
		g.registry.NotProbed(server)
		return
	}
	g.registry.Probed(server, good)
}

// takesRequests asks one server. The error is of what could not be asked.
func (g *Gateway) takesRequests(ctx context.Context, server *balance.Server) (bool, error) {
	service := g.service(server.Service)
	if service == nil {
		return false, nil
	}
	target := g.adapter.ProbeTarget(service)
	if target == "" {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := clock.Now()
	answer, err := server.Pool.Do(ctx, &upstream.Request{
		Method: http.MethodGet, Target: target, Host: server.Address,
		Header: http.Header{g.headers.ExpectServer: {server.ID}}, IDHeader: g.headers.RequestID,
		Check: func() error { return g.pass(ctx, server, g.maySend) },
	})
	if err != nil {
		return false, err
	}
	defer answer.Close()
	g.hear(server, answer, sent, askedProbe)
	if answer.Status == http.StatusMisdirectedRequest {
		g.registry.Replaced(server)
		return false, nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxProbeBody))
	return err == nil && g.adapter.TakesRequests(service, answer.Status, body), err
}

// maySend reports with an error that nothing is to be sent to the server: errOutdated if it takes
// nothing any more, balance.ErrResting.
func (g *Gateway) maySend(server *balance.Server) error {
	err := g.registry.Admits(server, clock.Now())
	if errors.Is(err, balance.ErrLeaving) {
		return errOutdated
	}
	return err
}

// service returns a published service, or nil.
func (g *Gateway) service(name string) *catalog.Service {
	snapshot := g.catalog.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Service(name)
}
