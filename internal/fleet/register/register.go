// Package register is what the agents' log says of the fleet: the set of budgets and who has a seat. Every agent that has applied as
// much of the log has the same. It does no I/O.
package register

import (
	"slices"

	"spindlehitch/internal/fleet"
)

// Register is the state. Its zero value has no seats.
type Register struct {
	Doc     fleet.Doc      `json:"doc"`
	Members []fleet.Member `json:"members,omitempty"` // in order of incarnation
}

// Clone returns a copy that shares nothing.
func (r *Register) Clone() Register {
	c := *r
	c.Doc.Budgets = slices.Clone(r.Doc.Budgets)
	c.Members = slices.Clone(r.Members)
	return c
}

// Set takes a checked set of budgets over at the log's index, its new version; an error changes nothing.
func (r *Register) Set(index uint64, d fleet.Doc) error {
	if err := d.Check(); err != nil {
		return err
	}
	if len(r.Members) > 0 {
		if err := d.Follows(&r.Doc); err != nil {
			return err
		}
	}
	d.Version = index
	r.Doc = d
	return nil
}

// Join gives a member a seat, with the index as its incarnation. One that has a seat keeps it: its first answer was lost.
func (r *Register) Join(index uint64, m fleet.Member) (fleet.Member, error) {
	if i := r.find(m.ID); i >= 0 {
		return r.Members[i], nil
	}
	switch {
	case r.Doc.Version == 0:
		return m, fleet.NoBudgets
	case len(r.Members) >= r.Doc.Seats:
		return m, fleet.NoSeat
	}
	m.Incarnation = index
	r.Members = append(r.Members, m)
	return m, nil
}

// Leave takes seats back. Ids that have none are passed over.
func (r *Register) Leave(ids ...string) {
	r.Members = slices.DeleteFunc(r.Members, func(m fleet.Member) bool { return slices.Contains(ids, m.ID) })
}

func (r *Register) find(id string) int {
	return slices.IndexFunc(r.Members, func(m fleet.Member) bool { return m.ID == id })
}
