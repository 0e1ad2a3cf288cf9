package lessor

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// backoffKey names a member that is backed off from a task.
type backoffKey struct{ task, memberID string }

// backoff is the backoff of a member that held a shard without making progress.
type backoff struct {
	until    time.Duration
	failures int
}

// Renew records a member's report and decides which leases it holds from now on. The response may only
// be sent once a majority of agents has confirmed, after this call, that no later term has begun (step
// 7).
func (l *Lessor) Renew(now time.Duration, id string, req lease.RenewalRequest) (lease.RenewalResponse, error) {
	m, known := l.members[id]
	switch {
	case !known:
		return lease.RenewalResponse{}, quota.ErrUnknownMember
	case req.Seq <= m.lastSeq:
		return lease.RenewalResponse{}, quota.ErrStaleRenewal
	}
	m.lastSeq, m.lastSeenAt, m.reportedThisTerm = req.Seq, now, true
	m.openRequests = req.OpenRequests
	m.deadInstances = slices.Clone(req.DeadInstances[:min(len(req.DeadInstances), maxDeadInstances)])
	m.tasks = make(map[string]bool, len(req.Tasks))
	for _, t := range req.Tasks {
		if l.config.Task(t) != nil {
			m.tasks[t] = true
		}
	}
	l.members[id] = m
	if req.HighestToken < maxPlausibleToken {
		l.highestSeenToken = max(l.highestSeenToken, req.HighestToken)
	}
	resp := lease.RenewalResponse{Seq: req.Seq}
	if req.ConfigVersion != l.config.Version {
		config := l.config
		resp.Config = &config
	}
	for _, ref := range req.Released {
		if state := l.lease(ref.Key); state != nil && state.Holder == id && state.Token == ref.Token { // step 8
			state.released, state.expiresAt = true, now
		}
	}
	for _, s := range req.Held {
		l.noteProgress(now, id, s)
	}
	for i := range l.leases {
		l.renewLease(now, id, &l.leases[i], &resp)
	}
	return resp, nil
}

// noteProgress records what a holder reports about one lease.
func (l *Lessor) noteProgress(now time.Duration, id string, s lease.HolderStatus) {
	state := l.lease(s.Key)
	if state == nil || state.Holder != id || state.Token != s.Token {
		return
	}
	if s.Completed > state.holderStatus.Completed {
		state.lastProgressAt = now
		if b := (backoffKey{s.Task, id}); now >= l.backoffs[b].until {
			delete(l.backoffs, b)
		}
	}
	state.holderStatus = s
}

// renewLease renews or recalls one lease, if the member holds it.
func (l *Lessor) renewLease(now time.Duration, id string, state *leaseState, resp *lease.RenewalResponse) {
	if state.Holder != id || state.released || state.revoking {
		return
	}
	t := l.config.Task(state.Task)
	ref := lease.Ref{Key: state.Key, Token: state.Token}
	if state.NextHolder != "" || t.Disabled || !l.members[id].tasks[state.Task] {
		resp.Recalled = append(resp.Recalled, ref) // stays valid until it expires, but is not renewed (step 9)
		return
	}
	if state.maybeDelivered && now-state.lastProgressAt >= l.quotaConfig.MaxOnOtherClock(t.ProgressTimeout()) {
		l.backOff(now, t, id)
		state.revoking = true // it expires by itself (step 10)
		return
	}
	state.expiresAt, state.maybeDelivered = now+l.leaseTTL(t), true
	resp.Leases = append(resp.Leases, ref)
}

// backOff excludes a member without progress from the task's shards for a time that doubles with each
// failure up to a bound. The time varies between members, so that the backoffs of two of them do not
// end together.
func (l *Lessor) backOff(now time.Duration, t *lease.Task, id string) {
	b := l.backoffs[backoffKey{t.Name, id}]
	wait := t.ProgressTimeout() << min(b.failures, maxBackoffDoublings)
	wait += time.Duration(float64(wait) / 2 * float64(xxhash.Sum64String(id)%1024) / 1024)
	l.backoffs[backoffKey{t.Name, id}] = backoff{now + wait, b.failures + 1}
}
