package quotaclient

import (
	"spindlehitch/internal/controlplane/quota"
	"time"
)

// allocation is one whole as this member has it.
type allocation struct {
	granted          quota.Amount // beyond the floor
	grantedUntil     time.Duration
	tokens           float64
	tokensAt         time.Duration // when tokens were last reckoned
	lastUsedAt       time.Duration // when something was last drawn, or asked for in vain
	usedSinceRenewal float64
	peakInUse        float64 // most out at once
	largestDenied    float64 // largest draw that found too little
	wanted           float64
	usedRate         float64 // used a second, before the last renewal
}

// lookup returns what there is of a whole, made at first need: its floor's bucket has filled since the seat was taken. Past the most
// that may be kept there is nothing.
func (h *Client) lookup(now time.Duration, k quota.Key) (x allocation, known bool) {
	if x, known = h.allocations[k]; !known && len(h.allocations) < quota.MaxKeys {
		x, known = allocation{tokensAt: h.registeredAt, lastUsedAt: now}, true
		h.allocations[k] = x
	}
	return x, known
}

func (h *Client) refillAll(now time.Duration) {
	for k, x := range h.allocations {
		if b := h.config.Budget(k.Budget); b != nil {
			h.allocations[k] = h.refill(b, x, now)
		}
	}
}

// grantedNow is what there is beyond the floor at that moment.
func (h *Client) grantedNow(x allocation, now time.Duration) quota.Amount {
	if h.registered && now < x.grantedUntil {
		return x.granted
	}
	return quota.Amount{}
}

// limitNow is what may be used at that moment, floor and part.
func (h *Client) limitNow(b *quota.Budget, x allocation, now time.Duration) quota.Amount {
	a := h.grantedNow(x, now)
	if h.Registered(now) {
		a.Rate += b.FloorRate
		a.Burst += b.FloorBurst
	}
	return a
}

func (h *Client) burstNow(b *quota.Budget, x allocation, now time.Duration) float64 {
	return h.limitNow(b, x, now).Burst
}

// refill brings a bucket up to that moment, through whatever ended meanwhile.
func (h *Client) refill(b *quota.Budget, x allocation, now time.Duration) allocation {
	for x.tokensAt < now {
		to := now
		for _, end := range []time.Duration{x.grantedUntil, h.sessionEnd} {
			if x.tokensAt < end && end < to {
				to = end
			}
		}
		a := h.limitNow(b, x, x.tokensAt)
		x.tokens = min(a.Burst, x.tokens+a.Rate*(to-x.tokensAt).Seconds())
		x.tokensAt = to
	}
	x.tokens = min(x.tokens, h.burstNow(b, x, now))
	return x
}

func (h *Client) inUse(b *quota.Budget, k quota.Key) float64 {
	if b.IsConcurrencyLimit() {
		return h.openConnections[k.Key]
	}
	return 0
}
