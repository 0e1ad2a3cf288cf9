package policy

// tightensColdLimits reports whether a cold endpoint may get less under these settings than under the
// previous ones, from one initiator or over a longer window.
func (set Settings) tightensColdLimits(was Settings) bool {
	a, b := set.Rules, was.Rules
	each := func(s Settings) float64 { return s.ColdUnitsPerWindow / float64(s.Initiators) }
	grows := func(r Rules) float64 {
		return (1/max(r.ColdCapacityFraction, 0.01) - 1) / max(r.WarmUpTime.Seconds(), 1e-3)
	}
	return a.OverloadWindow > b.OverloadWindow || a.WarmUpTime > b.WarmUpTime || a.OverloadFactor != b.OverloadFactor ||
		each(set) < each(was) || grows(a) < grows(b) || set.MeanUnits != was.MeanUnits
}

// applySettings takes over the settings and what is derived from them.
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

// adoptSettings replaces the settings while requests are in progress. What was learned and what was
// sent stays, so that no rule starts counting anew. Known requests keep their class; everything else
// applies from now on. The quota is not part of the settings that arrive, and stays. Invalid settings
// change nothing.
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
		s.startedAt = s.now // as after a start: what was sent under the old limits says nothing about the new ones
		for _, ep := range s.endpoints {
			ep.coldServed = nil
		}
	}
	for _, v := range s.volumes {
		switch p := s.plans[v.plan.Name]; {
		case p == nil: // its requests keep the removed plan
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
	s.waitTree = minWaitTree{} // expected waits depend on the settings
}

// moveVolume moves a volume to another plan. Its buckets are filled up to now at the old rates;
// tagScale lets rescaleTags stretch what lies ahead of now by the ratio of the rates.
func (s *Scheduler) moveVolume(v *volume, to *Plan) {
	rho := s.refillRate(v)
	v.tokens, v.tokensAt = min(s.bucketDepth(v), v.tokens+(s.now-v.tokensAt).Seconds()*rho), s.now
	s.reserveAvailable(v)
	s.refillRateLimit(v)
	if v.plan.RateLimit <= 0 {
		v.rateLimitTokens = 0 // there was no limit that filled it
	}
	v.plan = to
	v.tagScale = rho / s.refillRate(v)
}

// rescaleTags moves the tags of volumes whose rate has changed.
func (s *Scheduler) rescaleTags() {
	for _, q := range s.flowingQueues {
		for _, r := range q.requests {
			if k := r.volume.tagScale; k != 0 && r.startTag > s.now {
				by := toDuration((r.startTag-s.now).Seconds()*k) - (r.startTag - s.now)
				r.startTag, r.finishTag = r.startTag+by, r.finishTag+by
			}
		}
		for _, f := range q.flows {
			if k := f.volume.tagScale; k != 0 && f.maxStartTag > s.now {
				f.maxStartTag = s.now + toDuration((f.maxStartTag-s.now).Seconds()*k)
			}
		}
	}
}
