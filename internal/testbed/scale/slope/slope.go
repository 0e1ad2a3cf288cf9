// Package slope models the cost of each role of a fleet as a function of its size: measured slopes, the fleet size that the design has to
// support, and the figures and verdicts of docs/CAPACITY.md derived from both. slopes.json is the only source of those figures. The package
// is not linked into the initiator.
package slope

import (
	"bytes"
	"cmp"
	_ "embed"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// File is the path of the table, relative to the root of the repository.
const File = "internal/testbed/scale/slope/slopes.json"

//go:embed slopes.json
var embedded []byte

// Slope is a cost as a function of one size. Outside the range of the sizes measured it is Base + Value x size^Power.
type Slope struct {
	Name            string  `json:"name"`
	Unit            string  `json:"unit"`     // unit of the cost: us, B, allocs, ...
	Subject         string  `json:"of"`       // what has the cost
	Per             string  `json:"per"`      // what the size counts
	Value           float64 `json:"value"`    // units for each Per
	StdError        float64 `json:"error"`    // standard error of Value
	Base            float64 `json:"base"`     // cost at a size of 0
	Power           float64 `json:"power"`    // exponent of the size: 1 for a linear cost, 2 for a quadratic one
	MinSize         float64 `json:"least"`    // smallest size measured
	MaxSize         float64 `json:"most"`     // largest size measured
	PredictionError float64 `json:"off"`      // relative error of the cost predicted for the largest size from the others
	Residual        float64 `json:"noise"`    // relative RMS residual over the sizes fitted
	Command         string  `json:"command"`  // command that measured it
	Date            string  `json:"date"`     // of that run, formatted as 2026-12-02
	Cores           int     `json:"cores"`    // of the machine that measured it
	DurationSeconds float64 `json:"lasts_s"`  // duration of the probe
	Measured        []Point `json:"measured"` // the points fitted, and the largest size
	Exact           bool    `json:"exact"`    // a count or a number of bytes, the same in every run
	Description     string  `json:"about"`    // one line on what the probe runs
}

// Cost returns the cost at a size, never below 0. Between two measured sizes it interpolates with the power law through both; outside the measured range it
// uses the fit, or above that range the largest measured cost if the slope is not significant.
func (s Slope) Cost(size float64) float64 {
	i, found := slices.BinarySearchFunc(s.Measured, size, func(p Point, size float64) int { return cmp.Compare(p.Size, size) })
	fitted := s.Base + s.Value*math.Pow(size, s.Power)
	switch {
	case found:
		return s.Measured[i].Cost
	case len(s.Measured) == 0:
		return max(0, fitted)
	case i == 0 && fitted < 0: // the fit is negative below the sizes measured: scale the smallest one
		return s.Measured[0].Cost * size / s.Measured[0].Size
	case i == len(s.Measured) && !s.Grows():
		return slices.MaxFunc(s.Measured, func(a, b Point) int { return cmp.Compare(a.Cost, b.Cost) }).Cost
	case i == 0 || i == len(s.Measured):
		return max(0, fitted)
	}
	a, b := s.Measured[i-1], s.Measured[i]
	if a.Cost <= 0 || b.Cost <= 0 || a.Size <= 0 {
		return a.Cost + (b.Cost-a.Cost)*(size-a.Size)/(b.Size-a.Size)
	}
	return a.Cost * math.Pow(size/a.Size, math.Log(b.Cost/a.Cost)/math.Log(b.Size/a.Size))
}

// Grows reports whether the slope exceeds its standard error. Otherwise the cost of one more unit of size is unknown.
func (s Slope) Grows() bool { return s.Value > s.StdError }

// Known reports whether the slope was measured; the zero Slope was not.
func (s Slope) Known() bool { return s.Name != "" }

// InRange reports whether a size lies in the measured range.
func (s Slope) InRange(size float64) bool { return s.Known() && size >= s.MinSize && size <= s.MaxSize }

// maxNegativeStdErrors is how many standard errors a slope may lie below 0. No cost falls as the size grows, so one further below was measured wrongly.
const maxNegativeStdErrors = 3

// Table is all measured slopes, with the fleet size and the limits that they are evaluated for.
type Table struct {
	Size   Size    `json:"size"`
	Limits Limits  `json:"limits"`
	Slopes []Slope `json:"slopes"`           // sorted by name
	Before []Slope `json:"before,omitempty"` // earlier measurements, from before the code they measure was last optimized
}

// Lookup returns the slope of that name, or a zero Slope, which is not Known, if there is none.
func (t *Table) Lookup(name string) Slope {
	if i, found := slices.BinarySearchFunc(t.Slopes, name, compareSlopeName); found {
		return t.Slopes[i]
	}
	return Slope{}
}

func compareSlopeName(s Slope, name string) int { return strings.Compare(s.Name, name) }

// Set adds a slope or replaces the one of the same name.
func (t *Table) Set(s Slope) {
	t.Slopes = upsert(t.Slopes, s)
}

// SetBefore copies the current measurement of a slope to Before, for comparison after the code that it measures was optimized.
func (t *Table) SetBefore(name string) {
	if s := t.Lookup(name); s.Known() {
		t.Before = upsert(t.Before, s)
	}
}

func upsert(all []Slope, s Slope) []Slope {
	i, found := slices.BinarySearchFunc(all, s.Name, compareSlopeName)
	if found {
		all[i] = s
		return all
	}
	return slices.Insert(all, i, s)
}

// Load returns the table embedded in the program.
func Load() (*Table, error) { return Read(File, embedded) }

var jsonFormat = jsoniter.Config{EscapeHTML: false, SortMapKeys: true, DisallowUnknownFields: true}.Froze()

// Read decodes and validates a table. Errors name the file and the field.
func Read(file string, text []byte) (*Table, error) {
	var t Table
	d := jsonFormat.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(&t); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if d.More() {
		return nil, fmt.Errorf("%s: unexpected data after the table", file)
	}
	if err := t.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &t, nil
}

// Text encodes the table as its file stores it.
func (t *Table) Text() ([]byte, error) {
	b, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(t, "", "  ")
	return append(b, '\n'), err
}

// Check validates the table; the error names the first invalid field.
func (t *Table) Check() error {
	if err := t.Size.Check(); err != nil {
		return fmt.Errorf("size.%w", err)
	}
	if err := t.Limits.Check(); err != nil {
		return fmt.Errorf("limits.%w", err)
	}
	if err := checkSlopes("slopes", t.Slopes); err != nil {
		return err
	}
	return checkSlopes("before", t.Before)
}

func checkSlopes(field string, all []Slope) error {
	for i, s := range all {
		if err := s.check(); err != nil {
			return fmt.Errorf("%s[%d].%w", field, i, err)
		}
		if i > 0 && all[i-1].Name >= s.Name {
			return fmt.Errorf("%s[%d].name: %q is a duplicate or not in sorted order", field, i, s.Name)
		}
	}
	return nil
}

func (s *Slope) check() error {
	for _, f := range []struct{ field, value string }{{"name", s.Name}, {"unit", s.Unit}, {"of", s.Subject}, {"per", s.Per}, {"command", s.Command}} {
		if f.value == "" {
			return fmt.Errorf("%s: is missing", f.field)
		}
	}
	for _, f := range []struct {
		field string
		value float64
		least float64
	}{{"value", s.Value, math.Inf(-1)}, {"base", s.Base, math.Inf(-1)}, {"off", s.PredictionError, math.Inf(-1)}, {"error", s.StdError, 0}, {"least", s.MinSize, 0}, {"most", s.MaxSize, s.MinSize},
		{"noise", s.Residual, 0}} {
		if math.IsNaN(f.value) || math.IsInf(f.value, 0) || f.value < f.least {
			return fmt.Errorf("%s: %v is not a finite number of at least %v", f.field, f.value, f.least)
		}
	}
	if !(s.Power > 0 && s.Power <= 5) {
		return fmt.Errorf("power: %v is not above 0 and at most 5", s.Power)
	}
	if len(s.Measured) < minSizes {
		return fmt.Errorf("measured: %d sizes, at least %d are required", len(s.Measured), minSizes)
	}
	if s.Value < -maxNegativeStdErrors*s.StdError {
		return fmt.Errorf("value: %v ± %v: a cost that falls as the size grows is a measurement error", s.Value, s.StdError)
	}
	for i, p := range s.Measured {
		if !(p.Cost >= 0) {
			return fmt.Errorf("measured[%d].cost: %v is below 0", i, p.Cost)
		}
		if i > 0 && p.Size <= s.Measured[i-1].Size {
			return fmt.Errorf("measured[%d].size: %v is not larger than the previous one", i, p.Size)
		}
	}
	if _, err := time.Parse(time.DateOnly, s.Date); err != nil {
		return fmt.Errorf("date: %q is not a date like 2026-12-02", s.Date)
	}
	return nil
}
