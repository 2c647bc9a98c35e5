package gateway

import (
	"fmt"

	"baywall.example/core/settings"
)

// SchedulingSettings set how requests share backend servers that do not have enough slots
// for all of them.
type SchedulingSettings struct {
	// Queue makes requests that can still be on time wait for a slot in order, the more
	// urgent first, over all gateways. Default false: each looks for a slot on its own.
	Queue bool `yaml:"queue"`
	// ConcurrencyLimit limits the streams of a service that publishes its engine so that
	// their events keep to the gap target of their routes. Default false.
	ConcurrencyLimit bool `yaml:"concurrency_limit"`
	// FairShare gives the teams fair shares of the slots of a service while requests wait
	// for them. It requires queue. Default false.
	FairShare bool `yaml:"fair_share"`
	// TeamWeights are the weights of the teams' shares, by name. Above 0 and up to 1000,
	// default 1.
	TeamWeights map[string]float64 `yaml:"team_weights"`
	// ServerSpeed learns the speed of backend servers without an engine and gives slower
	// ones fewer requests. Default false.
	ServerSpeed bool `yaml:"server_speed"`
}

// maxTeamWeight bounds the weight of a team.
const maxTeamWeight = 1000

// check records the invalid values.
func (s SchedulingSettings) check(c *settings.Checks) {
	if s.FairShare && !s.Queue {
		c.Problems = append(c.Problems, settings.Problem{Field: "scheduling.fair_share", Value: "true", Allowed: "only with scheduling.queue"})
	}
	for team, weight := range s.TeamWeights {
		if !(weight > 0 && weight <= maxTeamWeight) {
			c.Problems = append(c.Problems, settings.Problem{
				Field: "scheduling.team_weights." + team, Value: fmt.Sprint(weight), Allowed: fmt.Sprintf("above 0 and up to %d", maxTeamWeight),
			})
		}
	}
}
