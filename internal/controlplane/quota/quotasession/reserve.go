package quotasession

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/monotone"
)

// toReservation converts the scheduler's reservation to the fleet's.
func toReservation(d policy.Reservation) quota.Reservation {
	use := [...]quota.Resource{policy.ColdWork: quota.ColdWork, policy.Retries: quota.Retries,
		policy.Connections: quota.Connections, policy.AllWork: quota.AllWork}[d.Resource]
	return quota.Reservation{Resource: use, Target: d.Endpoint, Plan: d.Plan, Class: d.Class, Units: d.Units}
}

// Wait implements policy.Quota.
func (r *Session) Wait(d policy.Reservation) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, governed := r.client.Wait(monotone.Now(), toReservation(d))
	if wait > 0 {
		r.counts.denied++
		r.wakeRenewal()
	}
	return wait, governed
}

// Reserve implements policy.Quota. The permit is valid as long as the allocation that it uses.
func (r *Session) Reserve(draws []policy.Reservation) policy.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]quota.Reservation, len(draws))
	for i, d := range draws {
		all[i] = toReservation(d)
	}
	return permit{r, r.client.Reserve(monotone.Now(), all...)}
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
func (r *Session) Open(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.client.OpenConnection(monotone.Now(), target)
	if !ok {
		r.counts.denied++
		r.wakeRenewal()
	}
	return ok
}

// Close counts a connection that has ended.
func (r *Session) Close(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.client.CloseConnection(target)
}

// Over is how many connections to a target have to be closed.
func (r *Session) Over(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client.ExcessConnections(monotone.Now(), target)
}
