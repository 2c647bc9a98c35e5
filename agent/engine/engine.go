// Package engine gives one backend server its requests and orders, over HTTP.
//
// A request is handed over exactly once per call of Do. The transport of the
// standard library replays a request on its own when a reused connection dies
// before an answer came, if it deems the request idempotent: a GET, or any one
// that carries an Idempotency-Key. A non-idempotent request therefore gets a
// connection of its own, which is never reused, so there is nothing to replay.
//
// A connection whose answer was not read to its end is closed, not reused, so
// a late answer cannot reach another request. The server's echo of the request
// id is checked where there is one.
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
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/notice"
	"baywall.example/core/wire"
)

// Errors of the engine layer.
var (
	// ErrDial means that no connection was made: the request did not run.
	ErrDial = eris.New("engine: unreachable")
	// ErrFailed means that the request was, or may have been, handed over and
	// no whole answer came.
	ErrFailed = eris.New("engine: failed")
	// ErrCrossed means that the answer names another request.
	ErrCrossed = eris.New("engine: answer to another request")
	// ErrRefused means that the engine did not take an order.
	ErrRefused = eris.New("engine: order refused")
)

// HeaderRequestID carries the attempt's id to the backend server.
const HeaderRequestID = "X-Request-Id"

// HeaderPriority carries the team's priority to the backend server.
const HeaderPriority = "X-Priority"

// HeaderRateLimit names in an answer how many requests a second the backend server takes, a
// decimal number, for as long as its answers say so.
const HeaderRateLimit = "X-Rate-Limit"

// HeaderLeaving is in the answers of a backend server that leaves, a boolean.
const HeaderLeaving = "X-Leaving"

// noticeFields are the header fields in which a backend server speaks of itself.
var noticeFields = notice.Fields{Limit: HeaderRateLimit, Leaving: HeaderLeaving}

// ReadNotice reads what an answer says of the backend server. What cannot be read, as the error
// tells, says nothing.
func ReadNotice(resp *http.Response, now time.Time) (notice.Notice, error) {
	return noticeFields.Read(resp.StatusCode, resp.Header, now)
}

const (
	dialTimeout  = time.Second
	orderTimeout = 2 * time.Second
	maxIdle      = 256
	maxReport    = 4 << 20
)

// Client talks to one backend server. It is safe for concurrent use.
type Client struct {
	base    string
	address string
	reuse   *http.Transport
	once    *http.Transport
	ends    ends
}

// New returns a client of the backend server at the address.
func New(address string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, errors.Join(ErrDial, err)
		}
		return conn, nil
	}
	return &Client{
		base: "http://" + address, address: address,
		reuse: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdle, DisableCompression: true},
		once:  &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

// Request is one request as the caller sent it.
type Request struct {
	ID         string
	Method     string
	Path       string // with query
	Headers    []*wire.Header
	Body       []byte
	Idempotent bool
	Priority   int
}

// Do hands the request over and returns the answer, whose body the caller
// closes. The error is ErrDial if the request provably did not run.
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
	transport := c.reuse
	if !r.Idempotent {
		transport = c.once
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if errors.Is(err, ErrDial) {
			return nil, eris.Wrapf(ErrDial, "%v", err)
		}
		return nil, c.Lost(ctx, err)
	}
	c.ends.lives()
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != r.ID {
		resp.Body.Close()
		return nil, eris.Wrapf(ErrCrossed, "asked %s, got %s", r.ID, echo)
	}
	return resp, nil
}

// Load is a backend server's own report, which lags behind.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Load    float64 `json:"load"` // 0 = idle, 1 = full
}

// Load reads the backend server's report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	return l, c.exchange(ctx, http.MethodGet, "/baywall/load", nil, &l)
}

// ExpertState is what an engine says about the expert maps it holds.
type ExpertState struct {
	Fence    uint64    `json:"fence"`
	Step     uint64    `json:"step"`     // the step it runs or will run next
	Active   uint64    `json:"active"`   // version of the map in use
	Loaded   uint64    `json:"loaded"`   // version loaded beside it, 0 = none
	Hold     uint64    `json:"hold"`     // step it will not begin, 0 = none
	Activate uint64    `json:"activate"` // step at which Loaded becomes active
	Counts   [][]int64 `json:"counts"`   // tokens by layer and expert since the last read
	Speed    float64   `json:"speed"`    // measured, 1 = nominal
	// Epoch numbers the formations of a group, in each of which all ranks begin
	// with the initial map; 0 where the engine does not count them.
	Epoch uint64 `json:"epoch"`
	// Running is how many requests the rank has in its batch, 0 where the engine
	// does not say.
	Running   int       `json:"running"`
	ActiveMap [][]int32 `json:"activemap"` // slots by layer, of all ranks or of this one
	LoadedMap [][]int32 `json:"loadedmap"`
}

// Order tells an engine what to do about its expert map. Every order names a
// fencing number, and a step where it has one, so that a late order is void.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Fence   uint64    `json:"fence"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     [][]int32 `json:"map,omitempty"`
}

// OrderKind is the type of an Order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad     OrderKind = "load"     // load Map beside the active one
	OrderHold     OrderKind = "hold"     // do not begin Step unless told
	OrderActivate OrderKind = "activate" // use Version from Step on
	OrderRelease  OrderKind = "release"  // begin Step after all
)

// Experts reads the engine's expert state.
func (c *Client) Experts(ctx context.Context) (ExpertState, error) { return c.Observe(ctx, false) }

// Loaded reads the engine's expert state: an order to load experts is answered when
// they are there.
func (c *Client) Loaded(ctx context.Context, _ uint64) (ExpertState, error) { return c.Experts(ctx) }

// Observe reads the engine's expert state; counts are included if asked for.
func (c *Client) Observe(ctx context.Context, counts bool) (ExpertState, error) {
	var s ExpertState
	return s, c.exchange(ctx, http.MethodGet, fmt.Sprintf("/baywall/experts?counts=%t", counts), nil, &s)
}

// Order gives an order and returns the state after it.
func (c *Client) Order(ctx context.Context, o Order) (ExpertState, error) {
	var s ExpertState
	return s, c.exchange(ctx, http.MethodPost, "/baywall/experts", o, &s)
}

func (c *Client) exchange(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
	resp, err := c.reuse.RoundTrip(req)
	if err != nil {
		return eris.Wrapf(ErrFailed, "%s: %v", path, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return eris.Wrapf(ErrFailed, "%s: %v", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrRefused, "%s: status %d: %s", path, resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return eris.Wrapf(ErrFailed, "%s: %v", path, err)
	}
	return nil
}
