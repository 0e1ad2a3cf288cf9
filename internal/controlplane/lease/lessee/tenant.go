// Package lessee is a member's side of leases for fleet-wide tasks: what it holds and until when, whether an act may begin or go on, and
// what it tells the keeper. It does no I/O; time is passed in, and equal inputs give equal outputs. docs/leases.md argues for its
// safety; the numbers in the comments here are that page's steps.
package lessee

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// Tenant is one process's. It is not safe for concurrent use.
type Tenant struct {
	runs  []string
	tasks lease.Doc
	held  map[lease.Key]holding
	gives map[lease.Key]uint64 // given back, by token, until the keeper has heard
	open  map[lease.Key]Act    // acts under way, seen to end or not
	seq   uint64
	began time.Duration // when the claim sent last was begun
	heard bool          // its answer was taken
	seen  uint64        // the newest token that a place has shown
	hurry bool          // something is to be told before the next renewal is due
	acts  uint64        // begun, ever: acts have numbers that grow
}

type holding struct {
	token                 uint64
	end                   time.Duration // nothing may be done from then on
	recalled              bool
	acts, refused, failed uint64
	next                  time.Duration // when the next act is due
}

// Act is one act of a task. It is begun under a token, has a bounded length, and ends, seen or not.
type Act struct {
	lease.Key
	Token uint64
	N     uint64        // grows with each act of the process
	Until time.Duration // it does nothing any more from then on
}

// New returns a tenant that holds nothing, of a process that can do the tasks named.
func New(runs []string) *Tenant {
	return &Tenant{runs: slices.Clone(runs), held: map[lease.Key]holding{}, gives: map[lease.Key]uint64{}, open: map[lease.Key]Act{}}
}

// Claim begins a claim. Only its own answer will be taken from now on (11).
func (t *Tenant) Claim(now time.Duration) lease.Claim {
	t.seq++
	t.began, t.heard, t.hurry = now, false, false
	c := lease.Claim{Seq: t.seq, Version: t.tasks.Version, Runs: t.runs, Seen: t.seen}
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.Compare) {
		h := t.held[k]
		c.Holds = append(c.Holds, lease.Held{Key: k, Token: h.token, Acts: h.acts, Refused: h.refused, Failed: h.failed})
	}
	for _, k := range slices.SortedFunc(maps.Keys(t.gives), lease.Compare) {
		c.Gives = append(c.Gives, lease.Back{Key: k, Token: t.gives[k]})
	}
	return c
}

// Accept takes an answer. One to another claim than the last, or to one already taken, is no answer (11).
func (t *Tenant) Accept(now time.Duration, a lease.Award) bool {
	if a.Seq != t.seq || t.heard {
		return false
	}
	t.heard = true
	if a.Doc != nil && a.Doc.Version > t.tasks.Version {
		t.tasks = *a.Doc
	}
	had := map[lease.Key]bool{} // what the keeper still has as this member's
	for _, b := range a.Leases {
		had[b.Key] = true
		task := t.tasks.Task(b.Task)
		h := t.held[b.Key]
		if task == nil || b.Token < h.token || b.Token <= t.gives[b.Key] {
			continue // given back: there is nothing to renew (8)
		}
		if b.Token > h.token {
			h = holding{token: b.Token, next: now}
		}
		h.end, h.recalled = t.began+task.Lease(), false // from before the claim went out (1)
		t.held[b.Key] = h
		delete(t.gives, b.Key)
	}
	for _, b := range a.Recalls {
		had[b.Key] = true
		h, holds := t.held[b.Key]
		switch {
		case holds && h.token == b.Token:
			h.recalled = true
			t.held[b.Key] = h
			t.settle(b.Key)
		case b.Token > t.gives[b.Key]: // it was never told of it
			t.gives[b.Key], t.hurry = b.Token, true
		}
	}
	maps.DeleteFunc(t.gives, func(k lease.Key, _ uint64) bool {
		_, told := had[k]
		return !told && !t.hurry
	})
	maps.DeleteFunc(t.held, func(k lease.Key, h holding) bool { return now >= h.end && !had[k] })
	return true
}

// settle gives a recalled shard back once no act is under way there.
func (t *Tenant) settle(k lease.Key) {
	h, holds := t.held[k]
	if _, acts := t.open[k]; !holds || !h.recalled || acts {
		return
	}
	delete(t.held, k) // before anybody is told (8)
	t.gives[k], t.hurry = h.token, true
}

// Release gives a shard back as soon as no act is under way there.
func (t *Tenant) Release(k lease.Key) {
	if h, holds := t.held[k]; holds {
		h.recalled = true
		t.held[k] = h
		t.settle(k)
	}
}

// ReleaseAll gives everything back as soon as no act is under way, and takes no task from then on.
func (t *Tenant) ReleaseAll() {
	t.runs = nil
	for k := range t.held {
		t.Release(k)
	}
}

// Drop gives everything up: the agents know no such member. What is under way does nothing any more.
func (t *Tenant) Drop() {
	clear(t.held)
	clear(t.gives)
	t.heard, t.hurry = true, false // no answer on its way is taken any more
}

// Start begins an act, if one may begin now and can end within the lease (5).
func (t *Tenant) Start(now time.Duration, k lease.Key) (Act, bool) {
	h, holds := t.held[k]
	task := t.tasks.Task(k.Task)
	_, acts := t.open[k]
	if !holds || task == nil || h.recalled || acts || now < h.next || now+task.Act() > h.end {
		return Act{}, false
	}
	h.next = now + task.Every()
	t.held[k] = h
	t.acts++
	a := Act{k, h.token, t.acts, now + task.Act()}
	t.open[k] = a
	return a, true
}

// Good tells whether an act may still do something at that moment.
func (t *Tenant) Good(now time.Duration, a Act) bool {
	h, holds := t.held[a.Key]
	return holds && h.token == a.Token && now < h.end && now < a.Until && t.open[a.Key] == a
}

// End is how an act ended.
type End int

const (
	Done    End = iota
	Refused     // the place has seen a newer token
	Failed      // for another reason
)

// Finish ends an act. seen is the newest token that the place has shown; 0: none.
func (t *Tenant) Finish(a Act, how End, seen uint64) {
	if t.open[a.Key] == a {
		delete(t.open, a.Key)
	}
	if h, holds := t.held[a.Key]; holds && h.token == a.Token {
		switch how {
		case Done:
			h.acts++
		case Refused:
			h.refused++
		case Failed:
			h.failed++
		}
		t.held[a.Key] = h
		if how == Refused && seen > a.Token {
			h.recalled = true // there is a newer one, or the place has seen one of a group of agents before this
			t.held[a.Key] = h
		}
	}
	t.seen = max(t.seen, seen)
	t.settle(a.Key)
}

// Held is what there is to act on, in order.
func (t *Tenant) Held(now time.Duration) (all []lease.Key) {
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.Compare) {
		if now < t.held[k].end {
			all = append(all, k)
		}
	}
	return all
}

// Next is when the next act at a shard is due.
func (t *Tenant) Next(k lease.Key) time.Duration { return t.held[k].next }

// Token is that of a shard held; 0: it is not.
func (t *Tenant) Token(k lease.Key) uint64 { return t.held[k].token }

// Hurry tells whether something is to be told before the next renewal is due.
func (t *Tenant) Hurry() bool { return t.hurry }

// Idle tells whether nothing is held and nothing is to be given back.
func (t *Tenant) Idle() bool { return len(t.held) == 0 && len(t.open) == 0 && len(t.gives) == 0 }

// Task is a task as this member knows it, or nil.
func (t *Tenant) Task(name string) *lease.Task { return t.tasks.Task(name) }

// Has is one shard as it is here at a moment.
type Has struct {
	lease.Key
	Token                 uint64
	End                   time.Duration
	Acts, Refused, Failed uint64
}

// All is every shard held, in order.
func (t *Tenant) All() (all []Has) {
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.Compare) {
		h := t.held[k]
		all = append(all, Has{k, h.token, h.end, h.acts, h.refused, h.failed})
	}
	return all
}

// String is the whole state as text: equal states print alike.
func (t *Tenant) String() string {
	b := fmt.Appendf(nil, "%v %d %v %v %d %v %d", t.runs, t.seq, t.began, t.heard, t.seen, t.hurry, t.acts)
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.Compare) {
		b = fmt.Appendf(b, "\n%v %+v", k, t.held[k])
	}
	for _, k := range slices.SortedFunc(maps.Keys(t.gives), lease.Compare) {
		b = fmt.Appendf(b, "\n%v gives %d", k, t.gives[k])
	}
	for _, a := range slices.SortedFunc(maps.Values(t.open), func(a, b Act) int { return cmp.Or(lease.Compare(a.Key, b.Key), cmp.Compare(a.N, b.N)) }) {
		b = fmt.Appendf(b, "\n%+v", a)
	}
	return string(b)
}
