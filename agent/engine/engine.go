// Package engine is the HTTP client that sends requests and orders to one backend server.
//
// Each call of Do hands a request over exactly once. net/http's Transport retries a
// request by itself when a reused connection fails before an answer arrives, if it
// considers the request idempotent: a GET, or any request with an Idempotency-Key. A
// non-idempotent request therefore gets its own connection, which is never reused, so
// the transport does not retry it.
//
// A connection whose answer was not read to the end is closed instead of reused, so a
// late answer cannot reach another request. If the backend server echoes the request id,
// the echo is checked.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/answer"
	"baywall.example/core/bounded"
	"baywall.example/core/clock"
	"baywall.example/core/notice"
	"baywall.example/core/socket"
	"baywall.example/core/wire"
)

// Errors of the engine layer.
var (
	// ErrDial means that no connection was established, or that nothing was sent on it: the
	// request did not run and never will.
	ErrDial = eris.New("engine: unreachable")
	// ErrFailed means that the request was, or may have been, handed over and
	// there was no complete answer.
	ErrFailed = eris.New("engine: failed")
	// ErrWrongRequest means that the answer carries the id of another request.
	ErrWrongRequest = eris.New("engine: answer to another request")
	// ErrRefused means that the engine refused an order.
	ErrRefused = eris.New("engine: order refused")
)

// HeaderRequestID carries the attempt's id to the backend server.
const HeaderRequestID = "X-Request-Id"

// HeaderPriority carries the team's priority to the backend server.
const HeaderPriority = "X-Priority"

// HeaderRateLimit is set in an answer to the number of requests per second that the backend
// server takes, as a decimal. It applies as long as its answers carry the header.
const HeaderRateLimit = "X-Rate-Limit"

// HeaderLeaving is a boolean in the answers of a backend server that is shutting down.
const HeaderLeaving = "X-Leaving"

// noticeFields are the header fields that carry a backend server's notices.
var noticeFields = notice.Fields{Limit: HeaderRateLimit, Leaving: HeaderLeaving}

// ReadNotice parses the notice in an answer. Header fields that cannot be parsed are left out of
// the notice and reported in the error.
func ReadNotice(resp *http.Response, now time.Time) (notice.Notice, error) {
	return noticeFields.Read(resp.StatusCode, resp.Header, now)
}

const (
	dialTimeout     = time.Second
	exchangeTimeout = 2 * time.Second
	maxIdle         = 256
	// maxReportSize bounds an engine's report, in bytes.
	maxReportSize = 4 << 20
	// maxAnswerSize bounds the body of an answer to a caller's request, in bytes.
	maxAnswerSize = bounded.MaxAnswer
	// excerptSize is how much of a refused order's answer is quoted, in bytes.
	excerptSize = 200
)

// Client talks to one backend server. It is safe for concurrent use.
type Client struct {
	base       string
	address    string
	keepAlive  answer.Transport
	singleUse  answer.Transport
	monitor    answer.Transport // has one connection, which is kept open
	endCounter endCounter
	// receiveBuffer is the size of the receive buffer of new connections, in bytes.
	receiveBuffer atomic.Int64
}

// SetReceiveBuffer sets the size of the receive buffer of new connections, in bytes, of which the kernel
// takes the double. 0 leaves it as it is. Answers whose readers are slow wait there.
func (c *Client) SetReceiveBuffer(size int) { c.receiveBuffer.Store(int64(size)) }

func (c *Client) limitBuffer(_, _ string, raw syscall.RawConn) error {
	return socket.SetBuffers(raw, int(c.receiveBuffer.Load()), 0)
}

// New returns a client of the backend server at the address.
func New(address string) *Client {
	c := &Client{base: "http://" + address, address: address}
	dialer := &net.Dialer{Timeout: dialTimeout, Control: c.limitBuffer}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		ended := c.endCounter.isDown()
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, errors.Join(ErrDial, err)
		}
		if ended { // it runs again, and its next end counts even if it answers nothing before
			c.endCounter.markRunning()
		}
		return track(conn), nil
	}
	transport := func() answer.Transport {
		return answer.NewTransport(&http.Transport{DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHead})
	}
	c.keepAlive, c.singleUse, c.monitor = transport(), transport(), transport()
	c.keepAlive.MaxIdleConnsPerHost = maxIdle
	c.singleUse.DisableKeepAlives = true
	c.monitor.MaxConnsPerHost = 1
	return c
}

// Request is a request as the caller sent it.
type Request struct {
	ID         string
	Method     string
	Path       string // with query
	Headers    []*wire.Header
	Body       []byte
	Idempotent bool
	Priority   int
}

// Do hands the request over and returns the answer. The caller closes its body. The
// error is ErrDial if the request provably did not run.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, eris.Wrapf(ErrDial, "%s: %v", r.Path, err)
	}
	for _, h := range r.Headers {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderPriority, fmt.Sprint(r.Priority))
	transport := c.keepAlive
	if !r.Idempotent {
		transport = c.singleUse
	}
	var used exchangeConns
	sent := clock.Now()
	resp, err := transport.RoundTrip(used.attach(req))
	if err != nil {
		if used.abandon() {
			return nil, eris.Wrapf(ErrDial, "%s (connection: %v)", bounded.ErrorText(err), &used)
		}
		return nil, c.ClassifyFailure(ctx, fmt.Errorf("%s (connection: %v)", bounded.ErrorText(err), &used))
	}
	c.endCounter.markRunning()
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != r.ID {
		resp.Body.Close()
		return nil, eris.Wrapf(ErrWrongRequest, "sent %s, got %s", r.ID, echo)
	}
	resp.Body = boundedBody{bounded.NewReader(resp.Body, maxAnswerSize), resp.Body}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		resp.Body = provenBody{ReadCloser: resp.Body, client: c, ctx: ctx, sent: sent}
	}
	return resp, nil
}

// boundedBody is the body of an answer, which fails beyond maxAnswerSize.
type boundedBody struct {
	io.Reader
	io.Closer
}

// Load is the load that a backend server reports. It lags behind the actual load.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Load    float64 `json:"load"` // 0 = idle, 1 = full
}

// loadPath is the path of a backend server's load.
const loadPath = "/baywall/load"

// Load reads the backend server's load. It uses the monitoring connection, which is open as long
// as the load is read more often than the server closes idle connections.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	return l, c.exchange(ctx, c.monitor, http.MethodGet, loadPath, nil, &l)
}

// ExpertState is an engine's report of its expert maps.
type ExpertState struct {
	// Group is the name of the group that the engine is a rank of, "" if the engine does
	// not know it.
	Group    string    `json:"-"`
	Fence    uint64    `json:"fence"`
	Step     uint64    `json:"step"`     // the step that runs, or the next one
	Active   uint64    `json:"active"`   // version of the map in use
	Loaded   uint64    `json:"loaded"`   // version loaded in addition, 0 = none
	Hold     uint64    `json:"hold"`     // step that the engine must not begin, 0 = none
	Activate uint64    `json:"activate"` // step at which Loaded becomes active
	Counts   [][]int64 `json:"counts"`   // tokens by layer and expert since the last read
	Speed    float64   `json:"speed"`    // measured, 1 = nominal
	// Epoch is the number of the group's formation; all ranks begin each epoch with
	// the initial map. 0 if the engine does not count epochs.
	Epoch uint64 `json:"epoch"`
	// Running is the number of requests in the rank's batch, 0 if the engine does
	// not report it.
	Running   int       `json:"running"`
	ActiveMap [][]int32 `json:"activemap"` // slots by layer, of all ranks or only this one
	LoadedMap [][]int32 `json:"loadedmap"`
}

// Order is an order to an engine about its expert map. Each order carries a fencing
// number, and a step if the kind needs one, so that an order that arrives late has no
// effect.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Fence   uint64    `json:"fence"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Epoch   uint64    `json:"-"` // in which the order is valid, see ExpertState
	Map     [][]int32 `json:"map,omitempty"`
}

// OrderKind is the type of an Order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad     OrderKind = "load"     // load Map in addition to the active one
	OrderHold     OrderKind = "hold"     // do not begin Step until released
	OrderActivate OrderKind = "activate" // use Version from Step on
	OrderRelease  OrderKind = "release"  // lift the hold of Step
)

// Experts reads the engine's expert state.
func (c *Client) Experts(ctx context.Context) (ExpertState, error) { return c.Observe(ctx, false) }

// Loaded reads the engine's expert state. It need not wait, because the engine answers an
// order to load experts only once they are loaded.
func (c *Client) Loaded(ctx context.Context, _ uint64) (ExpertState, error) { return c.Experts(ctx) }

// Observe reads the engine's expert state, with token counts if counts is true.
func (c *Client) Observe(ctx context.Context, counts bool) (ExpertState, error) {
	var s ExpertState
	return s, c.exchange(ctx, c.keepAlive, http.MethodGet, fmt.Sprintf("/baywall/experts?counts=%t", counts), nil, &s)
}

// Order sends an order and returns the state after it.
func (c *Client) Order(ctx context.Context, o Order) (ExpertState, error) {
	var s ExpertState
	return s, c.exchange(ctx, c.keepAlive, http.MethodPost, "/baywall/experts", o, &s)
}

func (c *Client) exchange(ctx context.Context, transport answer.Transport, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return eris.Wrapf(ErrRefused, "%s: %v", path, err)
		}
		body = raw
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(ErrFailed, "%s: %v", path, err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return eris.Wrapf(ErrFailed, "%s: %s", path, bounded.ErrorText(err))
	}
	defer resp.Body.Close()
	raw, err := bounded.ReadAll(resp.Body, maxReportSize)
	if err != nil {
		return eris.Wrapf(ErrFailed, "%s: %v", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrRefused, "%s: status %d: %s", path, resp.StatusCode, raw[:min(len(raw), excerptSize)])
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return eris.Wrapf(ErrFailed, "%s: %v", path, err)
	}
	return nil
}
