// Package plain implements a stand-in for an ordinary HTTP service. It responds with a
// document that names the requested work, after a short delay.
package plain

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"baywall.example/agent/engine"
	"baywall.example/standin/ledger"
)

// Server is one backend server of the service.
type Server struct {
	http     *http.Server
	ledger   *ledger.Ledger
	delay    time.Duration
	address  string
	limit    atomic.Uint64 // announced rate limit in requests a second, as float bits; 0 = none
	backoff  atomic.Int64  // backoff that it asks for when it refuses requests; 0 = it serves them
	leaving  atomic.Bool   // it announces in responses that it leaves
	breaking atomic.Bool   // it closes the connection instead of responding
	requests atomic.Int64  // number of requests received
}

// HeaderWork is the header with the caller's id of the work.
const HeaderWork = "X-Work"

// HeaderAnswerBytes is the header with the least size of the answer, in bytes. Without it the answer
// is short.
const HeaderAnswerBytes = "X-Answer-Bytes"

// Serve starts a server that listens on the address and delays each response.
func Serve(address string, l *ledger.Ledger, delay time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ledger: l, delay: delay, address: address}
	s.http = &http.Server{Handler: http.HandlerFunc(s.answer), ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// AnnounceLimit sets the rate limit in requests a second that the server announces in its
// responses; 0 = none.
func (s *Server) AnnounceLimit(perSecond float64) { s.limit.Store(math.Float64bits(perSecond)) }

// AskForBackoff makes the server refuse all requests and ask for a backoff of the given time.
// With 0 it serves requests again.
func (s *Server) AskForBackoff(d time.Duration) { s.backoff.Store(int64(d)) }

// AnnounceLeaving makes the server announce in its responses that it leaves.
func (s *Server) AnnounceLeaving() { s.leaving.Store(true) }

// BreakConnections makes the server close the connection instead of responding.
func (s *Server) BreakConnections() { s.breaking.Store(true) }

// RequestCount returns the number of requests that the server has received.
func (s *Server) RequestCount() int64 { return s.requests.Load() }

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.address }

// Close stops the server and closes all connections.
func (s *Server) Close() { _ = s.http.Close() }

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	work := r.Header.Get(HeaderWork)
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	if s.breaking.Load() {
		panic(http.ErrAbortHandler)
	}
	if s.leaving.Load() {
		w.Header().Set(engine.HeaderLeaving, "1")
	}
	if backoff := time.Duration(s.backoff.Load()); backoff > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ledger.Record(work, s.address)
	if s.delay > 0 {
		time.Sleep(s.delay)
	}
	if limit := math.Float64frombits(s.limit.Load()); limit > 0 {
		w.Header().Set(engine.HeaderRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	body := fmt.Sprintf("document %s\n", work)
	padding := paddingOf(r)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)+padding))
	if _, err := io.WriteString(w, body); err != nil {
		return // the sender has disconnected
	}
	piece := make([]byte, min(padding, maxPiece))
	for left := padding; left > 0; left -= len(piece) {
		if _, err := w.Write(piece[:min(left, len(piece))]); err != nil {
			return
		}
	}
}

// maxPiece is how much padding is written at once, in bytes.
const maxPiece = 32 << 10

// paddingOf returns how many bytes follow the document in the answer to a request.
func paddingOf(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	if err != nil {
		return 0
	}
	return max(0, n)
}
