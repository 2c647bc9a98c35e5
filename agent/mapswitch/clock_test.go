package mapswitch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawWall draws the reading of a VM's clock, which may be up to an hour ahead or behind.
func drawWall(t *rapid.T, at time.Time) time.Time {
	return at.Add(time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "clock")) * time.Second)
}

// A coordinator that starts with a clock that was set back learns larger numbers from the
// ranks and exceeds them, with its fencing number and with its versions.
func TestFencesAndVersionsIncreaseWhenClocksJump(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		highest := uint64(0)
		for range rapid.IntRange(2, 12).Draw(t, "coordinators") {
			rank := rapid.IntRange(0, 95).Draw(t, "rank")
			now := drawWall(t, start)
			withoutHistory := NextFence(0, rank, 1, now)
			fence := NextFence(highest, rank, 1, now)
			is.True(fence > highest)
			is.True(fence >= withoutHistory)
			is.True(firstVersionCounter(fence) > firstVersionCounter(highest))
			highest = fence
		}
	})
}

// The restarted agent's clock is 40 minutes behind, so the number that it takes first is
// smaller than the one that the ranks have promised.
func TestCoordinatorWithClockSetBackStartsOverWithLargerFence(t *testing.T) {
	is := is.New(t)
	before := NextFence(0, 0, 1, start.Add(40*time.Minute))
	first := NewCoordinator(2, NextFence(0, 1, 1, start), Timing{}, start)
	order := first.Tick(start)[0]
	first.Receive(order.Rank, order.Order, Reply{Superseded: true, Fence: before}, start)
	is.Equal(first.Stage(), StageSuperseded)
	second := NewCoordinator(2, NextFence(first.HighestFence(), 1, 1, start), Timing{}, start)
	is.True(second.Fence() > before)
}
