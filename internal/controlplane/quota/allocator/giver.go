// Package allocator is the leading agent's side of fleet-wide budgets: the book of what each member may still hold, and what a renewal is
// granted. One giver lasts for one term of one leader. It does no I/O; time is passed in, and equal inputs give equal outputs.
// docs/fleet-budgets.md argues for its safety; the numbers in the comments here are that page's steps.
package allocator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/maxmin"
)

// mostAlike is how many processes may live under one name and address: two of an upgrade and one that was just killed.
const mostAlike = 3

// Giver is the book of one term.
type Giver struct {
	doc     quota.Doc
	since   time.Duration
	members map[string]member
	order   []string       // ids of members
	known   []quota.Member // as the log had them last
	book    map[quota.Key]*page
}

type member struct {
	quota.Member
	seq     uint64
	heard   time.Duration // the last renewal; of one that is only known from the log, when this giver began
	renewed bool          // by this giver
	gone    bool          // its seat is being taken back
	version uint64
}

// row is what one member may hold of a whole, each of two until its end here (2).
type row struct {
	id         string
	share      float64 // as last reckoned
	shared     bool    // it was
	held       quota.Amount
	heldEnd    time.Duration
	granted    quota.Amount
	grantedEnd time.Duration
	claim      quota.Report
}

// may is the most that its member may still hold.
func (r row) may(now time.Duration) (a quota.Amount) {
	if now < r.heldEnd {
		a = r.held
	}
	if now < r.grantedEnd {
		a.Rate, a.Burst = max(a.Rate, r.granted.Rate), max(a.Burst, r.granted.Burst)
	}
	return a
}

// New begins a term. The members are those in the log, all of it up to the term's beginning.
func New(now time.Duration, doc quota.Doc, members []quota.Member) *Giver {
	g := &Giver{doc: doc, since: now, members: map[string]member{}, book: map[quota.Key]*page{}}
	g.Update(now, doc, members)
	return g
}

// Update takes over what the log says. Who has no seat any more holds nothing: it said so, or its seat outlasted all that it held (1).
func (g *Giver) Update(now time.Duration, doc quota.Doc, members []quota.Member) {
	g.doc = doc
	joined, left := quota.Changed(g.known, members)
	g.known = append(g.known[:0], members...)
	for _, m := range left {
		delete(g.members, m.ID)
		if at, there := slices.BinarySearch(g.order, m.ID); there {
			g.order = slices.Delete(g.order, at, at+1)
		}
	}
	for _, m := range joined {
		g.members[m.ID] = member{Member: m, heard: now}
		if at, there := slices.BinarySearch(g.order, m.ID); !there {
			g.order = slices.Insert(g.order, at, m.ID)
		}
	}
	if len(left) == 0 {
		return
	}
	for k, p := range g.book {
		if p.drop(func(r row) bool { _, in := g.members[r.id]; return !in }) == 0 {
			delete(g.book, k)
		}
	}
}

// held is how long, at the giver, something lasts that was given for a renewal that has just come (Time).
func (g *Giver) held(b *quota.Budget) time.Duration {
	return g.doc.Elsewhere(g.doc.Part() + b.Linger())
}

// seat is how long, at the giver, a seat lasts after its member was heard: what is out under its floor has ended as well.
func (g *Giver) seat() time.Duration {
	linger := time.Duration(0)
	for i := range g.doc.Budgets {
		linger = max(linger, g.doc.Budgets[i].Linger())
	}
	return g.doc.Elsewhere(g.doc.Seat() + linger)
}

// live tells whether a member has renewed lately enough to hold something.
func (g *Giver) live(now time.Duration, m member) bool {
	return !m.gone && now < m.heard+g.doc.Elsewhere(g.doc.Part())
}

// Admit tells whether a process may join, or why not. The log has the last word on seats. One whose first answer was lost asks
// again: its seat lasts from this asking on, unless it is being taken back.
func (g *Giver) Admit(now time.Duration, m quota.Member) error {
	if x, known := g.members[m.ID]; known {
		if x.gone {
			return quota.UnknownMember
		}
		x.heard = now
		g.members[m.ID] = x
		return nil
	}
	alike := 0
	for _, x := range g.members {
		if x.Name != m.Name || !g.live(now, x) {
			continue
		}
		if x.Addr != m.Addr {
			return quota.NameTaken
		}
		alike++
	}
	if alike >= mostAlike {
		return quota.NameTaken
	}
	return nil
}

// Gone takes back the seats that have ended and returns them; their members are known no more from now on (1).
func (g *Giver) Gone(now time.Duration) (ids []string) {
	for _, id := range g.order {
		if m, known := g.members[id]; known && (m.gone || now >= m.heard+g.seat()) {
			m.gone = true
			g.members[id] = m
			ids = append(ids, id)
		}
	}
	return ids
}

// Renew notes what a member says and decides what it gets. The answer may only go out once a majority has confirmed, after this
// call, that no later term has begun (6).
func (g *Giver) Renew(now time.Duration, r quota.Renewal) (quota.Answer, error) {
	m, known := g.members[r.ID]
	switch {
	case !known || m.gone:
		return quota.Answer{}, quota.UnknownMember
	case len(r.Reports) > quota.MostKeys+quota.MostBudgets:
		return quota.Answer{}, quota.NoBudgets
	case r.Seq <= m.seq:
		return quota.Answer{}, quota.OldRenewal
	}
	m.seq, m.heard, m.renewed, m.version = r.Seq, now, true, r.Version
	g.members[r.ID] = m
	a := quota.Answer{ID: r.ID, Seq: r.Seq}
	if r.Version != g.doc.Version {
		doc := g.doc
		a.Doc = &doc
	}
	said := make(map[quota.Key]bool, len(r.Reports))
	for _, rep := range r.Reports {
		b := g.doc.Budget(rep.Budget)
		if b == nil || said[rep.Key] {
			continue
		}
		said[rep.Key] = true
		p := g.book[rep.Key]
		if p == nil {
			p = &page{old: true}
			g.book[rep.Key] = p
		}
		at, there := p.find(r.ID)
		if !there {
			p.enter(at, r.ID)
		}
		// Older answers will not be taken any more: what was granted counts only as far as it was taken (3, 4).
		held := rep.Held
		if b.Stock() {
			held.Rate = max(held.Rate, rep.InUse-b.Least)
		}
		x := &p.rows[at]
		*x = row{id: r.ID, share: x.share, shared: x.shared, held: held, heldEnd: now + g.held(b), claim: rep}
		grant := quota.Grant{Key: rep.Key}
		left := g.left(now, b, p, at)
		if now < g.since+g.held(b) {
			grant.Amount, grant.Extends = least(rep.Held, left), true // (5)
		} else {
			grant.Amount = g.grant(now, b, p, x, left)
		}
		x.granted, x.grantedEnd = grant.Amount, now+g.held(b)
		p.touch(at)
		a.Grants = append(a.Grants, grant)
	}
	for k, p := range g.book {
		if said[k] {
			continue
		}
		if _, there := p.find(r.ID); there && p.drop(func(x row) bool { return x.id == r.ID }) == 0 { // it holds nothing there and will take no older answer
			delete(g.book, k)
		}
	}
	return a, nil
}

func least(a, b quota.Amount) quota.Amount {
	return quota.Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst)}
}

// left is what nobody but this member may hold (2).
func (g *Giver) left(now time.Duration, b *quota.Budget, p *page, at int) quota.Amount {
	pool, others := g.doc.Pool(b), p.others(now, at)
	return quota.Amount{Rate: max(0, pool.Rate-others.Rate), Burst: max(0, pool.Burst-others.Burst)}
}

// grant is the member's share, as far as nobody else holds it.
func (g *Giver) grant(now time.Duration, b *quota.Budget, p *page, x *row, left quota.Amount) quota.Amount {
	pool := g.doc.Pool(b)
	if p.old || now-p.at >= g.doc.Renew()/20 || now < p.at {
		g.divide(now, b, p)
	}
	share := x.share
	if !x.shared { // many come at once: an even part until shares are reckoned again
		share = pool.Rate / float64(len(p.rows))
	}
	amount := min(share, left.Rate)
	if b.Stock() {
		return quota.Amount{Rate: math.Floor(amount + 1e-9)}
	}
	if pool.Rate <= 0 {
		return quota.Amount{}
	}
	// Burst goes with the rate, so that all of both can be given.
	burst := amount * pool.Burst / pool.Rate
	if burst > left.Burst {
		amount, burst = amount*left.Burst/burst, left.Burst
	}
	return quota.Amount{Rate: amount, Burst: burst}
}

// divide reckons the shares of all who live and have a claim.
func (g *Giver) divide(now time.Duration, b *quota.Budget, p *page) {
	pool := g.doc.Pool(b)
	most := pool.Rate
	if b.Most > 0 {
		most = min(most, b.Most-b.Least)
	}
	at := make([]int, 0, len(p.rows))
	claims := make([]maxmin.Claim, 0, len(p.rows))
	for i := range p.rows {
		x := &p.rows[i]
		x.share, x.shared = 0, false
		if m, known := g.members[x.id]; known && g.live(now, m) {
			at = append(at, i)
			claims = append(claims, maxmin.Claim{Want: x.claim.Want - b.Least, Most: most, Weight: m.Weight})
		}
	}
	shares := maxmin.Shares(pool.Rate, claims)
	if b.Stock() {
		shares = maxmin.Units(pool.Rate, shares)
	}
	for i, share := range shares {
		p.rows[at[i]].share, p.rows[at[i]].shared = share, true
	}
	p.at, p.old = now, false
}

// State is how a member stands.
type State string

const (
	Live   State = "live"   // it has renewed and may hold a part
	Silent State = "silent" // not lately: it has its floor at most
	Unsure State = "unsure" // this giver is new and has not heard it yet
)

// Seen is one member as the giver sees it.
type Seen struct {
	quota.Member
	State   State  `json:"state"`
	AgoMs   int64  `json:"seen_ms_ago"` // since it was last heard, or the giver began
	SeatMs  int64  `json:"seat_ms"`     // until its seat ends, if it stays silent
	Version uint64 `json:"version"`     // of the set of budgets it goes by
}

// Members is every member, in order of their names and incarnations.
func (g *Giver) Members(now time.Duration) []Seen {
	all := make([]Seen, 0, len(g.members))
	for _, m := range g.members {
		s := Seen{Member: m.Member, State: Live, AgoMs: (now - m.heard).Milliseconds(), Version: m.version,
			SeatMs: (m.heard + g.seat() - now).Milliseconds()}
		switch {
		case !g.live(now, m):
			s.State = Silent
		case !m.renewed:
			s.State = Unsure
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Seen) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(int64(a.Incarnation) - int64(b.Incarnation))
	})
	return all
}

// Line is what one member may hold of a whole.
type Line struct {
	quota.Key
	ID      string       `json:"id"`
	Name    string       `json:"name"`
	May     quota.Amount `json:"may_hold"` // beyond its floor
	Want    float64      `json:"want"`
	Used    float64      `json:"used,omitempty"`
	InUse   float64      `json:"in_use,omitempty"`
	UntilMs int64        `json:"until_ms"`
	AgoMs   int64        `json:"seen_ms_ago"`
}

// Lines is the book: who may hold how much of a budget, or of all where none is named.
func (g *Giver) Lines(now time.Duration, budget string) []Line {
	all := []Line{}
	for k, p := range g.book {
		if budget != "" && k.Budget != budget {
			continue
		}
		for _, x := range p.rows {
			l := Line{Key: k, ID: x.id, May: x.may(now), Want: x.claim.Want, Used: x.claim.Used, InUse: x.claim.InUse,
				UntilMs: max(0, max(x.heldEnd, x.grantedEnd)-now).Milliseconds()}
			if m, known := g.members[x.id]; known {
				l.Name, l.AgoMs = m.Name, (now - m.heard).Milliseconds()
			}
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b Line) int {
		for _, c := range [][2]string{{a.Budget, b.Budget}, {a.Key.Key, b.Key.Key}, {a.Name, b.Name}, {a.ID, b.ID}} {
			if c[0] != c[1] {
				if c[0] < c[1] {
					return -1
				}
				return 1
			}
		}
		return 0
	})
	return all
}

// Waits is how long it is until the giver gives anything new of a budget (7).
func (g *Giver) Waits(now time.Duration, b *quota.Budget) time.Duration {
	return max(0, g.since+g.held(b)-now)
}

// String is the whole state as text: equal states print alike.
func (g *Giver) String() string {
	b := fmt.Appendf(nil, "%v %v %v %v", g.doc, g.since, g.members, g.order)
	for _, k := range slices.SortedFunc(maps.Keys(g.book), func(a, b quota.Key) int {
		return cmp.Or(strings.Compare(a.Budget, b.Budget), strings.Compare(a.Key, b.Key))
	}) {
		b = fmt.Appendf(b, "\n%v %v", k, g.book[k])
	}
	return string(b)
}
