package quotaclient

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// blocked reports whether a resource must not be used: it is governed and the budgets are not known
// yet, or Leave was called.
func (c *Client) blocked(r quota.Resource) bool { return c.governed[r] && !c.hasConfig || c.leaving }

// Wait returns the minimum time until the reservation may be made; 0: now. governed is false if no
// budget covers it. For a concurrency limit, r.Units is the number in use including the reservation.
func (c *Client) Wait(now time.Duration, r quota.Reservation) (wait time.Duration, governed bool) {
	const poll = 50 * time.Millisecond // retry interval if it is unknown when the reservation may be made
	if c.blocked(r.Resource) {
		return poll, true
	}
	if !c.hasConfig {
		return 0, false
	}
	for i := range c.config.Budgets {
		b := &c.config.Budgets[i]
		if !b.Covers(r) {
			continue
		}
		governed = true
		k := quota.Key{Budget: b.Name, Key: b.KeyOf(r)}
		alloc, known := c.lookup(now, k)
		if !known {
			wait = max(wait, poll)
			continue
		}
		alloc = c.refill(b, alloc, now)
		a := c.limitNow(b, alloc, now)
		deficit := r.Units - alloc.tokens
		if b.IsConcurrencyLimit() {
			deficit = r.Units - a.Rate
		}
		if deficit > roundingSlack {
			alloc.largestDenied, alloc.lastUsedAt, c.denied = max(alloc.largestDenied, r.Units), now, true
			budgetWait := poll
			if !b.IsConcurrencyLimit() && a.Burst >= r.Units {
				budgetWait = min(time.Duration(deficit/a.Rate*float64(time.Second))+1, time.Second)
			}
			wait = max(wait, budgetWait)
		}
		c.allocations[k] = alloc
	}
	return wait, governed
}

// Reserve makes reservations that Wait allowed at this moment, and returns until when they are valid:
// the first byte must be sent before then (step 9).
func (c *Client) Reserve(now time.Duration, reservations ...quota.Reservation) (until time.Duration) {
	until = now + quota.MaxTransit
	for _, r := range reservations {
		if !c.hasConfig {
			continue
		}
		for i := range c.config.Budgets {
			b := &c.config.Budgets[i]
			if !b.Covers(r) || b.IsConcurrencyLimit() {
				continue
			}
			k := quota.Key{Budget: b.Name, Key: b.KeyOf(r)}
			alloc, known := c.lookup(now, k)
			if !known {
				return now - 1 // expired: the limit has no state to count against
			}
			alloc = c.refill(b, alloc, now)
			alloc.tokens -= r.Units
			alloc.usedSinceRenewal += r.Units
			alloc.lastUsedAt = now
			c.allocations[k] = alloc
			if now < alloc.grantedUntil {
				until = min(until, alloc.grantedUntil)
			}
			until = min(until, c.sessionEnd)
		}
	}
	return until
}
