// Package quotaclient is a member's side of fleet-wide budgets: what it may use at a moment, what it asks for, and which answers it takes. It
// does no I/O; time is passed in, and equal inputs give equal outputs. docs/fleet-budgets.md argues for its safety; the numbers
// in the comments here are that page's steps.
package quotaclient

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/quota"
)

const (
	wantHeadroom   = 1.25 // of what was used, asked for beyond it: a need that grows by less finds its part there
	deniedGrowth   = 4    // times what there is are asked for where something was denied: what is really needed can't be seen then
	wantDecay      = 0.8  // of what was asked for last is asked for at least: a short lull gives nothing away
	wantHysteresis = 0.1  // a want that changes by less stays as it was
	roundingSlack  = 1e-9 // of sums of floating-point numbers
	// idleTTL is how long a whole that nothing was drawn from stays known.
	idleTTL = time.Minute
)

// Client is one process's. It is not safe for concurrent use.
type Client struct {
	governed         map[quota.Resource]bool // nothing of these is used before the fleet's budgets are known
	memberID         string
	registered       bool
	leaving          bool
	registeredAt     time.Duration
	sessionEnd       time.Duration
	config           quota.Config
	hasConfig        bool // doc is
	allocations      map[quota.Key]allocation
	openConnections  map[string]float64 // connections by target
	lastSeq          uint64
	renewalStartedAt time.Duration // when the renewal sent last was begun
	renewalAnswered  bool          // its answer was taken
	wantsComputedAt  time.Duration // when wants were last reckoned
	denied           bool          // something was denied since the last renewal
	deniedBefore     bool          // and before it
	allocationGrew   bool          // a part grew by the last answer
}

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

// New returns a holder without a seat. Of the uses named nothing is allowed until the fleet's budgets are known.
func New(governed []quota.Resource) *Client {
	h := &Client{governed: map[quota.Resource]bool{}, allocations: map[quota.Key]allocation{}, openConnections: map[string]float64{}}
	for _, u := range governed {
		h.governed[u] = true
	}
	return h
}

// Register takes a seat over: began is when the join was begun. Buckets start empty (8).
func (h *Client) Register(began time.Duration, id string, doc quota.Config) {
	h.memberID, h.config, h.hasConfig, h.registered, h.leaving = id, doc, true, true, false
	h.registeredAt, h.sessionEnd = began, began+doc.SessionTTL()
	h.allocations = map[quota.Key]allocation{}
	h.lastSeq, h.wantsComputedAt = 0, began
}

// Unregister gives everything up: the agents know no such member.
func (h *Client) Unregister() {
	h.registered = false
	h.allocations = map[quota.Key]allocation{}
}

// Leave gives everything up for good. Nothing is used from now on, so the agents may be told.
func (h *Client) Leave() {
	h.Unregister()
	h.leaving = true
}

// Registered tells whether there is a seat at that moment.
func (h *Client) Registered(now time.Duration) bool { return h.registered && now < h.sessionEnd }

// MemberID is the member that has the seat.
func (h *Client) MemberID() string { return h.memberID }

// BeginRenewal begins a renewal. Only its own answer will be taken from now on (4).
func (h *Client) BeginRenewal(now time.Duration) quota.RenewalRequest {
	h.lastSeq++
	h.renewalStartedAt, h.renewalAnswered, h.deniedBefore, h.denied, h.allocationGrew = now, false, h.denied, false, false
	r := quota.RenewalRequest{ID: h.memberID, Seq: h.lastSeq, Version: h.config.Version}
	span := max((now - h.wantsComputedAt).Seconds(), 1e-3)
	h.wantsComputedAt = now
	for i := range h.config.Budgets {
		b := &h.config.Budgets[i]
		if b.Scope == quota.PerFleet {
			h.lookup(now, quota.Key{Budget: b.Name}) // always there: what is left over is shared out as well
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
			delete(h.allocations, k) // as a bucket that was never used
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

// updateWant reckons what is asked for: what was used and a little more, much more where something was denied.
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

// AcceptRenewal takes an answer. One to another renewal than the last, to one already taken, or to a seat that it had before, is no
// answer (4).
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
	end := h.renewalStartedAt + h.config.AllocationTTL() // from before the renewal went out (1)
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
			continue // what it would extend may be another's by now (5)
		}
		h.allocationGrew = h.allocationGrew || g.Rate > h.grantedNow(x, now).Rate*(1+wantHysteresis)
		x.granted, x.grantedUntil = g.Amount, end
		x.tokens = min(x.tokens, h.burstNow(b, x, now)) // a part brings no tokens (8)
		h.allocations[g.Key] = x
	}
	return true
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

// blocked tells whether a use is governed while nothing is known of the fleet's budgets.
func (h *Client) blocked(u quota.Resource) bool { return h.governed[u] && !h.hasConfig || h.leaving }

// Wait tells how long it is, at least, until the draw may be made; 0: now. Of a stock, Units is how many would be out.
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

// Reserve makes draws that Wait allowed at that moment, and tells until when they are good: the first byte has to go by then (9).
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
				return now - 1 // good for nothing
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

// connectionLimit is the least that any stock allows of connections at a target; false: none is kept.
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

// OpenConnection counts a connection to a target; false: there may be none more (10).
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

// ExcessConnections is how many connections to a target are open beyond what may be.
func (h *Client) ExcessConnections(now time.Duration, target string) int {
	limit, governed := h.connectionLimit(now, target)
	if !governed {
		return 0
	}
	return int(max(0, math.Ceil(h.openConnections[target]-limit-roundingSlack)))
}

// OpenConnections is how many connections are open.
func (h *Client) OpenConnections() (n int) {
	for _, x := range h.openConnections {
		n += int(x)
	}
	return n
}

// HasUnmetDemand tells whether something was denied since the last renewal.
func (h *Client) HasUnmetDemand() bool { return h.denied }

// NextRenewal is when the next renewal is due, where one was sent; sooner where something is wanted that was not before, or where asking has
// just brought more. Whoever is denied for good asks no more often than others: an overload must not become the agents'.
func (h *Client) NextRenewal() time.Duration {
	if !h.hasConfig {
		return 0
	}
	if h.denied && (!h.deniedBefore || h.allocationGrew) {
		return h.renewalStartedAt + h.config.RenewInterval()/4
	}
	return h.renewalStartedAt + h.config.RenewInterval()
}

// AllocationsEnd is when what was granted last ends; 0: nothing was.
func (h *Client) AllocationsEnd() (end time.Duration) {
	for _, x := range h.allocations {
		end = max(end, x.grantedUntil)
	}
	return end
}

// SessionEnd is when the seat ends, or ended.
func (h *Client) SessionEnd() time.Duration { return h.sessionEnd }

// AllocationStatus is one whole as it is here at a moment.
type AllocationStatus struct {
	quota.Key
	Limit        quota.Amount
	GrantedUntil time.Duration // of what is beyond the floor; in the past: nothing is
	Tokens       float64
	InUse        float64
	Wanted       float64
	UsedRate     float64 // used a second
}

// Status is every whole that is known here, in order.
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

// ConfigVersion is that of the set of budgets gone by; 0: none is known.
func (h *Client) ConfigVersion() uint64 {
	if !h.hasConfig {
		return 0
	}
	return h.config.Version
}

// Limit is what may be used of a whole at a moment, floor and part.
func (h *Client) Limit(now time.Duration, k quota.Key) quota.Amount {
	b := h.config.Budget(k.Budget)
	if !h.hasConfig || b == nil {
		return quota.Amount{}
	}
	return h.limitNow(b, h.allocations[k], now)
}

// RenewTimeout is how long an answer is waited for before the next renewal.
func (h *Client) RenewTimeout() time.Duration { return h.config.RenewInterval() }
