package notice

import (
	"time"

	"baywall.example/core/ratelimit"
)

// Notice is what one answer reports about the backend server that gave it.
type Notice struct {
	// Limit is the number of requests a second that the server accepts from all processes
	// together.
	Limit ratelimit.Report
	// Backoff is how long the server asks the process that received the answer not to send
	// requests, or 0 if it does not ask for a backoff.
	Backoff time.Duration
	// Leaving reports that the server ends soon and accepts no new requests.
	Leaving bool
	// Cold is how much longer the server can process only few requests, or 0 if it does
	// not report that.
	Cold time.Duration
}
