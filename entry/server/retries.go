package server

import (
	"context"

	"github.com/rotisserie/eris"

	"baywall.example/core/link"
	"baywall.example/core/rendezvous"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/retry"
)

// maxGrantors is the number of entry VMs that grant retries: a few, so that most of the slack
// is left if one is down.
const maxGrantors = 3

// retryFleet connects the retry budgets to the fleet. The grantors of retries are the first
// entry VMs on the platform's list in rendezvous order, whether they respond or not. It
// implements retry.Fleet.
type retryFleet struct{ server *Server }

// Grantors implements retry.Fleet.
func (f retryFleet) Grantors() []string {
	var out []string
	for _, v := range f.grantors() {
		out = append(out, string(v.ID))
	}
	return out
}

func (f retryFleet) grantors() []vm.VM {
	listed := f.server.vms.List().WithRole(vm.RoleEntry)
	order := rendezvous.Order(listed, "retries", func(v vm.VM) string { return string(v.ID) })
	return order[:min(maxGrantors, len(order))]
}

// ReachableGrantors implements retry.Fleet. Those in the own availability zone come first.
func (f retryFleet) ReachableGrantors() []string {
	usable := make(map[vm.ID]bool)
	for _, v := range f.server.fleet.Snapshot().Usable {
		usable[v.ID] = true
	}
	var own, others []string
	for _, v := range f.grantors() {
		switch {
		case v.ID == f.server.local.VM || !usable[v.ID]:
		case v.Zone == f.server.local.Zone:
			own = append(own, string(v.ID))
		default:
			others = append(others, string(v.ID))
		}
	}
	return append(own, others...)
}

// RequestRetry implements retry.Fleet.
func (f retryFleet) RequestRetry(ctx context.Context, grantor, service string) (retry.Grant, error) {
	v, ok := f.server.vms.List().Find(vm.ID(grantor))
	if !ok {
		return retry.Grant{}, eris.Wrap(link.ErrUnreachable, grantor)
	}
	l, err := f.server.peers.Get(ctx, v)
	if err != nil {
		return retry.Grant{}, err
	}
	reply, err := l.Call(ctx, &wire.Call{Body: &wire.Call_Retry{Retry: &wire.RetryAsk{Service: service}}})
	if err != nil {
		return retry.Grant{}, err
	}
	return retry.GrantFromWire(reply.GetRetry()), nil
}

// refreshGrantors follows the platform's list until the context ends.
func (e *Server) refreshGrantors(ctx context.Context) {
	for {
		changed := e.vms.Changed()
		e.retries.Refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
