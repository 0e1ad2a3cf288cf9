package membership

import (
	"slices"
	"time"
)

// startSync asks a random live member for the parts of its view that differ (step 5).
func (n *Node) startSync(now time.Duration, o *outbox) {
	n.nextSync = now + n.config.SyncInterval
	for range 8 {
		if len(n.rotation) == 0 {
			return
		}
		if m := n.lookup(n.rotation[n.rng.IntN(len(n.rotation))]); m != nil && m.status <= Suspect {
			n.sendSyncRequest(now, m.info.Addr, m.id, Datagram, o)
			return
		}
	}
}

// sendSyncRequest sends the digests of this view.
func (n *Node) sendSyncRequest(now time.Duration, addr string, birth uint64, via Channel, o *outbox) {
	msg := n.newMessage(SyncRequest, birth)
	msg.Nonce, msg.Digests = n.newNonce(), slices.Clone(n.digests[:])
	n.expectReply(msg.Nonce, pendingRequest{responder: birth, kind: SyncRequest, sentAt: now})
	*o = append(*o, Outgoing{addr, via, msg})
}

// joinSeeds sends a sync request to a seed address that no known member has, by datagram and by
// stream: at once while nobody is known, and now and then later, since two groups that joined by
// different seeds would never meet (step 5).
func (n *Node) joinSeeds(now time.Duration, o *outbox) {
	known := map[string]bool{n.self.Info.Addr: true}
	if !n.isolated {
		for i := range n.members {
			if m := &n.members[i]; m.status <= Suspect {
				known[m.info.Addr] = true
			}
		}
	}
	unknown := slices.DeleteFunc(slices.Clone(n.seeds), func(s string) bool { return known[s] })
	if n.nextJoin = now + n.scaleByHealth(n.config.ProbeInterval); n.liveCount > 0 && !n.isolated {
		n.nextJoin = now + n.config.SyncInterval/2
	}
	if len(unknown) > 0 {
		seed := unknown[n.rng.IntN(len(unknown))]
		n.sendSyncRequest(now, seed, 0, Datagram, o)
		n.sendSyncRequest(now, seed, 0, Stream, o)
	}
}

// handleSyncRequest answers with records of the parts that differ, a bounded number of times in a
// probe interval.
func (n *Node) handleSyncRequest(now time.Duration, msg *Message, via Channel, o *outbox) {
	if n.syncAnswers >= maxSyncAnswers || len(msg.Digests) != DigestBuckets {
		n.Counts.Limited++
		return
	}
	n.syncAnswers++
	n.sendSyncPages(now, msg, via, msg.Nonce, o)
}

// sendSyncPages sends the records of the buckets whose digests differ. The first page has this view's
// own digests and a nonce, so that the other side can answer in kind.
func (n *Node) sendSyncPages(now time.Duration, msg *Message, via Channel, echo uint64, o *outbox) {
	from := n.rng.IntN(DigestBuckets)
	differ := make([]bool, DigestBuckets)
	for b := range DigestBuckets {
		differ[b] = msg.Digests[b] != n.digests[b]
	}
	page := func() *Message {
		p := n.newMessage(SyncPage, msg.From.ID)
		p.Echo = echo
		return p
	}
	first := page()
	first.Nonce, first.Digests = n.newNonce(), slices.Clone(n.digests[:])
	n.expectReply(first.Nonce, pendingRequest{responder: msg.From.ID, kind: SyncPage, sentAt: now})
	all := []*Message{first}
	room := MaxMessageBytes - 200 - 9*DigestBuckets - n.self.size()
	add := func(r *Record) bool {
		p := all[len(all)-1]
		if r.size() > room || len(p.Records) >= MaxRecords {
			if len(all) == maxSyncPages {
				return false
			}
			p = page()
			all = append(all, p)
			room = MaxMessageBytes - 200 - n.self.size()
		}
		room -= r.size()
		p.Records = append(p.Records, *r)
		return true
	}
	by := make([][]int32, DigestBuckets)
	for i := range n.members {
		if b := n.members[i].id % DigestBuckets; differ[b] && !n.members[i].suppressed {
			by[b] = append(by[b], int32(i))
		}
	}
	for i := range DigestBuckets {
		for _, at := range by[(from+i)%DigestBuckets] {
			r := n.recordOf(&n.members[at])
			if r.Status == Suspect { // reporters spread suspicions themselves
				r.Status, r.Reporter = Alive, 0
			}
			if !add(&r) {
				i = DigestBuckets
				break
			}
		}
		if i == DigestBuckets {
			break
		}
	}
	for _, p := range all {
		*o = append(*o, Outgoing{msg.From.Info.Addr, via, p})
	}
}

// handleSyncPage takes over records, and answers the first page with this view's.
func (n *Node) handleSyncPage(now time.Duration, msg *Message, p pendingRequest, via Channel, o *outbox) {
	n.noteHeard(now, msg)
	n.mergePiggyback(now, msg)
	if len(msg.Digests) != DigestBuckets {
		return
	}
	level := slices.Equal(msg.Digests, n.digests[:])
	if !level && p.kind == SyncRequest {
		n.nextSync = min(n.nextSync, now+n.config.ProbeInterval/2) // more records may differ than pages allow
	}
	if p.kind == SyncRequest && !level {
		n.sendSyncPages(now, msg, via, msg.Nonce, o)
	} else if p.kind == SyncRequest {
		c := n.newMessage(SyncPage, msg.From.ID) // acknowledges the page
		c.Echo = msg.Nonce
		*o = append(*o, Outgoing{msg.From.Info.Addr, via, c})
	}
}
