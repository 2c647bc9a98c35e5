package api

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/iter"

	"baywall.example/core/contract"
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
)

// TimelineAnswer is the merged timeline and the VMs whose events are missing.
type TimelineAnswer struct {
	Events  []timeline.Event `json:"events"`
	Missing []vm.ID          `json:"missing,omitempty"`
}

// serveTimeline answers with the merged events of all VMs.
func (a *API) serveTimeline(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	f := timeline.Filter{VM: vm.ID(q.Get("vm")), Request: q.Get("request"), Group: q.Get("group"), Limit: timelineLimit}
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
		if err != nil || n < 1 {
			a.problem(w, http.StatusBadRequest, "", notRun(contract.ReasonBadRequest), fmt.Sprintf("limit: value %q, allowed: from 1", raw))
			return
		}
		f.Limit = n
	}
	writeJSON(w, http.StatusOK, a.timeline(r.Context(), f))
}

func (a *API) timeline(ctx context.Context, f timeline.Filter) TimelineAnswer {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	var targets []vm.VM
	for _, v := range a.VMs.List().VMs {
		if v.ID != a.Self && (f.VM == "" || f.VM == v.ID) {
			targets = append(targets, v)
		}
	}
	type part struct {
		events []timeline.Event
		err    error
	}
	mapper := iter.Mapper[vm.VM, part]{MaxGoroutines: timelineFanout}
	parts := mapper.Map(targets, func(v *vm.VM) part {
		events, err := a.remoteEvents(ctx, *v, f)
		return part{events: events, err: err}
	})
	all := [][]timeline.Event{a.Recorder.Select(f)}
	var answer TimelineAnswer
	for i, p := range parts {
		if p.err != nil {
			answer.Missing = append(answer.Missing, targets[i].ID)
			continue
		}
		all = append(all, p.events)
	}
	answer.Events = timeline.Merge(f.Limit, all...)
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
