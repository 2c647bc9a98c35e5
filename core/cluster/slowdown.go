package cluster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"baywall.example/core/clock"
	"baywall.example/core/wire"
)

// A slow rank makes all ranks of its group wait in each step. Its agent detects the
// slowdown first and reports it to gateways for as long as it lasts. A gateway passes
// reports that come directly from agents on to the other gateways.

// slowdownLifetime is how long a slowdown counts after an agent reported it. It covers
// several reports, as datagrams may be lost.
const slowdownLifetime = 500 * time.Millisecond

// Slowdown reports how slow a rank is.
type Slowdown struct {
	Engine string // address of the backend server, IP:port
	// Slowdown is the duration of a step relative to the usual duration.
	Slowdown float64
	// Formed is when the rank's group was formed, or zero if it was not formed recently.
	Formed time.Time
}

// EngineKey returns the key under which the slowdown of a backend server is reported.
func EngineKey(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// receivedSlowdown is the latest report received about one rank.
type receivedSlowdown struct {
	percent uint32
	at      time.Time // when its agent reported it
	direct  bool      // received from the agent itself
	formed  time.Time // when the rank's group was formed; zero = unknown
}

// slowdowns holds the received reports about slow ranks, by engine key.
type slowdowns map[uint32]receivedSlowdown

// receive processes the slowdowns in a heartbeat. Only reports received directly from an
// agent are passed on.
func (s slowdowns) receive(hb *wire.Heartbeat, now time.Time) {
	direct := hb.GetAddress() == ""
	for _, w := range hb.GetPaces() {
		at := now.Add(-time.Duration(w.GetAgeMs()) * time.Millisecond)
		if at.After(s[w.GetEngine()].at) {
			formed := s[w.GetEngine()].formed
			if w.GetFormedMs() > 0 {
				formed = now.Add(-time.Duration(w.GetFormedMs()-1) * time.Millisecond)
			}
			s[w.GetEngine()] = receivedSlowdown{percent: w.GetPercent(), at: at, direct: direct, formed: formed}
		}
	}
}

// report returns the slowdowns to pass on, and removes outdated ones.
func (s slowdowns) report(now time.Time) []*wire.RankPace {
	var out []*wire.RankPace
	for engine, h := range s {
		age := now.Sub(h.at)
		if age > slowdownLifetime {
			delete(s, engine)
			continue
		}
		if h.direct {
			out = append(out, &wire.RankPace{
				Engine: engine, Percent: h.percent, AgeMs: uint32(age.Milliseconds()), FormedMs: formedMs(h.formed, now),
			})
		}
	}
	return out
}

// direct reports whether any report was received from an agent itself.
func (s slowdowns) direct() bool {
	for _, h := range s {
		if h.direct {
			return true
		}
	}
	return false
}

// of returns the slowdown of a backend server, or 1 if none is known.
func (s slowdowns) of(engine uint32, now time.Time) float64 {
	h, known := s[engine]
	if !known || now.Sub(h.at) > slowdownLifetime {
		return 1
	}
	return float64(h.percent) / 100
}

// formedMs encodes the time at which a group was formed as an age in milliseconds plus 1;
// 0 = unknown.
func formedMs(at, now time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(1 + now.Sub(at).Milliseconds())
}

// Formed fills out with the times at which the groups of backend servers were formed, by
// engine key and in the same order. Zero means that their agents reported no recent
// formation.
func (n *Node) Formed(engines []uint32, out []time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, e := range engines {
		out[i] = n.table.slowdowns[e].formed
	}
}

// Slowdowns fills out with the slowdowns of backend servers, by engine key and in the same
// order.
func (n *Node) Slowdowns(engines []uint32, out []float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	for i, e := range engines {
		out[i] = n.table.slowdowns.of(e, now)
	}
}

// ReportSlowdown reports a rank's slowdown to members. The sender does not become a member
// by it.
func (n *Node) ReportSlowdown(members []string, p Slowdown) {
	hb := &wire.Heartbeat{Paces: []*wire.RankPace{{
		Engine: EngineKey(p.Engine), Percent: uint32(100 * p.Slowdown), FormedMs: formedMs(p.Formed, clock.Now()),
	}}}
	out := make([]Datagram, 0, len(members))
	for _, address := range members {
		out = append(out, Datagram{address, hb})
	}
	n.send(out)
}
