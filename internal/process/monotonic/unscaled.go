//go:build !faults

package monotonic

import "time"

// scaleClock returns t: only a program built with the tag faults has a clock rate.
func scaleClock(t time.Duration) time.Duration { return t }
