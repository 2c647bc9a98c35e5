package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheMostUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	places := []*Place{ // in the order in which they go
		{Priority: 0, Until: now.Add(2 * time.Second)},
		{Priority: 1, Until: now.Add(time.Second)},
		{Priority: 1, Until: now.Add(3 * time.Second)},
		{Again: true, Priority: 0, Until: now.Add(time.Second)},
		{Again: true, Priority: 2, Until: now},
	}
	var line Line
	for i := range places {
		line.Join(places[len(places)-1-i])
	}
	for i, p := range places {
		is.Equal(line.Ahead(p), i)
	}
	is.Equal(line.Ahead(&Place{Priority: 1, Until: now.Add(2 * time.Second)}), 2) // one that is not in it
	line.Leave(places[0])
	is.Equal(line.Ahead(places[2]), 1)
	for _, p := range places {
		line.Leave(p)
	}
	is.True(line.Empty())
}

func TestNothingWaitsForAPermitThatIsNotSureToComeInTime(t *testing.T) {
	base := Request{Objective: 400 * ms, Limit: 2 * time.Second, FirstAnswer: 100 * ms}
	cases := []struct {
		name string
		edit func(*Request)
		turn time.Duration
		want bool
	}{
		{"soon", nil, 140 * ms, true},
		{"not surely in time", nil, 160 * ms, false},
		{"its caller leaves before", func(r *Request) { r.Limit = 300 * ms }, 140 * ms, false},
		{"late", func(r *Request) { r.Age = 350 * ms }, 0, false},
		{"no objective", func(r *Request) { r.Objective = 0 }, 900 * ms, true},
		{"no objective, its caller leaves before", func(r *Request) { r.Objective = 0 }, 1000 * ms, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := base
			if c.edit != nil {
				c.edit(&r)
			}
			is.New(t).Equal(MayWaitForPermit(r, c.turn), c.want)
		})
	}
}

// Callers come back at the pace of the permits, however many there are.
func TestCallersRefusedForWantOfAPermitComeBackInTurn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var p PermitPacer
	for i := range 5 {
		is.Equal(p.Pause(300*ms, 250*ms, 0, now), 300*ms+time.Duration(i)*250*ms)
	}
	for range 1000 {
		pause := p.Pause(300*ms, 250*ms, 0.5, now)
		is.True(pause > 0)
		is.True(pause <= longestReturn)
	}
	is.True(p.Pause(300*ms, 250*ms, 1, now) >= longestReturn*4/5) // the turns are far away
	is.Equal(p.Pause(0, 0, 0, now.Add(time.Minute)), leastPause)  // they are over
}
