// Package watchstream has the decisions by which changes of targets and of configuration get to all initiators: one numbered stream from the
// agents' log over relays to initiators, by the same Store, Source and Replica at each hop. It does no I/O, has no clock and no
// goroutines; callers hold a lock of their own. docs/feed.md has the design and the argument; the numbers in comments are that
// page's steps.
package watchstream

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Kind is what a record tells of. Each kind is a lane of its own in a Position.
type Kind uint8

// The kinds, in the order in which they go.
const (
	Targets Kind = iota // a target's entry of the list, by its id
	Config              // a layer of the configuration, by its scope
	kinds
)

// Kinds is all of them.
var Kinds = [kinds]Kind{Targets, Config}

func (k Kind) String() string {
	switch k {
	case Targets:
		return "target"
	case Config:
		return "config"
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(b []byte) error {
	for _, is := range Kinds {
		if is.String() == string(b) {
			*k = is
			return nil
		}
	}
	return fmt.Errorf("unknown kind %q: it is target or config", b)
}

// Bounds of what is taken, in bytes and in numbers.
const (
	MostKey         = 128       // bytes of a key
	MostTargetValue = 4 << 10   // bytes of a target's entry
	MostConfigValue = 64 << 10  // bytes of a layer
	MostChange      = 256 << 10 // bytes of a change: its keys and values
	MostPuts        = 1 << 12   // puts of a change
	MostDelta       = 2 << 20   // bytes of a delta, as Size counts them
	MostName        = 128       // bytes of a reader's name, a region, a zone, a fleet, an epoch
	MostReplaced    = 64        // epochs that a history takes the place of
)

// Record is the state of one key at the version that last changed it.
type Record struct {
	Kind    Kind            `json:"kind"`
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Gone    bool            `json:"gone,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Size is the bytes that a record takes in a delta, at most: its JSON where the key needs no escapes.
func (r *Record) Size() int { return len(r.Key) + len(r.Value) + 72 }

// Put sets a key, or takes it away.
type Put struct {
	Kind  Kind            `json:"kind"`
	Key   string          `json:"key"`
	Gone  bool            `json:"gone,omitempty"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is what goes through the log as one entry and gets one version, whatever it reaches.
type Change struct {
	Fleet    string  `json:"fleet"`
	Epoch    string  `json:"epoch,omitempty"`    // proposed; the first change of a group of agents names its history by it
	Replaces string  `json:"replaces,omitempty"` // the operator's word that this history takes the place of that epoch (step 9)
	If       *uint64 `json:"if,omitempty"`       // only over this version
	Puts     []Put   `json:"puts"`
}

// FieldError names what in a change, a hello or a configuration cannot be used.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

func field(name, why string, args ...any) error { return &FieldError{name, fmt.Sprintf(why, args...)} }

// Check names the first field of a change that cannot be used.
func (c *Change) Check() error {
	switch {
	case c.Fleet == "":
		return field("fleet", "it is missing")
	case len(c.Fleet) > MostName:
		return field("fleet", "over %d bytes", MostName)
	case len(c.Epoch) > MostName:
		return field("epoch", "over %d bytes", MostName)
	case len(c.Replaces) > MostName:
		return field("replaces", "over %d bytes", MostName)
	case len(c.Puts) == 0 && c.Replaces == "":
		return field("puts", "it is empty: a change holds one put at least")
	case len(c.Puts) > MostPuts:
		return field("puts", "%d of them: a change holds %d at most", len(c.Puts), MostPuts)
	}
	size := 0
	type id struct {
		Kind
		string
	}
	seen := make(map[id]int, len(c.Puts))
	for i := range c.Puts {
		p := &c.Puts[i]
		if err := p.check(); err != nil {
			return field(fmt.Sprintf("puts[%d].%s", i, err.Field), "%s", err.Why)
		}
		if first, again := seen[id{p.Kind, p.Key}]; again {
			return field(fmt.Sprintf("puts[%d].key", i), "puts[%d] has %q too", first, p.Key)
		}
		seen[id{p.Kind, p.Key}] = i
		if size += len(p.Key) + len(p.Value); size > MostChange {
			return field(fmt.Sprintf("puts[%d]", i), "the change is over %d bytes: make several of it", MostChange)
		}
	}
	return nil
}

func (p *Put) check() *FieldError {
	most := MostTargetValue
	if p.Kind == Config {
		most = MostConfigValue
	}
	switch {
	case p.Kind >= kinds:
		return &FieldError{"kind", fmt.Sprintf("unknown: %d", p.Kind)}
	case p.Key == "":
		return &FieldError{"key", "it is missing"}
	case len(p.Key) > MostKey:
		return &FieldError{"key", fmt.Sprintf("over %d bytes", MostKey)}
	case p.Kind == Config && !knownScope(p.Key):
		return &FieldError{"key", fmt.Sprintf("%q is no scope: it is shared, region/NAME, zone/NAME or instance/NAME", p.Key)}
	case p.Gone && len(p.Value) > 0:
		return &FieldError{"value", "there is one beside gone"}
	case p.Gone:
		return nil
	case len(p.Value) > most:
		return &FieldError{"value", fmt.Sprintf("%d bytes: %d at most", len(p.Value), most)}
	case !json.Valid(p.Value):
		return &FieldError{"value", "it is not JSON"}
	case p.Value[firstByte(p.Value)] != '{':
		return &FieldError{"value", "it is no JSON object"}
	}
	return nil
}

func firstByte(b []byte) int {
	return max(0, slices.IndexFunc(b, func(c byte) bool { return c != ' ' && c != '\n' && c != '\t' && c != '\r' }))
}

// The scopes of configuration, in the order in which one is merged over another.
const shared = "shared"

var scopes = []string{"region/", "zone/", "instance/"}

func knownScope(key string) bool {
	return key == shared || slices.ContainsFunc(scopes, func(s string) bool { return len(key) > len(s) && strings.HasPrefix(key, s) })
}

// Scope is for whom a reader takes records: all targets, and the layers of its own configuration; a relay takes all layers.
type Scope struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	All    bool   `json:"all,omitempty"`
}

// Check names the field that cannot be used.
func (s Scope) Check() error {
	switch {
	case s.Name == "":
		return field("name", "it is missing")
	case len(s.Name) > MostName-len("instance/"):
		return field("name", "over %d bytes", MostName-len("instance/"))
	case len(s.Region) > MostName-len("region/"):
		return field("region", "over %d bytes", MostName-len("region/"))
	case len(s.Zone) > MostName-len("zone/"):
		return field("zone", "over %d bytes", MostName-len("zone/"))
	}
	return nil
}

// layers are the keys of the configuration in this scope, in the order in which one is merged over another.
func (s Scope) layers() []string {
	keys := []string{shared}
	for i, name := range []string{s.Region, s.Zone, s.Name} {
		if name != "" {
			keys = append(keys, scopes[i]+name)
		}
	}
	return keys
}

// Holds tells whether a record of that kind and key is for this scope.
func (s Scope) Holds(k Kind, key string) bool {
	if k == Targets || s.All {
		return k == Targets || knownScope(key)
	}
	for i, name := range [...]string{s.Region, s.Zone, s.Name} {
		if name != "" && strings.HasPrefix(key, scopes[i]) && key[len(scopes[i]):] == name {
			return true
		}
	}
	return key == shared
}

// Position is how far somebody is in the stream, by kind: changes up to this version.
type Position struct {
	Targets uint64 `json:"targets"`
	Config  uint64 `json:"config"`
}

// Least is the version that is reached in both lanes.
func (p Position) Least() uint64 { return min(p.Targets, p.Config) }

func (p *Position) of(k Kind) *uint64 {
	if k == Config {
		return &p.Config
	}
	return &p.Targets
}

// within tells whether p is at or before q in both lanes.
func (p Position) within(q Position) bool { return p.Targets <= q.Targets && p.Config <= q.Config }

func (p Position) most(q Position) Position {
	return Position{max(p.Targets, q.Targets), max(p.Config, q.Config)}
}

// Mark is a position in the history of that epoch.
type Mark struct {
	Epoch string `json:"epoch,omitempty"`
	Position
}
