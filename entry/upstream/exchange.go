package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/answer"
	"baywall.example/core/bounded"
	"baywall.example/core/clock"
)

const (
	// maxStaleAnswers is how many answers to earlier requests are skipped, interim
	// answers included, before the connection is closed.
	maxStaleAnswers = 4
	// inlineBody is the largest body, in bytes, that is written before the
	// answer is read: it fits into a socket's send buffer. Larger bodies are
	// written while the answer is read, as a backend server may answer before it
	// has read the whole body.
	inlineBody = 16 << 10
	// recheckAfter is how long a connection may wait for its request before it is checked
	// whether the backend server has closed it. It is shorter than any time that servers
	// wait for a request.
	recheckAfter = 100 * time.Millisecond
)

// Request is one request to one backend server.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header whose echo in an answer identifies the request.
	IDHeader string
	// Rejects reports whether an answer rejects a request without running it. Only such an
	// answer may lack the id of the request, as it may be given before the request is read.
	// Nil means that no answer may.
	Rejects func(status int, h http.Header) bool
	// Fresh requests a new connection: an idle one may be closing, and then it
	// cannot be told whether the request ran.
	Fresh bool
	// Check, if not nil, is called when a connection is available, just before the
	// request is written. If it returns an error, the request is not written.
	Check func() error
}

// Answer is a backend server's answer. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Body fails with ErrLost unless it ends as its framing announced and within maxBody.
	Body io.Reader
	// Reused reports whether the connection had carried an earlier request.
	Reused bool
	// Opened is when the connection was opened.
	Opened time.Time
	// Length is the announced length in bytes, -1 if none was announced.
	Length int64
	// Skipped is the number of answers that did not belong to the request and came before.
	Skipped int

	pool  *Pool
	conn  *conn
	resp  *http.Response
	stop  func() bool
	ended bool
}

// Do sends the request and returns once the head of the answer has been read. The
// context bounds the whole exchange, the body included: the connection is closed
// when it ends. The error is ErrNotSent, ErrLost, or that of the request's Check.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, reused, err := p.connect(ctx, r.Fresh)
	if err != nil {
		return nil, err
	}
	ready := clock.Now()
	a := &Answer{pool: p, conn: c, Reused: reused, Opened: c.opened}
	a.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if r.Check != nil {
		if err := r.Check(); err != nil {
			p.release(a)
			return nil, err
		}
	}
	// The check may take long, and the process may be paused. What is sent on a connection that
	// was closed meanwhile would count as lost, though it provably does not run.
	if clock.Since(ready) >= recheckAfter && !c.usable() {
		a.Close()
		return nil, eris.Wrapf(ErrNotSent, "%s closed the connection before the request was sent", p.address)
	}
	if err := a.exchange(r); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// release returns the connection of an exchange that has not begun to the pool.
func (p *Pool) release(a *Answer) {
	if !a.stop() {
		_ = a.conn.Close() // the context has ended
		return
	}
	if !a.Reused {
		a.conn.expires = clock.Now().Add(defaultIdle)
	}
	p.put(a.conn)
}

func (p *Pool) connect(ctx context.Context, fresh bool) (c *conn, reused bool, err error) {
	if !fresh {
		if c := p.take(clock.Now()); c != nil {
			return c, true, nil
		}
	}
	c, err = p.dial(ctx)
	return c, false, err
}

func (a *Answer) exchange(r *Request) error {
	if err := a.send(r); err != nil {
		return lost(err, "write to %s", a.pool.address)
	}
	for range maxStaleAnswers {
		resp, err := a.conn.readHead(r.Method)
		if err != nil {
			return lost(err, "read from %s after %d other answers", a.pool.address, a.Skipped)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		if !r.answeredBy(resp, a.Reused) {
			a.Skipped++
			if err := a.conn.skip(resp); err != nil {
				return lost(err, "answer to another request from %s", a.pool.address)
			}
			continue
		}
		if resp.ContentLength > maxBody {
			return lost(errBodyTooLarge, "read from %s", a.pool.address)
		}
		a.accept(resp)
		return nil
	}
	return eris.Wrapf(ErrLost, "%s: only answers to other requests", a.pool.address)
}

// answeredBy reports whether an answer belongs to the request. One that bears no id may be left
// over from an earlier request, or be additional bytes of a faulty server, on a connection that
// has carried one.
func (r *Request) answeredBy(resp *http.Response, reused bool) bool {
	id, echo := r.Header.Get(r.IDHeader), resp.Header.Get(r.IDHeader)
	if echo != "" || id == "" || !reused {
		return echo == "" || echo == id
	}
	return r.Rejects != nil && r.Rejects(resp.StatusCode, resp.Header)
}

func (a *Answer) accept(resp *http.Response) {
	a.resp = resp
	a.Status = resp.StatusCode
	a.Header = resp.Header
	a.Length = resp.ContentLength
	a.Body = bodyReader{a, bounded.NewReader(resp.Body, maxBody)}
}

func (a *Answer) send(r *Request) error {
	a.conn.BeginRequest()
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		_, err := a.conn.Write(append(head, r.Body...))
		a.conn.EndRequest(err)
		return err
	}
	if _, err := a.conn.Write(head); err != nil {
		return err
	}
	go func() {
		_, err := a.conn.Write(r.Body)
		a.conn.EndRequest(err) // a failed write shows when the answer is read
	}()
	return nil
}

// headBuffer is the initial size of the buffer for a request's head, in bytes. It has room for small
// bodies, too.
const headBuffer = 1 << 10

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(headBuffer)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// bodyReader bounds the body and records when it has ended as announced.
type bodyReader struct {
	a  *Answer
	in *bounded.Reader
}

func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.in.Read(p)
	if err == io.EOF {
		err = r.a.end()
	}
	switch {
	case err == nil, err == io.EOF:
		return n, err
	case errors.Is(err, bounded.ErrTooLarge):
		err = errBodyTooLarge
	}
	return n, lost(err, "read from %s", r.a.pool.address)
}

// end records the end of the body and returns io.EOF, or the error of a malformed trailer.
func (a *Answer) end() error {
	if err := answer.CheckTrailer(a.resp); err != nil {
		return err
	}
	a.ended = true
	return io.EOF
}

// Close ends the exchange. The connection returns to the pool if the whole
// request was written and the whole answer read; otherwise it is closed, which
// tells the backend server to stop.
func (a *Answer) Close() {
	aborted := !a.stop()
	if aborted || !a.reusable() {
		_ = a.conn.Close() // the exchange is over; its outcome is known
		return
	}
	a.conn.expires = clock.Now().Add(idleTime(a.Header))
	a.pool.put(a.conn)
}

// Framed reports whether the answer's body has a length or comes in chunks. A body without
// either ends with its connection, so its end looks the same as that of the backend
// server's process.
func (a *Answer) Framed() bool {
	return a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
}

func (a *Answer) reusable() bool {
	if a.resp == nil || !a.ended || !a.conn.Written() || a.resp.Close {
		return false
	}
	return a.Framed() && a.conn.reader.Buffered() == 0
}

// idleTime returns how long the backend server keeps an idle connection open,
// less a margin.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
