package contract

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTicketEncodingRoundTrip(t *testing.T) {
	is := is.New(t)
	want := Ticket{Service: "s", VM: "a", Incarnation: 7, Nonce: "n", Issued: time.UnixMilli(5), Expires: time.UnixMilli(9)}
	got, err := ParseTicket(want.String())
	is.NoErr(err)
	is.Equal(got, want)
}

// FuzzParseTicket checks that any header value is decoded or rejected without a panic,
// and that a decoded ticket has all its fields.
func FuzzParseTicket(f *testing.F) {
	f.Add(Ticket{Service: "s", VM: "a", Nonce: "n"}.String())
	f.Add("not a ticket")
	f.Add("")
	f.Fuzz(func(t *testing.T, s string) {
		ticket, err := ParseTicket(s)
		if err == nil && (ticket.VM == "" || ticket.Nonce == "" || ticket.Service == "") {
			t.Fatal("an incomplete ticket was accepted")
		}
	})
}
