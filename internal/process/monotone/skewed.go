//go:build faults

package monotone

import (
	"os"
	"strconv"
	"time"
)

// rate is how fast this process's clock runs in fault runs: SPINDLEHITCH_CLOCK_RATE, 1 where it is not told.
var rate = func() float64 {
	if r, err := strconv.ParseFloat(os.Getenv("SPINDLEHITCH_CLOCK_RATE"), 64); err == nil {
		return r
	}
	return 1
}()

func skew(t time.Duration) time.Duration { return time.Duration(float64(t) * rate) }
