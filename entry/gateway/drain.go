package gateway

import (
	"context"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/inbound"
)

const (
	// lingerTime is how long a leaving gateway keeps accepting requests: a caller that has
	// just queried the directory keeps the gateway's address for the TTL of its entries.
	lingerTime = 2500 * time.Millisecond
	// killMargin is the time reserved before the platform kills the process.
	killMargin = 600 * time.Millisecond
	// closeTimeout bounds the closing of idle connections.
	closeTimeout = 100 * time.Millisecond
)

// Stop removes the gateway from the fleet. Callers are told at once to connect elsewhere.
// Requests that still arrive are served for lingerTime. After that no new request is
// accepted, as it might not end in time, and the process ends when no request is in flight.
// The end of the context cuts this short.
func (g *Gateway) Stop(ctx context.Context) error {
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, g.settings.Drain.Grace-killMargin)
	defer cancel()
	g.leaving.Store(true)
	g.node.Announce()
	g.log.Info().Int64("in_flight", g.inFlight.Load()).Msg("leaving")
	linger(ctx)
	err := g.front.Shutdown(ctx) // closes the listener and idle connections
	g.log.Info().AnErr("cut_short", err).Int64("in_flight", g.inFlight.Load()).Dur("after", clock.Since(began)).Msg("left")
	for _, l := range g.listeners.Listeners() {
		g.closeListener(l)
	}
	g.cancel()
	g.logWriter.Flush()
	return nil
}

func linger(ctx context.Context) {
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (g *Gateway) closeListener(l *inbound.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := l.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Str("listener", l.Name()).Msg("connections still in use at shutdown")
	}
}
