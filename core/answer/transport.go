package answer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// DialFunc opens a connection, see http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport is an http.Transport that fails if an answer is malformed or was cut.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses the given one. It replaces its DialContext by one whose
// connections are of type *Conn.
func NewTransport(base *http.Transport) Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = checkedDial(dial)
	return Transport{base}
}

func checkedDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
}

// errEarly means that an answer had been received before its request was sent.
var errEarly = eris.Wrap(ErrMalformed, "received before its request was sent")

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*Conn); ok {
				conn.BeginRequest()
				used.Store(conn)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if conn := used.Load(); conn != nil {
				conn.EndRequest(info.Err)
			}
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	conn := used.Load()
	if conn == nil {
		return resp, err // no connection was opened
	}
	if err == nil && !conn.headRead() {
		conn.giveUp(errEarly)
		_ = resp.Body.Close() // the error says more
	}
	if broken := conn.Err(); broken != nil {
		return nil, broken
	}
	if err != nil {
		return nil, err
	}
	resp.Body = checkedBody{resp.Body, conn, resp}
	return resp, nil
}

// checkedBody is the body of an answer, which fails at its end if the trailer is malformed.
type checkedBody struct {
	io.ReadCloser
	conn *Conn
	resp *http.Response
}

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := CheckTrailer(b.resp); err != nil {
		b.conn.giveUp(err)
		return n, err
	}
	return n, io.EOF
}

// CheckTrailer returns ErrMalformed if the trailer of an answer is malformed. The body must have been
// read to its end.
func CheckTrailer(resp *http.Response) error { return checkNames(resp.Trailer) }
