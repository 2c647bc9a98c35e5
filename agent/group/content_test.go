package group

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/agent/mapswitch"
	"baywall.example/core/expertmap"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

var twoRanks = expertmap.Shape{Ranks: 2, Slots: 2, Layers: 1, Experts: 3}

// newIdleSet returns the groups of an agent that runs nothing.
func newIdleSet(shape expertmap.Shape, id vm.ID) *Set {
	spec := &resource.Group{Ranks: []vm.ID{"a", "b"}, Layers: shape.Layers, Experts: shape.Experts, SlotsPerRank: shape.Slots}
	s := NewSet(Environment{
		VM: id, Incarnation: 1, Engine: newRanks(shape).all[0], Directory: &agents{group: spec},
		Recorder: timeline.NewRecorder(id, 10, zerolog.Nop()), Log: zerolog.Nop(),
	})
	s.member.Recovered()
	return s
}

// expertsByRank returns the sorted experts of each rank in the first layer.
func expertsByRank(m expertmap.Map, slots int) (out [][]int32) {
	for row := range slices.Chunk(m.Layers[0], slots) {
		experts := slices.DeleteFunc(slices.Clone(row), func(e int32) bool { return e == expertmap.Empty })
		slices.Sort(experts)
		out = append(out, experts)
	}
	return out
}

func wholeMap(fence, version uint64, layer ...int32) *wire.SwitchOrder {
	return &wire.SwitchOrder{
		Group: "g", Fence: fence, Phase: wire.SwitchPhase_SWITCH_PREPARE, Epoch: 1, Incarnation: 1,
		Map: &wire.ExpertMap{Version: version}, PackedMap: expertmap.Map{Layers: [][]int32{layer}}.Pack(),
	}
}

// A new coordinator assembles the map in use from the experts that the ranks report, which may
// fill other slots than in the map that the agents received.
func TestChangesToAReorderedMapGiveTheOrderedMap(t *testing.T) {
	cases := []struct {
		name     string
		received []int32   // slots of the map in use, as the agents received it
		reported [][]int32 // the experts that each rank reports
	}{
		{"experts in another order", []int32{0, 1, 2, 0}, [][]int32{{1, 0}, {2, 0}}},
		{"an empty slot before an expert", []int32{0, 1, expertmap.Empty, 2}, [][]int32{{0, 1}, {2}}},
		{"the same slots", []int32{0, 1, 2, 0}, [][]int32{{0, 1}, {2, 0}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := &leadership{set: newIdleSet(twoRanks, "c"), name: "g", spec: *newIdleSet(twoRanks, "c").env.Directory.Groups()["g"], coord: mapswitch.NewCoordinator(2, 1, mapswitch.Timing{}, time.Now())}
			poll := pollResult{active: 5, request: pollRequest{placement: true}}
			for _, experts := range c.reported {
				poll.parts = append(poll.parts, expertmap.Map{Version: 5, Layers: [][]int32{experts}}.Wire())
			}
			current, known := l.currentMap(&poll)
			is.True(known)
			target := current.Clone()
			target.Layers[0][0], target.Layers[0][2] = current.Layers[0][2], current.Layers[0][0]
			var withMap, restarted mapCache
			inUse, _ := withMap.resolve(wholeMap(1, 5, c.received...))
			withMap.store("g", inUse)
			l.maps.setBase(0, withMap.version("g"))
			for rank, agent := range []*mapCache{&withMap, &restarted} {
				order := mapswitch.Order{Phase: mapswitch.PhasePrepare, Version: mapswitch.NewVersion(6, target), Map: target}
				got, ok := agent.resolve(l.encode(mapswitch.Outgoing{Rank: rank, Order: order}))
				is.True(ok || rank == 0 && c.name != "the same slots") // refused changes are sent again as the whole map
				if ok {
					is.Equal(expertsByRank(got, twoRanks.Slots), expertsByRank(target, twoRanks.Slots))
				}
			}
		})
	}
}

// An order of a superseded coordinator is refused, so its map must not become the one that later
// changes refer to.
func TestChangesDoNotReferToTheMapOfARefusedOrder(t *testing.T) {
	is := is.New(t)
	s := newIdleSet(twoRanks, "a")
	is.True(s.Handle(t.Context(), &wire.SwitchOrder{Group: "g", Fence: 2, Phase: wire.SwitchPhase_SWITCH_READ}).GetOk())
	is.True(s.Handle(t.Context(), wholeMap(2, 5, 0, 1, 2, 0)).GetOk())
	is.True(s.Handle(t.Context(), wholeMap(1, 5, 1, 2, 0, 1)).GetSuperseded())
	is.Equal(s.maps.last["g"].Layers, [][]int32{{0, 1, 2, 0}})
}

// An address may come to belong to a rank of another group, whose epoch may be the same.
func TestAnOrderToAnotherGroupIsRefused(t *testing.T) {
	is := is.New(t)
	s := newIdleSet(twoRanks, "a")
	is.True(s.Handle(t.Context(), &wire.SwitchOrder{Group: "g", Fence: 1, Phase: wire.SwitchPhase_SWITCH_READ}).GetOk())
	order := wholeMap(1, 5, 0, 1, 2, 0)
	order.Group = "another"
	is.True(!s.Handle(t.Context(), order).GetOk())
}

// shapeRecorder records the shapes that it is taught.
type shapeRecorder struct {
	*agents
	learned []expertmap.Shape
}

func (r *shapeRecorder) LearnShape(s expertmap.Shape) { r.learned = append(r.learned, s) }

// The shape decides how an accepted map is divided among the ranks.
func TestAnOrderOfASupersededCoordinatorTeachesNoShape(t *testing.T) {
	is := is.New(t)
	s := newIdleSet(twoRanks, "a")
	r := &shapeRecorder{agents: s.env.Directory.(*agents)}
	s.env.Directory = r
	s.Handle(t.Context(), &wire.SwitchOrder{Group: "g", Fence: 2, Phase: wire.SwitchPhase_SWITCH_READ})
	s.Handle(t.Context(), &wire.SwitchOrder{Group: "g", Fence: 1, Phase: wire.SwitchPhase_SWITCH_RELEASE, Shape: &wire.EngineShape{Layers: 9, Experts: 9, Slots: 9}})
	is.Equal(len(r.learned), 0)
}
