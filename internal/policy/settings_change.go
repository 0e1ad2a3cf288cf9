package policy

// What the settings say, taken over at the start and while requests are under way. Nothing is chosen, sent or answered here.

// tightensColdLimits tells whether these settings may let a cold node have less than others did, from one initiator or over a longer span.
func (set Settings) tightensColdLimits(was Settings) bool {
	a, b := set.Rules, was.Rules
	each := func(s Settings) float64 { return s.ColdUnitsPerWindow / float64(s.Initiators) }
	grows := func(r Rules) float64 {
		return (1/max(r.ColdCapacityFraction, 0.01) - 1) / max(r.WarmUpTime.Seconds(), 1e-3)
	}
	return a.OverloadWindow > b.OverloadWindow || a.WarmUpTime > b.WarmUpTime || a.OverloadFactor != b.OverloadFactor ||
		each(set) < each(was) || grows(a) < grows(b) || set.MeanUnits != was.MeanUnits
}

// applySettings takes the settings over as they are read by name, and what follows from them alone.
func (s *Scheduler) applySettings(set Settings) {
	s.settings, s.minObjective = set.clone(), never
	s.settings.MeanUnits = max(set.MeanUnits, 1e-3)
	s.classes, s.plans = map[string]*Class{}, map[string]*Plan{}
	for i := range s.settings.Classes {
		c := &s.settings.Classes[i]
		s.classes[c.Name] = c
		s.minObjective = min(s.minObjective, c.LatencyObjective)
	}
	for i := range s.settings.Plans {
		s.plans[s.settings.Plans[i].Name] = &s.settings.Plans[i]
	}
}

// adoptSettings takes other settings over while requests are under way. What was learned of nodes and volumes stays, and so does what was sent:
// nothing that a rule counts begins anew. A request that is known ends by its class as it came; all else holds from now on. The ration is
// not of the settings that are told, and stays. What cannot be served changes nothing.
func (s *Scheduler) adoptSettings(set Settings) {
	if set.Validate() != nil {
		return
	}
	was := s.settings
	set.Quota = was.Quota
	s.applySettings(set)
	if set.InitiatorIndex > 0 {
		s.initiatorIndex = set.InitiatorIndex - 1
	}
	if set.SubscribeToList != was.SubscribeToList {
		s.subscribeAt = never
		if set.SubscribeToList {
			s.subscribeAt = s.now
		}
	}
	if set.tightensColdLimits(was) {
		s.startedAt = s.now // as of a process that has just begun: what was sent under the settings before is no measure of these
		for _, n := range s.endpoints {
			n.coldServed = nil
		}
	}
	for _, v := range s.volumes {
		switch p := s.plans[v.plan.Name]; {
		case p == nil: // its requests end by the plan that they came under
		case *p == *v.plan:
			v.plan = p
		default:
			s.moveVolume(v, p)
		}
	}
	s.rescaleTags()
	for _, v := range s.volumes {
		v.tagScale = 0
	}
	s.waitTree = minWaitTree{} // waits hang on the settings
}

// moveVolume puts a volume that is known on another plan. What it was granted up to now is by the one before; retag has what lies ahead of now
// come as much sooner or later as the rate is higher or lower.
func (s *Scheduler) moveVolume(v *volume, to *Plan) {
	rho := s.refillRate(v)
	v.tokens, v.tokensAt = min(s.bucketDepth(v), v.tokens+(s.now-v.tokensAt).Seconds()*rho), s.now
	s.reserveAvailable(v)
	s.refillRateLimit(v)
	if v.plan.RateLimit <= 0 {
		v.rateLimitTokens = 0 // nothing filled it
	}
	v.plan = to
	v.tagScale = rho / s.refillRate(v)
}

// rescaleTags has the tags of volumes that were moved follow, in all lanes that have any.
func (s *Scheduler) rescaleTags() {
	for _, l := range s.flowingQueues {
		for _, r := range l.requests {
			if k := r.volume.tagScale; k != 0 && r.startTag > s.now {
				by := toDuration((r.startTag-s.now).Seconds()*k) - (r.startTag - s.now)
				r.startTag, r.finishTag = r.startTag+by, r.finishTag+by
			}
		}
		for _, f := range l.flows {
			if k := f.volume.tagScale; k != 0 && f.maxStartTag > s.now {
				f.maxStartTag = s.now + toDuration((f.maxStartTag-s.now).Seconds()*k)
			}
		}
	}
}
