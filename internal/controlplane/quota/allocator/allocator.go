// Package allocator is the leading agent's side of fleet-wide budgets: the book of what each member may still hold, and what a renewal is
// granted. One giver lasts for one term of one leader. It does no I/O; time is passed in, and equal inputs give equal outputs.
// docs/fleet-budgets.md argues for its safety; the numbers in the comments here are that page's steps.
package allocator

import (
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// maxSameName is how many processes may live under one name and address: two of an upgrade and one that was just killed.
const maxSameName = 3

// Allocator is the book of one term.
type Allocator struct {
	config     quota.Config
	startedAt  time.Duration
	members    map[string]member
	memberIDs  []string       // ids of members
	registered []quota.Member // as the log had them last
	ledgers    map[quota.Key]*ledger
}

type member struct {
	quota.Member
	lastSeq         uint64
	lastHeardAt     time.Duration // the last renewal; of one that is only known from the log, when this giver began
	renewedThisTerm bool          // by this giver
	expired         bool          // its seat is being taken back
	configVersion   uint64
}

// entry is what one member may hold of a whole, each of two until its end here (2).
type entry struct {
	memberID      string
	fairShare     float64 // as last reckoned
	hasFairShare  bool    // it was
	reported      quota.Amount
	reportedUntil time.Duration
	granted       quota.Amount
	grantedUntil  time.Duration
	usage         quota.UsageReport
}

// maxOutstanding is the most that its member may still hold.
func (r entry) maxOutstanding(now time.Duration) (a quota.Amount) {
	if now < r.reportedUntil {
		a = r.reported
	}
	if now < r.grantedUntil {
		a.Rate, a.Burst = max(a.Rate, r.granted.Rate), max(a.Burst, r.granted.Burst)
	}
	return a
}

// New begins a term. The members are those in the log, all of it up to the term's beginning.
func New(now time.Duration, doc quota.Config, members []quota.Member) *Allocator {
	g := &Allocator{config: doc, startedAt: now, members: map[string]member{}, ledgers: map[quota.Key]*ledger{}}
	g.Update(now, doc, members)
	return g
}

// Update takes over what the log says. Who has no seat any more holds nothing: it said so, or its seat outlasted all that it held (1).
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

// outstandingTTL is how long, at the giver, something lasts that was given for a renewal that has just come (Time).
func (g *Allocator) outstandingTTL(b *quota.Budget) time.Duration {
	return g.config.MaxOnOtherClock(g.config.AllocationTTL() + b.Linger())
}

// sessionTTL is how long, at the giver, a seat lasts after its member was heard: what is out under its floor has ended as well.
func (g *Allocator) sessionTTL() time.Duration {
	linger := time.Duration(0)
	for i := range g.config.Budgets {
		linger = max(linger, g.config.Budgets[i].Linger())
	}
	return g.config.MaxOnOtherClock(g.config.SessionTTL() + linger)
}

// isLive tells whether a member has renewed lately enough to hold something.
func (g *Allocator) isLive(now time.Duration, m member) bool {
	return !m.expired && now < m.lastHeardAt+g.config.MaxOnOtherClock(g.config.AllocationTTL())
}

// Admit tells whether a process may join, or why not. The log has the last word on seats. One whose first answer was lost asks
// again: its seat lasts from this asking on, unless it is being taken back.
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

// Expire takes back the seats that have ended and returns them; their members are known no more from now on (1).
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

// Renew notes what a member says and decides what it gets. The answer may only go out once a majority has confirmed, after this
// call, that no later term has begun (6).
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
		doc := g.config
		a.Config = &doc
	}
	said := make(map[quota.Key]bool, len(r.Reports))
	for _, rep := range r.Reports {
		b := g.config.Budget(rep.Budget)
		if b == nil || said[rep.Key] {
			continue
		}
		said[rep.Key] = true
		p := g.ledgers[rep.Key]
		if p == nil {
			p = &ledger{sharesStale: true}
			g.ledgers[rep.Key] = p
		}
		at, there := p.find(r.ID)
		if !there {
			p.insert(at, r.ID)
		}
		// Older answers will not be taken any more: what was granted counts only as far as it was taken (3, 4).
		held := rep.Held
		if b.IsConcurrencyLimit() {
			held.Rate = max(held.Rate, rep.InUse-b.FloorRate)
		}
		x := &p.entries[at]
		*x = entry{memberID: r.ID, fairShare: x.fairShare, hasFairShare: x.hasFairShare, reported: held, reportedUntil: now + g.outstandingTTL(b), usage: rep}
		grant := quota.Allocation{Key: rep.Key}
		left := g.available(now, b, p, at)
		if now < g.startedAt+g.outstandingTTL(b) {
			grant.Amount, grant.ExtendsOnly = minAmount(rep.Held, left), true // (5)
		} else {
			grant.Amount = g.allocate(now, b, p, x, left)
		}
		x.granted, x.grantedUntil = grant.Amount, now+g.outstandingTTL(b)
		p.invalidate(at)
		a.Allocations = append(a.Allocations, grant)
	}
	for k, p := range g.ledgers {
		if said[k] {
			continue
		}
		if _, there := p.find(r.ID); there && p.removeIf(func(x entry) bool { return x.memberID == r.ID }) == 0 { // it holds nothing there and will take no older answer
			delete(g.ledgers, k)
		}
	}
	return a, nil
}
