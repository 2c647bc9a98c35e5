package inbound

import (
	"time"

	"baywall.example/core/settings"
)

// Machine is what the VM has for one process.
type Machine struct {
	// MemoryMB is the memory of the process, in MB (10^6 bytes). From 32 to 1048576, default 284.
	MemoryMB int `yaml:"memory_mb"`
	// MaxFDs is the largest number of open descriptors. From 64 to 10000000, default 4100.
	MaxFDs int `yaml:"max_fds"`
}

// Settings bound what clients can make a process hold.
type Settings struct {
	// MemoryMB bounds the memory that heads, bodies and buffered answers take beyond the fixed cost of
	// their connections, in MB. From 1 to 1048576, default a quarter of the machine's memory.
	MemoryMB int `yaml:"memory_mb"`
	// Connections bounds the connections of the main listener. From 8 to 10000000, default half of the
	// machine's descriptors, or fewer if their fixed cost would take over a quarter of its memory.
	Connections int `yaml:"connections"`
	// HeaderBytes bounds the head of a request, in bytes, where the configuration names no limit. From
	// 1024 to 1048576, default 65536.
	HeaderBytes int `yaml:"header_bytes"`
	// HeaderTimeout bounds the time from the first to the last byte of a head, where the configuration
	// names no limit. From 100ms to 10m, default 15s.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// IdleTimeout is how long a connection is kept open without a request, where the configuration
	// names no limit. From 100ms to 1h, default 75s.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// WriteTimeout is the time between two checks whether a client reads its answer: it has to have read
	// a part of it between them. From 100ms to 10m, default 10s.
	WriteTimeout time.Duration `yaml:"write_timeout"`
}

const (
	defaultMemoryMB      = 284
	defaultMaxFDs        = 4100
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 15 * time.Second
	defaultIdleTimeout   = 75 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	maxHeaderBytes       = 1 << 20

	// megabyte is the unit of settings of memory, in bytes.
	megabyte = 1_000_000
	// connectionCost is the memory that a connection takes by itself, with a request of ordinary size,
	// in bytes.
	connectionCost = 36 << 10
	// clientShare and connectionShare are the parts of a machine's memory for what clients send and for
	// their connections by themselves.
	clientShare     = 0.25
	connectionShare = 0.25
	// softLimitShare is the part of a machine's memory from which on the garbage collector works harder.
	softLimitShare = 0.6
)

// Provision fills in the defaults.
func (m *Machine) Provision() {
	m.MemoryMB = settings.Or(m.MemoryMB, defaultMemoryMB)
	m.MaxFDs = settings.Or(m.MaxFDs, defaultMaxFDs)
}

// Check reports invalid values. The prefix is the path of the settings in their file.
func (m *Machine) Check(c *settings.Checks, prefix string) {
	c.Int(prefix+"memory_mb", m.MemoryMB, 32, 1<<20)
	c.Int(prefix+"max_fds", m.MaxFDs, 64, 10_000_000)
}

// SoftMemoryLimit returns the soft limit for the memory of the Go runtime, in bytes.
func (m *Machine) SoftMemoryLimit() int64 {
	return int64(softLimitShare * float64(m.MemoryMB) * megabyte)
}

// Provision fills in the defaults for a machine whose own defaults are filled in.
func (s *Settings) Provision(m Machine) {
	s.MemoryMB = settings.Or(s.MemoryMB, max(1, int(clientShare*float64(m.MemoryMB))))
	affordable := int(connectionShare * float64(m.MemoryMB) * megabyte / connectionCost)
	s.Connections = settings.Or(s.Connections, max(8, min(m.MaxFDs/2, affordable)))
	s.HeaderBytes = settings.Or(s.HeaderBytes, defaultHeaderBytes)
	s.HeaderTimeout = settings.Or(s.HeaderTimeout, defaultHeaderTimeout)
	s.IdleTimeout = settings.Or(s.IdleTimeout, defaultIdleTimeout)
	s.WriteTimeout = settings.Or(s.WriteTimeout, defaultWriteTimeout)
}

// Check reports invalid values. The prefix is the path of the settings in their file.
func (s *Settings) Check(c *settings.Checks, prefix string) {
	c.Int(prefix+"memory_mb", s.MemoryMB, 1, 1<<20)
	c.Int(prefix+"connections", s.Connections, 8, 10_000_000)
	c.Int(prefix+"header_bytes", s.HeaderBytes, 1024, maxHeaderBytes)
	c.Duration(prefix+"header_timeout", s.HeaderTimeout, 100*time.Millisecond, 10*time.Minute)
	c.Duration(prefix+"idle_timeout", s.IdleTimeout, 100*time.Millisecond, time.Hour)
	c.Duration(prefix+"write_timeout", s.WriteTimeout, 100*time.Millisecond, 10*time.Minute)
}

// Limits are what a client has to keep on one listener.
type Limits struct {
	HeaderBytes   int           // size of a head
	HeaderTimeout time.Duration // from the first to the last byte of a head
	IdleTimeout   time.Duration // until the first byte of the next request
	WriteTimeout  time.Duration // between two checks whether an answer is read
}

// Limits returns the limits that the settings name.
func (s *Settings) Limits() Limits {
	return Limits{HeaderBytes: s.HeaderBytes, HeaderTimeout: s.HeaderTimeout, IdleTimeout: s.IdleTimeout, WriteTimeout: s.WriteTimeout}
}
