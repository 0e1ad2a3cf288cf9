package membership

import (
	"math"
	"slices"
	"time"
)

// scaleByHealth lengthens the member's own timeouts by its health score (Lifeguard).
func (n *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+n.healthScore)
}

// adjustHealth changes the health score within its bounds.
func (n *Node) adjustHealth(by int) {
	if !n.config.DisableLifeguard {
		n.healthScore = max(0, min(maxHealthScore, n.healthScore+by))
	}
}

// observeClock compares the clock with the time of the announced tick. A large delay is a pause of
// this process and restarts all suspicions (step 4); a smaller one means that messages wait unread,
// and moves the timeouts.
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
		// Messages that came meanwhile have not been read: the delay does not count, and there is time to read them.
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

// markIsolated notes that nobody is heard: until somebody is, no member is declared dead (step 4).
func (n *Node) markIsolated(now time.Duration) {
	n.isolated = true
	n.addEvent(now, &member{info: &n.self.Info, id: n.self.ID}, "alone", n.self.Incarnation, "we hear nobody")
}

// receivesPings reports whether pings of others arrived recently: then this member hears, but is not
// heard.
func (n *Node) receivesPings(now time.Duration) bool {
	return slices.ContainsFunc(n.recentPings, func(p pendingRequest) bool { return now-p.sentAt < 4*n.config.ProbeInterval })
}

// IsolationReason returns why the member declares nobody dead; empty: it does.
func (n *Node) IsolationReason(now time.Duration) string {
	switch {
	case !n.isolated:
		return ""
	case n.receivesPings(now):
		return "we hear others and none hears us"
	}
	return "we hear nobody"
}
