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
func (n *Node) lookup(birth uint64) *member {
	if i, ok := n.index[birth]; ok {
		return &n.members[i]
	}
	return nil
}

// recordOf returns the view's record of a member.
func (n *Node) recordOf(m *member) Record {
	r := Record{ID: m.id, Incarnation: m.incarnation, Status: m.status, Info: *m.info, PausedMs: m.pausedMs}
	switch m.status {
	case Suspect:
		r.Reporter = n.self.ID
	case Dead: // keeps who declared it: hearing of it makes nobody a further reporter (step 3)
		r.Reporter = m.deathReporter
	}
	return r
}

// setStatus changes a member's status and incarnation, and records the cause.
func (n *Node) setStatus(now time.Duration, m *member, s Status, inc uint32, why string) {
	if was := n.recordOf(m); !m.suppressed {
		n.toggleDigest(&was)
	}
	m.suppressed = false
	if m.status != s {
		if was, is := m.status <= Suspect, s <= Suspect; was && !is {
			n.liveCount--
			n.endedCount++
		} else if !was && is {
			n.liveCount++
			n.endedCount--
			n.insertIntoRotation(m)
		}
		m.statusSince = now
		n.addEvent(now, m, s.String(), inc, why)
	}
	m.status, m.incarnation = s, inc
	is := n.recordOf(m)
	n.toggleDigest(&is)
	if s != Suspect {
		n.suspicions = slices.DeleteFunc(n.suspicions, func(x suspicion) bool { return x.id == m.id })
	}
}

// addMember adds a member that was not known.
func (n *Node) addMember(now time.Duration, r *Record, why string) *member {
	info := r.Info
	n.index[r.ID] = int32(len(n.members))
	n.members = append(n.members, member{info: &info, id: r.ID, lastHeardAt: -1, statusSince: now, incarnation: r.Incarnation, status: r.Status, pausedMs: r.PausedMs, deathReporter: r.Reporter})
	m := &n.members[len(n.members)-1]
	is := n.recordOf(m)
	n.toggleDigest(&is)
	if r.Status <= Suspect {
		n.liveCount++
		n.insertIntoRotation(m)
	} else {
		n.endedCount++
	}
	n.addEvent(now, m, r.Status.String(), r.Incarnation, why)
	return m
}

// removeMember forgets a member that has ended.
func (n *Node) removeMember(birth uint64) {
	i := n.index[birth]
	if was := n.recordOf(&n.members[i]); !n.members[i].suppressed {
		n.toggleDigest(&was)
	}
	n.endedCount--
	n.rotation = slices.DeleteFunc(n.rotation, func(b uint64) bool { return b == birth })
	n.rotationPos = min(n.rotationPos, len(n.rotation))
	last := int32(len(n.members) - 1)
	n.members[i] = n.members[last]
	n.index[n.members[i].id] = i
	n.members = n.members[:last]
	delete(n.index, birth)
}

// insertIntoRotation puts a member at a random place of the rest of the round, so that the time of its
// first probe is not predictable.
func (n *Node) insertIntoRotation(m *member) {
	if !m.inRotation {
		m.inRotation = true
		n.rotation = slices.Insert(n.rotation, n.rotationPos+n.rng.IntN(len(n.rotation)-n.rotationPos+1), m.id)
	}
}

// mergeRecord takes over a record that came with a verified message (step 2).
func (n *Node) mergeRecord(now time.Duration, r *Record) {
	if r.ID == n.self.ID {
		n.refute(r)
		return
	}
	m := n.lookup(r.ID)
	if m == nil {
		first := *r
		if first.Status == Suspect {
			first.Status = Alive
		}
		m = n.addMember(now, &first, "told")
		n.queueBroadcast(first)
		if r.Status == Suspect {
			n.suspect(now, m, r.Incarnation, r.Reporter, "told")
		}
		return
	}
	if r.Incarnation > m.incarnation && (r.Status <= Suspect || r.Status == Dead && m.status <= Suspect) {
		// A greater incarnation outdates everything that was said before: only the member itself raises it.
		was := m.status
		info := r.Info
		m.info, m.pausedMs, m.pauseToldAt = &info, r.PausedMs, now
		why := "told"
		if was != Alive {
			why = "refuted"
		}
		n.setStatus(now, m, Alive, r.Incarnation, why)
		n.queueBroadcast(Record{ID: r.ID, Incarnation: r.Incarnation, Info: r.Info, PausedMs: r.PausedMs})
	}
	switch {
	case r.Status == Suspect && r.Incarnation == m.incarnation && m.status <= Suspect:
		n.suspect(now, m, r.Incarnation, r.Reporter, "told")
	case r.Status == Dead && r.Incarnation >= m.incarnation && m.status <= Suspect:
		n.mergeDeath(now, m, r)
	case r.Status == Dead && r.Incarnation > m.incarnation && m.status == Dead:
		m.deathReporter = r.Reporter
		n.setStatus(now, m, Dead, r.Incarnation, "told")
	case r.Status == Left && r.Incarnation >= m.incarnation && m.status != Left:
		n.setStatus(now, m, Left, r.Incarnation, "it said so")
		n.queueBroadcast(Record{ID: r.ID, Incarnation: r.Incarnation, Status: Left, Info: r.Info})
	}
}

// refute answers a suspicion or a death of this member with a greater incarnation (step 1).
func (n *Node) refute(r *Record) {
	switch {
	case r.Incarnation > n.self.Incarnation:
		n.Counts.FutureIncarnations++
	case r.Incarnation == n.self.Incarnation && r.Status != Alive && n.self.Status == Alive:
		n.Counts.Refuted++
		n.adjustHealth(1)
		n.self.PausedMs = 0
		n.raiseIncarnation()
	}
}

// noteHeard records a message that surely is recent, since it echoes a nonce of this member.
func (n *Node) noteHeard(now time.Duration, msg *Message) *member {
	n.lastHeardAt = now
	clear(n.missedProbes)
	if n.isolated {
		n.isolated = false
		n.restartSuspicions(now)
	}
	n.mergeRecord(now, &msg.From)
	m := n.lookup(msg.From.ID)
	if m == nil {
		return nil
	}
	m.lastHeardAt, m.health, m.load = now, msg.Health, msg.Load
	if m.status == Suspect && msg.From.Incarnation >= m.incarnation {
		n.setStatus(now, m, Alive, m.incarnation, "heard")
	}
	if msg.Agent != "" {
		n.agents = slices.DeleteFunc(n.agents, func(seen agentSeen) bool { return seen.addr == msg.Agent })
		if n.agents = append(n.agents, agentSeen{msg.Agent, now}); len(n.agents) > maxAgents {
			n.agents = n.agents[1:]
		}
	}
	return m
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
func (n *Node) toggleDigest(r *Record) {
	h := recordHash(r.ID, r.Incarnation, r.Status)
	n.digests[r.ID%DigestBuckets] ^= h
	if r.Status <= Suspect {
		n.aliveDigest ^= h
	}
}

// AliveDigest is equal for two views that have the same live members with the same incarnations.
func (n *Node) AliveDigest() uint64 { return n.aliveDigest }

// expireState forgets members that ended long ago, requests that nobody answers, and reachability
// records that were not repeated; it repeats its own.
func (n *Node) expireState(now time.Duration) {
	var ended []*member
	var gone []uint64
	for i := range n.members {
		if m := &n.members[i]; m.status > Suspect {
			if now-m.statusSince > n.config.TombstoneTTL {
				gone = append(gone, m.id)
			} else {
				if now-m.statusSince > n.config.TombstoneTTL/2 && !m.suppressed { // a member that has forgotten it must not learn of it again
					r := n.recordOf(m)
					n.toggleDigest(&r)
					m.suppressed = true
				}
				ended = append(ended, m)
			}
		}
	}
	if over := len(ended) - maxTombstones; over > 0 {
		slices.SortStableFunc(ended, func(x, y *member) int { return cmp.Compare(x.statusSince, y.statusSince) })
		for _, m := range ended[:over] {
			gone = append(gone, m.id)
		}
	}
	for _, y := range gone {
		n.removeMember(y)
	}
	for nonce, x := range n.pending {
		if now-x.sentAt > 10*n.config.ProbeInterval*time.Duration(1+n.healthScore) {
			delete(n.pending, nonce)
		}
	}
	for _, k := range n.sortedReachKeys() {
		reach := n.reachability[k]
		switch {
		case k.observer == n.self.ID && reach.State != LinkUp && now-reach.at > n.reachabilityTTL()/3 && n.findSuspectPath(k.from+k.to-k.observer) != nil:
			n.publishReachability(now, reach.Reachability)
		case now-reach.at > n.reachabilityTTL():
			delete(n.reachability, k)
		}
	}
}
