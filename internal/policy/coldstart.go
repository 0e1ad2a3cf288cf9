package policy

import (
	"cmp"
	"hash/fnv"
	"math"
	"time"
)

// timedUnits is a number of units sent or answered at a time.
type timedUnits struct {
	at    time.Duration
	units float64
}

// dropOlderUnits returns the ordered list without the entries before from.
func dropOlderUnits(list []timedUnits, from time.Duration) []timedUnits {
	for len(list) > 0 && list[0].at < from {
		list = list[1:]
	}
	return list
}

// sumUnits returns the total units of the entries.
func sumUnits(list []timedUnits) (sum float64) {
	for _, entry := range list {
		sum += entry.units
	}
	return sum
}

// chargeCold records units that are sent. At a cold endpoint they use up the credit of answered units
// if it is large enough, and otherwise count against the even share.
func (ep *endpoint) chargeCold(now time.Duration, units float64, cold bool) {
	if !cold || sumUnits(ep.coldCredit) < units {
		ep.coldSent = append(ep.coldSent, timedUnits{now, units})
		return
	}
	for units > 0 && len(ep.coldCredit) > 0 {
		oldest := &ep.coldCredit[0]
		used := min(units, oldest.units)
		oldest.units, units = oldest.units-used, units-used
		if oldest.units <= 0 {
			ep.coldCredit = ep.coldCredit[1:]
		}
	}
}

// decayingRate is an exponentially decaying sum of units, as of the time at.
type decayingRate struct {
	units float64
	at    time.Duration
}

// current is the sum, decayed to now with the time constant.
func (d *decayingRate) current(now, timeConstant time.Duration) float64 {
	return d.units * math.Exp(-(now-d.at).Seconds()/max(timeConstant.Seconds(), 1e-3))
}

// add decays the sum to now and adds units.
func (d *decayingRate) add(now time.Duration, units float64, timeConstant time.Duration) {
	d.units, d.at = d.current(now, timeConstant)+units, now
}

// coldGate bounds what all initiators together send to an endpoint that started recently, without any
// communication between them (docs/design.md, Cold nodes). Half of the endpoint's cold capacity is
// divided evenly; the other half is earned: each answered unit is credit for another one. Where an even
// share is less than one request (a large fleet), the shares follow each initiator's part of the
// traffic, and an endpoint that reports little load gets one request at a time.
// The bound applies to the units sent within Rules.OverloadWindow. Inputs: the units sent to the
// endpoint within that window, the units answered, its load report, and the time since this process
// started.
func (s *Scheduler) coldGate(ep *endpoint, r *request) time.Duration {
	rules, units := s.settings.Rules, r.Units
	// Also while the endpoint is warm, since the list may announce a restart late.
	ep.coldSent = dropOlderUnits(ep.coldSent, s.now-rules.OverloadWindow-s.settings.MinStep)
	creditLifetime := time.Duration(float64(rules.OverloadWindow) * max(0, rules.OverloadFactor/2-1)) // how long an answered unit is credit
	ep.coldCredit = dropOlderUnits(ep.coldCredit, s.now-creditLifetime+s.settings.MinStep)
	if !s.isCold(ep) {
		return 0 // before the sums below, since this runs for every queued request in every step
	}
	if quotaAt, governed := s.quotaWait(ColdWork, ep, r, units); governed {
		return quotaAt
	}
	fraction, sent := s.processes.fraction(s.now)/float64(s.settings.Initiators), sumUnits(ep.coldSent)
	share := s.settings.ColdUnitsPerWindow * s.warmUpGrowth(ep) * fraction
	if creditLifetime > 0 {
		share /= 2
	}
	shareBelowRequest := share < s.settings.MeanUnits
	reportsLittleLoad := len(ep.inFlight) == 0 && ep.reportedLoad >= 0 && ep.reportedLoad <= maxColdLoad && s.now-ep.lastReportAt < rules.OverloadWindow
	if shareBelowRequest && reportsLittleLoad || !shareBelowRequest && sumUnits(ep.coldCredit) >= units {
		return 0
	}
	if ep.Started < s.startedAt && s.now-s.startedAt < rules.OverloadWindow {
		return s.startedAt + rules.OverloadWindow // it is unknown what the previous process sent
	}
	if shareBelowRequest { // shares follow the traffic; the reserve of 1/OverloadFactor covers the answered units
		share, ep.coldCredit = s.coldCapacity(ep)*(1-1/max(rules.OverloadFactor, 2))*fraction*ep.trafficShare, nil
	}
	// If a request is larger than the share, only so many initiators send one that their requests fit into
	// the shares of all. The rank differs for each endpoint, so that they are not always the same ones.
	if sent+units <= share || sent == 0 && units*s.initiatorRank(ep) <= share {
		return 0
	}
	return s.now + rules.OverloadWindow/coldPollsPerWindow
}

// coldCapacity is the units that a cold endpoint can take within Rules.OverloadWindow from all
// initiators: the configured value or, if larger, one computed from the service time and concurrency
// measured at warm endpoints (Little's law). Both grow at the slowest allowed warm-up.
func (s *Scheduler) coldCapacity(ep *endpoint) float64 {
	rules, growth := s.settings.Rules, s.warmUpGrowth(ep)
	configured := s.settings.ColdUnitsPerWindow * growth
	if s.warmServiceTime <= 0 || rules.ColdCapacityFraction <= 0 {
		return configured
	}
	serviceTime := max(ep.latency, s.warmServiceTime/(rules.ColdCapacityFraction*growth)) / max(1, s.warmConcurrency)
	return max(configured, s.settings.MeanUnits*rules.OverloadFactor*rules.OverloadWindow.Seconds()/serviceTime)
}

// estimateTrafficShare estimates this initiator's traffic to a shard relative to an even share: what
// it sent, compared with what warm endpoints had in flight. A prior of one request for each initiator
// is added to both, so that little traffic has little weight. The mean over all initiators is one.
func (s *Scheduler) estimateTrafficShare(shard int) float64 {
	if s.warmServiceTime <= 0 {
		return 1
	}
	rate := max(1, s.warmConcurrency) / s.warmServiceTime
	for _, ep := range s.endpointsOf(shard) {
		if ep.latency > 0 {
			rate = max(rate, ep.reportedConcurrency/ep.latency)
		}
	}
	window, initiators := s.settings.Rules.WarmUpTime, float64(s.settings.Initiators)
	sent := s.queueOf(max(shard, 0)).sentRate.current(s.now, window) / s.settings.MeanUnits
	prior := s.settings.Rules.OverloadWindow.Seconds() / window.Seconds() * initiators
	rate *= window.Seconds() * (1 - math.Exp(-(s.now-s.startedAt).Seconds()/window.Seconds())) // since this process started
	return (sent*initiators + prior) / (rate + prior)
}

// initiatorRank is this initiator's rank among all for an endpoint, in (0, 1]: its index, rotated by a
// hash of the endpoint's id that all initiators compute alike.
func (s *Scheduler) initiatorRank(ep *endpoint) float64 {
	h := fnv.New32a()
	h.Write([]byte(ep.ID))
	return (float64((uint32(s.initiatorIndex)+h.Sum32())%uint32(s.settings.Initiators)) + 1) / float64(s.settings.Initiators)
}

// warmUpGrowth is the endpoint's capacity now over that right after its start, at the slowest allowed
// warm-up.
func (s *Scheduler) warmUpGrowth(ep *endpoint) float64 {
	age := max(0, s.now-ep.Started)
	return 1 + (1/max(s.settings.Rules.ColdCapacityFraction, 0.01)-1)*age.Seconds()/s.settings.Rules.WarmUpTime.Seconds()
}

// isCold reports whether the endpoint started recently and the cold start rule applies to it.
func (s *Scheduler) isCold(ep *endpoint) bool {
	rules := s.settings.Rules
	return ep.Started > 0 && s.now-ep.Started < rules.WarmUpTime && rules.OverloadWindow > 0
}

// updateWarmEstimates updates the mean service time and concurrency of warm endpoints.
func (s *Scheduler) updateWarmEstimates(ep *endpoint, serviceTime float64, load *Load) {
	if load == nil || !(load.InFlight >= 0 && load.InFlight < maxPlausibleLoad) || s.isCold(ep) {
		return
	}
	s.warmServiceTime = cmp.Or(s.warmServiceTime, serviceTime)
	s.warmServiceTime += (serviceTime - s.warmServiceTime) * learningGain / slowGainDivisor
	s.warmConcurrency += (load.InFlight - s.warmConcurrency) * learningGain / slowGainDivisor
	ep.reportedConcurrency += (load.InFlight - ep.reportedConcurrency) * learningGain
}
