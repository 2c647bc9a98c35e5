package e2e

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	agentserver "baywall.example/agent/server"
	"baywall.example/core/resource"
	"baywall.example/core/vm"
	"baywall.example/entry/api"
	entryserver "baywall.example/entry/server"
	"baywall.example/standin/fleet"
	"baywall.example/standin/ledger"
	"baywall.example/standin/plain"
	"baywall.example/standin/platform"
)

// BenchmarkPath sends small calls of a plain service through an entry VM and an agent that run
// in this process, so that one profile covers both.
func BenchmarkPath(b *testing.B) {
	p := platform.New()
	base, err := p.Serve("127.34.254.1:9000")
	if err != nil {
		b.Fatal(err)
	}
	defer p.Close()
	server, err := plain.Serve("127.34.2.1:9000", ledger.New(), 0)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	p.Put(resource.KindService, "echo", resource.Service{RunnerConcurrency: 10_000})
	p.Put(resource.KindTeam, "t", resource.Team{Concurrency: 10_000})
	p.SetVMs([]vm.VM{
		{ID: "entry-1", Zone: "one", Role: vm.RoleEntry, HTTP: "127.34.1.1:8080", Link: "127.34.1.1:7000", Probe: "127.34.1.1:7001", State: vm.StateLive},
		{ID: "echo-1", Zone: "one", Role: vm.RoleBackend, Link: "127.34.2.1:7000", Services: []string{"echo"}, State: vm.StateLive},
	})
	var none time.Duration
	entry := entryserver.Settings{
		VM: "entry-1", Zone: "one", HTTP: entryserver.HTTPSettings{Listen: "127.34.1.1:8080"},
		Link: entryserver.LinkSettings{Listen: "127.34.1.1:7000"}, Probe: entryserver.ProbeSettings{Listen: "127.34.1.1:7001"},
		Platform: entryserver.PlatformSettings{URL: "http://" + base}, Drain: entryserver.DrainSettings{Linger: &none},
	}
	agent := agentserver.Settings{
		VM: "echo-1", Zone: "one", Link: agentserver.LinkSettings{Listen: "127.34.2.1:7000"},
		Engine: agentserver.EngineSettings{Address: "127.34.2.1:9000", MaxInFlight: 10_000}, Drain: agentserver.DrainSettings{Linger: &none},
	}
	entry.Provision()
	agent.Provision()
	a := agentserver.New(agent, zerolog.Nop(), time.Now())
	e := entryserver.New(entry, zerolog.Nop(), time.Now())
	if err := a.Start(); err != nil {
		b.Fatal(err)
	}
	if err := e.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = a.Stop(b.Context()) }()
	defer func() { _ = e.Stop(b.Context()) }()
	for _, ok := fleet.Revision("127.34.1.1:8080"); !ok; _, ok = fleet.Revision("127.34.1.1:8080") {
		time.Sleep(10 * time.Millisecond)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest(http.MethodGet, "http://127.34.1.1:8080/v1/services/echo/documents", nil)
			req.Header.Set(api.HeaderTeam, "t")
			req.Header.Set(plain.HeaderWork, "w")
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Error(resp.Status)
				return
			}
		}
	})
}
