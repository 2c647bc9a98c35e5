package admission

import "time"

const (
	// defaultOutage is the expected length of an outage until one has been observed:
	// processes and groups of ranks recover in about two seconds after a crash or a loss
	// of power.
	defaultOutage = 2300 * time.Millisecond
	// minOutage and maxOutage bound the observed lengths that are taken into account.
	minOutage, maxOutage = 500 * time.Millisecond, 4 * time.Second
	// outageWeight is the weight of the latest outage in the smoothed length.
	outageWeight = 0.5
	// overdueFraction is the expected remaining time of an outage that lasts longer than
	// usual, as a fraction of the time that it has lasted: the longer an outage has
	// lasted, the longer it is likely to go on.
	overdueFraction = 0.25
	// minRemaining is the least expected remaining time of an outage that has not ended.
	minRemaining = 100 * time.Millisecond
	// outageExpiry is the time without an observation after which an outage counts as
	// ended.
	outageExpiry = 3 * time.Second
)

// Outage tracks the outages of a service, during which it serves no request. It is not
// safe for concurrent use.
type Outage struct {
	since time.Time // start of the outage, zero = there is none
	seen  time.Time // latest observation of the outage
	usual time.Duration
}

// Observe records that the service serves no request, and reports whether an outage has
// begun.
func (o *Outage) Observe(now time.Time) bool {
	begins := o.since.IsZero() || now.Sub(o.seen) > outageExpiry
	if begins {
		o.since = now
	}
	o.seen = now
	return begins
}

// Served records an answer and updates the usual length of an outage if one has ended by
// it. It returns the length of that outage, 0 = there was none.
func (o *Outage) Served(now time.Time) time.Duration {
	if o.since.IsZero() {
		return 0
	}
	length := now.Sub(o.since)
	lasted := min(maxOutage, max(minOutage, length))
	if o.usual == 0 {
		o.usual = defaultOutage
	}
	o.usual += time.Duration(outageWeight * float64(lasted-o.usual))
	o.since = time.Time{}
	return length
}

// RecoversIn returns the expected time until the service serves again, 0 = there is no
// outage.
func (o *Outage) RecoversIn(now time.Time) time.Duration {
	if o.since.IsZero() {
		return 0
	}
	usual := o.usual
	if usual == 0 {
		usual = defaultOutage
	}
	lasted := now.Sub(o.since)
	if lasted < usual {
		return max(minRemaining, usual-lasted)
	}
	return max(minRemaining, time.Duration(overdueFraction*float64(lasted)))
}
