// Package wait holds waits that end early with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the duration and reports true, or false as soon as the context
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
