package quotaclient

import (
	"cmp"
	"math"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// BeginRenewal starts a renewal. From now on only its own answer is accepted (step 4).
func (c *Client) BeginRenewal(now time.Duration) quota.RenewalRequest {
	c.lastSeq++
	c.renewalStartedAt, c.renewalAnswered, c.deniedBefore, c.denied, c.allocationGrew = now, false, c.denied, false, false
	req := quota.RenewalRequest{ID: c.memberID, Seq: c.lastSeq, Version: c.config.Version}
	span := max((now - c.wantsComputedAt).Seconds(), 1e-3)
	c.wantsComputedAt = now
	for i := range c.config.Budgets {
		b := &c.config.Budgets[i]
		if b.Scope == quota.PerFleet {
			c.lookup(now, quota.Key{Budget: b.Name}) // always reported: unused capacity is divided as well
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
		alloc = c.updateWant(b, k, alloc, span, now)
		held := c.grantedNow(alloc, now)
		idle := now - alloc.lastUsedAt
		if held == (quota.Amount{}) && c.inUse(b, k) == 0 && b.Scope != quota.PerFleet && idle > idleTTL && alloc.tokens >= b.FloorBurst-roundingSlack {
			delete(c.allocations, k) // equal to a bucket that was never used
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

// updateWant computes the demand to ask for: usage with headroom, and much more after a denial.
func (c *Client) updateWant(b *quota.Budget, k quota.Key, alloc allocation, span float64, now time.Duration) allocation {
	has := b.FloorRate + c.grantedNow(alloc, now).Rate
	alloc.usedRate = alloc.usedSinceRenewal / span
	want := alloc.usedRate * wantHeadroom
	if b.IsConcurrencyLimit() {
		alloc.peakInUse = max(alloc.peakInUse, c.inUse(b, k))
		if want = alloc.peakInUse * wantHeadroom; want > 0 {
			want++
		}
	}
	if alloc.largestDenied > 0 {
		want = max(want, deniedGrowth*has, alloc.largestDenied, c.config.EffectiveLimit(b).Rate/float64(c.config.MaxSessions))
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

// AcceptRenewal takes over an answer and reports whether it was accepted. Answers to another renewal
// than the last, to one that was answered, and to another session are ignored (step 4).
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
			continue // what it would extend may be allocated to another member by now (step 5)
		}
		c.allocationGrew = c.allocationGrew || a.Rate > c.grantedNow(alloc, now).Rate*(1+wantHysteresis)
		alloc.granted, alloc.grantedUntil = a.Amount, end
		alloc.tokens = min(alloc.tokens, c.burstNow(b, alloc, now)) // an allocation brings no tokens (step 8)
		c.allocations[a.Key] = alloc
	}
	return true
}

// HasUnmetDemand reports whether a reservation was denied since the last renewal.
func (c *Client) HasUnmetDemand() bool { return c.denied }

// NextRenewal is when the next renewal is due. It is early if something was denied that was not denied
// before, or if the last answer brought more. A member that is denied all the time renews no more
// often than others, so that an overload does not become the agents' overload.
func (c *Client) NextRenewal() time.Duration {
	if !c.hasConfig {
		return 0
	}
	if c.denied && (!c.deniedBefore || c.allocationGrew) {
		return c.renewalStartedAt + c.config.RenewInterval()/4
	}
	return c.renewalStartedAt + c.config.RenewInterval()
}

// RenewTimeout is how long to wait for the answer to a renewal.
func (c *Client) RenewTimeout() time.Duration { return c.config.RenewInterval() }

// AllocationsEnd is when the last allocation expires; 0: there was none.
func (c *Client) AllocationsEnd() (end time.Duration) {
	for _, alloc := range c.allocations {
		end = max(end, alloc.grantedUntil)
	}
	return end
}
