package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/registry"
	"spindlehitch/internal/controlplane/watchstream"
)

// snapshot is the state machine at one moment. Snapshots from before there were formats are the
// entries alone.
type snapshot struct {
	Format  int                   `json:"format"`
	Entries map[string]Entry      `json:"entries"`
	Recent  []Entry               `json:"recent,omitempty"`
	Fleet   registry.Registry     `json:"fleet"`
	Stream  *watchstream.Snapshot `json:"feed,omitempty"`    // nil: there was no change of it yet
	Applied uint64                `json:"applied,omitempty"` // index of the last command; 0: older programs do not tell
}

// Formats of snapshots. An agent does not read a newer format, since it would lose what it does not
// know.
const (
	snapshotFormat       = 4 // format 2 had no leases, format 3 no watch stream
	streamSnapshotFormat = 4
)

// Snapshot implements raft.FSM.
func (s *store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{snapshotFormat, maps.Clone(s.entries), slices.Clone(s.recentResults), s.registryState.Clone(), s.stream.snapshot(), s.applied}, nil
}

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}

// Restore implements raft.FSM.
func (s *store) Restore(source io.ReadCloser) error {
	defer source.Close()
	var text json.RawMessage
	if err := json.NewDecoder(source).Decode(&text); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	var saved snapshot
	if json.Unmarshal(text, &saved) != nil || saved.Format == 0 {
		// Without a format: the whole text is the entries. An instance may be named like a field of snapshot, which
		// then has another type.
		saved = snapshot{}
		if err := json.Unmarshal(text, &saved.Entries); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	if saved.Format > snapshotFormat {
		return fmt.Errorf("snapshot: format %d is newer than this program's %d", saved.Format, snapshotFormat)
	}
	if saved.Entries == nil {
		saved.Entries = map[string]Entry{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.stream.restore(saved.Stream); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	s.entries, s.recentResults, s.registryState, s.applied = saved.Entries, saved.Recent, saved.Fleet, saved.Applied
	s.notifyWatchers()
	return nil
}
