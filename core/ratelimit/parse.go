package ratelimit

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrValue means that the text of a limit cannot be read.
var ErrValue = eris.New("ratelimit: limit not understood")

// longestText is the longest text, in bytes, that is read as a number.
const longestText = 64

// Parse reads the values of the header field in which a backend server names its limit: a
// decimal number of requests a second, without sign or exponent. Of several the lowest counts,
// as far as they can be read, and the error tells of another one. A server whose limit cannot
// be read says nothing: neither that there is one nor that there is none. A limit over
// MostLimit is as good as none.
func Parse(values []string) (Said, error) {
	if len(values) == 0 {
		return Said{Kind: SaidNone}, nil
	}
	out := Said{}
	var unread error
	for text := range strings.SplitSeq(strings.Join(values, ","), ",") {
		limit, err := parseLimit(strings.TrimSpace(text))
		switch {
		case err != nil:
			unread = err
		case out.Kind == SaidNothing || limit < out.Limit:
			out = Said{Kind: SaidLimit, Limit: limit}
		}
	}
	if out.Kind == SaidLimit && out.Limit > MostLimit {
		out = Said{Kind: SaidNone}
	}
	return out, unread
}

func parseLimit(text string) (float64, error) {
	decimal := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' }) < 0
	if !decimal || len(text) > longestText {
		return 0, eris.Wrapf(ErrValue, "%q, allowed: a decimal number of requests a second", text[:min(len(text), longestText)])
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrValue, "%v", err)
	}
	return limit, nil
}
