// Package upstream sends requests straight to backend servers over HTTP/1.1
// connections of its own.
//
// The transport of the standard library resends a request by itself when a
// reused connection dies, and may pair a late answer with the next request.
// Here every send is an explicit decision of the caller. An Exchange is one
// request on one connection; it ends in an Answer or in an Error that tells
// whether the request may have reached the backend server. A connection goes
// back to its pool only after a whole request and a whole answer, with nothing
// left to read, and is looked at again before it is reused. Where the answer
// names a request id other than the one sent, it belongs to an earlier request
// and is skipped.
package upstream
