package fairshare

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// overMargin is the fraction of its share by which a team's use may be below the share and
// the team still counts as over it. Smoothing makes the use vary by a few percent.
const overMargin = 0.1

// Standing is a team's use of a service compared with its share, in slots.
type Standing struct {
	Use    float64
	Demand float64
	Share  float64
	Over   bool // over its share
}

// Standings returns the standings of all known teams, of all gateways together. The number of
// slots is that of the service, and waiting tells whether requests of the service wait for
// one at any gateway.
func (a *Account) Standings(slots int, waiting bool, now time.Time) map[Team]Standing {
	known := a.known(now)
	uses := slices.SortedFunc(maps.Values(known), func(x, y Use) int { return cmp.Compare(x.Team, y.Team) })
	claims := make([]Claim, len(uses))
	total := 0.0
	for i, u := range uses {
		claims[i] = Claim{Demand: u.Demand, Weight: a.weight(u.Team)}
		total += u.Use
	}
	scale := 1.0
	if total > float64(slots) {
		scale = float64(max(0, slots)) / total
	}
	standings := make(map[Team]Standing, len(uses))
	for i, share := range Shares(total, claims) {
		u := uses[i]
		over := waiting && len(uses) > 1 && u.Demand > share && u.Use > (1-overMargin)*share
		standings[u.Team] = Standing{Use: u.Use * scale, Demand: u.Demand * scale, Share: share * scale, Over: over}
	}
	return standings
}
