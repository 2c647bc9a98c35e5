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
