package quotaclient

import (
	"math"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// connectionLimit returns the smallest limit of all budgets on connections to a target. governed is
// false if no budget covers them.
func (c *Client) connectionLimit(now time.Duration, target string) (limit float64, governed bool) {
	if c.blocked(quota.Connections) {
		return 0, true
	}
	if !c.hasConfig {
		return 0, false
	}
	limit = math.Inf(1)
	for i := range c.config.Budgets {
		if b := &c.config.Budgets[i]; b.IsConcurrencyLimit() && b.Covers(quota.Reservation{Resource: b.Resource, Target: target}) {
			alloc, known := c.lookup(now, quota.Key{Budget: b.Name, Key: target})
			if governed = true; !known {
				return 0, true
			}
			limit = min(limit, c.limitNow(b, alloc, now).Rate)
		}
	}
	return limit, governed
}

// OpenConnection counts a new connection to a target, and reports false if the limit does not allow it
// (step 10).
func (c *Client) OpenConnection(now time.Duration, target string) bool {
	limit, governed := c.connectionLimit(now, target)
	rejected := governed && c.openConnections[target]+1 > limit+roundingSlack
	if !rejected {
		c.openConnections[target]++
	}
	if !c.hasConfig {
		return !rejected
	}
	for i := range c.config.Budgets {
		b, k := &c.config.Budgets[i], quota.Key{Budget: c.config.Budgets[i].Name, Key: target}
		alloc, known := c.allocations[k]
		if !b.IsConcurrencyLimit() || !known {
			continue
		}
		alloc.lastUsedAt, alloc.peakInUse = now, max(alloc.peakInUse, c.openConnections[target])
		if rejected {
			alloc.largestDenied, c.denied = max(alloc.largestDenied, c.openConnections[target]+1), true
		}
		c.allocations[k] = alloc
	}
	return !rejected
}

// CloseConnection releases a connection that was closed.
func (c *Client) CloseConnection(target string) {
	if c.openConnections[target]--; c.openConnections[target] <= 0 {
		delete(c.openConnections, target)
	}
}

// ExcessConnections returns how many connections to a target exceed the limit and have to be closed.
func (c *Client) ExcessConnections(now time.Duration, target string) int {
	limit, governed := c.connectionLimit(now, target)
	if !governed {
		return 0
	}
	return int(max(0, math.Ceil(c.openConnections[target]-limit-roundingSlack)))
}

// OpenConnections returns the number of open connections to all targets.
func (c *Client) OpenConnections() (n int) {
	for _, x := range c.openConnections {
		n += int(x)
	}
	return n
}
