package allocator

import (
	"math"
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/maxmin"
)

// available is the part of the shared pool that no other member may hold (step 2).
func (a *Allocator) available(now time.Duration, b *quota.Budget, l *ledger, at int) quota.Amount {
	pool, others := a.config.SharedPool(b), l.outstandingExcept(now, at)
	return quota.Amount{Rate: max(0, pool.Rate-others.Rate), Burst: max(0, pool.Burst-others.Burst)}
}

// allocate is the member's fair share, as far as it is available.
func (a *Allocator) allocate(now time.Duration, b *quota.Budget, l *ledger, e *entry, left quota.Amount) quota.Amount {
	pool := a.config.SharedPool(b)
	if l.sharesStale || now-l.sharesAt >= a.config.RenewInterval()/20 || now < l.sharesAt {
		a.recomputeShares(now, b, l)
	}
	share := e.fairShare
	if !e.hasFairShare { // it is new since the last division
		share = pool.Rate / float64(len(l.entries))
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
func (a *Allocator) recomputeShares(now time.Duration, b *quota.Budget, l *ledger) {
	pool := a.config.SharedPool(b)
	most := pool.Rate
	if b.MaxPerMember > 0 {
		most = min(most, b.MaxPerMember-b.FloorRate)
	}
	at := make([]int, 0, len(l.entries))
	claims := make([]maxmin.Demand, 0, len(l.entries))
	for i := range l.entries {
		e := &l.entries[i]
		e.fairShare, e.hasFairShare = 0, false
		if m, known := a.members[e.memberID]; known && a.isLive(now, m) {
			at = append(at, i)
			claims = append(claims, maxmin.Demand{Want: e.usage.Want - b.FloorRate, Max: most, Weight: m.Weight})
		}
	}
	shares := maxmin.Shares(pool.Rate, claims)
	if b.IsConcurrencyLimit() {
		shares = maxmin.RoundUnits(pool.Rate, shares)
	}
	for i, share := range shares {
		l.entries[at[i]].fairShare, l.entries[at[i]].hasFairShare = share, true
	}
	l.sharesAt, l.sharesStale = now, false
}

// minAmount is the smaller of each figure.
func minAmount(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}
