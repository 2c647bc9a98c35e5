package gateway

import (
	"context"
	"time"

	"baywall.example/core/ratelimit"
	"baywall.example/core/source"
	"baywall.example/entry/balance"
)

// A cold backend server bears a rate of requests from all gateways together, beyond which it
// crashes. That is a limit as one that it names, under a key of its own, so that an answer
// that names none does not end it. Each gateway knows it from the server's entry.

// takeCold notes which listed servers are cold, each entry once.
func (l *limits) takeCold(list []balance.Info, now time.Time) {
	read := make(map[string]source.Position, len(list))
	for _, info := range list {
		if info.Cold <= 0 {
			continue
		}
		read[info.ID] = info.At
		if l.coldRead[info.ID] != info.At {
			l.cold(info, info.Cold, now)
		}
	}
	l.coldRead = read
}

// warmUp treats servers as cold that got nothing while their availability zone was evacuated:
// they may have been restarted, and their entries need not have told it yet.
func (l *limits) warmUp(back []balance.Info, now time.Time) {
	for _, info := range back {
		if service := l.g.service(info.Service); service != nil {
			l.cold(info, service.Cold.Lasts, now)
		}
	}
}

// cold notes that a server is cold for some time from now.
func (l *limits) cold(info balance.Info, lasts time.Duration, now time.Time) {
	service := l.g.service(info.Service)
	if service == nil || service.Cold.PerSecond <= 0 || lasts <= 0 {
		return
	}
	l.table.Impose(info.ColdKey(), ratelimit.RateWithin(service.Cold.PerSecond), now.Add(lasts), now)
}

// takePermits takes the permits that a request to the server needs, just before it is sent.
func (l *limits) takePermits(ctx context.Context, server *balance.Server) error {
	for _, key := range server.Limits() {
		if err := l.Take(ctx, key); err != nil {
			return err
		}
	}
	return nil
}
