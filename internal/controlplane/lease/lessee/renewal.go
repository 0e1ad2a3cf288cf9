package lessee

import (
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// BeginRenewal starts a renewal. From now on only its own answer is accepted (step 11).
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

// AcceptRenewal takes over an answer and reports whether it was accepted. An answer to another renewal
// than the last, or to one that was answered, is ignored (step 11).
func (t *Lessee) AcceptRenewal(now time.Duration, a lease.RenewalResponse) bool {
	if a.Seq != t.lastSeq || t.renewalAnswered {
		return false
	}
	t.renewalAnswered = true
	if a.Config != nil && a.Config.Version > t.config.Version {
		t.config = *a.Config
	}
	had := map[lease.Key]bool{} // leases that the lessor still has as this member's
	for _, b := range a.Leases {
		had[b.Key] = true
		task := t.config.Task(b.Task)
		h := t.held[b.Key]
		if task == nil || b.Token < h.token || b.Token <= t.released[b.Key] {
			continue // released: there is nothing to renew (step 8)
		}
		if b.Token > h.token {
			h = heldLease{token: b.Token, nextOperationAt: now}
		}
		h.expiresAt, h.recalled = t.renewalStartedAt+task.TTL(), false // counted from before the request was sent (step 1)
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
		case b.Token > t.released[b.Key]: // this member never heard of it
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

// releaseIfIdle releases a recalled shard once no operation is running there.
func (t *Lessee) releaseIfIdle(k lease.Key) {
	h, holds := t.held[k]
	if _, acts := t.running[k]; !holds || !h.recalled || acts {
		return
	}
	delete(t.held, k) // before anybody is told (step 8)
	t.released[k], t.renewNow = h.token, true
}

// Release gives up a shard as soon as no operation is running there.
func (t *Lessee) Release(k lease.Key) {
	if h, holds := t.held[k]; holds {
		h.recalled = true
		t.held[k] = h
		t.releaseIfIdle(k)
	}
}

// ReleaseAll gives up everything as soon as no operation is running, and accepts no task from then on.
func (t *Lessee) ReleaseAll() {
	t.supported = nil
	for k := range t.held {
		t.Release(k)
	}
}

// DropAll gives up everything at once: the agents do not know this member. Running operations may not
// continue.
func (t *Lessee) DropAll() {
	clear(t.held)
	clear(t.released)
	t.renewalAnswered, t.renewNow = true, false // an answer that is still on its way is ignored
}

// NeedsRenewal reports whether something has to be reported before the next regular renewal.
func (t *Lessee) NeedsRenewal() bool { return t.renewNow }
