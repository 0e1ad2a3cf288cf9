package policy

import (
	"container/heap"
	"time"
)

// handleRequest queues a new request, or rejects one that the settings do not know.
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
	if r.objectiveAt <= s.now { // a retry that comes after its objective
		r.pastObjective = true // answered once all events of this step are known: its client may have left
		return
	}
	s.assignTags(r, r.queue)
	r.queue.enqueue(r)
}

// volumeFor returns the volume of a request on plan p, with a full bucket at first use.
func (s *Scheduler) volumeFor(e Request, p *Plan) *volume {
	initiators := float64(max(1, e.VolumeInitiators))
	v := s.volumes[e.Volume]
	if v == nil {
		v = &volume{plan: p, initiators: initiators, tokensAt: s.now, rateLimitTokensAt: s.now}
		v.tokens = s.bucketDepth(v)
		s.volumes[e.Volume] = v
	} else if s.plans[v.plan.Name] != v.plan { // its plan was removed from the settings
		s.moveVolume(v, p)
		s.rescaleTags()
		v.tagScale = 0
	}
	v.initiators = initiators
	return v
}

// newRequest derives the times of a request from its class and the time that its client has left.
func (s *Scheduler) newRequest(e Request, c *Class, v *volume) *request {
	r := &request{Request: e, class: c, volume: v, firstSeenAt: s.now, heldSince: s.now, deadlineAt: s.now + e.TimeLeft}
	r.answerBy = s.now + max(e.TimeLeft/2-sendMarginSteps*s.settings.MinStep, s.settings.MinStep)
	r.objectiveAt = s.now + c.LatencyObjective
	if waited := c.Deadline - e.TimeLeft; s.stalledFor > 0 && waited < s.stalledFor+s.minObjective/timersPerObjective {
		r.objectiveAt -= waited // it waited for this process, which was paused
	}
	// The retry of a request that this initiator rejected has used up part of its objective. It is recognized
	// by its identity within the class's deadline; a short time left alone may belong to an impatient client.
	if first := s.rejected[r.identity()]; first != nil && s.now+e.TimeLeft <= first.firstSeenAt+c.Deadline+clockMarginSteps*s.settings.MinStep {
		r.firstSeenAt, r.objectiveAt = first.firstSeenAt, first.firstSeenAt+c.LatencyObjective
		delete(s.rejected, r.identity())
	}
	r.objectiveAt = min(r.objectiveAt, r.deadlineAt-clockMarginSteps*s.settings.MinStep)
	r.answerBy = min(r.answerBy, r.objectiveAt)
	return r
}

// joinOrderedExtent puts a request whose class is ordered behind the others of its extent.
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
// it for a retry.
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
	r.inFlightAt, r.heldSince = nil, s.now
	if e.Code == Served {
		s.noteUsage(r.volume, r.Units, e.VolumeUsage)
	}
	inDoubt := e.Code == TimedOut || e.Code == ConnectionReset || e.Code == Cancelled
	if extent := s.orderedExtents[r.Extent]; extent != nil && r.class.Ordered && inDoubt {
		extent.quietUntil = max(extent.quietUntil, s.now+s.settings.Rules.OrderedQuietTime)
	}
	if e.Code != NotConnected && e.Code != NotSent {
		r.answerBy = r.objectiveAt // an attempt was sent, so waiting for a retry is worth it
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
			r.answerBy = s.now // answered once all events of this step are known: its client may have left
		}
		// Backoff grows with each attempt; the endpoint's own block comes on top.
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

// dedupDeadline is until when endpoints surely drop a repeat: a little before the window ends, since
// sending takes time.
func (s *Scheduler) dedupDeadline(r *request) time.Duration {
	return r.firstRanAt + r.class.DedupWindow - sendMarginSteps*s.settings.MinStep
}

// retryBudgetGate keeps retries within the budget. Requests count from a little later and retries from
// a little earlier than the window, so that the budget holds whichever way the clocks differ.
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

// attemptTimeout is the time after which an attempt is given up. It is long: no other endpoint has the
// data, so a premature retry only adds load. It frees the slot of an attempt whose answer was lost.
func (s *Scheduler) attemptTimeout(ep *endpoint, r *request) time.Duration {
	return max(attemptObjectives*r.class.LatencyObjective, toDuration(attemptSilences*silenceFactor*ep.latency))
}
