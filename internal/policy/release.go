package policy

import (
	"math"
	"slices"
	"time"
)

// releaseQueue sends requests of a queue while its endpoint has capacity.
func (s *Scheduler) releaseQueue(q *shardQueue) {
	q.wakeAt = never
	for q.endpoint != nil && len(q.requests) > 0 {
		if wait := s.reuseConnectionUntil(q); wait > s.now {
			q.wakeAt = min(q.wakeAt, wait)
			return
		}
		hasSlot := s.hasCapacity(q.endpoint, 0)
		if !hasSlot && !(s.hasCapacity(q.endpoint, maxExtentRun-1) && slices.ContainsFunc(q.requests, q.endpoint.continuesExtent)) {
			return // without checking every queued request at each event
		}
		r := s.pickNext(q, hasSlot)
		if r == nil {
			return
		}
		s.send(r, q)
	}
}

// reuseConnectionUntil returns until when a queue waits for a connection that is in use instead of
// having another one opened; 0: it does not wait. It applies if the settings give a new connection a
// cost, and lasts until half of the first request's objective has passed at the latest.
func (s *Scheduler) reuseConnectionUntil(q *shardQueue) time.Duration {
	ep, r := q.endpoint, q.requests[0]
	if s.settings.ConnectCost <= 0 || len(ep.inFlight) == 0 || len(ep.inFlight) < ep.maxInFlight {
		return 0
	}
	return min(r.objectiveAt-toDuration(2*s.expectedLatency(ep)*s.relativeSize(r.Units)), r.objectiveAt-r.class.LatencyObjective/2)
}

// continuesExtent reports whether the request may be sent ahead of others because it is for the same
// extent as the last one sent: such a request costs the endpoint less.
func (ep *endpoint) continuesExtent(r *request) bool {
	return ep.extentRun < maxExtentRun && r.Extent != "" && r.Extent == ep.lastExtent && r.attempts == 0
}

// pickNext returns the request to send next, or nil: one for the same extent as the last one sent, else
// the eligible one with the smallest finish tag, else at a synchronization point the one with the
// smallest start tag, else on an idle endpoint the deferred one with the largest value for a unit.
func (s *Scheduler) pickNext(q *shardQueue, hasSlot bool) *request {
	ep := q.endpoint
	var bestEligible, nextEligible, deferred, sameExtent *request
	s.filterSendable(q)
	for _, r := range s.sendable {
		switch {
		case r.deferred:
			if deferred == nil || r.valuePerUnit > deferred.valuePerUnit {
				deferred = r
			}
		case r.startTag > s.now:
			if nextEligible == nil || r.startTag < nextEligible.startTag || r.startTag == nextEligible.startTag && r.finishTag < nextEligible.finishTag {
				nextEligible = r
			}
		default:
			if bestEligible == nil || r.finishTag < bestEligible.finishTag {
				bestEligible = r
			}
			if ep.continuesExtent(r) && (sameExtent == nil || r.finishTag < sameExtent.finishTag) {
				sameExtent = r
			}
		}
	}
	switch {
	case sameExtent != nil:
		return sameExtent
	case !hasSlot:
		return nil
	case bestEligible != nil:
		return bestEligible
	case nextEligible != nil:
		s.synchronize(q, nextEligible.startTag-s.now)
		return nextEligible
	case deferred != nil && len(ep.inFlight) == 0:
		return deferred
	}
	return nil
}

// filterSendable fills s.sendable with the requests that may be sent now. A request that cannot meet
// its objective any more is marked unservable. If the rest cannot all meet theirs, those with the least value for a
// unit are deferred: in earliest-deadline order all of them would be served slightly too late.
func (s *Scheduler) filterSendable(q *shardQueue) {
	ep := q.endpoint
	s.sendable = s.sendable[:0]
	expected, baseWeight := s.expectedLatency(ep), s.freshness(ep.lastAnswerAt)
	work, serviceTimePerUnit := 0.0, expected/ep.concurrencyLimit/s.settings.MeanUnits
	for _, r := range q.requests { // ordered by objective
		if wait := s.earliestSend(r, q); wait > s.now {
			q.wakeAt = min(q.wakeAt, wait)
			continue
		}
		// The base latency loses weight while no new answer arrives. Otherwise one slow answer could make every
		// later request of a class with a short objective unservable, and no answer would ever correct it.
		if s.now+toDuration(ep.baseLatency*baseWeight*s.relativeSize(r.Units)) > r.objectiveAt {
			s.markUnservable(r)
		}
		if r.unservable {
			continue
		}
		s.sendable = append(s.sendable, r)
		r.deferred, r.valuePerUnit = false, s.valuePerUnit(r)
		finishAlone := s.now + toDuration(expected*s.relativeSize(r.Units))
		work += r.Units
		for finishAlone+toDuration((work-r.Units)*serviceTimePerUnit) > r.objectiveAt && !r.deferred {
			least := s.leastValuable(r)
			least.deferred, ep.congestedAt = true, s.now
			work -= least.Units
		}
	}
}

// leastValuable returns the request with the least value for a unit among r and the sendable requests
// that are not deferred yet.
func (s *Scheduler) leastValuable(r *request) *request {
	least := r
	for _, other := range s.sendable {
		if !other.deferred && other.valuePerUnit < least.valuePerUnit {
			least = other
		}
	}
	return least
}

// relativeSize is the service time of a request of that many units, relative to a request of mean
// size.
func (s *Scheduler) relativeSize(units float64) float64 { return (1 + units/s.settings.MeanUnits) / 2 }

// valuePerUnit is the value of serving one unit of the request: full while the volume's reserved rate
// is not used up, the fair-share value once its start tag has passed, and less the further in the
// future its start tag is.
func (s *Scheduler) valuePerUnit(r *request) float64 {
	v := r.class.PriorityWeight * r.volume.plan.PriorityFactor
	switch {
	case s.reserveAvailable(r.volume) >= r.Units:
		return v
	case r.startTag <= s.now:
		return v * s.settings.FairSharePriority
	}
	return v * (s.settings.ExcessPriority + (s.settings.FairSharePriority-s.settings.ExcessPriority)/(1+(r.startTag-s.now).Seconds()))
}

// reserveAvailable refills the bucket of the volume's reserved rate and returns its units: the work
// that still has its full value here.
func (s *Scheduler) reserveAvailable(v *volume) float64 {
	rate := v.plan.ReservedRate * s.refillRate(v) / max(v.plan.Rate, 1e-3)
	v.reserveTokens = min(rate+s.settings.MaxUnits, v.reserveTokens+(s.now-v.reserveTokensAt).Seconds()*rate)
	v.reserveTokensAt = s.now
	return v.reserveTokens
}

// hasCapacity reports whether the endpoint may have another attempt in flight, with extra beyond its
// limit. An overdue attempt is not counted: it was probably lost, and counting it would block the
// endpoint until its timeout. A faulty endpoint gets one attempt at a time.
func (s *Scheduler) hasCapacity(ep *endpoint, extra int) bool {
	active := 0
	for _, r := range ep.inFlight {
		if s.now-r.attemptStartedAt < s.silenceTimeout(ep) {
			active++
		}
	}
	if s.isFaulty(ep) {
		return active == 0
	}
	return float64(active) < math.Floor(ep.concurrencyLimit)+float64(extra)
}

// send starts an attempt of the request at the queue's endpoint. No other function emits Send.
func (s *Scheduler) send(r *request, q *shardQueue) {
	ep := q.endpoint
	permit := s.reserveQuota(ep, r)
	r.dequeue()
	if ep.lastExtent == r.Extent {
		ep.extentRun++
	} else {
		ep.lastExtent, ep.extentRun = r.Extent, 1
	}
	if r.attempts > 0 {
		s.recentRetries = append(dropOlderTimes(s.recentRetries, s.now-s.settings.Rules.RetryBudgetWindow-clockMarginSteps*s.settings.MinStep), s.now)
	} else {
		r.volume.reserveTokens = max(0, s.reserveAvailable(r.volume)-r.Units)
	}
	if !r.rateLimitCharged {
		r.volume.rateLimitTokens, r.rateLimitCharged = r.volume.rateLimitTokens-r.Units, true
	}
	if s.settings.Rules.OverloadWindow > 0 {
		ep.chargeCold(s.now, r.Units, s.isCold(ep))
		q.sentRate.add(s.now, r.Units, s.settings.Rules.WarmUpTime)
	}
	r.attempts++
	r.inFlightAt, r.attemptStartedAt = ep, s.now
	ep.inFlight = append(ep.inFlight, r)
	ep.maxInFlight = max(ep.maxInFlight, len(ep.inFlight))
	s.markUsed(ep)
	wait, within := min(s.attemptTimeout(ep, r), max(r.deadlineAt-s.now, s.settings.MinStep)), time.Duration(0)
	if r.mayHaveRun && r.class.Effect == IdempotentWithKey {
		within = max(s.dedupDeadline(r)-s.now, 1) // the attempt may have to wait for a connection
	}
	s.emit(Action{Kind: Send, Request: r.ID, Endpoint: ep.ID, Wait: wait, StartTagWait: r.startTagWait(s.now),
		Permit: permit, SendWithin: within})
}
