// Package lessee is a member's side of leases: which leases it holds and until when, whether an
// operation may start or continue, and what it reports to the lessor. It does no I/O; time is passed
// in, and equal inputs give equal outputs.
//
// Invariants: a lease is valid until its TTL counted from the start of its renewal, so before the
// answer arrived; an operation starts only if it can end within the lease; a released lease is not
// used again under the same token. Numbers of steps in comments are those of package lease.
package lessee

import (
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// Lessee is one process's leases. It is not safe for concurrent use.
type Lessee struct {
	supported        []string // names of the tasks that it can run
	config           lease.Config
	held             map[lease.Key]heldLease
	released         map[lease.Key]uint64    // tokens released, until the lessor has confirmed
	running          map[lease.Key]Operation // operations that have not finished, by shard
	lastSeq          uint64                  // of the renewal sent last
	renewalStartedAt time.Duration           // of it
	renewalAnswered  bool                    // its answer was accepted
	highestToken     uint64                  // newest token that a guarded resource has shown
	renewNow         bool                    // something has to be reported before the next regular renewal
	operations       uint64                  // started so far: their numbers grow
}

// heldLease is one lease held, with its operations under this token.
type heldLease struct {
	token                     uint64
	expiresAt                 time.Duration // nothing may be done from then on
	recalled                  bool          // to be released once no operation is running
	completed, fenced, failed uint64
	nextOperationAt           time.Duration // when the next act is due
}

// New returns a lessee without leases, of a process that can run the tasks named.
func New(runs []string) *Lessee {
	return &Lessee{supported: slices.Clone(runs), held: map[lease.Key]heldLease{}, released: map[lease.Key]uint64{}, running: map[lease.Key]Operation{}}
}
