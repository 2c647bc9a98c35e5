package cost

import (
	"math/bits"
	"strconv"
	"strings"
	"time"
)

const (
	// maxTokens is the largest count that is taken as true. It is above the context length
	// of any model in use.
	maxTokens = 1 << 24
	// priorRequests is the weight of the route's mean in an estimate, in requests.
	priorRequests = 8
	// maxFactor bounds an estimate in multiples, and in fractions, of the route's mean.
	maxFactor = 8
	// newestWeight is the least weight of the newest request in a mean.
	newestWeight = 0.05
	// maxRoutes bounds the routes that are known. Routes that were removed from the
	// configuration stay.
	maxRoutes = 4096
	// unknownCost is the estimate if nothing at all is known.
	unknownCost = 100 * time.Millisecond
)

// Tokens are the token counts that a caller declared. The zero value means that it declared
// none.
type Tokens struct {
	Prompt int
	Output int // at most
}

// ParseTokens parses counts of the form "prompt,output". It returns the zero value if they
// are missing or cannot be true.
func ParseTokens(value string) Tokens {
	first, second, ok := strings.Cut(value, ",")
	if !ok {
		return Tokens{}
	}
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil {
		return Tokens{}
	}
	output, err := strconv.Atoi(strings.TrimSpace(second))
	if err != nil {
		return Tokens{}
	}
	t := Tokens{Prompt: prompt, Output: output}
	if !t.plausible() {
		return Tokens{}
	}
	return t
}

func (t Tokens) plausible() bool {
	return t.Prompt >= 0 && t.Prompt <= maxTokens && t.Output >= 0 && t.Output <= maxTokens && t != Tokens{}
}

// magnitude is the class of requests with token counts of the same number of binary digits.
type magnitude struct{ prompt, output int }

func (t Tokens) magnitude() magnitude {
	return magnitude{prompt: bits.Len(uint(t.Prompt)), output: bits.Len(uint(t.Output))}
}

// mean is an exponentially smoothed mean. The first 20 requests have equal weight.
type mean struct {
	requests int
	seconds  float64
}

func (m *mean) add(seconds float64) {
	m.requests++
	m.seconds += max(newestWeight, 1/float64(m.requests)) * (seconds - m.seconds)
}

// route is what is known of one route.
type route struct {
	all    mean
	counts map[magnitude]*mean
}

// Estimator estimates costs from what earlier requests took. It is not safe for concurrent
// use.
type Estimator struct{ routes map[string]*route }

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator { return &Estimator{routes: make(map[string]*route)} }

// Record records that a request occupied a slot for a time.
func (e *Estimator) Record(name string, t Tokens, took time.Duration) {
	if took < 0 {
		return
	}
	r := e.routes[name]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			return
		}
		r = &route{counts: make(map[magnitude]*mean)}
		e.routes[name] = r
	}
	r.all.add(took.Seconds())
	if !t.plausible() {
		return
	}
	m := r.counts[t.magnitude()]
	if m == nil {
		m = &mean{}
		r.counts[t.magnitude()] = m
	}
	m.add(took.Seconds())
}

// Estimate returns the expected time for which a request occupies a slot. The assumed time
// applies until a request of the route has been recorded, 0 = none.
func (e *Estimator) Estimate(name string, t Tokens, assumed time.Duration) time.Duration {
	r := e.routes[name]
	switch {
	case r == nil && assumed > 0:
		return assumed
	case r == nil:
		return unknownCost
	}
	seconds := r.all.seconds
	if m := r.counts[t.magnitude()]; m != nil && t.plausible() {
		n := float64(m.requests)
		seconds = (n*m.seconds + priorRequests*seconds) / (n + priorRequests)
	}
	seconds = min(max(seconds, r.all.seconds/maxFactor), r.all.seconds*maxFactor)
	return time.Duration(seconds * float64(time.Second))
}
