package slope

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Figure is one cost of a role at a size, held against its limit.
type Figure struct {
	Role, Subject, When string // when: an ordinary day, the worst minute, ...
	Unit                string
	SlopeNames          []string // the slopes that it is reckoned from
	Value               func(c costModel, s Size, l Limits) float64
	Limit               func(c costModel, s Size, l Limits) float64 // nil: none is told
	Mechanism           string
	MissingInput        string // what has to be known for a verdict and was not told
	Feed                Feed   // whether it is so without the feed, by it, or either way
}

// Feed says by what changes get to all.
type Feed string

// The mechanisms.
const (
	FeedAny Feed = ""    // it does not matter
	FeedOff Feed = "off" // discovery and the agents' configurations of each instance
	FeedOn  Feed = "on"  // the feed of changes, internal/controlplane/watchstream/distribution
)

// costs is what a figure is reckoned from.
type costModel struct {
	table         *Table
	extrapolated  map[string]bool // slopes that were not measured at as large a size; nil: nobody asks
	insignificant map[string]bool // those of which one more's cost was asked for and is not above its error
}

// at is the cost at a size.
func (c costModel) costAt(name string, size float64) float64 {
	x := c.table.Lookup(name)
	if c.extrapolated != nil && size > x.MaxSize {
		c.extrapolated[name] = true
	}
	return x.Cost(size)
}

// each is what one more costs, where the base is the fleet's own or the other end's. Where the slope is not above its own error that is not known.
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

// most is the largest size that was measured.
func (c costModel) maxSize(name string) float64 { return c.table.Lookup(name).MaxSize }

// Verdict is how a figure stands.
type Verdict string

// The verdicts.
const (
	WithinLimit  Verdict = "holds"
	ExceedsLimit Verdict = "lacks"
	Unknown      Verdict = "not known"
)

// Judged is a figure at the table's size.
type Evaluation struct {
	Figure
	Value         float64
	Limit         float64 // 0: none is told
	Verdict       Verdict
	Factor        float64  // value over limit
	BreakingSize  float64  // the smallest fleet, in initiators with the same proportions, at which the limit is passed; 0: none up to ten times the size
	Insignificant []string // slopes that are not above their error, and had to be: there is no verdict
	Extrapolated  []string // slopes that were not measured at as large a size
}

// Judge holds every figure against its limit.
func (t *Table) Evaluate() (all []Evaluation) {
	for _, f := range Figures() {
		all = append(all, t.evaluate(f))
	}
	return all
}

// mostTimes is how many times the size a limit is looked for.
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

// breaks is the smallest fleet whose figure passes its limit.
func (t *Table) breakingSize(f Figure) float64 {
	passed := func(n float64) bool {
		s, c := t.Size.Scaled(n), costModel{table: t}
		return f.Value(c, s, t.Limits) > f.Limit(c, s, t.Limits)
	}
	// The first of ever larger fleets, the size itself among them, and then between it and the one before.
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

// Rank is what the fleet's size does not bear without the feed or by it, the first to break first.
func (t *Table) RankExceeded(by Feed) []Evaluation {
	all := slices.DeleteFunc(t.Evaluate(), func(j Evaluation) bool { return j.Verdict != ExceedsLimit || j.Feed != FeedAny && j.Feed != by })
	slices.SortStableFunc(all, func(a, b Evaluation) int { return cmp.Compare(a.BreakingSize, b.BreakingSize) })
	return all
}

// Missing is the mechanisms that are not there for the size, the one that breaks first first, each with the figure that breaks first.
func (t *Table) RankMechanisms(by Feed) (all []Evaluation) {
	for _, j := range t.RankExceeded(by) {
		if !slices.ContainsFunc(all, func(x Evaluation) bool { return x.Mechanism == j.Mechanism }) {
			all = append(all, j)
		}
	}
	return all
}
