package policy

import (
	"time"
)

// earliestSend is the one gate that every send passes. It returns the time from which r may go to the lane's
// node, or a later one at which to look again.
func (s *Scheduler) earliestSend(r *request, l *shardQueue) time.Duration {
	n := l.endpoint
	if r.BoundEndpoint != "" && r.BoundEndpoint != n.ID {
		s.expireObjective(r) // the rest of its body is elsewhere
		return never
	}
	at := max(r.notBefore, n.blockedUntil, s.orderGate(r), s.coldGate(n, r), s.rateLimitGate(r), s.quotaGate(n, r))
	if r.attempts > 0 {
		at = max(at, s.retryBudgetGate(n, r))
		c := r.class
		there := n.Zone == r.ranInZone && (c.DedupScope == DedupZone || n.Shard == r.ranInShard)
		if r.mayHaveRun && c.Effect == IdempotentWithKey && c.DedupScope != DedupFleet && !there || !s.mayRetry(r) {
			return never
		}
	}
	return at
}

// orderGate keeps requests of one ordered extent in turn.
func (s *Scheduler) orderGate(r *request) time.Duration {
	k := s.orderedExtents[r.Extent]
	if k == nil || !r.class.Ordered || r.Extent == "" {
		return 0
	}
	if k.queue[0] != r {
		return never
	}
	return k.quietUntil
}

// rateLimitGate keeps a volume within this initiator's even part of its plan's limit. The store starts
// empty: an initiator that was restarted cannot know what it drew before.
func (s *Scheduler) rateLimitGate(r *request) time.Duration {
	v := r.volume
	if v.plan.RateLimit <= 0 || r.rateLimitCharged {
		return 0
	}
	hosts := s.refillRateLimit(v)
	if v.rateLimitTokens >= r.Units {
		return 0
	}
	return s.now + toDuration((r.Units-v.rateLimitTokens)*hosts/v.plan.RateLimit) + s.settings.MinStep
}

// refillRateLimit fills the volume's store up to now, and tells how many share the plan's limit.
func (s *Scheduler) refillRateLimit(v *volume) (hosts float64) {
	hosts = v.initiators / s.processes.fraction(s.now)
	if v.plan.RateLimit > 0 {
		v.rateLimitTokens = min(v.plan.RateLimitBurst/hosts, v.rateLimitTokens+(s.now-v.rateLimitTokensAt).Seconds()*v.plan.RateLimit/hosts)
	}
	v.rateLimitTokensAt = s.now
	return hosts
}

// orderedExtent is the queue of one extent whose requests take turns.
type orderedExtent struct {
	queue      []*request
	quietUntil time.Duration
}
