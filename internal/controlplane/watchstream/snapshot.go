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
	c := Snapshot{Fleet: s.fleet, Epoch: s.epoch, Replaces: slices.Clone(s.replaces), Have: s.have, Consistent: s.consistent, NewestSeen: s.newestSeen, TombstoneFloor: s.tombstoneFloor}
	for k := range s.lanes {
		s.lanes[k].byVersion.Ascend(func(r *Record) bool {
			c.Records = append(c.Records, *r)
			return true
		})
	}
	return c
}

// Restore replaces the store's state by a snapshot. An error means that nothing has changed.
func (s *Store) Restore(c Snapshot) error {
	n := NewStore(s.fleet, s.limits)
	switch {
	case c.Fleet != s.fleet:
		return reject(ReasonForeignFleet, "the copy is of fleet %q, and this is %q", c.Fleet, s.fleet)
	case c.Epoch == "" && (len(c.Records) > 0 || c.Have != Position{}):
		return reject(ReasonMalformed, "the copy names no epoch")
	case !c.Consistent.notAfter(c.NewestSeen) || !c.Have.notAfter(c.NewestSeen):
		return reject(ReasonMalformed, "the copy is further than what it has seen")
	}
	var last *Record
	for i := range c.Records {
		r := c.Records[i]
		if err := (&Put{r.Kind, r.Key, r.Deleted, r.Value}).validate(); err != nil {
			return reject(ReasonMalformed, "records[%d].%s: %s", i, err.Field, err.Why)
		}
		switch {
		case last != nil && (r.Kind < last.Kind || r.Kind == last.Kind && !versionLess(last, &r)):
			return reject(ReasonDisorder, "records[%d]: out of order", i)
		case r.Version == 0 || r.Version > *c.NewestSeen.version(r.Kind):
			return reject(ReasonDisorder, "records[%d]: its version %d is not within the copy's", i, r.Version)
		case n.lanes[r.Kind].keys[r.Key] != nil:
			return reject(ReasonDisorder, "records[%d]: %s %q is in it twice", i, r.Kind, r.Key)
		}
		n.putRecord(&r)
		last = &c.Records[i]
	}
	n.epoch, n.replaces = c.Epoch, slices.Clone(c.Replaces)
	n.have, n.consistent, n.newestSeen, n.tombstoneFloor = c.Have, c.Consistent, c.NewestSeen, c.TombstoneFloor
	n.trimTombstones()
	*s = *n
	return nil
}

// Restore starts with a snapshot from the disk. Nothing of it is applied yet.
func (r *Replica) Restore(c Snapshot) error {
	for i := range c.Records {
		if x := &c.Records[i]; !r.scope.Includes(x.Kind, x.Key) {
			return reject(ReasonOutOfScope, "records[%d]: %s %q is not of %+v", i, x.Kind, x.Key, r.scope)
		}
	}
	if err := r.store.Restore(c); err != nil {
		return err
	}
	r.successor, r.progress, r.digestsWanted, r.applied, r.rejection = nil, nil, false, Watermark{}, nil
	return nil
}
