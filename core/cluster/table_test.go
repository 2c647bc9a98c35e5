package cluster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// fleet is a set of tables connected by a network that loses no datagrams except those of
// cut members.
type fleet struct {
	tables map[string]*Table
	selves map[string]Self
	cut    map[string]bool
	rnd    *rand.Rand
	now    time.Time
}

func newFleet(seeds []string, addresses ...string) *fleet {
	f := &fleet{
		tables: make(map[string]*Table), selves: make(map[string]Self), cut: make(map[string]bool),
		rnd: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_700_000_000, 0),
	}
	for _, a := range addresses {
		f.tables[a] = NewTable(a, seeds, DefaultPerPeer)
		f.tables[a].EnableMonitoring()
		f.selves[a] = Self{
			VM: vm.ID(a), Incarnation: 1, Address: a, Front: "front-" + a, Ready: true, Activity: Activity{Active: true},
		}
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for a, t := range f.tables {
			out, _ := t.Tick(f.selves[a], f.rnd, f.now)
			f.deliver(a, out)
		}
	}
}

func (f *fleet) deliver(from string, out []Datagram) {
	for _, d := range out {
		if to := f.tables[d.Address]; to != nil && !f.cut[from] && !f.cut[d.Address] {
			to.Receive(proto.Clone(d.Heartbeat).(*wire.Heartbeat), f.now)
		}
	}
}

func TestOneSeedIsEnoughToDiscoverFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet([]string{"a"}, "a", "b", "c", "d", "e")
	f.run(3 * time.Second)
	for _, table := range f.tables {
		is.Equal(len(table.Live()), 4)
	}
}

func TestSilentPeerIsLostAndRegained(t *testing.T) {
	is := is.New(t)
	f := newFleet([]string{"a"}, "a", "b", "c")
	f.run(2 * time.Second)
	f.cut["c"] = true
	f.run(1500 * time.Millisecond)
	is.Equal(len(f.tables["a"].Live()), 1)
	is.Equal(len(f.tables["c"].Live()), 0)
	f.cut["c"] = false
	f.run(1500 * time.Millisecond)
	is.Equal(len(f.tables["a"].Live()), 2)
	is.Equal(len(f.tables["c"].Live()), 2)
}

func TestInFlightCountsAreThoseOfLivePeers(t *testing.T) {
	is := is.New(t)
	f := newFleet([]string{"a"}, "a", "b", "c")
	for _, a := range []string{"b", "c"} {
		self := f.selves[a]
		self.Load = map[uint32]Load{7: {Requests: 3}}
		f.selves[a] = self
	}
	f.run(2 * time.Second)
	is.Equal(f.tables["a"].Load(7, f.now).Requests, 6)
	f.cut["c"] = true
	f.run(1500 * time.Millisecond)
	is.Equal(f.tables["a"].Load(7, f.now).Requests, 3)
}

func TestReorderedHeartbeatsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	table := NewTable("a", nil, DefaultPerPeer)
	hb := func(incarnation, sequence uint64, ready bool) *wire.Heartbeat {
		return &wire.Heartbeat{Vm: "b", Address: "b", Incarnation: incarnation, Sequence: sequence, Ready: ready}
	}
	table.Receive(hb(2, 5, false), now)
	table.Receive(hb(2, 4, true), now)
	is.Equal(table.Live()[0].Ready, false)
	table.Receive(hb(1, 9, true), now) // from the previous process
	is.Equal(table.Live()[0].Incarnation, vm.Incarnation(2))
	table.Receive(hb(3, 1, true), now)
	is.Equal(table.Live()[0].Ready, true)
}

// If the clock jumped back, a new process has a smaller incarnation.
func TestSmallerIncarnationIsAcceptedOnceOldOneIsSilent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	table := NewTable("a", nil, DefaultPerPeer)
	table.Receive(&wire.Heartbeat{Vm: "b", Address: "b", Incarnation: 9, Sequence: 5}, now)
	table.Receive(&wire.Heartbeat{Vm: "b", Address: "b", Incarnation: 3, Sequence: 1, Ready: true}, now.Add(2*silenceTimeout))
	is.Equal(table.Live()[0].Ready, true)
}

// Addresses of other members are useful only while members discover each other, and make
// up a fifth of a heartbeat.
func TestContactsAreRareOnceAllMembersAreKnown(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_700_000_000, 0)
	table := NewTable("10.0.0.1:1", nil, 0)
	table.Receive(&wire.Heartbeat{Address: "10.0.0.2:1", Incarnation: 1, Sequence: 1}, now)
	with := func(at time.Time) int {
		n := 0
		for range 10 * contactsEvery {
			if len(table.heartbeat(Self{}, rnd, at).GetContacts()) > 0 {
				n++
			}
		}
		return n
	}
	is.Equal(with(now), 10*contactsEvery)
	is.Equal(with(now.Add(discoveryTime)), 10)
}
