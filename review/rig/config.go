package rig

import (
	"encoding/json"
	"fmt"
)

// Names of the deployment.
const (
	Host         = "ficu95.example"
	Key          = "n2ctnfzs989anu6wsjnb"
	Tenant       = "hule930"
	ModelService = "huvo11a"
	PlainService = "wuno96b"
	StreamPath   = "/lohu930/"
	SafePath     = "/cufi504/"
	UnsafePath   = "/puxa403/"
)

// Shape is the shape of the expert maps of a group of model runners.
type Shape struct{ Sets, Experts, Places, Spare int }

type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"path-prefix"`
	Kind      string  `json:"kind"`
	TimeoutMS int     `json:"timeout-ms"`
	GoalMS    int     `json:"goal-ms"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"max-attempts"`
	Public    bool    `json:"public"`
	Sticky    bool    `json:"sticky,omitempty"`
	Resumable bool    `json:"resumable,omitempty"`
	GapMS     float64 `json:"gap-target-ms,omitempty"`
}

type engine struct {
	Slots       int     `json:"slots"`
	LinkMbps    float64 `json:"link-mbps"`
	Stride      int     `json:"stride"`
	StepMS      float64 `json:"step_ms"`
	PerSeqMS    float64 `json:"per_seq_ms"`
	ReadPerS    float64 `json:"read_per_s"`
	Chunk       int     `json:"chunk"`
	Sets        int     `json:"sets"`
	Experts     int     `json:"experts"`
	Places      int     `json:"places"`
	Spare       int     `json:"spare"`
	ExpertMB    float64 `json:"expert-mb"`
	ExpertShare float64 `json:"expert-share"`
	FormMS      float64 `json:"form_ms"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health-path"`
	MaxConns   int     `json:"max-conns"`
	Protocol   string  `json:"protocol"`
	Engine     *engine `json:"engine,omitempty"`
}

// Config returns the configuration as the operator writes it: one resumable streaming route
// to model runners, and a safe and an unsafe route to a plain service.
func Config(version int, shape Shape, slots int) []byte {
	return ConfigWith(version, shape, slots, Extras{Keys: []string{Key}})
}

// Extras are the parts of a configuration that a case changes.
type Extras struct {
	Keys       []string // of the tenant
	IdleRoutes int      // further routes, to model runners, that nobody uses
	NewRoute   bool     // the safe route NewPath
	TimeoutMS  int      // of the idle routes
}

// NewPath is the prefix of a route that a case adds.
const NewPath = "/newr116/"

// ConfigWith returns a configuration with changes.
func ConfigWith(version int, shape Shape, slots int, x Extras) []byte {
	routes := baseRoutes()
	for i := range x.IdleRoutes {
		routes = append(routes, route{
			Name: fmt.Sprintf("r-idle%05d", i), Host: Host, Prefix: fmt.Sprintf("/idle%05d/", i), Kind: "streaming", TimeoutMS: x.TimeoutMS,
			GoalMS: 400, Priority: 1, Service: ModelService, Attempts: 2, Sticky: true, Resumable: true, GapMS: 120,
		})
	}
	if x.NewRoute {
		routes = append(routes, route{Name: "r-new", Host: Host, Prefix: NewPath, Kind: "safe", TimeoutMS: 4000, GoalMS: 300, Priority: 2, Service: PlainService, Attempts: 2})
	}
	doc := map[string]any{
		"version": version,
		"routes":  routes,
		"services": []service{
			{
				Name: ModelService, HealthPath: "/healthz", MaxConns: 418, Protocol: "h1",
				Engine: &engine{
					Slots: slots, LinkMbps: 92000, Stride: 6, StepMS: 4.84, PerSeqMS: 0.362, ReadPerS: 74800, Chunk: 512,
					Sets: shape.Sets, Experts: shape.Experts, Places: shape.Places, Spare: shape.Spare,
					ExpertMB: 100, ExpertShare: 0.85, FormMS: 600,
				},
			},
			{Name: PlainService, HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"},
		},
		"limits":  map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": Tenant, "api-keys": x.Keys, "priority": 1}},
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		panic(err) // not reached: the document is made of plain values
	}
	return raw
}

func baseRoutes() []route {
	return []route{
		{
			Name: "r-stream", Host: Host, Prefix: StreamPath, Kind: "streaming", TimeoutMS: 8000, GoalMS: 400, Priority: 1,
			Service: ModelService, Attempts: 2, Sticky: true, Resumable: true, GapMS: 120,
		},
		{Name: "r-unsafe", Host: Host, Prefix: UnsafePath, Kind: "unsafe", TimeoutMS: 4000, GoalMS: 300, Priority: 2, Service: PlainService, Attempts: 2},
		{Name: "r-safe", Host: Host, Prefix: SafePath, Kind: "safe", TimeoutMS: 4000, GoalMS: 300, Priority: 2, Service: PlainService, Attempts: 2},
	}
}

// Entry returns the entry of a runner in the store.
func Entry(service, address, zone string, slots int, state string, sequence int) []byte {
	raw, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
		"cold-left-ms": 0, "sequence": sequence,
	})
	if err != nil {
		panic(err) // not reached: the entry is made of plain values
	}
	return raw
}
