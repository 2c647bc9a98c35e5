package server

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/inbound"
	"baywall.example/core/link"
	"baywall.example/core/wire"
)

const (
	// reportInterval is the time between load reports to one entry VM. A report
	// is also the agent's heartbeat.
	reportInterval = 200 * time.Millisecond
	// loadInterval is the time between reads of the engine's load.
	loadInterval = 200 * time.Millisecond
)

// pollLoad reads the engine's load periodically and keeps the latest one.
func (a *Server) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		if l, err := a.engine.Load(ctx); err == nil {
			a.load.Store(&l)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// serveReports sends load reports until the link ends.
func (a *Server) serveReports(ctx context.Context, s *link.Stream) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if s.SendReply(&wire.Reply{Body: &wire.Reply_Report{Report: a.report()}}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Server) report() *wire.Report {
	load := a.load.Load()
	config, vms := a.revisions()
	return &wire.Report{
		Incarnation:    uint64(a.incarnation),
		ConfigRevision: config,
		VmsRevision:    vms,
		InFlight:       a.inFlight.Load(),
		Queued:         int64(load.Waiting),
		Load:           load.Load,
		Draining:       a.drains(),
	}
}

// metrics are the agent's counters, served by expvar.
type metrics struct {
	vars       expvar.Map
	refused    expvar.Map // by reason
	handedOver expvar.Int
}

func newMetrics(a *Server) *metrics {
	m := &metrics{}
	m.vars.Init()
	m.refused.Init()
	m.vars.Set("refused", &m.refused)
	m.vars.Set("handed_over", &m.handedOver)
	m.vars.Set("in_flight", expvar.Func(func() any { return a.inFlight.Load() }))
	m.vars.Set("config_revision", expvar.Func(func() any { return a.config.Revision() }))
	m.vars.Set("tickets", expvar.Func(func() any { n, _ := a.table.Load(); return n }))
	m.vars.Set("saved_answer_bytes", expvar.Func(func() any { _, n := a.table.Load(); return n }))
	m.vars.Set("clients", expvar.Func(func() any { return a.listeners.Status() }))
	m.vars.Set("link_bytes", expvar.Func(func() any { return a.traffic.Load() }))
	m.vars.Set("calls_discarded", expvar.Func(func() any { return a.local.DiscardedCalls.Load() }))
	m.vars.Set("draining", expvar.Func(func() any { return a.draining.Load() }))
	return m
}

// ServeHTTP writes the agent's metrics and those of the Go runtime as JSON.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"agent":` + m.vars.String() + `,"memstats":` + expvar.Get("memstats").String() + "}\n"))
}

func (a *Server) serveDebug() error {
	ln, err := a.listeners.Listen(inbound.Options{Name: "debug", Address: a.settings.Debug.Listen, Kind: inbound.KindAuxiliary})
	if err != nil {
		return eris.Wrapf(ErrStart, "debug.listen: %v", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", a.metrics)
	a.debug = ln
	a.workers.Go(func() { _ = ln.Serve(mux, nil) })
	return nil
}
