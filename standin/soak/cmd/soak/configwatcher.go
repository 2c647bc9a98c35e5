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
	// probeInterval is the interval at which all gateways are probed for the configuration
	// that is in force.
	probeInterval = 250 * time.Millisecond
	// inForceLimit is the time within which a version must be in force at all gateways once
	// the store has held it without interruption: 2 s by the users' rules, plus 1 s because
	// the processes share a busy machine.
	inForceLimit = 3 * time.Second
)

// configWatcher checks which configuration is in force at the gateways: the current version
// must take effect in time and must never be replaced by an older one, whatever the store
// lists.
type configWatcher struct {
	world  *world
	faults *faults
	client http.Client

	mu          sync.Mutex
	violations  []string
	seen        map[string]uint64 // latest version seen in force, by gateway
	heldSince   time.Time         // since when the store has held heldVersion
	heldVersion uint64
	probes      map[string]standin.Attempt // requests sent as probes, by id
}

func newConfigWatcher(w *world, f *faults) *configWatcher {
	return &configWatcher{world: w, faults: f, seen: make(map[string]uint64), probes: make(map[string]standin.Attempt), client: http.Client{Timeout: time.Second}}
}

// run probes all gateways until the context ends.
func (i *configWatcher) run(ctx context.Context) {
	for wait.Sleep(ctx, probeInterval) {
		version, _ := i.world.config.current()
		i.observeStore(version)
		for _, g := range i.world.gateways {
			i.check(ctx, g, version)
		}
	}
}

// observeStore records since when the store has held the version.
func (i *configWatcher) observeStore(version uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case !i.world.reconciler.InSync(standin.ConfigKey):
		i.heldVersion = 0
	case i.heldVersion != version:
		i.heldVersion, i.heldSince = version, time.Now()
	}
}

// all returns the requests that were sent as probes.
func (i *configWatcher) all() map[string]standin.Attempt {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.probes)
}

func (i *configWatcher) check(ctx context.Context, g *gateway, version uint64) {
	sent := time.Now()
	id := fmt.Sprintf("f-%s-%d", g.vm, sent.UnixNano())
	status := standin.RequestStatus(ctx, &i.client, g.front, host, teamKey, id, versionPath(version)+"look")
	present, _ := i.world.config.current()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.probes[id] = standin.Attempt{ID: id, Gateway: g.front, Sent: sent}
	switch {
	case status == 0 || status == http.StatusServiceUnavailable || present != version:
	case status != http.StatusNotFound:
		i.seen[g.vm] = version
	case i.seen[g.vm] == version:
		i.violations = append(i.violations, fmt.Sprintf("%s: version %d was in force but no longer is at %s", g.vm, version, sent.Format("05.000")))
		i.seen[g.vm] = 0
	case i.heldVersion == version && sent.Sub(i.heldSince) > inForceLimit && !i.faults.recentlyPaused(g.front, sent):
		i.violations = append(i.violations, fmt.Sprintf("%s: version %d is not in force %v after the store held it, at %s",
			g.vm, version, sent.Sub(i.heldSince).Round(time.Millisecond), sent.Format("05.000")))
	}
}
