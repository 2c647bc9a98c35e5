package api

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/iter"

	"baywall.example/core/contract"
	"baywall.example/core/inbound"
	"baywall.example/core/link"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

const (
	// timelineTimeout bounds the wait for one VM's events.
	timelineTimeout = time.Second
	// timelineLimit is the default number of events.
	timelineLimit = 500
	// timelineFanout is how many VMs are queried at a time.
	timelineFanout = 16
	// timelineWait is how long a request waits while the events for another one are collected.
	timelineWait = time.Second
	// eventCost is the memory that an event takes, in bytes.
	eventCost = 400
)

// TimelineAnswer is the merged timeline and the VMs whose events are missing.
type TimelineAnswer struct {
	Events  []timeline.Event `json:"events"`
	Missing []vm.ID          `json:"missing,omitempty"`
}

// serveTimeline answers with the merged events of all VMs.
func (a *API) serveTimeline(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	f := timeline.Filter{VM: vm.ID(q.Get("vm")), Request: q.Get("request"), Group: q.Get("group"), Limit: min(timelineLimit, a.MaxEvents)}
	if raw := q.Get("since"); raw != "" {
		since, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			a.problem(w, http.StatusBadRequest, "", notRun(contract.ReasonBadRequest), fmt.Sprintf("since: value %q, allowed: a clock reading", raw))
			return
		}
		f.Since = timeline.Stamp(since)
	}
	if raw := q.Get("limit"); raw != "" {
		n, err := strconv.Atoi(raw)
		if err != nil || n < 1 || n > a.MaxEvents {
			a.problem(w, http.StatusBadRequest, "", notRun(contract.ReasonBadRequest), fmt.Sprintf("limit: value %q, allowed: from 1 to %d", raw, a.MaxEvents))
			return
		}
		f.Limit = n
	}
	answer, err := a.collectTimeline(r.Context(), f)
	if err != nil {
		a.problem(w, http.StatusServiceUnavailable, "", noRoom(), "timeline: "+err.Error())
		return
	}
	answer.write(w)
}

// errTimelineBusy means that the events for other requests are being collected.
var errTimelineBusy = eris.New("those of other requests are being collected")

// collectTimeline returns the merged events of all VMs. It collects those for one request at a time, as
// each VM can send all that it keeps.
func (a *API) collectTimeline(ctx context.Context, f timeline.Filter) (TimelineAnswer, error) {
	waiting, cancel := context.WithTimeout(ctx, timelineWait)
	defer cancel()
	select {
	case a.collecting <- struct{}{}:
		defer func() { <-a.collecting }()
	case <-waiting.Done():
		return TimelineAnswer{}, errTimelineBusy
	}
	answer := a.timeline(ctx, f)
	return answer, inbound.Reserve(ctx, int64(len(answer.Events))*eventCost)
}

// write writes the answer piece by piece.
func (t TimelineAnswer) write(w http.ResponseWriter) {
	out := newJSONWriter(w)
	out.raw(`{"events":[`)
	writeElements(out, t.Events, func(e timeline.Event) timeline.Event { return e })
	out.raw("]")
	if len(t.Missing) > 0 {
		out.raw(`,"missing":`)
		out.value(t.Missing)
	}
	out.raw("}\n")
}

// timeline merges the events of all VMs as they come, and keeps the newest ones.
func (a *API) timeline(ctx context.Context, f timeline.Filter) TimelineAnswer {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	var targets []vm.VM
	for _, v := range a.VMs.List().VMs {
		if v.ID != a.Self && (f.VM == "" || f.VM == v.ID) {
			targets = append(targets, v)
		}
	}
	var mu sync.Mutex
	answer := TimelineAnswer{Events: a.Recorder.Select(f)}
	collector := iter.Iterator[vm.VM]{MaxGoroutines: timelineFanout}
	collector.ForEach(targets, func(v *vm.VM) {
		events, err := a.remoteEvents(ctx, *v, f)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			answer.Missing = append(answer.Missing, v.ID)
			return
		}
		answer.Events = timeline.Merge(f.Limit, answer.Events, events)
	})
	slices.Sort(answer.Missing)
	return answer
}

func (a *API) remoteEvents(ctx context.Context, v vm.VM, f timeline.Filter) ([]timeline.Event, error) {
	l, err := a.linkTo(ctx, v)
	if err != nil {
		return nil, err
	}
	reply, err := l.Call(ctx, &wire.Call{Body: &wire.Call_Timeline{Timeline: f.Wire()}})
	if err != nil {
		return nil, err
	}
	return timeline.EventsFromWire(reply.GetTimeline()), nil
}

func (a *API) linkTo(ctx context.Context, v vm.VM) (*link.Link, error) {
	if v.Role == vm.RoleEntry {
		return a.Peers.Get(ctx, v)
	}
	return a.Directory.Pool().Get(ctx, v)
}
