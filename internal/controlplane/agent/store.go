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
	Name      string          `json:"name"`
	Version   uint64          `json:"version"`
	Config    json.RawMessage `json:"config,omitempty"` // empty: taken away
	RequestID string          `json:"change,omitempty"` // the id of the change that made it
}

// command is a command of the log: about one instance's configuration, or where one of the others is there, about the fleet.
type command struct {
	Name         string              `json:"name,omitempty"`
	Config       json.RawMessage     `json:"config,omitempty"` // empty: take it away
	IfVersion    *uint64             `json:"if,omitempty"`     // only where the entry has this version; 0: where there is none
	RequestID    string              `json:"id,omitempty"`     // the caller's own: a change that comes twice is made once
	QuotaConfig  *quota.Config       `json:"set,omitempty"`    // the fleet's budgets
	Join         *quota.Member       `json:"join,omitempty"`   // a seat is asked for
	Leave        []string            `json:"leave,omitempty"`  // seats are given back
	LeaseConfig  *lease.Config       `json:"tasks,omitempty"`  // the fleet's tasks
	LeaseEvents  []lease.Event       `json:"orders,omitempty"` // leases are granted, planned to move, or freed
	HighestToken uint64              `json:"seen,omitempty"`   // with orders, or alone: a token that a place was shown
	StreamChange *watchstream.Change `json:"feed,omitempty"`   // targets and configuration of the whole fleet
}

// maxRecentChanges is how many changes are known by their ids.
const maxRecentChanges = 256

// joinResponse answers a join.
type joinResponse struct {
	Member      quota.Member `json:"member"`
	QuotaConfig quota.Config `json:"doc"`
}

// errConflict answers a change whose condition does not hold.
var errConflict = errors.New("the entry has another version")

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

// Apply implements raft.FSM. It returns the new entry or an error.
func (s *store) Apply(l *raft.Log) any {
	var c command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.RequestID != "" {
		for _, made := range s.recentChanges {
			if made.RequestID == c.RequestID {
				return made // its first answer was lost
			}
		}
	}
	switch {
	case c.QuotaConfig != nil:
		defer s.notifyWatchers()
		if err := s.fleet.SetQuotaConfig(l.Index, *c.QuotaConfig); err != nil {
			return &RejectedError{http.StatusUnprocessableEntity, err.Error()}
		}
		return s.fleet.QuotaConfig
	case c.Join != nil:
		defer s.notifyWatchers()
		m, err := s.fleet.Join(l.Index, *c.Join)
		if err != nil {
			return err
		}
		return joinResponse{m, s.fleet.QuotaConfig}
	case len(c.Leave) > 0:
		defer s.notifyWatchers()
		s.fleet.Leave(c.Leave...)
		return struct{}{}
	case c.LeaseConfig != nil:
		defer s.notifyWatchers()
		if err := s.fleet.SetLeaseConfig(l.Index, *c.LeaseConfig); errors.Is(err, quota.ErrNoBudgets) {
			return err
		} else if err != nil {
			return &RejectedError{http.StatusUnprocessableEntity, err.Error()}
		}
		return s.fleet.LeaseConfig
	case len(c.LeaseEvents) > 0 || c.HighestToken > 0:
		defer s.notifyWatchers()
		return s.fleet.ApplyEvents(l.Index, c.HighestToken, c.LeaseEvents)
	case c.StreamChange != nil:
		v, err := s.stream.apply(l, *c.StreamChange)
		if err != nil {
			return err
		}
		defer s.notifyWatchers()
		e := Entry{Version: v, RequestID: c.RequestID}
		s.rememberChange(e)
		return e
	}
	if had := s.entries[c.Name]; c.IfVersion != nil && had.Version != *c.IfVersion {
		return fmt.Errorf("%s: %w: %d", c.Name, errConflict, had.Version)
	}
	e := Entry{Name: c.Name, Version: l.Index, Config: c.Config, RequestID: c.RequestID}
	if len(c.Config) == 0 {
		delete(s.entries, c.Name)
	} else {
		s.entries[c.Name] = e
	}
	s.rememberChange(e)
	s.notifyWatchers()
	return e
}

// rememberChange keeps what a change made, if it has an id to know it by. Its caller holds mu.
func (s *store) rememberChange(made Entry) {
	if made.RequestID == "" {
		return
	}
	made.Config = nil
	s.recentChanges = append(s.recentChanges, made)
	s.recentChanges = s.recentChanges[max(0, len(s.recentChanges)-maxRecentChanges):]
}

// notifyWatchers wakes whoever waits for a change. Its caller holds mu.
func (s *store) notifyWatchers() {
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

// snapshot is the store at one moment. Snapshots from before there were formats are the entries alone.
type snapshot struct {
	Format  int                   `json:"format"`
	Entries map[string]Entry      `json:"entries"`
	Recent  []Entry               `json:"recent,omitempty"`
	Fleet   registry.Registry     `json:"fleet"`
	Stream  *watchstream.Snapshot `json:"feed,omitempty"` // nil: no change of it has come yet
}

const (
	snapshotFormat       = 4 // 2 had no leases, 3 no feed: a program that knows no more would lose them
	streamSnapshotFormat = 4
)

// Snapshot implements raft.FSM.
func (s *store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{snapshotFormat, maps.Clone(s.entries), slices.Clone(s.recentChanges), s.fleet.Clone(), s.stream.snapshot()}, nil
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
	if m.Format > snapshotFormat {
		return fmt.Errorf("snapshot: format %d is newer than this program's %d", m.Format, snapshotFormat)
	}
	if m.Entries == nil {
		m.Entries = map[string]Entry{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.stream.restore(m.Stream); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	s.entries, s.recentChanges, s.fleet = m.Entries, m.Recent, m.Fleet
	s.notifyWatchers()
	return nil
}
