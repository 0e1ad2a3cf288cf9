// Package modelcheck holds the fleet's machines against each other: the real register, givers, desks and holders, with a network that
// delays, repeats, loses and reorders, clocks at both ends of their bound, processes that pause between any two steps and
// leaders that are replaced while they believe to lead. After each step it sums what all processes could use. It does no I/O.
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
	Tick     Op = iota // time goes on
	Elect              // another agent begins to lead; the one before doesn't know
	Renew              // a process begins a renewal and sends it
	Deliver            // a message arrives
	Repeat             // a message arrives, and will again
	Ask                // a leader asks a majority for their terms
	Told               // the majority answers
	Heard              // the answer to that arrives
	Exchange           // a renewal and its answer without anything in between
	Finish             // a leader asks, and hears at once
	Use                // a process uses all that it may
	Shrink             // the whole is made smaller
	Reshape            // the rate is made larger and the burst smaller
	Join               // a process without a seat asks for one
	Unheard            // the same, and the answer is lost
	Quit               // a process leaves in order
	Sweep              // the leader takes back the seats that have ended
	Reboot             // a process dies and is started again
	Vanish             // the same, and its connections stay open at the target for as long as they may
	ops
)

func (o Op) String() string {
	return [...]string{"tick", "elect", "renew", "deliver", "repeat", "ask", "told", "heard", "exchange", "finish", "use", "shrink", "reshape", "join",
		"unheard", "quit", "sweep", "reboot", "vanish"}[o]
}

// Step is an op on the process, message or leader of that number.
type Step struct {
	Op Op
	On int
}

func (s Step) String() string { return fmt.Sprintf("%v %d", s.Op, s.On) }

// Setup is a small case.
type Setup struct {
	Name      string
	Processes int
	Seats     int
	Rates     []float64 // of the processes' clocks, against true time
	Leads     []float64 // of the agents' clocks, in the order in which they lead
	Elections int       // at most
	Letters   int       // on their way at a time, at most
	Stock     bool      // connections at a target, else a rate
	Ops       []Op      // beside Tick
	TickMs    int
	Joined    int // processes that have a seat at the beginning
	Before    []Step
	Fresh     bool // the first leader has just begun; else its wait is over
}

// Bounds of the small cases: parts of a second and clocks a tenth off, so that what is wrong shows within few steps.
const (
	partMs  = 1000
	seatS   = 2
	ppm     = 100_000
	least   = 1
	linger  = 200 * time.Millisecond
	target  = "t"
	wholeAt = 12 // at the beginning, with a depth of
	depthAt = 6
	smaller = 8
	larger  = 16
)

// Depths after a change.
const (
	depthSmaller = 4.0
	depthLarger  = 4.5
)

type process struct {
	h    *quotaclient.Client
	rate float64
	id   string
	born int
}

type lead = leaders.Lead[*allocator.Allocator, letter]

// ghost is connections of a dead process that are open at the target still.
type ghost struct {
	n     int
	until time.Duration // true time
}

type letter struct {
	to      int // a process, for an answer
	renewal *quota.RenewalRequest
	answer  *quota.RenewalResponse
	during  uint64 // the question that was out when it was decided
}

// Asks implements leaders.Letter.
func (m letter) Asks() bool { return m.renewal != nil }

// Print implements leaders.Letter.
func (m letter) Print(b []byte) []byte {
	if m.renewal != nil {
		return fmt.Appendf(b, "%d>%+v\n", m.to, *m.renewal)
	}
	return fmt.Appendf(b, "%d %d<%s %d %+v\n", m.during, m.to, m.answer.ID, m.answer.Seq, m.answer.Allocations)
}

// questions are the steps of a leader's question.
var questions = map[Op]leaders.Question{Ask: leaders.Ask, Told: leaders.Told, Heard: leaders.Heard, Finish: leaders.Finish}

// World is one state of a small case.
type World struct {
	set   Setup
	now   time.Duration
	reg   registry.Registry
	index uint64
	procs []process
	leaders.Group[*allocator.Allocator, letter]
	level  float64       // of a bucket that takes all uses, filled at the whole's rate
	ghosts []ghost       // of processes that died
	before quota.Config  // the set of budgets before the one that holds
	until  time.Duration // until then that one may be met
}

var key = quota.Key{Budget: "b"}

func document(s Setup, whole, depth float64) quota.Config {
	b := quota.Budget{Name: "b", Resource: quota.AllWork, Scope: quota.PerFleet, Kind: "rate", Capacity: whole, Burst: whole*quota.MaxTransit.Seconds() + depth,
		FloorRate: least, FloorBurst: 1}
	if s.Stock {
		b = quota.Budget{Name: "b", Resource: quota.Connections, Scope: quota.PerTarget, Kind: "stock", Capacity: whole, FloorRate: least,
			LingerMs: linger.Milliseconds()}
	}
	return quota.Config{MaxSessions: s.Seats, RenewIntervalMs: 100, AllocationTTLMs: partMs, SessionTTLS: seatS, ClockPPM: ppm, Budgets: []quota.Budget{b}}
}

// New returns the first state of a case.
func New(s Setup) (*World, error) {
	w := &World{set: s, index: 1, now: time.Hour}
	if err := w.reg.SetQuotaConfig(w.index, document(s, wholeAt, depthAt)); err != nil {
		return nil, err
	}
	for i := range s.Processes {
		w.procs = append(w.procs, process{rate: s.Rates[i%len(s.Rates)]})
		w.boot(i)
	}
	for i := range s.Joined {
		w.join(i, true)
	}
	began := w.now
	if !s.Fresh {
		began -= 10 * time.Second
	}
	rate := w.Rate(s.Leads)
	w.Elect(rate, allocator.New(scaled(began, rate), w.reg.QuotaConfig, nil))
	w.sync()
	for i, x := range s.Before {
		if err := w.Do(x); err != nil {
			return nil, explore.Broken(s.Name, s.Before[:i+1], err)
		}
	}
	return w, nil
}

func scaled(t time.Duration, rate float64) time.Duration { return leaders.Scaled(t, rate) }

func (w *World) clock(i int) time.Duration { return scaled(w.now, w.procs[i].rate) }

func (w *World) key() quota.Key {
	if w.set.Stock {
		return quota.Key{Budget: "b", Key: target}
	}
	return key
}

func (w *World) boot(i int) {
	p := &w.procs[i]
	p.born++
	p.id = fmt.Sprintf("p%d.%d", i, p.born)
	p.h = quotaclient.New([]quota.Resource{quota.AllWork, quota.Connections})
}

func (w *World) join(i int, heard bool) bool {
	p := &w.procs[i]
	if p.h.MemberID() == p.id { // it had a seat by this id, which has ended
		p.born++
		p.id = fmt.Sprintf("p%d.%d", i, p.born)
	}
	w.index++
	m, err := w.reg.Join(w.index, quota.Member{ID: p.id, Name: p.id, Weight: 1})
	if err == nil && heard {
		p.h.Register(w.clock(i), m.ID, w.reg.QuotaConfig)
	}
	return err == nil
}

// sync has the leader hear of the log. One that no longer leads hears nothing.
func (w *World) sync() {
	l := w.Lead()
	l.Book.Update(scaled(w.now, l.Rate), w.reg.QuotaConfig, w.reg.Members)
}

// Steps are all that can happen next, in a fixed order.
func (w *World) Steps() []Step {
	steps := []Step{{Tick, 0}}
	for _, op := range w.set.Ops {
		switch op {
		case Elect:
			if int(w.Term) <= w.set.Elections {
				steps = append(steps, Step{op, 0})
			}
		case Shrink, Reshape:
			if w.reg.QuotaConfig.Budgets[0].Capacity == wholeAt {
				steps = append(steps, Step{op, 0})
			}
		case Sweep:
			steps = append(steps, Step{op, 0})
		case Deliver, Repeat:
			for _, on := range w.Deliveries() {
				steps = append(steps, Step{op, on})
			}
		case Ask, Told, Heard, Finish:
			for _, on := range w.Can(questions[op]) {
				steps = append(steps, Step{op, on})
			}
		default:
			for i := range w.procs {
				seated := w.procs[i].h.Registered(w.clock(i))
				if op == Renew && len(w.Mail) >= w.set.Letters || op != Join && op != Unheard && op != Reboot && !seated || (op == Join || op == Unheard) && seated {
					continue
				}
				steps = append(steps, Step{op, i})
			}
		}
	}
	return steps
}

// Do takes a step and checks the promise. The step must be one of Steps.
func (w *World) Do(s Step) error {
	switch s.Op {
	case Tick:
		w.tick()
	case Elect:
		rate := w.Rate(w.set.Leads)
		w.Elect(rate, allocator.New(scaled(w.now, rate), w.reg.QuotaConfig, w.reg.Members))
	case Renew:
		r := w.procs[s.On].h.BeginRenewal(w.clock(s.On))
		w.Mail = append(w.Mail, letter{to: s.On, renewal: &r})
	case Deliver, Repeat:
		if m, l := w.Take(s.On, s.Op == Repeat); l == nil {
			w.procs[m.to].h.AcceptRenewal(w.clock(m.to), *m.answer)
		} else {
			w.decide(l, m)
		}
	case Ask, Told, Heard, Finish:
		w.Step(questions[s.Op], s.On)
	case Exchange:
		w.exchange(s.On)
	case Use:
		if err := w.use(s.On); err != nil {
			return err
		}
	case Shrink, Reshape:
		w.index++
		w.before = w.reg.Clone().QuotaConfig
		next := document(w.set, smaller, depthSmaller)
		if s.Op == Reshape {
			next = document(w.set, larger, depthLarger)
		}
		if err := w.reg.SetQuotaConfig(w.index, next); err != nil {
			return err
		}
		// In force once all that was given before has ended, by the slowest clocks.
		w.until = w.now + 2*partMs*time.Millisecond + 2*linger
		w.sync()
	case Join, Unheard:
		p, l := &w.procs[s.On], w.Lead()
		if err := l.Book.Admit(scaled(w.now, l.Rate), quota.Member{ID: p.id, Name: p.id}); errors.Is(err, quota.ErrUnknownMember) {
			w.boot(s.On)
		} else if err == nil && w.join(s.On, s.Op == Join) {
			w.sync()
		}
	case Quit:
		p := &w.procs[s.On]
		id := p.h.MemberID()
		for p.h.OpenConnections() > 0 {
			p.h.CloseConnection(target)
		}
		p.h.Leave()
		w.reg.Leave(id)
		w.boot(s.On)
		w.sync()
	case Sweep:
		l := w.Lead()
		w.reg.Leave(l.Book.Expire(scaled(w.now, l.Rate))...)
		w.sync()
	case Vanish:
		// linger_ms is from the end of the part on, which a death does not put off.
		p, since := &w.procs[s.On], time.Duration(0)
		if ended := p.h.AllocationsEnd(); ended <= w.clock(s.On) {
			since = scaled(w.clock(s.On)-ended, 1/p.rate)
		}
		w.ghosts = append(w.ghosts, ghost{p.h.OpenConnections(), w.now - since + linger})
		w.boot(s.On)
	case Reboot:
		w.boot(s.On) // the kernel closes its connections; its seat lasts
	}
	return w.check()
}

func (w *World) tick() {
	w.now += time.Duration(w.set.TickMs) * time.Millisecond
	w.level = max(0, w.level-w.whole()*float64(w.set.TickMs)/1000)
	if !w.set.Stock {
		return
	}
	for i := range w.procs {
		p := &w.procs[i]
		n := p.h.ExcessConnections(w.clock(i), target)
		ended := time.Duration(0) // by its clock, when what it had last ended
		for _, at := range []time.Duration{p.h.AllocationsEnd(), p.h.SessionEnd()} {
			if at <= w.clock(i) {
				ended = max(ended, at)
			}
		}
		if w.now-scaled(ended, 1/p.rate) < linger/2 {
			continue // an attempt goes on
		}
		for range n {
			p.h.CloseConnection(target)
		}
	}
}

// decide has a leader decide on a renewal; the answer waits for the majority.
func (w *World) decide(l *lead, m letter) {
	a, err := l.Book.Renew(scaled(w.now, l.Rate), *m.renewal)
	if err == nil {
		l.Put(letter{to: m.to, answer: &a, during: l.Round()})
	}
}

// exchange is a renewal at its best: nothing is late.
func (w *World) exchange(i int) {
	l := w.Lead()
	if l.Round() != 0 {
		return // a question is out
	}
	p := &w.procs[i]
	r := p.h.BeginRenewal(w.clock(i))
	w.decide(l, letter{to: i, renewal: &r})
	for _, m := range w.Now(l) {
		w.procs[m.to].h.AcceptRenewal(w.clock(m.to), *m.answer)
	}
}

// use has a process use all that it may now.
func (w *World) use(i int) error {
	p, now := &w.procs[i], w.clock(i)
	if w.set.Stock {
		for p.h.OpenConnection(now, target) {
		}
		return nil
	}
	var units float64
	p.h.Wait(now, quota.Reservation{Resource: quota.AllWork, Units: 1e-6}) // it is known from now on
	for _, x := range p.h.Status(now) {
		units = x.Tokens
	}
	if units <= 0 {
		return nil
	}
	if wait, _ := p.h.Wait(now, quota.Reservation{Resource: quota.AllWork, Units: units}); wait > 0 {
		return nil
	}
	p.h.Reserve(now, quota.Reservation{Resource: quota.AllWork, Units: units})
	w.level += units
	most := w.burst()
	if w.level > most+1e-6 {
		return fmt.Errorf("broken: a window sees %.4f units beyond the rate, of %.4f", w.level, most)
	}
	return nil
}

// total is what binds now; after a change also what did before, while what was given under it may last.
func (w *World) total() quota.Amount {
	t := w.reg.QuotaConfig.EffectiveLimit(&w.reg.QuotaConfig.Budgets[0])
	if w.now < w.until {
		b := w.before.EffectiveLimit(&w.before.Budgets[0])
		t = quota.Amount{Rate: max(t.Rate, b.Rate), Burst: max(t.Burst, b.Burst)}
	}
	return t
}

// whole is the rate that binds now, by true time.
func (w *World) whole() float64 {
	whole := w.reg.QuotaConfig.Budgets[0].Capacity
	if w.now < w.until {
		whole = max(whole, w.before.Budgets[0].Capacity)
	}
	return whole
}

// burst is how far a window that ends now may be over the rate. It may reach back to before a change.
func (w *World) burst() float64 {
	b := w.total().Burst
	if w.until != 0 {
		b = max(b, w.before.EffectiveLimit(&w.before.Budgets[0]).Burst)
	}
	return b
}

// check sums what all processes could use at this moment.
func (w *World) check() error {
	var sum quota.Amount
	for i := range w.procs {
		p := &w.procs[i]
		a := p.h.Limit(w.clock(i), w.key())
		if w.set.Stock {
			a.Rate = max(a.Rate, float64(p.h.OpenConnections()))
		} else {
			a.Rate *= p.rate // by true time
		}
		sum.Rate += a.Rate
		sum.Burst += a.Burst
	}
	for _, g := range w.ghosts {
		if w.now < g.until {
			sum.Rate += float64(g.n)
		}
	}
	total := w.total()
	if whole := w.whole(); sum.Rate > whole+1e-6 {
		return fmt.Errorf("broken: parts sum to %.4f of %.4f", sum.Rate, whole)
	}
	if sum.Burst > total.Burst+1e-6 {
		return fmt.Errorf("broken: bursts sum to %.4f of %.4f", sum.Burst, total.Burst)
	}
	if len(w.reg.Members) > w.reg.QuotaConfig.MaxSessions {
		return fmt.Errorf("broken: %d members on %d seats", len(w.reg.Members), w.reg.QuotaConfig.MaxSessions)
	}
	return nil
}

// Settle ends all faults: whoever has no seat joins, everyone renews in time. It tells what part of the whole is held in the end.
func (w *World) Settle() (float64, error) {
	w.Mail = nil
	l := w.Lead()
	w.Drain(l)
	for range 4 * seatS * 1000 / 150 {
		w.now += 150 * time.Millisecond
		w.level = max(0, w.level-w.whole()*0.15)
		if w.set.Stock {
			w.tick()
		}
		if err := w.Do(Step{Sweep, 0}); err != nil {
			return 0, err
		}
		for i := range w.procs {
			op := Exchange
			if !w.procs[i].h.Registered(w.clock(i)) {
				op = Join
			}
			if err := w.Do(Step{op, i}); err != nil {
				return 0, err
			}
			if w.set.Stock { // connections are asked for by need
				w.procs[i].h.OpenConnection(w.clock(i), target)
			}
		}
	}
	sum := 0.0
	for i := range w.procs {
		sum += w.procs[i].h.Limit(w.clock(i), w.key()).Rate
	}
	d := w.reg.QuotaConfig
	free := float64(d.MaxSessions-min(d.MaxSessions, len(w.procs))) * least
	return (sum + free) / d.EffectiveLimit(&d.Budgets[0]).Rate, nil
}

// Print is the state as text: equal states print alike.
func (w *World) Print() string {
	b := fmt.Appendf(nil, "%d %d %.6f %v %v %v\n", w.now, w.Term, w.level, w.until, w.reg, w.ghosts)
	for _, p := range w.procs {
		b = fmt.Appendf(b, "%+v\n", *p.h)
	}
	return string(w.Group.Print(b))
}
