// Package answer decides which HTTP/1.1 answers are whole. All clients of this
// project apply it: to backend servers, ranks, the store and the platform.
//
// An answer with neither a length nor chunks ends with its connection. It is whole only if its request
// had been written until then. The reset of a connection is reported once, to the side that asks first:
// if that is the writer of the request, the reader sees an ordinary end.
//
// Conn applies the rule to one connection, Transport to all connections of an http.Transport.
package answer
