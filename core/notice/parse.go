package notice

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/ratelimit"
)

// ErrValue means that the text of a notice is invalid.
var ErrValue = eris.New("notice: invalid value")

const (
	// MaxBackoff is the longest backoff. A server that asks for more is tried again after
	// it.
	MaxBackoff = 24 * time.Hour
	// maxTextLength is the maximum length, in bytes, of a text that is parsed.
	maxTextLength = 64
)

// ParseRetryAfter parses the values of a Retry-After field: decimal seconds without sign or
// exponent, or an HTTP date. A date is relative to the answer's Date field, or to now if
// there is none. If there are several values, the longest valid one counts, and the error
// describes an invalid one. Zero and a date in the past ask for no backoff.
func ParseRetryAfter(values []string, date string, now time.Time) (time.Duration, error) {
	var longest time.Duration
	var invalid error
	for _, text := range splitRetryAfter(values) {
		backoff, err := parseRetryAfter(text, date, now)
		if err != nil {
			invalid = err
		}
		longest = max(longest, backoff)
	}
	return min(longest, MaxBackoff), invalid
}

// splitRetryAfter splits values at commas, except for HTTP dates, which contain one.
func splitRetryAfter(values []string) []string {
	var out []string
	for _, value := range values {
		if _, err := http.ParseTime(strings.TrimSpace(value)); err == nil {
			out = append(out, value)
			continue
		}
		out = append(out, strings.Split(value, ",")...)
	}
	return out
}

func parseRetryAfter(text, date string, now time.Time) (time.Duration, error) {
	text = strings.TrimSpace(text)
	if until, err := http.ParseTime(text); err == nil {
		if answered, err := http.ParseTime(date); err == nil {
			now = answered
		}
		return max(0, until.Sub(now)), nil
	}
	decimal := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' }) < 0
	if !decimal || len(text) > maxTextLength {
		return 0, eris.Wrapf(ErrValue, "Retry-After %q, allowed: decimal seconds or an HTTP date", text[:min(len(text), maxTextLength)])
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrValue, "Retry-After: %v", err)
	}
	if seconds >= MaxBackoff.Seconds() {
		return MaxBackoff, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Fields are the names of the header fields that carry notices. A backoff is always
// requested in Retry-After.
type Fields struct {
	Limit   string // requests a second
	Leaving string // a boolean
}

// Read parses the notice in an answer that arrived at the time now. It does not set Cold.
// A part that cannot be parsed is left out and described by the error.
func (f Fields) Read(status int, h http.Header, now time.Time) (Notice, error) {
	var n Notice
	var errs [3]error
	n.Limit, errs[0] = ratelimit.Parse(h.Values(f.Limit))
	n.Leaving, errs[1] = ParseLeaving(h.Values(f.Leaving))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		n.Backoff, errs[2] = ParseRetryAfter(h.Values("Retry-After"), h.Get("Date"), now)
	}
	return n, errors.Join(errs[:]...)
}

// ParseLeaving parses the values of a field in which a server reports that it leaves: a
// boolean. If there are several values, one that is true is enough.
func ParseLeaving(values []string) (bool, error) {
	leaving := false
	var invalid error
	for _, value := range values {
		parsed, err := strconv.ParseBool(strings.TrimSpace(value))
		if err != nil {
			invalid = eris.Wrapf(ErrValue, "%.64q, allowed: a boolean", value)
		}
		leaving = leaving || parsed
	}
	return leaving, invalid
}
