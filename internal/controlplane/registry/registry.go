// Package registry is what the agents' log says of the fleet: the set of budgets, who has a seat, the tasks and who has which lease. Every agent that has applied as
// much of the log has the same. It does no I/O.
package registry

import (
	"slices"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// Registry is the state. Its zero value has no seats.
type Registry struct {
	QuotaConfig quota.Config   `json:"doc"`
	Members     []quota.Member `json:"members,omitempty"` // in order of incarnation
	LeaseConfig lease.Config   `json:"tasks"`
	Leases      []lease.Lease  `json:"leases,omitempty"` // in order of their keys
	LastToken   uint64         `json:"token,omitempty"`  // the newest given
}

// Clone returns a copy that shares nothing.
func (r *Registry) Clone() Registry {
	c := *r
	c.QuotaConfig.Budgets = slices.Clone(r.QuotaConfig.Budgets)
	c.Members, c.Leases = slices.Clone(r.Members), slices.Clone(r.Leases)
	c.LeaseConfig.Tasks = slices.Clone(r.LeaseConfig.Tasks)
	return c
}

// SetQuotaConfig takes a checked set of budgets over at the log's index, its new version; an error changes nothing.
func (r *Registry) SetQuotaConfig(index uint64, d quota.Config) error {
	if err := d.Validate(); err != nil {
		return err
	}
	if len(r.Members) > 0 {
		if err := d.ValidateChange(&r.QuotaConfig); err != nil {
			return err
		}
	}
	if err := r.LeaseConfig.Validate(&d); err != nil { // a copy's tasks are checked, and stay as they are
		return err
	}
	d.Version = index
	r.QuotaConfig = d
	return nil
}

// Join gives a member a seat, with the index as its incarnation. One that has a seat keeps it: its first answer was lost.
func (r *Registry) Join(index uint64, m quota.Member) (quota.Member, error) {
	if i := r.memberIndex(m.ID); i >= 0 {
		return r.Members[i], nil
	}
	switch {
	case r.QuotaConfig.Version == 0:
		return m, quota.ErrNoBudgets
	case len(r.Members) >= r.QuotaConfig.MaxSessions:
		return m, quota.ErrNoSession
	}
	m.Incarnation = index
	r.Members = append(r.Members, m)
	return m, nil
}

// Leave takes seats back, and leases with them. Ids that have none are passed over.
func (r *Registry) Leave(ids ...string) {
	r.releaseLeases(ids)
	r.Members = slices.DeleteFunc(r.Members, func(m quota.Member) bool { return slices.Contains(ids, m.ID) })
}

func (r *Registry) memberIndex(id string) int {
	return slices.IndexFunc(r.Members, func(m quota.Member) bool { return m.ID == id })
}
