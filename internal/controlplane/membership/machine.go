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
	mostScore  = 8   // of doubt in oneself
	mostAsked  = 256 // questions that wait for an answer
	mostPings  = 64  // of others, remembered
	mostQueue  = 4096
	mostLinks  = 1024
	mostDoubts = 8 // ways tried again at a time
	cutAfter   = 6 // failures in a row, with answers by another way, name a cut
	mostEvents = 256
	mostAgents = 8
	mostEnded  = 1024 // that are remembered
	answers    = 4    // comparisons answered in a period
	everyDead  = 4    // one probe in so many goes to somebody held dead
)

// entry is what is known of one member.
type entry struct {
	info   *Info
	birth  uint64
	heard  time.Duration // its last message that was surely of then; -1: none
	since  time.Duration // its status is this
	stood  time.Duration // when it told of a pause; with paused
	by     uint64        // whose verdict it is that it is dead
	inc    uint32
	paused uint32
	load   uint16
	status Status
	health uint8
	late   uint8 // answers in a row that came late
	placed bool  // it has a turn in the round
	silent bool  // it ended so long ago that nothing is said of it any more
}

// suspicion is a verdict under way.
type suspicion struct {
	birth   uint64
	inc     uint32
	began   time.Duration
	by      []uint64 // whose word it is, each once
	buried  []uint64 // who holds it dead
	voided  bool     // begun anew after a pause or a time of hearing nobody
	reached bool     // somebody said that it answered while we suspected it
}

// probe is the one question under way.
type probe struct {
	birth   uint64
	addr    string
	nonce   uint64
	began   time.Duration
	asked   []uint64 // helpers
	nacks   int
	answers bool
	told    uint64 // the helper that reached it; 0: none
	seen    bool   // it has had our own ping
	stream  bool   // it answered by a stream
}

// asked is a question that waits for its answer.
type asked struct {
	birth uint64 // of whom; 0: whoever is there
	kind  Kind
	at    time.Duration
	// Of a ping for another:
	asker Record
	about Record
	echo  uint64
}

// doubt is a way that has failed and is tried again.
type doubt struct {
	birth  uint64
	fails  int
	seen   int    // of these, it had our ping
	stream int    // of these, a stream came through
	via    uint64 // who reached it last
	named  bool
}

// update is a record that is being passed on.
type update struct {
	Record
	sent int
}

type linkKey struct{ by, from, to uint64 }

type linkRec struct {
	Link
	at   time.Duration
	sent int // -1: as often as it has to be
}

// Event is a change of the view, and its cause.
type Event struct {
	At    time.Duration `json:"-"`
	Birth uint64        `json:"birth"`
	Name  string        `json:"name"`
	To    string        `json:"to"`
	Inc   uint32        `json:"incarnation"`
	Why   string        `json:"why"`
	By    []uint64      `json:"-"` // of a death: whose word it is
}

// Counts are what has come to pass since the start.
type Counts struct {
	Probes, Failed, Suspected, Buried, Refuted, Pauses, Starved, Voided uint64
	Stale, Foreign, Misdirected, Limited, Absurd                        uint64 // messages that changed nothing
}

// Machine is one member's side.
type Machine struct {
	set     Settings
	rng     *rand.Rand
	self    Record
	load    uint16
	agent   string
	seeds   []string
	table   []entry
	index   map[uint64]int32
	live    int // others that are alive or suspected
	ended   int
	order   []uint64
	turn    int
	probe   *probe
	probes  uint64
	asked   map[uint64]asked
	pings   []asked // of others, unverified: their nonces and births
	susp    []suspicion
	doubts  []doubt
	links   map[linkKey]*linkRec
	telling []linkKey // that are being passed on
	linked  uint32    // Seq of the last link told
	queue   []update
	digest  [Buckets]uint64 // of all records
	living  uint64          // of those alive

	nextProbe, nextCompare, nextSeed time.Duration
	due                              time.Duration // what Next told last
	looked                           time.Duration // when the clock was looked at last
	heard                            time.Duration // the last verified message from anybody
	missed                           map[uint64]bool
	score                            int
	alone                            bool
	urgent                           bool // something of our own is to be told at once
	poked                            time.Duration
	answered                         int // comparisons, in this period
	period                           time.Duration
	events                           []Event
	ever                             int
	agents                           []agentSeen
	Counts                           Counts
}

type agentSeen struct {
	addr string
	at   time.Duration
}

// New begins a life. Birth has to be drawn at random; seeds are addresses to join by.
func New(set Settings, birth uint64, info Info, seeds []string, now time.Duration, rng *rand.Rand) *Machine {
	m := &Machine{set: set, rng: rng, self: Record{Birth: birth, Inc: 1, Info: info}, seeds: seeds, index: map[uint64]int32{},
		asked: map[uint64]asked{}, links: map[linkKey]*linkRec{}, missed: map[uint64]bool{}, heard: now, period: now}
	m.nextProbe = now + time.Duration(rng.Int64N(int64(set.Period)))
	m.nextCompare, m.nextSeed = now+set.Compare, now
	m.looked = now
	m.due = m.Next()
	m.toll(&m.self)
	return m
}

// Self is the member's own record.
func (m *Machine) Self() Record { return m.self }

// Tell sets what the member tells of itself: its load, and an agent that has answered it; empty: none.
func (m *Machine) Tell(load uint16, agent string) { m.load, m.agent = load, agent }

// Size is how many live in the view, oneself among them.
func (m *Machine) Size() int { return m.live + 1 }

// Least and Most are how long a suspicion lasts, with enough reporters and with one, of a member that trusts itself.
func (m *Machine) Least() time.Duration {
	return time.Duration(m.set.Suspect / 2 * max(1, math.Log10(float64(m.Size()))) * float64(m.set.Period))
}

// Most is how long one reporter alone waits.
func (m *Machine) Most() time.Duration { return time.Duration(m.set.Stretch * float64(m.Least())) }

// repeats is how often a record is passed on.
func (m *Machine) repeats() int {
	return int(math.Ceil(m.set.Repeats * math.Log2(float64(m.Size())+1)))
}

// stretch lengthens the member's own time-outs by its doubt in itself.
func (m *Machine) stretch(d time.Duration) time.Duration { return d * time.Duration(1+m.score) }

func (m *Machine) doubt(by int) {
	if !m.set.Plain {
		m.score = max(0, min(mostScore, m.score+by))
	}
}

func hash(birth uint64, inc uint32, s Status) uint64 {
	if s == Suspect {
		s = Alive
	}
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], birth)
	binary.LittleEndian.PutUint32(b[8:], inc)
	b[12] = byte(s)
	return xxhash.Sum64(b[:])
}

// toll adds a record to the digests, or takes it out.
func (m *Machine) toll(r *Record) {
	h := hash(r.Birth, r.Inc, r.Status)
	m.digest[r.Birth%Buckets] ^= h
	if r.Status <= Suspect {
		m.living ^= h
	}
}

// Digest is of all that live in the view: two views that have the same members under the same incarnations have the same.
func (m *Machine) Digest() uint64 { return m.living }

func (m *Machine) entry(birth uint64) *entry {
	if i, ok := m.index[birth]; ok {
		return &m.table[i]
	}
	return nil
}

// record is the view's word on a member.
func (m *Machine) record(e *entry) Record {
	r := Record{Birth: e.birth, Inc: e.inc, Status: e.status, Info: *e.info, Paused: e.paused}
	switch e.status {
	case Suspect:
		r.By = m.self.Birth
	case Dead: // a verdict stays its judge's: who was told it is no further one (3)
		r.By = e.by
	}
	return r
}

// change changes a member's record, with the cause.
func (m *Machine) change(now time.Duration, e *entry, s Status, inc uint32, why string) {
	if was := m.record(e); !e.silent {
		m.toll(&was)
	}
	e.silent = false
	if e.status != s {
		if was, is := e.status <= Suspect, s <= Suspect; was && !is {
			m.live--
			m.ended++
		} else if !was && is {
			m.live++
			m.ended--
			m.place(e)
		}
		e.since = now
		m.note(now, e, s.String(), inc, why)
	}
	e.status, e.inc = s, inc
	is := m.record(e)
	m.toll(&is)
	if s != Suspect {
		m.susp = slices.DeleteFunc(m.susp, func(x suspicion) bool { return x.birth == e.birth })
	}
}

func (m *Machine) note(now time.Duration, e *entry, to string, inc uint32, why string) {
	m.ever++
	m.events = append(m.events, Event{At: now, Birth: e.birth, Name: e.info.Name, To: to, Inc: inc, Why: why})
	if len(m.events) > mostEvents {
		m.events = slices.Delete(m.events, 0, len(m.events)-mostEvents)
	}
}

// add takes in a member that was not known.
func (m *Machine) add(now time.Duration, r *Record, why string) *entry {
	info := r.Info
	m.index[r.Birth] = int32(len(m.table))
	m.table = append(m.table, entry{info: &info, birth: r.Birth, heard: -1, since: now, inc: r.Inc, status: r.Status, paused: r.Paused, by: r.By})
	e := &m.table[len(m.table)-1]
	is := m.record(e)
	m.toll(&is)
	if r.Status <= Suspect {
		m.live++
		m.place(e)
	} else {
		m.ended++
	}
	m.note(now, e, r.Status.String(), r.Inc, why)
	return e
}

// place puts a member into the round at random, so that nobody's first turn can be told.
func (m *Machine) place(e *entry) {
	if !e.placed {
		e.placed = true
		m.order = slices.Insert(m.order, m.turn+m.rng.IntN(len(m.order)-m.turn+1), e.birth)
	}
}

// drop forgets a member that ended.
func (m *Machine) drop(birth uint64) {
	i := m.index[birth]
	if was := m.record(&m.table[i]); !m.table[i].silent {
		m.toll(&was)
	}
	m.ended--
	m.order = slices.DeleteFunc(m.order, func(b uint64) bool { return b == birth })
	m.turn = min(m.turn, len(m.order))
	last := int32(len(m.table) - 1)
	m.table[i] = m.table[last]
	m.index[m.table[i].birth] = i
	m.table = m.table[:last]
	delete(m.index, birth)
}

// pass has a record passed on, in place of what was said of the member before, but for the words of other reporters.
func (m *Machine) pass(r Record) {
	m.queue = slices.DeleteFunc(m.queue, func(u update) bool {
		return u.Birth == r.Birth && (u.Inc < r.Inc || u.Inc == r.Inc && (u.Status < r.Status || u.Status == r.Status && u.By == r.By))
	})
	if len(m.queue) >= mostQueue { // the most passed on has done its work
		m.queue = slices.Delete(m.queue, 0, 1)
	}
	m.queue = append(m.queue, update{Record: r})
}

// Next is when Tick is due: once in a period at least, or a pause could go by unseen (4).
func (m *Machine) Next() time.Duration {
	at := min(m.nextProbe, m.nextCompare, m.looked+m.set.Period)
	if p := m.probe; p != nil && !p.answers {
		if len(p.asked) == 0 {
			at = min(at, p.began+m.stretch(m.set.Timeout))
		}
	}
	if len(m.seeds) > 0 {
		at = min(at, m.nextSeed)
	}
	if !m.alone {
		for i := range m.susp {
			at = min(at, m.deadline(&m.susp[i]))
		}
	}
	return at
}

// look compares the clock with what was due. A jump voids every verdict under way (4): what was not heard may have been there to hear.
func (m *Machine) look(now time.Duration) {
	late := now - m.due
	switch {
	case m.set.Plain:
	case late > m.set.Jump:
		m.Counts.Pauses++
		m.doubt(3)
		m.void(now)
		m.self.Paused = uint32(min(late.Milliseconds(), math.MaxUint32))
		m.raise()
	case late > m.set.Timeout/2:
		m.Counts.Starved++
		m.doubt(1)
		// What came meanwhile has not been read: that time counts for nothing that is waited for, and there is some to read it.
		late += m.set.Timeout
		if m.probe != nil {
			m.probe.began += late
			m.nextProbe += late
		}
		for i := range m.susp {
			m.susp[i].began += late
		}
	}
	m.due, m.looked = max(m.due, now), now
	if now-m.period >= m.set.Period {
		m.period, m.answered = now, 0
	}
}

// void begins all verdicts anew, from nobody's word.
func (m *Machine) void(now time.Duration) {
	m.probe = nil
	clear(m.asked)
	clear(m.missed)
	m.pings = m.pings[:0]
	m.heard = now
	for i := range m.susp {
		s := &m.susp[i]
		s.began, s.by, s.buried, s.voided = now, nil, nil, true
		m.Counts.Voided++
	}
}

// raise gives the member's own record a later incarnation, and has it told.
func (m *Machine) raise() {
	m.toll(&m.self)
	m.self.Inc++
	m.toll(&m.self)
	m.pass(m.self)
	m.urgent = true
}

// deadline is when a suspicion becomes a verdict here (3).
func (m *Machine) deadline(s *suspicion) time.Duration {
	least, most := m.Least(), m.Most()
	if m.set.Plain {
		return s.began + 2*least
	}
	k := min(m.set.Reporters, max(1, m.Size()-1)) // who could report, oneself among them
	if k > 1 && len(s.by) > 0 {
		c := min(len(s.by), k)
		most -= time.Duration(float64(most-least) * math.Log(float64(c)) / math.Log(float64(k)))
	}
	return s.began + most + most*time.Duration(m.score)/2
}

// suspect notes somebody's word against a member.
func (m *Machine) suspect(now time.Duration, e *entry, inc uint32, by uint64, why string) {
	if e.status == Alive {
		m.change(now, e, Suspect, inc, why)
		m.susp = append(m.susp, suspicion{birth: e.birth, inc: inc, began: now})
		m.Counts.Suspected++
	}
	for i := range m.susp {
		s := &m.susp[i]
		if by == 0 || s.birth != e.birth || slices.Contains(s.by, by) || len(s.by) >= m.set.Reporters {
			continue
		}
		s.by = append(s.by, by)
		r := m.record(e)
		r.By, r.Paused = by, 0
		m.pass(r)
	}
}

// bury makes a verdict.
func (m *Machine) bury(now time.Duration, e *entry, why string, judge uint64, by []uint64) {
	e.by = judge
	m.change(now, e, Dead, e.inc, why)
	m.events[len(m.events)-1].By = by
	m.Counts.Buried++
	m.pass(m.record(e))
}

// merge takes in a record that came with a verified message (2).
func (m *Machine) merge(now time.Duration, r *Record) {
	if r.Birth == m.self.Birth {
		m.own(now, r)
		return
	}
	e := m.entry(r.Birth)
	if e == nil {
		n := *r
		if n.Status == Suspect {
			n.Status = Alive
		}
		e = m.add(now, &n, "told")
		m.pass(n)
		if r.Status == Suspect {
			m.suspect(now, e, r.Inc, r.By, "told")
		}
		return
	}
	if r.Inc > e.inc && (r.Status <= Suspect || r.Status == Dead && e.status <= Suspect) {
		// Whatever was said of it before is over: it has lived since.
		was := e.status
		info := r.Info
		e.info, e.paused, e.stood = &info, r.Paused, now
		why := "told"
		if was != Alive {
			why = "refuted"
		}
		m.change(now, e, Alive, r.Inc, why)
		m.pass(Record{Birth: r.Birth, Inc: r.Inc, Info: r.Info, Paused: r.Paused})
	}
	switch {
	case r.Status == Suspect && r.Inc == e.inc && e.status <= Suspect:
		m.suspect(now, e, r.Inc, r.By, "told")
	case r.Status == Dead && r.Inc >= e.inc && e.status <= Suspect:
		m.toldDead(now, e, r)
	case r.Status == Dead && r.Inc > e.inc && e.status == Dead:
		e.by = r.By
		m.change(now, e, Dead, r.Inc, "told")
	case r.Status == Left && r.Inc >= e.inc && e.status != Left:
		m.change(now, e, Left, r.Inc, "it said so")
		m.pass(Record{Birth: r.Birth, Inc: r.Inc, Status: Left, Info: r.Info})
	}
}

// toldDead weighs another's verdict: it is one more reporter's word, until enough hold the member dead (3).
func (m *Machine) toldDead(now time.Duration, e *entry, r *Record) {
	if m.set.Plain {
		e.by = r.By
		m.change(now, e, Dead, r.Inc, "told")
		m.pass(*r)
		return
	}
	m.suspect(now, e, max(r.Inc, e.inc), 0, "told dead") // a judge may have judged by others' words: it is no reporter
	for i := range m.susp {
		s := &m.susp[i]
		if s.birth != e.birth || slices.Contains(s.buried, r.By) {
			continue
		}
		s.buried = append(s.buried, r.By)
		m.pass(*r)
		if len(s.buried) >= m.set.Reporters && !m.alone {
			m.bury(now, e, "enough hold it dead", s.buried[0], s.buried)
		}
		return
	}
}

// own refutes what is said of oneself (1).
func (m *Machine) own(now time.Duration, r *Record) {
	switch {
	case r.Inc > m.self.Inc:
		m.Counts.Absurd++
	case r.Inc == m.self.Inc && r.Status != Alive && m.self.Status == Alive:
		m.Counts.Refuted++
		m.doubt(1)
		m.self.Paused = 0
		m.raise()
	}
}

// heardFrom notes a message that is surely of now: it echoes what we drew.
func (m *Machine) heardFrom(now time.Duration, x *Message) *entry {
	m.heard = now
	clear(m.missed)
	if m.alone {
		m.alone = false
		m.void(now)
	}
	m.merge(now, &x.From)
	e := m.entry(x.From.Birth)
	if e == nil {
		return nil
	}
	e.heard, e.health, e.load = now, x.Health, x.Load
	if e.status == Suspect && x.From.Inc >= e.inc {
		m.change(now, e, Alive, e.inc, "heard")
	}
	if x.Agent != "" {
		m.agents = slices.DeleteFunc(m.agents, func(a agentSeen) bool { return a.addr == x.Agent })
		if m.agents = append(m.agents, agentSeen{x.Agent, now}); len(m.agents) > mostAgents {
			m.agents = m.agents[1:]
		}
	}
	return e
}

// Changed are the changes of the view that are kept, the latest last, and how many there ever were.
func (m *Machine) Changed() (kept []Event, ever int) { return m.events, m.ever }

// Shared are the facts of members, once for many views.
func Shared(all []Record) []*Info {
	out := make([]*Info, len(all))
	for i := range all {
		out[i] = &all[i].Info
	}
	return out
}

// Know has the member know others from the start, as after a comparison with somebody who knows them.
func (m *Machine) Know(now time.Duration, all []Record, infos []*Info) {
	m.table = slices.Grow(m.table, len(all))
	for i := range all {
		r := &all[i]
		if r.Birth == m.self.Birth || m.entry(r.Birth) != nil {
			continue
		}
		m.index[r.Birth] = int32(len(m.table))
		m.table = append(m.table, entry{info: infos[i], birth: r.Birth, heard: -1, since: now, inc: r.Inc, placed: true})
		m.order = append(m.order, r.Birth)
		m.toll(r)
		m.live++
	}
	m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
}
