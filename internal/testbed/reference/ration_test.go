package reference

import "time"

// rationed asks the ration from when a draw for the request may be made; governed is false where the settings' figures hold.
func (s *Scheduler) rationed(use Use, n *node, r *request, units float64) (at time.Duration, governed bool) {
	if s.set.Quota == nil {
		return 0, false
	}
	if use == ColdWork {
		units /= s.grown(n)
	}
	wait, governed := s.set.Quota.Wait(Draw{Resource: use, Endpoint: n.ID, Plan: r.Plan, Class: r.Class, Units: units})
	if wait > 0 {
		return s.now + max(wait, s.set.MinStep), governed
	}
	return 0, governed
}

// rationGate keeps what no rule of the settings bounds within the part: the connections that a node's requests are out on, and
// all work.
func (s *Scheduler) rationGate(n *node, r *request) time.Duration {
	conns, _ := s.rationed(Connections, n, r, float64(len(n.out)+1))
	if conns > s.now {
		return conns
	}
	work, _ := s.rationed(AllWork, n, r, r.Units)
	return work
}

// permit draws all that a send of the request takes from the ration. It is called before the send is noted.
func (s *Scheduler) permit(n *node, r *request) Permit {
	if s.set.Quota == nil {
		return nil
	}
	draws := []Draw{{Resource: AllWork, Endpoint: n.ID, Plan: r.Plan, Class: r.Class, Units: r.Units}}
	if s.cold(n) {
		draws = append(draws, Draw{Resource: ColdWork, Endpoint: n.ID, Plan: r.Plan, Class: r.Class, Units: r.Units / s.grown(n)})
	}
	if r.sent > 0 {
		draws = append(draws, Draw{Resource: Repeats, Endpoint: n.ID, Plan: r.Plan, Class: r.Class, Units: 1})
	}
	return s.set.Quota.Reserve(draws)
}

// grown is how much more the node bears than one that has just started: work at cold nodes is counted in what such a one bears.
func (s *Scheduler) grown(n *node) float64 {
	age := max(0, s.now-n.Started)
	return 1 + (1/max(s.set.Rules.ColdCapacityFraction, 0.01)-1)*age.Seconds()/s.set.Rules.WarmUpTime.Seconds()
}

// cold tells whether the rule on cold nodes holds for the node now.
func (s *Scheduler) cold(n *node) bool {
	ru := s.set.Rules
	return n.Started > 0 && s.now-n.Started < ru.WarmUpTime && ru.OverloadWindow > 0
}
