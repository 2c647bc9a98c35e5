package gateway

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"baywall.example/core/wire"
	"baywall.example/entry/retry"
)

// errOverBudget means that a request is not sent, as it would be a retry and the retry
// budget has none left.
var errOverBudget = errors.New("gateway: retry budget used up")

// errNotReached means that no heartbeat was received from a grantor lately.
var errNotReached = eris.New("gateway: grantor of retries not reached")

// retryFleet connects the retry budgets to the fleet. The grantors of retries are the
// gateways at the addresses of the seeds. It implements retry.Fleet.
type retryFleet struct{ g *Gateway }

// Grantors implements retry.Fleet. A gateway without seeds is the only one, or the only seed
// of others.
func (f retryFleet) Grantors() []string {
	seeds := *f.g.seeds.Load()
	if len(seeds) == 0 {
		return []string{f.g.settings.Listen.Peers}
	}
	return seeds
}

// ReachableGrantors implements retry.Fleet. Those in the own availability zone come first.
func (f retryFleet) ReachableGrantors() []string {
	var own, others []string
	for _, p := range f.g.node.LiveAt(f.Grantors()) {
		if p.Zone == f.g.settings.Zone {
			own = append(own, p.Address)
		} else {
			others = append(others, p.Address)
		}
	}
	return append(own, others...)
}

// RequestRetry implements retry.Fleet.
func (f retryFleet) RequestRetry(ctx context.Context, grantor, service string) (retry.Grant, error) {
	peers := f.g.node.LiveAt([]string{grantor})
	if len(peers) == 0 {
		return retry.Grant{}, eris.Wrap(errNotReached, grantor)
	}
	reply, err := f.g.peering.call(ctx, peers[0], &wire.Call{Body: &wire.Call_Retry{Retry: &wire.RetryAsk{Service: service}}})
	if err != nil {
		return retry.Grant{}, err
	}
	return retry.GrantFromWire(reply.GetRetry()), nil
}

// retryBudget is the retry budget as one request uses it.
type retryBudget struct {
	*retry.Budget
	decided *retryDecision // the latest decision, nil = none yet
}

// retryDecision is a decision about a retry and the state that it is based on.
type retryDecision struct {
	state   retry.State
	allowed bool
	source  retry.Source // of the retry, empty until it is charged
}

// Has reports whether the budget has a retry left. It implements retry.Checker.
func (b *retryBudget) Has() bool {
	state := b.State()
	b.decided = &retryDecision{state: state, allowed: state.Left()}
	return b.decided.allowed
}

// charge consumes a retry, which must be sent at once.
func (b *retryBudget) charge(ctx context.Context) error {
	source := b.Take(ctx)
	b.decided = &retryDecision{state: b.State(), allowed: source != retry.SourceNone, source: source}
	if !b.decided.allowed {
		return errOverBudget
	}
	return nil
}

// chargeEarned consumes a retry that does not have to be requested, and reports whether there
// is one.
func (b *retryBudget) chargeEarned() bool {
	if !b.TakeEarned() {
		return false
	}
	b.decided = &retryDecision{state: b.State(), allowed: true, source: retry.SourceEarned}
	return true
}

// addLogFields adds the decision to a log event.
func (d *retryDecision) addLogFields(e *zerolog.Event) *zerolog.Event {
	return e.Bool("retry_allowed", d.allowed).Str("retry_from", string(d.source)).
		Int("window_requests", d.state.Requests).Int("window_retries", d.state.Retries).Float64("retries_earned", d.state.Earned).
		Int("retry_grantors", d.state.Grantors).Int("retry_grantors_open", d.state.Open).
		Int("retries_granted", d.state.Granted).Float64("retry_part", d.state.Part)
}

// chargeRetry charges the request to the retry budget if it has been sent before.
func (q *request) chargeRetry(ctx context.Context) (charged bool, err error) {
	if !q.sequence.ChargeDue() {
		return false, nil
	}
	if err := q.budget.charge(ctx); err != nil {
		return false, err
	}
	q.sequence.Charged()
	return true, nil
}

// grantRetry answers another gateway's request for a retry.
func (g *Gateway) grantRetry(req *wire.RetryAsk) *wire.RetryReply {
	return g.retries.Grant(req.GetService()).ToWire()
}
