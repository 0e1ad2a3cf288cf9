package quotaclient

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// allocation is one limit as this member has it: its token bucket, what it was granted, and its usage
// since the last renewal.
type allocation struct {
	granted          quota.Amount // beyond the floor, until grantedUntil
	grantedUntil     time.Duration
	tokens           float64       // filled up to tokensAt
	tokensAt         time.Duration // when tokens were last reckoned
	lastUsedAt       time.Duration // last reservation, successful or not
	usedSinceRenewal float64
	peakInUse        float64 // most units in use at once
	largestDenied    float64 // largest reservation that was denied
	wanted           float64 // asked for with the last renewal
	usedRate         float64 // units a second before the last renewal
}

// lookup returns the state of a limit, created at first use with a bucket that has filled at the
// floor's rate since the join. known is false if too many limits are kept already.
func (h *Client) lookup(now time.Duration, k quota.Key) (x allocation, known bool) {
	if x, known = h.allocations[k]; !known && len(h.allocations) < quota.MaxKeys {
		x, known = allocation{tokensAt: h.registeredAt, lastUsedAt: now}, true
		h.allocations[k] = x
	}
	return x, known
}

// refillAll brings all buckets up to now, before the config changes.
func (h *Client) refillAll(now time.Duration) {
	for k, x := range h.allocations {
		if b := h.config.Budget(k.Budget); b != nil {
			h.allocations[k] = h.refill(b, x, now)
		}
	}
}

// grantedNow is the allocation beyond the floor that is valid now.
func (h *Client) grantedNow(x allocation, now time.Duration) quota.Amount {
	if h.registered && now < x.grantedUntil {
		return x.granted
	}
	return quota.Amount{}
}

// limitNow is what may be used now: the floor and the allocation.
func (h *Client) limitNow(b *quota.Budget, x allocation, now time.Duration) quota.Amount {
	a := h.grantedNow(x, now)
	if h.Registered(now) {
		a.Rate += b.FloorRate
		a.Burst += b.FloorBurst
	}
	return a
}

// burstNow is the capacity of the bucket now.
func (h *Client) burstNow(b *quota.Budget, x allocation, now time.Duration) float64 {
	return h.limitNow(b, x, now).Burst
}

// refill brings a bucket up to now, piecewise over the ends of allocation and session.
func (h *Client) refill(b *quota.Budget, x allocation, now time.Duration) allocation {
	for x.tokensAt < now {
		to := now
		for _, end := range []time.Duration{x.grantedUntil, h.sessionEnd} {
			if x.tokensAt < end && end < to {
				to = end
			}
		}
		a := h.limitNow(b, x, x.tokensAt)
		x.tokens = min(a.Burst, x.tokens+a.Rate*(to-x.tokensAt).Seconds())
		x.tokensAt = to
	}
	x.tokens = min(x.tokens, h.burstNow(b, x, now))
	return x
}

// inUse is how many units of a concurrency limit are in use.
func (h *Client) inUse(b *quota.Budget, k quota.Key) float64 {
	if b.IsConcurrencyLimit() {
		return h.openConnections[k.Key]
	}
	return 0
}
