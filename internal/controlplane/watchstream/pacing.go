package watchstream

import (
	"time"
)

// tokenBucket is a token bucket in bytes or requests. It may be overdrawn by what cannot be sent in
// parts.
type tokenBucket struct {
	tokens, rate, burst float64
	at                  time.Duration
}

// newTokenBucket returns a full bucket.
func newTokenBucket(now time.Duration, rate, burst float64) tokenBucket {
	return tokenBucket{burst, rate, burst, now}
}

// refill fills the bucket up to now.
func (b *tokenBucket) refill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// waitFor is how long it takes until n tokens are available.
func (b *tokenBucket) waitFor(n float64) time.Duration {
	return max(time.Millisecond, time.Duration((min(n, b.burst)-b.tokens)/b.rate*float64(time.Second)))
}

// waitForBytes is how long it takes until n bytes of targets may be sent.
func (r *reader) waitForBytes(n float64) time.Duration {
	if budget := r.targetBudget(); budget < n {
		return max(time.Millisecond, time.Duration((n-budget)/(r.targetTokens.rate+r.sharedTokens.rate)*float64(time.Second)))
	}
	return 0
}

// pacingWait is how long to wait before a part, or anything, is sent.
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

// refill fills the reader's buckets up to now. A debt of the targets' bucket is paid from the shared
// one as well.
func (r *reader) refill(now time.Duration) {
	r.targetTokens.refill(now)
	r.sharedTokens.refill(now)
	if transfer := min(-r.targetTokens.tokens, r.sharedTokens.tokens); transfer > 0 {
		r.targetTokens.tokens += transfer
		r.sharedTokens.tokens -= transfer
	}
}

// targetBudget is how many bytes of targets may be sent now. A debt of the shared bucket comes from
// configuration and does not count.
func (r *reader) targetBudget() float64 { return r.targetTokens.tokens + max(0, r.sharedTokens.tokens) }

// spendTargetBytes takes bytes of targets from the shared bucket first.
func (r *reader) spendTargetBytes(bytes int) {
	n := float64(bytes)
	fromShared := min(n, max(0, r.sharedTokens.tokens))
	r.sharedTokens.tokens -= fromShared
	r.targetTokens.tokens -= n - fromShared
}

// DeltaSent tells what a delta took on the wire, with its request and all overhead. NextDelta charges
// the estimated size; the difference is refunded or charged here.
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
