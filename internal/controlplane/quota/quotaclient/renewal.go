package quotaclient

import (
	"cmp"
	"math"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

// BeginRenewal starts a renewal. From now on only its own answer is accepted (step 4).
func (h *Client) BeginRenewal(now time.Duration) quota.RenewalRequest {
	h.lastSeq++
	h.renewalStartedAt, h.renewalAnswered, h.deniedBefore, h.denied, h.allocationGrew = now, false, h.denied, false, false
	r := quota.RenewalRequest{ID: h.memberID, Seq: h.lastSeq, Version: h.config.Version}
	span := max((now - h.wantsComputedAt).Seconds(), 1e-3)
	h.wantsComputedAt = now
	for i := range h.config.Budgets {
		b := &h.config.Budgets[i]
		if b.Scope == quota.PerFleet {
			h.lookup(now, quota.Key{Budget: b.Name}) // always reported: unused capacity is divided as well
		}
		if b.IsConcurrencyLimit() {
			for target := range h.openConnections {
				if !b.Covers(quota.Reservation{Resource: b.Resource, Target: target}) {
					continue
				}
				h.lookup(now, quota.Key{Budget: b.Name, Key: target})
			}
		}
	}
	for k, x := range h.allocations {
		b := h.config.Budget(k.Budget)
		if b == nil {
			delete(h.allocations, k)
			continue
		}
		x = h.refill(b, x, now)
		x = h.updateWant(b, k, x, span, now)
		held := h.grantedNow(x, now)
		idle := now - x.lastUsedAt
		if held == (quota.Amount{}) && h.inUse(b, k) == 0 && b.Scope != quota.PerFleet && idle > idleTTL && x.tokens >= b.FloorBurst-roundingSlack {
			delete(h.allocations, k) // equal to a bucket that was never used
			continue
		}
		h.allocations[k] = x
		r.Reports = append(r.Reports, quota.UsageReport{Key: k, Held: held, Want: x.wanted, InUse: h.inUse(b, k), Used: x.usedRate})
	}
	slices.SortFunc(r.Reports, func(a, b quota.UsageReport) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Key.Key, b.Key.Key))
	})
	return r
}

// updateWant computes the demand to ask for: usage with headroom, and much more after a denial.
func (h *Client) updateWant(b *quota.Budget, k quota.Key, x allocation, span float64, now time.Duration) allocation {
	has := b.FloorRate + h.grantedNow(x, now).Rate
	x.usedRate = x.usedSinceRenewal / span
	want := x.usedRate * wantHeadroom
	if b.IsConcurrencyLimit() {
		x.peakInUse = max(x.peakInUse, h.inUse(b, k))
		if want = x.peakInUse * wantHeadroom; want > 0 {
			want++
		}
	}
	if x.largestDenied > 0 {
		want = max(want, deniedGrowth*has, x.largestDenied, h.config.EffectiveLimit(b).Rate/float64(h.config.MaxSessions))
	}
	want = max(want, x.wanted*wantDecay)
	if math.Abs(want-x.wanted) < wantHysteresis*x.wanted {
		want = x.wanted
	}
	if want < 0.01 {
		want = 0
	}
	x.wanted, x.usedSinceRenewal, x.peakInUse, x.largestDenied = want, 0, 0, 0
	return x
}

// AcceptRenewal takes over an answer and reports whether it was accepted. Answers to another renewal
// than the last, to one that was answered, and to another session are ignored (step 4).
func (h *Client) AcceptRenewal(now time.Duration, a quota.RenewalResponse) bool {
	if !h.registered || a.ID != h.memberID || a.Seq != h.lastSeq || h.renewalAnswered {
		return false
	}
	h.renewalAnswered = true
	if a.Config != nil && a.Config.Version > h.config.Version {
		h.refillAll(now)
		h.config = *a.Config
	}
	if now >= h.sessionEnd {
		h.Unregister()
		return false
	}
	h.sessionEnd = h.renewalStartedAt + h.config.SessionTTL()
	end := h.renewalStartedAt + h.config.AllocationTTL() // counted from before the renewal was sent (step 1)
	for _, g := range a.Allocations {
		b := h.config.Budget(g.Budget)
		if b == nil {
			continue
		}
		x, known := h.lookup(now, g.Key)
		if !known {
			continue
		}
		x = h.refill(b, x, now)
		if g.ExtendsOnly && now >= x.grantedUntil {
			continue // what it would extend may be allocated to another member by now (step 5)
		}
		h.allocationGrew = h.allocationGrew || g.Rate > h.grantedNow(x, now).Rate*(1+wantHysteresis)
		x.granted, x.grantedUntil = g.Amount, end
		x.tokens = min(x.tokens, h.burstNow(b, x, now)) // an allocation brings no tokens (step 8)
		h.allocations[g.Key] = x
	}
	return true
}

// HasUnmetDemand reports whether a reservation was denied since the last renewal.
func (h *Client) HasUnmetDemand() bool { return h.denied }

// NextRenewal is when the next renewal is due. It is early if something was denied that was not denied
// before, or if the last answer brought more. A member that is denied all the time renews no more
// often than others, so that an overload does not become the agents' overload.
func (h *Client) NextRenewal() time.Duration {
	if !h.hasConfig {
		return 0
	}
	if h.denied && (!h.deniedBefore || h.allocationGrew) {
		return h.renewalStartedAt + h.config.RenewInterval()/4
	}
	return h.renewalStartedAt + h.config.RenewInterval()
}

// RenewTimeout is how long to wait for the answer to a renewal.
func (h *Client) RenewTimeout() time.Duration { return h.config.RenewInterval() }

// AllocationsEnd is when the last allocation expires; 0: there was none.
func (h *Client) AllocationsEnd() (end time.Duration) {
	for _, x := range h.allocations {
		end = max(end, x.grantedUntil)
	}
	return end
}
