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

// directory assembles the group of this rank from the labels that the agents of its ranks
// announce. It implements group.Directory.
type directory struct {
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

func (d *directory) setLabel(label *cluster.RankLabel) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if label == nil || d.label == nil || *label != *d.label {
		d.assembledAt = time.Time{}
	}
	d.label = label
}

func (d *directory) getLabel() *cluster.RankLabel {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.label
}

func (d *directory) setEngine(e Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine = e
}

func (d *directory) shape() rank.Shape {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.engine.Experts == 0 {
		return rank.Shape{Layers: d.reportedShape.Layers, Experts: d.reportedShape.Experts, Slots: d.reportedShape.Slots}
	}
	return rank.Shape{Layers: d.engine.Layers, Experts: d.engine.Experts, Slots: d.engine.SlotsPerRank}
}

// LearnShape stores the shape of the group's engines that its coordinator reports, so that a
// rank that does not coordinate need not read the configuration.
func (d *directory) LearnShape(shape expertmap.Shape) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportedShape = shape
}

// assembleInterval is how long an assembled group is returned before it is assembled again,
// which takes 0.1 ms with 192 agents.
const assembleInterval = 60 * time.Millisecond

// Groups returns the group of this rank while the agents of all its ranks are live.
func (d *directory) Groups() map[string]*resource.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.label == nil || d.engine.Experts == 0 {
		return nil
	}
	if now := clock.Now(); now.Sub(d.assembledAt) >= assembleInterval {
		d.assembledAt = now
		d.assemble()
	}
	if d.group == nil {
		return nil
	}
	return map[string]*resource.Group{d.label.Group: d.group}
}

// assemble updates the group from the labels of the live agents. The group is nil if a rank
// is missing.
func (d *directory) assemble() {
	ranks, ok := d.ranks(d.live())
	if !ok {
		d.group = nil
		return
	}
	if d.group == nil || d.epoch != d.label.Epoch || !slices.Equal(d.group.Ranks, ranks) {
		d.group, d.epoch = d.describe(ranks), d.label.Epoch
	}
}

// ranks returns the VMs of the group's ranks in rank order, and false if one is missing.
func (d *directory) ranks(live []cluster.Peer) ([]vm.ID, bool) {
	out := make([]vm.ID, d.label.Size)
	put := func(id vm.ID, l *cluster.RankLabel) {
		if l != nil && l.Group == d.label.Group && l.Epoch == d.label.Epoch && l.Rank < len(out) {
			out[l.Rank] = id
		}
	}
	put(d.self.ID, d.label)
	for _, p := range live {
		put(p.VM, p.Rank)
	}
	return out, !slices.Contains(out, "")
}

func (d *directory) describe(ranks []vm.ID) *resource.Group {
	g := &resource.Group{
		Service: d.settings.Service, Ranks: ranks, Layers: d.engine.Layers, Experts: d.engine.Experts,
		SlotsPerRank: d.engine.SlotsPerRank, ExpertBytes: int64(d.engine.ExpertBytes), MaxNewExperts: d.engine.MaxNewExperts,
	}
	if d.engine.ExpertBytes > 0 && d.engine.LinkBytesPerSec > 0 {
		perExpert := d.engine.ExpertBytes / d.engine.LinkBytesPerSec
		g.MaxNewTotal = max(1, int(d.settings.Planner.CopyTime.Seconds()/perExpert))
	}
	return g
}

// Intent returns the planning parameters from this agent's settings.
func (d *directory) Intent(service string) resource.Intent {
	i := resource.Intent{Service: service}
	i.Provision()
	i.MoveCost = d.moveCost()
	i.PeriodMS = resource.Millis(d.settings.Planner.Period / time.Millisecond)
	return i
}

// moveCost returns the reduction of one layer's skew that the move of one expert must bring.
// It falls with the size of the group, whose ranks share the copies, and grows with the
// number of layers, over which the skew is averaged.
func (d *directory) moveCost() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.label == nil || d.label.Size == 0 {
		return d.settings.Planner.MoveCost
	}
	gigabytes := d.engine.ExpertBytes / 1e9
	return d.settings.Planner.MoveCost * gigabytes * float64(d.engine.Layers) / float64(d.label.Size)
}

// Find returns the VM of a rank, without an address if its agent is not live.
func (d *directory) Find(id vm.ID) vm.VM {
	for _, p := range d.live() {
		if p.VM == id {
			return vm.VM{ID: id, Link: p.Address, Role: vm.RoleBackend}
		}
	}
	return vm.VM{ID: id}
}
