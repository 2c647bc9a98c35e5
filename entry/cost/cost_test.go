package cost

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Counts that cannot be true must not be taken for counts.
func TestParseTokens(t *testing.T) {
	cases := []struct {
		value string
		want  Tokens
	}{
		{"812,64", Tokens{812, 64}},
		{" 812 , 64 ", Tokens{812, 64}},
		{"0,64", Tokens{0, 64}},
		{"", Tokens{}},
		{"812", Tokens{}},
		{"812,64,3", Tokens{}},
		{"-1,64", Tokens{}},
		{"812,-64", Tokens{}},
		{"many,64", Tokens{}},
		{"8.5,64", Tokens{}},
		{"NaN,Inf", Tokens{}},
		{"99999999999,64", Tokens{}},
		{"99999999999999999999999,64", Tokens{}},
	}
	for _, c := range cases {
		t.Run(c.value, func(t *testing.T) { is.New(t).Equal(ParseTokens(c.value), c.want) })
	}
}

// learned returns an estimator for a route of which small requests take 100 ms and large
// ones, one in ten, 1 s.
func learned() *Estimator {
	e := NewEstimator()
	for i := range 400 {
		if i%10 == 0 {
			e.Record("r", Tokens{2000, 60}, time.Second)
		} else {
			e.Record("r", Tokens{200, 20}, 100*ms)
		}
	}
	return e
}

// A request with counts costs what such requests took; one without has the route's mean.
func TestEstimate(t *testing.T) {
	is := is.New(t)
	e := learned()
	mean := e.Estimate("r", Tokens{}, 0)
	is.True(mean > 120*ms && mean < 260*ms)
	is.True(e.Estimate("r", Tokens{250, 17}, 0) < 115*ms) // the same magnitude as {200, 20}
	is.True(e.Estimate("r", Tokens{1500, 40}, 0) > 800*ms)
	is.Equal(e.Estimate("r", Tokens{-5, 40}, 0), mean)
	is.Equal(e.Estimate("r", Tokens{maxTokens + 1, 40}, 0), mean)
	is.Equal(e.Estimate("r", Tokens{10, 4000}, 0), mean) // never seen
	is.Equal(e.Estimate("other", Tokens{}, 300*ms), 300*ms)
	is.Equal(e.Estimate("other", Tokens{}, 0), unknownCost)
}

// After a change, such as a larger model, the estimates must follow.
func TestEstimateFollowsAChange(t *testing.T) {
	is := is.New(t)
	e := learned()
	for range 100 {
		e.Record("r", Tokens{200, 20}, 400*ms)
	}
	is.True(e.Estimate("r", Tokens{200, 20}, 0) > 380*ms)
}

// Whatever callers declare and requests take, an estimate is above zero and within a factor
// of the route's mean.
func TestEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEstimator()
		count := rapid.OneOf(rapid.IntRange(0, 4000), rapid.Int())
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			took := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "ms")) * ms
			e.Record("r", Tokens{count.Draw(t, "prompt"), count.Draw(t, "output")}, took)
		}
		mean := e.Estimate("r", Tokens{}, 0)
		declared := ParseTokens(fmt.Sprintf("%d,%d", count.Draw(t, "prompt"), count.Draw(t, "output")))
		got := e.Estimate("r", declared, 0)
		if got <= 0 || got < mean/maxFactor-1 || got > mean*maxFactor+maxFactor {
			t.Fatalf("estimate %v, mean %v", got, mean)
		}
	})
}
