package group

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/expertmap"
	"baywall.example/core/wire"
)

// The bytes of a poll and of a switch on a coordinator's link, orders and answers
// together, for docs/design/large.md and docs/CAPACITY.md. "all" is for calls to every
// rank, with the counts of each; "now" is with relays and the budget.
func TestBytesOfAPollAndASwitch(t *testing.T) {
	cases := []struct {
		shape expertmap.Shape
		mbps  float64
	}{
		{expertmap.Shape{Ranks: 8, Slots: 11, Layers: 6, Experts: 64}, 20},
		{expertmap.Shape{Ranks: 24, Slots: 5, Layers: 16, Experts: 96}, 8},
		{expertmap.Shape{Ranks: 96, Slots: 3, Layers: 16, Experts: 192}, 6},
		{expertmap.Shape{Ranks: 128, Slots: 3, Layers: 58, Experts: 256}, 100},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d ranks", c.shape.Ranks), func(t *testing.T) {
			is := is.New(t)
			s := c.shape
			state, call := stateSizes(s)
			counts := proto.Size(&wire.SwitchRelayReply{Counts: encodeCounts(drawnCounts(s))})
			others := s.Ranks - 1
			budget := newBudget(c.mbps*1e6/8, s.Ranks, s.Layers, s.Experts)
			reporting := budget.chunks(max(budget.minInterval(0), 60e6), len(chunks(s.Ranks, 0)))
			calls := len(chunks(s.Ranks, 0))
			all, now := others*(state+call+counts), others*state+calls*call+reporting*counts
			initial, err := expertmap.Initial(s)
			is.NoErr(err)
			whole := proto.Size(&wire.SwitchOrder{Map: initial.Wire()})
			t.Logf("call %d B, state of a rank %d B, counts %d B; poll: all %d B, now %d B (%d chunks report counts); first map: all %d B, now %d B",
				call, state, counts, all, now, reporting, others*whole, calls*len(initial.Pack()))
			is.True(state <= stateBytes)
			is.True(call <= callBytes)
			is.True(now <= all)
		})
	}
}

// stateSizes returns the size of one rank's answer in a poll without counts, and the size
// of the order to a chunk once its relay knows the targets.
func stateSizes(s expertmap.Shape) (state, call int) {
	reply := &wire.RankReply{Rank: uint32(s.Ranks), Reply: &wire.SwitchReply{
		Ok: true, Step: 100_000, Active: 1 << 50, Epoch: 5, Running: 6,
	}}
	relay := &wire.SwitchRelay{Chunk: 16, Order: &wire.SwitchOrder{
		Group: "group", Fence: 1 << 60, Phase: wire.SwitchPhase_SWITCH_COUNTS, Coordinator: "side-availability-zone-12",
		Shape: shapeToWire(s), Counts: true, Mark: true,
	}}
	return proto.Size(&wire.SwitchRelayReply{Replies: []*wire.RankReply{reply}}), proto.Size(relay)
}

func drawnCounts(s expertmap.Shape) [][]int64 {
	out := make([][]int64, s.Layers)
	for l := range out {
		out[l] = make([]int64, s.Experts)
		for e := range out[l] {
			out[l][e] = int64(40 * (e + 1))
		}
	}
	return out
}
