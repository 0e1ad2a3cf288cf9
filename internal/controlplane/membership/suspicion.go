package membership

import (
	"math"
	"slices"
	"time"
)

// suspicion is the state of a suspected member, until it refutes or is declared dead.
type suspicion struct {
	id             uint64
	incarnation    uint32
	startedAt      time.Duration // start of the timeout
	reporters      []uint64      // members that could not reach it themselves
	deathReporters []uint64      // members that declared it dead
	restarted      bool          // the timeout was restarted after a pause or isolation of this process
}

// MinSuspicion returns how long a suspicion lasts once enough reporters have confirmed it, at a health
// score of 0.
func (n *Node) MinSuspicion() time.Duration {
	return time.Duration(n.config.SuspicionMult / 2 * max(1, math.Log10(float64(n.Size()))) * float64(n.config.ProbeInterval))
}

// MaxSuspicion returns how long a suspicion with a single reporter lasts, at a health score of 0.
func (n *Node) MaxSuspicion() time.Duration {
	return time.Duration(n.config.SuspicionMaxMult * float64(n.MinSuspicion()))
}

// suspicionDeadline returns when a suspicion becomes a death in this view: the timeout shrinks with the
// logarithm of the number of reporters (step 3) and grows with this member's own health score.
func (n *Node) suspicionDeadline(s *suspicion) time.Duration {
	least, most := n.MinSuspicion(), n.MaxSuspicion()
	if n.config.DisableLifeguard {
		return s.startedAt + 2*least
	}
	k := min(n.config.Confirmations, max(1, n.Size()-1)) // possible reporters, including this member
	if k > 1 && len(s.reporters) > 0 {
		c := min(len(s.reporters), k)
		most -= time.Duration(float64(most-least) * math.Log(float64(c)) / math.Log(float64(k)))
	}
	return s.startedAt + most + most*time.Duration(n.healthScore)/2
}

// suspect records that reporter suspects a member, and starts a suspicion if there is none; 0: start it
// without a reporter.
func (n *Node) suspect(now time.Duration, m *member, inc uint32, reporter uint64, reason string) {
	if m.status == Alive {
		n.setStatus(now, m, Suspect, inc, reason)
		n.suspicions = append(n.suspicions, suspicion{id: m.id, incarnation: inc, startedAt: now})
		n.Counts.Suspected++
	}
	for i := range n.suspicions {
		s := &n.suspicions[i]
		if reporter == 0 || s.id != m.id || slices.Contains(s.reporters, reporter) || len(s.reporters) >= n.config.Confirmations {
			continue
		}
		s.reporters = append(s.reporters, reporter)
		r := n.recordOf(m)
		r.Reporter, r.PausedMs = reporter, 0
		n.queueBroadcast(r)
	}
}

// declareDead declares a member dead on behalf of declarer; reporters are recorded in the event.
func (n *Node) declareDead(now time.Duration, m *member, reason string, declarer uint64, reporters []uint64) {
	m.deathReporter = declarer
	n.setStatus(now, m, Dead, m.incarnation, reason)
	n.events[len(n.events)-1].Reporters = reporters
	n.Counts.DeclaredDead++
	n.queueBroadcast(n.recordOf(m))
}

// mergeDeath counts another member's declaration of a death, and declares the member dead once enough
// members have declared it (step 3).
func (n *Node) mergeDeath(now time.Duration, m *member, r *Record) {
	if n.config.DisableLifeguard {
		m.deathReporter = r.Reporter
		n.setStatus(now, m, Dead, r.Incarnation, "told")
		n.queueBroadcast(*r)
		return
	}
	n.suspect(now, m, max(r.Incarnation, m.incarnation), 0, "told dead") // the declarer may rely on reports of others, so it does not count as a reporter
	for i := range n.suspicions {
		s := &n.suspicions[i]
		if s.id != m.id || slices.Contains(s.deathReporters, r.Reporter) {
			continue
		}
		s.deathReporters = append(s.deathReporters, r.Reporter)
		n.queueBroadcast(*r)
		if len(s.deathReporters) >= n.config.Confirmations && !n.isolated {
			n.declareDead(now, m, "enough hold it dead", s.deathReporters[0], s.deathReporters)
		}
		return
	}
}

// confirmSuspicions declares members dead whose suspicion has timed out. An isolated member declares no
// member dead (step 4).
func (n *Node) confirmSuspicions(now time.Duration) {
	if n.isolated && !n.config.DisableLifeguard {
		return
	}
	for i := 0; i < len(n.suspicions); i++ {
		if s := &n.suspicions[i]; now >= n.suspicionDeadline(s) {
			if n.lastHeardAt <= s.startedAt && !n.config.DisableLifeguard {
				n.markIsolated(now) // no verified message arrived during the whole suspicion
				return
			}
			if m := n.lookup(s.id); m != nil && m.status == Suspect {
				n.declareDead(now, m, "nobody hears it", n.self.ID, s.reporters)
			} else {
				n.suspicions = slices.Delete(n.suspicions, i, i+1)
			}
			i--
		}
	}
}

// restartSuspicions discards the probe in progress and all pending requests, and restarts all suspicions
// without reporters: replies may have been sent while this process did not receive them.
func (n *Node) restartSuspicions(now time.Duration) {
	n.currentProbe = nil
	clear(n.pending)
	clear(n.missedProbes)
	n.recentPings = n.recentPings[:0]
	n.lastHeardAt = now
	for i := range n.suspicions {
		s := &n.suspicions[i]
		s.startedAt, s.reporters, s.deathReporters, s.restarted = now, nil, nil, true
		n.Counts.RestartedSuspicions++
	}
}
