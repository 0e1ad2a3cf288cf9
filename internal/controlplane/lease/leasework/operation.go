package leasework

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/fencing"
	"spindlehitch/internal/controlplane/lease/lessee"
	"spindlehitch/internal/process/failpoint"
	"spindlehitch/internal/process/monotonic"
)

// Operation is a running operation with its task.
type Operation struct {
	lessee.Operation
	Task   lease.Task
	runner *Runner
}

// MayProceed reports whether the operation may still have effects. It must be called right before each
// effect.
func (op *Operation) MayProceed() bool {
	op.runner.mu.Lock()
	defer op.runner.mu.Unlock()
	return op.runner.lessee.MayProceed(monotonic.Now(), op.Operation)
}

// errExpired is returned by a Job whose operation or lease ended before its work was complete.
var errExpired = errors.New("the act or its lease is over")

// Job runs the operations of one kind of task. An error that is a *fencing.RejectedError means that
// the resource has seen a newer token; any other error is a failure.
type Job interface {
	Run(ctx context.Context, op *Operation) error
}

// Run starts operations as they become due until ctx ends. Each operation runs in a goroutine of its
// own, with a context that ends at the operation's deadline or with ctx; Stop waits for them.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		now := monotonic.Now()
		next := now + time.Second
		for _, k := range r.lessee.Held(now) {
			op, ok := r.lessee.StartOperation(now, k)
			if !ok {
				if due := r.lessee.NextOperation(k); due > now {
					next = min(next, due)
				}
				continue
			}
			next = min(next, r.lessee.NextOperation(k))
			r.counts.begun++
			operation := &Operation{op, *r.lessee.Task(k.Task), r}
			r.running.Go(func() { r.runOperation(ctx, operation) })
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(next - now):
		}
	}
}

// runOperation runs one operation and records its outcome.
func (r *Runner) runOperation(ctx context.Context, op *Operation) {
	failpoint.Hit("act.begun")
	ctx, cancel := context.WithTimeout(ctx, op.Deadline-monotonic.Now())
	defer cancel()
	err := errors.New("no job for tasks of this kind")
	if job := r.opt.Jobs[op.Task.Kind]; job != nil {
		err = job.Run(ctx, op)
	}
	failpoint.Hit("act.ending")
	outcome, seenToken := lessee.Completed, uint64(0)
	var rejected *fencing.RejectedError
	switch {
	case errors.As(err, &rejected):
		outcome, seenToken = lessee.Fenced, rejected.Current.Token
	case err != nil:
		outcome = lessee.Failed
	}
	r.mu.Lock()
	r.lessee.FinishOperation(op.Operation, outcome, seenToken)
	renewEarly := r.lessee.NeedsRenewal() && !r.stopped
	switch outcome {
	case lessee.Completed:
		r.counts.done++
	case lessee.Fenced:
		r.counts.refused++
	case lessee.Failed:
		r.counts.failed++
	}
	r.mu.Unlock()
	if err != nil {
		reason := map[lessee.Outcome]string{lessee.Fenced: "ACT_REFUSED", lessee.Failed: "ACT_FAILED"}[outcome]
		r.opt.Log.Warn("operation not completed", slog.String("reason", reason), slog.String("lease", op.String()), slog.Uint64("token", op.Token), slog.Any("error", err))
	}
	if renewEarly {
		r.opt.RenewNow()
	}
	r.wakeUp()
}

// OperationPeriod returns the longest time from the start of one operation of a task to the end of the
// next; 0: the task is unknown.
func (r *Runner) OperationPeriod(task string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.lessee.Task(task)
	if t == nil {
		return 0
	}
	return t.Interval() + t.OperationTimeout()
}
