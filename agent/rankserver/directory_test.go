package rankserver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/cluster"
	"baywall.example/core/vm"
)

func peer(id string, epoch uint64, rank int) cluster.Peer {
	return cluster.Peer{VM: vm.ID(id), Address: id, Rank: &cluster.RankLabel{Group: "g", Epoch: epoch, Rank: rank, Size: 3}}
}

func TestGroupIsCompleteWithAllRanksOfOneEpoch(t *testing.T) {
	is := is.New(t)
	var live []cluster.Peer
	d := &directory{live: func() []cluster.Peer { return live }, self: vm.VM{ID: "a"}}
	is.Equal(len(d.Groups()), 0) // the local rank is not known
	d.setLabel(&cluster.RankLabel{Group: "g", Epoch: 2, Rank: 1, Size: 3})
	d.setEngine(Engine{Layers: 6, Experts: 64, SlotsPerRank: 11, ExpertBytes: 1.7e9, LinkBytesPerSec: 11.5e9})
	live = []cluster.Peer{peer("b", 2, 0), peer("c", 1, 2)}
	is.Equal(len(d.Groups()), 0) // one rank is of an earlier epoch
	live = []cluster.Peer{peer("b", 2, 0), peer("c", 2, 2)}
	d.assembledAt = time.Time{} // make the next call assemble the group
	group := d.Groups()["g"]
	is.Equal(group.Ranks, []vm.ID{"b", "a", "c"})
	is.True(d.Groups()["g"] == group) // the same pointer while nothing changes
	d.setLabel(&cluster.RankLabel{Group: "g", Epoch: 3, Rank: 1, Size: 3})
	live = []cluster.Peer{peer("b", 3, 0), peer("c", 3, 2)}
	is.True(d.Groups()["g"] != group)
}

func TestMoveCostDependsOnGroupSize(t *testing.T) {
	is := is.New(t)
	d := &directory{settings: Settings{Planner: PlannerSettings{MoveCost: 0.1}}}
	d.setLabel(&cluster.RankLabel{Size: 8})
	d.setEngine(Engine{Layers: 4, ExpertBytes: 2e9})
	is.Equal(d.moveCost(), 0.1*2*4/8)
}
