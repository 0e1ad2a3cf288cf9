package watchstream

import (
	"bytes"
	"errors"
	"slices"
)

// ApplyDelta applies a delta and returns the records that it changed, including tombstones, targets
// first. The caller must put them into force at once and then acknowledge them with MarkApplied. On an
// error, a *RejectedError, only the rejection counters have changed.
func (r *Replica) ApplyDelta(d *Delta) (changed []Record, err error) {
	s, isFirst, err := r.checkDelta(d)
	if err != nil {
		if e := (*RejectedError)(nil); errors.As(err, &e) {
			r.rejections[e.Reason]++
		}
		return nil, err
	}
	r.ageMs = d.AgeMs
	if d.WantDigests {
		r.digestsWanted, r.progress = true, nil
		return nil, nil
	}
	r.digestsWanted = false
	switch {
	case isFirst && r.store.epoch == "":
		s.epoch = d.Epoch
	case isFirst:
		s.epoch, r.replacement = d.Epoch, s
	}
	s.replaces = slices.Clone(d.Replaces)
	s.newestSeen = s.newestSeen.later(d.Head)
	if d.Range != nil {
		changed = s.applyBuckets(d)
		if r.progress = (&DigestProgress{d.Range.Start, d.Range.To}); d.Range.To == len(s.digests) {
			r.progress = nil
		}
	} else {
		changed = s.applyRecords(d)
		r.progress = nil
	}
	s.have = d.To
	for _, k := range Kinds { // step 3
		if *d.To.version(k) == *s.newestSeen.version(k) {
			*s.consistent.version(k) = *d.To.version(k)
		}
	}
	s.trimTombstones()
	if s == r.replacement {
		if s.consistent != s.newestSeen || s.consistent.Targets != s.consistent.Config { // the new epoch is not complete yet
			return nil, nil
		}
		return r.switchHistory(), nil // step 9
	}
	return changed, nil
}

// checkDelta returns the store that a delta applies to, and whether it is the first delta of that
// store. It changes nothing.
func (r *Replica) checkDelta(d *Delta) (s *Store, isFirst bool, err error) {
	s = r.following()
	switch {
	case d.Fleet != s.fleet:
		return nil, false, reject(ReasonForeignFleet, "the delta is of fleet %q, the reader of fleet %q", d.Fleet, s.fleet)
	case d.Scope != r.scope:
		return nil, false, reject(ReasonMisdirected, "the delta is addressed to %+v, the reader is %+v", d.Scope, r.scope)
	case d.Epoch == "" || len(d.Epoch) > MaxNameBytes || len(d.Replaces) > MaxReplaced:
		return nil, false, reject(ReasonMalformed, "the epoch is missing or too long, or too many epochs are replaced")
	case d.Size() > MaxDeltaBytes:
		return nil, false, reject(ReasonOversize, "the delta has %d bytes, the limit is %d", d.Size(), MaxDeltaBytes)
	case d.Epoch == s.epoch:
	case r.store.epoch == "":
		isFirst = true
	case slices.Contains(d.Replaces, r.store.epoch) && !slices.Contains(r.store.replaces, d.Epoch):
		s, isFirst = NewStore(s.fleet, s.limits), true
	default:
		return nil, false, reject(ReasonEpoch, "the delta's epoch %q does not replace epoch %q", d.Epoch, r.store.epoch)
	}
	switch {
	case !s.newestSeen.notAfter(d.Head):
		return nil, false, reject(ReasonBehind, "the source's head is %v, behind the known head %v", d.Head, s.newestSeen)
	case d.From != s.have:
		return nil, false, reject(ReasonGap, "the delta starts at %v, the reader is at %v", d.From, s.have)
	case d.WantDigests:
		if d.To != d.From || len(d.Records)+len(d.Buckets) > 0 || d.Range != nil || isFirst {
			return nil, false, reject(ReasonDisorder, "the delta requests digests and has content")
		}
		return s, false, nil
	case !d.From.notAfter(d.To) || !d.To.notAfter(d.Head):
		return nil, false, reject(ReasonDisorder, "the delta goes from %v to %v, the source's head is %v", d.From, d.To, d.Head)
	case d.To.Config != d.From.Config && d.To.Targets != d.Head.Targets:
		return nil, false, reject(ReasonDisorder, "the delta has configuration before all targets are sent")
	case d.To.Config != d.From.Config && d.To.Config != d.Head.Config && !r.scope.All:
		return nil, false, reject(ReasonDisorder, "the delta has only a part of the configuration")
	case d.Range != nil:
		return s, isFirst, r.checkBuckets(s, d)
	}
	return s, isFirst, r.checkRecords(s, d)
}

// checkRecords validates the records of a delta by version.
func (r *Replica) checkRecords(s *Store, d *Delta) error {
	if len(d.Buckets) > 0 {
		return reject(ReasonDisorder, "the delta has buckets but no bucket range")
	}
	var last *Record
	seen := make(map[string]Kind, len(d.Records))
	for i := range d.Records {
		record := &d.Records[i]
		if err := r.checkRecord(s, record); err != nil {
			return err
		}
		if k, again := seen[record.Key]; again && k == record.Kind {
			return reject(ReasonDisorder, "records[%d]: duplicate of %s %q", i, record.Kind, record.Key)
		}
		seen[record.Key] = record.Kind
		switch {
		case last != nil && (record.Kind < last.Kind || record.Kind == last.Kind && record.Version < last.Version):
			return reject(ReasonDisorder, "records[%d]: out of order", i)
		case record.Version <= *d.From.version(record.Kind) || record.Version > *d.To.version(record.Kind):
			return reject(ReasonDisorder, "records[%d]: version %d is outside the delta's range %v to %v", i, record.Version, d.From, d.To)
		}
		last = record
	}
	return nil
}

// checkRecord validates one record against the scope and the store's record of its key (step 5).
func (r *Replica) checkRecord(s *Store, record *Record) error {
	if err := (&Put{record.Kind, record.Key, record.Deleted, record.Value}).validate(); err != nil {
		return reject(ReasonMalformed, "%s %q: %s: %s", record.Kind, record.Key, err.Field, err.Why)
	}
	if !r.scope.Includes(record.Kind, record.Key) {
		return reject(ReasonOutOfScope, "%s %q is outside the scope %+v", record.Kind, record.Key, r.scope)
	}
	if old := s.byKind[record.Kind].keys[record.Key]; old != nil && record.Version < old.Version && !(record.Deleted && old.Deleted) {
		return reject(ReasonBehind, "%s %q has version %d in the delta, %d at the reader", record.Kind, record.Key, record.Version, old.Version)
	}
	return nil
}

// checkBuckets validates the buckets of a delta by digests.
func (r *Replica) checkBuckets(s *Store, d *Delta) error {
	p, n := d.Range, len(s.digests)
	progress := DigestProgress{p.Start, 0}
	if r.progress != nil && p.From > 0 {
		progress = *r.progress
	}
	switch {
	case len(d.Records) > 0:
		return reject(ReasonDisorder, "the delta has both a bucket range and records")
	case p.From < 0 || p.To <= p.From || p.To > n:
		return reject(ReasonDisorder, "the bucket range %d to %d is invalid for %d buckets", p.From, p.To, n)
	case progress != DigestProgress{p.Start, p.From}:
		return reject(ReasonGap, "the delta continues at bucket %d of a resync from version %d, the reader is at %+v", p.From, p.Start, progress)
	case p.Start < d.From.Targets || p.Start > d.Head.Targets || d.To.Config != d.From.Config:
		return reject(ReasonDisorder, "the resync starts at version %d, the delta goes from %v to %v", p.Start, d.From, d.To)
	case p.To < n && d.To != d.From || p.To == n && d.To.Targets != p.Start:
		return reject(ReasonDisorder, "the bucket range ends at %d of %d, the delta goes to %v", p.To, n, d.To)
	}
	next := p.From
	seen := map[string]bool{}
	for i, b := range d.Buckets {
		if b.Index < next || b.Index >= p.To {
			return reject(ReasonDisorder, "buckets[%d]: index %d is not within %d and %d", i, b.Index, next, p.To)
		}
		next = b.Index + 1
		sum := uint64(0)
		for j, key := range b.Unchanged {
			old := s.byKind[Targets].keys[key]
			if old == nil || old.Deleted || s.bucketOf(key) != b.Index || seen[key] {
				return reject(ReasonDisorder, "buckets[%d].held[%d]: %q is not a live target of this bucket, or a duplicate", i, j, key)
			}
			seen[key] = true
			sum += old.digest()
		}
		for j := range b.Records {
			record := &b.Records[j]
			if err := r.checkRecord(s, record); err != nil {
				return err
			}
			if record.Kind != Targets || record.Deleted || record.Version == 0 || record.Version > d.Head.Targets || s.bucketOf(record.Key) != b.Index || seen[record.Key] {
				return reject(ReasonDisorder, "buckets[%d].records[%d]: %s %q does not belong to this bucket, or is a duplicate", i, j, record.Kind, record.Key)
			}
			seen[record.Key] = true
			sum += record.digest()
		}
		if sum != b.Digest {
			return reject(ReasonDisorder, "buckets[%d]: the digest of its targets differs from the source's", i)
		}
	}
	return nil
}

// applyRecords applies the records of a delta by version and returns those that changed the store.
func (s *Store) applyRecords(d *Delta) (changed []Record) {
	for i := range d.Records {
		if r := d.Records[i]; s.applyRecord(r) {
			changed = append(changed, r)
		}
	}
	return changed
}

// applyRecord stores a record unless the store has it or a newer one, and reports whether that changed
// more than a tombstone's version.
func (s *Store) applyRecord(r Record) bool {
	old := s.byKind[r.Kind].keys[r.Key]
	if old != nil && old.Version >= r.Version {
		return false
	}
	s.putRecord(&r)
	return !r.Deleted || old == nil || !old.Deleted
}

// applyBuckets replaces whole buckets and returns the records that changed. A target that a bucket does
// not name was deleted at an unknown version up to the source's head, so the tombstone floor rises to
// that head (step 6).
func (s *Store) applyBuckets(d *Delta) (changed []Record) {
	for _, b := range d.Buckets {
		named := make(map[string]bool, len(b.Records)+len(b.Unchanged))
		for _, key := range b.Unchanged {
			named[key] = true
		}
		for _, r := range b.Records {
			named[r.Key] = true
		}
		for _, old := range slices.Clone(s.buckets[b.Index]) {
			if !named[old.Key] {
				tombstone := Record{Kind: Targets, Key: old.Key, Version: d.Head.Targets, Deleted: true}
				s.putRecord(&tombstone)
				changed = append(changed, tombstone)
			}
		}
		for _, r := range b.Records {
			if s.applyRecord(r) {
				changed = append(changed, r)
			}
		}
	}
	s.tombstoneFloor = max(s.tombstoneFloor, d.Head.Targets)
	return changed
}

// switchHistory replaces the store's epoch by the new one and returns the records that differ. The Store
// object stays the same.
func (r *Replica) switchHistory() (changed []Record) {
	old, next := r.store, r.replacement
	for _, k := range Kinds {
		old.byKind[k].byVersion.Ascend(func(record *Record) bool {
			if current := next.byKind[k].keys[record.Key]; !record.Deleted && (current == nil || current.Deleted) {
				changed = append(changed, Record{Kind: k, Key: record.Key, Version: *next.consistent.version(k), Deleted: true})
			}
			return true
		})
		next.byKind[k].byVersion.Ascend(func(record *Record) bool {
			if previous := old.byKind[k].keys[record.Key]; !record.Deleted && (previous == nil || previous.Deleted || !bytes.Equal(previous.Value, record.Value)) {
				changed = append(changed, *record)
			}
			return true
		})
	}
	*r.store, r.replacement, r.rejection = *next, nil, nil
	return changed
}
