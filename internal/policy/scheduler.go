package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Tuning constants of the scheduler. docs/design.md explains how they were chosen.
const (
	maxExtentRun = 6 // Requests of one extent that may be sent in a row.
	// Ratio of latency to base latency to which the concurrency limit is adjusted. Above it, requests
	// queue at the endpoint, where they can no longer be reordered.
	targetLatencyRatio = 1.0
	// Time without congestion after which the latency target doubles, in smallest objectives.
	uncongestedObjectives = 30
	// Weight of one answer in the moving averages of latency and concurrency limit.
	learningGain = 0.1
	// Added to the concurrency limit's target for each answer, so that the limit grows while there is no queueing.
	limitIncrease = 0.25
	// By how much less than one failure a quick error answer counts: it costs the endpoint little.
	errorFailureDiscount = 0.75
	maxConcurrencyLimit  = 16 // Upper bound of an endpoint's concurrency limit, in requests.
	// Time constant, in smallest objectives, after which an observation has lost most of its
	// weight.
	freshnessObjectives = 4
	// Timers set within the smallest objective, so that a pause of this process is noticed.
	timersPerObjective = 8
	idleObjectives     = 60 // Time after which idle state is dropped, in smallest objectives.
	// Multiple of the latency without any answer after which an endpoint counts as silent.
	silenceFactor = 4
	// Lower bound of an initiator's share of a volume's rate, as a fraction of an even share.
	minUsageShare = 0.5
	// Requests that an endpoint serves concurrently. A report of at most so many indicates no queue.
	freeLoad = 4
	// Added latency for each reported request beyond freeLoad, as a fraction of the base latency.
	latencyPerLoad = 0.25
	// Reported requests up to which a cold endpoint gets another single request in a large fleet.
	maxColdLoad       = 8
	usageFreshPeriods = 5   // Usage periods for which a reported volume usage is used.
	usageGain         = 0.3 // Weight of one report in a volume's total usage.
	// Divisor of learningGain for the base latency while it rises, and for the estimates of warm
	// endpoints.
	slowGainDivisor = 8
	// Reported requests from which a load report is implausible.
	maxPlausibleLoad = 1e6

	faultyStreak   = 3 // Failures in a row from which an endpoint counts as faulty.
	maxBlockStreak = 4 // Failures in a row from which the time that an endpoint is blocked stays the same.
	// Each failure in a row after the first blocks the endpoint for blockStepsPerFailure/blockSteps of
	// its silence timeout more.
	blockStepsPerFailure   = 16
	blockSteps             = 64
	backoffDivisor         = 8 // The backoff before a retry is the silence timeout times the attempts so far, divided by this.
	attemptObjectives      = 4 // Lower bound of an attempt's timeout, in latency objectives of its class.
	attemptSilenceTimeouts = 2 // Another lower bound, in silence timeouts of its endpoint.

	sendMarginSteps  = 4 // Allowance for the time from a decision until it is carried out, in MinSteps.
	clockMarginSteps = 2 // Allowance for the rounding of other processes' clocks, in MinSteps.
	// How often within the window a request that waits for the retry budget, or for its share of a cold
	// endpoint, is checked again.
	budgetPollsPerWindow = 64
	coldPollsPerWindow   = 16

	faultyPenaltyObjectives = 100 // Added to the expected wait of a new object at a faulty endpoint, in smallest objectives.
	warmingPenalty          = 4   // Factor of the expected wait of a new object at an endpoint that warms up.
	rebalanceRatio          = 2   // Ratio of expected waits above which a new object moves to another queue.
)

// Scheduler decides for one initiator which request is sent to which endpoint and when, and how each
// request ends. It is stepped with the time and a batch of events and returns actions; it does no I/O,
// reads no clock and starts no goroutines. All times are durations on the caller's monotonic clock. It
// is not safe for concurrent use.
type Scheduler struct {
	settings        Settings
	rng             *rand.Rand
	now             time.Duration // time of the current step
	classes         map[string]*Class
	plans           map[string]*Plan
	unserved        map[requestIdentity]*request // requests that answerUnserved has ended, by identity, to recognize a client's retry
	unservedInOrder []*request                   // the same requests, oldest first
	minObjective    time.Duration                // smallest latency objective of all classes; unit of many constants above
	initiatorIndex  int                          // this initiator's index in the fleet, from 0
	// time of the first step, or of settings that tighten the cold start limits
	startedAt       time.Duration
	warmServiceTime float64 // mean service time at warm endpoints, in seconds; 0: unknown
	warmConcurrency float64 // mean requests in flight at a warm endpoint, by its reports
	volumes         map[string]*volume
	requests        map[string]*request       // by id
	orderedExtents  map[string]*orderedExtent // by extent
	deadlines       deadlineHeap              // requests by the time at which they must be answered
	processes       processGroup              // processes that act as this initiator
	endpointIndex
	// Times within the window of the retry budget, oldest first.
	recentRequests []time.Duration
	recentRetries  []time.Duration

	timerAt          time.Duration // when the last SetTimer is due; never: none is pending
	wakeAt           time.Duration // when the next work is due; an earlier timer only detects pauses
	sweptAt          time.Duration // when idle state was last dropped
	pausedFor        time.Duration // how long this process was paused before this step; 0: it was not
	subscribeAt      time.Duration // when to subscribe to the endpoint list; never: not needed
	subscribeBackoff time.Duration // wait before the next subscription after a failed one

	sendable []*request // scratch: requests of the current queue that may be sent now
	actions  []Action   // scratch: the result of the current step
}

// New returns a scheduler for the given settings, or the error of Validate. Equal settings, seeds and
// steps give equal actions.
func New(set Settings, seed uint64) (*Scheduler, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{rng: rand.New(rand.NewPCG(seed, seed)), unserved: map[requestIdentity]*request{},
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
	// A timer that fires late means that this process was paused; the delay must not be attributed to
	// endpoints.
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
		s.sweep(s.sweptAt) // what was idle for a whole period starts from fresh state
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

// scheduleTimer emits Subscribe if it is due, and sets a timer for the next work that is due, but early
// enough to notice a pause of this process.
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
