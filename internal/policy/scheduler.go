package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Constants of the decisions. docs/design.md says how they were chosen.
const (
	maxExtentRun = 6 // Requests of one extent that may be sent in a row.
	// Latency over base latency that the concurrency limit steers to. Above it, requests queue at
	// the endpoint, where they can no longer be reordered.
	targetLatencyRatio = 1.0
	// Smallest objectives without congestion after which the latency target doubles.
	calmObjectives = 30
	// Weight of one answer in the moving averages of latency and concurrency limit.
	learningGain = 0.1
	// Added to the concurrency limit's target for each answer, so that an unloaded limit grows.
	limitIncrease = 0.25
	// Part of a failure that a quick error answer does not count: it costs the endpoint little.
	errorForgiveness    = 0.75
	maxConcurrencyLimit = 16 // Upper bound of an endpoint's concurrency limit, in requests.
	// Time constant, in smallest objectives, after which an observation has lost most of its
	// weight.
	freshObjectives = 4
	// Timers within the smallest objective, so that a pause of this process is noticed.
	timersPerObjective = 8
	idleObjectives     = 60 // Smallest objectives after which idle state is dropped.
	// Expected latencies without any answer after which an endpoint counts as silent.
	silenceFactor = 4
	// Lower bound of an initiator's share of a volume, as a fraction of an even share.
	minShareOfEven = 0.5
	// Requests that an endpoint serves at once. A report up to this many indicates no queue.
	freeLoad = 4
	// Added latency for each reported request beyond freeLoad, as a fraction of the base latency.
	latencyPerLoad = 0.25
	// Reported requests up to which a cold endpoint gets another probe request in a large fleet.
	maxColdLoad       = 8
	usageFreshPeriods = 5   // Usage periods for which a reported volume usage is used.
	usageGain         = 0.3 // Weight of one report in a volume's total usage.
	// The base latency and the figures of warm endpoints follow an answer this many times more slowly
	// than learningGain.
	slowGainDivisor = 8
	// Requests in flight beyond which a load report cannot be right.
	maxPlausibleLoad = 1e6

	faultyStreak   = 3 // Failures in a row from which an endpoint counts as faulty.
	maxBlockStreak = 4 // Failures in a row from which the time that an endpoint is blocked stays the same.
	// After each failure but the first an endpoint is blocked for blockStepsPerFailure of blockSteps
	// parts of its silence timeout more.
	blockStepsPerFailure = 16
	blockSteps           = 64
	backoffDivisor       = 8 // The backoff before a retry is the silence timeout for each attempt, over this.
	attemptObjectives    = 4 // Lower bound of an attempt's timeout, in latency objectives of its class.
	attemptSilences      = 2 // Another one, in silence timeouts of its endpoint.

	sendMarginSteps  = 4 // Time that sending or answering takes beyond its decision, in MinSteps.
	clockMarginSteps = 2 // Allowance for the rounding of other clocks, in MinSteps.
	// How often within its window a request asks again that waits for the retry budget, or for room at
	// a cold endpoint.
	budgetPollsPerWindow = 64
	coldPollsPerWindow   = 16

	faultyPenaltyObjectives = 100 // Added to the expected wait of a new object at a faulty endpoint, in smallest objectives.
	warmingPenalty          = 4   // Factor of the expected wait of a new object at an endpoint that warms up.
	rebalanceRatio          = 2   // A new object moves to a queue with so many times less to wait.
)

// Scheduler decides for one initiator: which request is sent to which endpoint and when, and how each
// request ends. It is stepped with the time and a batch of events and returns actions; it does no I/O,
// reads no clock and starts no goroutines. All times are durations on the caller's monotonic clock. It
// is not safe for concurrent use.
type Scheduler struct {
	settings        Settings
	rng             *rand.Rand
	now             time.Duration // time of the current step
	classes         map[string]*Class
	plans           map[string]*Plan
	rejected        map[requestIdentity]*request // rejected requests by identity, to recognize a client's retry
	rejectedInOrder []*request                   // the same, oldest first
	minObjective    time.Duration                // smallest latency objective of all classes: the unit of many constants
	initiatorIndex  int                          // this initiator's number in the fleet, from 0
	// time of the first step, or of settings that tighten the cold start limits
	startedAt       time.Duration
	warmServiceTime float64 // mean service time at warm endpoints, in seconds; 0: unknown
	warmConcurrency float64 // mean requests in flight at a warm endpoint meanwhile
	volumes         map[string]*volume
	requests        map[string]*request       // by id
	orderedExtents  map[string]*orderedExtent // by extent
	deadlines       deadlineHeap              // requests by the time at which they must be answered
	processes       processGroup              // processes that act for this initiator
	endpointIndex
	// Times within the window of the retry budget, oldest first.
	recentRequests []time.Duration
	recentRetries  []time.Duration

	timerAt          time.Duration // the timer that was asked for last
	wakeAt           time.Duration // when something is due: no timer before it brings work
	sweptAt          time.Duration // last removal of idle state
	stalledFor       time.Duration // how long this process was paused before this step; 0: it was not
	subscribeAt      time.Duration // when to subscribe to the endpoint list; never: not needed
	subscribeBackoff time.Duration // wait before the next subscription after a failed one

	sendable []*request // scratch: requests of the current queue that may be sent now
	actions  []Action   // scratch: the result of the current step
}

// New returns a scheduler for the given settings, or an error that names the setting that cannot be
// served. Equal settings, seeds and steps give equal actions.
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

// Step processes the events that happened up to now and returns the actions to carry out, in order.
// The slice is valid until the next Step.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now, s.startedAt, s.actions = now, min(s.startedAt, now), s.actions[:0]
	// A timer that fires late means that this process was paused: the delay says nothing about endpoints.
	s.stalledFor = 0
	if late := now - s.timerAt; late >= 0 {
		s.timerAt = never
		if late > s.minObjective/timersPerObjective {
			s.stalledFor = late
		}
	}
	idle := now < s.wakeAt // unless an event other than a timer came
	for _, e := range events {
		_, isTimer := e.(TimerFired)
		idle = idle && isTimer
		s.handle(e)
	}
	if !idle {
		s.answerExpired()
		s.rebalanceNewObjects()
		for q := range s.eachWaiting() {
			s.releaseQueue(q)
		}
		s.answerExpired() // objectives may have expired during release
	}
	if now-s.sweptAt > idleObjectives*s.minObjective {
		s.sweep(s.sweptAt) // what was idle for a whole period restarts with fresh state
		s.sweptAt = now
	}
	s.scheduleTimer()
	return s.actions
}

// handle processes one event.
func (s *Scheduler) handle(e Event) {
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
	case TimerFired: // may be slightly early, since the driver may round
		s.timerAt = never
	}
}

// scheduleTimer asks to be woken when the next thing is due, and often enough to notice a pause of
// this process.
func (s *Scheduler) scheduleTimer() {
	if s.subscribeAt <= s.now {
		s.subscribeAt = never
		s.emit(Action{Kind: Subscribe})
	}
	next := s.subscribeAt
	if len(s.deadlines) > 0 {
		next = min(next, s.deadlines[0].answerBy)
	}
	for q := range s.eachWaiting() {
		next = min(next, q.wakeAt)
	}
	s.wakeAt, next = next, min(next, s.now+s.minObjective/timersPerObjective)
	if next < s.timerAt {
		s.timerAt = next
		s.emit(Action{Kind: SetTimer, Wait: max(next-s.now, s.settings.MinStep)})
	}
}

// emit adds an action to the result of the current step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
