package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baywall.example/entry/balance"
	"baywall.example/entry/catalog"
	"baywall.example/standin/broken"
)

// answerFields are the fields of the answers to the requests of these tests.
const answerFields = "T-Id: attempt-1\r\n"

// Events of the broken and the sound answers to a stream.
const (
	partEvent  = "id: 1\ndata: part\n\n"
	soundEvent = "id: 2\ndata: sound\n\n"
)

// brokenGateway is a gateway in front of a sound server and one that answers as the test says.
type brokenGateway struct {
	testGateway
	broken string       // address of the second one
	begun  atomic.Int32 // requests that it got
}

func startBroken(t *testing.T, answer broken.Handler) *brokenGateway {
	t.Helper()
	w := &brokenGateway{}
	store := fixedStore{item(t, "catalog", catalog.Content{
		Version: 1, Routes: routes(), Services: []catalog.Service{{Name: "s"}}, Teams: []catalog.Team{{Name: "team", Keys: []string{"key"}}},
	})}
	serve := func(id string, answer broken.Handler) (address string) {
		address = broken.Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
			if r.URL.Path == identityPath {
				return broken.AnswerEach(broken.WithStatus("421 Misdirected Request", "T-Server-Id: "+id+"\r\n", ""))(conn, r)
			}
			return answer(conn, r)
		})
		store = append(store, item(t, "backends/"+id, balance.Info{ID: id, Service: "s", Address: address, Slots: 4}))
		return address
	}
	serve("sound", func(conn *net.TCPConn, r *http.Request) bool {
		body := "sound"
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			body = soundEvent
		}
		return broken.AnswerEach(broken.Whole(answerFields, body))(conn, r)
	})
	w.broken = serve("broken", func(conn *net.TCPConn, r *http.Request) bool {
		w.begun.Add(1)
		return answer(conn, r)
	})
	w.run(t, store)
	return w
}

// post sends requests until the broken server has got one, and returns the result of that request: the
// body if it was answered with success, else the status and the outcome, or the error.
func (w *brokenGateway) post(t *testing.T, path string, body []byte) string {
	t.Helper()
	for range 50 {
		before := w.begun.Load()
		result := w.postOnce(t, path, body)
		if w.begun.Load() > before {
			return result
		}
	}
	t.Fatal("the server got no request")
	return ""
}

func (w *brokenGateway) postOnce(t *testing.T, path string, body []byte) string {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, w.url+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = "h", http.Header{"T-Id": {"attempt-1"}, "T-Key": {"key"}, "T-Deadline": {"3000"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode < http.StatusMultipleChoices {
		return string(got)
	}
	return fmt.Sprintf("%d %s%v", resp.StatusCode, resp.Header.Get(headerOutcome), err)
}

// expectReplaced sends requests whose answers are broken. One that may run twice is answered by the
// sound server, and the outcome of another is unknown; none is suspected to end its servers.
func (w *brokenGateway) expectReplaced(t *testing.T, body []byte) {
	t.Helper()
	is := is.New(t)
	is.Equal(w.post(t, "/once/x", body), "502 unknown<nil>")
	is.Equal(w.post(t, "/many/x", body), "sound")
	// After an event of the broken answer, the stream is resumed at the sound server.
	is.Equal(strings.TrimPrefix(w.post(t, "/stream/x", body), partEvent), soundEvent)
	is.True(w.gateway.suspects.Empty())
}

// A part of an answer without a length, before a reset under a long upload, was delivered as a whole
// answer.
func TestPartBeforeAResetIsNotDelivered(t *testing.T) {
	for _, part := range []string{"", "part", strings.Repeat("part", 2000), partEvent} {
		for _, after := range []time.Duration{0, broken.StallTime} {
			t.Run(fmt.Sprintf("%d bytes after %v", len(part), after), func(t *testing.T) {
				for range 10 { // which side of the connection gets the reset is not certain here
					w := startBroken(t, func(conn *net.TCPConn, _ *http.Request) bool {
						broken.ResetUpload(conn, after, "HTTP/1.1 200 OK\r\n"+answerFields+"\r\n"+part)
						return false
					})
					w.expectReplaced(t, make([]byte, 3<<20))
				}
			})
		}
	}
}

// The body of an answer whose status was 000 was delivered as the answer.
func TestAnswersWithoutAValidStatusAreNotDelivered(t *testing.T) {
	for _, a := range broken.Statuses(answerFields, "answer") {
		t.Run(a.Name, func(t *testing.T) { startBroken(t, broken.AnswerEach(a.Bytes)).expectReplaced(t, nil) })
	}
}

// An answer with a blank in the name of a field was delivered, with another body than announced.
func TestAnswersWithMalformedNamesAreNotDelivered(t *testing.T) {
	for _, a := range broken.Names(answerFields, "answer") {
		t.Run(a.Name, func(t *testing.T) { startBroken(t, broken.AnswerEach(a.Bytes)).expectReplaced(t, nil) })
	}
}

func TestUnusualAnswersAreDelivered(t *testing.T) {
	all := broken.Sound(answerFields, "answer")
	all = append(all, broken.Answer{Name: "no length", Bytes: "HTTP/1.1 200 OK\r\n" + answerFields + "\r\nanswer"})
	for _, a := range all {
		t.Run(a.Name, func(t *testing.T) {
			w := startBroken(t, broken.AnswerOnce(a.Bytes))
			for _, size := range []int{4, 100 << 10, 3 << 20} {
				is.New(t).Equal(w.post(t, "/once/x", make([]byte, size)), "answer")
			}
		})
	}
}

// Answers to orders and probes are held to the same rule as answers to requests.
func TestBrokenAnswersToOrdersAndProbesDoNotCount(t *testing.T) {
	part := broken.Answer{Name: "part", Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"}
	for _, a := range append(append(broken.Statuses("", "{}"), broken.Names("", "{}")...), part) {
		t.Run(a.Name, func(t *testing.T) {
			is := is.New(t)
			w := startBroken(t, broken.AnswerOnce(a.Bytes))
			server := w.gateway.registry.At(w.broken)
			is.True(w.gateway.sendOrder(t.Context(), server, Order{Target: "/x", Header: http.Header{}}) != nil)
			good, err := w.gateway.probeServer(t.Context(), server)
			is.True(!good)
			is.True(err != nil)
		})
	}
}
