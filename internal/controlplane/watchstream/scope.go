package watchstream

import (
	"slices"
	"strings"
)

// sharedScope is the scope of the layer that applies to all initiators.
const sharedScope = "shared"

// scopePrefixes are the prefixes of the other scopes in merge order: each layer is merged over the
// previous ones.
var scopePrefixes = []string{"region/", "zone/", "instance/"}

// isScope reports whether the key names a scope.
func isScope(key string) bool {
	return key == sharedScope || slices.ContainsFunc(scopePrefixes, func(s string) bool { return len(key) > len(s) && strings.HasPrefix(key, s) })
}

// Scope identifies a reader and determines what it receives: all targets, and the configuration layers
// that apply to it. A relay receives all layers.
type Scope struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	All    bool   `json:"all,omitempty"` // all layers; set by relays
}

// Validate returns an error that names the first invalid field.
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

// layerKeys returns the keys of the layers in this scope, in merge order.
func (s Scope) layerKeys() []string {
	keys := []string{sharedScope}
	for i, name := range []string{s.Region, s.Zone, s.Name} {
		if name != "" {
			keys = append(keys, scopePrefixes[i]+name)
		}
	}
	return keys
}

// Includes reports whether a record of that kind and key belongs to the scope.
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
