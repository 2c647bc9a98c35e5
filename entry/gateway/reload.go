package gateway

import (
	"reflect"

	"baywall.example/core/settings"
)

// Reload applies a changed settings file. Only the seeds can change in a running process;
// any other change needs a restart, and the log says so. An invalid file changes nothing.
func (g *Gateway) Reload(path string, raw []byte) {
	var next Settings
	if err := settings.Parse(path, raw, &next); err != nil {
		g.log.Error().Err(err).Msg("invalid settings file; the previous settings stay in force")
		return
	}
	old := g.settings
	g.node.SetSeeds(next.Seeds)
	seeds := next.Seeds
	g.seeds.Store(&seeds)
	old.Seeds, next.Seeds = nil, nil
	g.log.Info().Strs("seeds", seeds).Bool("restart_needed", !reflect.DeepEqual(old, next)).Msg("settings reloaded")
}
