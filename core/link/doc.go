// Package link connects two VMs of a fleet: one yamux session over TCP, opened
// by a Hello from the side that dials and answered by one from the other side.
//
// Both sides may open streams. A stream carries one Call and its Reply
// messages. The session's keep-alive finds a dead path; a stream that is not
// read blocks only its own sender, up to the write timeout, after which the
// stream is given up. Messages have a size limit, so that garbage costs a
// bounded amount of memory and then the link.
//
// A Pool keeps one outgoing link per VM, dialed when first needed, and again,
// after a backoff, when it was lost.
package link
