package quota

import (
	"fmt"
)

// Member is one process that has a session.
type Member struct {
	ID          string  `json:"id"`                 // drawn by the process for each session
	Name        string  `json:"name"`               // the instance's name
	Addr        string  `json:"addr"`               // where it serves clients
	Weight      float64 `json:"weight"`             // its weight in max-min fair shares
	Incarnation uint64  `json:"incarnation"`        // log index of its join; later sessions have greater ones
	Accounts    string  `json:"accounts,omitempty"` // where it serves its latency accounts; empty: nowhere
}

// Validate returns an error that names the first invalid field of a join.
func (m *Member) Validate() error {
	switch {
	case m.ID == "" || len(m.ID) > MaxNameBytes:
		return fmt.Errorf("id: wanted 1 to %d bytes", MaxNameBytes)
	case m.Name == "" || len(m.Name) > MaxNameBytes:
		return fmt.Errorf("name: wanted 1 to %d bytes", MaxNameBytes)
	case len(m.Addr) > MaxNameBytes:
		return fmt.Errorf("addr: %d bytes at most", MaxNameBytes)
	case len(m.Accounts) > MaxNameBytes:
		return fmt.Errorf("accounts: %d bytes at most", MaxNameBytes)
	case !(m.Weight > 0 && m.Weight <= 1000):
		return fmt.Errorf("weight: %v is not over 0 and up to 1000", m.Weight)
	}
	return nil
}

// DiffMembers returns the members that were added and removed between two states of the registry. Both
// lists must be in order of incarnation, so that the cost is linear.
func DiffMembers(before, now []Member) (joined, left []Member) {
	i, j := 0, 0
	for i < len(before) || j < len(now) {
		switch {
		case i < len(before) && j < len(now) && before[i].Incarnation == now[j].Incarnation && before[i].ID == now[j].ID:
			i, j = i+1, j+1
		case j == len(now) || i < len(before) && before[i].Incarnation <= now[j].Incarnation:
			left = append(left, before[i])
			i++
		default:
			joined = append(joined, now[j])
			j++
		}
	}
	return joined, left
}
