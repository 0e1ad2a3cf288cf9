package policy

import "time"

// Resource is what a fleet-wide quota limits.
type Resource int

// The resources.
const (
	ColdWork    Resource = iota // units sent to an endpoint that started recently
	Retries                     // attempts after the first
	Connections                 // connections held at an endpoint
	AllWork                     // units sent
)

// Reservation is one use of a limited resource. Of Connections, Units is how many would be in use in
// all.
type Reservation struct {
	Resource              Resource
	Endpoint, Plan, Class string
	Units                 float64
}

// Permit accompanies a Send. The sender checks it right before the first byte; if it is no longer
// valid, nothing is sent.
type Permit interface{ Valid() bool }

// Quota is this initiator's part of the fleet-wide quotas. It may change between any two calls. It
// only limits what the scheduler decides.
type Quota interface {
	// Wait returns the least time until the reservation may be made; 0: now. governed is false if no quota covers
	// the resource: then the limits of the settings apply.
	Wait(d Reservation) (wait time.Duration, governed bool)
	// Reserve makes all reservations of one Send.
	Reserve(draws []Reservation) Permit
}

// QuotaChanged tells that the quota has changed.
type QuotaChanged struct{}

func (QuotaChanged) event() {}

// quotaWait returns the time from which the quota allows the request to use a resource. governed is
// false if no quota covers it.
func (s *Scheduler) quotaWait(use Resource, ep *endpoint, r *request, units float64) (at time.Duration, governed bool) {
	if s.settings.Quota == nil {
		return 0, false
	}
	if use == ColdWork {
		units /= s.warmUpGrowth(ep)
	}
	wait, governed := s.settings.Quota.Wait(Reservation{use, ep.ID, r.Plan, r.Class, units})
	if wait > 0 {
		return s.now + max(wait, s.settings.MinStep), governed
	}
	return 0, governed
}

// quotaGate applies the quotas on connections and on all work, which no rule of the settings bounds.
func (s *Scheduler) quotaGate(ep *endpoint, r *request) time.Duration {
	conns, _ := s.quotaWait(Connections, ep, r, float64(len(ep.inFlight)+1))
	if conns > s.now {
		return conns
	}
	work, _ := s.quotaWait(AllWork, ep, r, r.Units)
	return work
}

// reserveQuota reserves all that a send of the request uses. It must be called before the send is
// recorded.
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
