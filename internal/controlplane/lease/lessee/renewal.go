package lessee

import (
	"maps"
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// BeginRenewal starts a renewal. From now on only the response to it is accepted (step 11).
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

// AcceptRenewal applies a response and reports whether it was accepted. A response to a renewal that is
// not the last, or that was already answered, is ignored (step 11).
func (l *Lessee) AcceptRenewal(now time.Duration, resp lease.RenewalResponse) bool {
	if resp.Seq != l.lastSeq || l.renewalAnswered {
		return false
	}
	l.renewalAnswered = true
	if resp.Config != nil && resp.Config.Version > l.config.Version {
		l.config = *resp.Config
	}
	listed := map[lease.Key]bool{} // leases that the lessor still lists as held by this member
	for _, ref := range resp.Leases {
		listed[ref.Key] = true
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
		listed[ref.Key] = true
		h, holds := l.held[ref.Key]
		switch {
		case holds && h.token == ref.Token:
			h.recalled = true
			l.held[ref.Key] = h
			l.releaseIfIdle(ref.Key)
		case ref.Token > l.released[ref.Key]: // the grant never reached this member
			l.released[ref.Key], l.renewNow = ref.Token, true
		}
	}
	maps.DeleteFunc(l.released, func(k lease.Key, _ uint64) bool {
		_, isListed := listed[k]
		return !isListed && !l.renewNow
	})
	maps.DeleteFunc(l.held, func(k lease.Key, h heldLease) bool { return now >= h.expiresAt && !listed[k] })
	return true
}

// releaseIfIdle releases a recalled shard if no operation is running on it.
func (l *Lessee) releaseIfIdle(k lease.Key) {
	h, holds := l.held[k]
	if _, busy := l.running[k]; !holds || !h.recalled || busy {
		return
	}
	delete(l.held, k) // before the release is reported (step 8)
	l.released[k], l.renewNow = h.token, true
}

// Release releases a shard as soon as no operation is running on it.
func (l *Lessee) Release(k lease.Key) {
	if h, holds := l.held[k]; holds {
		h.recalled = true
		l.held[k] = h
		l.releaseIfIdle(k)
	}
}

// ReleaseAll releases each shard as soon as no operation is running on it, and stops offering to run
// tasks.
func (l *Lessee) ReleaseAll() {
	l.supported = nil
	for k := range l.held {
		l.Release(k)
	}
}

// DropAll drops all leases at once, since the agents have no session of this member. Running operations
// may not have effects any more.
func (l *Lessee) DropAll() {
	clear(l.held)
	clear(l.released)
	l.renewalAnswered, l.renewNow = true, false // a response still in flight is ignored
}

// NeedsRenewal reports whether a renewal must be sent before the next regular one.
func (l *Lessee) NeedsRenewal() bool { return l.renewNow }
