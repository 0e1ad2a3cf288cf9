// Package leasework runs fleet-wide tasks on the shards that this instance holds leases for. It
// connects the lease decisions (package lessee) with the renewals of the instance's session and with a
// Job for each kind of task.
package leasework

import (
	"log/slog"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessee"
	"spindlehitch/internal/process/monotone"
)

// Options configure an instance's tasks.
type Options struct {
	Tasks        []string // names of the tasks that it can run
	Jobs         map[lease.Kind]Job
	RenewNow     func()        // has the next renewal sent at once; it must not block
	OpenRequests func() uint16 // its load; nil: not reported
	// instances that its membership view holds dead or gone; nil: there is no view
	DeadInstances func() []string
	Log           *slog.Logger
}

// Runner runs an instance's tasks. It is safe for concurrent use.
type Runner struct {
	opt  Options
	wake chan struct{}

	mu               sync.Mutex
	lessee           *lessee.Lessee
	ejected          []string            // targets ejected here
	probeTargets     []string            // to be probed, of the shards held
	results          []lease.ProbeResult // not reported yet, with the times of the probes
	resultTimes      []time.Duration
	onResults        func([]lease.ProbeResult, time.Duration) // see OnResults
	renewalStartedAt time.Duration                            // of the renewal sent last
	running          sync.WaitGroup
	stopped          bool // Stop was called
	counts           struct{ begun, done, refused, failed int64 }
}

// New returns a runner without leases.
func New(opt Options) *Runner {
	return &Runner{opt: opt, wake: make(chan struct{}, 1), lessee: lessee.New(opt.Tasks), onResults: func([]lease.ProbeResult, time.Duration) {}}
}

// OnResults sets what is called with probe results for targets that are ejected here, and how long
// these have been on their way at most. It must be called before Run; f must not block.
func (r *Runner) OnResults(f func([]lease.ProbeResult, time.Duration)) { r.onResults = f }

// wakeUp has Run look for due operations.
func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// addResult records a probe result for the next renewal.
func (r *Runner) addResult(x lease.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.results) < lease.MaxTargets {
		r.results, r.resultTimes = append(r.results, x), append(r.resultTimes, monotone.Now())
	}
}

// targetsOf returns the targets to probe for an operation's shard.
func (r *Runner) targetsOf(op *Operation) (all []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.probeTargets {
		if op.Task.ShardOf(t) == op.Shard {
			all = append(all, t)
		}
	}
	return all
}
