package routing

import (
	"sync/atomic"

	"baywall.example/core/rendezvous"
	"baywall.example/core/vm"
	"baywall.example/core/zone"
)

// Policy is a balancing strategy. Implementations are safe for concurrent use.
type Policy interface {
	// Pick returns the index of the runner to use for a request with the key, or -1 if
	// there are no runners. It must not retain the slice.
	Pick(runners []*Runner, key uint64) int
}

// Runner is a backend server as one entry VM sees it.
type Runner struct {
	VM   vm.ID
	Zone zone.ID
	Hash uint64 // of VM, for rendezvous

	own    atomic.Int64 // requests of this entry VM in flight
	others atomic.Int64 // requests of other entry VMs, from the last report
	queued atomic.Int64 // reported by the engine
}

// NewRunner returns an idle runner.
func NewRunner(id vm.ID, z zone.ID) *Runner {
	return &Runner{VM: id, Zone: z, Hash: rendezvous.Hash(string(id))}
}

// Begin counts a request of this entry VM as started.
func (r *Runner) Begin() { r.own.Add(1) }

// End counts a request of this entry VM as ended.
func (r *Runner) End() { r.own.Add(-1) }

// Own returns this entry VM's requests in flight.
func (r *Runner) Own() int64 { return r.own.Load() }

// Report records a load report: all requests in flight at the agent, and the length of
// the engine's queue. The requests that this entry VM has in flight are subtracted.
func (r *Runner) Report(inFlight, queued int64) {
	r.others.Store(max(0, inFlight-r.own.Load()))
	r.queued.Store(queued)
}

// Load returns the estimated number of requests in flight.
func (r *Runner) Load() int64 { return r.own.Load() + r.others.Load() }

// Reported returns the load according to the last report alone. It is used by the
// baseline that relies on reports.
func (r *Runner) Reported() int64 { return r.others.Load() + r.queued.Load() }
