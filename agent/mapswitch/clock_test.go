package mapswitch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawWall is what a VM's clock may say: it may be ahead or behind by an hour.
func drawWall(t *rapid.T, at time.Time) time.Time {
	return at.Add(time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "clock")) * time.Second)
}

// A coordinator that starts with a clock that went back learns of larger numbers from
// the ranks and goes beyond them; its versions do, too.
func TestFencesAndVersionsGrowThoughClocksJump(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		highest := uint64(0)
		for range rapid.IntRange(2, 12).Draw(t, "coordinators") {
			rank := rapid.IntRange(0, 95).Draw(t, "rank")
			now := drawWall(t, start)
			ignorant := NextFence(0, rank, now)
			fence := NextFence(highest, rank, now)
			is.True(fence > highest)
			is.True(fence >= ignorant)
			is.True(firstVersion(fence) > firstVersion(highest))
			highest = fence
		}
	})
}

// The restarted agent's clock is 40 minutes behind, so that the number it takes first
// is smaller than what the ranks have promised.
func TestACoordinatorWhoseClockWentBackStartsOverWithALargerNumber(t *testing.T) {
	is := is.New(t)
	before := NextFence(0, 0, start.Add(40*time.Minute))
	first := NewCoordinator(2, NextFence(0, 1, start), Timing{}, start)
	order := first.Tick(start)[0]
	first.Receive(order.Rank, order.Order, Reply{Superseded: true, Fence: before}, start)
	is.Equal(first.Stage(), StageSuperseded)
	second := NewCoordinator(2, NextFence(first.Highest(), 1, start), Timing{}, start)
	is.True(second.Fence() > before)
}
