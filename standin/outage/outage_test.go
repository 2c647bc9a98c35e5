package outage

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seedsPerLoad is the number of seeds with which each load is simulated.
const seedsPerLoad = 8

// worthAfterCrash returns the worth for callers whose first try was from 8 s to 11 s, as a
// mean over seeds. The outage of Crash ends at 8.2 s.
func worthAfterCrash(p Policy, load func(uint64) Load) float64 {
	sum := 0.0
	for seed := range uint64(seedsPerLoad) {
		sum += Run(load(seed+1), p).Between(8, 11).Worth() / seedsPerLoad
	}
	return sum
}

// mean returns the worth for all callers, as a mean over seeds.
func mean(p Policy, load func(uint64) Load) float64 {
	sum := 0.0
	for seed := range uint64(seedsPerLoad) {
		l := load(seed + 1)
		sum += Run(l, p).Between(0, int(l.Length/time.Second)).Worth() / seedsPerLoad
	}
	return sum
}

// Callers who arrive after the group is back must be served on time even though a backlog
// of two seconds is waiting.
func TestCallersAfterOutageAreServedOnTime(t *testing.T) {
	is := is.New(t)
	own := worthAfterCrash(Admission{}, Crash)
	t.Logf("admission %.3f, fixed pauses %.3f, as they come %.3f", own, worthAfterCrash(Fixed{}, Crash), worthAfterCrash(Unrestricted{}, Crash))
	is.True(own > 0.93)
	is.True(own > worthAfterCrash(Fixed{}, Crash)+0.05)
	is.True(own > worthAfterCrash(Unrestricted{}, Crash)+0.1)
}

// The gain of requests that are on time must not be outweighed by the loss of the others.
func TestAdmissionIsNotWorseThanUnrestricted(t *testing.T) {
	cases := []struct {
		name string
		load func(uint64) Load
	}{
		{"crash", Crash},
		{"many requests", func(seed uint64) Load { l := Crash(seed); l.Rate = 280; return l }},
		{"few requests", func(seed uint64) Load { l := Crash(seed); l.Rate = 120; return l }},
		{"long outage", func(seed uint64) Load { l := Crash(seed); l.Outage = 4 * time.Second; return l }},
		{"short outage", func(seed uint64) Load { l := Crash(seed); l.Outage = 700 * time.Millisecond; return l }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			own, others := mean(Admission{}, c.load), mean(Unrestricted{}, c.load)
			t.Logf("admission %.3f, as they come %.3f", own, others)
			is.True(own >= others)
		})
	}
}

// Without an outage no caller is lost, and only a few responses are late by chance, after a
// long prompt.
func TestAllAreServedWithoutOutage(t *testing.T) {
	is := is.New(t)
	l := Crash(1)
	l.Rate, l.Outage, l.Begin = 120, 0, time.Hour
	all := Run(l, Admission{}).Between(0, 20)
	is.Equal(all.Lost, 0)
	is.True(all.Worth() > 0.99)
}

func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	is.Equal(Run(Crash(7), Admission{}), Run(Crash(7), Admission{}))
}

func TestComparisonTableAndPlot(t *testing.T) {
	is := is.New(t)
	c := Compare(Crash, Policies(), 1)
	var table, plot bytes.Buffer
	is.NoErr(c.Table(&table))
	is.NoErr(c.Plot(&plot))
	is.Equal(strings.Count(table.String(), "\n"), 22) // a header, 20 seconds and the mean
	is.True(strings.Contains(plot.String(), "<svg"))
}
