// Package load plays the callers of a site and checks what they get: every
// answer must be whole and belong to its request, every refusal truthful.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"baywall.example/entry/api"
	"baywall.example/standin/engine"
	"baywall.example/standin/plain"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	Cut      Outcome = "cut" // the answer stopped visibly and could not be resumed
)

// Request is one piece of work to ask for.
type Request struct {
	Work          string
	Service       string
	Team          string
	Stream        bool // of a model engine; otherwise a plain document
	NonIdempotent bool
	Prefix        string
	Prompt        int
	Tokens        int
}

// Result is what the caller saw.
type Result struct {
	Request
	Outcome    Outcome
	Reason     string
	Crossed    bool // the answer was not, or not only, its own
	FirstToken time.Duration
	Total      time.Duration
	Sends      int
	Resumes    int
	Called     time.Time
	Returned   time.Time
}

// maxSends is how often a caller sends one request.
const maxSends = 4

// Caller asks entry VMs for addresses and sends requests. It is safe for
// concurrent use.
type Caller struct {
	client    *http.Client
	bootstrap []string

	mu    sync.Mutex
	cache map[string]cachedAnswer
	next  int
}

type cachedAnswer struct {
	answer  api.EntriesAnswer
	expires time.Time
}

// NewCaller returns a caller that connects from the IP, and first asks the
// bootstrap addresses which ones to use.
func NewCaller(ip string, bootstrap []string) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	if ip != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
	return &Caller{
		client:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 256, DisableCompression: true}},
		bootstrap: bootstrap,
		cache:     make(map[string]cachedAnswer),
	}
}

// Entries returns the addresses for a service, from the cache while it lasts.
// With tickets asked for it always asks anew.
func (c *Caller) Entries(ctx context.Context, service string, tickets int) (api.EntriesAnswer, error) {
	c.mu.Lock()
	cached, ok := c.cache[service]
	c.mu.Unlock()
	if ok && tickets == 0 && time.Now().Before(cached.expires) {
		return cached.answer, nil
	}
	addresses := c.bootstrap
	if ok {
		addresses = nil
		for _, e := range cached.answer.Entries {
			addresses = append(addresses, e.Address)
		}
		addresses = append(addresses, c.bootstrap...)
	}
	var errs []error
	for i := range min(len(addresses), 2*maxSends) {
		address := addresses[(c.turn()+i)%len(addresses)]
		answer, err := c.lookup(ctx, address, service, tickets)
		if err == nil {
			c.mu.Lock()
			c.cache[service] = cachedAnswer{answer, time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)}
			c.mu.Unlock()
			return answer, nil
		}
		errs = append(errs, err)
	}
	return api.EntriesAnswer{}, errors.Join(errs...)
}

func (c *Caller) turn() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.next
}

func (c *Caller) lookup(ctx context.Context, address, service string, tickets int) (api.EntriesAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	query := url.Values{"service": {service}, "tickets": {fmt.Sprint(tickets)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries?"+query.Encode(), nil)
	if err != nil {
		return api.EntriesAnswer{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return api.EntriesAnswer{}, err
	}
	defer resp.Body.Close()
	var answer api.EntriesAnswer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, err
	}
	if len(answer.Entries) == 0 || tickets > 0 && len(answer.Tickets) == 0 {
		return answer, fmt.Errorf("%s: no entries or tickets", address)
	}
	return answer, nil
}

// Do sends the request, again where that is safe, until it has an outcome.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	s := &session{caller: c, result: Result{Request: r, Outcome: NotRun}, start: time.Now()}
	s.run(ctx)
	s.result.Called, s.result.Returned = s.start, time.Now()
	s.result.Total = s.result.Returned.Sub(s.start)
	return s.result
}

// session is one request of one caller.
type session struct {
	caller   *Caller
	result   Result
	start    time.Time
	ticket   string
	maybeRan bool
	body     bytes.Buffer // of the answer so far
	place    string       // where the answer can be resumed
}

func (s *session) run(ctx context.Context) {
	r := &s.result
	tickets := 0
	if r.NonIdempotent {
		tickets = 1
	}
	answer, err := s.caller.Entries(ctx, r.Service, tickets)
	if err != nil {
		r.Reason = "no entries: " + err.Error()
		return
	}
	if r.NonIdempotent {
		s.ticket = answer.Tickets[0]
	}
	for i := range maxSends {
		address := answer.Entries[i%len(answer.Entries)].Address
		again, pause := s.send(ctx, address)
		if !again {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// refuse notes a refusal; it is not-run only if no earlier send may have run.
func (s *session) refuse(outcome Outcome, reason string) {
	if outcome == Unknown {
		s.maybeRan = true
	}
	s.result.Outcome = NotRun
	if s.maybeRan {
		s.result.Outcome = Unknown
	}
	s.result.Reason = reason
}

// send makes one HTTP request. It reports whether to send again, and when.
func (s *session) send(ctx context.Context, address string) (again bool, pause time.Duration) {
	s.result.Sends++
	req, err := s.newRequest(ctx, address)
	if err != nil {
		s.result.Reason = err.Error()
		return false, 0
	}
	resp, err := s.caller.client.Do(req)
	if err != nil {
		var op *net.OpError
		dialed := !errors.As(err, &op) || op.Op != "dial"
		if dialed && !s.redeemable() {
			s.maybeRan = true
		}
		s.refuse(s.lostOutcome(dialed), "connection lost: "+err.Error())
		return true, 0
	}
	defer resp.Body.Close()
	if outcome := resp.Header.Get(api.HeaderOutcome); outcome != "" {
		return s.refused(resp, Outcome(outcome))
	}
	s.place = resp.Header.Get(api.HeaderAttempt)
	s.body.Reset()
	s.read(resp.Body)
	if s.whole() {
		s.answered()
		return false, 0
	}
	if s.resume(ctx) {
		s.answered()
		return false, 0
	}
	s.result.Outcome = Cut
	s.result.Reason = "answer cut and not resumed"
	return false, 0
}

// redeemable reports whether a resend cannot run the work a second time.
func (s *session) redeemable() bool { return s.ticket != "" }

func (s *session) lostOutcome(dialed bool) Outcome {
	if dialed {
		return Unknown
	}
	return NotRun
}

func (s *session) refused(resp *http.Response, outcome Outcome) (again bool, pause time.Duration) {
	reason := resp.Header.Get(api.HeaderReason)
	_, _ = io.Copy(io.Discard, resp.Body)
	if s.redeemable() && outcome == NotRun {
		s.maybeRan = false // the ticket's agent has proved it
	}
	s.refuse(outcome, reason)
	if s.redeemable() && outcome == Unknown && reason != "agent-replaced" {
		return true, 200 * time.Millisecond // safe: the ticket runs at most once
	}
	return false, 0
}

func (s *session) newRequest(ctx context.Context, address string) (*http.Request, error) {
	r := s.result.Request
	path, body := "/documents", []byte(nil)
	if r.Stream {
		path = "/generate"
		body, _ = json.Marshal(engine.Prompt{Work: r.Work, Prefix: r.Prefix, Prompt: r.Prompt, Tokens: r.Tokens})
		// The prompt's prefix comes first in the body, as in a real prompt.
		body = append([]byte(`{"prefix":"`+r.Prefix+`",`), body[1:]...)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+r.Service+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(api.HeaderTeam, r.Team)
	req.Header.Set(plain.HeaderWork, r.Work)
	if s.ticket != "" {
		req.Header.Set(api.HeaderIdempotencyKey, s.ticket)
	}
	return req, nil
}

// read takes in the answer's body until it ends or breaks.
func (s *session) read(body io.Reader) {
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		if n > 0 && s.result.FirstToken == 0 {
			s.result.FirstToken = time.Since(s.start)
		}
		s.body.Write(buf[:n])
		if err != nil {
			return
		}
	}
}

func (s *session) whole() bool {
	if s.result.Stream {
		return strings.Contains(s.body.String(), "[DONE")
	}
	return strings.HasSuffix(s.body.String(), "\n")
}

// resume gets the rest of a cut answer through another entry VM.
func (s *session) resume(ctx context.Context) bool {
	for _, address := range s.caller.bootstrap {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/resume", nil)
		if err != nil {
			return false
		}
		req.Header.Set(api.HeaderAttempt, s.place)
		req.Header.Set(api.HeaderOffset, fmt.Sprint(s.body.Len()))
		resp, err := s.caller.client.Do(req)
		if err != nil {
			continue
		}
		s.result.Resumes++
		if resp.Header.Get(api.HeaderOutcome) == "" {
			s.read(resp.Body)
		}
		resp.Body.Close()
		if s.whole() {
			return true
		}
	}
	return false
}

// answered checks that the answer is whole and the caller's own.
func (s *session) answered() {
	s.result.Outcome = Answered
	text := s.body.String()
	if !s.result.Stream {
		s.result.Crossed = text != "document "+s.result.Work+"\n"
		return
	}
	var want strings.Builder
	for n := range s.result.Tokens {
		fmt.Fprintf(&want, "id: %d\ndata: %s %d\n\n", n, s.result.Work, n)
	}
	fmt.Fprintf(&want, "data: [DONE %s]\n\n", s.result.Work)
	s.result.Crossed = text != want.String()
}
