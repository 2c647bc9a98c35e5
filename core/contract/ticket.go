package contract

import (
	"encoding/base64"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"baywall.example/core/vm"
	"baywall.example/core/wire"
)

// maxTicketLength is the maximum length of an encoded ticket, in bytes.
const maxTicketLength = 512

// ErrTicket is wrapped by every error about a malformed ticket.
var ErrTicket = eris.New("contract: malformed ticket")

// Wire converts the ticket to its protobuf message.
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

// TicketFromWire converts a protobuf message to a ticket.
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

// String returns the base64url form that callers send in a header.
func (t Ticket) String() string {
	raw, err := proto.Marshal(t.Wire())
	if err != nil {
		return "" // fails only on invalid UTF-8 in a name, which the settings forbid
	}
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ParseTicket decodes a ticket from the form that String returns.
func ParseTicket(s string) (Ticket, error) {
	if len(s) > maxTicketLength {
		return Ticket{}, eris.Wrapf(ErrTicket, "%d bytes, the maximum is %d", len(s), maxTicketLength)
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
		return Ticket{}, eris.Wrap(ErrTicket, "VM, nonce or service is missing")
	}
	return t, nil
}
