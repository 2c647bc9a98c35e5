// Package bounded reads from other processes, which may send bytes without end when they fail.
package bounded

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// MaxHead bounds the head of an HTTP answer, in bytes: status line, header fields and interim
	// answers. Heads of ordinary servers have a few hundred bytes, with cookies and policies a few
	// thousand; proxies take 8 to 64 kB by default. It is the MaxResponseHeaderBytes of an
	// http.Transport, which has 10 MB by default.
	MaxHead = 32 << 10
	// MaxAnswer bounds the body of an answer to a caller's request, in bytes. A stream of 100,000
	// tokens with an event of 1 kB each stays below it.
	MaxAnswer = 128 << 20
	// maxErrorText bounds how much of an error's text is kept, in characters.
	maxErrorText = 200
)

// ErrTooLarge means that more bytes came than allowed.
var ErrTooLarge = eris.New("bounded: more bytes than allowed")

// Reader reads up to a limit, and fails with ErrTooLarge if there is more. Unlike an
// io.LimitedReader it does not make what it cuts off look complete.
type Reader struct {
	in   io.Reader
	left int64 // bytes that may still come
}

// NewReader returns a reader of at most limit bytes.
func NewReader(in io.Reader, limit int64) *Reader { return &Reader{in: in, left: limit} }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if int64(len(p)) > r.left+1 {
		p = p[:r.left+1] // one more than allowed tells whether there is more
	}
	n, err := r.in.Read(p)
	if int64(n) > r.left {
		n, err = int(r.left), ErrTooLarge
	}
	r.left -= int64(n)
	return n, err
}

// ReadAll reads to the end. It fails with ErrTooLarge if there are more than limit bytes.
func ReadAll(in io.Reader, limit int64) ([]byte, error) { return io.ReadAll(NewReader(in, limit)) }

// ErrorText returns the start of an error's text. An error of net/http about a malformed head quotes
// the whole line, which then stands in logs.
func ErrorText(err error) string { return fmt.Sprintf("%.*s", maxErrorText, err.Error()) }

// Text returns the start of a text that came from outside, for logs.
func Text(text string) string {
	if len(text) <= maxErrorText {
		return text
	}
	return text[:maxErrorText]
}
