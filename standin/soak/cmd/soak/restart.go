package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"baywall.example/core/wait"
	"baywall.example/platform/standin"
)

// unframedTime is how long a backend server answers with neither a length nor chunks before it
// crashes: some of its answers are half sent then.
const unframedTime = 150 * time.Millisecond

// restartAtOnce crashes a backend server while it answers with neither a length nor chunks, and
// starts the next incarnation at its address at once. Meanwhile all gateways are paused (variant
// 0), or the path to the server is cut (1), or neither.
func (f *faults) restartAtOnce(ctx context.Context, d draw) {
	i := d.which % len(f.world.backends)
	b := f.world.backends[i]
	r := b.current()
	r.SetUnframed(true)
	wait.Sleep(ctx, unframedTime)
	if !b.markCrashed(r) {
		return
	}
	from := time.Now()
	switch d.variant {
	case 0:
		f.signalGateways(syscall.SIGSTOP)
	case 1:
		b.relay.silence(true, true)
	}
	r.Crash()
	if b.group != nil {
		b.group.StartEpoch(b.rank)
	}
	if next, err := f.world.launchRunner(i, ""); err != nil {
		fmt.Println("  backend server not started:", err)
	} else {
		f.world.list(i, next, false)
	}
	wait.Sleep(ctx, d.duration/2)
	switch d.variant {
	case 0:
		f.signalGateways(syscall.SIGCONT)
		for _, g := range f.world.gateways {
			f.recordPause(g, from)
		}
	case 1:
		b.relay.silence(false, false)
		f.recordImpairment(b.relay, from)
	}
	wait.Sleep(ctx, d.duration/2) // until the lease of the old entry expires
	f.world.reconciler.Delete(standin.ServerPrefix + r.ID)
}

func (f *faults) signalGateways(s syscall.Signal) {
	for _, g := range f.world.gateways {
		g.signal(s)
	}
}
