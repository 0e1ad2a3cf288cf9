package allocator

import (
	"math"
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/maxmin"
)

// available is the part of the shared pool that no other member may hold (step 2).
func (g *Allocator) available(now time.Duration, b *quota.Budget, p *ledger, at int) quota.Amount {
	pool, others := g.config.SharedPool(b), p.outstandingExcept(now, at)
	return quota.Amount{Rate: max(0, pool.Rate-others.Rate), Burst: max(0, pool.Burst-others.Burst)}
}

// allocate is the member's fair share, as far as it is available.
func (g *Allocator) allocate(now time.Duration, b *quota.Budget, p *ledger, x *entry, left quota.Amount) quota.Amount {
	pool := g.config.SharedPool(b)
	if p.sharesStale || now-p.sharesAt >= g.config.RenewInterval()/20 || now < p.sharesAt {
		g.recomputeShares(now, b, p)
	}
	share := x.fairShare
	if !x.hasFairShare { // it is new since the last division
		share = pool.Rate / float64(len(p.entries))
	}
	amount := min(share, left.Rate)
	if b.IsConcurrencyLimit() {
		return quota.Amount{Rate: math.Floor(amount + 1e-9)}
	}
	if pool.Rate <= 0 {
		return quota.Amount{}
	}
	// Burst is allocated in proportion to the rate, so that all of both can be used.
	burst := amount * pool.Burst / pool.Rate
	if burst > left.Burst {
		amount, burst = amount*left.Burst/burst, left.Burst
	}
	return quota.Amount{Rate: amount, Burst: burst}
}

// recomputeShares divides the shared pool among the live members by weighted max-min fairness.
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

// minAmount is the smaller of each figure.
func minAmount(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}
