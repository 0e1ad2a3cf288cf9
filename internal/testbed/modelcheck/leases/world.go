// Package leases holds the machines of leases against each other: the real register, keepers, desks, tenants and guarded places, with a
// network that delays, repeats, loses and reorders, clocks at both ends of their bound, processes that pause between any two steps of
// an act and leaders that are replaced while they believe to lead. A judge that knows nothing of them looks at what the places took.
// It does no I/O.
package leases

import (
	"encoding/json"
	"fmt"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/fencing"
	"spindlehitch/internal/controlplane/lease/lessee"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/registry"
	"spindlehitch/internal/testbed/modelcheck/explore"
	"spindlehitch/internal/testbed/modelcheck/leaders"
)

// Op is one kind of step.
type Op byte

// The kinds of steps.
const (
	Tick     Op = iota // time goes on
	Elect              // another agent begins to lead, from a snapshot; the one before doesn't know
	Renew              // a process begins a claim and sends it
	Deliver            // a message arrives
	Repeat             // a message arrives, and will again
	Ask                // a leader asks a majority for their terms
	Told               // the majority answers
	Heard              // the answer to that arrives
	Finish             // a leader asks, and hears at once
	Exchange           // a claim and its answer without anything in between
	Propose            // a leader has the log changed; that is on its way
	Commit             // what was proposed first is in the log
	Learn              // the leader hears of the log
	Sweep              // all three
	Turn               // a process claims, the leader sweeps, it claims again and acts
	Start              // a process begins an act
	Open               // the act begins at the place
	Check              // the process looks whether it may go on
	Take               // the place is changed
	Touch              // something that can't check a token is
	End                // the act ends
	Whole              // an act without anything in between
	Release            // a process gives its shards back
	Move               // an operator moves a shard to a process
	Reboot             // a process dies and is started again
	Quit               // a process leaves in order
	ops
)

func (o Op) String() string {
	return [...]string{"tick", "elect", "renew", "deliver", "repeat", "ask", "told", "heard", "finish", "exchange", "propose", "commit", "learn", "sweep", "turn", "start",
		"open", "check", "take", "touch", "end", "whole", "release", "move", "reboot", "quit"}[o]
}

// Step is an op on the process, message, leader or shard of that number.
type Step struct {
	Op Op
	On int
}

func (s Step) String() string { return fmt.Sprintf("%v %d", s.Op, s.On) }

// Setup is a small case.
type Setup struct {
	Name      string
	Processes int
	Shards    int
	Rates     []float64 // of the processes' clocks, against true time
	Leads     []float64 // of the agents' clocks, in the order in which they lead
	Elections int       // at most
	Letters   int       // on their way at a time, at most
	Ops       []Op      // beside Tick
	TickMs    int
	Before    []Step
	Lies      bool // every claim says that all others are dead
	Fresh     bool // nothing is held yet; else the shards are granted, and their holders know
}

// Times of the small cases: short, and clocks a tenth off, so that what is wrong shows within few steps.
const (
	ppm     = 100_000
	renewMs = 100
	leaseMs = 600
	actMs   = 150
	pauseMs = 90
	task    = "t"
)

type process struct {
	t       *lessee.Lessee
	rate    float64
	id      string
	born    int
	act     *lessee.Operation
	opened  bool
	checked time.Duration // true time of the last look; 0: there was none since the last change
}

type lead = leaders.Lead[*lessor.Lessor, letter]

// questions are the steps of a leader's question.
var questions = map[Op]leaders.Question{Ask: leaders.Ask, Told: leaders.Told, Heard: leaders.Heard, Finish: leaders.Finish}

type letter struct {
	to     int
	id     string
	claim  *lease.RenewalRequest
	answer *lease.RenewalResponse
}

// Asks implements leaders.Letter.
func (m letter) Asks() bool { return m.claim != nil }

// Print implements leaders.Letter.
func (m letter) Print(b []byte) []byte {
	if m.claim != nil {
		return fmt.Appendf(b, "%s>%+v\n", m.id, *m.claim)
	}
	return fmt.Appendf(b, "%s<%d %v %v\n", m.id, m.answer.Seq, m.answer.Leases, m.answer.Recalled)
}

// judged is what the judge knows of one shard.
type judged struct {
	token, act uint64 // of the newest act that the place let begin
	by         string // and whose it is
	touched    uint64 // the newest token that touched what can't check
	acts       int
}

// World is one state of a small case.
type World struct {
	set   Setup
	now   time.Duration
	reg   registry.Registry
	index uint64
	procs []process
	leaders.Group[*lessor.Lessor, letter]
	flight [][]lease.Event // proposed, and not in the log yet
	places []fencing.Guard
	judge  []judged
}

func docs(s Setup) (quota.Config, lease.Config) {
	return quota.Config{MaxSessions: 64, RenewIntervalMs: renewMs, AllocationTTLMs: 1000, SessionTTLS: 4, ClockPPM: ppm},
		lease.Config{Tasks: []lease.Task{{Name: task, Kind: lease.EndpointProbe, Shards: s.Shards, TTLMs: leaseMs, OperationTimeoutMs: actMs, IntervalMs: 10, MaxPauseMs: pauseMs, MaxMoves: 1}}}
}

// claimOf begins a claim of a process; where the case has members lie, it holds all others dead.
func (w *World) claimOf(i int) lease.RenewalRequest {
	c := w.procs[i].t.BeginRenewal(w.clock(i))
	for j := range w.procs {
		if w.set.Lies && j != i {
			c.DeadInstances = append(c.DeadInstances, w.procs[j].id)
		}
	}
	return c
}

// New returns the first state of a case.
func New(s Setup) (*World, error) {
	w := &World{set: s, index: 2, now: time.Hour, places: make([]fencing.Guard, s.Shards), judge: make([]judged, s.Shards)}
	f, l := docs(s)
	if err := w.reg.SetQuotaConfig(1, f); err != nil {
		return nil, err
	}
	if err := w.reg.SetLeaseConfig(2, l); err != nil {
		return nil, err
	}
	for i := range s.Processes {
		w.procs = append(w.procs, process{rate: s.Rates[i%len(s.Rates)]})
		w.boot(i)
	}
	rate := w.Rate(s.Leads)
	w.Elect(rate, lessor.New(scaled(w.now-10*time.Second, rate), &w.reg))
	w.learn(w.Leads[0])
	if !s.Fresh {
		for range 2 {
			for i := range w.procs {
				w.exchange(i)
			}
			w.sweep(w.Leads[0])
		}
		for i := range w.procs {
			w.exchange(i)
		}
	}
	for i, x := range s.Before {
		if err := w.Do(x); err != nil {
			return nil, explore.Broken(s.Name, s.Before[:i+1], err)
		}
	}
	return w, nil
}

func scaled(t time.Duration, rate float64) time.Duration { return leaders.Scaled(t, rate) }

func (w *World) clock(i int) time.Duration { return scaled(w.now, w.procs[i].rate) }

// boot has a process start, and join: its member of before stays in the log.
func (w *World) boot(i int) {
	p := &w.procs[i]
	p.born++
	p.id = fmt.Sprintf("p%d.%d", i, p.born)
	p.t, p.act = lessee.New([]string{task}), nil
	w.index++
	if _, err := w.reg.Join(w.index, quota.Member{ID: p.id, Name: p.id, Weight: 1}); err != nil {
		panic(err)
	}
}

func (w *World) learn(l *lead) {
	if l == w.Lead() { // one that no longer leads hears nothing
		r := w.reg.Clone()
		l.Book.Update(scaled(w.now, l.Rate), &r)
	}
}

// propose has the log changed as a leader wants it; one of an earlier term can't, and what is on its way is lost with its term.
func (w *World) propose(l *lead) {
	orders, seen := l.Book.PendingEvents(scaled(w.now, l.Rate))
	if l == w.Lead() && (len(orders) > 0 || seen > 0) {
		w.flight = append(w.flight, orders)
	}
}

func (w *World) commit() {
	for _, orders := range w.flight[:min(1, len(w.flight))] {
		w.index++
		w.reg.ApplyEvents(w.index, 0, orders)
		w.flight = w.flight[1:]
	}
}

func (w *World) sweep(l *lead) {
	w.propose(l)
	for l == w.Lead() && len(w.flight) > 0 {
		w.commit()
	}
	w.learn(l)
}

// Steps are all that can happen next, in a fixed order.
func (w *World) Steps() []Step { //nolint:gocognit // to be split with its package, see docs/left.md
	steps := []Step{{Tick, 0}}
	for _, op := range w.set.Ops {
		switch op {
		case Elect:
			if int(w.Term) <= w.set.Elections {
				steps = append(steps, Step{op, 0})
			}
		case Deliver, Repeat:
			for _, on := range w.Deliveries() {
				steps = append(steps, Step{op, on})
			}
		case Ask, Told, Heard, Finish:
			for _, on := range w.Can(questions[op]) {
				steps = append(steps, Step{op, on})
			}
		case Propose, Sweep:
			for j := range w.Leads {
				if op == Sweep || len(w.flight) < 2 {
					steps = append(steps, Step{op, j})
				}
			}
		case Commit, Learn:
			if op == Learn || len(w.flight) > 0 {
				steps = append(steps, Step{op, 0})
			}
		case Move:
			for i := range w.procs {
				for s := range w.set.Shards {
					steps = append(steps, Step{op, i*4 + s})
				}
			}
		default:
			for i := range w.procs {
				p := &w.procs[i]
				holds := len(p.t.Status()) > 0
				var can bool
				switch op {
				case Renew:
					can = len(w.Mail) < w.set.Letters
				case Start, Whole:
					can = p.act == nil && holds
				case Open:
					can = p.act != nil && !p.opened
				case Check:
					can = p.act != nil && p.checked == 0
				case Touch:
					can = p.act != nil && p.checked > 0
				case Take:
					can = p.act != nil && p.opened && p.checked > 0
				case End:
					can = p.act != nil && p.opened
				case Release:
					can = holds
				case Quit:
					can = p.t.Idle() && p.act == nil
				default:
					can = true
				}
				if can {
					steps = append(steps, Step{op, i})
				}
			}
		}
	}
	return steps
}

// Do takes a step and checks the promises. The step must be one of Steps.
func (w *World) Do(s Step) error {
	switch s.Op {
	case Tick:
		w.now += time.Duration(w.set.TickMs) * time.Millisecond
	case Elect:
		// The new leader has what its snapshot and its log have; it goes through both here.
		text, err := json.Marshal(w.reg)
		if err != nil {
			return err
		}
		w.reg = registry.Registry{}
		if err := json.Unmarshal(text, &w.reg); err != nil {
			return err
		}
		w.flight = nil
		r := w.reg.Clone()
		rate := w.Rate(w.set.Leads)
		w.Elect(rate, lessor.New(scaled(w.now, rate), &r))
	case Renew:
		p := &w.procs[s.On]
		c := w.claimOf(s.On)
		w.Mail = append(w.Mail, letter{to: s.On, id: p.id, claim: &c})
	case Deliver, Repeat:
		if m, l := w.Take(s.On, s.Op == Repeat); l == nil {
			w.taken(m)
		} else {
			w.decide(l, m)
		}
	case Ask, Told, Heard, Finish:
		w.Step(questions[s.Op], s.On)
	case Exchange:
		w.exchange(s.On)
	case Propose:
		w.propose(w.Leads[s.On])
	case Commit:
		w.commit()
	case Learn:
		w.learn(w.Lead())
	case Sweep:
		w.sweep(w.Leads[s.On])
	case Turn:
		w.exchange(s.On)
		w.sweep(w.Lead())
		w.exchange(s.On)
		return w.Do(Step{Whole, s.On})
	case Whole:
		for _, op := range []Op{Start, Check, Touch, Open, Check, Take, End} {
			if err := w.act(op, s.On); err != nil {
				return err
			}
		}
	case Release:
		p := &w.procs[s.On]
		for _, h := range p.t.Status() {
			p.t.Release(h.Key)
		}
	case Move:
		l := w.Lead()
		if o, err := l.Book.Migrate(scaled(w.now, l.Rate), lease.Key{Task: task, Shard: s.On % 4}, w.procs[s.On/4].id); err == nil {
			w.index++
			w.reg.ApplyEvents(w.index, 0, []lease.Event{o})
			w.learn(l)
		}
	case Reboot:
		w.boot(s.On)
		w.learn(w.Lead())
	case Quit:
		w.index++
		w.reg.Leave(w.procs[s.On].id)
		w.boot(s.On)
		w.learn(w.Lead())
	default:
		return w.act(s.Op, s.On)
	}
	return nil
}

// act takes one step of an act; whatever time goes by before the next is a pause.
func (w *World) act(op Op, i int) error { //nolint:gocognit // to be split with its package, see docs/left.md
	p := &w.procs[i]
	now := w.clock(i)
	if op == Start {
		if p.act != nil {
			return nil
		}
		for _, h := range p.t.Status() {
			if a, ok := p.t.StartOperation(now, h.Key); ok {
				p.act, p.opened, p.checked = &a, false, 0
				break
			}
		}
		return nil
	}
	if p.act == nil {
		return nil // of whoever holds nothing, before a case begins
	}
	a := *p.act
	place, j := &w.places[a.Shard], &w.judge[a.Shard]
	refused := func(err error) error {
		if err != nil {
			p.t.FinishOperation(a, lessee.Fenced, place.Token)
			p.act = nil
		}
		return err
	}
	switch op {
	case Open:
		if refused(place.Begin(a.Token, a.Number)) != nil {
			return nil
		}
		p.opened = true
		if a.Token < j.token || a.Token == j.token && (a.Number <= j.act || p.id != j.by) {
			return fmt.Errorf("broken: act %d of %s begins under token %d after act %d of %s under %d", a.Number, p.id, a.Token, j.act, j.by, j.token)
		}
		*j = judged{a.Token, a.Number, p.id, j.touched, j.acts}
	case Check:
		if p.checked = w.now; !p.t.MayProceed(now, a) {
			p.t.FinishOperation(a, lessee.Failed, 0)
			p.act = nil
		}
	case Take:
		if refused(place.CheckChange(a.Token, a.Number)) != nil {
			return nil
		}
		if j.token != a.Token || j.act != a.Number || j.by != p.id {
			return fmt.Errorf("broken: a change of act %d of %s under token %d is taken after act %d of %s under %d has begun", a.Number, p.id, a.Token, j.act, j.by, j.token)
		}
		j.acts++
		p.checked = 0
	case Touch:
		// The bound on pauses is true time's.
		if late := w.now - p.checked; a.Token < j.touched && late <= pauseMs*time.Millisecond {
			return fmt.Errorf("broken: %s touches under token %d after somebody did under %d, %v after it looked", p.id, a.Token, j.touched, late)
		}
		j.touched = max(j.touched, a.Token)
		p.checked = 0
	case End:
		if refused(place.End(a.Token, a.Number)) == nil {
			p.t.FinishOperation(a, lessee.Completed, place.Token)
			p.act = nil
		}
	}
	return nil
}

// decide has a leader answer a claim; the answer waits until a majority has confirmed.
func (w *World) decide(l *lead, m letter) {
	a, err := l.Book.Renew(scaled(w.now, l.Rate), m.id, *m.claim)
	if err == nil {
		l.Put(letter{to: m.to, id: m.id, answer: &a})
	}
}

func (w *World) taken(m letter) {
	if p := &w.procs[m.to]; p.id == m.id {
		p.t.AcceptRenewal(w.clock(m.to), *m.answer)
	}
}

// exchange is a claim and its answer by the leader that leads, at once.
func (w *World) exchange(i int) {
	p, l := &w.procs[i], w.Lead()
	a, err := l.Book.Renew(scaled(w.now, l.Rate), p.id, w.claimOf(i))
	if err == nil {
		w.taken(letter{to: i, id: p.id, answer: &a})
	}
}

// Settle ends all faults: everyone claims in time and acts. It tells how long it takes until each shard was acted on.
func (w *World) Settle() (time.Duration, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	w.Mail, w.flight = nil, nil
	began := w.now
	acted := make([]int, len(w.judge))
	for i, j := range w.judge {
		acted[i] = j.acts
	}
	for i := range w.procs {
		for _, op := range []Op{Open, Check, Take, End} {
			p := &w.procs[i]
			if p.act == nil || op == Open && p.opened {
				continue
			}
			if op == Check {
				p.checked = 0
			}
			if err := w.act(op, i); err != nil {
				return 0, err
			}
		}
	}
	for range 400 {
		w.now += renewMs / 2 * time.Millisecond
		if err := w.Do(Step{Sweep, len(w.Leads) - 1}); err != nil {
			return 0, err
		}
		for i := range w.procs {
			w.exchange(i)
			for range w.set.Shards {
				if err := w.Do(Step{Whole, i}); err != nil {
					return 0, err
				}
			}
		}
		all := true
		for i, j := range w.judge {
			all = all && j.acts > acted[i]
		}
		if all {
			return w.now - began, nil
		}
	}
	return 0, fmt.Errorf("broken: a shard is not acted on %v after all faults have ended: %v", w.now-began, w.Print())
}

// Print is the state as text: equal states print alike.
func (w *World) Print() string {
	b := fmt.Appendf(nil, "%d %d %v %v\n%v\n%v\n", w.now, w.Term, w.reg, w.flight, w.places, w.judge)
	for _, p := range w.procs {
		b = fmt.Appendf(b, "%s %v %v %v %v\n", p.id, p.t, p.act, p.opened, p.checked)
	}
	return string(w.Group.Print(b))
}
