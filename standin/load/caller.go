// Package load simulates the callers of a site and checks the responses: every answer must
// be complete and belong to its request, and a request refused as not run must not have run.
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

// Outcome is the final state of a request as its caller knows it.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	Cut      Outcome = "cut" // the answer was visibly truncated and could not be resumed
)

// Request is a request for one unit of work.
type Request struct {
	Work          string
	Service       string
	Team          string
	Stream        bool // an answer streamed by a model engine; otherwise a plain document
	NonIdempotent bool
	Prefix        string
	Prompt        int
	Tokens        int
}

// Result is the result of a request as its caller saw it.
type Result struct {
	Request
	Outcome     Outcome
	Reason      string
	WrongAnswer bool // the answer differs from the one that belongs to the request
	FirstToken  time.Duration
	Total       time.Duration
	Sends       int
	Resumes     int
	Called      time.Time
	Returned    time.Time
}

// maxSends is the maximum number of times that a caller sends one request.
const maxSends = 4

// Caller discovers the addresses of entry VMs and sends requests to them. It is safe for
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

// NewCaller returns a caller that connects from the IP, if it is not empty, and discovers
// entry VMs through the bootstrap addresses.
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

// Entries returns the addresses for a service, from the cache until its TTL ends. A call that
// requests tickets always asks an entry VM.
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
		address := addresses[(c.nextIndex()+i)%len(addresses)]
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

func (c *Caller) nextIndex() int {
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

// Do sends the request, resends it where that is safe, and returns its result.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	s := &session{caller: c, result: Result{Request: r, Outcome: NotRun}, start: time.Now()}
	s.run(ctx)
	s.result.Called, s.result.Returned = s.start, time.Now()
	s.result.Total = s.result.Returned.Sub(s.start)
	return s.result
}

// session is the state of one request of one caller.
type session struct {
	caller    *Caller
	result    Result
	start     time.Time
	ticket    string
	maybeRan  bool
	body      bytes.Buffer // part of the answer received so far
	attemptID string       // identifies the attempt whose answer can be resumed
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
		retry, delay := s.send(ctx, address)
		if !retry {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// recordRefusal records a refusal. The outcome is not-run only if no earlier send may have
// run.
func (s *session) recordRefusal(outcome Outcome, reason string) {
	if outcome == Unknown {
		s.maybeRan = true
	}
	s.result.Outcome = NotRun
	if s.maybeRan {
		s.result.Outcome = Unknown
	}
	s.result.Reason = reason
}

// send makes one HTTP request. It reports whether to send the request again, and after
// which delay.
func (s *session) send(ctx context.Context, address string) (retry bool, delay time.Duration) {
	s.result.Sends++
	req, err := s.newRequest(ctx, address)
	if err != nil {
		s.result.Reason = err.Error()
		return false, 0
	}
	resp, err := s.caller.client.Do(req)
	if err != nil {
		var op *net.OpError
		connected := !errors.As(err, &op) || op.Op != "dial"
		if connected && !s.resendIsSafe() {
			s.maybeRan = true
		}
		s.recordRefusal(s.outcomeAfterError(connected), "connection lost: "+err.Error())
		return true, 0
	}
	defer resp.Body.Close()
	if outcome := resp.Header.Get(api.HeaderOutcome); outcome != "" {
		return s.handleRefusal(resp, Outcome(outcome))
	}
	s.attemptID = resp.Header.Get(api.HeaderAttempt)
	s.body.Reset()
	s.readBody(resp.Body)
	if s.complete() {
		s.checkAnswer()
		return false, 0
	}
	if s.resume(ctx) {
		s.checkAnswer()
		return false, 0
	}
	s.result.Outcome = Cut
	s.result.Reason = "answer cut and not resumed"
	return false, 0
}

// resendIsSafe reports whether a resend cannot run the work a second time. With a ticket it
// cannot: a ticket runs at most once.
func (s *session) resendIsSafe() bool { return s.ticket != "" }

func (s *session) outcomeAfterError(connected bool) Outcome {
	if connected {
		return Unknown
	}
	return NotRun
}

func (s *session) handleRefusal(resp *http.Response, outcome Outcome) (retry bool, delay time.Duration) {
	reason := resp.Header.Get(api.HeaderReason)
	_, _ = io.Copy(io.Discard, resp.Body)
	if s.resendIsSafe() && outcome == NotRun {
		s.maybeRan = false // the ticket's agent has confirmed that the work did not run
	}
	s.recordRefusal(outcome, reason)
	if s.resendIsSafe() && outcome == Unknown && reason != "agent-replaced" {
		return true, 200 * time.Millisecond // safe: a ticket runs at most once
	}
	return false, 0
}

func (s *session) newRequest(ctx context.Context, address string) (*http.Request, error) {
	r := s.result.Request
	path, body := "/documents", []byte(nil)
	if r.Stream {
		path = "/generate"
		body, _ = json.Marshal(engine.Prompt{Work: r.Work, Prefix: r.Prefix, Prompt: r.Prompt, Tokens: r.Tokens})
		// The body starts with the prompt's prefix, as that of a real prompt does.
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

// readBody reads the body of the answer until its end or an error.
func (s *session) readBody(body io.Reader) {
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

func (s *session) complete() bool {
	if s.result.Stream {
		return strings.Contains(s.body.String(), "[DONE")
	}
	return strings.HasSuffix(s.body.String(), "\n")
}

// resume reads the rest of a truncated answer through any entry VM that serves it.
func (s *session) resume(ctx context.Context) bool {
	for _, address := range s.caller.bootstrap {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/resume", nil)
		if err != nil {
			return false
		}
		req.Header.Set(api.HeaderAttempt, s.attemptID)
		req.Header.Set(api.HeaderOffset, fmt.Sprint(s.body.Len()))
		resp, err := s.caller.client.Do(req)
		if err != nil {
			continue
		}
		s.result.Resumes++
		if resp.Header.Get(api.HeaderOutcome) == "" {
			s.readBody(resp.Body)
		}
		resp.Body.Close()
		if s.complete() {
			return true
		}
	}
	return false
}

// checkAnswer records that the request was answered and checks that the answer belongs to
// it.
func (s *session) checkAnswer() {
	s.result.Outcome = Answered
	text := s.body.String()
	if !s.result.Stream {
		s.result.WrongAnswer = text != "document "+s.result.Work+"\n"
		return
	}
	var want strings.Builder
	for n := range s.result.Tokens {
		fmt.Fprintf(&want, "id: %d\ndata: %s %d\n\n", n, s.result.Work, n)
	}
	fmt.Fprintf(&want, "data: [DONE %s]\n\n", s.result.Work)
	s.result.WrongAnswer = text != want.String()
}
