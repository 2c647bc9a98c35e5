package retry

import (
	"time"

	"baywall.example/core/settings"
)

// Settings bound the retries of each service over all processes: within any window, to
// ratio times the number of requests plus slack. They must be the same at all processes.
type Settings struct {
	// Ratio is from 0 to 10, default 0.2.
	Ratio float64 `yaml:"ratio"`
	// Slack is from 0 to 100000, default 20.
	Slack float64 `yaml:"slack"`
	// Window is from 1s to 1h, default 10s.
	Window time.Duration `yaml:"window"`
}

const (
	defaultRatio  = 0.2
	defaultSlack  = 20
	defaultWindow = 10 * time.Second
)

// Provision fills in the defaults.
func (s *Settings) Provision() {
	s.Ratio = settings.Or(s.Ratio, defaultRatio)
	s.Slack = settings.Or(s.Slack, defaultSlack)
	s.Window = settings.Or(s.Window, defaultWindow)
}

// Check adds a problem for every invalid value.
func (s Settings) Check(c *settings.Checks) {
	c.Float("retry.ratio", s.Ratio, 0, 10)
	c.Float("retry.slack", s.Slack, 0, 100_000)
	c.Duration("retry.window", s.Window, time.Second, time.Hour)
}

// Limit returns the limit that the settings set.
func (s Settings) Limit() Limit { return Limit(s) }
