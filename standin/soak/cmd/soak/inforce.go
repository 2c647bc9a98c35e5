package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

const (
	// lookGap is between two looks at which configuration is in force at all gateways.
	lookGap = 250 * time.Millisecond
	// inForceTime is how long after the store holds a version, without a break, it is in
	// force everywhere: 2 s by the users' rules, and a second for processes of a busy machine.
	inForceTime = 3 * time.Second
)

// inForce watches which configuration is in force at the gateways: the present one in time,
// and never an older one after it, whatever the store lists.
type inForce struct {
	world  *world
	faults *faults
	client http.Client

	mu     sync.Mutex
	broken []string
	seen   map[string]uint64 // latest version seen in force, by gateway
	since  time.Time         // since when the store holds the version
	holds  uint64
	looks  map[string]standin.Attempt // by id
}

func newInForce(w *world, f *faults) *inForce {
	return &inForce{world: w, faults: f, seen: make(map[string]uint64), looks: make(map[string]standin.Attempt), client: http.Client{Timeout: time.Second}}
}

// run looks until the context ends.
func (i *inForce) run(ctx context.Context) {
	for wait.Sleep(ctx, lookGap) {
		version, _ := i.world.config.current()
		i.look(version)
		for _, g := range i.world.gateways {
			i.check(ctx, g, version)
		}
	}
}

// look notes since when the store serves the version.
func (i *inForce) look(version uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case !i.world.author.Holds(standin.ConfigKey):
		i.holds = 0
	case i.holds != version:
		i.holds, i.since = version, time.Now()
	}
}

// all returns the requests that were sent to look.
func (i *inForce) all() map[string]standin.Attempt {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.looks)
}

func (i *inForce) check(ctx context.Context, g *gateway, version uint64) {
	sent := time.Now()
	id := fmt.Sprintf("f-%s-%d", g.vm, sent.UnixNano())
	status := standin.Look(ctx, &i.client, g.front, host, teamKey, id, versionPath(version)+"look")
	present, _ := i.world.config.current()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.looks[id] = standin.Attempt{ID: id, Gateway: g.front, Sent: sent}
	switch {
	case status == 0 || status == http.StatusServiceUnavailable || present != version:
	case status != http.StatusNotFound:
		i.seen[g.vm] = version
	case i.seen[g.vm] == version:
		i.broken = append(i.broken, fmt.Sprintf("%s: version %d was in force and is not at %s", g.vm, version, sent.Format("05.000")))
		i.seen[g.vm] = 0
	case i.holds == version && sent.Sub(i.since) > inForceTime && !i.faults.pausedLately(g.front, sent):
		i.broken = append(i.broken, fmt.Sprintf("%s: version %d is not in force %v after the store held it, at %s",
			g.vm, version, sent.Sub(i.since).Round(time.Millisecond), sent.Format("05.000")))
	}
}
