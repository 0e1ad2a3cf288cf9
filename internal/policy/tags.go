package policy

import (
	"math"
	"time"
)

// volume is a client of fair queuing: the token buckets of one volume at this initiator. A bucket's
// time says up to when it is filled.
type volume struct {
	plan              *Plan
	initiators        float64 // initiators that serve this volume
	tokens            float64 // deficit bucket in units; negative: the volume is ahead of its rate
	tokensAt          time.Duration
	backlog           int     // requests queued or in flight at this initiator
	ownUsage          float64 // units a second served for it by this initiator, decaying
	ownUsageAt        time.Duration
	totalUsage        float64 // units a second served for it by all, as endpoints report it
	totalUsageAt      time.Duration
	rateLimitTokens   float64 // units left of this initiator's part of the plan's rate limit
	rateLimitTokensAt time.Duration
	reserveTokens     float64 // units of the reserved rate not yet served here
	reserveTokensAt   time.Duration
	tagScale          float64 // rate before over rate after a change of plan; 0: unchanged
}

// flow is the tag state of one volume in one queue.
type flow struct {
	volume      *volume
	maxStartTag time.Duration // largest start tag given; moves with the queue's tags
	queued      int           // requests of the volume in the queue
}

// refillRate is the rate, in units a second, at which the volume's bucket fills at this initiator (rho
// in the paper): the plan's rate times this initiator's share of the volume's recent usage, or an even
// share while no fresh usage is known.
func (s *Scheduler) refillRate(v *volume) float64 {
	share := 1 / v.initiators
	if s.settings.UsagePeriod > 0 && v.totalUsageAt > 0 && s.now-v.totalUsageAt < usageFreshPeriods*s.settings.UsagePeriod && v.totalUsage > 0 {
		share = min(1, max(minShareOfEven/v.initiators, s.ownUsageRate(v)/v.totalUsage))
	}
	return max(v.plan.Rate*share, 1e-3)
}

// bucketDepth is the capacity of the volume's bucket in units (sigma in the paper): one second of its
// rate and the largest request.
func (s *Scheduler) bucketDepth(v *volume) float64 {
	return max(v.plan.ReservedRate, v.plan.Rate)/v.initiators + max(s.settings.MaxUnits, s.settings.MeanUnits)
}

// ownUsageRate is the volume's usage at this initiator, decayed to now.
func (s *Scheduler) ownUsageRate(v *volume) float64 {
	tau := 2 * s.settings.UsagePeriod.Seconds()
	return v.ownUsage * math.Exp(-(s.now-v.ownUsageAt).Seconds()/tau)
}

// noteUsage adds a served request to the volume's own usage, and takes over the total usage that the
// endpoint reported: used is one more than the percentage of the plan's rate; 0: not reported.
func (s *Scheduler) noteUsage(v *volume, units float64, used int) {
	if s.settings.UsagePeriod <= 0 {
		return
	}
	v.ownUsage, v.ownUsageAt = s.ownUsageRate(v)+units/(2*s.settings.UsagePeriod.Seconds()), s.now
	if reported := float64(used-1) / 100 * v.plan.Rate; used > 0 {
		if v.totalUsageAt == 0 {
			v.totalUsage = reported
		}
		v.totalUsage, v.totalUsageAt = v.totalUsage+(reported-v.totalUsage)*usageGain, s.now
	}
}

// assignTags gives the request its start and finish tags: now while the volume's bucket covers it,
// later by what the bucket lacks, and after the volume's last tag once the bucket is empty.
func (s *Scheduler) assignTags(r *request, q *shardQueue) {
	v, f, rho := r.volume, q.flow(r.volume), s.refillRate(r.volume)
	v.tokens, v.tokensAt = min(s.bucketDepth(v), v.tokens+(s.now-v.tokensAt).Seconds()*rho), s.now
	switch {
	case v.tokens >= r.Units:
		r.startTag = s.now
	case v.tokens > 0:
		r.startTag = s.now + toDuration((r.Units-v.tokens)/rho)
	default:
		r.startTag = max(f.maxStartTag, s.now) + toDuration(r.Units/rho)
	}
	f.maxStartTag, r.finishTag = r.startTag, r.startTag+(r.objectiveAt-s.now)
	v.tokens -= r.Units
}

// refundTags returns the units of a request that will not be served in time, and moves the volume's
// later tags forward, so that the dropped request does not delay them.
func (s *Scheduler) refundTags(r *request) {
	f := r.queue.flow(r.volume)
	r.volume.tokens += r.Units
	refund := toDuration(r.Units / s.refillRate(r.volume))
	for _, other := range r.queue.requests {
		if other.volume == r.volume && other.startTag > r.startTag {
			other.startTag, other.finishTag = other.startTag-refund, other.finishTag-refund
		}
	}
	f.maxStartTag -= refund
}

// synchronize is a synchronization point of fair queuing: the endpoint has capacity and no request is
// eligible. All tags of the queue move back by the smallest gap, and volumes without backlog refill.
func (s *Scheduler) synchronize(q *shardQueue, gap time.Duration) {
	for _, r := range q.requests {
		r.startTag, r.finishTag = r.startTag-gap, r.finishTag-gap
	}
	for _, f := range q.flows {
		if f.queued > 0 {
			f.maxStartTag -= gap
		}
		if f.volume.backlog == 0 {
			f.volume.tokens, f.volume.tokensAt = s.bucketDepth(f.volume), s.now
		}
	}
}
