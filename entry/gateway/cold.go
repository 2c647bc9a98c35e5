package gateway

import (
	"context"
	"time"

	"baywall.example/core/ratelimit"
	"baywall.example/core/source"
	"baywall.example/entry/balance"
)

// A cold backend server crashes if the rate of requests from all gateways together exceeds
// a bound. The bound is enforced like a limit that the server names, but under a key of its
// own, so that an answer that names no limit does not lift it. Each gateway learns of it
// from the server's entry.

// updateCold imposes the bound on the listed servers that are cold, once for each version
// of an entry.
func (l *limits) updateCold(list []balance.Info, now time.Time) {
	seen := make(map[string]source.Position, len(list))
	for _, info := range list {
		if info.Cold <= 0 {
			continue
		}
		seen[info.ID] = info.At
		if l.coldSeen[info.ID] != info.At {
			l.imposeCold(info, info.Cold, now)
		}
	}
	l.coldSeen = seen
}

// markReturnedCold treats servers that received nothing while their availability zone was
// evacuated as cold: they may have been restarted, and their entries may not say so yet.
func (l *limits) markReturnedCold(returned []balance.Info, now time.Time) {
	for _, info := range returned {
		if service := l.g.service(info.Service); service != nil {
			l.imposeCold(info, service.ColdLimit.Window, now)
		}
	}
}

// imposeCold limits the rate of requests to a cold server for the given time from now.
func (l *limits) imposeCold(info balance.Info, lasts time.Duration, now time.Time) {
	service := l.g.service(info.Service)
	if service == nil || service.ColdLimit.PerSecond <= 0 || lasts <= 0 {
		return
	}
	l.table.Impose(info.ColdKey(), ratelimit.RateWithin(service.ColdLimit.PerSecond), now.Add(lasts), now)
}

// takePermits acquires the permits that a request to the server needs, just before it is
// sent.
func (l *limits) takePermits(ctx context.Context, server *balance.Server) error {
	for _, key := range server.Limits() {
		if err := l.Take(ctx, key); err != nil {
			return err
		}
	}
	return nil
}
