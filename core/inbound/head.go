package inbound

import (
	"bytes"
	"net/http"
)

const (
	// lineCost is the memory that a header line takes beyond its bytes, in bytes: entries of the map of
	// the request and of its copies for backend servers.
	lineCost = 400
	// byteCost is the memory that a byte of a head takes, for the head and its copies.
	byteCost = 2
	// shortestLine is the length of the shortest header line, in bytes.
	shortestLine = 3
	// ordinaryHead is the cost of a head up to which it is part of its connection's cost, in bytes.
	ordinaryHead = 20 << 10
	// mediumHead is the cost up to which a head gets a reservation of that size first, in bytes.
	mediumHead = 64 << 10
	// readBuffer is the size of the HTTP library's read buffer in bytes. A head's last read can contain
	// that much of what follows the head, and the first can follow that much of it.
	readBuffer = 4 << 10
)

// headSize is the size of a head, or of a part of it.
type headSize struct{ bytes, lines int }

func (s headSize) cost() int64 { return int64(byteCost*s.bytes + lineCost*s.lines) }

func (s headSize) plus(o headSize) headSize { return headSize{s.bytes + o.bytes, s.lines + o.lines} }

// measure returns the size of raw bytes of a head.
func measure(raw []byte) headSize { return headSize{len(raw), bytes.Count(raw, []byte{'\n'})} }

// largest returns the size of the costliest head of the given length that begins with s.
func (s headSize) largest(length int) headSize {
	rest := max(0, length-s.bytes)
	return headSize{s.bytes + rest, s.lines + rest/shortestLine}
}

// sizeOfHead returns the size of a request's head, without what its client need not send: spaces and
// carriage returns.
func sizeOfHead(r *http.Request) headSize {
	s := headSize{len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("  \nHost:\n\n"), 3}
	for name, values := range r.Header {
		for _, v := range values {
			s.bytes += len(name) + len(v) + len(":\n")
			s.lines++
		}
	}
	return s
}
