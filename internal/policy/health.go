package policy

import (
	"math"
	"slices"
	"time"
)

// silenceTimeout is how long an endpoint may owe an answer before it counts as silent.
func (s *Scheduler) silenceTimeout(ep *endpoint) time.Duration {
	return max(s.minObjective, toDuration(silenceFactor*ep.latency))
}

// expectedLatency is the latency, in seconds, to expect of a request of mean size: the larger of what
// answers and load reports indicate. It falls back to the base latency while neither is renewed, so
// that an initiator that holds back after a slow phase does not hold back for ever.
func (s *Scheduler) expectedLatency(ep *endpoint) float64 {
	observed := (ep.latency - ep.baseLatency) * s.freshness(ep.lastAnswerAt)
	reported := ep.baseLatency * latencyPerLoad * max(0, ep.reportedLoad-freeLoad) * s.freshness(ep.lastReportAt)
	return ep.baseLatency + max(observed, reported)
}

// freshness is the weight, from 1 down to 0, of what was learned at that time.
func (s *Scheduler) freshness(at time.Duration) float64 {
	return math.Exp(-(s.now - at).Seconds() / (freshObjectives * s.minObjective.Seconds()))
}

// handleLoadReport takes over an endpoint's report of its load. Reports that cannot be right are
// ignored.
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

// isFaulty reports whether the endpoint is silent (an attempt is overdue and nothing was heard since
// it began) or has failed faultyStreak times in a row. A faulty endpoint gets one attempt at a time.
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
// attempt. The limit follows PARDA: it steers to a latency of targetLatencyRatio times the base
// latency, and grows only while it is used.
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

// learnFromAnswer takes over the latency of a served attempt. After a pause of this process the measured latency
// contains the pause and is not used.
func (s *Scheduler) learnFromAnswer(ep *endpoint, r *request, e Outcome) {
	if s.isFaulty(ep) {
		ep.concurrencyLimit = 1
	}
	ep.failureStreak, ep.blockedUntil = 0, 0
	if s.settings.Rules.OverloadWindow > 0 && r.attemptStartedAt >= s.startedAt {
		ep.coldServed = append(ep.coldServed, timedUnits{s.now, r.Units})
	}
	if s.stalledFor > 0 {
		ep.lastAnswerAt = s.now
		return
	}
	latency := e.Latency.Seconds() / s.relativeSize(r.Units)
	s.learnWarm(ep, latency, e.Load)
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
	if s.now-ep.congestedAt > calmObjectives*s.minObjective {
		target *= 2 // the queue at the endpoint need not be ordered
	}
	next := ep.concurrencyLimit*min(2, target/max(ep.latency, 1e-6)) + limitIncrease
	if next < ep.concurrencyLimit || float64(len(ep.inFlight)) >= math.Floor(ep.concurrencyLimit) {
		ep.concurrencyLimit += (next - ep.concurrencyLimit) * learningGain
	}
	// Each of few initiators may use its part of what the endpoint serves at once: with a limit of 1 for
	// each of two, most of the endpoint would idle, above all after a fault has lowered the limits.
	ep.concurrencyLimit = min(maxConcurrencyLimit, max(1, freeLoad/float64(s.settings.Initiators), ep.concurrencyLimit))
}

// learnFromFailure counts a failure and blocks the endpoint for a time that grows with the failures in a row.
func (s *Scheduler) learnFromFailure(ep *endpoint, e Outcome) {
	if e.Code == TimedOut && e.Latency < s.silenceTimeout(ep) {
		// The client's deadline was short: this only shows that the endpoint takes at least that long.
		ep.latency += max(0, e.Latency.Seconds()-ep.latency) * learningGain
		return
	}
	ep.failureStreak++
	if e.Code == AnsweredError {
		ep.failureStreak -= errorForgiveness
	}
	if e.Code == TimedOut {
		ep.concurrencyLimit = max(1, ep.concurrencyLimit/2)
		return
	}
	ep.lastAnswerAt = s.now
	ep.blockedUntil = s.now + s.silenceTimeout(ep)*time.Duration(max(0, min(ep.failureStreak, maxBlockStreak)-1)*blockStepsPerFailure)/blockSteps
}

// isEjected reports whether the endpoint is listed as up but gets no request, or one at a time.
func (s *Scheduler) isEjected(ep *endpoint) bool {
	return ep.State == Up && (ep.blockedUntil > s.now || s.isFaulty(ep))
}

// EjectedEndpoints returns the ids of the endpoints that are listed as up but get no request, or one
// at a time.
func (s *Scheduler) EjectedEndpoints() (ids []string) {
	for _, ep := range s.activeEndpoints() {
		if s.isEjected(ep) {
			ids = append(ids, ep.ID)
		}
	}
	return ids
}

// EjectedCount is the number of listed endpoints that drain or are ejected.
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
		ep.listedUsed = s.byID[ep.ID] == ep && (len(ep.inFlight) > 0 || ep.blockedUntil > s.now || s.isFaulty(ep))
		return !ep.listedUsed
	})
	slices.SortFunc(s.usedEndpoints, compareSerial)
	return s.usedEndpoints
}
