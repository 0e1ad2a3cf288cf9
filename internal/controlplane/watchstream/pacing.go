package watchstream

import (
	"time"
)

// tokenBucket is a token bucket of bytes or readers. It may be overdrawn by records that cannot be sent
// in parts.
type tokenBucket struct {
	tokens, rate, burst float64
	at                  time.Duration // of the last refill
}

// newTokenBucket returns a full bucket.
func newTokenBucket(now time.Duration, rate, burst float64) tokenBucket {
	return tokenBucket{burst, rate, burst, now}
}

// refill adds the tokens since the last refill.
func (b *tokenBucket) refill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// waitFor returns how long it takes until n tokens, or the whole burst if n exceeds it, are available.
func (b *tokenBucket) waitFor(n float64) time.Duration {
	return max(time.Millisecond, time.Duration((min(n, b.burst)-b.tokens)/b.rate*float64(time.Second)))
}

// waitForBytes returns how long it takes until n bytes of targets may be sent; 0: now.
func (r *reader) waitForBytes(n float64) time.Duration {
	if budget := r.targetBudget(); budget < n {
		return max(time.Millisecond, time.Duration((n-budget)/(r.targetTokens.rate+r.sharedTokens.rate)*float64(time.Second)))
	}
	return 0
}

// pacingWait returns how long to wait before records of kind k are sent; 0: send them now, or none are
// pending. If the budget covers only some of them (truncated), a quarter of the burst must be available,
// otherwise one byte.
func (r *reader) pacingWait(budget float64, truncated, pending bool, k Kind) time.Duration {
	rate, minBytes := r.sharedTokens.rate, r.sharedTokens.burst/4
	if k == Targets {
		rate, minBytes = rate+r.targetTokens.rate, (r.targetTokens.burst+r.sharedTokens.burst)/4
	}
	if !pending || budget > 0 && !truncated || truncated && budget >= minBytes {
		return 0
	}
	if !truncated {
		minBytes = 1
	}
	return max(time.Millisecond, time.Duration((minBytes-budget)/rate*float64(time.Second)))
}

// refill refills the reader's buckets. If the targets' bucket is overdrawn, tokens of the shared one
// reduce the debt.
func (r *reader) refill(now time.Duration) {
	r.targetTokens.refill(now)
	r.sharedTokens.refill(now)
	if transfer := min(-r.targetTokens.tokens, r.sharedTokens.tokens); transfer > 0 {
		r.targetTokens.tokens += transfer
		r.sharedTokens.tokens -= transfer
	}
}

// targetBudget returns how many bytes of targets may be sent now. A debt of the shared bucket stems from
// configuration and is not counted.
func (r *reader) targetBudget() float64 { return r.targetTokens.tokens + max(0, r.sharedTokens.tokens) }

// spendTargetBytes takes bytes of targets from the shared bucket first.
func (r *reader) spendTargetBytes(bytes int) {
	n := float64(bytes)
	fromShared := min(n, max(0, r.sharedTokens.tokens))
	r.sharedTokens.tokens -= fromShared
	r.targetTokens.tokens -= n - fromShared
}

// DeltaSent corrects the charge for a delta to the bytes that it took on the wire, including its request
// and all overhead. NextDelta charges the estimated size; the difference is charged or refunded here.
func (s *Source) DeltaSent(name string, d *Delta, bytes int) {
	r := s.readers[name]
	if r == nil {
		return
	}
	estimated := recordsSize(d.Records)
	for i := range d.Buckets {
		estimated += d.Buckets[i].Size()
	}
	if bytes > estimated {
		r.spendTargetBytes(bytes - estimated)
		return
	}
	refund := float64(estimated - bytes)
	toTargets := min(refund, r.targetTokens.burst-r.targetTokens.tokens)
	r.targetTokens.tokens += toTargets
	r.sharedTokens.tokens = min(r.sharedTokens.burst, r.sharedTokens.tokens+refund-toTargets)
}
