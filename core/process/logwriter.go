package process

import (
	"io"
	"sync/atomic"
)

// logQueueLength is the capacity of the queue, in lines: a few seconds of a busy gateway's
// log, at most a few hundred kilobytes.
const logQueueLength = 2048

// LogWriter writes log lines in the background. It drops lines when the log's reader does
// not keep up, so that logging never blocks. It is safe for concurrent use.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
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
	queued := append([]byte(nil), line...) // the logger reuses its buffer
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
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
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // the error cannot be logged, only counted
	}
}
