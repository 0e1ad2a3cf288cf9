package agent

import (
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotone"
)

// mostCommits is how many of the feed's last versions are known with when they were put into the log.
const mostCommits = 1 << 13

// stream is the log's part of the feed. The store's lock guards it.
type stream struct {
	store   *watchstream.Store // nil: no change has come yet, so that the fleet's name is not known
	source  *watchstream.Source
	commits []commit // in order of version; not in snapshots
}

// commit is when a version was put into the log.
type commit struct {
	epoch   string
	version uint64
	at      time.Duration
}

// apply makes a change, the same at every agent, and returns its version.
func (s *stream) apply(l *raft.Log, c watchstream.Change) (uint64, error) {
	store := s.store
	if store == nil {
		store = watchstream.NewStore(c.Fleet, watchstream.Limits{})
	}
	v, err := store.Apply(c)
	if err != nil {
		return 0, err
	}
	if s.store == nil {
		s.begin(store)
	}
	at := monotone.Now()
	if !l.AppendedAt.IsZero() { // an agent that starts reads older ones again
		at -= max(0, time.Since(l.AppendedAt))
	}
	s.commits = append(s.commits, commit{store.Epoch(), v, at})
	if len(s.commits) >= 2*mostCommits {
		s.commits = append([]commit(nil), s.commits[mostCommits:]...)
	}
	return v, nil
}

// since are the commits after a version, the last of them last.
func (s *stream) since(epoch string, version uint64) []commit {
	at := len(s.commits)
	for at > 0 && (s.commits[at-1].epoch != epoch || s.commits[at-1].version > version) {
		at--
	}
	return append([]commit(nil), s.commits[at:]...)
}

// begin has readers served from a store. The source's life grows over restarts, so that reports of an earlier one don't count.
func (s *stream) begin(store *watchstream.Store) {
	s.store, s.source = store, watchstream.NewSource(store, watchstream.SourceOptions{}, uint64(time.Now().UnixMilli()))
}

func (s *stream) copy() *watchstream.Copy {
	if s.store == nil {
		return nil
	}
	c := s.store.Copy()
	return &c
}

// restore takes a snapshot's state; nil: it has none. Where it returns an error nothing has changed.
func (s *stream) restore(c *watchstream.Copy) error {
	if c == nil {
		*s = stream{}
		return nil
	}
	store := s.store
	if store == nil || store.Fleet() != c.Fleet {
		store = watchstream.NewStore(c.Fleet, watchstream.Limits{})
	}
	if err := store.Restore(*c); err != nil {
		return err
	}
	if store != s.store {
		s.begin(store)
	}
	s.commits = nil
	return nil
}
