package policy

import (
	"math"
	"slices"
	"time"
)

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

// isEjected tells whether the node gets no request, or one trial at a time, though it is listed as up.
func (s *Scheduler) isEjected(n *endpoint) bool {
	return n.State == Up && (n.blockedUntil > s.now || s.isFaulty(n))
}

// EjectedEndpoints names the nodes that are listed as up and get no request, or one trial at a time.
func (s *Scheduler) EjectedEndpoints() (ids []string) {
	for _, n := range s.activeEndpoints() {
		if s.isEjected(n) {
			ids = append(ids, n.ID)
		}
	}
	return ids
}

// EjectedCount tells how many of the listed nodes get no request, or one trial at a time.
func (s *Scheduler) EjectedCount() (n int) {
	n = s.drainingCount
	for _, x := range s.activeEndpoints() {
		if s.isEjected(x) {
			n++
		}
	}
	return n
}

// activeEndpoints returns the nodes that may be avoided, in order of nodes. One that drains may be listed as up again.
func (s *Scheduler) activeEndpoints() []*endpoint {
	s.usedEndpoints = slices.DeleteFunc(s.usedEndpoints, func(n *endpoint) bool {
		n.listedUsed = s.byID[n.ID] == n && (len(n.inFlight) > 0 || n.blockedUntil > s.now || s.isFaulty(n))
		return !n.listedUsed
	})
	slices.SortFunc(s.usedEndpoints, compareSerial)
	return s.usedEndpoints
}
