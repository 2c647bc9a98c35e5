package socket

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err = net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server
}

func becomesLoud(conn net.Conn) bool {
	for range 100 {
		if !Quiet(conn) {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func TestQuiet(t *testing.T) {
	is := is.New(t)
	client, server := pair(t)
	is.True(Quiet(client))
	_, err := server.Write([]byte("x"))
	is.NoErr(err)
	is.True(becomesLoud(client))
	client, server = pair(t)
	server.Close()
	is.True(becomesLoud(client))
	client.Close()
	is.True(!Quiet(client))
}

// A reader that waits for the peer must not delay the look.
func TestQuietBesideAReader(t *testing.T) {
	is := is.New(t)
	client, _ := pair(t)
	go func() { _, _ = client.Read(make([]byte, 1)) }()
	time.Sleep(10 * time.Millisecond)
	began := time.Now()
	is.True(Quiet(client))
	is.True(time.Since(began) < 500*time.Millisecond)
}

func TestUnacknowledgedFallsWhileThePeerReads(t *testing.T) {
	is := is.New(t)
	client, server := pair(t)
	is.NoErr(server.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)))
	_, _ = server.Write(make([]byte, 64<<20)) // until the buffers of both sides are full
	full, err := Unacknowledged(server)
	is.NoErr(err)
	is.True(full > 0)
	buf := make([]byte, 1<<20)
	for range 1000 {
		_, err := client.Read(buf)
		is.NoErr(err)
		if left, err := Unacknowledged(server); err != nil || left < full {
			is.NoErr(err)
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("it did not fall")
}
