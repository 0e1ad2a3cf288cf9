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
		room := s.hasCapacity(q.endpoint, 0)
		if !room && !(s.hasCapacity(q.endpoint, maxExtentRun-1) && slices.ContainsFunc(q.requests, q.endpoint.continuesExtent)) {
			return // without visiting every queued request at each event
		}
		r := s.pickNext(q, room)
		if r == nil {
			return
		}
		s.send(r, q)
	}
}

// reuseConnectionUntil returns until when a queue waits for a connection that is in use rather than
// opening another one. It applies where the settings price a new connection, and lasts until half of
// the first request's objective has passed.
func (s *Scheduler) reuseConnectionUntil(q *shardQueue) time.Duration {
	ep, r := q.endpoint, q.requests[0]
	if s.settings.ConnectCost <= 0 || len(ep.inFlight) == 0 || len(ep.inFlight) < ep.maxInFlight {
		return 0
	}
	return min(r.objectiveAt-toDuration(2*s.expectedLatency(ep)*s.relativeSize(r.Units)), r.objectiveAt-r.class.LatencyObjective/2)
}

// continuesExtent reports whether the request may follow the extent that was sent last: such a request
// costs the endpoint less.
func (ep *endpoint) continuesExtent(r *request) bool {
	return ep.extentRun < maxExtentRun && r.Extent != "" && r.Extent == ep.lastExtent && r.attempts == 0
}

// pickNext returns the request that leaves next, or nil: one that continues the last extent, else the
// eligible one with the smallest finish tag, else at a synchronization point the one with the smallest
// start tag, else on an idle endpoint the most valuable deferred one.
func (s *Scheduler) pickNext(q *shardQueue, room bool) *request {
	ep := q.endpoint
	var best, ahead, deferred, follow *request
	s.filterSendable(q)
	for _, r := range s.sendable {
		switch {
		case r.deferred:
			if deferred == nil || r.unitValue > deferred.unitValue {
				deferred = r
			}
		case r.startTag > s.now:
			if ahead == nil || r.startTag < ahead.startTag || r.startTag == ahead.startTag && r.finishTag < ahead.finishTag {
				ahead = r
			}
		default:
			if best == nil || r.finishTag < best.finishTag {
				best = r
			}
			if ep.continuesExtent(r) && (follow == nil || r.finishTag < follow.finishTag) {
				follow = r
			}
		}
	}
	switch {
	case follow != nil:
		return follow
	case !room:
		return nil
	case best != nil:
		return best
	case ahead != nil:
		s.synchronize(q, ahead.startTag-s.now)
		return ahead
	case deferred != nil && len(ep.inFlight) == 0:
		return deferred
	}
	return nil
}

// filterSendable fills s.sendable with the requests that may be sent now. A request that cannot meet
// its objective any more expires. Where not all of the rest can meet theirs, those with the least
// value for a unit are deferred: in earliest-deadline order each of them would be served just too
// late.
func (s *Scheduler) filterSendable(q *shardQueue) {
	ep := q.endpoint
	s.sendable = s.sendable[:0]
	expected, fresh := s.expectedLatency(ep), s.freshness(ep.lastAnswerAt)
	work, serviceTimePerUnit := 0.0, expected/ep.concurrencyLimit/s.settings.MeanUnits
	for _, r := range q.requests { // in order of objective
		if wait := s.earliestSend(r, q); wait > s.now {
			q.wakeAt = min(q.wakeAt, wait)
			continue
		}
		// The base latency loses weight while no answer confirms it, or one slow answer would expire every
		// request of a class with a short objective, and no answer would ever correct it.
		if s.now+toDuration(ep.baseLatency*fresh*s.relativeSize(r.Units)) > r.objectiveAt {
			s.expireObjective(r)
		}
		if r.pastObjective {
			continue
		}
		s.sendable = append(s.sendable, r)
		r.deferred, r.unitValue = false, s.unitValue(r)
		alone := s.now + toDuration(expected*s.relativeSize(r.Units))
		work += r.Units
		for alone+toDuration((work-r.Units)*serviceTimePerUnit) > r.objectiveAt && !r.deferred {
			least := s.leastValuable(r)
			least.deferred, ep.congestedAt = true, s.now
			work -= least.Units
		}
	}
}

// leastValuable returns the sendable request with the least value for a unit that is not deferred yet, r among them.
func (s *Scheduler) leastValuable(r *request) *request {
	least := r
	for _, other := range s.sendable {
		if !other.deferred && other.unitValue < least.unitValue {
			least = other
		}
	}
	return least
}

// relativeSize is the service time of a request of that many units, relative to a request of mean
// size.
func (s *Scheduler) relativeSize(units float64) float64 { return (1 + units/s.settings.MeanUnits) / 2 }

// unitValue is the value of serving one unit of the request: full while the volume's reserved rate is
// not used up, the fair-share value while its start tag is due, and less the further its tag lies
// ahead.
func (s *Scheduler) unitValue(r *request) float64 {
	v := r.class.PriorityWeight * r.volume.plan.PriorityFactor
	switch {
	case s.reserveAvailable(r.volume) >= r.Units:
		return v
	case r.startTag <= s.now:
		return v * s.settings.FairSharePriority
	}
	return v * (s.settings.ExcessPriority + (s.settings.FairSharePriority-s.settings.ExcessPriority)/(1+(r.startTag-s.now).Seconds()))
}

// reserveAvailable refills and returns the units of its reserved rate that the volume may still have
// served at full value here.
func (s *Scheduler) reserveAvailable(v *volume) float64 {
	rate := v.plan.ReservedRate * s.refillRate(v) / max(v.plan.Rate, 1e-3)
	v.reserveTokens = min(rate+s.settings.MaxUnits, v.reserveTokens+(s.now-v.reserveTokensAt).Seconds()*rate)
	v.reserveTokensAt = s.now
	return v.reserveTokens
}

// hasCapacity reports whether the endpoint may have another attempt in flight, with extra beyond its
// limit. An attempt that is overdue no longer counts: it was probably lost, and counting it would
// block the endpoint until its timeout. A faulty endpoint gets one attempt at a time.
func (s *Scheduler) hasCapacity(ep *endpoint, extra int) bool {
	fresh := 0
	for _, r := range ep.inFlight {
		if s.now-r.attemptStartedAt < s.silenceTimeout(ep) {
			fresh++
		}
	}
	if s.isFaulty(ep) {
		return fresh == 0
	}
	return float64(fresh) < math.Floor(ep.concurrencyLimit)+float64(extra)
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
		within = max(s.dedupDeadline(r)-s.now, 1) // the attempt may still wait for a connection
	}
	s.emit(Action{Kind: Send, Request: r.ID, Endpoint: ep.ID, Wait: wait, StartTagWait: r.startTagWait(s.now),
		Permit: permit, SendWithin: within})
}
