package quotaclient

import (
	"math"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// connectionLimit is the smallest limit of any budget on connections to a target. governed is false if
// there is none.
func (h *Client) connectionLimit(now time.Duration, target string) (limit float64, governed bool) {
	if h.blocked(quota.Connections) {
		return 0, true
	}
	if !h.hasConfig {
		return 0, false
	}
	limit = math.Inf(1)
	for i := range h.config.Budgets {
		if b := &h.config.Budgets[i]; b.IsConcurrencyLimit() && b.Covers(quota.Reservation{Resource: b.Resource, Target: target}) {
			x, known := h.lookup(now, quota.Key{Budget: b.Name, Key: target})
			if governed = true; !known {
				return 0, true
			}
			limit = min(limit, h.limitNow(b, x, now).Rate)
		}
	}
	return limit, governed
}

// OpenConnection counts a new connection to a target, and reports false if the limit does not allow it
// (step 10).
func (h *Client) OpenConnection(now time.Duration, target string) bool {
	limit, governed := h.connectionLimit(now, target)
	full := governed && h.openConnections[target]+1 > limit+roundingSlack
	if !full {
		h.openConnections[target]++
	}
	if !h.hasConfig {
		return !full
	}
	for i := range h.config.Budgets {
		b, k := &h.config.Budgets[i], quota.Key{Budget: h.config.Budgets[i].Name, Key: target}
		x, known := h.allocations[k]
		if !b.IsConcurrencyLimit() || !known {
			continue
		}
		x.lastUsedAt, x.peakInUse = now, max(x.peakInUse, h.openConnections[target])
		if full {
			x.largestDenied, h.denied = max(x.largestDenied, h.openConnections[target]+1), true
		}
		h.allocations[k] = x
	}
	return !full
}

// CloseConnection counts a connection that has ended.
func (h *Client) CloseConnection(target string) {
	if h.openConnections[target]--; h.openConnections[target] <= 0 {
		delete(h.openConnections, target)
	}
}

// ExcessConnections is how many connections to a target exceed the limit and have to be closed.
func (h *Client) ExcessConnections(now time.Duration, target string) int {
	limit, governed := h.connectionLimit(now, target)
	if !governed {
		return 0
	}
	return int(max(0, math.Ceil(h.openConnections[target]-limit-roundingSlack)))
}

// OpenConnections is the number of open connections to all targets.
func (h *Client) OpenConnections() (n int) {
	for _, x := range h.openConnections {
		n += int(x)
	}
	return n
}
