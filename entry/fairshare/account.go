package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"baywall.example/core/vm"
)

const (
	// averaging is the time constant of the smoothed use and demand. The mean age of what
	// they reflect is that of a window of two seconds.
	averaging = time.Second
	// maxTeams bounds the teams in an account. When it is reached, the half of them with the
	// smaller demand is forgotten.
	maxTeams = 512
	// maxReported bounds the claims in a report.
	maxReported = 16
	// maxReporters bounds the gateways whose reports are kept.
	maxReporters = 1024
	// reportLifetime is how long a report counts.
	reportLifetime = 2 * time.Second
)

// Team identifies a team by the hash of its name, as gateways exchange it.
type Team uint32

// Use is what a team uses of a service and would use, in slots.
type Use struct {
	Team   Team
	Use    float64
	Demand float64 // at least Use
}

// Account holds the claims of teams to the slots of one service, as one gateway knows them.
// It is not safe for concurrent use.
type Account struct {
	weight  func(Team) float64
	teams   map[Team]*entry
	reports map[vm.ID]report
}

// entry holds the smoothed slot time of one team, as of the time at.
type entry struct {
	use, demand float64 // seconds of slot time, decaying
	at          time.Time
}

// report is what one other gateway reported.
type report struct {
	uses []Use
	at   time.Time
}

// NewAccount returns an empty account. The weight function returns the weight of a team's
// share, above 0.
func NewAccount(weight func(Team) float64) *Account {
	return &Account{weight: weight, teams: make(map[Team]*entry), reports: make(map[vm.ID]report)}
}

// AddDemand records the expected slot time of a request, or a correction of it.
func (a *Account) AddDemand(t Team, slotTime time.Duration, now time.Time) {
	a.entry(t, now).demand += slotTime.Seconds()
}

// AddUse records the expected slot time of a request that begins, or a correction of it.
func (a *Account) AddUse(t Team, slotTime time.Duration, now time.Time) {
	a.entry(t, now).use += slotTime.Seconds()
}

// entry returns the entry of a team as of now.
func (a *Account) entry(t Team, now time.Time) *entry {
	e := a.teams[t]
	if e == nil {
		if len(a.teams) >= maxTeams {
			a.forgetSmaller(now)
		}
		e = &entry{at: now}
		a.teams[t] = e
	}
	e.decay(now)
	return e
}

// decay reduces the values by the time that has passed.
func (e *entry) decay(now time.Time) {
	if passed := now.Sub(e.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / averaging.Seconds())
		e.use, e.demand, e.at = e.use*factor, e.demand*factor, now
	}
}

// forgetSmaller removes the half of the teams with the smaller demand.
func (a *Account) forgetSmaller(now time.Time) {
	uses := a.own(now)
	a.teams = a.retain(uses[:len(uses)/2])
}

func (a *Account) retain(uses []Use) map[Team]*entry {
	kept := make(map[Team]*entry, maxTeams)
	for _, u := range uses {
		kept[u.Team] = a.teams[u.Team]
	}
	return kept
}

// own returns what the teams use through this gateway, the largest demand first.
func (a *Account) own(now time.Time) []Use {
	uses := make([]Use, 0, len(a.teams))
	for t, e := range a.teams {
		e.decay(now)
		use := max(0, e.use) / averaging.Seconds()
		uses = append(uses, Use{Team: t, Use: use, Demand: max(use, e.demand/averaging.Seconds())})
	}
	slices.SortFunc(uses, func(x, y Use) int {
		return cmp.Or(cmp.Compare(y.Demand, x.Demand), cmp.Compare(x.Team, y.Team))
	})
	return uses
}

// Report returns the claims to report to the other gateways, the largest first.
func (a *Account) Report(now time.Time) []Use {
	uses := a.own(now)
	return uses[:min(len(uses), maxReported)]
}

// Receive replaces the report of another gateway.
func (a *Account) Receive(from vm.ID, uses []Use, now time.Time) {
	a.expire(now)
	if _, known := a.reports[from]; !known && len(a.reports) >= maxReporters {
		return
	}
	a.reports[from] = report{uses: uses[:min(len(uses), maxReported)], at: now}
}

// expire removes the reports that no longer count.
func (a *Account) expire(now time.Time) {
	for from, r := range a.reports {
		if now.Sub(r.at) >= reportLifetime {
			delete(a.reports, from)
		}
	}
}

// known returns the claims of this gateway and of all valid reports, by team.
func (a *Account) known(now time.Time) map[Team]Use {
	a.expire(now)
	sums := make(map[Team]Use, len(a.teams))
	add := func(u Use) {
		sum := sums[u.Team]
		use, demand := max(0, u.Use), max(0, u.Use, u.Demand)
		sums[u.Team] = Use{Team: u.Team, Use: sum.Use + use, Demand: sum.Demand + demand}
	}
	for _, u := range a.own(now) {
		add(u)
	}
	for _, r := range a.reports {
		for _, u := range r.uses {
			add(u)
		}
	}
	return sums
}
