package quotasession

import (
	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/process/monotonic"
)

// EmitMetrics writes the metrics of the session and its allocations.
func (s *Session) EmitMetrics(to statsd.ExtendedStatSender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotonic.Now()
	registered := int64(0)
	if s.client.Registered(now) {
		registered = 1
	}
	to.Gauge("fleet.seated", registered, 1)
	to.Gauge("fleet.version", int64(s.client.ConfigVersion()), 1)
	to.Inc("fleet.renewals.taken", s.counts.renewed, 1)
	to.Inc("fleet.renewals.failed", s.counts.failed, 1)
	to.Inc("fleet.denied", s.counts.denied, 1)
	to.Inc("fleet.lapsed", s.counts.lapsed, 1)
	for _, x := range s.client.Status(now) {
		name := "fleet." + x.Budget
		if x.Key.Key != "" {
			name += "." + x.Key.Key
		}
		to.GaugeFloat(name+".part", x.Limit.Rate, 1)
		to.GaugeFloat(name+".used", x.InUse+x.UsedRate, 1)
		to.GaugeFloat(name+".ends_s", max(0, (x.GrantedUntil-now).Seconds()), 1)
	}
}
