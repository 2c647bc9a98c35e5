package rig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"baywall.example/platform/standin"
)

// Ports of the processes, each of which has a loopback address of its own.
const (
	portFront     = 8227
	portReady     = 8220
	portControl   = 8229
	portDirectory = 8224
	portStore     = 8223
	portRunner    = 8228
)

// Zones are the availability zones, in the order in which VMs are placed in them.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Gateway is a gateway process.
type Gateway struct {
	*Process
	Name, Front, Ready string
}

// World is a deployment: gateways, agents and the platform's store.
type World struct {
	Store    *standin.Store
	Gateways []*Gateway
	Agents   []*Process
	Record   *Record
	// GatewayStore and AgentStore are the addresses of the store that the processes get.
	GatewayStore, AgentStore string

	dir, root string
	subnet    int
	server    *http.Server
}

// NewWorld starts the store on unused loopback addresses. The root is the folder of the
// repository, in which the programs have been built.
func NewWorld(root string, record *Record) (*World, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &World{Store: standin.NewStore(), Record: record, dir: dir, root: root}
	for try := range 100 {
		w.subnet = 20 + (os.Getpid()+try)%200
		ln, err := net.Listen("tcp4", w.Address(3, 0, portStore))
		if err != nil {
			continue // used by another run
		}
		w.GatewayStore, w.AgentStore = w.Address(3, 0, portStore), w.Address(3, 0, portStore)
		w.server = &http.Server{Handler: w.Store, ReadHeaderTimeout: time.Second}
		go func() { _ = w.server.Serve(ln) }() // ends with Close
		return w, nil
	}
	return nil, errors.New("no free loopback network")
}

// ServeStore serves another store at the i-th further address of the platform, and returns the
// address. It ends with the process.
func (w *World) ServeStore(i int, handler http.Handler) (string, error) {
	address := w.Address(3, i+1, portStore)
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }() // ends with the process
	return address, nil
}

// Address returns an address of the i-th VM of a kind: 0 gateways, 1 runners with an agent,
// 2 other runners, 3 the platform.
func (w *World) Address(kind, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.subnet, kind, i+1, port)
}

// RunnerAddress returns the address of a runner of a kind.
func (w *World) RunnerAddress(kind, i int) string { return w.Address(kind, i, portRunner) }

func (w *World) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", w.subnet, kind, i+1) }

// Zone returns the availability zone of the i-th VM of any kind.
func Zone(i int) string { return Zones[i%len(Zones)] }

// seeds are the control addresses of the first three gateways.
func (w *World) seeds(gateways int) []string {
	var out []string
	for i := range min(3, gateways) {
		out = append(out, w.Address(0, i, portControl))
	}
	return out
}

// StartGateways starts gateways with the template of the deploy file and the bounds of the
// site rmsn-ci.
func (w *World) StartGateways(n int) error {
	for i := range n {
		name := fmt.Sprintf("edge-%s-%d", Zone(i), i/len(Zones)+1)
		g := &Gateway{Name: name, Front: w.Address(0, i, portFront), Ready: w.Address(0, i, portReady)}
		p, err := w.startProcess(name, "target/baywall", "gateway", "deploy/gateway.yaml", map[string]any{
			"node-name": name, "zone": Zone(i), "ip": w.ip(0, i),
			"bind.front": g.Front, "bind.ready": g.Ready,
			"bind.directory": w.Address(0, i, portDirectory), "bind.control": w.Address(0, i, portControl),
			"seeds": w.seeds(n), "bootstrap": true, "platform.address": w.GatewayStore,
			"bounds.config-apply-ms": 2000, "heartbeat-ms": 1200,
			"limits.cpu-share": 0.4, "limits.cores": 1,
			"bounds.retry-budget-ratio": 0.2, "bounds.retry-slack": 92, "bounds.retry-window-s": 10, "bounds.grace-s": 8,
		})
		if err != nil {
			return err
		}
		g.Process = p
		w.Gateways = append(w.Gateways, g)
	}
	return nil
}

// StartAgents starts an agent beside each of n runners of kind 1.
func (w *World) StartAgents(n, gateways int, service string) error {
	for i := range n {
		name := fmt.Sprintf("side-%s-%d", Zone(i), i/len(Zones)+1)
		p, err := w.startProcess(name, "target/baywall-agent", "rank", "deploy/rank.yaml", map[string]any{
			"node-name": name, "zone": Zone(i), "ip": w.ip(1, i), "service": service, "app": w.RunnerAddress(1, i),
			"seeds": w.seeds(gateways), "platform.address": w.AgentStore, "limits.link-mbps": 20,
		})
		if err != nil {
			return err
		}
		w.Agents = append(w.Agents, p)
	}
	return nil
}

func (w *World) startProcess(name, binary, command, template string, fields map[string]any) (*Process, error) {
	text, err := fill(filepath.Join(w.root, template), fields)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	return startProgram(w.root, filepath.Join(w.root, binary), command, settings, w.LogPath(name))
}

// LogPath returns the log file of a process.
func (w *World) LogPath(name string) string { return filepath.Join(w.dir, name+".log") }

// AwaitReady waits until all gateways answer the readiness check.
func (w *World) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for _, g := range w.Gateways {
		for !standin.Ready(ctx, g.Ready) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s was not ready in time", g.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and removes their files.
func (w *World) Close() {
	for _, g := range w.Gateways {
		g.Kill()
	}
	for _, p := range w.Agents {
		p.Kill()
	}
	_ = w.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
