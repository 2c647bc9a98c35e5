package main

import (
	"fmt"
	"sync"
	"time"

	"baywall.example/platform/standin"
)

// Path prefixes of the routes that are in every configuration version.
const (
	safePath   = "/safe/"
	unsafePath = "/unsafe/"
	streamPath = "/stream/"
	surgePath  = "/surge/"
)

// config publishes the configuration. Each version adds a route of its own and removes
// the route that the version two before it added.
type config struct {
	reconciler *standin.Reconciler
	cold       standin.Service // load limit of the plain service's backend servers after a start
	shape      standin.Shape   // of the groups' expert maps

	mu      sync.Mutex
	version uint64
	at      time.Time // when the current version was published
}

func newConfig(reconciler *standin.Reconciler, cold standin.Service, shape standin.Shape) *config {
	return &config{reconciler: reconciler, cold: cold, shape: shape}
}

// versionPath returns the path prefix of the route that a version adds.
func versionPath(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// publish publishes the next version.
func (c *config) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	route := func(prefix, kind, service string, attempts int) standin.Route {
		return standin.Route{
			Name: "r" + prefix, Host: host, Prefix: prefix, Kind: kind, TimeoutMS: 6000, GoalMS: 400, GapMS: 120,
			Attempts: attempts, Resumable: kind == standin.KindStream, Service: service,
		}
	}
	routes := []standin.Route{
		route(safePath, standin.KindSafe, plainService, 2),
		route(unsafePath, standin.KindUnsafe, plainService, 1),
		route(streamPath, standin.KindStream, modelService, 2),
		route(versionPath(c.version), standin.KindSafe, plainService, 2),
	}
	surge := route(surgePath, standin.KindStream, modelService, 2)
	surge.Priority = surgePriority
	routes = append(routes, surge)
	if c.version > 1 {
		routes = append(routes, route(versionPath(c.version-1), standin.KindSafe, plainService, 2))
	}
	services := []standin.Service{{Name: plainService, ColdS: c.cold.ColdS, ColdPerS: c.cold.ColdPerS}, {Name: modelService, Slots: slots, Shape: &c.shape}}
	c.reconciler.Put(standin.ConfigKey, standin.EncodeConfig(c.version, routes, services, map[string]string{"team": teamKey, "surge": surgeKey}))
	c.at = time.Now()
}

// current returns the current version and when it was published.
func (c *config) current() (uint64, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.at
}
