// Package ratelimit keeps the limits that backend servers name: how many requests a second
// one takes from all gateways together.
//
// # What is known
//
// A statement is what one incarnation of a server said in answer to a request: a limit, or
// that there is none. It counts from when that request was sent, so an answer that was long
// on its way does not undo a later one. Table keeps the latest statement on each server.
// Gateways tell each other in heartbeats what changed, and in turn all that they know, with
// its age; the younger one counts. The end of a limit is a statement too, which is kept for
// longer than any request lasts. A server that starts again is another incarnation, of
// which nothing was said.
//
// # Who may send
//
// No gateway can keep a limit alone. With an even part each, and a request at a time at
// least, n gateways let through 4 L + n requests in four seconds: more than a server takes
// if L is small, and most of the parts are unused where few requests arrive at each. So
// permits are asked for: the first active gateway in rendezvous order for the server grants
// them, one for a request, at the moment of sending, from a token bucket with the server's
// rate. A gateway that gets none leaves the server out until it is worth asking again.
//
// An agent through which all requests to its server go keeps the limit exactly with a bucket
// of its own. Whoever sends to it learns of a refusal when to come back.
//
// # Bounds
//
// A grantor's bucket holds the permits of burstTime, leastBurst at least, and starts empty
// settleTime after the first ask: permits of an earlier grantor have been used by then, and
// a server that has just named a limit is left alone for a moment. With A for askTimeout, in
// which a granted permit is used or lost, one grantor lets through
//
//	(4 s + A) L + max(leastBurst, burstTime L)
//
// requests in four seconds. While gateways differ for d about who grants, beyond settleTime,
// it is at most d L + max(leastBurst, burstTime L) more. A gateway that fell silent without a word may
// be cut off from the others and grant permits to itself, so its part of the rate is left
// to it until it is forgotten: the sum over all parts of a fleet that is cut in pieces is the
// limit. A limit below leastRate is exceeded: only an answer tells that it has ended.
package ratelimit
