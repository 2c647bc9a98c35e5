package server

import (
	"fmt"
	"net/url"
	"time"

	"baywall.example/core/inbound"
	"baywall.example/core/settings"
	"baywall.example/entry/retry"
)

// Settings are an entry VM's static settings.
type Settings struct {
	// VM is the id of this VM. Required.
	VM string `yaml:"vm"`
	// Zone is the availability zone of this VM. Required.
	Zone string `yaml:"zone"`
	// HTTP configures the listener for callers and operators.
	HTTP HTTPSettings `yaml:"http"`
	// Link configures the listener for links from other VMs of the fleet.
	Link LinkSettings `yaml:"link"`
	// Probe configures the socket for probes from other entry VMs.
	Probe ProbeSettings `yaml:"probe"`
	// Platform configures the source of configuration and of the list of VMs.
	Platform PlatformSettings `yaml:"platform"`
	// Seeds are link addresses (IP:port) of entry VMs that a new process pulls
	// from before the platform has answered. Default: none.
	Seeds []string `yaml:"seeds"`
	// Callers are the settings that concern callers.
	Callers CallerSettings `yaml:"callers"`
	// Machine is what the VM has for this process.
	Machine inbound.Machine `yaml:"machine"`
	// Clients bounds what clients can make the process hold.
	Clients inbound.Settings `yaml:"clients"`
	// Retry bounds the retries of each service over all entry VMs.
	Retry retry.Settings `yaml:"retry"`
	// Drain configures how the process shuts down.
	Drain DrainSettings `yaml:"drain"`
	// MemoryTarget is the soft limit of the process's heap and stacks, in MiB. A
	// process that needs more exceeds it, but spends much processor time on
	// garbage collection: leave a quarter unused. From 16 to 65536, default 28.
	MemoryTarget int `yaml:"memory_target"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `yaml:"log_level"`
}

// HTTPSettings are the settings of the callers' listener.
type HTTPSettings struct {
	// Listen is the IP:port that the process listens on. Required.
	Listen string `yaml:"listen"`
}

// LinkSettings are the settings of the link listener.
type LinkSettings struct {
	// Listen is the IP:port that the process listens on. Required. Its IP is
	// also the source address of outgoing links.
	Listen string `yaml:"listen"`
}

// ProbeSettings are the settings of the probe socket.
type ProbeSettings struct {
	// Listen is the UDP IP:port. Required.
	Listen string `yaml:"listen"`
}

// PlatformSettings are the settings for reading from the platform.
type PlatformSettings struct {
	// URL is the base URL, http only. Required.
	URL string `yaml:"url"`
	// Wait is how long one watch waits for a change. From 1s to 10m, default
	// 30s.
	Wait time.Duration `yaml:"wait"`
}

// CallerSettings are the settings that concern callers.
type CallerSettings struct {
	// AddressTTL is how long callers may cache an answer of /v1/entries. From
	// 100ms to 1h, default 5s.
	AddressTTL time.Duration `yaml:"address_ttl"`
	// TicketTTL is how long after its issue a ticket is accepted. From 1s to 1h,
	// default 30s.
	TicketTTL time.Duration `yaml:"ticket_ttl"`
	// MaxBody bounds a request's body, in bytes. From 1024 to 4194304, default
	// 4194304.
	MaxBody int `yaml:"max_body"`
	// MaxWatches bounds the watches of resources that are open at a time. From 1 to 10000, default 32.
	MaxWatches int `yaml:"max_watches"`
	// MaxEvents bounds the events in one answer of the timeline. From 1 to 1000000, default 10000.
	MaxEvents int `yaml:"max_events"`
	// AnswerWindow is how many bytes of an answer an agent may send before its caller has read them. From
	// 32768 to 262144, default 65536.
	AnswerWindow int `yaml:"answer_window"`
}

// DrainSettings are the settings for shutting a process down.
type DrainSettings struct {
	// Linger is how long new requests are still served after the process has
	// announced that it is draining. From 0 to 10m, default 6s: a little more
	// than callers.address_ttl.
	Linger *time.Duration `yaml:"linger"`
	// Timeout bounds the draining, Linger included: requests still in flight
	// after it are aborted. From 1s to 24h, default 15m.
	Timeout time.Duration `yaml:"timeout"`
}

const (
	defaultWait         = 30 * time.Second
	defaultAddressTTL   = 5 * time.Second
	defaultTicketTTL    = 30 * time.Second
	defaultMaxBody      = 4 << 20
	defaultMaxWatches   = 32
	defaultMaxEvents    = 10_000
	defaultAnswerWindow = 64 << 10
	defaultLinger       = 6 * time.Second
	defaultMemoryTarget = 28
	defaultDrainTimeout = 15 * time.Minute
)

// Provision fills in the defaults.
func (s *Settings) Provision() {
	s.Platform.Wait = settings.Or(s.Platform.Wait, defaultWait)
	s.Callers.AddressTTL = settings.Or(s.Callers.AddressTTL, defaultAddressTTL)
	s.Callers.TicketTTL = settings.Or(s.Callers.TicketTTL, defaultTicketTTL)
	s.Callers.MaxBody = settings.Or(s.Callers.MaxBody, defaultMaxBody)
	s.Callers.MaxWatches = settings.Or(s.Callers.MaxWatches, defaultMaxWatches)
	s.Callers.MaxEvents = settings.Or(s.Callers.MaxEvents, defaultMaxEvents)
	s.Callers.AnswerWindow = settings.Or(s.Callers.AnswerWindow, defaultAnswerWindow)
	if s.Drain.Linger == nil {
		linger := defaultLinger
		s.Drain.Linger = &linger
	}
	s.Machine.Provision()
	s.Clients.Provision(s.Machine)
	s.Retry.Provision()
	s.Drain.Timeout = settings.Or(s.Drain.Timeout, defaultDrainTimeout)
	s.MemoryTarget = settings.Or(s.MemoryTarget, defaultMemoryTarget)
	s.LogLevel = settings.Or(s.LogLevel, "info")
}

// Validate fills in the defaults and returns a problem for every invalid value.
func (s *Settings) Validate() []settings.Problem {
	s.Provision()
	var c settings.Checks
	c.Require("vm", s.VM)
	c.Require("zone", s.Zone)
	c.Address("http.listen", s.HTTP.Listen)
	c.Address("link.listen", s.Link.Listen)
	c.Address("probe.listen", s.Probe.Listen)
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Scheme != "http" || u.Host == "" {
		c.OneOf("platform.url", s.Platform.URL, "an http://IP:port URL")
	}
	c.Duration("platform.wait", s.Platform.Wait, time.Second, 10*time.Minute)
	c.Duration("callers.address_ttl", s.Callers.AddressTTL, 100*time.Millisecond, time.Hour)
	c.Duration("callers.ticket_ttl", s.Callers.TicketTTL, time.Second, time.Hour)
	c.Int("callers.max_watches", s.Callers.MaxWatches, 1, 10_000)
	c.Int("callers.max_events", s.Callers.MaxEvents, 1, 1_000_000)
	c.Int("callers.answer_window", s.Callers.AnswerWindow, 32<<10, 256<<10)
	c.Int("callers.max_body", s.Callers.MaxBody, 1024, 4<<20)
	s.Machine.Check(&c, "machine.")
	s.Clients.Check(&c, "clients.")
	s.Retry.Check(&c)
	c.Duration("drain.linger", *s.Drain.Linger, 0, 10*time.Minute)
	c.Duration("drain.timeout", s.Drain.Timeout, time.Second, 24*time.Hour)
	c.Int("memory_target", s.MemoryTarget, 16, 65536)
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	seeds := make([]settings.Field, 0, len(s.Seeds))
	for i, seed := range s.Seeds {
		name := fmt.Sprintf("seeds[%d]", i)
		c.Address(name, seed)
		seeds = append(seeds, settings.Field{Name: name, Value: seed})
	}
	c.Distinct(seeds...)
	c.Distinct(
		settings.Field{Name: "http.listen", Value: s.HTTP.Listen},
		settings.Field{Name: "link.listen", Value: s.Link.Listen},
	)
	return c.Problems
}
