package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"baywall.example/platform/standin"
	"baywall.example/review/second/rig"
)

// Figures of the site rmsn-ci-fleet.
const (
	fleetHeartbeat = 5 * time.Second
	fleetApply     = 5 * time.Second
	fleetDrain     = 5 * time.Second
	fleetContact   = 6 * time.Second
	foreignAfter   = 7 * time.Second // when the other writer writes, after the runner reported draining
	servesAfter    = 9 * time.Second // for how long the runner goes on serving after that report
)

// playForeign has another writer put an entry with fields missing in the place of the entry of a
// runner that drains.
func playForeign(record *rig.Record, trouble bool) int {
	p, err := rig.NewPlatform(record)
	if err != nil {
		return fail(record, err)
	}
	defer p.Close()
	p.Within, p.Heartbeat = fleetApply, fleetHeartbeat
	p.Configure(config(1))
	type member struct {
		*runner
		mu       sync.Mutex
		state    string
		sequence int
	}
	var members []*member
	write := func(m *member) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.sequence++
		p.Publish(m.id, rig.Entry{
			Service: m.service, Address: m.link.Address, Zone: m.zone, Version: 1, Slots: m.slots, State: m.state, Sequence: m.sequence, Born: m.born,
		})
	}
	for i := range 3 {
		r, err := startRunner(p, fmt.Sprintf("i-%d", i+1), plain, rig.Zones[i%3], 6, false)
		if err != nil {
			return fail(record, err)
		}
		m := &member{runner: r, state: "ready"}
		write(m)
		members = append(members, m)
		go func() {
			for {
				time.Sleep(fleetHeartbeat)
				write(m)
			}
		}()
	}
	if err := p.StartGateways(3); err != nil {
		return fail(record, err)
	}
	time.Sleep(fleetContact + time.Second)
	leaver := members[0]
	leaver.mu.Lock()
	leaver.state = "draining"
	leaver.mu.Unlock()
	write(leaver)
	acked := time.Now()
	record.Logf("the store accepts the report of %s (born %d) that it is draining", leaver.id, leaver.born)
	if trouble {
		time.AfterFunc(foreignAfter, func() {
			raw := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"slots":%d,"state":"ready"}`, leaver.service, leaver.link.Address, leaver.zone, leaver.slots)
			p.Store.Put(standin.ServerPrefix+leaver.id, []byte(raw))
			record.Logf("another writer puts %s%s, without born, version, sequence and cold-left-ms: %s", standin.ServerPrefix, leaver.id, raw)
		})
	}
	type sent struct {
		at   time.Time
		a    answer
		edge string
	}
	var mu sync.Mutex
	all := make(map[string]sent)
	var senders sync.WaitGroup
	for n := 0; time.Since(acked) < servesAfter; n++ {
		id, g := fmt.Sprintf("r-%d", n), p.Gateways[n%3]
		method, path := http.MethodGet, "/blob/2f"
		if n%2 == 1 {
			method, path = http.MethodPost, "/badge/2f"
		}
		at := time.Now()
		senders.Go(func() {
			a := send(record, g.Front, method, path, id, []byte(strings.Repeat("x", 200*(n%2))), 4*time.Second, nil)
			mu.Lock()
			defer mu.Unlock()
			all[id] = sent{at, a, g.VM}
		})
		time.Sleep(50 * time.Millisecond)
	}
	leaver.process.Kill()
	record.Logf("%s exits", leaver.id)
	senders.Wait()
	if err := p.EndedByItself(); err != nil {
		return fail(record, err)
	}
	late, lost, after := 0, 0, 0
	for id, s := range all {
		if s.at.Sub(acked) <= fleetDrain+200*time.Millisecond {
			continue
		}
		after++
		if leaver.heard("RUN "+id) == 0 {
			continue
		}
		late++
		if s.a.status != http.StatusOK || s.a.err != nil {
			lost++
		}
		if late <= 5 {
			record.Logf("LATE: %s, sent to %s %v after the acknowledgement, was run by %s; the client got %v", id, s.edge, s.at.Sub(acked).Round(time.Millisecond), leaver.id, s.a)
		}
	}
	record.Logf("%d requests sent later than drain-ms (%v) after the acknowledgement; %d of them were run by the draining runner, %d of these not answered with success", after, fleetDrain, late, lost)
	if late > 0 {
		return broken
	}
	return held
}
