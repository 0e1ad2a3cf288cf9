package quotaclient

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// allocation is this member's state of one limit: its token bucket, what it was granted, and its usage
// since the last renewal.
type allocation struct {
	granted          quota.Amount // beyond the floor, until grantedUntil
	grantedUntil     time.Duration
	tokens           float64       // tokens in the bucket at tokensAt
	tokensAt         time.Duration // when the bucket was last refilled
	lastUsedAt       time.Duration // last reservation, successful or not
	usedSinceRenewal float64
	peakInUse        float64 // most units in use at once
	largestDenied    float64 // largest reservation that was denied
	wanted           float64 // requested with the last renewal
	usedRate         float64 // units a second between the last two renewals
}

// lookup returns the state of a limit. It is created at first use, with a bucket that has been refilled
// at the floor's rate since the join. found is false if quota.MaxKeys limits are kept already.
func (c *Client) lookup(now time.Duration, k quota.Key) (alloc allocation, found bool) {
	if alloc, found = c.allocations[k]; !found && len(c.allocations) < quota.MaxKeys {
		alloc, found = allocation{tokensAt: c.registeredAt, lastUsedAt: now}, true
		c.allocations[k] = alloc
	}
	return alloc, found
}

// refillAll refills all buckets up to now, before the config changes.
func (c *Client) refillAll(now time.Duration) {
	for k, alloc := range c.allocations {
		if b := c.config.Budget(k.Budget); b != nil {
			c.allocations[k] = c.refill(b, alloc, now)
		}
	}
}

// grantedNow returns the allocation beyond the floor that is valid now.
func (c *Client) grantedNow(alloc allocation, now time.Duration) quota.Amount {
	if c.registered && now < alloc.grantedUntil {
		return alloc.granted
	}
	return quota.Amount{}
}

// limitNow returns what may be used now: the floor plus the valid allocation.
func (c *Client) limitNow(b *quota.Budget, alloc allocation, now time.Duration) quota.Amount {
	a := c.grantedNow(alloc, now)
	if c.Registered(now) {
		a.Rate += b.FloorRate
		a.Burst += b.FloorBurst
	}
	return a
}

// burstNow returns the current depth of the bucket.
func (c *Client) burstNow(b *quota.Budget, alloc allocation, now time.Duration) float64 {
	return c.limitNow(b, alloc, now).Burst
}

// refill refills a bucket up to now, piecewise, since the rate changes when the allocation or the
// session expires.
func (c *Client) refill(b *quota.Budget, alloc allocation, now time.Duration) allocation {
	for alloc.tokensAt < now {
		to := now
		for _, end := range []time.Duration{alloc.grantedUntil, c.sessionEnd} {
			if alloc.tokensAt < end && end < to {
				to = end
			}
		}
		a := c.limitNow(b, alloc, alloc.tokensAt)
		alloc.tokens = min(a.Burst, alloc.tokens+a.Rate*(to-alloc.tokensAt).Seconds())
		alloc.tokensAt = to
	}
	alloc.tokens = min(alloc.tokens, c.burstNow(b, alloc, now))
	return alloc
}

// inUse returns how many units of a concurrency limit are in use, and 0 for a rate.
func (c *Client) inUse(b *quota.Budget, k quota.Key) float64 {
	if b.IsConcurrencyLimit() {
		return c.openConnections[k.Key]
	}
	return 0
}
