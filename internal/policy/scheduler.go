package policy

// The interface (settings, events, actions, outcomes) is in api.go; what is kept, in state.go.
//
// Reading order: tagging, release, node health, attempts and final answers, rule guards,
// placement. docs/design.md tells what is RFQ as published and what was added.

import (
	"container/heap"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxExtentRun bounds a run on one extent. Half saves less work, double passes others' deadlines.
	maxExtentRun = 6
	// targetLatencyRatio is how far above its base a node may answer before the depth shrinks: what waits there can
	// no longer be ordered. At 1.25 the simulator's days lost 0.01, at 1.75 0.04.
	targetLatencyRatio = 1.0
	// calmObjectives is how many least aims without a lapsed or set-aside request make a node calm: it may have
	// twice the depth. Half queues more between surges, double idles cores (without: quiet days lose 0.2).
	calmObjectives      = 30
	learningGain        = 0.1  // part by which an answer moves depth and base. Half lags, double is noisy.
	limitIncrease       = 0.25 // depth that each initiator leans on a node with. Half adapts slowly, double queues.
	errorForgiveness    = 0.75 // forgiven of an error: quick ones cost little, so more of them mean trouble.
	maxConcurrencyLimit = 16   // bounds the depth, whatever the estimates. Half would bind a lone host.
	// freshObjectives is how many least aims an answer stays telling: one after a longer gap outweighs all before,
	// and the latency expected falls to the base. Half forgets others' queues, double believes them too long.
	freshObjectives    = 4
	timersPerObjective = 8   // how many timers fit in a least aim, so that own pauses show. Half misses some.
	idleObjectives     = 60  // how many least aims what is idle stays known. Half forgets more, double holds more.
	silenceFactor      = 4   // usual latencies without an answer that make a node quiet. Half takes pauses for it.
	minShareOfEven     = 0.5 // least part of an even share that a host is taken to have. Double makes all even.
	// freeLoad is how many requests a node may report before they tell of a queue: what it serves at once is
	// no wait, and reports are late. At 0, with the part below learned, the simulator's days lost 0.08.
	freeLoad = 4
	// latencyPerLoad is the part of the base latency that each one past them adds. Learned from answers it came out
	// high, as few of those that met a report had met the load in it.
	latencyPerLoad = 0.25
	// maxColdLoad is how many requests a cold node may report for a crowd of initiators to send the next. Half
	// refuses what it would serve in time (0.903 on the fleet's days, 0.919 so), more is no better.
	maxColdLoad       = 8
	usageFreshPeriods = 5 // how many periods a reading of use is believed. Half drops seldom ones, double lags.
)

// Scheduler decides for one initiator. It is not safe for concurrent use.
type Scheduler struct {
	settings        Settings
	rng             *rand.Rand
	now             time.Duration
	classes         map[string]*Class
	plans           map[string]*Plan
	rejected        map[requestIdentity]*request // turned away, and may come again
	rejectedInOrder []*request                   // the same by time
	minObjective    time.Duration
	initiatorIndex  int           // this one's number among the initiators, from 0
	startedAt       time.Duration // the first step
	warmServiceTime float64       // what a mean request takes at warm nodes, in seconds; 0: not known
	warmConcurrency float64       // how many are there meanwhile
	volumes         map[string]*volume
	requests        map[string]*request
	orderedExtents  map[string]*orderedExtent
	deadlines       deadlineHeap
	processes       processGroup
	endpointIndex
	// For the attempt budget; the next timer and what it is for, the last sweep, how long this initiator
	// stood still before this step (0: not), when to ask for the list and how long to wait after that.
	recentRequests, recentRetries                                       []time.Duration
	timerAt, wakeAt, sweptAt, stalledFor, subscribeAt, subscribeBackoff time.Duration

	sendable []*request // what the gate lets through at the lane in hand
	actions  []Action
}

// New returns a scheduler for the given settings, or an error if they cannot be served.
func New(set Settings, seed uint64) (*Scheduler, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{rng: rand.New(rand.NewPCG(seed, seed)), rejected: map[requestIdentity]*request{},
		volumes: map[string]*volume{}, requests: map[string]*request{},
		endpointIndex: newEndpointIndex(), orderedExtents: map[string]*orderedExtent{},
		timerAt: never, subscribeAt: never, startedAt: never, subscribeBackoff: time.Second,
	}
	s.applySettings(set)
	if s.initiatorIndex = set.InitiatorIndex - 1; s.initiatorIndex < 0 {
		s.initiatorIndex = s.rng.IntN(set.Initiators)
	}
	if set.SubscribeToList {
		s.subscribeAt = 0
	}
	return s, nil
}

// Step takes what happened up to now and returns what to do. The slice is valid until the next Step.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now, s.startedAt, s.actions = now, min(s.startedAt, now), s.actions[:0]
	// A timer that comes late: this initiator stood still, and what it finds has waited here, at no node.
	s.stalledFor = 0
	if late := now - s.timerAt; late >= 0 {
		s.timerAt = never
		if late > s.minObjective/timersPerObjective {
			s.stalledFor = late
		}
	}
	idle := now < s.wakeAt // but for what the events bring
	for _, e := range events {
		_, beat := e.(TimerFired)
		idle = idle && beat
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
		case Settings:
			s.adoptSettings(e)
		case TimerFired: // also one a little early: whoever drives the module may round
			s.timerAt = never
		}
	}
	if !idle {
		s.answerExpired()
		s.rebalanceNewObjects()
		for l := range s.eachWaiting() {
			s.releaseQueue(l)
		}
		s.answerExpired() // what has lapsed
	}
	if now-s.sweptAt > idleObjectives*s.minObjective {
		s.sweep(s.sweptAt) // what was idle for that long starts afresh, as after a synchronization point
		s.sweptAt = now
	}
	s.scheduleTimer()
	return s.actions
}

// ---- Tagging ----

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

// ---- Release ----

// releaseQueue sends while the lane's node has room.
func (s *Scheduler) releaseQueue(l *shardQueue) {
	l.wakeAt = never
	for l.endpoint != nil && len(l.requests) > 0 {
		if wait := s.reuseConnectionUntil(l); wait > s.now {
			l.wakeAt = min(l.wakeAt, wait)
			return
		}
		room := s.hasCapacity(l.endpoint, 0)
		if !room && !(s.hasCapacity(l.endpoint, maxExtentRun-1) && slices.ContainsFunc(l.requests, l.endpoint.continuesExtent)) {
			return // without a look at all that is held, which each event would cost where much is
		}
		r := s.pickNext(l, room)
		if r == nil {
			return
		}
		s.send(r, l)
	}
}

// reuseConnectionUntil tells until when the lane makes do with the connections it has to its node, where the settings price
// a handshake: what can wait for one in use until half of its aim is over does so. Two thirds are no better.
func (s *Scheduler) reuseConnectionUntil(l *shardQueue) time.Duration {
	n, r := l.endpoint, l.requests[0]
	if s.settings.ConnectCost <= 0 || len(n.inFlight) == 0 || len(n.inFlight) < n.maxInFlight {
		return 0
	}
	return min(r.objectiveAt-toDuration(2*s.expectedLatency(n)*s.relativeSize(r.Units)), r.objectiveAt-r.class.LatencyObjective/2)
}

// continuesExtent tells whether the request may go on with the extent that the node was sent last.
func (n *endpoint) continuesExtent(r *request) bool {
	return n.extentRun < maxExtentRun && r.Extent != "" && r.Extent == n.lastExtent && r.attempts == 0
}

// pickNext returns what leaves next: of what can make its aim the eligible request of least finish tag, or one of
// the last extent; at a synchronization point the next to become eligible; on an idle node what is set aside.
func (s *Scheduler) pickNext(l *shardQueue, room bool) *request {
	n := l.endpoint
	var best, ahead, aside, follow *request
	s.filterSendable(l)
	for _, r := range s.sendable {
		switch {
		case r.deferred:
			if aside == nil || r.unitValue > aside.unitValue {
				aside = r
			}
		case r.startTag > s.now:
			if ahead == nil || r.startTag < ahead.startTag || r.startTag == ahead.startTag && r.finishTag < ahead.finishTag {
				ahead = r
			}
		default:
			if best == nil || r.finishTag < best.finishTag {
				best = r
			}
			if n.continuesExtent(r) && (follow == nil || r.finishTag < follow.finishTag) {
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
		s.synchronize(l, ahead.startTag-s.now)
		return ahead
	case aside != nil && len(n.inFlight) == 0:
		return aside
	}
	return nil
}

// filterSendable fills ready with the requests that the gate lets through. One that can no longer make its aim lapses;
// where the rest cannot all make it, those that earn least for a unit are set aside for now: earliest
// deadline first would serve each just too late. It harms where the latency is judged too high.
func (s *Scheduler) filterSendable(l *shardQueue) {
	n := l.endpoint
	s.sendable = s.sendable[:0]
	usual, fresh := s.expectedLatency(n), s.freshness(n.lastAnswerAt)
	work, each := 0.0, usual/n.concurrencyLimit/s.settings.MeanUnits
	for _, r := range l.requests { // in order of aim
		if wait := s.earliestSend(r, l); wait > s.now {
			l.wakeAt = min(l.wakeAt, wait)
			continue
		}
		// The base fades while no answer renews it: else one slow answer would bar a class for ever.
		if s.now+toDuration(n.baseLatency*fresh*s.relativeSize(r.Units)) > r.objectiveAt {
			s.expireObjective(r)
		}
		if r.pastObjective {
			continue
		}
		s.sendable = append(s.sendable, r)
		r.deferred, r.unitValue = false, s.unitValue(r)
		alone := s.now + toDuration(usual*s.relativeSize(r.Units))
		work += r.Units
		for alone+toDuration((work-r.Units)*each) > r.objectiveAt && !r.deferred {
			least := r
			for _, q := range s.sendable {
				if !q.deferred && q.unitValue < least.unitValue {
					least = q
				}
			}
			least.deferred, n.congestedAt = true, s.now
			work -= least.Units
		}
	}
}

// expireObjective gives up a request that can no longer make its aim: it is answered before the step is over. Waiting
// on, it would hold a connection that its client needs for the next, and a late answer earns next to nothing.
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

// relativeSize is how much longer than a mean request one of so many units takes.
func (s *Scheduler) relativeSize(units float64) float64 { return (1 + units/s.settings.MeanUnits) / 2 }

// unitValue is what a unit of the request earns: full while its volume's reserve is owed, the share's part
// where its start tag says so, and less the further it is ahead.
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

// reserveAvailable refills and returns what of its reserve the volume may still have served at full worth here.
func (s *Scheduler) reserveAvailable(v *volume) float64 {
	rate := v.plan.ReservedRate * s.refillRate(v) / max(v.plan.Rate, 1e-3)
	v.reserveTokens = min(rate+s.settings.MaxUnits, v.reserveTokens+(s.now-v.reserveTokensAt).Seconds()*rate)
	v.reserveTokensAt = s.now
	return v.reserveTokens
}

// hasCapacity tells whether the node may have another attempt out now, extra of them past the bound. An attempt
// overdue far beyond the usual no longer holds its slot: it was lost, or nothing else would get through.
func (s *Scheduler) hasCapacity(n *endpoint, extra int) bool {
	fresh := 0
	for _, r := range n.inFlight {
		if s.now-r.attemptStartedAt < s.silenceTimeout(n) {
			fresh++
		}
	}
	if s.isFaulty(n) {
		return fresh == 0
	}
	return float64(fresh) < math.Floor(n.concurrencyLimit)+float64(extra)
}

// send is the only way out: it sends r to the lane's node.
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
	s.markUsed(n)
	wait, within := min(s.attemptTimeout(n, r), max(r.deadlineAt-s.now, s.settings.MinStep)), time.Duration(0)
	if r.mayHaveRun && r.class.Effect == IdempotentWithKey {
		within = max(s.dedupDeadline(r)-s.now, 1) // it may wait for a connection yet
	}
	s.emit(Action{Kind: Send, Request: r.ID, Endpoint: n.ID, Wait: wait, TagLead: r.tagLead(s.now),
		Permit: permit, SendWithin: within})
}

// ---- Node health ----

// handleList applies the list. A draining or gone node gets nothing more from that moment on.
func (s *Scheduler) handleList(e EndpointList) {
	if e.Failed {
		if s.settings.SubscribeToList {
			s.subscribeAt, s.subscribeBackoff = s.now+s.subscribeBackoff, min(2*s.subscribeBackoff, 8*time.Second)
		}
		return
	}
	s.subscribeBackoff = time.Second
	named := map[string]bool{}
	for _, x := range e.Endpoints {
		named[x.ID] = true
		n := s.byID[x.ID]
		if n == nil {
			n = &endpoint{Endpoint: Endpoint{ID: x.ID, Shard: x.Shard}, concurrencyLimit: 2, lastAnswerAt: s.now, reportedLoad: -1}
			s.addEndpoint(n)
		}
		if x.Started != n.Started && s.now-x.Started < s.settings.Rules.WarmUpTime {
			n.trafficShare = s.estimateTrafficShare(x.Shard) // by what was sent before
			n.concurrencyLimit, n.failureStreak, n.latency, n.reportedLoad, n.coldServed = 1, 0, 0, -1, nil
		}
		s.updateEndpoint(n, x)
	}
	if e.Full {
		for _, n := range s.endpoints {
			if x := n.Endpoint; !named[n.ID] {
				x.State = Removed
				s.updateEndpoint(n, x)
			}
		}
	}
	for _, n := range s.takeChanged() {
		if n.State == Up && n.Shard >= 0 {
			s.queueOf(n.Shard)
		}
	}
	for _, l := range s.takeStale() {
		l.endpoint = nil
		for _, n := range s.endpointsOf(l.shard) {
			if n.State == Up && (l.endpoint == nil || n.Started > l.endpoint.Started) {
				l.endpoint = n
			}
		}
	}
}

// silenceTimeout is how long a node may owe any answer before it counts as quiet.
func (s *Scheduler) silenceTimeout(n *endpoint) time.Duration {
	return max(s.minObjective, toDuration(silenceFactor*n.latency))
}

// expectedLatency is the latency to expect now: as answers or reports tell, falling to the base while none renews it,
// so that one bad spell is not believed for ever by an initiator that holds back because of it.
func (s *Scheduler) expectedLatency(n *endpoint) float64 {
	seen := (n.latency - n.baseLatency) * s.freshness(n.lastAnswerAt)
	told := n.baseLatency * latencyPerLoad * max(0, n.reportedLoad-freeLoad) * s.freshness(n.lastReportAt)
	return n.baseLatency + max(seen, told)
}

// freshness is how much of what was learned at that time is still believed.
func (s *Scheduler) freshness(at time.Duration) float64 {
	return math.Exp(-(s.now - at).Seconds() / (freshObjectives * s.minObjective.Seconds()))
}

// handleLoadReport takes a node's report for one more sign of its latency: what waits there is answered first. Where
// reports are missing the answers have the word; absurd ones are ignored.
func (s *Scheduler) handleLoadReport(n *endpoint, l *Load) {
	if l == nil || n.latency == 0 {
		return
	}
	load := l.InFlight
	if l.Queued >= 0 {
		load = l.Queued + freeLoad
	}
	if load >= 0 && load < 1e6 {
		n.reportedLoad, n.lastReportAt = load, s.now
	}
}

// isFaulty tells whether the node is quiet (an attempt is overdue far beyond the usual and nothing was heard
// since) or failed several times with nothing served between: whatever the cause, one trial at a time.
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

// attemptTimeout is the time-out of an attempt. It is long: the data is nowhere else, so a premature second attempt
// only adds load, even where answers get lost. It frees the slot of an attempt that was lost.
func (s *Scheduler) attemptTimeout(n *endpoint, r *request) time.Duration {
	return max(4*r.class.LatencyObjective, toDuration(2*silenceFactor*n.latency))
}

// learnFromOutcome updates depth and latency from an attempt's end. The depth follows PARDA: it tends to where the
// node answers in latencyRise times its base, and grows only while it is in use.
func (s *Scheduler) learnFromOutcome(n *endpoint, r *request, e Outcome) {
	switch e.Code {
	case Served:
		if s.isFaulty(n) {
			n.concurrencyLimit = 1
		}
		n.failureStreak, n.blockedUntil = 0, 0
		if s.settings.Rules.OverloadWindow > 0 && r.attemptStartedAt >= s.startedAt {
			n.coldServed = append(n.coldServed, timedUnits{s.now, r.Units})
		}
		took := e.Latency.Seconds() / s.relativeSize(r.Units)
		if s.stalledFor > 0 {
			n.lastAnswerAt = s.now
			return
		}
		s.learnWarm(n, took, e.Load)
		if n.latency == 0 {
			n.latency, n.baseLatency = took, took
		}
		gain := max(learningGain, 1-s.freshness(n.lastAnswerAt))
		if took < n.baseLatency {
			n.baseLatency += (took - n.baseLatency) * gain
		} else {
			n.baseLatency += (took - n.baseLatency) * learningGain / 8
		}
		n.latency += (took - n.latency) * gain
		n.lastAnswerAt = s.now
		goal := targetLatencyRatio * n.baseLatency
		if s.now-n.congestedAt > calmObjectives*s.minObjective {
			goal *= 2 // what waits at the node need not be ordered
		}
		next := n.concurrencyLimit*min(2, goal/max(n.latency, 1e-6)) + limitIncrease
		if next < n.concurrencyLimit || float64(len(n.inFlight)) >= math.Floor(n.concurrencyLimit) {
			n.concurrencyLimit += (next - n.concurrencyLimit) * learningGain
		}
		// Where few share a node, each has its part of what it serves at once: two with one out each idled
		// cores, most after each trouble, and a link that fell silent is one.
		n.concurrencyLimit = min(maxConcurrencyLimit, max(1, freeLoad/float64(s.settings.Initiators), n.concurrencyLimit))
	case TurnedAway:
		n.concurrencyLimit = max(1, n.concurrencyLimit/2)
		n.lastAnswerAt = s.now
		n.blockedUntil = s.now + toDuration(n.latency)
	case AnsweredError, NotConnected, ConnectionReset, TimedOut:
		if e.Code == TimedOut && e.Latency < s.silenceTimeout(n) {
			// The client's patience was short: it tells that the node takes at least this long, no more.
			n.latency += max(0, e.Latency.Seconds()-n.latency) * learningGain
			return
		}
		n.failureStreak++
		if e.Code == AnsweredError {
			n.failureStreak -= errorForgiveness
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
	c, p := s.classes[e.Class], s.plans[e.Plan]
	if c == nil || p == nil || e.TimeLeft <= 0 {
		s.emit(Action{Kind: Reject, Request: e.ID})
		return
	}
	e.TimeLeft = min(e.TimeLeft, c.Deadline) // nobody's patience is longer
	v := s.volumes[e.Volume]
	if v == nil {
		v = &volume{plan: p, initiators: float64(max(1, e.VolumeInitiators)), tokensAt: s.now, rateLimitTokensAt: s.now}
		v.tokens = s.bucketDepth(v)
		s.volumes[e.Volume] = v
	} else if s.plans[v.plan.Name] != v.plan { // the settings have it no more
		s.moveVolume(v, p)
		s.rescaleTags()
		v.tagScale = 0
	}
	v.initiators = float64(max(1, e.VolumeInitiators))
	e.Units = max(e.Units, 0)
	r := &request{Request: e, class: c, volume: v, firstSeenAt: s.now, heldSince: s.now, deadlineAt: s.now + e.TimeLeft}
	r.answerBy = s.now + max(e.TimeLeft/2-4*s.settings.MinStep, s.settings.MinStep)
	r.objectiveAt = s.now + c.LatencyObjective
	if waited := c.Deadline - e.TimeLeft; s.stalledFor > 0 && waited < s.stalledFor+s.minObjective/timersPerObjective {
		r.objectiveAt -= waited
	}
	// A later try of a client that this initiator turned away has spent part of its aim. It is known by
	// asking for the same, within the whole patience; a short budget alone may be an impatient client's.
	if first := s.rejected[r.identity()]; first != nil && s.now+e.TimeLeft <= first.firstSeenAt+c.Deadline+2*s.settings.MinStep {
		r.firstSeenAt, r.objectiveAt = first.firstSeenAt, first.firstSeenAt+c.LatencyObjective
		delete(s.rejected, r.identity())
	}
	r.objectiveAt = min(r.objectiveAt, r.deadlineAt-2*s.settings.MinStep)
	r.answerBy = min(r.answerBy, r.objectiveAt)
	s.requests[r.ID] = r
	heap.Push(&s.deadlines, r)
	v.backlog++
	if c.Ordered && r.Extent != "" {
		k := s.orderedExtents[r.Extent]
		if k == nil {
			k = &orderedExtent{}
			s.orderedExtents[r.Extent] = k
		}
		k.queue = append(k.queue, r)
	}
	r.queue = s.placeRequest(r)
	if r.objectiveAt <= s.now { // a later try of what was turned away, past its aim already
		r.pastObjective = true // answered once all events are known: its client may have left
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
	s.markUsed(n)
	s.learnFromOutcome(n, r, e)
	s.handleLoadReport(n, e.Load)
	n.inFlight = removeRequest(n.inFlight, r)
	r.inFlightAt, r.heldSince = nil, s.now
	if e.Code == Served {
		s.noteUsage(r.volume, r.Units, e.VolumeUsage)
	}
	doubt := e.Code == TimedOut || e.Code == ConnectionReset || e.Code == Cancelled
	if k := s.orderedExtents[r.Extent]; k != nil && r.class.Ordered && doubt {
		k.quietUntil = max(k.quietUntil, s.now+s.settings.Rules.OrderedQuietTime)
	}
	if e.Code != NotConnected && e.Code != NotSent {
		r.answerBy = r.objectiveAt // an attempt was written: its client is not held back for nothing
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
			r.answerBy = s.now // answered once all events are known: its client may have left
		}
		// Further attempts wait a little longer each, the node's gate on top.
		r.notBefore = s.now + s.silenceTimeout(n)*time.Duration(r.attempts)/8
		r.queue.enqueue(r)
		if r.heapIndex >= 0 {
			heap.Fix(&s.deadlines, r.heapIndex)
		} else {
			heap.Push(&s.deadlines, r)
		}
	}
}

// mayRetry tells whether a further attempt of the request could ever be allowed.
func (s *Scheduler) mayRetry(r *request) bool {
	if r.BoundEndpoint != "" || s.settings.MaxAttempts > 0 && r.attempts >= s.settings.MaxAttempts { // its body is gone, or its tries
		return false
	}
	return !r.mayHaveRun || r.class.Effect == Idempotent ||
		r.class.Effect == IdempotentWithKey && !r.MissingKey && s.now < s.dedupDeadline(r)
}

// dedupDeadline is until when nodes surely drop a repeat: under the window, since to write takes a while.
func (s *Scheduler) dedupDeadline(r *request) time.Duration {
	return r.firstRanAt + r.class.DedupWindow - 4*s.settings.MinStep
}

// answerUnserved gives the final answer: a refusal where a client's retry is harmless, otherwise a failure.
func (s *Scheduler) answerUnserved(r *request) {
	c, kind, wait := r.class, Reject, time.Duration(0)
	if r.pastObjective {
		wait = r.deadlineAt - s.now // a further try of the same ask would come too late for its aim
	} else if r.startTag > s.now {
		wait = r.startTag - s.now // the volume is ahead of its rate until then
	}
	if r.mayHaveRun && c.Effect != Idempotent && (c.Effect != IdempotentWithKey || c.DedupScope != DedupFleet || r.MissingKey) {
		kind, wait = Fail, 0
	}
	end := Action{Kind: kind, Request: r.ID, Wait: wait, TagLead: r.tagLead(s.now)}
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

// finishRequest notes that the request has its final answer.
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

// answerExpired ends the held requests that can no longer make their aim, and those of which half the time is
// over without an attempt: what still comes of them earns next to nothing, and clients pay for being held.
func (s *Scheduler) answerExpired() {
	for len(s.deadlines) > 0 {
		r := s.deadlines[0]
		if r.answerBy > s.now {
			return
		}
		if r.inFlightAt != nil {
			// Its attempt was cut to end with the budget; the outcome brings the answer, or puts it back.
			heap.Pop(&s.deadlines)
			continue
		}
		if s.now >= r.objectiveAt {
			s.expireObjective(r)
		}
		s.answerUnserved(r)
	}
}

// scheduleTimer asks to be woken when the next thing is due.
func (s *Scheduler) scheduleTimer() {
	if s.subscribeAt <= s.now {
		s.subscribeAt = never
		s.emit(Action{Kind: Subscribe})
	}
	next := s.subscribeAt
	if len(s.deadlines) > 0 {
		next = min(next, s.deadlines[0].answerBy)
	}
	for l := range s.eachWaiting() {
		next = min(next, l.wakeAt)
	}
	s.wakeAt, next = next, min(next, s.now+s.minObjective/timersPerObjective)
	if next < s.timerAt {
		s.timerAt = next
		s.emit(Action{Kind: SetTimer, Wait: max(next-s.now, s.settings.MinStep)})
	}
}

// ---- Rule guards ----

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

// coldGate keeps the sum of what all initiators send to a cold node within what it bears, whatever others do
// (docs/design.md, Cold nodes): half by parts, which need no word from anybody, and half by answers, each of
// which lets as much go once more. Where the even part is under one mean request, parts follow what was sent.
func (s *Scheduler) coldGate(n *endpoint, r *request) time.Duration {
	ru, units := s.settings.Rules, r.Units
	// Also while it is warm: a start is told late.
	n.coldSent = dropOlderUnits(n.coldSent, s.now-ru.OverloadWindow-s.settings.MinStep)
	answers := time.Duration(float64(ru.OverloadWindow) * max(0, ru.OverloadFactor/2-1)) // they count for so long
	n.coldServed = dropOlderUnits(n.coldServed, s.now-answers+s.settings.MinStep)
	if !s.isCold(n) {
		return 0 // before the sums: every held request comes here at every step
	}
	if at, governed := s.quotaWait(ColdWork, n, r, units); governed {
		return at
	}
	each, sum := s.processes.fraction(s.now)/float64(s.settings.Initiators), sumUnits(n.coldSent)
	part := s.settings.ColdUnitsPerWindow * s.warmUpGrowth(n) * each
	if answers > 0 {
		part /= 2
	}
	crowd := part < s.settings.MeanUnits
	few := len(n.inFlight) == 0 && n.reportedLoad >= 0 && n.reportedLoad <= maxColdLoad && s.now-n.lastReportAt < ru.OverloadWindow
	if crowd && few || !crowd && sumUnits(n.coldServed) >= units {
		return 0
	}
	if n.Started < s.startedAt && s.now-s.startedAt < ru.OverloadWindow {
		return s.startedAt + ru.OverloadWindow // what was sent before this process began is not known
	}
	if crowd { // by what is sent from here; answers have as much as the node does in the span
		part, n.coldServed = s.coldCapacity(n)*(1-1/max(ru.OverloadFactor, 2))*each*n.trafficShare, nil
	}
	// One over the part goes from as few initiators as the part is of it, others at each node.
	if sum+units <= part || sum == 0 && units*s.initiatorRank(n) <= part {
		return 0
	}
	return s.now + ru.OverloadWindow/16
}

// coldCapacity is the units that a cold node bears now in the span of the rule, from all: along the slowest ramp, by
// the settings or, if that is more, by what warm nodes do (Little's law). It takes longer here while cold.
func (s *Scheduler) coldCapacity(n *endpoint) float64 {
	ru, grown := s.settings.Rules, s.warmUpGrowth(n)
	told := s.settings.ColdUnitsPerWindow * grown
	if s.warmServiceTime <= 0 || ru.ColdCapacityFraction <= 0 {
		return told
	}
	takes := max(n.latency, s.warmServiceTime/(ru.ColdCapacityFraction*grown)) / max(1, s.warmConcurrency)
	return max(told, s.settings.MeanUnits*ru.OverloadFactor*ru.OverloadWindow.Seconds()/takes)
}

// estimateTrafficShare is this initiator's part of all that is sent to the shard, in even parts: what went from here of what
// its node and warm ones had in hand for as long as one took. Little sent says little, so one request of each
// in as many spans as a node takes to warm counts too. Its mean over all initiators is one.
func (s *Scheduler) estimateTrafficShare(shard int) float64 {
	if s.warmServiceTime <= 0 {
		return 1
	}
	rate := max(1, s.warmConcurrency) / s.warmServiceTime
	for _, n := range s.endpointsOf(shard) {
		if n.latency > 0 {
			rate = max(rate, n.reportedConcurrency/n.latency)
		}
	}
	over, all := s.settings.Rules.WarmUpTime, float64(s.settings.Initiators)
	sent := s.queueOf(max(shard, 0)).sentRate.current(s.now, over) / s.settings.MeanUnits
	little := s.settings.Rules.OverloadWindow.Seconds() / over.Seconds() * all
	rate *= over.Seconds() * (1 - math.Exp(-(s.now-s.startedAt).Seconds()/over.Seconds())) // in its life
	return (sent*all + little) / (rate + little)
}

// initiatorRank is this initiator's place among all at a node, from 0 to 1, known without talk.
func (s *Scheduler) initiatorRank(n *endpoint) float64 {
	h := fnv.New32a()
	h.Write([]byte(n.ID))
	return (float64((uint32(s.initiatorIndex)+h.Sum32())%uint32(s.settings.Initiators)) + 1) / float64(s.settings.Initiators)
}

// retryBudgetGate keeps further attempts within the ration, counted against us at both edges.
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

// ---- Placement of new objects ----

// placeRequest returns the lane for a request: its shard's, or for a new object the one of least expected wait.
func (s *Scheduler) placeRequest(r *request) *shardQueue {
	if n := s.byID[r.BoundEndpoint]; n != nil {
		return s.queueOf(n.Shard)
	}
	if r.Shard >= 0 || len(s.queues) == 0 {
		return s.queueOf(max(r.Shard, 0))
	}
	return s.minWaitFrom(s.rng.IntN(len(s.queues))) // the first of those whose wait is least
}

// expectedWait estimates how long a request newly put in the lane would take.
func (s *Scheduler) expectedWait(l *shardQueue) float64 {
	n := l.endpoint
	if n == nil {
		return math.Inf(1)
	}
	w := max(n.latency, 1e-3) * (1 + float64(len(l.requests)+len(n.inFlight))/n.concurrencyLimit)
	if s.isFaulty(n) || n.blockedUntil > s.now {
		w += 100 * s.minObjective.Seconds()
	}
	if n.Started > 0 && s.now-n.Started < s.settings.Rules.WarmUpTime {
		w *= 4
	}
	return w
}

// rebalanceNewObjects moves held new objects away from lanes that have become much worse than the best.
func (s *Scheduler) rebalanceNewObjects() {
	for l := range s.eachWaiting() {
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
