// Package lessor is the leading agent's side of leases. It decides until when each holder may act on
// its shard, which member is granted a shard next, and the response to a renewal. A Lessor lasts for
// one term of one leader. It does no I/O; time is passed in, and equal inputs give equal outputs.
//
// Invariant: a shard is granted to another member only after its holder released it, or after the
// latest time at which the lease can still be valid by the holder's clock. A new term assumes that
// every lease was renewed just before it began. Step numbers in comments refer to package lease.
package lessor

import (
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/registry"
)

// Bounds on reports and backoffs.
const (
	maxDeadInstances    = 64      // names of dead instances that one member may report
	deadQuorum          = 3       // reports after which planning treats a member as dead; fewer, but at least 2, in a small fleet
	maxBackoffDoublings = 4       // doublings of the time for which a member without progress is granted no shard
	maxPlausibleToken   = 1 << 60 // a reported token beyond it comes from corrupt state and is ignored
)

// Lessor is the lease state of one term. It is not safe for concurrent use.
type Lessor struct {
	startedAt        time.Duration // start of the term
	quotaConfig      quota.Config
	config           lease.Config
	lastToken        uint64 // newest token granted through the log
	highestSeenToken uint64 // newest token that a guarded resource has seen, as reported by members
	members          map[string]member
	registered       []quota.Member         // members as of the last Update
	leases           []leaseState           // in order of their keys
	backoffs         map[backoffKey]backoff // members without progress, by task
}

// member is a registered member and its last renewal.
type member struct {
	quota.Member
	lastSeq          uint64
	lastSeenAt       time.Duration   // last renewal; before the first in this term: start of the term or join
	tasks            map[string]bool // names of the tasks that it can run
	openRequests     uint16          // number of requests open at it
	deadInstances    []string        // names of instances that it considers dead or departed
	reportedThisTerm bool            // it has renewed in this term, so tasks is known
}

// leaseState is a lease with its state in this term.
type leaseState struct {
	lease.Lease
	expiresAt      time.Duration      // time on this clock after which its holder cannot act
	maybeDelivered bool               // a response granting it may have been sent, in this term or an earlier one
	released       bool               // its holder released it
	revoking       bool               // it is not renewed any more: an event to change it is pending, or its holder made no progress
	grantSeenAt    time.Duration      // when this term first saw the token
	holderStatus   lease.HolderStatus // as last reported
	lastProgressAt time.Duration      // last completed operation
}

// New starts a term. All log entries of earlier terms must have been applied to the registry.
func New(now time.Duration, r *registry.Registry) *Lessor {
	l := &Lessor{startedAt: now, members: map[string]member{}, backoffs: map[backoffKey]backoff{}}
	l.Update(now, r)
	return l
}

// leaseTTL returns how long, by this clock, a holder may act after its renewal arrived, including an
// operation delayed by a pause at a target that cannot check tokens (step 5).
func (l *Lessor) leaseTTL(t *lease.Task) time.Duration {
	return l.quotaConfig.MaxOnOtherClock(t.TTL() + t.MaxPause())
}

// Update applies the registry's current state.
func (l *Lessor) Update(now time.Duration, r *registry.Registry) {
	tasksChanged := l.config.Version != r.LeaseConfig.Version
	l.quotaConfig, l.config, l.lastToken = r.QuotaConfig, r.LeaseConfig, max(l.lastToken, r.LastToken)
	joined, left := quota.DiffMembers(l.registered, r.Members)
	l.registered = append(l.registered[:0], r.Members...)
	for _, m := range left {
		delete(l.members, m.ID)
	}
	for _, m := range joined {
		l.members[m.ID] = member{Member: m, lastSeenAt: now}
	}
	if len(left) > 0 || tasksChanged {
		maps.DeleteFunc(l.backoffs, func(b backoffKey, _ backoff) bool { return !l.IsMember(b.memberID) || l.config.Task(b.task) == nil })
	}
	if slices.EqualFunc(l.leases, r.Leases, func(state leaseState, granted lease.Lease) bool { return state.Lease == granted }) {
		return
	}
	updated := make([]leaseState, 0, len(r.Leases))
	for _, granted := range r.Leases {
		state := leaseState{Lease: granted, grantSeenAt: now, lastProgressAt: now}
		previous := l.lease(granted.Key)
		switch {
		case previous != nil && previous.Token == granted.Token && previous.Holder == granted.Holder:
			state = *previous
			state.Lease = granted
		case granted.Holder == "":
			state.expiresAt = now // its holder released it or left the fleet
		case previous == nil:
			// Granted before this term: it may have been renewed just before the term began (step 6).
			state.expiresAt, state.maybeDelivered = now+l.leaseTTL(l.config.Task(granted.Task)), true
		default:
			state.expiresAt = now // granted in this term and not sent to its holder yet
		}
		updated = append(updated, state)
	}
	l.leases = updated
}

// lease returns the state of a lease, or nil.
func (l *Lessor) lease(key lease.Key) *leaseState {
	at, found := slices.BinarySearchFunc(l.leases, key, func(state leaseState, key lease.Key) int { return lease.CompareKeys(state.Key, key) })
	if !found {
		return nil
	}
	return &l.leases[at]
}
