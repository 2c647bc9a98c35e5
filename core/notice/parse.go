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

// ErrValue means that the text of a notice cannot be read.
var ErrValue = eris.New("notice: not understood")

const (
	// LongestRest bounds a rest: a server that asks for more is tried again after it.
	LongestRest = 24 * time.Hour
	// longestText is the longest text, in bytes, that is read.
	longestText = 64
)

// ParseRest reads the values of a Retry-After field: decimal seconds without sign or exponent,
// or an HTTP date, which counts from the answer's own Date, and from now where it has none. Of
// several the longest counts, as far as they can be read, and the error tells of another one.
// Zero and a date that has passed ask for no rest.
func ParseRest(values []string, date string, now time.Time) (time.Duration, error) {
	var longest time.Duration
	var unread error
	for _, text := range splitRests(values) {
		rest, err := parseRest(text, date, now)
		if err != nil {
			unread = err
		}
		longest = max(longest, rest)
	}
	return min(longest, LongestRest), unread
}

// splitRests splits values with commas, but for HTTP dates, which have one themselves.
func splitRests(values []string) []string {
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

func parseRest(text, date string, now time.Time) (time.Duration, error) {
	text = strings.TrimSpace(text)
	if until, err := http.ParseTime(text); err == nil {
		if answered, err := http.ParseTime(date); err == nil {
			now = answered
		}
		return max(0, until.Sub(now)), nil
	}
	decimal := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' }) < 0
	if !decimal || len(text) > longestText {
		return 0, eris.Wrapf(ErrValue, "Retry-After %q, allowed: decimal seconds or an HTTP date", text[:min(len(text), longestText)])
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrValue, "Retry-After: %v", err)
	}
	if seconds >= LongestRest.Seconds() {
		return LongestRest, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// Fields are the names of the header fields in which backend servers speak of themselves; a rest is
// asked for in Retry-After.
type Fields struct {
	Limit   string // requests a second
	Leaving string // a boolean
}

// Read reads what an answer, which came at a time, says of its backend server, but for how cold it is.
// What cannot be read, as the error tells, says nothing.
func (f Fields) Read(status int, h http.Header, now time.Time) (Notice, error) {
	var n Notice
	var errs [3]error
	n.Limit, errs[0] = ratelimit.Parse(h.Values(f.Limit))
	n.Leaving, errs[1] = ParseLeaving(h.Values(f.Leaving))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		n.Rest, errs[2] = ParseRest(h.Values("Retry-After"), h.Get("Date"), now)
	}
	return n, errors.Join(errs[:]...)
}

// ParseLeaving reads the values of a field in which a server says that it leaves: a boolean. Of
// several, one that says so counts.
func ParseLeaving(values []string) (bool, error) {
	leaving := false
	var unread error
	for _, value := range values {
		said, err := strconv.ParseBool(strings.TrimSpace(value))
		if err != nil {
			unread = eris.Wrapf(ErrValue, "%.64q, allowed: a boolean", value)
		}
		leaving = leaving || said
	}
	return leaving, unread
}
