package cluster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/wire"
)

// An agent knows some gateways only; those pass its word on, once and not for ever.
func TestThePaceOfASlowRankReachesAllMembers(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_700_000_000, 0)
	const engine = "10.0.0.9:80"
	told := NewTable("10.0.0.1:1", []string{"10.0.0.2:1"}, 0)
	other := NewTable("10.0.0.2:1", []string{"10.0.0.1:1"}, 0)
	third := NewTable("10.0.0.3:1", nil, 0)
	is.Equal(told.paces.of(EngineKey(engine), now), 1.0)

	told.Receive(&wire.Heartbeat{Paces: []*wire.RankPace{{Engine: EngineKey(engine), Percent: 330}}}, now)
	is.Equal(len(told.Live()), 0) // who tells a pace is no member for it
	other.Receive(told.heartbeat(Self{Address: "10.0.0.1:1"}, rnd, now), now)
	is.Equal(other.paces.of(EngineKey(engine), now), 3.3)
	third.Receive(other.heartbeat(Self{Address: "10.0.0.2:1"}, rnd, now), now)
	is.Equal(third.paces.of(EngineKey(engine), now), 1.0) // hearsay is not passed on

	later := now.Add(paceLifetime - 100*time.Millisecond)
	other.Receive(told.heartbeat(Self{Address: "10.0.0.1:1"}, rnd, later), later)
	later = now.Add(paceLifetime + time.Millisecond)
	is.Equal(other.paces.of(EngineKey(engine), later), 1.0) // it is as old as its agent's word
	is.Equal(len(told.heartbeat(Self{}, rnd, later).GetPaces()), 0)
}

func TestARecoveredRankIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	table := NewTable("10.0.0.1:1", nil, 0)
	table.Receive(&wire.Heartbeat{Paces: []*wire.RankPace{{Engine: 7, Percent: 330}}}, now)
	table.Receive(&wire.Heartbeat{Paces: []*wire.RankPace{{Engine: 7, Percent: 100}}}, now.Add(time.Millisecond))
	table.Receive(&wire.Heartbeat{Address: "10.0.0.2:1", Paces: []*wire.RankPace{{Engine: 7, Percent: 330, AgeMs: 50}}}, now.Add(2*time.Millisecond))
	is.Equal(table.paces.of(7, now.Add(2*time.Millisecond)), 1.0) // older news changes nothing
}
