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

const (
	// unfinishedClients is the number of abusive clients that finish no request, at a time, and
	// unreadClients that of those whose requests are whole.
	unfinishedClients = 200
	unreadClients     = 10
	// reconnectPause is how long an abusive client waits before it connects again.
	reconnectPause = 50 * time.Millisecond
	// longHead, partialBody and wholeBody are the sizes in bytes of what abusive clients send.
	longHead    = 12 << 10
	partialBody = 512 << 10
	wholeBody   = 256 << 10
)

// abuse is what abusive clients do at a time.
type abuse struct {
	clients int
	raw     string // what each sends before it stops
	reads   bool   // whether it reads what comes
}

// abuseGateway lets abusive clients connect to a listener of a gateway: with heads of many lines that
// never end, with bodies that stop before their end, in silence, or with requests whose answers they
// do not read.
func (f *faults) abuseGateway(ctx context.Context, d draw) {
	g := f.gateway(d)
	choice := d.which / len(f.world.gateways)
	addresses := []string{g.front, g.front, g.ready, g.directory}
	address := addresses[choice%len(addresses)]
	a := abuseOf(d.variant, choice/len(addresses)%2 == 0)
	ctx, cancel := context.WithTimeout(ctx, d.duration)
	defer cancel()
	var clients sync.WaitGroup
	for range a.clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				a.connect(ctx, address)
				wait.Sleep(ctx, reconnectPause)
			}
		})
	}
	clients.Wait()
}

// abuseOf returns a kind of abuse. Of the last variant, clients are silent or do not read.
func abuseOf(variant int, silent bool) abuse {
	post := fmt.Sprintf("POST /portal/x HTTP/1.1\r\nHost: %s\r\nX-Key: %s\r\n", host, teamKey)
	switch {
	case variant == 0:
		return abuse{unfinishedClients, unfinishedHead(), true}
	case variant == 1:
		return abuse{unfinishedClients, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, 2*partialBody, strings.Repeat("x", partialBody)), true}
	case silent:
		return abuse{unfinishedClients, "", true}
	default:
		return abuse{unreadClients, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, wholeBody, strings.Repeat("x", wholeBody)), false}
	}
}

// unfinishedHead returns a head of many lines without its end.
func unfinishedHead() string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET /portal/x HTTP/1.1\r\nHost: %s\r\n", host)
	for i := 0; b.Len() < longHead; i++ {
		fmt.Fprintf(&b, "%x:\n", i)
	}
	return b.String()
}

// connect sends the bytes on a new connection and keeps it open until the gateway closes it or the
// context ends.
func (a abuse) connect(ctx context.Context, address string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return // the gateway is down or paused
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if _, err := io.WriteString(conn, a.raw); err != nil {
		return
	}
	if !a.reads {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until it is closed
}
