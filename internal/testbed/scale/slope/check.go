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
func (t *Table) CheckSlope(now Slope) error {
	then := t.Lookup(now.Name)
	if !then.Known() {
		return fmt.Errorf("%s: no such slope in the table", now.Name)
	}
	lo, hi := now.Measured[0], now.Measured[len(now.Measured)-1]
	if !now.Exact {
		was, is := then.Cost(hi.Size)/then.Cost(lo.Size), hi.Cost/lo.Cost
		if was > 0 && is > maxGrowthRatio*max(1, was) {
			return fmt.Errorf("%s: %v times as much at a size of %v as at %v, where the table has %v times", now.Name, formatNumber(is), hi.Size, lo.Size, formatNumber(was))
		}
		return nil
	}
	was, is := then.Cost(hi.Size)-then.Cost(lo.Size), hi.Cost-lo.Cost
	if is > maxGrowthRatio*max(0, was)+noiseFraction*then.Cost(hi.Size) {
		return fmt.Errorf("%s: from a size of %v to %v it grows by %s, where the table has %s", now.Name, lo.Size, hi.Size, formatAmount(is, now.Unit), formatAmount(was, now.Unit))
	}
	if is, was := hi.Cost, then.Cost(hi.Size); is > maxGrowthRatio*was {
		return fmt.Errorf("%s: %s at a size of %v, where the table has %s", now.Name, formatAmount(is, now.Unit), hi.Size, formatAmount(was, now.Unit))
	}
	return nil
}

// CheckProbes compares a short run of probes with the table. A probe with a slope that seems steeper is measured up to attempts times, since other load on the
// machine can only increase a time.
func (t *Table) CheckProbes(again int, measure func(Probe) ([]Slope, error), probes ...Probe) error {
	var all []error
	for _, p := range probes {
		var steeper error
		for range again {
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
