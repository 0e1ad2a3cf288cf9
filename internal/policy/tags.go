package policy

import (
	"math"
	"time"
)

// volume is the client of RFQ: one bucket at this initiator.
type volume struct {
	plan              *Plan
	initiators        float64
	tokens            float64
	tokensAt          time.Duration
	backlog           int // requests held or out here
	ownUsage          float64
	ownUsageAt        time.Duration
	totalUsage        float64
	totalUsageAt      time.Duration
	rateLimitTokens   float64 // this initiator's part of the limit
	rateLimitTokensAt time.Duration
	reserveTokens     float64 // units of the reserve not yet served here
	reserveTokensAt   time.Duration
	tagScale          float64 // while its plan changes: its rate before over the one from now on
}

// flow is a volume's tag state at one lane.
type flow struct {
	volume      *volume
	maxStartTag time.Duration
	queued      int
}

// refillRate is the rate at which the volume's bucket fills here: the plan's rate times this initiator's share of
// the volume's recent service, evenly while nothing fresh is known.
func (s *Scheduler) refillRate(v *volume) float64 {
	share := 1 / v.initiators
	if s.settings.UsagePeriod > 0 && v.totalUsageAt > 0 && s.now-v.totalUsageAt < usageFreshPeriods*s.settings.UsagePeriod && v.totalUsage > 0 {
		share = min(1, max(minShareOfEven/v.initiators, s.ownUsageRate(v)/v.totalUsage))
	}
	return max(v.plan.Rate*share, 1e-3)
}

// bucketDepth is the bucket's depth: a second of the reserve and one largest request, as worth is counted.
func (s *Scheduler) bucketDepth(v *volume) float64 {
	return max(v.plan.ReservedRate, v.plan.Rate)/v.initiators + max(s.settings.MaxUnits, s.settings.MeanUnits)
}

func (s *Scheduler) ownUsageRate(v *volume) float64 {
	tau := 2 * s.settings.UsagePeriod.Seconds()
	return v.ownUsage * math.Exp(-(s.now-v.ownUsageAt).Seconds()/tau)
}

// noteUsage notes own service and what the answer tells of the volume's service everywhere.
func (s *Scheduler) noteUsage(v *volume, units float64, used int) {
	if s.settings.UsagePeriod <= 0 {
		return
	}
	v.ownUsage, v.ownUsageAt = s.ownUsageRate(v)+units/(2*s.settings.UsagePeriod.Seconds()), s.now
	if told := float64(used-1) / 100 * v.plan.Rate; used > 0 {
		if v.totalUsageAt == 0 {
			v.totalUsage = told
		}
		v.totalUsage, v.totalUsageAt = v.totalUsage+(told-v.totalUsage)*0.3, s.now
	}
}

// assignTags gives the request its start and finish tag from the volume's bucket and the lane's tags.
func (s *Scheduler) assignTags(r *request, l *shardQueue) {
	v, f, rho := r.volume, l.flow(r.volume), s.refillRate(r.volume)
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

// refundTags gives back what a request drew that will not be served in time, so that it does not stand in
// the way of its volume's later ones.
func (s *Scheduler) refundTags(r *request) {
	f := r.queue.flow(r.volume)
	r.volume.tokens += r.Units
	back := toDuration(r.Units / s.refillRate(r.volume))
	for _, q := range r.queue.requests {
		if q.volume == r.volume && q.startTag > r.startTag {
			q.startTag, q.finishTag = q.startTag-back, q.finishTag-back
		}
	}
	f.maxStartTag -= back
}

// synchronize is a synchronization point of the lane: room and nothing eligible. All tags of the lane shift
// back by the least gap, and volumes of the lane with no backlog at this initiator refill.
func (s *Scheduler) synchronize(l *shardQueue, gap time.Duration) {
	for _, r := range l.requests {
		r.startTag, r.finishTag = r.startTag-gap, r.finishTag-gap
	}
	for _, f := range l.flows {
		if f.queued > 0 {
			f.maxStartTag -= gap
		}
		if f.volume.backlog == 0 {
			f.volume.tokens, f.volume.tokensAt = s.bucketDepth(f.volume), s.now
		}
	}
}
