package hollow

import (
	"context"
	"strconv"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/mailbox"
)

// probeRequests is how many requests to changed targets a policy loop decides after each list.
const probeRequests = 4

// policyLoop runs the real policy scheduler on a goroutine of its own, which ends with the context of run. After each
// list it decides a few requests for targets that have changed, and reports each send to the checker. run owns the
// fields except inbox and ended; it closes ended when it returns.
type policyLoop struct {
	scheduler    *policy.Scheduler
	settings     policy.Settings
	clock        core.Clock
	checker      *Checker
	inbox        *mailbox.Box[pendingList]
	requestCount int
	openRequests map[string]bool
	timerAt      time.Time // when the scheduler's timer fires; zero: no timer
	ended        chan struct{}
}

type pendingList struct {
	list *targetlist.List
	done func()
}

func newPolicyLoop(settings policy.Settings, seed uint64, checker *Checker) (*policyLoop, error) {
	m, err := policy.New(settings, seed)
	if err != nil {
		return nil, err
	}
	return &policyLoop{scheduler: m, settings: settings, clock: core.NewClock(), checker: checker, inbox: mailbox.New[pendingList](), openRequests: map[string]bool{}, ended: make(chan struct{})}, nil
}

func (x *policyLoop) enqueue(l *targetlist.List, done func()) { x.inbox.Put(pendingList{l, done}) }

// applyAndWait queues a list and returns once the scheduler has processed it; false: the loop has ended.
func (x *policyLoop) applyAndWait(l *targetlist.List) bool {
	done := make(chan struct{})
	x.enqueue(l, func() { close(done) })
	select {
	case <-done:
		return true
	case <-x.ended:
		return false
	}
}

func (x *policyLoop) run(ctx context.Context) {
	defer close(x.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			x.timerAt = time.Time{}
			x.step(policy.TimerFired{})
		case <-x.inbox.Wake():
			for _, l := range x.inbox.Take(nil) {
				x.apply(l)
			}
		}
		if !x.timerAt.IsZero() {
			timer.Reset(time.Until(x.timerAt))
		}
	}
}

func (x *policyLoop) apply(l pendingList) {
	endpoints := policy.EndpointList{Full: l.list.Full, Endpoints: make([]policy.Endpoint, len(l.list.Targets))}
	for i, e := range l.list.Targets {
		endpoints.Endpoints[i] = e.Endpoint()
	}
	x.checker.RecordTargets(l.list.Targets) // before the step: sends decided earlier do not violate this list
	x.step(endpoints)
	l.done()
	if l.list.Full {
		return
	}
	for _, n := range endpoints.Endpoints[:min(probeRequests, len(endpoints.Endpoints))] {
		x.requestCount++
		id := strconv.Itoa(x.requestCount)
		x.openRequests[id] = true
		x.step(policy.Request{ID: id, Class: x.settings.Classes[0].Name, Plan: x.settings.Plans[0].Name, Volume: "v" + strconv.Itoa(n.Shard), Shard: n.Shard, Units: 1, VolumeInitiators: 1})
	}
	for id := range x.openRequests { // requests without a target do not wait
		delete(x.openRequests, id)
		x.step(policy.ClientGone{ID: id})
	}
}

// step passes one event to the scheduler and completes each attempt that it sends at once, as served.
func (x *policyLoop) step(e policy.Event) {
	now := time.Now()
	actions := x.scheduler.Step(x.clock.At(now), []policy.Event{e})
	var ends []policy.Event
	for _, a := range actions {
		switch a.Kind {
		case policy.Send:
			x.checker.RecordSend(a.Endpoint)
			delete(x.openRequests, a.Request)
			ends = append(ends, policy.Outcome{ID: a.Request, Attempt: 1, Endpoint: a.Endpoint, Code: policy.Served, Latency: time.Millisecond, Final: true})
		case policy.Reject, policy.Fail:
			delete(x.openRequests, a.Request)
		case policy.SetTimer:
			x.timerAt = now.Add(a.Wait)
		}
	}
	for _, e := range ends {
		x.step(e)
	}
}
