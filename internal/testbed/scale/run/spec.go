// Package run is the scale run: hollow initiators in a few processes beside real ones, agents and relays, under changes and faults, with a judge
// that reports whatever goes against a promise. Nothing of it is linked into the initiator.
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
var files embed.FS

// Spec is a run's file.
type Spec struct {
	File       string    `toml:"-"`
	Name       string    `toml:"name"`
	Mechanism  string    `toml:"mechanism"` // discovery: one service for lists, agents with a configuration each; feed: agents and relays
	Seed       uint64    `toml:"seed"`
	Initiators []int     `toml:"initiators"` // sizes, ascending; the last is the run's
	Targets    []int     `toml:"targets"`    // the same
	Changes    []float64 `toml:"changes"`    // a second, the same
	ForS       float64   `toml:"for_s"`      // each size is measured for so long
	Real       int       `toml:"real"`       // spindlehitch serve
	Answering  int       `toml:"answering"`  // targets that answer, an even number
	Agents     int       `toml:"agents"`
	Relays     int       `toml:"relays"`
	PerProcess int       `toml:"per_process"` // hollow initiators that share one
	Modules    int       `toml:"modules"`     // hollow initiators that run the module
	Disk       int       `toml:"disk"`        // hollow initiators that keep a copy on disk, where the feed carries changes
	Members    int       `toml:"members"`     // hollow initiators that are members
	Regions    []Region  `toml:"region"`
	Faults     []Fault   `toml:"fault"`
	Limits     Limits    `toml:"limits"`
}

// Region is one of the fleet's.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// Fault is something that goes wrong, one after the other: changes go on meanwhile.
type Fault struct {
	What     string  `toml:"what"` // one of faults
	Region   string  `toml:"region"`
	Zone     string  `toml:"zone"`
	Number   int     `toml:"number"`    // how many of them
	ForS     float64 `toml:"for_s"`     // how long
	Changes  float64 `toml:"changes"`   // a second, meanwhile; 0: the least of the run's
	HealedIn float64 `toml:"healed_in"` // all at one version so long after it, in seconds; 0: the run's in_force
}

// faults are the kinds, and which of their fields they need.
var kinds = map[string]struct{ number, region bool }{
	"kill-relays": {number: true}, "pause-relays": {number: true}, "kill-agent": {}, "pause-agent": {}, "cut-region": {region: true}, "cut-relays": {number: true},
	"restart": {number: true}, "restart-all": {}, "restart-zone": {}, "burst": {}, "deaf": {number: true},
}

// Limits are those that are held or not.
type Limits struct {
	InForce   float64 `toml:"in_force_s"`    // the last one has a change
	Primary   float64 `toml:"primary_s"`     // the last one has a change of primary
	Core      float64 `toml:"core"`          // of an initiator, for control; a part
	Memory    float64 `toml:"memory_mb"`     // of an initiator
	Wire      float64 `toml:"wire_kb_s"`     // of an initiator, both ways
	AgentCore float64 `toml:"agent_core"`    // of the leader
	RelayCore float64 `toml:"relay_core"`    // of each relay
	RelayMB   float64 `toml:"relay_mb"`      //
	Agreement float64 `toml:"agreement"`     // of hollow and real initiators: the most that bytes of the one differ by, as a part of the other's
	Restart   float64 `toml:"restart_all_s"` // all of them restarted
}

// Read reads a run's file, or one of those that the program has.
func Read(path string) (*Spec, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !slices.ContainsFunc([]byte(path), func(b byte) bool { return b == '/' || b == '.' }) {
		text, err = files.ReadFile(path + ".toml")
	}
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text))
}

// Parse reads the text of a run's file and checks it; errors name the file and the field.
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
	mostInitiators = 10_000
	mostTargets    = 100_000
	mostChanges    = 100
	mostProcesses  = 300
	mostShared     = 500
	mostTogether   = 20 // real processes
	// mostListed is what a whole list may have of targets where discovery tells it (internal/datapath/targetlist).
	mostListed = 1 << 13
)

// Check names the first field that can't be used.
func (s *Spec) Check() error { //nolint:gocognit // to be split with its package, see docs/left.md
	if s.Name == "" {
		return errors.New("name: is missing")
	}
	if s.Mechanism != "discovery" && s.Mechanism != "feed" {
		return fmt.Errorf("mechanism: %q is neither discovery nor feed", s.Mechanism)
	}
	if err := errors.Join(ascending("initiators", s.Initiators, mostInitiators), ascending("targets", s.Targets, mostTargets),
		ascending("changes", s.Changes, mostChanges)); err != nil {
		return firstOf(err)
	}
	if s.Mechanism == "discovery" && s.most() > mostListed {
		return fmt.Errorf("targets: %d in a list that discovery tells, %d at most", s.most(), mostListed)
	}
	for _, f := range []struct {
		name        string
		n           int
		least, most int
	}{{"real", s.Real, 0, mostTogether}, {"answering", s.Answering, 2, 100}, {"agents", s.Agents, 1, 7}, {"relays", s.Relays, 0, 64}, {"per_process", s.PerProcess, 1, mostShared},
		{"modules", s.Modules, 0, s.all()}, {"members", s.Members, 0, s.all()}, {"disk", s.Disk, 0, s.all()}, {"answering", s.Answering, 2, s.Targets[0]}} {
		if f.n < f.least || f.n > f.most {
			return fmt.Errorf("%s: %d is not within %d and %d", f.name, f.n, f.least, f.most)
		}
	}
	if s.Answering%2 != 0 {
		return fmt.Errorf("answering: %d is odd", s.Answering)
	}
	if !(s.ForS > 0 && s.ForS <= 600) {
		return fmt.Errorf("for_s: %v is not over 0 and at most 600", s.ForS)
	}
	if s.Mechanism == "feed" && s.Relays < len(s.Regions) {
		return fmt.Errorf("relays: %d are too few for %d regions", s.Relays, len(s.Regions))
	}
	if n := s.all()/s.PerProcess + 1 + s.Real + s.Agents + s.Relays; n > mostProcesses {
		return fmt.Errorf("per_process: %d takes %d processes, %d at most", s.PerProcess, n, mostProcesses)
	}
	regions, zones := map[string]bool{}, map[string]bool{}
	for i, r := range s.Regions {
		if r.Name == "" || regions[r.Name] {
			return fmt.Errorf("region[%d].name: %q is missing or there twice", i, r.Name)
		}
		regions[r.Name] = true
		if len(r.Zones) == 0 {
			return fmt.Errorf("region[%d].zones: there are none", i)
		}
		for k, z := range r.Zones {
			if z == "" || zones[z] {
				return fmt.Errorf("region[%d].zones[%d]: %q is missing or there twice", i, k, z)
			}
			zones[z] = true
		}
	}
	if len(s.Regions) == 0 {
		return errors.New("region: there is none")
	}
	for i, f := range s.Faults {
		kind, known := kinds[f.What]
		switch {
		case !known:
			return fmt.Errorf("fault[%d].what: %q is not known", i, f.What)
		case f.Region != "" && !regions[f.Region], kind.region && f.Region == "":
			return fmt.Errorf("fault[%d].region: %q is no region", i, f.Region)
		case f.Zone != "" && !zones[f.Zone], f.What == "restart-zone" && f.Zone == "":
			return fmt.Errorf("fault[%d].zone: %q is no zone", i, f.Zone)
		case kind.number && f.Number < 1:
			return fmt.Errorf("fault[%d].number: %d is not over 0", i, f.Number)
		case !(f.ForS >= 0 && f.ForS <= 3600), f.Changes < 0, f.HealedIn < 0:
			return fmt.Errorf("fault[%d]: for_s, changes and healed_in can't be below 0, for_s is 3600 at most", i)
		case f.What == "kill-relays" || f.What == "pause-relays" || f.What == "cut-relays":
			if s.Mechanism != "feed" || f.Number >= s.Relays {
				return fmt.Errorf("fault[%d].number: %d of %d relays", i, f.Number, s.Relays)
			}
		}
	}
	return nil
}

// firstOf is the first of joined errors: one message at a time.
func firstOf(err error) error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return many.Unwrap()[0]
	}
	return err
}

func ascending[N int | float64](name string, sizes []N, most N) error {
	if len(sizes) == 0 {
		return fmt.Errorf("%s: there is none", name)
	}
	for i, n := range sizes {
		switch {
		case !(n > 0 && n <= most):
			return fmt.Errorf("%s[%d]: %v is not over 0 and at most %v", name, i, n, most)
		case i > 0 && sizes[i-1] >= n:
			return fmt.Errorf("%s[%d]: %v comes after %v", name, i, n, sizes[i-1])
		}
	}
	return nil
}

// all is how many hollow initiators the run has at its largest, most how many targets.
func (s *Spec) all() int  { return s.Initiators[len(s.Initiators)-1] }
func (s *Spec) most() int { return s.Targets[len(s.Targets)-1] }

const (
	// eachTakes is what a hollow initiator takes without a single target, in bytes: its goroutines, connections and buffers. Measured by the run itself.
	eachTakes = 256 << 10
	// garbage is what a host's collector leaves beside what lives, as a factor: it runs at half as much again.
	garbage = 1.5
)

// replicaMemory is the slope of what an initiator keeps of each target that it hears of by the feed.
const replicaMemory = "feed.replica.memory"

// Needs is what the run takes of memory by the slopes of the table, in bytes; ok is false where one that it takes was not measured.
func (s *Spec) Needs(t *slope.Table) (bytes int64, ok bool) {
	list := t.At("list.memory")
	if replica := t.At(replicaMemory); s.Mechanism == "feed" && replica.Known() {
		list = replica
	}
	module, members := t.At("module.memory"), t.At("members.memory")
	ok = list.Known() && (module.Known() || s.Modules+s.Real == 0) && (members.Known() || s.Members == 0)
	sum := float64(s.all() * eachTakes)
	for _, part := range []struct {
		s       slope.Slope
		n, size int
	}{{list, s.all(), s.most()}, {module, s.Modules + s.Real, s.most()}, {members, s.Members, s.Members}} {
		if part.s.Known() && part.n > 0 {
			sum += float64(part.n) * part.s.At(float64(part.size)) * garbage
		}
	}
	return int64(sum), ok
}

// Fits tells whether the run takes less than half of the machine's memory.
func (s *Spec) Fits(t *slope.Table, half int64) error {
	if need, _ := s.Needs(t); need > half {
		return fmt.Errorf("%s: initiators: %d with %d targets take %d MB by the slopes, half of this machine's memory is %d MB", s.File, s.all(), s.most(), need>>20, half>>20)
	}
	return nil
}

// Fits holds a run against half of this machine's memory.
func Fits(s *Spec, t *slope.Table) error {
	half, err := halfOfMemory()
	if err != nil {
		return err
	}
	return s.Fits(t, half)
}
