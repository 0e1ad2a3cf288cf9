package membership

import (
	"slices"
	"time"
)

// startSync asks a random live member for the parts of its view that differ (step 5).
func (m *Node) startSync(now time.Duration, o *outbox) {
	m.nextSync = now + m.config.SyncInterval
	for range 8 {
		if len(m.rotation) == 0 {
			return
		}
		if e := m.lookup(m.rotation[m.rng.IntN(len(m.rotation))]); e != nil && e.status <= Suspect {
			m.sendSyncRequest(now, e.info.Addr, e.id, Datagram, o)
			return
		}
	}
}

// sendSyncRequest sends the digests of this view.
func (m *Node) sendSyncRequest(now time.Duration, addr string, birth uint64, via Channel, o *outbox) {
	x := m.newMessage(SyncRequest, birth)
	x.Nonce, x.Digests = m.newNonce(), slices.Clone(m.digests[:])
	m.expectReply(x.Nonce, pendingRequest{responder: birth, kind: SyncRequest, sentAt: now})
	*o = append(*o, Outgoing{addr, via, x})
}

// joinSeeds sends a sync request to a seed address that no known member has, by datagram and by
// stream: at once while nobody is known, and now and then later, since two groups that joined by
// different seeds would never meet (step 5).
func (m *Node) joinSeeds(now time.Duration, o *outbox) {
	known := map[string]bool{m.self.Info.Addr: true}
	if !m.isolated {
		for i := range m.members {
			if e := &m.members[i]; e.status <= Suspect {
				known[e.info.Addr] = true
			}
		}
	}
	unknown := slices.DeleteFunc(slices.Clone(m.seeds), func(s string) bool { return known[s] })
	if m.nextJoin = now + m.scaleByHealth(m.config.ProbeInterval); m.liveCount > 0 && !m.isolated {
		m.nextJoin = now + m.config.SyncInterval/2
	}
	if len(unknown) > 0 {
		seed := unknown[m.rng.IntN(len(unknown))]
		m.sendSyncRequest(now, seed, 0, Datagram, o)
		m.sendSyncRequest(now, seed, 0, Stream, o)
	}
}

// handleSyncRequest answers with records of the parts that differ, a bounded number of times in a
// probe interval.
func (m *Node) handleSyncRequest(now time.Duration, x *Message, via Channel, o *outbox) {
	if m.syncAnswers >= maxSyncAnswers || len(x.Digests) != DigestBuckets {
		m.Counts.Limited++
		return
	}
	m.syncAnswers++
	m.sendSyncPages(now, x, via, x.Nonce, o)
}

// sendSyncPages sends the records of the buckets whose digests differ. The first page has this view's
// own digests and a nonce, so that the other side can answer in kind.
func (m *Node) sendSyncPages(now time.Duration, x *Message, via Channel, echo uint64, o *outbox) {
	from := m.rng.IntN(DigestBuckets)
	differ := make([]bool, DigestBuckets)
	for b := range DigestBuckets {
		differ[b] = x.Digests[b] != m.digests[b]
	}
	page := func() *Message {
		p := m.newMessage(SyncPage, x.From.ID)
		p.Echo = echo
		return p
	}
	first := page()
	first.Nonce, first.Digests = m.newNonce(), slices.Clone(m.digests[:])
	m.expectReply(first.Nonce, pendingRequest{responder: x.From.ID, kind: SyncPage, sentAt: now})
	all := []*Message{first}
	room := MaxMessageBytes - 200 - 9*DigestBuckets - m.self.size()
	add := func(r *Record) bool {
		p := all[len(all)-1]
		if r.size() > room || len(p.Records) >= MaxRecords {
			if len(all) == maxSyncPages {
				return false
			}
			p = page()
			all = append(all, p)
			room = MaxMessageBytes - 200 - m.self.size()
		}
		room -= r.size()
		p.Records = append(p.Records, *r)
		return true
	}
	by := make([][]int32, DigestBuckets)
	for i := range m.members {
		if b := m.members[i].id % DigestBuckets; differ[b] && !m.members[i].suppressed {
			by[b] = append(by[b], int32(i))
		}
	}
	for i := range DigestBuckets {
		for _, at := range by[(from+i)%DigestBuckets] {
			r := m.recordOf(&m.members[at])
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
		*o = append(*o, Outgoing{x.From.Info.Addr, via, p})
	}
}

// handleSyncPage takes over records, and answers the first page with this view's.
func (m *Node) handleSyncPage(now time.Duration, x *Message, a pendingRequest, via Channel, o *outbox) {
	m.noteHeard(now, x)
	m.mergePiggyback(now, x)
	if len(x.Digests) != DigestBuckets {
		return
	}
	level := slices.Equal(x.Digests, m.digests[:])
	if !level && a.kind == SyncRequest {
		m.nextSync = min(m.nextSync, now+m.config.ProbeInterval/2) // more records may differ than pages allow
	}
	if a.kind == SyncRequest && !level {
		m.sendSyncPages(now, x, via, x.Nonce, o)
	} else if a.kind == SyncRequest {
		c := m.newMessage(SyncPage, x.From.ID) // acknowledges the page
		c.Echo = x.Nonce
		*o = append(*o, Outgoing{x.From.Info.Addr, via, c})
	}
}
