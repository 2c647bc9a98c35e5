// Package resource defines the configuration that operators publish: services,
// teams, routing intents and groups, with strict decoding and validation.
package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/settings"
	"baywall.example/core/vm"
)

// Kind is the type of a resource.
type Kind string

// Kinds of resources; the values are path elements of the resource API.
const (
	KindService Kind = "services"
	KindTeam    Kind = "teams"
	KindIntent  Kind = "intents"
	KindGroup   Kind = "groups"
)

// Kinds returns every kind, in the order of the status pages.
func Kinds() []Kind { return []Kind{KindService, KindTeam, KindIntent, KindGroup} }

// ErrInvalid is wrapped by every error about a resource's content.
var ErrInvalid = eris.New("resource: invalid")

// Key names one resource.
type Key struct {
	Kind Kind
	Name string
}

// ServiceKey returns the key of a service.
func ServiceKey(name string) Key { return Key{Kind: KindService, Name: name} }

// String returns "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Millis is a duration that is encoded as a whole number of milliseconds.
type Millis int64

// Duration returns the value as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Service is a named target of requests, served by a set of runners.
type Service struct {
	// Engine is true if the runners are model engines, which answer with server-sent
	// events and report their load. Default false: plain HTTP services.
	Engine bool `json:"engine" yaml:"engine"`
	// NonIdempotent marks every request of the service that is not a GET or
	// HEAD as one that may run at most once. Default false.
	NonIdempotent bool `json:"non_idempotent" yaml:"non_idempotent"`
	// DeadlineMS is the longest duration of one request, in milliseconds. Default 60000.
	DeadlineMS Millis `json:"deadline_ms" yaml:"deadline_ms"`
	// RunnerConcurrency is how many requests one runner executes concurrently.
	// Default 64.
	RunnerConcurrency int `json:"runner_concurrency" yaml:"runner_concurrency"`
	// EntrySubset is how many entry VMs are returned to each caller. Default 4.
	EntrySubset int `json:"entry_subset" yaml:"entry_subset"`
}

// Defaults of a Service.
const (
	DefaultDeadline          = Millis(60_000)
	DefaultRunnerConcurrency = 64
	DefaultEntrySubset       = 4
	maxDeadline              = Millis(3_600_000)
)

// Policy names a load-balancing policy.
type Policy string

// Load-balancing policies.
const (
	PolicyAffinity   Policy = "affinity"
	PolicyRoundRobin Policy = "round-robin"
	PolicyLeastLoad  Policy = "least-load"
	PolicyTwoChoices Policy = "two-choices"
)

// Intent is a routing intent: how the requests of one service are balanced, and how much
// a new expert map must improve on the current one.
type Intent struct {
	// Service is the service the intent applies to. Required.
	Service string `json:"service" yaml:"service"`
	// Policy is the load-balancing policy. Default: affinity for model engines,
	// two-choices for plain services, which have no prompt prefix.
	Policy Policy `json:"policy" yaml:"policy"`
	// LoadFactor is the load, as a multiple of the mean, above which the affinity
	// policy skips a runner. From 1 to 10, default 1.25.
	LoadFactor float64 `json:"load_factor" yaml:"load_factor"`
	// MoveCost is the reduction of skew in its layer that justifies moving one
	// expert. A smaller value gives less skew, a larger one fewer moves. From 0 to 10,
	// default 0.01.
	MoveCost float64 `json:"move_cost" yaml:"move_cost"`
	// PeriodMS is the interval at which the expert map is planned, in milliseconds.
	// From 100, default 5000.
	PeriodMS Millis `json:"period_ms" yaml:"period_ms"`
}

// Defaults of an Intent.
const (
	DefaultLoadFactor = 1.25
	DefaultMoveCost   = 0.01
	DefaultPeriod     = Millis(5_000)
	minPeriod         = Millis(100)
	maxPeriod         = Millis(86_400_000)
)

// Team is a customer of a service with its limits.
type Team struct {
	// Concurrency is how many requests the team may run concurrently across the
	// fleet. From 1, default 64.
	Concurrency int `json:"concurrency" yaml:"concurrency"`
	// RequestsPerSecond is the team's rate limit across the fleet, 0 = no limit.
	RequestsPerSecond float64 `json:"requests_per_second" yaml:"requests_per_second"`
	// Priority is passed to the engines; a larger value is more urgent. From -10 to
	// 10, default 0.
	Priority int `json:"priority" yaml:"priority"`
}

// DefaultConcurrency is a Team's default concurrency.
const DefaultConcurrency = 64

// Group is an expert-parallel group of ranks that share one expert map.
type Group struct {
	// Service is the service whose runners form the group. Required.
	Service string `json:"service" yaml:"service"`
	// Ranks are the VMs of the ranks in rank order, at least 1. Required.
	Ranks []vm.ID `json:"ranks" yaml:"ranks"`
	// Layers is the number of expert layers, from 1 to 256. Required.
	Layers int `json:"layers" yaml:"layers"`
	// Experts is the number of experts in a layer, from 1 to 4096. Required.
	Experts int `json:"experts" yaml:"experts"`
	// SlotsPerRank is how many experts of a layer one rank can hold. Required.
	SlotsPerRank int `json:"slots_per_rank" yaml:"slots_per_rank"`
	// ExpertBytes is the size of one expert's weights, in bytes. Default 0.
	ExpertBytes int64 `json:"expert_bytes" yaml:"expert_bytes"`
	// MaxNewExperts is how many experts of a layer a rank can load for one map
	// switch. Default 0: no limit.
	MaxNewExperts int `json:"max_new_experts,omitempty" yaml:"max_new_experts"`
	// MaxNewTotal is how many experts, summed over all layers, a rank should load for
	// one map switch, which bounds the duration of the switch. Default 0: no limit.
	MaxNewTotal int `json:"max_new_total,omitempty" yaml:"max_new_total"`
}

const (
	maxConcurrency = 1_000_000
	maxRate        = 1_000_000
	maxRanks       = 1024
	maxLayers      = 256
	maxExperts     = 4096
	maxNameLength  = 128
)

// Spec is the content of a resource.
type Spec interface {
	// Provision fills in the defaults.
	Provision()
	// Validate returns every problem in the provisioned content.
	Validate() []settings.Problem
}

// Provision fills in the defaults.
func (s *Service) Provision() {
	s.DeadlineMS = settings.Or(s.DeadlineMS, DefaultDeadline)
	s.RunnerConcurrency = settings.Or(s.RunnerConcurrency, DefaultRunnerConcurrency)
	s.EntrySubset = settings.Or(s.EntrySubset, DefaultEntrySubset)
}

// Validate returns every problem in the provisioned content.
func (s *Service) Validate() []settings.Problem {
	var c settings.Checks
	c.Int("deadline_ms", int(s.DeadlineMS), 1, int(maxDeadline))
	c.Int("runner_concurrency", s.RunnerConcurrency, 1, maxConcurrency)
	c.Int("entry_subset", s.EntrySubset, 1, maxRanks)
	return c.Problems
}

// Provision fills in the defaults.
func (i *Intent) Provision() {
	i.LoadFactor = settings.Or(i.LoadFactor, DefaultLoadFactor)
	i.MoveCost = settings.Or(i.MoveCost, DefaultMoveCost)
	i.PeriodMS = settings.Or(i.PeriodMS, DefaultPeriod)
}

// Validate returns every problem in the provisioned content.
func (i *Intent) Validate() []settings.Problem {
	var c settings.Checks
	c.Require("service", i.Service)
	c.OneOf("policy", string(i.Policy), "", string(PolicyAffinity), string(PolicyRoundRobin), string(PolicyLeastLoad), string(PolicyTwoChoices))
	c.Float("load_factor", i.LoadFactor, 1, 10)
	c.Float("move_cost", i.MoveCost, 0, 10)
	c.Int("period_ms", int(i.PeriodMS), int(minPeriod), int(maxPeriod))
	return c.Problems
}

// Provision fills in the defaults.
func (t *Team) Provision() {
	t.Concurrency = settings.Or(t.Concurrency, DefaultConcurrency)
}

// Validate returns every problem in the provisioned content.
func (t *Team) Validate() []settings.Problem {
	var c settings.Checks
	c.Int("concurrency", t.Concurrency, 1, maxConcurrency)
	c.Float("requests_per_second", t.RequestsPerSecond, 0, maxRate)
	c.Int("priority", t.Priority, -10, 10)
	return c.Problems
}

// Provision fills in the defaults; a group has none.
func (g *Group) Provision() {}

// Validate returns every problem in the provisioned content.
func (g *Group) Validate() []settings.Problem {
	var c settings.Checks
	c.Require("service", g.Service)
	c.Int("ranks", len(g.Ranks), 1, maxRanks)
	c.Int("layers", g.Layers, 1, maxLayers)
	c.Int("experts", g.Experts, 1, maxExperts)
	c.Int("slots_per_rank", g.SlotsPerRank, 1, maxExperts)
	if g.SlotsPerRank*len(g.Ranks) < g.Experts {
		c.Int("slots_per_rank", g.SlotsPerRank, (g.Experts+max(1, len(g.Ranks))-1)/max(1, len(g.Ranks)), maxExperts)
	}
	seen := make(map[vm.ID]int, len(g.Ranks))
	for i, r := range g.Ranks {
		if first, dup := seen[r]; dup {
			c.OneOf(fmt.Sprintf("ranks[%d]", i), string(r), fmt.Sprintf("a VM that is not rank %d already", first))
		}
		seen[r] = i
	}
	return c.Problems
}

// New returns an empty spec of the kind, or nil for an unknown kind.
func New(kind Kind) Spec {
	switch kind {
	case KindService:
		return new(Service)
	case KindTeam:
		return new(Team)
	case KindIntent:
		return new(Intent)
	case KindGroup:
		return new(Group)
	default:
		return nil
	}
}

// Decode decodes a resource's JSON, fills in defaults and validates it. Unknown fields
// are errors. The error gives the first invalid field with its value and allowed range.
func Decode(key Key, raw []byte) (Spec, error) {
	spec := New(key.Kind)
	if spec == nil {
		return nil, eris.Wrapf(ErrInvalid, "%s: unknown kind", key)
	}
	if !validName(key.Name) {
		return nil, eris.Wrapf(ErrInvalid, "%s: name: 1 to %d letters, digits, '-', '_' or '.'", key, maxNameLength)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(spec); err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%s: %v", key, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, eris.Wrapf(ErrInvalid, "%s: more than one JSON value", key)
	}
	spec.Provision()
	problems := spec.Validate()
	if len(problems) > 0 {
		p := problems[0]
		return nil, eris.Wrapf(ErrInvalid, "%s: %s: value %q, allowed: %s", key, p.Field, p.Value, p.Allowed)
	}
	return spec, nil
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}
