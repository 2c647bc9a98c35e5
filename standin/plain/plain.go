// Package plain is a stand-in for an ordinary HTTP service: it answers with a
// document about the work asked for, after a short time.
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
	http    *http.Server
	ledger  *ledger.Ledger
	delay   time.Duration
	address string
	limit   atomic.Uint64 // bits of the requests a second that it names, 0 = none
	rest    atomic.Int64  // for which it asks each request that it turns away, 0 = it serves
	leaving atomic.Bool   // it says that it leaves
	reached atomic.Int64  // requests so far
}

// HeaderWork names the caller's id of the work.
const HeaderWork = "X-Work"

// Serve listens on the address; every answer takes the delay.
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

// Limit has the server name from now on how many requests a second it takes, 0 = none.
func (s *Server) Limit(perSecond float64) { s.limit.Store(math.Float64bits(perSecond)) }

// Rest has the server turn requests away from now on and ask for so much rest, 0 = it serves.
func (s *Server) Rest(d time.Duration) { s.rest.Store(int64(d)) }

// Leave has the server say from now on that it leaves.
func (s *Server) Leave() { s.leaving.Store(true) }

// Reached returns how many requests have reached the server.
func (s *Server) Reached() int64 { return s.reached.Load() }

// Address is where the server listens.
func (s *Server) Address() string { return s.address }

// Close stops serving and cuts all connections.
func (s *Server) Close() { _ = s.http.Close() }

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	work := r.Header.Get(HeaderWork)
	_, _ = io.Copy(io.Discard, r.Body)
	s.reached.Add(1)
	if s.leaving.Load() {
		w.Header().Set(engine.HeaderLeaving, "1")
	}
	if rest := time.Duration(s.rest.Load()); rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ledger.Run(work, s.address)
	if s.delay > 0 {
		time.Sleep(s.delay)
	}
	if limit := math.Float64frombits(s.limit.Load()); limit > 0 {
		w.Header().Set(engine.HeaderRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	body := fmt.Sprintf("document %s\n", work)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}
