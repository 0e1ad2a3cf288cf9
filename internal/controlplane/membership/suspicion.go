package membership

import (
	"math"
	"slices"
	"time"
)

// suspicion is a member that is suspected, until it refutes or the timeout declares it dead.
type suspicion struct {
	id             uint64
	incarnation    uint32
	startedAt      time.Duration // start of the timeout
	reporters      []uint64      // members that could not reach it themselves
	deathReporters []uint64      // members that declare it dead
	restarted      bool          // after a pause or isolation of this process
}

// MinSuspicion is how long a suspicion lasts once enough reporters have confirmed it, with a health
// score of 0.
func (m *Node) MinSuspicion() time.Duration {
	return time.Duration(m.config.SuspicionMult / 2 * max(1, math.Log10(float64(m.Size()))) * float64(m.config.ProbeInterval))
}

// MaxSuspicion is how long a suspicion with a single reporter lasts.
func (m *Node) MaxSuspicion() time.Duration {
	return time.Duration(m.config.SuspicionMaxMult * float64(m.MinSuspicion()))
}

// suspicionDeadline is when a suspicion becomes a death in this view: the timeout shrinks with the
// logarithm of the reporters (step 3) and grows with this process's own health score.
func (m *Node) suspicionDeadline(s *suspicion) time.Duration {
	least, most := m.MinSuspicion(), m.MaxSuspicion()
	if m.config.DisableLifeguard {
		return s.startedAt + 2*least
	}
	k := min(m.config.Confirmations, max(1, m.Size()-1)) // possible reporters, including this member
	if k > 1 && len(s.reporters) > 0 {
		c := min(len(s.reporters), k)
		most -= time.Duration(float64(most-least) * math.Log(float64(c)) / math.Log(float64(k)))
	}
	return s.startedAt + most + most*time.Duration(m.healthScore)/2
}

// suspect records that reporter suspects a member; 0: nobody in particular.
func (m *Node) suspect(now time.Duration, e *member, inc uint32, by uint64, why string) {
	if e.status == Alive {
		m.setStatus(now, e, Suspect, inc, why)
		m.suspicions = append(m.suspicions, suspicion{id: e.id, incarnation: inc, startedAt: now})
		m.Counts.Suspected++
	}
	for i := range m.suspicions {
		s := &m.suspicions[i]
		if by == 0 || s.id != e.id || slices.Contains(s.reporters, by) || len(s.reporters) >= m.config.Confirmations {
			continue
		}
		s.reporters = append(s.reporters, by)
		r := m.recordOf(e)
		r.Reporter, r.PausedMs = by, 0
		m.queueBroadcast(r)
	}
}

// declareDead declares a member dead.
func (m *Node) declareDead(now time.Duration, e *member, why string, judge uint64, by []uint64) {
	e.deathReporter = judge
	m.setStatus(now, e, Dead, e.incarnation, why)
	m.events[len(m.events)-1].Reporters = by
	m.Counts.Buried++
	m.queueBroadcast(m.recordOf(e))
}

// mergeDeath counts another member's declaration that a member is dead, until enough have declared it
// (step 3).
func (m *Node) mergeDeath(now time.Duration, e *member, r *Record) {
	if m.config.DisableLifeguard {
		e.deathReporter = r.Reporter
		m.setStatus(now, e, Dead, r.Incarnation, "told")
		m.queueBroadcast(*r)
		return
	}
	m.suspect(now, e, max(r.Incarnation, e.incarnation), 0, "told dead") // it may have declared by others' reports: it is no reporter
	for i := range m.suspicions {
		s := &m.suspicions[i]
		if s.id != e.id || slices.Contains(s.deathReporters, r.Reporter) {
			continue
		}
		s.deathReporters = append(s.deathReporters, r.Reporter)
		m.queueBroadcast(*r)
		if len(s.deathReporters) >= m.config.Confirmations && !m.isolated {
			m.declareDead(now, e, "enough hold it dead", s.deathReporters[0], s.deathReporters)
		}
		return
	}
}

// confirmSuspicions declares members dead whose suspicion has timed out. A member that hears nobody
// declares nobody dead (step 4).
func (m *Node) confirmSuspicions(now time.Duration) {
	if m.isolated && !m.config.DisableLifeguard {
		return
	}
	for i := 0; i < len(m.suspicions); i++ {
		if s := &m.suspicions[i]; now >= m.suspicionDeadline(s) {
			if m.lastHeardAt <= s.startedAt && !m.config.DisableLifeguard {
				m.markIsolated(now) // nobody was heard in all that time
				return
			}
			if e := m.lookup(s.id); e != nil && e.status == Suspect {
				m.declareDead(now, e, "nobody hears it", m.self.ID, s.reporters)
			} else {
				m.suspicions = slices.Delete(m.suspicions, i, i+1)
			}
			i--
		}
	}
}

// restartSuspicions starts all suspicions again without reporters: what was not heard may have been
// there to hear.
func (m *Node) restartSuspicions(now time.Duration) {
	m.currentProbe = nil
	clear(m.pending)
	clear(m.missedProbes)
	m.recentPings = m.recentPings[:0]
	m.lastHeardAt = now
	for i := range m.suspicions {
		s := &m.suspicions[i]
		s.startedAt, s.reporters, s.deathReporters, s.restarted = now, nil, nil, true
		m.Counts.Voided++
	}
}
