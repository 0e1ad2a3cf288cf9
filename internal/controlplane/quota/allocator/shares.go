package allocator

import (
	"math"
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/maxmin"
)

// available returns the part of the shared pool that no other member may hold (step 2).
func (a *Allocator) available(now time.Duration, b *quota.Budget, l *ledger, at int) quota.Amount {
	pool, others := a.config.SharedPool(b), l.outstandingExcept(now, at)
	return quota.Amount{Rate: max(0, pool.Rate-others.Rate), Burst: max(0, pool.Burst-others.Burst)}
}

// allocate returns the member's allocation: its fair share, but at most what is unallocated.
func (a *Allocator) allocate(now time.Duration, b *quota.Budget, l *ledger, e *entry, unallocated quota.Amount) quota.Amount {
	pool := a.config.SharedPool(b)
	if l.sharesStale || now-l.sharesAt >= a.config.RenewInterval()/20 || now < l.sharesAt {
		a.recomputeShares(now, b, l)
	}
	share := e.fairShare
	if !e.hasFairShare { // the entry was added after the last recomputeShares
		share = pool.Rate / float64(len(l.entries))
	}
	amount := min(share, unallocated.Rate)
	if b.IsConcurrencyLimit() {
		return quota.Amount{Rate: math.Floor(amount + 1e-9)}
	}
	if pool.Rate <= 0 {
		return quota.Amount{}
	}
	// Burst is allocated in proportion to the rate, so that the members can use all of both.
	burst := amount * pool.Burst / pool.Rate
	if burst > unallocated.Burst {
		amount, burst = amount*unallocated.Burst/burst, unallocated.Burst
	}
	return quota.Amount{Rate: amount, Burst: burst}
}

// recomputeShares divides the shared pool's rate among the live members by weighted max-min fairness.
func (a *Allocator) recomputeShares(now time.Duration, b *quota.Budget, l *ledger) {
	pool := a.config.SharedPool(b)
	maxShare := pool.Rate
	if b.MaxPerMember > 0 {
		maxShare = min(maxShare, b.MaxPerMember-b.FloorRate)
	}
	positions := make([]int, 0, len(l.entries))
	demands := make([]maxmin.Demand, 0, len(l.entries))
	for i := range l.entries {
		e := &l.entries[i]
		e.fairShare, e.hasFairShare = 0, false
		if m, known := a.members[e.memberID]; known && a.isLive(now, m) {
			positions = append(positions, i)
			demands = append(demands, maxmin.Demand{Want: e.usage.Want - b.FloorRate, Max: maxShare, Weight: m.Weight})
		}
	}
	shares := maxmin.Shares(pool.Rate, demands)
	if b.IsConcurrencyLimit() {
		shares = maxmin.RoundUnits(pool.Rate, shares)
	}
	for i, share := range shares {
		l.entries[positions[i]].fairShare, l.entries[positions[i]].hasFairShare = share, true
	}
	l.sharesAt, l.sharesStale = now, false
}

// minAmount returns the smaller rate and the smaller burst.
func minAmount(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}
