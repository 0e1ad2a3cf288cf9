// Package agent keeps the configurations of many instances in a log that a few agents replicate by Raft, and
// brings each instance its own. It is off on the platform.
package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/registry"
	"spindlehitch/internal/controlplane/watchstream"
)

// Entry is one instance's configuration. Version grows with each change of any entry.
type Entry struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Config  json.RawMessage `json:"config,omitempty"` // empty: taken away
	Change  string          `json:"change,omitempty"` // the id of the change that made it
}

// change is a command of the log: about one instance's configuration, or where one of the others is there, about the fleet.
type change struct {
	Name   string              `json:"name,omitempty"`
	Config json.RawMessage     `json:"config,omitempty"` // empty: take it away
	If     *uint64             `json:"if,omitempty"`     // only where the entry has this version; 0: where there is none
	ID     string              `json:"id,omitempty"`     // the caller's own: a change that comes twice is made once
	Set    *quota.Doc          `json:"set,omitempty"`    // the fleet's budgets
	Join   *quota.Member       `json:"join,omitempty"`   // a seat is asked for
	Leave  []string            `json:"leave,omitempty"`  // seats are given back
	Tasks  *lease.Doc          `json:"tasks,omitempty"`  // the fleet's tasks
	Orders []lease.Order       `json:"orders,omitempty"` // leases are granted, planned to move, or freed
	Seen   uint64              `json:"seen,omitempty"`   // with orders, or alone: a token that a place was shown
	Feed   *watchstream.Change `json:"feed,omitempty"`   // targets and configuration of the whole fleet
}

// mostRecent is how many changes are known by their ids.
const mostRecent = 256

// joined answers a join.
type joined struct {
	Member quota.Member `json:"member"`
	Doc    quota.Doc    `json:"doc"`
}

// errConflict answers a change whose condition does not hold.
var errConflict = errors.New("the entry has another version")

// store is what the log says, the same at every agent that has applied as much of it.
type store struct {
	mu      sync.Mutex
	entries map[string]Entry
	recent  []Entry // what the last changes made, each known by its change's id
	fleet   registry.Register
	feed    stream
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
	if c.ID != "" {
		for _, made := range s.recent {
			if made.Change == c.ID {
				return made // its first answer was lost
			}
		}
	}
	switch {
	case c.Set != nil:
		defer s.announce()
		if err := s.fleet.Set(l.Index, *c.Set); err != nil {
			return &Refusal{http.StatusUnprocessableEntity, err.Error()}
		}
		return s.fleet.Doc
	case c.Join != nil:
		defer s.announce()
		m, err := s.fleet.Join(l.Index, *c.Join)
		if err != nil {
			return err
		}
		return joined{m, s.fleet.Doc}
	case len(c.Leave) > 0:
		defer s.announce()
		s.fleet.Leave(c.Leave...)
		return struct{}{}
	case c.Tasks != nil:
		defer s.announce()
		if err := s.fleet.SetTasks(l.Index, *c.Tasks); errors.Is(err, quota.NoBudgets) {
			return err
		} else if err != nil {
			return &Refusal{http.StatusUnprocessableEntity, err.Error()}
		}
		return s.fleet.Tasks
	case len(c.Orders) > 0 || c.Seen > 0:
		defer s.announce()
		return s.fleet.Order(l.Index, c.Seen, c.Orders)
	case c.Feed != nil:
		v, err := s.feed.apply(l, *c.Feed)
		if err != nil {
			return err
		}
		defer s.announce()
		e := Entry{Version: v, Change: c.ID}
		s.remember(e)
		return e
	}
	if had := s.entries[c.Name]; c.If != nil && had.Version != *c.If {
		return fmt.Errorf("%s: %w: %d", c.Name, errConflict, had.Version)
	}
	e := Entry{Name: c.Name, Version: l.Index, Config: c.Config, Change: c.ID}
	if len(c.Config) == 0 {
		delete(s.entries, c.Name)
	} else {
		s.entries[c.Name] = e
	}
	s.remember(e)
	s.announce()
	return e
}

// remember keeps what a change made, if it has an id to know it by. Its caller holds mu.
func (s *store) remember(made Entry) {
	if made.Change == "" {
		return
	}
	made.Config = nil
	s.recent = append(s.recent, made)
	s.recent = s.recent[max(0, len(s.recent)-mostRecent):]
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

// register returns what the log says of the fleet, and what is closed at the next change of anything.
func (s *store) register() (registry.Register, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.Clone(), s.changed
}

// changedFor returns when a lease that a member has was last changed, and what is closed at the next change of anything.
func (s *store) changedFor(id string) (uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.ChangedFor(id), s.changed
}

// snapshot is the store at one moment. Snapshots from before there were formats are the entries alone.
type snapshot struct {
	Format  int               `json:"format"`
	Entries map[string]Entry  `json:"entries"`
	Recent  []Entry           `json:"recent,omitempty"`
	Fleet   registry.Register `json:"fleet"`
	Feed    *watchstream.Copy `json:"feed,omitempty"` // nil: no change of it has come yet
}

const (
	format     = 4 // 2 had no leases, 3 no feed: a program that knows no more would lose them
	feedFormat = 4
)

// Snapshot implements raft.FSM.
func (s *store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{format, maps.Clone(s.entries), slices.Clone(s.recent), s.fleet.Clone(), s.feed.copy()}, nil
}

// Persist implements raft.FSMSnapshot.
func (m snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(m); err != nil {
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
	var text json.RawMessage
	if err := json.NewDecoder(in).Decode(&text); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	var m snapshot
	if json.Unmarshal(text, &m) != nil || m.Format == 0 {
		// An instance may be named like a field: then it is no number, or no map of entries.
		m = snapshot{}
		if err := json.Unmarshal(text, &m.Entries); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	if m.Format > format {
		return fmt.Errorf("snapshot: format %d is newer than this program's %d", m.Format, format)
	}
	if m.Entries == nil {
		m.Entries = map[string]Entry{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.feed.restore(m.Feed); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	s.entries, s.recent, s.fleet = m.Entries, m.Recent, m.Fleet
	s.announce()
	return nil
}
