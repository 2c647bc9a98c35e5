package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A prompt that is begun while passes are long makes them longer still for all
// streams of the group. But passes that stay long are no reason to wait.
func TestStreamsAreHeldBackForAShortTimeWhilePassesAreLong(t *testing.T) {
	is := is.New(t)
	r := registry(nil, "a")
	server := r.shard("s").servers["a"]
	long := func(gap time.Duration, now time.Time) {
		server.Pace = Pace{}
		server.Pace.Begun(now)
		server.Pace.Event(gap, now)
	}
	stream := Demand{Service: "s", GapTarget: 120 * time.Millisecond, MostWait: time.Second, HoldAt: 90 * time.Millisecond}
	availability := func(d Demand, now time.Time) Availability {
		c, found := r.Pick(d, now)
		if found == Available {
			c.Release()
		}
		return found
	}
	long(60*time.Millisecond, start)
	is.Equal(availability(stream, start), Available)
	long(140*time.Millisecond, start)
	is.Equal(availability(stream, start), AllBusy)
	patientNoMore := stream
	patientNoMore.HoldAt = 0
	is.Equal(availability(patientNoMore, start), Available)
	later := start.Add(holdTime)
	long(140*time.Millisecond, later)
	is.Equal(availability(stream, later), Available) // it does not get better
	long(60*time.Millisecond, later)
	is.Equal(availability(stream, later), Available)
	long(140*time.Millisecond, later)
	is.Equal(availability(stream, later), AllBusy) // passes became long once more
}
