// Package allocator is the leading agent's side of fleet-wide budgets: the book of what each member may still hold, and what a renewal is
// granted. One giver lasts for one term of one leader. It does no I/O; time is passed in, and equal inputs give equal outputs.
// docs/fleet-budgets.md argues for its safety; the numbers in the comments here are that page's steps.
package allocator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/maxmin"
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

func minAmount(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}

// available is what nobody but this member may hold (2).
func (g *Allocator) available(now time.Duration, b *quota.Budget, p *ledger, at int) quota.Amount {
	pool, others := g.config.SharedPool(b), p.outstandingExcept(now, at)
	return quota.Amount{Rate: max(0, pool.Rate-others.Rate), Burst: max(0, pool.Burst-others.Burst)}
}

// allocate is the member's share, as far as nobody else holds it.
func (g *Allocator) allocate(now time.Duration, b *quota.Budget, p *ledger, x *entry, left quota.Amount) quota.Amount {
	pool := g.config.SharedPool(b)
	if p.sharesStale || now-p.sharesAt >= g.config.RenewInterval()/20 || now < p.sharesAt {
		g.recomputeShares(now, b, p)
	}
	share := x.fairShare
	if !x.hasFairShare { // many come at once: an even part until shares are reckoned again
		share = pool.Rate / float64(len(p.entries))
	}
	amount := min(share, left.Rate)
	if b.IsConcurrencyLimit() {
		return quota.Amount{Rate: math.Floor(amount + 1e-9)}
	}
	if pool.Rate <= 0 {
		return quota.Amount{}
	}
	// Burst goes with the rate, so that all of both can be given.
	burst := amount * pool.Burst / pool.Rate
	if burst > left.Burst {
		amount, burst = amount*left.Burst/burst, left.Burst
	}
	return quota.Amount{Rate: amount, Burst: burst}
}

// recomputeShares reckons the shares of all who live and have a claim.
func (g *Allocator) recomputeShares(now time.Duration, b *quota.Budget, p *ledger) {
	pool := g.config.SharedPool(b)
	most := pool.Rate
	if b.MaxPerMember > 0 {
		most = min(most, b.MaxPerMember-b.FloorRate)
	}
	at := make([]int, 0, len(p.entries))
	claims := make([]maxmin.Claim, 0, len(p.entries))
	for i := range p.entries {
		x := &p.entries[i]
		x.fairShare, x.hasFairShare = 0, false
		if m, known := g.members[x.memberID]; known && g.isLive(now, m) {
			at = append(at, i)
			claims = append(claims, maxmin.Claim{Want: x.usage.Want - b.FloorRate, Max: most, Weight: m.Weight})
		}
	}
	shares := maxmin.Shares(pool.Rate, claims)
	if b.IsConcurrencyLimit() {
		shares = maxmin.RoundUnits(pool.Rate, shares)
	}
	for i, share := range shares {
		p.entries[at[i]].fairShare, p.entries[at[i]].hasFairShare = share, true
	}
	p.sharesAt, p.sharesStale = now, false
}

// Liveness is how a member stands.
type Liveness string

const (
	Live        Liveness = "live"   // it has renewed and may hold a part
	Silent      Liveness = "silent" // not lately: it has its floor at most
	Unconfirmed Liveness = "unsure" // this giver is new and has not heard it yet
)

// MemberStatus is one member as the giver sees it.
type MemberStatus struct {
	quota.Member
	Liveness      Liveness `json:"state"`
	LastHeardMs   int64    `json:"seen_ms_ago"` // since it was last heard, or the giver began
	SessionTTLMs  int64    `json:"seat_ms"`     // until its seat ends, if it stays silent
	ConfigVersion uint64   `json:"version"`     // of the set of budgets it goes by
}

// Members is every member, in order of their names and incarnations.
func (g *Allocator) Members(now time.Duration) []MemberStatus {
	all := make([]MemberStatus, 0, len(g.members))
	for _, m := range g.members {
		s := MemberStatus{Member: m.Member, Liveness: Live, LastHeardMs: (now - m.lastHeardAt).Milliseconds(), ConfigVersion: m.configVersion,
			SessionTTLMs: (m.lastHeardAt + g.sessionTTL() - now).Milliseconds()}
		switch {
		case !g.isLive(now, m):
			s.Liveness = Silent
		case !m.renewedThisTerm:
			s.Liveness = Unconfirmed
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b MemberStatus) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(int64(a.Incarnation) - int64(b.Incarnation))
	})
	return all
}

// LedgerLine is what one member may hold of a whole.
type LedgerLine struct {
	quota.Key
	ID             string       `json:"id"`
	Name           string       `json:"name"`
	MaxOutstanding quota.Amount `json:"may_hold"` // beyond its floor
	Want           float64      `json:"want"`
	Used           float64      `json:"used,omitempty"`
	InUse          float64      `json:"in_use,omitempty"`
	ExpiresMs      int64        `json:"until_ms"`
	LastHeardMs    int64        `json:"seen_ms_ago"`
}

// Ledger is the book: who may hold how much of a budget, or of all where none is named.
func (g *Allocator) Ledger(now time.Duration, budget string) []LedgerLine {
	all := []LedgerLine{}
	for k, p := range g.ledgers {
		if budget != "" && k.Budget != budget {
			continue
		}
		for _, x := range p.entries {
			l := LedgerLine{Key: k, ID: x.memberID, MaxOutstanding: x.maxOutstanding(now), Want: x.usage.Want, Used: x.usage.Used, InUse: x.usage.InUse,
				ExpiresMs: max(0, max(x.reportedUntil, x.grantedUntil)-now).Milliseconds()}
			if m, known := g.members[x.memberID]; known {
				l.Name, l.LastHeardMs = m.Name, (now - m.lastHeardAt).Milliseconds()
			}
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b LedgerLine) int {
		for _, c := range [][2]string{{a.Budget, b.Budget}, {a.Key.Key, b.Key.Key}, {a.Name, b.Name}, {a.ID, b.ID}} {
			if c[0] != c[1] {
				if c[0] < c[1] {
					return -1
				}
				return 1
			}
		}
		return 0
	})
	return all
}

// RecoveryWait is how long it is until the giver gives anything new of a budget (7).
func (g *Allocator) RecoveryWait(now time.Duration, b *quota.Budget) time.Duration {
	return max(0, g.startedAt+g.outstandingTTL(b)-now)
}

// String is the whole state as text: equal states print alike.
func (g *Allocator) String() string {
	b := fmt.Appendf(nil, "%v %v %v %v", g.config, g.startedAt, g.members, g.memberIDs)
	for _, k := range slices.SortedFunc(maps.Keys(g.ledgers), func(a, b quota.Key) int {
		return cmp.Or(strings.Compare(a.Budget, b.Budget), strings.Compare(a.Key, b.Key))
	}) {
		b = fmt.Appendf(b, "\n%v %v", k, g.ledgers[k])
	}
	return string(b)
}
