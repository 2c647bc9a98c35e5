package membership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// FuzzReceive feeds arbitrary datagrams to a table: it must not panic, and its peers must
// remain those of the list.
func FuzzReceive(f *testing.F) {
	for _, p := range []*wire.Probe{
		{Vm: "e001", Incarnation: 1, Sequence: 1},
		{Vm: "e001", Incarnation: 1, Ack: true, News: []*wire.News{{Vm: "e000", Incarnation: 9}}},
		{Vm: "stranger", News: []*wire.News{{Vm: "another"}}},
	} {
		raw, err := proto.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var p wire.Probe
		if proto.Unmarshal(raw, &p) != nil {
			return
		}
		c := newCluster(3, 1)
		table := c.tables["e000"]
		answer, _ := table.Receive(*c.selves["e000"], &p)
		if answer != nil && table.peers[vm.ID(p.GetVm())] == nil {
			t.Fatal("an unlisted VM got an answer")
		}
		if len(table.peers) != 2 {
			t.Fatal("a probe changed the list")
		}
		if table.Draining("e000") {
			t.Fatal("a probe from another VM made this VM drain")
		}
	})
}
