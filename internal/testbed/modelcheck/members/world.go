// Package members runs membership nodes against each other in small groups: a network that loses and
// duplicates messages and whose paths can be cut in one direction, processes that pause, die and
// restart, and clocks at both ends of their drift bound. After each step it checks the invariants of
// docs/members.md. It does no I/O.
package members

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/membership"
)

// Op is one kind of step.
type Op byte

// The kinds of steps.
const (
	Round          Op = iota // a probe interval passes, and messages arrive unless their path is cut
	HalfRound                // half a probe interval passes
	Silence                  // a probe interval passes, and all messages are lost
	Cut                      // the path from one member to another is cut
	Mute                     // all paths from one member are cut
	Heal                     // all cuts end
	Pause                    // a member is paused; messages to it wait
	Resume                   // a paused member resumes
	Kill                     // a member's process ends without notice
	Restart                  // a new incarnation starts at its address
	Leave                    // a member leaves in order
	ReplayOld                // an old message arrives again
	ForeignMessage           // messages of another fleet arrive
	ops
)

func (o Op) String() string {
	return [...]string{"round", "half round", "silence", "cut", "mute", "heal", "pause", "resume", "kill", "restart", "leave", "replay old", "foreign message"}[o]
}

// Step is an Op on a member or replayable message; for Cut, on the path to another member.
type Step struct {
	Op Op
	On int
	To int
}

func (s Step) String() string { return fmt.Sprintf("%v %d>%d", s.Op, s.On, s.To) }

// Setup is a case to search: the size of the model and the steps that are possible.
type Setup struct {
	Name    string
	Size    int
	Rates   []float64 // of the clocks against true time
	Ops     []Op
	Before  []Step
	Seeds   [][]int // of each member; nil: all members know all others at the beginning
	Members []int   // that Ops apply to; nil: all
}

const (
	period      = time.Second
	timeout     = 300 * time.Millisecond
	fleetID     = 7
	maxReplayed = 12 // messages that are kept for ReplayOld
)

var settings = membership.Config{FleetID: fleetID, ProbeInterval: period, ProbeTimeout: timeout, IndirectProbes: 2, SuspicionMult: 2, SuspicionMaxMult: 3, Confirmations: 2, RetransmitMult: 2,
	SyncInterval: 3 * period, PauseThreshold: 1500 * time.Millisecond, TombstoneTTL: time.Hour}

// node is one process of the group.
type node struct {
	member        *membership.Node
	rate          float64
	starts        int
	alive         bool
	leaving       bool
	paused        bool
	pausedSince   time.Duration // begin of its pause, by its own clock
	resumedAt     time.Duration // end of its last pause that was long enough to be detected, by its own clock
	queued        []message
	lastMessageAt time.Duration // when it received a message last, by its own clock
}

// memberIncarnation is a member under one incarnation.
type memberIncarnation struct {
	id          uint64
	incarnation uint32
}

// message is a message in transit, by the numbers of the nodes.
type message struct {
	from, to int
	via      membership.Channel
	*membership.Message
}

// World is one state of a case. It implements explore.World.
type World struct {
	setup            Setup
	now              time.Duration
	nodes            []*node
	inTransit        []message
	replayable       []message
	cut              map[[2]int]bool
	silent           bool
	names            map[uint64]string
	incarnations     map[uint64]uint32                     // newest incarnation of each member, by ID
	leftInOrder      map[uint64]bool                       // members that left in order, by ID
	lastView         []map[uint64]membership.Record        // by node: its view before the step
	suspectedSince   []map[uint64]time.Duration            // by node: since when it suspects each member, by its clock
	directSuspicions map[memberIncarnation]map[uint64]bool // members that suspect it by their own probes
	deadVerdicts     map[memberIncarnation]map[uint64]bool // members whose own suspicion of it has expired
	sent             int                                   // messages sent in this step
	eventsSeen       []int                                 // by node: the number of its events that are checked
}

func addr(i int) string { return string(rune('a' + i)) }

// New returns the initial state of a case.
func New(s Setup) (*World, error) {
	w := &World{setup: s, now: time.Hour, cut: map[[2]int]bool{}, names: map[uint64]string{}, incarnations: map[uint64]uint32{}, leftInOrder: map[uint64]bool{},
		directSuspicions: map[memberIncarnation]map[uint64]bool{}, deadVerdicts: map[memberIncarnation]map[uint64]bool{}}
	for i := range s.Size {
		w.nodes = append(w.nodes, &node{rate: s.Rates[i%len(s.Rates)]})
		w.lastView, w.suspectedSince, w.eventsSeen = append(w.lastView, nil), append(w.suspectedSince, nil), append(w.eventsSeen, 0)
		w.start(i)
	}
	if s.Seeds == nil {
		var all []membership.Record
		for _, n := range w.nodes {
			all = append(all, n.member.Self())
		}
		for i, n := range w.nodes {
			n.member.Preload(w.clock(i), all, membership.SharedInfos(all))
		}
	}
	for i := range w.nodes {
		w.lastView[i] = w.view(i)
	}
	for _, x := range s.Before {
		if err := w.Do(x); err != nil {
			return nil, fmt.Errorf("before: %v: %w", x, err)
		}
	}
	return w, nil
}

func (w *World) clock(i int) time.Duration { return time.Duration(float64(w.now) * w.nodes[i].rate) }

// start starts an incarnation of a node's process, with a new ID.
func (w *World) start(i int) {
	n := w.nodes[i]
	n.starts++
	birth := uint64(i+1)<<32 | uint64(n.starts)
	w.names[birth], w.incarnations[birth] = fmt.Sprintf("%s%d", addr(i), n.starts), 1
	var seeds []string
	if w.setup.Seeds != nil {
		for _, s := range w.setup.Seeds[i] {
			seeds = append(seeds, addr(s))
		}
	} else {
		for j := range w.setup.Size {
			seeds = append(seeds, addr(j))
		}
	}
	n.member = membership.New(settings, birth, membership.Info{Name: addr(i), Addr: addr(i)}, seeds, w.clock(i), rand.New(rand.NewPCG(uint64(i), uint64(n.starts))))
	n.alive, n.leaving, n.paused, n.queued, n.lastMessageAt, n.resumedAt = true, false, false, nil, w.clock(i), w.clock(i)-time.Hour
	w.eventsSeen[i], w.suspectedSince[i] = 0, map[uint64]time.Duration{}
	w.lastView[i] = map[uint64]membership.Record{}
}

// Steps implements explore.World.
func (w *World) Steps() (all []Step) { //nolint:gocognit // to be split with its package, see docs/left.md
	all = append(all, Step{Op: Round})
	on := w.setup.Members
	if on == nil {
		for i := range w.nodes {
			on = append(on, i)
		}
	}
	for _, op := range w.setup.Ops {
		switch op {
		case HalfRound, Silence:
			all = append(all, Step{Op: op})
		case Heal:
			if len(w.cut) > 0 {
				all = append(all, Step{Op: op})
			}
		case ReplayOld:
			for i := range w.replayable {
				all = append(all, Step{Op: op, On: i})
			}
		default:
			for _, i := range on {
				n := w.nodes[i]
				can := map[Op]bool{Cut: n.alive, Mute: n.alive && !w.cut[[2]int{i, (i + 1) % len(w.nodes)}], Pause: n.alive && !n.paused, Resume: n.paused && n.alive,
					Kill: n.alive, Restart: !n.alive, Leave: n.alive && !n.paused && !n.leaving, ForeignMessage: n.alive && !n.paused}[op]
				if !can {
					continue
				}
				if op != Cut {
					all = append(all, Step{Op: op, On: i})
					continue
				}
				for j := range w.nodes {
					if j != i && !w.cut[[2]int{i, j}] {
						all = append(all, Step{op, i, j})
					}
				}
			}
		}
	}
	return all
}

// Do implements explore.World.
func (w *World) Do(s Step) error { //nolint:gocognit // to be split with its package, see docs/left.md
	w.sent = 0
	n := w.nodes[s.On%len(w.nodes)]
	switch s.Op {
	case Round:
		return w.advance(period)
	case HalfRound:
		return w.advance(period / 2)
	case Silence:
		w.silent = true
		defer func() { w.silent = false }()
		return w.advance(period)
	case Cut:
		w.cut[[2]int{s.On, s.To}] = true
	case Mute:
		for j := range w.nodes {
			if j != s.On {
				w.cut[[2]int{s.On, j}] = true
			}
		}
	case Heal:
		clear(w.cut)
	case Pause:
		n.paused, n.pausedSince = true, w.clock(s.On)
	case Resume:
		n.paused = false
		if w.clock(s.On)-n.pausedSince > settings.PauseThreshold+period { // long enough whenever it would have ticked next
			n.resumedAt = w.clock(s.On)
		}
		w.send(s.On, n.member.Tick(w.clock(s.On))) // before the messages, as an instance does
		if err := w.check(s.On, "resume"); err != nil {
			return err
		}
		mail := n.queued
		n.queued = nil
		for _, m := range mail {
			if err := w.receive(m); err != nil {
				return err
			}
		}
	case Kill:
		n.alive, n.queued = false, nil
	case Restart:
		w.start(s.On)
	case Leave:
		n.leaving = true
		w.leftInOrder[n.member.Self().ID] = true
		w.send(s.On, n.member.Leave(w.clock(s.On)))
		if err := w.check(s.On, "leave"); err != nil {
			return err
		}
	case ReplayOld:
		m := w.replayable[s.On]
		if to := w.nodes[m.to]; to.alive && !to.paused {
			before := to.member.Self().Incarnation
			held := w.view(m.to)
			to.member.Receive(w.clock(m.to), m.Message, m.via)
			if fresh := m.Echo != 0 && w.names[m.From.ID] != "" && w.now-time.Duration(0) == 0; !fresh {
				if to.member.Self().Incarnation != before || !sameView(held, w.view(m.to)) {
					return fmt.Errorf("broken: an old %v from %s changed the view of %s", m.Kind, w.names[m.From.ID], addr(m.to))
				}
			}
		}
	case ForeignMessage:
		for _, kind := range []membership.MessageKind{membership.Ping, membership.Ack, membership.SyncPage} {
			msg := &membership.Message{Version: membership.Version, FleetID: fleetID + 1, Kind: kind, From: membership.Record{ID: 99, Incarnation: 1, Info: membership.Info{Name: "x", Addr: "x"}},
				Nonce: 5, Opinion: &membership.Opinion{Incarnation: n.member.Self().Incarnation, Status: membership.Suspect}}
			held, inc := w.view(s.On), n.member.Self().Incarnation
			out := n.member.Receive(w.clock(s.On), msg, membership.Datagram) // messages that were due anyway may be sent
			if slices.ContainsFunc(out, func(o membership.Outgoing) bool { return o.Addr == "x" }) || !sameView(held, w.view(s.On)) || n.member.Self().Incarnation != inc {
				return fmt.Errorf("broken: %s answered another fleet's %v, or changed its view", addr(s.On), kind)
			}
		}
	}
	return w.deliverAll()
}

// sameView reports whether two views have the same members with equal incarnations and statuses.
func sameView(a, b map[uint64]membership.Record) bool {
	if len(a) != len(b) {
		return false
	}
	for k, x := range a {
		if y, ok := b[k]; !ok || x.Incarnation != y.Incarnation || x.Status != y.Status {
			return false
		}
	}
	return true
}

// advance lets time pass. Each member ticks when it is due, and messages arrive at once.
func (w *World) advance(d time.Duration) error {
	end := w.now + d
	for {
		at, who := end, -1
		for i, n := range w.nodes {
			if n.alive && !n.paused {
				if due := max(w.now, time.Duration(float64(n.member.NextTick())/n.rate)+1); due < at {
					at, who = due, i
				}
			}
		}
		w.now, w.sent = at, 0
		if who < 0 {
			return nil
		}
		w.send(who, w.nodes[who].member.Tick(w.clock(who)))
		if err := w.check(who, "tick"); err != nil {
			return err
		}
		if err := w.deliverAll(); err != nil {
			return err
		}
	}
}

func (w *World) send(from int, list []membership.Outgoing) {
	for _, s := range list {
		w.sent++
		to := int(s.Addr[0] - 'a')
		if err := s.Validate(); err != nil {
			panic(fmt.Sprintf("%s sends an invalid message: %v", addr(from), err))
		}
		m := message{from, to, s.Channel, s.Message}
		if w.silent || w.cut[[2]int{from, to}] || !w.nodes[to].alive {
			continue
		}
		w.inTransit = append(w.inTransit, m)
	}
}

// deliverAll delivers messages until none is in transit. Messages to paused members are queued.
func (w *World) deliverAll() error {
	for len(w.inTransit) > 0 {
		m := w.inTransit[0]
		w.inTransit = w.inTransit[1:]
		to := w.nodes[m.to]
		switch {
		case !to.alive:
		case to.paused:
			to.queued = append(to.queued, m)
		default:
			if err := w.receive(m); err != nil {
				return err
			}
		}
		if w.sent > 400 {
			return fmt.Errorf("broken: %d messages in one step, the last a %v from %s to %s", w.sent, m.Kind, addr(m.from), addr(m.to))
		}
	}
	return nil
}

// receive delivers a message to a running member and checks what it changed: a verified message must be applied, and an
// unverified one must change nothing.
func (w *World) receive(m message) error { //nolint:gocognit // to be split with its package, see docs/left.md
	to := w.nodes[m.to]
	if slices.Contains(w.setup.Ops, ReplayOld) && (m.Echo != 0 || len(m.Records) > 0 || m.Opinion != nil && m.Opinion.Status != membership.Alive) && len(w.replayable) < maxReplayed {
		w.replayable = append(w.replayable, m)
	}
	before := to.member.Counts
	held := w.view(m.to)
	inc := to.member.Self().Incarnation
	w.send(m.to, to.member.Receive(w.clock(m.to), m.Message, m.via))
	to.lastMessageAt = w.clock(m.to)
	c := to.member.Counts
	believed := m.Echo != 0 && c.Stale == before.Stale && c.Foreign == before.Foreign && c.Misdirected == before.Misdirected
	if believed {
		for _, r := range append(slices.Clone(m.Records), m.From) {
			if r.ID == to.member.Self().ID {
				if r.Status == membership.Suspect && r.Incarnation == inc && !to.leaving && to.member.Self().Incarnation == inc {
					return fmt.Errorf("broken: %s learned that it is suspected, and does not refute it", addr(m.to))
				}
				continue
			}
			was, knew := held[r.ID]
			now, knows := to.member.Lookup(r.ID)
			switch {
			case !knows:
				return fmt.Errorf("broken: %s received a record of %s and does not have it", addr(m.to), w.names[r.ID])
			case r.Status == membership.Alive && knew && r.Incarnation > was.Incarnation && (now.Incarnation < r.Incarnation || now.Status == membership.Dead && now.Incarnation <= r.Incarnation):
				return fmt.Errorf("broken: %s ignores the refutation of %s", addr(m.to), w.names[r.ID])
			case knew && r.Incarnation < was.Incarnation && r.Status != membership.Alive && now.Status != was.Status && now.Status == r.Status:
				return fmt.Errorf("broken: %s applied a record of an older incarnation of %s", addr(m.to), w.names[r.ID])
			}
		}
	} else {
		for birth, was := range held {
			if now, ok := to.member.Lookup(birth); !ok || now.Status != was.Status || now.Incarnation != was.Incarnation {
				return fmt.Errorf("broken: an unverified %v changed the record that %s has of %s", m.Kind, addr(m.to), w.names[birth])
			}
		}
		if len(w.view(m.to)) != len(held) {
			return fmt.Errorf("broken: an unverified %v added a member to the view of %s", m.Kind, addr(m.to))
		}
	}
	return w.check(m.to, m.Kind.String())
}

// view returns all records that a node has, by ID.
func (w *World) view(i int) map[uint64]membership.Record {
	v := map[uint64]membership.Record{}
	for b := range w.names {
		if r, ok := w.nodes[i].member.Lookup(b); ok {
			v[b] = r
		}
	}
	return v
}

// check checks the invariants of a member's view and events after a step.
func (w *World) check(i int, what string) error {
	n := w.nodes[i]
	now := w.clock(i)
	self := n.member.Self()
	if self.Incarnation < w.incarnations[self.ID] {
		return fmt.Errorf("broken: the incarnation of %s went back", addr(i))
	}
	w.incarnations[self.ID] = self.Incarnation
	for b, inc := range n.member.DirectSuspects() {
		addReporter(w.directSuspicions, memberIncarnation{b, inc}, self.ID)
	}
	events, ever := n.member.Events()
	for _, e := range events[max(0, len(events)-(ever-w.eventsSeen[i])):] {
		switch {
		case e.Status == "dead" && e.Reason == "nobody hears it":
			if err := w.checkVerdict(i, now, e); err != nil {
				return err
			}
			addReporter(w.deadVerdicts, memberIncarnation{e.ID, e.Incarnation}, self.ID)
			if slices.Contains(e.Reporters, self.ID) {
				addReporter(w.directSuspicions, memberIncarnation{e.ID, e.Incarnation}, self.ID)
			}
		case e.Status == "dead" && e.Reason == "enough hold it dead":
			if len(w.deadVerdicts[memberIncarnation{e.ID, e.Incarnation}]) < settings.Confirmations {
				return fmt.Errorf("broken: %s declared %s dead by the verdicts of %d members", addr(i), w.names[e.ID], len(w.deadVerdicts[memberIncarnation{e.ID, e.Incarnation}]))
			}
		case e.Status == "left" && !w.leftInOrder[e.ID]:
			return fmt.Errorf("broken: %s reports that %s left, which it did not", addr(i), w.names[e.ID])
		}
	}
	w.eventsSeen[i] = ever
	for b, r := range w.view(i) {
		was, knew := w.lastView[i][b]
		if knew && r.Incarnation < was.Incarnation {
			return fmt.Errorf("broken: %s went back to an older incarnation of %s, at %s", addr(i), w.names[b], what)
		}
		if r.Incarnation > w.incarnations[b] {
			return fmt.Errorf("broken: %s has a record of %s with an incarnation that it never had", addr(i), w.names[b])
		}
		if r.Status == membership.Suspect && (!knew || was.Status != membership.Suspect || was.Incarnation != r.Incarnation) {
			w.suspectedSince[i][b] = now
		}
		w.lastView[i][b] = r
	}
	return nil
}

// addReporter records that the member by has reported a member's incarnation.
func addReporter(in map[memberIncarnation]map[uint64]bool, of memberIncarnation, by uint64) {
	if in[of] == nil {
		in[of] = map[uint64]bool{}
	}
	in[of][by] = true
}

// checkVerdict checks that a member's own verdict on another was due: not before the shortest suspicion time, not before the
// longest one without enough reporters, not soon after the member's own pause, and not while the member is isolated.
func (w *World) checkVerdict(i int, now time.Duration, e membership.Event) error {
	n, birth := w.nodes[i], e.ID
	reporters := map[uint64]bool{}
	for _, by := range e.Reporters {
		if by == n.member.Self().ID || w.directSuspicions[memberIncarnation{birth, e.Incarnation}][by] { // it suspects by its own probes
			reporters[by] = true
		}
	}
	began := w.suspectedSince[i][birth]
	least := n.member.MinSuspicion()
	took := now - began
	switch {
	case took < least:
		return fmt.Errorf("broken: %s declared %s dead after %v, before the shortest suspicion time %v", addr(i), w.names[birth], took, least)
	case len(reporters) < settings.Confirmations && took < n.member.MaxSuspicion() && w.setup.Size > 2:
		return fmt.Errorf("broken: %s declared %s dead after %v without enough reporters, before the longest suspicion time %v", addr(i), w.names[birth], took, n.member.MaxSuspicion())
	case now-n.resumedAt < least:
		return fmt.Errorf("broken: %s declared %s dead %v after its own pause", addr(i), w.names[birth], now-n.resumedAt)
	case w.setup.Size > 2 && now-max(n.lastMessageAt, n.resumedAt) > 4*period*time.Duration(1+8):
		return fmt.Errorf("broken: %s receives no messages and declared %s dead", addr(i), w.names[birth])
	}
	return nil
}

// Print implements explore.World.
func (w *World) Print() string {
	var b strings.Builder
	name := func(x uint64) string { return w.names[x] }
	for i, n := range w.nodes {
		fmt.Fprintf(&b, "%d alive %v paused %v mail %d leaves %v: ", n.starts, n.alive, n.paused, len(n.queued), n.leaving)
		if n.alive {
			b.WriteString(n.member.DebugString(w.clock(i), name))
		}
		b.WriteByte('\n')
	}
	for i := range w.nodes {
		for j := range w.nodes {
			if w.cut[[2]int{i, j}] {
				fmt.Fprintf(&b, "%d>%d ", i, j)
			}
		}
	}
	fmt.Fprint(&b, len(w.replayable))
	return b.String()
}

// Settle ends all faults and checks that views converge: all living members have the same view, it consists of all living
// members, and no broadcasts are pending.
func (w *World) Settle() error {
	if err := w.Do(Step{Op: Heal}); err != nil {
		return err
	}
	for i, n := range w.nodes {
		if n.alive && n.paused {
			if err := w.Do(Step{Op: Resume, On: i}); err != nil {
				return err
			}
		}
		if n.leaving {
			n.alive = false
		}
	}
	for range 100 {
		if err := w.advance(period); err != nil {
			return err
		}
	}
	living := 0
	var first *membership.Node
	for _, n := range w.nodes {
		if n.alive {
			living++
			if first == nil {
				first = n.member
			}
		}
	}
	for i, n := range w.nodes {
		switch {
		case !n.alive:
		case n.member.Size() != living && living > 1:
			return fmt.Errorf("broken: %s has %d living members in its view, and there are %d", addr(i), n.member.Size(), living)
		case n.member.AliveDigest() != first.AliveDigest() && living > 1:
			return fmt.Errorf("broken: the view of %s differs from another", addr(i))
		case n.member.PendingBroadcasts() > 0 && living > 1:
			return fmt.Errorf("broken: %s still has %d pending broadcasts", addr(i), n.member.PendingBroadcasts())
		}
	}
	return nil
}
