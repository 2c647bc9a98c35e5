package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The end of a line that is longer than the read buffer was read as a line of its own: data was
// taken for the id of the event, or for the blank line that ends it.
func TestLongLinesOfEventsAreNotSplit(t *testing.T) {
	const prefix = "data: "
	for _, tail := range []string{"", "id: 9"} {
		for length := eventBuffer - 2; length <= eventBuffer+8; length++ { // of the line
			t.Run(fmt.Sprintf("%q at %d", tail, length), func(t *testing.T) {
				is := is.New(t)
				first := "id: 1\n" + prefix + strings.Repeat("x", length-len(prefix)-len(tail)) + tail + "\n\n"
				second := "id: 2\ndata: y\n\n"
				r := newEventReader(strings.NewReader(first + second))
				for i, want := range []string{first, second} {
					e, err := r.next()
					is.NoErr(err)
					is.Equal(string(e.raw), want)
					is.Equal(e.id, fmt.Sprint(i+1))
				}
				_, err := r.next()
				is.Equal(err, io.EOF)
			})
		}
	}
}

// Bytes that are no events were passed on as if they were, and without end.
func TestBytesThatAreNoEventsAreNotPassedOn(t *testing.T) {
	const valid = "\uFEFFdata: x\n\n"
	for _, c := range []struct {
		name, rest string
		err        error
	}{
		{"nothing", "", io.EOF},
		{"blank lines", "\n\r\n\n", io.EOF},
		{"lines without a field", "xxxx\n\nyyyy: z\n\n", io.ErrUnexpectedEOF},
		{"lines without a field, without end", strings.Repeat("xxxx\n\n", maxEvent), errEvent},
		{"blank lines without end", strings.Repeat("\n", 2*maxEvent), errEvent},
		{"one line without end", "data: " + strings.Repeat("x", 2*maxEvent), errEvent},
		{"one field without end", strings.Repeat("data: x\n", maxEvent), errEvent},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newEventReader(strings.NewReader(valid + c.rest))
			e, err := r.next()
			is.NoErr(err)
			is.Equal(string(e.raw), valid)
			_, err = r.next()
			is.Equal(err, c.err)
		})
	}
}

// Every kind of event is passed on as it is.
func TestKindsOfEvents(t *testing.T) {
	is := is.New(t)
	events := []string{": ping\n\n", "event: end\n\n", "retry: 10\r\n\r\n", "data\n\n", "unknown: x\ndata: y\n\n", "id\n\n", "\ndata: " + strings.Repeat("x", maxEvent-9) + "\n\n"}
	r := newEventReader(strings.NewReader(strings.Join(events, "")))
	for _, want := range events {
		e, err := r.next()
		is.NoErr(err)
		is.Equal(string(e.raw), want)
	}
	_, err := r.next()
	is.Equal(err, io.EOF)
}
