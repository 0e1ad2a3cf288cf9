// Package core drives the decision module on a real clock. It owns every request from the moment a front
// hands it over until its one final answer, and it knows no wire: fronts and upstreams meet it through Job,
// Answer, Attempt and Result, whose payloads it passes on unread.
package core

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/mailbox"
)

// Ending says how a request ended.
type Ending int

const (
	// Served carries the target's answer.
	Served Ending = iota
	// Refused tells the client that trying again is harmless.
	Refused
	// Failed makes no promise about the effect.
	Failed
	// Conflict tells that a request of the same name is open, or was sent not long ago and may have run.
	Conflict
)

// Discarder is a payload of a served request that holds something until it is read or discarded.
type Discarder interface{ Discard() }

// Discard lets go of an answer that nobody takes.
func (a Answer) Discard() {
	if d, ok := a.Payload.(Discarder); ok {
		d.Discard()
	}
}

// Answer is the one final answer of a request.
type Answer struct {
	Ending     Ending
	Payload    any                // of a served request: what the upstream brought
	RetryAfter time.Duration      // of a refusal: when the client should come back; 0: no advice
	Last       policy.OutcomeCode // how the last attempt ended, if there was one
	Written    func()             // to be called once it is with the client; nil: nobody asks
}

// TooMany refuses what a front cannot take in for want of room: nothing of it has reached the module.
var TooMany = Answer{Ending: Refused, RetryAfter: time.Second}

// Leave is how a front leaves, from SIGTERM on.
type Leave struct {
	Linger time.Duration // new connections are taken: one that the machine has accepted but nobody has read from would be lost
	Serve  time.Duration // it goes on with what comes on connections that it has: their clients know no other way
	Answer time.Duration // what was taken after Linger has its answer, so that the successor need not wait
	Handed bool          // a successor takes clients at the same socket: none of the above is needed, but for the answers
}

// LeaveWithin is how to leave where a client waits so long at most. Clients come for 0.4 s. The process is killed once that
// long and 0.7 s are over, or 3.7 s; the successor is up then at the earliest, and without these connections clients would
// go without until then.
func LeaveWithin(longest time.Duration) Leave {
	const linger = 450 * time.Millisecond
	killed := min(longest, 3*time.Second) + 700*time.Millisecond
	return Leave{Linger: linger, Serve: max(killed-400*time.Millisecond, linger), Answer: killed - 100*time.Millisecond}
}

// Pause waits until then, or until the context ends.
func Pause(ctx context.Context, until time.Time) {
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}

// Cut shortens a patience so that the answer is there in time, for a request taken after Linger; left is the moment of
// SIGTERM, nil before it.
func (l Leave) Cut(patience time.Duration, arrived time.Time, left *time.Time) time.Duration {
	if left == nil {
		return patience
	}
	since := arrived.Sub(*left)
	if since <= l.Linger {
		return patience
	}
	return max(min(patience, l.Answer-since), 0)
}

// Job is a request as a front hands it over. ID and Budget are the core's to fill.
type Job struct {
	policy.Request
	Name     string        // the client's own for it, one of a kind; may be empty
	Arrived  time.Time     // when its last byte was here
	Patience time.Duration // how long the client waits from then on
	Payload  any           // for the upstream
	Done     func(Answer)  // called once, from the core's goroutine: must not wait
	left     atomic.Bool   // its client is gone: known at once, whatever the core has to do before it hears of it
}

// Attempt is one try of a request at a target.
type Attempt struct {
	Request string
	Number  int
	Node    string
	Until   time.Time // given up then
	Payload any
	OnSent  func() // nil: nobody asks
	Permit  policy.Permit
	Before  time.Time    // its bytes may leave until then; zero: until it is given up
	Left    *atomic.Bool // its client has left; nil: nobody would know
}

// Allowed tells, just before the first byte, whether the attempt may still be made: however long it waited for its connection.
func (a *Attempt) Allowed() bool {
	return (a.Left == nil || !a.Left.Load()) && time.Now().Before(a.WriteBy()) && (a.Permit == nil || a.Permit.Valid())
}

// WriteBy is until when its bytes may leave.
func (a *Attempt) WriteBy() time.Time {
	if !a.Before.IsZero() && a.Before.Before(a.Until) {
		return a.Before
	}
	return a.Until
}

// Sent is to be called by whoever carries the attempt out, once its last byte is written: from then on it may run.
func (a *Attempt) Sent() {
	if a.OnSent != nil {
		a.OnSent()
	}
}

// Result ends an attempt. By the time it is handed over, nothing of the attempt may be on its way any more.
type Result struct {
	Request string
	Number  int
	Node    string
	Code    policy.OutcomeCode
	Load    *policy.Load
	Used    int
	Began   time.Time // when the attempt's first byte was written; zero: never
	Payload any
}

// Observer is told what becomes of requests, from the core's goroutine and in order of time but for Begin, which is told
// with the answer. Served is told with a request's final answer, if a target made it. It decides nothing.
type Observer interface {
	Arrive(at time.Duration, r policy.Request)
	Release(at time.Duration, id, node string, ahead time.Duration, sent bool)
	Begin(at time.Duration, id string)
	Answer(at time.Duration, id string, alive bool)
	Served(id string)
	End(at time.Duration, id string)
}

// Upstream carries attempts out. Neither call may wait. Exactly one Result follows each Send, also after a
// Cancel, which may come too late to change it.
type Upstream interface {
	Send(Attempt)
	Cancel(node, request string)
}

// Clock maps the process's monotone clock onto the module's: Unix time as read once at the start, since
// the list tells starts of targets in Unix time, and steps of the wall clock must not move deadlines.
type Clock struct{ base time.Time }

// NewClock reads the wall clock, for the only time.
func NewClock() Clock { return Clock{time.Now()} }

// At returns the module's time for t.
func (c Clock) At(t time.Time) time.Duration {
	return time.Duration(c.base.UnixNano()) + t.Sub(c.base)
}

// Options are the core's bounds.
type Options struct {
	MostHeld int            // requests open at a time, at first
	Margin   time.Duration  // an answer must be written this long before the client leaves
	NamesFor time.Duration  // how long, at least, and at first, the name of a request that may have run stays taken
	Observer Observer       // nil: none
	Avoided  func(int)      // told now and then how many listed targets the module avoids; nil: nobody asks
	Avoids   func([]string) // told with it which those are that are listed as up; nil: nobody asks
}

// Core is the module's actor.
type Core struct {
	module   *policy.Scheduler
	up       Upstream
	clock    Clock
	opt      Options
	box      *mailbox.Box[any]
	open     map[string]*entry
	held     atomic.Int64
	mostHeld atomic.Int64
	ended    atomic.Bool // nobody reads the box any more
	seq      uint64
	routes   []routed
	adopted  []chan<- struct{}
	timerAt  time.Time          // zero: none
	named    map[string]bool    // of open requests
	ran      [2]map[string]bool // of finished ones that may have run, lately and before
	ranAt    time.Time
	events   []policy.Event
	lists    []policy.Event
	lastStep time.Duration
	lastSeen time.Duration
	toldAt   time.Time // when Avoided was last called
}

// entry is one request's record; it goes when it is answered and nothing of it is out.
type entry struct {
	job      *Job
	attempts int
	out      bool
	node     string
	sentAt   time.Time
	last     policy.OutcomeCode
	answered bool
	mayRun   bool
}

// tellEvery is how often, at most, the module is asked which targets it avoids.
const tellEvery = 100 * time.Millisecond

// mostNames bounds the names of requests that may have run, of which twice as many are kept: past it the oldest are let go early.
const mostNames = 1 << 16

type submitted struct{ job *Job }

// routed asks where a body may go ahead of its request.
type routed struct {
	shard int
	reply func(node string)
}

// adopt hands over other settings.
type adopt struct {
	set      policy.Settings
	namesFor time.Duration
	done     chan<- struct{}
}

// written tells that a request's answer is with its client.
type written struct {
	id string
	at time.Time
}

// New returns a core; Run starts it.
func New(m *policy.Scheduler, up Upstream, clock Clock, opt Options) *Core {
	c := &Core{module: m, up: up, clock: clock, opt: opt, box: mailbox.New[any](), open: map[string]*entry{},
		named: map[string]bool{}, ran: [2]map[string]bool{{}, {}}}
	c.mostHeld.Store(int64(opt.MostHeld))
	return c
}

// Submit hands a request over. It returns false when too many are open; then Done is not called.
func (c *Core) Submit(j *Job) bool {
	if n, most := c.held.Add(1), c.mostHeld.Load(); most > 0 && n > most {
		c.held.Add(-1)
		return false
	}
	c.box.Put(submitted{j})
	return true
}

// Depart tells that the job's client is gone. Its Done may still be called, if the answer came first.
func (c *Core) Depart(j *Job) {
	j.left.Store(true)
	c.box.Put(j)
}

// Route asks the module which node a request for the shard would go to now, so that a body that cannot be held here may
// go there ahead of it. The reply, empty where there is none, comes from the core's goroutine and must not wait.
func (c *Core) Route(shard int, reply func(node string)) { c.box.Put(routed{shard, reply}) }

// Report hands over the end of an attempt.
func (c *Core) Report(r Result) {
	if c.box.Put(r); c.ended.Load() {
		c.discard()
	}
}

// discard lets go of answers that came at the end or after it, which nobody takes any more.
func (c *Core) discard() {
	for _, m := range c.box.Take(nil) {
		if r, ok := m.(Result); ok {
			Answer{Payload: r.Payload}.Discard()
		}
	}
}

// List hands over news of the targets.
func (c *Core) List(l policy.EndpointList) { c.box.Put(l) }

// Share tells the module how many processes act for this initiator.
func (c *Core) Share(parts int) { c.box.Put(policy.ProcessCount{Processes: parts}) }

// Adopt has the module take over other settings, in turn with what is submitted before and after. MostHeld holds at once; names are kept for
// the longest time that was ever asked for, since they were promised by it. Done is closed once the module goes by the settings; a core that has
// ended closes it no more.
func (c *Core) Adopt(set policy.Settings, mostHeld int, namesFor time.Duration) (done <-chan struct{}) {
	c.mostHeld.Store(int64(mostHeld))
	in := make(chan struct{})
	c.box.Put(adopt{set, namesFor, in})
	return in
}

// Rationed tells the module that its part of the fleet's wholes has changed.
func (c *Core) Rationed() { c.box.Put(policy.QuotaChanged{}) }

// Watched tells the module what another member of the fleet found out about a node.
func (c *Core) Watched(w policy.ProbeResult) { c.box.Put(w) }

// Inspect has f called from the core's goroutine, between two steps.
func (c *Core) Inspect(f func()) { c.box.Put(f) }

// Open tells how many requests are not finished with.
func (c *Core) Open() int { return int(c.held.Load()) }

// Run steps the module until the context ends. It is the only goroutine that touches it.
func (c *Core) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []any
	for {
		select {
		case <-ctx.Done():
			c.ended.Store(true)
			c.discard()
			return
		case <-c.box.Wake():
		case <-timer.C:
		}
		msgs := c.box.Take(spare)
		c.step(time.Now(), msgs)
		spare = msgs
		if !c.timerAt.IsZero() {
			timer.Reset(time.Until(c.timerAt))
		}
	}
}

// step gives the module what has come in and carries out what it decides.
func (c *Core) step(now time.Time, msgs []any) {
	events := c.gather(now, msgs)
	if len(events) > 0 {
		c.decide(now, events)
	}
	for _, done := range c.adopted {
		close(done)
	}
	clear(c.adopted)
	c.adopted = c.adopted[:0]
	for _, r := range c.routes { // once news of the list has been heard
		r.reply(c.module.EndpointFor(r.shard))
	}
	clear(c.routes)
	c.routes = c.routes[:0]
}

func (c *Core) decide(now time.Time, events []policy.Event) {
	// The module's clock never goes back, whatever the platform's does.
	c.lastStep = max(c.lastStep, c.clock.At(now))
	for _, a := range c.module.Step(c.lastStep, events) {
		c.act(now, a)
	}
	if c.opt.Avoided != nil && now.Sub(c.toldAt) >= tellEvery {
		c.toldAt = now
		c.opt.Avoided(c.module.EjectedCount())
		if c.opt.Avoids != nil {
			c.opt.Avoids(c.module.EjectedEndpoints())
		}
	}
}

// gather turns what has come in into one batch of events, news of the list ahead of all else.
func (c *Core) gather(now time.Time, msgs []any) []policy.Event {
	c.events, c.lists = c.events[:0], c.lists[:0]
	for _, m := range msgs {
		switch m := m.(type) {
		case submitted:
			c.take(now, m.job)
		case *Job:
			c.depart(now, m)
		case Result:
			c.result(now, m)
		case written:
			c.opt.Observer.End(c.observed(m.at), m.id)
		case policy.ProcessCount, policy.QuotaChanged, policy.ProbeResult:
			c.events = append(c.events, m.(policy.Event))
		case adopt:
			c.events = append(c.events, m.set)
			c.opt.NamesFor = max(c.opt.NamesFor, m.namesFor)
			c.adopted = append(c.adopted, m.done)
		case routed:
			c.routes = append(c.routes, m)
		case func():
			m()
		case policy.EndpointList:
			// Ahead of all else in the batch: no send is decided on a list older than the one at hand.
			c.lists = append(c.lists, m)
		}
	}
	if !c.timerAt.IsZero() && !now.Before(c.timerAt) {
		c.timerAt = time.Time{}
		c.events = append(c.events, policy.TimerFired{})
	}
	return append(c.lists, c.events...)
}

func (c *Core) take(now time.Time, j *Job) {
	if j.Name != "" {
		// Targets know requests by these names: one sent under the name of another that is open would be its second
		// copy. An honest repeat, of a request that was never read here, meets neither.
		if c.named[j.Name] || c.ran[0][j.Name] || c.ran[1][j.Name] {
			c.held.Add(-1)
			j.Done(Answer{Ending: Conflict})
			return
		}
		c.named[j.Name] = true
	}
	c.seq++
	j.ID = strconv.FormatUint(c.seq, 10)
	// The client's time runs from the arrival, and the answer has to be out before it ends.
	j.TimeLeft = j.Patience - now.Sub(j.Arrived) - c.opt.Margin
	c.open[j.ID] = &entry{job: j}
	if o := c.opt.Observer; o != nil {
		o.Arrive(c.observed(now), j.Request)
	}
	c.events = append(c.events, j.Request)
}

func (c *Core) depart(now time.Time, j *Job) {
	if e := c.open[j.ID]; e != nil && e.job == j && !e.answered {
		e.answered = true
		if e.out {
			c.up.Cancel(e.node, j.ID) // no one is left to answer
		}
		c.events = append(c.events, policy.ClientGone{ID: j.ID})
		c.tidy(j.ID, e)
	}
	if o := c.opt.Observer; o != nil {
		o.End(c.observed(now), j.ID) // also where an answer was given that nobody took
	}
}

// observed is the time told to the observer: in the order in which it is told, whatever the threads' clocks say.
func (c *Core) observed(t time.Time) time.Duration {
	c.lastSeen = max(c.lastSeen, c.clock.At(t))
	return c.lastSeen
}

func (c *Core) result(now time.Time, r Result) {
	e := c.open[r.Request]
	if e == nil || !e.out || r.Number != e.attempts-1 {
		Answer{Payload: r.Payload}.Discard()
		return
	}
	if o := c.opt.Observer; o != nil {
		if !r.Began.IsZero() {
			o.Begin(c.clock.At(r.Began), r.Request) // it lies back, among what others were told of since
		}
		o.Answer(c.observed(now), r.Request, r.Code == policy.Served || r.Code == policy.AnsweredError || r.Code == policy.Rejected)
	}
	e.out, e.last = false, r.Code
	e.mayRun = e.mayRun || r.Code.MayHaveRun()
	if r.Code == policy.Served {
		if o := c.opt.Observer; o != nil && !e.answered {
			o.Served(r.Request)
		}
		c.answer(e, Answer{Ending: Served, Payload: r.Payload})
	}
	c.events = append(c.events, policy.Outcome{ID: r.Request, Attempt: r.Number, Endpoint: r.Node, Code: r.Code,
		Latency: now.Sub(e.sentAt), Final: e.answered, Load: r.Load, VolumeUsage: r.Used})
	c.tidy(r.Request, e)
	if now.Sub(c.ranAt) > c.opt.NamesFor || len(c.ran[0]) >= mostNames {
		c.ran[0], c.ran[1], c.ranAt = map[string]bool{}, c.ran[0], now
	}
}

func (c *Core) act(now time.Time, a policy.Action) {
	e := c.open[a.Request]
	switch a.Kind {
	case policy.SetTimer:
		if at := now.Add(a.Wait); c.timerAt.IsZero() || at.Before(c.timerAt) {
			c.timerAt = at
		}
		return
	case policy.Subscribe, policy.Log:
		return // the list is always watched
	}
	if e == nil || e.answered || e.out {
		return
	}
	if o := c.opt.Observer; o != nil {
		o.Release(c.observed(now), a.Request, a.Endpoint, a.StartTagWait, a.Kind == policy.Send)
	}
	switch a.Kind {
	case policy.Send:
		e.out, e.node, e.sentAt = true, a.Endpoint, now
		e.attempts++
		next := Attempt{Request: a.Request, Number: e.attempts - 1, Node: a.Endpoint,
			Until: now.Add(a.Wait), Payload: e.job.Payload, Permit: a.Permit, Left: &e.job.left}
		if a.SendWithin > 0 {
			next.Before = now.Add(a.SendWithin)
		}
		c.up.Send(next)
	case policy.Reject:
		c.answer(e, Answer{Ending: Refused, RetryAfter: a.Wait})
		c.tidy(a.Request, e)
	case policy.Fail:
		c.answer(e, Answer{Ending: Failed})
		c.tidy(a.Request, e)
	}
}

// answer gives the final answer, once.
func (c *Core) answer(e *entry, a Answer) {
	if e.answered {
		a.Discard()
		return
	}
	e.answered = true
	a.Last = e.last
	if c.opt.Observer != nil {
		id := e.job.ID
		a.Written = func() { c.box.Put(written{id, time.Now()}) }
	}
	e.job.Done(a)
}

func (c *Core) tidy(id string, e *entry) {
	if e.answered && !e.out {
		delete(c.open, id)
		c.held.Add(-1)
		if e.job.Name != "" {
			delete(c.named, e.job.Name)
			if e.mayRun {
				c.ran[0][e.job.Name] = true
			}
		}
	}
}
