//go:build !faults

package monotone

import "time"

func skew(t time.Duration) time.Duration { return t }
