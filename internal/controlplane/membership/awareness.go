package membership

import (
	"math"
	"slices"
	"time"
)

// scaleByHealth lengthens one of this member's timeouts in proportion to its health score (Lifeguard).
func (n *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+n.healthScore)
}

// adjustHealth adds to the health score, within 0 and maxHealthScore.
func (n *Node) adjustHealth(by int) {
	if !n.config.DisableLifeguard {
		n.healthScore = max(0, min(maxHealthScore, n.healthScore+by))
	}
}

// observeClock compares the clock with the time of the announced tick. A large delay means that this
// process was paused, and restarts all suspicions (step 4). A smaller one means that received messages
// may still be queued, and postpones the timeouts.
func (n *Node) observeClock(now time.Duration) {
	late := now - n.announcedTick
	switch {
	case n.config.DisableLifeguard:
	case late > n.config.PauseThreshold:
		n.Counts.Pauses++
		n.adjustHealth(3)
		n.restartSuspicions(now)
		n.self.PausedMs = uint32(min(late.Milliseconds(), math.MaxUint32))
		n.raiseIncarnation()
	case late > n.config.ProbeTimeout/2:
		n.Counts.Starved++
		n.adjustHealth(1)
		// Messages that arrived meanwhile are still queued: the delay does not count against other members, and one
		// more probe timeout is granted to process the queue.
		late += n.config.ProbeTimeout
		if n.currentProbe != nil {
			n.currentProbe.startedAt += late
			n.nextProbe += late
		}
		for i := range n.suspicions {
			n.suspicions[i].startedAt += late
		}
	}
	n.announcedTick, n.clockCheckedAt = max(n.announcedTick, now), now
	if now-n.syncPeriodStart >= n.config.ProbeInterval {
		n.syncPeriodStart, n.syncAnswers = now, 0
	}
}

// markIsolated marks this member as isolated: it receives no verified messages, and declares no member
// dead until it receives one (step 4).
func (n *Node) markIsolated(now time.Duration) {
	n.isolated = true
	n.addEvent(now, &member{info: &n.self.Info, id: n.self.ID}, "alone", n.self.Incarnation, "we hear nobody")
}

// receivesPings reports whether pings of other members arrived recently. If they did while this member
// is isolated, it can receive, but its own messages do not arrive.
func (n *Node) receivesPings(now time.Duration) bool {
	return slices.ContainsFunc(n.recentPings, func(p pendingRequest) bool { return now-p.sentAt < 4*n.config.ProbeInterval })
}

// IsolationReason returns why this member declares no member dead, or "" if it is not isolated.
func (n *Node) IsolationReason(now time.Duration) string {
	switch {
	case !n.isolated:
		return ""
	case n.receivesPings(now):
		return "we hear others and none hears us"
	}
	return "we hear nobody"
}
