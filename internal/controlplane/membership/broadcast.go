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
func (n *Node) retransmitLimit() int {
	return int(math.Ceil(n.config.RetransmitMult * math.Log2(float64(n.Size())+1)))
}

// queueBroadcast has a record piggybacked. It replaces what was to be told of the member before,
// except the reports of other reporters.
func (n *Node) queueBroadcast(r Record) {
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(u broadcast) bool {
		return u.ID == r.ID && (u.Incarnation < r.Incarnation || u.Incarnation == r.Incarnation && (u.Status < r.Status || u.Status == r.Status && u.Reporter == r.Reporter))
	})
	if len(n.broadcasts) >= maxBroadcasts { // it was sent most often
		n.broadcasts = slices.Delete(n.broadcasts, 0, 1)
	}
	n.broadcasts = append(n.broadcasts, broadcast{Record: r})
}

// piggyback fills a verified message with what is to be spread: first what the receiver should know of
// itself, then what was sent least often. A message's size does not depend on the fleet's.
func (n *Node) piggyback(msg *Message, to uint64) {
	room := MaxMessageBytes - 200 - msg.From.size()
	if m := n.lookup(to); m != nil && m.status != Alive && m.status != Left {
		r := n.recordOf(m)
		msg.Records = append(msg.Records, r)
		room -= r.size()
	}
	most := n.retransmitLimit()
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
	n.broadcasts = slices.DeleteFunc(n.broadcasts, func(u broadcast) bool { return u.transmissions >= most })
	kept := n.reachBroadcasts[:0]
	var told []reachKey
	for _, k := range n.reachBroadcasts {
		reach := n.reachability[k]
		switch {
		case reach == nil:
		case len(msg.Reachability) == MaxReachability || room < 60:
			kept = append(kept, k)
		default:
			room -= 60
			msg.Reachability = append(msg.Reachability, reach.Reachability)
			if reach.transmissions++; reach.transmissions < most {
				told = append(told, k) // after the others
			} else {
				reach.transmissions = -1
			}
		}
	}
	n.reachBroadcasts = append(kept, told...)
}

// mergePiggyback takes over what a verified message carries.
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

// gossipUrgent spreads an own change at once, at most twice in a probe interval.
func (n *Node) gossipUrgent(now time.Duration, o *outbox) {
	if n.gossipPending && now-n.lastUrgentGossip >= n.config.ProbeInterval/2 {
		n.gossipPending, n.lastUrgentGossip = false, now
		n.pingRecentlyHeard(now, n.config.IndirectProbes, o)
	}
}

// pingRecentlyHeard pings the members heard last, so that their answers carry away what is urgent.
func (n *Node) pingRecentlyHeard(now time.Duration, most int, o *outbox) {
	var best []*member
	for i := range n.members {
		if m := &n.members[i]; m.status == Alive {
			best = append(best, m)
		}
	}
	slices.SortStableFunc(best, func(a, b *member) int { return cmp.Compare(b.lastHeardAt, a.lastHeardAt) })
	for _, m := range best[:min(most, len(best))] {
		nonce := n.newNonce()
		n.expectReply(nonce, pendingRequest{responder: m.id, kind: Ping, sentAt: now})
		n.sendPing(now, m, nonce, Datagram, o)
	}
}

// raiseIncarnation gives the member's own record a greater incarnation and has it spread.
func (n *Node) raiseIncarnation() {
	n.toggleDigest(&n.self)
	n.self.Incarnation++
	n.toggleDigest(&n.self)
	n.queueBroadcast(n.self)
	n.gossipPending = true
}
