package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// now is the time of this process in the tests. The server's clock differs from it.
var now = time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)

const (
	serversDate = "Wed, 04 Mar 2026 05:00:00 GMT"
	in3s        = "Wed, 04 Mar 2026 05:00:03 GMT"
	in2s        = "Wed, 04 Mar 2026 05:00:02 GMT"
)

func TestParseRetryAfter(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		date   string
		want   time.Duration
		fails  bool
	}{
		{"none", nil, "", 0, false},
		{"whole seconds", []string{"3"}, "", 3 * time.Second, false},
		{"a fraction", []string{"1.2"}, "", 1200 * time.Millisecond, false},
		{"with spaces", []string{" 0.25 "}, "", 250 * time.Millisecond, false},
		{"zero", []string{"0"}, "", 0, false},
		{"a day", []string{"86400"}, "", MaxBackoff, false},
		{"over a day", []string{"1000000"}, "", MaxBackoff, false},
		{"far over a day", []string{"99999999999999999999999"}, "", MaxBackoff, false},
		{"a date, by the server's time", []string{in3s}, serversDate, 3 * time.Second, false},
		{"a date, without the server's time", []string{"Wed, 04 Mar 2026 05:06:09 GMT"}, "", 2 * time.Second, false},
		{"a date, and a time that cannot be read", []string{"Wed, 04 Mar 2026 05:06:09 GMT"}, "today", 2 * time.Second, false},
		{"a date that has passed", []string{"Tue, 03 Mar 2026 05:00:00 GMT"}, serversDate, 0, false},
		{"a date in some years", []string{"Wed, 04 Mar 2046 05:00:00 GMT"}, serversDate, MaxBackoff, false},
		{"twice", []string{"3", "2"}, "", 3 * time.Second, false},
		{"twice in one field", []string{"1, 2"}, "", 2 * time.Second, false},
		{"two dates", []string{in2s, in3s}, serversDate, 3 * time.Second, false},
		{"a date and seconds", []string{in2s, "1"}, serversDate, 2 * time.Second, false},
		{"twice, one malformed", []string{"x", "2"}, "", 2 * time.Second, true},
		{"empty", []string{""}, "", 0, true},
		{"negative", []string{"-1"}, "", 0, true},
		{"signed", []string{"+1"}, "", 0, true},
		{"not a number", []string{"NaN"}, "", 0, true},
		{"infinite", []string{"Inf"}, "", 0, true},
		{"exponent", []string{"1e3"}, "", 0, true},
		{"two dots", []string{"1.2.3"}, "", 0, true},
		{"dot", []string{"."}, "", 0, true},
		{"with a unit", []string{"3s"}, "", 0, true},
		{"long", []string{string(make([]byte, 1000))}, "", 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			backoff, err := ParseRetryAfter(c.values, c.date, now)
			is.Equal(backoff, c.want)
			is.Equal(err != nil, c.fails)
		})
	}
}

func TestParseLeaving(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		want   bool
		fails  bool
	}{
		{"nothing is reported", nil, false, false},
		{"it leaves", []string{"1"}, true, false},
		{"in a word", []string{"true"}, true, false},
		{"it does not", []string{"0"}, false, false},
		{"twice", []string{"0", "1"}, true, false},
		{"one malformed", []string{"soon", "1"}, true, true},
		{"malformed", []string{"soon"}, false, true},
		{"empty", []string{""}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			leaving, err := ParseLeaving(c.values)
			is.Equal(leaving, c.want)
			is.Equal(err != nil, c.fails)
		})
	}
}

func FuzzParseRest(f *testing.F) {
	for _, seed := range []string{"1", "1.5", "-1", "NaN", "1e309", "1,2", in3s, in3s + ", 2", "\x00", "99999999999999999999"} {
		f.Add(seed, "2", serversDate)
	}
	f.Fuzz(func(t *testing.T, first, second, date string) {
		backoff, err := ParseRetryAfter([]string{first, second}, date, now)
		if backoff < 0 || backoff > MaxBackoff {
			t.Fatalf("%q, %q at %q: %s, %v", first, second, date, backoff, err)
		}
		if longer, _ := ParseRetryAfter([]string{first, second, "86400"}, date, now); longer != MaxBackoff {
			t.Fatalf("%q, %q mask a longer backoff: %s", first, second, longer)
		}
	})
}
