package reference

// The types of the interface (settings, events, actions, outcomes) are those of package policy (doc_test.go); the state
// is in state_test.go.
//
// Reading order: tags, release, endpoint health, attempts and final answers, admission rules, placement. docs/design.md
// separates RFQ as published from what was added.

import (
	"container/heap"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxExtentRun bounds the requests of one extent that are sent in a row. Half saves less work, double sends
	// requests ahead of others' deadlines.
	maxExtentRun = 6
	// targetLatencyRatio is the ratio of latency to base latency above which the concurrency limit shrinks: requests
	// that queue at the endpoint can no longer be reordered. At 1.25 the simulated days lost 0.01, at 1.75 0.04.
	targetLatencyRatio = 1.0
	// uncongestedObjectives is how many smallest objectives without an expired or deferred request allow an endpoint
	// twice the concurrency limit. Half queues more between surges, double idles cores (without this rule quiet days
	// lose 0.2).
	uncongestedObjectives = 30
	learningGain          = 0.1  // weight of one answer in concurrency limit and base latency; half lags, double is noisy
	limitIncrease         = 0.25 // added to the limit's target by each initiator; half adapts slowly, double queues
	errorFailureDiscount  = 0.75 // discount of an error answer: quick errors cost the endpoint little, so more of them are needed to mean a fault
	maxConcurrencyLimit   = 16   // upper bound of the concurrency limit, whatever the estimates; half would limit a lone host
	// freshnessObjectives is how many smallest objectives an observation keeps its weight: an answer after a longer gap
	// outweighs all before, and the expected latency decays to the base. Half forgets the queues of other initiators,
	// double overestimates their length.
	freshnessObjectives = 4
	timersPerObjective  = 8   // timers set within the smallest objective, so that pauses of this process are noticed; half misses some
	idleObjectives      = 60  // smallest objectives after which idle state is dropped; half forgets more, double keeps more
	silenceFactor       = 4   // multiple of the usual latency without an answer after which an endpoint is silent; half mistakes pauses for it
	minUsageShare       = 0.5 // lower bound of an initiator's share of a volume, as a fraction of an even share; double makes all shares even
	// freeLoad is how many reported requests indicate no queue: those that the endpoint serves at once do not wait, and
	// reports are late. At 0, with latencyPerLoad learned, the simulated days lost 0.08.
	freeLoad = 4
	// latencyPerLoad is the latency that each reported request beyond freeLoad adds, as a fraction of the base latency.
	// A value learned from answers was too high, as few of the requests that saw a report had met the reported load.
	latencyPerLoad = 0.25
	// maxColdLoad is up to how many reported requests a cold endpoint gets another one in a large fleet. Half rejects
	// requests that would be served in time (0.903 on the fleet's simulated days, 0.919 at this value), more is no
	// better.
	maxColdLoad       = 8
	usageFreshPeriods = 5 // usage periods for which a reported usage is used; half ignores rare reports, double lags
)

// Scheduler decides for one initiator. It is not safe for concurrent use.
type Scheduler struct {
	settings        Settings
	rng             *rand.Rand
	now             time.Duration
	classes         map[string]*Class
	plans           map[string]*Plan
	rejected        map[requestIdentity]*request // rejected requests by identity, to recognize a client's retry
	rejectedInOrder []*request                   // rejected requests, oldest first
	minObjective    time.Duration
	initiatorIndex  int           // this initiator's index in the fleet, from 0
	startedAt       time.Duration // time of the first step
	warmServiceTime float64       // mean service time at warm endpoints, in seconds; 0: unknown
	warmConcurrency float64       // mean requests in flight at a warm endpoint
	volumes         map[string]*volume
	requests        map[string]*request
	queues          []*shardQueue
	endpoints       []*endpoint
	byID            map[string]*endpoint
	orderedExtents  map[string]*orderedExtent
	deadlines       deadlineHeap
	processes       processGroup
	// Recent requests and retries, for the retry budget; when the next timer is due, when the next work is due, and
	// when idle state was last dropped; how long this process was paused before this step (0: it was not); when to
	// subscribe to the list, and the backoff after that.
	recentRequests, recentRetries                                      []time.Duration
	timerAt, wakeAt, sweptAt, pausedFor, subscribeAt, subscribeBackoff time.Duration

	sendable []*request // scratch: requests of the current queue that may be sent now
	actions  []Action
}

// New returns a scheduler for the given settings, or an error if they are invalid.
func New(set Settings, seed uint64) (*Scheduler, error) {
	if len(set.Classes) == 0 || len(set.Plans) == 0 {
		return nil, errors.New("settings need at least one class and one plan")
	}
	if set.Initiators < 1 {
		return nil, fmt.Errorf("settings have %d initiators, want at least 1", set.Initiators)
	}
	s := &Scheduler{settings: cloneSettings(set), rng: rand.New(rand.NewPCG(seed, seed)), minObjective: never,
		classes: map[string]*Class{}, plans: map[string]*Plan{}, rejected: map[requestIdentity]*request{},
		volumes: map[string]*volume{}, requests: map[string]*request{},
		byID: map[string]*endpoint{}, orderedExtents: map[string]*orderedExtent{},
		timerAt: never, subscribeAt: never, startedAt: never, subscribeBackoff: time.Second,
	}
	s.settings.MeanUnits = max(set.MeanUnits, 1e-3)
	if s.initiatorIndex = set.InitiatorIndex - 1; s.initiatorIndex < 0 {
		s.initiatorIndex = s.rng.IntN(set.Initiators)
	}
	if set.SubscribeToList {
		s.subscribeAt = 0
	}
	for i := range s.settings.Classes {
		c := &s.settings.Classes[i]
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return nil, fmt.Errorf("class %q needs a latency objective and a deadline", c.Name)
		}
		s.classes[c.Name] = c
		s.minObjective = min(s.minObjective, c.LatencyObjective)
	}
	for i := range s.settings.Plans {
		s.plans[s.settings.Plans[i].Name] = &s.settings.Plans[i]
	}
	return s, nil
}

// Step processes the events that happened up to now and returns the actions to carry out. The slice is valid until the
// next Step.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now, s.startedAt, s.actions = now, min(s.startedAt, now), s.actions[:0]
	// A timer that fires late means that this process was paused; the delay must not be attributed to endpoints.
	s.pausedFor = 0
	if delay := now - s.timerAt; delay >= 0 {
		s.timerAt = never
		if delay > s.minObjective/timersPerObjective {
			s.pausedFor = delay
		}
	}
	idle := now < s.wakeAt // set to false below by any event but a timer
	for _, e := range events {
		_, isTimer := e.(TimerFired)
		idle = idle && isTimer
		switch e := e.(type) {
		case EndpointList:
			s.handleList(e)
		case Request:
			s.handleRequest(e)
		case Outcome:
			s.handleOutcome(e)
		case ResponseStarted:
			if r := s.requests[e.ID]; r != nil && r.heapIndex >= 0 {
				heap.Remove(&s.deadlines, r.heapIndex)
			}
		case ClientGone:
			if r := s.requests[e.ID]; r != nil && !r.answered {
				s.finishRequest(r)
			}
		case ProcessCount:
			s.processes.resize(e.Processes, s.now, s.settings.Rules.OverloadWindow)
		case ProbeResult:
			s.applyProbeResult(e)
		case TimerFired: // may be slightly early, since the driver may round
			s.timerAt = never
		}
	}
	if !idle {
		s.answerExpired()
		s.rebalanceNewObjects()
		for _, l := range s.queues {
			s.releaseQueue(l)
		}
		s.answerExpired() // objectives may have expired during release
	}
	if now-s.sweptAt > idleObjectives*s.minObjective {
		s.sweep(s.sweptAt) // what was idle for a whole period starts from fresh state, as after a synchronization point
		s.sweptAt = now
	}
	s.scheduleTimer()
	return s.actions
}

// ---- Tags ----

// refillRate is the rate at which the volume's bucket is refilled at this initiator (rho in the paper): the plan's rate
// times this initiator's share of the volume's recent usage, or an even share while no recent usage report is known.
func (s *Scheduler) refillRate(v *volume) float64 {
	share := 1 / v.initiators
	if s.settings.UsagePeriod > 0 && v.totalUsageAt > 0 && s.now-v.totalUsageAt < usageFreshPeriods*s.settings.UsagePeriod && v.totalUsage > 0 {
		share = min(1, max(minUsageShare/v.initiators, s.ownUsageRate(v)/v.totalUsage))
	}
	return max(v.plan.Rate*share, 1e-3)
}

// bucketDepth is the capacity of the volume's bucket in units (sigma in the paper): one second of its rate and the
// largest request, in the units by which value is counted.
func (s *Scheduler) bucketDepth(v *volume) float64 {
	return max(v.plan.ReservedRate, v.plan.Rate)/v.initiators + max(s.settings.MaxUnits, s.settings.MeanUnits)
}

func (s *Scheduler) ownUsageRate(v *volume) float64 {
	tau := 2 * s.settings.UsagePeriod.Seconds()
	return v.ownUsage * math.Exp(-(s.now-v.ownUsageAt).Seconds()/tau)
}

// recordUsage adds a served request to the volume's own usage, and averages in the total usage that the endpoint
// reported.
func (s *Scheduler) recordUsage(v *volume, units float64, encodedUsage int) {
	if s.settings.UsagePeriod <= 0 {
		return
	}
	v.ownUsage, v.ownUsageAt = s.ownUsageRate(v)+units/(2*s.settings.UsagePeriod.Seconds()), s.now
	if reported := float64(encodedUsage-1) / 100 * v.plan.Rate; encodedUsage > 0 {
		if v.totalUsageAt == 0 {
			v.totalUsage = reported
		}
		v.totalUsage, v.totalUsageAt = v.totalUsage+(reported-v.totalUsage)*0.3, s.now
	}
}

// assignTags assigns the request's start and finish tags from the volume's bucket and the queue's tags.
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

// refundTags returns the units of a request that will not be served in time to the volume's bucket, and makes the
// volume's later tags earlier, so that it does not delay them.
func (s *Scheduler) refundTags(r *request) {
	f := r.queue.flow(r.volume)
	r.volume.tokens += r.Units
	refund := toDuration(r.Units / s.refillRate(r.volume))
	for _, q := range r.queue.requests {
		if q.volume == r.volume && q.startTag > r.startTag {
			q.startTag, q.finishTag = q.startTag-refund, q.finishTag-refund
		}
	}
	f.maxStartTag -= refund
}

// synchronize is a synchronization point of fair queuing: the endpoint has capacity and no request is eligible. All
// tags of the queue become earlier by the smallest gap, and the buckets of its volumes without backlog at this
// initiator are filled up.
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

// ---- Release ----

// releaseQueue sends requests while the queue's endpoint has capacity.
func (s *Scheduler) releaseQueue(l *shardQueue) {
	l.wakeAt = never
	for l.endpoint != nil && len(l.requests) > 0 {
		if wait := s.reuseConnectionUntil(l); wait > s.now {
			l.wakeAt = min(l.wakeAt, wait)
			return
		}
		hasSlot := s.hasCapacity(l.endpoint, 0)
		if !hasSlot && !(s.hasCapacity(l.endpoint, maxExtentRun-1) && slices.ContainsFunc(l.requests, l.endpoint.continuesExtent)) {
			return // without checking every queued request at each event
		}
		r := s.pickNext(l, hasSlot)
		if r == nil {
			return
		}
		s.send(r, l)
	}
}

// reuseConnectionUntil returns until when a queue waits for a connection that is in use instead of having another one
// opened, if the settings give a new connection a cost. It lasts until half of the first request's objective has passed
// at the latest; two thirds are no better.
func (s *Scheduler) reuseConnectionUntil(l *shardQueue) time.Duration {
	n, r := l.endpoint, l.requests[0]
	if s.settings.ConnectCost <= 0 || len(n.inFlight) == 0 || len(n.inFlight) < n.maxInFlight {
		return 0
	}
	return min(r.objectiveAt-toDuration(2*s.expectedLatency(n)*s.relativeSize(r.Units)), r.objectiveAt-r.class.LatencyObjective/2)
}

// continuesExtent reports whether the request may be sent ahead of others because it is for the extent of the last one
// sent.
func (n *endpoint) continuesExtent(r *request) bool {
	return n.extentRun < maxExtentRun && r.Extent != "" && r.Extent == n.lastExtent && r.attempts == 0
}

// pickNext returns the request to send next: of those that can meet their objective the eligible one with the smallest
// finish tag, or one for the same extent as the last; at a synchronization point the one with the smallest start tag;
// on an idle endpoint the deferred one with the largest value for a unit.
func (s *Scheduler) pickNext(l *shardQueue, hasSlot bool) *request {
	n := l.endpoint
	var bestEligible, nextEligible, bestDeferred, sameExtent *request
	s.filterSendable(l)
	for _, r := range s.sendable {
		switch {
		case r.deferred:
			if bestDeferred == nil || r.valuePerUnit > bestDeferred.valuePerUnit {
				bestDeferred = r
			}
		case r.startTag > s.now:
			if nextEligible == nil || r.startTag < nextEligible.startTag || r.startTag == nextEligible.startTag && r.finishTag < nextEligible.finishTag {
				nextEligible = r
			}
		default:
			if bestEligible == nil || r.finishTag < bestEligible.finishTag {
				bestEligible = r
			}
			if n.continuesExtent(r) && (sameExtent == nil || r.finishTag < sameExtent.finishTag) {
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
		s.synchronize(l, nextEligible.startTag-s.now)
		return nextEligible
	case bestDeferred != nil && len(n.inFlight) == 0:
		return bestDeferred
	}
	return nil
}

// filterSendable fills sendable with the requests that may be sent now. One that cannot meet its objective any more
// expires. If the rest cannot all meet theirs, those with the least value for a unit are deferred: in earliest-deadline
// order all would be served slightly too late. This does harm where the latency is overestimated.
func (s *Scheduler) filterSendable(l *shardQueue) {
	n := l.endpoint
	s.sendable = s.sendable[:0]
	expected, baseWeight := s.expectedLatency(n), s.freshness(n.lastAnswerAt)
	work, serviceTimePerUnit := 0.0, expected/n.concurrencyLimit/s.settings.MeanUnits
	for _, r := range l.requests { // in order of objective
		if wait := s.earliestSend(r, l); wait > s.now {
			l.wakeAt = min(l.wakeAt, wait)
			continue
		}
		// The base latency loses weight while no answer renews it. Otherwise one slow answer could expire a class for
		// ever.
		if s.now+toDuration(n.baseLatency*baseWeight*s.relativeSize(r.Units)) > r.objectiveAt {
			s.expireObjective(r)
		}
		if r.pastObjective {
			continue
		}
		s.sendable = append(s.sendable, r)
		r.deferred, r.valuePerUnit = false, s.valuePerUnit(r)
		finishAlone := s.now + toDuration(expected*s.relativeSize(r.Units))
		work += r.Units
		for finishAlone+toDuration((work-r.Units)*serviceTimePerUnit) > r.objectiveAt && !r.deferred {
			least := r
			for _, q := range s.sendable {
				if !q.deferred && q.valuePerUnit < least.valuePerUnit {
					least = q
				}
			}
			least.deferred, n.congestedAt = true, s.now
			work -= least.Units
		}
	}
}

// expireObjective marks a request that cannot meet its objective any more: it is answered before the step ends. Waiting
// longer would hold a connection that its client needs for the next request, and a late answer has almost no value.
func (s *Scheduler) expireObjective(r *request) {
	if r.pastObjective {
		return
	}
	r.pastObjective, r.answerBy = true, s.now
	if r.queue.endpoint != nil {
		r.queue.endpoint.congestedAt = s.now
	}
	s.refundTags(r)
	if r.heapIndex >= 0 {
		heap.Fix(&s.deadlines, r.heapIndex)
	}
}

// relativeSize is the service time of a request of that many units, relative to a request of mean size.
func (s *Scheduler) relativeSize(units float64) float64 { return (1 + units/s.settings.MeanUnits) / 2 }

// valuePerUnit is the value of serving one unit of the request: full while its volume's reserved rate is not used up,
// the fair-share value once its start tag has passed, and less the further in the future its start tag is.
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

// reserveAvailable refills the bucket of the volume's reserved rate and returns its units: the work that still has its
// full value here.
func (s *Scheduler) reserveAvailable(v *volume) float64 {
	rate := v.plan.ReservedRate * s.refillRate(v) / max(v.plan.Rate, 1e-3)
	v.reserveTokens = min(rate+s.settings.MaxUnits, v.reserveTokens+(s.now-v.reserveTokensAt).Seconds()*rate)
	v.reserveTokensAt = s.now
	return v.reserveTokens
}

// hasCapacity reports whether the endpoint may have another attempt in flight, with extra beyond its limit. An attempt
// that is overdue far beyond the usual latency is not counted: it was lost, or no other request would be sent.
func (s *Scheduler) hasCapacity(n *endpoint, extra int) bool {
	active := 0
	for _, r := range n.inFlight {
		if s.now-r.attemptStartedAt < s.silenceTimeout(n) {
			active++
		}
	}
	if s.isFaulty(n) {
		return active == 0
	}
	return float64(active) < math.Floor(n.concurrencyLimit)+float64(extra)
}

// send sends r to the queue's endpoint. No other function emits Send.
func (s *Scheduler) send(r *request, l *shardQueue) {
	n := l.endpoint
	permit := s.reserveQuota(n, r)
	r.dequeue()
	if n.lastExtent == r.Extent {
		n.extentRun++
	} else {
		n.lastExtent, n.extentRun = r.Extent, 1
	}
	if r.attempts > 0 {
		s.recentRetries = append(dropOlderTimes(s.recentRetries, s.now-s.settings.Rules.RetryBudgetWindow-2*s.settings.MinStep), s.now)
	} else {
		r.volume.reserveTokens = max(0, s.reserveAvailable(r.volume)-r.Units)
	}
	if !r.rateLimitCharged {
		r.volume.rateLimitTokens, r.rateLimitCharged = r.volume.rateLimitTokens-r.Units, true
	}
	if s.settings.Rules.OverloadWindow > 0 {
		n.chargeCold(s.now, r.Units, s.isCold(n))
		l.sentRate.add(s.now, r.Units, s.settings.Rules.WarmUpTime)
	}
	r.attempts++
	r.inFlightAt, r.attemptStartedAt = n, s.now
	n.inFlight = append(n.inFlight, r)
	n.maxInFlight = max(n.maxInFlight, len(n.inFlight))
	wait, within := min(s.attemptTimeout(n, r), max(r.deadlineAt-s.now, s.settings.MinStep)), time.Duration(0)
	if r.mayHaveRun && r.class.Effect == IdempotentWithKey {
		within = max(s.dedupDeadline(r)-s.now, 1) // the attempt may have to wait for a connection
	}
	s.emit(Action{Kind: Send, Request: r.ID, Endpoint: n.ID, Wait: wait, StartTagWait: r.startTagWait(s.now),
		Permit: permit, SendWithin: within})
}

// ---- Endpoint health ----

// handleList applies the list. A draining or removed endpoint gets no new attempt from then on.
func (s *Scheduler) handleList(e EndpointList) {
	if e.Failed {
		if s.settings.SubscribeToList {
			s.subscribeAt, s.subscribeBackoff = s.now+s.subscribeBackoff, min(2*s.subscribeBackoff, 8*time.Second)
		}
		return
	}
	s.subscribeBackoff = time.Second
	listed := map[string]bool{}
	for _, entry := range e.Endpoints {
		listed[entry.ID] = true
		n := s.byID[entry.ID]
		if n == nil {
			n = &endpoint{Endpoint: Endpoint{ID: entry.ID}, concurrencyLimit: 2, lastAnswerAt: s.now, reportedLoad: -1}
			s.byID[entry.ID] = n
			s.endpoints = append(s.endpoints, n)
		}
		if entry.Started != n.Started && s.now-entry.Started < s.settings.Rules.WarmUpTime {
			n.trafficShare = s.estimateTrafficShare(entry.Shard) // by the traffic from before the restart
			n.concurrencyLimit, n.failureStreak, n.latency, n.reportedLoad, n.coldCredit = 1, 0, 0, -1, nil
		}
		n.Endpoint = entry
	}
	for _, n := range s.endpoints {
		if e.Full && !listed[n.ID] {
			n.State = Removed
		}
		if n.State == Up && n.Shard >= 0 {
			s.queueOf(n.Shard)
		}
	}
	for _, l := range s.queues {
		l.endpoint = nil
		for _, n := range s.endpoints {
			if n.Shard == l.shard && n.State == Up && (l.endpoint == nil || n.Started > l.endpoint.Started) {
				l.endpoint = n
			}
		}
	}
}

// silenceTimeout is how long an endpoint may not answer at all before it counts as silent.
func (s *Scheduler) silenceTimeout(n *endpoint) time.Duration {
	return max(s.minObjective, toDuration(silenceFactor*n.latency))
}

// expectedLatency is the latency to expect now from answers or load reports. It decays to the base latency while
// neither is renewed, so that an initiator that sends less after a slow phase does not do so for ever.
func (s *Scheduler) expectedLatency(n *endpoint) float64 {
	observed := (n.latency - n.baseLatency) * s.freshness(n.lastAnswerAt)
	reported := n.baseLatency * latencyPerLoad * max(0, n.reportedLoad-freeLoad) * s.freshness(n.lastReportAt)
	return n.baseLatency + max(observed, reported)
}

// freshness is the weight of an observation made at that time.
func (s *Scheduler) freshness(at time.Duration) float64 {
	return math.Exp(-(s.now - at).Seconds() / (freshnessObjectives * s.minObjective.Seconds()))
}

// handleLoadReport records an endpoint's load report as one more estimate of its latency: requests that queue there are
// answered first. Where reports are missing the answers decide; implausible reports are ignored.
func (s *Scheduler) handleLoadReport(n *endpoint, report *Load) {
	if report == nil || n.latency == 0 {
		return
	}
	load := report.InFlight
	if report.Queued >= 0 {
		load = report.Queued + freeLoad
	}
	if load >= 0 && load < 1e6 {
		n.reportedLoad, n.lastReportAt = load, s.now
	}
}

// isFaulty reports whether the endpoint is silent (an attempt is overdue far beyond the usual latency and no answer has
// arrived since it was sent) or has failed several times in a row. Whatever the cause, a faulty endpoint gets one
// attempt at a time.
func (s *Scheduler) isFaulty(n *endpoint) bool {
	if n.failureStreak >= 3 {
		return true
	}
	for _, r := range n.inFlight {
		if s.now-r.attemptStartedAt > s.silenceTimeout(n) && n.lastAnswerAt <= r.attemptStartedAt {
			return true
		}
	}
	return false
}

// attemptTimeout is the timeout of an attempt. It is long: no other endpoint has the data, so a premature retry only
// adds load, even where answers get lost. It frees the slot of an attempt that was lost.
func (s *Scheduler) attemptTimeout(n *endpoint, r *request) time.Duration {
	return max(4*r.class.LatencyObjective, toDuration(2*silenceFactor*n.latency))
}

// learnFromOutcome updates concurrency limit and latency from the end of an attempt. The limit follows PARDA: it is
// adjusted towards a latency of targetLatencyRatio times the base latency, and grows only while it is used up.
func (s *Scheduler) learnFromOutcome(n *endpoint, r *request, e Outcome) {
	switch e.Code {
	case Served:
		if s.isFaulty(n) {
			n.concurrencyLimit = 1
		}
		n.failureStreak, n.blockedUntil = 0, 0
		if s.settings.Rules.OverloadWindow > 0 {
			n.coldCredit = append(n.coldCredit, timedUnits{s.now, r.Units})
		}
		latencyPerRequest := e.Latency.Seconds() / s.relativeSize(r.Units)
		if s.pausedFor > 0 {
			n.lastAnswerAt = s.now
			return
		}
		s.updateWarmEstimates(n, latencyPerRequest, e.Load)
		if n.latency == 0 {
			n.latency, n.baseLatency = latencyPerRequest, latencyPerRequest
		}
		gain := max(learningGain, 1-s.freshness(n.lastAnswerAt))
		if latencyPerRequest < n.baseLatency {
			n.baseLatency += (latencyPerRequest - n.baseLatency) * gain
		} else {
			n.baseLatency += (latencyPerRequest - n.baseLatency) * learningGain / 8
		}
		n.latency += (latencyPerRequest - n.latency) * gain
		n.lastAnswerAt = s.now
		target := targetLatencyRatio * n.baseLatency
		if s.now-n.congestedAt > uncongestedObjectives*s.minObjective {
			target *= 2 // without congestion the order at the endpoint does not matter
		}
		next := n.concurrencyLimit*min(2, target/max(n.latency, 1e-6)) + limitIncrease
		if next < n.concurrencyLimit || float64(len(n.inFlight)) >= math.Floor(n.concurrencyLimit) {
			n.concurrencyLimit += (next - n.concurrencyLimit) * learningGain
		}
		// The limit is at least an even share of the requests that the endpoint serves at once: with two initiators at
		// a limit of 1 cores idled, above all after a fault has lowered it, and a link that fell silent is one.
		n.concurrencyLimit = min(maxConcurrencyLimit, max(1, freeLoad/float64(s.settings.Initiators), n.concurrencyLimit))
	case Rejected:
		n.concurrencyLimit = max(1, n.concurrencyLimit/2)
		n.lastAnswerAt = s.now
		n.blockedUntil = s.now + toDuration(n.latency)
	case AnsweredError, NotConnected, ConnectionReset, TimedOut:
		if e.Code == TimedOut && e.Latency < s.silenceTimeout(n) {
			// The client's deadline was short: the endpoint's latency is at least this, but that is no failure.
			n.latency += max(0, e.Latency.Seconds()-n.latency) * learningGain
			return
		}
		n.failureStreak++
		if e.Code == AnsweredError {
			n.failureStreak -= errorFailureDiscount
		}
		if e.Code == TimedOut {
			n.concurrencyLimit = max(1, n.concurrencyLimit/2)
			return
		}
		n.lastAnswerAt = s.now
		n.blockedUntil = s.now + s.silenceTimeout(n)*time.Duration(max(0, min(n.failureStreak, 4)-1)*16)/64
	}
}

// ---- Attempts and final answers ----

func (s *Scheduler) handleRequest(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	s.recentRequests = append(dropOlderTimes(s.recentRequests, s.now-s.settings.Rules.RetryBudgetWindow), s.now)
	class, plan := s.classes[e.Class], s.plans[e.Plan]
	if class == nil || plan == nil || e.TimeLeft <= 0 {
		s.emit(Action{Kind: Reject, Request: e.ID})
		return
	}
	e.TimeLeft = min(e.TimeLeft, class.Deadline) // no client waits longer
	v := s.volumes[e.Volume]
	if v == nil {
		v = &volume{plan: plan, initiators: float64(max(1, e.VolumeInitiators)), tokensAt: s.now, rateLimitTokensAt: s.now}
		v.tokens = s.bucketDepth(v)
		s.volumes[e.Volume] = v
	}
	v.initiators = float64(max(1, e.VolumeInitiators))
	e.Units = max(e.Units, 0)
	r := &request{Request: e, class: class, volume: v, firstSeenAt: s.now, queuedSince: s.now, deadlineAt: s.now + e.TimeLeft}
	r.answerBy = s.now + max(e.TimeLeft/2-4*s.settings.MinStep, s.settings.MinStep)
	r.objectiveAt = s.now + class.LatencyObjective
	if waited := class.Deadline - e.TimeLeft; s.pausedFor > 0 && waited < s.pausedFor+s.minObjective/timersPerObjective {
		r.objectiveAt -= waited
	}
	// The retry of a request that this initiator rejected has used up part of its objective. It is recognized by its
	// identity within the class's deadline: a short remaining time alone may mean a client with a short timeout.
	if first := s.rejected[r.identity()]; first != nil && s.now+e.TimeLeft <= first.firstSeenAt+class.Deadline+2*s.settings.MinStep {
		r.firstSeenAt, r.objectiveAt = first.firstSeenAt, first.firstSeenAt+class.LatencyObjective
		delete(s.rejected, r.identity())
	}
	r.objectiveAt = min(r.objectiveAt, r.deadlineAt-2*s.settings.MinStep)
	r.answerBy = min(r.answerBy, r.objectiveAt)
	s.requests[r.ID] = r
	heap.Push(&s.deadlines, r)
	v.backlog++
	if class.Ordered && r.Extent != "" {
		k := s.orderedExtents[r.Extent]
		if k == nil {
			k = &orderedExtent{}
			s.orderedExtents[r.Extent] = k
		}
		k.queue = append(k.queue, r)
	}
	r.queue = s.placeRequest(r)
	if r.objectiveAt <= s.now { // a retry that arrives after its objective
		r.pastObjective = true // answered after all events of this step: its client may have disconnected
		return
	}
	s.assignTags(r, r.queue)
	r.queue.enqueue(r)
}

func (s *Scheduler) handleOutcome(e Outcome) {
	r := s.requests[e.ID]
	if r == nil || r.inFlightAt == nil || e.Attempt != r.attempts-1 {
		return
	}
	n := r.inFlightAt
	s.learnFromOutcome(n, r, e)
	s.handleLoadReport(n, e.Load)
	n.inFlight = removeRequest(n.inFlight, r)
	r.inFlightAt, r.queuedSince = nil, s.now
	if e.Code == Served {
		s.recordUsage(r.volume, r.Units, e.VolumeUsage)
	}
	outcomeUncertain := e.Code == TimedOut || e.Code == ConnectionReset || e.Code == Cancelled
	if k := s.orderedExtents[r.Extent]; k != nil && r.class.Ordered && outcomeUncertain {
		k.quietUntil = max(k.quietUntil, s.now+s.settings.Rules.OrderedQuietTime)
	}
	if e.Code != NotConnected && e.Code != NotSent {
		r.answerBy = r.objectiveAt // an attempt was sent, so a retry is awaited up to the objective
	}
	if e.Code.MayHaveRun() && !r.mayHaveRun {
		r.mayHaveRun, r.ranInZone, r.ranInShard, r.firstRanAt = true, n.Zone, n.Shard, r.attemptStartedAt
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
		r.notBefore = s.now + s.silenceTimeout(n)*time.Duration(r.attempts)/8
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
	if r.BoundEndpoint != "" || s.settings.MaxAttempts > 0 && r.attempts >= s.settings.MaxAttempts { // its body is gone, or it has no attempt left
		return false
	}
	return !r.mayHaveRun || r.class.Effect == Idempotent ||
		r.class.Effect == IdempotentWithKey && !r.MissingKey && s.now < s.dedupDeadline(r)
}

// dedupDeadline is the time until which endpoints are certain to drop a repeat: a little before the deduplication
// window ends, since sending takes time.
func (s *Scheduler) dedupDeadline(r *request) time.Duration {
	return r.firstRanAt + r.class.DedupWindow - 4*s.settings.MinStep
}

// answerUnserved gives the final answer: Reject where a client's retry is safe, otherwise Fail.
func (s *Scheduler) answerUnserved(r *request) {
	c, kind, wait := r.class, Reject, time.Duration(0)
	if r.pastObjective {
		wait = r.deadlineAt - s.now // a retry would miss the objective as well
	} else if r.startTag > s.now {
		wait = r.startTag - s.now // the volume exceeds its rate until then
	}
	if r.mayHaveRun && c.Effect != Idempotent && (c.Effect != IdempotentWithKey || c.DedupScope != DedupFleet || r.MissingKey) {
		kind, wait = Fail, 0
	}
	end := Action{Kind: kind, Request: r.ID, Wait: wait, StartTagWait: r.startTagWait(s.now)}
	if r.queue.endpoint != nil {
		end.Endpoint = r.queue.endpoint.ID
	}
	s.emit(end)
	s.rejected[r.identity()] = r
	s.rejectedInOrder = append(s.rejectedInOrder, r)
	for len(s.rejectedInOrder) > 0 && s.now > s.rejectedInOrder[0].firstSeenAt+s.rejectedInOrder[0].class.Deadline {
		if old := s.rejectedInOrder[0]; s.rejected[old.identity()] == old {
			delete(s.rejected, old.identity())
		}
		s.rejectedInOrder = s.rejectedInOrder[1:]
	}
	s.finishRequest(r)
}

// finishRequest marks the request as answered. It is kept while an attempt is in flight.
func (s *Scheduler) finishRequest(r *request) {
	r.answered = true
	if r.heapIndex >= 0 {
		heap.Remove(&s.deadlines, r.heapIndex)
	}
	if r.inFlightAt == nil {
		r.dequeue()
		s.forget(r)
	}
}

// answerExpired answers the queued requests that cannot meet their objective any more, and those without an attempt
// after half of their time: serving them late has almost no value, and clients pay for the wait.
func (s *Scheduler) answerExpired() {
	for len(s.deadlines) > 0 {
		r := s.deadlines[0]
		if r.answerBy > s.now {
			return
		}
		if r.inFlightAt != nil {
			// The attempt times out at the deadline at the latest; its outcome answers or requeues the request.
			heap.Pop(&s.deadlines)
			continue
		}
		if s.now >= r.objectiveAt {
			s.expireObjective(r)
		}
		s.answerUnserved(r)
	}
}

// scheduleTimer sets a timer for the next work that is due.
func (s *Scheduler) scheduleTimer() {
	if s.subscribeAt <= s.now {
		s.subscribeAt = never
		s.emit(Action{Kind: Subscribe})
	}
	next := s.subscribeAt
	if len(s.deadlines) > 0 {
		next = min(next, s.deadlines[0].answerBy)
	}
	for _, l := range s.queues {
		if len(l.requests) > 0 {
			next = min(next, l.wakeAt)
		}
	}
	s.wakeAt, next = next, min(next, s.now+s.minObjective/timersPerObjective)
	if next < s.timerAt {
		s.timerAt = next
		s.emit(Action{Kind: SetTimer, Wait: max(next-s.now, s.settings.MinStep)})
	}
}

// ---- Admission rules ----

// earliestSend is the single gate that every send passes. It returns the time from which r may be sent to the queue's
// endpoint, or a later one at which to check again.
func (s *Scheduler) earliestSend(r *request, l *shardQueue) time.Duration {
	n := l.endpoint
	if r.BoundEndpoint != "" && r.BoundEndpoint != n.ID {
		s.expireObjective(r) // the rest of its body was sent to another endpoint
		return never
	}
	at := max(r.notBefore, n.blockedUntil, s.orderGate(r), s.coldGate(n, r), s.rateLimitGate(r), s.quotaGate(n, r))
	if r.attempts > 0 {
		at = max(at, s.retryBudgetGate(n, r))
		c := r.class
		inDedupScope := n.Zone == r.ranInZone && (c.DedupScope == DedupZone || n.Shard == r.ranInShard)
		if r.mayHaveRun && c.Effect == IdempotentWithKey && c.DedupScope != DedupFleet && !inDedupScope || !s.mayRetry(r) {
			return never
		}
	}
	return at
}

// orderGate lets requests of an ordered extent run one at a time, in the order in which they arrived.
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

// coldGate keeps what all initiators together send to a cold endpoint within its capacity (docs/design.md, Cold nodes).
// Half of the capacity is divided evenly, which needs no communication; the other half is earned: each answered unit
// allows another one. Where an even share is less than one mean request, the shares follow the traffic.
func (s *Scheduler) coldGate(n *endpoint, r *request) time.Duration {
	ru, units := s.settings.Rules, r.Units
	// Also while the endpoint is warm, since the list may announce a restart late.
	n.coldSent = dropOlderUnits(n.coldSent, s.now-ru.OverloadWindow-s.settings.MinStep)
	creditLifetime := time.Duration(float64(ru.OverloadWindow) * max(0, ru.OverloadFactor/2-1)) // how long an answered unit is credit
	n.coldCredit = dropOlderUnits(n.coldCredit, s.now-creditLifetime+s.settings.MinStep)
	if !s.isCold(n) {
		return 0 // before the sums below, since this runs for every queued request in every step
	}
	if at, governed := s.quotaWait(ColdWork, n, r, units); governed {
		return at
	}
	evenFraction, sent := s.processes.fraction(s.now)/float64(s.settings.Initiators), sumUnits(n.coldSent)
	share := s.settings.ColdUnitsPerWindow * s.warmUpGrowth(n) * evenFraction
	if creditLifetime > 0 {
		share /= 2
	}
	shareBelowRequest := share < s.settings.MeanUnits
	reportsLittleLoad := len(n.inFlight) == 0 && n.reportedLoad >= 0 && n.reportedLoad <= maxColdLoad && s.now-n.lastReportAt < ru.OverloadWindow
	if shareBelowRequest && reportsLittleLoad || !shareBelowRequest && sumUnits(n.coldCredit) >= units {
		return 0
	}
	if n.Started < s.startedAt && s.now-s.startedAt < ru.OverloadWindow {
		return s.startedAt + ru.OverloadWindow // it is unknown what the previous process sent
	}
	if shareBelowRequest { // shares follow the traffic; the answered units have as much as the endpoint serves in the window
		share, n.coldCredit = s.coldCapacity(n)*(1-1/max(ru.OverloadFactor, 2))*evenFraction*n.trafficShare, nil
	}
	// If a request is larger than the share, only so many initiators send one that their requests fit into the shares
	// of all. They are different ones for each endpoint.
	if sent+units <= share || sent == 0 && units*s.initiatorRank(n) <= share {
		return 0
	}
	return s.now + ru.OverloadWindow/16
}

// coldCapacity is the units that a cold endpoint can take within the overload window from all initiators, at the
// slowest allowed warm-up: the configured value or, if larger, one computed from warm endpoints (Little's law).
// Requests take longer while the endpoint is cold.
func (s *Scheduler) coldCapacity(n *endpoint) float64 {
	ru, grown := s.settings.Rules, s.warmUpGrowth(n)
	configured := s.settings.ColdUnitsPerWindow * grown
	if s.warmServiceTime <= 0 || ru.ColdCapacityFraction <= 0 {
		return configured
	}
	serviceTime := max(n.latency, s.warmServiceTime/(ru.ColdCapacityFraction*grown)) / max(1, s.warmConcurrency)
	return max(configured, s.settings.MeanUnits*ru.OverloadFactor*ru.OverloadWindow.Seconds()/serviceTime)
}

// estimateTrafficShare estimates this initiator's traffic to a shard relative to an even share: what it sent, compared
// with what its endpoint and warm ones had in flight in the same time. Little traffic means little, so a prior of one
// request for each initiator in each overload window of a warm-up is added. The mean over all initiators is one.
func (s *Scheduler) estimateTrafficShare(shard int) float64 {
	if s.warmServiceTime <= 0 {
		return 1
	}
	rate := max(1, s.warmConcurrency) / s.warmServiceTime
	for _, n := range s.endpoints {
		if n.Shard == shard && n.latency > 0 {
			rate = max(rate, n.reportedConcurrency/n.latency)
		}
	}
	window, initiatorCount := s.settings.Rules.WarmUpTime, float64(s.settings.Initiators)
	sent := s.queueOf(max(shard, 0)).sentRate.current(s.now, window) / s.settings.MeanUnits
	prior := s.settings.Rules.OverloadWindow.Seconds() / window.Seconds() * initiatorCount
	rate *= window.Seconds() * (1 - math.Exp(-(s.now-s.startedAt).Seconds()/window.Seconds())) // since this process started
	return (sent*initiatorCount + prior) / (rate + prior)
}

// initiatorRank is this initiator's rank among all for an endpoint, in (0, 1], known without communication.
func (s *Scheduler) initiatorRank(n *endpoint) float64 {
	h := fnv.New32a()
	h.Write([]byte(n.ID))
	return (float64((uint32(s.initiatorIndex)+h.Sum32())%uint32(s.settings.Initiators)) + 1) / float64(s.settings.Initiators)
}

// retryBudgetGate keeps retries within the budget. Requests are counted over slightly less than the window and retries
// over slightly more.
func (s *Scheduler) retryBudgetGate(n *endpoint, r *request) time.Duration {
	ru := s.settings.Rules
	if at, governed := s.quotaWait(Retries, n, r, 1); governed {
		return at
	}
	if !ru.RetryBudget {
		return 0
	}
	s.recentRequests = dropOlderTimes(s.recentRequests, s.now-ru.RetryBudgetWindow+2*s.settings.MinStep)
	s.recentRetries = dropOlderTimes(s.recentRetries, s.now-ru.RetryBudgetWindow-2*s.settings.MinStep)
	if float64(len(s.recentRetries)+1) <= ru.RetryBudgetFree*s.processes.fraction(s.now)+ru.RetryBudgetRatio*float64(len(s.recentRequests)) {
		return 0
	}
	return s.now + ru.RetryBudgetWindow/64
}

// rateLimitGate keeps a volume within this initiator's even share of its plan's rate limit. The bucket starts empty,
// since after a restart it is unknown what the previous process sent.
func (s *Scheduler) rateLimitGate(r *request) time.Duration {
	v := r.volume
	if v.plan.RateLimit <= 0 || r.rateLimitCharged {
		return 0
	}
	sharingProcesses := v.initiators / s.processes.fraction(s.now)
	v.rateLimitTokens = min(v.plan.RateLimitBurst/sharingProcesses, v.rateLimitTokens+(s.now-v.rateLimitTokensAt).Seconds()*v.plan.RateLimit/sharingProcesses)
	v.rateLimitTokensAt = s.now
	if v.rateLimitTokens >= r.Units {
		return 0
	}
	return s.now + toDuration((r.Units-v.rateLimitTokens)*sharingProcesses/v.plan.RateLimit) + s.settings.MinStep
}

// ---- Placement of new objects ----

// placeRequest returns the queue for a request: its shard's, or for a new object the one with the smallest expected
// wait.
func (s *Scheduler) placeRequest(r *request) *shardQueue {
	if n := s.byID[r.BoundEndpoint]; n != nil {
		return s.queueOf(n.Shard)
	}
	if r.Shard >= 0 || len(s.queues) == 0 {
		return s.queueOf(max(r.Shard, 0))
	}
	var best *shardQueue
	least, from := math.Inf(1), s.rng.IntN(len(s.queues))
	for i := range s.queues {
		l := s.queues[(from+i)%len(s.queues)]
		if w := s.expectedWait(l); best == nil || w < least {
			best, least = l, w
		}
	}
	return best
}

// expectedWait estimates how long a new request in the queue would take.
func (s *Scheduler) expectedWait(l *shardQueue) float64 {
	n := l.endpoint
	if n == nil {
		return math.Inf(1)
	}
	expected := max(n.latency, 1e-3) * (1 + float64(len(l.requests)+len(n.inFlight))/n.concurrencyLimit)
	if s.isFaulty(n) || n.blockedUntil > s.now {
		expected += 100 * s.minObjective.Seconds()
	}
	if n.Started > 0 && s.now-n.Started < s.settings.Rules.WarmUpTime {
		expected *= 4
	}
	return expected
}

// rebalanceNewObjects moves queued new objects away from queues whose expected wait has become much larger than the
// smallest.
func (s *Scheduler) rebalanceNewObjects() {
	for _, l := range s.queues {
		for i := 0; i < len(l.requests); i++ {
			r := l.requests[i]
			if r.Shard >= 0 || r.mayHaveRun || r.BoundEndpoint != "" {
				continue
			}
			if to := s.placeRequest(r); to != l && 2*s.expectedWait(to) < s.expectedWait(l) {
				r.dequeue()
				to.enqueue(r)
				i--
			}
		}
	}
}
