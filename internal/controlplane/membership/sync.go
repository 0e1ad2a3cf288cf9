package membership

import (
	"slices"
	"time"
)

// startSync asks a random live member for the records in which its view differs (step 5).
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

// sendSyncRequest sends the digests of this view to an address; id 0: any member there may reply.
func (n *Node) sendSyncRequest(now time.Duration, addr string, id uint64, via Channel, o *outbox) {
	msg := n.newMessage(SyncRequest, id)
	msg.Nonce, msg.Digests = n.newNonce(), slices.Clone(n.digests[:])
	n.expectReply(msg.Nonce, pendingRequest{responder: id, kind: SyncRequest, sentAt: now})
	*o = append(*o, Outgoing{addr, via, msg})
}

// joinSeeds sends a sync request to a random seed that is not the address of a live member, by datagram
// and by stream. It runs in each probe interval while no live member is known or this member is isolated,
// and twice per sync interval otherwise, since two groups that joined by different seeds would never merge
// without it (step 5).
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

// handleSyncRequest replies with the records of buckets that differ, at most maxSyncAnswers times in a
// probe interval.
func (n *Node) handleSyncRequest(now time.Duration, msg *Message, via Channel, o *outbox) {
	if n.syncAnswers >= maxSyncAnswers || len(msg.Digests) != DigestBuckets {
		n.Counts.Limited++
		return
	}
	n.syncAnswers++
	n.sendSyncPages(now, msg, via, msg.Nonce, o)
}

// sendSyncPages sends the records of the buckets whose digests differ, in at most maxSyncPages pages. The
// first page carries this view's digests and a nonce, so that the receiver can send its own records back.
func (n *Node) sendSyncPages(now time.Duration, msg *Message, via Channel, echo uint64, o *outbox) {
	firstBucket := n.rng.IntN(DigestBuckets)
	differ := make([]bool, DigestBuckets)
	for b := range DigestBuckets {
		differ[b] = msg.Digests[b] != n.digests[b]
	}
	newPage := func() *Message {
		p := n.newMessage(SyncPage, msg.From.ID)
		p.Echo = echo
		return p
	}
	first := newPage()
	first.Nonce, first.Digests = n.newNonce(), slices.Clone(n.digests[:])
	n.expectReply(first.Nonce, pendingRequest{responder: msg.From.ID, kind: SyncPage, sentAt: now})
	pages := []*Message{first}
	room := MaxMessageBytes - 200 - 9*DigestBuckets - n.self.size()
	add := func(r *Record) bool {
		p := pages[len(pages)-1]
		if r.size() > room || len(p.Records) >= MaxRecords {
			if len(pages) == maxSyncPages {
				return false
			}
			p = newPage()
			pages = append(pages, p)
			room = MaxMessageBytes - 200 - n.self.size()
		}
		room -= r.size()
		p.Records = append(p.Records, *r)
		return true
	}
	byBucket := make([][]int32, DigestBuckets)
	for i := range n.members {
		if b := n.members[i].id % DigestBuckets; differ[b] && !n.members[i].suppressed {
			byBucket[b] = append(byBucket[b], int32(i))
		}
	}
	for i := range DigestBuckets {
		for _, at := range byBucket[(firstBucket+i)%DigestBuckets] {
			r := n.recordOf(&n.members[at])
			if r.Status == Suspect { // suspicions are spread only by their reporters
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
	for _, p := range pages {
		*o = append(*o, Outgoing{msg.From.Info.Addr, via, p})
	}
}

// handleSyncPage merges records, and replies to the first page of a reply to a sync request with this
// view's pages, or with an empty page if the digests are now equal.
func (n *Node) handleSyncPage(now time.Duration, msg *Message, p pendingRequest, via Channel, o *outbox) {
	n.noteHeard(now, msg)
	n.mergePiggyback(now, msg)
	if len(msg.Digests) != DigestBuckets {
		return
	}
	equal := slices.Equal(msg.Digests, n.digests[:])
	if !equal && p.kind == SyncRequest {
		n.nextSync = min(n.nextSync, now+n.config.ProbeInterval/2) // more records may differ than fit in maxSyncPages
	}
	if p.kind == SyncRequest && !equal {
		n.sendSyncPages(now, msg, via, msg.Nonce, o)
	} else if p.kind == SyncRequest {
		confirm := n.newMessage(SyncPage, msg.From.ID) // empty: only acknowledges the page
		confirm.Echo = msg.Nonce
		*o = append(*o, Outgoing{msg.From.Info.Addr, via, confirm})
	}
}
