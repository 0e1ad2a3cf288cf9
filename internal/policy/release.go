package policy

import (
	"math"
	"slices"
	"time"
)

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
