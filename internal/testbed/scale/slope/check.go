package slope

import (
	"errors"
	"fmt"
)

// half is how much steeper a slope may have become before a check fails.
const maxGrowthRatio = 1.5

// hardly is the part of a cost that may pass for noise of what hardly grows.
const noiseFraction = 0.1

// Steeper holds what a short run measured against the table: an error where it has become half as steep again. Counts and bytes are compared as they are. Times depend on
// the machine and on what else it does: of them only the ratio is, of the largest size to the smallest of one run.
func (t *Table) CheckSlope(now Slope) error {
	then := t.Lookup(now.Name)
	if !then.Known() {
		return fmt.Errorf("%s: the table has no such slope", now.Name)
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

// Against holds a short run of probes against the table. What is compared by counts is measured once; a time that seems steeper is measured again, since whatever else the
// machine does can only add.
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
