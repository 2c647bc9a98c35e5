package backend

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"baywall.example/core/link"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

func local(id vm.ID, role vm.Role) *link.Local {
	return &link.Local{
		VM: id, Incarnation: 1, Role: role, Clock: &timeline.Clock{}, Log: zerolog.Nop(),
		Revisions: func() (uint64, uint64) { return 1, 1 },
	}
}

// silentAgent accepts links and never sends a report.
type silentAgent struct{}

func (silentAgent) ServeStream(ctx context.Context, _ *link.Link, _ *link.Stream, _ *wire.Call) {
	<-ctx.Done()
}

func startAgent(t *testing.T, id vm.ID) vm.VM {
	t.Helper()
	return startAgentWith(t, id, silentAgent{})
}

func startAgentWith(t *testing.T, id vm.ID, agent link.Handler) vm.VM {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() { _ = link.Accept(ln, local(id, vm.RoleBackend), nil, agent) }()
	return vm.VM{ID: id, Role: vm.RoleBackend, Link: ln.Addr().String(), Services: []string{"s"}, State: vm.StateLive}
}

// Links are made, broken and made again while the list changes. The test guards against
// a deadlock between the locks of the directory and of its link pool.
func TestLinksChurnWhileListChanges(t *testing.T) {
	is := is.New(t)
	var ups atomic.Int64
	agents := []vm.VM{startAgent(t, "a"), startAgent(t, "b"), startAgent(t, "c")}
	recorder := timeline.NewRecorder("e", 64, zerolog.Nop())
	d := NewDirectory(local("e", vm.RoleEntry), nil, recorder, func(*link.Link) { ups.Add(1) }, func(vm.ID, *wire.Report) {})
	ctx, cancel := context.WithCancel(context.Background())
	d.SetList(vm.List{Revision: 1, VMs: agents}) // otherwise all rounds may end before a list is set
	var wg conc.WaitGroup
	wg.Go(func() { d.Run(ctx, func(string) bool { return true }) })
	const rounds = 60
	var work conc.WaitGroup
	for _, v := range agents {
		work.Go(func() {
			for range rounds {
				if b, ok := d.Find(v.ID); ok {
					if l, err := d.Link(ctx, b); err == nil {
						l.Close()
					}
				}
			}
		})
	}
	work.Go(func() {
		for range rounds {
			d.relink(ctx, func(string) bool { return true })
		}
	})
	work.Go(func() {
		for i := range rounds {
			list := vm.List{Revision: uint64(i + 2), VMs: agents[:1+i%len(agents)]}
			d.SetList(list)
		}
	})
	work.Wait()
	cancel()
	wg.Wait()
	is.True(ups.Load() > 0)
	is.Equal(len(d.Pool().Links()), 0)
}

// watchedAgent accepts links and counts the streams on which reports are awaited.
type watchedAgent struct{ watches chan struct{} }

func (a watchedAgent) ServeStream(ctx context.Context, _ *link.Link, _ *link.Stream, call *wire.Call) {
	if call.GetWatch() != nil {
		a.watches <- struct{}{}
	}
	<-ctx.Done()
}

// A link to a backend server may be established just after the server has left the list. When
// the server is listed again, its reports must be received all the same.
func TestServerThatIsListedAgainIsWatched(t *testing.T) {
	is := is.New(t)
	agent := watchedAgent{watches: make(chan struct{}, 10)}
	v := startAgentWith(t, "a", agent)
	recorder := timeline.NewRecorder("e", 64, zerolog.Nop())
	d := NewDirectory(local("e", vm.RoleEntry), nil, recorder, func(*link.Link) {}, func(vm.ID, *wire.Report) {})
	defer d.stop()
	d.SetList(vm.List{Revision: 1, VMs: []vm.VM{v}})
	b, ok := d.Find(v.ID)
	is.True(ok)
	d.SetList(vm.List{Revision: 2})
	_, _ = d.Link(t.Context(), b) // by a caller that found the server before
	d.SetList(vm.List{Revision: 3, VMs: []vm.VM{v}})
	d.relink(t.Context(), func(string) bool { return true })
	select {
	case <-agent.watches:
	case <-time.After(5 * time.Second):
		t.Fatal("no reports are awaited")
	}
}
