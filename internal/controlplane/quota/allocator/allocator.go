// Package allocator is the leading agent's side of fleet-wide quotas. It keeps a ledger of what each
// member may still use of each limit, and decides what a renewal is allocated. An Allocator lasts for
// one term of one leader. It does no I/O; time is passed in, and equal inputs give equal outputs.
//
// Invariant: for each limit, the allocations that members may still use, counted until the latest time
// at which any member's clock can have them expire, never exceed the shared pool. A new term cannot
// know the allocations of the one before; until all of them have expired it only extends what members
// report to hold. Numbers of steps in comments are those of package quota.
package allocator

import (
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// maxSameName is how many live processes may have one name and address: two of an upgrade and one that
// was just killed.
const maxSameName = 3

// Allocator is the ledger of one term.
type Allocator struct {
	config     quota.Config
	startedAt  time.Duration // start of the term
	members    map[string]member
	memberIDs  []string       // sorted
	registered []quota.Member // members as of the last Update
	ledgers    map[quota.Key]*ledger
}

// member is a registered member and its last renewal.
type member struct {
	quota.Member
	lastSeq         uint64
	lastHeardAt     time.Duration // last renewal; before the first in this term: start of the term or join
	renewedThisTerm bool          // by this allocator
	expired         bool          // its session is being removed
	configVersion   uint64        // that it used at its last renewal
}

// entry is what one member may hold of one limit. Both amounts count until their ends, since it is
// unknown which of the two the member uses: what it reported, and what it was allocated since (step
// 2).
type entry struct {
	memberID      string
	fairShare     float64      // as of the last division
	hasFairShare  bool         // it took part in the last division
	reported      quota.Amount // held by the member when it started its last renewal
	reportedUntil time.Duration
	granted       quota.Amount // by the answer to it
	grantedUntil  time.Duration
	usage         quota.UsageReport // its last report
}

// maxOutstanding is the most that the member may still hold.
func (e entry) maxOutstanding(now time.Duration) (a quota.Amount) {
	if now < e.reportedUntil {
		a = e.reported
	}
	if now < e.grantedUntil {
		a.Rate, a.Burst = max(a.Rate, e.granted.Rate), max(a.Burst, e.granted.Burst)
	}
	return a
}

// New starts a term. Members are those of the registry once all entries of earlier terms are applied.
func New(now time.Duration, doc quota.Config, members []quota.Member) *Allocator {
	a := &Allocator{config: doc, startedAt: now, members: map[string]member{}, ledgers: map[quota.Key]*ledger{}}
	a.Update(now, doc, members)
	return a
}

// Update takes over the registry's state. A member that was removed holds nothing: it left by itself,
// or its session lasted longer than all that it held (step 1).
func (a *Allocator) Update(now time.Duration, doc quota.Config, members []quota.Member) {
	a.config = doc
	joined, left := quota.DiffMembers(a.registered, members)
	a.registered = append(a.registered[:0], members...)
	for _, m := range left {
		delete(a.members, m.ID)
		if at, there := slices.BinarySearch(a.memberIDs, m.ID); there {
			a.memberIDs = slices.Delete(a.memberIDs, at, at+1)
		}
	}
	for _, m := range joined {
		a.members[m.ID] = member{Member: m, lastHeardAt: now}
		if at, there := slices.BinarySearch(a.memberIDs, m.ID); !there {
			a.memberIDs = slices.Insert(a.memberIDs, at, m.ID)
		}
	}
	if len(left) == 0 {
		return
	}
	for k, l := range a.ledgers {
		if l.removeIf(func(e entry) bool { _, in := a.members[e.memberID]; return !in }) == 0 {
			delete(a.ledgers, k)
		}
	}
}

// outstandingTTL is how long, by this clock, an allocation may be used whose renewal has just arrived.
func (a *Allocator) outstandingTTL(b *quota.Budget) time.Duration {
	return a.config.MaxOnOtherClock(a.config.AllocationTTL() + b.Linger())
}

// sessionTTL is how long, by this clock, a session lasts after its last renewal, including what
// lingers of its floor.
func (a *Allocator) sessionTTL() time.Duration {
	linger := time.Duration(0)
	for i := range a.config.Budgets {
		linger = max(linger, a.config.Budgets[i].Linger())
	}
	return a.config.MaxOnOtherClock(a.config.SessionTTL() + linger)
}

// isLive reports whether the member renewed recently enough to hold an allocation.
func (a *Allocator) isLive(now time.Duration, m member) bool {
	return !m.expired && now < m.lastHeardAt+a.config.MaxOnOtherClock(a.config.AllocationTTL())
}

// Admit reports whether a process may join. The registry decides on free sessions. A process whose
// first answer was lost asks again: its session lasts from this request on, unless it is being
// removed.
func (a *Allocator) Admit(now time.Duration, m quota.Member) error {
	if had, known := a.members[m.ID]; known {
		if had.expired {
			return quota.ErrUnknownMember
		}
		had.lastHeardAt = now
		a.members[m.ID] = had
		return nil
	}
	alike := 0
	for _, had := range a.members {
		if had.Name != m.Name || !a.isLive(now, had) {
			continue
		}
		if had.Addr != m.Addr {
			return quota.ErrNameTaken
		}
		alike++
	}
	if alike >= maxSameName {
		return quota.ErrNameTaken
	}
	return nil
}

// Expire marks the sessions that have ended and returns their members' ids, to be removed from the
// registry. They are unknown from now on (step 1).
func (a *Allocator) Expire(now time.Duration) (ids []string) {
	for _, id := range a.memberIDs {
		if m, known := a.members[id]; known && (m.expired || now >= m.lastHeardAt+a.sessionTTL()) {
			m.expired = true
			a.members[id] = m
			ids = append(ids, id)
		}
	}
	return ids
}

// Renew records a member's report and decides its allocations. The answer may only be sent once a
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
	m.lastSeq, m.lastHeardAt, m.renewedThisTerm, m.configVersion = req.Seq, now, true, req.Version
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

// renewLimit records what a member reports of one limit and decides its allocation.
func (a *Allocator) renewLimit(now time.Duration, id string, b *quota.Budget, rep quota.UsageReport) quota.Allocation {
	l := a.ledgers[rep.Key]
	if l == nil {
		l = &ledger{sharesStale: true}
		a.ledgers[rep.Key] = l
	}
	at, there := l.find(id)
	if !there {
		l.insert(at, id)
	}
	// The member accepts no older answer any more, so an earlier allocation counts only as far as it reports
	// to hold it (steps 3 and 4).
	held := rep.Held
	if b.IsConcurrencyLimit() {
		held.Rate = max(held.Rate, rep.InUse-b.FloorRate)
	}
	e := &l.entries[at]
	*e = entry{memberID: id, fairShare: e.fairShare, hasFairShare: e.hasFairShare, reported: held, reportedUntil: now + a.outstandingTTL(b), usage: rep}
	grant := quota.Allocation{Key: rep.Key}
	left := a.available(now, b, l, at)
	if now < a.startedAt+a.outstandingTTL(b) {
		grant.Amount, grant.ExtendsOnly = minAmount(rep.Held, left), true // step 5
	} else {
		grant.Amount = a.allocate(now, b, l, e, left)
	}
	e.granted, e.grantedUntil = grant.Amount, now+a.outstandingTTL(b)
	l.invalidate(at)
	return grant
}

// dropUnreported removes a member's entries of limits that it did not report: it holds nothing of them, and accepts
// no older answer.
func (a *Allocator) dropUnreported(id string, reported map[quota.Key]bool) {
	for k, l := range a.ledgers {
		if reported[k] {
			continue
		}
		if _, there := l.find(id); there && l.removeIf(func(e entry) bool { return e.memberID == id }) == 0 {
			delete(a.ledgers, k)
		}
	}
}
