// Package lessee is a member's side of leases for fleet-wide tasks: what it holds and until when, whether an act may begin or go on, and
// what it tells the keeper. It does no I/O; time is passed in, and equal inputs give equal outputs. docs/leases.md argues for its
// safety; the numbers in the comments here are that page's steps.
package lessee

import (
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// Lessee is one process's. It is not safe for concurrent use.
type Lessee struct {
	supported        []string
	config           lease.Config
	held             map[lease.Key]heldLease
	released         map[lease.Key]uint64    // given back, by token, until the keeper has heard
	running          map[lease.Key]Operation // acts under way, seen to end or not
	lastSeq          uint64
	renewalStartedAt time.Duration // when the claim sent last was begun
	renewalAnswered  bool          // its answer was taken
	highestToken     uint64        // the newest token that a place has shown
	renewNow         bool          // something is to be told before the next renewal is due
	operations       uint64        // begun, ever: acts have numbers that grow
}

type heldLease struct {
	token                     uint64
	expiresAt                 time.Duration // nothing may be done from then on
	recalled                  bool
	completed, fenced, failed uint64
	nextOperationAt           time.Duration // when the next act is due
}

// New returns a tenant that holds nothing, of a process that can do the tasks named.
func New(runs []string) *Lessee {
	return &Lessee{supported: slices.Clone(runs), held: map[lease.Key]heldLease{}, released: map[lease.Key]uint64{}, running: map[lease.Key]Operation{}}
}
