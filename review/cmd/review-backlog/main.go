// Command review-backlog plays the case in which the store rejects the gateways for some
// seconds while the operator changes the configuration in quick succession.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"baywall.example/platform/standin"
	"baywall.example/review/rig"
)

const (
	gateways = 8
	groups   = 2
	ranks    = 8 // of a group, with an agent each
	plain    = 3 // runners of the plain service
	slots    = 6

	// The configuration has the routes of the site, and has grown twice since.
	idleRoutes = 110 + 2*350

	warmUp    = 4 * time.Second
	rejectFor = 9 * time.Second
	// storms series of changes come one after the other, 25 changes each.
	storms    = 3
	stormGap  = 80 * time.Millisecond
	stormTime = 2 * time.Second
	// watchFor is how long clients go on after the store serves all machines again.
	watchFor = 26 * time.Second

	// The bounds of the site: a machine is in touch contact after the store's disruption, and
	// handles requests by a configuration apply after that.
	contact = 3 * time.Second
	apply   = 2 * time.Second
	stretch = 5 * time.Second
	drain   = 2 * time.Second

	oldKey   = "anfqasnmgkcuyj8pjbvk" // a key of the tenant that the last change takes away
	deadline = 4 * time.Second
)

var shape = rig.Shape{Sets: 2, Experts: 12, Places: 6, Spare: 2}

func main() { os.Exit(run()) }

func run() int {
	root := flag.String("root", ".", "folder of the repository")
	out := flag.String("record", "record.txt", "file to write the record to")
	trouble := flag.Bool("trouble", true, "let the store reject the gateways")
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
	store   *rig.Store
	front   *rig.Front
	done    chan struct{}
	version int
	// addresses are those of the runners of the plain service.
	addresses [plain]string

	judged   atomic.Int64 // time from which the last configuration is due, in ns; 0 = not yet
	drainDue atomic.Int64 // time from which the draining runner gets nothing; 0 = not yet

	mu                            sync.Mutex
	sent, served, refused, failed int
	// stale is the number of requests that ran with a key that was taken away, missing that of
	// those refused on the route that was added, late that of those that ran at the draining
	// runner, rightly that of those handled by the last configuration.
	stale, missing, late, rightly int
}

func (c *testCase) play(root string) error {
	w, err := rig.NewWorld(root, c.record)
	if err != nil {
		return err
	}
	defer w.Close()
	if err := c.startStore(w); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := c.startRunners(ctx, w); err != nil {
		return err
	}
	c.put(rig.Extras{Keys: []string{rig.Key, oldKey}, IdleRoutes: idleRoutes, TimeoutMS: 8000})
	if err := w.StartAgents(groups*ranks, gateways, rig.ModelService); err != nil {
		return err
	}
	if err := w.StartGateways(gateways); err != nil {
		return err
	}
	if err := w.AwaitReady(ctx); err != nil {
		return err
	}
	c.record.Add("%d gateways, %d runners with agents, %d runners of a plain service, %d routes", gateways, groups*ranks, plain, idleRoutes+3)
	var wait sync.WaitGroup
	for _, g := range w.Gateways {
		wait.Go(func() { c.client(g, "with the key that stays", &rig.Client{Front: g.Front}, rig.SafePath, c.noteSound) })
		wait.Go(func() {
			c.client(g, "with the key that goes", &rig.Client{Front: g.Front, Key: oldKey}, rig.SafePath, c.noteOldKey)
		})
		wait.Go(func() {
			c.client(g, "on the route that comes", &rig.Client{Front: g.Front}, rig.NewPath, c.noteNewRoute)
		})
	}
	time.Sleep(warmUp)
	c.change()
	close(c.done)
	wait.Wait()
	return nil
}

// change changes the configuration while the store rejects the gateways.
func (c *testCase) change() {
	began := time.Now()
	if c.trouble {
		c.front.Reject(true)
		c.record.Add("DISRUPTION the store rejects the %d gateways of %d machines with 503; it serves the agents and the operator", gateways, gateways+groups*ranks)
	}
	time.Sleep(500 * time.Millisecond)
	for range storms {
		c.record.Add("PLANNED the configuration changes each %s for %s", stormGap, stormTime)
		for i := range int(stormTime / stormGap) {
			c.put(rig.Extras{Keys: []string{rig.Key, oldKey}, IdleRoutes: idleRoutes, TimeoutMS: 8001 + i})
			time.Sleep(stormGap)
		}
	}
	size := c.put(rig.Extras{Keys: []string{rig.Key}, IdleRoutes: idleRoutes, TimeoutMS: 8000, NewRoute: true})
	acknowledged := time.Now()
	c.record.Add("PLANNED version %d (%d bytes) is acknowledged: one key goes, one route comes", c.version, size)
	due := acknowledged.Add(apply)
	if c.trouble {
		time.Sleep(time.Until(began.Add(rejectFor)))
		c.front.Reject(false)
		c.record.Add("the store serves all machines again")
		due = time.Now().Add(contact + apply)
		if later := acknowledged.Add(apply + stretch); later.After(due) {
			due = later
		}
	}
	c.judged.Store(due.UnixNano())
	c.record.Add("requests sent from %s on are judged by version %d", time.Until(due).Round(time.Millisecond), c.version)
	time.Sleep(contact + time.Second)
	c.store.Put(standin.ServerPrefix+runnerID(0), rig.Entry(rig.PlainService, c.addresses[0], rig.Zone(0), slots, "draining", 2))
	c.drainDue.Store(time.Now().Add(drain).UnixNano())
	c.record.Add("PLANNED runner %s is published as draining, acknowledged; the store has been stable for %s", runnerID(0), contact+time.Second)
	time.Sleep(watchFor - contact - time.Second)
}

// put writes the next version of the configuration and returns its size.
func (c *testCase) put(x rig.Extras) int {
	c.version += 3
	raw := rig.ConfigWith(c.version, shape, 12, x)
	c.store.Put(standin.ConfigKey, raw)
	return len(raw)
}

func (c *testCase) startStore(w *rig.World) error {
	c.store = rig.NewHistoryStore()
	c.front = rig.NewFront(c.store)
	c.front.Answered = func(events, bytes int) {
		if bytes > 4<<20 {
			c.record.Add("store: a gateway's watch is answered with %d events, %d bytes", events, bytes)
		}
	}
	var err error
	if w.GatewayStore, err = w.ServeStore(0, c.front); err != nil {
		return err
	}
	w.AgentStore, err = w.ServeStore(1, rig.NewFront(c.store))
	return err
}

func runnerID(i int) string { return fmt.Sprintf("i-%08x", 0x7f3a9201+i) }

func (c *testCase) startRunners(ctx context.Context, w *rig.World) error {
	ledger := standin.NewLedger()
	for g := range groups {
		group := standin.NewGroup(fmt.Sprintf("g%d", g), ranks, standin.Shape{Sets: shape.Sets, Experts: shape.Experts, Places: shape.Places, Spare: shape.Spare})
		go group.Run(ctx)
		for rank := range ranks {
			i := g*ranks + rank
			id, address := fmt.Sprintf("i-%08x", 0x7f3a9301+i), w.RunnerAddress(1, i)
			if err := standin.NewRunner(id, rig.ModelService, 12, ledger, group, rank).Start(address); err != nil {
				return err
			}
			c.store.Put(standin.ServerPrefix+id, rig.Entry(rig.ModelService, address, rig.Zone(i), 12, "ready", 1))
		}
	}
	for i := range plain {
		c.addresses[i] = w.RunnerAddress(2, i)
		ln, err := net.Listen("tcp4", c.addresses[i])
		if err != nil {
			return err
		}
		r := &rig.PlainRunner{ID: runnerID(i), Slots: make(chan struct{}, slots), Runs: func(r *http.Request, id string) { c.runs(i, r, id) }}
		server := &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(ln) }() // ends with the process
		c.store.Put(standin.ServerPrefix+runnerID(i), rig.Entry(rig.PlainService, c.addresses[i], rig.Zone(i), slots, "ready", 1))
	}
	return nil
}

// runs records that a runner of the plain service runs a request.
func (c *testCase) runs(i int, r *http.Request, id string) {
	due := c.drainDue.Load()
	if i != 0 || due == 0 || time.Now().UnixNano() <= due {
		c.record.Add("runner %s: runs %s (%s)", runnerID(i), id, r.URL.Path)
		return
	}
	c.mu.Lock()
	c.late++
	c.mu.Unlock()
	c.record.Add("BROKEN (DRAIN) runner %s: runs %s, %s after it was acknowledged as draining", runnerID(i), id,
		(time.Duration(time.Now().UnixNano()-due) + drain).Round(time.Millisecond))
}

// client sends one request after the other on a kept connection.
func (c *testCase) client(g *rig.Gateway, what string, client *rig.Client, path string, note func(g *rig.Gateway, a rig.Answer, due bool)) {
	defer client.Close()
	for {
		select {
		case <-c.done:
			return
		default:
		}
		judged := c.judged.Load()
		due := judged != 0 && time.Now().UnixNano() > judged
		sent := time.Now()
		a := client.Send(http.MethodGet, path+"fi50/2f", nil, deadline, nil)
		c.record.Add("client at %s, %s: sent as %s; answered after %s: %s", g.Name, what, a.ID, time.Since(sent).Round(time.Millisecond), a)
		c.mu.Lock()
		c.sent++
		switch {
		case a.Status == http.StatusOK && a.Whole:
			c.served++
		case a.Status == http.StatusServiceUnavailable:
			c.refused++
		case a.Status == 0:
			c.failed++
			c.record.Add("client %s at %s: no answer to %s: %v", what, g.Name, a.ID, a.Err)
		}
		note(g, a, due)
		c.mu.Unlock()
		time.Sleep(250 * time.Millisecond)
	}
}

func (c *testCase) noteSound(g *rig.Gateway, a rig.Answer, _ bool) {
	if a.Status != http.StatusOK {
		c.record.Add("sound request %s at %s: status %d", a.ID, g.Name, a.Status)
	}
}

// noteOldKey judges a request with the key that the last configuration has taken away.
func (c *testCase) noteOldKey(g *rig.Gateway, a rig.Answer, due bool) {
	switch {
	case due && a.Status == http.StatusOK:
		c.stale++
		c.record.Add("BROKEN (CONFIG) request %s at %s with the key that was taken away: run, status 200, seal %q", a.ID, g.Name, a.Header.Get("X-Server-Seal"))
	case due && a.Status == http.StatusUnauthorized:
		c.rightly++
	}
}

// noteNewRoute judges a request on the route that the last configuration has added.
func (c *testCase) noteNewRoute(g *rig.Gateway, a rig.Answer, due bool) {
	switch {
	case due && a.Status == http.StatusNotFound:
		c.missing++
		c.record.Add("BROKEN (CONFIG) request %s at %s on the route that was added: status 404", a.ID, g.Name)
	case due && a.Status == http.StatusOK:
		c.rightly++
	}
}

func (c *testCase) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := fmt.Sprintf("sent %d, success %d, refused %d, no answer %d; when the last configuration was due: handled by it %d, run with a key that was taken away %d, refused on a route that was added %d; run by a draining runner later than %s: %d",
		c.sent, c.served, c.refused, c.failed, c.rightly, c.stale, c.missing, drain, c.late)
	c.record.Add("%s", summary)
	fmt.Println(summary)
	switch {
	case c.stale+c.missing > 0:
		return 1
	case c.rightly == 0 || c.served == 0:
		c.record.Add("could not run: no request was handled by the last configuration")
		return 2
	default:
		return 0
	}
}
