package process

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"baywall.example/core/clock"
	"baywall.example/core/wait"
)

// suspensionCheckInterval is how often logSuspensions checks for a suspension.
const suspensionCheckInterval = time.Second

// logSuspensions logs each suspension of the machine until the context ends.
func logSuspensions(ctx context.Context, log zerolog.Logger) {
	for known := clock.Suspended(); wait.Sleep(ctx, suspensionCheckInterval); {
		now := clock.Suspended()
		if now > known {
			log.Warn().Dur("for", now-known).Msg("machine was suspended")
		}
		known = now
	}
}
