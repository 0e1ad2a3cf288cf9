// Package experiment reads experiments on a simulated fleet from files, runs them, stores the result of each run, and
// summarizes, plots and compares results. docs/model-operators.md describes its use.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"spindlehitch/internal/testbed/model"
)

// maxRuns bounds the runs of an experiment.
const maxRuns = 20_000

// Experiment is an experiment read from a file, with all its runs.
type Experiment struct {
	Name    string
	Program uint64 // identifies the program; results of another program are not reused
	Runs    []PlannedRun
}

// PlannedRun is one run of an experiment.
type PlannedRun struct {
	N       int               `json:"n"`
	Variant string            `json:"variant"`
	Varied  map[string]string `json:"varied,omitempty"` // by the field's path
	Seed    uint64            `json:"seed"`
	Spec    *model.Spec       `json:"-"`
	text    string            // of the spec, as TOML
}

// Setting names the run's variant and varied values, without its seed.
func (p *PlannedRun) Setting() string {
	parts := []string{p.Variant}
	for _, k := range slices.Sorted(maps.Keys(p.Varied)) {
		parts = append(parts, k+"="+p.Varied[k])
	}
	return strings.Join(parts, " ")
}

// fileHeader is the part of a file that isn't the spec.
type fileHeader struct {
	Seeds    []uint64         `toml:"seeds"`
	Schedule string           `toml:"schedule"` // a JSON file of faults, recorded or written by hand
	Vary     map[string][]any `toml:"vary"`
	Variants []variant        `toml:"variant"`
}

type variant struct {
	Name    string         `toml:"name"`
	Without []string       `toml:"without"` // fields of the file that this variant removes
	Set     map[string]any `toml:"set"`     // by path, such as "budgets.renew_ms" or "budgets.budget.0.whole"
}

// Read reads an experiment and validates it. Errors name file, line and field.
func Read(path string) (*Experiment, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fail := func(err error) (*Experiment, error) {
		var parse toml.ParseError
		if asParse(err, &parse) {
			return nil, fmt.Errorf("%s:%d: %s", path, parse.Position.Line, parse.Message)
		}
		return nil, fmt.Errorf("%s:%d: %w", path, lineOf(string(raw), err.Error()), err)
	}
	var all map[string]any
	if err := toml.Unmarshal(raw, &all); err != nil {
		return fail(err)
	}
	var h fileHeader
	if _, err := toml.Decode(string(raw), &h); err != nil {
		return fail(err)
	}
	for _, k := range []string{"seeds", "schedule", "vary", "variant"} {
		delete(all, k)
	}
	if len(h.Seeds) == 0 {
		return fail(fmt.Errorf("seeds: at least one"))
	}
	if h.Schedule != "" {
		faults, err := readSchedule(filepath.Join(filepath.Dir(path), h.Schedule))
		if err != nil {
			return fail(fmt.Errorf("schedule: %w", err))
		}
		had, _ := all["fault"].([]map[string]any)
		all["fault"] = append(slices.Clone(had), faults...)
	}
	if len(h.Variants) == 0 {
		h.Variants = []variant{{Name: "all"}}
	}
	paths := slices.Sorted(maps.Keys(h.Vary))
	size := len(h.Variants) * len(h.Seeds)
	for _, p := range paths {
		if len(h.Vary[p]) == 0 {
			return fail(fmt.Errorf("vary.%s: no values", p))
		}
		if size *= len(h.Vary[p]); size > maxRuns {
			return fail(fmt.Errorf("vary.%s: more than %d runs", p, maxRuns))
		}
	}
	x := &Experiment{}
	for i, v := range h.Variants {
		if v.Name == "" || slices.ContainsFunc(h.Variants[:i], func(w variant) bool { return w.Name == v.Name }) {
			return fail(fmt.Errorf("variant[%d].name: missing or there twice", i))
		}
		base := clone(all).(map[string]any)
		for _, k := range v.Without {
			if !removeKey(base, k) {
				return fail(fmt.Errorf("variant[%d].without: the file has no %s", i, k))
			}
		}
		for _, k := range slices.Sorted(maps.Keys(v.Set)) {
			if err := put(base, k, v.Set[k]); err != nil {
				return fail(fmt.Errorf("variant[%d].set: %w", i, err))
			}
		}
		for at := range gridSize(h.Vary, paths) {
			one := clone(base).(map[string]any)
			varied := map[string]string{}
			for _, p := range paths {
				value := h.Vary[p][at%len(h.Vary[p])]
				at /= len(h.Vary[p])
				if err := put(one, p, value); err != nil {
					return fail(fmt.Errorf("vary.%s: %w", p, err))
				}
				varied[p] = fmt.Sprint(value)
			}
			var text bytes.Buffer
			if err := toml.NewEncoder(&text).Encode(one); err != nil {
				return fail(err)
			}
			spec := &model.Spec{}
			meta, err := toml.Decode(text.String(), spec)
			if err != nil {
				if m := lastKey.FindStringSubmatch(err.Error()); m != nil { // the line would be one of the run's generated text
					err = fmt.Errorf("%s: %s", m[1], m[2])
				}
				return fail(err)
			}
			if u := meta.Undecoded(); len(u) > 0 {
				return fail(fmt.Errorf("%s: unknown field", u[0]))
			}
			if err := spec.Check(); err != nil {
				return fail(err)
			}
			x.Name = spec.Name
			for _, seed := range h.Seeds {
				x.Runs = append(x.Runs, PlannedRun{len(x.Runs), v.Name, varied, seed, spec, text.String()})
			}
		}
	}
	return x, nil
}

func asParse(err error, into *toml.ParseError) bool {
	return errors.As(err, into)
}

func readSchedule(path string) (all []map[string]any, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var faults []model.Fault
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&faults); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, f := range faults {
		m := map[string]any{"at_s": f.AtS, "for_s": f.ForS, "what": f.Kind, "on": f.On, "slow": f.Slowdown}
		all = append(all, m)
	}
	return all, nil
}

func gridSize(vary map[string][]any, paths []string) int {
	n := 1
	for _, p := range paths {
		n *= len(vary[p])
	}
	return n
}

// clone copies what TOML reads into.
func clone(v any) any {
	switch v := v.(type) {
	case map[string]any:
		m := make(map[string]any, len(v))
		for k, x := range v {
			m[k] = clone(x)
		}
		return m
	case []map[string]any:
		l := make([]map[string]any, len(v))
		for i, x := range v {
			l[i] = clone(x).(map[string]any)
		}
		return l
	case []any:
		l := make([]any, len(v))
		for i, x := range v {
			l[i] = clone(x)
		}
		return l
	}
	return v
}

// put sets the field at a path. The table that it is in has to be there; the field itself need not.
func put(in map[string]any, path string, value any) error {
	parts := strings.Split(path, ".")
	at := any(in)
	for i, p := range parts {
		last := i == len(parts)-1
		switch t := at.(type) {
		case map[string]any:
			if last {
				t[p] = value
				return nil
			}
			if at = t[p]; at == nil {
				return fmt.Errorf("%s: there is no %s", path, strings.Join(parts[:i+1], "."))
			}
		case []map[string]any:
			n, err := strconv.Atoi(p)
			if err != nil || n < 0 || n >= len(t) || last {
				return fmt.Errorf("%s: there is no %s", path, strings.Join(parts[:i+1], "."))
			}
			at = t[n]
		default:
			return fmt.Errorf("%s: %s has no fields", path, strings.Join(parts[:i], "."))
		}
	}
	return nil
}

func removeKey(from map[string]any, key string) bool {
	_, there := from[key]
	delete(from, key)
	return there
}

var lastKey = regexp.MustCompile(`last key "([^"]*)"\): (.*)`)
var tableHeader = regexp.MustCompile(`^\s*(\[\[?)\s*([^\]]+?)\s*\]`)
var keyValue = regexp.MustCompile(`^\s*"?([A-Za-z0-9_.\-]+)"?\s*=`)

// lineOf returns the line of the field that a message begins with, such as "fault[1].on: ..."; if the file doesn't have the
// field, that of its table, or else 1.
func lineOf(text, message string) int {
	field, _, _ := strings.Cut(message, ": ")
	field = strings.Trim(field, "'")
	table, found := "", 1
	counts := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		if m := tableHeader.FindStringSubmatch(line); m != nil {
			table = m[2]
			if m[1] == "[[" {
				table = fmt.Sprintf("%s[%d]", m[2], counts[m[2]])
				counts[m[2]]++
			}
			if strings.HasPrefix(field, table) {
				found = i + 1
			}
			continue
		}
		if m := keyValue.FindStringSubmatch(line); m != nil {
			path := m[1]
			if table != "" {
				path = table + "." + m[1]
			}
			if path == field || strings.HasPrefix(field, path+".") || strings.HasPrefix(field, path+"[") {
				return i + 1
			}
		}
	}
	return found
}
