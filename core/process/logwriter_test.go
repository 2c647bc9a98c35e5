package process

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// blocked is a writer that blocks until it is released, like a log whose reader has
// stopped.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestLoggingNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := blocked{make(chan struct{})}
	w := NewLogWriter(out)
	for range 2 * logQueueLength {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(w.Dropped() >= logQueueLength-1)
	close(out.release)
}

func TestFlushWritesQueuedLines(t *testing.T) {
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

// Lines can quote what callers send, so that their number alone does not bound the queue's memory.
func TestLongLinesDoNotFillMemory(t *testing.T) {
	is := is.New(t)
	out := blocked{make(chan struct{})}
	w := NewLogWriter(out)
	line := make([]byte, maxQueuedBytes/8)
	for range 100 {
		_, err := w.Write(line)
		is.NoErr(err)
	}
	is.True(w.queued.Load() <= maxQueuedBytes)
	is.True(w.Dropped() >= 100-8)
	close(out.release)
	w.Flush()
	is.Equal(w.queued.Load(), int64(0))
}
