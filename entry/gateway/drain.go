package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	// lingerTime is how long a leaving gateway goes on taking requests: callers
	// that just asked keep its address for the entries' TTL.
	lingerTime = 2500 * time.Millisecond
	// killMargin is left before the platform kills the process.
	killMargin = 600 * time.Millisecond
	// drainPoll is how often a draining gateway looks whether it is idle.
	drainPoll = 50 * time.Millisecond
	// closeTimeout bounds the closing of idle connections.
	closeTimeout = 100 * time.Millisecond
)

// Stop leaves the fleet: callers are told at once that they should connect
// elsewhere, requests are served until none is in flight, and then the process
// ends. The context's end cuts that short.
func (g *Gateway) Stop(ctx context.Context) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, g.settings.Drain.Grace-killMargin)
	defer cancel()
	g.leaving.Store(true)
	g.node.Announce()
	g.log.Info().Int64("in_flight", g.inFlight.Load()).Msg("leaving")
	idle := g.waitIdle(ctx, began)
	for _, s := range g.servers {
		g.closeServer(s)
	}
	g.cancel()
	g.log.Info().Bool("idle", idle).Int64("in_flight", g.inFlight.Load()).Dur("after", time.Since(began)).Msg("left")
	g.lines.Flush()
	return nil
}

// waitIdle waits until the linger time is over and no request is in flight.
func (g *Gateway) waitIdle(ctx context.Context, began time.Time) bool {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if time.Since(began) >= lingerTime && g.inFlight.Load() == 0 {
				return true
			}
		}
	}
}

func (g *Gateway) closeServer(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Msg("connections were still in use")
	}
}
