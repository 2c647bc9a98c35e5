package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"baywall.example/core/clock"
	"baywall.example/core/cluster"
	"baywall.example/entry/balance"
	"baywall.example/entry/upstream"
)

// holdTimeout bounds one order to a rank, which normally answers in a few milliseconds.
const holdTimeout = 300 * time.Millisecond

// maxOrderBody is the largest part of the answer to an order that is read, in bytes.
const maxOrderBody = 64 << 10

// errOrderRefused means that a rank did not accept an order.
var errOrderRefused = eris.New("gateway: order refused")

// Order is an order for a backend server that is a rank.
type Order struct {
	Target string // path with query
	Header http.Header
	Body   []byte
}

// holdStep sends a hold order on behalf of an agent. No rank runs on a gateway's VM, so a
// gateway's VM that freezes makes no rank unreachable.
func (g *Gateway) holdStep(h cluster.Hold) {
	server := g.registry.At(h.Engine)
	if server == nil {
		g.log.Warn().Str("engine", h.Engine).Msg("asked to hold a step at a backend server that is not listed")
		return
	}
	g.run.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
		defer cancel()
		err := g.sendOrder(ctx, server, g.adapter.HoldOrder(h.Epoch, h.Step))
		g.log.Info().AnErr("error", err).Str("engine", h.Engine).Str("server", server.ID).
			Uint64("epoch", h.Epoch).Uint64("step", h.Step).Msg("step held for an agent")
	})
}

// sendOrder sends an order to a rank. A rank that requested a backoff gets none, as its own
// agent sends the order then. A rank that leaves does get it, as its group stays in step
// until the rank is gone.
func (g *Gateway) sendOrder(ctx context.Context, server *balance.Server, o Order) error {
	sent := clock.Now()
	header := o.Header.Clone()
	header.Set(g.headers.ExpectServer, server.ID)
	answer, err := server.Pool.Do(ctx, &upstream.Request{
		Method: http.MethodPost, Target: o.Target, Host: server.Address, Header: header, Body: o.Body, IDHeader: g.headers.RequestID,
		Check: func() error {
			if server.HasBackoff(clock.Now()) {
				return balance.ErrInBackoff
			}
			return nil
		},
	})
	if err != nil {
		return err
	}
	defer answer.Close()
	g.receiveNotice(server, answer, sent, viaOrder)
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxOrderBody)); err != nil {
		return err
	}
	if !g.adapter.OrderTaken(answer.Status) {
		return eris.Wrapf(errOrderRefused, "status %d", answer.Status)
	}
	return nil
}
