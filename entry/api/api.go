// Package api implements the HTTP interface of an entry VM: callers' requests, the
// addresses of entry VMs, the resource API with its watches, the timeline and
// metrics.
package api

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"baywall.example/core/configuration"
	"baywall.example/core/contract"
	"baywall.example/core/inbound"
	"baywall.example/core/link"
	"baywall.example/core/resource"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/zone"
	"baywall.example/entry/backend"
	"baywall.example/entry/dispatch"
	"baywall.example/entry/limits"
	"baywall.example/entry/membership"
)

// Environment holds the API's dependencies.
type Environment struct {
	Self       vm.ID
	Zone       zone.ID
	Config     *configuration.Store
	VMs        *configuration.VMs
	Directory  *backend.Directory
	Prober     *membership.Prober
	Fleet      *membership.Fleet
	Peers      *link.Pool
	Recorder   *timeline.Recorder
	Dispatcher *dispatch.Dispatcher
	Limiter    *limits.Limiter
	Draining   func() bool
	Ready      func() bool
	LinkBytes  func() int64
	Log        zerolog.Logger
	AddressTTL time.Duration
	TicketTTL  time.Duration
	MaxBody    int64
	MaxWatches int // open at a time; each takes memory for every resource that it has sent
	// MaxEvents bounds the events of one answer of the timeline.
	MaxEvents int
	// AnswerWindow is how many bytes of an answer an agent may send before its caller has read them.
	AnswerWindow int
	Listeners    *inbound.Set
}

// API serves HTTP. It is safe for concurrent use.
type API struct {
	Environment
	router  *httprouter.Router
	metrics *metrics
	subsets subsetCache
	watches atomic.Int32 // number of open watches
	// collecting holds one element while the events for a timeline are collected.
	collecting chan struct{}
}

// New returns the API of one process.
func New(env Environment) *API {
	a := &API{Environment: env, router: httprouter.New(), collecting: make(chan struct{}, 1)}
	a.metrics = newMetrics(a)
	a.router.RedirectTrailingSlash = false
	a.router.RedirectFixedPath = false
	a.router.HandleMethodNotAllowed = false
	a.router.NotFound = http.HandlerFunc(a.notFound)
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		a.router.Handle(method, "/v1/services/:service/*path", a.serveRequest)
	}
	a.router.GET("/v1/resume", a.serveResume)
	a.router.GET("/v1/entries", a.serveEntries)
	a.router.GET("/v1/timeline", a.serveTimeline)
	a.router.GET("/v1/ready", a.serveReady)
	a.router.POST("/v1/check", a.serveCheck)
	a.router.GET("/debug/vars", a.metrics.serve)
	for _, kind := range resource.Kinds() {
		param := ":name"
		if kind == resource.KindService {
			param = ":service"
		}
		a.router.GET("/v1/"+string(kind), a.listResources(kind))
		a.router.GET("/v1/"+string(kind)+"/"+param, a.getResource(kind))
	}
	return a
}

// ServeHTTP routes one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if a.Draining() {
		w.Header().Set("Connection", "close")
	}
	a.router.ServeHTTP(w, r)
}

func (a *API) notFound(w http.ResponseWriter, r *http.Request) {
	a.problem(w, http.StatusNotFound, "", &contract.Refusal{Outcome: contract.NotRun, Reason: contract.ReasonBadRequest}, "no such path: "+r.URL.Path)
}

// serveReady answers 200 once the process can serve, and 503 before that and while
// it is draining.
func (a *API) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer := ReadyAnswer{VM: a.Self, ConfigRevision: a.Config.Revision(), VMsRevision: a.VMs.List().Revision}
	status := http.StatusOK
	if !a.Ready() || a.Draining() {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, answer)
}

// ReadyAnswer is the body of /v1/ready: the revisions that a process has.
type ReadyAnswer struct {
	VM             vm.ID  `json:"vm"`
	ConfigRevision uint64 `json:"config_revision"`
	VMsRevision    uint64 `json:"vms_revision"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// metrics are the process's counters, served by expvar.
type metrics struct {
	vars     expvar.Map
	requests expvar.Int
	answered expvar.Int
	aborted  expvar.Int
	refused  expvar.Map // by outcome
	reasons  expvar.Map // by reason
}

func newMetrics(a *API) *metrics {
	m := &metrics{}
	m.vars.Init()
	m.refused.Init()
	m.reasons.Init()
	m.vars.Set("requests", &m.requests)
	m.vars.Set("answered", &m.answered)
	m.vars.Set("aborted", &m.aborted)
	m.vars.Set("refused", &m.refused)
	m.vars.Set("reasons", &m.reasons)
	m.vars.Set("config_revision", expvar.Func(func() any { return a.Config.Revision() }))
	m.vars.Set("vms_revision", expvar.Func(func() any { return a.VMs.List().Revision }))
	m.vars.Set("probe_bytes", expvar.Func(func() any { sent, received := a.Prober.Traffic(); return sent + received }))
	m.vars.Set("clients", expvar.Func(func() any { return a.Listeners.Status() }))
	m.vars.Set("link_bytes", expvar.Func(func() any { return a.LinkBytes() }))
	return m
}

func (m *metrics) serve(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"entry":` + m.vars.String() + `,"memstats":` + expvar.Get("memstats").String() + "}\n"))
}
