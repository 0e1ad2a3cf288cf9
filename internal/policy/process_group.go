package policy

import (
	"time"
)

// processGroup counts the processes that act as this initiator, such as two during an upgrade. They
// share the limits of one initiator.
type processGroup struct {
	size, previousSize float64 // number of processes now, and the one that applies until previousUntil; 0: one
	previousUntil      time.Duration
}

// resize sets the number of processes. After a process has exited, the larger number still applies for
// the window of the cold start rule, in which its sends still count.
func (g *processGroup) resize(size int, now, window time.Duration) {
	if next := float64(size); next < g.size {
		g.size, g.previousSize, g.previousUntil = next, g.size, now+window
	} else {
		g.size = next
	}
}

// fraction is this process's fraction of the initiator's limits.
func (g *processGroup) fraction(now time.Duration) float64 {
	if now < g.previousUntil {
		return 1 / max(1, g.size, g.previousSize)
	}
	return 1 / max(1, g.size)
}
