package policy

// The interface (settings, events, actions, outcomes) is in api.go; what is kept, in state.go.
//
// Reading order: tagging, release, node health, attempts and final answers, rule guards,
// placement. docs/design.md tells what is RFQ as published and what was added.

import (
	"container/heap"
	"math/rand/v2"
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

// ---- Release ----

// ---- Node health ----

// ---- Attempts and final answers ----

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

// ---- Placement of new objects ----

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
