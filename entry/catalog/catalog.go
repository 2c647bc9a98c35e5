package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalid is returned for a configuration that cannot be applied.
var ErrInvalid = eris.New("catalog: invalid configuration")

// Kind says how often a request of a route may run.
type Kind int

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota + 1
	// KindNonIdempotent requests may run at most once per caller attempt.
	KindNonIdempotent
	// KindStream requests are answered by a stream of events. They run at most
	// once unless the route is Resumable.
	KindStream
)

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds how long a caller waits for the answer; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective: an answer, or the first event of a
	// stream, that arrives within it is on time.
	Objective time.Duration
	// GapTarget is the longest pause between two events for a stream to count
	// as on time; 0 means that no target is set.
	GapTarget time.Duration
	// MaxAttempts is how many backend servers one caller attempt may run on.
	MaxAttempts int
	// Priority is the route's priority class; 0 is the most urgent.
	Priority int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another backend server.
	Resumable bool
	// Targets are the weighted services; there is at least one.
	Targets []Target
}

// Idempotent reports whether a request of the route may run again.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Pick returns the service for a number drawn uniformly from [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(draw * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Targeted reports whether requests of the route go to the service.
func (r *Route) Targeted(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int // connections from all callers together to one backend server
	// Engine describes the model engines of the service; nil for a service without any.
	Engine *Engine
	// ColdLimit limits the requests to a backend server that has just started.
	ColdLimit ColdLimit
}

// ColdLimit limits the requests to a service's backend servers while they are cold: for
// some time after their start, and whenever they report it. The zero value sets no limit.
type ColdLimit struct {
	Window    time.Duration // after a start
	PerSecond float64       // requests from all callers together, 0 = no limit
}

// Engine holds the parameters that operators publish for a service's model
// engines. Times are those of one token step.
type Engine struct {
	Slots           int           // requests in one batch
	StepTime        time.Duration // a step with an empty batch
	SequenceTime    time.Duration // added for each sequence in the batch
	StepsPerPass    int
	PrefillPerSec   float64 // prompt tokens
	PrefillChunk    int     // prompt tokens per step at most
	Layers          int     // layer sets of the expert map
	Experts         int     // per layer set
	SlotsPerRank    int     // expert replicas per rank and layer set
	MaxNewExperts   int     // per layer set in one preparation
	ExpertBytes     float64
	LinkBytesPerSec float64
	ExpertShare     float64 // the experts' part of the work for a token
}

// Team is a tenant with its API keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // takes precedence over the route's, nil = none
}

// Limits bound what a caller may send. Zero means unbounded.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content is a complete configuration as a source decoded it.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Snapshot is a configuration with its lookup tables. It is immutable.
type Snapshot struct {
	Version     uint64
	Limits      Limits
	hosts       map[string][]*Route // longest prefix first
	services    map[string]*Service
	teams       map[string]*Team // by API key
	requiresKey bool             // teams are configured, so requests need an API key
}

// New validates the routes and builds a snapshot.
func New(c Content) (*Snapshot, error) {
	s := &Snapshot{
		Version:     c.Version,
		Limits:      c.Limits,
		hosts:       make(map[string][]*Route),
		services:    make(map[string]*Service, len(c.Services)),
		teams:       make(map[string]*Team),
		requiresKey: len(c.Teams) > 0,
	}
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := s.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range s.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			s.teams[key] = &c.Teams[i]
		}
	}
	return s, nil
}

func (s *Snapshot) addRoute(r *Route) error {
	if len(r.Targets) == 0 {
		return eris.Wrapf(ErrInvalid, "version %d: route %q: targets: none, allowed: at least one", s.Version, r.Name)
	}
	total := 0
	for _, t := range r.Targets {
		if t.Weight < 0 {
			return eris.Wrapf(ErrInvalid, "version %d: route %q: weight of %q: %d, allowed: 0 or more", s.Version, r.Name, t.Service, t.Weight)
		}
		total += t.Weight
	}
	if total == 0 {
		return eris.Wrapf(ErrInvalid, "version %d: route %q: weights: sum 0, allowed: above 0", s.Version, r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return eris.Wrapf(ErrInvalid, "version %d: route %q: prefix: %q, allowed: begins with a slash", s.Version, r.Name, r.Prefix)
	}
	host := strings.ToLower(r.Host)
	s.hosts[host] = append(s.hosts[host], r)
	return nil
}

// Match returns the host's route with the longest matching path prefix, or nil.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Services returns all services by name.
func (s *Snapshot) Services() map[string]*Service { return s.services }

// RequiresKey reports whether requests need an API key, except on public routes.
func (s *Snapshot) RequiresKey() bool { return s.requiresKey }

// Team returns the team that holds the API key, or nil.
func (s *Snapshot) Team(key string) *Team { return s.teams[key] }
