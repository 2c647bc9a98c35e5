package cluster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/wire"
)

// An agent reports its slowdown to some gateways only. These pass it on to the others,
// which must not relay it further, and it must expire.
func TestSlowdownReachesAllMembers(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_700_000_000, 0)
	const engine = "10.0.0.9:80"
	direct := NewTable("10.0.0.1:1", []string{"10.0.0.2:1"}, 0)
	relayed := NewTable("10.0.0.2:1", []string{"10.0.0.1:1"}, 0)
	third := NewTable("10.0.0.3:1", nil, 0)
	is.Equal(direct.slowdowns.of(EngineKey(engine), now), 1.0)

	direct.Receive(&wire.Heartbeat{Paces: []*wire.RankPace{{Engine: EngineKey(engine), Percent: 330}}}, now)
	is.Equal(len(direct.Live()), 0) // reporting a slowdown does not make the sender a member
	relayed.Receive(direct.heartbeat(Self{Address: "10.0.0.1:1"}, rnd, now), now)
	is.Equal(relayed.slowdowns.of(EngineKey(engine), now), 3.3)
	third.Receive(relayed.heartbeat(Self{Address: "10.0.0.2:1"}, rnd, now), now)
	is.Equal(third.slowdowns.of(EngineKey(engine), now), 1.0) // a relayed report is not passed on

	later := now.Add(slowdownLifetime - 100*time.Millisecond)
	relayed.Receive(direct.heartbeat(Self{Address: "10.0.0.1:1"}, rnd, later), later)
	later = now.Add(slowdownLifetime + time.Millisecond)
	is.Equal(relayed.slowdowns.of(EngineKey(engine), later), 1.0) // the age counts from the agent's report
	is.Equal(len(direct.heartbeat(Self{}, rnd, later).GetPaces()), 0)
}

func TestRecoveredRankIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	table := NewTable("10.0.0.1:1", nil, 0)
	table.Receive(&wire.Heartbeat{Paces: []*wire.RankPace{{Engine: 7, Percent: 330}}}, now)
	table.Receive(&wire.Heartbeat{Paces: []*wire.RankPace{{Engine: 7, Percent: 100}}}, now.Add(time.Millisecond))
	table.Receive(&wire.Heartbeat{Address: "10.0.0.2:1", Paces: []*wire.RankPace{{Engine: 7, Percent: 330, AgeMs: 50}}}, now.Add(2*time.Millisecond))
	is.Equal(table.slowdowns.of(7, now.Add(2*time.Millisecond)), 1.0) // an older report is ignored
}
