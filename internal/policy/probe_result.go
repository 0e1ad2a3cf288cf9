package policy

import "time"

// ProbeResult is the result of one fleet member's probe of an ejected endpoint, shared with all
// members.
type ProbeResult struct {
	Endpoint  string
	Healthy   bool
	Age       time.Duration // since the probe, at most
	NextProbe time.Duration // from the probe until the next one
}

func (ProbeResult) event() {}

// applyProbeResult applies a probe result that is newer than the endpoint's last answer to this
// initiator. A healthy endpoint may get a trial request now; an unhealthy one gets none before its next
// probe. Results for endpoints that are not ejected are ignored.
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
