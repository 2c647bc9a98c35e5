package rankserver

import (
	"fmt"
	"time"

	"baywall.example/core/inbound"
	"baywall.example/core/settings"
)

// Settings are the static settings of a rank's agent.
type Settings struct {
	// VM is the id of this VM. Required.
	VM string `yaml:"vm"`
	// Zone is the availability zone of this VM. Required.
	Zone string `yaml:"zone"`
	// Service is the service of the backend server on this VM. Required.
	Service string `yaml:"service"`
	// Engine is the IP:port of the backend server. Required.
	Engine string `yaml:"engine"`
	// Listen holds the addresses that the process listens on.
	Listen ListenSettings `yaml:"listen"`
	// Store is the IP:port of the store with the configuration and the list of
	// backend servers. Required.
	Store string `yaml:"store"`
	// Gateways are the addresses, IP:port each, at which gateways take heartbeats.
	// Slowdowns of the rank are reported to them. Default none.
	Gateways []string `yaml:"gateways"`
	// Machine limits what the agent uses of this VM.
	Machine MachineSettings `yaml:"machine"`
	// Clients bounds what clients can make the process hold.
	Clients inbound.Settings `yaml:"clients"`
	// Planner configures the planning of expert maps.
	Planner PlannerSettings `yaml:"planner"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `yaml:"log_level"`
}

// ListenSettings are the listen addresses, each an IP:port.
type ListenSettings struct {
	// Peers takes heartbeats (UDP) and links (TCP) from other agents, which must
	// use the same port. Required.
	Peers string `yaml:"peers"`
	// Metrics serves metrics as text. Default none.
	Metrics string `yaml:"metrics"`
}

// MachineSettings limit what the agent uses of its VM.
type MachineSettings struct {
	// By default, memory_mb is 152 and max_fds 2048.
	inbound.Machine `yaml:",inline"`
	// LinkMbps is the speed of the VM's link in Mbit/s, of which a coordinator uses a
	// tenth. From 0 to 1000000, default 0: unbounded.
	LinkMbps float64 `yaml:"link_mbps"`
}

// bytesPerMbit converts Mbit/s to bytes per second.
const bytesPerMbit = 1e6 / 8

// PlannerSettings are the settings of the map planner.
type PlannerSettings struct {
	// Period is the time between two plans. From 20ms to 1h, default 30ms: a plan
	// follows each pass of the group.
	Period time.Duration `yaml:"period"`
	// MoveCost is the reduction of the skew, as a mean over all layers, that copying
	// one gigabyte per rank must bring at a usual batch. From 0 to 10, default 0.05,
	// measured on groups of 8 ranks with experts of 1.7 GB.
	MoveCost float64 `yaml:"move_cost"`
	// CopyTime bounds how long a rank copies experts for one switch. From 10ms to
	// 1m, default 160ms.
	CopyTime time.Duration `yaml:"copy_time"`
}

const (
	defaultMemoryMB = 152
	defaultMaxFDs   = 2048
	defaultPeriod   = 30 * time.Millisecond
	defaultMoveCost = 0.05
	defaultCopyTime = 160 * time.Millisecond
)

// Provision fills in the defaults.
func (s *Settings) Provision() {
	s.Planner.Period = settings.Or(s.Planner.Period, defaultPeriod)
	s.Planner.MoveCost = settings.Or(s.Planner.MoveCost, defaultMoveCost)
	s.Planner.CopyTime = settings.Or(s.Planner.CopyTime, defaultCopyTime)
	s.Machine.MemoryMB = settings.Or(s.Machine.MemoryMB, defaultMemoryMB)
	s.Machine.MaxFDs = settings.Or(s.Machine.MaxFDs, defaultMaxFDs)
	s.Machine.Provision()
	s.Clients.Provision(s.Machine.Machine)
	s.LogLevel = settings.Or(s.LogLevel, "info")
}

// Validate fills in the defaults and returns every invalid value.
func (s *Settings) Validate() []settings.Problem {
	s.Provision()
	var c settings.Checks
	c.Require("vm", s.VM)
	c.Require("zone", s.Zone)
	c.Require("service", s.Service)
	c.Address("engine", s.Engine)
	c.Address("listen.peers", s.Listen.Peers)
	if s.Listen.Metrics != "" {
		c.Address("listen.metrics", s.Listen.Metrics)
	}
	c.Address("store", s.Store)
	for i, gateway := range s.Gateways {
		c.Address(fmt.Sprintf("gateways[%d]", i), gateway)
	}
	c.Float("machine.link_mbps", s.Machine.LinkMbps, 0, 1_000_000)
	s.Machine.Check(&c, "machine.")
	s.Clients.Check(&c, "clients.")
	c.Duration("planner.period", s.Planner.Period, 20*time.Millisecond, time.Hour)
	c.Float("planner.move_cost", s.Planner.MoveCost, 0, 10)
	c.Duration("planner.copy_time", s.Planner.CopyTime, 10*time.Millisecond, time.Minute)
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	return c.Problems
}
