// Package fleet starts a whole site on one machine: the platform, engines and
// services as stand-ins in this process, and the real programs as child
// processes, every VM with a loopback address of its own and the network of
// package faults between them.
package fleet

import (
	"fmt"
	"time"

	"baywall.example/core/resource"
	"baywall.example/core/settings"
)

// Site describes an operator's site.
type Site struct {
	// Name of the site.
	Name string `yaml:"name"`
	// Network is the first two octets of all addresses, in 127.0.0.0/8.
	Network string `yaml:"network"`
	// Zones are the availability zones; VMs are spread over them in turn.
	Zones []string `yaml:"zones"`
	// ZoneDelay is the one-way delay between two availability zones.
	ZoneDelay time.Duration `yaml:"zone_delay"`
	// CallerDelay is the one-way delay between callers and entry VMs.
	CallerDelay time.Duration `yaml:"caller_delay"`
	// EntryVMs is the number of entry VMs.
	EntryVMs int `yaml:"entry_vms"`
	// Services that the site runs.
	Services []ServiceSite `yaml:"services"`
	// Teams by name.
	Teams map[string]resource.Team `yaml:"teams"`
	// DrainLinger, if set, replaces the default of the entry VMs.
	DrainLinger time.Duration `yaml:"drain_linger"`
	// AgentLinger is how long agents answer after they began to leave.
	AgentLinger time.Duration `yaml:"agent_linger"`
	// TicketTTL, if set, replaces the default of the entry VMs.
	TicketTTL time.Duration `yaml:"ticket_ttl"`
	// AddressTTL, if set, replaces the default of the entry VMs.
	AddressTTL time.Duration `yaml:"address_ttl"`
}

// ServiceSite is one service of a site.
type ServiceSite struct {
	Name    string           `yaml:"name"`
	Runners int              `yaml:"runners"`
	Spec    resource.Service `yaml:"spec"`
	Intent  resource.Intent  `yaml:"intent"`
	// Group is the shape of the expert-parallel group, for engines.
	Group *GroupSite `yaml:"group"`
	// Independent makes the runners engines that step on their own, without a
	// group that operators know of.
	Independent bool `yaml:"independent"`
	// Step is the base time of an engine's step.
	Step time.Duration `yaml:"step"`
	// Batch is how many requests an engine runs at a time, 0 = 32.
	Batch int `yaml:"batch"`
	// Cache is how many prompt prefixes an engine caches, 0 = 64.
	Cache int `yaml:"cache"`
	// Delay is the answer time of a plain service.
	Delay time.Duration `yaml:"delay"`
}

// GroupSite is the group that a service's runners form.
type GroupSite struct {
	Layers      int     `yaml:"layers"`
	Experts     int     `yaml:"experts"`
	Slots       int     `yaml:"slots"`
	Exponent    float64 `yaml:"exponent"`     // of the Zipf popularity
	DriftSteps  uint64  `yaml:"drift_steps"`  // until the popularity order has shifted by one
	BurstSteps  uint64  `yaml:"burst_steps"`  // length of a burst, 0 = no bursts
	BurstWeight float64 `yaml:"burst_weight"` // share of tokens of a burst's experts
	Fenced      bool    `yaml:"fenced"`
}

// Validate returns every wrong value.
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
