// Package leases runs the state machines of leases against each other: the real registry, lessors,
// read-index queues, lessees and fencing guards, with a network that delays, duplicates, loses and
// reorders messages, clocks at both ends of their drift bound, processes that pause between any two
// steps of an operation, and leaders that are replaced without having learned of it. What the guarded
// resources accept is checked against a record that is kept independently of them. It does no I/O.
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
	// another agent becomes leader, from a snapshot; the previous one isn't notified
	Elect
	Renew            // a process starts a renewal and sends it
	Deliver          // a message arrives
	DeliverAgain     // a message arrives, and a duplicate stays in transit
	StartRound       // a leader asks the majority for their terms
	MajorityAnswers  // the majority answers
	FinishRound      // the answers arrive
	RoundAtOnce      // a whole confirmation round, with nothing in between
	RenewAtOnce      // a renewal and its response, with nothing in between
	Propose          // a leader proposes the events that are pending
	Commit           // the oldest proposal is committed
	UpdateLeader     // the current leader is updated from the registry
	ProposeAndUpdate // all three
	// a process renews, the leader proposes, the process renews again and operates
	RenewAndOperate
	StartOperation  // a process starts an operation
	BeginAtResource // the operation begins at the resource
	CheckLease      // the process checks whether it may proceed
	ChangeResource  // the resource is changed
	TouchUnguarded  // something that can't check fencing tokens is changed
	EndOperation    // the operation ends
	OperationAtOnce // an operation with nothing in between
	Release         // a process releases its shards
	Migrate         // an operator migrates a shard to a process
	Restart         // a process crashes and starts again
	Leave           // a process leaves in order
	ops
)

func (o Op) String() string {
	return [...]string{"tick", "elect", "renew", "deliver", "deliver again", "start round", "majority answers", "finish round", "round at once", "renew at once", "propose", "commit", "update leader", "propose and update", "renew and operate", "start operation",
		"begin at resource", "check lease", "change resource", "touch unguarded", "end operation", "operation at once", "release", "migrate", "restart", "leave"}[o]
}

// Step is an Op on the process, delivery or leader of that number; for Migrate, four times the process plus the shard.
type Step struct {
	Op Op
	On int
}

func (s Step) String() string { return fmt.Sprintf("%v %d", s.Op, s.On) }

// Setup is a case to search: the size of the model and the steps that are possible.
type Setup struct {
	Name              string
	Processes         int
	Shards            int
	Rates             []float64 // of the processes' clocks, against true time
	LeaderRates       []float64 // of the agents' clocks, in the order in which they lead
	Elections         int       // at most so many
	MaxInTransit      int       // messages; Renew is not possible beyond it
	Ops               []Op      // in addition to Tick
	TickMs            int
	Before            []Step
	FalseDeathReports bool // every renewal reports all other processes as dead
	NoLeases          bool // no shard is leased in the initial state; otherwise all are, and their holders have been notified
}

// Settings of the cases. Short times and clocks that are off by a tenth make a fault show within few steps.
const (
	ppm         = 100_000
	renewMs     = 100
	leaseMs     = 600
	operationMs = 150
	maxPauseMs  = 90
	task        = "t"
)

// process is one instance with its lessee and the operation that it has in progress.
type process struct {
	lessee    *lessee.Lessee
	rate      float64
	id        string
	starts    int
	operation *lessee.Operation
	begun     bool
	checkedAt time.Duration // true time of the last CheckLease; 0: none since the last change
}

type leader = leaders.Leader[*lessor.Lessor, message]

// roundSteps maps the Ops of a leader's confirmation round to its steps.
var roundSteps = map[Op]leaders.RoundStep{StartRound: leaders.StartRound, MajorityAnswers: leaders.MajorityAnswers, FinishRound: leaders.FinishRound, RoundAtOnce: leaders.RoundAtOnce}

// message is a renewal request on its way to a leader, or the response to one.
type message struct {
	to       int
	id       string
	request  *lease.RenewalRequest
	response *lease.RenewalResponse
}

// IsRequest implements leaders.Message.
func (m message) IsRequest() bool { return m.request != nil }

// Print implements leaders.Message.
func (m message) Print(b []byte) []byte {
	if m.request != nil {
		return fmt.Appendf(b, "%s>%+v\n", m.id, *m.request)
	}
	return fmt.Appendf(b, "%s<%d %v %v\n", m.id, m.response.Seq, m.response.Leases, m.response.Recalled)
}

// resourceState records what happened at the resource of one shard, independently of its guard.
type resourceState struct {
	token, operation uint64 // of the newest operation that the guard let begin
	holder           string // the process that began it
	touchedToken     uint64 // highest token under which the unguarded resource was changed
	changes          int
}

// World is one state of a case. It implements explore.World.
type World struct {
	setup     Setup
	now       time.Duration
	registry  registry.Registry
	index     uint64
	processes []process
	leaders.Group[*lessor.Lessor, message]
	proposed [][]lease.Event // proposed and not committed
	guards   []fencing.Guard // by shard
	observed []resourceState // by shard
}

// configs returns the quota and lease configurations of a case.
func configs(s Setup) (quota.Config, lease.Config) {
	return quota.Config{MaxSessions: 64, RenewIntervalMs: renewMs, AllocationTTLMs: 1000, SessionTTLS: 4, ClockPPM: ppm},
		lease.Config{Tasks: []lease.Task{{Name: task, Kind: lease.EndpointProbe, Shards: s.Shards, TTLMs: leaseMs, OperationTimeoutMs: operationMs, IntervalMs: 10, MaxPauseMs: maxPauseMs, MaxMoves: 1}}}
}

// beginRenewal begins a renewal of a process. With FalseDeathReports it reports all other processes as dead.
func (w *World) beginRenewal(i int) lease.RenewalRequest {
	req := w.processes[i].lessee.BeginRenewal(w.clock(i))
	for j := range w.processes {
		if w.setup.FalseDeathReports && j != i {
			req.DeadInstances = append(req.DeadInstances, w.processes[j].id)
		}
	}
	return req
}

// New returns the initial state of a case.
func New(s Setup) (*World, error) {
	w := &World{setup: s, index: 2, now: time.Hour, guards: make([]fencing.Guard, s.Shards), observed: make([]resourceState, s.Shards)}
	c, l := configs(s)
	if err := w.registry.SetQuotaConfig(1, c); err != nil {
		return nil, err
	}
	if err := w.registry.SetLeaseConfig(2, l); err != nil {
		return nil, err
	}
	for i := range s.Processes {
		w.processes = append(w.processes, process{rate: s.Rates[i%len(s.Rates)]})
		w.start(i)
	}
	rate := w.NextRate(s.LeaderRates)
	w.Elect(rate, lessor.New(localTime(w.now-10*time.Second, rate), &w.registry))
	w.updateLeader(w.Leaders[0])
	if !s.NoLeases {
		for range 2 {
			for i := range w.processes {
				w.renewAtOnce(i)
			}
			w.proposeAndUpdate(w.Leaders[0])
		}
		for i := range w.processes {
			w.renewAtOnce(i)
		}
	}
	for i, x := range s.Before {
		if err := w.Do(x); err != nil {
			return nil, explore.NewViolation(s.Name, s.Before[:i+1], err)
		}
	}
	return w, nil
}

func localTime(t time.Duration, rate float64) time.Duration { return leaders.LocalTime(t, rate) }

func (w *World) clock(i int) time.Duration { return localTime(w.now, w.processes[i].rate) }

// start starts a process and has it join. The member of its previous incarnation stays in the registry.
func (w *World) start(i int) {
	p := &w.processes[i]
	p.starts++
	p.id = fmt.Sprintf("p%d.%d", i, p.starts)
	p.lessee, p.operation = lessee.New([]string{task}), nil
	w.index++
	if _, err := w.registry.Join(w.index, quota.Member{ID: p.id, Name: p.id, Weight: 1}); err != nil {
		panic(err)
	}
}

// updateLeader passes the registry's state to a leader, if it is the current one.
func (w *World) updateLeader(l *leader) {
	if l == w.Leader() { // a replaced leader gets no updates
		r := w.registry.Clone()
		l.State.Update(localTime(w.now, l.Rate), &r)
	}
}

// propose proposes the events that are pending at a leader. Proposals of a replaced leader have no effect.
func (w *World) propose(l *leader) {
	events, seen := l.State.PendingEvents(localTime(w.now, l.Rate))
	if l == w.Leader() && (len(events) > 0 || seen > 0) {
		w.proposed = append(w.proposed, events)
	}
}

// commit commits the oldest proposal, if there is one.
func (w *World) commit() {
	for _, events := range w.proposed[:min(1, len(w.proposed))] {
		w.index++
		w.registry.ApplyEvents(w.index, 0, events)
		w.proposed = w.proposed[1:]
	}
}

// proposeAndUpdate has a leader propose, commits all proposals, and updates the leader.
func (w *World) proposeAndUpdate(l *leader) {
	w.propose(l)
	for l == w.Leader() && len(w.proposed) > 0 {
		w.commit()
	}
	w.updateLeader(l)
}

// Steps returns the steps that are possible next, in a fixed order.
func (w *World) Steps() []Step { //nolint:gocognit // to be split with its package, see docs/left.md
	steps := []Step{{Tick, 0}}
	for _, op := range w.setup.Ops {
		switch op {
		case Elect:
			if int(w.Term) <= w.setup.Elections {
				steps = append(steps, Step{op, 0})
			}
		case Deliver, DeliverAgain:
			for _, on := range w.Deliveries() {
				steps = append(steps, Step{op, on})
			}
		case StartRound, MajorityAnswers, FinishRound, RoundAtOnce:
			for _, on := range w.PossibleSteps(roundSteps[op]) {
				steps = append(steps, Step{op, on})
			}
		case Propose, ProposeAndUpdate:
			for j := range w.Leaders {
				if op == ProposeAndUpdate || len(w.proposed) < 2 {
					steps = append(steps, Step{op, j})
				}
			}
		case Commit, UpdateLeader:
			if op == UpdateLeader || len(w.proposed) > 0 {
				steps = append(steps, Step{op, 0})
			}
		case Migrate:
			for i := range w.processes {
				for s := range w.setup.Shards {
					steps = append(steps, Step{op, i*4 + s})
				}
			}
		default:
			for i := range w.processes {
				p := &w.processes[i]
				holds := len(p.lessee.Status()) > 0
				var can bool
				switch op {
				case Renew:
					can = len(w.InTransit) < w.setup.MaxInTransit
				case StartOperation, OperationAtOnce:
					can = p.operation == nil && holds
				case BeginAtResource:
					can = p.operation != nil && !p.begun
				case CheckLease:
					can = p.operation != nil && p.checkedAt == 0
				case TouchUnguarded:
					can = p.operation != nil && p.checkedAt > 0
				case ChangeResource:
					can = p.operation != nil && p.begun && p.checkedAt > 0
				case EndOperation:
					can = p.operation != nil && p.begun
				case Release:
					can = holds
				case Leave:
					can = p.lessee.Idle() && p.operation == nil
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

// Do takes a step and checks the invariants. The step must be one of Steps.
func (w *World) Do(s Step) error {
	switch s.Op {
	case Tick:
		w.now += time.Duration(w.setup.TickMs) * time.Millisecond
	case Elect:
		// The registry is encoded and decoded, as by a snapshot, so that state that a snapshot lacks is lost.
		text, err := json.Marshal(w.registry)
		if err != nil {
			return err
		}
		w.registry = registry.Registry{}
		if err := json.Unmarshal(text, &w.registry); err != nil {
			return err
		}
		w.proposed = nil
		r := w.registry.Clone()
		rate := w.NextRate(w.setup.LeaderRates)
		w.Elect(rate, lessor.New(localTime(w.now, rate), &r))
	case Renew:
		p := &w.processes[s.On]
		req := w.beginRenewal(s.On)
		w.InTransit = append(w.InTransit, message{to: s.On, id: p.id, request: &req})
	case Deliver, DeliverAgain:
		if m, l := w.Receive(s.On, s.Op == DeliverAgain); l == nil {
			w.acceptRenewal(m)
		} else {
			w.decide(l, m)
		}
	case StartRound, MajorityAnswers, FinishRound, RoundAtOnce:
		w.Step(roundSteps[s.Op], s.On)
	case RenewAtOnce:
		w.renewAtOnce(s.On)
	case Propose:
		w.propose(w.Leaders[s.On])
	case Commit:
		w.commit()
	case UpdateLeader:
		w.updateLeader(w.Leader())
	case ProposeAndUpdate:
		w.proposeAndUpdate(w.Leaders[s.On])
	case RenewAndOperate:
		w.renewAtOnce(s.On)
		w.proposeAndUpdate(w.Leader())
		w.renewAtOnce(s.On)
		return w.Do(Step{OperationAtOnce, s.On})
	case OperationAtOnce:
		for _, op := range []Op{StartOperation, CheckLease, TouchUnguarded, BeginAtResource, CheckLease, ChangeResource, EndOperation} {
			if err := w.operate(op, s.On); err != nil {
				return err
			}
		}
	case Release:
		p := &w.processes[s.On]
		for _, held := range p.lessee.Status() {
			p.lessee.Release(held.Key)
		}
	case Migrate:
		l := w.Leader()
		if e, err := l.State.Migrate(localTime(w.now, l.Rate), lease.Key{Task: task, Shard: s.On % 4}, w.processes[s.On/4].id); err == nil {
			w.index++
			w.registry.ApplyEvents(w.index, 0, []lease.Event{e})
			w.updateLeader(l)
		}
	case Restart:
		w.start(s.On)
		w.updateLeader(w.Leader())
	case Leave:
		w.index++
		w.registry.Leave(w.processes[s.On].id)
		w.start(s.On)
		w.updateLeader(w.Leader())
	default:
		return w.operate(s.Op, s.On)
	}
	return nil
}

// operate takes one step of a process's operation, and checks that operations at a shard are in the order of their tokens.
// Time that passes between two steps is a pause of the process.
func (w *World) operate(op Op, i int) error { //nolint:gocognit // to be split with its package, see docs/left.md
	p := &w.processes[i]
	now := w.clock(i)
	if op == StartOperation {
		if p.operation != nil {
			return nil
		}
		for _, s := range p.lessee.Status() {
			if act, ok := p.lessee.StartOperation(now, s.Key); ok {
				p.operation, p.begun, p.checkedAt = &act, false, 0
				break
			}
		}
		return nil
	}
	if p.operation == nil {
		return nil // no lease, and so no operation: such steps occur in Setup.Before and in OperationAtOnce
	}
	operation := *p.operation
	guard, state := &w.guards[operation.Shard], &w.observed[operation.Shard]
	rejected := func(err error) error {
		if err != nil {
			p.lessee.FinishOperation(operation, lessee.Fenced, guard.Token)
			p.operation = nil
		}
		return err
	}
	switch op {
	case BeginAtResource:
		if rejected(guard.Begin(operation.Token, operation.Number)) != nil {
			return nil
		}
		p.begun = true
		if operation.Token < state.token || operation.Token == state.token && (operation.Number <= state.operation || p.id != state.holder) {
			return fmt.Errorf("broken: operation %d of %s begins under token %d after operation %d of %s under %d", operation.Number, p.id, operation.Token, state.operation, state.holder, state.token)
		}
		*state = resourceState{operation.Token, operation.Number, p.id, state.touchedToken, state.changes}
	case CheckLease:
		if p.checkedAt = w.now; !p.lessee.MayProceed(now, operation) {
			p.lessee.FinishOperation(operation, lessee.Failed, 0)
			p.operation = nil
		}
	case ChangeResource:
		if rejected(guard.CheckChange(operation.Token, operation.Number)) != nil {
			return nil
		}
		if state.token != operation.Token || state.operation != operation.Number || state.holder != p.id {
			return fmt.Errorf("broken: a change by operation %d of %s under token %d is accepted after operation %d of %s under %d has begun", operation.Number, p.id, operation.Token, state.operation, state.holder, state.token)
		}
		state.changes++
		p.checkedAt = 0
	case TouchUnguarded:
		// The bound on pauses is in true time.
		if late := w.now - p.checkedAt; operation.Token < state.touchedToken && late <= maxPauseMs*time.Millisecond {
			return fmt.Errorf("broken: %s changes the unguarded resource under token %d after a change under %d, %v after its check", p.id, operation.Token, state.touchedToken, late)
		}
		state.touchedToken = max(state.touchedToken, operation.Token)
		p.checkedAt = 0
	case EndOperation:
		if rejected(guard.End(operation.Token, operation.Number)) == nil {
			p.lessee.FinishOperation(operation, lessee.Completed, guard.Token)
			p.operation = nil
		}
	}
	return nil
}

// decide has a leader process a renewal request. The response waits until a majority has confirmed the leader's term.
func (w *World) decide(l *leader, m message) {
	resp, err := l.State.Renew(localTime(w.now, l.Rate), m.id, *m.request)
	if err == nil {
		l.AwaitConfirmation(message{to: m.to, id: m.id, response: &resp})
	}
}

// acceptRenewal delivers a response, unless the process that sent the request has restarted since.
func (w *World) acceptRenewal(m message) {
	if p := &w.processes[m.to]; p.id == m.id {
		p.lessee.AcceptRenewal(w.clock(m.to), *m.response)
	}
}

// renewAtOnce does a whole renewal with the current leader, without any delay.
func (w *World) renewAtOnce(i int) {
	p, l := &w.processes[i], w.Leader()
	resp, err := l.State.Renew(localTime(w.now, l.Rate), p.id, w.beginRenewal(i))
	if err == nil {
		w.acceptRenewal(message{to: i, id: p.id, response: &resp})
	}
}

// Settle ends all faults: all processes renew in time and operate on the shards that they hold. It returns how long it
// takes until an operation has changed each shard's resource.
func (w *World) Settle() (time.Duration, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	w.InTransit, w.proposed = nil, nil
	began := w.now
	acted := make([]int, len(w.observed))
	for i, j := range w.observed {
		acted[i] = j.changes
	}
	for i := range w.processes {
		for _, op := range []Op{BeginAtResource, CheckLease, ChangeResource, EndOperation} {
			p := &w.processes[i]
			if p.operation == nil || op == BeginAtResource && p.begun {
				continue
			}
			if op == CheckLease {
				p.checkedAt = 0
			}
			if err := w.operate(op, i); err != nil {
				return 0, err
			}
		}
	}
	for range 400 {
		w.now += renewMs / 2 * time.Millisecond
		if err := w.Do(Step{ProposeAndUpdate, len(w.Leaders) - 1}); err != nil {
			return 0, err
		}
		for i := range w.processes {
			w.renewAtOnce(i)
			for range w.setup.Shards {
				if err := w.Do(Step{OperationAtOnce, i}); err != nil {
					return 0, err
				}
			}
		}
		all := true
		for i, j := range w.observed {
			all = all && j.changes > acted[i]
		}
		if all {
			return w.now - began, nil
		}
	}
	return 0, fmt.Errorf("broken: no operation on some shard within %v after all faults have ended: %v", w.now-began, w.Print())
}

// Print implements explore.World.
func (w *World) Print() string {
	b := fmt.Appendf(nil, "%d %d %v %v\n%v\n%v\n", w.now, w.Term, w.registry, w.proposed, w.guards, w.observed)
	for _, p := range w.processes {
		b = fmt.Appendf(b, "%s %v %v %v %v\n", p.id, p.lessee, p.operation, p.begun, p.checkedAt)
	}
	return string(w.Group.Print(b))
}
