package quotasession

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/monotone"
)

// toReservation converts the scheduler's reservation to the fleet's.
func toReservation(res policy.Reservation) quota.Reservation {
	use := [...]quota.Resource{policy.ColdWork: quota.ColdWork, policy.Retries: quota.Retries,
		policy.Connections: quota.Connections, policy.AllWork: quota.AllWork}[res.Resource]
	return quota.Reservation{Resource: use, Target: res.Endpoint, Plan: res.Plan, Class: res.Class, Units: res.Units}
}

// Wait implements policy.Quota.
func (s *Session) Wait(res policy.Reservation) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, governed := s.client.Wait(monotone.Now(), toReservation(res))
	if wait > 0 {
		s.counts.denied++
		s.wakeRenewal()
	}
	return wait, governed
}

// Reserve implements policy.Quota. The permit is valid as long as the allocation that it uses.
func (s *Session) Reserve(draws []policy.Reservation) policy.Permit {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]quota.Reservation, len(draws))
	for i, res := range draws {
		all[i] = toReservation(res)
	}
	return permit{s, s.client.Reserve(monotone.Now(), all...)}
}

// permit is what a send may use, until a time on the monotonic clock.
type permit struct {
	session *Session
	until   time.Duration
}

// Valid implements policy.Permit.
func (p permit) Valid() bool {
	good := monotone.Now() < p.until
	if !good {
		p.session.mu.Lock()
		p.session.counts.lapsed++
		p.session.mu.Unlock()
	}
	return good
}

// Open counts a new connection to a target, and reports false if the limit does not allow it.
func (s *Session) Open(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.client.OpenConnection(monotone.Now(), target)
	if !ok {
		s.counts.denied++
		s.wakeRenewal()
	}
	return ok
}

// Close counts a connection that has ended.
func (s *Session) Close(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.CloseConnection(target)
}

// Excess is how many connections to a target have to be closed.
func (s *Session) Excess(target string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.ExcessConnections(monotone.Now(), target)
}
