// Package faults implements a proxy between the processes of a fleet that delays,
// holds back and resets their TCP connections and delays or drops their UDP datagrams.
//
// The proxy listens on the addresses that a VM publishes; the VM itself listens on
// other ports of the same IP. Processes bind outgoing connections to their own IP, so
// that the proxy can identify both ends of a connection by IP. It dials the target from
// the IP of the client, so that the target sees the same remote IP as without a proxy.
package faults

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Pair is one direction of traffic between two IPs.
type Pair struct{ From, To string }

// Network is the set of proxied addresses with the faults in force. It is safe
// for concurrent use.
type Network struct {
	delay func(Pair) time.Duration // one-way delay of a direction

	mu      sync.Mutex
	blocked map[Pair]bool
	changed chan struct{} // closed and replaced when blocked changes
	conns   map[*connection]struct{}
	closers []io.Closer
}

// New returns a network without faults. The function delay returns the one-way delay of a
// direction.
func New(delay func(Pair) time.Duration) *Network {
	return &Network{
		delay: delay, blocked: make(map[Pair]bool),
		changed: make(chan struct{}), conns: make(map[*connection]struct{}),
	}
}

// Block blocks or unblocks the direction from one IP to another. Bytes of TCP connections
// are held back while the direction is blocked and sent afterwards, as after an outage of
// a network path. Datagrams are dropped.
func (n *Network) Block(from, to string, blocked bool) {
	n.setBlocked(Pair{from, to}, blocked)
}

// Partition blocks both directions between two sets of IPs, or unblocks them.
func (n *Network) Partition(a, b []string, blocked bool) {
	for _, x := range a {
		for _, y := range b {
			n.setBlocked(Pair{x, y}, blocked)
			n.setBlocked(Pair{y, x}, blocked)
		}
	}
}

func (n *Network) setBlocked(p Pair, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[p] = blocked
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reset resets all TCP connections between two IPs.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.pair == (Pair{a, b}) || c.pair == (Pair{b, a}) {
			c.reset()
		}
	}
}

// awaitUnblocked waits until the direction is not blocked. It returns false if the context
// ends first.
func (n *Network) awaitUnblocked(ctx context.Context, p Pair) bool {
	for {
		n.mu.Lock()
		blocked, changed := n.blocked[p], n.changed
		n.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Close closes all listeners and resets all connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		_ = c.Close()
	}
	for c := range n.conns {
		c.reset()
	}
}

// TCP forwards TCP connections from the published address to the real one.
func (n *Network) TCP(published, real string) error {
	ln, err := net.Listen("tcp", published)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.closers = append(n.closers, ln)
	n.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go n.serve(conn, real)
		}
	}()
	return nil
}

// connection is one proxied connection.
type connection struct {
	pair   Pair // direction from the client to the server
	client net.Conn
	server net.Conn
	cancel context.CancelFunc
}

func (c *connection) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok && tcp != nil {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
	c.cancel()
}

func hostOf(a net.Addr) string {
	host, _, _ := net.SplitHostPort(a.String())
	return host
}

func (n *Network) serve(client net.Conn, real string) {
	host, _, _ := net.SplitHostPort(real)
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{pair: Pair{hostOf(client.RemoteAddr()), host}, client: client, cancel: cancel}
	defer c.reset()
	if !n.awaitUnblocked(ctx, c.pair) {
		return
	}
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.pair.From)}}
	server, err := d.DialContext(ctx, "tcp", real)
	if err != nil {
		return
	}
	c.server = server
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); n.pipe(ctx, client, server, c.pair) }()
	go func() { defer wg.Done(); n.pipe(ctx, server, client, Pair{c.pair.To, c.pair.From}) }()
	wg.Wait()
}

// packet is a piece of data with the time at which it is to be sent on.
type packet struct {
	data []byte
	due  time.Time
}

const (
	pipeBuffer = 32 << 10
	pipeDepth  = 256
)

// pipe forwards one direction of a connection and delays each piece of data.
func (n *Network) pipe(ctx context.Context, from, to net.Conn, p Pair) {
	packets := make(chan packet, pipeDepth)
	go func() {
		defer close(packets)
		for {
			buf := make([]byte, pipeBuffer)
			k, err := from.Read(buf)
			if k > 0 {
				select {
				case packets <- packet{buf[:k], time.Now().Add(n.delay(p))}:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for pk := range packets {
		if wait := time.Until(pk.due); wait > 0 {
			time.Sleep(wait)
		}
		if !n.awaitUnblocked(ctx, p) {
			return
		}
		if _, err := to.Write(pk.data); err != nil {
			_ = from.Close()
			return
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// maxDatagram is the size of the largest datagram that is forwarded whole, in bytes.
const maxDatagram = 16 << 10

// UDP forwards datagrams from the published address to the real one.
func (n *Network) UDP(published, real string) error {
	addr, err := net.ResolveUDPAddr("udp", published)
	if err != nil {
		return err
	}
	target, err := net.ResolveUDPAddr("udp", real)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.closers = append(n.closers, conn)
	n.mu.Unlock()
	go func() {
		for {
			buf := make([]byte, maxDatagram)
			k, from, err := conn.ReadFromUDP(buf)
			if err != nil {
				return
			}
			p := Pair{from.IP.String(), target.IP.String()}
			time.AfterFunc(n.delay(p), func() {
				n.mu.Lock()
				blocked := n.blocked[p]
				n.mu.Unlock()
				if !blocked {
					_, _ = conn.WriteToUDP(buf[:k], target)
				}
			})
		}
	}()
	return nil
}
