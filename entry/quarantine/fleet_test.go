package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/core/vm"
)

// Gateways in simulated time, in front of servers that crash under parts of prompts. The
// tables decide; the scene says what happens.

const (
	step        = 10 * time.Millisecond
	sceneLength = 24 * time.Second
	beginsAfter = 50 * time.Millisecond // from the sending of a request to its first event
	streamTime  = 500 * time.Millisecond
	serverDown  = 2 * time.Second
	formTime    = 600 * time.Millisecond  // of a group, after all its ranks are back
	stallTime   = 1500 * time.Millisecond // until the other ranks of a group cut their streams
	patience    = 400 * time.Millisecond  // of a request that has not begun
	firstParts  = 20                      // of sound requests, the first is shared with lethal ones
	contact     = 3 * time.Second         // after the fifth end, few lethal requests may be sent
)

type scene struct {
	name            string
	gateways        int
	servers         int
	group           bool    // the servers are ranks of one group
	lethal          int     // number of lethal parts
	lethalPerSecond float64 // of all of them together
	killed          time.Duration
}

// simRequest is one request of the simulation.
type simRequest struct {
	fingerprints []Fingerprint
	lethal       int // number of the lethal part, 0 = sound
	first        int
	arrived      time.Time
	gateway      int
	attempt      Attempt
	server       int
	sent         time.Time
	begun        bool
}

// simServer is one server of the simulation.
type simServer struct {
	key    ServerKey
	upFrom time.Time
}

type simulation struct {
	scene
	rnd     *rand.Rand
	now     time.Time
	tables  []*Table
	servers []simServer
	openAt  time.Time // when the group has formed
	cutAt   time.Time // when the stalled streams are cut, zero = none are
	waiting []*simRequest
	running []*simRequest
	keys    ServerKey

	crashes      map[int][]time.Time // by lethal part
	late         map[int]int         // lethal requests sent later than contact after the fifth end
	sound, begun int                 // sound requests, from twice that time on
}

func (s *simulation) table(id int) *Table {
	interval := max(20*time.Millisecond, time.Duration(s.gateways)*8*time.Millisecond)
	table := newTable(vm.ID(fmt.Sprint("g", id)))
	table.interval = func() time.Duration { return interval }
	return table
}

func simulate(sc scene, seed uint64) *simulation {
	s := &simulation{scene: sc, rnd: rand.New(rand.NewPCG(seed, 1)), now: start, crashes: make(map[int][]time.Time), late: make(map[int]int)}
	for i := range sc.gateways {
		s.tables = append(s.tables, s.table(i))
	}
	for range sc.servers {
		s.keys++
		s.servers = append(s.servers, simServer{key: s.keys})
	}
	for s.now.Before(start.Add(sceneLength)) {
		s.now = s.now.Add(step)
		s.arrive()
		s.run()
		s.admit()
		s.exchange()
		if s.killed > 0 && s.now.Sub(start)%s.killed < step {
			s.restart(s.rnd.IntN(s.gateways))
		}
	}
	return s
}

func (s *simulation) arrive() {
	for range 2 { // 100 sound requests a second
		if s.rnd.Float64() < 0.5 {
			s.add(0, int(float64(firstParts)*s.rnd.Float64()*s.rnd.Float64()))
		}
	}
	if s.lethal > 0 && s.rnd.Float64() < s.lethalPerSecond*step.Seconds() {
		s.add(1+s.rnd.IntN(s.lethal), 0)
	}
}

func (s *simulation) add(lethal, first int) {
	parts := []string{fmt.Sprint("first ", first)}
	if lethal > 0 {
		parts = append(parts, fmt.Sprint("lethal ", lethal))
	}
	s.waiting = append(s.waiting, &simRequest{
		fingerprints: prompt(s.rnd.Int(), parts...), lethal: lethal, first: first, arrived: s.now, gateway: s.rnd.IntN(s.gateways),
	})
}

func (s *simulation) admit() {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		table := s.tables[r.gateway]
		if s.now.Sub(r.arrived) > patience {
			s.count(r)
			continue
		}
		attempt, permission := table.Admit(r.fingerprints, s.now)
		if permission == Refused {
			s.count(r)
			continue
		}
		server := s.pick(table.Avoid(r.fingerprints, s.now))
		if permission == Wait || server < 0 {
			attempt.Release()
			s.waiting = append(s.waiting, r)
			continue
		}
		attempt.Send(s.servers[server].key, s.now)
		r.attempt, r.server, r.sent = attempt, server, s.now
		s.running = append(s.running, r)
		if ends := s.crashes[r.lethal]; r.lethal > 0 && len(ends) >= 5 && s.now.After(ends[4].Add(contact)) {
			s.late[r.lethal]++
		}
	}
}

// pick returns a server that takes requests, if possible not one to avoid, or -1.
func (s *simulation) pick(avoid map[ServerKey]bool) int {
	if s.group && (s.now.Before(s.openAt) || !s.cutAt.IsZero()) {
		return -1
	}
	best := -1
	for _, i := range s.rnd.Perm(len(s.servers)) {
		if server := s.servers[i]; s.now.Before(server.upFrom) {
			continue
		} else if !avoid[server.key] {
			return i
		}
		best = i
	}
	return best
}

// count counts a sound request that has begun or never will.
func (s *simulation) count(r *simRequest) {
	if r.lethal > 0 || r.first != 0 || s.now.Before(s.settled()) {
		return
	}
	s.sound++
	if r.begun {
		s.begun++
	}
}

// settled returns the time from which sound requests are counted: some time after the fifth
// end under each part, or the last if there are fewer.
func (s *simulation) settled() time.Time {
	last := start
	for _, ends := range s.crashes {
		if end := ends[min(len(ends), 5)-1]; end.After(last) {
			last = end
		}
	}
	return last.Add(2 * contact)
}

func (s *simulation) run() {
	if !s.cutAt.IsZero() {
		if s.now.Before(s.cutAt) {
			return // the group stalls
		}
		for _, r := range s.running {
			r.attempt.Release()
		}
		s.running, s.cutAt = nil, time.Time{}
	}
	var crashed []int
	for _, r := range s.running {
		if !r.begun && !s.now.Before(r.sent.Add(beginsAfter)) {
			if r.lethal > 0 {
				s.crashes[r.lethal] = append(s.crashes[r.lethal], s.now)
				crashed = append(crashed, r.server)
				continue
			}
			r.begun = true
			s.tables[r.gateway].Began(r.fingerprints[2:], s.now)
			s.count(r)
		}
	}
	for _, server := range crashed {
		s.crash(server)
	}
	running := s.running
	s.running = nil
	for _, r := range running {
		if r.begun && !s.now.Before(r.sent.Add(streamTime)) {
			s.tables[r.gateway].Succeeded(r.fingerprints, s.now)
			r.attempt.Release()
			continue
		}
		s.running = append(s.running, r)
	}
}

// crash ends a server and records its end under all requests on it.
func (s *simulation) crash(server int) {
	if s.now.Before(s.servers[server].upFrom) {
		return // another request has ended it in the same step
	}
	running := s.running
	s.running = nil
	for _, r := range running {
		if r.server != server {
			s.running = append(s.running, r)
			continue
		}
		s.tables[r.gateway].Ended(r.fingerprints, &r.attempt, s.servers[server].key, s.now)
		r.attempt.Release()
	}
	s.keys++
	s.servers[server] = simServer{key: s.keys, upFrom: s.now.Add(serverDown)}
	if s.group {
		s.openAt, s.cutAt = s.now.Add(serverDown+formTime), s.now.Add(stallTime)
	}
}

func (s *simulation) exchange() {
	for i, from := range s.tables {
		if s.now.Sub(start)%from.interval()/step != time.Duration(i)%(from.interval()/step) {
			continue
		}
		report := from.Report(s.now)
		for j, to := range s.tables {
			if j != i {
				to.Receive(from.self, report, s.now)
			}
		}
	}
}

// restart replaces a gateway by one that pulls the state of another.
func (s *simulation) restart(i int) {
	s.tables[i] = s.table(i)
	from := s.tables[(i+1)%s.gateways]
	s.tables[i].Receive(from.self, from.FullReport(s.now), s.now)
	running := s.running
	s.running = nil
	for _, r := range running {
		if r.gateway != i {
			s.running = append(s.running, r)
		}
	}
}

// In fleets of any size, few requests with a lethal part are sent after the fifth end, and
// sound requests with the same first part are served.
func TestLethalPartsInSimulatedFleets(t *testing.T) {
	scenes := []scene{
		{name: "3 gateways", gateways: 3, servers: 16, lethal: 1, lethalPerSecond: 8},
		{name: "3 gateways, a group", gateways: 3, servers: 8, group: true, lethal: 1, lethalPerSecond: 3},
		{name: "7 gateways, a group, often", gateways: 7, servers: 8, group: true, lethal: 1, lethalPerSecond: 30},
		{name: "7 gateways, three parts", gateways: 7, servers: 16, lethal: 3, lethalPerSecond: 12},
		{name: "7 gateways, a group, three parts", gateways: 7, servers: 8, group: true, lethal: 3, lethalPerSecond: 6},
		{name: "7 gateways, restarted in turn", gateways: 7, servers: 16, lethal: 1, lethalPerSecond: 8, killed: 700 * time.Millisecond},
		{name: "28 gateways", gateways: 28, servers: 64, lethal: 1, lethalPerSecond: 8},
		{name: "28 gateways, often", gateways: 28, servers: 64, lethal: 1, lethalPerSecond: 50},
	}
	for _, sc := range scenes {
		t.Run(sc.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				s := simulate(sc, seed)
				is := is.New(t)
				for part := 1; part <= sc.lethal; part++ {
					t.Logf("seed %d, part %d: %d ended, %d sent late; %d of %d sound ones begun", seed, part, len(s.crashes[part]), s.late[part], s.begun, s.sound)
					is.True(s.late[part] <= 3)
				}
				is.True(float64(s.begun) >= 0.95*float64(s.sound))
			}
		})
	}
}
