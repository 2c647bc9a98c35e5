package rig

import (
	"io"
	"net"
	"sync"
)

// Proxy is the network path to one address. While it is cut, it holds back everything in both
// directions, the ends of connections and new connections included, and passes it on later.
type Proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open chan struct{} // closed while the path works
	cut  bool
}

// NewProxy accepts connections at an address and passes them on to the target.
func NewProxy(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: ln, target: target, open: make(chan struct{})}
	close(p.open)
	go p.accept()
	return p, nil
}

// Cut cuts the path.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		p.cut, p.open = true, make(chan struct{})
	}
}

// Heal restores the path.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		p.cut = false
		close(p.open)
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	p.Heal()
	_ = p.listener.Close()
}

// await waits until the path works.
func (p *Proxy) await() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(conn.(*net.TCPConn))
	}
}

func (p *Proxy) pass(from *net.TCPConn) {
	p.await()
	raw, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = from.SetLinger(0) // the target refuses connections: reset
		_ = from.Close()
		return
	}
	to := raw.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from) })
	both.Go(func() { p.copy(from, to) })
	both.Wait()
	_ = from.Close()
	_ = to.Close()
}

// copy passes on bytes and the end of one direction. A reset is passed on as a reset.
func (p *Proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		_ = to.SetLinger(0)
		_ = to.Close()
		return
	}
}
