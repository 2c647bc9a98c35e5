package inbound

import "sync/atomic"

// Reason says why a connection was closed or a request refused.
type Reason int

// Reasons.
const (
	ReasonConnections  Reason = iota // too many connections: it waited for its client the longest
	ReasonNoPlace                    // too many connections: all others have a request in progress
	ReasonHeadTimeout                // a head took too long
	ReasonIdleTimeout                // no request came
	ReasonWriteTimeout               // a part of an answer was not read in time
	ReasonHeadSize                   // a head is over the limit
	ReasonHeadRoom                   // no room in the budget for heads
	ReasonHeadSlow                   // a head was slow while others waited for room
	ReasonBodyRoom                   // no room in the budget for bodies
	ReasonBodySlow                   // a body was slow while others waited for room
	ReasonBodyTimeout                // a body took until the deadline of its request
	ReasonAnswerRoom                 // no room in the budget for bodies for what an answer takes
	ReasonAnswerSlow                 // an answer was read slowly while others waited for room or a server
	reasons
)

var reasonNames = [reasons]string{
	"connections", "no-place", "head-timeout", "idle-timeout", "write-timeout", "head-size", "head-room", "head-slow",
	"body-room", "body-slow", "body-timeout", "answer-room", "answer-slow",
}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, reasons)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// counts counts by reason.
type counts [reasons]atomic.Int64

func (c *counts) add(r Reason) { c[r].Add(1) }

// snapshot returns the current values.
func (c *counts) snapshot() (out [reasons]int64) {
	for i := range c {
		out[i] = c[i].Load()
	}
	return out
}
