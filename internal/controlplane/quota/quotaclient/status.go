package quotaclient

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// AllocationStatus is this member's view of one limit.
type AllocationStatus struct {
	quota.Key
	Limit        quota.Amount  // floor plus allocation
	GrantedUntil time.Duration // end of the allocation beyond the floor; in the past: there is none
	Tokens       float64
	InUse        float64
	Wanted       float64
	UsedRate     float64 // units a second between the last two renewals
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

// ConfigVersion returns the version of the config in use; 0: there is none.
func (c *Client) ConfigVersion() uint64 {
	if !c.hasConfig {
		return 0
	}
	return c.config.Version
}

// Limit returns what may be used of one limit at that time: the floor plus the allocation.
func (c *Client) Limit(now time.Duration, k quota.Key) quota.Amount {
	b := c.config.Budget(k.Budget)
	if !c.hasConfig || b == nil {
		return quota.Amount{}
	}
	return c.limitNow(b, c.allocations[k], now)
}
