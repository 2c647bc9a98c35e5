// Package vm describes the VMs of a fleet: their identity, the incarnation of the process
// on each, and the platform's list of VMs.
package vm

import (
	"time"

	"baywall.example/core/zone"
)

// ID names a VM. It is unique in a fleet and survives a process restart.
type ID string

// Incarnation identifies one run of the process on a VM. A later start has a larger
// number. It is the wall-clock time of the start in microseconds, so that no state has to
// survive a restart.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixMicro())
}

// StartedAt returns the wall-clock time at which the incarnation started.
func (i Incarnation) StartedAt() time.Time { return time.UnixMicro(int64(i)) }

// Role identifies the program that runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// State is the state of a VM on the platform's list.
type State string

// States of VMs. A VM that has been removed is not listed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	ID       ID       `json:"id"`
	Zone     zone.ID  `json:"zone"`
	Role     Role     `json:"role"`
	HTTP     string   `json:"http,omitempty"`  // host:port for callers, entry VMs only
	Link     string   `json:"link"`            // host:port for links from other VMs
	Probe    string   `json:"probe,omitempty"` // UDP host:port, entry VMs only
	Services []string `json:"services,omitempty"`
	State    State    `json:"state"`
}

// List is the platform's list of live and leaving VMs at one revision. It is immutable.
type List struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// Find returns the VM with the given id.
func (l List) Find(id ID) (VM, bool) {
	for _, v := range l.VMs {
		if v.ID == id {
			return v, true
		}
	}
	return VM{}, false
}

// WithRole returns the VMs that have the role, in list order.
func (l List) WithRole(role Role) []VM {
	var out []VM
	for _, v := range l.VMs {
		if v.Role == role {
			out = append(out, v)
		}
	}
	return out
}
