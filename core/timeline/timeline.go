// Package timeline records the recent decisions of one process as typed events stamped
// with a hybrid logical clock, so that the events of all processes of a fleet can be
// merged into one causally ordered timeline.
//
// Each process has a ring buffer in which new events overwrite the oldest. Every event is
// also written as a JSON log line, which is the durable form.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/bounded"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// Kind is the type of an event.
type Kind string

// Event kinds.
const (
	KindStart          Kind = "start"
	KindDrain          Kind = "drain"
	KindStop           Kind = "stop"
	KindRefused        Kind = "refused"
	KindRetry          Kind = "retry"
	KindResume         Kind = "resume"
	KindAttemptOutcome Kind = "fate"
	KindLinkUp         Kind = "link-up"
	KindLinkDown       Kind = "link-down"
	KindSuspect        Kind = "suspect"
	KindAlive          Kind = "alive"
	KindLeaving        Kind = "leaving"
	KindConfig         Kind = "config"
	KindConfigRejected Kind = "config-rejected"
	KindPlatform       Kind = "platform"
	KindMapPlan        Kind = "map-plan"
	KindMapSwitch      Kind = "map-switch"
	KindCoordinator    Kind = "lead"
)

// Event is one decision: what was decided about which subject, and why.
type Event struct {
	Clock   Stamp  `json:"clock"`
	VM      vm.ID  `json:"vm"`
	Kind    Kind   `json:"kind"`
	Request string `json:"request,omitempty"`
	Group   string `json:"group,omitempty"`
	Subject string `json:"subject,omitempty"`
	Choice  string `json:"choice,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Filter selects events; empty fields match everything.
type Filter struct {
	Since   Stamp
	VM      vm.ID
	Request string
	Group   string
	Limit   int // number of newest events to return, 0 = all
}

func (f Filter) matches(e Event) bool {
	return e.Clock >= f.Since &&
		(f.VM == "" || f.VM == e.VM) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Group == "" || f.Group == e.Group)
}

// Recorder holds the ring buffer of one process. It is safe for concurrent use.
type Recorder struct {
	clock Clock
	vm    vm.ID
	log   zerolog.Logger

	mu   sync.Mutex
	ring []Event
	next int
}

// DefaultCapacity is the default size of the ring buffer, in events.
const DefaultCapacity = 4096

// NewRecorder returns a recorder for the process on the given VM. It retains the newest
// events, up to the capacity.
func NewRecorder(id vm.ID, capacity int, log zerolog.Logger) *Recorder {
	return &Recorder{vm: id, log: log, ring: make([]Event, 0, capacity)}
}

// Clock returns the process's hybrid logical clock.
func (r *Recorder) Clock() *Clock { return &r.clock }

// Record stamps the event, stores it in the ring buffer and writes it to the log. It keeps only the
// start of long texts, which can quote what callers send.
func (r *Recorder) Record(e Event) {
	e.Request, e.Subject, e.Reason = bounded.Text(e.Request), bounded.Text(e.Subject), bounded.Text(e.Reason)
	e.Clock = r.clock.Now(time.Now())
	e.VM = r.vm
	r.store(e)
	r.log.Info().
		Uint64("clock", uint64(e.Clock)).
		Str("kind", string(e.Kind)).
		Str("request", e.Request).
		Str("group", e.Group).
		Str("subject", e.Subject).
		Str("choice", e.Choice).
		Str("reason", e.Reason).
		Msg("event")
}

func (r *Recorder) store(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

// Select returns the retained events that match the filter, oldest first.
func (r *Recorder) Select(f Filter) []Event {
	r.mu.Lock()
	var out []Event
	for _, e := range r.ring {
		if f.matches(e) {
			out = append(out, e)
		}
	}
	r.mu.Unlock()
	return Merge(f.Limit, out)
}

// Merge combines the events of several processes into one list ordered by clock, then by
// VM. If limit is positive, only that many newest events are returned.
func Merge(limit int, parts ...[]Event) []Event {
	out := slices.Concat(parts...)
	slices.SortFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.VM, b.VM))
	})
	if limit > 0 && len(out) > limit {
		out = slices.Clone(out[len(out)-limit:]) // the rest is not kept
	}
	return out
}

// FilterFromWire converts a protobuf message to a filter.
func FilterFromWire(q *wire.TimelineQuery) Filter {
	return Filter{
		Since:   Stamp(q.GetSince()),
		VM:      vm.ID(q.GetVm()),
		Request: q.GetRequest(),
		Group:   q.GetGroup(),
		Limit:   int(q.GetLimit()),
	}
}

// Wire converts the filter to its protobuf message.
func (f Filter) Wire() *wire.TimelineQuery {
	return &wire.TimelineQuery{
		Since:   uint64(f.Since),
		Vm:      string(f.VM),
		Request: f.Request,
		Group:   f.Group,
		Limit:   int32(f.Limit),
	}
}

// EventsToWire converts events to a protobuf message.
func EventsToWire(events []Event) *wire.TimelineReply {
	out := &wire.TimelineReply{Events: make([]*wire.Event, len(events))}
	for i, e := range events {
		out.Events[i] = &wire.Event{
			Clock: uint64(e.Clock), Vm: string(e.VM), Kind: string(e.Kind),
			Request: e.Request, Group: e.Group, Subject: e.Subject,
			Choice: e.Choice, Reason: e.Reason,
		}
	}
	return out
}

// EventsFromWire converts a protobuf message to events.
func EventsFromWire(r *wire.TimelineReply) []Event {
	out := make([]Event, len(r.GetEvents()))
	for i, e := range r.GetEvents() {
		out[i] = Event{
			Clock: Stamp(e.GetClock()), VM: vm.ID(e.GetVm()), Kind: Kind(e.GetKind()),
			Request: e.GetRequest(), Group: e.GetGroup(), Subject: e.GetSubject(),
			Choice: e.GetChoice(), Reason: e.GetReason(),
		}
	}
	return out
}
