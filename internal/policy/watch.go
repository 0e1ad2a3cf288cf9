package policy

import "time"

// Watched tells what one member of the fleet has found out about a node that some avoid, for all of them.
type Watched struct {
	Node string
	Well bool
	Ago  time.Duration // since it was found out, at most
	Next time.Duration // from then until it is tried again
}

func (Watched) event() {}

// avoids tells whether the node gets no request, or one trial at a time, though it is listed as up.
func (s *Scheduler) avoids(n *node) bool { return n.State == Up && (n.openAt > s.now || s.troubled(n)) }

// AvoidedNodes names the nodes that are listed as up and get no request, or one trial at a time.
func (s *Scheduler) AvoidedNodes() (ids []string) {
	for _, n := range s.inUse() {
		if s.avoids(n) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// watched takes over what was found out about a node, as far as it is newer than what this initiator has heard of it itself: where it is
// well a trial may go there now; where it is not, none does until it is tried again. One that is not avoided is left alone.
func (s *Scheduler) watched(e Watched) {
	n := s.byID[e.Node]
	if n == nil || !s.avoids(n) || s.now-e.Ago <= n.heard {
		return
	}
	s.use(n)
	if e.Well {
		n.openAt = min(n.openAt, s.now)
		return
	}
	n.openAt = max(n.openAt, s.now-e.Ago+e.Next)
}
