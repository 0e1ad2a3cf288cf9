package membership

import (
	"math"
	"slices"
	"time"
)

// scaleByHealth lengthens the member's own time-outs by its doubt in itself.
func (m *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+m.healthScore)
}

func (m *Node) adjustHealth(by int) {
	if !m.config.DisableLifeguard {
		m.healthScore = max(0, min(maxHealthScore, m.healthScore+by))
	}
}

// observeClock compares the clock with what was due. A jump voids every verdict under way (4): what was not heard may have been there to hear.
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
		// What came meanwhile has not been read: that time counts for nothing that is waited for, and there is some to read it.
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

// markIsolated notes that nobody is heard: until somebody is, nobody is judged (4).
func (m *Node) markIsolated(now time.Duration) {
	m.isolated = true
	m.addEvent(now, &member{info: &m.self.Info, id: m.self.ID}, "alone", m.self.Incarnation, "we hear nobody")
}

// receivesPings tells whether pings of others came lately, and so whether a member that nobody answers is mute and not deaf.
func (m *Node) receivesPings(now time.Duration) bool {
	return slices.ContainsFunc(m.recentPings, func(p pendingRequest) bool { return now-p.sentAt < 4*m.config.ProbeInterval })
}

// IsolationReason tells why the member judges nobody; empty: it does.
func (m *Node) IsolationReason(now time.Duration) string {
	switch {
	case !m.isolated:
		return ""
	case m.receivesPings(now):
		return "we hear others and none hears us"
	}
	return "we hear nobody"
}
