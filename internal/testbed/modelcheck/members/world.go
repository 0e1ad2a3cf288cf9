// Package members runs membership nodes against each other in small fleets: a network that loses and
// repeats messages and is cut in one direction, processes that pause, die and start again, and clocks
// at both ends of their bound. After each step it checks the promises of docs/members.md. It does no
// I/O.
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
	Round     Op = iota // a probe interval passes, and messages arrive where they can
	Half                // half of one
	Silence             // a probe interval passes, and no message arrives
	Cut                 // nothing passes from one member to another
	Mute                // nothing passes from one member to anybody
	Heal                // everything passes again
	Pause               // a member is paused; its messages wait
	Resume              // it continues
	Kill                // it dies
	Restart             // a later run begins at its address
	Leave               // it leaves in order
	ReplayOld           // an old message arrives again
	Foreign             // another fleet's message arrives
	ops
)

func (o Op) String() string {
	return [...]string{"round", "half", "hush", "cut", "mute", "heal", "pause", "resume", "kill", "restart", "leave", "old", "foreign"}[o]
}

// Step is an op on a member, or on the way to another.
type Step struct {
	Op Op
	On int
	To int
}

func (s Step) String() string { return fmt.Sprintf("%v %d>%d", s.Op, s.On, s.To) }

// Setup is a small case.
type Setup struct {
	Name   string
	Size   int
	Rates  []float64 // of the clocks
	Ops    []Op
	Before []Step
	Seeds  [][]int // by whom each joins; nil: all know all at the beginning
	On     []int   // whom ops are done to; nil: all
}

const (
	period      = time.Second
	timeout     = 300 * time.Millisecond
	key         = 7
	maxReplayed = 12 // messages that may arrive again
)

var settings = membership.Config{FleetID: key, ProbeInterval: period, ProbeTimeout: timeout, IndirectProbes: 2, SuspicionMult: 2, SuspicionMaxMult: 3, Confirmations: 2, RetransmitMult: 2,
	SyncInterval: 3 * period, PauseThreshold: 1500 * time.Millisecond, TombstoneTTL: time.Hour}

type node struct {
	member      *membership.Node
	rate        float64
	starts      int
	alive       bool
	leaving     bool
	paused      bool
	pausedSince time.Duration // when it began to stand still, by its own clock
	resumedAt   time.Duration // when it went on last after a pause past the bound
	mail        []message
	came        time.Duration // when a message came last, by its own clock
}

// life is a member under one incarnation.
type life struct {
	birth uint64
	inc   uint32
}

type message struct {
	from, to int
	via      membership.Channel
	*membership.Message
}

// World is one state of a small case.
type World struct {
	set    Setup
	now    time.Duration
	nodes  []*node
	mail   []message
	old    []message
	cut    map[[2]int]bool
	hushed bool
	names  map[uint64]string
	incs   map[uint64]uint32              // the last of each life
	left   map[uint64]bool                // lives that ended in order
	held   []map[uint64]membership.Record // by each member, before the step
	susp   []map[uint64]time.Duration     // since when it suspects, by its clock
	own    map[life]map[uint64]bool       // who suspects it for itself
	buried map[life]map[uint64]bool       // who holds it dead by its own clock
	sent   int                            // in the step
	seen   []int                          // changes read
}

func addr(i int) string { return string(rune('a' + i)) }

// New returns the first state of a case.
func New(s Setup) (*World, error) {
	w := &World{set: s, now: time.Hour, cut: map[[2]int]bool{}, names: map[uint64]string{}, incs: map[uint64]uint32{}, left: map[uint64]bool{},
		own: map[life]map[uint64]bool{}, buried: map[life]map[uint64]bool{}}
	for i := range s.Size {
		w.nodes = append(w.nodes, &node{rate: s.Rates[i%len(s.Rates)]})
		w.held, w.susp, w.seen = append(w.held, nil), append(w.susp, nil), append(w.seen, 0)
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
		w.held[i] = w.view(i)
	}
	for _, x := range s.Before {
		if err := w.Do(x); err != nil {
			return nil, fmt.Errorf("before: %v: %w", x, err)
		}
	}
	return w, nil
}

func (w *World) clock(i int) time.Duration { return time.Duration(float64(w.now) * w.nodes[i].rate) }

func (w *World) start(i int) {
	n := w.nodes[i]
	n.starts++
	birth := uint64(i+1)<<32 | uint64(n.starts)
	w.names[birth], w.incs[birth] = fmt.Sprintf("%s%d", addr(i), n.starts), 1
	var seeds []string
	if w.set.Seeds != nil {
		for _, s := range w.set.Seeds[i] {
			seeds = append(seeds, addr(s))
		}
	} else {
		for j := range w.set.Size {
			seeds = append(seeds, addr(j))
		}
	}
	n.member = membership.New(settings, birth, membership.Info{Name: addr(i), Addr: addr(i)}, seeds, w.clock(i), rand.New(rand.NewPCG(uint64(i), uint64(n.starts))))
	n.alive, n.leaving, n.paused, n.mail, n.came, n.resumedAt = true, false, false, nil, w.clock(i), w.clock(i)-time.Hour
	w.seen[i], w.susp[i] = 0, map[uint64]time.Duration{}
	w.held[i] = map[uint64]membership.Record{}
}

// Steps implements explore.World.
func (w *World) Steps() (all []Step) { //nolint:gocognit // to be split with its package, see docs/left.md
	all = append(all, Step{Op: Round})
	on := w.set.On
	if on == nil {
		for i := range w.nodes {
			on = append(on, i)
		}
	}
	for _, op := range w.set.Ops {
		switch op {
		case Half, Silence:
			all = append(all, Step{Op: op})
		case Heal:
			if len(w.cut) > 0 {
				all = append(all, Step{Op: op})
			}
		case ReplayOld:
			for i := range w.old {
				all = append(all, Step{Op: op, On: i})
			}
		default:
			for _, i := range on {
				n := w.nodes[i]
				can := map[Op]bool{Cut: n.alive, Mute: n.alive && !w.cut[[2]int{i, (i + 1) % len(w.nodes)}], Pause: n.alive && !n.paused, Resume: n.paused && n.alive,
					Kill: n.alive, Restart: !n.alive, Leave: n.alive && !n.paused && !n.leaving, Foreign: n.alive && !n.paused}[op]
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
		return w.pass(period)
	case Half:
		return w.pass(period / 2)
	case Silence:
		w.hushed = true
		defer func() { w.hushed = false }()
		return w.pass(period)
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
		if w.clock(s.On)-n.pausedSince > settings.PauseThreshold+period { // whatever was due in between
			n.resumedAt = w.clock(s.On)
		}
		w.send(s.On, n.member.Tick(w.clock(s.On))) // the clock first
		if err := w.check(s.On, "resume"); err != nil {
			return err
		}
		mail := n.mail
		n.mail = nil
		for _, m := range mail {
			if err := w.receive(m); err != nil {
				return err
			}
		}
	case Kill:
		n.alive, n.mail = false, nil
	case Restart:
		w.start(s.On)
	case Leave:
		n.leaving = true
		w.left[n.member.Self().ID] = true
		w.send(s.On, n.member.Leave(w.clock(s.On)))
		if err := w.check(s.On, "leave"); err != nil {
			return err
		}
	case ReplayOld:
		m := w.old[s.On]
		if to := w.nodes[m.to]; to.alive && !to.paused {
			before := to.member.Self().Incarnation
			held := w.view(m.to)
			to.member.Receive(w.clock(m.to), m.Message, m.via)
			if fresh := m.Echo != 0 && w.names[m.From.ID] != "" && w.now-time.Duration(0) == 0; !fresh {
				if to.member.Self().Incarnation != before || !same(held, w.view(m.to)) {
					return fmt.Errorf("broken: an old %v from %s changed the view of %s", m.Kind, w.names[m.From.ID], addr(m.to))
				}
			}
		}
	case Foreign:
		for _, kind := range []membership.MessageKind{membership.Ping, membership.Ack, membership.SyncPage} {
			msg := &membership.Message{Version: membership.Version, FleetID: key + 1, Kind: kind, From: membership.Record{ID: 99, Incarnation: 1, Info: membership.Info{Name: "x", Addr: "x"}},
				Nonce: 5, Opinion: &membership.Opinion{Incarnation: n.member.Self().Incarnation, Status: membership.Suspect}}
			held, inc := w.view(s.On), n.member.Self().Incarnation
			out := n.member.Receive(w.clock(s.On), msg, membership.Datagram) // what was due in any case may go out
			if slices.ContainsFunc(out, func(o membership.Outgoing) bool { return o.Addr == "x" }) || !same(held, w.view(s.On)) || n.member.Self().Incarnation != inc {
				return fmt.Errorf("broken: another fleet's %v changed or drew something at %s", kind, addr(s.On))
			}
		}
	}
	return w.settleMail()
}

func same(a, b map[uint64]membership.Record) bool {
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

// pass has time go by: each member ticks when it is due, and mail arrives at once.
func (w *World) pass(d time.Duration) error {
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
		if err := w.settleMail(); err != nil {
			return err
		}
	}
}

func (w *World) send(from int, list []membership.Outgoing) {
	for _, s := range list {
		w.sent++
		to := int(s.Addr[0] - 'a')
		if err := s.Validate(); err != nil {
			panic(fmt.Sprintf("%s sends what nobody reads: %v", addr(from), err))
		}
		m := message{from, to, s.Channel, s.Message}
		if w.hushed || w.cut[[2]int{from, to}] || !w.nodes[to].alive {
			continue
		}
		w.mail = append(w.mail, m)
	}
}

func (w *World) settleMail() error {
	for len(w.mail) > 0 {
		m := w.mail[0]
		w.mail = w.mail[1:]
		to := w.nodes[m.to]
		switch {
		case !to.alive:
		case to.paused:
			to.mail = append(to.mail, m)
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

func (w *World) receive(m message) error { //nolint:gocognit // to be split with its package, see docs/left.md
	to := w.nodes[m.to]
	if slices.Contains(w.set.Ops, ReplayOld) && (m.Echo != 0 || len(m.Records) > 0 || m.Opinion != nil && m.Opinion.Status != membership.Alive) && len(w.old) < maxReplayed {
		w.old = append(w.old, m)
	}
	before := to.member.Counts
	held := w.view(m.to)
	inc := to.member.Self().Incarnation
	w.send(m.to, to.member.Receive(w.clock(m.to), m.Message, m.via))
	to.came = w.clock(m.to)
	c := to.member.Counts
	believed := m.Echo != 0 && c.Stale == before.Stale && c.Foreign == before.Foreign && c.Misdirected == before.Misdirected
	if believed {
		for _, r := range append(slices.Clone(m.Records), m.From) {
			if r.ID == to.member.Self().ID {
				if r.Status == membership.Suspect && r.Incarnation == inc && !to.leaving && to.member.Self().Incarnation == inc {
					return fmt.Errorf("broken: %s is told that it is suspected, and does not refute it", addr(m.to))
				}
				continue
			}
			was, knew := held[r.ID]
			now, knows := to.member.Lookup(r.ID)
			switch {
			case !knows:
				return fmt.Errorf("broken: %s was told of %s and does not know it", addr(m.to), w.names[r.ID])
			case r.Status == membership.Alive && knew && r.Incarnation > was.Incarnation && (now.Incarnation < r.Incarnation || now.Status == membership.Dead && now.Incarnation <= r.Incarnation):
				return fmt.Errorf("broken: %s holds %s dead that has refuted it", addr(m.to), w.names[r.ID])
			case knew && r.Incarnation < was.Incarnation && r.Status != membership.Alive && now.Status != was.Status && now.Status == r.Status:
				return fmt.Errorf("broken: %s took an older word on %s", addr(m.to), w.names[r.ID])
			}
		}
	} else {
		for birth, was := range held {
			if now, ok := to.member.Lookup(birth); !ok || now.Status != was.Status || now.Incarnation != was.Incarnation {
				return fmt.Errorf("broken: an unverified %v changed what %s knows of %s", m.Kind, addr(m.to), w.names[birth])
			}
		}
		if len(w.view(m.to)) != len(held) {
			return fmt.Errorf("broken: an unverified %v brought %s somebody", m.Kind, addr(m.to))
		}
	}
	return w.check(m.to, m.Kind.String())
}

func (w *World) view(i int) map[uint64]membership.Record {
	v := map[uint64]membership.Record{}
	for b := range w.names {
		if r, ok := w.nodes[i].member.Lookup(b); ok {
			v[b] = r
		}
	}
	return v
}

// check holds a member's view against the promises, after something has happened to it.
func (w *World) check(i int, what string) error {
	n := w.nodes[i]
	now := w.clock(i)
	self := n.member.Self()
	if self.Incarnation < w.incs[self.ID] {
		return fmt.Errorf("broken: the incarnation of %s went back", addr(i))
	}
	w.incs[self.ID] = self.Incarnation
	for b, inc := range n.member.DirectSuspects() {
		note(w.own, life{b, inc}, self.ID)
	}
	events, ever := n.member.Events()
	for _, e := range events[max(0, len(events)-(ever-w.seen[i])):] {
		switch {
		case e.Status == "dead" && e.Reason == "nobody hears it":
			if err := w.verdict(i, now, e); err != nil {
				return err
			}
			note(w.buried, life{e.ID, e.Incarnation}, self.ID)
			if slices.Contains(e.Reporters, self.ID) {
				note(w.own, life{e.ID, e.Incarnation}, self.ID)
			}
		case e.Status == "dead" && e.Reason == "enough hold it dead":
			if len(w.buried[life{e.ID, e.Incarnation}]) < settings.Confirmations {
				return fmt.Errorf("broken: %s took %s for dead by the word of %d", addr(i), w.names[e.ID], len(w.buried[life{e.ID, e.Incarnation}]))
			}
		case e.Status == "left" && !w.left[e.ID]:
			return fmt.Errorf("broken: %s says that %s left", addr(i), w.names[e.ID])
		}
	}
	w.seen[i] = ever
	for b, r := range w.view(i) {
		was, knew := w.held[i][b]
		if knew && r.Incarnation < was.Incarnation {
			return fmt.Errorf("broken: %s went back in what it knows of %s, at %s", addr(i), w.names[b], what)
		}
		if r.Incarnation > w.incs[b] {
			return fmt.Errorf("broken: %s knows %s under an incarnation that it never had", addr(i), w.names[b])
		}
		if r.Status == membership.Suspect && (!knew || was.Status != membership.Suspect || was.Incarnation != r.Incarnation) {
			w.susp[i][b] = now
		}
		w.held[i][b] = r
	}
	return nil
}

func note(in map[life]map[uint64]bool, of life, by uint64) {
	if in[of] == nil {
		in[of] = map[uint64]bool{}
	}
	in[of][by] = true
}

// verdict checks that one was due: not by one reporter's word before its time, nor by one that stood still or hears nobody.
func (w *World) verdict(i int, now time.Duration, e membership.Event) error {
	n, birth := w.nodes[i], e.ID
	reporters := map[uint64]bool{}
	for _, by := range e.Reporters {
		if by == n.member.Self().ID || w.own[life{birth, e.Incarnation}][by] { // one that says so of itself
			reporters[by] = true
		}
	}
	began := w.susp[i][birth]
	least := n.member.MinSuspicion()
	took := now - began
	switch {
	case took < least:
		return fmt.Errorf("broken: %s held %s dead after %v, %v at least are due", addr(i), w.names[birth], took, least)
	case len(reporters) < settings.Confirmations && took < n.member.MaxSuspicion() && w.set.Size > 2:
		return fmt.Errorf("broken: %s held %s dead after %v by the word of one, who waits %v", addr(i), w.names[birth], took, n.member.MaxSuspicion())
	case now-n.resumedAt < least:
		return fmt.Errorf("broken: %s held %s dead %v after it stood still", addr(i), w.names[birth], now-n.resumedAt)
	case w.set.Size > 2 && now-max(n.came, n.resumedAt) > 4*period*time.Duration(1+8):
		return fmt.Errorf("broken: %s hears nobody and holds %s dead", addr(i), w.names[birth])
	}
	return nil
}

// Print implements explore.World.
func (w *World) Print() string {
	var b strings.Builder
	name := func(x uint64) string { return w.names[x] }
	for i, n := range w.nodes {
		fmt.Fprintf(&b, "%d alive %v paused %v mail %d leaves %v: ", n.starts, n.alive, n.paused, len(n.mail), n.leaving)
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
	fmt.Fprint(&b, len(w.old))
	return b.String()
}

// Settle ends all faults and checks that views meet: all that live hold the same, of all that live, and nothing more is passed on.
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
		if err := w.pass(period); err != nil {
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
			return fmt.Errorf("broken: %s knows %d that live, and there are %d", addr(i), n.member.Size(), living)
		case n.member.AliveDigest() != first.AliveDigest() && living > 1:
			return fmt.Errorf("broken: the views of %s and another do not meet", addr(i))
		case n.member.PendingBroadcasts() > 0 && living > 1:
			return fmt.Errorf("broken: %s still passes on %d records", addr(i), n.member.PendingBroadcasts())
		}
	}
	return nil
}
