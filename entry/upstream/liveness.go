package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"baywall.example/core/clock"
)

// State is what is known about the process of one incarnation of a backend server.
type State int

// States of an incarnation.
const (
	Unknown State = iota + 1 // nothing shows whether it runs
	Alive                    // it answered
	Ended                    // no process listens at its address, or another incarnation does
)

// String returns the state's name.
func (s State) String() string { return [...]string{"", "unknown", "alive", "ended"}[s] }

// Liveness is what a check found out about one incarnation of a backend server. A process that
// accepts connections at its address proves nothing: it may be the next incarnation, a server of
// another service, or stopped, as the kernel accepts connections for it. The zero value means
// that there was no check.
type Liveness struct {
	State State
	// Began is when the check began. An incarnation that is Alive still ran then, so an answer
	// whose end had been read before was not cut short by the end of its server.
	Began time.Time
	// Answered is the id of the incarnation that answered at the address, empty if none did or
	// it did not give its id.
	Answered string
	// Err is why nothing is known, or why no process listens.
	Err error
}

// IdentityQuery asks a server which incarnation it is. A server rejects a request that expects
// another incarnation with 421 (Misdirected Request), without running or queueing it.
type IdentityQuery struct {
	Target string // path and query of a health check
	// ServerID is the id of the incarnation that is checked.
	ServerID string
	// ExpectHeader names the header of a request that holds the id of the incarnation that it
	// expects, IDHeader that of an answer which holds the id of the incarnation that gave it.
	ExpectHeader, IDHeader string
}

const (
	// livenessTimeout bounds a check: a server answers within a few milliseconds, and the
	// request still has to be served elsewhere.
	livenessTimeout = 200 * time.Millisecond
	// livenessBatch is how long a check waits for further callers: all requests on a server are
	// lost within a few milliseconds of its end.
	livenessBatch = 2 * time.Millisecond
	// noIncarnation is an id that no incarnation has.
	noIncarnation = "none"
	// maxIdentityBody is the largest body of an answer to an identity query that is read, in
	// bytes.
	maxIdentityBody = 64 << 10
)

// livenessChecks holds the check that callers may still join.
type livenessChecks struct {
	mu   sync.Mutex
	next *livenessCheck // nil if none is about to begin
}

// livenessCheck is a check that serves several callers.
type livenessCheck struct {
	done   chan struct{}
	result Liveness // valid once done is closed
}

// Liveness finds out whether the incarnation in the query still runs. The check begins after the
// call, and concurrent calls share it, as each check costs the server a connection. It takes at
// most livenessBatch + livenessTimeout.
func (p *Pool) Liveness(ctx context.Context, q IdentityQuery) Liveness {
	p.liveness.mu.Lock()
	check := p.liveness.next
	first := check == nil
	if first {
		check = &livenessCheck{done: make(chan struct{})}
		p.liveness.next = check
	}
	p.liveness.mu.Unlock()
	if first {
		p.runCheck(context.WithoutCancel(ctx), check, q)
		return check.result
	}
	select {
	case <-check.done:
		return check.result
	case <-ctx.Done():
		return Liveness{State: Unknown, Began: clock.Now(), Err: ctx.Err()}
	}
}

// runCheck runs a check once further callers have had time to join it.
func (p *Pool) runCheck(ctx context.Context, check *livenessCheck, q IdentityQuery) {
	defer close(check.done)
	time.Sleep(livenessBatch)
	p.liveness.mu.Lock()
	p.liveness.next = nil
	p.liveness.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	check.result = p.checkLiveness(ctx, q)
}

// checkLiveness asks the server which incarnation it is.
func (p *Pool) checkLiveness(ctx context.Context, q IdentityQuery) Liveness {
	l := Liveness{State: Unknown, Began: clock.Now()}
	status, id, err := p.askIdentity(ctx, q, noIncarnation)
	if err == nil && id == "" && status == http.StatusMisdirectedRequest {
		// It does not give its id with the rejection. Only the incarnation in the query answers a
		// request that expects it with another status.
		status, id, err = p.askIdentity(ctx, q, q.ServerID)
		if err == nil && id == "" && status != http.StatusMisdirectedRequest {
			id = q.ServerID
		}
	}
	l.Answered, l.Err = id, err
	switch {
	case id == q.ServerID:
		l.State = Alive
	case id != "", status == http.StatusMisdirectedRequest, errors.Is(err, ErrConnectionRefused):
		l.State = Ended
	}
	return l
}

// askIdentity sends a query that expects an incarnation, and returns the status of the answer and
// the id of the incarnation that gave it. It uses a new connection, since what arrives on another
// one may have been sent before the incarnation ended. If the incarnation in the query answers,
// the connection serves later requests.
func (p *Pool) askIdentity(ctx context.Context, q IdentityQuery, expected string) (status int, id string, err error) {
	answer, err := p.Do(ctx, &Request{
		Method: http.MethodGet, Target: q.Target, Host: p.address, Header: http.Header{q.ExpectHeader: {expected}}, Fresh: true,
	})
	if err != nil {
		return 0, "", err
	}
	defer answer.Close() // closes the connection unless the body was read to its end
	id = answer.Header.Get(q.IDHeader)
	own := id == "" && expected == q.ServerID && answer.Status != http.StatusMisdirectedRequest
	if id == q.ServerID || own {
		_, err = io.Copy(io.Discard, io.LimitReader(answer.Body, maxIdentityBody))
	}
	return answer.Status, id, err
}
