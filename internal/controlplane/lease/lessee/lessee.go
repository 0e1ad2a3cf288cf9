// Package lessee is a member's side of leases: which leases it holds and until when, whether an
// operation may start or continue, and what it reports to the lessor. It does no I/O; time is passed
// in, and equal inputs give equal outputs.
//
// Invariants: the TTL of a lease is counted from the start of its renewal, which is before the response
// arrived; an operation starts only if it can end within the lease; a released lease is not used again
// under the same token. Step numbers in comments refer to package lease.
package lessee

import (
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// Lessee is the lease state of one process. It is not safe for concurrent use.
type Lessee struct {
	supported        []string // names of the tasks that it can run
	config           lease.Config
	held             map[lease.Key]heldLease
	released         map[lease.Key]uint64    // tokens of released leases that the lessor has not confirmed yet
	running          map[lease.Key]Operation // operations that have not finished, by shard
	lastSeq          uint64                  // sequence number of the last renewal
	renewalStartedAt time.Duration           // start of the last renewal
	renewalAnswered  bool                    // the response to the last renewal was accepted
	highestToken     uint64                  // newest token that a guarded resource has reported
	renewNow         bool                    // a renewal must be sent before the next regular one
	operations       uint64                  // number of operations started, and number of the last one
}

// heldLease is a held lease with the outcomes of operations under its token.
type heldLease struct {
	token                     uint64
	expiresAt                 time.Duration // no operation may have effects from then on
	recalled                  bool          // to be released once no operation is running
	completed, fenced, failed uint64
	nextOperationAt           time.Duration // when the next operation is due
}

// New returns a lessee without leases for a process that can run the named tasks.
func New(tasks []string) *Lessee {
	return &Lessee{supported: slices.Clone(tasks), held: map[lease.Key]heldLease{}, released: map[lease.Key]uint64{}, running: map[lease.Key]Operation{}}
}
