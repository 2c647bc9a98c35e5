package server

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestAnswerWindowOpensWithAcknowledgments(t *testing.T) {
	is := is.New(t)
	w := newAnswerWindow(100, 1000)
	is.True(w.isOpen(1100))
	is.True(!w.isOpen(1101))
	waited := make(chan error)
	go func() { waited <- w.wait(t.Context(), 1150) }()
	w.acknowledge(1049)
	w.acknowledge(1000) // late
	is.True(!w.isOpen(1150))
	w.acknowledge(1050)
	is.NoErr(<-waited)
}

func TestAnswerWindowEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(newAnswerWindow(100, 0).wait(ctx, 101) != nil)
	is.NoErr(newAnswerWindow(0, 0).wait(ctx, 1<<40)) // without a bound
}
