package inbound

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"baywall.example/core/settings"
)

// The defaults leave descriptors for backend servers and peers, and memory for the process itself,
// whatever the machine has.
func TestDefaultsFitTheMachine(t *testing.T) {
	for _, m := range []Machine{{}, {MemoryMB: 152, MaxFDs: 2048}, {MemoryMB: 64, MaxFDs: 256}, {MemoryMB: 1000, MaxFDs: 300}, {MemoryMB: 48, MaxFDs: 100_000}} {
		is := is.New(t)
		m.Provision()
		var s Settings
		s.Provision(m)
		var c settings.Checks
		m.Check(&c, "machine.")
		s.Check(&c, "clients.")
		is.Equal(len(c.Problems), 0)
		directory := s.Connections / 4
		descriptors := s.Connections + directory + 2*s.AuxiliaryConnections + s.UnknownPeers
		is.True(descriptors <= m.MaxFDs*3/4+4*minConnections)
		memory := processMemory + s.MemoryMB*megabyte + s.Connections*(connectionCost+2*s.ReceiveBuffer) + s.Backlog*2*s.ReceiveBuffer
		is.True(memory <= m.MemoryMB*megabyte)
		is.True(m.SoftMemoryLimit() < int64(m.MemoryMB)*megabyte)
	}
}

func TestChecksNameFieldAndValue(t *testing.T) {
	is := is.New(t)
	m := Machine{MemoryMB: 1, MaxFDs: 1}
	s := Settings{MemoryMB: -1, Connections: 1, AuxiliaryConnections: 1, UnknownPeers: 1, Backlog: 1, ReceiveBuffer: 1, RoomWait: 1, MinRate: -1, HeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1, WriteTimeout: 1}
	var c settings.Checks
	m.Check(&c, "machine.")
	s.Check(&c, "clients.")
	var fields []string
	for _, p := range c.Problems {
		fields = append(fields, p.Field)
		is.True(p.Value != "" && p.Allowed != "")
	}
	is.Equal(fields, []string{
		"machine.memory_mb", "machine.max_fds", "clients.memory_mb", "clients.connections", "clients.auxiliary_connections", "clients.unknown_peers", "clients.backlog",
		"clients.receive_buffer", "clients.send_buffer", "clients.backend_receive_buffer", "clients.idle_backend_connections", "clients.room_wait", "clients.min_rate", "clients.header_bytes", "clients.header_timeout", "clients.idle_timeout", "clients.write_timeout",
	})
}

// Connections of callers at their limit, each with one to a backend server, took more descriptors than
// the machine has, together with those of the other listeners.
func TestDescriptorsSufficeForAllListeners(t *testing.T) {
	for _, fds := range []int{400, 2048, 4100, 100_000} {
		t.Run(fmt.Sprint(fds), func(t *testing.T) {
			m := Machine{MemoryMB: 1 << 20, MaxFDs: fds}
			var s Settings
			s.Provision(m)
			const files, directory, auxiliaries = 1.0 / 20, 1.0 / 4, 2 // parts of descriptors and of connections; listeners
			sum := 2*s.Connections + int(directory*float64(s.Connections)) + auxiliaries*s.AuxiliaryConnections + s.UnknownPeers + s.IdleBackendConnections
			if most := int((1 - files) * float64(fds)); sum > most {
				t.Errorf("%d connections, descriptors for %d", sum, most)
			}
		})
	}
}
