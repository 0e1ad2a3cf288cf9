package policy

import (
	"math"
	"time"
)

// never is later than any time of the caller's clock.
const never = time.Duration(math.MaxInt64)

// toDuration converts seconds, with an upper bound far beyond any deadline.
func toDuration(x float64) time.Duration { return time.Duration(min(x, 1e6) * float64(time.Second)) }

// dropOlderTimes drops the times before from.
func dropOlderTimes(list []time.Duration, from time.Duration) []time.Duration {
	cut := 0
	for cut < len(list) && list[cut] < from {
		cut++
	}
	return list[cut:]
}
