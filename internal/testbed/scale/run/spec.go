// Package run implements the scale run: hollow initiators in a few processes beside real ones, agents and relays, under changes and faults, with checks
// that report violated guarantees and limits. It is not linked into the initiator.
package run

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"

	"github.com/BurntSushi/toml"

	"spindlehitch/internal/testbed/scale/slope"
)

//go:embed short.toml full.toml wide.toml burst.toml before.toml
var builtinSpecs embed.FS

// Spec is the file that describes a run.
type Spec struct {
	File             string    `toml:"-"`
	Name             string    `toml:"name"`
	Mechanism        string    `toml:"mechanism"` // discovery: one service sends lists and the agents a configuration to each initiator; feed: agents and relays send both
	Seed             uint64    `toml:"seed"`
	Initiators       []int     `toml:"initiators"` // sizes, ascending; the last is the full size of the run
	Targets          []int     `toml:"targets"`    // sizes, likewise
	Changes          []float64 `toml:"changes"`    // rates a second, likewise
	DurationS        float64   `toml:"for_s"`      // duration of the measurement of each size
	Real             int       `toml:"real"`       // number of spindlehitch serve processes
	AnsweringTargets int       `toml:"answering"`  // targets that answer requests, an even number
	Agents           int       `toml:"agents"`
	Relays           int       `toml:"relays"`
	PerProcess       int       `toml:"per_process"` // hollow initiators in each host process
	Modules          int       `toml:"modules"`     // hollow initiators that run the scheduler
	DiskCopies       int       `toml:"disk"`        // hollow initiators that keep a copy on disk, with the feed only
	Members          int       `toml:"members"`     // hollow initiators that join the membership group
	Regions          []Region  `toml:"region"`
	Faults           []Fault   `toml:"fault"`
	Limits           Limits    `toml:"limits"`
}

// Region is a region of the fleet with its zones.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// Fault is a fault to inject. Faults follow one another, and changes continue meanwhile.
type Fault struct {
	Kind      string  `toml:"what"` // one of faultKinds
	Region    string  `toml:"region"`
	Zone      string  `toml:"zone"`
	Number    int     `toml:"number"`    // number of affected processes, initiators or connections
	DurationS float64 `toml:"for_s"`     // duration
	Changes   float64 `toml:"changes"`   // rate a second meanwhile; 0: the lowest of the run
	RecoveryS float64 `toml:"healed_in"` // limit for all initiators to be at one version after it, in seconds; 0: the run's in_force_s
}

// faultKinds are the kinds of faults, with the fields that each requires.
var faultKinds = map[string]struct{ number, region bool }{
	"kill-relays": {number: true}, "pause-relays": {number: true}, "kill-agent": {}, "pause-agent": {}, "cut-region": {region: true}, "cut-relays": {number: true},
	"restart": {number: true}, "restart-all": {}, "restart-zone": {}, "burst": {}, "deaf": {number: true},
}

// Limits are the limits that a run is checked against.
type Limits struct {
	InForce   float64 `toml:"in_force_s"`    // until the last initiator has a change
	Primary   float64 `toml:"primary_s"`     // until the last initiator has a change of primary
	Core      float64 `toml:"core"`          // of an initiator, for control; a fraction of a core
	Memory    float64 `toml:"memory_mb"`     // of an initiator
	Wire      float64 `toml:"wire_kb_s"`     // of an initiator, both ways
	AgentCore float64 `toml:"agent_core"`    // of the leader
	RelayCore float64 `toml:"relay_core"`    // of each relay
	RelayMB   float64 `toml:"relay_mb"`      //
	Agreement float64 `toml:"agreement"`     // largest relative difference of the bytes of hollow and real initiators
	Restart   float64 `toml:"restart_all_s"` // for a restart of all initiators
}

// Read reads a run's file, or a builtin one by its name.
func Read(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !slices.ContainsFunc([]byte(path), func(b byte) bool { return b == '/' || b == '.' }) {
		text, err = builtinSpecs.ReadFile(path + ".toml")
	}
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text))
}

// Parse decodes and validates the text of a run's file. Errors name the file and the field.
func Parse(file, text string) (*Spec, error) {
	s := &Spec{File: file}
	meta, err := toml.Decode(text, s)
	switch {
	case err != nil:
	case len(meta.Undecoded()) > 0:
		err = fmt.Errorf("%s: unknown field", meta.Undecoded()[0])
	default:
		err = s.Check()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

const (
	specInitiatorsMax = 10_000
	specTargetsMax    = 100_000
	specChangesMax    = 100
	specProcessesMax  = 300
	specPerProcessMax = 500
	specRealMax       = 20 // of spindlehitch serve
	// specListMax is the most targets in a list that discovery sends (internal/datapath/targetlist).
	specListMax = 1 << 13
)

// Check validates the spec; the error names the first invalid field.
func (s *Spec) Check() error { //nolint:gocognit // to be split with its package, see docs/left.md
	if s.Name == "" {
		return errors.New("name: is missing")
	}
	if s.Mechanism != "discovery" && s.Mechanism != "feed" {
		return fmt.Errorf("mechanism: %q is neither discovery nor feed", s.Mechanism)
	}
	if err := errors.Join(ascending("initiators", s.Initiators, specInitiatorsMax), ascending("targets", s.Targets, specTargetsMax),
		ascending("changes", s.Changes, specChangesMax)); err != nil {
		return firstError(err)
	}
	if s.Mechanism == "discovery" && s.maxTargets() > specListMax {
		return fmt.Errorf("targets: %d in a list sent by discovery, at most %d are allowed", s.maxTargets(), specListMax)
	}
	for _, f := range []struct {
		name        string
		n           int
		least, most int
	}{{"real", s.Real, 0, specRealMax}, {"answering", s.AnsweringTargets, 2, 100}, {"agents", s.Agents, 1, 7}, {"relays", s.Relays, 0, 64}, {"per_process", s.PerProcess, 1, specPerProcessMax},
		{"modules", s.Modules, 0, s.maxInitiators()}, {"members", s.Members, 0, s.maxInitiators()}, {"disk", s.DiskCopies, 0, s.maxInitiators()}, {"answering", s.AnsweringTargets, 2, s.Targets[0]}} {
		if f.n < f.least || f.n > f.most {
			return fmt.Errorf("%s: %d is not between %d and %d", f.name, f.n, f.least, f.most)
		}
	}
	if s.AnsweringTargets%2 != 0 {
		return fmt.Errorf("answering: %d is odd", s.AnsweringTargets)
	}
	if !(s.DurationS > 0 && s.DurationS <= 600) {
		return fmt.Errorf("for_s: %v is not above 0 and at most 600", s.DurationS)
	}
	if s.Mechanism == "feed" && s.Relays < len(s.Regions) {
		return fmt.Errorf("relays: %d are too few for %d regions", s.Relays, len(s.Regions))
	}
	if n := s.maxInitiators()/s.PerProcess + 1 + s.Real + s.Agents + s.Relays; n > specProcessesMax {
		return fmt.Errorf("per_process: %d requires %d processes, at most %d are allowed", s.PerProcess, n, specProcessesMax)
	}
	regions, zones := map[string]bool{}, map[string]bool{}
	for i, r := range s.Regions {
		if r.Name == "" || regions[r.Name] {
			return fmt.Errorf("region[%d].name: %q is empty or a duplicate", i, r.Name)
		}
		regions[r.Name] = true
		if len(r.Zones) == 0 {
			return fmt.Errorf("region[%d].zones: empty", i)
		}
		for k, z := range r.Zones {
			if z == "" || zones[z] {
				return fmt.Errorf("region[%d].zones[%d]: %q is empty or a duplicate", i, k, z)
			}
			zones[z] = true
		}
	}
	if len(s.Regions) == 0 {
		return errors.New("region: at least one is required")
	}
	for i, f := range s.Faults {
		kind, known := faultKinds[f.Kind]
		switch {
		case !known:
			return fmt.Errorf("fault[%d].what: unknown fault %q", i, f.Kind)
		case f.Region != "" && !regions[f.Region], kind.region && f.Region == "":
			return fmt.Errorf("fault[%d].region: unknown region %q", i, f.Region)
		case f.Zone != "" && !zones[f.Zone], f.Kind == "restart-zone" && f.Zone == "":
			return fmt.Errorf("fault[%d].zone: unknown zone %q", i, f.Zone)
		case kind.number && f.Number < 1:
			return fmt.Errorf("fault[%d].number: %d is not above 0", i, f.Number)
		case !(f.DurationS >= 0 && f.DurationS <= 3600), f.Changes < 0, f.RecoveryS < 0:
			return fmt.Errorf("fault[%d]: for_s, changes and healed_in can't be below 0, and for_s can't be above 3600", i)
		case f.Kind == "kill-relays" || f.Kind == "pause-relays" || f.Kind == "cut-relays":
			if s.Mechanism != "feed" || f.Number >= s.Relays {
				return fmt.Errorf("fault[%d].number: %d of %d relays: one has to remain, and the mechanism has to be feed", i, f.Number, s.Relays)
			}
		}
	}
	return nil
}

// firstError returns the first of joined errors, so that one message is reported at a time.
func firstError(err error) error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()[0]
	}
	return err
}

func ascending[N int | float64](name string, sizes []N, most N) error {
	if len(sizes) == 0 {
		return fmt.Errorf("%s: at least one is required", name)
	}
	for i, n := range sizes {
		switch {
		case !(n > 0 && n <= most):
			return fmt.Errorf("%s[%d]: %v is not above 0 and at most %v", name, i, n, most)
		case i > 0 && sizes[i-1] >= n:
			return fmt.Errorf("%s[%d]: %v is not above the preceding %v", name, i, n, sizes[i-1])
		}
	}
	return nil
}

// maxInitiators and maxTargets return the largest numbers of hollow initiators and targets in the run.
func (s *Spec) maxInitiators() int { return s.Initiators[len(s.Initiators)-1] }
func (s *Spec) maxTargets() int    { return s.Targets[len(s.Targets)-1] }

const (
	// initiatorBaseBytes is the memory of a hollow initiator without targets, for its goroutines, connections and buffers, as measured by the run itself.
	initiatorBaseBytes = 256 << 10
	// gcOverhead is the heap of a host relative to the live heap, as its collector runs at 50% growth.
	gcOverhead = 1.5
)

// replicaMemory is the name of the slope for the memory of each target in an initiator's replica of the feed.
const replicaMemory = "feed.replica.memory"

// MemoryNeeded estimates the memory of the run from the slopes of the table, in bytes; ok is false if a slope that it needs was not measured.
func (s *Spec) MemoryNeeded(t *slope.Table) (bytes int64, ok bool) {
	list := t.Lookup("list.memory")
	if replica := t.Lookup(replicaMemory); s.Mechanism == "feed" && replica.Known() {
		list = replica
	}
	module, members := t.Lookup("module.memory"), t.Lookup("members.memory")
	ok = list.Known() && (module.Known() || s.Modules+s.Real == 0) && (members.Known() || s.Members == 0)
	sum := float64(s.maxInitiators() * initiatorBaseBytes)
	for _, part := range []struct {
		s       slope.Slope
		n, size int
	}{{list, s.maxInitiators(), s.maxTargets()}, {module, s.Modules + s.Real, s.maxTargets()}, {members, s.Members, s.Members}} {
		if part.s.Known() && part.n > 0 {
			sum += float64(part.n) * part.s.Cost(float64(part.size)) * gcOverhead
		}
	}
	return int64(sum), ok
}

// CheckMemory returns an error if the run needs more than half of the machine's memory.
func (s *Spec) CheckMemory(t *slope.Table, half int64) error {
	if need, _ := s.MemoryNeeded(t); need > half {
		return fmt.Errorf("%s: initiators: %d with %d targets need about %d MB, half of this machine's memory is %d MB", s.File, s.maxInitiators(), s.maxTargets(), need>>20, half>>20)
	}
	return nil
}

// CheckMemory compares the memory that a run needs with half of this machine's memory.
func CheckMemory(s *Spec, t *slope.Table) error {
	half, err := halfMemory()
	if err != nil {
		return err
	}
	return s.CheckMemory(t, half)
}
