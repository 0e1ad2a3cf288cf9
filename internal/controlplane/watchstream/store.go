package watchstream

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/google/btree"
)

// Limits bound the content of a Store. Buckets must be equal at all stores of a fleet.
type Limits struct {
	Targets    int // live targets; a change that would exceed it is rejected
	Tombstones int // of deleted targets; beyond it the oldest are dropped
	Scopes     int // layers, including deleted ones; a change that would exceed it is rejected
	Buckets    int // of keys, each with one digest
}

// DefaultLimits are sized for a fleet of 20,000 targets.
var DefaultLimits = Limits{Targets: 1 << 16, Tombstones: 1 << 14, Scopes: 1 << 14, Buckets: 1 << 10}

// Store holds the newest state of each key, ordered by version: the log's state at an agent, and a copy
// of it at a relay or an initiator.
type Store struct {
	limits   Limits
	fleet    string
	epoch    string
	replaces []string // epochs that this one replaces (step 9)
	// each key whose last change in the log is at or before it has that state here (step 2)
	have Position
	// last position at which all records were the log's state, or newer (step 3)
	consistent     Position
	newestSeen     Position // newest head of any source whose delta was applied (step 4)
	tombstoneFloor uint64   // targets deleted at or before it may have no tombstone any more (step 6)
	byKind         [kindCount]kindState
	digests        Digests
	buckets        [][]*Record // live targets by bucket
}

// kindState holds the records of one kind.
type kindState struct {
	keys       map[string]*Record
	byVersion  *btree.BTreeG[*Record] // all records
	tombstones *btree.BTreeG[*Record] // deleted ones
	bytes      int                    // of all keys and values
}

// versionLess orders records by version and key.
func versionLess(a, b *Record) bool {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key)) < 0
}

// NewStore returns an empty store. Zero limits are replaced by those of DefaultLimits.
func NewStore(fleet string, l Limits) *Store {
	l.Targets, l.Tombstones = cmp.Or(l.Targets, DefaultLimits.Targets), cmp.Or(l.Tombstones, DefaultLimits.Tombstones)
	l.Scopes, l.Buckets = cmp.Or(l.Scopes, DefaultLimits.Scopes), cmp.Or(l.Buckets, DefaultLimits.Buckets)
	s := &Store{limits: l, fleet: fleet, digests: make(Digests, l.Buckets), buckets: make([][]*Record, l.Buckets)}
	for k := range s.byKind {
		s.byKind[k] = kindState{keys: map[string]*Record{}, byVersion: btree.NewG(16, versionLess), tombstones: btree.NewG(16, versionLess)}
	}
	return s
}

// Fleet returns the fleet that the stream belongs to.
func (s *Store) Fleet() string { return s.fleet }

// Epoch returns the epoch of the store's state; empty before the first change.
func (s *Store) Epoch() string { return s.epoch }

// Replaces returns the epochs that this one replaces.
func (s *Store) Replaces() []string { return slices.Clone(s.replaces) }

// Head returns the version of the last change. At a relay it is the smaller version of both kinds.
func (s *Store) Head() uint64 { return s.consistent.Min() }

// Consistent returns the position up to which the store has the log's state.
func (s *Store) Consistent() Position { return s.consistent }

// TombstoneFloor returns the version up to which tombstones may have been dropped: readers behind it
// resync by digests.
func (s *Store) TombstoneFloor() uint64 { return s.tombstoneFloor }

// Count returns the number of live records of a kind.
func (s *Store) Count(k Kind) int { return s.byKind[k].byVersion.Len() - s.byKind[k].tombstones.Len() }

// Tombstones returns the number of tombstones of a kind.
func (s *Store) Tombstones(k Kind) int { return s.byKind[k].tombstones.Len() }

// Bytes returns the size of the keys and values of a kind.
func (s *Store) Bytes(k Kind) int { return s.byKind[k].bytes }

// Get returns the record of a key, which may be a tombstone, and whether there is one.
func (s *Store) Get(k Kind, key string) (Record, bool) {
	if r := s.byKind[k].keys[key]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// Records returns the live records of a kind in order of version. Their values are shared and must not
// be modified.
func (s *Store) Records(k Kind) []Record {
	list := make([]Record, 0, s.Count(k))
	s.byKind[k].byVersion.Ascend(func(r *Record) bool {
		if !r.Deleted {
			list = append(list, *r)
		}
		return true
	})
	return list
}

// Apply applies a change of the log and returns its version. The result is the same at every agent. On
// an error nothing has changed.
func (s *Store) Apply(c Change) (uint64, error) {
	if err := c.Validate(); err != nil {
		return 0, err
	}
	switch {
	case c.Fleet != s.fleet:
		return 0, reject(ReasonForeignFleet, "the change is of fleet %q, and this is %q", c.Fleet, s.fleet)
	case s.epoch == "" && c.Epoch == "":
		return 0, fieldError("epoch", "it is missing: the first change of a history names it")
	case c.IfVersion != nil && *c.IfVersion != s.Head():
		return 0, &ConflictError{*c.IfVersion, s.Head()}
	case c.Replaces != "" && c.Replaces == cmp.Or(s.epoch, c.Epoch):
		return 0, fieldError("replaces", "%q is this history itself", c.Replaces)
	case c.Replaces != "" && len(s.replaces) >= MaxReplaced && !slices.Contains(s.replaces, c.Replaces):
		return 0, fieldError("replaces", "this history takes the place of %d others already", len(s.replaces))
	}
	live, layers := s.Count(Targets), s.byKind[Config].byVersion.Len()
	for _, p := range c.Puts {
		r := s.byKind[p.Kind].keys[p.Key]
		switch {
		case p.Kind == Config && r == nil:
			layers++
		case p.Kind == Targets && !p.Deleted && (r == nil || r.Deleted):
			live++
		case p.Kind == Targets && p.Deleted && r != nil && !r.Deleted:
			live--
		}
	}
	if live > s.limits.Targets {
		return 0, fieldError("puts", "there would be %d targets: %d at most", live, s.limits.Targets)
	}
	if layers > s.limits.Scopes {
		return 0, fieldError("puts", "there would be %d layers of configuration, gone ones too: %d at most", layers, s.limits.Scopes)
	}
	s.epoch = cmp.Or(s.epoch, c.Epoch)
	if c.Replaces != "" && !slices.Contains(s.replaces, c.Replaces) {
		s.replaces = append(s.replaces, c.Replaces)
	}
	v := s.Head() + 1
	for _, p := range c.Puts {
		s.putRecord(&Record{Kind: p.Kind, Key: p.Key, Version: v, Deleted: p.Deleted, Value: p.Value})
	}
	s.trimTombstones()
	s.have = Position{v, v}
	s.consistent, s.newestSeen = s.have, s.have
	return v, nil
}

// putRecord inserts a record and replaces the previous one of its key.
func (s *Store) putRecord(r *Record) {
	state := &s.byKind[r.Kind]
	if old := state.keys[r.Key]; old != nil {
		s.dropRecord(old)
	}
	state.keys[r.Key] = r
	state.byVersion.ReplaceOrInsert(r)
	state.bytes += len(r.Key) + len(r.Value)
	switch {
	case r.Deleted:
		r.Value = nil
		state.tombstones.ReplaceOrInsert(r)
	case r.Kind == Targets:
		b := s.bucketOf(r.Key)
		s.digests[b] += r.digest()
		s.buckets[b] = append(s.buckets[b], r)
	}
}

// dropRecord removes a record from all indexes.
func (s *Store) dropRecord(r *Record) {
	state := &s.byKind[r.Kind]
	delete(state.keys, r.Key)
	state.byVersion.Delete(r)
	state.bytes -= len(r.Key) + len(r.Value)
	switch {
	case r.Deleted:
		state.tombstones.Delete(r)
	case r.Kind == Targets:
		b := s.bucketOf(r.Key)
		s.digests[b] -= r.digest()
		at := slices.Index(s.buckets[b], r)
		last := len(s.buckets[b]) - 1
		s.buckets[b][at], s.buckets[b][last] = s.buckets[b][last], nil
		s.buckets[b] = s.buckets[b][:last]
	}
}

// trimTombstones drops the oldest tombstones of targets beyond the limit and raises the floor to their
// versions.
func (s *Store) trimTombstones() {
	tree := s.byKind[Targets].tombstones
	for tree.Len() > s.limits.Tombstones {
		r, _ := tree.Min()
		s.tombstoneFloor = max(s.tombstoneFloor, r.Version)
		s.dropRecord(r)
	}
}

// bucketOf returns the bucket of a key.
func (s *Store) bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(s.digests)))
}

// digest returns a record's contribution to its bucket's digest, which is the sum over its records.
func (r *Record) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	var v [8]byte
	binary.LittleEndian.PutUint64(v[:], r.Version)
	_, _ = d.Write(v[:])
	return d.Sum64()
}

// ascendAfter visits the records of a kind with versions greater than v, in order, until visit returns
// false.
func (s *Store) ascendAfter(k Kind, v uint64, visit func(*Record) bool) {
	s.byKind[k].byVersion.AscendGreaterOrEqual(&Record{Version: v + 1}, visit)
}
