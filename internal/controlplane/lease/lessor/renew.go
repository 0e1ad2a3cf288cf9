package lessor

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

type backoffKey struct{ task, memberID string }

// backoff is a member that held a shard without making progress.
type backoff struct {
	until    time.Duration
	failures int
}

// Renew records a member's report and decides which leases it holds from now on. The answer may only
// be sent once a majority of agents has confirmed, after this call, that no later term has begun (step
// 7).
func (k *Lessor) Renew(now time.Duration, id string, c lease.RenewalRequest) (lease.RenewalResponse, error) {
	m, known := k.members[id]
	switch {
	case !known:
		return lease.RenewalResponse{}, quota.ErrUnknownMember
	case c.Seq <= m.lastSeq:
		return lease.RenewalResponse{}, quota.ErrStaleRenewal
	}
	m.lastSeq, m.lastHeardAt, m.reportedThisTerm = c.Seq, now, true
	m.openRequests = c.OpenRequests
	m.deadInstances = slices.Clone(c.DeadInstances[:min(len(c.DeadInstances), maxDeadInstances)])
	m.tasks = make(map[string]bool, len(c.Tasks))
	for _, t := range c.Tasks {
		if k.config.Task(t) != nil {
			m.tasks[t] = true
		}
	}
	k.members[id] = m
	if c.HighestToken < maxPlausibleToken {
		k.highestSeenToken = max(k.highestSeenToken, c.HighestToken)
	}
	a := lease.RenewalResponse{Seq: c.Seq}
	if c.ConfigVersion != k.config.Version {
		config := k.config
		a.Config = &config
	}
	for _, b := range c.Released {
		if x := k.lease(b.Key); x != nil && x.Holder == id && x.Token == b.Token { // step 8
			x.released, x.expiresAt = true, now
		}
	}
	for _, h := range c.Held {
		k.noteProgress(now, id, h)
	}
	for i := range k.leases {
		k.renewLease(now, id, &k.leases[i], &a)
	}
	return a, nil
}

// noteProgress takes over what a holder reports of one lease.
func (k *Lessor) noteProgress(now time.Duration, id string, h lease.HolderStatus) {
	x := k.lease(h.Key)
	if x == nil || x.Holder != id || x.Token != h.Token {
		return
	}
	if h.Completed > x.holderStatus.Completed {
		x.lastProgressAt = now
		if b := (backoffKey{h.Task, id}); now >= k.backoffs[b].until {
			delete(k.backoffs, b)
		}
	}
	x.holderStatus = h
}

// renewLease renews or recalls one lease of a member, if it holds it.
func (k *Lessor) renewLease(now time.Duration, id string, x *leaseState, a *lease.RenewalResponse) {
	if x.Holder != id || x.released || x.revoking {
		return
	}
	t := k.config.Task(x.Task)
	b := lease.Ref{Key: x.Key, Token: x.Token}
	if x.NextHolder != "" || t.Disabled || !k.members[id].tasks[x.Task] {
		a.Recalled = append(a.Recalled, b) // valid until it expires, but not renewed (step 9)
		return
	}
	if x.holderMayKnow && now-x.lastProgressAt >= k.quotaConfig.MaxOnOtherClock(t.ProgressTimeout()) {
		k.backOff(now, t, id)
		x.revoking = true // it expires by itself (step 10)
		return
	}
	x.expiresAt, x.holderMayKnow = now+k.leaseTTL(t), true
	a.Leases = append(a.Leases, b)
}

// backOff keeps a member without progress from the task's shards for a time that doubles with each
// failure up to a bound. The time varies between members, so that two of them do not come back
// together.
func (k *Lessor) backOff(now time.Duration, t *lease.Task, id string) {
	b := k.backoffs[backoffKey{t.Name, id}]
	wait := t.ProgressTimeout() << min(b.failures, maxBackoffDoublings)
	wait += time.Duration(float64(wait) / 2 * float64(xxhash.Sum64String(id)%1024) / 1024)
	k.backoffs[backoffKey{t.Name, id}] = backoff{now + wait, b.failures + 1}
}
