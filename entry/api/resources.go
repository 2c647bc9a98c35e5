package api

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"baywall.example/core/configuration"
	"baywall.example/core/contract"
	"baywall.example/core/inbound"
	"baywall.example/core/rendezvous"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
)

// Phase says whether a resource's newest version was accepted.
type Phase string

// Phases of a resource.
const (
	PhaseAccepted Phase = "accepted"
	PhaseRejected Phase = "rejected"
)

// ResourceView is a resource as it is shown to operators.
type ResourceView struct {
	Kind     resource.Kind   `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"` // in force, 0 if none
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   ResourceStatus  `json:"status"`
}

// ResourceStatus describes the validation and rollout of a resource.
type ResourceStatus struct {
	Phase            Phase   `json:"phase"`
	Reason           string  `json:"reason,omitempty"`
	RejectedRevision uint64  `json:"rejected_revision,omitempty"`
	InForce          int     `json:"in_force"` // VMs that have this revision or a later one
	Of               int     `json:"of"`       // VMs on the list
	Lagging          []vm.ID `json:"lagging,omitempty"`
}

// watchRefresh is how often a watch checks for a changed status.
const watchRefresh = 200 * time.Millisecond

func (a *API) view(rec configuration.Record) ResourceView {
	v := ResourceView{Kind: rec.Key.Kind, Name: rec.Key.Name, Revision: rec.Revision, Spec: rec.Spec}
	v.Status = ResourceStatus{Phase: PhaseAccepted}
	if rec.RejectedRevision > rec.Revision {
		v.Status.Phase = PhaseRejected
		v.Status.Reason = rec.RejectedReason
		v.Status.RejectedRevision = rec.RejectedRevision
	}
	for _, m := range a.VMs.List().VMs {
		v.Status.Of++
		if a.revisionOf(m) >= rec.Revision {
			v.Status.InForce++
		} else {
			v.Status.Lagging = append(v.Status.Lagging, m.ID)
		}
	}
	return v
}

// revisionOf returns the latest configuration revision that a VM is known to have.
func (a *API) revisionOf(m vm.VM) uint64 {
	if m.ID == a.Self {
		return a.Config.Revision()
	}
	revision := a.Prober.Revision(m.ID)
	if b, ok := a.Directory.Find(m.ID); ok {
		revision = max(revision, b.ConfigRevision())
	}
	return revision
}

func (a *API) getResource(kind resource.Kind) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		key := resource.Key{Kind: kind, Name: p[0].Value}
		if r.URL.Query().Get("watch") != "" {
			a.watch(w, r, func(rec configuration.Record) bool { return rec.Key == key }, kind)
			return
		}
		rec, ok := a.Config.Resource(key)
		if !ok {
			a.problem(w, http.StatusNotFound, "", notRun(contract.ReasonBadRequest), fmt.Sprintf("%s: not configured at revision %d", key, a.Config.Revision()))
			return
		}
		writeJSON(w, http.StatusOK, a.view(rec))
	}
}

func (a *API) listResources(kind resource.Kind) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if r.URL.Query().Get("watch") != "" {
			a.watch(w, r, func(configuration.Record) bool { return true }, kind)
			return
		}
		if inbound.Reserve(r.Context(), int64(a.Config.Count(kind))*recordCost) != nil {
			a.problem(w, http.StatusServiceUnavailable, "", noRoom(), "list: no memory for it now")
			return
		}
		out := newJSONWriter(w)
		out.raw("[")
		writeElements(out, a.sorted(kind), a.view)
		out.raw("]\n")
	}
}

// recordCost is the memory that a list takes for each of its resources, in bytes.
const recordCost = 320

func (a *API) sorted(kind resource.Kind) []configuration.Record {
	records := a.Config.Select(kind)
	slices.SortFunc(records, func(x, y configuration.Record) int { return cmp.Compare(x.Key.Name, y.Key.Name) })
	return records
}

// watch streams one JSON line for each selected resource that is newer than the
// requested revision, and again whenever the resource or its status changes.
func (a *API) watch(w http.ResponseWriter, r *http.Request, selected func(configuration.Record) bool, kind resource.Kind) {
	after := uint64(0)
	if raw := r.URL.Query().Get("revision"); raw != "" {
		n, err := strconv.ParseUint(raw, 10, 64)
		if err != nil {
			a.problem(w, http.StatusBadRequest, "", notRun(contract.ReasonBadRequest), fmt.Sprintf("revision: value %q, allowed: a whole number", raw))
			return
		}
		after = n
	}
	if a.watches.Add(1) > int32(a.MaxWatches) {
		a.watches.Add(-1)
		a.problem(w, http.StatusServiceUnavailable, "", &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonOverload, RetryAfter: roomRetryAfter}, fmt.Sprintf("watch: %d are open", a.MaxWatches))
		return
	}
	defer a.watches.Add(-1)
	inbound.Watch(r.Context())
	w.Header().Set("Content-Type", "application/jsonl")
	last := make(map[resource.Key]uint64) // hashes of the lines that were sent
	ticker := time.NewTicker(watchRefresh)
	defer ticker.Stop()
	for {
		changed := a.Config.Changed()
		for _, rec := range a.sorted(kind) {
			if !selected(rec) || max(rec.Revision, rec.RejectedRevision) <= after {
				continue
			}
			line, err := json.Marshal(a.view(rec))
			hash := rendezvous.Hash(string(line))
			if err != nil || last[rec.Key] == hash {
				continue
			}
			last[rec.Key] = hash
			if _, err := w.Write(append(line, '\n')); err != nil {
				return
			}
		}
		if http.NewResponseController(w).Flush() != nil || a.Draining() {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// serveCheck validates a candidate resource without storing it.
// checkTimeout bounds the time in which a resource has to be sent.
const checkTimeout = 10 * time.Second

func (a *API) serveCheck(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, err := inbound.ReadBody(w, r, a.MaxBody, time.Now().Add(checkTimeout))
	if err != nil {
		a.refuseBody(w, r, "", err)
		return
	}
	key := resource.Key{Kind: resource.Kind(r.URL.Query().Get("kind")), Name: r.URL.Query().Get("name")}
	if _, err := resource.Decode(key, raw); err != nil {
		a.problem(w, http.StatusUnprocessableEntity, "", notRun(contract.ReasonBadRequest), err.Error())
		return
	}
	writeJSON(w, http.StatusOK, configuration.Status{Key: key})
}
