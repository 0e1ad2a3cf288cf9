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
func (n *endpoint) chargeCold(now time.Duration, units float64, cold bool) {
	if !cold || sumUnits(n.coldServed) < units {
		n.coldSent = append(n.coldSent, timedUnits{now, units})
		return
	}
	for units > 0 && len(n.coldServed) > 0 {
		d := &n.coldServed[0]
		took := min(units, d.units)
		d.units, units = d.units-took, units-took
		if d.units <= 0 {
			n.coldServed = n.coldServed[1:]
		}
	}
}

// decayingRate is an exponentially decaying sum of units.
type decayingRate struct {
	units float64
	at    time.Duration
}

// current is the sum, decayed to now with the time constant over.
func (p *decayingRate) current(now, over time.Duration) float64 {
	return p.units * math.Exp(-(now-p.at).Seconds()/max(over.Seconds(), 1e-3))
}

// add adds units at now.
func (p *decayingRate) add(now time.Duration, units float64, over time.Duration) {
	p.units, p.at = p.current(now, over)+units, now
}

// coldGate bounds what all initiators together send to an endpoint that started recently, without any
// communication between them (docs/design.md, Cold nodes). Half of what the endpoint bears is divided
// evenly; the other half is earned: each answered unit allows another one. Where an even part is less
// than one request (a large fleet), the parts follow each initiator's share of the traffic, and an
// endpoint that reports little load gets one request at a time.
// The bound is stated over Rules.OverloadWindow. Inputs: the units sent here within that window, the
// units answered, the endpoint's load report, and the time since this process started.
func (s *Scheduler) coldGate(n *endpoint, r *request) time.Duration {
	ru, units := s.settings.Rules, r.Units
	// Also while it is warm, since a restart may be announced late.
	n.coldSent = dropOlderUnits(n.coldSent, s.now-ru.OverloadWindow-s.settings.MinStep)
	answers := time.Duration(float64(ru.OverloadWindow) * max(0, ru.OverloadFactor/2-1)) // how long an answered unit counts
	n.coldServed = dropOlderUnits(n.coldServed, s.now-answers+s.settings.MinStep)
	if !s.isCold(n) {
		return 0 // before the sums: every queued request comes here at every step
	}
	if at, governed := s.quotaWait(ColdWork, n, r, units); governed {
		return at
	}
	each, sum := s.processes.fraction(s.now)/float64(s.settings.Initiators), sumUnits(n.coldSent)
	part := s.settings.ColdUnitsPerWindow * s.warmUpGrowth(n) * each
	if answers > 0 {
		part /= 2
	}
	crowd := part < s.settings.MeanUnits
	few := len(n.inFlight) == 0 && n.reportedLoad >= 0 && n.reportedLoad <= maxColdLoad && s.now-n.lastReportAt < ru.OverloadWindow
	if crowd && few || !crowd && sumUnits(n.coldServed) >= units {
		return 0
	}
	if n.Started < s.startedAt && s.now-s.startedAt < ru.OverloadWindow {
		return s.startedAt + ru.OverloadWindow // what a previous process sent is unknown
	}
	if crowd { // parts follow the traffic share; earned units are covered by the reserve below
		part, n.coldServed = s.coldCapacity(n)*(1-1/max(ru.OverloadFactor, 2))*each*n.trafficShare, nil
	}
	// A request larger than the part is sent by as many initiators as parts make up one request. The rank
	// differs for each endpoint, so that it is not always the same initiators.
	if sum+units <= part || sum == 0 && units*s.initiatorRank(n) <= part {
		return 0
	}
	return s.now + ru.OverloadWindow/16
}

// coldCapacity is the units that a cold endpoint bears within Rules.OverloadWindow from all
// initiators: by the settings, or if that is more by what warm endpoints were seen to do (Little's
// law), scaled along the slowest allowed warm-up.
func (s *Scheduler) coldCapacity(n *endpoint) float64 {
	ru, grown := s.settings.Rules, s.warmUpGrowth(n)
	told := s.settings.ColdUnitsPerWindow * grown
	if s.warmServiceTime <= 0 || ru.ColdCapacityFraction <= 0 {
		return told
	}
	takes := max(n.latency, s.warmServiceTime/(ru.ColdCapacityFraction*grown)) / max(1, s.warmConcurrency)
	return max(told, s.settings.MeanUnits*ru.OverloadFactor*ru.OverloadWindow.Seconds()/takes)
}

// estimateTrafficShare estimates this initiator's traffic to a shard relative to an even share: what
// it sent against what warm endpoints had in flight. One request for each initiator is added to both,
// so that little traffic proves little. The mean over all initiators is one.
func (s *Scheduler) estimateTrafficShare(shard int) float64 {
	if s.warmServiceTime <= 0 {
		return 1
	}
	rate := max(1, s.warmConcurrency) / s.warmServiceTime
	for _, n := range s.endpointsOf(shard) {
		if n.latency > 0 {
			rate = max(rate, n.reportedConcurrency/n.latency)
		}
	}
	over, all := s.settings.Rules.WarmUpTime, float64(s.settings.Initiators)
	sent := s.queueOf(max(shard, 0)).sentRate.current(s.now, over) / s.settings.MeanUnits
	little := s.settings.Rules.OverloadWindow.Seconds() / over.Seconds() * all
	rate *= over.Seconds() * (1 - math.Exp(-(s.now-s.startedAt).Seconds()/over.Seconds())) // in its life
	return (sent*all + little) / (rate + little)
}

// initiatorRank is this initiator's rank among all at an endpoint, in (0, 1], by a hash that all
// initiators compute alike.
func (s *Scheduler) initiatorRank(n *endpoint) float64 {
	h := fnv.New32a()
	h.Write([]byte(n.ID))
	return (float64((uint32(s.initiatorIndex)+h.Sum32())%uint32(s.settings.Initiators)) + 1) / float64(s.settings.Initiators)
}

// warmUpGrowth is how much more load the endpoint bears now than right after its start, by the slowest
// allowed warm-up.
func (s *Scheduler) warmUpGrowth(n *endpoint) float64 {
	age := max(0, s.now-n.Started)
	return 1 + (1/max(s.settings.Rules.ColdCapacityFraction, 0.01)-1)*age.Seconds()/s.settings.Rules.WarmUpTime.Seconds()
}

// isCold reports whether the endpoint started recently and the cold start rule applies to it.
func (s *Scheduler) isCold(n *endpoint) bool {
	ru := s.settings.Rules
	return n.Started > 0 && s.now-n.Started < ru.WarmUpTime && ru.OverloadWindow > 0
}

// learnWarm updates the mean service time and concurrency of warm endpoints.
func (s *Scheduler) learnWarm(n *endpoint, took float64, l *Load) {
	if l == nil || !(l.InFlight >= 0 && l.InFlight < 1e6) || s.isCold(n) {
		return
	}
	s.warmServiceTime = cmp.Or(s.warmServiceTime, took)
	s.warmServiceTime += (took - s.warmServiceTime) * learningGain / 8
	s.warmConcurrency += (l.InFlight - s.warmConcurrency) * learningGain / 8
	n.reportedConcurrency += (l.InFlight - n.reportedConcurrency) * learningGain
}
