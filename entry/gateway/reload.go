package gateway

import (
	"baywall.example/core/settings"
)

// Reload takes over a changed settings file, as far as a running process can:
// the seeds. Other changes need a restart and are named in the log. A file that
// is not valid changes nothing.
func (g *Gateway) Reload(path string, raw []byte) {
	var next Settings
	if err := settings.Parse(path, raw, &next); err != nil {
		g.log.Error().Err(err).Msg("settings refused, the old ones stay in force")
		return
	}
	old := g.settings
	g.node.SetSeeds(next.Seeds)
	old.Seeds, next.Seeds = nil, nil
	g.log.Info().Strs("seeds", g.settings.Seeds).Bool("restart_needed", !old.equal(next)).Msg("settings reloaded")
}

// equal compares settings without their lists.
func (s Settings) equal(o Settings) bool {
	return s.VM == o.VM && s.Zone == o.Zone && s.Listen == o.Listen && s.Store == o.Store &&
		s.Entries == o.Entries && s.Retry == o.Retry && s.Drain == o.Drain && s.LogLevel == o.LogLevel
}
