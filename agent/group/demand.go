package group

import (
	"time"

	"baywall.example/core/expertmap"
)

// demand is what a coordinator knows of the requests to its group. It is retained when
// the group is re-formed: the new group begins with the initial map and without counts,
// but its callers send the same requests. The group's first map can then be planned
// before its first pass has been counted.
type demand struct {
	shape    expertmap.Shape
	estimate *expertmap.Demand
	lifetime *expertmap.DemandLifetime
}

// demandOf returns what this rank knows of a group's demand from an earlier time as its
// coordinator, or an empty estimate.
func (s *Set) demandOf(group string, shape expertmap.Shape, now time.Time) demand {
	d, ok := s.demands[group]
	if !ok || d.shape != shape {
		d = demand{shape: shape, estimate: expertmap.NewDemand(shape, s.env.Timing.CountsWeight), lifetime: expertmap.NewDemandLifetime(now)}
		s.demands[group] = d
	}
	return d
}
