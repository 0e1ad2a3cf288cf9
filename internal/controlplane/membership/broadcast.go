package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// broadcast is a record that is being piggybacked.
type broadcast struct {
	Record
	transmissions int
}

// retransmitLimit is how often a record is piggybacked.
func (m *Node) retransmitLimit() int {
	return int(math.Ceil(m.config.RetransmitMult * math.Log2(float64(m.Size())+1)))
}

// queueBroadcast has a record piggybacked. It replaces what was to be told of the member before,
// except the reports of other reporters.
func (m *Node) queueBroadcast(r Record) {
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(u broadcast) bool {
		return u.ID == r.ID && (u.Incarnation < r.Incarnation || u.Incarnation == r.Incarnation && (u.Status < r.Status || u.Status == r.Status && u.Reporter == r.Reporter))
	})
	if len(m.broadcasts) >= maxBroadcasts { // it was sent most often
		m.broadcasts = slices.Delete(m.broadcasts, 0, 1)
	}
	m.broadcasts = append(m.broadcasts, broadcast{Record: r})
}

// piggyback fills a verified message with what is to be spread: first what the receiver should know of
// itself, then what was sent least often. A message's size does not depend on the fleet's.
func (m *Node) piggyback(x *Message, to uint64) {
	room := MaxMessageBytes - 200 - x.From.size()
	if e := m.lookup(to); e != nil && e.status != Alive && e.status != Left {
		r := m.recordOf(e)
		x.Records = append(x.Records, r)
		room -= r.size()
	}
	most := m.retransmitLimit()
	slices.SortStableFunc(m.broadcasts, func(a, b broadcast) int { return a.transmissions - b.transmissions })
	for i := range m.broadcasts {
		u := &m.broadcasts[i]
		if u.size() > room || len(x.Records) >= MaxRecords {
			break
		}
		room -= u.size()
		x.Records = append(x.Records, u.Record)
		u.transmissions++
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(u broadcast) bool { return u.transmissions >= most })
	kept := m.reachBroadcasts[:0]
	var told []reachKey
	for _, k := range m.reachBroadcasts {
		l := m.reachability[k]
		switch {
		case l == nil:
		case len(x.Reachability) == MaxReachability || room < 60:
			kept = append(kept, k)
		default:
			room -= 60
			x.Reachability = append(x.Reachability, l.Reachability)
			if l.transmissions++; l.transmissions < most {
				told = append(told, k) // after the others
			} else {
				l.transmissions = -1
			}
		}
	}
	m.reachBroadcasts = append(kept, told...)
}

// mergePiggyback takes over what a verified message carries.
func (m *Node) mergePiggyback(now time.Duration, x *Message) {
	for i := range x.Records {
		m.mergeRecord(now, &x.Records[i])
	}
	for _, l := range x.Reachability {
		if l.Observer != m.self.ID {
			m.mergeReachability(now, l)
		}
	}
}

// gossipUrgent spreads an own change at once, at most twice in a probe interval.
func (m *Node) gossipUrgent(now time.Duration, o *outbox) {
	if m.gossipPending && now-m.lastUrgentGossip >= m.config.ProbeInterval/2 {
		m.gossipPending, m.lastUrgentGossip = false, now
		m.pingRecentlyHeard(now, m.config.IndirectProbes, o)
	}
}

// pingRecentlyHeard pings the members heard last, so that their answers carry away what is urgent.
func (m *Node) pingRecentlyHeard(now time.Duration, n int, o *outbox) {
	var best []*member
	for i := range m.members {
		if e := &m.members[i]; e.status == Alive {
			best = append(best, e)
		}
	}
	slices.SortStableFunc(best, func(a, b *member) int { return cmp.Compare(b.lastHeardAt, a.lastHeardAt) })
	for _, e := range best[:min(n, len(best))] {
		nonce := m.newNonce()
		m.expectReply(nonce, pendingRequest{responder: e.id, kind: Ping, sentAt: now})
		m.sendPing(now, e, nonce, Datagram, o)
	}
}

// raiseIncarnation gives the member's own record a greater incarnation and has it spread.
func (m *Node) raiseIncarnation() {
	m.toggleDigest(&m.self)
	m.self.Incarnation++
	m.toggleDigest(&m.self)
	m.queueBroadcast(m.self)
	m.gossipPending = true
}
