package policy

import (
	"math"
	"slices"
	"time"
)

// silenceTimeout is how long an endpoint may owe an answer before it counts as silent.
func (s *Scheduler) silenceTimeout(n *endpoint) time.Duration {
	return max(s.minObjective, toDuration(silenceFactor*n.latency))
}

// expectedLatency is the latency, in seconds, to expect of a request of mean size: the larger of what
// answers and load reports indicate. It falls back to the base latency while neither is renewed, so
// that an initiator that holds back after a slow phase does not hold back for ever.
func (s *Scheduler) expectedLatency(n *endpoint) float64 {
	observed := (n.latency - n.baseLatency) * s.freshness(n.lastAnswerAt)
	reported := n.baseLatency * latencyPerLoad * max(0, n.reportedLoad-freeLoad) * s.freshness(n.lastReportAt)
	return n.baseLatency + max(observed, reported)
}

// freshness is the weight, from 1 down to 0, of what was learned at that time.
func (s *Scheduler) freshness(at time.Duration) float64 {
	return math.Exp(-(s.now - at).Seconds() / (freshObjectives * s.minObjective.Seconds()))
}

// handleLoadReport takes over an endpoint's report of its load. Reports that cannot be right are
// ignored.
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

// isFaulty reports whether the endpoint is silent (an attempt is overdue and nothing was heard since
// it began) or has failed three times in a row. A faulty endpoint gets one attempt at a time.
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

// learnFromOutcome updates the endpoint's latency, concurrency limit and health from the end of an
// attempt. The limit follows PARDA: it steers to a latency of targetLatencyRatio times the base
// latency, and grows only while it is used.
func (s *Scheduler) learnFromOutcome(n *endpoint, r *request, e Outcome) {
	switch e.Code {
	case Served:
		s.learnFromAnswer(n, r, e)
	case TurnedAway:
		n.concurrencyLimit = max(1, n.concurrencyLimit/2)
		n.lastAnswerAt = s.now
		n.blockedUntil = s.now + toDuration(n.latency)
	case AnsweredError, NotConnected, ConnectionReset, TimedOut:
		s.learnFromFailure(n, e)
	}
}

// learnFromAnswer takes over the latency of a served attempt. After a pause of this process the measured latency
// contains the pause and is not used.
func (s *Scheduler) learnFromAnswer(n *endpoint, r *request, e Outcome) {
	if s.isFaulty(n) {
		n.concurrencyLimit = 1
	}
	n.failureStreak, n.blockedUntil = 0, 0
	if s.settings.Rules.OverloadWindow > 0 && r.attemptStartedAt >= s.startedAt {
		n.coldServed = append(n.coldServed, timedUnits{s.now, r.Units})
	}
	if s.stalledFor > 0 {
		n.lastAnswerAt = s.now
		return
	}
	latency := e.Latency.Seconds() / s.relativeSize(r.Units)
	s.learnWarm(n, latency, e.Load)
	if n.latency == 0 {
		n.latency, n.baseLatency = latency, latency
	}
	gain := max(learningGain, 1-s.freshness(n.lastAnswerAt))
	if latency < n.baseLatency {
		n.baseLatency += (latency - n.baseLatency) * gain
	} else {
		n.baseLatency += (latency - n.baseLatency) * learningGain / 8
	}
	n.latency += (latency - n.latency) * gain
	n.lastAnswerAt = s.now
	s.adjustConcurrencyLimit(n)
}

// adjustConcurrencyLimit moves the limit towards the value at which the endpoint's latency meets the target.
func (s *Scheduler) adjustConcurrencyLimit(n *endpoint) {
	target := targetLatencyRatio * n.baseLatency
	if s.now-n.congestedAt > calmObjectives*s.minObjective {
		target *= 2 // the queue at the endpoint need not be ordered
	}
	next := n.concurrencyLimit*min(2, target/max(n.latency, 1e-6)) + limitIncrease
	if next < n.concurrencyLimit || float64(len(n.inFlight)) >= math.Floor(n.concurrencyLimit) {
		n.concurrencyLimit += (next - n.concurrencyLimit) * learningGain
	}
	// Each of few initiators may use its part of what the endpoint serves at once: with a limit of 1 for
	// each of two, most of the endpoint would idle, above all after a fault has lowered the limits.
	n.concurrencyLimit = min(maxConcurrencyLimit, max(1, freeLoad/float64(s.settings.Initiators), n.concurrencyLimit))
}

// learnFromFailure counts a failure and blocks the endpoint for a time that grows with the failures in a row.
func (s *Scheduler) learnFromFailure(n *endpoint, e Outcome) {
	if e.Code == TimedOut && e.Latency < s.silenceTimeout(n) {
		// The client's deadline was short: this only shows that the endpoint takes at least that long.
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

// isEjected reports whether the endpoint is listed as up but gets no request, or one at a time.
func (s *Scheduler) isEjected(n *endpoint) bool {
	return n.State == Up && (n.blockedUntil > s.now || s.isFaulty(n))
}

// EjectedEndpoints returns the ids of the endpoints that are listed as up but get no request, or one
// at a time.
func (s *Scheduler) EjectedEndpoints() (ids []string) {
	for _, n := range s.activeEndpoints() {
		if s.isEjected(n) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// EjectedCount is the number of listed endpoints that drain or are ejected.
func (s *Scheduler) EjectedCount() (n int) {
	n = s.drainingCount
	for _, x := range s.activeEndpoints() {
		if s.isEjected(x) {
			n++
		}
	}
	return n
}

// activeEndpoints returns the endpoints that may be ejected, in the order in which they were first
// listed. Draining ones are included, since they may be listed as up again.
func (s *Scheduler) activeEndpoints() []*endpoint {
	s.usedEndpoints = slices.DeleteFunc(s.usedEndpoints, func(n *endpoint) bool {
		n.listedUsed = s.byID[n.ID] == n && (len(n.inFlight) > 0 || n.blockedUntil > s.now || s.isFaulty(n))
		return !n.listedUsed
	})
	slices.SortFunc(s.usedEndpoints, compareSerial)
	return s.usedEndpoints
}
