package quotaclient

import (
	"cmp"
	"math"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// BeginRenewal starts a renewal. From now on only the response to it is accepted (step 4).
func (c *Client) BeginRenewal(now time.Duration) quota.RenewalRequest {
	c.lastSeq++
	c.renewalStartedAt, c.renewalAnswered, c.deniedBefore, c.denied, c.allocationGrew = now, false, c.denied, false, false
	req := quota.RenewalRequest{ID: c.memberID, Seq: c.lastSeq, Version: c.config.Version}
	elapsed := max((now - c.wantsComputedAt).Seconds(), 1e-3)
	c.wantsComputedAt = now
	for i := range c.config.Budgets {
		b := &c.config.Budgets[i]
		if b.Scope == quota.PerFleet {
			c.lookup(now, quota.Key{Budget: b.Name}) // always reported, since unused capacity is divided as well
		}
		if b.IsConcurrencyLimit() {
			for target := range c.openConnections {
				if !b.Covers(quota.Reservation{Resource: b.Resource, Target: target}) {
					continue
				}
				c.lookup(now, quota.Key{Budget: b.Name, Key: target})
			}
		}
	}
	for k, alloc := range c.allocations {
		b := c.config.Budget(k.Budget)
		if b == nil {
			delete(c.allocations, k)
			continue
		}
		alloc = c.refill(b, alloc, now)
		alloc = c.updateWant(b, k, alloc, elapsed, now)
		held := c.grantedNow(alloc, now)
		idle := now - alloc.lastUsedAt
		if held == (quota.Amount{}) && c.inUse(b, k) == 0 && b.Scope != quota.PerFleet && idle > idleTTL && alloc.tokens >= b.FloorBurst-roundingSlack {
			delete(c.allocations, k) // the bucket is full at its floor, as if it had never been used
			continue
		}
		c.allocations[k] = alloc
		req.Reports = append(req.Reports, quota.UsageReport{Key: k, Held: held, Want: alloc.wanted, InUse: c.inUse(b, k), Used: alloc.usedRate})
	}
	slices.SortFunc(req.Reports, func(a, b quota.UsageReport) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Key.Key, b.Key.Key))
	})
	return req
}

// updateWant computes the demand to request: the usage with headroom, and much more after a denial. It
// resets the usage for the next interval.
func (c *Client) updateWant(b *quota.Budget, k quota.Key, alloc allocation, elapsed float64, now time.Duration) allocation {
	limitRate := b.FloorRate + c.grantedNow(alloc, now).Rate
	alloc.usedRate = alloc.usedSinceRenewal / elapsed
	want := alloc.usedRate * wantHeadroom
	if b.IsConcurrencyLimit() {
		alloc.peakInUse = max(alloc.peakInUse, c.inUse(b, k))
		if want = alloc.peakInUse * wantHeadroom; want > 0 {
			want++
		}
	}
	if alloc.largestDenied > 0 {
		want = max(want, deniedGrowth*limitRate, alloc.largestDenied, c.config.EffectiveLimit(b).Rate/float64(c.config.MaxSessions))
	}
	want = max(want, alloc.wanted*wantDecay)
	if math.Abs(want-alloc.wanted) < wantHysteresis*alloc.wanted {
		want = alloc.wanted
	}
	if want < 0.01 {
		want = 0
	}
	alloc.wanted, alloc.usedSinceRenewal, alloc.peakInUse, alloc.largestDenied = want, 0, 0, 0
	return alloc
}

// AcceptRenewal applies a response and reports whether it was accepted. A response to a renewal that is
// not the last, that was already answered, or that belongs to another session is ignored (step 4).
func (c *Client) AcceptRenewal(now time.Duration, resp quota.RenewalResponse) bool {
	if !c.registered || resp.ID != c.memberID || resp.Seq != c.lastSeq || c.renewalAnswered {
		return false
	}
	c.renewalAnswered = true
	if resp.Config != nil && resp.Config.Version > c.config.Version {
		c.refillAll(now)
		c.config = *resp.Config
	}
	if now >= c.sessionEnd {
		c.Unregister()
		return false
	}
	c.sessionEnd = c.renewalStartedAt + c.config.SessionTTL()
	end := c.renewalStartedAt + c.config.AllocationTTL() // counted from before the renewal was sent (step 1)
	for _, a := range resp.Allocations {
		b := c.config.Budget(a.Budget)
		if b == nil {
			continue
		}
		alloc, known := c.lookup(now, a.Key)
		if !known {
			continue
		}
		alloc = c.refill(b, alloc, now)
		if a.ExtendsOnly && now >= alloc.grantedUntil {
			continue // the allocation to extend has expired, and may be allocated to another member by now (step 5)
		}
		c.allocationGrew = c.allocationGrew || a.Rate > c.grantedNow(alloc, now).Rate*(1+wantHysteresis)
		alloc.granted, alloc.grantedUntil = a.Amount, end
		alloc.tokens = min(alloc.tokens, c.burstNow(b, alloc, now)) // an allocation adds no tokens (step 8)
		c.allocations[a.Key] = alloc
	}
	return true
}

// HasUnmetDemand reports whether a reservation was denied since the last renewal.
func (c *Client) HasUnmetDemand() bool { return c.denied }

// NextRenewal returns when the next renewal is due. It is early if a reservation was denied since the
// last renewal, and none was denied in the interval before or the last response increased an allocation.
// A member whose reservations are always denied renews no more often than others, so that an overload
// of the fleet does not overload the agents.
func (c *Client) NextRenewal() time.Duration {
	if !c.hasConfig {
		return 0
	}
	if c.denied && (!c.deniedBefore || c.allocationGrew) {
		return c.renewalStartedAt + c.config.RenewInterval()/4
	}
	return c.renewalStartedAt + c.config.RenewInterval()
}

// RenewTimeout returns how long to wait for the response to a renewal.
func (c *Client) RenewTimeout() time.Duration { return c.config.RenewInterval() }

// AllocationsEnd returns when the last allocation expires; 0: there was none.
func (c *Client) AllocationsEnd() (end time.Duration) {
	for _, alloc := range c.allocations {
		end = max(end, alloc.grantedUntil)
	}
	return end
}
