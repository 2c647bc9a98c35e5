package inbound

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/bounded"
)

// Refusal is the answer to a request that would exceed a limit. The request has not run.
type Refusal struct {
	Status int
	Reason Reason
}

// Refuser answers a request with a refusal.
type Refuser func(w http.ResponseWriter, r *http.Request, refusal *Refusal)

// retryAfter is the value of Retry-After, in seconds, in refusals for lack of room.
const retryAfter = "1"

// RefusePlainly is a Refuser that answers in plain text.
func RefusePlainly(w http.ResponseWriter, _ *http.Request, refusal *Refusal) {
	if refusal.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	http.Error(w, http.StatusText(refusal.Status)+": "+refusal.Reason.String(), refusal.Status)
}

// Serve serves HTTP until the listener is closed. The refuser answers requests that exceed a limit
// with their heads; nil means RefusePlainly.
func (l *Listener) Serve(handler http.Handler, refuse Refuser) error {
	if refuse == nil {
		refuse = RefusePlainly
	}
	l.mu.Lock()
	l.server = &http.Server{
		Handler:        &requestHandler{listener: l, next: handler, refuse: refuse},
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:      connState,
		MaxHeaderBytes: maxHeaderBytes + 2*readBuffer, // the connections have lower limits
		ErrorLog:       log.New(errorLog{l.set.log}, "", 0),
	}
	server := l.server
	l.mu.Unlock()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// connState ends the request of a connection that becomes idle.
func connState(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*Conn); ok && state == http.StateIdle {
		c.end()
	}
}

// errorLog writes what the HTTP library logs, errors of single connections, at the debug level.
type errorLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (e errorLog) Write(line []byte) (int, error) {
	e.log.Debug().Str("text", bounded.Text(string(line))).Msg("HTTP server")
	return len(line), nil
}

// requestHandler checks a request's head before it is handled.
type requestHandler struct {
	listener *Listener
	next     http.Handler
	refuse   Refuser
}

// ServeHTTP implements http.Handler.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if refusal := c.begin(r); refusal != nil {
		h.listener.counts.add(refusal.Reason)
		CloseAfter(w, r)
		h.refuse(w, r, refusal)
	} else {
		h.next.ServeHTTP(w, r)
	}
	c.handled()
	if c.lingers.Load() {
		r.Body = http.NoBody // else the library sleeps before it closes the connection, even if that is ended
	}
}

// CloseAfter makes the connection close after the answer to a request that is not read to its end.
func CloseAfter(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	if c := connOf(r.Context()); c != nil {
		c.lingers.Store(true)
		_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // fails if the client has left
		c.listener.move(c, phaseLingering)
	}
}

// Forward marks a request as one whose answer comes from a backend server, which waits for the client.
func Forward(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.forwards.Store(true)
	}
}

// Watch marks a request as one that watches for changes: its connection can be closed in favor of
// another one.
func Watch(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.listener.move(c, phaseWatching)
	}
}

// Shutdown stops accepting and waits until no request is in progress. Clients that are silent or
// slow with a head get drainTimeout. It returns the context's error if that ends first.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	server := l.server
	l.mu.Unlock()
	if server == nil {
		return l.Close()
	}
	return server.Shutdown(ctx)
}

// Abort closes the listener and the connections of all requests.
func (l *Listener) Abort() error {
	l.aborted.Store(true)
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	if server == nil {
		return l.Close()
	}
	return server.Close()
}
