// Package rig runs the project's own gateways as processes, with stand-ins of the platform's
// store, of runners and of clients on loopback addresses, for the cases of this review.
package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"baywall.example/platform/standin"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: out, began: time.Now()}, nil
}

// Logf writes a line with the time since the start, also to standard output.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.out.WriteString(line)
}

// IP is the loopback address of this run, so that runs beside each other don't meet. Ports are
// below those that the system gives to outgoing connections.
var (
	IP       = fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	portMu   sync.Mutex
	nextPort = 12000 + os.Getpid()%1000
)

// Note writes a line to the file only: what was sent, answered and run.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// FreePort returns an address of this run whose port is free.
func FreePort() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		nextPort++
		address := fmt.Sprintf("%s:%d", IP, nextPort)
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
}

// Process is a process that the case started.
type Process struct {
	Name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts a program. The lines that it writes go to onLine, which may be nil, or to a file in
// the folder.
func Start(dir, name string, onLine func(string), argv ...string) (*Process, error) {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	if onLine == nil {
		cmd.Stdout = log
	} else {
		pipe, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		go func() {
			for s := bufio.NewScanner(pipe); s.Scan(); {
				onLine(s.Text())
			}
		}()
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Gateway is a gateway process, started with the command and the settings of the deploy file.
type Gateway struct {
	*Process
	Front, Ready, Directory, Peers, Metrics string
	VM                                      string
	dir, settings                           string
}

// Platform holds the store and what the case started.
type Platform struct {
	Dir      string
	Record   *Record
	Store    *standin.Store
	Address  string
	Gateways []*Gateway
	// Within and Heartbeat are settings of the gateways: config-apply-ms and heartbeat-ms.
	Within, Heartbeat time.Duration

	mu    sync.Mutex
	procs []*Process
}

// NewPlatform starts the store.
func NewPlatform(record *Record) (*Platform, error) {
	dir, err := os.MkdirTemp("", "second-")
	if err != nil {
		return nil, err
	}
	p := &Platform{Dir: dir, Record: record, Store: standin.NewStore(), Within: 2 * time.Second, Heartbeat: 1200 * time.Millisecond}
	ln, err := net.Listen("tcp4", FreePort())
	if err != nil {
		return nil, err
	}
	p.Address = ln.Addr().String()
	go func() { _ = http.Serve(ln, p.Store) }()
	return p, nil
}

// Track has the process killed when the case ends.
func (p *Platform) Track(q *Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.procs = append(p.procs, q)
}

// Close kills everything that the case started and removes its folder.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.procs {
		q.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.Dir)
	}
}

const settingsFormat = `vm: %q
zone: %q
listen:
  front: %q
  ready: %q
  directory: %q
  peers: %q
  metrics: %q
seeds: [%s]
bootstrap: true
store: %q
follow:
  within: %s
  heartbeat: %s
machine:
  cpu_share: 0.4
  cores: 1
retry:
  ratio: 0.2
  slack: 92
  window: 10s
scheduling:
  queue: true
  server_speed: true
  concurrency_limit: true
drain:
  grace: 8s
`

// StartGateways starts gateways, one in each of some zones, and waits until they are ready.
func (p *Platform) StartGateways(n int) error {
	var peers []string
	for range n {
		peers = append(peers, FreePort())
	}
	quoted := make([]string, n)
	for i := range peers {
		quoted[i] = fmt.Sprintf("%q", peers[i])
	}
	for i := range n {
		g := &Gateway{
			VM: fmt.Sprintf("edge-%d", i+1), Front: FreePort(), Ready: FreePort(), Directory: FreePort(), Peers: peers[i], Metrics: FreePort(),
			dir: p.Dir,
		}
		g.settings = filepath.Join(p.Dir, g.VM+".yaml")
		text := fmt.Sprintf(settingsFormat, g.VM, Zones[i%len(Zones)], g.Front, g.Ready, g.Directory, g.Peers, g.Metrics,
			strings.Join(quoted[:min(n, 3)], ", "), p.Address, p.Within, p.Heartbeat)
		if err := os.WriteFile(g.settings, []byte(text), 0o644); err != nil {
			return err
		}
		if err := p.Run(g); err != nil {
			return err
		}
		p.Gateways = append(p.Gateways, g)
	}
	for _, g := range p.Gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return p.EndedByItself()
}

// Zones are the zones of the deployment.
var Zones = []string{"hall-medina", "hall-thyna", "hall-sakiet"}

// Run starts a gateway's process, also once more after it has ended.
func (p *Platform) Run(g *Gateway) error {
	q, err := Start(g.dir, g.VM, nil, "target/baywall", "gateway", "-settings", g.settings)
	if err != nil {
		return err
	}
	g.Process = q
	p.Track(q)
	return nil
}

// EndedByItself returns an error if a gateway's process has ended.
func (p *Platform) EndedByItself() error {
	for _, g := range p.Gateways {
		if g.Ended() {
			return fmt.Errorf("%s has ended by itself", g.VM)
		}
	}
	return nil
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + g.Ready + "/-/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.VM)
}

// Entry is a runner's entry in the store.
type Entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  int    `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold-left-ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born,omitempty"`
}

// Publish writes a runner's entry.
func (p *Platform) Publish(id string, e Entry) {
	raw, _ := json.Marshal(e)
	p.Store.Put(standin.ServerPrefix+id, raw)
}

// Configure writes a configuration.
func (p *Platform) Configure(doc any) {
	raw, _ := json.Marshal(doc)
	p.Store.Put(standin.ConfigKey, raw)
}

// Link is a proxy that stands for the link between the entry VMs and one runner. While it is cut,
// what either side sends is held back; it arrives once the cut has healed, ends of connections too.
type Link struct {
	Address string
	target  string
	mu      sync.Mutex
	open    chan struct{} // closed while the link is whole
}

// NewLink returns a link to the target.
func NewLink(target string) (*Link, error) {
	ln, err := net.Listen("tcp4", FreePort())
	if err != nil {
		return nil, err
	}
	l := &Link{Address: ln.Addr().String(), target: target, open: make(chan struct{})}
	close(l.open)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c.(*net.TCPConn))
		}
	}()
	return l, nil
}

// Cut cuts the link.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

// Heal ends the cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

func (l *Link) wait() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *Link) carry(near *net.TCPConn) {
	l.wait()
	c, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = near.SetLinger(0) // a host without a listener resets the connection
		_ = near.Close()
		return
	}
	far := c.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { l.pump(far, near) })
	both.Go(func() { l.pump(near, far) })
	both.Wait()
	_ = near.Close()
	_ = far.Close()
}

// pump carries bytes, the end of the connection and a reset of it in one direction.
func (l *Link) pump(to, from *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err == nil {
			continue
		}
		if err.Error() == "EOF" {
			_ = to.CloseWrite()
			return
		}
		_ = to.SetLinger(0)
		_ = to.Close()
		return
	}
}
