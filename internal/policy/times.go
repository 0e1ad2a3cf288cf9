package policy

import (
	"math"
	"time"
)

// never is later than any time of the caller's clock.
const never = time.Duration(math.MaxInt64)

// toDuration converts seconds to a duration, at most 1e6 seconds, which is far beyond any deadline.
func toDuration(x float64) time.Duration { return time.Duration(min(x, 1e6) * float64(time.Second)) }

// dropOlderTimes returns the ordered list without the times before from.
func dropOlderTimes(list []time.Duration, from time.Duration) []time.Duration {
	cut := 0
	for cut < len(list) && list[cut] < from {
		cut++
	}
	return list[cut:]
}
