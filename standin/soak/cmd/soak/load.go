package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

const (
	// callers is the number of callers. Each keeps a connection open for many requests.
	callers = 24
	// callerDeadline is how long a caller waits for a response.
	callerDeadline = 5 * time.Second
	// addressTTL is how long callers cache resolved gateway addresses.
	addressTTL = 2 * time.Second
	// keepAliveShare is the fraction of requests after which a caller keeps its connection
	// open.
	keepAliveShare = 0.9
)

// load runs the callers and records all their attempts.
type load struct {
	world *world
	run   sync.WaitGroup

	mu       sync.Mutex
	attempts []standin.Attempt
}

func newLoad(w *world) *load { return &load{world: w} }

// begin starts the callers, which together send rate requests a second.
func (l *load) begin(ctx context.Context, rate int) {
	for i := range callers {
		l.run.Add(1)
		go func() {
			defer l.run.Done()
			c := &caller{load: l, index: i, rnd: rand.New(rand.NewPCG(l.world.seed, uint64(i)+2))}
			c.run(ctx, time.Second*callers/time.Duration(rate))
		}()
	}
}

func (l *load) wait() { l.run.Wait() }

func (l *load) record(a standin.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// connect maps a gateway's front address to the address of the fault proxy in front of it.
func (l *load) connect(front string) string {
	for i, g := range l.world.gateways {
		if g.front == front {
			return l.world.vmAddress(0, i, 8100)
		}
	}
	return front
}

// caller sends requests one at a time.
type caller struct {
	load       *load
	index      int
	rnd        *rand.Rand
	addresses  []string
	resolvedAt time.Time
	conn       *standin.Conn
	sent       int
}

func (c *caller) run(ctx context.Context, interval time.Duration) {
	sender := &standin.Caller{Host: host, Key: teamKey, Connect: c.load.connect, Deadline: callerDeadline}
	for ctx.Err() == nil {
		if c.connect(ctx, sender) {
			c.send(sender)
		}
		wait.Sleep(ctx, time.Duration(float64(interval)*(0.5+c.rnd.Float64())))
	}
	if c.conn != nil {
		_ = c.conn.Close() // nothing is in flight on it
	}
}

// connect opens a connection if there is none and reports whether there is one.
func (c *caller) connect(ctx context.Context, sender *standin.Caller) bool {
	if c.conn != nil {
		return true
	}
	if time.Since(c.resolvedAt) > addressTTL {
		c.resolve(ctx)
	}
	if len(c.addresses) == 0 {
		return false
	}
	conn, err := sender.Dial(c.addresses[c.rnd.IntN(len(c.addresses))])
	if err != nil {
		c.resolvedAt = time.Time{} // resolve again on the next try
		return false
	}
	c.conn = conn
	return true
}

// resolve queries up to three gateways for the addresses to connect to.
func (c *caller) resolve(ctx context.Context) {
	gateways := c.load.world.gateways
	for i := range min(3, len(gateways)) {
		g := gateways[(c.index+i)%len(gateways)]
		asking, cancel := context.WithTimeout(ctx, time.Second)
		addresses, err := standin.Resolve(asking, g.directory, host, zone(c.index))
		cancel()
		if err == nil && len(addresses) > 0 {
			c.addresses, c.resolvedAt = addresses, time.Now()
			return
		}
	}
}

// send sends one request of a randomly drawn kind.
func (c *caller) send(sender *standin.Caller) {
	c.sent++
	id := fmt.Sprintf("a%d-%d", c.index, c.sent)
	kind, path := standin.KindStream, streamPath
	switch c.rnd.IntN(3) {
	case 0:
		kind, path = standin.KindSafe, safePath
	case 1:
		kind, path = standin.KindUnsafe, unsafePath
	}
	a, keep := sender.Send(c.conn, id, kind, path+id)
	c.load.record(a)
	if !keep || c.rnd.Float64() > keepAliveShare {
		_ = c.conn.Close() // nothing is in flight on it
		c.conn = nil
	}
}
