package watchstream

import (
	"slices"
)

// Snapshot is a whole store at one moment, for the disk and for the log's snapshots.
type Snapshot struct {
	Fleet          string   `json:"fleet"`
	Epoch          string   `json:"epoch"`
	Replaces       []string `json:"replaces,omitempty"`
	Have           Position `json:"have"`
	Consistent     Position `json:"whole"`
	NewestSeen     Position `json:"seen"`
	TombstoneFloor uint64   `json:"floor"`
	Records        []Record `json:"records"` // targets first, each kind in order of version, deleted ones included
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

// Restore replaces the store's state by a snapshot. An error means that nothing has changed.
func (s *Store) Restore(snap Snapshot) error {
	n := NewStore(s.fleet, s.limits)
	switch {
	case snap.Fleet != s.fleet:
		return reject(ReasonForeignFleet, "the copy is of fleet %q, and this is %q", snap.Fleet, s.fleet)
	case snap.Epoch == "" && (len(snap.Records) > 0 || snap.Have != Position{}):
		return reject(ReasonMalformed, "the copy names no epoch")
	case !snap.Consistent.notAfter(snap.NewestSeen) || !snap.Have.notAfter(snap.NewestSeen):
		return reject(ReasonMalformed, "the copy is further than what it has seen")
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
			return reject(ReasonDisorder, "records[%d]: its version %d is not within the copy's", i, r.Version)
		case n.byKind[r.Kind].keys[r.Key] != nil:
			return reject(ReasonDisorder, "records[%d]: %s %q is in it twice", i, r.Kind, r.Key)
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

// Restore starts with a snapshot from the disk. Nothing of it is applied yet.
func (r *Replica) Restore(snap Snapshot) error {
	for i := range snap.Records {
		if record := &snap.Records[i]; !r.scope.Includes(record.Kind, record.Key) {
			return reject(ReasonOutOfScope, "records[%d]: %s %q is not of %+v", i, record.Kind, record.Key, r.scope)
		}
	}
	if err := r.store.Restore(snap); err != nil {
		return err
	}
	r.replacement, r.progress, r.digestsWanted, r.applied, r.rejection = nil, nil, false, Watermark{}, nil
	return nil
}
