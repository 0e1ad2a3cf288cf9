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

// snapshot is a copy of the state machine's state. The first snapshots, which have no format number,
// consist of the entries alone.
type snapshot struct {
	Format        int                   `json:"format"`
	Entries       map[string]Entry      `json:"entries"`
	RecentResults []Entry               `json:"recent,omitempty"`
	Fleet         registry.Registry     `json:"fleet"`
	Stream        *watchstream.Snapshot `json:"feed,omitempty"`    // nil: the watch stream has no change yet
	Applied       uint64                `json:"applied,omitempty"` // log index of the last command; 0: none yet, or written by an older program without this field
}

// Formats of snapshots. An agent rejects a newer format, since it would lose the state that it cannot
// decode.
const (
	snapshotFormat       = 4 // written by this program; format 2 has no leases, format 3 no watch stream
	streamSnapshotFormat = 4 // first format with the watch stream
)

// Snapshot implements raft.FSM. The copy shares no state that a later command changes.
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

// Restore implements raft.FSM. An error leaves the state unchanged.
func (s *store) Restore(source io.ReadCloser) error {
	defer source.Close()
	var text json.RawMessage
	if err := json.NewDecoder(source).Decode(&text); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	var saved snapshot
	if json.Unmarshal(text, &saved) != nil || saved.Format == 0 {
		// Without a format number, the whole text is the entries. Decoding fails if an instance is named like a field of
		// snapshot, since its entry has another type.
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
	s.entries, s.recentResults, s.registryState, s.applied = saved.Entries, saved.RecentResults, saved.Fleet, saved.Applied
	s.notifyWatchers()
	return nil
}
