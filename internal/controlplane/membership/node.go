package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Constants of the protocol.
const (
	maxHealthScore     = 8
	maxPendingRequests = 256 // requests that wait for their reply
	maxRecentPings     = 64  // received pings that are remembered
	maxBroadcasts      = 4096
	maxReachRecords    = 1024
	maxSuspectPaths    = 8 // members probed more often at a time, to find out which link is cut
	failuresBeforeCut  = 6 // consecutive failed probes of a member reached by another path, after which a cut is reported
	maxEvents          = 256
	maxAgents          = 8
	maxTombstones      = 1024 // members that are dead or have left and are remembered
	maxSyncAnswers     = 4    // sync requests answered in a probe interval
	deadProbeEvery     = 4    // one probe in so many goes to a member declared dead
)

// Node is one member's protocol state machine.
type Node struct {
	config          Config
	rng             *rand.Rand
	self            Record
	load            uint16 // open client requests, sent with each message
	agent           string // address of an agent that answered this process recently, sent likewise
	seeds           []string
	members         []member // all others, unordered; index has their positions by id
	index           map[uint64]int32
	liveCount       int      // others that are alive or suspected
	endedCount      int      // others that are dead or have left
	rotation        []uint64 // probe order: ids from rotationPos on have not been probed in this round
	rotationPos     int
	currentProbe    *probe                    // nil: none
	probeCount      uint64                    // calls of nextProbeTarget so far
	pending         map[uint64]pendingRequest // requests that wait for their reply, by nonce
	recentPings     []pendingRequest          // received pings, not verified; responder is the sender
	suspicions      []suspicion
	suspectPaths    []suspectPath
	reachability    map[reachKey]*reachRecord
	reachBroadcasts []reachKey            // reachability records to be piggybacked
	reachSeq        uint32                // of the last own reachability record
	broadcasts      []broadcast           // records to be piggybacked
	digests         [DigestBuckets]uint64 // XOR of the hashes of all records, by bucket
	aliveDigest     uint64                // the same over the live members alone

	nextProbe, nextSync, nextJoin time.Duration
	announcedTick                 time.Duration   // last result of NextTick: when Tick is expected
	clockCheckedAt                time.Duration   // last call of observeClock
	lastHeardAt                   time.Duration   // last verified message from any member
	missedProbes                  map[uint64]bool // members whose probes failed since the last verified message
	healthScore                   int             // Lifeguard's local health multiplier; 0: healthy
	isolated                      bool            // no verified messages arrive: no member is declared dead
	gossipPending                 bool            // gossipUrgent must spread a change of the own record
	lastUrgentGossip              time.Duration   // last time that gossipUrgent sent
	syncAnswers                   int             // sync requests answered since syncPeriodStart
	syncPeriodStart               time.Duration
	events                        []Event
	eventCount                    int         // including those no longer kept
	agents                        []agentSeen // agents reported by others recently, the latest last
	Counts                        Counts
}

// agentSeen is the address of an agent that another member reported.
type agentSeen struct {
	addr   string
	seenAt time.Duration
}

// New returns the state machine of a new run of a member. The id must be drawn at random; seeds are the
// addresses of members through which to join.
func New(config Config, id uint64, info Info, seeds []string, now time.Duration, rng *rand.Rand) *Node {
	n := &Node{config: config, rng: rng, self: Record{ID: id, Incarnation: 1, Info: info}, seeds: seeds, index: map[uint64]int32{},
		pending: map[uint64]pendingRequest{}, reachability: map[reachKey]*reachRecord{}, missedProbes: map[uint64]bool{}, lastHeardAt: now, syncPeriodStart: now}
	n.nextProbe = now + time.Duration(rng.Int64N(int64(config.ProbeInterval)))
	n.nextSync, n.nextJoin = now+config.SyncInterval, now
	n.clockCheckedAt = now
	n.announcedTick = n.NextTick()
	n.toggleDigest(&n.self)
	return n
}

// Self returns the member's own record.
func (n *Node) Self() Record { return n.self }

// SetLocalState sets what later messages report of this member: its load, and the address of an agent
// that answered it recently (empty: none).
func (n *Node) SetLocalState(load uint16, agent string) { n.load, n.agent = load, agent }

// Size returns the number of live members in the view, including this one.
func (n *Node) Size() int { return n.liveCount + 1 }

// NextTick returns when Tick is due: at least once in a probe interval, so that every pause is detected
// (step 4).
func (n *Node) NextTick() time.Duration {
	at := min(n.nextProbe, n.nextSync, n.clockCheckedAt+n.config.ProbeInterval)
	if p := n.currentProbe; p != nil && !p.acked {
		if len(p.helpers) == 0 {
			at = min(at, p.startedAt+n.scaleByHealth(n.config.ProbeTimeout))
		}
	}
	if len(n.seeds) > 0 {
		at = min(at, n.nextJoin)
	}
	if !n.isolated {
		for i := range n.suspicions {
			at = min(at, n.suspicionDeadline(&n.suspicions[i]))
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

// Preload adds live members to a new view, as a sync with a member that has them would.
func (n *Node) Preload(now time.Duration, all []Record, infos []*Info) {
	n.members = slices.Grow(n.members, len(all))
	for i := range all {
		r := &all[i]
		if r.ID == n.self.ID || n.lookup(r.ID) != nil {
			continue
		}
		n.index[r.ID] = int32(len(n.members))
		n.members = append(n.members, member{info: infos[i], id: r.ID, lastHeardAt: -1, statusSince: now, incarnation: r.Incarnation, inRotation: true})
		n.rotation = append(n.rotation, r.ID)
		n.toggleDigest(r)
		n.liveCount++
	}
	n.rng.Shuffle(len(n.rotation), func(i, j int) { n.rotation[i], n.rotation[j] = n.rotation[j], n.rotation[i] })
}

// outbox collects messages to send.
type outbox []Outgoing

// Tick runs the actions that are due and returns the messages to send.
func (n *Node) Tick(now time.Duration) []Outgoing {
	var o outbox
	n.observeClock(now)
	if p := n.currentProbe; p != nil && !p.acked && len(p.helpers) == 0 && now >= p.startedAt+n.scaleByHealth(n.config.ProbeTimeout) && now < n.nextProbe {
		n.probeIndirectly(now, &o)
	}
	if now >= n.nextProbe {
		n.finishProbe(now)
		n.startProbe(now, &o)
	}
	n.confirmSuspicions(now)
	if now >= n.nextSync {
		n.startSync(now, &o)
		n.expireState(now)
	}
	if len(n.seeds) > 0 && now >= n.nextJoin {
		n.joinSeeds(now, &o)
	}
	n.gossipUrgent(now, &o)
	n.announcedTick = n.NextTick()
	return o
}

// Receive processes a valid message and returns the messages to send. Only a message that echoes a
// nonce of this member may change the view (step 2). Any other, however old, causes at most a reply.
func (n *Node) Receive(now time.Duration, msg *Message, via Channel) []Outgoing {
	var o outbox
	n.observeClock(now)
	switch {
	case msg.FleetID != n.config.FleetID:
		n.Counts.Foreign++
	case msg.From.ID == n.self.ID:
		n.Counts.Stale++
	case msg.To != 0 && msg.To != n.self.ID:
		n.Counts.Misdirected++
	default:
		n.dispatch(now, msg, via, &o)
	}
	n.gossipUrgent(now, &o)
	n.announcedTick = n.NextTick()
	return o
}

// dispatch processes a message by its kind.
func (n *Node) dispatch(now time.Duration, msg *Message, via Channel, o *outbox) {
	switch msg.Kind {
	case Ping:
		n.handlePing(now, msg, via, o)
		return
	case PingRequest:
		n.handlePingRequest(now, msg, o)
		return
	case SyncRequest:
		n.handleSyncRequest(now, msg, via, o)
		return
	}
	p, known := n.pending[msg.Echo]
	if msg.Echo == 0 || !known || p.responder != 0 && p.responder != msg.From.ID && !(p.kind == Ping && (msg.Kind == IndirectAck || msg.Kind == Nack)) {
		n.Counts.Stale++
		return
	}
	switch {
	case msg.Kind == Ack && p.kind == Ping:
		n.handleAck(now, msg, via, o)
	case msg.Kind == Ack && p.kind == PingRequest:
		delete(n.pending, msg.Echo)
		n.noteHeard(now, msg)
		n.mergePiggyback(now, msg)
		t := n.newMessage(IndirectAck, p.requester.ID)
		t.Echo, t.Subject, t.SawRequesterPing = p.requesterNonce, msg.From, msg.SawRequesterPing
		*o = append(*o, Outgoing{p.requester.Info.Addr, Datagram, t})
	case msg.Kind == AckConfirm && p.kind == Ack:
		delete(n.pending, msg.Echo)
		n.noteHeard(now, msg)
		n.mergePiggyback(now, msg)
	case (msg.Kind == IndirectAck || msg.Kind == Nack) && p.kind == Ping:
		n.handleIndirectReply(now, msg)
	case msg.Kind == SyncPage && (p.kind == SyncRequest || p.kind == SyncPage):
		n.handleSyncPage(now, msg, p, via, o)
	default:
		n.Counts.Stale++
	}
}

// Leave marks this member as left, and returns pings to the members heard most recently, whose replies
// make it spread.
func (n *Node) Leave(now time.Duration) []Outgoing {
	if n.self.Status == Left {
		return nil
	}
	n.toggleDigest(&n.self)
	n.self.Incarnation++
	n.self.Status = Left
	n.toggleDigest(&n.self)
	n.queueBroadcast(n.self)
	var o outbox
	n.pingRecentlyHeard(now, 2*n.config.IndirectProbes, &o)
	n.announcedTick = n.NextTick()
	return o
}

// LeaveAcknowledged reports whether this member has left and its record was piggybacked on at least two
// replies, so that other members have most likely received it.
func (n *Node) LeaveAcknowledged() bool {
	own := func(u broadcast) bool { return u.ID == n.self.ID && u.transmissions < 2 }
	return n.self.Status == Left && !slices.ContainsFunc(n.broadcasts, own)
}

// SetAddr changes the address at which others reach this member.
func (n *Node) SetAddr(addr string) {
	n.self.Info.Addr = addr
	n.self.PausedMs = 0
	n.raiseIncarnation()
}
