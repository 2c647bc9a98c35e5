package gateway

import (
	"time"

	"baywall.example/core/inbound"
	"baywall.example/core/settings"
	"baywall.example/entry/retry"
)

// Settings are a gateway's static settings.
type Settings struct {
	// VM is the id of this VM. Required.
	VM string `yaml:"vm"`
	// Zone is the availability zone of this VM. Required.
	Zone string `yaml:"zone"`
	// Listen are the addresses that the process listens on.
	Listen ListenSettings `yaml:"listen"`
	// Seeds are addresses, IP:port, of other gateways' listen.peers, which are contacted
	// until they answer. Some may be down or stale. Default none.
	Seeds []string `yaml:"seeds"`
	// Bootstrap says that the whole fleet starts for the first time, so that no other
	// gateway has any state that this one could request. Default false.
	Bootstrap bool `yaml:"bootstrap"`
	// Store is the address, IP:port, of the store that holds the configuration and the list
	// of backend servers. Required.
	Store string `yaml:"store"`
	// Follow sets how the store is followed.
	Follow FollowSettings `yaml:"follow"`
	// Machine describes the resources of this VM.
	Machine MachineSettings `yaml:"machine"`
	// Clients bounds what clients can make the process hold.
	Clients inbound.Settings `yaml:"clients"`
	// Entries sets what the directory tells callers about where to connect.
	Entries EntriesSettings `yaml:"entries"`
	// Retry bounds the retries of each service over all gateways.
	Retry retry.Settings `yaml:"retry"`
	// Scheduling sets how requests share backend servers that are short of slots.
	Scheduling SchedulingSettings `yaml:"scheduling"`
	// Drain sets how the process shuts down.
	Drain DrainSettings `yaml:"drain"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `yaml:"log_level"`
}

// ListenSettings are addresses, IP:port each.
type ListenSettings struct {
	// Front accepts callers' requests. Required.
	Front string `yaml:"front"`
	// Ready serves the readiness check of this gateway. Required.
	Ready string `yaml:"ready"`
	// Directory tells callers which gateways they may connect to. Required.
	Directory string `yaml:"directory"`
	// Peers accepts heartbeats (UDP) and links (TCP) from other gateways. Required.
	Peers string `yaml:"peers"`
	// Metrics serves counters and histograms as text. Default none.
	Metrics string `yaml:"metrics"`
}

// FollowSettings set how the store is followed.
type FollowSettings struct {
	// Within is the time within which a published change has to be in force. A longer time
	// means fewer calls to the store. From 500ms to 1m, default 2s.
	Within time.Duration `yaml:"within"`
	// Evacuation is the same for the evacuation of an availability zone. The shorter of the
	// two times applies to every change. From 500ms to 1m, default as within.
	Evacuation time.Duration `yaml:"evacuation"`
	// Heartbeat is the interval at which backend servers renew their entries in the store.
	// The store removes an entry after three missed heartbeats. From 10ms to 10m, default
	// 1.2s.
	Heartbeat time.Duration `yaml:"heartbeat"`
}

// leaseMargin is the extra time, beyond three heartbeats, that the store may take to remove
// an entry.
const leaseMargin = 400 * time.Millisecond

// minPropagation returns the time within which any published change has to be in force.
func (f FollowSettings) minPropagation() time.Duration { return min(f.Within, f.Evacuation) }

// lease returns how long the store keeps listing an entry whose writer has ended.
func (f FollowSettings) lease() time.Duration { return 3*f.Heartbeat + leaseMargin }

// MachineSettings describe the resources of the VM.
type MachineSettings struct {
	inbound.Machine `yaml:",inline"`

	// CPUShare is the fraction of the time for which a core runs the process. From 0 to 1,
	// default 0: not known.
	CPUShare float64 `yaml:"cpu_share"`
	// Cores is the number of cores that work during that time. From 0 to 1024, default 1.
	Cores float64 `yaml:"cores"`
}

// millicores returns the available CPU time in thousandths of a core, or 0 if it is not
// known.
func (m MachineSettings) millicores() uint32 { return uint32(1000 * m.CPUShare * m.Cores) }

// EntriesSettings set what the directory tells callers about where to connect.
type EntriesSettings struct {
	// TTL is how long a caller keeps the addresses. From 1s to 1h, default 2s. A VM that
	// leaves keeps serving for longer than that.
	TTL time.Duration `yaml:"ttl"`
	// MaxAddresses is the largest number of addresses in one answer. From 1 to 1000,
	// default 64.
	MaxAddresses int `yaml:"most"`
	// Connections bounds the connections of the directory's listener. From 4 to 10000000, default a
	// quarter of clients.connections.
	Connections int `yaml:"connections"`
}

// DrainSettings set how the process shuts down.
type DrainSettings struct {
	// Grace is the time after which the platform kills a process that was told to stop.
	// From 1s to 24h, default 8s.
	Grace time.Duration `yaml:"grace"`
}

const (
	defaultWithin       = 2 * time.Second
	defaultHeartbeat    = 1200 * time.Millisecond
	defaultTTL          = 2 * time.Second
	defaultMaxAddresses = 64
	defaultGrace        = 8 * time.Second

	minDirectoryConnections = 4
)

// Provision fills in the defaults.
func (s *Settings) Provision() {
	s.Follow.Within = settings.Or(s.Follow.Within, defaultWithin)
	s.Follow.Evacuation = settings.Or(s.Follow.Evacuation, s.Follow.Within)
	s.Follow.Heartbeat = settings.Or(s.Follow.Heartbeat, defaultHeartbeat)
	s.Machine.Cores = settings.Or(s.Machine.Cores, 1)
	s.Machine.Provision()
	s.Clients.Provision(s.Machine.Machine)
	s.Entries.TTL = settings.Or(s.Entries.TTL, defaultTTL)
	s.Entries.MaxAddresses = settings.Or(s.Entries.MaxAddresses, defaultMaxAddresses)
	s.Entries.Connections = settings.Or(s.Entries.Connections, max(minDirectoryConnections, s.Clients.Connections/4))
	s.Retry.Provision()
	s.Drain.Grace = settings.Or(s.Drain.Grace, defaultGrace)
	s.LogLevel = settings.Or(s.LogLevel, "info")
}

// Validate fills in the defaults and returns every invalid value.
func (s *Settings) Validate() []settings.Problem {
	s.Provision()
	var c settings.Checks
	c.Require("vm", s.VM)
	c.Require("zone", s.Zone)
	c.Address("listen.front", s.Listen.Front)
	c.Address("listen.ready", s.Listen.Ready)
	c.Address("listen.directory", s.Listen.Directory)
	c.Address("listen.peers", s.Listen.Peers)
	if s.Listen.Metrics != "" {
		c.Address("listen.metrics", s.Listen.Metrics)
	}
	for _, seed := range s.Seeds {
		c.Address("seeds", seed)
	}
	c.Address("store", s.Store)
	c.Duration("follow.within", s.Follow.Within, 500*time.Millisecond, time.Minute)
	c.Duration("follow.evacuation", s.Follow.Evacuation, 500*time.Millisecond, time.Minute)
	c.Duration("follow.heartbeat", s.Follow.Heartbeat, 10*time.Millisecond, 10*time.Minute)
	c.Float("machine.cpu_share", s.Machine.CPUShare, 0, 1)
	c.Float("machine.cores", s.Machine.Cores, 0, 1024)
	s.Machine.Check(&c, "machine.")
	s.Clients.Check(&c, "clients.")
	c.Duration("entries.ttl", s.Entries.TTL, time.Second, time.Hour)
	c.Int("entries.connections", s.Entries.Connections, minDirectoryConnections, 10_000_000)
	c.Int("entries.most", s.Entries.MaxAddresses, 1, 1000)
	s.Retry.Check(&c)
	s.Scheduling.check(&c)
	c.Duration("drain.grace", s.Drain.Grace, time.Second, 24*time.Hour)
	c.OneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	c.Distinct(
		settings.Field{Name: "listen.front", Value: s.Listen.Front},
		settings.Field{Name: "listen.ready", Value: s.Listen.Ready},
		settings.Field{Name: "listen.directory", Value: s.Listen.Directory},
		settings.Field{Name: "listen.peers", Value: s.Listen.Peers},
	)
	return c.Problems
}
