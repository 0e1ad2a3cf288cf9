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

// Act is one act under way.
type Act struct {
	lessee.Act
	Task lease.Task
	r    *Runner
}

// Good tells whether the act may still do something. It is asked right before each touch of anything outside.
func (a *Act) Good() bool {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	return a.r.t.Good(monotone.Now(), a.Act)
}

// errOver says that an act has lasted for too long, or its lease has ended, before all was done.
var errOver = errors.New("the act or its lease is over")

// Job does the acts of one kind of task. A *guard.Refusal as its error is the place's; any other is a failure.
type Job interface {
	Act(ctx context.Context, a *Act) error
}

// Options set up an instance's tasks.
type Options struct {
	Runs  []string // names of tasks that it can do
	Jobs  map[lease.Kind]Job
	Hurry func()          // has the next renewal sent at once; it must not wait
	Load  func() uint16   // requests open; nil: not told
	Ended func() []string // instances that this one holds dead or gone; nil: it keeps no view of others
	Log   *slog.Logger
}

// Runner is an instance's. All of it is safe for concurrent use.
type Runner struct {
	opt  Options
	wake chan struct{}

	mu      sync.Mutex
	t       *lessee.Tenant
	avoids  []string
	work    []string       // targets to be tried, of the shards held
	found   []lease.Result // not told yet
	foundAt []time.Duration
	news    func([]lease.Result, time.Duration)
	began   time.Duration // when the claim sent last was begun
	acting  sync.WaitGroup
	stopped bool
	counts  struct{ begun, done, refused, failed int64 }
}

// New returns one that holds nothing.
func New(opt Options) *Runner {
	return &Runner{opt: opt, wake: make(chan struct{}, 1), t: lessee.New(opt.Runs), news: func([]lease.Result, time.Duration) {}}
}

// OnNews has f called with what others found out about targets that are avoided here, and how long it has been on its way at most. It must
// be called before Run, and f must not wait.
func (r *Runner) OnNews(f func([]lease.Result, time.Duration)) { r.news = f }

// Avoid notes which targets are avoided here.
func (r *Runner) Avoid(targets []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoids = targets[:min(len(targets), lease.MostTargets)]
}

// Claim begins a claim, with a renewal that is begun at that moment.
func (r *Runner) Claim(now time.Duration) *lease.Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.t.Claim(now)
	r.began = now
	c.Avoids = r.avoids
	if r.opt.Load != nil {
		c.Load = r.opt.Load()
	}
	if r.opt.Ended != nil {
		c.Ended = r.opt.Ended()
	}
	for i, x := range r.found {
		x.AgoMs = (now - r.foundAt[i]).Milliseconds()
		c.Results = append(c.Results, x)
	}
	r.found, r.foundAt = nil, nil // told once; the next round brings newer ones
	return &c
}

// Accept takes the answer to the claim sent last.
func (r *Runner) Accept(now time.Duration, a *lease.Award) {
	r.mu.Lock()
	if !r.t.Accept(now, *a) {
		r.mu.Unlock()
		return
	}
	r.work = a.Work
	hurry := r.t.Hurry()
	r.mu.Unlock()
	if len(a.News) > 0 {
		r.news(a.News, now-r.began)
	}
	if hurry {
		r.opt.Hurry()
	}
	r.rouse()
}

// Drop gives everything up: the seat is lost.
func (r *Runner) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Drop()
	r.work, r.found, r.foundAt = nil, nil, nil
}

func (r *Runner) rouse() {
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
		for _, k := range r.t.Held(now) {
			a, ok := r.t.Start(now, k)
			if !ok {
				if due := r.t.Next(k); due > now {
					next = min(next, due)
				}
				continue
			}
			next = min(next, r.t.Next(k))
			r.counts.begun++
			act := &Act{a, *r.t.Task(k.Task), r}
			r.acting.Go(func() { r.act(ctx, act) })
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(next - now):
		}
	}
}

func (r *Runner) act(ctx context.Context, a *Act) {
	failpoint.Hit("act.begun")
	ctx, done := context.WithTimeout(ctx, a.Until-monotone.Now())
	defer done()
	err := errors.New("a task of a kind that is not done here")
	if job := r.opt.Jobs[a.Task.Kind]; job != nil {
		err = job.Act(ctx, a)
	}
	failpoint.Hit("act.ending")
	how, seen := lessee.Done, uint64(0)
	var no *fencing.Refusal
	switch {
	case errors.As(err, &no):
		how, seen = lessee.Refused, no.Seen.Token
	case err != nil:
		how = lessee.Failed
	}
	r.mu.Lock()
	r.t.Finish(a.Act, how, seen)
	hurry := r.t.Hurry() && !r.stopped
	switch how {
	case lessee.Done:
		r.counts.done++
	case lessee.Refused:
		r.counts.refused++
	case lessee.Failed:
		r.counts.failed++
	}
	r.mu.Unlock()
	if err != nil {
		reason := map[lessee.End]string{lessee.Refused: "ACT_REFUSED", lessee.Failed: "ACT_FAILED"}[how]
		r.opt.Log.Warn("act not done", slog.String("reason", reason), slog.String("lease", a.Key.String()), slog.Uint64("token", a.Token), slog.Any("error", err))
	}
	if hurry {
		r.opt.Hurry()
	}
	r.rouse()
}

// Stop gives everything back, and tells whether all acts have ended within that time: then nothing is done any more.
func (r *Runner) Stop(within time.Duration) bool {
	r.mu.Lock()
	r.stopped = true
	r.t.ReleaseAll()
	r.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		r.acting.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}

// Every is from one act of a task to the next, and how long that one takes; 0: the task is not known.
func (r *Runner) Every(task string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.t.Task(task)
	if t == nil {
		return 0
	}
	return t.Every() + t.Act()
}

// take notes what was found out about a target.
func (r *Runner) take(x lease.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.found) < lease.MostTargets {
		r.found, r.foundAt = append(r.found, x), append(r.foundAt, monotone.Now())
	}
}

// targets is what is to be tried of a shard.
func (r *Runner) targets(a *Act) (all []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.work {
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
	to.Gauge("fleet.tasks.held", int64(len(r.t.Held(now))), 1)
}
