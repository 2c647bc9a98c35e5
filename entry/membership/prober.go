package membership

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/clock"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// ErrListen means that the probe socket could not be opened.
var ErrListen = eris.New("membership: listen")

const (
	// Interval is the time between two rounds of probes.
	Interval = 200 * time.Millisecond
	// maxDatagram bounds a received probe, in bytes.
	maxDatagram = 8 << 10
)

// Prober runs a Table on a UDP socket. It is safe for concurrent use.
type Prober struct {
	self     func() Self
	onNewer  func(vm.ID, *wire.Probe)
	recorder *timeline.Recorder
	log      zerolog.Logger
	conn     *net.UDPConn
	sent     atomic.Int64
	received atomic.Int64

	mu    sync.Mutex
	table *Table
	rnd   *rand.Rand
}

// NewProber opens the socket. The self function returns the state to report about this
// process. The onNewer function is called for each probe from a VM on the list, so that a
// newer revision can be pulled.
func NewProber(address string, self func() Self, onNewer func(vm.ID, *wire.Probe), recorder *timeline.Recorder, log zerolog.Logger) (*Prober, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, eris.Wrapf(ErrListen, "%s: %v", address, err)
	}
	s := self()
	return &Prober{
		self: self, onNewer: onNewer, recorder: recorder, log: log, conn: conn,
		table: NewTable(s.VM), rnd: rand.New(rand.NewPCG(uint64(s.Incarnation), 1)),
	}, nil
}

// Run sends and receives probes until the context ends, and then closes the socket.
func (p *Prober) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	go p.receive()
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.mu.Lock()
			out, changes := p.table.Tick(p.self(), p.rnd, clock.Now())
			p.mu.Unlock()
			p.send(out)
			p.recordChanges(changes)
		}
	}
}

// Gossip sends the state of this process to a few random peers immediately.
func (p *Prober) Gossip() {
	p.mu.Lock()
	out := p.table.Gossip(p.self(), p.rnd)
	p.mu.Unlock()
	p.send(out)
}

func (p *Prober) send(out []Datagram) {
	for _, d := range out {
		if addr, err := net.ResolveUDPAddr("udp", d.Address); err == nil {
			p.write(d.Probe, addr)
		}
	}
}

func (p *Prober) write(m *wire.Probe, to *net.UDPAddr) {
	m.Clock = uint64(p.recorder.Clock().Now(time.Now()))
	raw, err := proto.Marshal(m)
	if err != nil {
		return
	}
	n, _ := p.conn.WriteToUDP(raw, to)
	p.sent.Add(int64(n))
}

func (p *Prober) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDP(buf)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		p.received.Add(int64(n))
		var m wire.Probe
		if err := proto.Unmarshal(buf[:n], &m); err != nil {
			p.log.Warn().Str("remote", from.String()).Err(err).Msg("discarded a malformed probe")
			continue
		}
		p.handle(&m)
	}
}

func (p *Prober) handle(m *wire.Probe) {
	p.recorder.Clock().Observe(timeline.Stamp(m.GetClock()), time.Now())
	p.mu.Lock()
	from, known := p.table.Address(vm.ID(m.GetVm()))
	answer, changes := p.table.Receive(p.self(), m)
	p.mu.Unlock()
	if !known {
		return
	}
	p.recordChanges(changes)
	if answer != nil {
		p.send([]Datagram{{Address: from, Probe: answer}})
	}
	p.onNewer(vm.ID(m.GetVm()), m)
}

// recordChanges records changes of the suspicion of VMs in the timeline.
func (p *Prober) recordChanges(changes []Change) {
	for _, c := range changes {
		kind, reason := timeline.KindAlive, "answered a probe"
		if c.Suspect {
			kind, reason = timeline.KindSuspect, "probes unanswered"
		}
		p.recorder.Record(timeline.Event{Kind: kind, Subject: string(c.VM), Reason: reason})
	}
}

// SetList applies the platform's list.
func (p *Prober) SetList(list vm.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetList(list)
}

// Learn applies an agent's report about itself, so that it is forwarded to other entry VMs.
func (p *Prober) Learn(n *wire.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Learn(n)
}

// Usable reports whether an entry VM may get new work: it is live on the list, not suspect,
// and has not reported that it is draining.
func (p *Prober) Usable(v vm.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return v.State == vm.StateLive && !p.table.Suspect(v.ID) && !p.table.Draining(v.ID)
}

// Revision returns the configuration revision that a VM last reported.
func (p *Prober) Revision(id vm.ID) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Revision(id)
}

// Traffic returns the number of bytes sent and received so far.
func (p *Prober) Traffic() (sent, received int64) { return p.sent.Load(), p.received.Load() }
