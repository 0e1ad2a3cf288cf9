package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// outbox collects what is to go out.
type outbox []Outgoing

func (m *Node) newMessage(k MessageKind, to uint64) *Message {
	return &Message{Version: Version, FleetID: m.config.FleetID, Kind: k, From: m.self, To: to, Health: uint8(m.healthScore), Load: m.load, Agent: m.agent,
		ViewSize: uint32(m.Size())}
}

func (m *Node) newNonce() uint64 {
	for {
		if n := m.rng.Uint64(); n != 0 {
			return n
		}
	}
}

// expectReply remembers a question; past the bound the oldest is not waited for any more.
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

// Tick does what is due.
func (m *Node) Tick(now time.Duration) []Outgoing {
	var o outbox
	m.observeClock(now)
	if p := m.currentProbe; p != nil && !p.acked && len(p.helpers) == 0 && now >= p.startedAt+m.scaleByHealth(m.config.ProbeTimeout) && now < m.nextProbe {
		m.probeIndirectly(now, &o)
	}
	if now >= m.nextProbe {
		m.finishProbe(now)
		m.startProbe(now, &o)
	}
	m.confirmSuspicions(now)
	if now >= m.nextSync {
		m.startSync(now, &o)
		m.expireState(now)
	}
	if len(m.seeds) > 0 && now >= m.nextJoin {
		m.joinSeeds(now, &o)
	}
	m.gossipUrgent(now, &o)
	m.announcedTick = m.NextTick()
	return o
}

// gossipUrgent tells what is urgent, twice in a period at most.
func (m *Node) gossipUrgent(now time.Duration, o *outbox) {
	if m.gossipPending && now-m.lastUrgentGossip >= m.config.ProbeInterval/2 {
		m.gossipPending, m.lastUrgentGossip = false, now
		m.pingRecentlyHeard(now, m.config.IndirectProbes, o)
	}
}

// confirmSuspicions makes the verdicts that are due. Who hears nobody judges nobody (4).
func (m *Node) confirmSuspicions(now time.Duration) {
	if m.isolated && !m.config.DisableLifeguard {
		return
	}
	for i := 0; i < len(m.suspicions); i++ {
		if s := &m.suspicions[i]; now >= m.suspicionDeadline(s) {
			if m.lastHeardAt <= s.startedAt && !m.config.DisableLifeguard {
				m.markIsolated(now) // nobody was heard in all that time
				return
			}
			if e := m.lookup(s.id); e != nil && e.status == Suspect {
				m.declareDead(now, e, "nobody hears it", m.self.ID, s.reporters)
			} else {
				m.suspicions = slices.Delete(m.suspicions, i, i+1)
			}
			i--
		}
	}
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

// nextProbeTarget is who is probed next: a way in doubt every second time, somebody held dead now and then (5), else the round goes on.
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

// sendPing asks a member whether it is there, and tells it what is thought of it.
func (m *Node) sendPing(now time.Duration, e *member, nonce uint64, via Channel, o *outbox) {
	x := m.newMessage(Ping, e.id)
	x.Nonce = nonce
	x.Opinion = &Opinion{e.incarnation, e.status}
	if e.lastHeardAt >= 0 {
		x.SilentMs = uint32(max(0, (now - e.lastHeardAt).Milliseconds()))
	}
	*o = append(*o, Outgoing{e.info.Addr, via, x})
}

// probeIndirectly has helpers ping who has not answered, and tries a stream.
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

// finishProbe ends the probe under way: who was reached by nobody is suspected, and who answered tells of the ways.
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
		m.adjustHealth(1) // the helpers are silent too: it may be we who do not hear
	}
	if !m.isolated && !m.config.DisableLifeguard && len(m.missedProbes) >= min(3, m.liveCount) && now-m.lastHeardAt > 2*m.config.ProbeInterval {
		m.markIsolated(now)
	}
	m.suspect(now, e, e.incarnation, m.self.ID, "no answer to us")
}

// markIsolated notes that nobody is heard: until somebody is, nobody is judged (4).
func (m *Node) markIsolated(now time.Duration) {
	m.isolated = true
	m.addEvent(now, &member{info: &m.self.Info, id: m.self.ID}, "alone", m.self.Incarnation, "we hear nobody")
}

func (m *Node) findSuspectPath(birth uint64) *suspectPath {
	for i := range m.suspectPaths {
		if m.suspectPaths[i].target == birth {
			return &m.suspectPaths[i]
		}
	}
	return nil
}

// clearSuspectPath takes back what was found of the way to a member.
func (m *Node) clearSuspectPath(now time.Duration, e *member) {
	d := m.findSuspectPath(e.id)
	if d == nil {
		return
	}
	if d.published {
		m.addEvent(now, e, "open", e.incarnation, "it answers us again")
		for _, k := range m.sortedReachKeys() {
			if k.observer == m.self.ID && m.reachability[k].State != LinkUp && (k.from == e.id || k.to == e.id) {
				m.publishReachability(now, Reachability{From: k.from, To: k.to, State: LinkUp})
			}
		}
	}
	m.suspectPaths = slices.DeleteFunc(m.suspectPaths, func(x suspectPath) bool { return x.target == e.id })
}

// notePathFailure notes that a member lives and did not answer us: after enough of that in a row the way is cut, and it is known which.
func (m *Node) notePathFailure(now time.Duration, e *member, p *probe) {
	d := m.findSuspectPath(e.id)
	if d == nil {
		if len(m.suspectPaths) >= maxSuspectPaths {
			return
		}
		m.suspectPaths = append(m.suspectPaths, suspectPath{target: e.id})
		d = &m.suspectPaths[len(m.suspectPaths)-1]
	}
	d.failures++
	if p.reachedBy != 0 {
		d.lastHelper = p.reachedBy
	}
	if p.sawOurPing {
		d.pingsSeen++
	}
	if p.ackedByStream {
		d.streamAcks++
	}
	if d.failures%failuresBeforeCut != 0 {
		return
	}
	l := Reachability{From: m.self.ID, To: e.id, State: LinkDown}
	switch {
	case 2*d.streamAcks > d.failures:
		l.State = DatagramsLost
	case 2*d.pingsSeen > d.failures: // it has our pings, we not its answers
		l.From, l.To = l.To, l.From
	}
	if !d.published {
		m.addEvent(now, e, "cut", e.incarnation, map[bool]string{true: "its answers do not come", false: "we do not reach it"}[l.From == e.id])
	}
	d.published = true
	m.publishReachability(now, l)
}

// publishReachability publishes a finding of one's own.
func (m *Node) publishReachability(now time.Duration, l Reachability) {
	m.reachSeq++
	l.Observer, l.Seq = m.self.ID, m.reachSeq
	m.mergeReachability(now, l)
}

// mergeReachability keeps a finding, the latest of each member on each way.
func (m *Node) mergeReachability(now time.Duration, l Reachability) {
	k := reachKey{l.Observer, l.From, l.To}
	if was := m.reachability[k]; was != nil && was.Seq >= l.Seq {
		return
	}
	if len(m.reachability) >= maxReachRecords && m.reachability[k] == nil {
		var oldest reachKey
		var at *reachRecord
		for k, x := range m.reachability {
			if at == nil || x.at < at.at || x.at == at.at && reachKeyLess(k, oldest) {
				oldest, at = k, x
			}
		}
		delete(m.reachability, oldest)
	}
	if was := m.reachability[k]; was == nil || was.transmissions < 0 {
		m.reachBroadcasts = append(m.reachBroadcasts, k)
	}
	m.reachability[k] = &reachRecord{Reachability: l, at: now}
}

func reachKeyLess(a, b reachKey) bool {
	return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) < 0
}

// reachabilityTTL is how long a finding holds that is not told again.
func (m *Node) reachabilityTTL() time.Duration { return 60 * m.config.ProbeInterval }

// piggyback puts what is to be passed on into a verified message: first what its receiver should know of itself, then what was passed on
// least. No message grows with the fleet.
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
				told = append(told, k) // behind the others
			} else {
				l.transmissions = -1
			}
		}
	}
	m.reachBroadcasts = append(kept, told...)
}

// sortedReachKeys are the findings in a fixed order.
func (m *Node) sortedReachKeys() []reachKey {
	return slices.SortedFunc(maps.Keys(m.reachability), func(a, b reachKey) int {
		return cmp.Or(cmp.Compare(a.observer, b.observer), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
}

// mergePiggyback reads what a verified message passes on.
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

// Receive takes a message that passed its Check. Only what echoes a number that we drew is believed (2): of all else, however old, no
// more comes than an answer.
func (m *Node) Receive(now time.Duration, x *Message, via Channel) []Outgoing {
	var o outbox
	m.observeClock(now)
	switch {
	case x.FleetID != m.config.FleetID:
		m.Counts.Foreign++
	case x.From.ID == m.self.ID:
		m.Counts.Stale++
	case x.To != 0 && x.To != m.self.ID:
		m.Counts.Misdirected++
	default:
		m.dispatch(now, x, via, &o)
	}
	m.gossipUrgent(now, &o)
	m.announcedTick = m.NextTick()
	return o
}

func (m *Node) dispatch(now time.Duration, x *Message, via Channel, o *outbox) {
	switch x.Kind {
	case Ping:
		m.handlePing(now, x, via, o)
		return
	case PingRequest:
		m.handlePingRequest(now, x, o)
		return
	case SyncRequest:
		m.handleSyncRequest(now, x, via, o)
		return
	}
	a, known := m.pending[x.Echo]
	if x.Echo == 0 || !known || a.responder != 0 && a.responder != x.From.ID && !(a.kind == Ping && (x.Kind == IndirectAck || x.Kind == Nack)) {
		m.Counts.Stale++
		return
	}
	switch {
	case x.Kind == Ack && a.kind == Ping:
		m.handleAck(now, x, a, via, o)
	case x.Kind == Ack && a.kind == PingRequest:
		delete(m.pending, x.Echo)
		m.noteHeard(now, x)
		m.mergePiggyback(now, x)
		t := m.newMessage(IndirectAck, a.requester.ID)
		t.Echo, t.Subject, t.SawRequesterPing = a.requesterNonce, x.From, x.SawRequesterPing
		*o = append(*o, Outgoing{a.requester.Info.Addr, Datagram, t})
	case x.Kind == AckConfirm && a.kind == Ack:
		delete(m.pending, x.Echo)
		m.noteHeard(now, x)
		m.mergePiggyback(now, x)
	case (x.Kind == IndirectAck || x.Kind == Nack) && a.kind == Ping:
		m.handleIndirectReply(now, x)
	case x.Kind == SyncPage && (a.kind == SyncRequest || a.kind == SyncPage):
		m.handleSyncPage(now, x, a, via, o)
	default:
		m.Counts.Stale++
	}
}

func (m *Node) handlePing(now time.Duration, x *Message, via Channel, o *outbox) {
	// Unverified: it may be old. It moves nothing but our own incarnation, and that only past a word on just this one.
	if x.Opinion != nil && x.Opinion.Status != Alive && x.Opinion.Status != Left {
		m.refute(now, &Record{ID: m.self.ID, Incarnation: x.Opinion.Incarnation, Status: x.Opinion.Status})
	}
	if len(m.recentPings) >= maxRecentPings {
		m.recentPings = slices.Delete(m.recentPings, 0, 1)
	}
	m.recentPings = append(m.recentPings, pendingRequest{responder: x.From.ID, requesterNonce: x.Nonce, sentAt: now})
	r := m.newMessage(Ack, x.From.ID)
	r.Echo, r.Nonce = x.Nonce, m.newNonce()
	if x.RequesterNonce != 0 { // asked for by another: has its own ping come?
		r.SawRequesterPing = slices.ContainsFunc(m.recentPings, func(p pendingRequest) bool {
			return p.requesterNonce == x.RequesterNonce && p.responder == x.Subject.ID
		})
		r.RequesterNonce = x.RequesterNonce
	}
	m.expectReply(r.Nonce, pendingRequest{responder: x.From.ID, kind: Ack, sentAt: now})
	m.piggyback(r, x.From.ID)
	*o = append(*o, Outgoing{x.From.Info.Addr, via, r})
}

func (m *Node) handleAck(now time.Duration, x *Message, a pendingRequest, via Channel, o *outbox) {
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

// handlePingRequest pings one member for another.
func (m *Node) handlePingRequest(now time.Duration, x *Message, o *outbox) {
	n := m.newMessage(Nack, x.From.ID)
	n.Echo, n.Subject = x.Nonce, x.Subject
	*o = append(*o, Outgoing{x.From.Info.Addr, Datagram, n}) // I am here, whatever comes of it
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

// handleIndirectReply hears of a helper.
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

// startSync asks somebody which parts of its view are not as ours (5).
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

func (m *Node) sendSyncRequest(now time.Duration, addr string, birth uint64, via Channel, o *outbox) {
	x := m.newMessage(SyncRequest, birth)
	x.Nonce, x.Digests = m.newNonce(), slices.Clone(m.digests[:])
	m.expectReply(x.Nonce, pendingRequest{responder: birth, kind: SyncRequest, sentAt: now})
	*o = append(*o, Outgoing{addr, via, x})
}

// joinSeeds asks a seed that is nobody's whom we know, by datagram and by stream: at once while nobody is known, and now and then later,
// since those who joined by one seed each would never meet (5).
func (m *Node) joinSeeds(now time.Duration, o *outbox) {
	known := map[string]bool{m.self.Info.Addr: true}
	if !m.isolated {
		for i := range m.members {
			if e := &m.members[i]; e.status <= Suspect {
				known[e.info.Addr] = true
			}
		}
	}
	strange := slices.DeleteFunc(slices.Clone(m.seeds), func(s string) bool { return known[s] })
	if m.nextJoin = now + m.scaleByHealth(m.config.ProbeInterval); m.liveCount > 0 && !m.isolated {
		m.nextJoin = now + m.config.SyncInterval/2
	}
	if len(strange) > 0 {
		seed := strange[m.rng.IntN(len(strange))]
		m.sendSyncRequest(now, seed, 0, Datagram, o)
		m.sendSyncRequest(now, seed, 0, Stream, o)
	}
}

// handleSyncRequest answers with records of what differs, so many in a period.
func (m *Node) handleSyncRequest(now time.Duration, x *Message, via Channel, o *outbox) {
	if m.syncAnswers >= maxSyncAnswers || len(x.Digests) != DigestBuckets {
		m.Counts.Limited++
		return
	}
	m.syncAnswers++
	m.sendSyncPages(now, x, via, x.Nonce, o)
}

// sendSyncPages sends records of the parts that differ from the sender's. The first page has our own digests and a question, so that the other
// side can answer in kind.
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
			if r.Status == Suspect { // whose word it is comes by itself
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

// handleSyncPage takes records in, and answers the first page with ours.
func (m *Node) handleSyncPage(now time.Duration, x *Message, a pendingRequest, via Channel, o *outbox) {
	m.noteHeard(now, x)
	m.mergePiggyback(now, x)
	if len(x.Digests) != DigestBuckets {
		return
	}
	level := slices.Equal(x.Digests, m.digests[:])
	if !level && a.kind == SyncRequest {
		m.nextSync = min(m.nextSync, now+m.config.ProbeInterval/2) // there may be more than so many pages
	}
	if a.kind == SyncRequest && !level {
		m.sendSyncPages(now, x, via, x.Nonce, o)
	} else if a.kind == SyncRequest {
		c := m.newMessage(SyncPage, x.From.ID) // so that it knows that we have heard it
		c.Echo = x.Nonce
		*o = append(*o, Outgoing{x.From.Info.Addr, via, c})
	}
}

// Leave ends the life in order: it is told to some that were heard lately, and they pass it on.
func (m *Node) Leave(now time.Duration) []Outgoing {
	if m.self.Status == Left {
		return nil
	}
	m.toggleDigest(&m.self)
	m.self.Incarnation++
	m.self.Status = Left
	m.toggleDigest(&m.self)
	m.queueBroadcast(m.self)
	var o outbox
	m.pingRecentlyHeard(now, 2*m.config.IndirectProbes, &o)
	m.announcedTick = m.NextTick()
	return o
}

// pingRecentlyHeard opens an exchange with those heard last, so that what is urgent is passed on.
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

// expireState forgets what ended long ago, questions that nobody answers, and findings that were not told again; it tells ours again.
func (m *Node) expireState(now time.Duration) {
	var ended []*member
	var gone []uint64
	for i := range m.members {
		if e := &m.members[i]; e.status > Suspect {
			if now-e.statusSince > m.config.TombstoneTTL {
				gone = append(gone, e.id)
			} else {
				if now-e.statusSince > m.config.TombstoneTTL/2 && !e.suppressed { // nobody who has forgotten it must hear of it again
					r := m.recordOf(e)
					m.toggleDigest(&r)
					e.suppressed = true
				}
				ended = append(ended, e)
			}
		}
	}
	if over := len(ended) - maxTombstones; over > 0 {
		slices.SortStableFunc(ended, func(a, b *member) int { return cmp.Compare(a.statusSince, b.statusSince) })
		for _, e := range ended[:over] {
			gone = append(gone, e.id)
		}
	}
	for _, b := range gone {
		m.removeMember(b)
	}
	for n, a := range m.pending {
		if now-a.sentAt > 10*m.config.ProbeInterval*time.Duration(1+m.healthScore) {
			delete(m.pending, n)
		}
	}
	for _, k := range m.sortedReachKeys() {
		l := m.reachability[k]
		switch {
		case k.observer == m.self.ID && l.State != LinkUp && now-l.at > m.reachabilityTTL()/3 && m.findSuspectPath(k.from+k.to-k.observer) != nil:
			m.publishReachability(now, l.Reachability)
		case now-l.at > m.reachabilityTTL():
			delete(m.reachability, k)
		}
	}
}

// SetAddr has others reach the member at another address.
func (m *Node) SetAddr(addr string) {
	m.self.Info.Addr = addr
	m.self.PausedMs = 0
	m.raiseIncarnation()
}

// LeaveAcknowledged tells whether somebody has surely heard that the member leaves.
func (m *Node) LeaveAcknowledged() bool {
	own := func(u broadcast) bool { return u.ID == m.self.ID && u.transmissions < 2 }
	return m.self.Status == Left && !slices.ContainsFunc(m.broadcasts, own)
}
