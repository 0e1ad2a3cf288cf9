package watchstream

import (
	"slices"
)

// Snapshot is the complete state of a store, for snapshots on disk and of the agents' log.
type Snapshot struct {
	Fleet          string   `json:"fleet"`
	Epoch          string   `json:"epoch"`
	Replaces       []string `json:"replaces,omitempty"`
	Have           Position `json:"have"`
	Consistent     Position `json:"whole"`
	NewestSeen     Position `json:"seen"`
	TombstoneFloor uint64   `json:"floor"`
	Records        []Record `json:"records"` // targets first, each kind in order of version, including tombstones
}

// Snapshot returns a snapshot of the store. Its values are shared and must not be modified.
func (s *Store) Snapshot() Snapshot {
	snap := Snapshot{Fleet: s.fleet, Epoch: s.epoch, Replaces: slices.Clone(s.replaces), Have: s.have, Consistent: s.consistent, NewestSeen: s.newestSeen, TombstoneFloor: s.tombstoneFloor}
	for k := range s.byKind {
		s.byKind[k].byVersion.Ascend(func(r *Record) bool {
			snap.Records = append(snap.Records, *r)
			return true
		})
	}
	return snap
}

// Restore replaces the store's state by a snapshot. On an error nothing has changed.
func (s *Store) Restore(snap Snapshot) error {
	n := NewStore(s.fleet, s.limits)
	switch {
	case snap.Fleet != s.fleet:
		return reject(ReasonForeignFleet, "the snapshot is of fleet %q, the store of fleet %q", snap.Fleet, s.fleet)
	case snap.Epoch == "" && (len(snap.Records) > 0 || snap.Have != Position{}):
		return reject(ReasonMalformed, "the snapshot has no epoch")
	case !snap.Consistent.notAfter(snap.NewestSeen) || !snap.Have.notAfter(snap.NewestSeen):
		return reject(ReasonMalformed, "the snapshot's position is after the newest head that it has seen")
	}
	var last *Record
	for i := range snap.Records {
		r := snap.Records[i]
		if err := (&Put{r.Kind, r.Key, r.Deleted, r.Value}).validate(); err != nil {
			return reject(ReasonMalformed, "records[%d].%s: %s", i, err.Field, err.Why)
		}
		switch {
		case last != nil && (r.Kind < last.Kind || r.Kind == last.Kind && !versionLess(last, &r)):
			return reject(ReasonDisorder, "records[%d]: out of order", i)
		case r.Version == 0 || r.Version > *snap.NewestSeen.version(r.Kind):
			return reject(ReasonDisorder, "records[%d]: version %d is outside the snapshot's range", i, r.Version)
		case n.byKind[r.Kind].keys[r.Key] != nil:
			return reject(ReasonDisorder, "records[%d]: duplicate of %s %q", i, r.Kind, r.Key)
		}
		n.putRecord(&r)
		last = &snap.Records[i]
	}
	n.epoch, n.replaces = snap.Epoch, slices.Clone(snap.Replaces)
	n.have, n.consistent, n.newestSeen, n.tombstoneFloor = snap.Have, snap.Consistent, snap.NewestSeen, snap.TombstoneFloor
	n.trimTombstones()
	*s = *n
	return nil
}

// Restore replaces the reader's state by a snapshot. Nothing counts as applied until MarkApplied is
// called. On an error nothing has changed.
func (r *Replica) Restore(snap Snapshot) error {
	for i := range snap.Records {
		if record := &snap.Records[i]; !r.scope.Includes(record.Kind, record.Key) {
			return reject(ReasonOutOfScope, "records[%d]: %s %q is outside the scope %+v", i, record.Kind, record.Key, r.scope)
		}
	}
	if err := r.store.Restore(snap); err != nil {
		return err
	}
	r.replacement, r.progress, r.digestsWanted, r.applied, r.rejection = nil, nil, false, Watermark{}, nil
	return nil
}
