package answer

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// headState is the part of a head that the next byte belongs to.
type headState int

const (
	inStatusLine headState = iota
	atLineStart
	inName
	inValue
	headComplete
)

// maxKept is how much of a line is kept, in bytes: the status is within it, and it names a malformed
// field in errors.
const maxKept = 64

// headScanner checks the head of an answer as its bytes arrive, with the interim answers before it. The
// zero value expects the first byte.
type headScanner struct {
	state  headState
	status int    // of the status line that was read last
	line   []byte // start of the status line or the name of a field
	ends   bool   // the line so far is a carriage return, and a line feed ends the head
}

// reset makes the scanner expect the first byte of a head.
func (s *headScanner) reset() { *s = headScanner{line: s.line[:0]} }

// scan checks the next bytes and ignores those after the head. The error is ErrMalformed.
func (s *headScanner) scan(p []byte) error {
	for _, b := range p {
		if s.state == headComplete {
			return nil
		}
		if err := s.next(b); err != nil {
			return err
		}
	}
	return nil
}

func (s *headScanner) next(b byte) error {
	switch s.state {
	case inStatusLine:
		return s.nextOfStatusLine(b)
	case atLineStart:
		return s.nextAtLineStart(b)
	case inName:
		return s.nextOfName(b)
	case inValue:
		if b == '\n' {
			s.startLine()
		}
	}
	return nil
}

func (s *headScanner) nextOfStatusLine(b byte) error {
	if b != '\n' {
		s.keep(b)
		return nil
	}
	line := string(s.line)
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	status, err := parseStatus(line)
	s.status = status
	s.startLine()
	return err
}

func (s *headScanner) nextAtLineStart(b byte) error {
	switch {
	case b == '\n':
		s.endHead()
		return nil
	case s.ends:
		return eris.Wrap(ErrMalformed, "carriage return at the start of a line")
	case b == '\r':
		s.ends = true
		return nil
	case b == ' ' || b == '\t':
		return eris.Wrap(ErrMalformed, "blank at the start of a line")
	}
	s.state = inName
	return s.nextOfName(b)
}

func (s *headScanner) nextOfName(b byte) error {
	if b == ':' && len(s.line) > 0 {
		s.state = inValue
		return nil
	}
	s.keep(b)
	if !isTokenByte(b) {
		return CheckName(string(s.line))
	}
	return nil
}

func (s *headScanner) startLine() {
	s.state, s.line, s.ends = atLineStart, s.line[:0], false
}

// endHead ends a head. Another one follows an interim answer.
func (s *headScanner) endHead() {
	s.startLine()
	s.state = headComplete
	if s.status < http.StatusOK {
		s.state = inStatusLine
	}
}

// keep keeps a byte of the line. If the line is too long, it replaces the last one.
func (s *headScanner) keep(b byte) {
	if len(s.line) == maxKept {
		s.line = s.line[:maxKept-1]
	}
	s.line = append(s.line, b)
}
