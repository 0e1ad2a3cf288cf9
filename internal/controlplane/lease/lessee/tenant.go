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

// Lessee is one process's. It is not safe for concurrent use.
type Lessee struct {
	supported        []string
	config           lease.Config
	held             map[lease.Key]heldLease
	released         map[lease.Key]uint64    // given back, by token, until the keeper has heard
	running          map[lease.Key]Operation // acts under way, seen to end or not
	lastSeq          uint64
	renewalStartedAt time.Duration // when the claim sent last was begun
	renewalAnswered  bool          // its answer was taken
	highestToken     uint64        // the newest token that a place has shown
	renewNow         bool          // something is to be told before the next renewal is due
	operations       uint64        // begun, ever: acts have numbers that grow
}

type heldLease struct {
	token                     uint64
	expiresAt                 time.Duration // nothing may be done from then on
	recalled                  bool
	completed, fenced, failed uint64
	nextOperationAt           time.Duration // when the next act is due
}

// Operation is one act of a task. It is begun under a token, has a bounded length, and ends, seen or not.
type Operation struct {
	lease.Key
	Token    uint64
	Number   uint64        // grows with each act of the process
	Deadline time.Duration // it does nothing any more from then on
}

// New returns a tenant that holds nothing, of a process that can do the tasks named.
func New(runs []string) *Lessee {
	return &Lessee{supported: slices.Clone(runs), held: map[lease.Key]heldLease{}, released: map[lease.Key]uint64{}, running: map[lease.Key]Operation{}}
}

// BeginRenewal begins a claim. Only its own answer will be taken from now on (11).
func (t *Lessee) BeginRenewal(now time.Duration) lease.RenewalRequest {
	t.lastSeq++
	t.renewalStartedAt, t.renewalAnswered, t.renewNow = now, false, false
	c := lease.RenewalRequest{Seq: t.lastSeq, ConfigVersion: t.config.Version, Tasks: t.supported, HighestToken: t.highestToken}
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.CompareKeys) {
		h := t.held[k]
		c.Held = append(c.Held, lease.HolderStatus{Key: k, Token: h.token, Completed: h.completed, Fenced: h.fenced, Failed: h.failed})
	}
	for _, k := range slices.SortedFunc(maps.Keys(t.released), lease.CompareKeys) {
		c.Released = append(c.Released, lease.Ref{Key: k, Token: t.released[k]})
	}
	return c
}

// AcceptRenewal takes an answer. One to another claim than the last, or to one already taken, is no answer (11).
func (t *Lessee) AcceptRenewal(now time.Duration, a lease.RenewalResponse) bool {
	if a.Seq != t.lastSeq || t.renewalAnswered {
		return false
	}
	t.renewalAnswered = true
	if a.Config != nil && a.Config.Version > t.config.Version {
		t.config = *a.Config
	}
	had := map[lease.Key]bool{} // what the keeper still has as this member's
	for _, b := range a.Leases {
		had[b.Key] = true
		task := t.config.Task(b.Task)
		h := t.held[b.Key]
		if task == nil || b.Token < h.token || b.Token <= t.released[b.Key] {
			continue // given back: there is nothing to renew (8)
		}
		if b.Token > h.token {
			h = heldLease{token: b.Token, nextOperationAt: now}
		}
		h.expiresAt, h.recalled = t.renewalStartedAt+task.TTL(), false // from before the claim went out (1)
		t.held[b.Key] = h
		delete(t.released, b.Key)
	}
	for _, b := range a.Recalled {
		had[b.Key] = true
		h, holds := t.held[b.Key]
		switch {
		case holds && h.token == b.Token:
			h.recalled = true
			t.held[b.Key] = h
			t.releaseIfIdle(b.Key)
		case b.Token > t.released[b.Key]: // it was never told of it
			t.released[b.Key], t.renewNow = b.Token, true
		}
	}
	maps.DeleteFunc(t.released, func(k lease.Key, _ uint64) bool {
		_, told := had[k]
		return !told && !t.renewNow
	})
	maps.DeleteFunc(t.held, func(k lease.Key, h heldLease) bool { return now >= h.expiresAt && !had[k] })
	return true
}

// releaseIfIdle gives a recalled shard back once no act is under way there.
func (t *Lessee) releaseIfIdle(k lease.Key) {
	h, holds := t.held[k]
	if _, acts := t.running[k]; !holds || !h.recalled || acts {
		return
	}
	delete(t.held, k) // before anybody is told (8)
	t.released[k], t.renewNow = h.token, true
}

// Release gives a shard back as soon as no act is under way there.
func (t *Lessee) Release(k lease.Key) {
	if h, holds := t.held[k]; holds {
		h.recalled = true
		t.held[k] = h
		t.releaseIfIdle(k)
	}
}

// ReleaseAll gives everything back as soon as no act is under way, and takes no task from then on.
func (t *Lessee) ReleaseAll() {
	t.supported = nil
	for k := range t.held {
		t.Release(k)
	}
}

// DropAll gives everything up: the agents know no such member. What is under way does nothing any more.
func (t *Lessee) DropAll() {
	clear(t.held)
	clear(t.released)
	t.renewalAnswered, t.renewNow = true, false // no answer on its way is taken any more
}

// StartOperation begins an act, if one may begin now and can end within the lease (5).
func (t *Lessee) StartOperation(now time.Duration, k lease.Key) (Operation, bool) {
	h, holds := t.held[k]
	task := t.config.Task(k.Task)
	_, acts := t.running[k]
	if !holds || task == nil || h.recalled || acts || now < h.nextOperationAt || now+task.OperationTimeout() > h.expiresAt {
		return Operation{}, false
	}
	h.nextOperationAt = now + task.Interval()
	t.held[k] = h
	t.operations++
	a := Operation{k, h.token, t.operations, now + task.OperationTimeout()}
	t.running[k] = a
	return a, true
}

// MayProceed tells whether an act may still do something at that moment.
func (t *Lessee) MayProceed(now time.Duration, a Operation) bool {
	h, holds := t.held[a.Key]
	return holds && h.token == a.Token && now < h.expiresAt && now < a.Deadline && t.running[a.Key] == a
}

// Outcome is how an act ended.
type Outcome int

const (
	Completed Outcome = iota
	Fenced            // the place has seen a newer token
	Failed            // for another reason
)

// FinishOperation ends an act. seen is the newest token that the place has shown; 0: none.
func (t *Lessee) FinishOperation(a Operation, how Outcome, seen uint64) {
	if t.running[a.Key] == a {
		delete(t.running, a.Key)
	}
	if h, holds := t.held[a.Key]; holds && h.token == a.Token {
		switch how {
		case Completed:
			h.completed++
		case Fenced:
			h.fenced++
		case Failed:
			h.failed++
		}
		t.held[a.Key] = h
		if how == Fenced && seen > a.Token {
			h.recalled = true // there is a newer one, or the place has seen one of a group of agents before this
			t.held[a.Key] = h
		}
	}
	t.highestToken = max(t.highestToken, seen)
	t.releaseIfIdle(a.Key)
}

// Held is what there is to act on, in order.
func (t *Lessee) Held(now time.Duration) (all []lease.Key) {
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.CompareKeys) {
		if now < t.held[k].expiresAt {
			all = append(all, k)
		}
	}
	return all
}

// NextOperation is when the next act at a shard is due.
func (t *Lessee) NextOperation(k lease.Key) time.Duration { return t.held[k].nextOperationAt }

// Token is that of a shard held; 0: it is not.
func (t *Lessee) Token(k lease.Key) uint64 { return t.held[k].token }

// NeedsRenewal tells whether something is to be told before the next renewal is due.
func (t *Lessee) NeedsRenewal() bool { return t.renewNow }

// Idle tells whether nothing is held and nothing is to be given back.
func (t *Lessee) Idle() bool { return len(t.held) == 0 && len(t.running) == 0 && len(t.released) == 0 }

// Task is a task as this member knows it, or nil.
func (t *Lessee) Task(name string) *lease.Task { return t.config.Task(name) }

// LeaseStatus is one shard as it is here at a moment.
type LeaseStatus struct {
	lease.Key
	Token                     uint64
	ExpiresAt                 time.Duration
	Completed, Fenced, Failed uint64
}

// Status is every shard held, in order.
func (t *Lessee) Status() (all []LeaseStatus) {
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.CompareKeys) {
		h := t.held[k]
		all = append(all, LeaseStatus{k, h.token, h.expiresAt, h.completed, h.fenced, h.failed})
	}
	return all
}

// String is the whole state as text: equal states print alike.
func (t *Lessee) String() string {
	b := fmt.Appendf(nil, "%v %d %v %v %d %v %d", t.supported, t.lastSeq, t.renewalStartedAt, t.renewalAnswered, t.highestToken, t.renewNow, t.operations)
	for _, k := range slices.SortedFunc(maps.Keys(t.held), lease.CompareKeys) {
		b = fmt.Appendf(b, "\n%v %+v", k, t.held[k])
	}
	for _, k := range slices.SortedFunc(maps.Keys(t.released), lease.CompareKeys) {
		b = fmt.Appendf(b, "\n%v gives %d", k, t.released[k])
	}
	for _, a := range slices.SortedFunc(maps.Values(t.running), func(a, b Operation) int {
		return cmp.Or(lease.CompareKeys(a.Key, b.Key), cmp.Compare(a.Number, b.Number))
	}) {
		b = fmt.Appendf(b, "\n%+v", a)
	}
	return string(b)
}
