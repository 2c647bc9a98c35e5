package rig

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	plainWork = 60 * time.Millisecond
	// plainWait is how long a request waits for a slot before it is rejected as not run.
	plainWait = 150 * time.Millisecond
)

// PlainRunner is a sound runner of a plain service, within this process.
type PlainRunner struct {
	ID    string
	Slots chan struct{}
	// Runs is called when a request begins to run, with its id.
	Runs func(r *http.Request, id string)
	// Answered, if not nil, is called when its answer has been written.
	Answered func(r *http.Request, id string)
}

// ServeHTTP answers health checks and requests.
func (p *PlainRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", p.ID)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", len(p.Slots), cap(p.Slots)))
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.ID {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the sender has disconnected
	}
	timer := time.NewTimer(plainWait)
	defer timer.Stop()
	select {
	case p.Slots <- struct{}{}:
		defer func() { <-p.Slots }()
	case <-r.Context().Done():
		return
	case <-timer.C:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/healthz") {
		return
	}
	p.Runs(r, id)
	time.Sleep(plainWork)
	body := PlainBody(id)
	w.Header().Set("X-Server-Seal", Seal(p.ID, id))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body) // the sender may have disconnected
	if p.Answered != nil {
		p.Answered(r, id)
	}
}
