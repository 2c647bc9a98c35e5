package cluster

import (
	"math/rand/v2"
	"slices"
	"time"
)

// In a large fleet only some members must detect failures quickly: the gateways that are
// offered to callers, and the agents that may coordinate a group. These members are
// active, all others are standbys. Two active members exchange heartbeats often, an active
// member and a standby rarely, and two standbys very rarely. So the cost of a standby does
// not grow with the fleet, and the cost of an active member grows with the number of
// active members. For example, 149 gateways of which 15 are active exchange 5,400
// datagrams a second instead of 18,600.

const (
	// standbyDivisor divides the interval that would apply if all members were active. The
	// result is the interval between an active member and a standby.
	standbyDivisor = 1
	// standbyPairFactor multiplies that interval for two standbys.
	standbyPairFactor = 48
	// missedIntervals is the number of consecutive missing heartbeats after which a peer
	// is lost. It is above 1 as datagrams may be lost.
	missedIntervals = 4
	// repeatInterval and repeatTime are how often and for how long an announcement is
	// repeated to active members. One of 95 datagrams may be lost, and a group of ranks is
	// complete only when the announcements of all its ranks have arrived.
	repeatInterval = 200 * time.Millisecond
	repeatTime     = time.Second
	// lossReportLifetime is how long the address of a lost peer is passed on.
	// maxReportedLost is how many addresses a heartbeat carries, active peers first. So a
	// standby learns of a loss from the first active member that sends it a heartbeat,
	// instead of by missing four of its own infrequent heartbeats.
	lossReportLifetime = 2 * time.Second
	maxReportedLost    = 64
	// earlyDivisor divides the expected interval: a heartbeat is early if it follows the
	// previous one within that fraction of the interval.
	earlyDivisor = 4
)

// Activity is a member's role and load as stated in its heartbeats.
type Activity struct {
	// Active reports that the member is active rather than a standby.
	Active bool
	// Millicores is the processor time available to the member, or 0 if unknown.
	Millicores uint32
	// Arrivals is the number of requests a second that the member receives.
	Arrivals uint32
}

// Interval returns the time between two heartbeats of active members.
func (t *Table) Interval() time.Duration {
	return max(minInterval, time.Duration(max(0, t.actives-1))*t.perPeer)
}

// standbyInterval returns the time between two heartbeats of an active member and a
// standby.
func (t *Table) standbyInterval() time.Duration {
	return max(t.Interval(), time.Duration(len(t.alive))*t.perPeer/standbyDivisor)
}

// expectedInterval returns the time between two heartbeats from or to a live peer.
func (t *Table) expectedInterval(p *Peer) time.Duration {
	standbys := !t.own.Active && !p.Active
	switch {
	case t.monitoring.enabled:
		return t.monitoredInterval(p)
	case standbys || t.unrelated(p):
		return standbyPairFactor * t.standbyInterval()
	case t.own.Active && p.Active:
		return t.Interval()
	default:
		return t.standbyInterval()
	}
}

// unrelated reports whether this member and the peer are agents of ranks in different
// groups.
func (t *Table) unrelated(p *Peer) bool {
	return t.own.Rank != nil && p.Rank != nil && t.own.Rank.Group != p.Rank.Group
}

func (t *Table) intervalTo(p *Peer, now time.Time) time.Duration {
	switch {
	case !t.alive[p.Address]:
		return t.silentInterval()
	case t.needsLossReport(p):
		return 0
	case p.sendsEarly:
		return min(t.expectedInterval(p), standbyMonitorInterval)
	}
	if p.Active && now.Sub(t.announcedAt) < repeatTime {
		return min(t.expectedInterval(p), repeatInterval)
	}
	if t.own.Active != p.Active && t.slowdowns.direct() && (!t.monitoring.enabled || p.isMonitorPair()) {
		return t.Interval() // slowdowns that agents reported only to this member must not wait
	}
	return t.expectedInterval(p)
}

// silentInterval returns the time between two heartbeats to a silent peer. It grows with
// their number, which is large after the loss of half of a large fleet.
func (t *Table) silentInterval() time.Duration {
	silent := len(t.peers) - len(t.alive)
	return max(silentInterval, time.Duration(silent)*time.Second/silentHeartbeatsPerSecond)
}

func (t *Table) countActives() {
	t.actives = 0
	if t.own.Active {
		t.actives++
	}
	for address := range t.alive {
		if p := t.peers[address]; p.Active && !t.unrelated(p) {
			t.actives++
		}
	}
}

// Reached returns the number of active members that this member reaches, itself
// included, as a fraction of all members that may be active. Members that fell silent
// without announcing that they leave count as possibly active: they may be cut off and
// still running.
func (t *Table) Reached() float64 {
	silent := 0
	for address, p := range t.peers {
		if p.Active && !t.alive[address] && !t.unrelated(p) {
			silent++
		}
	}
	reached := t.Members()
	return float64(reached) / float64(reached+silent)
}

// ReachedSeeds returns the number of seeds that this member reaches, itself included, as a
// fraction of all seeds. Without seeds it is 1. Unlike Reached it does not depend on which
// members this one has ever heard of: if the fleet is partitioned, the fractions of all
// parts add up to at most 1.
func (t *Table) ReachedSeeds() float64 {
	if len(t.namedSeeds) == 0 {
		return 1
	}
	reached := 0
	for _, address := range t.namedSeeds {
		if address == t.self || t.alive[address] {
			reached++
		}
	}
	return float64(reached) / float64(len(t.namedSeeds))
}

// reportedLost returns the addresses of recently lost peers to report in a heartbeat, in a
// random order as not all of them may fit.
func (t *Table) reportedLost(rnd *rand.Rand, now time.Time) []string {
	var actives, standbys []string
	for address, at := range t.lost {
		switch p := t.peers[address]; {
		case now.Sub(at) > lossReportLifetime:
			delete(t.lost, address)
		case p != nil && p.Active:
			actives = append(actives, address)
		default:
			standbys = append(standbys, address)
		}
	}
	out := append(shuffle(actives, rnd), shuffle(standbys, rnd)...)
	return out[:min(len(out), maxReportedLost)]
}

// shuffle shuffles addresses in place, in a way that depends only on the source of random
// numbers.
func shuffle(addresses []string, rnd *rand.Rand) []string {
	slices.Sort(addresses)
	rnd.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// receiveLost processes the losses that another member reports. A peer from which this
// member has received a recent heartbeat is not marked lost. An accepted loss is passed on
// only if monitoring is enabled: otherwise all active members detect it themselves.
func (t *Table) receiveLost(from string, addresses []string, now time.Time) []Change {
	var out []Change
	t.monitoring.expireReports(now)
	for _, address := range addresses {
		p := t.peers[address]
		if p == nil || !t.alive[address] || now.Sub(p.LastHeartbeat) < silenceTimeout/2 {
			continue
		}
		confirmed := t.monitoring.enabled && t.confirmLoss(from, address, now)
		if !confirmed && now.Sub(p.silentSince()) < t.missedAfter(p) {
			continue
		}
		out = append(out, t.markLost(p))
		if t.monitoring.enabled {
			t.recordLoss(p, now)
		}
	}
	return out
}
