// Package leases runs the state machines of leases against each other: the real registry, lessors,
// read index queues, lessees and fencing guards, with a network that delays, repeats, loses and
// reorders messages, clocks at both ends of their bound, processes that pause between any two steps of
// an operation, and leaders that are replaced without knowing it. A judge that knows nothing of them
// looks at what the guarded resources accept. It does no I/O.
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
	Tick Op = iota // time passes
	// another agent becomes leader, from a snapshot; the previous one does not know
	Elect
	Renew           // a process starts a renewal and sends it
	Deliver         // a message arrives
	DeliverAgain    // a message arrives, and will arrive again
	StartRound      // a leader asks the majority for their terms
	MajorityAnswers // the majority answers
	FinishRound     // the answers arrive
	RoundAtOnce     // a whole round, with nothing in between
	RenewAtOnce     // a renewal and its answer, with nothing in between
	Propose         // a leader proposes events; they are on their way
	Commit          // the oldest proposal is committed
	UpdateLeader    // the leader takes over the registry
	ProposeAndLearn // all three
	// a process renews, the leader proposes, the process renews again and operates
	FullTurn
	StartOperation  // a process starts an operation
	BeginAtResource // the operation begins at the resource
	CheckLease      // the process checks whether it may proceed
	ChangeResource  // the resource is changed
	TouchUnguarded  // something that cannot check tokens is changed
	EndOperation    // the operation ends
	OperationAtOnce // an operation with nothing in between
	Release         // a process releases its shards
	Migrate         // an operator migrates a shard to a process
	Restart         // a process dies and starts again
	Leave           // a process leaves in order
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
	Name         string
	Processes    int
	Shards       int
	Rates        []float64 // of the processes' clocks, against true time
	Leads        []float64 // of the agents' clocks, in the order in which they lead
	Elections    int       // at most
	MaxInTransit int       // on their way at a time, at most
	Ops          []Op      // beside Tick
	TickMs       int
	Before       []Step
	Lies         bool // every claim says that all others are dead
	Fresh        bool // nothing is held yet; else the shards are granted, and their holders know
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

type lead = leaders.Leader[*lessor.Lessor, message]

// questions are the steps of a leader's question.
var questions = map[Op]leaders.Question{StartRound: leaders.StartRound, MajorityAnswers: leaders.MajorityAnswers, FinishRound: leaders.FinishRound, RoundAtOnce: leaders.RoundAtOnce}

type message struct {
	to     int
	id     string
	claim  *lease.RenewalRequest
	answer *lease.RenewalResponse
}

// IsRequest implements leaders.Letter.
func (m message) IsRequest() bool { return m.claim != nil }

// Print implements leaders.Letter.
func (m message) Print(b []byte) []byte {
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
	set       Setup
	now       time.Duration
	registry  registry.Registry
	index     uint64
	processes []process
	leaders.Group[*lessor.Lessor, message]
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
	req := w.processes[i].t.BeginRenewal(w.clock(i))
	for j := range w.processes {
		if w.set.Lies && j != i {
			req.DeadInstances = append(req.DeadInstances, w.processes[j].id)
		}
	}
	return req
}

// New returns the first state of a case.
func New(s Setup) (*World, error) {
	w := &World{set: s, index: 2, now: time.Hour, places: make([]fencing.Guard, s.Shards), judge: make([]judged, s.Shards)}
	c, l := docs(s)
	if err := w.registry.SetQuotaConfig(1, c); err != nil {
		return nil, err
	}
	if err := w.registry.SetLeaseConfig(2, l); err != nil {
		return nil, err
	}
	for i := range s.Processes {
		w.processes = append(w.processes, process{rate: s.Rates[i%len(s.Rates)]})
		w.boot(i)
	}
	rate := w.NextRate(s.Leads)
	w.Elect(rate, lessor.New(scaled(w.now-10*time.Second, rate), &w.registry))
	w.learn(w.Leaders[0])
	if !s.Fresh {
		for range 2 {
			for i := range w.processes {
				w.exchange(i)
			}
			w.sweep(w.Leaders[0])
		}
		for i := range w.processes {
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

func (w *World) clock(i int) time.Duration { return scaled(w.now, w.processes[i].rate) }

// boot has a process start, and join: its member of before stays in the log.
func (w *World) boot(i int) {
	p := &w.processes[i]
	p.born++
	p.id = fmt.Sprintf("p%d.%d", i, p.born)
	p.t, p.act = lessee.New([]string{task}), nil
	w.index++
	if _, err := w.registry.Join(w.index, quota.Member{ID: p.id, Name: p.id, Weight: 1}); err != nil {
		panic(err)
	}
}

func (w *World) learn(l *lead) {
	if l == w.Leader() { // one that no longer leads hears nothing
		r := w.registry.Clone()
		l.State.Update(scaled(w.now, l.Rate), &r)
	}
}

// propose has the log changed as a leader wants it; one of an earlier term can't, and what is on its way is lost with its term.
func (w *World) propose(l *lead) {
	orders, seen := l.State.PendingEvents(scaled(w.now, l.Rate))
	if l == w.Leader() && (len(orders) > 0 || seen > 0) {
		w.flight = append(w.flight, orders)
	}
}

func (w *World) commit() {
	for _, orders := range w.flight[:min(1, len(w.flight))] {
		w.index++
		w.registry.ApplyEvents(w.index, 0, orders)
		w.flight = w.flight[1:]
	}
}

func (w *World) sweep(l *lead) {
	w.propose(l)
	for l == w.Leader() && len(w.flight) > 0 {
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
		case Deliver, DeliverAgain:
			for _, on := range w.Deliveries() {
				steps = append(steps, Step{op, on})
			}
		case StartRound, MajorityAnswers, FinishRound, RoundAtOnce:
			for _, on := range w.PossibleSteps(questions[op]) {
				steps = append(steps, Step{op, on})
			}
		case Propose, ProposeAndLearn:
			for j := range w.Leaders {
				if op == ProposeAndLearn || len(w.flight) < 2 {
					steps = append(steps, Step{op, j})
				}
			}
		case Commit, UpdateLeader:
			if op == UpdateLeader || len(w.flight) > 0 {
				steps = append(steps, Step{op, 0})
			}
		case Migrate:
			for i := range w.processes {
				for s := range w.set.Shards {
					steps = append(steps, Step{op, i*4 + s})
				}
			}
		default:
			for i := range w.processes {
				p := &w.processes[i]
				holds := len(p.t.Status()) > 0
				var can bool
				switch op {
				case Renew:
					can = len(w.InTransit) < w.set.MaxInTransit
				case StartOperation, OperationAtOnce:
					can = p.act == nil && holds
				case BeginAtResource:
					can = p.act != nil && !p.opened
				case CheckLease:
					can = p.act != nil && p.checked == 0
				case TouchUnguarded:
					can = p.act != nil && p.checked > 0
				case ChangeResource:
					can = p.act != nil && p.opened && p.checked > 0
				case EndOperation:
					can = p.act != nil && p.opened
				case Release:
					can = holds
				case Leave:
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
		text, err := json.Marshal(w.registry)
		if err != nil {
			return err
		}
		w.registry = registry.Registry{}
		if err := json.Unmarshal(text, &w.registry); err != nil {
			return err
		}
		w.flight = nil
		r := w.registry.Clone()
		rate := w.NextRate(w.set.Leads)
		w.Elect(rate, lessor.New(scaled(w.now, rate), &r))
	case Renew:
		p := &w.processes[s.On]
		req := w.claimOf(s.On)
		w.InTransit = append(w.InTransit, message{to: s.On, id: p.id, claim: &req})
	case Deliver, DeliverAgain:
		if m, l := w.Receive(s.On, s.Op == DeliverAgain); l == nil {
			w.taken(m)
		} else {
			w.decide(l, m)
		}
	case StartRound, MajorityAnswers, FinishRound, RoundAtOnce:
		w.Step(questions[s.Op], s.On)
	case RenewAtOnce:
		w.exchange(s.On)
	case Propose:
		w.propose(w.Leaders[s.On])
	case Commit:
		w.commit()
	case UpdateLeader:
		w.learn(w.Leader())
	case ProposeAndLearn:
		w.sweep(w.Leaders[s.On])
	case FullTurn:
		w.exchange(s.On)
		w.sweep(w.Leader())
		w.exchange(s.On)
		return w.Do(Step{OperationAtOnce, s.On})
	case OperationAtOnce:
		for _, op := range []Op{StartOperation, CheckLease, TouchUnguarded, BeginAtResource, CheckLease, ChangeResource, EndOperation} {
			if err := w.act(op, s.On); err != nil {
				return err
			}
		}
	case Release:
		p := &w.processes[s.On]
		for _, held := range p.t.Status() {
			p.t.Release(held.Key)
		}
	case Migrate:
		l := w.Leader()
		if e, err := l.State.Migrate(scaled(w.now, l.Rate), lease.Key{Task: task, Shard: s.On % 4}, w.processes[s.On/4].id); err == nil {
			w.index++
			w.registry.ApplyEvents(w.index, 0, []lease.Event{e})
			w.learn(l)
		}
	case Restart:
		w.boot(s.On)
		w.learn(w.Leader())
	case Leave:
		w.index++
		w.registry.Leave(w.processes[s.On].id)
		w.boot(s.On)
		w.learn(w.Leader())
	default:
		return w.act(s.Op, s.On)
	}
	return nil
}

// act takes one step of an act; whatever time goes by before the next is a pause.
func (w *World) act(op Op, i int) error { //nolint:gocognit // to be split with its package, see docs/left.md
	p := &w.processes[i]
	now := w.clock(i)
	if op == StartOperation {
		if p.act != nil {
			return nil
		}
		for _, s := range p.t.Status() {
			if act, ok := p.t.StartOperation(now, s.Key); ok {
				p.act, p.opened, p.checked = &act, false, 0
				break
			}
		}
		return nil
	}
	if p.act == nil {
		return nil // of whoever holds nothing, before a case begins
	}
	act := *p.act
	place, j := &w.places[act.Shard], &w.judge[act.Shard]
	refused := func(err error) error {
		if err != nil {
			p.t.FinishOperation(act, lessee.Fenced, place.Token)
			p.act = nil
		}
		return err
	}
	switch op {
	case BeginAtResource:
		if refused(place.Begin(act.Token, act.Number)) != nil {
			return nil
		}
		p.opened = true
		if act.Token < j.token || act.Token == j.token && (act.Number <= j.act || p.id != j.by) {
			return fmt.Errorf("broken: act %d of %s begins under token %d after act %d of %s under %d", act.Number, p.id, act.Token, j.act, j.by, j.token)
		}
		*j = judged{act.Token, act.Number, p.id, j.touched, j.acts}
	case CheckLease:
		if p.checked = w.now; !p.t.MayProceed(now, act) {
			p.t.FinishOperation(act, lessee.Failed, 0)
			p.act = nil
		}
	case ChangeResource:
		if refused(place.CheckChange(act.Token, act.Number)) != nil {
			return nil
		}
		if j.token != act.Token || j.act != act.Number || j.by != p.id {
			return fmt.Errorf("broken: a change of act %d of %s under token %d is taken after act %d of %s under %d has begun", act.Number, p.id, act.Token, j.act, j.by, j.token)
		}
		j.acts++
		p.checked = 0
	case TouchUnguarded:
		// The bound on pauses is true time's.
		if late := w.now - p.checked; act.Token < j.touched && late <= pauseMs*time.Millisecond {
			return fmt.Errorf("broken: %s touches under token %d after somebody did under %d, %v after it looked", p.id, act.Token, j.touched, late)
		}
		j.touched = max(j.touched, act.Token)
		p.checked = 0
	case EndOperation:
		if refused(place.End(act.Token, act.Number)) == nil {
			p.t.FinishOperation(act, lessee.Completed, place.Token)
			p.act = nil
		}
	}
	return nil
}

// decide has a leader answer a claim; the answer waits until a majority has confirmed.
func (w *World) decide(l *lead, m message) {
	resp, err := l.State.Renew(scaled(w.now, l.Rate), m.id, *m.claim)
	if err == nil {
		l.Put(message{to: m.to, id: m.id, answer: &resp})
	}
}

func (w *World) taken(m message) {
	if p := &w.processes[m.to]; p.id == m.id {
		p.t.AcceptRenewal(w.clock(m.to), *m.answer)
	}
}

// exchange is a claim and its answer by the leader that leads, at once.
func (w *World) exchange(i int) {
	p, l := &w.processes[i], w.Leader()
	resp, err := l.State.Renew(scaled(w.now, l.Rate), p.id, w.claimOf(i))
	if err == nil {
		w.taken(message{to: i, id: p.id, answer: &resp})
	}
}

// Settle ends all faults: everyone claims in time and acts. It tells how long it takes until each shard was acted on.
func (w *World) Settle() (time.Duration, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	w.InTransit, w.flight = nil, nil
	began := w.now
	acted := make([]int, len(w.judge))
	for i, j := range w.judge {
		acted[i] = j.acts
	}
	for i := range w.processes {
		for _, op := range []Op{BeginAtResource, CheckLease, ChangeResource, EndOperation} {
			p := &w.processes[i]
			if p.act == nil || op == BeginAtResource && p.opened {
				continue
			}
			if op == CheckLease {
				p.checked = 0
			}
			if err := w.act(op, i); err != nil {
				return 0, err
			}
		}
	}
	for range 400 {
		w.now += renewMs / 2 * time.Millisecond
		if err := w.Do(Step{ProposeAndLearn, len(w.Leaders) - 1}); err != nil {
			return 0, err
		}
		for i := range w.processes {
			w.exchange(i)
			for range w.set.Shards {
				if err := w.Do(Step{OperationAtOnce, i}); err != nil {
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
	b := fmt.Appendf(nil, "%d %d %v %v\n%v\n%v\n", w.now, w.Term, w.registry, w.flight, w.places, w.judge)
	for _, p := range w.processes {
		b = fmt.Appendf(b, "%s %v %v %v %v\n", p.id, p.t, p.act, p.opened, p.checked)
	}
	return string(w.Group.Print(b))
}
