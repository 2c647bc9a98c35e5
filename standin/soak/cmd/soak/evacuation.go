package main

import (
	"context"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

// coldKinds is the smallest number of fault kinds with which backend servers of the plain
// service are cold after each start. With fewer kinds they are not, so that a seed recorded
// then still produces the same run.
const coldKinds = 21

const (
	// coldTime is how long a backend server is cold after its start; coldPerSecond is how
	// many requests a second it can handle during that time.
	coldTime      = 2 * time.Second
	coldPerSecond = 8.0
	// evacuationTime is the minimum time for which an availability zone is evacuated: its
	// servers must have stopped receiving requests before the evacuation is lifted.
	evacuationTime = 4 * time.Second
)

// coldLimit is how many requests a cold backend server may receive in a second.
const coldLimit = 1.5*coldPerSecond + 5

// cold returns the cold-start settings of the plain service, empty if its backend servers
// are not cold after a start.
func (o options) cold() standin.Service {
	if o.kinds != 0 && o.kinds < coldKinds {
		return standin.Service{}
	}
	return standin.Service{ColdS: coldTime.Seconds(), ColdPerS: coldPerSecond}
}

// evacuate evacuates an availability zone for a while, unless it is evacuated already.
func (f *faults) evacuate(ctx context.Context, d draw) {
	z := zone(d.which)
	f.mu.Lock()
	already := f.evacuated[z]
	f.evacuated[z] = true
	f.mu.Unlock()
	if already {
		return
	}
	key := standin.EvacuationPrefix + z
	f.world.reconciler.Put(key, []byte("{}"))
	f.awaitWritten(ctx, key)
	var runners []*standin.Runner
	for _, b := range f.world.backends {
		if b.zone == z {
			runners = append(runners, b.current())
		}
	}
	for _, r := range runners {
		r.SetEvacuated(true)
	}
	wait.Sleep(ctx, evacuationTime+d.duration)
	for _, r := range runners {
		r.SetEvacuated(false)
	}
	f.world.reconciler.Delete(key)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[z] = false
}

// checkCold reports backend servers that received more than coldLimit requests in a second
// while they were cold.
func (r *report) checkCold(w *world) {
	if w.cold.ColdPerS == 0 {
		return
	}
	for _, b := range w.backends {
		if b.service != plainService {
			continue
		}
		for _, runner := range b.incarnations {
			if most := mostInSecond(runner.Arrivals(), runner.Started()); float64(most) > coldLimit {
				r.violatedf("%s received %d requests in a second while it was cold, allowed %g", runner.ID, most, coldLimit)
			}
		}
	}
}

// mostInSecond returns the largest number of requests in any one-second window while a
// backend server is cold.
func mostInSecond(got []standin.Arrival, started time.Time) int {
	most, first := 0, 0
	for i, a := range got {
		if a.At.Sub(started) >= coldTime {
			break
		}
		for a.At.Sub(got[first].At) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
