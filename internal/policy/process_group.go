package policy

import (
	"time"
)

// processGroup is the processes that act for this initiator, such as two during an upgrade. For the
// rules they count as one initiator.
type processGroup struct {
	size, previousSize float64 // now, and until previousUntil; 0: one
	previousUntil      time.Duration
}

// resize takes over the number of processes. After a process has left, its sends still count within
// the window of the cold start rule.
func (g *processGroup) resize(size int, now, span time.Duration) {
	if next := float64(size); next < g.size {
		g.size, g.previousSize, g.previousUntil = next, g.size, now+span
	} else {
		g.size = next
	}
}

// fraction is this process's part of what the rules allow the initiator.
func (g *processGroup) fraction(now time.Duration) float64 {
	if now < g.previousUntil {
		return 1 / max(1, g.size, g.previousSize)
	}
	return 1 / max(1, g.size)
}
