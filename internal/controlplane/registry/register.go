// Package registry is what the agents' log says of the fleet: the set of budgets, who has a seat, the tasks and who has which lease. Every agent that has applied as
// much of the log has the same. It does no I/O.
package registry

import (
	"slices"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// Register is the state. Its zero value has no seats.
type Register struct {
	Doc     quota.Doc      `json:"doc"`
	Members []quota.Member `json:"members,omitempty"` // in order of incarnation
	Tasks   lease.Doc      `json:"tasks"`
	Leases  []lease.Lease  `json:"leases,omitempty"` // in order of their keys
	Token   uint64         `json:"token,omitempty"`  // the newest given
}

// Clone returns a copy that shares nothing.
func (r *Register) Clone() Register {
	c := *r
	c.Doc.Budgets = slices.Clone(r.Doc.Budgets)
	c.Members, c.Leases = slices.Clone(r.Members), slices.Clone(r.Leases)
	c.Tasks.Tasks = slices.Clone(r.Tasks.Tasks)
	return c
}

// Set takes a checked set of budgets over at the log's index, its new version; an error changes nothing.
func (r *Register) Set(index uint64, d quota.Doc) error {
	if err := d.Check(); err != nil {
		return err
	}
	if len(r.Members) > 0 {
		if err := d.Follows(&r.Doc); err != nil {
			return err
		}
	}
	if err := r.Tasks.Check(&d); err != nil { // a copy's tasks are checked, and stay as they are
		return err
	}
	d.Version = index
	r.Doc = d
	return nil
}

// Join gives a member a seat, with the index as its incarnation. One that has a seat keeps it: its first answer was lost.
func (r *Register) Join(index uint64, m quota.Member) (quota.Member, error) {
	if i := r.find(m.ID); i >= 0 {
		return r.Members[i], nil
	}
	switch {
	case r.Doc.Version == 0:
		return m, quota.NoBudgets
	case len(r.Members) >= r.Doc.Seats:
		return m, quota.NoSeat
	}
	m.Incarnation = index
	r.Members = append(r.Members, m)
	return m, nil
}

// Leave takes seats back, and leases with them. Ids that have none are passed over.
func (r *Register) Leave(ids ...string) {
	r.vacate(ids)
	r.Members = slices.DeleteFunc(r.Members, func(m quota.Member) bool { return slices.Contains(ids, m.ID) })
}

func (r *Register) find(id string) int {
	return slices.IndexFunc(r.Members, func(m quota.Member) bool { return m.ID == id })
}
