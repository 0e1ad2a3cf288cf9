package reference

import "time"

// quotaWait returns the time from which the quota allows the request to use a resource. governed is false if no quota
// covers it: then the limits of the settings apply.
func (s *Scheduler) quotaWait(use Resource, n *endpoint, r *request, units float64) (at time.Duration, governed bool) {
	if s.settings.Quota == nil {
		return 0, false
	}
	if use == ColdWork {
		units /= s.warmUpGrowth(n)
	}
	wait, governed := s.settings.Quota.Wait(Reservation{Resource: use, Endpoint: n.ID, Plan: r.Plan, Class: r.Class, Units: units})
	if wait > 0 {
		return s.now + max(wait, s.settings.MinStep), governed
	}
	return 0, governed
}

// quotaGate applies the quotas on an endpoint's connections and on all work, for which the settings have no rule.
func (s *Scheduler) quotaGate(n *endpoint, r *request) time.Duration {
	conns, _ := s.quotaWait(Connections, n, r, float64(len(n.inFlight)+1))
	if conns > s.now {
		return conns
	}
	work, _ := s.quotaWait(AllWork, n, r, r.Units)
	return work
}

// reserveQuota reserves everything that a send of the request uses. It must be called before send increments the
// request's attempts.
func (s *Scheduler) reserveQuota(n *endpoint, r *request) Permit {
	if s.settings.Quota == nil {
		return nil
	}
	reservations := []Reservation{{Resource: AllWork, Endpoint: n.ID, Plan: r.Plan, Class: r.Class, Units: r.Units}}
	if s.isCold(n) {
		reservations = append(reservations, Reservation{Resource: ColdWork, Endpoint: n.ID, Plan: r.Plan, Class: r.Class, Units: r.Units / s.warmUpGrowth(n)})
	}
	if r.attempts > 0 {
		reservations = append(reservations, Reservation{Resource: Retries, Endpoint: n.ID, Plan: r.Plan, Class: r.Class, Units: 1})
	}
	return s.settings.Quota.Reserve(reservations)
}

// warmUpGrowth is the endpoint's capacity now over that right after its start. Work at cold endpoints is counted in
// units of the capacity right after the start.
func (s *Scheduler) warmUpGrowth(n *endpoint) float64 {
	age := max(0, s.now-n.Started)
	return 1 + (1/max(s.settings.Rules.ColdCapacityFraction, 0.01)-1)*age.Seconds()/s.settings.Rules.WarmUpTime.Seconds()
}

// isCold reports whether the cold start rule applies to the endpoint now.
func (s *Scheduler) isCold(n *endpoint) bool {
	ru := s.settings.Rules
	return n.Started > 0 && s.now-n.Started < ru.WarmUpTime && ru.OverloadWindow > 0
}
