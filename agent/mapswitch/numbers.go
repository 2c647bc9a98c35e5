package mapswitch

import (
	"time"

	"baywall.example/core/expertmap"
	"baywall.example/core/vm"
)

// A fencing number consists of a counter in milliseconds, the coordinator's rank and a part
// of its incarnation:
//
//	counter (48 bits) | rank (10 bits) | incarnation (6 bits)
//
// The counter is at least the wall clock, so that a restarted agent, which no longer knows
// the numbers of its predecessor, normally exceeds them. If its clock was set back, the
// incarnation makes the number differ from most that the predecessor may have used.
const (
	fenceIncarnationBits = 6
	fenceRankBits        = 10
	fenceCounterShift    = fenceRankBits + fenceIncarnationBits
)

// A version consists of a counter in units of 64 ms and a checksum of the map:
//
//	counter (36 bits) | checksum (17 bits)
//
// The counter makes later versions larger. The checksum makes the versions of two maps
// differ even if their counters are equal, which clocks that were set back and restarted
// agents can cause. Versions stay below 1<<53, as many JSON decoders round larger integers.
const (
	versionChecksumBits = 17
	versionUnit         = 64 // milliseconds
)

// counterStep is how much a fencing number's counter, in milliseconds, exceeds a known one
// that the wall clock does not exceed. It leaves the earlier coordinator room for versions
// that no rank reports yet.
const counterStep = 16 * versionUnit

// NextFence returns a fencing number for the coordinator on a rank that is larger than the
// highest one seen, and whose first version is larger than that of the highest one.
func NextFence(highest uint64, rank int, incarnation vm.Incarnation, wall time.Time) uint64 {
	counter := uint64(wall.UnixMilli())
	if known := fenceCounter(highest); counter/versionUnit <= known/versionUnit {
		counter = known + counterStep
	}
	return counter<<fenceCounterShift | uint64(rank)<<fenceIncarnationBits | uint64(incarnation)&(1<<fenceIncarnationBits-1)
}

func fenceCounter(fence uint64) uint64 { return fence >> fenceCounterShift }

func fenceRank(fence uint64) int {
	return int(fence >> fenceIncarnationBits & (1<<fenceRankBits - 1))
}

// NewVersion returns the version of a map from a counter.
func NewVersion(counter uint64, m expertmap.Map) uint64 {
	return counter<<versionChecksumBits | m.Checksum()&(1<<versionChecksumBits-1)
}

// IsVersionOf reports whether the version's checksum is that of the map.
func IsVersionOf(version uint64, m expertmap.Map) bool {
	return NewVersion(versionCounter(version), m) == version
}

func versionCounter(version uint64) uint64 { return version >> versionChecksumBits }

// fenceOf returns the lowest fencing number whose first version exceeds the counter of a
// version.
func fenceOf(counter uint64) uint64 { return counter * versionUnit << fenceCounterShift }

// firstVersionCounter returns the counter that all versions of the fence's coordinator
// exceed.
func firstVersionCounter(fence uint64) uint64 { return fenceCounter(fence) / versionUnit }
