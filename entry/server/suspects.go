package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"baywall.example/core/clock"
	"baywall.example/core/vm"
	"baywall.example/core/wait"
	"baywall.example/core/wire"
)

const (
	// suspectPeers is how many other entry VMs a newly started process pulls suspects
	// from; peerCheckInterval is how often it checks whether it knows any other VM.
	suspectPeers      = 3
	peerCheckInterval = 200 * time.Millisecond
	// suspectPullTimeout bounds the exchange with one of them.
	suspectPullTimeout = 2 * time.Second
	// expireInterval is how often expired suspects are removed.
	expireInterval = time.Second
)

// pullSuspects pulls all suspects from some other entry VMs, once this process knows other
// VMs. Probes carry only a few suspects each.
func (e *Server) pullSuspects(ctx context.Context) {
	for wait.Sleep(ctx, peerCheckInterval) {
		others := slices.Clone(e.fleet.Snapshot().Usable)
		others = slices.DeleteFunc(others, func(v vm.VM) bool { return v.ID == e.local.VM })
		if len(others) == 0 {
			continue
		}
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, v := range others[:min(suspectPeers, len(others))] {
			e.pullSuspectsFrom(ctx, v)
		}
		return
	}
}

func (e *Server) pullSuspectsFrom(ctx context.Context, v vm.VM) {
	ctx, cancel := context.WithTimeout(ctx, suspectPullTimeout)
	defer cancel()
	l, err := e.peers.Get(ctx, v)
	if err != nil {
		e.log.Info().Err(err).Str("vm", string(v.ID)).Msg("cannot connect to peer to pull suspects")
		return
	}
	reply, err := l.Call(ctx, &wire.Call{Body: &wire.Call_Suspects{Suspects: &wire.SuspectsPull{}}})
	if err != nil {
		e.log.Info().Err(err).Str("vm", string(v.ID)).Msg("pull of suspects failed")
		return
	}
	e.suspects.Receive(v.ID, reply.GetSuspects().GetSuspects(), clock.Now())
}

func (e *Server) expireSuspects(ctx context.Context) {
	for wait.Sleep(ctx, expireInterval) {
		e.suspects.Expire(clock.Now())
	}
}
