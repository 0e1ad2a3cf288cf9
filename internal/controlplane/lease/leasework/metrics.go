package leasework

import (
	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/process/monotonic"
)

// EmitMetrics writes the metrics of the tasks.
func (r *Runner) EmitMetrics(to statsd.ExtendedStatSender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotonic.Now()
	to.Inc("fleet.tasks.acts.begun", r.counts.begun, 1)
	to.Inc("fleet.tasks.acts.done", r.counts.done, 1)
	to.Inc("fleet.tasks.acts.refused", r.counts.refused, 1)
	to.Inc("fleet.tasks.acts.failed", r.counts.failed, 1)
	to.Gauge("fleet.tasks.held", int64(len(r.lessee.Held(now))), 1)
}
