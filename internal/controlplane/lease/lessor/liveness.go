package lessor

import (
	"time"
)

// isLive reports whether a member has renewed in this term and has missed at most one renewal since.
func (l *Lessor) isLive(now time.Duration, id string) bool {
	m, known := l.members[id]
	return known && m.reportedThisTerm && now < m.lastSeenAt+l.gracePeriod()
}

// deadMembers returns the members that enough others report as dead and that have missed a renewal.
// They are granted no shards, and their leases are granted to others once they have expired. A report
// may be wrong, so it does not end a lease early (step 2).
func (l *Lessor) deadMembers(now time.Duration) map[string]bool {
	deathReports, liveCount := map[string]int{}, 0
	for id, m := range l.members {
		if l.isLive(now, id) {
			liveCount++
			for _, name := range m.deadInstances {
				if name != m.Name {
					deathReports[name]++
				}
			}
		}
	}
	if len(deathReports) == 0 {
		return nil
	}
	dead := map[string]bool{}
	for id, m := range l.members {
		dead[id] = deathReports[m.Name] >= max(2, min(deadQuorum, liveCount-1)) && now >= m.lastSeenAt+l.quotaConfig.MaxOnOtherClock(l.quotaConfig.RenewInterval())
	}
	return dead
}

// gracePeriod is how long after the start of a term all live members have renewed, and how long a
// member counts as live after a renewal: two and a half renewal intervals.
func (l *Lessor) gracePeriod() time.Duration {
	return l.quotaConfig.MaxOnOtherClock(5 * l.quotaConfig.RenewInterval() / 2)
}
