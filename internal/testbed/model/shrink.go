package model

import "slices"

// Shrink cuts a run's faults down to few that break the same promise, by halves and then by ever smaller parts (Zeller and Hildebrandt,
// 2002, delta debugging), with at most so many runs. The run has to break something; the spec that is returned has the faults alone, none
// at random.
func Shrink(spec *Spec, seed uint64, most int) (small Spec, broken *ViolationError, runs int) {
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
	for parts := 2; len(small.Faults) > 0 && runs < most; {
		size := (len(small.Faults) + parts - 1) / parts
		cut := false
		for from := 0; from < len(small.Faults) && runs < most; from += size {
			less := slices.Concat(small.Faults[:from], small.Faults[min(from+size, len(small.Faults)):])
			if b := try(less); b != nil && b.Invariant == what {
				small.Faults, broken, cut = less, b, true
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
