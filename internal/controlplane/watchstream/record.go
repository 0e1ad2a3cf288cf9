// Package watchstream has the decisions by which changes of targets and of configuration get to all initiators: one numbered stream from the
// agents' log over relays to initiators, by the same Store, Source and Replica at each hop. It does no I/O, has no clock and no
// goroutines; callers hold a lock of their own. docs/feed.md has the design and the argument; the numbers in comments are that
// page's steps.
package watchstream

import (
	"encoding/json"
	"fmt"
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
