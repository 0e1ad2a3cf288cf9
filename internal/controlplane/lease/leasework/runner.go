// Package leasework is an instance's edge of leases: it acts on the shards that the tenant holds (internal/controlplane/lease/lessee), brings claims and
// awards to and from the renewals of the instance's seat, and has a job for each kind of task.
package leasework

import (
	"log/slog"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessee"
	"spindlehitch/internal/process/monotone"
)

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

func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
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
