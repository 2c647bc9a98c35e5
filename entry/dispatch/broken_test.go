package dispatch

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"baywall.example/core/configuration"
	"baywall.example/core/contract"
	"baywall.example/core/link"
	"baywall.example/core/timeline"
	"baywall.example/core/vm"
	"baywall.example/core/wire"
	"baywall.example/entry/backend"
	"baywall.example/entry/retry"
)

// headAgent is an agent that answers each attempt with a head and an empty body.
type headAgent struct{ head *wire.AnswerHead }

func (a headAgent) ServeStream(_ context.Context, _ *link.Link, s *link.Stream, _ *wire.Call) {
	_ = s.SendReply(&wire.Reply{Body: &wire.Reply_Head{Head: a.head}})
	_ = s.SendReply(&wire.Reply{Body: &wire.Reply_End{End: &wire.AnswerEnd{RequestId: "r", Number: 1}}})
}

// headSink records whether an answer was begun.
type headSink struct{ begun bool }

func (s *headSink) Head(int, []*wire.Header, AttemptLocation) error {
	s.begun = true
	return nil
}

func (s *headSink) Data([]byte) error { return nil }

// An entry VM passed on a status or the name of a field that an agent had accepted from its backend
// server; a status under 100 broke the request off.
func TestMalformedHeadsFromAgentsAreNotPassedOn(t *testing.T) {
	named := func(name string) []*wire.Header { return []*wire.Header{{Name: name, Value: "v"}} }
	for name, c := range map[string]struct {
		head  *wire.AnswerHead
		valid bool
	}{
		"valid":      {&wire.AnswerHead{Status: 299, Headers: named("!#$%&'*+-.^_`|~09azAZ")}, true},
		"status 0":   {&wire.AnswerHead{Status: 0}, false},
		"status 103": {&wire.AnswerHead{Status: 103}, false},
		"status 600": {&wire.AnswerHead{Status: 600}, false},
		"blank":      {&wire.AnswerHead{Status: 200, Headers: named("Bad Name")}, false},
		"control":    {&wire.AnswerHead{Status: 200, Headers: named("Bad\x01")}, false},
		"empty name": {&wire.AnswerHead{Status: 200, Headers: named("")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			process := func(id vm.ID, role vm.Role) *link.Local {
				return &link.Local{VM: id, Incarnation: 1, Role: role, Clock: &timeline.Clock{}, Log: zerolog.Nop(), Revisions: func() (uint64, uint64) { return 0, 0 }}
			}
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			head := c.head
			head.RequestId, head.Number = "r", 1
			go func() { _ = link.Accept(ln, process("a", vm.RoleBackend), nil, headAgent{head}) }()

			recorder := timeline.NewRecorder("e", 64, zerolog.Nop())
			directory := backend.NewDirectory(process("e", vm.RoleEntry), nil, recorder, func(*link.Link) {}, func(vm.ID, *wire.Report) {})
			directory.SetList(vm.List{Revision: 1, VMs: []vm.VM{{ID: "a", Role: vm.RoleBackend, Link: ln.Addr().String(), Services: []string{"s"}, State: vm.StateLive}}})
			server, _ := directory.Find("a")
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			l, err := directory.Link(ctx, server)
			is.NoErr(err)
			stream, err := l.Open(ctx)
			is.NoErr(err)
			is.NoErr(stream.SendCall(&wire.Call{Body: &wire.Call_Attempt{Attempt: &wire.Attempt{RequestId: "r", Number: 1}}}))

			sink := &headSink{}
			x := &exchange{
				d: &Dispatcher{recorder: recorder, config: configuration.NewStore(false)}, sink: sink, backend: server,
				location: AttemptLocation{VM: "a", Attempt: contract.AttemptID{Request: "r", Number: 1}},
			}
			got := x.receive(ctx, stream)
			is.Equal(got.done, c.valid)
			is.Equal(sink.begun, c.valid)
			if !c.valid {
				is.Equal(got, result{event: retry.EventRefused, refusal: contract.Refusal{Outcome: contract.Unknown, Reason: contract.ReasonEngineFailed}})
			}
		})
	}
}
