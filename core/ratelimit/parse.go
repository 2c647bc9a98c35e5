package ratelimit

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrValue means that the text of a limit is invalid.
var ErrValue = eris.New("ratelimit: invalid limit")

// maxTextLength is the maximum length, in bytes, of a text that is parsed as a number.
const maxTextLength = 64

// Parse parses the values of the header field in which a backend server reports its limit:
// a decimal number of requests a second, without sign or exponent. If there are several,
// the lowest valid one counts, and the error describes an invalid one. An invalid limit
// reports nothing: neither that there is a limit nor that there is none. A limit above
// MaxLimit counts as none.
func Parse(values []string) (Report, error) {
	if len(values) == 0 {
		return Report{Kind: LimitNone}, nil
	}
	out := Report{}
	var invalid error
	for text := range strings.SplitSeq(strings.Join(values, ","), ",") {
		limit, err := parseLimit(strings.TrimSpace(text))
		switch {
		case err != nil:
			invalid = err
		case out.Kind == LimitUnknown || limit < out.Limit:
			out = Report{Kind: LimitSet, Limit: limit}
		}
	}
	if out.Kind == LimitSet && out.Limit > MaxLimit {
		out = Report{Kind: LimitNone}
	}
	return out, invalid
}

func parseLimit(text string) (float64, error) {
	decimal := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' }) < 0
	if !decimal || len(text) > maxTextLength {
		return 0, eris.Wrapf(ErrValue, "%q, allowed: a decimal number of requests a second", text[:min(len(text), maxTextLength)])
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrValue, "%v", err)
	}
	return limit, nil
}
