package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"baywall.example/review/second/rig"
)

const (
	cutTime    = 1400 * time.Millisecond // for how long a runner is cut off
	crashAfter = 100 * time.Millisecond  // when it crashes behind the cut
	backAfter  = 500 * time.Millisecond  // when it is back there, under its id
)

// playReborn cuts a runner off in the middle of an answer that has no length. Behind the cut the
// runner crashes and starts again under the id that it had.
func playReborn(record *rig.Record, trouble bool) int {
	p, err := rig.NewPlatform(record)
	if err != nil {
		return fail(record, err)
	}
	defer p.Close()
	p.Configure(config(1))
	var runners []*runner
	for i, service := range []string{plain, plain, plain, model, model, model} {
		r, err := startRunner(p, fmt.Sprintf("i-%d", i+1), service, rig.Zones[i%3], modelSlots, i%2 == 0)
		if err != nil {
			return fail(record, err)
		}
		r.publish()
		runners = append(runners, r)
	}
	if err := p.StartGateways(2); err != nil {
		return fail(record, err)
	}
	time.Sleep(500 * time.Millisecond)
	stop := make(chan struct{})
	var usual sync.WaitGroup
	usual.Go(func() { sendUsual(record, p, stop, &usual) })
	wrong, served, answered := 0, 0, 0
	for i := range 12 {
		id := fmt.Sprintf("%s%s-%d", followedPrefix, []string{"blob", "badge", "note"}[i%3], i)
		method, path, want := http.MethodGet, "/blob/2f", []byte(whole(id))
		deadline := 4 * time.Second
		header := http.Header{}
		switch i % 3 {
		case 1:
			method, path = http.MethodPost, "/badge/2f"
		case 2:
			method, path, deadline = http.MethodPost, "/note/2f", 8*time.Second
			header.Set("X-Model", "m")
			header.Set("X-Token-Counts", "714,159")
			header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%x:674", 1000+i))
			want = nil
			for n := 1; n <= streamEvents; n++ {
				want = append(want, event(id, n)...)
			}
		}
		answers := make(chan answer, 1)
		record.Logf("client sends %s %s as %s", method, path, id)
		go func() {
			answers <- send(record, p.Gateways[i%2].Front, method, path, id, []byte(strings.Repeat("x", 100*(i%3))), deadline, header)
		}()
		at := awaitHalf(runners, id, 2*time.Second)
		if at == nil {
			return fail(record, fmt.Errorf("no runner runs %s", id))
		}
		record.Logf("runner %s (born %d) has sent a part of its answer to %s", at.id, at.born, id)
		if trouble {
			if err := crashBehindCut(record, at); err != nil {
				return fail(record, err)
			}
		}
		a := <-answers
		record.Logf("client gets %v", a)
		if a.status == http.StatusOK && a.err == nil {
			served++
			if !bytes.Equal(a.body, want) {
				wrong++
				record.Logf("WRONG: a success that looks whole, of %d bytes; the whole answer has %d, and the runner never sent the rest", len(a.body), len(want))
			}
		}
		time.Sleep(1500 * time.Millisecond) // until the runner is trusted again
	}
	close(stop)
	usual.Wait()
	unframed := 0
	for _, r := range runners {
		r.mu.Lock()
		for line, n := range r.said {
			if strings.HasPrefix(line, "RUN ") {
				answered += n
			}
			if strings.HasPrefix(line, "UNFRAMED ") {
				unframed += n
			}
		}
		r.mu.Unlock()
	}
	record.Logf("%d requests were run; %d of the answers (%.3f) had no length", answered, unframed, float64(unframed)/float64(answered))
	if err := p.EndedByItself(); err != nil {
		return fail(record, err)
	}
	record.Logf("12 requests, %d answered with success, %d of these not whole", served, wrong)
	if wrong > 0 {
		return broken
	}
	return held
}

// sendUsual sends the usual requests, whose answers have a length or chunks: 24 a second, an eighth of
// them to the plain service, as on the sheet.
func sendUsual(record *rig.Record, p *rig.Platform, stop chan struct{}, senders *sync.WaitGroup) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / 24):
		}
		id, front := fmt.Sprintf("usual-%d", n), p.Gateways[n%2].Front
		method, path, deadline, header := http.MethodGet, "/blob/2f", 4*time.Second, http.Header{}
		switch n % 16 {
		case 0:
		case 8:
			method, path = http.MethodPost, "/badge/2f"
		default:
			method, path, deadline = http.MethodPost, "/note/2f", 8*time.Second
			header.Set("X-Model", "m")
			header.Set("X-Token-Counts", "714,159")
			header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%x:674", 5000+n))
		}
		senders.Go(func() { send(record, front, method, path, id, []byte("x"), deadline, header) })
	}
}

func awaitHalf(runners []*runner, id string, limit time.Duration) *runner {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Millisecond) {
		for _, r := range runners {
			if r.heard("HALF "+id) > 0 {
				return r
			}
		}
	}
	return nil
}

// crashBehindCut cuts the runner off, lets it crash and start again, and heals the cut.
func crashBehindCut(record *rig.Record, r *runner) error {
	r.link.Cut()
	record.Logf("%s is cut off", r.id)
	began := time.Now()
	time.Sleep(crashAfter)
	r.process.Kill()
	record.Logf("%s crashes behind the cut", r.id)
	time.Sleep(time.Until(began.Add(backAfter)))
	if err := r.start(); err != nil {
		return err
	}
	record.Logf("%s is back behind the cut under its id, born %d", r.id, r.born)
	time.Sleep(time.Until(began.Add(cutTime)))
	r.publish()
	r.link.Heal()
	record.Logf("the cut heals, and the entry of %s has its new birth", r.id)
	return nil
}
