package subset

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// zoneOf returns a zone of three large gateways and the given number of small ones.
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

// fleet decides for all members of a zone. Each member sees the others' decisions in
// the next step.
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

func TestLargestGatewaysServeTheUsualLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(zoneOf(25))
	f.run(10*time.Second, 120)
	is.Equal(f.active(), 3)
	for _, m := range f.members {
		is.Equal(m.Active, m.Cores == 0.8)
	}
}

func TestAllGatewaysOfASmallZoneAreActive(t *testing.T) {
	is := is.New(t)
	f := newFleet(zoneOf(0)[:2])
	f.run(time.Second, 0)
	is.Equal(f.active(), 2)
}

func TestSubsetGrowsInABurstAndShrinksAfterIt(t *testing.T) {
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

// The failure of the large gateways is not reported: they are still listed as members
// that accept requests, and appear to be on standby.
func TestFailedGatewaysAreReplacedWhileStillListed(t *testing.T) {
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
