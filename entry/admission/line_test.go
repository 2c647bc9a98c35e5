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
			is.New(t).Equal(MayWaitForPermit(r, Turn{Next: c.turn}), c.want)
		})
	}
}

// Callers come back at the pace of the permits, however many there are.
func TestCallersRefusedForWantOfAPermitComeBackInTurn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var p PermitPacer
	for i := range 5 {
		is.Equal(p.Pause(Turn{Next: 300 * ms, Gap: 250 * ms}, 0, now), 300*ms+time.Duration(i)*250*ms)
	}
	for range 1000 {
		pause := p.Pause(Turn{Next: 300 * ms, Gap: 250 * ms}, 0.5, now)
		is.True(pause > 0)
		is.True(pause <= longestReturn)
	}
	is.True(p.Pause(Turn{Next: 300 * ms, Gap: 250 * ms}, 1, now) >= longestReturn*4/5) // the turns are far away
	is.Equal(p.Pause(Turn{}, 0, now.Add(time.Minute)), leastPause)                     // they are over
}

// Who waits until the rest of a server is over: one that can be served long before its caller
// leaves, late or not.
func TestWhoWaitsForTheEndOfARest(t *testing.T) {
	request := Request{Objective: 400 * ms, Limit: 1900 * ms, FirstAnswer: 100 * ms}
	cases := []struct {
		name string
		age  time.Duration
		turn Turn
		want bool
		stay bool
	}{
		{"it ends soon", 0, Turn{Next: 200 * ms}, true, true},
		{"after the objective", 0, Turn{Next: 800 * ms}, true, true},
		{"late already", 600 * ms, Turn{Next: 500 * ms}, true, true},
		{"not sure", 0, Turn{Next: 1000 * ms}, false, true},
		{"others go first", 0, Turn{Next: 200 * ms, Queue: 800 * ms}, false, true},
		{"after the caller has left", 0, Turn{Next: 1900 * ms}, false, false},
		{"a day", 0, Turn{Next: 24 * time.Hour}, false, false},
		{"hopeless", 1850 * ms, Turn{}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := request
			r.Age = c.age
			is.Equal(MayWaitForRest(r, c.turn), c.want)
			is.Equal(MayStayForRest(r, c.turn), c.stay)
		})
	}
}

// Callers refused while all servers rest come back one after the other, none before the end.
func TestCallersComeBackInTurnAfterARest(t *testing.T) {
	is := is.New(t)
	var p PermitPacer
	now := time.Unix(0, 0)
	turn := Turn{Next: 8 * time.Second, Gap: 250 * ms}
	for i := range 10 {
		is.Equal(p.PauseAfterRest(turn, 0, now), turn.Next+time.Duration(i)*turn.Gap)
	}
	for range 100 {
		pause := p.PauseAfterRest(turn, 0.9, now)
		is.True(pause >= turn.Next)
		is.True(pause <= turn.Next+longestReturn)
	}
	is.True(p.PauseAfterRest(Turn{Next: 24 * time.Hour, Gap: ms}, 0, now) >= 24*time.Hour)
}
