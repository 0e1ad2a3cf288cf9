package slope

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Figure is one cost of a role at a fleet size, with the limit that it is compared with.
type Figure struct {
	Role, Subject, When string // When: an ordinary day, the worst minute, ...
	Unit                string
	SlopeNames          []string // slopes that the figure is computed from
	Value               func(c costModel, s Size, l Limits) float64
	Limit               func(c costModel, s Size, l Limits) float64 // nil if there is no limit
	Mechanism           string
	MissingInput        string // input that a verdict needs and that the table lacks; empty if it lacks none
	Feed                Feed   // whether it applies without the feed, with it, or both
}

// Feed says which mechanism distributes changes to all initiators.
type Feed string

// Values of Feed.
const (
	FeedAny Feed = ""    // the figure applies to both
	FeedOff Feed = "off" // each instance watches discovery and its configuration at an agent
	FeedOn  Feed = "on"  // the change feed of internal/controlplane/watchstream/distribution
)

// costModel evaluates slopes for a figure and records which results are doubtful.
type costModel struct {
	table         *Table
	extrapolated  map[string]bool // slopes used beyond their measured range; nil if not recorded
	insignificant map[string]bool // slopes whose cost per unit was used but does not exceed its standard error; nil if not recorded
}

// costAt returns the cost of the named slope at a size.
func (c costModel) costAt(name string, size float64) float64 {
	x := c.table.Lookup(name)
	if c.extrapolated != nil && size > x.MaxSize {
		c.extrapolated[name] = true
	}
	return x.Cost(size)
}

// perUnit returns the cost of one more unit of size, for costs whose base belongs to the whole fleet or to the peer. If the slope does not exceed its standard
// error, that cost is unknown: the slope is recorded as insignificant and the average cost is returned.
func (c costModel) perUnit(name string) float64 {
	x := c.table.Lookup(name)
	if !x.Grows() && c.insignificant != nil {
		c.insignificant[name] = true
	}
	if x.Power != 1 || !x.Grows() {
		return x.Cost(x.MaxSize) / x.MaxSize
	}
	return x.Value
}

// maxSize returns the largest size that was measured.
func (c costModel) maxSize(name string) float64 { return c.table.Lookup(name).MaxSize }

// Verdict is the result of comparing a figure with its limit.
type Verdict string

// Values of Verdict.
const (
	WithinLimit  Verdict = "holds"
	ExceedsLimit Verdict = "lacks"
	Unknown      Verdict = "not known"
)

// Evaluation is a figure evaluated at the table's fleet size.
type Evaluation struct {
	Figure
	Value         float64
	Limit         float64 // 0 if there is none
	Verdict       Verdict
	Factor        float64  // value divided by limit
	BreakingSize  float64  // the smallest fleet, in initiators at the same proportions, that exceeds the limit; 0 if none up to maxFleetFactor times the size does
	Insignificant []string // slopes that had to exceed their standard error and do not, so that there is no verdict
	Extrapolated  []string // slopes used beyond the largest size measured
}

// Evaluate compares every figure with its limit.
func (t *Table) Evaluate() (all []Evaluation) {
	for _, f := range Figures() {
		all = append(all, t.evaluate(f))
	}
	return all
}

// maxFleetFactor bounds the search for a breaking size, as a multiple of the table's fleet size.
const maxFleetFactor = 10

func (t *Table) evaluate(f Figure) Evaluation {
	j := Evaluation{Figure: f, Verdict: Unknown}
	for _, n := range f.SlopeNames {
		if !t.Lookup(n).Known() {
			return j
		}
	}
	c := costModel{t, map[string]bool{}, map[string]bool{}}
	j.Value = f.Value(c, t.Size, t.Limits)
	if f.Limit != nil {
		j.Limit = f.Limit(c, t.Size, t.Limits)
		j.Factor = j.Value / j.Limit
	}
	j.Extrapolated, j.Insignificant = slices.Sorted(maps.Keys(c.extrapolated)), slices.Sorted(maps.Keys(c.insignificant))
	if f.Limit == nil || f.MissingInput != "" || len(j.Insignificant) > 0 {
		return j
	}
	j.Verdict = WithinLimit
	if j.Factor > 1 {
		j.Verdict = ExceedsLimit
	}
	j.BreakingSize = t.breakingSize(f)
	return j
}

// breakingSize returns the smallest fleet, in initiators, whose figure exceeds its limit; 0 if there is none within the search bound.
func (t *Table) breakingSize(f Figure) float64 {
	passed := func(n float64) bool {
		s, c := t.Size.Scaled(n), costModel{table: t}
		return f.Value(c, s, t.Limits) > f.Limit(c, s, t.Limits)
	}
	// Grow the fleet by steps, one of them the table's size, until the limit is exceeded; then bisect the last step.
	lo, hi := 0.0, 1.0
	for !passed(hi) {
		if hi > maxFleetFactor*t.Size.Initiators {
			return 0
		}
		if lo, hi = hi, hi*1.1; lo < t.Size.Initiators && hi > t.Size.Initiators {
			hi = t.Size.Initiators
		}
	}
	for range 40 {
		if mid := (lo + hi) / 2; passed(mid) {
			hi = mid
		} else {
			lo = mid
		}
	}
	return math.Ceil(hi)
}

// RankExceeded returns the figures that exceed their limit with the given distribution mechanism, sorted by breaking size.
func (t *Table) RankExceeded(by Feed) []Evaluation {
	all := slices.DeleteFunc(t.Evaluate(), func(j Evaluation) bool { return j.Verdict != ExceedsLimit || j.Feed != FeedAny && j.Feed != by })
	slices.SortStableFunc(all, func(a, b Evaluation) int { return cmp.Compare(a.BreakingSize, b.BreakingSize) })
	return all
}

// RankMechanisms returns, for each mechanism that exceeds a limit, the figure with the smallest breaking size, sorted by that size.
func (t *Table) RankMechanisms(by Feed) (all []Evaluation) {
	for _, j := range t.RankExceeded(by) {
		if !slices.ContainsFunc(all, func(x Evaluation) bool { return x.Mechanism == j.Mechanism }) {
			all = append(all, j)
		}
	}
	return all
}
