package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// cluster runs several tables in one goroutine, round by round.
type cluster struct {
	tables map[vm.ID]*Table
	selves map[vm.ID]*Self
	rnd    *rand.Rand
	now    time.Time
	cut    func(from, to vm.ID) bool
	sent   int
}

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{
		tables: map[vm.ID]*Table{}, selves: map[vm.ID]*Self{},
		rnd: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0),
		cut: func(vm.ID, vm.ID) bool { return false },
	}
	list := vm.List{Revision: 1}
	for i := range n {
		id := vm.ID(fmt.Sprintf("e%03d", i))
		list.VMs = append(list.VMs, vm.VM{ID: id, Role: vm.RoleEntry, Probe: string(id), State: vm.StateLive})
	}
	for _, v := range list.VMs {
		c.tables[v.ID] = NewTable(v.ID)
		c.tables[v.ID].SetList(list)
		c.selves[v.ID] = &Self{VM: v.ID, Incarnation: 1, ConfigRevision: 1}
	}
	return c
}

func (c *cluster) round() (changes []Change) {
	c.now = c.now.Add(Interval)
	for i := range len(c.tables) {
		id := vm.ID(fmt.Sprintf("e%03d", i))
		out, changed := c.tables[id].Tick(*c.selves[id], c.rnd, c.now)
		changes = append(changes, changed...)
		for _, d := range out {
			c.deliver(id, vm.ID(d.Address), d.Probe)
		}
	}
	return changes
}

func (c *cluster) deliver(from, to vm.ID, p *wire.Probe) {
	c.sent++
	if c.cut(from, to) {
		return
	}
	if answer, _ := c.tables[to].Receive(*c.selves[to], p); answer != nil {
		c.deliver(to, from, answer)
	}
}

func (c *cluster) suspectedBy(id vm.ID) int {
	n := 0
	for other, t := range c.tables {
		if other != id && t.Suspect(id) {
			n++
		}
	}
	return n
}

func TestUnresponsiveVMIsSuspectedUntilItAnswers(t *testing.T) {
	is := is.New(t)
	c := newCluster(8, 1)
	for range 10 {
		is.Equal(len(c.round()), 0)
	}
	c.cut = func(from, to vm.ID) bool { return from == "e003" || to == "e003" }
	for range 40 {
		c.round()
	}
	is.Equal(c.suspectedBy("e003"), 7)
	is.Equal(c.suspectedBy("e001"), 1) // by the VM that is cut off
	c.cut = func(vm.ID, vm.ID) bool { return false }
	for range 20 {
		c.round()
	}
	is.Equal(c.suspectedBy("e003"), 0)
}

func TestRevisionReachesEveryTableInFewRounds(t *testing.T) {
	for _, n := range []int{8, 64, 320} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(n, 2)
			for range 3 {
				c.round()
			}
			c.selves["e000"].ConfigRevision = 9
			rounds := 0
			for known := 0; known < n-1; rounds++ {
				is.True(rounds < 25)
				c.round()
				known = 0
				for id, table := range c.tables {
					if id != "e000" && table.Revision("e000") == 9 {
						known++
					}
				}
			}
			t.Logf("%d VMs: %d rounds", n, rounds)
		})
	}
}

// Once all VMs know all updates, probes carry none, whatever the size of the fleet.
func TestIdleFleetSendsNoUpdates(t *testing.T) {
	is := is.New(t)
	c := newCluster(40, 3)
	for range 60 {
		c.round()
	}
	out, _ := c.tables["e000"].Tick(*c.selves["e000"], c.rnd, c.now.Add(Interval))
	is.Equal(len(out), fanout)
	is.Equal(len(out[0].Probe.GetNews()), 0)
}

func TestUpdateOfEarlierIncarnationOrRevisionIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, 4)
	table := c.tables["e000"]
	is.True(table.Learn(&wire.News{Vm: "e001", Incarnation: 5, ConfigRevision: 7}))
	is.True(!table.Learn(&wire.News{Vm: "e001", Incarnation: 4, ConfigRevision: 9}))
	is.True(!table.Learn(&wire.News{Vm: "e001", Incarnation: 5, ConfigRevision: 6}))
	is.Equal(table.Revision("e001"), uint64(7))
	is.True(table.Learn(&wire.News{Vm: "e001", Incarnation: 5, ConfigRevision: 7, Draining: true}))
	is.True(!table.Learn(&wire.News{Vm: "e001", Incarnation: 5, ConfigRevision: 7}))
	is.True(table.Draining("e001"))
	is.True(table.Learn(&wire.News{Vm: "e001", Incarnation: 6, ConfigRevision: 1}))
	is.True(!table.Draining("e001"))
}

func TestProbeFromUnlistedVMIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, 5)
	answer, changes := c.tables["e000"].Receive(*c.selves["e000"], &wire.Probe{Vm: "stranger", Incarnation: 1})
	is.True(answer == nil)
	is.Equal(len(changes), 0)
	is.Equal(c.tables["e000"].Revision("stranger"), uint64(0))
}
