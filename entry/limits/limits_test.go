package limits

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baywall.example/core/resource"
	"baywall.example/core/vm"
)

var start = time.Unix(1_700_000_000, 0)

// exchange is a lease request in transit, with its answer once the grantor has handled it.
type exchange struct {
	holder  int
	request LeaseRequest
	sent    time.Time
	grant   *Grant
}

// Whichever messages are delayed, lost or reordered, the sum of the leased shares stays within
// the pool.
func TestLeasesNeverExceedThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, listed = 100, 4
		fleet := Fleet{Listed: listed, Reachable: listed, GrantorSince: start.Add(-time.Hour)}
		now := start
		grantor := NewGrantor(now)
		holders := make([]Holder, listed)
		var inTransit []*exchange
		for range 120 {
			i := rapid.IntRange(0, listed-1).Draw(t, "holder")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0: // send a lease request
				holders[i].peak = rapid.IntRange(0, 150).Draw(t, "demand")
				inTransit = append(inTransit, &exchange{holder: i, request: holders[i].LeaseRequest(vm.ID(fmt.Sprint(i)), now), sent: now})
			case 1, 2: // the grantor handles a lease request, or the holder its answer
				if len(inTransit) == 0 {
					continue
				}
				k := rapid.IntRange(0, len(inTransit)-1).Draw(t, "message")
				e := inTransit[k]
				if e.grant == nil {
					g := grantor.Handle(e.request, limit, fleet, now)
					e.grant = &g
					continue
				}
				holders[e.holder].Granted(*e.grant, e.sent)
				inTransit = append(inTransit[:k], inTransit[k+1:]...)
			case 3: // a message is lost
				if len(inTransit) > 0 {
					inTransit = inTransit[1:]
				}
			default:
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			}
			sum := 0
			for j := range holders {
				sum += holders[j].leased(now)
			}
			if most := pool(limit, listed, listed); sum > most {
				t.Fatalf("%d leased, pool %d", sum, most)
			}
		}
	})
}

// The holder's next lease request names the newer lease, which the grantor takes as proof that
// the older one is not in use. So the older answer must not be applied after the newer one.
func TestOlderAnswerOfSameInstantIsIgnored(t *testing.T) {
	is := is.New(t)
	var h Holder
	h.Granted(Grant{Sequence: 2, Share: 0, Duration: LeaseTime}, start)
	h.Granted(Grant{Sequence: 1, Share: 20, Duration: LeaseTime}, start)
	is.Equal(h.leased(start), 0)
	is.Equal(h.LeaseRequest("a", start).HeldSequence, uint64(2))
	h.Granted(Grant{Sequence: 3, Share: 10, Duration: LeaseTime}, start)
	is.Equal(h.leased(start), 10)
}

func TestNewGrantorGrantsNothingMoreUntilEarlierLeasesEnded(t *testing.T) {
	is := is.New(t)
	fleet := Fleet{Listed: 4, Reachable: 4, GrantorSince: start}
	g := NewGrantor(start)
	is.Equal(g.Handle(LeaseRequest{From: "a", Demand: 50}, 100, fleet, start.Add(LeaseTime/2)).Share, 0)
	held := g.Handle(LeaseRequest{From: "b", Demand: 50, HeldSequence: 7, Held: 30, HeldFor: LeaseTime / 4}, 100, fleet, start.Add(LeaseTime/2))
	is.Equal(held.Share, 30)
	is.True(g.Handle(LeaseRequest{From: "a", Demand: 20}, 100, fleet, start.Add(2*LeaseTime)).Share > 0)
}

func TestShareOfUnresponsiveHolderReturnsAfterItsLease(t *testing.T) {
	is := is.New(t)
	fleet := Fleet{Listed: 2, Reachable: 2, GrantorSince: start.Add(-time.Hour)}
	g := NewGrantor(start)
	first := g.Handle(LeaseRequest{From: "a", Demand: 100}, 100, fleet, start)
	is.Equal(first.Share, pool(100, 2, 2))
	is.Equal(g.Handle(LeaseRequest{From: "b", Demand: 100}, 100, fleet, start.Add(LeaseTime/2)).Share, 0)
	late := g.Handle(LeaseRequest{From: "b", Demand: 100}, 100, fleet, start.Add(LeaseTime+time.Millisecond))
	is.Equal(late.Share, pool(100, 2, 2))
}

func TestScarceSharesAreFair(t *testing.T) {
	is := is.New(t)
	fleet := Fleet{Listed: 3, Reachable: 3, GrantorSince: start.Add(-time.Hour)}
	g := NewGrantor(start)
	holders := map[vm.ID]*Holder{"a": {}, "b": {}, "c": {}}
	demand := map[vm.ID]int{"a": 500, "b": 500, "c": 10}
	now := start
	for range 12 { // the holders renew until the shares converge
		for id, h := range holders {
			h.peak = demand[id]
			h.Granted(g.Handle(h.LeaseRequest(id, now), 120, fleet, now), now)
		}
		now = now.Add(renewAfter)
	}
	is.True(holders["c"].share >= 1)
	diff := holders["a"].share - holders["b"].share
	is.True(diff >= -1 && diff <= 1)
	is.True(holders["a"].share >= 30)
}

// network is a fleet of limiters in one process.
type network struct {
	limiters map[vm.ID]*Limiter
	team     resource.Team
	cut      bool
	dead     vm.ID
	grantors [2]vm.ID
}

func (n *network) Listed() int { return len(n.limiters) }
func (n *network) Fleet(string) Fleet {
	return Fleet{Listed: len(n.limiters), Reachable: len(n.limiters), GrantorSince: start}
}
func (n *network) Grantors(string) [2]vm.ID          { return n.grantors }
func (n *network) Team(string) (resource.Team, bool) { return n.team, true }
func (n *network) RequestLeases(_ context.Context, to vm.ID, requests []TeamLeaseRequest) ([]TeamGrant, error) {
	if n.cut || to == n.dead {
		return nil, context.DeadlineExceeded
	}
	return n.limiters[to].Grant(requests), nil
}

func TestOneEntryVMGetsMostOfTheLimitWhileOthersAreIdle(t *testing.T) {
	is := is.New(t)
	n := &network{limiters: map[vm.ID]*Limiter{}, grantors: [2]vm.ID{"a", "b"}, team: resource.Team{Concurrency: 80}}
	for _, id := range []vm.ID{"a", "b", "c", "d"} {
		n.limiters[id] = New(id, n)
	}
	admitted := 0
	for range 200 {
		if _, refusal := n.limiters["b"].Admit(t.Context(), "t"); refusal == nil {
			admitted++
		} else {
			time.Sleep(minRequestInterval) // a caller that retries
		}
		if admitted == 65 {
			break
		}
	}
	is.Equal(admitted, 65) // base 5 + pool 60; a static split would allow 20
	_, refusal := n.limiters["b"].Admit(t.Context(), "t")
	is.True(refusal != nil)
	is.Equal(string(refusal.Outcome), "not-run")
}

func TestBaseShareRemainsWithoutGrantor(t *testing.T) {
	is := is.New(t)
	n := &network{limiters: map[vm.ID]*Limiter{}, grantors: [2]vm.ID{"a", "b"}, team: resource.Team{Concurrency: 80}, cut: true}
	for _, id := range []vm.ID{"a", "b", "c", "d"} {
		n.limiters[id] = New(id, n)
	}
	for range Base(80, 4) {
		_, refusal := n.limiters["c"].Admit(t.Context(), "t")
		is.True(refusal == nil)
	}
	_, refusal := n.limiters["c"].Admit(t.Context(), "t")
	is.True(refusal != nil)
}

func TestIdleTeamsUseNoMemory(t *testing.T) {
	is := is.New(t)
	n := &network{limiters: map[vm.ID]*Limiter{}, grantors: [2]vm.ID{"a", "b"}, team: resource.Team{Concurrency: 80}}
	l := New("a", n)
	n.limiters["a"] = l
	for i := range 100 {
		release, refusal := l.Admit(t.Context(), fmt.Sprint(i))
		is.True(refusal == nil)
		release()
	}
	is.Equal(l.Teams(), 100)
	l.renew(time.Now().Add(time.Minute))
	l.forgetGrantors(time.Now().Add(time.Minute))
	is.Equal(l.Teams(), 0)
}

// The grantor fails. The second one, which does not know of the failure yet, renews the leases
// that holders have, so that they do not expire before a new grantor may grant.
func TestSecondGrantorRenewsHeldLeases(t *testing.T) {
	is := is.New(t)
	// In its own view, the second grantor has not taken over yet.
	second := Fleet{Listed: 4, Reachable: 4, GrantorSince: start.Add(time.Hour)}
	first := Fleet{Listed: 4, Reachable: 4, GrantorSince: start.Add(-time.Hour)}
	a, b := NewGrantor(start), NewGrantor(start)
	var h Holder
	now := start
	h.peak = 30
	h.Granted(a.Handle(h.LeaseRequest("c", now), 100, first, now), now)
	held := h.leased(now)
	is.True(held > 0)
	for range 6 {
		now = now.Add(renewAfter)
		h.peak = 90
		h.Granted(b.Handle(h.LeaseRequest("c", now), 100, second, now), now)
		is.Equal(h.leased(now), held)
	}
}

func TestSecondGrantorIsCalledWhenFirstIsDown(t *testing.T) {
	is := is.New(t)
	n := &network{limiters: map[vm.ID]*Limiter{}, grantors: [2]vm.ID{"a", "b"}, team: resource.Team{Concurrency: 80}, dead: "a"}
	for _, id := range []vm.ID{"a", "b", "c", "d"} {
		n.limiters[id] = New(id, n)
	}
	for range Base(80, 4) + 1 {
		_, refusal := n.limiters["c"].Admit(t.Context(), "t")
		is.True(refusal == nil)
	}
}

// A burst of long streams through one entry VM takes all of the pool, then the other VMs need
// some of it. The grantor must not grant what running streams still use when it has lowered the
// share of their VM: the team had 36 requests running with a limit of 24.
func TestRequestsAboveALoweredShareStillCount(t *testing.T) {
	is := is.New(t)
	const limit, listed = 24, 4
	fleet := Fleet{Listed: listed, Reachable: listed, GrantorSince: start.Add(-time.Hour)}
	g := NewGrantor(start)
	holders := make([]Holder, listed)
	now := start
	admit := func(i int) {
		for range limit {
			holders[i].Admit(Base(limit, listed), now)
		}
	}
	running := func() (n int) {
		for i := range holders {
			n += holders[i].Running()
		}
		return n
	}
	renew := func() {
		for i := range holders {
			admit(i)
			holders[i].Granted(g.Handle(holders[i].LeaseRequest(vm.ID(fmt.Sprint(i)), now), limit, fleet, now), now)
			admit(i)
			is.True(running() <= limit)
		}
		now = now.Add(renewAfter)
	}
	admit(0)
	holders[0].Granted(g.Handle(holders[0].LeaseRequest("0", now), limit, fleet, now), now)
	admit(0)
	is.True(holders[0].Running() > limit/2)
	for range 12 {
		renew()
	}
	is.Equal(running(), limit)
	for range holders[0].Running() { // its requests end
		holders[0].Release()
	}
	for range 12 {
		renew()
	}
	is.Equal(running(), limit)
	for i := range holders {
		is.Equal(holders[i].Running(), limit/listed)
	}
}
