package lease

import (
	"fmt"
)

// AnyMember as the next holder of a lease stands for any member that rebalancing selects.
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

// Lease is the replicated state of a shard's lease. Each grant of any lease gets a greater token than
// all grants before it in the log.
type Lease struct {
	Key
	Token        uint64 `json:"token"`             // fencing token; 0: never granted
	Holder       string `json:"holder,omitempty"`  // id of the member; empty: none
	NextHolder   string `json:"next,omitempty"`    // member that gets it once it is released or has expired; or AnyMember
	PinnedTo     string `json:"pin,omitempty"`     // member to which an operator migrated it; rebalancing does not move it away
	ChangedIndex uint64 `json:"changed,omitempty"` // log index of the last change
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventGrant   EventKind = "grant" // grants the lease to a member under a new token
	EventPlan    EventKind = "plan"  // sets the next holder: a member or AnyMember
	EventRelease EventKind = "free"  // removes the holder
)

// Event is a change of a lease through the log. It has no effect if the lease's token is no longer
// ExpectedToken.
type Event struct {
	Key
	ExpectedToken uint64    `json:"over"`
	Kind          EventKind `json:"do"`
	Member        string    `json:"to,omitempty"`
	Pinned        bool      `json:"pin,omitempty"` // requested by an operator
}
