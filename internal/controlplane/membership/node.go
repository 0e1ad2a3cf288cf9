package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxHealthScore     = 8   // of doubt in oneself
	maxPendingRequests = 256 // questions that wait for an answer
	maxRecentPings     = 64  // of others, remembered
	maxBroadcasts      = 4096
	maxReachRecords    = 1024
	maxSuspectPaths    = 8 // ways tried again at a time
	failuresBeforeCut  = 6 // failures in a row, with answers by another way, name a cut
	maxEvents          = 256
	maxAgents          = 8
	maxTombstones      = 1024 // that are remembered
	maxSyncAnswers     = 4    // comparisons answered in a period
	deadProbeEvery     = 4    // one probe in so many goes to somebody held dead
)

// Node is one member's side.
type Node struct {
	config          Config
	rng             *rand.Rand
	self            Record
	load            uint16
	agent           string
	seeds           []string
	members         []member
	index           map[uint64]int32
	liveCount       int // others that are alive or suspected
	endedCount      int
	rotation        []uint64
	rotationPos     int
	currentProbe    *probe
	probeCount      uint64
	pending         map[uint64]pendingRequest
	recentPings     []pendingRequest // of others, unverified: their nonces and births
	suspicions      []suspicion
	suspectPaths    []suspectPath
	reachability    map[reachKey]*reachRecord
	reachBroadcasts []reachKey // that are being passed on
	reachSeq        uint32     // Seq of the last link told
	broadcasts      []broadcast
	digests         [DigestBuckets]uint64 // of all records
	aliveDigest     uint64                // of those alive

	nextProbe, nextSync, nextJoin time.Duration
	announcedTick                 time.Duration // what Next told last
	clockCheckedAt                time.Duration // when the clock was looked at last
	lastHeardAt                   time.Duration // the last verified message from anybody
	missedProbes                  map[uint64]bool
	healthScore                   int
	isolated                      bool
	gossipPending                 bool // something of our own is to be told at once
	lastUrgentGossip              time.Duration
	syncAnswers                   int // comparisons, in this period
	syncPeriodStart               time.Duration
	events                        []Event
	eventCount                    int
	agents                        []agentSeen
	Counts                        Counts
}

type agentSeen struct {
	addr   string
	seenAt time.Duration
}

// New begins a life. Birth has to be drawn at random; seeds are addresses to join by.
func New(set Config, birth uint64, info Info, seeds []string, now time.Duration, rng *rand.Rand) *Node {
	m := &Node{config: set, rng: rng, self: Record{ID: birth, Incarnation: 1, Info: info}, seeds: seeds, index: map[uint64]int32{},
		pending: map[uint64]pendingRequest{}, reachability: map[reachKey]*reachRecord{}, missedProbes: map[uint64]bool{}, lastHeardAt: now, syncPeriodStart: now}
	m.nextProbe = now + time.Duration(rng.Int64N(int64(set.ProbeInterval)))
	m.nextSync, m.nextJoin = now+set.SyncInterval, now
	m.clockCheckedAt = now
	m.announcedTick = m.NextTick()
	m.toggleDigest(&m.self)
	return m
}

// Self is the member's own record.
func (m *Node) Self() Record { return m.self }

// SetLocalState sets what the member tells of itself: its load, and an agent that has answered it; empty: none.
func (m *Node) SetLocalState(load uint16, agent string) { m.load, m.agent = load, agent }

// Size is how many live in the view, oneself among them.
func (m *Node) Size() int { return m.liveCount + 1 }

// NextTick is when Tick is due: once in a period at least, or a pause could go by unseen (4).
func (m *Node) NextTick() time.Duration {
	at := min(m.nextProbe, m.nextSync, m.clockCheckedAt+m.config.ProbeInterval)
	if p := m.currentProbe; p != nil && !p.acked {
		if len(p.helpers) == 0 {
			at = min(at, p.startedAt+m.scaleByHealth(m.config.ProbeTimeout))
		}
	}
	if len(m.seeds) > 0 {
		at = min(at, m.nextJoin)
	}
	if !m.isolated {
		for i := range m.suspicions {
			at = min(at, m.suspicionDeadline(&m.suspicions[i]))
		}
	}
	return at
}

// SharedInfos are the facts of members, once for many views.
func SharedInfos(all []Record) []*Info {
	out := make([]*Info, len(all))
	for i := range all {
		out[i] = &all[i].Info
	}
	return out
}

// Preload has the member know others from the start, as after a comparison with somebody who knows them.
func (m *Node) Preload(now time.Duration, all []Record, infos []*Info) {
	m.members = slices.Grow(m.members, len(all))
	for i := range all {
		r := &all[i]
		if r.ID == m.self.ID || m.lookup(r.ID) != nil {
			continue
		}
		m.index[r.ID] = int32(len(m.members))
		m.members = append(m.members, member{info: infos[i], id: r.ID, lastHeardAt: -1, statusSince: now, incarnation: r.Incarnation, inRotation: true})
		m.rotation = append(m.rotation, r.ID)
		m.toggleDigest(r)
		m.liveCount++
	}
	m.rng.Shuffle(len(m.rotation), func(i, j int) { m.rotation[i], m.rotation[j] = m.rotation[j], m.rotation[i] })
}

// outbox collects what is to go out.
type outbox []Outgoing

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

// LeaveAcknowledged tells whether somebody has surely heard that the member leaves.
func (m *Node) LeaveAcknowledged() bool {
	own := func(u broadcast) bool { return u.ID == m.self.ID && u.transmissions < 2 }
	return m.self.Status == Left && !slices.ContainsFunc(m.broadcasts, own)
}

// SetAddr has others reach the member at another address.
func (m *Node) SetAddr(addr string) {
	m.self.Info.Addr = addr
	m.self.PausedMs = 0
	m.raiseIncarnation()
}
