package group

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestChunksContainEveryOtherRankOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ranks := rapid.IntRange(1, 300).Draw(t, "ranks")
		self := rapid.IntRange(0, ranks-1).Draw(t, "self")
		out := chunks(ranks, self)
		var all []int
		for _, c := range out {
			is.True(len(c) > 0)
			is.True(len(c) <= len(out[len(out)-1])) // the last is the largest
			all = append(all, c...)
		}
		is.True(len(out) <= maxDirectCalls)
		is.Equal(len(all), ranks-1)
		is.True(!slices.Contains(all, self))
		is.True(slices.IsSorted(all))
	})
}

func TestPollsFitTheLink(t *testing.T) {
	cases := []struct {
		name                   string
		mbps                   float64
		ranks, layers, experts int
		minInterval            time.Duration
		reporting              int // chunks that report counts when a poll comes after 200 ms
	}{
		{"96 ranks on 6 Mbit/s", 6, 96, 16, 192, 141653333, 3},
		{"24 ranks on 8 Mbit/s", 8, 24, 16, 96, 67360 * time.Microsecond, 9},
		{"8 ranks on 20 Mbit/s", 20, 8, 6, 64, 12608 * time.Microsecond, 7},
		{"128 ranks of 58 layers on 100 Mbit/s", 100, 128, 58, 256, 9881600, 15},
		{"a link that is not known", 0, 96, 16, 192, 0, 16},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBudget(c.mbps*1e6/8, c.ranks, c.layers, c.experts)
			of := len(chunks(c.ranks, 0))
			is.Equal(b.minInterval(time.Second), c.minInterval)
			is.Equal(b.chunks(200*time.Millisecond, of), c.reporting)
			if c.mbps > 0 && c.reporting > 1 {
				bytes := b.state + float64(c.reporting)*b.counts
				is.True(bytes <= controlShare*c.mbps*1e6/8*0.2)
			}
		})
	}
}

// However slow the link is, the coordinator polls often enough to prevent an election.
func TestCoordinatorOnSlowLinkPollsOftenEnough(t *testing.T) {
	is := is.New(t)
	is.Equal(newBudget(1000, 96, 16, 192).minInterval(600*time.Millisecond), 200*time.Millisecond)
}

func TestChunksAreRequestedInRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		of := rapid.IntRange(1, 16).Draw(t, "of")
		n := rapid.IntRange(1, of).Draw(t, "n")
		var r rotation
		now, next := r.take(n, of)
		is.Equal(len(now), 0)
		requested := make(map[int]int)
		for range 4 * of {
			announced := slices.Clone(next)
			now, next = r.take(n, of)
			is.Equal(now, announced)
			is.Equal(len(now), n)
			for _, c := range now {
				requested[c]++
			}
			slices.Sort(now)
			is.Equal(len(slices.Compact(now)), n)
		}
		is.Equal(len(requested), of) // no chunk is left out
	})
}
