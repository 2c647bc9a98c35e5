package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
	proxy "baywall.example/standin/faults"
	"baywall.example/standin/fleet"
)

const (
	plainService = "portal"
	modelService = "pool"
	host         = "soak.example"
	teamKey      = "key-of-the-team"
	slots        = 16
)

// shape of the groups' expert maps.
var shape = standin.Shape{Sets: 2, Experts: 12, Places: 6, Spare: 2}

// relay is the fault proxy before one address.
type relay struct {
	*proxy.Network
	published, behind string // IP:port
	real              string // IP of what is behind it
	mu                sync.Mutex
	wait              time.Duration
}

// newRelay takes connections at the published address and passes them on.
func newRelay(published, real string) (*relay, error) {
	ip, _, err := net.SplitHostPort(real)
	if err != nil {
		return nil, err
	}
	r := &relay{published: published, behind: real, real: ip}
	r.Network = proxy.New(func(proxy.Pair) time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.wait
	})
	return r, r.up()
}

// up takes connections, down refuses them, as the host of a process that has ended does.
func (r *relay) up() error { return r.TCP(r.published, r.behind) }
func (r *relay) down()     { r.Close() }

// client is the address from which all processes of this machine connect.
const client = "127.0.0.1"

func (r *relay) delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wait = d
}

// silence holds what is sent, there, back or both.
func (r *relay) silence(there, back bool) {
	r.Block(client, r.real, there)
	r.Block(r.real, client, back)
}

func (r *relay) reset() { r.Reset(client, r.real) }

func (r *relay) heal() {
	r.delay(0)
	r.silence(false, false)
}

// gateway is an entry VM.
type gateway struct {
	*process
	front, ready, directory string
	callers, store          *relay
}

// backend is a backend server's VM with its present incarnation.
type backend struct {
	service string
	address string // of the runner
	relay   *relay
	group   *standin.Group
	rank    int
	zone    string

	mu     sync.Mutex
	runner *standin.Runner
	all    []*standin.Runner
	ended  *standin.Runner // the latest one that crashed
	reborn bool            // the present one has the id of one before
}

// ends notes that an incarnation crashes, and reports whether it is the present one and
// has not yet.
func (b *backend) ends(r *standin.Runner) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runner != r || b.ended == r {
		return false
	}
	b.ended = r
	return true
}

// born returns when an incarnation started that has the id of one before, zero for others: their
// entries need not tell.
func (b *backend) born(r *standin.Runner) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.reborn {
		return time.Time{}
	}
	return r.Started()
}

func (b *backend) current() *standin.Runner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runner
}

// world is a fleet with its stand-ins.
type world struct {
	dir      string
	rnd      *rand.Rand
	store    *standin.Store
	author   *standin.Author
	stores   *http.Server
	ledger   *standin.Ledger
	gateways []*gateway
	agents   []*process
	backends []*backend
	groups   []*standin.Group
	config   *config
	ctx      context.Context
	cancel   context.CancelFunc
	faults   *faults
	seed     uint64
	cold     standin.Service // what the plain service's backend servers bear after a start
	net      byte            // second byte of all addresses
	names    int             // of runners so far
}

func newWorld(b fleet.Binaries, o options, seed uint64) (*world, error) {
	s := o.size
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, seed: seed, rnd: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(), ledger: standin.NewLedger(),
		net: byte(100 + os.Getpid()%100), cold: o.cold(),
	}
	w.author = standin.NewAuthor(w.store)
	w.config = newConfig(w.author, w.cold)
	for i := range s.gateways {
		w.gateways = append(w.gateways, w.newGateway(b, i))
	}
	for i := range s.plain {
		w.backends = append(w.backends, &backend{service: plainService, address: w.at(2, i, 9000), zone: zone(i)})
	}
	for g := range s.groups {
		group := standin.NewGroup(fmt.Sprintf("g%d", g), s.ranks, shape)
		w.groups = append(w.groups, group)
		for rank := range s.ranks {
			i := g*s.ranks + rank
			w.backends = append(w.backends, &backend{service: modelService, address: w.at(1, i, 9000), group: group, rank: rank, zone: zone(i)})
			w.agents = append(w.agents, w.newAgent(b, i))
		}
	}
	return w, nil
}

func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

// at returns an address of the i-th VM of a kind.
func (w *world) at(kind byte, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, kind, i+1, port)
}

func (w *world) newGateway(b fleet.Binaries, i int) *gateway {
	name := fmt.Sprintf("entry-%d", i)
	return &gateway{
		process: w.newProcess(name, b.Entry, "gateway"),
		front:   w.at(0, i, 8000), ready: w.at(0, i, 8001), directory: w.at(0, i, 8002),
	}
}

func (w *world) newAgent(b fleet.Binaries, i int) *process {
	name := fmt.Sprintf("side-%d", i)
	return w.newProcess(name, b.Agent, "rank")
}

func (w *world) newProcess(name, binary, command string) *process {
	settings := filepath.Join(w.dir, name+".yaml")
	return &process{
		vm: name, settings: settings,
		child: fleet.NewProcess(binary, command, settings, filepath.Join(w.dir, name+".log")),
	}
}

// start starts the stand-ins and the programs, and waits until all are ready.
func (w *world) start(ctx context.Context) error {
	ctx, w.cancel = context.WithCancel(ctx)
	w.ctx = ctx
	real := w.at(3, 0, 7000)
	ln, err := net.Listen("tcp4", real)
	if err != nil {
		return err
	}
	w.stores = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.stores.Serve(ln) }() // ends with close
	go w.author.Run(ctx)
	for _, g := range w.groups {
		go g.Run(ctx)
	}
	for i, b := range w.backends {
		if b.relay, err = newRelay(w.published(i), b.address); err != nil {
			return err
		}
		if err := w.startRunner(i, ""); err != nil {
			return err
		}
	}
	w.config.publish()
	if err := w.startProcesses(real); err != nil {
		return err
	}
	return w.awaitReady(ctx)
}

// published is the address under which a backend server is listed.
func (w *world) published(i int) string {
	ip, _, _ := net.SplitHostPort(w.backends[i].address)
	return net.JoinHostPort(ip, "9001")
}

// onLethal returns what ends the runner when a lethal request begins to run on it.
func (w *world) onLethal(i int, r *standin.Runner) func() {
	return func() { go w.faults.crash(w.ctx, i, r, draw{duration: lethalDown}) }
}

// lethalDown is twice the time for which a backend server is away that a lethal request
// has ended.
const lethalDown = 2 * time.Second

// startRunner starts a new incarnation of a backend server, under a new id unless one is given, and
// lists it.
func (w *world) startRunner(i int, id string) error {
	b := w.backends[i]
	reborn := id != ""
	if !reborn {
		w.names++
		id = fmt.Sprintf("i-%d", w.names)
	}
	r := standin.NewRunner(id, b.service, slots, w.ledger, b.group, b.rank)
	r.OnLethal = w.onLethal(i, r)
	if err := r.Start(b.address); err != nil {
		return err
	}
	b.relay.down() // it may still listen
	if err := b.relay.up(); err != nil {
		return err
	}
	b.mu.Lock()
	b.runner = r
	b.all = append(b.all, r)
	b.reborn = reborn
	b.mu.Unlock()
	w.list(i, r, false)
	return nil
}

func (w *world) list(i int, r *standin.Runner, draining bool) {
	b := w.backends[i]
	left := time.Duration(0)
	if b.service == plainService && w.cold.ColdPerS > 0 {
		left = max(0, coldTime-time.Since(r.Started()))
	}
	w.author.Put(standin.ServerPrefix+r.ID, standin.EncodeStartedServer(b.service, w.published(i), b.zone, slots, draining, left, b.born(r)))
}

func (w *world) startProcesses(store string) error {
	seeds := ""
	for i := range min(3, len(w.gateways)) {
		seeds += "\n  - " + w.at(0, i, 8003)
	}
	for i, g := range w.gateways {
		var err error
		if g.callers, err = newRelay(w.at(0, i, 8100), g.front); err != nil {
			return err
		}
		if g.store, err = newRelay(w.at(0, i, 7001), store); err != nil {
			return err
		}
		text := fmt.Sprintf("vm: %s\nzone: %s\nlisten:\n  front: %s\n  ready: %s\n  directory: %s\n  peers: %s\nseeds:%s\nstore: %s\nretry:\n  ratio: 0.2\n  slack: 60\n  window: 10s\ndrain:\n  grace: 8s\n",
			g.vm, zone(i), g.front, g.ready, g.directory, w.at(0, i, 8003), seeds, w.at(0, i, 7001))
		if err := startWith(g.process, text); err != nil {
			return err
		}
	}
	for i, a := range w.agents {
		text := fmt.Sprintf("vm: %s\nzone: %s\nservice: %s\nengine: %s\nlisten:\n  peers: %s\nstore: %s\n",
			a.vm, zone(i), modelService, w.at(1, i, 9000), w.at(1, i, 7342), store)
		if err := startWith(a, text); err != nil {
			return err
		}
	}
	return nil
}

func startWith(p *process, settings string) error {
	if err := os.WriteFile(p.settings, []byte(settings), 0o644); err != nil {
		return err
	}
	return p.run()
}

// startLimit bounds the start of a fleet.
const startLimit = 15 * time.Second

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, g := range w.gateways {
		for !standin.Ready(ctx, g.ready) {
			if !wait.Sleep(ctx, 50*time.Millisecond) {
				return errors.New(g.vm + " is not ready in time")
			}
		}
	}
	return nil
}

// close ends what the world started.
func (w *world) close() {
	for _, g := range w.gateways {
		g.end()
		if g.callers != nil {
			g.callers.Close()
		}
		if g.store != nil {
			g.store.Close()
		}
	}
	for _, a := range w.agents {
		a.end()
	}
	for _, b := range w.backends {
		if r := b.current(); r != nil {
			r.Crash()
		}
		if b.relay != nil {
			b.relay.Close()
		}
	}
	if w.stores != nil {
		_ = w.stores.Close()
	}
	if w.cancel != nil {
		w.cancel()
	}
	_ = os.RemoveAll(w.dir)
}

// keepLogs moves the processes' logs to a folder and returns it.
func (w *world) keepLogs(folder string) string {
	if folder == "" {
		folder = os.TempDir()
	}
	kept := filepath.Join(folder, fmt.Sprintf("soak-seed-%d-%d", w.seed, time.Now().Unix()))
	if err := os.Rename(w.dir, kept); err != nil {
		return err.Error()
	}
	return kept
}
