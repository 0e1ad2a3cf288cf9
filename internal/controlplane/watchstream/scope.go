package watchstream

import (
	"slices"
	"strings"
)

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
