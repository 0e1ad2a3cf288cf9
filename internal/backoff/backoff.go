// Package backoff says how long to wait after failures in a row.
package backoff

import "time"

// After is the wait after so many failures before this one: least, doubled by each up to most, and spread by half of it
// either way (spread is from 0 to 1), since many that failed together must not come back in step.
func After(before int, least, most time.Duration, spread float64) time.Duration {
	d := min(least<<min(before, 16), most)
	return time.Duration((0.5 + spread) * float64(d))
}
