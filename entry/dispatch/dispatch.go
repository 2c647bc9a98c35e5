// Package dispatch executes one request: it picks a backend server, sends the request to the
// server's agent over a link, forwards the answer, and follows the decisions of package retry
// when an attempt fails.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/configuration"
	"baywall.example/core/contract"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/backend"
	"baywall.example/entry/quarantine"
	"baywall.example/entry/retry"
	"baywall.example/entry/routing"
	"baywall.example/entry/routing/affinity"
	"baywall.example/entry/routing/leastload"
	"baywall.example/entry/routing/roundrobin"
	"baywall.example/entry/routing/twochoices"
)

// Errors returned by a Dispatcher.
var (
	// ErrAborted means that an answer was started and cannot be completed. The caller's
	// connection must be cut, so that the caller notices the failure.
	ErrAborted = eris.New("dispatch: answer aborted")
	// ErrCallerGone means that the caller no longer accepts its answer.
	ErrCallerGone = eris.New("dispatch: caller gone")
)

// Request is a caller's request.
type Request struct {
	Method  string
	Path    string // including the query
	Headers []*wire.Header
	Body    []byte
	Key     uint64 // hash of the prompt prefix
}

// AttemptLocation identifies an attempt and the agent incarnation that holds it. With it, the
// caller can get the rest of its answer through another entry VM.
type AttemptLocation struct {
	VM          vm.ID
	Incarnation vm.Incarnation
	Attempt     contract.AttemptID
}

// Sink receives the answer. Its methods are called from one goroutine.
type Sink interface {
	// Head starts the answer.
	Head(status int, headers []*wire.Header, at AttemptLocation) error
	// Data delivers the next part of the answer's body.
	Data(p []byte) error
}

// Dispatcher executes requests. It is safe for concurrent use.
type Dispatcher struct {
	directory *backend.Directory
	config    *configuration.Store
	recorder  *timeline.Recorder
	suspects  *quarantine.Table
	retries   *retry.Budgets
	readers   SlowReaders
	window    int64 // bytes of an answer that an agent may send before its caller has read them

	mu       sync.Mutex
	policies map[string]servicePolicy
}

// SlowReaders are callers that occupy backend servers by reading their answers slowly.
type SlowReaders interface {
	// EndSlowestReader ends the slowest one, and reports whether there was one.
	EndSlowestReader() bool
}

// servicePolicy is a routing policy with the routing intent that it was created for.
type servicePolicy struct {
	policy routing.Policy
	intent resource.Intent
}

// New returns a dispatcher. It records in the suspects table which requests bring down backend
// servers; the table reports them to other entry VMs. The budgets bound the retries. Slow readers are
// ended while a request finds no backend server that is free. The window is how many bytes of an answer an
// agent may send before its caller has read them.
func New(directory *backend.Directory, config *configuration.Store, recorder *timeline.Recorder, suspects *quarantine.Table, retries *retry.Budgets, readers SlowReaders, window int) *Dispatcher {
	return &Dispatcher{
		directory: directory, config: config, recorder: recorder, suspects: suspects, retries: retries, readers: readers, window: int64(window),
		policies: make(map[string]servicePolicy),
	}
}

// policy returns the routing policy of a service's routing intent.
func (d *Dispatcher) policy(view *configuration.View, service string) routing.Policy {
	var intent resource.Intent
	if i := view.Intents[service]; i != nil {
		intent = *i
	} else {
		intent.Provision()
	}
	if svc := view.Services[service]; intent.Policy == "" && svc != nil && !svc.Engine {
		intent.Policy = resource.PolicyTwoChoices
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	have, ok := d.policies[service]
	if !ok || have.intent != intent {
		have = servicePolicy{policy: NewPolicy(intent), intent: intent}
		d.policies[service] = have
	}
	return have.policy
}

// NewPolicy returns the routing policy that a routing intent specifies.
func NewPolicy(i resource.Intent) routing.Policy {
	switch i.Policy {
	case resource.PolicyRoundRobin:
		return &roundrobin.Policy{}
	case resource.PolicyLeastLoad:
		return leastload.Policy{}
	case resource.PolicyTwoChoices:
		return twochoices.Policy{}
	default:
		return affinity.New(i.LoadFactor)
	}
}

// Serve executes the request and streams its answer to the sink. It returns nil if the
// complete answer was forwarded, a *contract.Refusal if nothing was, and ErrAborted or
// ErrCallerGone otherwise.
func (d *Dispatcher) Serve(ctx context.Context, c contract.Contract, r Request, sink Sink) error {
	budget := d.retries.Of(c.Service)
	budget.Request()
	x := &exchange{
		d: d, contract: c, request: r, sink: sink, budget: budget,
		sequence: retry.Sequence{Idempotent: c.Idempotent, Ticketed: c.Ticket != nil, Deadline: c.Deadline, Budget: budget},
	}
	ctx, cancel := clock.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return x.run(ctx)
}

// resumeOnly is the retry budget of a request that is only resumed: it is not sent again.
type resumeOnly struct{}

// Has implements retry.Checker.
func (resumeOnly) Has() bool { return true }

// Resume streams the rest of an answer, starting at the offset, from the agent that holds it.
func (d *Dispatcher) Resume(ctx context.Context, at AttemptLocation, offset int64, deadline time.Time, sink Sink) error {
	x := &exchange{
		d: d, sink: sink, location: at, offset: offset,
		contract: contract.Contract{Request: at.Attempt.Request, Deadline: deadline},
		sequence: retry.Sequence{Deadline: deadline, Budget: resumeOnly{}},
	}
	b, ok := d.directory.Find(at.VM)
	if !ok {
		return &contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonAgentReplaced}
	}
	x.backend = b
	ctx, cancel := clock.WithDeadline(ctx, deadline)
	defer cancel()
	return x.resolve(ctx, result{event: retry.EventHeld})
}

// Pick chooses up to n distinct backend servers of a service for tickets. The incarnations
// of their agents are known afterwards: Pick establishes missing links, for instance on an
// entry VM outside of the service's subset.
func (d *Dispatcher) Pick(ctx context.Context, service string, n int) []*backend.Backend {
	choice := d.directory.Usable(service)
	var out []*backend.Backend
	policy := twochoices.Policy{}
	for len(out) < n && len(choice.Runners) > 0 {
		i := policy.Pick(choice.Runners, 0)
		if d.ensureLinked(ctx, choice.Backends[i]) {
			out = append(out, choice.Backends[i])
		}
		choice = without(choice, i)
	}
	return out
}

// ensureLinked establishes a link to the server's agent unless its incarnation is known
// already, and reports whether the incarnation is known.
func (d *Dispatcher) ensureLinked(ctx context.Context, b *backend.Backend) bool {
	if b.Incarnation() != 0 {
		return true
	}
	_, err := d.directory.Link(ctx, b)
	return err == nil && b.Incarnation() != 0
}

// without returns the choice without its i-th server.
func without(c backend.Choice, i int) backend.Choice {
	out := backend.Choice{}
	for j := range c.Runners {
		if j != i {
			out.Backends = append(out.Backends, c.Backends[j])
			out.Runners = append(out.Runners, c.Runners[j])
		}
	}
	return out
}
