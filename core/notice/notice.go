package notice

import (
	"time"

	"baywall.example/core/ratelimit"
)

// Notice is what one answer says of the backend server that gave it.
type Notice struct {
	// Limit is how many requests a second the server takes from all processes together.
	Limit ratelimit.Said
	// Rest is for how long the server wants no requests from the process that got the answer,
	// 0 = it does not ask for a rest.
	Rest time.Duration
	// Leaving tells that the server ends soon and takes no new requests.
	Leaving bool
	// Cold is for how much longer the server bears few requests, 0 = it does not say so.
	Cold time.Duration
}
