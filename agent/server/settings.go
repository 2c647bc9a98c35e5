package server

import (
	"time"

	"baywall.example/core/inbound"
	"baywall.example/core/settings"
)

// Settings are an agent's static settings.
type Settings struct {
	// VM is the id of this VM. Required.
	VM string `yaml:"vm"`
	// Zone is the availability zone of this VM. Required.
	Zone string `yaml:"zone"`
	// Link configures the listener for entry VMs and other agents.
	Link LinkSettings `yaml:"link"`
	// Engine is the backend server on this VM.
	Engine EngineSettings `yaml:"engine"`
	// Record bounds the record of attempts.
	Record RecordSettings `yaml:"record"`
	// Machine is what the VM has for this process. By default, memory_mb is 152 and max_fds 2048.
	Machine inbound.Machine `yaml:"machine"`
	// Clients bounds what clients can make the process hold.
	Clients inbound.Settings `yaml:"clients"`
	// Drain configures the shutdown.
	Drain DrainSettings `yaml:"drain"`
	// Debug configures the listener for expvar metrics; empty = none.
	Debug DebugSettings `yaml:"debug"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `yaml:"log_level"`
}

// LinkSettings are the settings of the link listener.
type LinkSettings struct {
	// Listen is the IP:port that the process listens on. Required. Its IP is
	// also the source address of outgoing links.
	Listen string `yaml:"listen"`
}

// EngineSettings are the settings of the backend server.
type EngineSettings struct {
	// Address is the IP:port of the backend server's HTTP interface. Required.
	Address string `yaml:"address"`
	// Kind is "engine" for a model engine that reports its load, or "plain".
	// Default plain.
	Kind string `yaml:"kind"`
	// MaxInFlight bounds the requests running at the same time. From 1 to 100000,
	// default 256.
	MaxInFlight int `yaml:"max_in_flight"`
}

// RecordSettings bound the agent's record of attempts.
type RecordSettings struct {
	// Retention is how long a finished answer can be resumed. From 1s to 10m,
	// default 10s.
	Retention time.Duration `yaml:"retention"`
	// TicketGrace is how long a ticket is kept after it expires. From 1s to 1h,
	// default 1m.
	TicketGrace time.Duration `yaml:"ticket_grace"`
	// ClockSkew is the largest difference between the clocks of two VMs. From
	// 0 to 10s, default 500ms.
	ClockSkew time.Duration `yaml:"clock_skew"`
	// AnswerBytes bounds the total size of saved answers, in bytes. From 65536
	// to 1 GiB, default 8388608.
	AnswerBytes int `yaml:"answer_bytes"`
}

// DrainSettings are the settings of the shutdown.
type DrainSettings struct {
	// Linger is how long the agent keeps answering after a drain began, while it
	// refuses new requests. A caller that presents a ticket gets proof that its
	// request did not run, which is lost once the process has ended. From 0 to
	// 1h, default 35s: a little more than the entry VMs' callers.ticket_ttl.
	Linger *time.Duration `yaml:"linger"`
	// Timeout is how long a drain may take before the process stops even with
	// requests in flight. From 1s to 24h, default 15m.
	Timeout time.Duration `yaml:"timeout"`
}

// DebugSettings are the settings of the metrics listener.
type DebugSettings struct {
	// Listen is the IP:port that serves expvar metrics. Default none.
	Listen string `yaml:"listen"`
}

// Engine kinds.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

const (
	defaultMemoryMB     = 152
	defaultMaxFDs       = 2048
	defaultMaxInFlight  = 256
	defaultDrainTimeout = 15 * time.Minute
	defaultLinger       = 35 * time.Second
	defaultRetention    = 10 * time.Second
	defaultTicketGrace  = time.Minute
	defaultClockSkew    = 500 * time.Millisecond
	defaultAnswerBytes  = 8 << 20
)

// Provision fills in the defaults.
func (s *Settings) Provision() {
	s.Engine.Kind = settings.Or(s.Engine.Kind, KindPlain)
	s.Engine.MaxInFlight = settings.Or(s.Engine.MaxInFlight, defaultMaxInFlight)
	s.Record.Retention = settings.Or(s.Record.Retention, defaultRetention)
	s.Record.TicketGrace = settings.Or(s.Record.TicketGrace, defaultTicketGrace)
	s.Record.ClockSkew = settings.Or(s.Record.ClockSkew, defaultClockSkew)
	s.Record.AnswerBytes = settings.Or(s.Record.AnswerBytes, defaultAnswerBytes)
	if s.Drain.Linger == nil {
		linger := defaultLinger
		s.Drain.Linger = &linger
	}
	s.Machine.MemoryMB = settings.Or(s.Machine.MemoryMB, defaultMemoryMB)
	s.Machine.MaxFDs = settings.Or(s.Machine.MaxFDs, defaultMaxFDs)
	s.Machine.Provision()
	s.Clients.Provision(s.Machine)
	s.Drain.Timeout = settings.Or(s.Drain.Timeout, defaultDrainTimeout)
	s.LogLevel = settings.Or(s.LogLevel, "info")
}

// Validate fills in the defaults and returns every invalid value.
func (s *Settings) Validate() []settings.Problem {
	s.Provision()
	var c settings.Checks
	c.Require("vm", s.VM)
	c.Require("zone", s.Zone)
	c.Address("link.listen", s.Link.Listen)
	c.Address("engine.address", s.Engine.Address)
	c.OneOf("engine.kind", s.Engine.Kind, KindEngine, KindPlain)
	c.Int("engine.max_in_flight", s.Engine.MaxInFlight, 1, 100_000)
	c.Duration("record.retention", s.Record.Retention, time.Second, 10*time.Minute)
	c.Duration("record.ticket_grace", s.Record.TicketGrace, time.Second, time.Hour)
	c.Duration("record.clock_skew", s.Record.ClockSkew, 0, 10*time.Second)
	c.Int("record.answer_bytes", s.Record.AnswerBytes, 1<<16, 1<<30)
	s.Machine.Check(&c, "machine.")
	s.Clients.Check(&c, "clients.")
	c.Duration("drain.linger", *s.Drain.Linger, 0, time.Hour)
	c.Duration("drain.timeout", s.Drain.Timeout, time.Second, 24*time.Hour)
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	fields := []settings.Field{
		{Name: "link.listen", Value: s.Link.Listen},
		{Name: "engine.address", Value: s.Engine.Address},
	}
	if s.Debug.Listen != "" {
		c.Address("debug.listen", s.Debug.Listen)
		fields = append(fields, settings.Field{Name: "debug.listen", Value: s.Debug.Listen})
	}
	c.Distinct(fields...)
	return c.Problems
}
