// Package modelcheck runs the state machines of fleet-wide quotas against each other: the real
// registry, allocators, read-index queues and quota clients, with a network that delays, duplicates,
// loses and reorders messages, clocks at both ends of their drift bound, processes that restart, and
// leaders that are replaced without having learned of it. After each step it sums what all processes
// may use and compares the sum with the limit. It does no I/O.
package modelcheck

import (
	"errors"
	"fmt"
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/controlplane/quota/quotaclient"
	"spindlehitch/internal/controlplane/registry"
	"spindlehitch/internal/testbed/modelcheck/explore"
	"spindlehitch/internal/testbed/modelcheck/leaders"
)

// Op is one kind of step.
type Op byte

// The kinds of steps.
const (
	Tick            Op = iota // time passes
	Elect                     // another agent becomes leader; the previous one isn't notified
	Renew                     // a process starts a renewal and sends it
	Deliver                   // a message arrives
	DeliverAgain              // a message arrives, and a duplicate stays in transit
	StartRound                // a leader asks the majority for their terms
	MajorityAnswers           // the majority answers
	FinishRound               // the answers arrive
	RenewAtOnce               // a renewal and its response, with nothing in between
	RoundAtOnce               // a whole confirmation round, with nothing in between
	Use                       // a process uses all that its allocation permits
	Shrink                    // the limit is lowered
	Reshape                   // the rate is raised and the burst lowered
	Join                      // a process without a session joins
	JoinAnswerLost            // the same, and the response is lost
	Leave                     // a process leaves in order
	ExpireSessions            // the leader removes expired sessions
	Restart                   // a process crashes and starts again
	// a process crashes and starts again; its connections stay open at the target for the linger time
	CrashWithConnections
	ops
)

func (o Op) String() string {
	return [...]string{"tick", "elect", "renew", "deliver", "deliver again", "start round", "majority answers", "finish round", "renew at once", "round at once", "use", "shrink", "reshape", "join",
		"join, answer lost", "leave", "expire sessions", "restart", "crash with connections"}[o]
}

// Step is an Op on the process, delivery or leader of that number.
type Step struct {
	Op Op
	On int
}

func (s Step) String() string { return fmt.Sprintf("%v %d", s.Op, s.On) }

// Setup is a case to search: the size of the model and the steps that are possible.
type Setup struct {
	Name             string
	Processes        int
	MaxSessions      int
	Rates            []float64 // of the processes' clocks against true time
	LeaderRates      []float64 // of the agents' clocks, in the order in which they lead
	Elections        int       // at most so many
	MaxInTransit     int       // messages; Renew is not possible beyond it
	ConcurrencyLimit bool      // the budget limits connections at a target instead of a rate
	Ops              []Op      // in addition to Tick
	TickMs           int
	Registered       int    // processes that have a session in the initial state
	Before           []Step // taken to reach the initial state
	NewTerm          bool   // the first leader's term begins in the initial state; otherwise its recovery wait is over
}

// Settings of the cases. Allocations of a second and clocks that are off by a tenth make a fault show within few steps.
const (
	allocationTTLMs   = 1000
	sessionTTLS       = 2
	ppm               = 100_000
	floorRate         = 1
	linger            = 200 * time.Millisecond
	target            = "t"
	initialCapacity   = 12 // in the initial state, with a burst of initialBurst
	initialBurst      = 6
	reducedCapacity   = 8
	increasedCapacity = 16
)

// Bursts after Shrink and after Reshape.
const (
	reducedBurst   = 4.0
	increasedBurst = 4.5
)

// process is one instance with its quota client.
type process struct {
	client *quotaclient.Client
	rate   float64 // of its clock against true time
	id     string  // of its member in the registry
	starts int     // counts its identities
}

type leader = leaders.Leader[*allocator.Allocator, message]

// deadConnections are connections of a crashed process that are still open at the target.
type deadConnections struct {
	n     int
	until time.Duration // true time
}

// message is a renewal request on its way to a leader, or the response to one.
type message struct {
	to       int // the process that sent the request
	request  *quota.RenewalRequest
	response *quota.RenewalResponse
	round    uint64 // the leader's confirmation round in progress when it decided; 0: none
}

// IsRequest implements leaders.Message.
func (m message) IsRequest() bool { return m.request != nil }

// Print implements leaders.Message.
func (m message) Print(b []byte) []byte {
	if m.request != nil {
		return fmt.Appendf(b, "%d>%+v\n", m.to, *m.request)
	}
	return fmt.Appendf(b, "%d %d<%s %d %+v\n", m.round, m.to, m.response.ID, m.response.Seq, m.response.Allocations)
}

// roundSteps maps the Ops of a leader's confirmation round to its steps.
var roundSteps = map[Op]leaders.RoundStep{StartRound: leaders.StartRound, MajorityAnswers: leaders.MajorityAnswers, FinishRound: leaders.FinishRound, RoundAtOnce: leaders.RoundAtOnce}

// World is one state of a case. It implements explore.World.
type World struct {
	setup     Setup
	now       time.Duration
	registry  registry.Registry
	index     uint64
	processes []process
	leaders.Group[*allocator.Allocator, message]
	bucketLevel     float64           // units of all uses in a bucket that drains at the budget's rate
	deadConnections []deadConnections // of crashed processes
	previousConfig  quota.Config      // the configuration before the current one
	previousUntil   time.Duration     // true time until which allocations by previousConfig may last
}

var fleetKey = quota.Key{Budget: "b"}

func quotaConfig(s Setup, capacity, burst float64) quota.Config {
	b := quota.Budget{Name: "b", Resource: quota.AllWork, Scope: quota.PerFleet, Kind: "rate", Capacity: capacity, Burst: capacity*quota.MaxTransit.Seconds() + burst,
		FloorRate: floorRate, FloorBurst: 1}
	if s.ConcurrencyLimit {
		b = quota.Budget{Name: "b", Resource: quota.Connections, Scope: quota.PerTarget, Kind: "stock", Capacity: capacity, FloorRate: floorRate,
			LingerMs: linger.Milliseconds()}
	}
	return quota.Config{MaxSessions: s.MaxSessions, RenewIntervalMs: 100, AllocationTTLMs: allocationTTLMs, SessionTTLS: sessionTTLS, ClockPPM: ppm, Budgets: []quota.Budget{b}}
}

// New returns the first state of a case.
func New(s Setup) (*World, error) {
	w := &World{setup: s, index: 1, now: time.Hour}
	if err := w.registry.SetQuotaConfig(w.index, quotaConfig(s, initialCapacity, initialBurst)); err != nil {
		return nil, err
	}
	for i := range s.Processes {
		w.processes = append(w.processes, process{rate: s.Rates[i%len(s.Rates)]})
		w.start(i)
	}
	for i := range s.Registered {
		w.join(i, true)
	}
	began := w.now
	if !s.NewTerm {
		began -= 10 * time.Second
	}
	rate := w.NextRate(s.LeaderRates)
	w.Elect(rate, allocator.New(localTime(began, rate), w.registry.QuotaConfig, nil))
	w.updateLeader()
	for i, x := range s.Before {
		if err := w.Do(x); err != nil {
			return nil, explore.NewViolation(s.Name, s.Before[:i+1], err)
		}
	}
	return w, nil
}

func localTime(t time.Duration, rate float64) time.Duration { return leaders.LocalTime(t, rate) }

func (w *World) clock(i int) time.Duration { return localTime(w.now, w.processes[i].rate) }

func (w *World) budgetKey() quota.Key {
	if w.setup.ConcurrencyLimit {
		return quota.Key{Budget: "b", Key: target}
	}
	return fleetKey
}

func (w *World) start(i int) {
	p := &w.processes[i]
	p.starts++
	p.id = fmt.Sprintf("p%d.%d", i, p.starts)
	p.client = quotaclient.New([]quota.Resource{quota.AllWork, quota.Connections})
}

func (w *World) join(i int, answerArrives bool) bool {
	p := &w.processes[i]
	if p.client.MemberID() == p.id { // its session of this id has ended
		p.starts++
		p.id = fmt.Sprintf("p%d.%d", i, p.starts)
	}
	w.index++
	m, err := w.registry.Join(w.index, quota.Member{ID: p.id, Name: p.id, Weight: 1})
	if err == nil && answerArrives {
		p.client.Register(w.clock(i), m.ID, w.registry.QuotaConfig)
	}
	return err == nil
}

// updateLeader passes the registry's state to the current leader. A replaced leader gets no updates.
func (w *World) updateLeader() {
	l := w.Leader()
	l.State.Update(localTime(w.now, l.Rate), w.registry.QuotaConfig, w.registry.Members)
}

// Steps returns the steps that are possible next, in a fixed order.
func (w *World) Steps() []Step {
	steps := []Step{{Tick, 0}}
	for _, op := range w.setup.Ops {
		switch op {
		case Elect:
			if int(w.Term) <= w.setup.Elections {
				steps = append(steps, Step{op, 0})
			}
		case Shrink, Reshape:
			if w.registry.QuotaConfig.Budgets[0].Capacity == initialCapacity {
				steps = append(steps, Step{op, 0})
			}
		case ExpireSessions:
			steps = append(steps, Step{op, 0})
		case Deliver, DeliverAgain:
			for _, on := range w.Deliveries() {
				steps = append(steps, Step{op, on})
			}
		case StartRound, MajorityAnswers, FinishRound, RoundAtOnce:
			for _, on := range w.PossibleSteps(roundSteps[op]) {
				steps = append(steps, Step{op, on})
			}
		default:
			for i := range w.processes {
				registered := w.processes[i].client.Registered(w.clock(i))
				if op == Renew && len(w.InTransit) >= w.setup.MaxInTransit || op != Join && op != JoinAnswerLost && op != Restart && !registered || (op == Join || op == JoinAnswerLost) && registered {
					continue
				}
				steps = append(steps, Step{op, i})
			}
		}
	}
	return steps
}

// Do takes a step and checks the invariants. The step must be one of Steps.
func (w *World) Do(s Step) error {
	switch s.Op {
	case Tick:
		w.advance()
	case Elect:
		rate := w.NextRate(w.setup.LeaderRates)
		w.Elect(rate, allocator.New(localTime(w.now, rate), w.registry.QuotaConfig, w.registry.Members))
	case Renew:
		req := w.processes[s.On].client.BeginRenewal(w.clock(s.On))
		w.InTransit = append(w.InTransit, message{to: s.On, request: &req})
	case Deliver, DeliverAgain:
		if m, l := w.Receive(s.On, s.Op == DeliverAgain); l == nil {
			w.processes[m.to].client.AcceptRenewal(w.clock(m.to), *m.response)
		} else {
			w.decide(l, m)
		}
	case StartRound, MajorityAnswers, FinishRound, RoundAtOnce:
		w.Step(roundSteps[s.Op], s.On)
	case RenewAtOnce:
		w.renewAtOnce(s.On)
	case Use:
		if err := w.use(s.On); err != nil {
			return err
		}
	case Shrink, Reshape:
		w.index++
		w.previousConfig = w.registry.Clone().QuotaConfig
		next := quotaConfig(w.setup, reducedCapacity, reducedBurst)
		if s.Op == Reshape {
			next = quotaConfig(w.setup, increasedCapacity, increasedBurst)
		}
		if err := w.registry.SetQuotaConfig(w.index, next); err != nil {
			return err
		}
		// The previous limit may be used until all allocations made under it have ended, by the slowest clocks.
		w.previousUntil = w.now + 2*allocationTTLMs*time.Millisecond + 2*linger
		w.updateLeader()
	case Join, JoinAnswerLost:
		p, l := &w.processes[s.On], w.Leader()
		if err := l.State.Admit(localTime(w.now, l.Rate), quota.Member{ID: p.id, Name: p.id}); errors.Is(err, quota.ErrUnknownMember) {
			w.start(s.On)
		} else if err == nil && w.join(s.On, s.Op == Join) {
			w.updateLeader()
		}
	case Leave:
		p := &w.processes[s.On]
		id := p.client.MemberID()
		for p.client.OpenConnections() > 0 {
			p.client.CloseConnection(target)
		}
		p.client.Leave()
		w.registry.Leave(id)
		w.start(s.On)
		w.updateLeader()
	case ExpireSessions:
		l := w.Leader()
		w.registry.Leave(l.State.Expire(localTime(w.now, l.Rate))...)
		w.updateLeader()
	case CrashWithConnections:
		// linger_ms counts from the end of the allocation, which a crash doesn't defer.
		p, since := &w.processes[s.On], time.Duration(0)
		if ended := p.client.AllocationsEnd(); ended <= w.clock(s.On) {
			since = localTime(w.clock(s.On)-ended, 1/p.rate)
		}
		w.deadConnections = append(w.deadConnections, deadConnections{p.client.OpenConnections(), w.now - since + linger})
		w.start(s.On)
	case Restart:
		w.start(s.On) // the kernel closes its connections; its session lasts
	}
	return w.check()
}

// advance lets time pass. Processes close connections in excess of their limit half the linger time after it ended.
func (w *World) advance() {
	w.now += time.Duration(w.setup.TickMs) * time.Millisecond
	w.bucketLevel = max(0, w.bucketLevel-w.currentRate()*float64(w.setup.TickMs)/1000)
	if !w.setup.ConcurrencyLimit {
		return
	}
	for i := range w.processes {
		p := &w.processes[i]
		n := p.client.ExcessConnections(w.clock(i), target)
		ended := time.Duration(0) // by its clock: the latest end of its allocation or session that has passed
		for _, at := range []time.Duration{p.client.AllocationsEnd(), p.client.SessionEnd()} {
			if at <= w.clock(i) {
				ended = max(ended, at)
			}
		}
		if w.now-localTime(ended, 1/p.rate) < linger/2 {
			continue // attempts in progress keep their connections
		}
		for range n {
			p.client.CloseConnection(target)
		}
	}
}

// decide has a leader process a renewal request. The response waits until a majority has confirmed the leader's term.
func (w *World) decide(l *leader, m message) {
	resp, err := l.State.Renew(localTime(w.now, l.Rate), *m.request)
	if err == nil {
		l.AwaitConfirmation(message{to: m.to, response: &resp, round: l.Round()})
	}
}

// renewAtOnce does a whole renewal with the current leader, without any delay.
func (w *World) renewAtOnce(i int) {
	l := w.Leader()
	if l.Round() != 0 {
		return // a round is in progress
	}
	p := &w.processes[i]
	req := p.client.BeginRenewal(w.clock(i))
	w.decide(l, message{to: i, request: &req})
	for _, m := range w.ConfirmNow(l) {
		w.processes[m.to].client.AcceptRenewal(w.clock(m.to), *m.response)
	}
}

// use has a process use all that its allocation permits now, and checks the sum of all uses against rate and burst.
func (w *World) use(i int) error {
	p, now := &w.processes[i], w.clock(i)
	if w.setup.ConcurrencyLimit {
		for p.client.OpenConnection(now, target) {
		}
		return nil
	}
	var units float64
	p.client.Wait(now, quota.Reservation{Resource: quota.AllWork, Units: 1e-6}) // from now on the client has a bucket for this budget
	for _, s := range p.client.Status(now) {
		units = s.Tokens
	}
	if units <= 0 {
		return nil
	}
	if wait, _ := p.client.Wait(now, quota.Reservation{Resource: quota.AllWork, Units: units}); wait > 0 {
		return nil
	}
	p.client.Reserve(now, quota.Reservation{Resource: quota.AllWork, Units: units})
	w.bucketLevel += units
	limit := w.maxBurst()
	if w.bucketLevel > limit+1e-6 {
		return fmt.Errorf("broken: the uses of a window exceed the rate by %.4f units, limit %.4f", w.bucketLevel, limit)
	}
	return nil
}

// currentLimit returns the limit in force. After a change it is the larger of the new and the previous limit, for as long
// as allocations under the previous one may last.
func (w *World) currentLimit() quota.Amount {
	t := w.registry.QuotaConfig.EffectiveLimit(&w.registry.QuotaConfig.Budgets[0])
	if w.now < w.previousUntil {
		b := w.previousConfig.EffectiveLimit(&w.previousConfig.Budgets[0])
		t = quota.Amount{Rate: max(t.Rate, b.Rate), Burst: max(t.Burst, b.Burst)}
	}
	return t
}

// currentRate returns the rate in force by true time, after a change the larger one as in currentLimit.
func (w *World) currentRate() float64 {
	capacity := w.registry.QuotaConfig.Budgets[0].Capacity
	if w.now < w.previousUntil {
		capacity = max(capacity, w.previousConfig.Budgets[0].Capacity)
	}
	return capacity
}

// maxBurst returns by how many units the uses of a window that ends now may exceed the rate. The window may have begun
// before a change.
func (w *World) maxBurst() float64 {
	b := w.currentLimit().Burst
	if w.previousUntil != 0 {
		b = max(b, w.previousConfig.EffectiveLimit(&w.previousConfig.Budgets[0]).Burst)
	}
	return b
}

// check compares what all processes together may use now with the limit, and the number of members with MaxSessions.
func (w *World) check() error {
	var sum quota.Amount
	for i := range w.processes {
		p := &w.processes[i]
		a := p.client.Limit(w.clock(i), w.budgetKey())
		if w.setup.ConcurrencyLimit {
			a.Rate = max(a.Rate, float64(p.client.OpenConnections()))
		} else {
			a.Rate *= p.rate // by true time
		}
		sum.Rate += a.Rate
		sum.Burst += a.Burst
	}
	for _, dead := range w.deadConnections {
		if w.now < dead.until {
			sum.Rate += float64(dead.n)
		}
	}
	total := w.currentLimit()
	if rate := w.currentRate(); sum.Rate > rate+1e-6 {
		return fmt.Errorf("broken: rates sum to %.4f, limit %.4f", sum.Rate, rate)
	}
	if sum.Burst > total.Burst+1e-6 {
		return fmt.Errorf("broken: bursts sum to %.4f, limit %.4f", sum.Burst, total.Burst)
	}
	if len(w.registry.Members) > w.registry.QuotaConfig.MaxSessions {
		return fmt.Errorf("broken: %d members, at most %d sessions", len(w.registry.Members), w.registry.QuotaConfig.MaxSessions)
	}
	return nil
}

// Settle ends all faults: processes without a session join, and all renew in time. It returns the share of the limit that
// is allocated in the end.
func (w *World) Settle() (float64, error) {
	w.InTransit = nil
	l := w.Leader()
	w.AbandonRound(l)
	for range 4 * sessionTTLS * 1000 / 150 {
		w.now += 150 * time.Millisecond
		w.bucketLevel = max(0, w.bucketLevel-w.currentRate()*0.15)
		if w.setup.ConcurrencyLimit {
			w.advance()
		}
		if err := w.Do(Step{ExpireSessions, 0}); err != nil {
			return 0, err
		}
		for i := range w.processes {
			op := RenewAtOnce
			if !w.processes[i].client.Registered(w.clock(i)) {
				op = Join
			}
			if err := w.Do(Step{op, i}); err != nil {
				return 0, err
			}
			if w.setup.ConcurrencyLimit { // a client requests connections only while it needs them
				w.processes[i].client.OpenConnection(w.clock(i), target)
			}
		}
	}
	sum := 0.0
	for i := range w.processes {
		sum += w.processes[i].client.Limit(w.clock(i), w.budgetKey()).Rate
	}
	c := w.registry.QuotaConfig
	free := float64(c.MaxSessions-min(c.MaxSessions, len(w.processes))) * floorRate
	return (sum + free) / c.EffectiveLimit(&c.Budgets[0]).Rate, nil
}

// Print implements explore.World.
func (w *World) Print() string {
	b := fmt.Appendf(nil, "%d %d %.6f %v %v %v\n", w.now, w.Term, w.bucketLevel, w.previousUntil, w.registry, w.deadConnections)
	for _, p := range w.processes {
		b = fmt.Appendf(b, "%+v\n", *p.client)
	}
	return string(w.Group.Print(b))
}
