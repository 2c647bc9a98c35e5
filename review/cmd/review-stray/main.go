// Command review-stray plays the case in which a faulty runner sends additional bytes after a
// complete answer, late: when the next request has arrived on the same connection.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baywall.example/platform/standin"
	"baywall.example/review/rig"
)

const (
	gateways = 3
	runners  = 3
	slots    = 6
	clients  = 12

	warmUp  = 4 * time.Second // clients send, nothing is disturbed
	windows = 3
	// Each window of disruption lasts windowTime, with a pause of the same length after it.
	windowTime = 5 * time.Second
	// In a window, faultyRunners send additional bytes after one answer in oneSpoilt.
	faultyRunners = 1  // of 3: a share of 0.33
	oneSpoilt     = 34 // 0.0294 of the answers
	deadline      = 4 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", ".", "folder of the repository")
	out := flag.String("record", "record.txt", "file to write the record to")
	trouble := flag.Bool("trouble", true, "send additional bytes")
	flag.Parse()
	record, err := rig.NewRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	c := &testCase{record: record, trouble: *trouble, done: make(chan struct{})}
	if err := c.play(*root); err != nil {
		record.Add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return c.judge()
}

type testCase struct {
	record  *rig.Record
	trouble bool
	active  atomic.Bool // in a window of disruption
	done    chan struct{}

	mu                            sync.Mutex
	sent, served, refused, failed int
	spoilt, written               int
	breaches                      []string
}

func (c *testCase) play(root string) error {
	w, err := rig.NewWorld(root, c.record)
	if err != nil {
		return err
	}
	defer w.Close()
	for i := range runners {
		if err := c.startRunner(w, i); err != nil {
			return err
		}
	}
	w.Store.Put(standin.ConfigKey, rig.Config(7, rig.Shape{Sets: 2, Experts: 12, Places: 6, Spare: 2}, 12))
	if err := w.StartGateways(gateways); err != nil {
		return err
	}
	if err := w.AwaitReady(context.Background()); err != nil {
		return err
	}
	c.record.Add("%d gateways, %d runners of a plain service, %d clients", gateways, runners, clients)
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() { c.client(w.Gateways[i%gateways], i) })
	}
	time.Sleep(warmUp)
	for range windows {
		if c.trouble {
			c.active.Store(true)
			c.record.Add("DISRUPTION %d of %d runners begin to send additional bytes after one answer in %d, late", faultyRunners, runners, oneSpoilt)
		}
		time.Sleep(windowTime)
		c.active.Store(false)
		c.record.Add("the window is over")
		time.Sleep(windowTime)
	}
	close(c.done)
	wait.Wait()
	return nil
}

// runner is a runner of a plain service.
type runner struct {
	c       *testCase
	id      string
	answers atomic.Int64 // in windows of disruption
}

func (c *testCase) startRunner(w *rig.World, i int) error {
	address := w.RunnerAddress(2, i)
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r := &runner{c: c, id: fmt.Sprintf("i-%08x", 0x7f3a9101+i)}
	service := &rig.PlainRunner{
		ID: r.id, Slots: make(chan struct{}, slots),
		Runs: func(_ *http.Request, id string) { c.record.Add("runner %s: runs %s", r.id, id) },
		Answered: func(req *http.Request, id string) {
			c.record.Add("runner %s: answered %s", r.id, id)
			if i < faultyRunners {
				r.spoil(req, id)
			}
		},
	}
	server := &http.Server{
		Handler: service, ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = server.Serve(listener{ln}) }() // ends with the process
	w.Store.Put(standin.ServerPrefix+r.id, rig.Entry(rig.PlainService, address, rig.Zone(i), slots, "ready", 1))
	return nil
}

// stray returns the additional bytes that a faulty runner sends. They look like its answer to a
// health check: they name no request and bear no signature.
func (r *runner) stray() []byte {
	return []byte("HTTP/1.1 200 OK\r\nX-Instance-Id: " + r.id + "\r\nX-Instance-Load: 3,0,6\r\nContent-Length: 0\r\n\r\n")
}

// spoil lets the additional bytes follow the answer, if it is the turn of this one.
func (r *runner) spoil(req *http.Request, id string) {
	if !r.c.active.Load() || r.answers.Add(1)%oneSpoilt != 0 {
		return
	}
	conn, ok := req.Context().Value(connKey{}).(*strayConn)
	if !ok {
		return
	}
	r.c.count(&r.c.spoilt)
	bytes := r.stray()
	conn.later(bytes, func() {
		r.c.count(&r.c.written)
		r.c.record.Add("DISRUPTION runner %s: %d additional bytes after the answer to %s, late", r.id, len(bytes), id)
	})
}

type connKey struct{}

// listener wraps the accepted connections.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &strayConn{Conn: conn}, nil
}

// strayConn is a connection on which additional bytes are sent when the next request has
// arrived.
type strayConn struct {
	net.Conn
	mu      sync.Mutex
	stray   []byte // nil = nothing is to be sent
	written func()
}

func (c *strayConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.stray != nil {
		if _, werr := c.Write(c.stray); werr == nil {
			c.written()
		}
		c.stray = nil
	}
	return n, err
}

// later sends the bytes when the next request arrives, and then calls written.
func (c *strayConn) later(stray []byte, written func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stray, c.written = stray, written
}

func (c *testCase) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// client sends one request after the other on a kept connection: safe and unsafe ones in turn.
func (c *testCase) client(g *rig.Gateway, number int) {
	client := &rig.Client{Front: g.Front}
	defer client.Close()
	for i := number; ; i++ {
		select {
		case <-c.done:
			return
		default:
		}
		method, path, body := http.MethodGet, rig.SafePath+"fi50/2f", []byte(nil)
		if i%2 == 1 {
			method, path, body = http.MethodPost, rig.UnsafePath+"2f", []byte("body")
		}
		sent := time.Now()
		a := client.Send(method, path, body, deadline, nil)
		c.record.Add("client at %s: %s %s, sent as %s; answered after %s: %s", g.Name, method, path, a.ID, time.Since(sent).Round(time.Millisecond), a)
		c.note(g, a)
		time.Sleep(40 * time.Millisecond)
	}
}

func (c *testCase) note(g *rig.Gateway, a rig.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case a.Status >= 200 && a.Status < 300 && a.Whole:
		c.served++
		if problem := check(a); problem != "" {
			c.breaches = append(c.breaches, a.ID)
			c.record.Add("BROKEN request %s through %s: status %d, seal %q, id in the answer %q, body %.40q: %s",
				a.ID, g.Name, a.Status, a.Header.Get("X-Server-Seal"), a.Header.Get("X-Attempt-Id"), a.Body, problem)
		}
	case a.Status == http.StatusServiceUnavailable:
		c.refused++
		c.record.Add("request %s through %s: refused, %d %s", a.ID, g.Name, a.Status, a.Header.Get("Baywall-Reason"))
	default:
		c.failed++
		c.record.Add("request %s through %s: status %d, %v", a.ID, g.Name, a.Status, a.Err)
	}
}

// check returns what is wrong with a success, or an empty string.
func check(a rig.Answer) string {
	if !strings.HasSuffix(a.Header.Get("X-Server-Seal"), "."+a.ID) {
		return "a success without the seal of a runner for this request"
	}
	if want := rig.PlainBody(a.ID); string(a.Body) != string(want) {
		return fmt.Sprintf("a success whose body is not the runner's whole body of %d bytes", len(want))
	}
	return ""
}

func (c *testCase) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := fmt.Sprintf("sent %d, success %d, refused %d, failed %d; answers spoilt %d, of these with bytes sent %d; successes that break MIXED: %d",
		c.sent, c.served, c.refused, c.failed, c.spoilt, c.written, len(c.breaches))
	c.record.Add("%s", summary)
	fmt.Println(summary)
	switch {
	case len(c.breaches) > 0:
		return 1
	case c.served < c.sent*9/10 || c.trouble && c.written == 0:
		c.record.Add("could not run: too few requests were served, or no additional bytes were sent")
		return 2
	default:
		return 0
	}
}
