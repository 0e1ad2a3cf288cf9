package membership

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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

// member is what is known of one member.
type member struct {
	info          *Info
	id            uint64
	lastHeardAt   time.Duration // its last message that was surely of then; -1: none
	statusSince   time.Duration // its status is this
	pauseToldAt   time.Duration // when it told of a pause; with paused
	deathReporter uint64        // whose verdict it is that it is dead
	incarnation   uint32
	pausedMs      uint32
	load          uint16
	status        Status
	health        uint8
	lateAcks      uint8 // answers in a row that came late
	inRotation    bool  // it has a turn in the round
	suppressed    bool  // it ended so long ago that nothing is said of it any more
}

// suspicion is a verdict under way.
type suspicion struct {
	id             uint64
	incarnation    uint32
	startedAt      time.Duration
	reporters      []uint64 // whose word it is, each once
	deathReporters []uint64 // who holds it dead
	restarted      bool     // begun anew after a pause or a time of hearing nobody
	reached        bool     // somebody said that it answered while we suspected it
}

// probe is the one question under way.
type probe struct {
	target        uint64
	addr          string
	nonce         uint64
	startedAt     time.Duration
	helpers       []uint64 // helpers
	nacks         int
	acked         bool
	reachedBy     uint64 // the helper that reached it; 0: none
	sawOurPing    bool   // it has had our own ping
	ackedByStream bool   // it answered by a stream
}

// pendingRequest is a question that waits for its answer.
type pendingRequest struct {
	responder uint64 // of whom; 0: whoever is there
	kind      MessageKind
	sentAt    time.Duration
	// Of a ping for another:
	requester      Record
	about          Record
	requesterNonce uint64
}

// suspectPath is a way that has failed and is tried again.
type suspectPath struct {
	target     uint64
	failures   int
	pingsSeen  int    // of these, it had our ping
	streamAcks int    // of these, a stream came through
	lastHelper uint64 // who reached it last
	published  bool
}

// broadcast is a record that is being passed on.
type broadcast struct {
	Record
	transmissions int
}

type reachKey struct{ observer, from, to uint64 }

type reachRecord struct {
	Reachability
	at            time.Duration
	transmissions int // -1: as often as it has to be
}

// Event is a change of the view, and its cause.
type Event struct {
	At          time.Duration `json:"-"`
	ID          uint64        `json:"birth"`
	Name        string        `json:"name"`
	Status      string        `json:"to"`
	Incarnation uint32        `json:"incarnation"`
	Reason      string        `json:"why"`
	Reporters   []uint64      `json:"-"` // of a death: whose word it is
}

// Counts are what has come to pass since the start.
type Counts struct {
	Probes, Failed, Suspected, Buried, Refuted, Pauses, Starved, Voided uint64
	Stale, Foreign, Misdirected, Limited, Absurd                        uint64 // messages that changed nothing
}

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

// MinSuspicion and Most are how long a suspicion lasts, with enough reporters and with one, of a member that trusts itself.
func (m *Node) MinSuspicion() time.Duration {
	return time.Duration(m.config.SuspicionMult / 2 * max(1, math.Log10(float64(m.Size()))) * float64(m.config.ProbeInterval))
}

// MaxSuspicion is how long one reporter alone waits.
func (m *Node) MaxSuspicion() time.Duration {
	return time.Duration(m.config.SuspicionMaxMult * float64(m.MinSuspicion()))
}

// retransmitLimit is how often a record is passed on.
func (m *Node) retransmitLimit() int {
	return int(math.Ceil(m.config.RetransmitMult * math.Log2(float64(m.Size())+1)))
}

// scaleByHealth lengthens the member's own time-outs by its doubt in itself.
func (m *Node) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+m.healthScore)
}

func (m *Node) adjustHealth(by int) {
	if !m.config.DisableLifeguard {
		m.healthScore = max(0, min(maxHealthScore, m.healthScore+by))
	}
}

func recordHash(birth uint64, inc uint32, s Status) uint64 {
	if s == Suspect {
		s = Alive
	}
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], birth)
	binary.LittleEndian.PutUint32(b[8:], inc)
	b[12] = byte(s)
	return xxhash.Sum64(b[:])
}

// toggleDigest adds a record to the digests, or takes it out.
func (m *Node) toggleDigest(r *Record) {
	h := recordHash(r.ID, r.Incarnation, r.Status)
	m.digests[r.ID%DigestBuckets] ^= h
	if r.Status <= Suspect {
		m.aliveDigest ^= h
	}
}

// AliveDigest is of all that live in the view: two views that have the same members under the same incarnations have the same.
func (m *Node) AliveDigest() uint64 { return m.aliveDigest }

func (m *Node) lookup(birth uint64) *member {
	if i, ok := m.index[birth]; ok {
		return &m.members[i]
	}
	return nil
}

// recordOf is the view's word on a member.
func (m *Node) recordOf(e *member) Record {
	r := Record{ID: e.id, Incarnation: e.incarnation, Status: e.status, Info: *e.info, PausedMs: e.pausedMs}
	switch e.status {
	case Suspect:
		r.Reporter = m.self.ID
	case Dead: // a verdict stays its judge's: who was told it is no further one (3)
		r.Reporter = e.deathReporter
	}
	return r
}

// setStatus changes a member's record, with the cause.
func (m *Node) setStatus(now time.Duration, e *member, s Status, inc uint32, why string) {
	if was := m.recordOf(e); !e.suppressed {
		m.toggleDigest(&was)
	}
	e.suppressed = false
	if e.status != s {
		if was, is := e.status <= Suspect, s <= Suspect; was && !is {
			m.liveCount--
			m.endedCount++
		} else if !was && is {
			m.liveCount++
			m.endedCount--
			m.insertIntoRotation(e)
		}
		e.statusSince = now
		m.addEvent(now, e, s.String(), inc, why)
	}
	e.status, e.incarnation = s, inc
	is := m.recordOf(e)
	m.toggleDigest(&is)
	if s != Suspect {
		m.suspicions = slices.DeleteFunc(m.suspicions, func(x suspicion) bool { return x.id == e.id })
	}
}

func (m *Node) addEvent(now time.Duration, e *member, to string, inc uint32, why string) {
	m.eventCount++
	m.events = append(m.events, Event{At: now, ID: e.id, Name: e.info.Name, Status: to, Incarnation: inc, Reason: why})
	if len(m.events) > maxEvents {
		m.events = slices.Delete(m.events, 0, len(m.events)-maxEvents)
	}
}

// addMember takes in a member that was not known.
func (m *Node) addMember(now time.Duration, r *Record, why string) *member {
	info := r.Info
	m.index[r.ID] = int32(len(m.members))
	m.members = append(m.members, member{info: &info, id: r.ID, lastHeardAt: -1, statusSince: now, incarnation: r.Incarnation, status: r.Status, pausedMs: r.PausedMs, deathReporter: r.Reporter})
	e := &m.members[len(m.members)-1]
	is := m.recordOf(e)
	m.toggleDigest(&is)
	if r.Status <= Suspect {
		m.liveCount++
		m.insertIntoRotation(e)
	} else {
		m.endedCount++
	}
	m.addEvent(now, e, r.Status.String(), r.Incarnation, why)
	return e
}

// insertIntoRotation puts a member into the round at random, so that nobody's first turn can be told.
func (m *Node) insertIntoRotation(e *member) {
	if !e.inRotation {
		e.inRotation = true
		m.rotation = slices.Insert(m.rotation, m.rotationPos+m.rng.IntN(len(m.rotation)-m.rotationPos+1), e.id)
	}
}

// removeMember forgets a member that ended.
func (m *Node) removeMember(birth uint64) {
	i := m.index[birth]
	if was := m.recordOf(&m.members[i]); !m.members[i].suppressed {
		m.toggleDigest(&was)
	}
	m.endedCount--
	m.rotation = slices.DeleteFunc(m.rotation, func(b uint64) bool { return b == birth })
	m.rotationPos = min(m.rotationPos, len(m.rotation))
	last := int32(len(m.members) - 1)
	m.members[i] = m.members[last]
	m.index[m.members[i].id] = i
	m.members = m.members[:last]
	delete(m.index, birth)
}

// queueBroadcast has a record passed on, in place of what was said of the member before, but for the words of other reporters.
func (m *Node) queueBroadcast(r Record) {
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(u broadcast) bool {
		return u.ID == r.ID && (u.Incarnation < r.Incarnation || u.Incarnation == r.Incarnation && (u.Status < r.Status || u.Status == r.Status && u.Reporter == r.Reporter))
	})
	if len(m.broadcasts) >= maxBroadcasts { // the most passed on has done its work
		m.broadcasts = slices.Delete(m.broadcasts, 0, 1)
	}
	m.broadcasts = append(m.broadcasts, broadcast{Record: r})
}

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

// observeClock compares the clock with what was due. A jump voids every verdict under way (4): what was not heard may have been there to hear.
func (m *Node) observeClock(now time.Duration) {
	late := now - m.announcedTick
	switch {
	case m.config.DisableLifeguard:
	case late > m.config.PauseThreshold:
		m.Counts.Pauses++
		m.adjustHealth(3)
		m.restartSuspicions(now)
		m.self.PausedMs = uint32(min(late.Milliseconds(), math.MaxUint32))
		m.raiseIncarnation()
	case late > m.config.ProbeTimeout/2:
		m.Counts.Starved++
		m.adjustHealth(1)
		// What came meanwhile has not been read: that time counts for nothing that is waited for, and there is some to read it.
		late += m.config.ProbeTimeout
		if m.currentProbe != nil {
			m.currentProbe.startedAt += late
			m.nextProbe += late
		}
		for i := range m.suspicions {
			m.suspicions[i].startedAt += late
		}
	}
	m.announcedTick, m.clockCheckedAt = max(m.announcedTick, now), now
	if now-m.syncPeriodStart >= m.config.ProbeInterval {
		m.syncPeriodStart, m.syncAnswers = now, 0
	}
}

// restartSuspicions begins all verdicts anew, from nobody's word.
func (m *Node) restartSuspicions(now time.Duration) {
	m.currentProbe = nil
	clear(m.pending)
	clear(m.missedProbes)
	m.recentPings = m.recentPings[:0]
	m.lastHeardAt = now
	for i := range m.suspicions {
		s := &m.suspicions[i]
		s.startedAt, s.reporters, s.deathReporters, s.restarted = now, nil, nil, true
		m.Counts.Voided++
	}
}

// raiseIncarnation gives the member's own record a later incarnation, and has it told.
func (m *Node) raiseIncarnation() {
	m.toggleDigest(&m.self)
	m.self.Incarnation++
	m.toggleDigest(&m.self)
	m.queueBroadcast(m.self)
	m.gossipPending = true
}

// suspicionDeadline is when a suspicion becomes a verdict here (3).
func (m *Node) suspicionDeadline(s *suspicion) time.Duration {
	least, most := m.MinSuspicion(), m.MaxSuspicion()
	if m.config.DisableLifeguard {
		return s.startedAt + 2*least
	}
	k := min(m.config.Confirmations, max(1, m.Size()-1)) // who could report, oneself among them
	if k > 1 && len(s.reporters) > 0 {
		c := min(len(s.reporters), k)
		most -= time.Duration(float64(most-least) * math.Log(float64(c)) / math.Log(float64(k)))
	}
	return s.startedAt + most + most*time.Duration(m.healthScore)/2
}

// suspect notes somebody's word against a member.
func (m *Node) suspect(now time.Duration, e *member, inc uint32, by uint64, why string) {
	if e.status == Alive {
		m.setStatus(now, e, Suspect, inc, why)
		m.suspicions = append(m.suspicions, suspicion{id: e.id, incarnation: inc, startedAt: now})
		m.Counts.Suspected++
	}
	for i := range m.suspicions {
		s := &m.suspicions[i]
		if by == 0 || s.id != e.id || slices.Contains(s.reporters, by) || len(s.reporters) >= m.config.Confirmations {
			continue
		}
		s.reporters = append(s.reporters, by)
		r := m.recordOf(e)
		r.Reporter, r.PausedMs = by, 0
		m.queueBroadcast(r)
	}
}

// declareDead makes a verdict.
func (m *Node) declareDead(now time.Duration, e *member, why string, judge uint64, by []uint64) {
	e.deathReporter = judge
	m.setStatus(now, e, Dead, e.incarnation, why)
	m.events[len(m.events)-1].Reporters = by
	m.Counts.Buried++
	m.queueBroadcast(m.recordOf(e))
}

// mergeRecord takes in a record that came with a verified message (2).
func (m *Node) mergeRecord(now time.Duration, r *Record) {
	if r.ID == m.self.ID {
		m.refute(now, r)
		return
	}
	e := m.lookup(r.ID)
	if e == nil {
		n := *r
		if n.Status == Suspect {
			n.Status = Alive
		}
		e = m.addMember(now, &n, "told")
		m.queueBroadcast(n)
		if r.Status == Suspect {
			m.suspect(now, e, r.Incarnation, r.Reporter, "told")
		}
		return
	}
	if r.Incarnation > e.incarnation && (r.Status <= Suspect || r.Status == Dead && e.status <= Suspect) {
		// Whatever was said of it before is over: it has lived since.
		was := e.status
		info := r.Info
		e.info, e.pausedMs, e.pauseToldAt = &info, r.PausedMs, now
		why := "told"
		if was != Alive {
			why = "refuted"
		}
		m.setStatus(now, e, Alive, r.Incarnation, why)
		m.queueBroadcast(Record{ID: r.ID, Incarnation: r.Incarnation, Info: r.Info, PausedMs: r.PausedMs})
	}
	switch {
	case r.Status == Suspect && r.Incarnation == e.incarnation && e.status <= Suspect:
		m.suspect(now, e, r.Incarnation, r.Reporter, "told")
	case r.Status == Dead && r.Incarnation >= e.incarnation && e.status <= Suspect:
		m.mergeDeath(now, e, r)
	case r.Status == Dead && r.Incarnation > e.incarnation && e.status == Dead:
		e.deathReporter = r.Reporter
		m.setStatus(now, e, Dead, r.Incarnation, "told")
	case r.Status == Left && r.Incarnation >= e.incarnation && e.status != Left:
		m.setStatus(now, e, Left, r.Incarnation, "it said so")
		m.queueBroadcast(Record{ID: r.ID, Incarnation: r.Incarnation, Status: Left, Info: r.Info})
	}
}

// mergeDeath weighs another's verdict: it is one more reporter's word, until enough hold the member dead (3).
func (m *Node) mergeDeath(now time.Duration, e *member, r *Record) {
	if m.config.DisableLifeguard {
		e.deathReporter = r.Reporter
		m.setStatus(now, e, Dead, r.Incarnation, "told")
		m.queueBroadcast(*r)
		return
	}
	m.suspect(now, e, max(r.Incarnation, e.incarnation), 0, "told dead") // a judge may have judged by others' words: it is no reporter
	for i := range m.suspicions {
		s := &m.suspicions[i]
		if s.id != e.id || slices.Contains(s.deathReporters, r.Reporter) {
			continue
		}
		s.deathReporters = append(s.deathReporters, r.Reporter)
		m.queueBroadcast(*r)
		if len(s.deathReporters) >= m.config.Confirmations && !m.isolated {
			m.declareDead(now, e, "enough hold it dead", s.deathReporters[0], s.deathReporters)
		}
		return
	}
}

// refute refutes what is said of oneself (1).
func (m *Node) refute(now time.Duration, r *Record) {
	switch {
	case r.Incarnation > m.self.Incarnation:
		m.Counts.Absurd++
	case r.Incarnation == m.self.Incarnation && r.Status != Alive && m.self.Status == Alive:
		m.Counts.Refuted++
		m.adjustHealth(1)
		m.self.PausedMs = 0
		m.raiseIncarnation()
	}
}

// noteHeard notes a message that is surely of now: it echoes what we drew.
func (m *Node) noteHeard(now time.Duration, x *Message) *member {
	m.lastHeardAt = now
	clear(m.missedProbes)
	if m.isolated {
		m.isolated = false
		m.restartSuspicions(now)
	}
	m.mergeRecord(now, &x.From)
	e := m.lookup(x.From.ID)
	if e == nil {
		return nil
	}
	e.lastHeardAt, e.health, e.load = now, x.Health, x.Load
	if e.status == Suspect && x.From.Incarnation >= e.incarnation {
		m.setStatus(now, e, Alive, e.incarnation, "heard")
	}
	if x.Agent != "" {
		m.agents = slices.DeleteFunc(m.agents, func(a agentSeen) bool { return a.addr == x.Agent })
		if m.agents = append(m.agents, agentSeen{x.Agent, now}); len(m.agents) > maxAgents {
			m.agents = m.agents[1:]
		}
	}
	return e
}

// Events are the changes of the view that are kept, the latest last, and how many there ever were.
func (m *Node) Events() (kept []Event, ever int) { return m.events, m.eventCount }

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
