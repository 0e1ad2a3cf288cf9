package policy

import (
	"container/heap"
	"time"
)

// handleRequest queues a new request. It rejects one whose class or plan is unknown or that has no
// time left.
func (s *Scheduler) handleRequest(event Request) {
	if s.requests[event.ID] != nil {
		return
	}
	s.recentRequests = append(dropOlderTimes(s.recentRequests, s.now-s.settings.Rules.RetryBudgetWindow), s.now)
	class, plan := s.classes[event.Class], s.plans[event.Plan]
	if class == nil || plan == nil || event.TimeLeft <= 0 {
		s.emit(Action{Kind: Reject, Request: event.ID})
		return
	}
	event.TimeLeft = min(event.TimeLeft, class.Deadline)
	event.Units = max(event.Units, 0)
	r := s.newRequest(event, class, s.volumeFor(event, plan))
	s.requests[r.ID] = r
	heap.Push(&s.deadlines, r)
	r.volume.backlog++
	s.joinOrderedExtent(r)
	r.queue = s.placeRequest(r)
	if r.objectiveAt <= s.now { // a retry that arrives after its objective
		r.unservable = true // answered after all events of this step: its client may have disconnected
		return
	}
	s.assignTags(r, r.queue)
	r.queue.enqueue(r)
}

// volumeFor returns the volume of a request on plan p. It is created with a full bucket at first use,
// and changes to p if its plan was removed.
func (s *Scheduler) volumeFor(e Request, p *Plan) *volume {
	initiators := float64(max(1, e.VolumeInitiators))
	v := s.volumes[e.Volume]
	if v == nil {
		v = &volume{plan: p, initiators: initiators, tokensAt: s.now, rateLimitTokensAt: s.now}
		v.tokens = s.bucketDepth(v)
		s.volumes[e.Volume] = v
	} else if s.plans[v.plan.Name] != v.plan { // its plan was removed from the settings
		s.changePlan(v, p)
		s.rescaleTags()
		v.tagScale = 0
	}
	v.initiators = initiators
	return v
}

// newRequest computes the deadlines of a request from its class and its client's remaining time.
func (s *Scheduler) newRequest(e Request, c *Class, v *volume) *request {
	r := &request{Request: e, class: c, volume: v, firstSeenAt: s.now, queuedSince: s.now, deadlineAt: s.now + e.TimeLeft}
	r.answerBy = s.now + max(e.TimeLeft/2-sendMarginSteps*s.settings.MinStep, s.settings.MinStep)
	r.objectiveAt = s.now + c.LatencyObjective
	if waited := c.Deadline - e.TimeLeft; s.pausedFor > 0 && waited < s.pausedFor+s.minObjective/timersPerObjective {
		r.objectiveAt -= waited // it arrived during the pause of this process: its objective includes the time that it waited
	}
	// The retry of a request that this initiator did not serve has used up part of its objective. It is recognized
	// by its identity within the class's deadline: a short remaining time alone may mean a client with a short timeout.
	if first := s.unserved[r.identity()]; first != nil && s.now+e.TimeLeft <= first.firstSeenAt+c.Deadline+clockMarginSteps*s.settings.MinStep {
		r.firstSeenAt, r.objectiveAt = first.firstSeenAt, first.firstSeenAt+c.LatencyObjective
		delete(s.unserved, r.identity())
	}
	r.objectiveAt = min(r.objectiveAt, r.deadlineAt-clockMarginSteps*s.settings.MinStep)
	r.answerBy = min(r.answerBy, r.objectiveAt)
	return r
}

// joinOrderedExtent appends a request of an ordered class to its extent's queue.
func (s *Scheduler) joinOrderedExtent(r *request) {
	if !r.class.Ordered || r.Extent == "" {
		return
	}
	extent := s.orderedExtents[r.Extent]
	if extent == nil {
		extent = &orderedExtent{}
		s.orderedExtents[r.Extent] = extent
	}
	extent.queue = append(extent.queue, r)
}

// handleOutcome ends an attempt: it updates the endpoint's health, and finishes the request or queues
// it again for a retry.
func (s *Scheduler) handleOutcome(e Outcome) {
	r := s.requests[e.ID]
	if r == nil || r.inFlightAt == nil || e.Attempt != r.attempts-1 {
		return
	}
	ep := r.inFlightAt
	s.markUsed(ep)
	s.learnFromOutcome(ep, r, e)
	s.handleLoadReport(ep, e.Load)
	ep.inFlight = removeRequest(ep.inFlight, r)
	r.inFlightAt, r.queuedSince = nil, s.now
	if e.Code == Served {
		s.recordUsage(r.volume, r.Units, e.VolumeUsage)
	}
	outcomeUncertain := e.Code == TimedOut || e.Code == ConnectionReset || e.Code == Cancelled
	if extent := s.orderedExtents[r.Extent]; extent != nil && r.class.Ordered && outcomeUncertain {
		extent.quietUntil = max(extent.quietUntil, s.now+s.settings.Rules.OrderedQuietTime)
	}
	if e.Code != NotConnected && e.Code != NotSent {
		r.answerBy = r.objectiveAt // an attempt was sent, so a retry is awaited up to the objective
	}
	if e.Code.MayHaveRun() && !r.mayHaveRun {
		r.mayHaveRun, r.ranInZone, r.ranInShard, r.firstRanAt = true, ep.Zone, ep.Shard, r.attemptStartedAt
	}
	switch {
	case r.answered:
		s.forget(r)
	case e.Final:
		s.finishRequest(r)
	default:
		if !s.mayRetry(r) {
			r.answerBy = s.now // answered after all events of this step: its client may have disconnected
		}
		// The backoff grows with each attempt. The endpoint may also be blocked for longer.
		r.notBefore = s.now + s.silenceTimeout(ep)*time.Duration(r.attempts)/backoffDivisor
		r.queue.enqueue(r)
		if r.heapIndex >= 0 {
			heap.Fix(&s.deadlines, r.heapIndex)
		} else {
			heap.Push(&s.deadlines, r)
		}
	}
}

// mayRetry reports whether a further attempt of the request could ever be allowed.
func (s *Scheduler) mayRetry(r *request) bool {
	if r.BoundEndpoint != "" || s.settings.MaxAttempts > 0 && r.attempts >= s.settings.MaxAttempts {
		return false
	}
	return !r.mayHaveRun || r.class.Effect == Idempotent ||
		r.class.Effect == IdempotentWithKey && !r.MissingKey && s.now < s.dedupDeadline(r)
}

// dedupDeadline is the time until which endpoints are certain to drop a repeat: a little before the
// deduplication window ends, since sending takes time.
func (s *Scheduler) dedupDeadline(r *request) time.Duration {
	return r.firstRanAt + r.class.DedupWindow - sendMarginSteps*s.settings.MinStep
}

// retryBudgetGate keeps retries within the budget. Requests are counted over slightly less than the
// window and retries over slightly more, so that the budget holds in spite of clock rounding.
func (s *Scheduler) retryBudgetGate(ep *endpoint, r *request) time.Duration {
	rules := s.settings.Rules
	if at, governed := s.quotaWait(Retries, ep, r, 1); governed {
		return at
	}
	if !rules.RetryBudget {
		return 0
	}
	s.recentRequests = dropOlderTimes(s.recentRequests, s.now-rules.RetryBudgetWindow+clockMarginSteps*s.settings.MinStep)
	s.recentRetries = dropOlderTimes(s.recentRetries, s.now-rules.RetryBudgetWindow-clockMarginSteps*s.settings.MinStep)
	if float64(len(s.recentRetries)+1) <= rules.RetryBudgetFree*s.processes.fraction(s.now)+rules.RetryBudgetRatio*float64(len(s.recentRequests)) {
		return 0
	}
	return s.now + rules.RetryBudgetWindow/budgetPollsPerWindow
}

// attemptTimeout is the time after which an attempt is cancelled. It is long: no other endpoint has the
// data, so a premature retry only adds load. It frees the slot of an attempt whose answer was lost.
func (s *Scheduler) attemptTimeout(ep *endpoint, r *request) time.Duration {
	return max(attemptObjectives*r.class.LatencyObjective, toDuration(attemptSilenceTimeouts*silenceFactor*ep.latency))
}
