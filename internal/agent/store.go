// Package agent keeps the configurations of many instances in a log that a few agents replicate by Raft, and
// brings each instance its own. It is off on the platform.
package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"
)

// Entry is one instance's configuration. Version grows with each change of any entry.
type Entry struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Config  json.RawMessage `json:"config,omitempty"` // empty: taken away
	Change  string          `json:"change,omitempty"` // the id of the change that made it
}

// change is a command of the log.
type change struct {
	Name   string          `json:"name"`
	Config json.RawMessage `json:"config,omitempty"` // empty: take it away
	If     *uint64         `json:"if,omitempty"`     // only where the entry has this version; 0: where there is none
	ID     string          `json:"id,omitempty"`     // the caller's own: a change that comes twice is made once
}

// errConflict answers a change whose condition does not hold.
var errConflict = errors.New("the entry has another version")

// store is what the log says, the same at every agent that has applied as much of it.
type store struct {
	mu      sync.Mutex
	entries map[string]Entry
	changed chan struct{} // closed and renewed at each change
}

func newStore() *store {
	return &store{entries: map[string]Entry{}, changed: make(chan struct{})}
}

// Apply implements raft.FSM. It returns the new entry or an error.
func (s *store) Apply(l *raft.Log) any {
	var c change
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	had := s.entries[c.Name]
	switch {
	case c.ID != "" && c.ID == had.Change:
		return had // its first answer was lost
	case c.If != nil && had.Version != *c.If:
		return fmt.Errorf("%s: %w: %d", c.Name, errConflict, had.Version)
	}
	e := Entry{Name: c.Name, Version: l.Index, Config: c.Config, Change: c.ID}
	if len(c.Config) == 0 {
		delete(s.entries, c.Name)
	} else {
		s.entries[c.Name] = e
	}
	s.announce()
	return e
}

// announce wakes whoever waits for a change. Its caller holds mu.
func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns an entry, and what is closed at the next change of any.
func (s *store) get(name string) (e Entry, found bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found = s.entries[name]
	return e, found, s.changed
}

// all returns the entries without their texts.
func (s *store) all() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]uint64, len(s.entries))
	for name, e := range s.entries {
		m[name] = e.Version
	}
	return m
}

// snapshot is the store at one moment.
type snapshot map[string]Entry

// Snapshot implements raft.FSM.
func (s *store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(snapshot, len(s.entries))
	for name, e := range s.entries {
		m[name] = e
	}
	return m, nil
}

// Persist implements raft.FSMSnapshot.
func (m snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(map[string]Entry(m)); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}

// Restore implements raft.FSM.
func (s *store) Restore(in io.ReadCloser) error {
	defer in.Close()
	m := map[string]Entry{}
	if err := json.NewDecoder(in).Decode(&m); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = m
	s.announce()
	return nil
}
