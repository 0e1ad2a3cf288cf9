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
	headroom = 1.25 // of what was used, asked for beyond it: a need that grows by less finds its part there
	more     = 4    // times what there is are asked for where something was denied: what is really needed can't be seen then
	decay    = 0.8  // of what was asked for last is asked for at least: a short lull gives nothing away
	steady   = 0.1  // a want that changes by less stays as it was
	slack    = 1e-9 // of sums of floating-point numbers
	// forget is how long a whole that nothing was drawn from stays known.
	forget = time.Minute
)

// Holder is one process's. It is not safe for concurrent use.
type Holder struct {
	governed map[quota.Use]bool // nothing of these is used before the fleet's budgets are known
	id       string
	seated   bool
	left     bool
	seatedAt time.Duration
	seatEnd  time.Duration
	doc      quota.Doc
	known    bool // doc is
	rows     map[quota.Key]row
	out      map[string]float64 // connections by target
	seq      uint64
	began    time.Duration // when the renewal sent last was begun
	heard    bool          // its answer was taken
	wantsAt  time.Duration // when wants were last reckoned
	hungry   bool          // something was denied since the last renewal
	hungered bool          // and before it
	grew     bool          // a part grew by the last answer
}

// row is one whole as this member has it.
type row struct {
	amount  quota.Amount // beyond the floor
	until   time.Duration
	tokens  float64
	at      time.Duration // when tokens were last reckoned
	touched time.Duration // when something was last drawn, or asked for in vain
	used    float64
	peak    float64 // most out at once
	denied  float64 // largest draw that found too little
	want    float64
	rate    float64 // used a second, before the last renewal
}

// New returns a holder without a seat. Of the uses named nothing is allowed until the fleet's budgets are known.
func New(governed []quota.Use) *Holder {
	h := &Holder{governed: map[quota.Use]bool{}, rows: map[quota.Key]row{}, out: map[string]float64{}}
	for _, u := range governed {
		h.governed[u] = true
	}
	return h
}

// Seat takes a seat over: began is when the join was begun. Buckets start empty (8).
func (h *Holder) Seat(began time.Duration, id string, doc quota.Doc) {
	h.id, h.doc, h.known, h.seated, h.left = id, doc, true, true, false
	h.seatedAt, h.seatEnd = began, began+doc.Seat()
	h.rows = map[quota.Key]row{}
	h.seq, h.wantsAt = 0, began
}

// Unseat gives everything up: the agents know no such member.
func (h *Holder) Unseat() {
	h.seated = false
	h.rows = map[quota.Key]row{}
}

// Leave gives everything up for good. Nothing is used from now on, so the agents may be told.
func (h *Holder) Leave() {
	h.Unseat()
	h.left = true
}

// Seated tells whether there is a seat at that moment.
func (h *Holder) Seated(now time.Duration) bool { return h.seated && now < h.seatEnd }

// ID is the member that has the seat.
func (h *Holder) ID() string { return h.id }

// Renew begins a renewal. Only its own answer will be taken from now on (4).
func (h *Holder) Renew(now time.Duration) quota.Renewal {
	h.seq++
	h.began, h.heard, h.hungered, h.hungry, h.grew = now, false, h.hungry, false, false
	r := quota.Renewal{ID: h.id, Seq: h.seq, Version: h.doc.Version}
	span := max((now - h.wantsAt).Seconds(), 1e-3)
	h.wantsAt = now
	for i := range h.doc.Budgets {
		b := &h.doc.Budgets[i]
		if b.Per == quota.PerFleet {
			h.row(now, quota.Key{Budget: b.Name}) // always there: what is left over is shared out as well
		}
		if b.Stock() {
			for target := range h.out {
				if !b.Governs(quota.Draw{Use: b.Use, Target: target}) {
					continue
				}
				h.row(now, quota.Key{Budget: b.Name, Key: target})
			}
		}
	}
	for k, x := range h.rows {
		b := h.doc.Budget(k.Budget)
		if b == nil {
			delete(h.rows, k)
			continue
		}
		x = h.reckon(b, x, now)
		x = h.need(b, k, x, span, now)
		held := h.part(x, now)
		idle := now - x.touched
		if held == (quota.Amount{}) && h.inUse(b, k) == 0 && b.Per != quota.PerFleet && idle > forget && x.tokens >= b.LeastBurst-slack {
			delete(h.rows, k) // as a bucket that was never used
			continue
		}
		h.rows[k] = x
		r.Reports = append(r.Reports, quota.Report{Key: k, Held: held, Want: x.want, InUse: h.inUse(b, k), Used: x.rate})
	}
	slices.SortFunc(r.Reports, func(a, b quota.Report) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Key.Key, b.Key.Key))
	})
	return r
}

// need reckons what is asked for: what was used and a little more, much more where something was denied.
func (h *Holder) need(b *quota.Budget, k quota.Key, x row, span float64, now time.Duration) row {
	has := b.Least + h.part(x, now).Rate
	x.rate = x.used / span
	want := x.rate * headroom
	if b.Stock() {
		x.peak = max(x.peak, h.inUse(b, k))
		if want = x.peak * headroom; want > 0 {
			want++
		}
	}
	if x.denied > 0 {
		want = max(want, more*has, x.denied, h.doc.Total(b).Rate/float64(h.doc.Seats))
	}
	want = max(want, x.want*decay)
	if math.Abs(want-x.want) < steady*x.want {
		want = x.want
	}
	if want < 0.01 {
		want = 0
	}
	x.want, x.used, x.peak, x.denied = want, 0, 0, 0
	return x
}

// Accept takes an answer. One to another renewal than the last, to one already taken, or to a seat that it had before, is no
// answer (4).
func (h *Holder) Accept(now time.Duration, a quota.Answer) bool {
	if !h.seated || a.ID != h.id || a.Seq != h.seq || h.heard {
		return false
	}
	h.heard = true
	if a.Doc != nil && a.Doc.Version > h.doc.Version {
		h.settle(now)
		h.doc = *a.Doc
	}
	if now >= h.seatEnd {
		h.Unseat()
		return false
	}
	h.seatEnd = h.began + h.doc.Seat()
	end := h.began + h.doc.Part() // from before the renewal went out (1)
	for _, g := range a.Grants {
		b := h.doc.Budget(g.Budget)
		if b == nil {
			continue
		}
		x, known := h.row(now, g.Key)
		if !known {
			continue
		}
		x = h.reckon(b, x, now)
		if g.Extends && now >= x.until {
			continue // what it would extend may be another's by now (5)
		}
		h.grew = h.grew || g.Rate > h.part(x, now).Rate*(1+steady)
		x.amount, x.until = g.Amount, end
		x.tokens = min(x.tokens, h.depth(b, x, now)) // a part brings no tokens (8)
		h.rows[g.Key] = x
	}
	return true
}

// row returns what there is of a whole, made at first need: its floor's bucket has filled since the seat was taken. Past the most
// that may be kept there is nothing.
func (h *Holder) row(now time.Duration, k quota.Key) (x row, known bool) {
	if x, known = h.rows[k]; !known && len(h.rows) < quota.MostKeys {
		x, known = row{at: h.seatedAt, touched: now}, true
		h.rows[k] = x
	}
	return x, known
}

func (h *Holder) settle(now time.Duration) {
	for k, x := range h.rows {
		if b := h.doc.Budget(k.Budget); b != nil {
			h.rows[k] = h.reckon(b, x, now)
		}
	}
}

// part is what there is beyond the floor at that moment.
func (h *Holder) part(x row, now time.Duration) quota.Amount {
	if h.seated && now < x.until {
		return x.amount
	}
	return quota.Amount{}
}

// limit is what may be used at that moment, floor and part.
func (h *Holder) limit(b *quota.Budget, x row, now time.Duration) quota.Amount {
	a := h.part(x, now)
	if h.Seated(now) {
		a.Rate += b.Least
		a.Burst += b.LeastBurst
	}
	return a
}

func (h *Holder) depth(b *quota.Budget, x row, now time.Duration) float64 {
	return h.limit(b, x, now).Burst
}

// reckon brings a bucket up to that moment, through whatever ended meanwhile.
func (h *Holder) reckon(b *quota.Budget, x row, now time.Duration) row {
	for x.at < now {
		to := now
		for _, end := range []time.Duration{x.until, h.seatEnd} {
			if x.at < end && end < to {
				to = end
			}
		}
		a := h.limit(b, x, x.at)
		x.tokens = min(a.Burst, x.tokens+a.Rate*(to-x.at).Seconds())
		x.at = to
	}
	x.tokens = min(x.tokens, h.depth(b, x, now))
	return x
}

func (h *Holder) inUse(b *quota.Budget, k quota.Key) float64 {
	if b.Stock() {
		return h.out[k.Key]
	}
	return 0
}

// barred tells whether a use is governed while nothing is known of the fleet's budgets.
func (h *Holder) barred(u quota.Use) bool { return h.governed[u] && !h.known || h.left }

// Wait tells how long it is, at least, until the draw may be made; 0: now. Of a stock, Units is how many would be out.
func (h *Holder) Wait(now time.Duration, d quota.Draw) (wait time.Duration, governed bool) {
	const poll = 50 * time.Millisecond
	if h.barred(d.Use) {
		return poll, true
	}
	if !h.known {
		return 0, false
	}
	for i := range h.doc.Budgets {
		b := &h.doc.Budgets[i]
		if !b.Governs(d) {
			continue
		}
		governed = true
		k := quota.Key{Budget: b.Name, Key: b.KeyOf(d)}
		x, known := h.row(now, k)
		if !known {
			wait = max(wait, poll)
			continue
		}
		x = h.reckon(b, x, now)
		a := h.limit(b, x, now)
		lack := d.Units - x.tokens
		if b.Stock() {
			lack = d.Units - a.Rate
		}
		if lack > slack {
			x.denied, x.touched, h.hungry = max(x.denied, d.Units), now, true
			next := poll
			if !b.Stock() && a.Burst >= d.Units {
				next = min(time.Duration(lack/a.Rate*float64(time.Second))+1, time.Second)
			}
			wait = max(wait, next)
		}
		h.rows[k] = x
	}
	return wait, governed
}

// Take makes draws that Wait allowed at that moment, and tells until when they are good: the first byte has to go by then (9).
func (h *Holder) Take(now time.Duration, draws ...quota.Draw) (until time.Duration) {
	until = now + quota.Air
	for _, d := range draws {
		if !h.known {
			continue
		}
		for i := range h.doc.Budgets {
			b := &h.doc.Budgets[i]
			if !b.Governs(d) || b.Stock() {
				continue
			}
			k := quota.Key{Budget: b.Name, Key: b.KeyOf(d)}
			x, known := h.row(now, k)
			if !known {
				return now - 1 // good for nothing
			}
			x = h.reckon(b, x, now)
			x.tokens -= d.Units
			x.used += d.Units
			x.touched = now
			h.rows[k] = x
			if now < x.until {
				until = min(until, x.until)
			}
			until = min(until, h.seatEnd)
		}
	}
	return until
}

// stock is the least that any stock allows of connections at a target; false: none is kept.
func (h *Holder) stock(now time.Duration, target string) (limit float64, governed bool) {
	if h.barred(quota.Connection) {
		return 0, true
	}
	if !h.known {
		return 0, false
	}
	limit = math.Inf(1)
	for i := range h.doc.Budgets {
		if b := &h.doc.Budgets[i]; b.Stock() && b.Governs(quota.Draw{Use: b.Use, Target: target}) {
			x, known := h.row(now, quota.Key{Budget: b.Name, Key: target})
			if governed = true; !known {
				return 0, true
			}
			limit = min(limit, h.limit(b, x, now).Rate)
		}
	}
	return limit, governed
}

// Open counts a connection to a target; false: there may be none more (10).
func (h *Holder) Open(now time.Duration, target string) bool {
	limit, governed := h.stock(now, target)
	full := governed && h.out[target]+1 > limit+slack
	if !full {
		h.out[target]++
	}
	if !h.known {
		return !full
	}
	for i := range h.doc.Budgets {
		b, k := &h.doc.Budgets[i], quota.Key{Budget: h.doc.Budgets[i].Name, Key: target}
		x, known := h.rows[k]
		if !b.Stock() || !known {
			continue
		}
		x.touched, x.peak = now, max(x.peak, h.out[target])
		if full {
			x.denied, h.hungry = max(x.denied, h.out[target]+1), true
		}
		h.rows[k] = x
	}
	return !full
}

// Close counts a connection that has ended.
func (h *Holder) Close(target string) {
	if h.out[target]--; h.out[target] <= 0 {
		delete(h.out, target)
	}
}

// Over is how many connections to a target are open beyond what may be.
func (h *Holder) Over(now time.Duration, target string) int {
	limit, governed := h.stock(now, target)
	if !governed {
		return 0
	}
	return int(max(0, math.Ceil(h.out[target]-limit-slack)))
}

// Out is how many connections are open.
func (h *Holder) Out() (n int) {
	for _, x := range h.out {
		n += int(x)
	}
	return n
}

// Hungry tells whether something was denied since the last renewal.
func (h *Holder) Hungry() bool { return h.hungry }

// Next is when the next renewal is due, where one was sent; sooner where something is wanted that was not before, or where asking has
// just brought more. Whoever is denied for good asks no more often than others: an overload must not become the agents'.
func (h *Holder) Next() time.Duration {
	if !h.known {
		return 0
	}
	if h.hungry && (!h.hungered || h.grew) {
		return h.began + h.doc.Renew()/4
	}
	return h.began + h.doc.Renew()
}

// Ended is when what was granted last ends; 0: nothing was.
func (h *Holder) Ended() (end time.Duration) {
	for _, x := range h.rows {
		end = max(end, x.until)
	}
	return end
}

// SeatEnds is when the seat ends, or ended.
func (h *Holder) SeatEnds() time.Duration { return h.seatEnd }

// Has is one whole as it is here at a moment.
type Has struct {
	quota.Key
	Limit  quota.Amount
	Until  time.Duration // of what is beyond the floor; in the past: nothing is
	Tokens float64
	InUse  float64
	Want   float64
	Rate   float64 // used a second
}

// All is every whole that is known here, in order.
func (h *Holder) All(now time.Duration) []Has {
	var all []Has
	for _, k := range slices.SortedFunc(maps.Keys(h.rows), func(a, b quota.Key) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Key, b.Key))
	}) {
		b := h.doc.Budget(k.Budget)
		if b == nil {
			continue
		}
		x := h.reckon(b, h.rows[k], now)
		all = append(all, Has{k, h.limit(b, x, now), x.until, x.tokens, h.inUse(b, k), x.want, x.rate})
	}
	return all
}

// Version is that of the set of budgets gone by; 0: none is known.
func (h *Holder) Version() uint64 {
	if !h.known {
		return 0
	}
	return h.doc.Version
}

// Limit is what may be used of a whole at a moment, floor and part.
func (h *Holder) Limit(now time.Duration, k quota.Key) quota.Amount {
	b := h.doc.Budget(k.Budget)
	if !h.known || b == nil {
		return quota.Amount{}
	}
	return h.limit(b, h.rows[k], now)
}

// Patience is how long an answer is waited for before the next renewal.
func (h *Holder) Patience() time.Duration { return h.doc.Renew() }
