package ratelimit

import "time"

// RateWithin returns the limit at which one grantor lets through at most the given number
// of requests in any second, including bursts and permits that are used late.
func RateWithin(maxRequests float64) float64 {
	used := time.Second + permitTimeout
	inBursts := maxRequests / (used + burstTime).Seconds()
	if inBursts*burstTime.Seconds() >= minBurst {
		return inBursts
	}
	return max(minRate, (maxRequests-minBurst)/used.Seconds())
}

// Impose sets a limit that a server does not report itself. All processes impose it on
// their own, so it is not sent to others. It holds until the given time, or until a later
// time if it is imposed again.
func (t *Table) Impose(server Key, limit float64, until, now time.Time) {
	t.apply(Observation{Server: server, Limit: limit, Limited: true, At: now, until: until}, sourceImposed, now)
}

// Lift ends the imposed limits that have expired and returns their servers.
func (t *Table) Lift(now time.Time) []Key {
	if t.limited.Load() == 0 {
		return nil
	}
	var expired []Key
	t.mu.Lock()
	for server, k := range t.known {
		if k.Source == sourceImposed && k.Limited && !now.Before(k.until) {
			expired = append(expired, server)
		}
	}
	t.mu.Unlock()
	for _, server := range expired {
		t.apply(Observation{Server: server, At: now}, sourceImposed, now)
	}
	return expired
}
