package quotaclient

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// AllocationStatus is one limit as this member has it.
type AllocationStatus struct {
	quota.Key
	Limit        quota.Amount  // floor and allocation
	GrantedUntil time.Duration // end of the part beyond the floor; past: there is none
	Tokens       float64
	InUse        float64
	Wanted       float64
	UsedRate     float64 // units a second before the last renewal
}

// Status returns all known limits in order of their keys.
func (c *Client) Status(now time.Duration) []AllocationStatus {
	var all []AllocationStatus
	for _, k := range slices.SortedFunc(maps.Keys(c.allocations), func(a, b quota.Key) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Key, b.Key))
	}) {
		b := c.config.Budget(k.Budget)
		if b == nil {
			continue
		}
		alloc := c.refill(b, c.allocations[k], now)
		all = append(all, AllocationStatus{k, c.limitNow(b, alloc, now), alloc.grantedUntil, alloc.tokens, c.inUse(b, k), alloc.wanted, alloc.usedRate})
	}
	return all
}

// ConfigVersion is the version of the config in use; 0: none is known.
func (c *Client) ConfigVersion() uint64 {
	if !c.hasConfig {
		return 0
	}
	return c.config.Version
}

// Limit is what may be used of one limit at a moment, floor and allocation.
func (c *Client) Limit(now time.Duration, k quota.Key) quota.Amount {
	b := c.config.Budget(k.Budget)
	if !c.hasConfig || b == nil {
		return quota.Amount{}
	}
	return c.limitNow(b, c.allocations[k], now)
}
