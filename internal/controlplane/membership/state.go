package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is the state of another member in this view.
type member struct {
	info            *Info
	id              uint64
	lastHeardAt     time.Duration // last verified message; -1: none
	statusSince     time.Duration // last change of status
	pauseReportedAt time.Duration // when the pause of pausedMs was reported
	deathReporter   uint64        // member that declared it dead
	incarnation     uint32
	pausedMs        uint32
	load            uint16
	status          Status
	health          uint8 // health score that it reported
	lateAcks        uint8 // consecutive late answers
	inRotation      bool  // whether rotation contains it
	suppressed      bool  // it ended long ago: excluded from digests and syncs
}

// lookup returns another member of the view, or nil.
func (n *Node) lookup(id uint64) *member {
	if i, ok := n.index[id]; ok {
		return &n.members[i]
	}
	return nil
}

// recordOf returns a member's record as this view reports it.
func (n *Node) recordOf(m *member) Record {
	r := Record{ID: m.id, Incarnation: m.incarnation, Status: m.status, Info: *m.info, PausedMs: m.pausedMs}
	switch m.status {
	case Suspect:
		r.Reporter = n.self.ID
	case Dead: // the member that declared it: forwarding a death does not make this member a further reporter (step 3)
		r.Reporter = m.deathReporter
	}
	return r
}

// setStatus changes a member's status and incarnation, and records an event with the cause if the status
// differs.
func (n *Node) setStatus(now time.Duration, m *member, s Status, inc uint32, reason string) {
	if old := n.recordOf(m); !m.suppressed {
		n.toggleDigest(&old)
	}
	m.suppressed = false
	if m.status != s {
		if wasLive, isLive := m.status <= Suspect, s <= Suspect; wasLive && !isLive {
			n.liveCount--
			n.endedCount++
		} else if !wasLive && isLive {
			n.liveCount++
			n.endedCount--
			n.insertIntoRotation(m)
		}
		m.statusSince = now
		n.addEvent(now, m, s.String(), inc, reason)
	}
	m.status, m.incarnation = s, inc
	updated := n.recordOf(m)
	n.toggleDigest(&updated)
	if s != Suspect {
		n.suspicions = slices.DeleteFunc(n.suspicions, func(x suspicion) bool { return x.id == m.id })
	}
}

// addMember adds a member that is not in the view.
func (n *Node) addMember(now time.Duration, r *Record, reason string) *member {
	info := r.Info
	n.index[r.ID] = int32(len(n.members))
	n.members = append(n.members, member{info: &info, id: r.ID, lastHeardAt: -1, statusSince: now, incarnation: r.Incarnation, status: r.Status, pausedMs: r.PausedMs, deathReporter: r.Reporter})
	m := &n.members[len(n.members)-1]
	added := n.recordOf(m)
	n.toggleDigest(&added)
	if r.Status <= Suspect {
		n.liveCount++
		n.insertIntoRotation(m)
	} else {
		n.endedCount++
	}
	n.addEvent(now, m, r.Status.String(), r.Incarnation, reason)
	return m
}

// removeMember removes a member that is dead or has left.
func (n *Node) removeMember(id uint64) {
	i := n.index[id]
	if removed := n.recordOf(&n.members[i]); !n.members[i].suppressed {
		n.toggleDigest(&removed)
	}
	n.endedCount--
	n.rotation = slices.DeleteFunc(n.rotation, func(b uint64) bool { return b == id })
	n.rotationPos = min(n.rotationPos, len(n.rotation))
	last := int32(len(n.members) - 1)
	n.members[i] = n.members[last]
	n.index[n.members[i].id] = i
	n.members = n.members[:last]
	delete(n.index, id)
}

// insertIntoRotation puts a member at a random position in the rest of the round, so that the time of its
// first probe is not predictable.
func (n *Node) insertIntoRotation(m *member) {
	if !m.inRotation {
		m.inRotation = true
		n.rotation = slices.Insert(n.rotation, n.rotationPos+n.rng.IntN(len(n.rotation)-n.rotationPos+1), m.id)
	}
}

// mergeRecord merges a record from a verified message into the view (step 2).
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
		// Records of smaller incarnations are outdated, since only the member itself raises its incarnation (step 1).
		oldStatus := m.status
		info := r.Info
		m.info, m.pausedMs, m.pauseReportedAt = &info, r.PausedMs, now
		reason := "told"
		if oldStatus != Alive {
			reason = "refuted"
		}
		n.setStatus(now, m, Alive, r.Incarnation, reason)
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

// refute raises this member's incarnation if a record reports the current one as suspected or dead (step 1).
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

// noteHeard records that the sender of a verified message is alive, and ends isolation. It returns the
// sender's state, or nil if the sender is not in the view.
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

// recordHash returns a record's contribution to the digests. A suspicion counts as alive, since suspicions
// differ between views most of the time.
func recordHash(id uint64, inc uint32, s Status) uint64 {
	if s == Suspect {
		s = Alive
	}
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], id)
	binary.LittleEndian.PutUint32(b[8:], inc)
	b[12] = byte(s)
	return xxhash.Sum64(b[:])
}

// toggleDigest adds a record to the digests, or removes one that was added before (XOR).
func (n *Node) toggleDigest(r *Record) {
	h := recordHash(r.ID, r.Incarnation, r.Status)
	n.digests[r.ID%DigestBuckets] ^= h
	if r.Status <= Suspect {
		n.aliveDigest ^= h
	}
}

// AliveDigest returns a digest that is equal for views with the same live members and incarnations.
func (n *Node) AliveDigest() uint64 { return n.aliveDigest }

// expireState removes members that ended long ago, requests without a reply, and reachability records that
// were not repeated. It republishes this member's own findings that still hold.
func (n *Node) expireState(now time.Duration) {
	var ended []*member
	var expired []uint64
	for i := range n.members {
		if m := &n.members[i]; m.status > Suspect {
			if now-m.statusSince > n.config.TombstoneTTL {
				expired = append(expired, m.id)
			} else {
				if now-m.statusSince > n.config.TombstoneTTL/2 && !m.suppressed { // members that have removed it already must not get it again by a sync
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
			expired = append(expired, m.id)
		}
	}
	for _, id := range expired {
		n.removeMember(id)
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
