package agent

import (
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotonic"
)

// maxCommitTimes bounds the commit times that are kept: those of the newest maxCommitTimes versions, and of
// fewer than as many again before older ones are dropped.
const maxCommitTimes = 1 << 13

// streamState is the watch stream's part of the state machine. The store's lock guards it.
type streamState struct {
	store   *watchstream.Store  // nil: the stream has no change yet, and the fleet's name is unknown
	source  *watchstream.Source // serves readers from store; nil if store is nil
	commits []commit            // in log order; not part of snapshots
}

// commit is a version with the time of its commit on this process's clock.
type commit struct {
	epoch   string
	version uint64
	at      time.Duration
}

// apply applies a change, with the same result at every agent, and returns its version.
func (s *streamState) apply(l *raft.Log, c watchstream.Change) (uint64, error) {
	store := s.store
	if store == nil {
		store = watchstream.NewStore(c.Fleet, watchstream.Limits{})
	}
	v, err := store.Apply(c)
	if err != nil {
		return 0, err
	}
	if s.store == nil {
		s.startSource(store)
	}
	committedAt := monotonic.Now()
	if !l.AppendedAt.IsZero() { // an agent replays older entries when it starts
		committedAt -= max(0, time.Since(l.AppendedAt))
	}
	s.commits = append(s.commits, commit{store.Epoch(), v, committedAt})
	if len(s.commits) >= 2*maxCommitTimes {
		s.commits = append([]commit(nil), s.commits[maxCommitTimes:]...)
	}
	return v, nil
}

// commitsSince returns the commits after a version of an epoch, in order; all, if that commit is not kept.
func (s *streamState) commitsSince(epoch string, version uint64) []commit {
	first := len(s.commits)
	for first > 0 && (s.commits[first-1].epoch != epoch || s.commits[first-1].version > version) {
		first--
	}
	return append([]commit(nil), s.commits[first:]...)
}

// startSource creates the source that serves readers from a store. The source's incarnation is the wall
// clock's time, which grows across restarts, so that reports of an earlier incarnation are ignored.
func (s *streamState) startSource(store *watchstream.Store) {
	s.store, s.source = store, watchstream.NewSource(store, watchstream.SourceOptions{}, uint64(time.Now().UnixMilli()))
}

// snapshot returns the stream's snapshot; nil: the stream has no change yet.
func (s *streamState) snapshot() *watchstream.Snapshot {
	if s.store == nil {
		return nil
	}
	snap := s.store.Snapshot()
	return &snap
}

// restore replaces the state by that of a snapshot; nil: the snapshot has no stream. An error leaves the
// state unchanged.
func (s *streamState) restore(snap *watchstream.Snapshot) error {
	if snap == nil {
		*s = streamState{}
		return nil
	}
	store := s.store
	if store == nil || store.Fleet() != snap.Fleet {
		store = watchstream.NewStore(snap.Fleet, watchstream.Limits{})
	}
	if err := store.Restore(*snap); err != nil {
		return err
	}
	if store != s.store {
		s.startSource(store)
	}
	s.commits = nil
	return nil
}
