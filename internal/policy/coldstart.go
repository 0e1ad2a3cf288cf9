package policy

import (
	"cmp"
	"hash/fnv"
	"math"
	"time"
)

// timedUnits is an amount of work at a time.
type timedUnits struct {
	at    time.Duration
	units float64
}

// dropOlderUnits drops the entries before from.
func dropOlderUnits(list []timedUnits, from time.Duration) []timedUnits {
	for len(list) > 0 && list[0].at < from {
		list = list[1:]
	}
	return list
}

// sumUnits is the sum of the entries.
func sumUnits(list []timedUnits) (sum float64) {
	for _, d := range list {
		sum += d.units
	}
	return sum
}

// chargeCold records units that are sent. At a cold endpoint they use up units that it has answered,
// if there are enough, and count against the even part otherwise.
func (ep *endpoint) chargeCold(now time.Duration, units float64, cold bool) {
	if !cold || sumUnits(ep.coldServed) < units {
		ep.coldSent = append(ep.coldSent, timedUnits{now, units})
		return
	}
	for units > 0 && len(ep.coldServed) > 0 {
		d := &ep.coldServed[0]
		used := min(units, d.units)
		d.units, units = d.units-used, units-used
		if d.units <= 0 {
			ep.coldServed = ep.coldServed[1:]
		}
	}
}

// decayingRate is an exponentially decaying sum of units.
type decayingRate struct {
	units float64
	at    time.Duration
}

// current is the sum, decayed to now with the time constant over.
func (d *decayingRate) current(now, timeConstant time.Duration) float64 {
	return d.units * math.Exp(-(now-d.at).Seconds()/max(timeConstant.Seconds(), 1e-3))
}

// add adds units at now.
func (d *decayingRate) add(now time.Duration, units float64, timeConstant time.Duration) {
	d.units, d.at = d.current(now, timeConstant)+units, now
}

// coldGate bounds what all initiators together send to an endpoint that started recently, without any
// communication between them (docs/design.md, Cold nodes). Half of what the endpoint bears is divided
// evenly; the other half is earned: each answered unit allows another one. Where an even part is less
// than one request (a large fleet), the parts follow each initiator's share of the traffic, and an
// endpoint that reports little load gets one request at a time.
// The bound is stated over Rules.OverloadWindow. Inputs: the units sent here within that window, the
// units answered, the endpoint's load report, and the time since this process started.
func (s *Scheduler) coldGate(ep *endpoint, r *request) time.Duration {
	rules, units := s.settings.Rules, r.Units
	// Also while it is warm, since a restart may be announced late.
	ep.coldSent = dropOlderUnits(ep.coldSent, s.now-rules.OverloadWindow-s.settings.MinStep)
	earnedFor := time.Duration(float64(rules.OverloadWindow) * max(0, rules.OverloadFactor/2-1)) // how long an answered unit counts
	ep.coldServed = dropOlderUnits(ep.coldServed, s.now-earnedFor+s.settings.MinStep)
	if !s.isCold(ep) {
		return 0 // before the sums: every queued request comes here at every step
	}
	if quotaAt, governed := s.quotaWait(ColdWork, ep, r, units); governed {
		return quotaAt
	}
	fraction, sent := s.processes.fraction(s.now)/float64(s.settings.Initiators), sumUnits(ep.coldSent)
	part := s.settings.ColdUnitsPerWindow * s.warmUpGrowth(ep) * fraction
	if earnedFor > 0 {
		part /= 2
	}
	partBelowRequest := part < s.settings.MeanUnits
	reportsLittleLoad := len(ep.inFlight) == 0 && ep.reportedLoad >= 0 && ep.reportedLoad <= maxColdLoad && s.now-ep.lastReportAt < rules.OverloadWindow
	if partBelowRequest && reportsLittleLoad || !partBelowRequest && sumUnits(ep.coldServed) >= units {
		return 0
	}
	if ep.Started < s.startedAt && s.now-s.startedAt < rules.OverloadWindow {
		return s.startedAt + rules.OverloadWindow // what a previous process sent is unknown
	}
	if partBelowRequest { // parts follow the traffic share; earned units are covered by the reserve below
		part, ep.coldServed = s.coldCapacity(ep)*(1-1/max(rules.OverloadFactor, 2))*fraction*ep.trafficShare, nil
	}
	// A request larger than the part is sent by as many initiators as parts make up one request. The rank
	// differs for each endpoint, so that it is not always the same initiators.
	if sent+units <= part || sent == 0 && units*s.initiatorRank(ep) <= part {
		return 0
	}
	return s.now + rules.OverloadWindow/coldPollsPerWindow
}

// coldCapacity is the units that a cold endpoint bears within Rules.OverloadWindow from all
// initiators: by the settings, or if that is more by what warm endpoints were seen to do (Little's
// law), scaled along the slowest allowed warm-up.
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
// it sent against what warm endpoints had in flight. One request for each initiator is added to both,
// so that little traffic proves little. The mean over all initiators is one.
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
	rate *= window.Seconds() * (1 - math.Exp(-(s.now-s.startedAt).Seconds()/window.Seconds())) // in its life
	return (sent*initiators + prior) / (rate + prior)
}

// initiatorRank is this initiator's rank among all at an endpoint, in (0, 1], by a hash that all
// initiators compute alike.
func (s *Scheduler) initiatorRank(ep *endpoint) float64 {
	h := fnv.New32a()
	h.Write([]byte(ep.ID))
	return (float64((uint32(s.initiatorIndex)+h.Sum32())%uint32(s.settings.Initiators)) + 1) / float64(s.settings.Initiators)
}

// warmUpGrowth is how much more load the endpoint bears now than right after its start, by the slowest
// allowed warm-up.
func (s *Scheduler) warmUpGrowth(ep *endpoint) float64 {
	age := max(0, s.now-ep.Started)
	return 1 + (1/max(s.settings.Rules.ColdCapacityFraction, 0.01)-1)*age.Seconds()/s.settings.Rules.WarmUpTime.Seconds()
}

// isCold reports whether the endpoint started recently and the cold start rule applies to it.
func (s *Scheduler) isCold(ep *endpoint) bool {
	rules := s.settings.Rules
	return ep.Started > 0 && s.now-ep.Started < rules.WarmUpTime && rules.OverloadWindow > 0
}

// learnWarm updates the mean service time and concurrency of warm endpoints.
func (s *Scheduler) learnWarm(ep *endpoint, serviceTime float64, load *Load) {
	if load == nil || !(load.InFlight >= 0 && load.InFlight < maxPlausibleLoad) || s.isCold(ep) {
		return
	}
	s.warmServiceTime = cmp.Or(s.warmServiceTime, serviceTime)
	s.warmServiceTime += (serviceTime - s.warmServiceTime) * learningGain / slowGainDivisor
	s.warmConcurrency += (load.InFlight - s.warmConcurrency) * learningGain / slowGainDivisor
	ep.reportedConcurrency += (load.InFlight - ep.reportedConcurrency) * learningGain
}
