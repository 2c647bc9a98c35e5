package subset

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// zoneOf is a zone of three large gateways and some small ones.
func zoneOf(small int) []Member {
	var out []Member
	for i := range 3 {
		out = append(out, Member{ID: fmt.Sprintf("large-%d", i), Cores: 0.8})
	}
	for i := range small {
		out = append(out, Member{ID: fmt.Sprintf("small-%02d", i), Cores: 0.4})
	}
	return out
}

// fleet decides for all members of a zone, each of which hears the others with the
// next step.
type fleet struct {
	members []Member
	roles   []Role
	down    map[string]bool
	now     time.Time
}

func newFleet(members []Member) *fleet {
	return &fleet{members: members, roles: make([]Role, len(members)), down: map[string]bool{}, now: time.Unix(1_700_000_000, 0)}
}

func (f *fleet) run(d time.Duration, requests float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		next := make([]bool, len(f.members))
		for i := range f.members {
			next[i] = !f.down[f.members[i].ID] && f.roles[i].Decide(f.members[i].ID, f.members, requests, f.now)
		}
		for i := range f.members {
			f.members[i].Active = next[i]
		}
	}
}

func (f *fleet) active() int {
	n := 0
	for _, m := range f.members {
		if m.Active {
			n++
		}
	}
	return n
}

func TestTheLargestCarryWhatIsUsual(t *testing.T) {
	is := is.New(t)
	f := newFleet(zoneOf(25))
	f.run(10*time.Second, 120)
	is.Equal(f.active(), 3)
	for _, m := range f.members {
		is.Equal(m.Active, m.Cores == 0.8)
	}
}

func TestASmallZoneCarriesWithAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(zoneOf(0)[:2])
	f.run(time.Second, 0)
	is.Equal(f.active(), 2)
}

func TestABurstWidensTheSubsetAndItsEndNarrowsIt(t *testing.T) {
	is := is.New(t)
	f := newFleet(zoneOf(25))
	f.run(10*time.Second, 120)
	f.run(time.Second, 600)
	is.Equal(f.active(), 12) // 2.4 and 9 x 0.4 cores
	f.run(2*time.Second, 120)
	is.Equal(f.active(), 12)
	f.run(4*time.Second, 120)
	is.Equal(f.active(), 3)
}

// Nobody tells that the large gateways have failed: they are still listed as members
// that take requests, and stand by as far as anybody hears.
func TestFailedGatewaysAreReplacedThoughStillListed(t *testing.T) {
	is := is.New(t)
	f := newFleet(zoneOf(25))
	f.run(10*time.Second, 120)
	for _, m := range f.members[:3] {
		f.down[m.ID] = true
	}
	f.run(3*time.Second, 120)
	is.True(f.active() >= 3)
	f.run(10*time.Second, 120)
	is.True(f.active() <= 6)
}
