package policy

import (
	"math"
	"time"
)

// volume is a client of fair queuing: the token buckets and the usage of one volume at this initiator. A
// field ending in At is the time up to which the field before it is computed.
type volume struct {
	plan              *Plan
	initiators        float64 // initiators that serve this volume
	tokens            float64 // token bucket in units; negative: the volume has used more than its rate
	tokensAt          time.Duration
	backlog           int     // requests queued or in flight at this initiator
	ownUsage          float64 // units per second served for it by this initiator, decaying average
	ownUsageAt        time.Duration
	totalUsage        float64 // units per second served for it by all initiators, as endpoints report it
	totalUsageAt      time.Duration
	rateLimitTokens   float64 // token bucket of this initiator's share of the plan's rate limit, in units
	rateLimitTokensAt time.Duration
	reserveTokens     float64 // token bucket of the reserved rate, in units
	reserveTokensAt   time.Duration
	tagScale          float64 // old rate over new rate during a change of plan, else 0
}

// flow is the tag state of one volume in one queue.
type flow struct {
	volume      *volume
	maxStartTag time.Duration // largest start tag assigned; moves with the queue's tags
	queued      int           // requests of the volume in the queue
}

// refillRate is the rate, in units per second, at which the volume's bucket is refilled at this initiator
// (rho in the paper): the plan's rate times this initiator's share of the volume's recent usage, or an
// even share while no recent usage report is known.
func (s *Scheduler) refillRate(v *volume) float64 {
	share := 1 / v.initiators
	if s.settings.UsagePeriod > 0 && v.totalUsageAt > 0 && s.now-v.totalUsageAt < usageFreshPeriods*s.settings.UsagePeriod && v.totalUsage > 0 {
		share = min(1, max(minUsageShare/v.initiators, s.ownUsageRate(v)/v.totalUsage))
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
	timeConstant := 2 * s.settings.UsagePeriod.Seconds()
	return v.ownUsage * math.Exp(-(s.now-v.ownUsageAt).Seconds()/timeConstant)
}

// recordUsage adds a served request to the volume's own usage, and averages in the total usage that the
// endpoint reported: encodedUsage is one more than the percentage of the plan's rate; 0: not reported.
func (s *Scheduler) recordUsage(v *volume, units float64, encodedUsage int) {
	if s.settings.UsagePeriod <= 0 {
		return
	}
	v.ownUsage, v.ownUsageAt = s.ownUsageRate(v)+units/(2*s.settings.UsagePeriod.Seconds()), s.now
	if reported := float64(encodedUsage-1) / 100 * v.plan.Rate; encodedUsage > 0 {
		if v.totalUsageAt == 0 {
			v.totalUsage = reported
		}
		v.totalUsage, v.totalUsageAt = v.totalUsage+(reported-v.totalUsage)*usageGain, s.now
	}
}

// assignTags assigns the request's start and finish tags. The start tag is now if the volume's bucket
// covers the request, the time at which the bucket will cover it if the bucket is not empty, and else
// the volume's largest start tag, or now if that is later, plus the time in which the request's units are
// refilled. The finish tag is later by the request's remaining objective.
func (s *Scheduler) assignTags(r *request, q *shardQueue) {
	v, f, rate := r.volume, q.flow(r.volume), s.refillRate(r.volume)
	v.tokens, v.tokensAt = min(s.bucketDepth(v), v.tokens+(s.now-v.tokensAt).Seconds()*rate), s.now
	switch {
	case v.tokens >= r.Units:
		r.startTag = s.now
	case v.tokens > 0:
		r.startTag = s.now + toDuration((r.Units-v.tokens)/rate)
	default:
		r.startTag = max(f.maxStartTag, s.now) + toDuration(r.Units/rate)
	}
	f.maxStartTag, r.finishTag = r.startTag, r.startTag+(r.objectiveAt-s.now)
	v.tokens -= r.Units
}

// refundTags returns the units of a request that will not be served in time to the volume's bucket, and
// makes the volume's later tags earlier, so that the dropped request does not delay them.
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
// eligible. All tags of the queue become earlier by gap, so that the first request becomes eligible, and
// the buckets of volumes without backlog are filled up.
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
