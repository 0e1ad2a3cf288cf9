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
	"spindlehitch/internal/process/monotonic"
)

// Options configure an instance's tasks.
type Options struct {
	Tasks        []string // names of the tasks that it can run
	Jobs         map[lease.Kind]Job
	RenewNow     func()        // requests that the next renewal is sent at once; it must not block
	OpenRequests func() uint16 // the instance's load; nil: not reported
	// names of instances that its membership view considers dead or departed; nil: there is no view
	DeadInstances func() []string
	Log           *slog.Logger
}

// Runner runs an instance's tasks. It is safe for concurrent use.
type Runner struct {
	opt  Options
	wake chan struct{} // signals Run that an operation may be due; never closed

	mu               sync.Mutex // guards the fields below, except onResults and running
	lessee           *lessee.Lessee
	ejected          []string                                 // targets ejected by this instance
	probeTargets     []string                                 // targets to probe, of the held shards
	results          []lease.ProbeResult                      // not reported yet
	resultTimes      []time.Duration                          // times of the probes, in the order of results
	onResults        func([]lease.ProbeResult, time.Duration) // see OnResults
	renewalStartedAt time.Duration                            // start of the last renewal
	running          sync.WaitGroup                           // running operations
	stopped          bool                                     // Stop was called
	counts           struct{ begun, done, refused, failed int64 }
}

// New returns a runner without leases.
func New(opt Options) *Runner {
	return &Runner{opt: opt, wake: make(chan struct{}, 1), lessee: lessee.New(opt.Tasks), onResults: func([]lease.ProbeResult, time.Duration) {}}
}

// OnResults sets the function that is called with probe results for targets ejected by this instance,
// and an upper bound on the time that the results took to arrive. It must be called before Run; f must
// not block.
func (r *Runner) OnResults(f func([]lease.ProbeResult, time.Duration)) { r.onResults = f }

// wakeUp makes Run check for due operations.
func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// addResult records a probe result for the next renewal, up to lease.MaxTargets of them.
func (r *Runner) addResult(x lease.ProbeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.results) < lease.MaxTargets {
		r.results, r.resultTimes = append(r.results, x), append(r.resultTimes, monotonic.Now())
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
