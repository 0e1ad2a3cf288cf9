// Package monotone reads the one clock that ends of fleet-wide parts are reckoned by: it never steps, and it goes on while
// the machine sleeps (CLOCK_BOOTTIME of clock_gettime(2)). Two machines' readings have nothing in common but their rate.
package monotone

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the machine started, its sleep included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without it nothing may be promised of when a part ends. Linux has had it since 2.6.39.
		panic("monotone: no CLOCK_BOOTTIME: " + err.Error())
	}
	return skew(time.Duration(ts.Nano()))
}
