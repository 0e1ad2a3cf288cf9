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
	helpers       []uint64 // asked to ping it; a single 0: there was nobody to ask
	nacks         int
	acked         bool   // it answered this member itself
	reachedBy     uint64 // helper that reached it; 0: none
	sawOurPing    bool   // it received this member's own ping
	ackedByStream bool   // its answer came by stream only
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
	responder uint64 // who has to answer; 0: whoever has the address
	kind      MessageKind
	sentAt    time.Duration
	// Of a ping on behalf of another member:
	requester      Record
	requesterNonce uint64
}

// newMessage returns a message with the fields that all messages have.
func (m *Node) newMessage(k MessageKind, to uint64) *Message {
	return &Message{Version: Version, FleetID: m.config.FleetID, Kind: k, From: m.self, To: to, Health: uint8(m.healthScore), Load: m.load, Agent: m.agent,
		ViewSize: uint32(m.Size())}
}

// newNonce draws a nonce that is not 0.
func (m *Node) newNonce() uint64 {
	for {
		if n := m.rng.Uint64(); n != 0 {
			return n
		}
	}
}

// expectReply remembers a request; beyond the bound the oldest one is dropped.
func (m *Node) expectReply(nonce uint64, a pendingRequest) {
	if len(m.pending) >= maxPendingRequests {
		var oldest uint64
		for n, x := range m.pending {
			if o := m.pending[oldest]; oldest == 0 || x.sentAt < o.sentAt || x.sentAt == o.sentAt && n < oldest {
				oldest = n
			}
		}
		delete(m.pending, oldest)
	}
	m.pending[nonce] = a
}

// startProbe starts the next probe.
func (m *Node) startProbe(now time.Duration, o *outbox) {
	m.nextProbe = now + m.scaleByHealth(m.config.ProbeInterval)
	e := m.nextProbeTarget()
	if e == nil {
		return
	}
	m.Counts.Probes++
	p := &probe{target: e.id, addr: e.info.Addr, nonce: m.newNonce(), startedAt: now}
	m.currentProbe = p
	m.expectReply(p.nonce, pendingRequest{responder: e.id, kind: Ping, sentAt: now})
	m.sendPing(now, e, p.nonce, Datagram, o)
}

// nextProbeTarget returns who is probed next: every second time a member on a suspect path, now and
// then one declared dead (step 5), else the next of the rotation.
func (m *Node) nextProbeTarget() *member {
	m.probeCount++
	if m.endedCount > 0 && m.probeCount%deadProbeEvery == 0 {
		from := m.rng.IntN(len(m.members))
		for i := range m.members {
			if e := &m.members[(from+i)%len(m.members)]; e.status == Dead {
				return e
			}
		}
	}
	if len(m.suspectPaths) > 0 && m.probeCount%2 == 1 {
		d := m.suspectPaths[0]
		m.suspectPaths = append(m.suspectPaths[1:], d)
		if e := m.lookup(d.target); e != nil && e.status <= Suspect {
			return e
		}
		m.suspectPaths = m.suspectPaths[:len(m.suspectPaths)-1]
	}
	for range len(m.rotation) {
		if m.rotationPos >= len(m.rotation) {
			m.rotationPos = 0
			m.rng.Shuffle(len(m.rotation), func(i, j int) { m.rotation[i], m.rotation[j] = m.rotation[j], m.rotation[i] })
		}
		e := m.lookup(m.rotation[m.rotationPos])
		if e != nil && e.status <= Suspect {
			m.rotationPos++
			return e
		}
		if e != nil {
			e.inRotation = false
		}
		m.rotation = slices.Delete(m.rotation, m.rotationPos, m.rotationPos+1)
	}
	return nil
}

// sendPing pings a member and tells it what this view says of it, so that it can refute.
func (m *Node) sendPing(now time.Duration, e *member, nonce uint64, via Channel, o *outbox) {
	x := m.newMessage(Ping, e.id)
	x.Nonce = nonce
	x.Opinion = &Opinion{e.incarnation, e.status}
	if e.lastHeardAt >= 0 {
		x.SilentMs = uint32(max(0, (now - e.lastHeardAt).Milliseconds()))
	}
	*o = append(*o, Outgoing{e.info.Addr, via, x})
}

// probeIndirectly asks helpers to ping a member that has not answered, and tries a stream.
func (m *Node) probeIndirectly(now time.Duration, o *outbox) {
	p := m.currentProbe
	e := m.lookup(p.target)
	if e == nil || e.status > Suspect {
		p.helpers = []uint64{0} // nobody
		return
	}
	m.sendPing(now, e, p.nonce, Stream, o)
	var helpers []*member
	if d := m.findSuspectPath(e.id); d != nil {
		if h := m.lookup(d.lastHelper); h != nil && h.status == Alive {
			helpers = append(helpers, h)
		}
	}
	for tries := 0; len(helpers) < m.config.IndirectProbes && tries < 8*m.config.IndirectProbes && len(m.rotation) > 0; tries++ {
		h := m.lookup(m.rotation[m.rng.IntN(len(m.rotation))])
		if h != nil && h.status == Alive && h.id != e.id && !slices.Contains(helpers, h) {
			helpers = append(helpers, h)
		}
	}
	for _, h := range helpers {
		x := m.newMessage(PingRequest, h.id)
		x.Nonce, x.Subject = p.nonce, m.recordOf(e)
		p.helpers = append(p.helpers, h.id)
		*o = append(*o, Outgoing{h.info.Addr, Datagram, x})
	}
	if len(p.helpers) == 0 {
		p.helpers = []uint64{0}
	}
}

// finishProbe ends the probe in progress: a member that nobody reached is suspected; one that was
// reached by others only is on a suspect path.
func (m *Node) finishProbe(now time.Duration) {
	p := m.currentProbe
	m.currentProbe = nil
	if p == nil {
		return
	}
	delete(m.pending, p.nonce)
	e := m.lookup(p.target)
	if e == nil || e.status > Suspect {
		return
	}
	if p.acked && !p.ackedByStream {
		m.clearSuspectPath(now, e)
		return
	}
	if p.acked || p.reachedBy != 0 {
		m.notePathFailure(now, e, p)
		return
	}
	m.Counts.Failed++
	m.missedProbes[p.target] = true
	if p.nacks == 0 && len(p.helpers) > 0 && p.helpers[0] != 0 {
		m.adjustHealth(1) // the helpers are silent too: this process may be the one that does not hear
	}
	if !m.isolated && !m.config.DisableLifeguard && len(m.missedProbes) >= min(3, m.liveCount) && now-m.lastHeardAt > 2*m.config.ProbeInterval {
		m.markIsolated(now)
	}
	m.suspect(now, e, e.incarnation, m.self.ID, "no answer to us")
}

// handlePing answers a ping.
func (m *Node) handlePing(now time.Duration, x *Message, via Channel, o *outbox) {
	// A ping is not verified and may be old. It changes nothing but this member's own incarnation, and only if it
	// doubts exactly the present one.
	if x.Opinion != nil && x.Opinion.Status != Alive && x.Opinion.Status != Left {
		m.refute(&Record{ID: m.self.ID, Incarnation: x.Opinion.Incarnation, Status: x.Opinion.Status})
	}
	if len(m.recentPings) >= maxRecentPings {
		m.recentPings = slices.Delete(m.recentPings, 0, 1)
	}
	m.recentPings = append(m.recentPings, pendingRequest{responder: x.From.ID, requesterNonce: x.Nonce, sentAt: now})
	r := m.newMessage(Ack, x.From.ID)
	r.Echo, r.Nonce = x.Nonce, m.newNonce()
	if x.RequesterNonce != 0 { // on behalf of another member: has that one's own ping arrived?
		r.SawRequesterPing = slices.ContainsFunc(m.recentPings, func(p pendingRequest) bool {
			return p.requesterNonce == x.RequesterNonce && p.responder == x.Subject.ID
		})
		r.RequesterNonce = x.RequesterNonce
	}
	m.expectReply(r.Nonce, pendingRequest{responder: x.From.ID, kind: Ack, sentAt: now})
	m.piggyback(r, x.From.ID)
	*o = append(*o, Outgoing{x.From.Info.Addr, via, r})
}

// handleAck processes the answer to an own ping.
func (m *Node) handleAck(now time.Duration, x *Message, via Channel, o *outbox) {
	e := m.noteHeard(now, x)
	if p := m.currentProbe; p != nil && p.nonce == x.Echo {
		if via == Datagram {
			p.ackedByStream = false
		} else if !p.acked {
			p.ackedByStream = true
		}
		p.acked = true
		switch late := now-p.startedAt >= m.scaleByHealth(m.config.ProbeTimeout); {
		case e == nil:
		case late && via == Datagram:
			e.lateAcks = min(e.lateAcks+1, 9)
			m.adjustHealth(1)
		default:
			e.lateAcks = 0
			m.adjustHealth(-1)
		}
	}
	if via == Datagram {
		delete(m.pending, x.Echo)
	}
	m.mergePiggyback(now, x)
	c := m.newMessage(AckConfirm, x.From.ID)
	c.Echo = x.Nonce
	m.piggyback(c, x.From.ID)
	*o = append(*o, Outgoing{x.From.Info.Addr, via, c})
}

// handlePingRequest pings a member on behalf of another one.
func (m *Node) handlePingRequest(now time.Duration, x *Message, o *outbox) {
	n := m.newMessage(Nack, x.From.ID)
	n.Echo, n.Subject = x.Nonce, x.Subject
	*o = append(*o, Outgoing{x.From.Info.Addr, Datagram, n}) // this helper is there, whether or not the probe succeeds
	e := m.lookup(x.Subject.ID)
	if e == nil || e.status > Suspect {
		return
	}
	p := m.newMessage(Ping, e.id)
	p.Nonce, p.RequesterNonce, p.Subject = m.newNonce(), x.Nonce, x.From
	p.Opinion = &Opinion{e.incarnation, e.status}
	m.expectReply(p.Nonce, pendingRequest{responder: e.id, kind: PingRequest, sentAt: now, requester: x.From, requesterNonce: x.Nonce})
	*o = append(*o, Outgoing{e.info.Addr, Datagram, p})
}

// handleIndirectReply processes a helper's answer.
func (m *Node) handleIndirectReply(now time.Duration, x *Message) {
	p := m.currentProbe
	if p == nil || p.nonce != x.Echo || !slices.Contains(p.helpers, x.From.ID) || x.Subject.ID != p.target {
		m.Counts.Stale++
		return
	}
	m.noteHeard(now, x)
	if x.Kind == Nack {
		p.nacks++
		return
	}
	p.reachedBy, p.sawOurPing = x.From.ID, p.sawOurPing || x.SawRequesterPing
	r := x.Subject
	m.mergeRecord(now, &r)
	if e := m.lookup(r.ID); e != nil && e.status == Suspect && r.Incarnation >= e.incarnation {
		m.setStatus(now, e, Alive, e.incarnation, "heard by another")
	}
}
