package policy

import "time"

// ProbeResult tells what one member of the fleet has found out about a node that some avoid, for all of them.
type ProbeResult struct {
	Endpoint  string
	Healthy   bool
	Age       time.Duration // since it was found out, at most
	NextProbe time.Duration // from then until it is tried again
}

func (ProbeResult) event() {}

// applyProbeResult takes over what was found out about a node, as far as it is newer than what this initiator has heard of it itself: where it is
// well a trial may go there now; where it is not, none does until it is tried again. One that is not avoided is left alone.
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
