package rankserver

import (
	"github.com/rs/zerolog"

	"baywall.example/agent/rank"
)

// mapInUse is the map that the local rank uses by its latest report. The zero value is ready for
// use.
type mapInUse struct {
	known   bool
	group   string
	epoch   uint64
	version uint64
	step    uint64 // of the latest report
}

// observe logs the first report of a map that the rank has not used before in its group and epoch.
// Reports may arrive out of order; one of an earlier step is ignored.
func (m *mapInUse) observe(r rank.Report, err error, log zerolog.Logger) {
	if err != nil || r.Group == "" {
		return
	}
	next := mapInUse{known: true, group: r.Group, epoch: r.Epoch, version: r.Map, step: r.Step}
	sameFormation := m.known && m.group == r.Group && m.epoch == r.Epoch
	if sameFormation && r.Step < m.step {
		return
	}
	if !sameFormation || m.version != r.Map {
		log.Info().Str("group", r.Group).Uint64("epoch", r.Epoch).Int("rank", r.Rank).Uint64("version", r.Map).
			Uint64("before", m.version).Uint64("step", r.Step).Msg("map in use changed")
	}
	*m = next
}
