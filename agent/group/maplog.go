package group

import (
	"github.com/rs/zerolog"

	"baywall.example/core/expertmap"
)

// mapSource says where a coordinator has the map in use from.
type mapSource string

// Sources of the map in use.
const (
	mapSent      mapSource = "sent"      // this coordinator ordered it, or an earlier one
	mapInitial   mapSource = "initial"   // computed, as engines begin with it
	mapAssembled mapSource = "assembled" // from the experts that the ranks report
)

// logBaseMap logs which map the coordinator takes for the one in use, once for each version.
func (l *leadership) logBaseMap(m expertmap.Map, source mapSource) {
	if l.baseLogged && l.loggedBase == m.Version {
		return
	}
	l.baseLogged, l.loggedBase = true, m.Version
	l.mapEvent(m).Str("source", string(source)).Msg("map in use known")
}

// logProposal logs a map that the coordinator has begun to switch to, and the version that it
// was planned from.
func (l *leadership) logProposal(m expertmap.Map, from uint64, moves int) {
	l.mapEvent(m).Uint64("base", from).Int("moves", moves).Msg("map proposed")
}

func (l *leadership) mapEvent(m expertmap.Map) *zerolog.Event {
	return l.set.env.Log.Info().Str("group", l.name).Uint64("fence", l.coord.Fence()).Uint64("epoch", l.coord.Epoch()).
		Uint64("version", m.Version).Str("digest", expertmap.FormatDigest(m.Digest(l.spec.SlotsPerRank)))
}
