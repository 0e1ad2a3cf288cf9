// Package agent keeps the configurations of many instances in a log that a few agents replicate by Raft, and
// brings each instance its own. It is off on the platform.
package agent

import (
	"encoding/json"
	"sync"

	"spindlehitch/internal/controlplane/registry"
)

// Entry is one instance's configuration. Version grows with each change of any entry.
type Entry struct {
	Name      string          `json:"name"`
	Version   uint64          `json:"version"`
	Config    json.RawMessage `json:"config,omitempty"` // empty: taken away
	RequestID string          `json:"change,omitempty"` // the id of the change that made it
}

// store is what the log says, the same at every agent that has applied as much of it.
type store struct {
	mu            sync.Mutex
	entries       map[string]Entry
	recentChanges []Entry // what the last changes made, each known by its change's id
	fleet         registry.Registry
	stream        streamState
	changed       chan struct{} // closed and renewed at each change
}

func newStore() *store {
	return &store{entries: map[string]Entry{}, changed: make(chan struct{})}
}

// get returns an entry, and what is closed at the next change of any.
func (s *store) get(name string) (e Entry, found bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found = s.entries[name]
	return e, found, s.changed
}

// versions returns the entries without their texts.
func (s *store) versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]uint64, len(s.entries))
	for name, e := range s.entries {
		m[name] = e.Version
	}
	return m
}

// registry returns what the log says of the fleet, and what is closed at the next change of anything.
func (s *store) registry() (registry.Registry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Clone(), s.changed
}

// lastLeaseChange returns when a lease that a member has was last changed, and what is closed at the next change of anything.
func (s *store) lastLeaseChange(id string) (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.LastChangeFor(id), s.changed
}
