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
	MaxKeyBytes    = 128       // bytes of a key
	MaxTargetBytes = 4 << 10   // bytes of a target's entry
	MaxConfigBytes = 64 << 10  // bytes of a layer
	MaxChangeBytes = 256 << 10 // bytes of a change: its keys and values
	MaxPuts        = 1 << 12   // puts of a change
	MaxDeltaBytes  = 2 << 20   // bytes of a delta, as Size counts them
	MaxNameBytes   = 128       // bytes of a reader's name, a region, a zone, a fleet, an epoch
	MaxReplaced    = 64        // epochs that a history takes the place of
)

// Record is the state of one key at the version that last changed it.
type Record struct {
	Kind    Kind            `json:"kind"`
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"gone,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Size is the bytes that a record takes in a delta, at most: its JSON where the key needs no escapes.
func (r *Record) Size() int { return len(r.Key) + len(r.Value) + 72 }

// Put sets a key, or takes it away.
type Put struct {
	Kind    Kind            `json:"kind"`
	Key     string          `json:"key"`
	Deleted bool            `json:"gone,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Change is what goes through the log as one entry and gets one version, whatever it reaches.
type Change struct {
	Fleet     string  `json:"fleet"`
	Epoch     string  `json:"epoch,omitempty"`    // proposed; the first change of a group of agents names its history by it
	Replaces  string  `json:"replaces,omitempty"` // the operator's word that this history takes the place of that epoch (step 9)
	IfVersion *uint64 `json:"if,omitempty"`       // only over this version
	Puts      []Put   `json:"puts"`
}

// FieldError names what in a change, a hello or a configuration cannot be used.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Why }

func fieldError(name, why string, args ...any) error {
	return &FieldError{name, fmt.Sprintf(why, args...)}
}

// Validate names the first field of a change that cannot be used.
func (c *Change) Validate() error {
	switch {
	case c.Fleet == "":
		return fieldError("fleet", "it is missing")
	case len(c.Fleet) > MaxNameBytes:
		return fieldError("fleet", "over %d bytes", MaxNameBytes)
	case len(c.Epoch) > MaxNameBytes:
		return fieldError("epoch", "over %d bytes", MaxNameBytes)
	case len(c.Replaces) > MaxNameBytes:
		return fieldError("replaces", "over %d bytes", MaxNameBytes)
	case len(c.Puts) == 0 && c.Replaces == "":
		return fieldError("puts", "it is empty: a change holds one put at least")
	case len(c.Puts) > MaxPuts:
		return fieldError("puts", "%d of them: a change holds %d at most", len(c.Puts), MaxPuts)
	}
	size := 0
	type id struct {
		Kind
		string
	}
	seen := make(map[id]int, len(c.Puts))
	for i := range c.Puts {
		p := &c.Puts[i]
		if err := p.validate(); err != nil {
			return fieldError(fmt.Sprintf("puts[%d].%s", i, err.Field), "%s", err.Why)
		}
		if first, again := seen[id{p.Kind, p.Key}]; again {
			return fieldError(fmt.Sprintf("puts[%d].key", i), "puts[%d] has %q too", first, p.Key)
		}
		seen[id{p.Kind, p.Key}] = i
		if size += len(p.Key) + len(p.Value); size > MaxChangeBytes {
			return fieldError(fmt.Sprintf("puts[%d]", i), "the change is over %d bytes: make several of it", MaxChangeBytes)
		}
	}
	return nil
}

func (p *Put) validate() *FieldError {
	most := MaxTargetBytes
	if p.Kind == Config {
		most = MaxConfigBytes
	}
	switch {
	case p.Kind >= kinds:
		return &FieldError{"kind", fmt.Sprintf("unknown: %d", p.Kind)}
	case p.Key == "":
		return &FieldError{"key", "it is missing"}
	case len(p.Key) > MaxKeyBytes:
		return &FieldError{"key", fmt.Sprintf("over %d bytes", MaxKeyBytes)}
	case p.Kind == Config && !isScope(p.Key):
		return &FieldError{"key", fmt.Sprintf("%q is no scope: it is shared, region/NAME, zone/NAME or instance/NAME", p.Key)}
	case p.Deleted && len(p.Value) > 0:
		return &FieldError{"value", "there is one beside gone"}
	case p.Deleted:
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
const sharedScope = "shared"

var scopePrefixes = []string{"region/", "zone/", "instance/"}

func isScope(key string) bool {
	return key == sharedScope || slices.ContainsFunc(scopePrefixes, func(s string) bool { return len(key) > len(s) && strings.HasPrefix(key, s) })
}

// Scope is for whom a reader takes records: all targets, and the layers of its own configuration; a relay takes all layers.
type Scope struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	All    bool   `json:"all,omitempty"`
}

// Validate names the field that cannot be used.
func (s Scope) Validate() error {
	switch {
	case s.Name == "":
		return fieldError("name", "it is missing")
	case len(s.Name) > MaxNameBytes-len("instance/"):
		return fieldError("name", "over %d bytes", MaxNameBytes-len("instance/"))
	case len(s.Region) > MaxNameBytes-len("region/"):
		return fieldError("region", "over %d bytes", MaxNameBytes-len("region/"))
	case len(s.Zone) > MaxNameBytes-len("zone/"):
		return fieldError("zone", "over %d bytes", MaxNameBytes-len("zone/"))
	}
	return nil
}

// layerKeys are the keys of the configuration in this scope, in the order in which one is merged over another.
func (s Scope) layerKeys() []string {
	keys := []string{sharedScope}
	for i, name := range []string{s.Region, s.Zone, s.Name} {
		if name != "" {
			keys = append(keys, scopePrefixes[i]+name)
		}
	}
	return keys
}

// Includes tells whether a record of that kind and key is for this scope.
func (s Scope) Includes(k Kind, key string) bool {
	if k == Targets || s.All {
		return k == Targets || isScope(key)
	}
	for i, name := range [...]string{s.Region, s.Zone, s.Name} {
		if name != "" && strings.HasPrefix(key, scopePrefixes[i]) && key[len(scopePrefixes[i]):] == name {
			return true
		}
	}
	return key == sharedScope
}

// Position is how far somebody is in the stream, by kind: changes up to this version.
type Position struct {
	Targets uint64 `json:"targets"`
	Config  uint64 `json:"config"`
}

// Min is the version that is reached in both lanes.
func (p Position) Min() uint64 { return min(p.Targets, p.Config) }

func (p *Position) version(k Kind) *uint64 {
	if k == Config {
		return &p.Config
	}
	return &p.Targets
}

// notAfter tells whether p is at or before q in both lanes.
func (p Position) notAfter(q Position) bool { return p.Targets <= q.Targets && p.Config <= q.Config }

func (p Position) furthest(q Position) Position {
	return Position{max(p.Targets, q.Targets), max(p.Config, q.Config)}
}

// Watermark is a position in the history of that epoch.
type Watermark struct {
	Epoch string `json:"epoch,omitempty"`
	Position
}
