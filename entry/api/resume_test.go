package api

import (
	"testing"

	"github.com/matryer/is"
)

func TestSkipperPassesWhatFollowsTheEvent(t *testing.T) {
	is := is.New(t)
	s := &eventSkipper{last: "2"}
	for _, part := range []string{"id: 1\ndata: a\n\nid: 2\n", "data: b\n"} {
		out, err := s.pass([]byte(part))
		is.NoErr(err)
		is.Equal(len(out), 0)
	}
	out, err := s.pass([]byte("\nid: 3\n"))
	is.NoErr(err)
	is.Equal(string(out), "id: 3\n")
}

// An answer without events was kept as a whole.
func TestSkipperKeepsNoAnswerWithoutEvents(t *testing.T) {
	is := is.New(t)
	s := &eventSkipper{last: "2"}
	var err error
	for sent := 0; sent <= 2*maxSkippedEvent && err == nil; sent += 1024 {
		_, err = s.pass(make([]byte, 1024))
	}
	is.Equal(err, errSkippedEvent)
}
