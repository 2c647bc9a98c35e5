package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baywall.example/platform/standin"
	"baywall.example/review/second/rig"
)

// Figures of the site rmsn-ci.
const (
	groupRanks   = 8
	copyTime     = 148 * time.Millisecond // an expert of 1,700 MB over 92,000 Mbit/s
	troubleFor   = 5 * time.Second        // garble and applied_late, for_s
	doubledRanks = 4                      // garble, share .6 of the servers
	doubledShare = 0.03                   // garble, x: of their answers
	lateShare    = 0.35                   // applied_late, x: of the orders
	orderLateBy  = 2500 * time.Millisecond
	settleFor    = 8 * time.Second // before the disruption
	watchFor     = 4 * time.Second // after it
)

// troubles are the disruptions of the case: some ranks give answers twice, the second one late, and
// orders get no answer and are carried out late.
type troubles struct {
	record      *rig.Record
	extra, late bool
	atRandom    bool // else one answer and one order, as soon as the doses allow them
	mu          sync.Mutex
	active      bool
	answers     [groupRanks]int // of each rank meanwhile
	doubled     [groupRanks]int
	orders      int
	ordersLate  int
	struck      bool
}

// answered counts an answer of a rank.
func (t *troubles) answered(rank int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active {
		t.answers[rank]++
	}
}

// decide decides on a call to a rank: whether the rank's answer before it comes once more at this
// point, and whether it is an order that gets no answer and is carried out late.
func (t *troubles) decide(rank int, operation string, before []byte) (again, late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.active {
		return false, false
	}
	if operation != "" {
		t.orders++
	}
	if t.atRandom {
		again = t.extra && before != nil && rank < doubledRanks && rand.Float64() < doubledShare
		late = t.late && operation != "" && rand.Float64() < lateShare
	} else {
		within := float64(t.doubled[rank]+1) <= doubledShare*float64(t.answers[rank]) && float64(t.ordersLate+1) <= lateShare*float64(t.orders)
		holds := bytes.Contains(before, []byte(`"held":`)) // the rank that holds the step is checked once more before it is released
		if operation == "arm" && before != nil && !holds && rank < doubledRanks && within && !t.struck {
			t.struck, again, late = true, t.extra, t.late
		}
	}
	if again {
		t.doubled[rank]++
	}
	if late {
		t.ordersLate++
	}
	return again, late
}

// rankDoor is the socket of a rank. It passes what arrives on to the rank's stand-in, and answers as
// the troubles have it.
type rankDoor struct {
	rank    int
	target  string
	t       *troubles
	running atomic.Int64 // requests
}

func (d *rankDoor) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go d.serveConn(c)
	}
}

func (d *rankDoor) serveConn(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp4", d.target)
	if err != nil {
		return
	}
	defer up.Close()
	in, back := bufio.NewReader(c), bufio.NewReader(up)
	var before []byte // the latest answer on this connection
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		raw := encode(req, body)
		own := strings.HasPrefix(req.URL.Path, "/-/")
		var order struct {
			Operation     string
			Version, Step uint64
		}
		if req.URL.Path == "/-/order" {
			_ = json.Unmarshal(body, &order)
		}
		again, late := false, false
		if own {
			again, late = d.t.decide(d.rank, order.Operation, before)
		}
		if again {
			d.t.record.Logf("rank %d answers the call before once more, where the answer to %s %s is due: %s", d.rank, req.URL.Path, order.Operation, firstLine(before))
			if _, err := c.Write(before); err != nil {
				return
			}
		}
		if late {
			d.t.record.Logf("rank %d gives no answer to the order %s of version %d at step %d and carries it out in %v", d.rank, order.Operation, order.Version, order.Step, orderLateBy)
			time.AfterFunc(orderLateBy, func() { d.carryOut(raw) })
			before = nil
			continue
		}
		if _, err := up.Write(raw); err != nil {
			return
		}
		resp, err := http.ReadResponse(back, req)
		if err != nil {
			return
		}
		if !own {
			d.running.Add(1)
			err := resp.Write(c)
			d.running.Add(-1)
			if err != nil || resp.Close {
				return
			}
			before = nil
			continue
		}
		if id := req.Header.Get("X-Attempt-Id"); id != "" {
			resp.Header.Set("X-Attempt-Id", id) // runners echo it
		}
		if req.URL.Path == "/-/report" {
			if err := d.complete(resp); err != nil {
				return
			}
		}
		answer, err := httputil.DumpResponse(resp, true)
		if err != nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		before = answer
		d.t.answered(d.rank)
	}
}

// complete adds what PROTOCOL.md lists of a report and the rank's stand-in leaves out.
func (d *rankDoor) complete(resp *http.Response) error {
	report := make(map[string]json.RawMessage)
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return err
	}
	running := d.running.Load()
	more := obj{
		"stage": "both", "models": []obj{{"name": "m", "version": 1, "adapters": []string{}}}, "waiting": 0, "running": running,
		"kv-used": 714 * running, "kv-total": 494000, "handles": 0,
	}
	for name, value := range more {
		raw, err := json.Marshal(value)
		if err != nil {
			return err
		}
		report[name] = raw
	}
	raw, err := json.Marshal(report)
	if err != nil {
		return err
	}
	resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
	resp.Header.Del("Content-Length")
	return nil
}

func firstLine(answer []byte) string {
	line, _, _ := bytes.Cut(answer, []byte("\r\n"))
	_, body, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	return fmt.Sprintf("%s, %s", line, bytes.TrimSpace(body))
}

// encode returns the bytes of a request.
func encode(req *http.Request, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.RequestURI, req.Host)
	req.Header.Del("Content-Length")
	_ = req.Header.Write(&b) // to memory
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// carryOut has the rank carry out an order whose sender no longer waits.
func (d *rankDoor) carryOut(raw []byte) {
	c, err := net.Dial("tcp4", d.target)
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := c.Write(raw); err != nil {
		return
	}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		d.t.record.Logf("rank %d carries the order out: %d", d.rank, resp.StatusCode)
	}
}

const agentSettings = `vm: %q
zone: %q
service: %q
engine: %q
listen:
  peers: "%s:7342"
  metrics: "%s:7343"
gateways: [%s]
store: %q
machine:
  link_mbps: 20
`

// playDoubled has a rank of a group answer a call twice and carry out an order late, while the group
// switches maps.
func playDoubled(record *rig.Record, trouble bool) int {
	p, err := rig.NewPlatform(record)
	if err != nil {
		return fail(record, err)
	}
	defer p.Close()
	p.Configure(config(1))
	shape := standin.Shape{Sets: 6, Experts: 64, Places: 11, Spare: 4}
	group := standin.NewGroupWith("g-1", groupRanks, shape, standin.GroupSettings{CopyTime: copyTime})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go group.Run(ctx)
	t := &troubles{record: record, extra: os.Getenv("ONLY") != "late", late: os.Getenv("ONLY") != "extra", atRandom: os.Getenv("CHANCE") != ""}
	ledger := standin.NewLedger()
	var doors []*rankDoor
	var runners []*standin.Runner
	for rank := range groupRanks {
		ip := fmt.Sprintf("%s%d", strings.TrimSuffix(rig.IP, "1"), 11+rank)
		r := standin.NewRunner(fmt.Sprintf("i-%d", rank+1), model, modelSlots, ledger, group, rank)
		if err := r.Start(ip + ":9000"); err != nil {
			return fail(record, err)
		}
		ln, err := net.Listen("tcp4", ip+":9001")
		if err != nil {
			return fail(record, err)
		}
		d := &rankDoor{rank: rank, target: ip + ":9000", t: t}
		go d.serve(ln)
		doors, runners = append(doors, d), append(runners, r)
		p.Publish(r.ID, rig.Entry{Service: model, Address: ip + ":9001", Zone: rig.Zones[rank%3], Version: 1, Slots: modelSlots, State: "ready", Sequence: 1})
	}
	if err := p.StartGateways(2); err != nil {
		return fail(record, err)
	}
	seeds := fmt.Sprintf("%q, %q", p.Gateways[0].Peers, p.Gateways[1].Peers)
	var agents []*rig.Process
	for rank := range groupRanks {
		ip := fmt.Sprintf("%s%d", strings.TrimSuffix(rig.IP, "1"), 11+rank)
		name := fmt.Sprintf("side-%d", rank+1)
		file := filepath.Join(p.Dir, name+".yaml")
		text := fmt.Sprintf(agentSettings, name, rig.Zones[rank%3], model, ip+":9001", ip, ip, seeds, p.Address)
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return fail(record, err)
		}
		q, err := rig.Start(p.Dir, name, nil, "target/baywall-agent", "rank", "-settings", file)
		if err != nil {
			return fail(record, err)
		}
		p.Track(q)
		agents = append(agents, q)
	}
	began := time.Now()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		sendStreams(record, p, began, settleFor+troubleFor+watchFor)
	}()
	time.Sleep(settleFor)
	version, switches, _ := group.State()
	record.Logf("the group has switched maps %d times, it uses version %d", switches, version)
	if switches < 1 || len(group.MixedPasses()) > 0 {
		return fail(record, fmt.Errorf("%d switches before the disruption, mixed passes: %v", switches, group.MixedPasses()))
	}
	if trouble {
		t.mu.Lock()
		t.active = true
		t.mu.Unlock()
		record.Logf("the disruption begins: ranks 0 to %d may give answers twice, orders may be carried out late", doubledRanks-1)
	}
	time.Sleep(troubleFor)
	t.mu.Lock()
	t.active = false
	if trouble {
		record.Logf("the disruption ends: answers of the ranks %v, doubled %v; %d orders, %d of them late", t.answers[:doubledRanks], t.doubled[:doubledRanks], t.orders, t.ordersLate)
	}
	t.mu.Unlock()
	<-sent
	_, after, heldFor := group.State()
	record.Logf("%d switches of maps in all; the group was held for %v", after, heldFor)
	for _, d := range doors {
		record.Logf("rank %d uses map %s", d.rank, mapInUse(d.target))
	}
	for _, r := range runners {
		for _, a := range r.Arrivals() {
			record.Note("runner %s: request %s arrived at %s; runs of it on all runners: %d", r.ID, a.ID, a.At.UTC().Format("15:04:05.000000"), ledger.Runs(a.ID))
		}
	}
	for _, line := range group.History() {
		record.Note("platform: %s", line)
	}
	for _, a := range agents {
		if a.Ended() {
			return fail(record, fmt.Errorf("%s has ended by itself", a.Name))
		}
	}
	if err := p.EndedByItself(); err != nil {
		return fail(record, err)
	}
	if trouble && !t.atRandom && !t.struck {
		return fail(record, fmt.Errorf("no order to arm came while the doses allowed it"))
	}
	mixed := group.MixedPasses()
	for _, line := range mixed[:min(len(mixed), 8)] {
		record.Logf("MAP: %s", line)
	}
	if len(mixed) > 0 {
		return broken
	}
	record.Logf("no pass with different maps; %d switches since the beginning of the disruption", after-switches)
	return held
}

// mapInUse returns the version of the map that a rank says it uses.
func mapInUse(target string) string {
	resp, err := http.Get("http://" + target + "/-/report")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var report struct{ Map, Step uint64 }
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d at step %d", report.Map, report.Step)
}

// sendStreams sends streams, so that the group has work.
func sendStreams(record *rig.Record, p *rig.Platform, began time.Time, length time.Duration) {
	var senders sync.WaitGroup
	for n := 0; time.Since(began) < length; n++ {
		header := http.Header{}
		header.Set("X-Model", "m")
		header.Set("X-Token-Counts", "714,159")
		header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%x:674", n))
		senders.Go(func() {
			send(record, p.Gateways[n%2].Front, http.MethodPost, "/note/2f", fmt.Sprintf("r-%d", n), []byte("x"), 8*time.Second, header)
		})
		time.Sleep(50 * time.Millisecond)
	}
	senders.Wait()
}
