package policy

// tightensColdLimits reports whether a cold endpoint may get less from one initiator under these settings
// than under the previous ones, or over a longer window. Any change of OverloadFactor or MeanUnits counts
// as tightening.
func (set Settings) tightensColdLimits(previous Settings) bool {
	rules, previousRules := set.Rules, previous.Rules
	unitsPerInitiator := func(s Settings) float64 { return s.ColdUnitsPerWindow / float64(s.Initiators) }
	growthRate := func(r Rules) float64 {
		return (1/max(r.ColdCapacityFraction, 0.01) - 1) / max(r.WarmUpTime.Seconds(), 1e-3)
	}
	return rules.OverloadWindow > previousRules.OverloadWindow || rules.WarmUpTime > previousRules.WarmUpTime || rules.OverloadFactor != previousRules.OverloadFactor ||
		unitsPerInitiator(set) < unitsPerInitiator(previous) || growthRate(rules) < growthRate(previousRules) || set.MeanUnits != previous.MeanUnits
}

// applySettings replaces the settings and the tables that are derived from them.
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

// adoptSettings replaces the settings while requests are open. Estimates and counts of what was sent are
// kept, so that no rule starts counting from zero. Known requests keep their class; everything else
// applies from now on. The Quota is not part of the settings event and is kept. Invalid settings are
// ignored.
func (s *Scheduler) adoptSettings(set Settings) {
	if set.Validate() != nil {
		return
	}
	previous := s.settings
	set.Quota = previous.Quota
	s.applySettings(set)
	if set.InitiatorIndex > 0 {
		s.initiatorIndex = set.InitiatorIndex - 1
	}
	if set.SubscribeToList != previous.SubscribeToList {
		s.subscribeAt = never
		if set.SubscribeToList {
			s.subscribeAt = s.now
		}
	}
	if set.tightensColdLimits(previous) {
		s.startedAt = s.now // as after a start: what was sent under the old limits cannot be counted against the new ones
		for _, ep := range s.endpoints {
			ep.coldCredit = nil
		}
	}
	for _, v := range s.volumes {
		switch p := s.plans[v.plan.Name]; {
		case p == nil: // the plan was removed: the volume keeps it
		case *p == *v.plan:
			v.plan = p
		default:
			s.changePlan(v, p)
		}
	}
	s.rescaleTags()
	for _, v := range s.volumes {
		v.tagScale = 0
	}
	s.waitTree = minWaitTree{} // expected waits depend on the settings
}

// changePlan changes the plan of a volume. Its buckets are refilled up to now at the old rates; tagScale
// makes rescaleTags stretch the part of its tags that lies in the future by the ratio of the rates.
func (s *Scheduler) changePlan(v *volume, to *Plan) {
	oldRate := s.refillRate(v)
	v.tokens, v.tokensAt = min(s.bucketDepth(v), v.tokens+(s.now-v.tokensAt).Seconds()*oldRate), s.now
	s.reserveAvailable(v)
	s.refillRateLimit(v)
	if v.plan.RateLimit <= 0 {
		v.rateLimitTokens = 0 // without a limit the bucket was only debited, never refilled
	}
	v.plan = to
	v.tagScale = oldRate / s.refillRate(v)
}

// rescaleTags moves the future tags of the volumes whose tagScale changePlan has set.
func (s *Scheduler) rescaleTags() {
	for _, q := range s.queuesWithFlows {
		for _, r := range q.requests {
			if ratio := r.volume.tagScale; ratio != 0 && r.startTag > s.now {
				shift := toDuration((r.startTag-s.now).Seconds()*ratio) - (r.startTag - s.now)
				r.startTag, r.finishTag = r.startTag+shift, r.finishTag+shift
			}
		}
		for _, f := range q.flows {
			if ratio := f.volume.tagScale; ratio != 0 && f.maxStartTag > s.now {
				f.maxStartTag = s.now + toDuration((f.maxStartTag-s.now).Seconds()*ratio)
			}
		}
	}
}
