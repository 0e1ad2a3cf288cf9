// Package monotonic reads the clock that the expiry of allocations and leases is measured by: it never steps, and it goes on
// while the machine is suspended (CLOCK_BOOTTIME of clock_gettime(2)). Readings of two machines share nothing but their rate.
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, including the time it was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without this clock the expiry of allocations can't be guaranteed. Linux has had it since 2.6.39.
		panic("monotonic: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return scaleClock(time.Duration(ts.Nano()))
}
