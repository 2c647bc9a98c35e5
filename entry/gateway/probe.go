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
	// probeInterval is the interval at which servers due for a probe are looked for.
	probeInterval = 40 * time.Millisecond
	// probeTimeout bounds one probe; a server normally answers in a few milliseconds.
	probeTimeout = 300 * time.Millisecond
	// maxProbeBody is the largest part of the answer to a probe that is read, in bytes.
	maxProbeBody = 64 << 10
)

// runProbes probes servers that are on probation until the context ends.
func (g *Gateway) runProbes(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := clock.Now()
			if !g.activity.isActive() {
				continue // a standby gateway gets few requests, and each probe is work for its server
			}
			for _, server := range g.registry.DueProbes(now) {
				g.run.Go(func() { g.probeOne(ctx, server) })
			}
		}
	}
}

// probeOne probes one server. A server that is at a limit or in backoff, or must get
// nothing any more, is not probed now.
func (g *Gateway) probeOne(ctx context.Context, server *balance.Server) {
	good, err := g.probeServer(ctx, server)
	if errors.Is(err, ratelimit.ErrClosed) || errors.Is(err, errOutdated) || errors.Is(err, balance.ErrInBackoff) {
		g.registry.NotProbed(server)
		return
	}
	g.registry.Probed(server, good)
}

// probeServer sends one probe and reports whether the server accepts requests. The error
// says why there is no usable answer.
func (g *Gateway) probeServer(ctx context.Context, server *balance.Server) (bool, error) {
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
		Check: func() error { return g.admitSend(ctx, server, g.maySend) },
	})
	if err != nil {
		return false, err
	}
	defer answer.Close()
	g.receiveNotice(server, answer, sent, viaProbe)
	if answer.Status == http.StatusMisdirectedRequest {
		g.registry.Replaced(server)
		return false, nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxProbeBody))
	return err == nil && g.adapter.TakesRequests(service, answer.Status, body), err
}

// maySend returns an error if nothing may be sent to the server: errOutdated if it must get
// nothing any more, balance.ErrInBackoff if it is in backoff.
func (g *Gateway) maySend(server *balance.Server) error {
	err := g.registry.Admits(server, clock.Now())
	if errors.Is(err, balance.ErrLeaving) {
		return errOutdated
	}
	return err
}

// service returns a published service, or nil if there is none of that name.
func (g *Gateway) service(name string) *catalog.Service {
	snapshot := g.catalog.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Service(name)
}
