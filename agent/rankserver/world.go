package rankserver

import (
	"slices"
	"sync"
	"time"

	"baywall.example/agent/rank"
	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/core/expertmap"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
)

// Engine describes the model engines of a service, as configured.
type Engine struct {
	Layers, Experts, SlotsPerRank int
	MaxNewExperts                 int     // per layer in one preparation
	ExpertBytes                   float64 // of one expert's weights
	LinkBytesPerSec               float64 // at which a rank copies experts
}

// world assembles the group of this rank from the labels that the agents of its ranks
// announce. It implements group.World.
type world struct {
	settings Settings
	live     func() []cluster.Peer

	mu            sync.Mutex
	self          vm.VM
	label         *cluster.RankLabel // of this rank, nil = unknown or in no formed group
	engine        Engine             // from the configuration
	reportedShape expertmap.Shape    // of the engines, as reported by a coordinator
	group         *resource.Group    // as last returned
	epoch         uint64
	assembledAt   time.Time // when group was last assembled
}

func (w *world) setLabel(label *cluster.RankLabel) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if label == nil || w.label == nil || *label != *w.label {
		w.assembledAt = time.Time{}
	}
	w.label = label
}

func (w *world) getLabel() *cluster.RankLabel {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.label
}

func (w *world) setEngine(e Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engine = e
}

func (w *world) shape() rank.Shape {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.engine.Experts == 0 {
		return rank.Shape{Layers: w.reportedShape.Layers, Experts: w.reportedShape.Experts, Slots: w.reportedShape.Slots}
	}
	return rank.Shape{Layers: w.engine.Layers, Experts: w.engine.Experts, Slots: w.engine.SlotsPerRank}
}

// LearnShape stores the shape of the group's engines that its coordinator reports, so that a
// rank that does not coordinate need not read the configuration.
func (w *world) LearnShape(shape expertmap.Shape) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportedShape = shape
}

// assembleInterval is how long an assembled group is returned before it is assembled again,
// which takes 0.1 ms with 192 agents.
const assembleInterval = 60 * time.Millisecond

// Groups returns the group of this rank while the agents of all its ranks are live.
func (w *world) Groups() map[string]*resource.Group {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.label == nil || w.engine.Experts == 0 {
		return nil
	}
	if now := clock.Now(); now.Sub(w.assembledAt) >= assembleInterval {
		w.assembledAt = now
		w.assemble()
	}
	if w.group == nil {
		return nil
	}
	return map[string]*resource.Group{w.label.Group: w.group}
}

// assemble updates the group from the labels of the live agents. The group is nil if a rank
// is missing.
func (w *world) assemble() {
	ranks, ok := w.ranks(w.live())
	if !ok {
		w.group = nil
		return
	}
	if w.group == nil || w.epoch != w.label.Epoch || !slices.Equal(w.group.Ranks, ranks) {
		w.group, w.epoch = w.describe(ranks), w.label.Epoch
	}
}

// ranks returns the VMs of the group's ranks in rank order, and false if one is missing.
func (w *world) ranks(live []cluster.Peer) ([]vm.ID, bool) {
	out := make([]vm.ID, w.label.Size)
	put := func(id vm.ID, l *cluster.RankLabel) {
		if l != nil && l.Group == w.label.Group && l.Epoch == w.label.Epoch && l.Rank < len(out) {
			out[l.Rank] = id
		}
	}
	put(w.self.ID, w.label)
	for _, p := range live {
		put(p.VM, p.Rank)
	}
	return out, !slices.Contains(out, "")
}

func (w *world) describe(ranks []vm.ID) *resource.Group {
	g := &resource.Group{
		Service: w.settings.Service, Ranks: ranks, Layers: w.engine.Layers, Experts: w.engine.Experts,
		SlotsPerRank: w.engine.SlotsPerRank, ExpertBytes: int64(w.engine.ExpertBytes), MaxNewExperts: w.engine.MaxNewExperts,
	}
	if w.engine.ExpertBytes > 0 && w.engine.LinkBytesPerSec > 0 {
		perExpert := w.engine.ExpertBytes / w.engine.LinkBytesPerSec
		g.MaxNewTotal = max(1, int(w.settings.Planner.CopyTime.Seconds()/perExpert))
	}
	return g
}

// Intent returns the planning parameters from this agent's settings.
func (w *world) Intent(service string) resource.Intent {
	i := resource.Intent{Service: service}
	i.Provision()
	i.MoveCost = w.moveCost()
	i.PeriodMS = resource.Millis(w.settings.Planner.Period / time.Millisecond)
	return i
}

// moveCost returns the reduction of one layer's skew that the move of one expert must bring.
// It falls with the size of the group, whose ranks share the copies, and grows with the
// number of layers, over which the skew is averaged.
func (w *world) moveCost() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.label == nil || w.label.Size == 0 {
		return w.settings.Planner.MoveCost
	}
	gigabytes := w.engine.ExpertBytes / 1e9
	return w.settings.Planner.MoveCost * gigabytes * float64(w.engine.Layers) / float64(w.label.Size)
}

// Find returns the VM of a rank, without an address if its agent is not live.
func (w *world) Find(id vm.ID) vm.VM {
	for _, p := range w.live() {
		if p.VM == id {
			return vm.VM{ID: id, Link: p.Address, Role: vm.RoleBackend}
		}
	}
	return vm.VM{ID: id}
}
