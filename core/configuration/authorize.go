package configuration

import (
	"net"

	"github.com/rotisserie/eris"

	"baywall.example/core/link"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// Authorize accepts a link only from a listed VM, with its listed role and from its listed
// IP. A process that has no list yet accepts every link, because it may need a link to
// receive the list.
func Authorize(list vm.List, h *wire.Hello, remote net.Addr) error {
	if list.Revision == 0 {
		return nil
	}
	v, ok := list.Find(vm.ID(h.GetVm()))
	if !ok {
		return eris.Wrapf(link.ErrUnauthorized, "%s is not on the list of VMs", h.GetVm())
	}
	if string(v.Role) != h.GetRole() {
		return eris.Wrapf(link.ErrUnauthorized, "%s claims role %q, listed as %q", v.ID, h.GetRole(), v.Role)
	}
	listed, _, _ := net.SplitHostPort(v.Link)
	actual, _, _ := net.SplitHostPort(remote.String())
	if listed != actual {
		return eris.Wrapf(link.ErrUnauthorized, "%s connects from %s, listed at %s", v.ID, actual, listed)
	}
	return nil
}

// RecordChanges records a timeline event for each changed resource.
func RecordChanges(r *timeline.Recorder, changes []Status) {
	for _, c := range changes {
		kind, reason := timeline.KindConfig, ""
		if c.RejectedRevision > c.Revision {
			kind, reason = timeline.KindConfigRejected, c.RejectedReason
		}
		r.Record(timeline.Event{Kind: kind, Subject: c.Key.String(), Reason: reason})
	}
}
