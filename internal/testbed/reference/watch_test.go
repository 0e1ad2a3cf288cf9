package reference

// avoids tells whether the node gets no request, or one trial at a time, though it is listed as up.
func (s *Scheduler) avoids(n *node) bool { return n.State == Up && (n.openAt > s.now || s.troubled(n)) }

// EjectedEndpoints names the nodes that are listed as up and get no request, or one trial at a time.
func (s *Scheduler) EjectedEndpoints() (ids []string) {
	for _, n := range s.nodes {
		if s.avoids(n) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// watched takes over what was found out about a node, as far as it is newer than what this initiator has heard of it itself: where it is
// well a trial may go there now; where it is not, none does until it is tried again. One that is not avoided is left alone.
func (s *Scheduler) watched(e Watched) {
	n := s.byID[e.Endpoint]
	if n == nil || !s.avoids(n) || s.now-e.Age <= n.heard {
		return
	}
	if e.Healthy {
		n.openAt = min(n.openAt, s.now)
		return
	}
	n.openAt = max(n.openAt, s.now-e.Age+e.NextProbe)
}
