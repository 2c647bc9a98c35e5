package cluster

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"baywall.example/core/rendezvous"
	"baywall.example/core/source"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

const (
	// minInterval is the minimum time between two heartbeats to one peer. In-flight counts
	// are then at most as old as one pass of an engine.
	minInterval = 40 * time.Millisecond
	// DefaultPerPeer is the time by which each peer lengthens the interval. It limits an
	// active member to 125 heartbeats a second to other active members.
	DefaultPerPeer = 8 * time.Millisecond
	// silenceTimeout is the minimum length of silence after which a peer is lost. It
	// covers several heartbeats, as datagrams may be lost.
	silenceTimeout = 900 * time.Millisecond
	// forgetAfter is the silence after which a lost peer is no longer sent heartbeats.
	forgetAfter = 60 * time.Second
	// silentInterval is the minimum time between two heartbeats to a silent peer.
	silentInterval = time.Second
	// gapFresh is how long a peer's gap takes precedence over shorter gaps from other
	// peers. In about this time every member of a fleet of 30 sends a heartbeat.
	gapFresh = 300 * time.Millisecond
	// gapLifetime is how long a gap counts if no newer one is received.
	gapLifetime = time.Second
	// foundLifetime is how long a server counts as found after a member reported it.
	foundLifetime = 500 * time.Millisecond
	// maxFound is the maximum number of found servers in one datagram.
	maxFound = 256
	// contactsPerHeartbeat is the maximum number of addresses passed on in one datagram.
	contactsPerHeartbeat = 4
	// contactsEvery is the period, in heartbeats, at which contacts are sent once all
	// members are known. Until discoveryTime has passed since the last member joined,
	// every heartbeat carries them. Contacts are a fifth of a heartbeat.
	contactsEvery = 8
	discoveryTime = 3 * time.Second
)

// Self is this member's own state, as sent in its heartbeats.
type Self struct {
	VM             vm.ID
	Incarnation    vm.Incarnation
	Zone           string
	Address        string // IP:port for heartbeats and links
	Front          string // IP:port for callers
	Ready          bool
	CatalogVersion uint64
	StoreChanged   source.Position // latest change of the store known to this member
	Load           map[uint32]Load // by backend server key
	// Found lists backend servers, by key, that were recently found to accept requests
	// again.
	Found []uint32
	// LastStoreAnswer is when the store last answered this member, or zero if it never did.
	// Heartbeats carry the latest answer to this member or to any live peer.
	LastStoreAnswer time.Time
	// StoreFailing reports that the store does not answer this member.
	StoreFailing bool
	// Retained is the digest of the state that this member has in a newer version than the
	// store, or 0 if there is none.
	Retained uint64
	Rank     *RankLabel // nil unless the member is the agent of a rank
	// Suspects returns the requests to report that may end backend servers. It may be nil.
	Suspects func(now time.Time) []*wire.Suspect
	// Limits returns the limits of backend servers to report. It may be nil.
	Limits func(now time.Time) []*wire.ServerLimit
	// Demand returns the demand for slots at this member to report. It may be nil.
	Demand func(now time.Time) *wire.Demand
	Activity
}

// Load is the load that one or more members put on a backend server.
type Load struct {
	Requests int // in flight
	// Gap is the time between events of the streams, or 0 if unknown. For several members
	// it is the longest.
	Gap time.Duration
	// Found reports that a member recently found the server to accept requests again.
	Found bool
}

// RankLabel identifies a rank in its expert-parallel group.
type RankLabel struct {
	Group string
	Epoch uint64
	Rank  int
	Size  int // number of ranks in the group
}

func (r *RankLabel) wire() *wire.RankLabel {
	if r == nil {
		return nil
	}
	return &wire.RankLabel{Group: r.Group, Epoch: r.Epoch, Rank: uint32(r.Rank), Size: uint32(r.Size)}
}

func rankFromWire(w *wire.RankLabel) *RankLabel {
	if w == nil {
		return nil
	}
	return &RankLabel{Group: w.GetGroup(), Epoch: w.GetEpoch(), Rank: int(w.GetRank()), Size: int(w.GetSize())}
}

// Peer is the latest state received from another member.
type Peer struct {
	VM             vm.ID
	Incarnation    vm.Incarnation
	Zone           string
	Address        string
	Front          string
	Ready          bool
	CatalogVersion uint64
	StoreChanged   source.Position // latest change of the store known to the peer
	// LastStoreAnswer is when the store last answered the peer or a member that it
	// receives heartbeats from; zero = unknown.
	LastStoreAnswer time.Time
	StoreFailing    bool // whether the store does not answer the peer
	// Retained is the digest of the state that the peer has in a newer version than the
	// store, 0 = none.
	Retained      uint64
	Rank          *RankLabel
	LastHeartbeat time.Time
	Activity

	sequence uint64
	load     map[uint32]Load
	sent     time.Time
	hash     uint64    // of the address
	paired   time.Time // since when it monitors this member or is monitored by it, zero = neither
	// sendsEarly reports that the peer is a standby that sends earlier than expected: it
	// considers this member lost, or one of its monitors.
	sendsEarly bool
}

// receivedGap is the longest gap that peers recently reported for a backend server.
type receivedGap struct {
	gap        time.Duration
	receivedAt time.Time
}

// Change reports that a peer joined, was lost or was regained.
type Change struct {
	Peer   Peer
	Alive  bool
	Joined bool // first heartbeat from the peer, or from a new incarnation of it
}

// Datagram is a heartbeat to send.
type Datagram struct {
	Address   string
	Heartbeat *wire.Heartbeat
}

// Table is the state of the heartbeat protocol. It is not safe for concurrent use.
type Table struct {
	self              string // own address
	perPeer           time.Duration
	seeds             map[string]time.Time // and contacts that have not sent a heartbeat yet
	namedSeeds        []string             // as set by SetSeeds
	expectedAddresses []string
	peers             map[string]*Peer
	alive             map[string]bool
	totals            map[uint32]int
	gaps              map[uint32]receivedGap
	slowdowns         slowdowns
	found             map[uint32]time.Time // when a member last reported a server as found
	joined            time.Time            // when a member last joined or was regained
	announcedAt       time.Time            // when this member last announced itself
	own               Self                 // as of the latest Tick
	actives           int                  // live active members, including this one
	lost              map[string]time.Time
	sequence          uint64

	monitoring monitoring
}

// NewTable returns the table of the member at the address. Each peer lengthens the
// heartbeat interval by perPeer.
func NewTable(self string, seeds []string, perPeer time.Duration) *Table {
	t := &Table{
		self: self, perPeer: perPeer,
		peers: make(map[string]*Peer), alive: make(map[string]bool), totals: make(map[uint32]int),
		gaps: make(map[uint32]receivedGap), slowdowns: make(slowdowns), lost: make(map[string]time.Time),
		found: make(map[uint32]time.Time),
	}
	t.SetSeeds(seeds)
	return t
}

// SetSeeds replaces the addresses that are sent heartbeats until they answer.
func (t *Table) SetSeeds(seeds []string) {
	t.namedSeeds = seeds
	t.seeds = make(map[string]time.Time, len(seeds))
	for _, s := range seeds {
		if s != t.self {
			t.seeds[s] = time.Time{}
		}
	}
}

// Tick returns the heartbeats that are due and the peers that were lost.
func (t *Table) Tick(self Self, rnd *rand.Rand, now time.Time) ([]Datagram, []Change) {
	t.monitoring.stale = t.monitoring.stale || t.own.Active != self.Active
	t.own = self
	t.assignMonitors(now)
	changes := t.expire(now)
	t.countActives()
	t.scheduleLossReport(now)
	var due, brief []string
	for address, p := range t.peers {
		if now.Sub(p.sent) < t.intervalTo(p, now) {
			continue
		}
		p.sent, p.sendsEarly = now, false
		if t.receivesLoad(p) {
			due = append(due, address)
		} else {
			brief = append(brief, address)
		}
	}
	for address, sent := range t.seeds {
		if t.peers[address] == nil && now.Sub(sent) >= silentInterval/2 {
			t.seeds[address] = now
			due = append(due, address)
		}
	}
	if len(due)+len(brief) == 0 {
		return nil, changes
	}
	return t.datagrams(t.heartbeat(self, rnd, now), due, brief), changes
}

// receivesLoad reports whether heartbeats to a peer carry the requests in flight. The
// counts are most of a heartbeat, and standbys send few requests, so they go without.
// Peers with a long heartbeat interval go without as well: they would use an outdated
// count for too long.
func (t *Table) receivesLoad(p *Peer) bool {
	return p.Active && (t.own.Active || !t.monitoring.enabled || p.isMonitorPair() || t.standbyInterval() <= standbyMonitorInterval)
}

// datagrams returns the full heartbeat for the addresses in full, and for those in brief
// one without the requests in flight.
func (t *Table) datagrams(hb *wire.Heartbeat, full, brief []string) []Datagram {
	out := make([]Datagram, 0, len(full)+len(brief))
	for _, address := range full {
		out = append(out, Datagram{address, hb})
	}
	if len(brief) == 0 {
		return out
	}
	short := proto.CloneOf(hb)
	short.InFlight, short.Demand = nil, nil
	for _, address := range brief {
		out = append(out, Datagram{address, short})
	}
	return out
}

// All returns a heartbeat for every peer, whether due or not.
func (t *Table) All(self Self, rnd *rand.Rand, now time.Time) []Datagram {
	t.announcedAt = now
	var full, brief []string
	for address, p := range t.peers {
		if t.receivesLoad(p) {
			full = append(full, address)
		} else {
			brief = append(brief, address)
		}
	}
	return t.datagrams(t.heartbeat(self, rnd, now), full, brief)
}

// Receive processes a heartbeat. Duplicate and reordered heartbeats are ignored.
func (t *Table) Receive(hb *wire.Heartbeat, now time.Time) []Change {
	t.slowdowns.receive(hb, now)
	address := hb.GetAddress()
	if address == "" || address == t.self {
		return nil
	}
	p := t.peers[address]
	joined := p == nil || p.Incarnation != vm.Incarnation(hb.GetIncarnation())
	if p != nil && !joined && hb.GetSequence() <= p.sequence {
		return nil
	}
	if p != nil && vm.Incarnation(hb.GetIncarnation()) < p.Incarnation && now.Sub(p.LastHeartbeat) < silenceTimeout {
		return nil // delayed datagram of an earlier process
	}
	next := t.replacePeer(p, hb, now)
	for _, server := range hb.GetFound() {
		t.found[server] = now
	}
	t.addContacts(hb.GetContacts())
	changes := t.receiveLost(address, hb.GetLost(), now)
	if joined || !t.alive[address] {
		t.alive[address] = true
		t.joined = now
		t.monitoring.stale = true
		delete(t.lost, address)
		delete(t.monitoring.reports, address)
		changes = append(changes, Change{Peer: *next, Alive: true, Joined: joined})
	}
	return changes
}

func (t *Table) replacePeer(old *Peer, hb *wire.Heartbeat, now time.Time) *Peer {
	next := &Peer{
		VM: vm.ID(hb.GetVm()), Incarnation: vm.Incarnation(hb.GetIncarnation()), Zone: hb.GetZone(),
		Address: hb.GetAddress(), Front: hb.GetFront(), Ready: hb.GetReady(),
		CatalogVersion: hb.GetCatalogVersion(), Retained: hb.GetRetained(), StoreFailing: hb.GetStoreFailing(),
		StoreChanged: source.Position{Term: hb.GetBackendsEra(), Revision: hb.GetBackendsRevision()},
		Rank:         rankFromWire(hb.GetRank()), LastHeartbeat: now, sequence: hb.GetSequence(), load: make(map[uint32]Load, len(hb.GetInFlight())),
		Activity: Activity{Active: hb.GetActive(), Millicores: hb.GetMillicores(), Arrivals: hb.GetArrivals()},
	}
	if age := hb.GetStoreAgeMs(); age > 0 {
		next.LastStoreAnswer = now.Add(-time.Duration(age-1) * time.Millisecond)
	}
	if old != nil {
		next.sent, next.hash, next.paired = old.sent, old.hash, old.paired
		early := !t.alive[next.Address] || now.Sub(old.LastHeartbeat) < t.expectedInterval(old)/earlyDivisor
		next.sendsEarly = early && t.own.Active && !next.Active
		t.monitoring.stale = t.monitoring.stale || old.Active != next.Active
		t.subtractLoad(old)
	} else {
		next.hash = rendezvous.Hash(next.Address)
	}
	for _, f := range hb.GetInFlight() {
		next.load[f.GetServer()] = Load{Requests: int(f.GetRequests()), Gap: time.Duration(f.GetGapMs()) * time.Millisecond}
		t.totals[f.GetServer()] += int(f.GetRequests())
		t.receiveGap(f.GetServer(), next.load[f.GetServer()].Gap, now)
	}
	t.peers[next.Address] = next
	return next
}

func (t *Table) subtractLoad(p *Peer) {
	for server, l := range p.load {
		if t.totals[server] -= l.Requests; t.totals[server] <= 0 {
			delete(t.totals, server)
			delete(t.gaps, server)
		}
	}
	p.load = nil
}

// addContacts adds addresses of members that have not sent a heartbeat yet as seeds.
func (t *Table) addContacts(contacts []string) {
	for _, address := range contacts {
		if address != t.self && t.peers[address] == nil {
			if _, known := t.seeds[address]; !known {
				t.seeds[address] = time.Time{}
			}
		}
	}
}

func (t *Table) expire(now time.Time) []Change {
	var out []Change
	for server, at := range t.found {
		if now.Sub(at) >= foundLifetime {
			delete(t.found, server)
		}
	}
	for address, p := range t.peers {
		if t.alive[address] && now.Sub(p.silentSince()) > max(silenceTimeout, missedIntervals*t.expectedInterval(p)) {
			out = append(out, t.markLost(p))
			t.recordLoss(p, now)
		}
		if now.Sub(p.LastHeartbeat) > forgetAfter && !t.alive[address] {
			delete(t.peers, address)
		}
	}
	return out
}

// markLost marks a peer as lost.
func (t *Table) markLost(p *Peer) Change {
	delete(t.alive, p.Address)
	t.monitoring.stale, p.paired = true, time.Time{}
	t.subtractLoad(p)
	return Change{Peer: *p}
}

// Live returns the peers that are not lost.
func (t *Table) Live() []Peer {
	out := make([]Peer, 0, len(t.alive))
	for address := range t.alive {
		out = append(out, *t.peers[address])
	}
	return out
}

// LiveAt returns the peers at the addresses that are not lost.
func (t *Table) LiveAt(addresses []string) []Peer {
	var out []Peer
	for _, address := range addresses {
		if t.alive[address] {
			out = append(out, *t.peers[address])
		}
	}
	return out
}

// mayBeMember reports whether a VM may be a member at the host: either its heartbeats came
// from there, or the host is that of a seed or of an expected address.
func (t *Table) mayBeMember(id vm.ID, host string) bool {
	at := func(address string) bool {
		h, _, err := net.SplitHostPort(address)
		return err == nil && h == host
	}
	for _, p := range t.peers {
		if p.VM == id {
			return at(p.Address)
		}
	}
	for address := range t.seeds {
		if at(address) {
			return true
		}
	}
	return slices.ContainsFunc(t.expectedAddresses, at)
}

// Expect replaces the addresses where members may be that are not sent heartbeats.
func (t *Table) Expect(addresses []string) { t.expectedAddresses = addresses }

// lastStoreAnswer returns when the store last answered this member or any live peer, as
// far as known.
func (t *Table) lastStoreAnswer(own time.Time) time.Time {
	for address := range t.alive {
		if p := t.peers[address]; p.LastStoreAnswer.After(own) {
			own = p.LastStoreAnswer
		}
	}
	return own
}

// settled reports whether no member has joined or was regained recently and nothing was
// announced recently.
func (t *Table) settled(now time.Time) bool {
	return now.Sub(t.joined) >= discoveryTime && now.Sub(t.announcedAt) >= repeatTime
}

// Members returns the number of live active members, including this one.
func (t *Table) Members() int { return max(1, t.actives) }

// Load returns the load that live peers put on a backend server.
func (t *Table) Load(server uint32, now time.Time) Load {
	out := Load{Requests: t.totals[server], Found: now.Sub(t.found[server]) < foundLifetime}
	if g := t.gaps[server]; out.Requests > 0 && now.Sub(g.receivedAt) < gapLifetime {
		out.Gap = g.gap
	}
	return out
}

// receiveGap processes the gap that a peer reports for a backend server. A longer gap
// takes effect at once, a shorter one only when the longer one is older than gapFresh.
func (t *Table) receiveGap(server uint32, gap time.Duration, now time.Time) {
	old := t.gaps[server]
	if gap >= old.gap || now.Sub(old.receivedAt) >= gapFresh {
		t.gaps[server] = receivedGap{gap: gap, receivedAt: now}
	}
}
