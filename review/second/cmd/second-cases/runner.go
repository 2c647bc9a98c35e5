package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// whole returns the whole body of the answer to a plain request.
func whole(id string) string {
	return strings.Repeat("answer to "+id+"; ", 60)[:800]
}

const streamEvents = 26

// followedPrefix is that of the ids of requests whose answers a case follows; usualWork is the mean time
// of a plain request on the sheet, the work of followed ones its largest.
const (
	followedPrefix = "cut-"
	usualWork      = 60 * time.Millisecond
)

// event returns one event of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

// runRunner is a runner in a process of its own. It tells on standard output which requests it runs,
// has answered in part (HALF) and has answered as a whole (DONE).
func runRunner(args []string) int {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	id := f.String("id", "", "id of the incarnation")
	listen := f.String("listen", "", "IP:port")
	born := f.Int64("born", 0, "Unix time of the start, in ms")
	slots := f.Int("slots", 6, "requests at once")
	work := f.Duration("work", 400*time.Millisecond, "time of a plain request")
	pause := f.Duration("pause", 40*time.Millisecond, "time between two events")
	unframed := f.Bool("unframed", false, "answers to requests that are followed have no length and end with their connection")
	usual := f.Bool("usual", false, "requests that are not followed take the mean time of the sheet")
	_ = f.Parse(args)
	running := make(chan struct{}, *slots)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("X-Instance-Id", *id)
		h.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", len(running), *slots))
		attempt := r.Header.Get("X-Attempt-Id")
		if attempt != "" {
			h.Set("X-Attempt-Id", attempt)
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != *id {
			h.Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/healthz" {
			h.Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"born":%d}`, *born)
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		select {
		case running <- struct{}{}:
			defer func() { <-running }()
		case <-r.Context().Done():
			return
		case <-time.After(150 * time.Millisecond):
			h.Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		followed := strings.HasPrefix(attempt, followedPrefix)
		ends := *unframed && followed
		pace := *work
		if !followed && *usual {
			pace = usualWork
		}
		if ends {
			fmt.Println("UNFRAMED", attempt)
		}
		fmt.Println("RUN", attempt)
		h.Set("X-Server-Seal", *id+"."+attempt)
		var out io.Writer = w
		flush := http.NewResponseController(w).Flush
		stream := strings.HasPrefix(r.URL.Path, "/note/")
		if stream {
			h.Set("Content-Type", "text/event-stream")
		}
		switch {
		case ends:
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			_ = h.Write(conn)
			_, _ = io.WriteString(conn, "Connection: close\r\n\r\n")
			out, flush = conn, func() error { return nil }
		case !stream:
			h.Set("Content-Length", strconv.Itoa(len(whole(attempt))))
		}
		if stream {
			from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if absent
			for n := from + 1; n <= streamEvents; n++ {
				time.Sleep(*pause)
				if _, err := io.WriteString(out, event(attempt, n)); err != nil || flush() != nil {
					return
				}
				if n == from+8 {
					fmt.Println("HALF", attempt)
				}
			}
		} else {
			body := whole(attempt)
			time.Sleep(pace / 4)
			_, _ = io.WriteString(out, body[:len(body)/2])
			_ = flush()
			fmt.Println("HALF", attempt)
			time.Sleep(pace * 3 / 4)
			_, _ = io.WriteString(out, body[len(body)/2:])
		}
		fmt.Println("DONE", attempt)
	})
	ln, err := net.Listen("tcp4", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	_ = http.Serve(ln, handler)
	return 0
}
