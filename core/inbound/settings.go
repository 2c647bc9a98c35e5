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
	// their connections, in MB. From 1 to 1048576, default a quarter of the machine's memory without that
	// of the process by itself, 24 MB.
	MemoryMB int `yaml:"memory_mb"`
	// Connections bounds the connections of the main listener. From 8 to 10000000, default a third of the
	// machine's descriptors, or fewer if their fixed cost would take over a quarter of its memory.
	Connections int `yaml:"connections"`
	// AuxiliaryConnections bounds the connections of each other listener for HTTP, such as that for
	// metrics. From 4 to 10000000, default a sixteenth of Connections.
	AuxiliaryConnections int `yaml:"auxiliary_connections"`
	// UnknownPeers bounds the connections of the listener for links whose peer has not said yet which VM
	// it is. From 4 to 10000000, default an eighth of Connections.
	UnknownPeers int `yaml:"unknown_peers"`
	// Backlog bounds the connections that wait to be accepted by the main listener: what their clients
	// send meanwhile takes memory of the machine, too. From 8 to 65535, default half of Connections. Other
	// listeners have half of their connections.
	Backlog int `yaml:"backlog"`
	// ReceiveBuffer is the size of a connection's receive buffer, in bytes, of which the kernel takes the
	// double. What waits there unread takes memory of the machine. From 4096 to 16777216, default 16384.
	ReceiveBuffer int `yaml:"receive_buffer"`
	// SendBuffer is the size of a connection's send buffer, in bytes, of which the kernel takes the double.
	// What a client does not read waits there and takes memory of the machine. It does not apply to links.
	// From 4096 to 16777216, default 16384.
	SendBuffer int `yaml:"send_buffer"`
	// BackendReceiveBuffer is the size of the receive buffer of a connection to a backend server, in bytes,
	// of which the kernel takes the double: answers whose clients read slowly wait there. From 4096 to
	// 16777216, default 8192.
	BackendReceiveBuffer int `yaml:"backend_receive_buffer"`
	// IdleBackendConnections bounds the idle connections to all backend servers together; one to each is
	// always kept. From 1 to 10000000, default a sixteenth of the machine's descriptors.
	IdleBackendConnections int `yaml:"idle_backend_connections"`
	// RoomWait is how long a request waits for room in the memory for requests before it is refused.
	// From 10ms to 1m, default 500ms.
	RoomWait time.Duration `yaml:"room_wait"`
	// MinRate is the rate, in bytes per second, below which a client that sends a head or a body, or reads
	// an answer, is ended while another waits for room. From 1 to 1000000000, default 262144.
	MinRate int `yaml:"min_rate"`
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
	defaultReceiveBuffer = 16 << 10
	defaultSendBuffer    = 16 << 10
	defaultBackendBuffer = 8 << 10
	defaultRoomWait      = 500 * time.Millisecond
	defaultMinRate       = 256 << 10
	maxHeaderBytes       = 1 << 20

	// megabyte is the unit of settings of memory, in bytes.
	megabyte = 1_000_000
	// connectionCost is the memory that a connection takes by itself, with a request of ordinary size,
	// in bytes.
	connectionCost = 36 << 10
	// processMemory is the memory that a process takes without clients, in bytes. The following shares
	// are of the rest of the machine's memory.
	processMemory = 24 * megabyte
	// clientShare and connectionShare are for what clients send and for their connections by themselves.
	clientShare     = 0.25
	connectionShare = 0.25
	// softLimitShare is the share from which on the garbage collector works harder: what clients take,
	// without what waits in sockets.
	softLimitShare = 0.5
	// descriptorShare is the part of the descriptors for connections of the main listener, each of whose
	// requests can take another one to a backend server, and idleShare that for idle connections to those.
	descriptorShare = 1.0 / 3
	idleShare       = 1.0 / 16
	// auxiliaryShare and unknownShare are the numbers of connections of the other listeners, as shares of
	// that of the main one, and minConnections the least number for any of them.
	auxiliaryShare = 1.0 / 16
	unknownShare   = 1.0 / 8
	minConnections = 4
	// minBacklog and maxBacklog bound the default number of connections that wait to be accepted.
	minBacklog = 8
	maxBacklog = 65535
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
	return int64(processMemory + softLimitShare*m.available())
}

// available returns the memory that is left for clients, in bytes.
func (m *Machine) available() float64 { return float64(m.MemoryMB)*megabyte - processMemory }

// Provision fills in the defaults for a machine whose own defaults are filled in.
func (s *Settings) Provision(m Machine) {
	s.MemoryMB = settings.Or(s.MemoryMB, max(1, int(clientShare*m.available()/megabyte)))
	affordable := int(connectionShare * m.available() / connectionCost)
	s.Connections = settings.Or(s.Connections, max(8, min(int(descriptorShare*float64(m.MaxFDs)), affordable)))
	s.AuxiliaryConnections = settings.Or(s.AuxiliaryConnections, share(s.Connections, auxiliaryShare))
	s.UnknownPeers = settings.Or(s.UnknownPeers, share(s.Connections, unknownShare))
	s.Backlog = settings.Or(s.Backlog, backlogOf(s.Connections))
	s.ReceiveBuffer = settings.Or(s.ReceiveBuffer, defaultReceiveBuffer)
	s.SendBuffer = settings.Or(s.SendBuffer, defaultSendBuffer)
	s.BackendReceiveBuffer = settings.Or(s.BackendReceiveBuffer, defaultBackendBuffer)
	s.IdleBackendConnections = settings.Or(s.IdleBackendConnections, max(1, int(idleShare*float64(m.MaxFDs))))
	s.RoomWait = settings.Or(s.RoomWait, defaultRoomWait)
	s.MinRate = settings.Or(s.MinRate, defaultMinRate)
	s.HeaderBytes = settings.Or(s.HeaderBytes, defaultHeaderBytes)
	s.HeaderTimeout = settings.Or(s.HeaderTimeout, defaultHeaderTimeout)
	s.IdleTimeout = settings.Or(s.IdleTimeout, defaultIdleTimeout)
	s.WriteTimeout = settings.Or(s.WriteTimeout, defaultWriteTimeout)
}

// share returns a share of a number of connections.
func share(connections int, part float64) int {
	return max(minConnections, int(part*float64(connections)))
}

// backlogOf returns how many connections may wait to be accepted by a listener that takes a number of
// connections.
func backlogOf(connections int) int { return min(maxBacklog, max(minBacklog, connections/2)) }

// Check reports invalid values. The prefix is the path of the settings in their file.
func (s *Settings) Check(c *settings.Checks, prefix string) {
	c.Int(prefix+"memory_mb", s.MemoryMB, 1, 1<<20)
	c.Int(prefix+"connections", s.Connections, 8, 10_000_000)
	c.Int(prefix+"auxiliary_connections", s.AuxiliaryConnections, minConnections, 10_000_000)
	c.Int(prefix+"unknown_peers", s.UnknownPeers, minConnections, 10_000_000)
	c.Int(prefix+"backlog", s.Backlog, minBacklog, maxBacklog)
	c.Int(prefix+"receive_buffer", s.ReceiveBuffer, 4<<10, 16<<20)
	c.Int(prefix+"send_buffer", s.SendBuffer, 4<<10, 16<<20)
	c.Int(prefix+"backend_receive_buffer", s.BackendReceiveBuffer, 4<<10, 16<<20)
	c.Int(prefix+"idle_backend_connections", s.IdleBackendConnections, 1, 10_000_000)
	c.Duration(prefix+"room_wait", s.RoomWait, 10*time.Millisecond, time.Minute)
	c.Int(prefix+"min_rate", s.MinRate, 1, 1_000_000_000)
	c.Int(prefix+"header_bytes", s.HeaderBytes, 1024, maxHeaderBytes)
	c.Duration(prefix+"header_timeout", s.HeaderTimeout, 100*time.Millisecond, 10*time.Minute)
	c.Duration(prefix+"idle_timeout", s.IdleTimeout, 100*time.Millisecond, time.Hour)
	c.Duration(prefix+"write_timeout", s.WriteTimeout, 100*time.Millisecond, 10*time.Minute)
}

// longestWrite returns how long a client that keeps the least rate takes to read a part of an answer.
func (s *Settings) longestWrite() time.Duration {
	return time.Duration(float64(writePiece) / float64(s.MinRate) * float64(time.Second))
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
