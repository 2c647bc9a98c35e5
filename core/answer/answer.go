// Package answer decides which HTTP/1.1 answers are well-formed and whole. All clients of this
// project apply it: to backend servers, ranks, the store and the platform.
//
// The parser of the standard library accepts heads that leave the meaning of an answer in doubt. By
// the rule of this package an answer is malformed, and counts as lost, if
//
//   - its status is not three digits from 100 to 599 (RFC 9110, 15), or is 101, as no request asks to
//     switch protocols.
//
// An answer with neither a length nor chunks ends with its connection. It is whole only if its request
// had been written until then. The reset of a connection is reported once, to the side that asks first:
// if that is the writer of the request, the reader sees an ordinary end.
//
// Conn applies the rule to one connection, Transport to all connections of an http.Transport.
package answer

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformed means that an answer breaks the rule of this package.
var ErrMalformed = eris.New("malformed answer")

// The range of statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns ErrMalformed if a number is not the status of a final answer.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return eris.Wrapf(ErrMalformed, "status %d", status)
	}
	return nil
}

// parseStatus returns the status in a status line: its second word.
func parseStatus(line string) (int, error) {
	_, rest, _ := strings.Cut(line, " ")
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	number, err := strconv.ParseUint(text, 10, 16) // takes no sign
	status := int(number)
	if err != nil || len(text) != 3 || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, eris.Wrapf(ErrMalformed, "status %.8q", text)
	}
	return status, nil
}
