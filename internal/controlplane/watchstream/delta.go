package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// Constants of deltas.
const (
	idleWait    = time.Minute // if only a change of the store can lead to a delta
	digestBytes = 11          // of one bucket's digest in a request, base64 encoded
	// size at which a delta is full; the version that exceeds it is still sent completely
	maxDeltaFill = MaxDeltaBytes / 8
)

// NextDelta returns the delta for a waiting reader, or nil and how long to wait before the next call
// unless the store changes or the reader sends another request first. Each request is answered by one
// delta at most.
func (s *Source) NextDelta(now time.Duration, name string) (d *Delta, wait time.Duration) {
	r, st := s.readers[name], s.store
	if r == nil || !r.waiting || st.epoch == "" {
		return nil, idleWait
	}
	have, seen, newEpoch := r.request.Have, r.request.Seen, r.request.Epoch != st.epoch
	if newEpoch { // the reader has an epoch that this one replaces, or none (step 9)
		have, seen = Position{}, Position{}
	}
	head := st.consistent
	switch {
	case !seen.notAfter(head) || !st.isConsistent(Targets): // step 4
		return nil, idleWait
	case have == head || have.Targets == head.Targets && !st.isConsistent(Config):
		return nil, idleWait
	case r.hadDelta && now-r.lastDeltaAt < s.opt.CoalesceInterval:
		return nil, s.opt.CoalesceInterval - (now - r.lastDeltaAt)
	}
	r.refill(now)
	d = &Delta{Fleet: st.fleet, Epoch: st.epoch, Replaces: slices.Clone(st.replaces), Scope: r.request.Scope, From: have, To: have, Head: head,
		AgeMs: s.Age(now).Milliseconds()}
	if have.Targets < st.tombstoneFloor { // tombstones after its position may have been dropped (step 6)
		wait = s.fillByDigest(r, d, newEpoch)
	} else {
		r.resync = nil
		wait = s.fillByVersion(r, d)
	}
	if wait > 0 {
		return nil, wait
	}
	r.lastDeltaAt, r.hadDelta, r.waiting = now, true, false
	return d, 0
}

// isConsistent reports whether the records of a kind are the log's state at one version. They are not
// while a resync in parts is under way (step 3).
func (s *Store) isConsistent(k Kind) bool {
	return *s.consistent.version(k) == *s.newestSeen.version(k)
}

// fillByVersion fills a delta with the records after the reader's position: targets first, and
// configuration once the reader has all targets (step 7).
func (s *Source) fillByVersion(r *reader, d *Delta) (wait time.Duration) {
	st := s.store
	list, to, wait := s.pendingRecords(r, Targets, d.From.Targets, r.targetBudget())
	if wait > 0 {
		return wait
	}
	d.Records, d.To.Targets = list, to
	r.spendTargetBytes(recordsSize(list))
	if to != d.Head.Targets || !st.isConsistent(Config) {
		return 0
	}
	if d.Scope.All {
		list, to, wait = s.pendingRecords(r, Config, d.From.Config, r.sharedTokens.tokens)
	} else {
		list, to, wait = s.pendingLayers(r, d)
	}
	if wait == 0 {
		d.Records, d.To.Config = append(d.Records, list...), to
		r.sharedTokens.tokens -= float64(recordsSize(list))
	}
	if d.To != d.From {
		return 0
	}
	return wait
}

// pendingRecords returns the records of a kind after version from, oldest first and in whole versions,
// at least one, and the version up to which they go. If the budget does not allow all of them, the next
// part waits until a quarter of the burst is available, so that records are not sent in tiny deltas.
func (s *Source) pendingRecords(r *reader, k Kind, from uint64, budget float64) (list []Record, to uint64, wait time.Duration) {
	limit, total, truncated := min(budget, maxDeltaFill), 0, false
	to = from
	s.store.ascendAfter(k, from, func(record *Record) bool {
		if record.Version != to && len(list) > 0 && float64(total) >= limit {
			truncated = true
			return false
		}
		list, to, total = append(list, *record), record.Version, total+record.Size()
		return true
	})
	if !truncated {
		to = *s.store.consistent.version(k)
	}
	if wait = r.pacingWait(budget, truncated, len(list) > 0, k); wait > 0 {
		return nil, from, wait
	}
	return list, to, 0
}

// pendingLayers returns the changed layers of a reader's own configuration: all of them or none, since
// they are merged into one configuration.
func (s *Source) pendingLayers(r *reader, d *Delta) (list []Record, to uint64, wait time.Duration) {
	for _, key := range d.Scope.layerKeys() {
		if record := s.store.byKind[Config].keys[key]; record != nil && record.Version > d.From.Config {
			list = append(list, *record)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key)) })
	if n := float64(recordsSize(list)); n > 0 && r.sharedTokens.tokens < min(n, r.sharedTokens.burst) {
		return nil, d.From.Config, max(time.Millisecond, r.sharedTokens.waitFor(n))
	}
	return list, d.Head.Config, 0
}

// recordsSize returns an upper bound of the records' encoded bytes.
func recordsSize(records []Record) (n int) {
	for i := range records {
		n += records[i].Size()
	}
	return n
}
