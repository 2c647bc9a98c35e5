package membership

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/configuration"
	"baywall.example/core/vm"
)

const (
	// refreshInterval is how often the set of usable entry VMs is refreshed.
	refreshInterval = 200 * time.Millisecond
	// pauseGap is the least time between two refreshes after which this process is assumed
	// to have been paused.
	pauseGap = time.Second
)

// Snapshot is this entry VM's view of the fleet at one moment. It is immutable.
type Snapshot struct {
	Listed int     // entry VMs on the list
	Usable []vm.VM // entry VMs that may get new work, sorted by ID; includes this one
	// Generation changes whenever Usable does.
	Generation uint64
	// AwakeSince is the time since which this process has been running without a pause.
	AwakeSince time.Time
	// RecentSets holds the earlier sets of usable entry VMs that were replaced less than
	// RecentWindow ago, each with the time of its replacement.
	RecentSets []EndedSet

	refreshedAt time.Time
}

// EndedSet is an outdated set of usable entry VMs.
type EndedSet struct {
	Usable []vm.VM
	Ended  time.Time
}

// RecentWindow is how long earlier sets are kept.
const RecentWindow = 5 * time.Second

// Fleet maintains the snapshot, so that results derived from it are recomputed only when it
// has changed.
type Fleet struct {
	self     vm.ID
	vms      *configuration.VMs
	prober   *Prober
	snapshot atomic.Pointer[Snapshot]
}

// NewFleet returns the view of the fleet from one entry VM.
func NewFleet(self vm.ID, vms *configuration.VMs, prober *Prober) *Fleet {
	f := &Fleet{self: self, vms: vms, prober: prober}
	f.refresh(clock.Now())
	return f
}

// Snapshot returns the latest snapshot.
func (f *Fleet) Snapshot() *Snapshot { return f.snapshot.Load() }

// Run refreshes the snapshot until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		changed := f.vms.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			f.refresh(clock.Now())
		case <-ticker.C:
			now := clock.Now()
			f.refresh(now)
		}
	}
}

// refresh replaces the snapshot with the current view.
func (f *Fleet) refresh(now time.Time) {
	next := &Snapshot{refreshedAt: now, AwakeSince: now}
	for _, v := range f.vms.List().WithRole(vm.RoleEntry) {
		next.Listed++
		if v.ID == f.self || f.prober.Usable(v) {
			next.Usable = append(next.Usable, v)
		}
	}
	slices.SortFunc(next.Usable, func(a, b vm.VM) int { return cmp.Compare(a.ID, b.ID) })
	next.Listed = max(1, next.Listed)
	old := f.snapshot.Load()
	if old == nil {
		f.snapshot.Store(next)
		return
	}
	next.Generation = old.Generation
	same := slices.EqualFunc(old.Usable, next.Usable, func(a, b vm.VM) bool { return a.ID == b.ID && a.HTTP == b.HTTP && a.Zone == b.Zone })
	if now.Sub(old.refreshedAt) < pauseGap {
		next.AwakeSince = old.AwakeSince
	}
	for _, set := range old.RecentSets {
		if now.Sub(set.Ended) < RecentWindow {
			next.RecentSets = append(next.RecentSets, set)
		}
	}
	if !same {
		next.Generation++
		next.RecentSets = append(next.RecentSets, EndedSet{Usable: old.Usable, Ended: now})
	}
	f.snapshot.Store(next)
}
