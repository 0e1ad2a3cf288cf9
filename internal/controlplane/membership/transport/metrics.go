package transport

import (
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/controlplane/membership"
)

// EmitMetrics writes the metrics of the membership to a statsd client. Package instance finds it by a type assertion.
func (r *Runner) EmitMetrics(to statsd.ExtendedStatSender) {
	r.onLoop(func(now time.Duration) {
		v := r.node.View(now)
		count := map[membership.State]int64{}
		for _, m := range v.Members {
			count[m.State]++
		}
		to.Gauge("fleet.members.living", int64(v.Size), 1)
		for _, s := range []membership.State{membership.StateSuspect, membership.StateDead, membership.StateUnreachable, membership.StateSlow} {
			to.Gauge("fleet.members."+string(s), count[s], 1)
		}
		to.Gauge("fleet.members.doubt", int64(v.HealthScore), 1)
		to.Inc("fleet.members.sent", r.sentMessages.Load(), 1)
		to.Inc("fleet.members.sent_bytes", r.sentBytes.Load(), 1)
		to.Inc("fleet.members.lost", r.dropped.Load(), 1)
		to.Inc("fleet.members.bad", r.malformed.Load(), 1)
		to.Inc("fleet.members.stale", int64(v.Counts.Stale+v.Counts.Foreign+v.Counts.Misdirected+v.Counts.Limited+v.Counts.FutureIncarnations), 1)
		to.Inc("fleet.members.refuted", int64(v.Counts.Refuted), 1)
		to.Inc("fleet.members.pauses", int64(v.Counts.Pauses), 1)
	})
}
