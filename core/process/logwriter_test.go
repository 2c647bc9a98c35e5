package process

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// blocked is a reader of the log that has stopped reading.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestLoggingNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := blocked{make(chan struct{})}
	w := NewLogWriter(out)
	for range 2 * logQueue {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(w.Dropped() >= logQueue-1)
	close(out.release)
}

func TestFlushWritesWhatWasQueued(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewLogWriter(&out)
	for range 10 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Flush()
	is.Equal(out.Len(), 50)
	is.Equal(w.Dropped(), int64(0))
}
