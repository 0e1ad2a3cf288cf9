// Package registry implements the replicated state of the fleet: the quota config, the members'
// sessions, the tasks and the leases. Agents that have applied the same log entries have equal
// registries. It does no I/O.
package registry

import (
	"slices"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// Registry is the replicated state. The zero value is the state before any log entry. It is not safe
// for concurrent use.
type Registry struct {
	QuotaConfig quota.Config   `json:"doc"`
	Members     []quota.Member `json:"members,omitempty"` // in order of incarnation
	LeaseConfig lease.Config   `json:"tasks"`
	Leases      []lease.Lease  `json:"leases,omitempty"` // in order of their keys
	LastToken   uint64         `json:"token,omitempty"`  // newest token granted
}

// Clone returns a copy that shares no slice that the registry changes.
func (r *Registry) Clone() Registry {
	c := *r
	c.QuotaConfig.Budgets = slices.Clone(r.QuotaConfig.Budgets)
	c.Members, c.Leases = slices.Clone(r.Members), slices.Clone(r.Leases)
	c.LeaseConfig.Tasks = slices.Clone(r.LeaseConfig.Tasks)
	return c
}

// SetQuotaConfig replaces the set of budgets; its version is the log index. On an error nothing is
// changed.
func (r *Registry) SetQuotaConfig(index uint64, c quota.Config) error {
	if err := c.Validate(); err != nil {
		return err
	}
	if len(r.Members) > 0 {
		if err := c.ValidateChange(&r.QuotaConfig); err != nil {
			return err
		}
	}
	if err := r.LeaseConfig.Validate(&c); err != nil { // Validate fills in defaults only, so the tasks stay as they are
		return err
	}
	c.Version = index
	r.QuotaConfig = c
	return nil
}

// Join creates a session for a member, with the log index as its incarnation. A member that has a
// session keeps it, as it repeats a join whose response was lost.
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

// Leave removes sessions and releases their leases. Unknown ids are ignored.
func (r *Registry) Leave(ids ...string) {
	r.releaseLeases(ids)
	r.Members = slices.DeleteFunc(r.Members, func(m quota.Member) bool { return slices.Contains(ids, m.ID) })
}

// memberIndex returns the position of a member; -1: it is not registered.
func (r *Registry) memberIndex(id string) int {
	return slices.IndexFunc(r.Members, func(m quota.Member) bool { return m.ID == id })
}
