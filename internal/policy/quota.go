package policy

import "time"

// Resource is what a part of a fleet-wide whole is for.
type Resource int

const (
	// ColdWork is units sent to a node that has just started.
	ColdWork Resource = iota
	// Retries is attempts after the first.
	Retries
	// Connections is connections held at a node.
	Connections
	// AllWork is units sent.
	AllWork
)

// Reservation is one use of what may be rationed. Of connections, Units is how many would be in use.
type Reservation struct {
	Resource              Resource
	Endpoint, Plan, Class string
	Units                 float64
}

// Permit goes with a Send, and has to be good just before its first byte; else nothing is sent.
type Permit interface{ Valid() bool }

// Quota is this initiator's part of fleet-wide wholes, which others may change between any two calls. The module decides; a
// ration only bounds it.
type Quota interface {
	// Wait tells how long it is at least until the draw may be made; 0: now. governed is false where there is no such whole:
	// then the settings' figures hold.
	Wait(d Reservation) (wait time.Duration, governed bool)
	// Reserve makes draws, all for one Send.
	Reserve(draws []Reservation) Permit
}

// QuotaChanged tells that the ration has changed.
type QuotaChanged struct{}

func (QuotaChanged) event() {}

// quotaWait asks the ration from when a draw for the request may be made; governed is false where the settings' figures hold.
func (s *Scheduler) quotaWait(use Resource, n *endpoint, r *request, units float64) (at time.Duration, governed bool) {
	if s.settings.Quota == nil {
		return 0, false
	}
	if use == ColdWork {
		units /= s.warmUpGrowth(n)
	}
	wait, governed := s.settings.Quota.Wait(Reservation{use, n.ID, r.Plan, r.Class, units})
	if wait > 0 {
		return s.now + max(wait, s.settings.MinStep), governed
	}
	return 0, governed
}

// quotaGate keeps what no rule of the settings bounds within the part: the connections that a node's requests are out on, and
// all work.
func (s *Scheduler) quotaGate(n *endpoint, r *request) time.Duration {
	conns, _ := s.quotaWait(Connections, n, r, float64(len(n.inFlight)+1))
	if conns > s.now {
		return conns
	}
	work, _ := s.quotaWait(AllWork, n, r, r.Units)
	return work
}

// reserveQuota draws all that a send of the request takes from the ration. It is called before the send is noted.
func (s *Scheduler) reserveQuota(n *endpoint, r *request) Permit {
	if s.settings.Quota == nil {
		return nil
	}
	draws := []Reservation{{AllWork, n.ID, r.Plan, r.Class, r.Units}}
	if s.isCold(n) {
		draws = append(draws, Reservation{ColdWork, n.ID, r.Plan, r.Class, r.Units / s.warmUpGrowth(n)})
	}
	if r.attempts > 0 {
		draws = append(draws, Reservation{Retries, n.ID, r.Plan, r.Class, 1})
	}
	return s.settings.Quota.Reserve(draws)
}
