package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

const (
	// fanout is the number of VMs that are probed in each interval.
	fanout = 3
	// suspectAfter is the number of unanswered probes after which a VM is suspect.
	suspectAfter = 3
	// answerTime is how long an answer may take.
	answerTime = 300 * time.Millisecond
	// updatesPerProbe bounds the updates in one datagram.
	updatesPerProbe = 24
	// spreadFactor times log2 of the fleet's size is the number of times that an update is
	// forwarded.
	spreadFactor = 1
)

// Self is the state that this process reports about itself.
type Self struct {
	VM             vm.ID
	Incarnation    vm.Incarnation
	ConfigRevision uint64
	ConfigDigest   uint64
	VMsRevision    uint64
	Draining       bool
	// Suspects is the report on requests that may bring down backend servers.
	Suspects []*wire.Suspect
}

// Table is the state of the membership protocol. It is not safe for concurrent use.
type Table struct {
	self     vm.ID
	sequence uint64
	peers    map[vm.ID]*peer
	reports  map[vm.ID]*vmReport
}

// peer is another entry VM on the list.
type peer struct {
	vm      vm.VM
	pending time.Time // when the oldest unanswered probe was sent
	missed  int
	suspect bool
}

// vmReport is the last report of a VM about itself.
type vmReport struct {
	report wire.News
	sent   int // how often it was forwarded
}

// Change is a change in whether a VM is suspect.
type Change struct {
	VM      vm.ID
	Suspect bool // false if the VM answers again
}

// Datagram is a probe to send.
type Datagram struct {
	Address string
	Probe   *wire.Probe
}

// NewTable returns an empty table.
func NewTable(self vm.ID) *Table {
	return &Table{self: self, peers: make(map[vm.ID]*peer), reports: make(map[vm.ID]*vmReport)}
}

// SetList applies the platform's list.
func (t *Table) SetList(list vm.List) {
	listed := make(map[vm.ID]struct{}, len(list.VMs))
	for _, v := range list.VMs {
		listed[v.ID] = struct{}{}
		if v.Role != vm.RoleEntry || v.ID == t.self {
			continue
		}
		if p := t.peers[v.ID]; p != nil {
			p.vm = v
			continue
		}
		t.peers[v.ID] = &peer{vm: v}
	}
	for id := range t.peers {
		if _, ok := listed[id]; !ok {
			delete(t.peers, id)
		}
	}
	for id := range t.reports {
		if _, ok := listed[id]; !ok {
			delete(t.reports, id)
		}
	}
}

// Tick counts unanswered probes, and returns the probes of a new interval and the VMs that
// have become suspect.
func (t *Table) Tick(self Self, rnd *rand.Rand, now time.Time) ([]Datagram, []Change) {
	var changes []Change
	for _, p := range t.peers {
		if p.pending.IsZero() || now.Sub(p.pending) < answerTime {
			continue
		}
		p.pending = time.Time{}
		p.missed++
		if p.missed >= suspectAfter && !p.suspect {
			p.suspect = true
			changes = append(changes, Change{VM: p.vm.ID, Suspect: true})
		}
	}
	var out []Datagram
	for _, p := range t.choose(rnd) {
		if p.pending.IsZero() {
			p.pending = now
		}
		out = append(out, Datagram{Address: p.vm.Probe, Probe: t.probe(self, false, 0)})
	}
	return out, changes
}

// Gossip returns probes to random peers, which are sent immediately after a change. Missing
// answers to them do not count.
func (t *Table) Gossip(self Self, rnd *rand.Rand) []Datagram {
	var out []Datagram
	for _, p := range t.choose(rnd) {
		out = append(out, Datagram{Address: p.vm.Probe, Probe: t.probe(self, false, 0)})
	}
	return out
}

// choose returns up to fanout random peers.
func (t *Table) choose(rnd *rand.Rand) []*peer {
	all := make([]*peer, 0, len(t.peers))
	for _, p := range t.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *peer) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
	rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(fanout, len(all))]
}

// probe returns a new probe, or with ack the answer to the probe with the given sequence
// number.
func (t *Table) probe(self Self, ack bool, sequence uint64) *wire.Probe {
	if !ack {
		t.sequence++
		sequence = t.sequence
	}
	return &wire.Probe{
		Vm: string(self.VM), Incarnation: uint64(self.Incarnation), Sequence: sequence, Ack: ack,
		ConfigRevision: self.ConfigRevision, ConfigDigest: self.ConfigDigest, VmsRevision: self.VMsRevision,
		Draining: self.Draining, News: t.pickUpdates(), Suspects: self.Suspects,
	}
}

// pickUpdates returns the updates that are still being forwarded, the least often sent ones
// first, and counts them as sent.
func (t *Table) pickUpdates() []*wire.News {
	limit := spreadFactor * (1 + bits.Len(uint(len(t.reports))))
	var fresh []*vmReport
	for _, f := range t.reports {
		if f.sent < limit {
			fresh = append(fresh, f)
		}
	}
	slices.SortFunc(fresh, func(a, b *vmReport) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.report.GetVm(), b.report.GetVm()))
	})
	var out []*wire.News
	for _, f := range fresh[:min(updatesPerProbe, len(fresh))] {
		f.sent++
		out = append(out, &wire.News{
			Vm: f.report.GetVm(), Incarnation: f.report.GetIncarnation(), Sequence: f.report.GetSequence(),
			ConfigRevision: f.report.GetConfigRevision(), Draining: f.report.GetDraining(),
		})
	}
	return out
}

// Receive applies a probe from another VM and returns the answer to send, or nil. A probe
// from a VM that is not on the list is ignored.
func (t *Table) Receive(self Self, p *wire.Probe) (*wire.Probe, []Change) {
	id := vm.ID(p.GetVm())
	from := t.peers[id]
	if from == nil {
		return nil, nil
	}
	var changes []Change
	if from.suspect {
		changes = append(changes, Change{VM: id})
	}
	from.suspect, from.missed, from.pending = false, 0, time.Time{}
	t.Learn(&wire.News{
		Vm: p.GetVm(), Incarnation: p.GetIncarnation(), Sequence: p.GetSequence(),
		ConfigRevision: p.GetConfigRevision(), Draining: p.GetDraining(),
	})
	for _, n := range p.GetNews() {
		if n.GetVm() != string(t.self) {
			t.Learn(n)
		}
	}
	if p.GetAck() {
		return nil, changes
	}
	return t.probe(self, true, p.GetSequence()), changes
}

// Learn applies the report of a VM about itself, received directly or through others. It
// returns whether the report contains a change that has to be forwarded.
func (t *Table) Learn(n *wire.News) bool {
	id := vm.ID(n.GetVm())
	f := t.reports[id]
	if f == nil {
		f = &vmReport{}
		t.reports[id] = f
	}
	old := &f.report
	older := n.GetIncarnation() < old.GetIncarnation() ||
		n.GetIncarnation() == old.GetIncarnation() && n.GetConfigRevision() < old.GetConfigRevision()
	if older {
		return false
	}
	same := n.GetIncarnation() == old.GetIncarnation() && n.GetConfigRevision() == old.GetConfigRevision() &&
		(n.GetDraining() == old.GetDraining() || old.GetDraining())
	if same {
		return false
	}
	draining := n.GetDraining() || old.GetDraining() && n.GetIncarnation() == old.GetIncarnation()
	f.report.Vm, f.report.Incarnation, f.report.Sequence = n.GetVm(), n.GetIncarnation(), n.GetSequence()
	f.report.ConfigRevision, f.report.Draining = n.GetConfigRevision(), draining
	f.sent = 0
	return true
}

// Address returns the probe address of another entry VM, and false if it is not on the list.
func (t *Table) Address(id vm.ID) (string, bool) {
	p := t.peers[id]
	if p == nil {
		return "", false
	}
	return p.vm.Probe, true
}

// Suspect reports whether an entry VM is suspect. This VM itself never is.
func (t *Table) Suspect(id vm.ID) bool {
	p := t.peers[id]
	return p != nil && p.suspect
}

// Draining reports whether a VM has reported that it is draining.
func (t *Table) Draining(id vm.ID) bool {
	f := t.reports[id]
	return f != nil && f.report.GetDraining()
}

// Revision returns the configuration revision that a VM last reported.
func (t *Table) Revision(id vm.ID) uint64 {
	f := t.reports[id]
	if f == nil {
		return 0
	}
	return f.report.GetConfigRevision()
}
