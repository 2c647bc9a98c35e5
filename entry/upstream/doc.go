// Package upstream sends requests directly to backend servers over HTTP/1.1
// connections that it manages itself.
//
// The transport of the standard library resends a request on its own when a
// reused connection dies, and may pair a late answer with the next request.
// In this package every send is an explicit decision of the caller. An exchange
// is one request on one connection; it results in an Answer, or in an error that
// tells whether the request may have reached the backend server. A connection
// returns to its pool only after a complete request and a complete answer, with
// nothing left to read, and is checked again before it is reused. An answer that
// carries another request id than the one sent belongs to an earlier request and
// is skipped.
//
// What a server sends is bounded in bytes and time (bounds.go), as a faulty one may send bytes
// without end in place of an answer.
package upstream
