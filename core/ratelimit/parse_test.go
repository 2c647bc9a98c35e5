package ratelimit

import (
	"testing"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	limit := func(l float64) Report { return Report{Kind: LimitSet, Limit: l} }
	none := Report{Kind: LimitNone}
	nothing := Report{}
	cases := []struct {
		name   string
		values []string
		want   Report
		fails  bool
	}{
		{"no limit", nil, none, false},
		{"whole number", []string{"3"}, limit(3), false},
		{"decimal number", []string{"1.1"}, limit(1.1), false},
		{"with spaces", []string{" 0.25 "}, limit(0.25), false},
		{"zero", []string{"0"}, limit(0), false},
		{"larger than any server takes", []string{"100001"}, none, false},
		{"reported twice", []string{"3", "2"}, limit(2), false},
		{"reported twice in one field", []string{"3, 2"}, limit(2), false},
		{"reported twice, one malformed", []string{"3", "x"}, limit(3), true},
		{"empty", []string{""}, nothing, true},
		{"negative", []string{"-1"}, nothing, true},
		{"signed", []string{"+1"}, nothing, true},
		{"not a number", []string{"NaN"}, nothing, true},
		{"infinite", []string{"Inf"}, nothing, true},
		{"exponent", []string{"1e3"}, nothing, true},
		{"hexadecimal", []string{"0x10"}, nothing, true},
		{"two dots", []string{"1.2.3"}, nothing, true},
		{"dot", []string{"."}, nothing, true},
		{"decimal comma", []string{"1,5"}, limit(1), false}, // two limits
		{"words", []string{"1 per second"}, nothing, true},
		{"long", []string{string(make([]byte, 1000))}, nothing, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			reported, err := Parse(c.values)
			is.Equal(reported, c.want)
			is.Equal(err != nil, c.fails)
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"1", "0.25", "-1", "NaN", "1e309", "1,2", "\x00", "999999999999999999999"} {
		f.Add(seed, "2")
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		reported, err := Parse([]string{first, second})
		valid := reported.Limit >= 0 && reported.Limit <= MaxLimit
		if !valid || reported.Kind != LimitSet && reported.Limit != 0 {
			t.Fatalf("%q, %q: %+v", first, second, reported)
		}
		if reported.Kind == LimitUnknown && err == nil {
			t.Fatalf("%q, %q: nothing, and no error", first, second)
		}
	})
}
