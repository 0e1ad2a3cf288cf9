package model

import "slices"

// Shrink reduces a run's faults to few that violate the same invariant, by delta debugging (Zeller and Hildebrandt, 2002):
// it removes halves and then ever smaller parts, with at most maxRuns runs. broken is nil if the run violates nothing. The
// returned spec lists all its faults and adds none at random.
func Shrink(spec *Spec, seed uint64, maxRuns int) (small Spec, broken *ViolationError, runs int) {
	small = *spec
	small.Faults, small.Random = Faults(spec, seed), nil
	try := func(faults []Fault) *ViolationError {
		s := small
		s.Faults = faults
		runs++
		return Run(&s, seed, false).Violation
	}
	if broken = try(small.Faults); broken == nil {
		return small, nil, runs
	}
	what := broken.Invariant
	for parts := 2; len(small.Faults) > 0 && runs < maxRuns; {
		size := (len(small.Faults) + parts - 1) / parts
		cut := false
		for from := 0; from < len(small.Faults) && runs < maxRuns; from += size {
			remaining := slices.Concat(small.Faults[:from], small.Faults[min(from+size, len(small.Faults)):])
			if b := try(remaining); b != nil && b.Invariant == what {
				small.Faults, broken, cut = remaining, b, true
				break
			}
		}
		switch {
		case cut:
			parts = max(2, parts-1)
		case size == 1:
			return small, broken, runs
		default:
			parts = min(2*parts, len(small.Faults))
		}
	}
	return small, broken, runs
}
