package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"baywall.example/review/second/rig"
)

const (
	host  = "ficu95.example"
	key   = "n2ctnfzs989anu6wsjnb"
	plain = "wuno96b"
	model = "huvo11a"

	modelSlots = 12 // of a runner where usual requests come beside those that are followed
)

type obj = map[string]any

// config is a configuration like that of the site, in small.
func config(version int) obj {
	engine := obj{
		"slots": 12, "kv-capacity": 494000, "kv-token-bytes": 35136, "link-mbps": 92000.0, "stride": 6, "models": []obj{{"name": "m"}},
		"step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512,
		"report_lag_ms": 200.0, "usual": obj{"prompt": 835, "answer": 159}, "sets": 6, "experts": 64, "places": 11, "spare": 4,
		"expert-mb": 1700.0, "expert-share": 0.85, "form_ms": 600.0,
	}
	return obj{
		"version": version,
		"routes": []obj{
			{"name": "r-note", "host": host, "path-prefix": "/note/", "kind": "streaming", "timeout-ms": 8000, "goal-ms": 400, "priority": 1, "service": model, "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-target-ms": 120},
			{"name": "r-badge", "host": host, "path-prefix": "/badge/", "kind": "unsafe", "timeout-ms": 2000, "goal-ms": 300, "priority": 2, "service": plain, "max-attempts": 1, "public": false},
			{"name": "r-blob", "host": host, "path-prefix": "/blob/", "kind": "safe", "timeout-ms": 2000, "goal-ms": 300, "priority": 2, "service": plain, "max-attempts": 2, "public": false},
		},
		"services": []obj{
			{"name": model, "health-path": "/healthz", "max-conns": 418, "protocol": "h1", "tls": false, "engine": engine},
			{"name": plain, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  obj{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []obj{{"name": "hule930", "api-keys": []string{key}, "priority": 1}},
	}
}

// runner is a runner's place: its link, and the process that runs there now.
type runner struct {
	p        *rig.Platform
	id       string
	service  string
	zone     string
	listen   string
	slots    int
	unframed bool
	usual    bool // see runRunner
	link     *rig.Link
	process  *rig.Process
	born     int64
	sequence int

	mu   sync.Mutex
	said map[string]int // lines so far
	news chan struct{}  // closed with the next line
}

func startRunner(p *rig.Platform, id, service, zone string, slots int, unframed bool) (*runner, error) {
	r := &runner{p: p, id: id, service: service, zone: zone, listen: rig.FreePort(), slots: slots, unframed: unframed, said: make(map[string]int), news: make(chan struct{})}
	link, err := rig.NewLink(r.listen)
	if err != nil {
		return nil, err
	}
	r.link, r.usual = link, slots == modelSlots
	return r, r.start()
}

// start starts the runner's process, a new incarnation under the same id.
func (r *runner) start() error {
	r.born = time.Now().UnixMilli()
	args := []string{"target/second-cases", "runner", "-id", r.id, "-listen", r.listen, "-born", fmt.Sprint(r.born), "-slots", fmt.Sprint(r.slots)}
	if r.usual {
		args = append(args, "-usual")
	}
	if r.unframed {
		args = append(args, "-unframed")
	}
	q, err := rig.Start(r.p.Dir, r.id, r.hear, args...)
	if err != nil {
		return err
	}
	r.process = q
	r.p.Track(q)
	for range 200 {
		if c, err := net.Dial("tcp4", r.listen); err == nil {
			_ = c.Close()
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("%s does not listen", r.id)
}

func (r *runner) hear(line string) {
	r.p.Record.Note("runner %s: %s", r.id, line)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.said[line]++
	close(r.news)
	r.news = make(chan struct{})
}

// heard returns how often the runner has said a line.
func (r *runner) heard(line string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.said[line]
}

// await waits until the runner says a line.
func (r *runner) await(line string, limit time.Duration) bool {
	timer := time.After(limit)
	for {
		r.mu.Lock()
		n, news := r.said[line], r.news
		r.mu.Unlock()
		if n > 0 {
			return true
		}
		select {
		case <-news:
		case <-timer:
			return false
		}
	}
}

// publish writes the runner's entry, as the runner does with each heartbeat.
func (r *runner) publish() {
	r.sequence++
	r.p.Publish(r.id, rig.Entry{Service: r.service, Address: r.link.Address, Zone: r.zone, Version: 1, Slots: r.slots, State: "ready", Sequence: r.sequence, Born: r.born})
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // why the body, or the answer, is not whole
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %v (%v)", a.took.Round(time.Millisecond), a.err)
	}
	whole := "whole"
	if a.err != nil {
		whole = "broken off: " + a.err.Error()
	}
	return fmt.Sprintf("%d after %v, seal %q, outcome %q %q, %d bytes, %s", a.status, a.took.Round(time.Millisecond),
		a.header.Get("X-Server-Seal"), a.header.Get("Baywall-Outcome"), a.header.Get("Baywall-Reason"), len(a.body), whole)
}

// send sends one request on a new connection, as a client that keeps its deadline does.
func send(record *rig.Record, front, method, path, id string, body []byte, deadline time.Duration, header http.Header) answer {
	record.Note("sent %s: %s %s to %s, deadline %v", id, method, path, front, deadline)
	a := exchange(front, method, path, id, body, deadline, header)
	record.Note("answered %s: %v", id, a)
	return a
}

func exchange(front, method, path, id string, body []byte, deadline time.Duration, header http.Header) answer {
	began := time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline}
	req, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: errors.New(strings.ReplaceAll(err.Error(), "\n", " ")), took: time.Since(began)}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: raw, err: err, took: time.Since(began)}
}
