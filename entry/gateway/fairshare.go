package gateway

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"baywall.example/core/clock"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/entry/cost"
	"baywall.example/entry/fairshare"
)

// Package fairshare decides which teams are over their share of a service's slots. This file
// records what requests use, exchanges reports with the other gateways and logs changes.

const (
	// standingsInterval is the least time between two computations of the standings of a
	// service. Reports of other gateways are older than that. The computation is due when a
	// request arrives or ends, and at each run of the maintenance.
	standingsInterval = 50 * time.Millisecond
	// waitingHold is how long requests count as waiting after they were last seen waiting:
	// in an overload the queues are empty at times.
	waitingHold = 500 * time.Millisecond
	// maxShareServices bounds the services with an account. Keys of services come from other
	// gateways too.
	maxShareServices = 256
	// maxTeamUse is the number of claims in a heartbeat from which no further service is
	// reported. The heartbeat must fit into one datagram together with everything else.
	maxTeamUse = 256
	// shareLogInterval is the least time between two log lines about teams of a service.
	shareLogInterval = time.Second
	// maxLoggedOver bounds the teams of a service that are logged as over their share.
	maxLoggedOver = 64
	// unitsPerSlot is the number of units of TeamUse in a slot.
	unitsPerSlot = 1000
)

// fairShares holds the accounts of all services. It is safe for concurrent use. A nil
// *fairShares is one that is switched off.
type fairShares struct {
	log     zerolog.Logger
	set     *metrics.Set
	weights map[fairshare.Team]float64
	// slots returns the number of slots of a service. waiting reports whether requests of it
	// wait for one at any gateway; if it is nil, none waits. It must be set before the start.
	// Both are called without mu held: slots locks the node, and the node calls teamUse, which
	// locks mu, under its own lock. waiting locks the queue of the service.
	slots   func(service string, now time.Time) int
	waiting func(service string, now time.Time) bool

	mu       sync.Mutex
	costs    *cost.Estimator
	accounts map[uint32]*shareAccount // by service
}

// shareAccount is the account of one service with its latest standings.
type shareAccount struct {
	service   string // empty until it gets a request
	account   *fairshare.Account
	standings map[fairshare.Team]fairshare.Standing
	at        time.Time                 // when the standings were computed
	waited    time.Time                 // when requests were last seen waiting
	over      map[fairshare.Team]string // names of the teams logged as over their share
	logged    time.Time                 // time of the latest log line
}

// newFairShares returns the accounts of a gateway, or nil if fair shares are switched off.
func newFairShares(g *Gateway) *fairShares {
	s := g.settings.Scheduling
	if !s.FairShare {
		return nil
	}
	f := &fairShares{
		log: g.log, set: g.inst.set, weights: make(map[fairshare.Team]float64, len(s.TeamWeights)),
		slots: func(service string, now time.Time) int { return g.registry.Load(service, now).Slots },
		costs: cost.NewEstimator(), accounts: make(map[uint32]*shareAccount),
	}
	for name, weight := range s.TeamWeights {
		f.weights[teamKey(name)] = weight
	}
	return f
}

// serviceKey and teamKey return the keys under which gateways exchange what waits and what
// teams claim.
func serviceKey(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

func teamKey(team string) fairshare.Team { return fairshare.Team(xxhash.Sum64String(team)) }

func (f *fairShares) weight(team fairshare.Team) float64 {
	if w, ok := f.weights[team]; ok {
		return w
	}
	return 1
}

// of returns the account of a service, or nil if there are too many. The caller holds mu.
func (f *fairShares) of(key uint32) *shareAccount {
	a := f.accounts[key]
	if a == nil && len(f.accounts) < maxShareServices {
		a = &shareAccount{account: fairshare.NewAccount(f.weight), over: make(map[fairshare.Team]string)}
		f.accounts[key] = a
	}
	return a
}

// ofService is like of for a service that gets requests.
func (f *fairShares) ofService(service string) *shareAccount {
	a := f.of(serviceKey(service))
	if a != nil && a.service == "" {
		a.service = service
		f.watch(a)
	}
	return a
}

// slotUse is what one attempt of a request is charged.
type slotUse struct {
	service  string
	route    string
	team     fairshare.Team
	expected time.Duration
	began    time.Time
	queued   bool // the server had no free slot
}

// recordDemand records that the request needs a slot.
func (q *request) recordDemand() {
	f := q.g.fairShares
	if f == nil {
		return
	}
	q.tokens = cost.ParseTokens(q.r.Header.Get(q.g.headers.TokenCounts))
	now := clock.Now()
	f.mu.Lock()
	if a := f.ofService(q.service); a != nil {
		a.account.AddDemand(teamKey(q.team), q.expectedSlotTime(), now)
	}
	f.mu.Unlock()
	f.refresh(q.service, now)
}

// expectedSlotTime returns for how long the request is expected to occupy a slot. The caller
// holds the lock of the accounts.
func (q *request) expectedSlotTime() time.Duration {
	assumed := q.route.Objective
	if q.route.Kind == catalog.KindStream {
		assumed *= defaultStreamOccupancy
	}
	return q.g.fairShares.costs.Estimate(q.route.Name, q.tokens, assumed)
}

// beginUse records that an attempt takes a slot.
func (q *request) beginUse(c balance.Choice) slotUse {
	f := q.g.fairShares
	if f == nil {
		return slotUse{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	u := slotUse{
		service: q.service, route: q.route.Name, team: teamKey(q.team), expected: q.expectedSlotTime(),
		began: clock.Now(), queued: c.InFlight >= c.Server.Slots,
	}
	if a := f.ofService(u.service); a != nil {
		a.account.AddUse(u.team, u.expected, u.began)
	}
	return u
}

// endUse corrects what an attempt was charged, now that it has ended. Time in the queue of a
// server is no slot time, so the expected time stands for an attempt that had to queue.
func (q *request) endUse(u slotUse, v verdict) {
	f := q.g.fairShares
	if f == nil {
		return
	}
	now := clock.Now()
	f.refresh(u.service, now)
	took := now.Sub(u.began)
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.ofService(u.service)
	switch {
	case a == nil:
	case !v.usedSlot():
		a.account.AddUse(u.team, -u.expected, now)
	case !u.queued:
		a.account.AddUse(u.team, took-u.expected, now)
	}
	if v == verdictAnswered && !u.queued {
		f.costs.Record(u.route, q.tokens, took)
	}
}

// usedSlot reports whether an attempt may have run.
func (v verdict) usedSlot() bool {
	return v != verdictNotSent && v != verdictRejected && !v.withheld()
}

// standing returns the team's use of the service compared with its share, as of the latest
// computation. If the team has gone over its share, it logs that.
func (q *request) standing(now time.Time) fairshare.Standing {
	f := q.g.fairShares
	if f == nil {
		return fairshare.Standing{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.accounts[serviceKey(q.service)]
	if a == nil {
		return fairshare.Standing{}
	}
	team := teamKey(q.team)
	s := a.standings[team]
	if _, known := a.over[team]; s.Over && !known && len(a.over) < maxLoggedOver && f.mayLog(a, now) {
		a.over[team] = q.team
		f.logChange(a, team, now, "team over its share")
	}
	return s
}

// refresh computes the standings of a service if they are out of date.
func (f *fairShares) refresh(service string, now time.Time) {
	f.mu.Lock()
	a := f.ofService(service)
	due := a != nil && now.Sub(a.at) >= standingsInterval
	if due {
		a.at = now // other requests use the earlier standings meanwhile
	}
	f.mu.Unlock()
	if !due {
		return
	}
	waiting := f.waiting != nil && f.waiting(service, now)
	slots := f.slots(service, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if waiting {
		a.waited = now
	}
	a.standings = a.account.Standings(slots, a.waiting(now), now)
	for team := range a.over {
		if !a.standings[team].Over && f.mayLog(a, now) {
			f.logChange(a, team, now, "team back under its share")
			delete(a.over, team)
		}
	}
}

// waiting reports whether requests wait for a slot at any gateway, or did so lately.
func (a *shareAccount) waiting(now time.Time) bool {
	return !a.waited.IsZero() && now.Sub(a.waited) < waitingHold
}

// mayLog reports whether a line about the service may be logged now. A change that is not
// logged is logged later if it lasts.
func (f *fairShares) mayLog(a *shareAccount, now time.Time) bool {
	return now.Sub(a.logged) >= shareLogInterval
}

func (f *fairShares) logChange(a *shareAccount, team fairshare.Team, now time.Time, message string) {
	a.logged = now
	s := a.standings[team]
	f.log.Info().Str("service", a.service).Str("team", a.over[team]).Float64("use", s.Use).
		Float64("demand", s.Demand).Float64("share", s.Share).Float64("weight", f.weight(team)).Msg(message)
}

// maintain refreshes the standings, so that teams are also back under their share if no
// request arrives.
func (f *fairShares) maintain(now time.Time) {
	if f == nil {
		return
	}
	for _, service := range f.services() {
		f.refresh(service, now)
	}
}

// services returns the names of the services that get requests.
func (f *fairShares) services() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, a := range f.accounts {
		if a.service != "" {
			names = append(names, a.service)
		}
	}
	return names
}

// teamUse returns the claims to report to the other gateways: those of the services for
// which requests wait. It may be called under the lock of the node.
func (g *Gateway) teamUse(now time.Time) []*wire.TeamUse {
	f := g.fairShares
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*wire.TeamUse
	for key, a := range f.accounts {
		if a.service == "" || !a.waiting(now) || len(out) >= maxTeamUse {
			continue
		}
		for _, u := range a.account.Report(now) {
			out = append(out, &wire.TeamUse{Service: key, Team: uint32(u.Team), Use: toUnits(u.Use), Demand: toUnits(u.Demand)})
		}
	}
	return out
}

// toUnits converts slots to the unit of TeamUse, a thousandth of a slot.
func toUnits(slots float64) uint32 { return uint32(min(slots*unitsPerSlot, 1<<31)) }

// receiveTeamUse takes in the claims that another gateway reported.
func (g *Gateway) receiveTeamUse(from vm.ID, use []*wire.TeamUse) {
	f := g.fairShares
	if f == nil || len(use) == 0 {
		return
	}
	byService := make(map[uint32][]fairshare.Use)
	for _, u := range use {
		byService[u.GetService()] = append(byService[u.GetService()], fairshare.Use{
			Team: fairshare.Team(u.GetTeam()), Use: float64(u.GetUse()) / unitsPerSlot, Demand: float64(u.GetDemand()) / unitsPerSlot,
		})
	}
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, uses := range byService {
		if a := f.of(key); a != nil {
			a.account.Receive(from, uses, now)
		}
	}
}

// watch adds the gauges of a service.
func (f *fairShares) watch(a *shareAccount) {
	gauge := func(name string, value func(standings []fairshare.Standing) float64) {
		f.set.NewGauge(fmt.Sprintf("%s{service=%q}", name, a.service), func() float64 {
			f.mu.Lock()
			defer f.mu.Unlock()
			return value(slices.Collect(maps.Values(a.standings)))
		})
	}
	gauge("baywall_teams_over_share", func(standings []fairshare.Standing) float64 {
		over := 0
		for _, s := range standings {
			if s.Over {
				over++
			}
		}
		return float64(over)
	})
	gauge("baywall_team_largest_use", func(standings []fairshare.Standing) float64 {
		largest := 0.0
		for _, s := range standings {
			largest = max(largest, s.Use)
		}
		return largest
	})
}
