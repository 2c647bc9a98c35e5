package engine

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"baywall.example/agent/engine"
	"baywall.example/core/rendezvous"
	"baywall.example/standin/ledger"
)

// Prompt is the body of a request to the engine.
type Prompt struct {
	Work   string `json:"work"`   // work id assigned by the caller
	Prefix string `json:"prefix"` // beginning that the prompt shares with others
	Prompt int    `json:"prompt"` // prompt length, in tokens
	Tokens int    `json:"tokens"` // answer length, in tokens
}

// maxTokens is the maximum length of an answer.
const maxTokens = 4096

// Server is the HTTP interface of one rank.
type Server struct {
	rank    *Rank
	ledger  *ledger.Ledger
	address string

	mu   sync.Mutex
	http *http.Server
}

// Serve starts the HTTP server of one rank on the address.
func Serve(address string, r *Rank, l *ledger.Ledger) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{rank: r, ledger: l, address: address}
	s.serve(ln)
	return s, nil
}

func (s *Server) serve(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /baywall/load", s.load)
	mux.HandleFunc("GET /baywall/experts", s.experts)
	mux.HandleFunc("POST /baywall/experts", s.order)
	mux.HandleFunc("POST /", s.generate)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // returns after Close
}

// Close stops serving and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
}

// CrashWork is the id of a work whose execution ends the engine's process. A new process
// listens on the same address after crashDowntime.
const CrashWork = "lethal"

const crashDowntime = 200 * time.Millisecond

// crash simulates the end of the engine's process and the start of a new one.
func (s *Server) crash() {
	s.Close()
	time.Sleep(crashDowntime)
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return // the fleet has been stopped
	}
	s.serve(ln)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.rank.group.mu.Lock()
	report := s.rank.report
	s.rank.group.mu.Unlock()
	_ = json.NewEncoder(w).Encode(report)
}

func (s *Server) experts(w http.ResponseWriter, r *http.Request) {
	s.rank.group.mu.Lock()
	state := s.rank.state(r.URL.Query().Get("counts") == "true")
	s.rank.group.mu.Unlock()
	_ = json.NewEncoder(w).Encode(state)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state, problem := s.rank.order(o)
	if problem != "" {
		http.Error(w, problem, http.StatusConflict)
		return
	}
	_ = json.NewEncoder(w).Encode(state)
}

// generate streams an answer as server-sent events, one per token.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var p Prompt
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil || p.Tokens < 1 || p.Tokens > maxTokens {
		http.Error(w, "bad prompt", http.StatusBadRequest)
		return
	}
	s.ledger.Record(p.Work, s.address)
	if p.Work == CrashWork {
		go s.crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	j := &job{
		ctx: r.Context(), priority: priority, prompt: p.Prompt, remaining: p.Tokens,
		prefix: rendezvous.Hash(p.Prefix), tokens: make(chan int, p.Tokens),
	}
	s.rank.submit(j)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case n, ok := <-j.tokens:
			if !ok {
				fmt.Fprintf(w, "data: [DONE %s]\n\n", p.Work)
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, p.Work, n)
			_ = flush.Flush()
		}
	}
}
