package lease

import (
	"fmt"
)

// AnyMember as the next holder of a lease stands for whichever member rebalancing finds.
const AnyMember = "*"

// Key names one lease: a shard of a task.
type Key struct {
	Task  string `json:"task"`
	Shard int    `json:"shard"`
}

// String returns task/shard.
func (k Key) String() string { return fmt.Sprintf("%s/%d", k.Task, k.Shard) }

// CompareKeys orders keys by task and shard.
func CompareKeys(a, b Key) int {
	if a.Task != b.Task {
		if a.Task < b.Task {
			return -1
		}
		return 1
	}
	return a.Shard - b.Shard
}

// Lease is the replicated state of a shard's lease. Tokens grow with each grant of any lease, for as
// long as the log exists.
type Lease struct {
	Key
	Token        uint64 `json:"token"`             // fencing token; 0: never granted
	Holder       string `json:"holder,omitempty"`  // id of the member; empty: nobody
	NextHolder   string `json:"next,omitempty"`    // who is to get it once it is released or has expired; or AnyMember
	PinnedTo     string `json:"pin,omitempty"`     // member to which an operator migrated it: it stays there
	ChangedIndex uint64 `json:"changed,omitempty"` // log index of the last change
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds.
const (
	EventGrant   EventKind = "grant" // to a member, under a new token
	EventPlan    EventKind = "plan"  // it is to go to a member next, or to any
	EventRelease EventKind = "free"  // nobody holds it
)

// Event is a change of a lease through the log. It has no effect if the lease does not have
// ExpectedToken any more.
type Event struct {
	Key
	ExpectedToken uint64    `json:"over"`
	Kind          EventKind `json:"do"`
	Member        string    `json:"to,omitempty"`
	Pinned        bool      `json:"pin,omitempty"` // by an operator
}
