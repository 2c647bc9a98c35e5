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
	"strings"
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

// scheduling turns all scheduling settings of the gateways on.
const scheduling = "scheduling:\n  queue: true\n  fair_share: true\n  server_speed: true\n  concurrency_limit: true\n"

// shape returns the shape of the groups' expert maps. Where groups switch all the time, most experts
// are on several ranks, so that most lists of experts are a valid map.
func (o options) shape() standin.Shape {
	s := standin.Shape{Sets: 2, Experts: 12, Places: 6, Spare: 2}
	if o.stressesSwitches() {
		s.Places = 8
	}
	return s
}

// relay is a fault proxy in front of one address.
type relay struct {
	*proxy.Network
	published, target string // IP:port
	real              string // IP of the target
	mu                sync.Mutex
	latency           time.Duration
}

// newRelay returns a relay that forwards connections from the published address to the
// target.
func newRelay(published, real string) (*relay, error) {
	ip, _, err := net.SplitHostPort(real)
	if err != nil {
		return nil, err
	}
	r := &relay{published: published, target: real, real: ip}
	r.Network = proxy.New(func(proxy.Pair) time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.latency
	})
	return r, r.up()
}

// up starts to accept connections.
func (r *relay) up() error { return r.TCP(r.published, r.target) }

// down refuses connections, as the host of a process that has ended does.
func (r *relay) down() { r.Close() }

// client is the IP from which all processes on this machine connect.
const client = "127.0.0.1"

func (r *relay) delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latency = d
}

// silence holds back what is sent towards the target, back to the client, or both. With
// false it releases what was held back.
func (r *relay) silence(there, back bool) {
	r.Block(client, r.real, there)
	r.Block(r.real, client, back)
}

func (r *relay) reset() { r.Reset(client, r.real) }

func (r *relay) heal() {
	r.delay(0)
	r.silence(false, false)
}

// gateway is the gateway process of an entry VM.
type gateway struct {
	*process
	front, ready, directory string
	callers, store          *relay
}

// backend is a backend server's VM with its current incarnation.
type backend struct {
	service string
	address string // where the runner listens
	relay   *relay
	group   *standin.Group
	rank    int
	zone    string

	mu           sync.Mutex
	runner       *standin.Runner
	incarnations []*standin.Runner
	crashed      *standin.Runner // the last incarnation that crashed
	idReused     bool            // the current incarnation has the id of an earlier one
}

// markCrashed records that an incarnation crashes. It reports whether the incarnation is
// the current one and has not crashed before.
func (b *backend) markCrashed(r *standin.Runner) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runner != r || b.crashed == r {
		return false
	}
	b.crashed = r
	return true
}

// reusedSince returns the start time of an incarnation that has the id of an earlier one. It
// returns zero for others, whose entries need no start time.
func (b *backend) reusedSince(r *standin.Runner) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.idReused {
		return time.Time{}
	}
	return r.Started()
}

func (b *backend) current() *standin.Runner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runner
}

// world is a fleet together with the stand-ins of its platform.
type world struct {
	dir         string
	rnd         *rand.Rand
	store       *standin.Store
	reconciler  *standin.Reconciler
	storeServer *http.Server
	ledger      *standin.Ledger
	gateways    []*gateway
	agents      []*process
	backends    []*backend
	groups      []*standin.Group
	config      *config
	ctx         context.Context
	cancel      context.CancelFunc
	faults      *faults
	seed        uint64
	// rankSettings decide how ranks answer orders; their seed differs from group to group.
	rankSettings standin.GroupSettings
	cold         standin.Service // load limit of the plain service's backend servers after a start
	subnet       byte            // second byte of all addresses
	assignedIDs  int             // number of backend server ids assigned so far
}

func newWorld(b fleet.Binaries, o options, seed uint64) (*world, error) {
	s := o.size
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, seed: seed, rnd: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(), ledger: standin.NewLedger(),
		subnet: byte(100 + os.Getpid()%100), cold: o.cold(),
		rankSettings: o.rankSettings(seed),
	}
	w.reconciler = standin.NewReconciler(w.store)
	w.config = newConfig(w.reconciler, w.cold, o.shape())
	for i := range s.gateways {
		w.gateways = append(w.gateways, w.newGateway(b, i))
	}
	for i := range s.plain {
		w.backends = append(w.backends, &backend{service: plainService, address: w.vmAddress(2, i, 9000), zone: zone(i)})
	}
	for g := range s.groups {
		settings := w.rankSettings
		settings.Seed += uint64(g)
		group := standin.NewGroupWith(fmt.Sprintf("g%d", g), s.ranks, o.shape(), settings)
		w.groups = append(w.groups, group)
		for rank := range s.ranks {
			i := g*s.ranks + rank
			w.backends = append(w.backends, &backend{service: modelService, address: w.vmAddress(1, i, 9000), group: group, rank: rank, zone: zone(i)})
			w.agents = append(w.agents, w.newAgent(b, i))
		}
	}
	return w, nil
}

func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

// vmAddress returns an address of the i-th VM of a kind.
func (w *world) vmAddress(kind byte, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.subnet, kind, i+1, port)
}

func (w *world) newGateway(b fleet.Binaries, i int) *gateway {
	name := fmt.Sprintf("entry-%d", i)
	return &gateway{
		process: w.newProcess(name, b.Entry, "gateway"),
		front:   w.vmAddress(0, i, 8000), ready: w.vmAddress(0, i, 8001), directory: w.vmAddress(0, i, 8002),
	}
}

func (w *world) newAgent(b fleet.Binaries, i int) *process {
	name := fmt.Sprintf("side-%d", i)
	return w.newProcess(name, b.Agent, "rank")
}

func (w *world) newProcess(name, binary, command string) *process {
	settings, log := filepath.Join(w.dir, name+".yaml"), filepath.Join(w.dir, name+".log")
	return &process{vm: name, settings: settings, log: log, child: fleet.NewProcess(binary, command, settings, log)}
}

// start starts the stand-ins and the programs and waits until all gateways are ready.
func (w *world) start(ctx context.Context) error {
	ctx, w.cancel = context.WithCancel(ctx)
	w.ctx = ctx
	real := w.vmAddress(3, 0, 7000)
	ln, err := net.Listen("tcp4", real)
	if err != nil {
		return err
	}
	w.storeServer = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.storeServer.Serve(ln) }() // returns after close
	go w.reconciler.Run(ctx)
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

// published returns the address under which a backend server is listed.
func (w *world) published(i int) string {
	ip, _, _ := net.SplitHostPort(w.backends[i].address)
	return net.JoinHostPort(ip, "9001")
}

// onLethal returns the function that crashes the runner when a lethal request starts to
// run on it.
func (w *world) onLethal(i int, r *standin.Runner) func() {
	return func() { go w.faults.crash(w.ctx, i, r, draw{duration: lethalDown}) }
}

// lethalDown is twice the time for which a backend server is down after a lethal request
// has crashed it: half of a crash's duration passes before the restart.
const lethalDown = 2 * time.Second

// startRunner starts a new incarnation of a backend server, under a new id unless one is
// given, and lists it in the store. Connections from before are closed.
func (w *world) startRunner(i int, id string) error {
	r, err := w.launchRunner(i, id)
	if err != nil {
		return err
	}
	relay := w.backends[i].relay
	relay.down() // it may still be listening
	if err := relay.up(); err != nil {
		return err
	}
	w.list(i, r, false)
	return nil
}

// launchRunner starts a new incarnation of a backend server at its address.
func (w *world) launchRunner(i int, id string) (*standin.Runner, error) {
	b := w.backends[i]
	idReused := id != ""
	if !idReused {
		w.assignedIDs++
		id = fmt.Sprintf("i-%d", w.assignedIDs)
	}
	r := standin.NewRunner(id, b.service, slots, w.ledger, b.group, b.rank)
	r.OnLethal = w.onLethal(i, r)
	if err := r.Start(b.address); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runner = r
	b.incarnations = append(b.incarnations, r)
	b.idReused = idReused
	return r, nil
}

func (w *world) list(i int, r *standin.Runner, draining bool) {
	b := w.backends[i]
	left := time.Duration(0)
	if b.service == plainService && w.cold.ColdPerS > 0 {
		left = max(0, coldTime-time.Since(r.Started()))
	}
	w.reconciler.Put(standin.ServerPrefix+r.ID, standin.EncodeStartedServer(b.service, w.published(i), b.zone, slots, draining, left, b.reusedSince(r)))
}

func (w *world) startProcesses(store string) error {
	seeds := ""
	for i := range min(3, len(w.gateways)) {
		seeds += "\n  - " + w.vmAddress(0, i, 8003)
	}
	for i, g := range w.gateways {
		var err error
		if g.callers, err = newRelay(w.vmAddress(0, i, 8100), g.front); err != nil {
			return err
		}
		if g.store, err = newRelay(w.vmAddress(0, i, 7001), store); err != nil {
			return err
		}
		text := fmt.Sprintf("vm: %s\nzone: %s\nlisten:\n  front: %s\n  ready: %s\n  directory: %s\n  peers: %s\nseeds:%s\nstore: %s\nretry:\n  ratio: 0.2\n  slack: 60\n  window: 10s\ndrain:\n  grace: 8s\n%s",
			g.vm, zone(i), g.front, g.ready, g.directory, w.vmAddress(0, i, 8003), seeds, w.vmAddress(0, i, 7001), scheduling)
		if err := startWith(g.process, text); err != nil {
			return err
		}
	}
	for i, a := range w.agents {
		text := fmt.Sprintf("vm: %s\nzone: %s\nservice: %s\nengine: %s\nlisten:\n  peers: %s\nstore: %s\n",
			a.vm, zone(i), modelService, w.vmAddress(1, i, 9000), w.vmAddress(1, i, 7342), store)
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

// startLimit is the maximum time until all gateways of a fleet are ready.
const startLimit = 15 * time.Second

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, g := range w.gateways {
		for !standin.Ready(ctx, g.ready) {
			if !wait.Sleep(ctx, 50*time.Millisecond) {
				return errors.New(g.vm + " was not ready in time")
			}
		}
	}
	return nil
}

// close stops everything that the world started and removes its folder.
func (w *world) close() {
	for _, g := range w.gateways {
		g.terminate()
		if g.callers != nil {
			g.callers.Close()
		}
		if g.store != nil {
			g.store.Close()
		}
	}
	for _, a := range w.agents {
		a.terminate()
	}
	for _, b := range w.backends {
		if r := b.current(); r != nil {
			r.Crash()
		}
		if b.relay != nil {
			b.relay.Close()
		}
	}
	if w.storeServer != nil {
		_ = w.storeServer.Close()
	}
	if w.cancel != nil {
		w.cancel()
	}
	_ = os.RemoveAll(w.dir)
}

// keepLogs moves the processes' logs and the groups' histories to a folder and returns it.
func (w *world) keepLogs(folder string) string {
	for _, g := range w.groups {
		history := strings.Join(g.History(), "\n") + "\n"
		if err := os.WriteFile(filepath.Join(w.dir, g.Name+"-history.log"), []byte(history), 0o644); err != nil {
			return err.Error()
		}
	}
	if folder == "" {
		folder = os.TempDir()
	}
	kept := filepath.Join(folder, fmt.Sprintf("soak-seed-%d-%d", w.seed, time.Now().Unix()))
	if err := os.Rename(w.dir, kept); err != nil {
		return err.Error()
	}
	return kept
}
