package rank

import "baywall.example/core/expertmap"

// logPlacement logs which experts the rank reports for the map that it uses. The digest equals that
// of the rank's part of the map which was ordered, if the rank holds what was ordered.
func (e *Engine) logPlacement() {
	e.log.Info().Uint64("version", e.placement.Version).Uint64("epoch", e.placement.Epoch).
		Str("rank_digest", expertmap.FormatDigest(expertmap.PlacementDigest(e.placement.Layers))).Msg("experts of the map in use read")
}
