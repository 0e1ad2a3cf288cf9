//go:build faults

package monotonic

import (
	"os"
	"strconv"
	"time"
)

// clockRate is the rate at which this process's clock runs in fault runs: SPINDLEHITCH_CLOCK_RATE, or 1 if it is not set.
var clockRate = func() float64 {
	if r, err := strconv.ParseFloat(os.Getenv("SPINDLEHITCH_CLOCK_RATE"), 64); err == nil {
		return r
	}
	return 1
}()

// scaleClock returns t at this process's clock rate.
func scaleClock(t time.Duration) time.Duration { return time.Duration(float64(t) * clockRate) }
