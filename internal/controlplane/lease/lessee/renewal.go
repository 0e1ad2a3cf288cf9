package lessee

import (
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// BeginRenewal starts a renewal. From now on only its own answer is accepted (step 11).
func (l *Lessee) BeginRenewal(now time.Duration) lease.RenewalRequest {
	l.lastSeq++
	l.renewalStartedAt, l.renewalAnswered, l.renewNow = now, false, false
	req := lease.RenewalRequest{Seq: l.lastSeq, ConfigVersion: l.config.Version, Tasks: l.supported, HighestToken: l.highestToken}
	for _, k := range slices.SortedFunc(maps.Keys(l.held), lease.CompareKeys) {
		h := l.held[k]
		req.Held = append(req.Held, lease.HolderStatus{Key: k, Token: h.token, Completed: h.completed, Fenced: h.fenced, Failed: h.failed})
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.released), lease.CompareKeys) {
		req.Released = append(req.Released, lease.Ref{Key: k, Token: l.released[k]})
	}
	return req
}

// AcceptRenewal takes over an answer and reports whether it was accepted. An answer to another renewal
// than the last, or to one that was answered, is ignored (step 11).
func (l *Lessee) AcceptRenewal(now time.Duration, resp lease.RenewalResponse) bool {
	if resp.Seq != l.lastSeq || l.renewalAnswered {
		return false
	}
	l.renewalAnswered = true
	if resp.Config != nil && resp.Config.Version > l.config.Version {
		l.config = *resp.Config
	}
	had := map[lease.Key]bool{} // leases that the lessor still has as this member's
	for _, ref := range resp.Leases {
		had[ref.Key] = true
		task := l.config.Task(ref.Task)
		h := l.held[ref.Key]
		if task == nil || ref.Token < h.token || ref.Token <= l.released[ref.Key] {
			continue // released: there is nothing to renew (step 8)
		}
		if ref.Token > h.token {
			h = heldLease{token: ref.Token, nextOperationAt: now}
		}
		h.expiresAt, h.recalled = l.renewalStartedAt+task.TTL(), false // counted from before the request was sent (step 1)
		l.held[ref.Key] = h
		delete(l.released, ref.Key)
	}
	for _, ref := range resp.Recalled {
		had[ref.Key] = true
		h, holds := l.held[ref.Key]
		switch {
		case holds && h.token == ref.Token:
			h.recalled = true
			l.held[ref.Key] = h
			l.releaseIfIdle(ref.Key)
		case ref.Token > l.released[ref.Key]: // this member never heard of it
			l.released[ref.Key], l.renewNow = ref.Token, true
		}
	}
	maps.DeleteFunc(l.released, func(k lease.Key, _ uint64) bool {
		_, told := had[k]
		return !told && !l.renewNow
	})
	maps.DeleteFunc(l.held, func(k lease.Key, h heldLease) bool { return now >= h.expiresAt && !had[k] })
	return true
}

// releaseIfIdle releases a recalled shard once no operation is running there.
func (l *Lessee) releaseIfIdle(k lease.Key) {
	h, holds := l.held[k]
	if _, acts := l.running[k]; !holds || !h.recalled || acts {
		return
	}
	delete(l.held, k) // before anybody is told (step 8)
	l.released[k], l.renewNow = h.token, true
}

// Release gives up a shard as soon as no operation is running there.
func (l *Lessee) Release(k lease.Key) {
	if h, holds := l.held[k]; holds {
		h.recalled = true
		l.held[k] = h
		l.releaseIfIdle(k)
	}
}

// ReleaseAll gives up everything as soon as no operation is running, and accepts no task from then on.
func (l *Lessee) ReleaseAll() {
	l.supported = nil
	for k := range l.held {
		l.Release(k)
	}
}

// DropAll gives up everything at once: the agents do not know this member. Running operations may not
// continue.
func (l *Lessee) DropAll() {
	clear(l.held)
	clear(l.released)
	l.renewalAnswered, l.renewNow = true, false // an answer that is still on its way is ignored
}

// NeedsRenewal reports whether something has to be reported before the next regular renewal.
func (l *Lessee) NeedsRenewal() bool { return l.renewNow }
