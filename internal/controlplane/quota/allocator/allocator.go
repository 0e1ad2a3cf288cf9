// Package allocator is the leading agent's side of fleet-wide quotas. It keeps a ledger of what each
// member may still use of each limit, and decides the allocations of each renewal. An Allocator lasts
// for one term of one leader. It does no I/O; time is passed in, and equal inputs give equal outputs.
//
// Invariant: for each limit, the allocations that members may still use, counted until the latest time
// at which they can expire by any member's clock, never exceed the shared pool. A new term does not
// have the allocations of the previous one; until all of them have expired it only extends what members
// report to hold. Step numbers in comments refer to package quota.
package allocator

import (
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// maxSameName is how many live processes may have the same name and address: two during an upgrade and
// one that was just killed.
const maxSameName = 3

// Allocator is the quota state of one term. It is not safe for concurrent use.
type Allocator struct {
	config     quota.Config
	startedAt  time.Duration // start of the term
	members    map[string]member
	memberIDs  []string              // sorted
	registered []quota.Member        // members as of the last Update
	ledgers    map[quota.Key]*ledger // by limit
}

// member is a registered member and its last renewal.
type member struct {
	quota.Member
	lastSeq         uint64
	lastSeenAt      time.Duration // last renewal; before the first in this term: start of the term or join
	renewedThisTerm bool          // this allocator has processed a renewal of it
	expired         bool          // its session is being removed
	configVersion   uint64        // version of the config that it used at its last renewal
}

// entry is what one member may hold of one limit. The reported and the granted amount both count until
// they end, since the allocator cannot tell which of the two the member uses (step 2).
type entry struct {
	memberID      string
	fairShare     float64      // as of the last recomputeShares
	hasFairShare  bool         // fairShare is set
	reported      quota.Amount // held by the member when it started its last renewal
	reportedUntil time.Duration
	granted       quota.Amount // by the response to that renewal
	grantedUntil  time.Duration
	usage         quota.UsageReport // last report
}

// maxOutstanding returns the most that the member may still hold.
func (e entry) maxOutstanding(now time.Duration) (a quota.Amount) {
	if now < e.reportedUntil {
		a = e.reported
	}
	if now < e.grantedUntil {
		a.Rate, a.Burst = max(a.Rate, e.granted.Rate), max(a.Burst, e.granted.Burst)
	}
	return a
}

// New starts a term. quotaConfig and members must be those of the registry after all log entries of
// earlier terms were applied.
func New(now time.Duration, quotaConfig quota.Config, members []quota.Member) *Allocator {
	a := &Allocator{config: quotaConfig, startedAt: now, members: map[string]member{}, ledgers: map[quota.Key]*ledger{}}
	a.Update(now, quotaConfig, members)
	return a
}

// Update applies the registry's current state. A removed member holds nothing: it has left, or its
// session lasted longer than all its allocations (step 1).
func (a *Allocator) Update(now time.Duration, quotaConfig quota.Config, members []quota.Member) {
	a.config = quotaConfig
	joined, left := quota.DiffMembers(a.registered, members)
	a.registered = append(a.registered[:0], members...)
	for _, m := range left {
		delete(a.members, m.ID)
		if at, found := slices.BinarySearch(a.memberIDs, m.ID); found {
			a.memberIDs = slices.Delete(a.memberIDs, at, at+1)
		}
	}
	for _, m := range joined {
		a.members[m.ID] = member{Member: m, lastSeenAt: now}
		if at, found := slices.BinarySearch(a.memberIDs, m.ID); !found {
			a.memberIDs = slices.Insert(a.memberIDs, at, m.ID)
		}
	}
	if len(left) == 0 {
		return
	}
	for k, l := range a.ledgers {
		if l.removeIf(func(e entry) bool { _, isMember := a.members[e.memberID]; return !isMember }) == 0 {
			delete(a.ledgers, k)
		}
	}
}

// outstandingTTL returns how long, by this clock, an allocation may be used after its renewal arrived,
// including its linger time.
func (a *Allocator) outstandingTTL(b *quota.Budget) time.Duration {
	return a.config.MaxOnOtherClock(a.config.AllocationTTL() + b.Linger())
}

// sessionTTL returns how long, by this clock, a session lasts after its last renewal, including the
// linger time of its floor.
func (a *Allocator) sessionTTL() time.Duration {
	linger := time.Duration(0)
	for i := range a.config.Budgets {
		linger = max(linger, a.config.Budgets[i].Linger())
	}
	return a.config.MaxOnOtherClock(a.config.SessionTTL() + linger)
}

// isLive reports whether the member renewed recently enough to hold an allocation.
func (a *Allocator) isLive(now time.Duration, m member) bool {
	return !m.expired && now < m.lastSeenAt+a.config.MaxOnOtherClock(a.config.AllocationTTL())
}

// Admit returns an error if a process may not join. The registry limits the number of sessions. A
// process that lost the response to its join repeats it: its session then counts from the repeated
// request, unless it is being removed.
func (a *Allocator) Admit(now time.Duration, m quota.Member) error {
	if existing, known := a.members[m.ID]; known {
		if existing.expired {
			return quota.ErrUnknownMember
		}
		existing.lastSeenAt = now
		a.members[m.ID] = existing
		return nil
	}
	sameName := 0
	for _, other := range a.members {
		if other.Name != m.Name || !a.isLive(now, other) {
			continue
		}
		if other.Addr != m.Addr {
			return quota.ErrNameTaken
		}
		sameName++
	}
	if sameName >= maxSameName {
		return quota.ErrNameTaken
	}
	return nil
}

// Expire marks the sessions that have ended and returns their members' ids, which the caller removes
// from the registry. Their renewals are rejected from now on (step 1).
func (a *Allocator) Expire(now time.Duration) (ids []string) {
	for _, id := range a.memberIDs {
		if m, known := a.members[id]; known && (m.expired || now >= m.lastSeenAt+a.sessionTTL()) {
			m.expired = true
			a.members[id] = m
			ids = append(ids, id)
		}
	}
	return ids
}

// Renew records a member's report and decides its allocations. The response may only be sent once a
// majority of agents has confirmed, after this call, that no later term has begun (step 6).
func (a *Allocator) Renew(now time.Duration, req quota.RenewalRequest) (quota.RenewalResponse, error) {
	m, known := a.members[req.ID]
	switch {
	case !known || m.expired:
		return quota.RenewalResponse{}, quota.ErrUnknownMember
	case len(req.Reports) > quota.MaxKeys+quota.MaxBudgets:
		return quota.RenewalResponse{}, quota.ErrNoBudgets
	case req.Seq <= m.lastSeq:
		return quota.RenewalResponse{}, quota.ErrStaleRenewal
	}
	m.lastSeq, m.lastSeenAt, m.renewedThisTerm, m.configVersion = req.Seq, now, true, req.Version
	a.members[req.ID] = m
	resp := quota.RenewalResponse{ID: req.ID, Seq: req.Seq}
	if req.Version != a.config.Version {
		config := a.config
		resp.Config = &config
	}
	reported := make(map[quota.Key]bool, len(req.Reports))
	for _, rep := range req.Reports {
		b := a.config.Budget(rep.Budget)
		if b == nil || reported[rep.Key] {
			continue
		}
		reported[rep.Key] = true
		resp.Allocations = append(resp.Allocations, a.renewLimit(now, req.ID, b, rep))
	}
	a.dropUnreported(req.ID, reported)
	return resp, nil
}

// renewLimit records a member's report about one limit and decides its allocation.
func (a *Allocator) renewLimit(now time.Duration, id string, b *quota.Budget, rep quota.UsageReport) quota.Allocation {
	l := a.ledgers[rep.Key]
	if l == nil {
		l = &ledger{sharesStale: true}
		a.ledgers[rep.Key] = l
	}
	at, found := l.find(id)
	if !found {
		l.insert(at, id)
	}
	// The member accepts no older response any more, so of earlier allocations only what it reports to hold
	// counts (steps 3 and 4).
	held := rep.Held
	if b.IsConcurrencyLimit() {
		held.Rate = max(held.Rate, rep.InUse-b.FloorRate)
	}
	e := &l.entries[at]
	*e = entry{memberID: id, fairShare: e.fairShare, hasFairShare: e.hasFairShare, reported: held, reportedUntil: now + a.outstandingTTL(b), usage: rep}
	grant := quota.Allocation{Key: rep.Key}
	unallocated := a.available(now, b, l, at)
	if now < a.startedAt+a.outstandingTTL(b) {
		grant.Amount, grant.ExtendsOnly = minAmount(rep.Held, unallocated), true // step 5
	} else {
		grant.Amount = a.allocate(now, b, l, e, unallocated)
	}
	e.granted, e.grantedUntil = grant.Amount, now+a.outstandingTTL(b)
	l.invalidate(at)
	return grant
}

// dropUnreported removes a member's entries of limits that it did not report: it holds nothing of them, and accepts
// no older response.
func (a *Allocator) dropUnreported(id string, reported map[quota.Key]bool) {
	for k, l := range a.ledgers {
		if reported[k] {
			continue
		}
		if _, found := l.find(id); found && l.removeIf(func(e entry) bool { return e.memberID == id }) == 0 {
			delete(a.ledgers, k)
		}
	}
}
