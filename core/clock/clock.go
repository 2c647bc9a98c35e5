// Package clock provides times whose differences include the time for which the machine
// was suspended.
//
// Go's monotonic clock is CLOCK_MONOTONIC, which stops while the machine is suspended. For
// all other machines time goes on meanwhile: leases expire, deadlines pass and the
// suspended machine counts as silent. CLOCK_BOOTTIME includes suspensions. Now returns
// Go's time plus the amount by which CLOCK_BOOTTIME has gained on CLOCK_MONOTONIC since
// the process started. Compare its values only with each other, by Since and Until rather
// than time.Since and time.Until. They do not follow steps of the wall clock.
//
// The runtime's timers also stop during a suspension. WithDeadline ends a context on time
// nevertheless; other code that relies on a timer must check Now again when it fires.
package clock

/*
#include <time.h>

// ahead returns by how many nanoseconds CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC.
static long long ahead(void) {
	struct timespec mono, boot;
	clock_gettime(CLOCK_MONOTONIC, &mono);
	clock_gettime(CLOCK_BOOTTIME, &boot);
	return (boot.tv_sec - mono.tv_sec) * 1000000000LL + (boot.tv_nsec - mono.tv_nsec);
}
*/
import "C"

import (
	"sync/atomic"
	"time"
)

// minSuspension is the smallest difference that counts as a suspension, in nanoseconds.
// Smaller ones can arise when the process is descheduled between reading the two clocks.
const minSuspension = int64(100 * time.Millisecond)

// suspensions measures the suspensions of the machine on which this process runs.
var suspensions = newMeter(func() int64 { return int64(C.ahead()) })

// meter measures for how long the machine was suspended. It is safe for concurrent use.
type meter struct {
	ahead     func() int64
	base      int64        // result of ahead at the start, in ns
	measured  atomic.Int64 // suspended time since the start, in ns
	simulated atomic.Int64 // simulated suspensions, in ns
}

func newMeter(ahead func() int64) *meter { return &meter{ahead: ahead, base: ahead()} }

// suspended returns for how long the machine was suspended since the start. The result
// decreases only when a test undoes a simulated suspension.
func (m *meter) suspended() time.Duration {
	for {
		measured := m.measured.Load()
		now := m.ahead() - m.base
		if now-measured < minSuspension || m.measured.CompareAndSwap(measured, now) {
			return time.Duration(m.measured.Load() + m.simulated.Load())
		}
	}
}

// Now returns the current time plus the time for which the machine was suspended since the
// process started.
func Now() time.Time { return time.Now().Add(suspensions.suspended()) }

// Since returns the time that has passed since a value of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a value of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Wall converts a value of Now to wall-clock time, based on the current wall clock.
func Wall(t time.Time) time.Time { return time.Now().Add(Until(t)).Round(0) }

// Suspended returns for how long the machine was suspended since the process started.
func Suspended() time.Duration { return suspensions.suspended() }

// SimulateSuspension simulates a suspension of the machine for the given time. It is for tests, as an
// unprivileged process cannot suspend its machine. A call with the negated time undoes it.
func SimulateSuspension(d time.Duration) { suspensions.simulated.Add(int64(d)) }
