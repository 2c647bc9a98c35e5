package group

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/agent/mapswitch"
	"baywall.example/core/expertmap"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/wire"
)

// orderLine is a log line about an order.
type orderLine struct {
	Message, Phase, Digest string
	Version, Base          uint64
	RankDigest             string `json:"rank_digest"`
}

func TestOrdersAreLoggedOnceWithDigestsOfTheirMap(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	world := &agents{engines: newRanks(smallGroup), group: &resource.Group{}}
	world.group.Ranks = append(world.group.Ranks, "a")
	s := NewSet(Environment{VM: "a", Incarnation: 1, Engine: world.engines.all[0], Directory: world, Recorder: timeline.NewRecorder("a", 10, zerolog.Nop()), Log: zerolog.New(&lines)})
	s.member.Recovered()
	var orders []*wire.SwitchOrder // read, whole map, changes, hold
	first, second := expertmap.RoundRobin(smallGroup), expertmap.RoundRobin(smallGroup)
	second.Layers[0][smallGroup.Slots-1] = 3
	first.Version, second.Version = mapswitch.NewVersion(5, first), mapswitch.NewVersion(6, second)
	for _, o := range []mapswitch.Order{{Phase: mapswitch.PhaseRead}, {Phase: mapswitch.PhasePrepare, Version: first.Version}, {Phase: mapswitch.PhasePrepare, Version: second.Version}, {Phase: mapswitch.PhaseHold, Version: second.Version}} {
		o.Fence, o.Step, o.Epoch, o.Incarnation = 9, 40, 1, 1
		w := orderToWire("g", "c", o)
		w.Shape = shapeToWire(smallGroup)
		orders = append(orders, w)
	}
	orders[1].PackedMap, orders[2].Changes = first.Pack(), changesBetween(first, second)
	for _, i := range []int{0, 1, 1, 2, 3, 3, 1} {
		s.Handle(t.Context(), orders[i])
	}
	line := func(message string, base uint64, m expertmap.Map) orderLine {
		return orderLine{message, "prepare", expertmap.FormatDigest(m.Digest(smallGroup.Slots)), m.Version, base, expertmap.FormatDigest(m.RankDigest(0, smallGroup.Slots))}
	}
	want := []orderLine{line("switch order accepted", 0, first), line("switch order accepted", first.Version, second), {Message: "switch order accepted", Phase: "hold", Version: second.Version}, line("switch order refused", 0, first)}
	for decoder := json.NewDecoder(&lines); decoder.More(); want = want[1:] {
		var got orderLine
		is.NoErr(decoder.Decode(&got))
		is.Equal(got, want[0])
	}
	is.Equal(len(want), 0)
}
