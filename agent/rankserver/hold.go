package rankserver

import (
	"math/rand/v2"
	"net"

	"baywall.example/core/cluster"
	"baywall.example/core/vm"
)

// maxHoldGateways is how many gateways are asked to send one order to hold a step. It is
// more than one because a gateway may be down.
const maxHoldGateways = 2

// requestHold asks gateways to order the rank on a VM to hold a step. It assumes the local
// engine's port, because the engines of a service listen on the same port on all VMs.
func (r *Server) requestHold(target vm.VM, epoch, step uint64) {
	host, _, err := net.SplitHostPort(target.Link)
	if err != nil {
		r.log.Warn().Err(err).Str("rank", string(target.ID)).Msg("cannot request a hold: address of the rank is unknown")
		return
	}
	_, port, _ := net.SplitHostPort(r.settings.Engine) // validated
	gateways := append([]string(nil), r.settings.Gateways...)
	rand.Shuffle(len(gateways), func(i, j int) { gateways[i], gateways[j] = gateways[j], gateways[i] })
	gateways = gateways[:min(len(gateways), maxHoldGateways)]
	r.node.RequestHold(gateways, cluster.Hold{Engine: net.JoinHostPort(host, port), Epoch: epoch, Step: step})
}
