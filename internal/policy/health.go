package policy

import (
	"math"
	"slices"
	"time"
)

// silenceTimeout is how long an attempt may be unanswered before the endpoint counts as silent.
func (s *Scheduler) silenceTimeout(ep *endpoint) time.Duration {
	return max(s.minObjective, toDuration(silenceFactor*ep.latency))
}

// expectedLatency is the latency, in seconds, to expect of a request of mean size: the larger of what
// answers and load reports indicate. It decays to the base latency while neither is renewed: otherwise
// an initiator that stops sending after a slow phase would never send again.
func (s *Scheduler) expectedLatency(ep *endpoint) float64 {
	observed := (ep.latency - ep.baseLatency) * s.freshness(ep.lastAnswerAt)
	reported := ep.baseLatency * latencyPerLoad * max(0, ep.reportedLoad-freeLoad) * s.freshness(ep.lastReportAt)
	return ep.baseLatency + max(observed, reported)
}

// freshness is the weight, from 1 down to 0, of an observation made at that time.
func (s *Scheduler) freshness(at time.Duration) float64 {
	return math.Exp(-(s.now - at).Seconds() / (freshnessObjectives * s.minObjective.Seconds()))
}

// handleLoadReport records an endpoint's report of its load. Implausible reports are ignored.
func (s *Scheduler) handleLoadReport(ep *endpoint, report *Load) {
	if report == nil || ep.latency == 0 {
		return
	}
	load := report.InFlight
	if report.Queued >= 0 {
		load = report.Queued + freeLoad
	}
	if load >= 0 && load < maxPlausibleLoad {
		ep.reportedLoad, ep.lastReportAt = load, s.now
	}
}

// isFaulty reports whether the endpoint is silent (an attempt is overdue and no answer has arrived
// since it was sent) or has failed faultyStreak times in a row. A faulty endpoint gets one attempt at a time.
func (s *Scheduler) isFaulty(ep *endpoint) bool {
	if ep.failureStreak >= faultyStreak {
		return true
	}
	for _, r := range ep.inFlight {
		if s.now-r.attemptStartedAt > s.silenceTimeout(ep) && ep.lastAnswerAt <= r.attemptStartedAt {
			return true
		}
	}
	return false
}

// learnFromOutcome updates the endpoint's latency, concurrency limit and health from the end of an
// attempt. The limit follows PARDA: it is adjusted towards a latency of targetLatencyRatio times the
// base latency, and grows only while it is used up.
func (s *Scheduler) learnFromOutcome(ep *endpoint, r *request, e Outcome) {
	switch e.Code {
	case Served:
		s.learnFromAnswer(ep, r, e)
	case Rejected:
		ep.concurrencyLimit = max(1, ep.concurrencyLimit/2)
		ep.lastAnswerAt = s.now
		ep.blockedUntil = s.now + toDuration(ep.latency)
	case AnsweredError, NotConnected, ConnectionReset, TimedOut:
		s.learnFromFailure(ep, e)
	}
}

// learnFromAnswer updates the estimates from the latency of a served attempt. After a pause of this
// process the measured latency contains the pause and is not used.
func (s *Scheduler) learnFromAnswer(ep *endpoint, r *request, e Outcome) {
	if s.isFaulty(ep) {
		ep.concurrencyLimit = 1
	}
	ep.failureStreak, ep.blockedUntil = 0, 0
	if s.settings.Rules.OverloadWindow > 0 && r.attemptStartedAt >= s.startedAt {
		ep.coldCredit = append(ep.coldCredit, timedUnits{s.now, r.Units})
	}
	if s.pausedFor > 0 {
		ep.lastAnswerAt = s.now
		return
	}
	latency := e.Latency.Seconds() / s.relativeSize(r.Units)
	s.updateWarmEstimates(ep, latency, e.Load)
	if ep.latency == 0 {
		ep.latency, ep.baseLatency = latency, latency
	}
	gain := max(learningGain, 1-s.freshness(ep.lastAnswerAt))
	if latency < ep.baseLatency {
		ep.baseLatency += (latency - ep.baseLatency) * gain
	} else {
		ep.baseLatency += (latency - ep.baseLatency) * learningGain / slowGainDivisor
	}
	ep.latency += (latency - ep.latency) * gain
	ep.lastAnswerAt = s.now
	s.adjustConcurrencyLimit(ep)
}

// adjustConcurrencyLimit moves the limit towards the value at which the endpoint's latency meets the target.
func (s *Scheduler) adjustConcurrencyLimit(ep *endpoint) {
	target := targetLatencyRatio * ep.baseLatency
	if s.now-ep.congestedAt > uncongestedObjectives*s.minObjective {
		target *= 2 // without congestion the order at the endpoint does not matter
	}
	next := ep.concurrencyLimit*min(2, target/max(ep.latency, 1e-6)) + limitIncrease
	if next < ep.concurrencyLimit || float64(len(ep.inFlight)) >= math.Floor(ep.concurrencyLimit) {
		ep.concurrencyLimit += (next - ep.concurrencyLimit) * learningGain
	}
	// The limit is at least an even share of the requests that the endpoint serves at once: with two
	// initiators at a limit of 1, most of the endpoint would idle, above all after a fault has lowered it.
	ep.concurrencyLimit = min(maxConcurrencyLimit, max(1, freeLoad/float64(s.settings.Initiators), ep.concurrencyLimit))
}

// learnFromFailure counts a failure and blocks the endpoint for a time that grows with the failures in
// a row. After a timeout it halves the concurrency limit instead of blocking.
func (s *Scheduler) learnFromFailure(ep *endpoint, e Outcome) {
	if e.Code == TimedOut && e.Latency < s.silenceTimeout(ep) {
		// The client's deadline was short: the endpoint's latency is at least this, but that is no failure.
		ep.latency += max(0, e.Latency.Seconds()-ep.latency) * learningGain
		return
	}
	ep.failureStreak++
	if e.Code == AnsweredError {
		ep.failureStreak -= errorFailureDiscount
	}
	if e.Code == TimedOut {
		ep.concurrencyLimit = max(1, ep.concurrencyLimit/2)
		return
	}
	ep.lastAnswerAt = s.now
	ep.blockedUntil = s.now + s.silenceTimeout(ep)*time.Duration(max(0, min(ep.failureStreak, maxBlockStreak)-1)*blockStepsPerFailure)/blockSteps
}

// isEjected reports whether the endpoint is listed as up but blocked, or faulty and so limited to one
// attempt at a time.
func (s *Scheduler) isEjected(ep *endpoint) bool {
	return ep.State == Up && (ep.blockedUntil > s.now || s.isFaulty(ep))
}

// EjectedEndpoints returns the ids of the endpoints that are listed as up but get no attempt, or one
// at a time.
func (s *Scheduler) EjectedEndpoints() (ids []string) {
	for _, ep := range s.activeEndpoints() {
		if s.isEjected(ep) {
			ids = append(ids, ep.ID)
		}
	}
	return ids
}

// EjectedCount returns the number of listed endpoints that are draining or ejected.
func (s *Scheduler) EjectedCount() (count int) {
	count = s.drainingCount
	for _, other := range s.activeEndpoints() {
		if s.isEjected(other) {
			count++
		}
	}
	return count
}

// activeEndpoints returns the endpoints that may be ejected, in the order in which they were first
// listed. Draining ones are included, since they may be listed as up again.
func (s *Scheduler) activeEndpoints() []*endpoint {
	s.usedEndpoints = slices.DeleteFunc(s.usedEndpoints, func(ep *endpoint) bool {
		ep.inUsedList = s.byID[ep.ID] == ep && (len(ep.inFlight) > 0 || ep.blockedUntil > s.now || s.isFaulty(ep))
		return !ep.inUsedList
	})
	slices.SortFunc(s.usedEndpoints, compareSerial)
	return s.usedEndpoints
}
