package slope

import (
	"errors"
	"fmt"
)

// maxGrowthRatio is how much steeper a slope may become before a check fails.
const maxGrowthRatio = 1.5

// noiseFraction is the part of a cost that counts as noise, so that a nearly flat slope does not fail for a tiny growth.
const noiseFraction = 0.1

// CheckSlope compares a slope measured by a short run with the table and returns an error if it is more than maxGrowthRatio as steep. Counts and bytes are compared
// directly. Times depend on the machine and its other load, so only the ratio of the largest size to the smallest one of the same run is compared.
func (t *Table) CheckSlope(current Slope) error {
	recorded := t.Lookup(current.Name)
	if !recorded.Known() {
		return fmt.Errorf("%s: no such slope in the table", current.Name)
	}
	lo, hi := current.Measured[0], current.Measured[len(current.Measured)-1]
	if !current.Exact {
		recordedRatio, ratio := recorded.Cost(hi.Size)/recorded.Cost(lo.Size), hi.Cost/lo.Cost
		if recordedRatio > 0 && ratio > maxGrowthRatio*max(1, recordedRatio) {
			return fmt.Errorf("%s: %v times as much at a size of %v as at %v, where the table has %v times", current.Name, formatNumber(ratio), hi.Size, lo.Size, formatNumber(recordedRatio))
		}
		return nil
	}
	recordedGrowth, growth := recorded.Cost(hi.Size)-recorded.Cost(lo.Size), hi.Cost-lo.Cost
	if growth > maxGrowthRatio*max(0, recordedGrowth)+noiseFraction*recorded.Cost(hi.Size) {
		return fmt.Errorf("%s: from a size of %v to %v it grows by %s, where the table has %s", current.Name, lo.Size, hi.Size, formatAmount(growth, current.Unit), formatAmount(recordedGrowth, current.Unit))
	}
	if cost, recordedCost := hi.Cost, recorded.Cost(hi.Size); cost > maxGrowthRatio*recordedCost {
		return fmt.Errorf("%s: %s at a size of %v, where the table has %s", current.Name, formatAmount(cost, current.Unit), hi.Size, formatAmount(recordedCost, current.Unit))
	}
	return nil
}

// CheckProbes compares a short run of probes with the table. A probe with a slope that seems steeper is measured up to attempts times, since other load on the
// machine can only increase a time.
func (t *Table) CheckProbes(attempts int, measure func(Probe) ([]Slope, error), probes ...Probe) error {
	var all []error
	for _, p := range probes {
		var steeper error
		for range attempts {
			list, err := measure(p)
			if err != nil {
				return err
			}
			steeper = nil
			for i, s := range list {
				if !p.Metrics[i].Noisy {
					steeper = errors.Join(steeper, t.CheckSlope(s))
				}
			}
			if steeper == nil {
				break
			}
		}
		all = append(all, steeper)
	}
	return errors.Join(all...)
}
