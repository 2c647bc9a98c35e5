// Package notice holds the notices that backend servers give about themselves in their
// answers, in addition to the answer itself, and the resulting state of each incarnation
// of a server.
//
// # Notices
//
// A Notice is what one answer reports, whether it answers a request, a probe, a report or
// an order. An adapter reads all parts of a notice in one place. A part that cannot be
// parsed reports nothing; it never revokes an earlier notice.
//
// # State
//
// A State belongs to one incarnation of a backend server and outlives the server's
// entries: an entry that is older than an answer, or that is restored from a copy, does
// not revoke that the server leaves. A new incarnation, under the same id or at the same
// address, has a State of its own.
//
// A backoff applies to the process that received the answer. It ends at the latest of all
// requested ends: neither a shorter backoff that is requested later nor an answer to a
// request that was in flight ends it sooner. Other processes are not told. Each of them is
// refused once and then knows, while a server that received too much from one process
// continues to serve the others.
//
// That a server leaves is final for its incarnation, whether its entry or an answer
// reported it.
package notice
