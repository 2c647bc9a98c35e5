package process

import (
	"io"
	"sync/atomic"
)

const (
	// logQueueLength is the capacity of the queue, in lines: a few seconds of a busy gateway's log.
	logQueueLength = 2048
	// maxQueuedBytes bounds the size of the lines in the queue, which can quote what callers send.
	maxQueuedBytes = 1 << 20
)

// LogWriter writes log lines in the background. It drops lines when the log's reader does
// not keep up, so that logging never blocks. It is safe for concurrent use.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	queued  atomic.Int64 // bytes in the queue and being written
	dropped atomic.Int64
}

// NewLogWriter returns a writer to out and starts its goroutine.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, logQueueLength), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It always reports success.
func (w *LogWriter) Write(line []byte) (int, error) {
	if w.queued.Add(int64(len(line))) > maxQueuedBytes {
		w.drop(line)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...): // the logger reuses its buffer
	default:
		w.drop(line)
	}
	return len(line), nil
}

func (w *LogWriter) drop(line []byte) {
	w.queued.Add(-int64(len(line)))
	w.dropped.Add(1)
}

// Dropped returns the number of lines that were not written.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the lines queued so far are written.
func (w *LogWriter) Flush() {
	done := make(chan struct{})
	w.flush <- done
	<-done
}

func (w *LogWriter) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.flush:
			w.drain()
			close(done)
		}
	}
}

func (w *LogWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *LogWriter) write(line []byte) {
	defer w.queued.Add(-int64(len(line)))
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // the error cannot be logged, only counted
	}
}
