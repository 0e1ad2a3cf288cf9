// Package agent replicates the control state of the fleet among a few agents by Raft: the
// configurations of instances, the registry of sessions, quotas and leases, and the watch stream. It
// serves them over HTTP, runs the allocator and the lessor at the leader, and provides the client that
// instances and operators use. Agents are disabled on the platform.
//
// Every state change goes through the log as a command and is applied by store, the state machine, with
// the same result at every agent. State that is valid for one term only (allocations, lease expiry,
// acknowledgements) is kept in memory by leaderService and streamService.
package agent

import (
	"encoding/json"
	"sync"

	"spindlehitch/internal/controlplane/registry"
)

// Entry is one instance's configuration. Its version is the log index of its last change, so versions
// grow across all entries.
type Entry struct {
	Name      string          `json:"name"`
	Version   uint64          `json:"version"`
	Config    json.RawMessage `json:"config,omitempty"` // empty: deleted
	RequestID string          `json:"change,omitempty"` // of the change that wrote it
}

// store is the replicated state machine, the same at every agent that has applied the same log
// entries.
type store struct {
	mu            sync.Mutex // guards all other fields
	entries       map[string]Entry
	applied       uint64  // log index of the last command; 0: none yet, or unknown
	recentResults []Entry // results of the last changes with a request id, oldest first
	registryState registry.Registry
	stream        streamState
	changed       chan struct{} // closed and replaced at each change
}

// newStore returns an empty state machine.
func newStore() *store {
	return &store{entries: map[string]Entry{}, changed: make(chan struct{})}
}

// get returns an entry, and a channel that is closed at the next change of the store.
func (s *store) get(name string) (e Entry, found bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found = s.entries[name]
	return e, found, s.changed
}

// lastApplied returns the log index of the last command that is applied; 0: none yet, or unknown.
func (s *store) lastApplied() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied
}

// versions returns the names and versions of all entries.
func (s *store) versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]uint64, len(s.entries))
	for name, e := range s.entries {
		m[name] = e.Version
	}
	return m
}

// registry returns a copy of the registry, and a channel that is closed at the next change of the
// store.
func (s *store) registry() (registry.Registry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registryState.Clone(), s.changed
}

// lastLeaseChange returns the log index of the last change of a lease that the member holds, and a
// channel that is closed at the next change of the store.
func (s *store) lastLeaseChange(id string) (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registryState.LastChangeFor(id), s.changed
}
