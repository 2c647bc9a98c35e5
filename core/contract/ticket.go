package contract

import (
	"encoding/base64"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// maxTicketLength bounds the text form of a ticket, in bytes.
const maxTicketLength = 512

// ErrTicket is the root of all errors about a malformed ticket.
var ErrTicket = eris.New("contract: malformed ticket")

// Wire returns the ticket as it travels on a link.
func (t Ticket) Wire() *wire.Ticket {
	return &wire.Ticket{
		Vm:            string(t.VM),
		Incarnation:   uint64(t.Incarnation),
		Nonce:         []byte(t.Nonce),
		IssuedUnixMs:  t.Issued.UnixMilli(),
		ExpiresUnixMs: t.Expires.UnixMilli(),
		Service:       t.Service,
	}
}

// TicketFromWire reads a ticket from a link message.
func TicketFromWire(w *wire.Ticket) Ticket {
	return Ticket{
		Service:     w.GetService(),
		VM:          vm.ID(w.GetVm()),
		Incarnation: vm.Incarnation(w.GetIncarnation()),
		Nonce:       string(w.GetNonce()),
		Issued:      time.UnixMilli(w.GetIssuedUnixMs()),
		Expires:     time.UnixMilli(w.GetExpiresUnixMs()),
	}
}

// String returns the text form that callers carry in a header.
func (t Ticket) String() string {
	raw, err := proto.Marshal(t.Wire())
	if err != nil {
		return "" // only invalid UTF-8 in a name can fail; settings forbid it
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseTicket reads the text form of a ticket.
func ParseTicket(s string) (Ticket, error) {
	if len(s) > maxTicketLength {
		return Ticket{}, eris.Wrapf(ErrTicket, "%d bytes, at most %d", len(s), maxTicketLength)
	}
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return Ticket{}, eris.Wrapf(ErrTicket, "not base64url: %v", err)
	}
	var w wire.Ticket
	if err := proto.Unmarshal(raw, &w); err != nil {
		return Ticket{}, eris.Wrapf(ErrTicket, "not a ticket: %v", err)
	}
	t := TicketFromWire(&w)
	if t.VM == "" || t.Nonce == "" || t.Service == "" {
		return Ticket{}, eris.Wrap(ErrTicket, "names no VM, nonce or service")
	}
	return t, nil
}
