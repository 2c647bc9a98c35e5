package limits

import (
	"testing"

	"github.com/matryer/is"

	"baywall.example/core/clock"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
)

// The monotonic clock of a VM stops while the VM is suspended. Without a correction, a VM that
// was suspended for longer than a lease lasts keeps using a share that its grantor has granted
// to others in the meantime.
func TestLeaseExpiresWhileSuspended(t *testing.T) {
	is := is.New(t)
	n := &network{limiters: map[vm.ID]*Limiter{}, grantors: [2]vm.ID{"a", "b"}, team: resource.Team{Concurrency: 80}}
	for _, id := range []vm.ID{"a", "b", "c", "d"} {
		n.limiters[id] = New(id, n)
	}
	holder := n.limiters["c"]
	admitted := func() int {
		var releases []func()
		for range 80 {
			release, refusal := holder.Admit(t.Context(), "t")
			if refusal == nil {
				releases = append(releases, release)
			}
		}
		for _, release := range releases {
			release()
		}
		return len(releases)
	}
	is.True(admitted() > Base(80, 4))
	clock.SimulateSuspension(LeaseTime)
	defer clock.SimulateSuspension(-LeaseTime)
	n.cut = true
	is.Equal(admitted(), Base(80, 4))
}
