package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	agentserver "baywall.example/agent/server"
	"baywall.example/core/expertmap"
	"baywall.example/core/resource"
	"baywall.example/core/settings"
	"baywall.example/core/vm"
	"baywall.example/core/zone"
	"baywall.example/entry/api"
	entryserver "baywall.example/entry/server"
	"baywall.example/standin/engine"
	"baywall.example/standin/faults"
	"baywall.example/standin/ledger"
	"baywall.example/standin/plain"
	"baywall.example/standin/platform"
)

// Ports on each VM's address. The fault proxy listens on the published ports and forwards
// to the real ones.
const (
	portHTTP        = 8080
	portLink        = 7000
	portProbe       = 7001
	portRealHTTP    = 18080
	portRealLink    = 17000
	portRealProbe   = 17001
	portEngine      = 9000
	portDebug       = 9090
	callerAddress   = "200.1"
	platformAddress = "254.1:9000"
)

// Fleet is a running site.
type Fleet struct {
	Site     Site
	Platform *platform.Platform
	Network  *faults.Network
	Ledger   *ledger.Ledger
	Groups   map[string]*engine.Group
	Runners  map[string][]*engine.Rank  // engine ranks by service, in the order of the runners
	Plain    map[string][]*plain.Server // plain servers by service, in the order of the runners

	dir       string
	binaries  Binaries
	mu        sync.Mutex
	vms       []vm.VM
	processes map[vm.ID]*Process
	addresses map[vm.ID]string
	zones     map[string]string // by IP
	closers   []func()
}

// Options configure the start of a fleet.
type Options struct {
	Binaries Binaries
	Dir      string // for settings and logs
	// Direct starts the fleet without the fault proxy; the list of VMs contains the
	// real addresses of the processes.
	Direct bool
}

// Start starts all stand-ins and processes of the site and waits until every entry VM is
// ready.
func Start(site Site, opts Options) (*Fleet, error) {
	f := &Fleet{
		Site: site, Platform: platform.New(), Ledger: ledger.New(), Groups: make(map[string]*engine.Group), Runners: make(map[string][]*engine.Rank), Plain: make(map[string][]*plain.Server),
		dir: opts.Dir, binaries: opts.Binaries, processes: make(map[vm.ID]*Process),
		addresses: make(map[vm.ID]string), zones: make(map[string]string),
	}
	f.Network = faults.New(f.delay)
	if err := f.start(opts.Direct); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// start starts the platform and the stand-ins of the services, publishes the resources and
// the list of VMs, and then starts the processes.
func (f *Fleet) start(direct bool) error {
	address, err := f.Platform.Serve(f.Site.Network + "." + platformAddress)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, f.Platform.Close)
	f.publishResources()
	for i := range f.Site.EntryVMs {
		if err := f.addEntry(i, "http://"+address, direct); err != nil {
			return err
		}
	}
	host := 0
	for _, svc := range f.Site.Services {
		if err := f.addService(svc, &host, direct); err != nil {
			return err
		}
	}
	f.Platform.SetVMs(f.vms)
	for _, p := range f.processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *Fleet) publishResources() {
	for _, svc := range f.Site.Services {
		spec := svc.Spec
		f.Platform.Put(resource.KindService, svc.Name, spec)
		intent := svc.Intent
		intent.Service = svc.Name
		f.Platform.Put(resource.KindIntent, svc.Name, intent)
	}
	teams := make(map[string]any, len(f.Site.Teams))
	for name, team := range f.Site.Teams {
		teams[name] = team
	}
	f.Platform.PutAll(resource.KindTeam, teams)
}

func (f *Fleet) zoneOf(i int) string { return f.Site.Zones[i%len(f.Site.Zones)] }

func (f *Fleet) delay(p faults.Pair) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	from, to := f.zones[p.From], f.zones[p.To]
	switch {
	case from == "" || to == "":
		return f.Site.CallerDelay
	case from != to:
		return f.Site.ZoneDelay
	default:
		return 0
	}
}

// CallerIP returns the local address of callers.
func (f *Fleet) CallerIP() string { return f.Site.Network + "." + callerAddress }

func (f *Fleet) addEntry(i int, platformURL string, direct bool) error {
	ip := fmt.Sprintf("%s.1.%d", f.Site.Network, i+1)
	id := vm.ID(fmt.Sprintf("entry-%d", i+1))
	f.zones[ip] = f.zoneOf(i)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	s := entryserver.Settings{
		VM: string(id), Zone: f.zoneOf(i),
		HTTP:     entryserver.HTTPSettings{Listen: at(portRealHTTP)},
		Link:     entryserver.LinkSettings{Listen: at(portRealLink)},
		Probe:    entryserver.ProbeSettings{Listen: at(portRealProbe)},
		Platform: entryserver.PlatformSettings{URL: platformURL},
		Callers:  entryserver.CallerSettings{AddressTTL: f.Site.AddressTTL, TicketTTL: f.Site.TicketTTL},
		Retry:    f.Site.Retry,
		Drain:    entryserver.DrainSettings{Linger: &f.Site.DrainLinger},
	}
	for j := range min(3, f.Site.EntryVMs) {
		if j != i {
			s.Seeds = append(s.Seeds, fmt.Sprintf("%s.1.%d:%d", f.Site.Network, j+1, portLink))
		}
	}
	v := vm.VM{ID: id, Zone: zone.ID(f.zoneOf(i)), Role: vm.RoleEntry, State: vm.StateLive}
	v.HTTP, v.Link, v.Probe = at(portHTTP), at(portLink), at(portProbe)
	if direct {
		v.HTTP, v.Link, v.Probe = at(portRealHTTP), at(portRealLink), at(portRealProbe)
		s.Seeds = nil
	} else if err := errors.Join(
		f.Network.TCP(at(portHTTP), at(portRealHTTP)),
		f.Network.TCP(at(portLink), at(portRealLink)),
		f.Network.UDP(at(portProbe), at(portRealProbe)),
	); err != nil {
		return err
	}
	return f.addProcess(v, f.binaries.Entry, &s)
}

func (f *Fleet) addService(svc ServiceSite, host *int, direct bool) error {
	var group *engine.Group
	if svc.Group != nil {
		g, err := f.startGroup(svc)
		if err != nil {
			return err
		}
		group = g
	}
	var ranks []vm.ID
	for i := range svc.Runners {
		*host++
		ip := fmt.Sprintf("%s.2.%d", f.Site.Network, *host)
		id := vm.ID(fmt.Sprintf("%s-%d", svc.Name, i+1))
		ranks = append(ranks, id)
		rank, err := f.rankOf(svc, group, i)
		if err != nil {
			return err
		}
		if err := f.addRunner(svc, rank, id, ip, i, direct); err != nil {
			return err
		}
	}
	if group != nil {
		f.Platform.Put(resource.KindGroup, svc.Name, resource.Group{
			Service: svc.Name, Ranks: ranks, Layers: svc.Group.Layers, Experts: svc.Group.Experts, SlotsPerRank: svc.Group.Slots,
		})
	}
	return nil
}

// rankOf returns the engine rank of a service's i-th runner, or nil if the service is a
// plain one.
func (f *Fleet) rankOf(svc ServiceSite, group *engine.Group, i int) (*engine.Rank, error) {
	var rank *engine.Rank
	switch {
	case group != nil:
		rank = group.Rank(i)
	case svc.Independent:
		g, err := f.newGroup(svc, GroupSite{Layers: 1, Experts: 1, Slots: 1}, 1)
		if err != nil {
			return nil, err
		}
		rank = g.Rank(0)
	default:
		return nil, nil
	}
	f.Runners[svc.Name] = append(f.Runners[svc.Name], rank)
	return rank, nil
}

func (f *Fleet) startGroup(svc ServiceSite) (*engine.Group, error) {
	g, err := f.newGroup(svc, *svc.Group, svc.Runners)
	f.Groups[svc.Name] = g
	return g, err
}

// Defaults of the stand-in for engines.
const (
	defaultBatch = 32
	defaultCache = 64
	loadLag      = 500 * time.Millisecond
	loadTime     = time.Millisecond
)

func (f *Fleet) newGroup(svc ServiceSite, site GroupSite, ranks int) (*engine.Group, error) {
	shape := expertmap.Shape{Ranks: ranks, Slots: site.Slots, Layers: site.Layers, Experts: site.Experts}
	g, err := engine.NewGroup(engine.Options{
		Shape: shape, BaseStep: svc.Step, Batch: settings.Or(svc.Batch, defaultBatch), Cache: settings.Or(svc.Cache, defaultCache),
		LoadLag: loadLag, Fenced: site.Fenced, LoadTime: loadTime,
	}, site.Popularity(shape))
	if err != nil {
		return nil, err
	}
	g.Start()
	f.closers = append(f.closers, g.Stop)
	return g, nil
}

func (f *Fleet) addRunner(svc ServiceSite, rank *engine.Rank, id vm.ID, ip string, index int, direct bool) error {
	f.zones[ip] = f.zoneOf(index)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	s := agentserver.Settings{
		VM: string(id), Zone: f.zoneOf(index),
		Link:   agentserver.LinkSettings{Listen: at(portRealLink)},
		Engine: agentserver.EngineSettings{Address: at(portEngine), Kind: agentserver.KindPlain},
		Drain:  agentserver.DrainSettings{Linger: &f.Site.AgentLinger},
		Debug:  agentserver.DebugSettings{Listen: at(portDebug)},
	}
	if rank != nil {
		s.Engine.Kind = agentserver.KindEngine
		server, err := engine.Serve(at(portEngine), rank, f.Ledger)
		if err != nil {
			return err
		}
		f.closers = append(f.closers, server.Close)
	} else {
		server, err := plain.Serve(at(portEngine), f.Ledger, svc.Delay)
		if err != nil {
			return err
		}
		f.closers = append(f.closers, server.Close)
		f.Plain[svc.Name] = append(f.Plain[svc.Name], server)
	}
	v := vm.VM{ID: id, Zone: zone.ID(f.zoneOf(index)), Role: vm.RoleBackend, Link: at(portLink), Services: []string{svc.Name}, State: vm.StateLive}
	if direct {
		v.Link = at(portRealLink)
	} else if err := f.Network.TCP(at(portLink), at(portRealLink)); err != nil {
		return err
	}
	return f.addProcess(v, f.binaries.Agent, &s)
}

func (f *Fleet) addProcess(v vm.VM, binary string, s any) error {
	raw, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, string(v.ID)+".yaml")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	f.processes[v.ID] = NewProcess(binary, "serve", path, filepath.Join(f.dir, string(v.ID)+".log"))
	return nil
}

// Process returns the child process of a VM.
func (f *Fleet) Process(id vm.ID) *Process { return f.processes[id] }

// VMs returns the list of VMs that was published last.
func (f *Fleet) VMs() []vm.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]vm.VM(nil), f.vms...)
}

// Find returns a VM by its id, or the zero VM if the list does not contain it.
func (f *Fleet) Find(id vm.ID) vm.VM {
	v, _ := vm.List{VMs: f.VMs()}.Find(id)
	return v
}

// SetState publishes a VM as live or leaving; an empty state removes it.
func (f *Fleet) SetState(id vm.ID, state vm.State) {
	f.mu.Lock()
	vms := make([]vm.VM, 0, len(f.vms))
	for _, v := range f.vms {
		if v.ID == id {
			if state == "" {
				continue
			}
			v.State = state
		}
		vms = append(vms, v)
	}
	f.vms = vms
	f.mu.Unlock()
	f.Platform.SetVMs(vms)
}

// IP returns a VM's address.
func (f *Fleet) IP(id vm.ID) string {
	host, _, _ := net.SplitHostPort(f.Find(id).Link)
	return host
}

// DebugAddress returns the address at which a VM's process serves its metrics.
func (f *Fleet) DebugAddress(id vm.ID) string {
	v := f.Find(id)
	if v.Role == vm.RoleEntry {
		return fmt.Sprintf("%s:%d", f.IP(id), portRealHTTP)
	}
	return fmt.Sprintf("%s:%d", f.IP(id), portDebug)
}

// Server returns the address of a VM's backend server, as recorded in the ledger.
func (f *Fleet) Server(id vm.ID) string { return fmt.Sprintf("%s:%d", f.IP(id), portEngine) }

// Entries returns the HTTP addresses of all entry VMs.
func (f *Fleet) Entries() []string {
	var out []string
	for _, v := range f.VMs() {
		if v.Role == vm.RoleEntry {
			out = append(out, v.HTTP)
		}
	}
	return out
}

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
)

// awaitReady waits until every entry VM reports that it serves and has links to its
// runners.
func (f *Fleet) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, address := range f.Entries() {
		for !ready(address) {
			if time.Now().After(deadline) {
				return fmt.Errorf("fleet: %s is not ready after %s", address, readyTimeout)
			}
			time.Sleep(readyInterval)
		}
	}
	return nil
}

func ready(address string) bool {
	_, ok := Revision(address)
	return ok
}

// Revision returns the configuration revision of an entry VM, and false if the
// VM does not answer or is not ready.
func Revision(address string) (uint64, bool) {
	resp, err := http.Get("http://" + address + "/v1/ready")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var answer api.ReadyAnswer
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return 0, false
	}
	return answer.ConfigRevision, true
}

// Stop kills all child processes and closes the stand-ins.
func (f *Fleet) Stop() {
	for _, p := range f.processes {
		p.Continue()
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		if done := p.Done(); done != nil {
			<-done
		}
	}
	f.Network.Close()
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}
