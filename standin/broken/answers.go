package broken

import (
	"fmt"
	"strings"
)

// Answer is an answer of a server, byte for byte.
type Answer struct {
	Name  string
	Bytes string
}

// Whole returns a whole answer with a length. The lines of its fields end with CRLF.
func Whole(fields, body string) string { return WithStatus("200 OK", fields, body) }

// WithStatus returns an answer with a length and the status line "HTTP/1.1 " + status.
func WithStatus(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// Chunked returns a whole answer in one chunk. The lines of its trailer end with CRLF.
func Chunked(fields, body, trailer string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", fields, len(body), body, trailer)
}

// Statuses returns answers whose status is none. After one of them, what looks like a sound answer
// follows in its body.
func Statuses(fields, body string) (all []Answer) {
	for _, status := range []string{"000", "001", "099", "600", "999", "+20", "-00", "101", "20", "2000", "2x0", ""} {
		all = append(all, Answer{"status " + status, WithStatus(status+" Status", fields, body)})
	}
	all = append(all, Answer{"status 000 around an answer", WithStatus("000 Status", fields, Whole(fields, body))})
	return append(all, Answer{"status 000 without a length around an answer", "HTTP/1.1 000 Status\r\n" + fields + "\r\n" + Whole(fields, body)})
}

// malformedLines are lines of a head in which the name of a field holds a byte that no name may have,
// or is empty.
var malformedLines = []string{
	"Bad Name: v", "Bad : v", "Content-Length : 2", "Transfer-Encoding : chunked", "Content Length: 2",
	" Bad: v", "\tBad: v", " Transfer-Encoding: chunked", " Content-Length: 2",
	"Bad\tName: v", "Bad\t: v", "Bad\x00Name: v", "Bad\x01: v", "\x00: v", "Bad\x1bName: v", "Bad\x7fName: v", "Bad\rName: v", "\rBad: v",
	"Bad\x80: v", ": v", "Bad(Name): v",
}

// Names returns answers in which the name of a field is malformed: in the head, in an interim answer
// and in the trailer.
func Names(fields, body string) (all []Answer) {
	for _, line := range malformedLines {
		add := func(place, bytes string) {
			all = append(all, Answer{fmt.Sprintf("%s %q", place, line), bytes})
		}
		add("head", Whole("Sound: v\r\n"+fields+line+"\r\n", body))
		add("head without a length", "HTTP/1.1 200 OK\r\nSound: v\r\n"+fields+line+"\r\n\r\n"+body)
		add("interim answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n"+line+"\r\n\r\n"+Whole(fields, body))
		if !strings.HasPrefix(line, " ") && !strings.HasPrefix(line, "\t") {
			add("trailer", Chunked(fields, body, line+"\r\n"))
		}
	}
	return all
}

// Sound returns unusual answers that are well-formed and whole, with a success for their status.
func Sound(fields, body string) []Answer {
	return []Answer{
		{"no reason phrase", WithStatus("200 ", fields, body)},
		{"no blank after the status", WithStatus("200", fields, body)},
		{"long reason phrase", WithStatus("200 "+strings.Repeat("long ", 100), fields, body)},
		{"status 299", WithStatus("299 Unusual", fields, body)},
		{"all characters of a token", Whole(fields+"!#$%&'*+-.^_`|~09azAZ: v\r\n", body)},
		{"long name", Whole(fields+strings.Repeat("x", 1000)+": v\r\n", body)},
		{"empty values", Whole(fields+"Empty:\r\nBlank: \t \r\n", body)},
		{"colons and blanks in a value", Whole(fields+"Value: a b: c : d\r\n", body)},
		{"bytes above 127 in a value", Whole(fields+"Value: \xc3\xa4\r\n", body)},
		{"line feeds only", strings.ReplaceAll(Whole(fields, body), "\r\n", "\n")},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Unusual\r\n\r\n" + Whole(fields, body)},
		{"chunks", Chunked(fields, body, "")},
		{"trailer", Chunked(fields+"Trailer: Sum\r\n", body, "Sum: 1\r\nOther: 2\r\n")},
	}
}
