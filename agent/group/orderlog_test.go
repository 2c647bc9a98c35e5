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
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// orderLine holds the fields of a log line about an order that the test checks.
type orderLine struct {
	Message, Phase string
	Version, Base  uint64
	Digest         string
	RankDigest     string `json:"rank_digest"`
}

func TestOrdersAreLoggedOnceWithDigestsOfTheirMap(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	world := &agents{engines: newRanks(smallGroup), group: &resource.Group{Ranks: []vm.ID{"a"}}}
	s := NewSet(Environment{
		VM: "a", Incarnation: 1, Engine: world.engines.all[0], Directory: world,
		Recorder: timeline.NewRecorder("a", 10, zerolog.Nop()), Log: zerolog.New(&lines),
	})
	s.member.Recovered()
	first, second := expertmap.RoundRobin(smallGroup), expertmap.RoundRobin(smallGroup)
	first.Version, second.Version = 5, 6
	second.Layers[0][smallGroup.Slots-1] = 3
	order := func(phase mapswitch.Phase, version uint64) *wire.SwitchOrder {
		w := orderToWire("g", "c", mapswitch.Order{Phase: phase, Fence: 9, Version: version, Step: 40, Epoch: 1, Incarnation: 1})
		w.Shape = shapeToWire(smallGroup)
		return w
	}
	read, hold, whole, changes := order(mapswitch.PhaseRead, 0), order(mapswitch.PhaseHold, 6), order(mapswitch.PhasePrepare, 5), order(mapswitch.PhasePrepare, 6)
	whole.PackedMap, changes.Changes = first.Pack(), changesBetween(first, second)
	for _, w := range []*wire.SwitchOrder{read, whole, whole, changes, hold, hold, whole} {
		s.Handle(t.Context(), w)
	}
	line := func(message string, base uint64, m expertmap.Map) orderLine {
		return orderLine{message, "prepare", m.Version, base, expertmap.FormatDigest(m.Digest(smallGroup.Slots)), expertmap.FormatDigest(m.RankDigest(0, smallGroup.Slots))}
	}
	want := []orderLine{
		line("switch order accepted", 0, first), line("switch order accepted", 5, second),
		{Message: "switch order accepted", Phase: "hold", Version: 6},
		line("switch order refused", 0, first),
	}
	for decoder := json.NewDecoder(&lines); decoder.More(); want = want[1:] {
		var got orderLine
		is.NoErr(decoder.Decode(&got))
		is.Equal(got, want[0])
	}
	is.Equal(len(want), 0)
}
