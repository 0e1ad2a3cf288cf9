package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Constants of the protocol.
const (
	maxHealthScore     = 8
	maxPendingRequests = 256 // requests that wait for an answer
	maxRecentPings     = 64  // pings of others that are remembered
	maxBroadcasts      = 4096
	maxReachRecords    = 1024
	maxSuspectPaths    = 8 // links that are tested again at a time
	failuresBeforeCut  = 6 // failed probes in a row, with answers by another path, that make a cut
	maxEvents          = 256
	maxAgents          = 8
	maxTombstones      = 1024 // ended members that are remembered
	maxSyncAnswers     = 4    // sync requests answered in a probe interval
	deadProbeEvery     = 4    // one probe in so many goes to a member declared dead
)

// Node is one member's protocol state machine.
type Node struct {
	config          Config
	rng             *rand.Rand
	self            Record
	load            uint16 // open requests, told to others
	agent           string // an agent that answered this process recently
	seeds           []string
	members         []member // all others, in no order; index has their positions by id
	index           map[uint64]int32
	liveCount       int      // others that are alive or suspected
	endedCount      int      // others that are dead or have left
	rotation        []uint64 // probe order: ids from rotationPos on have not been probed in this round
	rotationPos     int
	currentProbe    *probe                    // nil: none
	probeCount      uint64                    // ever
	pending         map[uint64]pendingRequest // requests that wait for an answer, by nonce
	recentPings     []pendingRequest          // pings of others, not verified
	suspicions      []suspicion
	suspectPaths    []suspectPath
	reachability    map[reachKey]*reachRecord
	reachBroadcasts []reachKey            // reachability records to be piggybacked
	reachSeq        uint32                // of the last own reachability record
	broadcasts      []broadcast           // records to be piggybacked
	digests         [DigestBuckets]uint64 // over all records, by bucket
	aliveDigest     uint64                // over the live members

	nextProbe, nextSync, nextJoin time.Duration
	announcedTick                 time.Duration   // what NextTick returned last
	clockCheckedAt                time.Duration   // last call of observeClock
	lastHeardAt                   time.Duration   // last verified message from anybody
	missedProbes                  map[uint64]bool // members whose probes failed since anybody was heard
	healthScore                   int             // Lifeguard's local health multiplier; 0: healthy
	isolated                      bool            // nobody is heard: no verdicts are made
	gossipPending                 bool            // an own change has to be spread at once
	lastUrgentGossip              time.Duration   // when that was last done
	syncAnswers                   int             // sync requests answered since syncPeriodStart
	syncPeriodStart               time.Duration
	events                        []Event
	eventCount                    int         // ever, including those no longer kept
	agents                        []agentSeen // named by others recently, the latest last
	Counts                        Counts
}

// agentSeen is an agent that another member named.
type agentSeen struct {
	addr   string
	seenAt time.Duration
}

// New starts a run of a member. The id must be drawn at random; seeds are addresses to join by.
func New(config Config, id uint64, info Info, seeds []string, now time.Duration, rng *rand.Rand) *Node {
	m := &Node{config: config, rng: rng, self: Record{ID: id, Incarnation: 1, Info: info}, seeds: seeds, index: map[uint64]int32{},
		pending: map[uint64]pendingRequest{}, reachability: map[reachKey]*reachRecord{}, missedProbes: map[uint64]bool{}, lastHeardAt: now, syncPeriodStart: now}
	m.nextProbe = now + time.Duration(rng.Int64N(int64(config.ProbeInterval)))
	m.nextSync, m.nextJoin = now+config.SyncInterval, now
	m.clockCheckedAt = now
	m.announcedTick = m.NextTick()
	m.toggleDigest(&m.self)
	return m
}

// Self returns the member's own record.
func (m *Node) Self() Record { return m.self }

// SetLocalState sets what the member tells of itself: its load, and an agent that answered it
// recently; empty: none.
func (m *Node) SetLocalState(load uint16, agent string) { m.load, m.agent = load, agent }

// Size is the number of live members in the view, including this one.
func (m *Node) Size() int { return m.liveCount + 1 }

// NextTick is when Tick is due: at least once in a probe interval, so that no pause goes unnoticed
// (step 4).
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

// SharedInfos returns the static information of members, to be shared by many views in one process.
func SharedInfos(all []Record) []*Info {
	out := make([]*Info, len(all))
	for i := range all {
		out[i] = &all[i].Info
	}
	return out
}

// Preload makes others known from the start, as after a sync with a member that knows them.
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

// outbox collects messages to send.
type outbox []Outgoing

// Tick does what is due and returns the messages to send.
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

// Receive processes a valid message and returns the messages to send. Only a message that echoes a
// nonce of this member is believed (step 2). Any other, however old it may be, causes no more than an
// answer.
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

// dispatch processes a message by its kind.
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
		m.handleAck(now, x, via, o)
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

// Leave ends the membership in order: members that were heard recently are told and spread it.
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

// LeaveAcknowledged reports whether another member has heard that this one leaves.
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
