// Command review-runner is a stand-in of a runner of a plain service, in a process of its own
// so that it can be killed. It prints a line for each request that it begins and ends to run.
//
// Every answer carries the runner's seal and the id of the attempt. One answer in a number
// that can be set has no length and ends with its connection; its first half is sent when the
// work begins, its second half when the work is done.
package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"baywall.example/review/rig"
)

const (
	usualWork = 60 * time.Millisecond
	longWork  = 400 * time.Millisecond // of requests whose answer has no length
	// maxWait is how long a request waits for a slot before it is rejected as not run.
	maxWait = 150 * time.Millisecond
)

type runner struct {
	id       string
	slots    chan struct{}
	unframed int64 // one answer in that many has no length, 0 = none
	requests atomic.Int64
	mu       sync.Mutex // guards standard output
}

func main() {
	id := flag.String("id", "", "id of this incarnation")
	address := flag.String("address", "", "IP:port to listen on")
	slots := flag.Int("slots", 6, "requests that run at the same time")
	unframed := flag.Int64("unframed", 0, "one answer in that many has no length, 0 = none")
	flag.Parse()
	ln, err := net.Listen("tcp4", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	r := &runner{id: *id, slots: make(chan struct{}, *slots), unframed: *unframed}
	r.say("listening")
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Second}
	fmt.Fprintln(os.Stderr, server.Serve(ln))
}

func (r *runner) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// ServeHTTP answers health checks and requests.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("X-Instance-Id", r.id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", len(r.slots), cap(r.slots)))
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return // the sender has disconnected
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-req.Context().Done():
		return
	case <-timer.C:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !strings.HasPrefix(req.URL.Path, "/healthz") {
		r.run(w, req, id)
	}
}

// run runs a request and answers it.
func (r *runner) run(w http.ResponseWriter, req *http.Request, id string) {
	body := rig.PlainBody(id)
	w.Header().Set("X-Server-Seal", rig.Seal(r.id, id))
	if r.unframed == 0 || r.requests.Add(1)%r.unframed != 0 {
		r.say("runs %s", id)
		time.Sleep(usualWork)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body) // the sender may have disconnected
		r.say("answered %s", id)
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // not reached: the server speaks HTTP/1.1
	}
	defer conn.Close()
	r.say("runs %s", id)
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffer) // an error shows in Flush
	fmt.Fprintf(buffer, "Connection: close\r\n\r\n%s", body[:len(body)/2])
	if buffer.Flush() != nil {
		return
	}
	r.say("half %s", id)
	time.Sleep(longWork)
	if _, err := conn.Write(body[len(body)/2:]); err == nil {
		r.say("answered %s", id)
	}
}
