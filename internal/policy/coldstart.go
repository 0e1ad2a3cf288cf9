package policy

import (
	"cmp"
	"hash/fnv"
	"math"
	"time"
)

type timedUnits struct {
	at    time.Duration
	units float64
}

// dropOlderUnits drops the draws before from.
func dropOlderUnits(list []timedUnits, from time.Duration) []timedUnits {
	for len(list) > 0 && list[0].at < from {
		list = list[1:]
	}
	return list
}

// sumUnits sums the draws.
func sumUnits(list []timedUnits) (sum float64) {
	for _, d := range list {
		sum += d.units
	}
	return sum
}

// chargeCold notes that units are sent, for as many answered ones or as part of what may be sent unasked.
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

// decayingRate is the units sent over about as long as it looks back.
type decayingRate struct {
	units float64
	at    time.Duration
}

func (p *decayingRate) current(current, over time.Duration) float64 {
	return p.units * math.Exp(-(current-p.at).Seconds()/max(over.Seconds(), 1e-3))
}

func (p *decayingRate) add(now time.Duration, units float64, over time.Duration) {
	p.units, p.at = p.current(now, over)+units, now
}

// coldGate keeps the sum of what all initiators send to a cold node within what it bears, whatever others do
// (docs/design.md, Cold nodes): half by parts, which need no word from anybody, and half by answers, each of
// which lets as much go once more. Where the even part is under one mean request, parts follow what was sent.
func (s *Scheduler) coldGate(n *endpoint, r *request) time.Duration {
	ru, units := s.settings.Rules, r.Units
	// Also while it is warm: a start is told late.
	n.coldSent = dropOlderUnits(n.coldSent, s.now-ru.OverloadWindow-s.settings.MinStep)
	answers := time.Duration(float64(ru.OverloadWindow) * max(0, ru.OverloadFactor/2-1)) // they count for so long
	n.coldServed = dropOlderUnits(n.coldServed, s.now-answers+s.settings.MinStep)
	if !s.isCold(n) {
		return 0 // before the sums: every held request comes here at every step
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
		return s.startedAt + ru.OverloadWindow // what was sent before this process began is not known
	}
	if crowd { // by what is sent from here; answers have as much as the node does in the span
		part, n.coldServed = s.coldCapacity(n)*(1-1/max(ru.OverloadFactor, 2))*each*n.trafficShare, nil
	}
	// One over the part goes from as few initiators as the part is of it, others at each node.
	if sum+units <= part || sum == 0 && units*s.initiatorRank(n) <= part {
		return 0
	}
	return s.now + ru.OverloadWindow/16
}

// coldCapacity is the units that a cold node bears now in the span of the rule, from all: along the slowest ramp, by
// the settings or, if that is more, by what warm nodes do (Little's law). It takes longer here while cold.
func (s *Scheduler) coldCapacity(n *endpoint) float64 {
	ru, grown := s.settings.Rules, s.warmUpGrowth(n)
	told := s.settings.ColdUnitsPerWindow * grown
	if s.warmServiceTime <= 0 || ru.ColdCapacityFraction <= 0 {
		return told
	}
	takes := max(n.latency, s.warmServiceTime/(ru.ColdCapacityFraction*grown)) / max(1, s.warmConcurrency)
	return max(told, s.settings.MeanUnits*ru.OverloadFactor*ru.OverloadWindow.Seconds()/takes)
}

// estimateTrafficShare is this initiator's part of all that is sent to the shard, in even parts: what went from here of what
// its node and warm ones had in hand for as long as one took. Little sent says little, so one request of each
// in as many spans as a node takes to warm counts too. Its mean over all initiators is one.
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

// initiatorRank is this initiator's place among all at a node, from 0 to 1, known without talk.
func (s *Scheduler) initiatorRank(n *endpoint) float64 {
	h := fnv.New32a()
	h.Write([]byte(n.ID))
	return (float64((uint32(s.initiatorIndex)+h.Sum32())%uint32(s.settings.Initiators)) + 1) / float64(s.settings.Initiators)
}

// warmUpGrowth is how much more the node bears than one that has just started: work at cold nodes is counted in what such a one bears.
func (s *Scheduler) warmUpGrowth(n *endpoint) float64 {
	age := max(0, s.now-n.Started)
	return 1 + (1/max(s.settings.Rules.ColdCapacityFraction, 0.01)-1)*age.Seconds()/s.settings.Rules.WarmUpTime.Seconds()
}

// isCold tells whether the rule on cold nodes holds for the node now.
func (s *Scheduler) isCold(n *endpoint) bool {
	ru := s.settings.Rules
	return n.Started > 0 && s.now-n.Started < ru.WarmUpTime && ru.OverloadWindow > 0
}

// learnWarm notes how long warm nodes take and how many they have in hand meanwhile.
func (s *Scheduler) learnWarm(n *endpoint, took float64, l *Load) {
	if l == nil || !(l.InFlight >= 0 && l.InFlight < 1e6) || s.isCold(n) {
		return
	}
	s.warmServiceTime = cmp.Or(s.warmServiceTime, took)
	s.warmServiceTime += (took - s.warmServiceTime) * learningGain / 8
	s.warmConcurrency += (l.InFlight - s.warmConcurrency) * learningGain / 8
	n.reportedConcurrency += (l.InFlight - n.reportedConcurrency) * learningGain
}
