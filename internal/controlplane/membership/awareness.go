package membership

import (
	"math"
	"slices"
	"time"
)

// scaleByHealth lengthens the member's own timeouts by its health score (Lifeguard).
func (m *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+m.healthScore)
}

// adjustHealth changes the health score within its bounds.
func (m *Node) adjustHealth(by int) {
	if !m.config.DisableLifeguard {
		m.healthScore = max(0, min(maxHealthScore, m.healthScore+by))
	}
}

// observeClock compares the clock with the time of the announced tick. A large delay is a pause of
// this process and restarts all suspicions (step 4); a smaller one means that messages wait unread,
// and moves the timeouts.
func (m *Node) observeClock(now time.Duration) {
	late := now - m.announcedTick
	switch {
	case m.config.DisableLifeguard:
	case late > m.config.PauseThreshold:
		m.Counts.Pauses++
		m.adjustHealth(3)
		m.restartSuspicions(now)
		m.self.PausedMs = uint32(min(late.Milliseconds(), math.MaxUint32))
		m.raiseIncarnation()
	case late > m.config.ProbeTimeout/2:
		m.Counts.Starved++
		m.adjustHealth(1)
		// Messages that came meanwhile have not been read: the delay does not count, and there is time to read them.
		late += m.config.ProbeTimeout
		if m.currentProbe != nil {
			m.currentProbe.startedAt += late
			m.nextProbe += late
		}
		for i := range m.suspicions {
			m.suspicions[i].startedAt += late
		}
	}
	m.announcedTick, m.clockCheckedAt = max(m.announcedTick, now), now
	if now-m.syncPeriodStart >= m.config.ProbeInterval {
		m.syncPeriodStart, m.syncAnswers = now, 0
	}
}

// markIsolated notes that nobody is heard: until somebody is, no member is declared dead (step 4).
func (m *Node) markIsolated(now time.Duration) {
	m.isolated = true
	m.addEvent(now, &member{info: &m.self.Info, id: m.self.ID}, "alone", m.self.Incarnation, "we hear nobody")
}

// receivesPings reports whether pings of others arrived recently: then this member hears, but is not
// heard.
func (m *Node) receivesPings(now time.Duration) bool {
	return slices.ContainsFunc(m.recentPings, func(p pendingRequest) bool { return now-p.sentAt < 4*m.config.ProbeInterval })
}

// IsolationReason returns why the member declares nobody dead; empty: it does.
func (m *Node) IsolationReason(now time.Duration) string {
	switch {
	case !m.isolated:
		return ""
	case m.receivesPings(now):
		return "we hear others and none hears us"
	}
	return "we hear nobody"
}
