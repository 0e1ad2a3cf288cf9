package policy

import "time"

// ProbeResult is what one member of the fleet has found out about an ejected endpoint on behalf of
// all.
type ProbeResult struct {
	Endpoint  string
	Healthy   bool
	Age       time.Duration // since the probe, at most
	NextProbe time.Duration // from the probe until the next one
}

func (ProbeResult) event() {}

// applyProbeResult takes over a probe result that is newer than what this initiator has heard of the
// endpoint itself. A healthy endpoint may get a trial request now; an unhealthy one gets none before
// its next probe. Endpoints that are not ejected are left alone.
func (s *Scheduler) applyProbeResult(e ProbeResult) {
	n := s.byID[e.Endpoint]
	if n == nil || !s.isEjected(n) || s.now-e.Age <= n.lastAnswerAt {
		return
	}
	s.markUsed(n)
	if e.Healthy {
		n.blockedUntil = min(n.blockedUntil, s.now)
		return
	}
	n.blockedUntil = max(n.blockedUntil, s.now-e.Age+e.NextProbe)
}
