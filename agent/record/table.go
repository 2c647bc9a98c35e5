package record

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"baywall.example/core/contract"
	"baywall.example/core/settings"
	"baywall.example/core/vm"
)

// State is how far an attempt has progressed.
type State int

// States of an attempt.
const (
	StateAccepted State = iota + 1
	StateHandedOver
	StateAnswered
	StateTombstoned
)

// Action is what to do with an attempt that arrived.
type Action int

// Values of Action.
const (
	ActionRun    Action = iota + 1 // hand it over to the engine
	ActionJoin                     // stream the answer of Verdict.Attempt
	ActionRefuse                   // send Verdict.Refusal
)

// Verdict is the decision on an attempt that arrived.
type Verdict struct {
	Action  Action
	Attempt *Attempt
	Refusal *contract.Refusal
}

// Limits bound a Table's memory and times. Zero fields get the defaults.
type Limits struct {
	// Finished bounds the finished attempts without a ticket that are kept. Default 4096.
	Finished int
	// Tickets bounds the tickets that are remembered. Default 65536.
	Tickets int
	// AnswerBytes bounds the saved answers of finished attempts. Default 8 MiB.
	AnswerBytes int64
	// Retention is how long a finished attempt can be resumed. Default 10s.
	Retention time.Duration
	// TicketGrace is how long a ticket's nonce is remembered after the ticket
	// expired. Default 60s.
	TicketGrace time.Duration
	// ClockSkew is the largest difference between the wall clocks of two VMs.
	// Default 500ms.
	ClockSkew time.Duration
}

// Defaults of Limits.
const (
	DefaultFinished    = 4096
	DefaultTickets     = 65536
	DefaultAnswerBytes = 8 << 20
	DefaultRetention   = 10 * time.Second
	DefaultTicketGrace = time.Minute
	DefaultClockSkew   = 500 * time.Millisecond
)

func (l *Limits) provision() {
	l.Finished = settings.Or(l.Finished, DefaultFinished)
	l.Tickets = settings.Or(l.Tickets, DefaultTickets)
	l.AnswerBytes = settings.Or(l.AnswerBytes, DefaultAnswerBytes)
	l.Retention = settings.Or(l.Retention, DefaultRetention)
	l.TicketGrace = settings.Or(l.TicketGrace, DefaultTicketGrace)
	l.ClockSkew = settings.Or(l.ClockSkew, DefaultClockSkew)
}

// shardCount is the number of independently locked parts of a Table.
const shardCount = 16

// Table is the record of one agent incarnation. It is safe for concurrent use.
type Table struct {
	id          vm.ID
	incarnation vm.Incarnation
	limits      Limits
	seed        maphash.Seed
	attempts    [shardCount]attemptShard
	nonces      [shardCount]nonceShard
	tickets     atomic.Int64
	savedBytes  atomic.Int64
}

type attemptShard struct {
	mu              sync.Mutex
	attempts        map[contract.AttemptID]*Attempt
	finished        []*Attempt // oldest first
	tombstones      []*Attempt // oldest first
	newestForgotten time.Time  // finish time of the newest attempt that was forgotten
}

type nonceShard struct {
	mu     sync.Mutex
	nonces map[string]*Attempt
	queue  []ticketExpiry // oldest first
}

type ticketExpiry struct {
	nonce   string
	expires time.Time
}

// Attempt is one recorded attempt.
type Attempt struct {
	ID     contract.AttemptID
	Answer *Answer

	ticketed bool
	state    State     // guarded by its shard's lock
	finished time.Time // zero until answered
	expires  time.Time // of a finished or tombstoned attempt
}

// NewTable returns an empty record for one incarnation of the agent on a VM.
func NewTable(id vm.ID, incarnation vm.Incarnation, limits Limits) *Table {
	limits.provision()
	t := &Table{id: id, incarnation: incarnation, limits: limits, seed: maphash.MakeSeed()}
	for i := range shardCount {
		t.attempts[i].attempts = make(map[contract.AttemptID]*Attempt)
		t.nonces[i].nonces = make(map[string]*Attempt)
	}
	return t
}

func (t *Table) shard(id contract.AttemptID) *attemptShard {
	return &t.attempts[maphash.String(t.seed, string(id.Request))%shardCount]
}

func refuse(o contract.Outcome, r contract.Reason) Verdict {
	return Verdict{Action: ActionRefuse, Refusal: &contract.Refusal{Outcome: o, Reason: r}}
}

// Accept records an attempt that arrived at time now and decides what to do with it.
func (t *Table) Accept(id contract.AttemptID, ticket *contract.Ticket, now time.Time) Verdict {
	if ticket == nil {
		return t.accept(id, false, now)
	}
	if v := t.checkTicket(ticket, now); v.Action == ActionRefuse {
		return v
	}
	shard := &t.nonces[maphash.String(t.seed, ticket.Nonce)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	t.forgetTickets(shard, now)
	if first := shard.nonces[ticket.Nonce]; first != nil {
		return t.acceptRepeated(first)
	}
	if now.After(ticket.Expires) {
		return refuse(contract.NotRun, contract.ReasonTicketExpired)
	}
	if t.tickets.Load() >= int64(t.limits.Tickets) {
		return refuse(contract.Unknown, contract.ReasonOverload) // not remembered, so it may run later
	}
	v := t.accept(id, true, now)
	t.tickets.Add(1)
	shard.queue = append(shard.queue, ticketExpiry{ticket.Nonce, t.nonceExpiry(ticket)})
	shard.nonces[ticket.Nonce] = v.Attempt
	return v
}

// acceptRepeated decides on a further presentation of a ticket. Once a caller received
// "not-run" the ticket is void: another presentation may be in transit.
func (t *Table) acceptRepeated(first *Attempt) Verdict {
	if t.stateOf(first) == StateTombstoned {
		return refuse(contract.NotRun, contract.ReasonTombstoned)
	}
	return Verdict{Action: ActionJoin, Attempt: first}
}

// nonceExpiry returns when a ticket's nonce may be forgotten.
func (t *Table) nonceExpiry(ticket *contract.Ticket) time.Time {
	return ticket.Expires.Add(t.limits.TicketGrace)
}

// checkTicket refuses a ticket whose outcome this incarnation cannot know.
func (t *Table) checkTicket(ticket *contract.Ticket, now time.Time) Verdict {
	if ticket.VM != t.id {
		return refuse(contract.Unknown, contract.ReasonTicketInvalid)
	}
	if ticket.Incarnation != t.incarnation {
		safe := t.incarnation.StartedAt().Add(t.limits.ClockSkew)
		if ticket.Issued.After(safe) && ticket.Incarnation < t.incarnation {
			return refuse(contract.NotRun, contract.ReasonAgentReplaced)
		}
		return refuse(contract.Unknown, contract.ReasonAgentReplaced)
	}
	if now.After(t.nonceExpiry(ticket).Add(-t.limits.ClockSkew)) {
		return refuse(contract.Unknown, contract.ReasonTicketForgotten)
	}
	return Verdict{}
}

func (t *Table) forgetTickets(shard *nonceShard, now time.Time) {
	for len(shard.queue) > 0 && now.After(shard.queue[0].expires) {
		a := shard.nonces[shard.queue[0].nonce]
		if a != nil && t.running(a) {
			return // remembered until the attempt has ended
		}
		delete(shard.nonces, shard.queue[0].nonce)
		shard.queue = shard.queue[1:]
		t.tickets.Add(-1)
		t.remove(a)
	}
}

func (t *Table) running(a *Attempt) bool {
	s := t.stateOf(a)
	return s == StateAccepted || s == StateHandedOver
}

func (t *Table) remove(a *Attempt) {
	if a == nil {
		return
	}
	shard := t.shard(a.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.forget(a)
	t.dropAnswer(a)
}

// forget drops an attempt's state and records when it finished.
func (s *attemptShard) forget(a *Attempt) {
	delete(s.attempts, a.ID)
	if a.finished.After(s.newestForgotten) {
		s.newestForgotten = a.finished
	}
}

func (t *Table) stateOf(a *Attempt) State {
	shard := t.shard(a.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return a.state
}

func (t *Table) accept(id contract.AttemptID, ticketed bool, now time.Time) Verdict {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	t.expire(shard, now)
	if old := shard.attempts[id]; old != nil {
		if old.state == StateTombstoned {
			v := refuse(contract.NotRun, contract.ReasonTombstoned)
			v.Attempt = old
			return v
		}
		return Verdict{Action: ActionJoin, Attempt: old}
	}
	a := &Attempt{ID: id, Answer: newAnswer(), ticketed: ticketed, state: StateAccepted}
	shard.attempts[id] = a
	return Verdict{Action: ActionRun, Attempt: a}
}

// HandOver marks an accepted attempt as given to the engine. It returns false if the
// attempt was tombstoned; then it must not be sent to the engine.
func (t *Table) HandOver(a *Attempt) bool {
	shard := t.shard(a.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if a.state != StateAccepted {
		return false
	}
	a.state = StateHandedOver
	return true
}

// Withdraw tombstones an attempt that provably did not reach the engine, for example
// because the engine could not be dialed.
func (t *Table) Withdraw(a *Attempt, until time.Time) {
	shard := t.shard(a.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	t.tombstone(shard, a, until)
}

func (t *Table) tombstone(shard *attemptShard, a *Attempt, until time.Time) {
	a.state = StateTombstoned
	a.expires = until
	shard.attempts[a.ID] = a
	shard.tombstones = append(shard.tombstones, a)
	a.Answer.Finish(ErrTombstoned)
}

// Finish marks a handed-over attempt as ended. Its answer can be resumed for the
// retention time.
func (t *Table) Finish(a *Attempt, now time.Time) {
	shard := t.shard(a.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if a.state != StateHandedOver {
		return
	}
	a.state = StateAnswered
	a.finished = now
	a.expires = now.Add(t.limits.Retention)
	saved := t.savedBytes.Add(a.Answer.size())
	shard.finished = append(shard.finished, a)
	t.expire(shard, now)
	for len(shard.finished) > 1 && (saved > t.limits.AnswerBytes || len(shard.finished) > t.limits.Finished/shardCount) {
		t.dropOldest(shard)
		saved = t.savedBytes.Load()
	}
}

// expire drops finished attempts and tombstones that have expired.
func (t *Table) expire(shard *attemptShard, now time.Time) {
	for len(shard.finished) > 0 && now.After(shard.finished[0].expires) {
		t.dropOldest(shard)
	}
	for len(shard.tombstones) > 0 && now.After(shard.tombstones[0].expires) {
		delete(shard.attempts, shard.tombstones[0].ID)
		shard.tombstones = shard.tombstones[1:]
	}
}

// dropOldest drops the oldest finished attempt's answer and, unless the attempt has a
// ticket, its state.
func (t *Table) dropOldest(shard *attemptShard) {
	a := shard.finished[0]
	shard.finished[0] = nil
	shard.finished = shard.finished[1:]
	t.dropAnswer(a)
	if !a.ticketed {
		shard.forget(a)
	}
}

func (t *Table) dropAnswer(a *Attempt) {
	t.savedBytes.Add(-a.Answer.drop())
}

// Fate is what is known of an attempt.
type Fate int

// Values of Fate.
const (
	FateTombstoned Fate = iota + 1 // did not run and never will
	FateRunning                    // handed over and not ended: can be resumed
	FateAnswered                   // ended: can be resumed while the answer is kept
	FateLost                       // unknown to this incarnation
)

// Query asks what became of one attempt.
type Query struct {
	ID          contract.AttemptID
	Incarnation vm.Incarnation // to which the attempt was sent
	Sent        time.Time      // when it was sent, on the sender's wall clock
	Deadline    time.Time
}

// Fate reports what became of an attempt, and tombstones it in the same step unless it
// was handed over. The tombstone is kept until the attempt's deadline has passed on every
// clock. An attempt without a record never arrived, unless it may be among the forgotten
// ones: all of those finished no later than the recorded time, and an attempt finishes
// after it was sent.
func (t *Table) Fate(q Query, now time.Time) Fate {
	if q.Incarnation != t.incarnation {
		return FateLost
	}
	shard := t.shard(q.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	until := q.Deadline.Add(2 * t.limits.ClockSkew)
	a := shard.attempts[q.ID]
	if a == nil {
		if !shard.newestForgotten.Before(q.Sent.Add(-t.limits.ClockSkew)) {
			return FateLost
		}
		t.tombstone(shard, &Attempt{ID: q.ID, Answer: newAnswer()}, until)
		return FateTombstoned
	}
	switch a.state {
	case StateAccepted:
		t.tombstone(shard, a, until)
		return FateTombstoned
	case StateTombstoned:
		return FateTombstoned
	case StateHandedOver:
		return FateRunning
	default:
		return FateAnswered
	}
}

// Find returns an attempt that is not tombstoned, so that its answer can be resumed.
func (t *Table) Find(id contract.AttemptID, incarnation vm.Incarnation) (*Attempt, bool) {
	if incarnation != t.incarnation {
		return nil, false
	}
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	a := shard.attempts[id]
	if a == nil || a.state == StateTombstoned {
		return nil, false
	}
	return a, true
}

// Load returns the number of remembered tickets and of saved answer bytes.
func (t *Table) Load() (tickets, savedBytes int64) {
	return t.tickets.Load(), t.savedBytes.Load()
}
