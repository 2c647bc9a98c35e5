// Package fleet starts a whole site on one machine. The platform, the engines and the plain
// services are stand-ins in this process; the real programs run as child processes. Every VM
// has its own loopback address, and the VMs communicate through the network of package
// faults.
package fleet

import (
	"fmt"
	"time"

	"baywall.example/core/resource"
	"baywall.example/core/settings"
	"baywall.example/entry/retry"
)

// Site describes a site: its VMs, services and teams.
type Site struct {
	Name string `yaml:"name"`
	// Network is the first two octets of all addresses, within 127.0.0.0/8.
	Network string `yaml:"network"`
	// Zones are the availability zones; VMs are assigned to them round-robin.
	Zones []string `yaml:"zones"`
	// ZoneDelay is the one-way delay between two availability zones.
	ZoneDelay time.Duration `yaml:"zone_delay"`
	// CallerDelay is the one-way delay between callers and entry VMs.
	CallerDelay time.Duration `yaml:"caller_delay"`
	EntryVMs    int           `yaml:"entry_vms"`
	Services    []ServiceSite `yaml:"services"`
	// Teams contains the teams by name.
	Teams map[string]resource.Team `yaml:"teams"`
	// DrainLinger, if set, replaces the default of the entry VMs.
	DrainLinger time.Duration `yaml:"drain_linger"`
	// AgentLinger is how long agents continue to answer after they have started to leave.
	AgentLinger time.Duration `yaml:"agent_linger"`
	// TicketTTL, if set, replaces the default of the entry VMs.
	TicketTTL time.Duration `yaml:"ticket_ttl"`
	// AddressTTL, if set, replaces the default of the entry VMs.
	AddressTTL time.Duration `yaml:"address_ttl"`
	// Retry, where set, replaces the defaults of the entry VMs.
	Retry retry.Settings `yaml:"retry"`
}

// ServiceSite is one service of a site.
type ServiceSite struct {
	Name    string           `yaml:"name"`
	Runners int              `yaml:"runners"`
	Spec    resource.Service `yaml:"spec"`
	Intent  resource.Intent  `yaml:"intent"`
	// Group describes the expert-parallel group that the runners form, nil for none.
	Group *GroupSite `yaml:"group"`
	// Independent makes each runner an engine that steps by itself, without a group
	// resource on the platform.
	Independent bool `yaml:"independent"`
	// Step is the base duration of an engine's step.
	Step time.Duration `yaml:"step"`
	// Batch is the maximum number of requests that an engine runs at a time, 0 = 32.
	Batch int `yaml:"batch"`
	// Cache is the number of prompt prefixes that an engine caches, 0 = 64.
	Cache int `yaml:"cache"`
	// Delay is the response time of a plain service.
	Delay time.Duration `yaml:"delay"`
}

// GroupSite describes the group that a service's runners form.
type GroupSite struct {
	Layers      int     `yaml:"layers"`
	Experts     int     `yaml:"experts"`
	Slots       int     `yaml:"slots"`
	Exponent    float64 `yaml:"exponent"`     // exponent of the Zipf popularity
	DriftSteps  uint64  `yaml:"drift_steps"`  // steps from one popularity ranking to the next, 0 = no drift
	BurstSteps  uint64  `yaml:"burst_steps"`  // length of a burst in steps, 0 = no bursts
	BurstWeight float64 `yaml:"burst_weight"` // share of a layer's tokens that go to a burst's experts
	Fenced      bool    `yaml:"fenced"`
}

// Validate returns all invalid values.
func (s *Site) Validate() []settings.Problem {
	var c settings.Checks
	c.Require("name", s.Name)
	c.Require("network", s.Network)
	c.Int("zones", len(s.Zones), 1, 16)
	c.Int("entry_vms", s.EntryVMs, 1, 250)
	c.Duration("zone_delay", s.ZoneDelay, 0, time.Second)
	c.Duration("caller_delay", s.CallerDelay, 0, time.Second)
	c.Int("services", len(s.Services), 1, 100)
	for i, svc := range s.Services {
		at := fmt.Sprintf("services[%d].", i)
		c.Require(at+"name", svc.Name)
		c.Int(at+"runners", svc.Runners, 1, 250)
	}
	return c.Problems
}

// LoadSite reads a site file.
func LoadSite(path string) (Site, error) {
	var s Site
	return s, settings.Load(path, &s)
}
