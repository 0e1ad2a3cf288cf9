// Package lessor is the leading agent's side of leases: until when each holder may act on its shard,
// who gets a shard next, and how a renewal is answered. A Lessor lasts for one term of one leader. It
// does no I/O; time is passed in, and equal inputs give equal outputs.
//
// Invariant: a shard is granted to another member only after its holder released it, or after the
// latest time at which the holder's clock can still show the lease as valid. A new term assumes that
// every lease was renewed just before it began. Numbers of steps in comments are those of package
// lease.
package lessor

import (
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/registry"
)

// Constants of the lessor.
const (
	maxDeadInstances    = 64      // names of dead instances that one member may report
	deadQuorum          = 3       // members whose reports make another one count as dead for planning
	maxBackoffDoublings = 4       // of the time for which a member without progress gets nothing
	maxPlausibleToken   = 1 << 60 // a reported token beyond it comes from damaged state
)

// Lessor is the lease state of one term.
type Lessor struct {
	startedAt        time.Duration // start of the term
	quotaConfig      quota.Config
	config           lease.Config
	lastToken        uint64 // newest token granted through the log
	highestSeenToken uint64 // newest token that a guarded resource was shown, as members report
	members          map[string]member
	registered       []quota.Member         // members as of the last Update
	leases           []leaseState           // in order of their keys
	backoffs         map[backoffKey]backoff // members without progress, by task
}

// member is a registered member and its last renewal.
type member struct {
	quota.Member
	lastSeq          uint64
	lastHeardAt      time.Duration   // last renewal; before the first in this term: start of the term or join
	tasks            map[string]bool // that it can run
	openRequests     uint16          // requests open at it
	deadInstances    []string        // names that it holds dead or gone
	reportedThisTerm bool            // it has told this lessor which tasks it runs
}

// leaseState is a lease with what this term knows about it.
type leaseState struct {
	lease.Lease
	expiresAt      time.Duration      // its holder does not act after it, by this clock
	holderMayKnow  bool               // an answer with it may have been sent, in this term or before
	released       bool               // its holder released it
	revoking       bool               // an event to change it is under way: it is not renewed any more
	grantSeenAt    time.Duration      // when this term first saw the token
	holderStatus   lease.HolderStatus // as last reported
	lastProgressAt time.Duration      // last completed operation
}

// New starts a term. The registry must have all entries of earlier terms applied.
func New(now time.Duration, r *registry.Registry) *Lessor {
	l := &Lessor{startedAt: now, members: map[string]member{}, backoffs: map[backoffKey]backoff{}}
	l.Update(now, r)
	return l
}

// leaseTTL is how long, by this clock, the holder of a lease whose renewal has just arrived may act,
// including one operation that a pause has delayed at a target which cannot check tokens (step 5).
func (l *Lessor) leaseTTL(t *lease.Task) time.Duration {
	return l.quotaConfig.MaxOnOtherClock(t.TTL() + t.MaxPause())
}

// Update takes over the registry's state.
func (l *Lessor) Update(now time.Duration, r *registry.Registry) {
	tasksChanged := l.config.Version != r.LeaseConfig.Version
	l.quotaConfig, l.config, l.lastToken = r.QuotaConfig, r.LeaseConfig, max(l.lastToken, r.LastToken)
	joined, left := quota.DiffMembers(l.registered, r.Members)
	l.registered = append(l.registered[:0], r.Members...)
	for _, m := range left {
		delete(l.members, m.ID)
	}
	for _, m := range joined {
		l.members[m.ID] = member{Member: m, lastHeardAt: now}
	}
	if len(left) > 0 || tasksChanged {
		maps.DeleteFunc(l.backoffs, func(b backoffKey, _ backoff) bool { return !l.IsMember(b.memberID) || l.config.Task(b.task) == nil })
	}
	if slices.EqualFunc(l.leases, r.Leases, func(state leaseState, granted lease.Lease) bool { return state.Lease == granted }) {
		return
	}
	rows := make([]leaseState, 0, len(r.Leases))
	for _, granted := range r.Leases {
		state := leaseState{Lease: granted, grantSeenAt: now, lastProgressAt: now}
		had := l.lease(granted.Key)
		switch {
		case had != nil && had.Token == granted.Token && had.Holder == granted.Holder:
			state = *had
			state.Lease = granted
		case granted.Holder == "":
			state.expiresAt = now // its holder released it, or left
		case had == nil:
			// From before this term: it may have been renewed just before it began (step 6).
			state.expiresAt, state.holderMayKnow = now+l.leaseTTL(l.config.Task(granted.Task)), true
		default:
			state.expiresAt = now // granted in this term: its holder does not know it yet
		}
		rows = append(rows, state)
	}
	l.leases = rows
}

// lease returns the state of a lease, or nil.
func (l *Lessor) lease(key lease.Key) *leaseState {
	at, there := slices.BinarySearchFunc(l.leases, key, func(state leaseState, key lease.Key) int { return lease.CompareKeys(state.Key, key) })
	if !there {
		return nil
	}
	return &l.leases[at]
}
