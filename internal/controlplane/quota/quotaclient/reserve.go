package quotaclient

import (
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// blocked reports whether a resource must not be used: it is governed and the budgets are unknown, or
// the client leaves.
func (h *Client) blocked(u quota.Resource) bool { return h.governed[u] && !h.hasConfig || h.leaving }

// Wait returns the least time until the reservation may be made; 0: now. governed is false if no
// budget covers it. For a concurrency limit, Units is how many would be in use.
func (h *Client) Wait(now time.Duration, d quota.Reservation) (wait time.Duration, governed bool) {
	const poll = 50 * time.Millisecond
	if h.blocked(d.Resource) {
		return poll, true
	}
	if !h.hasConfig {
		return 0, false
	}
	for i := range h.config.Budgets {
		b := &h.config.Budgets[i]
		if !b.Covers(d) {
			continue
		}
		governed = true
		k := quota.Key{Budget: b.Name, Key: b.KeyOf(d)}
		x, known := h.lookup(now, k)
		if !known {
			wait = max(wait, poll)
			continue
		}
		x = h.refill(b, x, now)
		a := h.limitNow(b, x, now)
		lack := d.Units - x.tokens
		if b.IsConcurrencyLimit() {
			lack = d.Units - a.Rate
		}
		if lack > roundingSlack {
			x.largestDenied, x.lastUsedAt, h.denied = max(x.largestDenied, d.Units), now, true
			next := poll
			if !b.IsConcurrencyLimit() && a.Burst >= d.Units {
				next = min(time.Duration(lack/a.Rate*float64(time.Second))+1, time.Second)
			}
			wait = max(wait, next)
		}
		h.allocations[k] = x
	}
	return wait, governed
}

// Reserve makes reservations that Wait allowed at this moment, and returns until when they are valid:
// the first byte has to leave by then (step 9).
func (h *Client) Reserve(now time.Duration, draws ...quota.Reservation) (until time.Duration) {
	until = now + quota.MaxTransit
	for _, d := range draws {
		if !h.hasConfig {
			continue
		}
		for i := range h.config.Budgets {
			b := &h.config.Budgets[i]
			if !b.Covers(d) || b.IsConcurrencyLimit() {
				continue
			}
			k := quota.Key{Budget: b.Name, Key: b.KeyOf(d)}
			x, known := h.lookup(now, k)
			if !known {
				return now - 1 // invalid
			}
			x = h.refill(b, x, now)
			x.tokens -= d.Units
			x.usedSinceRenewal += d.Units
			x.lastUsedAt = now
			h.allocations[k] = x
			if now < x.grantedUntil {
				until = min(until, x.grantedUntil)
			}
			until = min(until, h.sessionEnd)
		}
	}
	return until
}
