package expertmap

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a digest of the experts that each rank holds in each layer. It does not depend on
// the map's version, on the order of the experts within a rank's slots or on empty slots, so two
// maps with equal digests place the same experts on the same ranks. It is the digest of the ranks'
// digests, see RankDigest. If slotsPerRank is 0, each layer counts as the slots of one rank.
func (m Map) Digest(slotsPerRank int) uint64 {
	raw := make([]byte, 0, 8*m.ranks(slotsPerRank))
	for rank := range m.ranks(slotsPerRank) {
		raw = binary.LittleEndian.AppendUint64(raw, m.RankDigest(rank, slotsPerRank))
	}
	return xxhash.Sum64(raw)
}

// RankDigest returns the PlacementDigest of one rank's part of the map.
func (m Map) RankDigest(rank, slotsPerRank int) uint64 {
	part := make([][]int32, len(m.Layers))
	for l, row := range m.Layers {
		part[l] = row
		if slotsPerRank > 0 {
			from := min(len(row), rank*slotsPerRank)
			part[l] = row[from:min(len(row), from+slotsPerRank)]
		}
	}
	return PlacementDigest(part)
}

// ranks returns the number of ranks that the map has slots for.
func (m Map) ranks(slotsPerRank int) int {
	longest := 0
	for _, row := range m.Layers {
		longest = max(longest, len(row))
	}
	if slotsPerRank <= 0 {
		return 1
	}
	return (longest + slotsPerRank - 1) / slotsPerRank
}

// PlacementDigest returns a digest of one rank's experts by layer. The order of a layer's experts
// and empty slots have no effect on it.
func PlacementDigest(layers [][]int32) uint64 {
	var raw []byte
	var held []int32
	for _, row := range layers {
		held = held[:0]
		for _, expert := range row {
			if expert != Empty {
				held = append(held, expert)
			}
		}
		slices.Sort(held)
		raw = binary.LittleEndian.AppendUint32(raw, uint32(len(held)))
		for _, expert := range held {
			raw = binary.LittleEndian.AppendUint32(raw, uint32(expert))
		}
	}
	return xxhash.Sum64(raw)
}

// FormatDigest returns a digest as 16 hexadecimal digits, as it appears in logs.
func FormatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }
