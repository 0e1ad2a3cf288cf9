package lessor

import (
	"time"
)

// isPrompt reports whether a member renews as it should: not more than one renewal was lost.
func (l *Lessor) isPrompt(now time.Duration, id string) bool {
	m, known := l.members[id]
	return known && m.reportedThisTerm && now < m.lastHeardAt+l.gracePeriod()
}

// deadMembers returns the members that enough others report as dead and that have missed a renewal.
// They are granted nothing, and their leases are granted on once they have expired. No lease ends
// sooner because of a report, which may be wrong (step 2).
func (l *Lessor) deadMembers(now time.Duration) map[string]bool {
	words, prompt := map[string]int{}, 0
	for id, m := range l.members {
		if l.isPrompt(now, id) {
			prompt++
			for _, name := range m.deadInstances {
				if name != m.Name {
					words[name]++
				}
			}
		}
	}
	if len(words) == 0 {
		return nil
	}
	dead := map[string]bool{}
	for id, m := range l.members {
		dead[id] = words[m.Name] >= max(2, min(deadQuorum, prompt-1)) && now >= m.lastHeardAt+l.quotaConfig.MaxOnOtherClock(l.quotaConfig.RenewInterval())
	}
	return dead
}

// gracePeriod is how long a new term waits until it has heard all live members.
func (l *Lessor) gracePeriod() time.Duration {
	return l.quotaConfig.MaxOnOtherClock(5 * l.quotaConfig.RenewInterval() / 2)
}
