package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is what is known of another member.
type member struct {
	info          *Info
	id            uint64
	lastHeardAt   time.Duration // last message that surely was recent; -1: none
	statusSince   time.Duration // last change of status
	pauseToldAt   time.Duration // when it told of a pause of pausedMs
	deathReporter uint64        // who declared it dead
	incarnation   uint32
	pausedMs      uint32
	load          uint16
	status        Status
	health        uint8 // health score that it told
	lateAcks      uint8 // late answers in a row
	inRotation    bool  // it is in the probe order
	suppressed    bool  // it ended long ago and is not told any more
}

// lookup returns a known member, or nil.
func (m *Node) lookup(birth uint64) *member {
	if i, ok := m.index[birth]; ok {
		return &m.members[i]
	}
	return nil
}

// recordOf returns the view's record of a member.
func (m *Node) recordOf(e *member) Record {
	r := Record{ID: e.id, Incarnation: e.incarnation, Status: e.status, Info: *e.info, PausedMs: e.pausedMs}
	switch e.status {
	case Suspect:
		r.Reporter = m.self.ID
	case Dead: // keeps who declared it: hearing of it makes nobody a further reporter (step 3)
		r.Reporter = e.deathReporter
	}
	return r
}

// setStatus changes a member's status and incarnation, and records the cause.
func (m *Node) setStatus(now time.Duration, e *member, s Status, inc uint32, why string) {
	if was := m.recordOf(e); !e.suppressed {
		m.toggleDigest(&was)
	}
	e.suppressed = false
	if e.status != s {
		if was, is := e.status <= Suspect, s <= Suspect; was && !is {
			m.liveCount--
			m.endedCount++
		} else if !was && is {
			m.liveCount++
			m.endedCount--
			m.insertIntoRotation(e)
		}
		e.statusSince = now
		m.addEvent(now, e, s.String(), inc, why)
	}
	e.status, e.incarnation = s, inc
	is := m.recordOf(e)
	m.toggleDigest(&is)
	if s != Suspect {
		m.suspicions = slices.DeleteFunc(m.suspicions, func(x suspicion) bool { return x.id == e.id })
	}
}

// addMember adds a member that was not known.
func (m *Node) addMember(now time.Duration, r *Record, why string) *member {
	info := r.Info
	m.index[r.ID] = int32(len(m.members))
	m.members = append(m.members, member{info: &info, id: r.ID, lastHeardAt: -1, statusSince: now, incarnation: r.Incarnation, status: r.Status, pausedMs: r.PausedMs, deathReporter: r.Reporter})
	e := &m.members[len(m.members)-1]
	is := m.recordOf(e)
	m.toggleDigest(&is)
	if r.Status <= Suspect {
		m.liveCount++
		m.insertIntoRotation(e)
	} else {
		m.endedCount++
	}
	m.addEvent(now, e, r.Status.String(), r.Incarnation, why)
	return e
}

// removeMember forgets a member that has ended.
func (m *Node) removeMember(birth uint64) {
	i := m.index[birth]
	if was := m.recordOf(&m.members[i]); !m.members[i].suppressed {
		m.toggleDigest(&was)
	}
	m.endedCount--
	m.rotation = slices.DeleteFunc(m.rotation, func(b uint64) bool { return b == birth })
	m.rotationPos = min(m.rotationPos, len(m.rotation))
	last := int32(len(m.members) - 1)
	m.members[i] = m.members[last]
	m.index[m.members[i].id] = i
	m.members = m.members[:last]
	delete(m.index, birth)
}

// insertIntoRotation puts a member at a random place of the rest of the round, so that the time of its
// first probe is not predictable.
func (m *Node) insertIntoRotation(e *member) {
	if !e.inRotation {
		e.inRotation = true
		m.rotation = slices.Insert(m.rotation, m.rotationPos+m.rng.IntN(len(m.rotation)-m.rotationPos+1), e.id)
	}
}

// mergeRecord takes over a record that came with a verified message (step 2).
func (m *Node) mergeRecord(now time.Duration, r *Record) {
	if r.ID == m.self.ID {
		m.refute(r)
		return
	}
	e := m.lookup(r.ID)
	if e == nil {
		n := *r
		if n.Status == Suspect {
			n.Status = Alive
		}
		e = m.addMember(now, &n, "told")
		m.queueBroadcast(n)
		if r.Status == Suspect {
			m.suspect(now, e, r.Incarnation, r.Reporter, "told")
		}
		return
	}
	if r.Incarnation > e.incarnation && (r.Status <= Suspect || r.Status == Dead && e.status <= Suspect) {
		// A greater incarnation outdates everything that was said before: only the member itself raises it.
		was := e.status
		info := r.Info
		e.info, e.pausedMs, e.pauseToldAt = &info, r.PausedMs, now
		why := "told"
		if was != Alive {
			why = "refuted"
		}
		m.setStatus(now, e, Alive, r.Incarnation, why)
		m.queueBroadcast(Record{ID: r.ID, Incarnation: r.Incarnation, Info: r.Info, PausedMs: r.PausedMs})
	}
	switch {
	case r.Status == Suspect && r.Incarnation == e.incarnation && e.status <= Suspect:
		m.suspect(now, e, r.Incarnation, r.Reporter, "told")
	case r.Status == Dead && r.Incarnation >= e.incarnation && e.status <= Suspect:
		m.mergeDeath(now, e, r)
	case r.Status == Dead && r.Incarnation > e.incarnation && e.status == Dead:
		e.deathReporter = r.Reporter
		m.setStatus(now, e, Dead, r.Incarnation, "told")
	case r.Status == Left && r.Incarnation >= e.incarnation && e.status != Left:
		m.setStatus(now, e, Left, r.Incarnation, "it said so")
		m.queueBroadcast(Record{ID: r.ID, Incarnation: r.Incarnation, Status: Left, Info: r.Info})
	}
}

// refute answers a suspicion or a death of this member with a greater incarnation (step 1).
func (m *Node) refute(r *Record) {
	switch {
	case r.Incarnation > m.self.Incarnation:
		m.Counts.Absurd++
	case r.Incarnation == m.self.Incarnation && r.Status != Alive && m.self.Status == Alive:
		m.Counts.Refuted++
		m.adjustHealth(1)
		m.self.PausedMs = 0
		m.raiseIncarnation()
	}
}

// noteHeard records a message that surely is recent, since it echoes a nonce of this member.
func (m *Node) noteHeard(now time.Duration, x *Message) *member {
	m.lastHeardAt = now
	clear(m.missedProbes)
	if m.isolated {
		m.isolated = false
		m.restartSuspicions(now)
	}
	m.mergeRecord(now, &x.From)
	e := m.lookup(x.From.ID)
	if e == nil {
		return nil
	}
	e.lastHeardAt, e.health, e.load = now, x.Health, x.Load
	if e.status == Suspect && x.From.Incarnation >= e.incarnation {
		m.setStatus(now, e, Alive, e.incarnation, "heard")
	}
	if x.Agent != "" {
		m.agents = slices.DeleteFunc(m.agents, func(a agentSeen) bool { return a.addr == x.Agent })
		if m.agents = append(m.agents, agentSeen{x.Agent, now}); len(m.agents) > maxAgents {
			m.agents = m.agents[1:]
		}
	}
	return e
}

// recordHash is a record's part of the digests. A suspicion counts as alive, since views differ in
// suspicions all the time.
func recordHash(birth uint64, inc uint32, s Status) uint64 {
	if s == Suspect {
		s = Alive
	}
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], birth)
	binary.LittleEndian.PutUint32(b[8:], inc)
	b[12] = byte(s)
	return xxhash.Sum64(b[:])
}

// toggleDigest adds a record to the digests, or removes it.
func (m *Node) toggleDigest(r *Record) {
	h := recordHash(r.ID, r.Incarnation, r.Status)
	m.digests[r.ID%DigestBuckets] ^= h
	if r.Status <= Suspect {
		m.aliveDigest ^= h
	}
}

// AliveDigest is equal for two views that have the same live members with the same incarnations.
func (m *Node) AliveDigest() uint64 { return m.aliveDigest }

// expireState forgets members that ended long ago, requests that nobody answers, and reachability
// records that were not repeated; it repeats its own.
func (m *Node) expireState(now time.Duration) {
	var ended []*member
	var gone []uint64
	for i := range m.members {
		if e := &m.members[i]; e.status > Suspect {
			if now-e.statusSince > m.config.TombstoneTTL {
				gone = append(gone, e.id)
			} else {
				if now-e.statusSince > m.config.TombstoneTTL/2 && !e.suppressed { // a member that has forgotten it must not learn of it again
					r := m.recordOf(e)
					m.toggleDigest(&r)
					e.suppressed = true
				}
				ended = append(ended, e)
			}
		}
	}
	if over := len(ended) - maxTombstones; over > 0 {
		slices.SortStableFunc(ended, func(a, b *member) int { return cmp.Compare(a.statusSince, b.statusSince) })
		for _, e := range ended[:over] {
			gone = append(gone, e.id)
		}
	}
	for _, b := range gone {
		m.removeMember(b)
	}
	for n, a := range m.pending {
		if now-a.sentAt > 10*m.config.ProbeInterval*time.Duration(1+m.healthScore) {
			delete(m.pending, n)
		}
	}
	for _, k := range m.sortedReachKeys() {
		l := m.reachability[k]
		switch {
		case k.observer == m.self.ID && l.State != LinkUp && now-l.at > m.reachabilityTTL()/3 && m.findSuspectPath(k.from+k.to-k.observer) != nil:
			m.publishReachability(now, l.Reachability)
		case now-l.at > m.reachabilityTTL():
			delete(m.reachability, k)
		}
	}
}
