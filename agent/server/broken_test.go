package server

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/contract"
	"baywall.example/core/link"
	"baywall.example/core/settings"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/standin/broken"
)

// endOfAnswer sends an attempt to an agent in front of the backend server, and returns the message that
// ends its answer.
func endOfAnswer(t *testing.T, size int, answer broken.Handler) *wire.Reply {
	t.Helper()
	is := is.New(t)
	var s Settings
	address := broken.Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
		if r.URL.Path == "/baywall/load" {
			return broken.AnswerEach(broken.Whole("", "{}"))(conn, r)
		}
		return answer(conn, r)
	})
	is.NoErr(settings.Parse("a.yaml", []byte(strings.Replace(valid, "127.0.0.1:9000", address, 1)), &s))
	a := New(s, zerolog.Nop(), time.Now())
	_, err := a.engine.Load(t.Context())
	is.NoErr(err)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	process := func(id vm.ID, role vm.Role) *link.Local {
		return &link.Local{VM: id, Incarnation: 1, Role: role, Clock: &timeline.Clock{}, Log: zerolog.Nop(), Revisions: func() (uint64, uint64) { return 0, 0 }}
	}
	go func() { _ = link.Accept(ln, process("a", vm.RoleBackend), nil, a) }()
	l, err := link.Dial(t.Context(), process("e", vm.RoleEntry), ln.Addr().String(), nil)
	is.NoErr(err)
	defer l.Close()
	stream, err := l.Open(t.Context())
	is.NoErr(err)
	is.NoErr(stream.SendCall(&wire.Call{Body: &wire.Call_Attempt{Attempt: &wire.Attempt{
		RequestId: "r", Number: 1, Service: "s", Method: http.MethodPost, Path: "/", Body: make([]byte, size),
		DeadlineUnixMs: time.Now().Add(3 * time.Second).UnixMilli(),
	}}}))
	for {
		reply, err := stream.RecvReply()
		is.NoErr(err)
		if reply.GetHead() == nil && reply.GetChunk() == nil {
			return reply
		}
	}
}

// A broken answer ends on its link as one that failed, with an unknown outcome.
func TestBrokenAnswersEndAsFailedOnLinks(t *testing.T) {
	reset := func(conn *net.TCPConn, _ *http.Request) bool {
		broken.ResetUpload(conn, 0, "HTTP/1.1 200 OK\r\n\r\npart")
		return false
	}
	cases := map[string]broken.Handler{
		"reset under an upload": reset,
		"status":                broken.AnswerOnce(broken.WithStatus("000 Status", "", "part")),
		"name":                  broken.AnswerOnce(broken.Whole("Bad Name: v\r\n", "part")),
		"trailer":               broken.AnswerOnce(broken.Chunked("", "part", "Bad Name: v\r\n")),
		"cut head":              broken.AnswerOnce("HTTP/1.1 200 OK\r\nContent-Le"),
		"cut body":              broken.AnswerOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"),
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 5 {
				r := endOfAnswer(t, 3<<20, answer).GetRefusal()
				is.Equal(r.GetOutcome(), wire.Outcome_OUTCOME_UNKNOWN)
				is.Equal(contract.Reason(r.GetReason()), contract.ReasonEngineFailed)
				is.Equal(r.GetEngineEnd(), uint64(0)) // the server lives
			}
		})
	}
	is.New(t).True(endOfAnswer(t, 3<<20, broken.AnswerOnce("HTTP/1.1 200 OK\r\n\r\nwhole")).GetEnd() != nil)
}
