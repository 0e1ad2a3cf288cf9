package policy

import (
	"time"
)

// earliestSend is the single gate that every send passes. It returns the time from which the request
// may be sent to the queue's endpoint, or a time at which to check again; never: it may not be sent. It
// marks a request unservable whose body is at another endpoint than the queue's.
func (s *Scheduler) earliestSend(r *request, q *shardQueue) time.Duration {
	ep := q.endpoint
	if r.BoundEndpoint != "" && r.BoundEndpoint != ep.ID {
		s.markUnservable(r) // most of its body was sent to an endpoint that no longer serves this shard
		return never
	}
	at := max(r.notBefore, ep.blockedUntil, s.orderGate(r), s.coldGate(ep, r), s.rateLimitGate(r), s.quotaGate(ep, r))
	if r.attempts > 0 {
		at = max(at, s.retryBudgetGate(ep, r))
		c := r.class
		inDedupScope := ep.Zone == r.ranInZone && (c.DedupScope == DedupZone || ep.Shard == r.ranInShard)
		if r.mayHaveRun && c.Effect == IdempotentWithKey && c.DedupScope != DedupFleet && !inDedupScope || !s.mayRetry(r) {
			return never
		}
	}
	return at
}

// orderGate lets requests of an ordered extent run one at a time, in the order in which they arrived.
func (s *Scheduler) orderGate(r *request) time.Duration {
	extent := s.orderedExtents[r.Extent]
	if extent == nil || !r.class.Ordered || r.Extent == "" {
		return 0
	}
	if extent.queue[0] != r {
		return never
	}
	return extent.quietUntil
}

// rateLimitGate keeps a volume within this initiator's even share of its plan's rate limit. The bucket
// starts empty, since after a restart it is unknown what the previous process sent.
func (s *Scheduler) rateLimitGate(r *request) time.Duration {
	v := r.volume
	if v.plan.RateLimit <= 0 || r.rateLimitCharged {
		return 0
	}
	sharingProcesses := s.refillRateLimit(v)
	if v.rateLimitTokens >= r.Units {
		return 0
	}
	return s.now + toDuration((r.Units-v.rateLimitTokens)*sharingProcesses/v.plan.RateLimit) + s.settings.MinStep
}

// refillRateLimit refills the volume's rate limit bucket up to now and returns how many processes
// share the plan's limit.
func (s *Scheduler) refillRateLimit(v *volume) (sharingProcesses float64) {
	sharingProcesses = v.initiators / s.processes.fraction(s.now)
	if v.plan.RateLimit > 0 {
		v.rateLimitTokens = min(v.plan.RateLimitBurst/sharingProcesses, v.rateLimitTokens+(s.now-v.rateLimitTokensAt).Seconds()*v.plan.RateLimit/sharingProcesses)
	}
	v.rateLimitTokensAt = s.now
	return sharingProcesses
}

// orderedExtent is an extent whose requests run one at a time.
type orderedExtent struct {
	queue      []*request    // in order of arrival; only the first may be sent
	quietUntil time.Duration // no attempt is sent before, since it is unknown whether the last one ran
}
