package cluster

import (
	"time"

	"baywall.example/core/rendezvous"
)

// With monitoring enabled, each member exchanges heartbeats with a few active members, its
// monitors, at an interval that does not grow with the fleet. Every member computes the
// same assignment of monitors from the live active members. Monitors detect the loss of a
// member and report it to the others at once. A standby receives updates from its monitors
// within a fraction of a second. With all other members it exchanges heartbeats so rarely
// that their cost does not grow with the fleet either.
//
// A member that reports a loss may itself be cut off. So a receiver accepts the report
// only if it has missed a heartbeat from the lost member too, or if two members report the
// loss.

const (
	// standbyMonitors and activeMonitors are the numbers of active members that monitor a
	// standby and an active member. The fraction ownZoneShare of them is chosen from its
	// availability zone, as far as there are enough.
	standbyMonitors, activeMonitors = 3, 5
	ownZoneShare                    = 0.6
	// standbyMonitorInterval and activeMonitorInterval are the times between two
	// heartbeats of a standby and of an active member to one of its monitors.
	standbyMonitorInterval = 400 * time.Millisecond
	activeMonitorInterval  = 200 * time.Millisecond
	// unmonitoredFactor multiplies the heartbeat interval between an active member and a
	// standby that do not monitor each other.
	unmonitoredFactor = 4
	// assignInterval is the minimum time between two computations of the monitor
	// assignment.
	assignInterval = 200 * time.Millisecond
	// lossReportInterval is the minimum time between two immediate loss reports.
	lossReportInterval = 100 * time.Millisecond
	// silentHeartbeatsPerSecond limits the heartbeats to silent peers.
	silentHeartbeatsPerSecond = 100
)

// monitoring is the state of failure detection by monitors. The assignment itself is
// stored in each Peer.
type monitoring struct {
	enabled          bool
	stale            bool                  // whether members have changed since the last assignment
	assignedAt       time.Time             // time of the last assignment
	unreportedLosses bool                  // whether active members were lost and not reported yet
	reportLossesAt   time.Time             // peers sent no heartbeat since then are due a loss report
	reports          map[string]lossReport // losses reported by one member, by address
}

// lossReport is a loss that another member reported.
type lossReport struct {
	reporter string
	at       time.Time
}

// EnableMonitoring makes the member monitor others and be monitored itself. It must be
// called before all other methods.
func (t *Table) EnableMonitoring() {
	t.monitoring = monitoring{enabled: true, reports: make(map[string]lossReport)}
}

// candidate is an active member that may become a monitor, or a member to monitor.
type candidate struct {
	address, zone string
	hash          uint64
}

// assignMonitors recomputes which members monitor each other if the membership has
// changed.
func (t *Table) assignMonitors(now time.Time) {
	m := &t.monitoring
	if !m.enabled || !m.stale || now.Sub(m.assignedAt) < assignInterval {
		return
	}
	m.stale, m.assignedAt = false, now
	own := candidate{t.self, t.own.Zone, rendezvous.Hash(t.self)}
	var actives []candidate
	if t.own.Active {
		actives = append(actives, own)
	}
	for address := range t.alive {
		if p := t.peers[address]; p.Active {
			actives = append(actives, p.candidate())
		}
	}
	for address := range t.alive {
		p := t.peers[address]
		monitorsSelf := p.Active && isMonitor(p.candidate(), own, t.own.Active, actives)
		monitored := t.own.Active && isMonitor(own, p.candidate(), p.Active, actives)
		switch paired := monitorsSelf || monitored; {
		case !paired:
			p.paired = time.Time{}
		case p.paired.IsZero():
			p.paired = now
		}
	}
}

func (p *Peer) candidate() candidate { return candidate{p.Address, p.Zone, p.hash} }

// isMonitor reports whether an active member is one of the monitors of another member.
// These are the first in rendezvous order among the active members of the other member's
// availability zone, and the first among those of the other zones.
func isMonitor(monitor, member candidate, isActive bool, actives []candidate) bool {
	if monitor.address == member.address {
		return false
	}
	monitors := standbyMonitors
	if isActive {
		monitors = activeMonitors
	}
	inZone, ahead := 0, 0
	weight := rendezvous.Weight(monitor.hash, member.hash)
	for _, other := range actives {
		if other.address == member.address {
			continue
		}
		if other.zone == member.zone {
			inZone++
		}
		if (other.zone == member.zone) == (monitor.zone == member.zone) && rendezvous.Weight(other.hash, member.hash) > weight {
			ahead++
		}
	}
	ofZone := min(inZone, int(ownZoneShare*float64(monitors)+0.5))
	if monitor.zone == member.zone {
		return ahead < ofZone
	}
	return ahead < monitors-ofZone
}

// isMonitorPair reports whether a peer monitors this member or is monitored by it.
func (p *Peer) isMonitorPair() bool { return !p.paired.IsZero() }

// monitoredInterval returns the expected time between two heartbeats to and from a live
// peer if monitoring is enabled.
func (t *Table) monitoredInterval(p *Peer) time.Duration {
	paired := p.isMonitorPair()
	switch standbyInterval := t.standbyInterval(); {
	case t.own.Active && p.Active && paired:
		return min(t.Interval(), activeMonitorInterval)
	case t.own.Active && p.Active:
		return t.Interval()
	case !t.own.Active && !p.Active:
		return standbyPairFactor * standbyInterval
	case paired || standbyInterval <= standbyMonitorInterval:
		return min(standbyInterval, standbyMonitorInterval)
	default:
		return unmonitoredFactor * standbyInterval
	}
}

// silentSince returns the time since which a peer has been silent at its current interval.
func (p *Peer) silentSince() time.Time {
	if p.paired.After(p.LastHeartbeat) {
		return p.paired
	}
	return p.LastHeartbeat
}

// recordLoss records the loss of a peer that was detected here or accepted from reports.
// If both this member and the peer are active, the loss is reported at once.
func (t *Table) recordLoss(p *Peer, now time.Time) {
	t.lost[p.Address] = now
	if p.Active && t.own.Active {
		t.monitoring.unreportedLosses = true
	}
}

// scheduleLossReport makes heartbeats with the recorded losses due at once.
func (t *Table) scheduleLossReport(now time.Time) {
	if m := &t.monitoring; m.enabled && m.unreportedLosses && now.Sub(m.reportLossesAt) >= lossReportInterval {
		m.unreportedLosses, m.reportLossesAt = false, now
	}
}

// needsLossReport reports whether a heartbeat with the recorded losses is due to a peer.
func (t *Table) needsLossReport(p *Peer) bool {
	return (p.Active || p.isMonitorPair()) && p.sent.Before(t.monitoring.reportLossesAt)
}

// missedAfter returns the length of silence after which a peer has certainly missed a
// heartbeat.
func (t *Table) missedAfter(p *Peer) time.Duration {
	if !t.monitoring.enabled {
		return t.expectedInterval(p)
	}
	return t.expectedInterval(p) * 3 / 2
}

// confirmLoss records that a member reports a loss, and reports whether another member has
// reported it recently.
func (t *Table) confirmLoss(reporter, address string, now time.Time) bool {
	r, known := t.monitoring.reports[address]
	if known && r.reporter != reporter && now.Sub(r.at) <= lossReportLifetime {
		return true
	}
	t.monitoring.reports[address] = lossReport{reporter, now}
	return false
}

// expireReports removes old reports.
func (m *monitoring) expireReports(now time.Time) {
	for address, r := range m.reports {
		if now.Sub(r.at) > lossReportLifetime {
			delete(m.reports, address)
		}
	}
}
