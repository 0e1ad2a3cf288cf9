package reference

// isEjected reports whether the endpoint is listed as up but gets no attempt, or one at a time.
func (s *Scheduler) isEjected(n *endpoint) bool {
	return n.State == Up && (n.blockedUntil > s.now || s.isFaulty(n))
}

// EjectedEndpoints returns the IDs of the endpoints that are listed as up but get no attempt, or one at a time.
func (s *Scheduler) EjectedEndpoints() (ids []string) {
	for _, n := range s.endpoints {
		if s.isEjected(n) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// applyProbeResult applies a probe result that is newer than the endpoint's last answer to this initiator. A healthy
// endpoint may get a trial request now; an unhealthy one gets none before its next probe. Results for endpoints that
// are not ejected are ignored.
func (s *Scheduler) applyProbeResult(e ProbeResult) {
	n := s.byID[e.Endpoint]
	if n == nil || !s.isEjected(n) || s.now-e.Age <= n.lastAnswerAt {
		return
	}
	if e.Healthy {
		n.blockedUntil = min(n.blockedUntil, s.now)
		return
	}
	n.blockedUntil = max(n.blockedUntil, s.now-e.Age+e.NextProbe)
}
