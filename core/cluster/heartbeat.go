package cluster

import (
	"math"
	"math/rand/v2"
	"time"

	"baywall.example/core/wire"
)

func (t *Table) heartbeat(self Self, rnd *rand.Rand, now time.Time) *wire.Heartbeat {
	t.sequence++
	hb := &wire.Heartbeat{
		Vm: string(self.VM), Incarnation: uint64(self.Incarnation), Sequence: t.sequence, Zone: self.Zone,
		Address: self.Address, Front: self.Front, Ready: self.Ready,
		CatalogVersion: self.CatalogVersion, Retained: self.Retained, StoreFailing: self.StoreFailing,
		BackendsEra: self.StoreChanged.Term, BackendsRevision: self.StoreChanged.Revision,
		Rank: self.Rank.wire(), Paces: t.slowdowns.report(now), Lost: t.reportedLost(rnd, now),
		Found: self.Found[:min(len(self.Found), maxFound)], Active: self.Active, Millicores: self.Millicores, Arrivals: self.Arrivals,
	}
	if t.sequence%contactsEvery == 0 || now.Sub(t.joined) < discoveryTime {
		hb.Contacts = t.contacts(rnd)
	}
	if self.Suspects != nil {
		hb.Suspects = self.Suspects(now)
	}
	if self.Limits != nil {
		hb.Limits = self.Limits(now)
	}
	if self.Demand != nil {
		hb.Demand = self.Demand(now)
	}
	if answered := t.lastStoreAnswer(self.LastStoreAnswer); !answered.IsZero() {
		// Rounded up: a relayed age must never be too low.
		hb.StoreAgeMs = 1 + uint32(math.Ceil(now.Sub(answered).Seconds()*1000))
	}
	for server, l := range self.Load {
		if l.Requests > 0 {
			hb.InFlight = append(hb.InFlight, &wire.InFlight{Server: server, Requests: uint32(l.Requests), GapMs: uint32(l.Gap.Milliseconds())})
		}
	}
	return hb
}

func (t *Table) contacts(rnd *rand.Rand) []string {
	live := make([]string, 0, len(t.alive))
	for address := range t.alive {
		live = append(live, address)
	}
	rnd.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(len(live), contactsPerHeartbeat)]
}
