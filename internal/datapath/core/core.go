// Package core drives the policy scheduler on a real clock. It owns every request from the moment a front
// submits it until its single final response, and it is independent of any wire protocol: fronts and upstreams
// use Job, Response, Attempt and Result, whose payloads the core passes on without looking at them.
package core

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/requestid"
	"spindlehitch/internal/observability/requestlog"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/mailbox"
)

// Status is how a request ended for its client. How a single attempt ended is a policy.OutcomeCode, whose Served and
// Rejected are a target's.
type Status int

const (
	// Served means that the response carries a target's answer.
	Served Status = iota
	// Rejected means that a retry by the client is harmless.
	Rejected
	// Failed means that the request may or may not have taken effect.
	Failed
	// Conflict means that a request with the same client request ID is open, or was sent recently and may have run.
	Conflict
)

func (s Status) String() string {
	return [...]string{"served", "rejected", "failed", "conflict"}[s]
}

// Discarder is a payload of a served request that holds resources until it is read to its end or discarded.
type Discarder interface{ Discard() }

// Discard releases the payload of a response that is not delivered.
func (r Response) Discard() {
	if d, ok := r.Payload.(Discarder); ok {
		d.Discard()
	}
}

// Response is the single final response to a request.
type Response struct {
	Status      Status
	Payload     any                // of a served request: the payload of its Result
	RetryAfter  time.Duration      // of a rejection: when the client should retry; 0: not stated
	LastOutcome policy.OutcomeCode // how the last attempt ended, if there was one
	OnWritten   func()             // to be called once the response is written to the client; nil: not needed
}

// ResponseMargin is how long before the client's timeout a response must be decided, so that it is written in time.
const ResponseMargin = 12 * time.Millisecond

// Overloaded rejects a request that a front has no capacity for; the scheduler has not seen it.
var Overloaded = Response{Status: Rejected, RetryAfter: time.Second}

// ShutdownSchedule is how long a front goes on after SIGTERM. All durations count from SIGTERM.
type ShutdownSchedule struct {
	AcceptFor     time.Duration // new connections are accepted: one that the kernel has accepted and the process has not would be lost
	ServeFor      time.Duration // requests on existing connections are served: their clients have no other connection to use
	RespondWithin time.Duration // requests that arrive after AcceptFor have their response, so that the successor need not wait
}

// NewShutdownSchedule returns the schedule for clients that wait at most longestTimeout. New clients arrive for 0.4 s after
// SIGTERM. The process is killed 0.7 s after longestTimeout, or after 3.7 s if that is earlier. The successor starts then at
// the earliest, so existing connections stay open until shortly before: without them clients would have no service until then.
func NewShutdownSchedule(longestTimeout time.Duration) ShutdownSchedule {
	const acceptFor = 450 * time.Millisecond
	killAfter := min(longestTimeout, 3*time.Second) + 700*time.Millisecond
	return ShutdownSchedule{AcceptFor: acceptFor, ServeFor: max(killAfter-400*time.Millisecond, acceptFor), RespondWithin: killAfter - 100*time.Millisecond}
}

// SleepUntil blocks until the given time, or until the context ends.
func SleepUntil(ctx context.Context, until time.Time) {
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}

// LimitTimeout shortens the timeout of a request that arrives after AcceptFor, so that its response is ready within
// RespondWithin. terminatedAt is the time of SIGTERM, nil before it.
func (s ShutdownSchedule) LimitTimeout(timeout time.Duration, arrived time.Time, terminatedAt *time.Time) time.Duration {
	if terminatedAt == nil {
		return timeout
	}
	elapsed := arrived.Sub(*terminatedAt)
	if elapsed <= s.AcceptFor {
		return timeout
	}
	return max(min(timeout, s.RespondWithin-elapsed), 0)
}

// Job is a request as submitted by a front. The core sets ID and TimeLeft.
type Job struct {
	policy.Request
	ClientRequestID    string         // the ID that the client gave it, unique to this request; may be empty
	Arrived            time.Time      // when its last byte was received
	Timeout            time.Duration  // how long the client waits, from Arrived
	Payload            any            // for the upstream
	Done               func(Response) // called at most once, from the core's goroutine; must not block
	clientDisconnected atomic.Bool    // set by Cancel at once, while the core's goroutine may still have to process the cancellation
}

// Attempt is one try of a request at a target.
type Attempt struct {
	RequestID          string
	Number             int
	Target             string
	Deadline           time.Time // abandoned at this time, unless an answer has begun
	AnswerBy           time.Time // an answer that has begun is abandoned at this time; zero: at Deadline
	Payload            any
	OnSent             func() // called by NotifySent; nil: not needed
	Permit             policy.Permit
	SendBefore         time.Time    // its bytes may be written until then; zero: until Deadline
	ClientDisconnected *atomic.Bool // set once the client has disconnected; nil: not tracked
}

// MaySend reports whether the attempt may still be made. It is checked just before the first byte is written, since the
// attempt may have waited for its connection for any length of time.
func (a *Attempt) MaySend() bool {
	return (a.ClientDisconnected == nil || !a.ClientDisconnected.Load()) && time.Now().Before(a.WriteDeadline()) && (a.Permit == nil || a.Permit.Valid())
}

// WriteDeadline returns the time until which the attempt's bytes may be written.
func (a *Attempt) WriteDeadline() time.Time {
	if !a.SendBefore.IsZero() && a.SendBefore.Before(a.Deadline) {
		return a.SendBefore
	}
	return a.Deadline
}

// AnswerDeadline returns the time until which the rest of an answer that has begun is awaited.
func (a *Attempt) AnswerDeadline() time.Time {
	if a.AnswerBy.After(a.Deadline) {
		return a.AnswerBy
	}
	return a.Deadline
}

// NotifySent must be called by the upstream once the attempt's last byte is written: from then on the target may run it.
func (a *Attempt) NotifySent() {
	if a.OnSent != nil {
		a.OnSent()
	}
}

// Result is how an attempt ended. When it is reported, no data of the attempt may still be in transit.
type Result struct {
	RequestID   string
	Number      int
	Target      string
	Code        policy.OutcomeCode
	Load        *policy.Load
	VolumeUsage int
	SendStarted time.Time // when the attempt's first byte was written; zero: never
	Payload     any
}

// Observer is notified of each step of a request and has no influence on it. Its methods are called from the core's goroutine
// and in order of time, except AttemptStarted (the first byte of an attempt was written), which is called just before
// AttemptEnded (the attempt ended; responded: by a reply from the target). Served is called with the final response, if a target produced it.
type Observer interface {
	Arrive(at time.Duration, r policy.Request)
	Release(at time.Duration, id, target string, tagLead time.Duration, sent bool)
	AttemptStarted(at time.Duration, id string)
	AttemptEnded(at time.Duration, id string, responded bool)
	Served(id string)
	End(at time.Duration, id string)
}

// Upstream carries out attempts. Neither method may block. Exactly one Result follows each Send, also after a
// Cancel, which may come too late to change it.
type Upstream interface {
	Send(Attempt)
	Cancel(target, requestID string)
}

// Clock maps the process's monotonic clock to the scheduler's time, which is Unix time based on a single reading at
// startup: the target list gives targets' start times in Unix time, and steps of the wall clock must not move deadlines.
type Clock struct{ base time.Time }

// NewClock reads the wall clock; the Clock does not read it again.
func NewClock() Clock { return Clock{time.Now()} }

// At returns the scheduler's time for t.
func (c Clock) At(t time.Time) time.Duration {
	return time.Duration(c.base.UnixNano()) + t.Sub(c.base)
}

// Options are the core's limits and callbacks.
type Options struct {
	MaxOpen          int                 // open requests at a time; ApplySettings changes it
	Margin           time.Duration       // a response must be written this long before the client's timeout
	RequestIDs       *requestid.Registry // IDs of clients' requests that are open or may have run; nil: the core keeps those of open ones by itself
	Observer         Observer            // nil: none
	RequestLog       *requestlog.Log     // nil: none
	OnEjectedCount   func(int)           // called at intervals with how many listed targets are ejected; nil: none
	OnEjectedTargets func([]string)      // called with it, with the ejected targets that are listed as up; nil: none
}

// Core is the actor that runs the scheduler. Any goroutine puts messages into the mailbox. Run's goroutine takes them out until
// it stops, and is the only one that uses the remaining fields, except the atomic ones.
type Core struct {
	scheduler         *policy.Scheduler
	upstream          Upstream
	clock             Clock
	opt               Options
	mailbox           *mailbox.Box[any]
	open              map[string]*openRequest
	openCount         atomic.Int64 // submitted and not finished, including those in the mailbox
	maxOpen           atomic.Int64
	stopped           atomic.Bool // Run is about to return: the mailbox is no longer read
	seq               uint64
	routeQueries      []routeQuery
	appliedChans      []chan<- struct{}
	timerAt           time.Time // when the scheduler's timer fires; zero: not set
	events            []policy.Event
	listEvents        []policy.Event
	lastStep          time.Duration
	lastObserved      time.Duration
	ejectedReportedAt time.Time // when OnEjectedCount was last called
}

// openRequest is the record of one request. It is removed once the request has its response and no attempt is in flight.
type openRequest struct {
	job         *Job
	attempts    int
	inFlight    bool
	target      string
	sentAt      time.Time
	lastOutcome policy.OutcomeCode
	responded   bool // has its response, or was cancelled
	mayHaveRun  bool
	idReleased  bool // its client request ID was given back
}

// ejectedReportInterval is the minimum interval between calls of OnEjectedCount.
const ejectedReportInterval = 100 * time.Millisecond

type submitted struct{ job *Job }

// routeQuery asks for the target to which a body may be sent ahead of its request.
type routeQuery struct {
	shard int
	reply func(target string)
}

// settingsUpdate carries new settings. The core closes applied once they are in force.
type settingsUpdate struct {
	settings     policy.Settings
	requestIDTTL time.Duration
	applied      chan<- struct{}
}

// responseWritten reports that a request's response has been written to its client.
type responseWritten struct {
	id string
	at time.Time
}

// New returns a core; Run starts it.
func New(sched *policy.Scheduler, up Upstream, clock Clock, opt Options) *Core {
	if opt.RequestIDs == nil {
		opt.RequestIDs = requestid.New(0)
	}
	c := &Core{scheduler: sched, upstream: up, clock: clock, opt: opt, mailbox: mailbox.New[any](), open: map[string]*openRequest{}}
	c.maxOpen.Store(int64(opt.MaxOpen))
	return c
}

// Submit passes a request to the core. It returns false if too many are open; then Done is not called.
func (c *Core) Submit(j *Job) bool {
	if n, limit := c.openCount.Add(1), c.maxOpen.Load(); limit > 0 && n > limit {
		c.openCount.Add(-1)
		return false
	}
	c.mailbox.Put(submitted{j})
	return true
}

// Cancel reports that the job's client has disconnected. Its Done may still be called, if the response came first.
func (c *Core) Cancel(j *Job) {
	j.clientDisconnected.Store(true)
	c.mailbox.Put(j)
}

// Route asks the scheduler to which target a request for the shard would go now, so that a body too large to be buffered here
// can be sent there ahead of it. reply is called from the core's goroutine, with an empty name if there is none; it must not block.
func (c *Core) Route(shard int, reply func(target string)) { c.mailbox.Put(routeQuery{shard, reply}) }

// Report passes the result of an attempt to the core.
func (c *Core) Report(r Result) {
	if c.mailbox.Put(r); c.stopped.Load() {
		c.discardResults()
	}
}

// discardResults discards the payloads of results that arrive while the core stops or later, when they are no longer processed.
func (c *Core) discardResults() {
	for _, m := range c.mailbox.Take(nil) {
		if r, ok := m.(Result); ok {
			Response{Payload: r.Payload}.Discard()
		}
	}
}

// UpdateTargets passes a full or partial list of the targets to the scheduler.
func (c *Core) UpdateTargets(l policy.EndpointList) { c.mailbox.Put(l) }

// SetProcessCount passes to the scheduler how many processes act as this initiator.
func (c *Core) SetProcessCount(n int) { c.mailbox.Put(policy.ProcessCount{Processes: n}) }

// ApplySettings has the scheduler change to other settings, in order with the requests submitted before and after. maxOpenRequests takes effect at
// once. Request IDs are kept for requestIDTTL, or for longer if they were before. applied is closed once the
// settings are in force; a core that has stopped never closes it.
func (c *Core) ApplySettings(settings policy.Settings, maxOpenRequests int, requestIDTTL time.Duration) (applied <-chan struct{}) {
	c.maxOpen.Store(int64(maxOpenRequests))
	ch := make(chan struct{})
	c.mailbox.Put(settingsUpdate{settings, requestIDTTL, ch})
	return ch
}

// NotifyQuotaChanged notifies the scheduler that this initiator's part of the fleet-wide quotas has changed.
func (c *Core) NotifyQuotaChanged() { c.mailbox.Put(policy.QuotaChanged{}) }

// ReportProbe passes to the scheduler the result of another fleet member's probe of a target.
func (c *Core) ReportProbe(r policy.ProbeResult) { c.mailbox.Put(r) }

// Inspect has f called from the core's goroutine.
func (c *Core) Inspect(f func()) { c.mailbox.Put(f) }

// OpenCount returns the number of requests that are not finished.
func (c *Core) OpenCount() int { return int(c.openCount.Load()) }

// Run steps the scheduler until the context ends. Its goroutine is the only one that uses the scheduler.
func (c *Core) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []any
	for {
		select {
		case <-ctx.Done():
			c.stopped.Store(true)
			c.discardResults()
			return
		case <-c.mailbox.Wake():
		case <-timer.C:
		}
		msgs := c.mailbox.Take(spare)
		c.step(time.Now(), msgs)
		spare = msgs
		if !c.timerAt.IsZero() {
			timer.Reset(time.Until(c.timerAt))
		}
	}
}

// step passes the messages to the scheduler and carries out its decisions.
func (c *Core) step(now time.Time, msgs []any) {
	events := c.collectEvents(now, msgs)
	if len(events) > 0 {
		c.runScheduler(now, events)
	}
	for _, done := range c.appliedChans {
		close(done)
	}
	clear(c.appliedChans)
	c.appliedChans = c.appliedChans[:0]
	for _, r := range c.routeQueries { // after any target list of this batch has been applied
		r.reply(c.scheduler.EndpointFor(r.shard))
	}
	clear(c.routeQueries)
	c.routeQueries = c.routeQueries[:0]
}

func (c *Core) runScheduler(now time.Time, events []policy.Event) {
	// The scheduler's time never goes back, whatever the platform's clock does.
	c.lastStep = max(c.lastStep, c.clock.At(now))
	for _, a := range c.scheduler.Step(c.lastStep, events) {
		c.execute(now, a)
	}
	if c.opt.OnEjectedCount != nil && now.Sub(c.ejectedReportedAt) >= ejectedReportInterval {
		c.ejectedReportedAt = now
		c.opt.OnEjectedCount(c.scheduler.EjectedCount())
		if c.opt.OnEjectedTargets != nil {
			c.opt.OnEjectedTargets(c.scheduler.EjectedEndpoints())
		}
	}
}

// collectEvents turns the messages into one batch of events, with target lists before all others.
func (c *Core) collectEvents(now time.Time, msgs []any) []policy.Event {
	c.events, c.listEvents = c.events[:0], c.listEvents[:0]
	for _, m := range msgs {
		switch m := m.(type) {
		case submitted:
			c.admit(now, m.job)
		case *Job:
			c.cancel(now, m)
		case Result:
			c.handleResult(now, m)
		case responseWritten:
			c.opt.Observer.End(c.observerTime(m.at), m.id)
		case policy.ProcessCount, policy.QuotaChanged, policy.ProbeResult:
			c.events = append(c.events, m.(policy.Event))
		case settingsUpdate:
			c.events = append(c.events, m.settings)
			c.opt.RequestIDs.KeepFor(m.requestIDTTL)
			c.appliedChans = append(c.appliedChans, m.applied)
		case routeQuery:
			c.routeQueries = append(c.routeQueries, m)
		case func():
			m()
		case policy.EndpointList:
			// First in the batch, so that no send is decided on an outdated list.
			c.listEvents = append(c.listEvents, m)
		}
	}
	if !c.timerAt.IsZero() && !now.Before(c.timerAt) {
		c.timerAt = time.Time{}
		c.events = append(c.events, policy.TimerFired{})
	}
	return append(c.listEvents, c.events...)
}

func (c *Core) admit(now time.Time, j *Job) {
	if j.ClientRequestID != "" {
		// Targets identify requests by this ID: one sent under the ID of an open request would be a second copy of it. A
		// legitimate retry, of a request that was never read by this initiator, can claim its ID.
		if !c.opt.RequestIDs.Claim(j.ClientRequestID, now) {
			c.openCount.Add(-1)
			c.logEnd(now, j, Conflict.String(), "REQUEST_ID", 0)
			j.Done(Response{Status: Conflict})
			return
		}
	}
	c.seq++
	j.ID = strconv.FormatUint(c.seq, 10)
	// The client's timeout runs from the arrival, and the response has to be written before it expires.
	j.TimeLeft = j.Timeout - now.Sub(j.Arrived) - c.opt.Margin
	c.open[j.ID] = &openRequest{job: j}
	if o := c.opt.Observer; o != nil {
		o.Arrive(c.observerTime(now), j.Request)
	}
	c.events = append(c.events, j.Request)
}

func (c *Core) cancel(now time.Time, j *Job) {
	if e := c.open[j.ID]; e != nil && e.job == j && !e.responded {
		e.responded = true
		c.logEnd(now, j, "cancelled", "CLIENT_GONE", e.attempts)
		if e.inFlight {
			c.upstream.Cancel(e.target, j.ID) // no client is waiting for the response
		}
		c.events = append(c.events, policy.ClientGone{ID: j.ID})
		c.removeIfDone(now, j.ID, e)
	}
	if o := c.opt.Observer; o != nil {
		o.End(c.observerTime(now), j.ID) // also if there is a response that the client did not read
	}
}

// observerTime returns t as reported to the observer: never earlier than the last one, also for times taken by other goroutines.
func (c *Core) observerTime(t time.Time) time.Duration {
	c.lastObserved = max(c.lastObserved, c.clock.At(t))
	return c.lastObserved
}

func (c *Core) handleResult(now time.Time, r Result) {
	e := c.open[r.RequestID]
	if e == nil || !e.inFlight || r.Number != e.attempts-1 {
		Response{Payload: r.Payload}.Discard()
		return
	}
	if o := c.opt.Observer; o != nil {
		if !r.SendStarted.IsZero() {
			o.AttemptStarted(c.clock.At(r.SendStarted), r.RequestID) // earlier than observerTime: events of other requests may have been reported since
		}
		o.AttemptEnded(c.observerTime(now), r.RequestID, r.Code == policy.Served || r.Code == policy.AnsweredError || r.Code == policy.Rejected)
	}
	e.inFlight, e.lastOutcome = false, r.Code
	e.mayHaveRun = e.mayHaveRun || r.Code.MayHaveRun()
	if r.Code == policy.Served {
		if o := c.opt.Observer; o != nil && !e.responded {
			o.Served(r.RequestID)
		}
		c.respond(now, e, Response{Status: Served, Payload: r.Payload})
	} else {
		c.opt.RequestLog.AttemptEnded(requestlog.Attempt{RequestID: e.job.ClientRequestID, Number: r.Number, Target: r.Target, Outcome: r.Code.String(), Took: now.Sub(e.sentAt)})
	}
	c.events = append(c.events, policy.Outcome{ID: r.RequestID, Attempt: r.Number, Endpoint: r.Target, Code: r.Code,
		Latency: now.Sub(e.sentAt), Final: e.responded, Load: r.Load, VolumeUsage: r.VolumeUsage})
	c.removeIfDone(now, r.RequestID, e)
}

func (c *Core) execute(now time.Time, a policy.Action) {
	e := c.open[a.Request]
	switch a.Kind {
	case policy.SetTimer:
		if at := now.Add(a.Wait); c.timerAt.IsZero() || at.Before(c.timerAt) {
			c.timerAt = at
		}
		return
	case policy.Subscribe, policy.Log:
		return // the target list is always watched; the text of a Log is not used
	}
	if e == nil || e.responded || e.inFlight {
		return
	}
	if o := c.opt.Observer; o != nil {
		o.Release(c.observerTime(now), a.Request, a.Endpoint, a.StartTagWait, a.Kind == policy.Send)
	}
	switch a.Kind {
	case policy.Send:
		e.inFlight, e.target, e.sentAt = true, a.Endpoint, now
		e.attempts++
		next := Attempt{RequestID: a.Request, Number: e.attempts - 1, Target: a.Endpoint,
			Deadline: now.Add(a.Wait), AnswerBy: e.job.Arrived.Add(e.job.Timeout - c.opt.Margin), Payload: e.job.Payload, Permit: a.Permit, ClientDisconnected: &e.job.clientDisconnected}
		if a.SendWithin > 0 {
			next.SendBefore = now.Add(a.SendWithin)
		}
		c.upstream.Send(next)
	case policy.Reject:
		c.respond(now, e, Response{Status: Rejected, RetryAfter: a.Wait})
		c.removeIfDone(now, a.Request, e)
	case policy.Fail:
		c.respond(now, e, Response{Status: Failed})
		c.removeIfDone(now, a.Request, e)
	}
}

// respond passes the final response to the front, once.
func (c *Core) respond(now time.Time, e *openRequest, resp Response) {
	if e.responded {
		resp.Discard()
		return
	}
	e.responded = true
	// Before the response: a client that is rejected may send the request again at once, and another process may read it.
	c.releaseID(now, e)
	resp.LastOutcome = e.lastOutcome
	if resp.Status != Served {
		c.logEnd(now, e.job, resp.Status.String(), decidedBy(e), e.attempts)
	}
	if c.opt.Observer != nil {
		id := e.job.ID
		resp.OnWritten = func() { c.mailbox.Put(responseWritten{id, time.Now()}) }
	}
	e.job.Done(resp)
}

// decidedBy returns what a request's last attempt ended by, or that the scheduler made none.
func decidedBy(e *openRequest) string {
	if e.attempts == 0 {
		return "NOT_ATTEMPTED"
	}
	return e.lastOutcome.String()
}

func (c *Core) logEnd(now time.Time, j *Job, ending, reason string, attempts int) {
	c.opt.RequestLog.RequestEnded(requestlog.Request{ID: j.ClientRequestID, Class: j.Class, Ending: ending, Reason: reason, Attempts: attempts, Took: now.Sub(j.Arrived)})
}

// releaseID gives the client request ID of a finished request back, once.
func (c *Core) releaseID(now time.Time, e *openRequest) {
	if e.responded && !e.inFlight && !e.idReleased && e.job.ClientRequestID != "" {
		e.idReleased = true
		c.opt.RequestIDs.Release(e.job.ClientRequestID, e.mayHaveRun, now)
	}
}

func (c *Core) removeIfDone(now time.Time, id string, e *openRequest) {
	if e.responded && !e.inFlight {
		delete(c.open, id)
		c.openCount.Add(-1)
		c.releaseID(now, e)
	}
}
