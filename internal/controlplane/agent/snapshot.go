package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"spindlehitch/internal/controlplane/registry"
	"spindlehitch/internal/controlplane/watchstream"

	"github.com/hashicorp/raft"
)

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
