// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns true. It returns false as soon as the context
// ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
