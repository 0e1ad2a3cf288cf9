package membership

import (
	"slices"
	"time"
)

// probe is the probe in progress.
type probe struct {
	target        uint64
	addr          string
	nonce         uint64
	startedAt     time.Duration
	helpers       []uint64 // members asked to ping it; a single 0: there were none to ask
	nacks         int      // helpers that confirmed the request
	acked         bool     // it answered this member directly
	reachedBy     uint64   // helper that reached it; 0: none
	sawOurPing    bool     // it received this member's own ping
	ackedByStream bool     // its direct answer came by stream only
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	responder uint64 // id of the member that must reply; 0: any member at the address
	kind      MessageKind
	sentAt    time.Duration
	// Of a ping on behalf of another member:
	requester      Record
	requesterNonce uint64
}

// newMessage returns a message with the fields that every kind has.
func (n *Node) newMessage(k MessageKind, to uint64) *Message {
	return &Message{Version: Version, FleetID: n.config.FleetID, Kind: k, From: n.self, To: to, Health: uint8(n.healthScore), Load: n.load, Agent: n.agent,
		ViewSize: uint32(n.Size())}
}

// newNonce draws a random nonce other than 0.
func (n *Node) newNonce() uint64 {
	for {
		if nonce := n.rng.Uint64(); nonce != 0 {
			return nonce
		}
	}
}

// expectReply adds a pending request; at maxPendingRequests it drops the oldest one.
func (n *Node) expectReply(nonce uint64, p pendingRequest) {
	if len(n.pending) >= maxPendingRequests {
		var oldest uint64
		for other, x := range n.pending {
			if o := n.pending[oldest]; oldest == 0 || x.sentAt < o.sentAt || x.sentAt == o.sentAt && other < oldest {
				oldest = other
			}
		}
		delete(n.pending, oldest)
	}
	n.pending[nonce] = p
}

// startProbe pings the next target and schedules the probe after it.
func (n *Node) startProbe(now time.Duration, o *outbox) {
	n.nextProbe = now + n.scaleByHealth(n.config.ProbeInterval)
	m := n.nextProbeTarget()
	if m == nil {
		return
	}
	n.Counts.Probes++
	p := &probe{target: m.id, addr: m.info.Addr, nonce: n.newNonce(), startedAt: now}
	n.currentProbe = p
	n.expectReply(p.nonce, pendingRequest{responder: m.id, kind: Ping, sentAt: now})
	n.sendPing(now, m, p.nonce, Datagram, o)
}

// nextProbeTarget returns the member to probe next: one in deadProbeEvery times a dead member (step 5),
// every second time one on a suspect path, else the next of the rotation. It returns nil if there is none.
func (n *Node) nextProbeTarget() *member {
	n.probeCount++
	if n.endedCount > 0 && n.probeCount%deadProbeEvery == 0 {
		start := n.rng.IntN(len(n.members))
		for i := range n.members {
			if m := &n.members[(start+i)%len(n.members)]; m.status == Dead {
				return m
			}
		}
	}
	if len(n.suspectPaths) > 0 && n.probeCount%2 == 1 {
		path := n.suspectPaths[0]
		n.suspectPaths = append(n.suspectPaths[1:], path)
		if m := n.lookup(path.target); m != nil && m.status <= Suspect {
			return m
		}
		n.suspectPaths = n.suspectPaths[:len(n.suspectPaths)-1]
	}
	for range len(n.rotation) {
		if n.rotationPos >= len(n.rotation) {
			n.rotationPos = 0
			n.rng.Shuffle(len(n.rotation), func(i, j int) { n.rotation[i], n.rotation[j] = n.rotation[j], n.rotation[i] })
		}
		m := n.lookup(n.rotation[n.rotationPos])
		if m != nil && m.status <= Suspect {
			n.rotationPos++
			return m
		}
		if m != nil {
			m.inRotation = false
		}
		n.rotation = slices.Delete(n.rotation, n.rotationPos, n.rotationPos+1)
	}
	return nil
}

// sendPing pings a member. The ping carries the member's status in this view, so that it can refute.
func (n *Node) sendPing(now time.Duration, m *member, nonce uint64, via Channel, o *outbox) {
	msg := n.newMessage(Ping, m.id)
	msg.Nonce = nonce
	msg.Opinion = &Opinion{m.incarnation, m.status}
	if m.lastHeardAt >= 0 {
		msg.SilentMs = uint32(max(0, (now - m.lastHeardAt).Milliseconds()))
	}
	*o = append(*o, Outgoing{m.info.Addr, via, msg})
}

// probeIndirectly asks helpers to ping the probed member, which has not answered, and pings it by stream.
func (n *Node) probeIndirectly(now time.Duration, o *outbox) {
	p := n.currentProbe
	m := n.lookup(p.target)
	if m == nil || m.status > Suspect {
		p.helpers = []uint64{0} // no helper
		return
	}
	n.sendPing(now, m, p.nonce, Stream, o)
	var helpers []*member
	if path := n.findSuspectPath(m.id); path != nil {
		if helper := n.lookup(path.lastHelper); helper != nil && helper.status == Alive {
			helpers = append(helpers, helper)
		}
	}
	for tries := 0; len(helpers) < n.config.IndirectProbes && tries < 8*n.config.IndirectProbes && len(n.rotation) > 0; tries++ {
		helper := n.lookup(n.rotation[n.rng.IntN(len(n.rotation))])
		if helper != nil && helper.status == Alive && helper.id != m.id && !slices.Contains(helpers, helper) {
			helpers = append(helpers, helper)
		}
	}
	for _, helper := range helpers {
		msg := n.newMessage(PingRequest, helper.id)
		msg.Nonce, msg.Subject = p.nonce, n.recordOf(m)
		p.helpers = append(p.helpers, helper.id)
		*o = append(*o, Outgoing{helper.info.Addr, Datagram, msg})
	}
	if len(p.helpers) == 0 {
		p.helpers = []uint64{0}
	}
}

// finishProbe ends the probe in progress. A member that neither this one nor a helper reached is
// suspected; one that only helpers or a stream reached is put on a suspect path.
func (n *Node) finishProbe(now time.Duration) {
	p := n.currentProbe
	n.currentProbe = nil
	if p == nil {
		return
	}
	delete(n.pending, p.nonce)
	m := n.lookup(p.target)
	if m == nil || m.status > Suspect {
		return
	}
	if p.acked && !p.ackedByStream {
		n.clearSuspectPath(now, m)
		return
	}
	if p.acked || p.reachedBy != 0 {
		n.notePathFailure(now, m, p)
		return
	}
	n.Counts.Failed++
	n.missedProbes[p.target] = true
	if p.nacks == 0 && len(p.helpers) > 0 && p.helpers[0] != 0 {
		n.adjustHealth(1) // the helpers did not reply either: the fault may be in this process
	}
	if !n.isolated && !n.config.DisableLifeguard && len(n.missedProbes) >= min(3, n.liveCount) && now-n.lastHeardAt > 2*n.config.ProbeInterval {
		n.markIsolated(now)
	}
	n.suspect(now, m, m.incarnation, n.self.ID, "no answer to us")
}

// handlePing answers a ping.
func (n *Node) handlePing(now time.Duration, msg *Message, via Channel, o *outbox) {
	// A ping is not verified and may be old. It may only raise this member's own incarnation, and only if it reports
	// the current incarnation as suspected or dead.
	if msg.Opinion != nil && msg.Opinion.Status != Alive && msg.Opinion.Status != Left {
		n.refute(&Record{ID: n.self.ID, Incarnation: msg.Opinion.Incarnation, Status: msg.Opinion.Status})
	}
	if len(n.recentPings) >= maxRecentPings {
		n.recentPings = slices.Delete(n.recentPings, 0, 1)
	}
	n.recentPings = append(n.recentPings, pendingRequest{responder: msg.From.ID, requesterNonce: msg.Nonce, sentAt: now})
	r := n.newMessage(Ack, msg.From.ID)
	r.Echo, r.Nonce = msg.Nonce, n.newNonce()
	if msg.RequesterNonce != 0 { // a helper's ping: report whether the requester's own ping has arrived
		r.SawRequesterPing = slices.ContainsFunc(n.recentPings, func(p pendingRequest) bool {
			return p.requesterNonce == msg.RequesterNonce && p.responder == msg.Subject.ID
		})
		r.RequesterNonce = msg.RequesterNonce
	}
	n.expectReply(r.Nonce, pendingRequest{responder: msg.From.ID, kind: Ack, sentAt: now})
	n.piggyback(r, msg.From.ID)
	*o = append(*o, Outgoing{msg.From.Info.Addr, via, r})
}

// handleAck processes the answer to a ping of this member.
func (n *Node) handleAck(now time.Duration, msg *Message, via Channel, o *outbox) {
	m := n.noteHeard(now, msg)
	if p := n.currentProbe; p != nil && p.nonce == msg.Echo {
		if via == Datagram {
			p.ackedByStream = false
		} else if !p.acked {
			p.ackedByStream = true
		}
		p.acked = true
		switch late := now-p.startedAt >= n.scaleByHealth(n.config.ProbeTimeout); {
		case m == nil:
		case late && via == Datagram:
			m.lateAcks = min(m.lateAcks+1, 9)
			n.adjustHealth(1)
		default:
			m.lateAcks = 0
			n.adjustHealth(-1)
		}
	}
	if via == Datagram {
		delete(n.pending, msg.Echo)
	}
	n.mergePiggyback(now, msg)
	confirm := n.newMessage(AckConfirm, msg.From.ID)
	confirm.Echo = msg.Nonce
	n.piggyback(confirm, msg.From.ID)
	*o = append(*o, Outgoing{msg.From.Info.Addr, via, confirm})
}

// handlePingRequest pings a member on behalf of another one.
func (n *Node) handlePingRequest(now time.Duration, msg *Message, o *outbox) {
	nack := n.newMessage(Nack, msg.From.ID)
	nack.Echo, nack.Subject = msg.Nonce, msg.Subject
	*o = append(*o, Outgoing{msg.From.Info.Addr, Datagram, nack}) // sent at once, whether or not the probe succeeds
	m := n.lookup(msg.Subject.ID)
	if m == nil || m.status > Suspect {
		return
	}
	p := n.newMessage(Ping, m.id)
	p.Nonce, p.RequesterNonce, p.Subject = n.newNonce(), msg.Nonce, msg.From
	p.Opinion = &Opinion{m.incarnation, m.status}
	n.expectReply(p.Nonce, pendingRequest{responder: m.id, kind: PingRequest, sentAt: now, requester: msg.From, requesterNonce: msg.Nonce})
	*o = append(*o, Outgoing{m.info.Addr, Datagram, p})
}

// handleIndirectReply processes a helper's Nack or IndirectAck for the probe in progress.
func (n *Node) handleIndirectReply(now time.Duration, msg *Message) {
	p := n.currentProbe
	if p == nil || p.nonce != msg.Echo || !slices.Contains(p.helpers, msg.From.ID) || msg.Subject.ID != p.target {
		n.Counts.Stale++
		return
	}
	n.noteHeard(now, msg)
	if msg.Kind == Nack {
		p.nacks++
		return
	}
	p.reachedBy, p.sawOurPing = msg.From.ID, p.sawOurPing || msg.SawRequesterPing
	r := msg.Subject
	n.mergeRecord(now, &r)
	if m := n.lookup(r.ID); m != nil && m.status == Suspect && r.Incarnation >= m.incarnation {
		n.setStatus(now, m, Alive, m.incarnation, "heard by another")
	}
}
