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
	// callers is how many callers there are; each keeps a connection open for
	// many requests.
	callers = 24
	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = 5 * time.Second
	// addressTTL is how long callers keep the addresses that they were told.
	addressTTL = 2 * time.Second
	// keepShare is the part of the requests after which a caller keeps its
	// connection.
	keepShare = 0.9
)

// load is the callers with all their attempts.
type load struct {
	world *world
	run   sync.WaitGroup

	mu       sync.Mutex
	attempts []standin.Attempt
}

func newLoad(w *world) *load { return &load{world: w} }

// begin starts the callers, which send the requests a second together.
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

func (l *load) note(a standin.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// connect maps a gateway's front address to the fault proxy before it.
func (l *load) connect(front string) string {
	for i, g := range l.world.gateways {
		if g.front == front {
			return l.world.at(0, i, 8100)
		}
	}
	return front
}

// caller sends one request after the other.
type caller struct {
	load      *load
	index     int
	rnd       *rand.Rand
	addresses []string
	asked     time.Time
	conn      *standin.Conn
	sent      int
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

// connect makes sure that there is a connection.
func (c *caller) connect(ctx context.Context, sender *standin.Caller) bool {
	if c.conn != nil {
		return true
	}
	if time.Since(c.asked) > addressTTL {
		c.resolve(ctx)
	}
	if len(c.addresses) == 0 {
		return false
	}
	conn, err := sender.Dial(c.addresses[c.rnd.IntN(len(c.addresses))])
	if err != nil {
		c.asked = time.Time{} // another address next time
		return false
	}
	c.conn = conn
	return true
}

// resolve asks up to three gateways where to connect.
func (c *caller) resolve(ctx context.Context) {
	gateways := c.load.world.gateways
	for i := range min(3, len(gateways)) {
		g := gateways[(c.index+i)%len(gateways)]
		asking, cancel := context.WithTimeout(ctx, time.Second)
		addresses, err := standin.Resolve(asking, g.directory, host, zone(c.index))
		cancel()
		if err == nil && len(addresses) > 0 {
			c.addresses, c.asked = addresses, time.Now()
			return
		}
	}
}

// send makes one attempt of a kind drawn at random.
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
	c.load.note(a)
	if !keep || c.rnd.Float64() > keepShare {
		_ = c.conn.Close() // nothing is in flight on it
		c.conn = nil
	}
}
