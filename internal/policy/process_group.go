package policy

import (
	"time"
)

// processGroup is the processes that act for this initiator: for the rules they are one.
type processGroup struct {
	size, previousSize float64 // now, and until lately; 0: one
	previousUntil      time.Duration
}

// resize takes over their number. What one that has gone sent counts for the span that the rule on cold nodes looks back.
func (c *processGroup) resize(size int, now, span time.Duration) {
	if next := float64(size); next < c.size {
		c.size, c.previousSize, c.previousUntil = next, c.size, now+span
	} else {
		c.size = next
	}
}

// fraction is this process's part of what the rules allow them together.
func (c *processGroup) fraction(now time.Duration) float64 {
	if now < c.previousUntil {
		return 1 / max(1, c.size, c.previousSize)
	}
	return 1 / max(1, c.size)
}
