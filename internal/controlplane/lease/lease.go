// Package lease has the terms of leases for fleet-wide tasks that members, keepers and agents share, and the checks of what an operator
// sets. It does no I/O. docs/leases.md has the design and the argument for its safety; the numbers in comments are that page's steps.
package lease

import (
	"fmt"
)

// AnyMember, as the member that a lease is to go to next, is whichever the spread finds.
const AnyMember = "*"

// Key names one lease.
type Key struct {
	Task  string `json:"task"`
	Shard int    `json:"shard"`
}

func (k Key) String() string { return fmt.Sprintf("%s/%d", k.Task, k.Shard) }

// CompareKeys orders keys.
func CompareKeys(a, b Key) int {
	if a.Task != b.Task {
		if a.Task < b.Task {
			return -1
		}
		return 1
	}
	return a.Shard - b.Shard
}

// Lease is what the log says of a shard. Token grows with each grant, of any shard, for as long as there is a log.
type Lease struct {
	Key
	Token        uint64 `json:"token"`             // 0: it was never granted
	Holder       string `json:"holder,omitempty"`  // a member's id; empty: nobody's
	NextHolder   string `json:"next,omitempty"`    // whom it is to go to once its holder has given it back, or it has ended; Anyone
	PinnedTo     string `json:"pin,omitempty"`     // the member that an operator moved it to: it stays there
	ChangedIndex uint64 `json:"changed,omitempty"` // the log's index of the last change
}

// EventKind is one kind of change of a lease.
type EventKind string

const (
	EventGrant   EventKind = "grant" // to a member, under a new token
	EventPlan    EventKind = "plan"  // it is to go to a member, or anyone, next
	EventRelease EventKind = "free"  // it is nobody's
)

// Event is a change of a lease through the log. It is void where the lease does not have the token Over any more.
type Event struct {
	Key
	ExpectedToken uint64    `json:"over"`
	Kind          EventKind `json:"do"`
	Member        string    `json:"to,omitempty"`
	Pinned        bool      `json:"pin,omitempty"` // by an operator
}
