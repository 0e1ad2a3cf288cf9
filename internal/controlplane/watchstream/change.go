package watchstream

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Put sets or deletes one key.
type Put struct {
	Kind    Kind            `json:"kind"`
	Key     string          `json:"key"`
	Deleted bool            `json:"gone,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Change is one entry of the log. It is assigned one version, however many keys it changes.
type Change struct {
	Fleet     string  `json:"fleet"`
	Epoch     string  `json:"epoch,omitempty"`    // proposed name; that of the first change in a log becomes the log's epoch
	Replaces  string  `json:"replaces,omitempty"` // set by an operator: this log's epoch replaces that one (step 9)
	IfVersion *uint64 `json:"if,omitempty"`       // apply only if this is the log's newest version
	Puts      []Put   `json:"puts"`
}

// Validate returns an error that names the first invalid field of a change.
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
		if first, duplicate := seen[id{p.Kind, p.Key}]; duplicate {
			return fieldError(fmt.Sprintf("puts[%d].key", i), "puts[%d] has %q too", first, p.Key)
		}
		seen[id{p.Kind, p.Key}] = i
		if size += len(p.Key) + len(p.Value); size > MaxChangeBytes {
			return fieldError(fmt.Sprintf("puts[%d]", i), "the change is over %d bytes: make several of it", MaxChangeBytes)
		}
	}
	return nil
}

// validate returns an error for the first invalid field, or nil.
func (p *Put) validate() *FieldError {
	maxBytes := MaxTargetBytes
	if p.Kind == Config {
		maxBytes = MaxConfigBytes
	}
	switch {
	case p.Kind >= kindCount:
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
	case len(p.Value) > maxBytes:
		return &FieldError{"value", fmt.Sprintf("%d bytes: %d at most", len(p.Value), maxBytes)}
	case !json.Valid(p.Value):
		return &FieldError{"value", "it is not JSON"}
	case p.Value[firstByte(p.Value)] != '{':
		return &FieldError{"value", "it is no JSON object"}
	}
	return nil
}

// firstByte returns the index of the first byte that is not white space, or 0 if there is none.
func firstByte(b []byte) int {
	return max(0, slices.IndexFunc(b, func(c byte) bool { return c != ' ' && c != '\n' && c != '\t' && c != '\r' }))
}
