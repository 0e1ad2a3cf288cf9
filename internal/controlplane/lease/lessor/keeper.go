// Package lessor is the leading agent's side of leases for fleet-wide tasks: until when each shard may be acted on by its holder, who is
// to have it next, and what a claim is answered. One keeper lasts for one term of one leader. It does no I/O; time is passed in,
// and equal inputs give equal outputs. docs/leases.md argues for its safety; the numbers in the comments here are that page's steps.
package lessor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/rebalance"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/registry"
)

const (
	mostEnded = 64      // instances that one member holds dead
	judges    = 3       // members whose word on another is planned by
	mostBars  = 4       // how often a back-off doubles
	mostToken = 1 << 60 // no place has been shown one like it: what says so is damaged
)

// Keeper is the book of one term.
type Keeper struct {
	since   time.Duration
	doc     quota.Doc
	tasks   lease.Doc
	token   uint64 // the newest that the log has given
	seen    uint64 // the newest that a place has been shown, as a member said
	members map[string]member
	known   []quota.Member // as the log had them last
	rows    []row
	bars    map[bar]barred
}

type member struct {
	quota.Member
	seq   uint64
	heard time.Duration // the last claim; of one that is only known from the log, when this keeper began
	runs  map[string]bool
	load  uint16   // requests open at it
	ended []string // whom it holds dead or gone
	ready bool     // it has told this keeper what it runs
}

// row is one shard.
type row struct {
	lease.Lease
	until    time.Duration // its holder may act until then, by this clock
	told     bool          // an answer with it may have gone out, from this keeper or one before
	given    bool          // its holder gave it back
	taken    bool          // it is being given on: nothing is renewed any more
	since    time.Duration // when this keeper first saw the token
	held     lease.Held    // as its holder said last
	progress time.Duration // when its holder last ended an act
}

type bar struct{ task, id string }

// barred is a member that held a shard and did nothing.
type barred struct {
	until time.Duration
	times int
}

// New begins a term. The register is what the log has, all of it up to the term's beginning.
func New(now time.Duration, r *registry.Register) *Keeper {
	k := &Keeper{since: now, members: map[string]member{}, bars: map[bar]barred{}}
	k.Update(now, r)
	return k
}

// wait is how long, at the keeper, a lease lasts whose claim has just come, and whatever its holder does in one act at a place that can't
// check a token (5).
func (k *Keeper) wait(t *lease.Task) time.Duration { return k.doc.Elsewhere(t.Lease() + t.Pause()) }

// Update takes over what the log says.
func (k *Keeper) Update(now time.Duration, r *registry.Register) {
	tasked := k.tasks.Version != r.Tasks.Version
	k.doc, k.tasks, k.token = r.Doc, r.Tasks, max(k.token, r.Token)
	joined, left := quota.Changed(k.known, r.Members)
	k.known = append(k.known[:0], r.Members...)
	for _, m := range left {
		delete(k.members, m.ID)
	}
	for _, m := range joined {
		k.members[m.ID] = member{Member: m, heard: now}
	}
	if len(left) > 0 || tasked {
		maps.DeleteFunc(k.bars, func(b bar, _ barred) bool { return !k.Known(b.id) || k.tasks.Task(b.task) == nil })
	}
	if slices.EqualFunc(k.rows, r.Leases, func(x row, l lease.Lease) bool { return x.Lease == l }) {
		return
	}
	rows := make([]row, 0, len(r.Leases))
	for _, l := range r.Leases {
		x := row{Lease: l, since: now, progress: now}
		had := k.row(l.Key)
		switch {
		case had != nil && had.Token == l.Token && had.Holder == l.Holder:
			x = *had
			x.Lease = l
		case l.Holder == "":
			x.until = now // whoever held it gave it back, or left
		case had == nil:
			// From before this term: it may have been renewed just before (6).
			x.until, x.told = now+k.wait(k.tasks.Task(l.Task)), true
		default:
			x.until = now // granted in this term: its holder has not been told yet
		}
		rows = append(rows, x)
	}
	k.rows = rows
}

func (k *Keeper) row(key lease.Key) *row {
	at, there := slices.BinarySearchFunc(k.rows, key, func(r row, key lease.Key) int { return lease.Compare(r.Key, key) })
	if !there {
		return nil
	}
	return &k.rows[at]
}

// live tells whether a member has been heard lately enough to be given something.
func (k *Keeper) live(now time.Duration, id string) bool {
	m, known := k.members[id]
	return known && now < m.heard+k.doc.Elsewhere(k.doc.Part())
}

// prompt tells whether a member has renewed as it should: two renewals were not lost.
func (k *Keeper) prompt(now time.Duration, id string) bool {
	m, known := k.members[id]
	return known && m.ready && now < m.heard+k.grace()
}

// verdicts are the members that enough others hold dead, and that have missed a renewal. Nothing is given to them, and what they held
// goes on when its time is over; nothing ends sooner by anybody's word, be it wrong (2).
func (k *Keeper) verdicts(now time.Duration) map[string]bool {
	words, prompt := map[string]int{}, 0
	for id, m := range k.members {
		if k.prompt(now, id) {
			prompt++
			for _, name := range m.ended {
				if name != m.Name {
					words[name]++
				}
			}
		}
	}
	if len(words) == 0 {
		return nil
	}
	dead := map[string]bool{}
	for id, m := range k.members {
		dead[id] = words[m.Name] >= max(2, min(judges, prompt-1)) && now >= m.heard+k.doc.Elsewhere(k.doc.Renew())
	}
	return dead
}

// grace is how long after its beginning a keeper waits until it has heard whoever lives.
func (k *Keeper) grace() time.Duration { return k.doc.Elsewhere(5 * k.doc.Renew() / 2) }

// Claim notes what a member says and decides what it has from now on. The answer may only go out once a majority has confirmed, after
// this call, that no later term has begun (7).
func (k *Keeper) Claim(now time.Duration, id string, c lease.Claim) (lease.Award, error) {
	m, known := k.members[id]
	switch {
	case !known:
		return lease.Award{}, quota.UnknownMember
	case c.Seq <= m.seq:
		return lease.Award{}, quota.OldRenewal
	}
	m.seq, m.heard, m.ready = c.Seq, now, true
	m.load = c.Load
	m.ended = slices.Clone(c.Ended[:min(len(c.Ended), mostEnded)])
	m.runs = make(map[string]bool, len(c.Runs))
	for _, t := range c.Runs {
		if k.tasks.Task(t) != nil {
			m.runs[t] = true
		}
	}
	k.members[id] = m
	if c.Seen < mostToken {
		k.seen = max(k.seen, c.Seen)
	}
	a := lease.Award{Seq: c.Seq}
	if c.Version != k.tasks.Version {
		doc := k.tasks
		a.Doc = &doc
	}
	for _, b := range c.Gives {
		if x := k.row(b.Key); x != nil && x.Holder == id && x.Token == b.Token { // (8)
			x.given, x.until = true, now
		}
	}
	for _, h := range c.Holds {
		if x := k.row(h.Key); x != nil && x.Holder == id && x.Token == h.Token {
			if h.Acts > x.held.Acts {
				x.progress = now
				if b := (bar{h.Task, id}); now >= k.bars[b].until {
					delete(k.bars, b)
				}
			}
			x.held = h
		}
	}
	for i := range k.rows {
		x := &k.rows[i]
		if x.Holder != id || x.given || x.taken {
			continue
		}
		t := k.tasks.Task(x.Task)
		b := lease.Back{Key: x.Key, Token: x.Token}
		if x.Next != "" || t.Off || !m.runs[x.Task] {
			a.Recalls = append(a.Recalls, b) // what it has lasts until its end; nothing is renewed (9)
			continue
		}
		if x.told && now-x.progress >= k.doc.Elsewhere(t.Progress()) {
			k.bar(now, t, id)
			x.taken = true // it ends by itself (10)
			continue
		}
		x.until, x.told = now+k.wait(t), true
		a.Leases = append(a.Leases, b)
	}
	return a, nil
}

// bar keeps a member that did nothing from the task's shards for a while: twice as long each time up to a bound, and not as long as
// another that was barred at the same moment.
func (k *Keeper) bar(now time.Duration, t *lease.Task, id string) {
	b := k.bars[bar{t.Name, id}]
	wait := t.Progress() << min(b.times, mostBars)
	wait += time.Duration(float64(wait) / 2 * float64(xxhash.Sum64String(id)%1024) / 1024)
	k.bars[bar{t.Name, id}] = barred{now + wait, b.times + 1}
}

// Orders is what the log is asked to change now: shards whose holder gave them back or whose lease has ended go on, and a few more are
// planned to move for evenness' sake. An order whose fate is not known is asked for again; made once, it is void after that (4).
func (k *Keeper) Orders(now time.Duration) (orders []lease.Order, seen uint64) {
	if k.seen > k.token {
		seen = k.seen
	}
	dead := k.verdicts(now)
	for i := range k.tasks.Tasks {
		orders = append(orders, k.order(now, &k.tasks.Tasks[i], dead)...)
	}
	return orders, seen
}

func (k *Keeper) order(now time.Duration, t *lease.Task, dead map[string]bool) (orders []lease.Order) {
	var able, spare []string
	for id, m := range k.members {
		switch {
		case !m.runs[t.Name] || !k.prompt(now, id) || dead[id]:
		case now < k.bars[bar{t.Name, id}].until:
			spare = append(spare, id)
		default:
			able = append(able, id)
		}
	}
	if len(able) == 0 {
		able = spare // one that did nothing may do something again; nobody else can
	}
	var shards []rebalance.Shard
	ended := map[int]*row{}
	moving := 0
	for i := range k.rows {
		x := &k.rows[i]
		if x.Task != t.Name {
			continue
		}
		s := rebalance.Shard{ID: x.Shard, Holder: x.Holder, Fixed: x.Pin != "" && x.Pin == x.Holder}
		// A lease has ended when its holder gave it back, or has not renewed it in time and is not about to (2). One that its holder was
		// never told of has not begun.
		silent := !k.prompt(now, x.Holder) || dead[x.Holder]
		over := x.Holder == "" || x.given || now >= x.until && (x.taken || silent || x.told && (x.Next != "" || t.Off))
		if x.Next != "" {
			moving++
			if s.Fixed = true; slices.Contains(able, x.Next) {
				s.Holder = x.Next
			}
		}
		if over {
			ended[x.Shard] = x
			if x.Next == "" || !slices.Contains(able, x.Next) {
				s.Holder = ""
			}
			if x.Next == lease.Anyone {
				s.Not = x.Holder
			}
			switch {
			case !t.Off && len(able) > 0:
			case x.Holder != "":
				x.taken = true
				orders = append(orders, lease.Order{Key: x.Key, Over: x.Token, Do: lease.Free})
			}
			if s.Holder != "" && !t.Off {
				x.taken = true
				orders = append(orders, lease.Order{Key: x.Key, Over: x.Token, Do: lease.Grant, To: s.Holder})
			}
		} else if !slices.Contains(able, s.Holder) {
			continue // it is held still, by one that nothing more is given to
		}
		shards = append(shards, s)
	}
	if t.Off {
		return orders
	}
	if now < k.since+k.grace() && len(ended) == len(shards) {
		return orders // whoever is heard first would get all
	}
	load := make(map[string]uint16, len(able))
	for _, id := range able {
		load[id] = k.members[id].load
	}
	given, moved := rebalance.Plan(t.Name, shards, able, load, max(0, t.MostMoves-moving))
	for _, m := range given {
		if x := ended[m.Shard]; x != nil {
			x.taken = true
			orders = append(orders, lease.Order{Key: x.Key, Over: x.Token, Do: lease.Grant, To: m.To})
		}
	}
	for _, m := range moved {
		if x := k.row(lease.Key{Task: t.Name, Shard: m.Shard}); ended[m.Shard] == nil && !x.taken {
			orders = append(orders, lease.Order{Key: x.Key, Over: x.Token, Do: lease.Plan, To: m.To})
		}
	}
	return orders
}

// Move is the order by which an operator has a shard go to a member, by its id or name, or with Anyone be released for whom the
// spread finds.
func (k *Keeper) Move(now time.Duration, key lease.Key, to string) (lease.Order, error) {
	t, x := k.tasks.Task(key.Task), k.row(key)
	switch {
	case t == nil:
		return lease.Order{}, lease.UnknownTask
	case x == nil:
		return lease.Order{}, lease.UnknownShard
	case t.Off:
		return lease.Order{}, lease.TaskOff
	}
	if to == lease.Anyone {
		if x.Holder == "" {
			return lease.Order{}, lease.NotHeld
		}
		return lease.Order{Key: key, Over: x.Token, Do: lease.Plan, To: to, Pin: true}, nil
	}
	id := ""
	for _, m := range k.members {
		if (m.ID == to || m.Name == to) && k.prompt(now, m.ID) && (id == "" || m.Incarnation > k.members[id].Incarnation) {
			id = m.ID
		}
	}
	switch {
	case id == "":
		return lease.Order{}, lease.UnknownMember
	case !k.members[id].runs[key.Task]:
		return lease.Order{}, lease.NotRun
	case id == x.Holder && x.Next == "":
		return lease.Order{}, lease.HeldAlready
	}
	return lease.Order{Key: key, Over: x.Token, Do: lease.Plan, To: id, Pin: true}, nil
}

// Current tells whether a member has a lease under that token, and nobody is about to get it.
func (k *Keeper) Current(key lease.Key, id string, token uint64) bool {
	x := k.row(key)
	return x != nil && x.Holder == id && x.Token == token && !x.given && !x.taken
}

// Known tells whether there is such a member.
func (k *Keeper) Known(id string) bool {
	_, known := k.members[id]
	return known
}

// Tasks is the set of tasks gone by.
func (k *Keeper) Tasks() *lease.Doc { return &k.tasks }

// Seen is one lease as the keeper sees it.
type Seen struct {
	lease.Lease
	Name       string `json:"name,omitempty"` // of the holder's instance
	State      string `json:"state"`          // held, moving, ended, free, off; unsure: not heard by this keeper yet; unknown
	SinceMs    int64  `json:"since_ms"`       // since this keeper saw the token first: at least that long
	UntilMs    int64  `json:"until_ms"`       // until its holder surely acts no more
	ProgressMs int64  `json:"progress_ms"`    // since its holder last ended an act, or since
	Acts       uint64 `json:"acts"`
	Refused    uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
}

// Leases is every lease, in order.
func (k *Keeper) Leases(now time.Duration) []Seen {
	all := make([]Seen, 0, len(k.rows))
	for i := range k.rows {
		x := &k.rows[i]
		s := Seen{Lease: x.Lease, Name: k.members[x.Holder].Name, State: "held", SinceMs: (now - x.since).Milliseconds(),
			UntilMs: max(0, (x.until - now).Milliseconds()), ProgressMs: (now - x.progress).Milliseconds(),
			Acts: x.held.Acts, Refused: x.held.Refused, Failed: x.held.Failed}
		switch {
		case x.Holder == "" && k.tasks.Task(x.Task).Off:
			s.State = "off"
		case x.Holder == "":
			s.State = "free"
		case x.given || x.told && now >= x.until:
			s.State = "ended"
		case x.Next != "":
			s.State = "moving"
		case x.held.Token != x.Token:
			s.State = "unsure"
		}
		all = append(all, s)
	}
	return all
}

// String is the whole state as text: equal states print alike.
func (k *Keeper) String() string {
	b := fmt.Appendf(nil, "%v %d %d %v", k.since, k.token, k.seen, k.tasks)
	for _, id := range slices.Sorted(maps.Keys(k.members)) {
		b = fmt.Appendf(b, "\n%v", k.members[id])
	}
	for i := range k.rows {
		b = fmt.Appendf(b, "\n%+v", k.rows[i])
	}
	for _, x := range slices.SortedFunc(maps.Keys(k.bars), func(a, b bar) int {
		return cmp.Or(strings.Compare(a.task, b.task), strings.Compare(a.id, b.id))
	}) {
		b = fmt.Appendf(b, "\n%v %v", x, k.bars[x])
	}
	return string(b)
}
