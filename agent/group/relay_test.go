package group

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/expertmap"
	"baywall.example/core/wire"
)

// A rank whose agent is gone must not make its relay look as if the relay forwarded
// nothing.
func TestRelayReportsRankThatItCannotReach(t *testing.T) {
	is := is.New(t)
	world := newAgents(t, expertmap.Shape{Ranks: 3, Slots: 1, Layers: 1, Experts: 3}, Timing{FirstElectionTimeout: time.Hour})
	world.all[0].set.member.Recovered()
	r := &wire.SwitchRelay{
		Order: &wire.SwitchOrder{Group: "g", Phase: wire.SwitchPhase_SWITCH_READ, Fence: 7},
		Targets: []*wire.RelayTarget{
			{Rank: 0}, {Rank: 1, Vm: "vm-of-the-rank-1", Address: "127.0.0.1:1"},
		},
	}
	got := make(map[uint32]*wire.SwitchReply)
	is.NoErr(world.all[0].set.Relay(context.Background(), r, func(reply *wire.SwitchRelayReply) error {
		for _, one := range reply.GetReplies() {
			got[one.GetRank()] = one.GetReply()
		}
		return nil
	}))
	is.True(got[0].GetOk())
	is.True(got[1] != nil)
	is.True(!got[1].GetOk())
	is.Equal(got[1].GetReason(), reasonNotReached)
}

func TestCountsOfSeveralRanksAreSummed(t *testing.T) {
	is := is.New(t)
	order := &wire.SwitchOrder{Counts: true, Shape: &wire.EngineShape{Layers: 1, Experts: 3, Slots: 1}}
	answer := func(rank uint32, counts ...int64) rankAnswer {
		return rankAnswer{rank, &wire.SwitchReply{Ok: true, Counts: encodeCounts([][]int64{counts})}}
	}
	out := mergeAnswers([]rankAnswer{answer(1, 100, 0, 50), answer(2, 100, 200, 0), {3, &wire.SwitchReply{Reason: reasonNotReached}}}, order)
	is.Equal(len(out.GetReplies()), 3)
	sum := expertmap.Counts{make([]float64, 3)}
	addCounts(sum, out.GetCounts())
	for e, want := range []float64{200, 200, 50} {
		is.True(sum[0][e] > want-4 && sum[0][e] < want+4)
	}
}

// Listing the targets takes more bytes of a poll than all answers.
func TestRelayCachesItsTargets(t *testing.T) {
	is := is.New(t)
	relay := func(fence uint64, chunk uint32, targets ...*wire.RelayTarget) *wire.SwitchRelay {
		return &wire.SwitchRelay{Order: &wire.SwitchOrder{Group: "g", Fence: fence}, Chunk: chunk, Targets: targets}
	}
	var c targetCache
	is.Equal(len(c.resolve(relay(7, 3))), 0) // a process that has just started
	is.Equal(len(c.resolve(relay(7, 0, &wire.RelayTarget{Rank: 1}))), 1)
	is.Equal(len(c.resolve(relay(7, 0))), 0) // targets without a chunk number are not cached
	is.Equal(len(c.resolve(relay(7, 3, &wire.RelayTarget{Rank: 1}, &wire.RelayTarget{Rank: 2}))), 2)
	is.Equal(len(c.resolve(relay(7, 3))), 2)
	is.Equal(len(c.resolve(relay(7, 4))), 0) // another chunk
	is.Equal(len(c.resolve(relay(8, 3))), 0) // another coordinator
}

func TestRelayIsSentItsTargetsAgainAfterLosingThem(t *testing.T) {
	is := is.New(t)
	world := newAgents(t, largeGroup, testTiming)
	await(t, "first map in use", 20*time.Second, func() bool { least, _ := world.engines.versions(); return least > 0 })
	for _, a := range world.all[1:] {
		a.set.targets.resolve(&wire.SwitchRelay{
			Order: &wire.SwitchOrder{Group: "g", Fence: 1}, Chunk: 99, Targets: []*wire.RelayTarget{{}},
		})
	}
	world.engines.shift(largeGroup.Experts / 2)
	await(t, "even spread of the new demand", 20*time.Second, func() bool { return world.engines.skew() < 1.35 })
	is.Equal(world.engines.mixedSteps(), 0)
}
