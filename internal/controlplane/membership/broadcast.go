package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// broadcast is a record that is being piggybacked, with the number of times it was sent.
type broadcast struct {
	Record
	transmissions int
}

// retransmitLimit returns how many times a record is piggybacked.
func (n *Node) retransmitLimit() int {
	return int(math.Ceil(n.config.RetransmitMult * math.Log2(float64(n.Size())+1)))
}

// queueBroadcast queues a record to be piggybacked. It replaces older queued records of the same member,
// except reports by other reporters.
func (n *Node) queueBroadcast(r Record) {
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(u broadcast) bool {
		return u.ID == r.ID && (u.Incarnation < r.Incarnation || u.Incarnation == r.Incarnation && (u.Status < r.Status || u.Status == r.Status && u.Reporter == r.Reporter))
	})
	if len(n.broadcasts) >= maxBroadcasts { // drops the first: the one sent least often, as piggyback sorts them
		n.broadcasts = slices.Delete(n.broadcasts, 0, 1)
	}
	n.broadcasts = append(n.broadcasts, broadcast{Record: r})
}

// piggyback adds queued records to a message that echoes a nonce of its receiver: first the receiver's own
// record if this view holds it suspected or dead, so that it can refute, then those sent least often. The
// size of a message does not depend on the size of the fleet.
func (n *Node) piggyback(msg *Message, to uint64) {
	room := MaxMessageBytes - 200 - msg.From.size()
	if m := n.lookup(to); m != nil && m.status != Alive && m.status != Left {
		r := n.recordOf(m)
		msg.Records = append(msg.Records, r)
		room -= r.size()
	}
	limit := n.retransmitLimit()
	slices.SortStableFunc(n.broadcasts, func(a, b broadcast) int { return a.transmissions - b.transmissions })
	for i := range n.broadcasts {
		u := &n.broadcasts[i]
		if u.size() > room || len(msg.Records) >= MaxRecords {
			break
		}
		room -= u.size()
		msg.Records = append(msg.Records, u.Record)
		u.transmissions++
	}
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(u broadcast) bool { return u.transmissions >= limit })
	kept := n.reachBroadcasts[:0]
	var requeued []reachKey
	for _, k := range n.reachBroadcasts {
		reach := n.reachability[k]
		switch {
		case reach == nil:
		case len(msg.Reachability) == MaxReachability || room < 60:
			kept = append(kept, k)
		default:
			room -= 60
			msg.Reachability = append(msg.Reachability, reach.Reachability)
			if reach.transmissions++; reach.transmissions < limit {
				requeued = append(requeued, k) // behind those not sent yet
			} else {
				reach.transmissions = -1
			}
		}
	}
	n.reachBroadcasts = append(kept, requeued...)
}

// mergePiggyback merges the records and findings in a verified message into the view.
func (n *Node) mergePiggyback(now time.Duration, msg *Message) {
	for i := range msg.Records {
		n.mergeRecord(now, &msg.Records[i])
	}
	for _, r := range msg.Reachability {
		if r.Observer != n.self.ID {
			n.mergeReachability(now, r)
		}
	}
}

// gossipUrgent spreads a change of this member's own record at once, at most twice in a probe interval.
func (n *Node) gossipUrgent(now time.Duration, o *outbox) {
	if n.gossipPending && now-n.lastUrgentGossip >= n.config.ProbeInterval/2 {
		n.gossipPending, n.lastUrgentGossip = false, now
		n.pingRecentlyHeard(now, n.config.IndirectProbes, o)
	}
}

// pingRecentlyHeard pings the members heard most recently. The confirmations of their acks carry the
// queued broadcasts.
func (n *Node) pingRecentlyHeard(now time.Duration, limit int, o *outbox) {
	var recent []*member
	for i := range n.members {
		if m := &n.members[i]; m.status == Alive {
			recent = append(recent, m)
		}
	}
	slices.SortStableFunc(recent, func(a, b *member) int { return cmp.Compare(b.lastHeardAt, a.lastHeardAt) })
	for _, m := range recent[:min(limit, len(recent))] {
		nonce := n.newNonce()
		n.expectReply(nonce, pendingRequest{responder: m.id, kind: Ping, sentAt: now})
		n.sendPing(now, m, nonce, Datagram, o)
	}
}

// raiseIncarnation increments the incarnation of this member's own record and queues the record for
// urgent gossip.
func (n *Node) raiseIncarnation() {
	n.toggleDigest(&n.self)
	n.self.Incarnation++
	n.toggleDigest(&n.self)
	n.queueBroadcast(n.self)
	n.gossipPending = true
}
