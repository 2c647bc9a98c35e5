package cluster

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/clock"
	"baywall.example/core/vm"
	"baywall.example/core/wait"
	"baywall.example/core/wire"
)

const (
	// tick is the interval at which a member looks for due heartbeats. standbyTick is the
	// interval at a standby that has not discovered a new member lately: each tick wakes
	// up the process.
	tick        = 20 * time.Millisecond
	standbyTick = 100 * time.Millisecond
	// maxDatagram is the largest heartbeat in bytes, the limit of UDP.
	maxDatagram = 64 << 10
	// receiveRetryDelay is the delay after a failed receive.
	receiveRetryDelay = 50 * time.Millisecond
)

// ErrListen means that the heartbeat socket could not be opened.
var ErrListen = eris.New("cluster: cannot listen")

// Node runs the heartbeat protocol on a socket. It is safe for concurrent use.
type Node struct {
	conn *net.UDPConn
	self func() Self
	log  zerolog.Logger
	// onHold is called with requests to pass an order to a rank. If it is nil, they are
	// ignored.
	onHold func(Hold)
	// onSuspects is called with the suspects that a member reports. onPeerUp is called
	// with each member that joined or was regained. If nil, these events are ignored.
	onSuspects func(from vm.ID, suspects []*wire.Suspect)
	onPeerUp   func(Peer)
	// onLimits is called with the limits of backend servers that a member reports. If it
	// is nil, they are ignored.
	onLimits func(from vm.ID, limits []*wire.ServerLimit)
	// onPeerDemand is called after each heartbeat with the demand that the member reports. If
	// it is nil, demand is ignored.
	onPeerDemand func(from vm.ID, demand *wire.Demand)

	stall stall
	mu    sync.Mutex
	table *Table
	rnd   *rand.Rand
}

// NewNode opens the socket at the address, an IP:port. It calls self for the node's own
// state before each heartbeat. See NewTable for perPeer.
func NewNode(address string, seeds []string, perPeer time.Duration, self func() Self, log zerolog.Logger) (*Node, error) {
	udp, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	conn, err := net.ListenUDP("udp4", udp)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Node{conn: conn, self: self, log: log, table: NewTable(address, seeds, perPeer), rnd: rnd}, nil
}

// Run sends and receives heartbeats until the context ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() }) // unblocks receive
	defer stop()
	go n.receive(ctx)
	for pause := tick; wait.Sleep(ctx, pause); {
		pause = n.sendDue(clock.Now())
	}
}

// sendDue sends the heartbeats that are due and returns the delay until the next call.
func (n *Node) sendDue(now time.Time) time.Duration {
	n.stall.recordTick(now)
	self := n.self()
	n.mu.Lock()
	out, changes := n.table.Tick(self, n.rnd, now)
	settled := n.table.settled(now)
	n.mu.Unlock()
	n.handleChanges(changes)
	n.send(out)
	if settled && !self.Active {
		return standbyTick
	}
	return tick
}

// Announce sends a heartbeat to every peer at once, for instance when this gateway begins
// to leave.
func (n *Node) Announce() {
	self := n.self()
	n.mu.Lock()
	out := n.table.All(self, n.rnd, clock.Now())
	n.mu.Unlock()
	n.send(out)
}

func (n *Node) send(out []Datagram) {
	var encoded []byte
	var encodedFrom *wire.Heartbeat
	for _, d := range out {
		if d.Heartbeat != encodedFrom {
			raw, err := proto.Marshal(d.Heartbeat)
			if err != nil {
				n.log.Error().Err(err).Msg("cannot encode heartbeat")
				return
			}
			encoded, encodedFrom = raw, d.Heartbeat
		}
		to, err := net.ResolveUDPAddr("udp4", d.Address)
		if err != nil {
			n.log.Warn().Err(err).Str("peer", d.Address).Msg("cannot send heartbeat: invalid peer address")
			continue
		}
		// A send error is treated like a lost datagram: the next heartbeat makes up for
		// it.
		_, _ = n.conn.WriteToUDP(encoded, to)
	}
}

func (n *Node) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := n.conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.log.Warn().Err(err).Msg("cannot receive heartbeats")
			time.Sleep(receiveRetryDelay)
			continue
		}
		var hb wire.Heartbeat
		if err := proto.Unmarshal(buf[:size], &hb); err != nil {
			n.log.Warn().Err(err).Int("bytes", size).Msg("malformed heartbeat ignored")
			continue
		}
		n.receiveHold(hb.GetHold())
		if len(hb.GetSuspects()) > 0 && n.onSuspects != nil {
			n.onSuspects(vm.ID(hb.GetVm()), hb.GetSuspects())
		}
		if len(hb.GetLimits()) > 0 && n.onLimits != nil && !n.stall.mayHaveWaited(clock.Now()) {
			n.onLimits(vm.ID(hb.GetVm()), hb.GetLimits())
		}
		n.mu.Lock()
		changes := n.table.Receive(&hb, clock.Now())
		n.mu.Unlock()
		n.handleChanges(changes)
		if n.onPeerDemand != nil && hb.GetAddress() != "" && !n.stall.mayHaveWaited(clock.Now()) {
			n.onPeerDemand(vm.ID(hb.GetVm()), hb.GetDemand())
		}
	}
}

func (n *Node) handleChanges(changes []Change) {
	for _, c := range changes {
		event := n.log.Info().Str("peer", string(c.Peer.VM)).Uint64("incarnation", uint64(c.Peer.Incarnation))
		if c.Alive {
			event.Bool("new", c.Joined).Msg("peer regained")
			if n.onPeerUp != nil {
				n.onPeerUp(c.Peer)
			}
			continue
		}
		event.Dur("silent_for", clock.Since(c.Peer.LastHeartbeat)).Msg("peer lost")
	}
}

// EnableMonitoring makes the node monitor others and be monitored itself. It must be
// called before Run.
func (n *Node) EnableMonitoring() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.EnableMonitoring()
}

// OnSuspects sets the function that is called with the suspects that a member reports. It
// must be called before Run.
func (n *Node) OnSuspects(f func(from vm.ID, suspects []*wire.Suspect)) { n.onSuspects = f }

// OnLimits sets the function that is called with the limits of backend servers that a
// member reports. It must be called before Run.
func (n *Node) OnLimits(f func(from vm.ID, limits []*wire.ServerLimit)) { n.onLimits = f }

// OnPeerDemand sets the function that is called after each heartbeat of a member with the
// demand for slots that it reports, nil if the heartbeat is brief. The member's load is up to
// date then. It must be called before Run.
func (n *Node) OnPeerDemand(f func(from vm.ID, demand *wire.Demand)) {
	n.onPeerDemand = f
}

// OnPeerUp sets the function that is called with each member that joined or was regained.
// The function must not block. OnPeerUp must be called before Run.
func (n *Node) OnPeerUp(f func(Peer)) { n.onPeerUp = f }

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetSeeds(seeds)
}

// Expect replaces the addresses from which links are accepted although no heartbeat has
// been received from there yet.
func (n *Node) Expect(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Expect(addresses)
}

// Live returns the peers that are not silent.
func (n *Node) Live() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live()
}

// LiveAt returns the peers at the addresses that are not silent.
func (n *Node) LiveAt(addresses []string) []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.LiveAt(addresses)
}

// Load fills out with the load that peers put on each of the backend servers, in the same
// order.
func (n *Node) Load(servers []uint32, out []Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	for i, s := range servers {
		out[i] = n.table.Load(s, now)
	}
}

// ErrUnknown means that a VM requested a link without being a member at its address.
var ErrUnknown = eris.New("cluster: not a member")

// Authorize accepts links from members at their own address and from the addresses where
// members are expected. It is a link.Authorizer.
func (n *Node) Authorize(h *wire.Hello, remote net.Addr) error {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return eris.Wrapf(ErrUnknown, "%v", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.table.mayBeMember(vm.ID(h.GetVm()), host) {
		return eris.Wrapf(ErrUnknown, "%s at %s", h.GetVm(), host)
	}
	return nil
}

// Reached returns the fraction of the possibly active members that this member reaches,
// itself included.
func (n *Node) Reached() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Reached()
}

// ReachedSeeds returns the fraction of the seeds that this member reaches, itself included.
func (n *Node) ReachedSeeds() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.ReachedSeeds()
}

// Members returns the number of live active members, this one included.
func (n *Node) Members() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Members()
}

// Staleness returns the maximum age of the state received from active peers.
func (n *Node) Staleness() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Interval() + tick
}
