// Package answer decides which HTTP/1.1 answers are well-formed and whole. All clients of this
// project apply it: to backend servers, ranks, the store and the platform.
//
// The parser of the standard library accepts heads that leave the meaning or the end of an answer in
// doubt. By the rule of this package an answer is malformed, and counts as lost, if
//
//   - its status is not three digits from 100 to 599 (RFC 9110, 15), or is 101, as no request asks to
//     switch protocols;
//   - the name of a field is not a token (RFC 9110, 5.1), in the head, in an interim answer or in the
//     trailer. A line that is left out or mended could have been the Content-Length or
//     Transfer-Encoding, and so decide where the answer ends;
//   - a line of a head begins with a blank: it continues the value before it (RFC 9112, 5.2) and may
//     hide a field.
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

// CheckName returns ErrMalformed if a text is not the name of a field.
func CheckName(name string) error {
	valid := name != ""
	for i := 0; valid && i < len(name); i++ {
		valid = isTokenByte(name[i])
	}
	if !valid {
		return eris.Wrapf(ErrMalformed, "name of a field %.40q", name)
	}
	return nil
}

// checkNames applies CheckName to the names of all fields.
func checkNames(fields http.Header) error {
	for name := range fields {
		if err := CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// isTokenByte reports whether a token may contain the byte (RFC 9110, 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}
