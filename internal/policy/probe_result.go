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
	ep := s.byID[e.Endpoint]
	if ep == nil || !s.isEjected(ep) || s.now-e.Age <= ep.lastAnswerAt {
		return
	}
	s.markUsed(ep)
	if e.Healthy {
		ep.blockedUntil = min(ep.blockedUntil, s.now)
		return
	}
	ep.blockedUntil = max(ep.blockedUntil, s.now-e.Age+e.NextProbe)
}
