package quotasession

import (
	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/process/monotone"
)

// Tell writes the metrics of the quotas.
func (r *Session) Tell(to statsd.ExtendedStatSender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotone.Now()
	seated := int64(0)
	if r.client.Registered(now) {
		seated = 1
	}
	to.Gauge("fleet.seated", seated, 1)
	to.Gauge("fleet.version", int64(r.client.ConfigVersion()), 1)
	to.Inc("fleet.renewals.taken", r.counts.renewed, 1)
	to.Inc("fleet.renewals.failed", r.counts.failed, 1)
	to.Inc("fleet.denied", r.counts.denied, 1)
	to.Inc("fleet.lapsed", r.counts.lapsed, 1)
	for _, x := range r.client.Status(now) {
		name := "fleet." + x.Budget
		if x.Key.Key != "" {
			name += "." + x.Key.Key
		}
		to.GaugeFloat(name+".part", x.Limit.Rate, 1)
		to.GaugeFloat(name+".used", x.InUse+x.UsedRate, 1)
		to.GaugeFloat(name+".ends_s", max(0, (x.GrantedUntil-now).Seconds()), 1)
	}
}
