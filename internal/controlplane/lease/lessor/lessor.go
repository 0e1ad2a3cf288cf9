// Package lessor is the leading agent's side of leases for fleet-wide tasks: until when each shard may be acted on by its holder, who is
// to have it next, and what a claim is answered. One keeper lasts for one term of one leader. It does no I/O; time is passed in,
// and equal inputs give equal outputs. docs/leases.md argues for its safety; the numbers in the comments here are that page's steps.
package lessor

import (
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/registry"
)

const (
	maxDeadInstances    = 64      // instances that one member holds dead
	deadQuorum          = 3       // members whose word on another is planned by
	maxBackoffDoublings = 4       // how often a back-off doubles
	maxPlausibleToken   = 1 << 60 // no place has been shown one like it: what says so is damaged
)

// Lessor is the book of one term.
type Lessor struct {
	startedAt        time.Duration
	quotaConfig      quota.Config
	config           lease.Config
	lastToken        uint64 // the newest that the log has given
	highestSeenToken uint64 // the newest that a place has been shown, as a member said
	members          map[string]member
	registered       []quota.Member // as the log had them last
	leases           []leaseState
	backoffs         map[backoffKey]backoff
}

type member struct {
	quota.Member
	lastSeq          uint64
	lastHeardAt      time.Duration // the last claim; of one that is only known from the log, when this keeper began
	tasks            map[string]bool
	openRequests     uint16   // requests open at it
	deadInstances    []string // whom it holds dead or gone
	reportedThisTerm bool     // it has told this keeper what it runs
}

// leaseState is one shard.
type leaseState struct {
	lease.Lease
	expiresAt      time.Duration      // its holder may act until then, by this clock
	holderMayKnow  bool               // an answer with it may have gone out, from this keeper or one before
	released       bool               // its holder gave it back
	revoking       bool               // it is being given on: nothing is renewed any more
	grantSeenAt    time.Duration      // when this keeper first saw the token
	holderStatus   lease.HolderStatus // as its holder said last
	lastProgressAt time.Duration      // when its holder last ended an act
}

// New begins a term. The register is what the log has, all of it up to the term's beginning.
func New(now time.Duration, r *registry.Registry) *Lessor {
	k := &Lessor{startedAt: now, members: map[string]member{}, backoffs: map[backoffKey]backoff{}}
	k.Update(now, r)
	return k
}

// leaseTTL is how long, at the keeper, a lease lasts whose claim has just come, and whatever its holder does in one act at a place that can't
// check a token (5).
func (k *Lessor) leaseTTL(t *lease.Task) time.Duration {
	return k.quotaConfig.MaxOnOtherClock(t.TTL() + t.MaxPause())
}

// Update takes over what the log says.
func (k *Lessor) Update(now time.Duration, r *registry.Registry) {
	tasked := k.config.Version != r.LeaseConfig.Version
	k.quotaConfig, k.config, k.lastToken = r.QuotaConfig, r.LeaseConfig, max(k.lastToken, r.LastToken)
	joined, left := quota.DiffMembers(k.registered, r.Members)
	k.registered = append(k.registered[:0], r.Members...)
	for _, m := range left {
		delete(k.members, m.ID)
	}
	for _, m := range joined {
		k.members[m.ID] = member{Member: m, lastHeardAt: now}
	}
	if len(left) > 0 || tasked {
		maps.DeleteFunc(k.backoffs, func(b backoffKey, _ backoff) bool { return !k.IsMember(b.memberID) || k.config.Task(b.task) == nil })
	}
	if slices.EqualFunc(k.leases, r.Leases, func(x leaseState, l lease.Lease) bool { return x.Lease == l }) {
		return
	}
	rows := make([]leaseState, 0, len(r.Leases))
	for _, l := range r.Leases {
		x := leaseState{Lease: l, grantSeenAt: now, lastProgressAt: now}
		had := k.lease(l.Key)
		switch {
		case had != nil && had.Token == l.Token && had.Holder == l.Holder:
			x = *had
			x.Lease = l
		case l.Holder == "":
			x.expiresAt = now // whoever held it gave it back, or left
		case had == nil:
			// From before this term: it may have been renewed just before (6).
			x.expiresAt, x.holderMayKnow = now+k.leaseTTL(k.config.Task(l.Task)), true
		default:
			x.expiresAt = now // granted in this term: its holder has not been told yet
		}
		rows = append(rows, x)
	}
	k.leases = rows
}

func (k *Lessor) lease(key lease.Key) *leaseState {
	at, there := slices.BinarySearchFunc(k.leases, key, func(r leaseState, key lease.Key) int { return lease.CompareKeys(r.Key, key) })
	if !there {
		return nil
	}
	return &k.leases[at]
}
