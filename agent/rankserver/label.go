package rankserver

import (
	"context"
	"time"

	"baywall.example/agent/group"
	"baywall.example/agent/rank"
	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/wait"
)

// followLabel keeps the label of the local rank up to date.
func (r *Server) followLabel(ctx context.Context) {
	for ctx.Err() == nil {
		interval := labelInterval
		if r.directory.getLabel() == nil {
			interval = formingInterval
		}
		if left := interval - r.api.age(clock.Now()); left > 0 {
			wait.Sleep(ctx, left)
			continue
		}
		r.readLabel(ctx)
	}
}

// readLabel reads the local rank's report, which applyReport then evaluates.
func (r *Server) readLabel(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.api.Report(ctx); err != nil && ctx.Err() != nil {
		r.applyReport(rank.Report{}, err) // a timeout here does count: the rank is silent
	}
}

// applyReport applies a report of the local rank, or the error in its place: the group and
// the slowdown of the rank.
func (r *Server) applyReport(report rank.Report, err error) {
	before := r.directory.getLabel()
	r.mapInUse.observe(report, err, r.log)
	if err == nil && report.Group != "" {
		// The rank number is known while the group is still forming. Successors read the
		// configuration from then on; reading it only once the group was open took up to
		// 0.46 s more.
		if isSuccessor := report.Rank < group.Successors; r.successor.Swap(isSuccessor) != isSuccessor {
			r.updateSeeds()
		}
	}
	if err != nil || report.Group == "" || !report.Open {
		if before != nil {
			r.log.Warn().Err(err).Str("group", before.Group).Uint64("epoch", before.Epoch).Bool("open", report.Open).Msg("rank lost")
		}
		r.ungrouped = true
		r.directory.setLabel(nil)
		if before != nil {
			r.node.Announce()
		}
		return
	}
	label := &cluster.RankLabel{Group: report.Group, Epoch: report.Epoch, Rank: report.Rank, Size: report.Size}
	if before == nil || *before != *label {
		r.formed = clock.Now()
		if r.ungrouped {
			r.groups.Formed(label.Group)
		}
		r.ungrouped = false
		r.log.Info().Str("group", label.Group).Uint64("epoch", label.Epoch).Int("rank", label.Rank).Int("size", label.Size).Msg("rank regained")
	}
	r.directory.setLabel(label)
	if before == nil || *before != *label {
		r.node.Announce()
	}
	r.reportSlowdown(report.Slowdown)
}

// formedReportTime is how long the forming of the group is reported to gateways. It is
// reported repeatedly because datagrams may be lost.
const formedReportTime = 250 * time.Millisecond

// slowThreshold is the slowdown from which a rank is reported to gateways as slow. A smaller
// one is no reason to send a rank fewer requests.
const slowThreshold = 1.05

// reportSlowdown reports to gateways that the local rank is slow, and once that it no longer
// is. It also reports that the rank's group was formed: a group that was down takes requests
// again then, and gateways would otherwise learn it 0.2 s later from the rank's reports to
// others, or 0.3 s later from their own probe.
func (r *Server) reportSlowdown(slowdown float64) {
	slow := slowdown >= slowThreshold
	slowdownReport := cluster.Slowdown{Engine: r.settings.Engine, Slowdown: slowdown}
	if clock.Since(r.formed) < formedReportTime {
		slowdownReport.Formed = r.formed
	}
	if !slow && !r.slow && slowdownReport.Formed.IsZero() {
		return
	}
	if slow != r.slow {
		r.log.Info().Float64("pace", slowdown).Bool("slow", slow).Msg("pace of the rank changed")
	}
	r.slow = slow
	r.node.ReportSlowdown(r.settings.Gateways, slowdownReport)
}

// isSuccessor reports whether this rank, by the latest group that it was seen in, is one of
// the first candidates to coordinate its group. The other ranks need to know only these.
func (r *Server) isSuccessor() bool { return r.successor.Load() }

// isStandby reports whether this rank leaves reading the store to the successors: it is not
// one of them, and its group has a coordinator.
func (r *Server) isStandby() bool {
	label := r.directory.getLabel()
	return label != nil && !r.isSuccessor() && clock.Since(r.groups.LastContact(label.Group)) < coordinatorWaitLimit
}
