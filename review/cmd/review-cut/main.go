// Command review-cut plays the case in which a runner is partitioned from all VMs of the
// system, crashes behind the cut and starts again, while it answers a request without a
// length.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"baywall.example/platform/standin"
	"baywall.example/review/rig"
)

const (
	gateways = 3
	runners  = 3
	slots    = 6
	clients  = 12

	warmUp = 4 * time.Second // clients send, nothing is disturbed
	rounds = 4
	pause  = 8 * time.Second // between two rounds

	cutFor      = 2 * time.Second
	crashAfter  = 150 * time.Millisecond // after the start of the cut
	startAfter  = 500 * time.Millisecond // after the crash
	cutAfter    = 30 * time.Millisecond  // after the first half of the answer, which takes less on its way
	roundLimit  = 5 * time.Second        // until an answer without a length is being given
	deadline    = 4 * time.Second
	oneUnframed = 20 // one answer in that many of a runner's has no length: 5 in 100
	unframing   = 1  // runners, of 3, that give such answers: a share of 0.33
)

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", ".", "folder of the repository")
	out := flag.String("record", "record.txt", "file to write the record to")
	trouble := flag.Bool("trouble", true, "cut off and crash runners")
	flag.Parse()
	record, err := rig.NewRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	c := &testCase{record: record, root: *root, trouble: *trouble, half: make(chan half, 100)}
	if err := c.play(); err != nil {
		record.Add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return c.judge()
}

// half says that a runner has sent the first half of an answer without a length.
type half struct {
	place   int // of the runner
	request string
}

// place is where a runner runs: the incarnation at present and the path to it.
type place struct {
	proxy  *rig.Proxy
	listed string // address in the store
	mu     sync.Mutex
	runner *rig.Runner
}

type testCase struct {
	record  *rig.Record
	root    string
	trouble bool
	world   *rig.World
	places  []*place
	half    chan half
	started int // runners so far
	done    chan struct{}

	mu                            sync.Mutex
	sent, served, refused, failed int
	rounds                        int
	breaches                      []string
}

func (c *testCase) play() error {
	w, err := rig.NewWorld(c.root, c.record)
	if err != nil {
		return err
	}
	defer w.Close()
	c.world = w
	defer c.stopRunners()
	for i := range runners {
		if err := c.addPlace(i); err != nil {
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
	c.done = make(chan struct{})
	var wait sync.WaitGroup
	for i := range clients {
		wait.Go(func() { c.client(w.Gateways[i%gateways], i) })
	}
	time.Sleep(warmUp)
	for range rounds {
		c.round()
		time.Sleep(pause)
	}
	close(c.done)
	wait.Wait()
	return nil
}

func (c *testCase) addPlace(i int) error {
	p := &place{listed: c.world.RunnerAddress(2, i)}
	c.places = append(c.places, p)
	if err := c.startRunner(i); err != nil {
		return err
	}
	proxy, err := rig.NewProxy(p.listed, p.runner.Address)
	if err != nil {
		return err
	}
	p.proxy = proxy
	c.list(i)
	return nil
}

// startRunner starts the next incarnation of a runner.
func (c *testCase) startRunner(i int) error {
	c.started++
	id := fmt.Sprintf("i-%08x", 0x7f3a9000+c.started)
	unframed := 0
	if i < unframing {
		unframed = oneUnframed
	}
	r, err := rig.StartRunner(filepath.Join(c.root, "target/review-runner"), id, c.world.Address(2, i, 9228), slots, unframed, func(line string) {
		c.record.Add("runner %s: %s", id, line)
		if request, ok := strings.CutPrefix(line, "half "); ok {
			select {
			case c.half <- half{i, request}:
			default: // nobody waits for it
			}
		}
	})
	if err != nil {
		return err
	}
	p := c.places[i]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runner = r
	return nil
}

func (p *place) current() *rig.Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runner
}

// list writes the entry of a runner into the store.
func (c *testCase) list(i int) {
	p := c.places[i]
	c.world.Store.Put(standin.ServerPrefix+p.current().ID, rig.Entry(rig.PlainService, p.listed, rig.Zone(i), slots, "ready", 1))
}

func (c *testCase) stopRunners() {
	for _, p := range c.places {
		if p.proxy != nil {
			p.proxy.Close()
		}
		if r := p.current(); r != nil {
			r.Kill()
		}
	}
}

// round waits for an answer without a length and cuts off the runner that gives it. The
// runner crashes behind the cut, starts again, and the cut heals.
func (c *testCase) round() {
	for len(c.half) > 0 {
		<-c.half
	}
	var h half
	select {
	case h = <-c.half:
	case <-time.After(roundLimit):
		c.record.Add("no answer without a length in this round")
		return
	}
	c.rounds++
	if !c.trouble {
		return
	}
	p, old := c.places[h.place], c.places[h.place].current()
	time.Sleep(cutAfter)
	began := time.Now()
	p.proxy.Cut()
	c.record.Add("DISRUPTION runner %s is cut off from all machines; it has sent half of its answer to %s", old.ID, h.request)
	time.Sleep(crashAfter)
	old.Kill()
	c.record.Add("DISRUPTION runner %s crashes behind the cut", old.ID)
	time.Sleep(startAfter)
	if err := c.startRunner(h.place); err != nil {
		c.record.Add("runner does not start again: %v", err)
		return
	}
	c.record.Add("DISRUPTION runner %s starts in its place, behind the cut", p.current().ID)
	time.Sleep(cutFor - time.Since(began))
	p.proxy.Heal()
	c.record.Add("the cut has healed after %s", time.Since(began).Round(time.Millisecond))
	c.list(h.place)
	// The store removes the entry of a runner after three heartbeat intervals of silence.
	time.Sleep(3*1200*time.Millisecond - time.Since(began))
	c.world.Store.Delete(standin.ServerPrefix + old.ID)
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
			c.record.Add("BROKEN request %s through %s: status %d, seal %q, Content-Length %q, %d bytes read to their end: %s",
				a.ID, g.Name, a.Status, a.Header.Get("X-Server-Seal"), a.Header.Get("Content-Length"), len(a.Body), problem)
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
	summary := fmt.Sprintf("sent %d, success %d, refused %d, failed %d; rounds %d; successes that break MIXED: %d", c.sent, c.served, c.refused, c.failed, c.rounds, len(c.breaches))
	c.record.Add("%s", summary)
	fmt.Println(summary)
	switch {
	case len(c.breaches) > 0:
		return 1
	case c.served < c.sent*9/10 || c.rounds == 0:
		c.record.Add("could not run: too few requests were served, or no answer had no length")
		return 2
	default:
		return 0
	}
}
