package watchstream

import (
	"time"
)

// tokenBucket is a token bucket. It may be overdrawn by what can't be sent in parts.
type tokenBucket struct {
	tokens, rate, burst float64
	at                  time.Duration
}

func newTokenBucket(now time.Duration, rate, burst float64) tokenBucket {
	return tokenBucket{burst, rate, burst, now}
}

func (b *tokenBucket) refill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// waitFor is how long it takes until there are so many.
func (b *tokenBucket) waitFor(n float64) time.Duration {
	return max(time.Millisecond, time.Duration((min(n, b.burst)-b.tokens)/b.rate*float64(time.Second)))
}

// waitForBytes is how long it takes until so many bytes of targets may go.
func (r *reader) waitForBytes(n float64) time.Duration {
	if may := r.targetBudget(); may < n {
		return max(time.Millisecond, time.Duration((n-may)/(r.targetTokens.rate+r.sharedTokens.rate)*float64(time.Second)))
	}
	return 0
}

// pacingWait is how long to wait before a part is sent, or anything.
func (r *reader) pacingWait(may float64, cut, any bool, k Kind) time.Duration {
	rate, least := r.sharedTokens.rate, r.sharedTokens.burst/4
	if k == Targets {
		rate, least = rate+r.targetTokens.rate, (r.targetTokens.burst+r.sharedTokens.burst)/4
	}
	if !any || may > 0 && !cut || cut && may >= least {
		return 0
	}
	if !cut {
		least = 1
	}
	return max(time.Millisecond, time.Duration((least-may)/rate*float64(time.Second)))
}

// refill lets time go on. What targets owe is paid by what either may have, too.
func (r *reader) refill(now time.Duration) {
	r.targetTokens.refill(now)
	r.sharedTokens.refill(now)
	if pays := min(-r.targetTokens.tokens, r.sharedTokens.tokens); pays > 0 {
		r.targetTokens.tokens += pays
		r.sharedTokens.tokens -= pays
	}
}

// targetBudget is how many bytes of targets may go now: what configuration owes doesn't count, what targets owe does.
func (r *reader) targetBudget() float64 { return r.targetTokens.tokens + max(0, r.sharedTokens.tokens) }

// spendTargetBytes takes bytes of targets out of what either kind may have first, then out of what targets alone may.
func (r *reader) spendTargetBytes(bytes int) {
	n := float64(bytes)
	of := min(n, max(0, r.sharedTokens.tokens))
	r.sharedTokens.tokens -= of
	r.targetTokens.tokens -= n - of
}

// DeltaSent tells what a delta that Next gave took on the wire, its question and all that is around it included: readers' buckets are of those
// bytes. Next reckons with records as they are, since it can't know how they are packed; what that was too much comes back, and what
// was too little is owed.
func (s *Source) DeltaSent(name string, d *Delta, bytes int) {
	r := s.readers[name]
	if r == nil {
		return
	}
	reckoned := recordsSize(d.Records)
	for i := range d.Buckets {
		reckoned += d.Buckets[i].Size()
	}
	if bytes > reckoned {
		r.spendTargetBytes(bytes - reckoned)
		return
	}
	back := float64(reckoned - bytes)
	of := min(back, r.targetTokens.burst-r.targetTokens.tokens)
	r.targetTokens.tokens += of
	r.sharedTokens.tokens = min(r.sharedTokens.burst, r.sharedTokens.tokens+back-of)
}
