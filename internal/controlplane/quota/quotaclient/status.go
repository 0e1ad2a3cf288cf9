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
func (h *Client) Status(now time.Duration) []AllocationStatus {
	var all []AllocationStatus
	for _, k := range slices.SortedFunc(maps.Keys(h.allocations), func(a, b quota.Key) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Key, b.Key))
	}) {
		b := h.config.Budget(k.Budget)
		if b == nil {
			continue
		}
		x := h.refill(b, h.allocations[k], now)
		all = append(all, AllocationStatus{k, h.limitNow(b, x, now), x.grantedUntil, x.tokens, h.inUse(b, k), x.wanted, x.usedRate})
	}
	return all
}

// ConfigVersion is the version of the config in use; 0: none is known.
func (h *Client) ConfigVersion() uint64 {
	if !h.hasConfig {
		return 0
	}
	return h.config.Version
}

// Limit is what may be used of one limit at a moment, floor and allocation.
func (h *Client) Limit(now time.Duration, k quota.Key) quota.Amount {
	b := h.config.Budget(k.Budget)
	if !h.hasConfig || b == nil {
		return quota.Amount{}
	}
	return h.limitNow(b, h.allocations[k], now)
}
