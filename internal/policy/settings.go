package policy

// What the settings say, taken over at the start and while requests are under way. Nothing is chosen, sent or answered here.

import (
	"errors"
	"fmt"
	"slices"
)

// Check returns an error that names what of the settings cannot be served.
func (set Settings) Check() error {
	if len(set.Classes) == 0 || len(set.Plans) == 0 {
		return errors.New("settings need at least one class and one plan")
	}
	if set.Initiators < 1 {
		return fmt.Errorf("settings name %d initiators", set.Initiators)
	}
	for _, c := range set.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("class %q needs an aim and a deadline", c.Name)
		}
	}
	return nil
}

// clone copies what the settings share with their maker.
func (set Settings) clone() Settings {
	set.Classes, set.Plans = slices.Clone(set.Classes), slices.Clone(set.Plans)
	return set
}

// bearsLess tells whether these settings may let a cold node have less than others did, from one initiator or over a longer span.
func (set Settings) bearsLess(was Settings) bool {
	a, b := set.Rules, was.Rules
	each := func(s Settings) float64 { return s.ColdUnits / float64(s.Initiators) }
	grows := func(r Rules) float64 { return (1/max(r.ColdShare, 0.01) - 1) / max(r.WarmWithin.Seconds(), 1e-3) }
	return a.FallWithin > b.FallWithin || a.WarmWithin > b.WarmWithin || a.FallMultiple != b.FallMultiple ||
		each(set) < each(was) || grows(a) < grows(b) || set.MeanUnits != was.MeanUnits
}

// name takes the settings over as they are read by name, and what follows from them alone.
func (s *Scheduler) name(set Settings) {
	s.set, s.leastAim = set.clone(), never
	s.set.MeanUnits = max(set.MeanUnits, 1e-3)
	s.classes, s.plans = map[string]*Class{}, map[string]*Plan{}
	for i := range s.set.Classes {
		c := &s.set.Classes[i]
		s.classes[c.Name] = c
		s.leastAim = min(s.leastAim, c.Aim)
	}
	for i := range s.set.Plans {
		s.plans[s.set.Plans[i].Name] = &s.set.Plans[i]
	}
}

// adopt takes other settings over while requests are under way. What was learned of nodes and volumes stays, and so does what was sent:
// nothing that a rule counts begins anew. A request that is known ends by its class as it came; all else holds from now on. The ration is
// not of the settings that are told, and stays. What cannot be served changes nothing.
func (s *Scheduler) adopt(set Settings) {
	if set.Check() != nil {
		return
	}
	was := s.set
	set.Ration = was.Ration
	s.name(set)
	if set.Index > 0 {
		s.index = set.Index - 1
	}
	if set.AskForList != was.AskForList {
		s.askAt = never
		if set.AskForList {
			s.askAt = s.now
		}
	}
	if set.bearsLess(was) {
		s.born = s.now // as of a process that has just begun: what was sent under the settings before is no measure of these
		for _, n := range s.nodes {
			n.served = nil
		}
	}
	for _, v := range s.volumes {
		switch p := s.plans[v.plan.Name]; {
		case p == nil: // its requests end by the plan that they came under
		case *p == *v.plan:
			v.plan = p
		default:
			s.move(v, p)
		}
	}
	s.retag()
	for _, v := range s.volumes {
		v.stretch = 0
	}
	s.least = least{} // waits hang on the settings
}

// move puts a volume that is known on another plan. What it was granted up to now is by the one before; retag has what lies ahead of now
// come as much sooner or later as the rate is higher or lower.
func (s *Scheduler) move(v *volume, to *Plan) {
	rho := s.rho(v)
	v.tokens, v.filled = min(s.sigma(v), v.tokens+(s.now-v.filled).Seconds()*rho), s.now
	s.owed(v)
	s.stock(v)
	if v.plan.Limit <= 0 {
		v.store = 0 // nothing filled it
	}
	v.plan = to
	v.stretch = rho / s.rho(v)
}

// retag has the tags of volumes that were moved follow, in all lanes that have any.
func (s *Scheduler) retag() {
	for _, l := range s.flowing {
		for _, r := range l.held {
			if k := r.vol.stretch; k != 0 && r.start > s.now {
				by := seconds((r.start-s.now).Seconds()*k) - (r.start - s.now)
				r.start, r.finish = r.start+by, r.finish+by
			}
		}
		for _, f := range l.flows {
			if k := f.vol.stretch; k != 0 && f.maxS > s.now {
				f.maxS = s.now + seconds((f.maxS-s.now).Seconds()*k)
			}
		}
	}
}
