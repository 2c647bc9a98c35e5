package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"baywall.example/core/wait"
)

// misbehaveName is the name of the kind of fault that misbehave injects.
const misbehaveName = "clients that misbehave"

const (
	// misbehaving is the number of clients that misbehave at a time.
	misbehaving = 200
	// misbehavePause is how long such a client waits before it connects again.
	misbehavePause = 50 * time.Millisecond
	// longHead and partOfBody are the sizes in bytes of what such clients send.
	longHead   = 12 << 10
	partOfBody = 512 << 10
)

// misbehave lets many clients press on a listener of a gateway: with heads of many lines that never
// end, with bodies that stop before their end, or in silence.
func (f *faults) misbehave(ctx context.Context, d draw) {
	g := f.gateway(d)
	addresses := []string{g.front, g.front, g.ready, g.directory}
	address := addresses[d.which/len(f.world.gateways)%len(addresses)]
	raw := misbehavior(d.variant)
	ctx, cancel := context.WithTimeout(ctx, d.duration)
	defer cancel()
	var clients sync.WaitGroup
	for range misbehaving {
		clients.Go(func() {
			for ctx.Err() == nil {
				sendAndHold(ctx, address, raw)
				wait.Sleep(ctx, misbehavePause)
			}
		})
	}
	clients.Wait()
}

// misbehavior returns what a client sends before it stops.
func misbehavior(variant int) string {
	var b strings.Builder
	switch variant {
	case 0:
		fmt.Fprintf(&b, "GET /portal/x HTTP/1.1\r\nHost: %s\r\n", host)
		for i := 0; b.Len() < longHead; i++ {
			fmt.Fprintf(&b, "%x:\n", i)
		}
	case 1:
		fmt.Fprintf(&b, "POST /portal/x HTTP/1.1\r\nHost: %s\r\nX-Key: %s\r\nContent-Length: %d\r\n\r\n", host, teamKey, 2*partOfBody)
		b.WriteString(strings.Repeat("x", partOfBody))
	}
	return b.String()
}

// sendAndHold sends bytes on a new connection and keeps it open until the gateway closes it or the
// context ends.
func sendAndHold(ctx context.Context, address, raw string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return // the gateway is down or paused
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if _, err := io.WriteString(conn, raw); err == nil {
		_, _ = io.Copy(io.Discard, conn) // until it is closed
	}
}
