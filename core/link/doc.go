// Package link connects two VMs of a fleet by a yamux session over TCP. The dialing side
// opens the session with a Hello, and the accepting side replies with its own.
//
// Both sides may open streams. A stream carries one Call and its Reply messages. The
// session's keep-alive detects a broken connection. A stream whose receiver does not read
// blocks only its own sender, until the write timeout fails the stream. The size of a
// message is limited, and so is what may come before the Hello, so that malformed input costs a
// bounded amount of memory before the link is closed. A call has to arrive soon after its stream
// was opened.
//
// A Pool keeps one outgoing link per VM. It dials on first use, and again after a backoff
// when the link was lost.
package link
