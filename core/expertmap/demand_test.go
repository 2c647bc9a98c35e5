package expertmap

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// layerOf returns counts of one layer in which one expert gets most tokens.
func layerOf(experts, hot int, tokens float64) Counts {
	c := NewCounts(Shape{Layers: 1, Experts: experts})
	for e := range c[0] {
		c[0][e] = tokens / float64(4*experts)
	}
	c[0][hot] += tokens * 3 / 4
	return c
}

func TestDemandSmoothsNoise(t *testing.T) {
	is := is.New(t)
	d := NewDemand(Shape{Layers: 1, Experts: 8}, 0.1)
	for i := range 20 {
		c := layerOf(8, 3, 1000)
		c[0][i%8] += 200 // noise
		is.Equal(d.Add(c), 0)
	}
	is.True(d.Counts()[0][3] > 0.6)
	is.True(d.Counts()[0][0] < 0.1)
}

// Unless the estimate starts anew, a plan made just after a change would still fit the
// demand before it.
func TestDemandFollowsAnAbruptChange(t *testing.T) {
	is := is.New(t)
	d := NewDemand(Shape{Layers: 1, Experts: 8}, 0.1)
	for range 20 {
		d.Add(layerOf(8, 3, 1000))
	}
	is.Equal(d.Add(layerOf(8, 5, 10)), 1) // even if only few tokens show it
	is.True(d.Counts()[0][5] > 0.7)
	is.True(d.Counts()[0][3] < 0.1)
	is.Equal(d.Add(NewCounts(Shape{Layers: 1, Experts: 8})), 0) // counts of an idle group have no effect
	is.True(d.Counts()[0][5] > 0.7)
}

func TestLifetimeEstimatesRemainingTime(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	l := NewDemandLifetime(start)
	is.Equal(l.Remaining(start.Add(time.Second)), defaultInterval-time.Second) // a new coordinator does not wait
	is.Equal(l.Remaining(start.Add(8*time.Second)), 2*time.Second)             // only its age is known
	for i := 1; i <= 20; i++ {
		l.Changed(start.Add(time.Duration(i) * 4 * time.Second))
		l.Changed(start.Add(time.Duration(i)*4*time.Second + 100*time.Millisecond)) // further layers
	}
	at := start.Add(80 * time.Second)
	is.Equal(l.Remaining(at.Add(time.Second)).Round(100*time.Millisecond), 3*time.Second)
	is.Equal(l.Remaining(at.Add(3900*time.Millisecond)).Round(100*time.Millisecond), time.Second)
	is.True(l.Remaining(at.Add(time.Minute)) > 14*time.Second) // the demand has not changed for long
}

// A coordinator that waited ten seconds for the first requests must not count that time
// as an interval between changes of the demand.
func TestFirstChangeIsNotCountedAsAnInterval(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	l := NewDemandLifetime(start)
	at := start.Add(10 * time.Second)
	l.Changed(at)
	is.Equal(l.Remaining(at.Add(time.Second)), defaultInterval-time.Second)
	l.Changed(at.Add(3 * time.Second))
	is.Equal(l.Remaining(at.Add(4*time.Second)), 2*time.Second)
}
