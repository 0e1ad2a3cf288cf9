// Package allocator is the leading agent's side of fleet-wide quotas. It keeps a ledger of what each
// member may still use of each limit, and decides what a renewal is allocated. An Allocator lasts for
// one term of one leader. It does no I/O; time is passed in, and equal inputs give equal outputs.
//
// Invariant: for each limit, the allocations that members may still use, counted until the latest time
// at which any member's clock can have them expire, never exceed the shared pool. A new term cannot
// know the allocations of the one before; until all of them have expired it only extends what members
// report to hold. docs/fleet-budgets.md has the argument; numbers of steps in comments are that
// page's.
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
func (r entry) maxOutstanding(now time.Duration) (a quota.Amount) {
	if now < r.reportedUntil {
		a = r.reported
	}
	if now < r.grantedUntil {
		a.Rate, a.Burst = max(a.Rate, r.granted.Rate), max(a.Burst, r.granted.Burst)
	}
	return a
}

// New starts a term. Members are those of the registry once all entries of earlier terms are applied.
func New(now time.Duration, doc quota.Config, members []quota.Member) *Allocator {
	g := &Allocator{config: doc, startedAt: now, members: map[string]member{}, ledgers: map[quota.Key]*ledger{}}
	g.Update(now, doc, members)
	return g
}

// Update takes over the registry's state. A member that was removed holds nothing: it left by itself,
// or its session lasted longer than all that it held (step 1).
func (g *Allocator) Update(now time.Duration, doc quota.Config, members []quota.Member) {
	g.config = doc
	joined, left := quota.DiffMembers(g.registered, members)
	g.registered = append(g.registered[:0], members...)
	for _, m := range left {
		delete(g.members, m.ID)
		if at, there := slices.BinarySearch(g.memberIDs, m.ID); there {
			g.memberIDs = slices.Delete(g.memberIDs, at, at+1)
		}
	}
	for _, m := range joined {
		g.members[m.ID] = member{Member: m, lastHeardAt: now}
		if at, there := slices.BinarySearch(g.memberIDs, m.ID); !there {
			g.memberIDs = slices.Insert(g.memberIDs, at, m.ID)
		}
	}
	if len(left) == 0 {
		return
	}
	for k, p := range g.ledgers {
		if p.removeIf(func(r entry) bool { _, in := g.members[r.memberID]; return !in }) == 0 {
			delete(g.ledgers, k)
		}
	}
}

// outstandingTTL is how long, by this clock, an allocation may be used whose renewal has just arrived.
func (g *Allocator) outstandingTTL(b *quota.Budget) time.Duration {
	return g.config.MaxOnOtherClock(g.config.AllocationTTL() + b.Linger())
}

// sessionTTL is how long, by this clock, a session lasts after its last renewal, including what
// lingers of its floor.
func (g *Allocator) sessionTTL() time.Duration {
	linger := time.Duration(0)
	for i := range g.config.Budgets {
		linger = max(linger, g.config.Budgets[i].Linger())
	}
	return g.config.MaxOnOtherClock(g.config.SessionTTL() + linger)
}

// isLive reports whether the member renewed recently enough to hold an allocation.
func (g *Allocator) isLive(now time.Duration, m member) bool {
	return !m.expired && now < m.lastHeardAt+g.config.MaxOnOtherClock(g.config.AllocationTTL())
}

// Admit reports whether a process may join. The registry decides on free sessions. A process whose
// first answer was lost asks again: its session lasts from this request on, unless it is being
// removed.
func (g *Allocator) Admit(now time.Duration, m quota.Member) error {
	if x, known := g.members[m.ID]; known {
		if x.expired {
			return quota.ErrUnknownMember
		}
		x.lastHeardAt = now
		g.members[m.ID] = x
		return nil
	}
	alike := 0
	for _, x := range g.members {
		if x.Name != m.Name || !g.isLive(now, x) {
			continue
		}
		if x.Addr != m.Addr {
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
func (g *Allocator) Expire(now time.Duration) (ids []string) {
	for _, id := range g.memberIDs {
		if m, known := g.members[id]; known && (m.expired || now >= m.lastHeardAt+g.sessionTTL()) {
			m.expired = true
			g.members[id] = m
			ids = append(ids, id)
		}
	}
	return ids
}

// Renew records a member's report and decides its allocations. The answer may only be sent once a
// majority of agents has confirmed, after this call, that no later term has begun (step 6).
func (g *Allocator) Renew(now time.Duration, r quota.RenewalRequest) (quota.RenewalResponse, error) {
	m, known := g.members[r.ID]
	switch {
	case !known || m.expired:
		return quota.RenewalResponse{}, quota.ErrUnknownMember
	case len(r.Reports) > quota.MaxKeys+quota.MaxBudgets:
		return quota.RenewalResponse{}, quota.ErrNoBudgets
	case r.Seq <= m.lastSeq:
		return quota.RenewalResponse{}, quota.ErrStaleRenewal
	}
	m.lastSeq, m.lastHeardAt, m.renewedThisTerm, m.configVersion = r.Seq, now, true, r.Version
	g.members[r.ID] = m
	a := quota.RenewalResponse{ID: r.ID, Seq: r.Seq}
	if r.Version != g.config.Version {
		config := g.config
		a.Config = &config
	}
	reported := make(map[quota.Key]bool, len(r.Reports))
	for _, rep := range r.Reports {
		b := g.config.Budget(rep.Budget)
		if b == nil || reported[rep.Key] {
			continue
		}
		reported[rep.Key] = true
		a.Allocations = append(a.Allocations, g.renewLimit(now, r.ID, b, rep))
	}
	g.dropUnreported(r.ID, reported)
	return a, nil
}

// renewLimit records what a member reports of one limit and decides its allocation.
func (g *Allocator) renewLimit(now time.Duration, id string, b *quota.Budget, rep quota.UsageReport) quota.Allocation {
	p := g.ledgers[rep.Key]
	if p == nil {
		p = &ledger{sharesStale: true}
		g.ledgers[rep.Key] = p
	}
	at, there := p.find(id)
	if !there {
		p.insert(at, id)
	}
	// The member accepts no older answer any more, so an earlier allocation counts only as far as it reports
	// to hold it (steps 3 and 4).
	held := rep.Held
	if b.IsConcurrencyLimit() {
		held.Rate = max(held.Rate, rep.InUse-b.FloorRate)
	}
	x := &p.entries[at]
	*x = entry{memberID: id, fairShare: x.fairShare, hasFairShare: x.hasFairShare, reported: held, reportedUntil: now + g.outstandingTTL(b), usage: rep}
	grant := quota.Allocation{Key: rep.Key}
	left := g.available(now, b, p, at)
	if now < g.startedAt+g.outstandingTTL(b) {
		grant.Amount, grant.ExtendsOnly = minAmount(rep.Held, left), true // step 5
	} else {
		grant.Amount = g.allocate(now, b, p, x, left)
	}
	x.granted, x.grantedUntil = grant.Amount, now+g.outstandingTTL(b)
	p.invalidate(at)
	return grant
}

// dropUnreported removes a member's entries of limits that it did not report: it holds nothing of them, and accepts
// no older answer.
func (g *Allocator) dropUnreported(id string, reported map[quota.Key]bool) {
	for k, p := range g.ledgers {
		if reported[k] {
			continue
		}
		if _, there := p.find(id); there && p.removeIf(func(x entry) bool { return x.memberID == id }) == 0 {
			delete(g.ledgers, k)
		}
	}
}
