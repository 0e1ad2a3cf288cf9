package policy

import "time"

// Resource is a kind of use that a fleet-wide quota limits.
type Resource int

// Resources.
const (
	ColdWork    Resource = iota // units sent to an endpoint that started recently
	Retries                     // attempts after the first
	Connections                 // connections held at an endpoint
	AllWork                     // units sent
)

// Reservation is one use of a limited resource. For Connections, Units is the total number of
// connections to the endpoint that would be in use.
type Reservation struct {
	Resource              Resource
	Endpoint, Plan, Class string
	Units                 float64
}

// Permit accompanies a Send. The sender checks it right before it writes the first byte, and sends
// nothing if it is no longer valid.
type Permit interface{ Valid() bool }

// Quota is this initiator's allocation of the fleet-wide quotas. It may change between any two calls.
// It can only delay sends.
type Quota interface {
	// Wait returns the minimum time until the reservation may be made; 0: now. governed is false if no quota
	// covers the resource: then the limits of the settings apply.
	Wait(r Reservation) (wait time.Duration, governed bool)
	// Reserve makes all reservations of one Send.
	Reserve(reservations []Reservation) Permit
}

// QuotaChanged reports that the quota has changed, so that waiting requests are checked again.
type QuotaChanged struct{}

func (QuotaChanged) event() {}

// quotaWait returns the time from which the quota allows the request to use a resource. governed is
// false if no quota covers it.
func (s *Scheduler) quotaWait(resource Resource, ep *endpoint, r *request, units float64) (at time.Duration, governed bool) {
	if s.settings.Quota == nil {
		return 0, false
	}
	if resource == ColdWork {
		units /= s.warmUpGrowth(ep)
	}
	wait, governed := s.settings.Quota.Wait(Reservation{resource, ep.ID, r.Plan, r.Class, units})
	if wait > 0 {
		return s.now + max(wait, s.settings.MinStep), governed
	}
	return 0, governed
}

// quotaGate applies the quotas on connections and on all work, for which the settings have no rule.
func (s *Scheduler) quotaGate(ep *endpoint, r *request) time.Duration {
	conns, _ := s.quotaWait(Connections, ep, r, float64(len(ep.inFlight)+1))
	if conns > s.now {
		return conns
	}
	work, _ := s.quotaWait(AllWork, ep, r, r.Units)
	return work
}

// reserveQuota reserves everything that a send of the request uses. It must be called before send
// increments the request's attempts.
func (s *Scheduler) reserveQuota(ep *endpoint, r *request) Permit {
	if s.settings.Quota == nil {
		return nil
	}
	reservations := []Reservation{{AllWork, ep.ID, r.Plan, r.Class, r.Units}}
	if s.isCold(ep) {
		reservations = append(reservations, Reservation{ColdWork, ep.ID, r.Plan, r.Class, r.Units / s.warmUpGrowth(ep)})
	}
	if r.attempts > 0 {
		reservations = append(reservations, Reservation{Retries, ep.ID, r.Plan, r.Class, 1})
	}
	return s.settings.Quota.Reserve(reservations)
}
