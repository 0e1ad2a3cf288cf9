package quotasession

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/monotonic"
)

// toReservation converts a reservation of package policy to one of package quota.
func toReservation(res policy.Reservation) quota.Reservation {
	resource := [...]quota.Resource{policy.ColdWork: quota.ColdWork, policy.Retries: quota.Retries,
		policy.Connections: quota.Connections, policy.AllWork: quota.AllWork}[res.Resource]
	return quota.Reservation{Resource: resource, Target: res.Endpoint, Plan: res.Plan, Class: res.Class, Units: res.Units}
}

// Wait implements policy.Quota.
func (s *Session) Wait(res policy.Reservation) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, governed := s.client.Wait(monotonic.Now(), toReservation(res))
	if wait > 0 {
		s.counts.denied++
		s.wakeRenewal()
	}
	return wait, governed
}

// Reserve implements policy.Quota. The permit is valid for quota.MaxTransit, but not beyond the
// allocation that it uses.
func (s *Session) Reserve(reservations []policy.Reservation) policy.Permit {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]quota.Reservation, len(reservations))
	for i, res := range reservations {
		all[i] = toReservation(res)
	}
	return permit{s, s.client.Reserve(monotonic.Now(), all...)}
}

// permit allows a send until a time on the monotonic clock.
type permit struct {
	session *Session
	until   time.Duration
}

// Valid implements policy.Permit.
func (p permit) Valid() bool {
	valid := monotonic.Now() < p.until
	if !valid {
		p.session.mu.Lock()
		p.session.counts.lapsed++
		p.session.mu.Unlock()
	}
	return valid
}

// Open counts a new connection to a target, and reports false if the limit does not allow it.
func (s *Session) Open(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := s.client.OpenConnection(monotonic.Now(), target)
	if !allowed {
		s.counts.denied++
		s.wakeRenewal()
	}
	return allowed
}

// Close releases a connection that was closed.
func (s *Session) Close(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.CloseConnection(target)
}

// Excess returns how many connections to a target have to be closed.
func (s *Session) Excess(target string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.ExcessConnections(monotonic.Now(), target)
}
