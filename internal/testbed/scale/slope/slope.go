// Package slope has what each role of a fleet costs by size: slopes that were measured, the size that decides the design, and the
// figures and verdicts of docs/CAPACITY.md that follow from both. The table slopes.json is the only place of those figures. Nothing of it
// is linked into the initiator.
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

// File is where the table stands, from the top of the repository.
const File = "internal/testbed/scale/slope/slopes.json"

//go:embed slopes.json
var embedded []byte

// Slope is what something costs for each of what it grows by: beyond the sizes measured it costs Base + Value x size^Power.
type Slope struct {
	Name            string  `json:"name"`
	Unit            string  `json:"unit"`     // of the cost: us, B, allocs, ...
	Subject         string  `json:"of"`       // what costs it
	Per             string  `json:"per"`      // what it grows by
	Value           float64 `json:"value"`    // units for each of Per
	StdError        float64 `json:"error"`    // standard error of Value
	Base            float64 `json:"base"`     // units at a size of 0
	Power           float64 `json:"power"`    // 1, or 2 where it grows with the square
	MinSize         float64 `json:"least"`    // range of sizes measured
	MaxSize         float64 `json:"most"`     //
	PredictionError float64 `json:"off"`      // the largest size, foretold from the rest, less what was measured there, as a part of that
	Residual        float64 `json:"noise"`    // residual of the sizes fitted, as a part of each
	Command         string  `json:"command"`  // what measured it
	Date            string  `json:"date"`     // of that run, as in 2026-12-02
	Cores           int     `json:"cores"`    // of the machine that it ran on
	DurationSeconds float64 `json:"lasts_s"`  // of the probe, seconds
	Measured        []Point `json:"measured"` // what was fitted, and the largest
	Exact           bool    `json:"exact"`    // counts or bytes: the same in every run
	Description     string  `json:"about"`    // what was run, in a line
}

// At is the cost at a size, never below 0. Between two sizes that were measured it lies on the power of the size that joins them; beyond all of them it is what
// was fitted, or what was measured at most where nothing shows that it grows.
func (s Slope) Cost(size float64) float64 {
	i, there := slices.BinarySearchFunc(s.Measured, size, func(p Point, size float64) int { return cmp.Compare(p.Size, size) })
	fitted := s.Base + s.Value*math.Pow(size, s.Power)
	switch {
	case there:
		return s.Measured[i].Cost
	case len(s.Measured) == 0:
		return max(0, fitted)
	case i == 0 && fitted < 0: // the fit goes through 0 below the sizes measured
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

// Grows tells whether the slope is above its own error: what one more costs is not known otherwise.
func (s Slope) Grows() bool { return s.Value > s.StdError }

// Known tells whether it was measured.
func (s Slope) Known() bool { return s.Name != "" }

// Within tells whether a size lies in the range that was measured.
func (s Slope) InRange(size float64) bool { return s.Known() && size >= s.MinSize && size <= s.MaxSize }

// falls is how many errors below 0 a slope may be: nothing costs less the more there is.
const maxNegativeStdErrors = 3

// Table is all that was measured, and the size that it is held against.
type Table struct {
	Size   Size    `json:"size"`
	Limits Limits  `json:"limits"`
	Slopes []Slope `json:"slopes"`           // in order of their names
	Before []Slope `json:"before,omitempty"` // as they were before what they measure was last mended
}

// At returns the slope of that name; one that was not measured is not Known.
func (t *Table) Lookup(name string) Slope {
	if i, there := slices.BinarySearchFunc(t.Slopes, name, compareSlopeName); there {
		return t.Slopes[i]
	}
	return Slope{}
}

func compareSlopeName(s Slope, name string) int { return strings.Compare(s.Name, name) }

// Put takes a slope's latest figures over.
func (t *Table) Set(s Slope) {
	t.Slopes = upsert(t.Slopes, s)
}

// Mended notes a slope's figures as those from before what it measures was mended.
func (t *Table) SetBefore(name string) {
	if s := t.Lookup(name); s.Known() {
		t.Before = upsert(t.Before, s)
	}
}

func upsert(all []Slope, s Slope) []Slope {
	i, there := slices.BinarySearchFunc(all, s.Name, compareSlopeName)
	if there {
		all[i] = s
		return all
	}
	return slices.Insert(all, i, s)
}

// Load returns the table that the program was built with.
func Load() (*Table, error) { return Read(File, embedded) }

var jsonFormat = jsoniter.Config{EscapeHTML: false, SortMapKeys: true, DisallowUnknownFields: true}.Froze()

// Read reads a table and checks it; errors name the file and the field.
func Read(file string, text []byte) (*Table, error) {
	var t Table
	d := jsonFormat.NewDecoder(bytes.NewReader(text))
	if err := d.Decode(&t); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if d.More() {
		return nil, fmt.Errorf("%s: there is more behind the table", file)
	}
	if err := t.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &t, nil
}

// Text is the table as its file has it.
func (t *Table) Text() ([]byte, error) {
	b, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(t, "", "  ")
	return append(b, '\n'), err
}

// Check names the first field that can't be used.
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
			return fmt.Errorf("%s[%d].name: %q is there twice or out of order", field, i, s.Name)
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
			return fmt.Errorf("%s: %v is no number from %v on", f.field, f.value, f.least)
		}
	}
	if !(s.Power > 0 && s.Power <= 5) {
		return fmt.Errorf("power: %v is not over 0 and up to 5", s.Power)
	}
	if len(s.Measured) < minSizes {
		return fmt.Errorf("measured: %d sizes, wanted %d or more", len(s.Measured), minSizes)
	}
	if s.Value < -maxNegativeStdErrors*s.StdError {
		return fmt.Errorf("value: %v ± %v: a cost that falls as the size grows was measured wrongly", s.Value, s.StdError)
	}
	for i, p := range s.Measured {
		if !(p.Cost >= 0) {
			return fmt.Errorf("measured[%d].cost: %v is below 0", i, p.Cost)
		}
		if i > 0 && p.Size <= s.Measured[i-1].Size {
			return fmt.Errorf("measured[%d].size: %v is not over the one before", i, p.Size)
		}
	}
	if _, err := time.Parse(time.DateOnly, s.Date); err != nil {
		return fmt.Errorf("date: %q is no date like 2026-12-02", s.Date)
	}
	return nil
}
