// Package leasework is an instance's edge of leases: it acts on the shards that the tenant holds (internal/controlplane/lease/lessee), brings claims and
// awards to and from the renewals of the instance's seat, and has a job for each kind of task.
package leasework

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/fencing"
	"spindlehitch/internal/controlplane/lease/lessee"
	"spindlehitch/internal/process/failpoint"
	"spindlehitch/internal/process/monotone"
)

// Operation is one act under way.
type Operation struct {
	lessee.Operation
	Task   lease.Task
	runner *Runner
}

// MayProceed tells whether the act may still do something. It is asked right before each touch of anything outside.
func (a *Operation) MayProceed() bool {
	a.runner.mu.Lock()
	defer a.runner.mu.Unlock()
	return a.runner.lessee.MayProceed(monotone.Now(), a.Operation)
}

// errExpired says that an act has lasted for too long, or its lease has ended, before all was done.
var errExpired = errors.New("the act or its lease is over")

// Job does the acts of one kind of task. A *guard.Refusal as its error is the place's; any other is a failure.
type Job interface {
	Run(ctx context.Context, a *Operation) error
}

// Options set up an instance's tasks.
type Options struct {
	Tasks         []string // names of tasks that it can do
	Jobs          map[lease.Kind]Job
	RenewNow      func()          // has the next renewal sent at once; it must not wait
	OpenRequests  func() uint16   // requests open; nil: not told
	DeadInstances func() []string // instances that this one holds dead or gone; nil: it keeps no view of others
	Log           *slog.Logger
}

// Runner is an instance's. All of it is safe for concurrent use.
type Runner struct {
	opt  Options
	wake chan struct{}

	mu               sync.Mutex
	lessee           *lessee.Lessee
	ejected          []string
	probeTargets     []string            // targets to be tried, of the shards held
	results          []lease.ProbeResult // not told yet
	resultTimes      []time.Duration
	onResults        func([]lease.ProbeResult, time.Duration)
	renewalStartedAt time.Duration // when the claim sent last was begun
	running          sync.WaitGroup
	stopped          bool
	counts           struct{ begun, done, refused, failed int64 }
}

// New returns one that holds nothing.
func New(opt Options) *Runner {
	return &Runner{opt: opt, wake: make(chan struct{}, 1), lessee: lessee.New(opt.Tasks), onResults: func([]lease.ProbeResult, time.Duration) {}}
}

// OnResults has f called with what others found out about targets that are avoided here, and how long it has been on its way at most. It must
// be called before Run, and f must not wait.
func (r *Runner) OnResults(f func([]lease.ProbeResult, time.Duration)) { r.onResults = f }

// SetEjected notes which targets are avoided here.
func (r *Runner) SetEjected(targets []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ejected = targets[:min(len(targets), lease.MaxTargets)]
}

// BeginRenewal begins a claim, with a renewal that is begun at that moment.
func (r *Runner) BeginRenewal(now time.Duration) *lease.RenewalRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.lessee.BeginRenewal(now)
	r.renewalStartedAt = now
	c.Ejected = r.ejected
	if r.opt.OpenRequests != nil {
		c.OpenRequests = r.opt.OpenRequests()
	}
	if r.opt.DeadInstances != nil {
		c.DeadInstances = r.opt.DeadInstances()
	}
	for i, x := range r.results {
		x.AgeMs = (now - r.resultTimes[i]).Milliseconds()
		c.Results = append(c.Results, x)
	}
	r.results, r.resultTimes = nil, nil // told once; the next round brings newer ones
	return &c
}

// AcceptRenewal takes the answer to the claim sent last.
func (r *Runner) AcceptRenewal(now time.Duration, a *lease.RenewalResponse) {
	r.mu.Lock()
	if !r.lessee.AcceptRenewal(now, *a) {
		r.mu.Unlock()
		return
	}
	r.probeTargets = a.ProbeTargets
	hurry := r.lessee.NeedsRenewal()
	r.mu.Unlock()
	if len(a.ProbeResults) > 0 {
		r.onResults(a.ProbeResults, now-r.renewalStartedAt)
	}
	if hurry {
		r.opt.RenewNow()
	}
	r.wakeUp()
}

// DropAll gives everything up: the seat is lost.
func (r *Runner) DropAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lessee.DropAll()
	r.probeTargets, r.results, r.resultTimes = nil, nil, nil
}

func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run acts on what is held until ctx ends. Acts under way then end by themselves: Stop waits for them.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		now := monotone.Now()
		next := now + time.Second
		for _, k := range r.lessee.Held(now) {
			a, ok := r.lessee.StartOperation(now, k)
			if !ok {
				if due := r.lessee.NextOperation(k); due > now {
					next = min(next, due)
				}
				continue
			}
			next = min(next, r.lessee.NextOperation(k))
			r.counts.begun++
			act := &Operation{a, *r.lessee.Task(k.Task), r}
			r.running.Go(func() { r.runOperation(ctx, act) })
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(next - now):
		}
	}
}

func (r *Runner) runOperation(ctx context.Context, a *Operation) {
	failpoint.Hit("act.begun")
	ctx, done := context.WithTimeout(ctx, a.Deadline-monotone.Now())
	defer done()
	err := errors.New("a task of a kind that is not done here")
	if job := r.opt.Jobs[a.Task.Kind]; job != nil {
		err = job.Run(ctx, a)
	}
	failpoint.Hit("act.ending")
	how, seen := lessee.Completed, uint64(0)
	var no *fencing.RejectedError
	switch {
	case errors.As(err, &no):
		how, seen = lessee.Fenced, no.Current.Token
	case err != nil:
		how = lessee.Failed
	}
	r.mu.Lock()
	r.lessee.FinishOperation(a.Operation, how, seen)
	hurry := r.lessee.NeedsRenewal() && !r.stopped
	switch how {
	case lessee.Completed:
		r.counts.done++
	case lessee.Fenced:
		r.counts.refused++
	case lessee.Failed:
		r.counts.failed++
	}
	r.mu.Unlock()
	if err != nil {
		reason := map[lessee.Outcome]string{lessee.Fenced: "ACT_REFUSED", lessee.Failed: "ACT_FAILED"}[how]
		r.opt.Log.Warn("act not done", slog.String("reason", reason), slog.String("lease", a.Key.String()), slog.Uint64("token", a.Token), slog.Any("error", err))
	}
	if hurry {
		r.opt.RenewNow()
	}
	r.wakeUp()
}

// Stop gives everything back, and tells whether all acts have ended within that time: then nothing is done any more.
func (r *Runner) Stop(within time.Duration) bool {
	r.mu.Lock()
	r.stopped = true
	r.lessee.ReleaseAll()
	r.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		r.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}

// OperationPeriod is from one act of a task to the next, and how long that one takes; 0: the task is not known.
func (r *Runner) OperationPeriod(task string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.lessee.Task(task)
	if t == nil {
		return 0
	}
	return t.Interval() + t.OperationTimeout()
}

// addResult notes what was found out about a target.
func (r *Runner) addResult(x lease.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.results) < lease.MaxTargets {
		r.results, r.resultTimes = append(r.results, x), append(r.resultTimes, monotone.Now())
	}
}

// targetsOf is what is to be tried of a shard.
func (r *Runner) targetsOf(a *Operation) (all []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.probeTargets {
		if a.Task.ShardOf(t) == a.Shard {
			all = append(all, t)
		}
	}
	return all
}

// Tell tells the numbers of the fleet's tasks.
func (r *Runner) Tell(to statsd.ExtendedStatSender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotone.Now()
	to.Inc("fleet.tasks.acts.begun", int64(r.counts.begun), 1)
	to.Inc("fleet.tasks.acts.done", int64(r.counts.done), 1)
	to.Inc("fleet.tasks.acts.refused", int64(r.counts.refused), 1)
	to.Inc("fleet.tasks.acts.failed", int64(r.counts.failed), 1)
	to.Gauge("fleet.tasks.held", int64(len(r.lessee.Held(now))), 1)
}
