package watchstream

import (
	"encoding/json"
	"fmt"
)

// Kind is what a record describes. Readers have a separate version for each kind (see Position).
type Kind uint8

// The kinds, in the order in which they are sent.
const (
	Targets Kind = iota // a target's entry in the target list, by its id
	Config              // a configuration layer, by its scope
	kindCount
)

// Kinds lists all kinds.
var Kinds = [kindCount]Kind{Targets, Config}

// String returns the kind's name in messages.
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
	for _, kind := range Kinds {
		if kind.String() == string(b) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("unknown kind %q: it is target or config", b)
}

// Bounds of accepted input.
const (
	MaxKeyBytes    = 128
	MaxTargetBytes = 4 << 10   // of a target's value
	MaxConfigBytes = 64 << 10  // of a layer's value
	MaxChangeBytes = 256 << 10 // of the keys and values of a change
	MaxPuts        = 1 << 12   // of one change
	MaxDeltaBytes  = 2 << 20   // of a delta, as computed by Delta.Size
	MaxNameBytes   = 128       // of the name of a reader, region, zone, fleet or epoch
	MaxReplaced    = 64        // epochs that one epoch replaces
)

// Record is the state of one key at the version that last changed it.
type Record struct {
	Kind    Kind            `json:"kind"`
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Deleted bool            `json:"gone,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Size returns an upper bound of the record's encoded bytes in a delta, if its key needs no escaping.
func (r *Record) Size() int { return len(r.Key) + len(r.Value) + 72 }
