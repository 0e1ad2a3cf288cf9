package watchstream

import (
	"slices"
)

// Replica is a reader's copy of the stream: a store that follows a source's, what of it is applied,
// and what the reader acknowledges.
type Replica struct {
	store *Store
	// history that replaces the store's, until it is complete (step 9); nil: none
	replacement   *Store
	scope         Scope
	applied       Watermark
	generation    uint64
	seq           uint64
	rejection     *Rejection
	progress      *DigestProgress // of a resync by digests
	digestsWanted bool            // the source asked for them
	ageMs         int64
	rejections    map[Reason]uint64
}

// NewReplica returns an empty reader in its first generation of this run. Generations grow over
// restarts, so it must exceed all of earlier runs (the start time in milliseconds will do). Zero
// limits stand for the defaults.
func NewReplica(fleet string, scope Scope, generation uint64, l Limits) *Replica {
	return &Replica{store: NewStore(fleet, l), scope: scope, generation: generation, rejections: map[Reason]uint64{}}
}

// Store is what the reader has. It stays the same object over new histories and restored snapshots, so
// that a relay's Source can serve it.
func (r *Replica) Store() *Store { return r.store }

// Scope is who the reader is.
func (r *Replica) Scope() Scope { return r.scope }

// Records returns the live records of a kind.
func (r *Replica) Records(k Kind) []Record { return r.store.Records(k) }

// Position is how far the reader has read. During a resync in parts it is ahead of what is consistent.
func (r *Replica) Position() Position { return r.store.have }

// Consistent is up to where the reader has the log's state, and so what may be marked as applied once
// everything that ApplyDelta returned is applied.
func (r *Replica) Consistent() Watermark { return Watermark{r.store.epoch, r.store.consistent} }

// Applied is what is applied.
func (r *Replica) Applied() Watermark { return r.applied }

// Rejection is the configuration that could not be applied; nil once a later one was.
func (r *Replica) Rejection() *Rejection { return r.rejection }

// Generation is how often the reader has changed its source.
func (r *Replica) Generation() uint64 { return r.generation }

// AgeMs is the age, in milliseconds, that the last delta told.
func (r *Replica) AgeMs() int64 { return r.ageMs }

// Rejections returns the rejected deltas by reason.
func (r *Replica) Rejections() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(r.rejections))
	for reason, n := range r.rejections {
		c[reason] = n
	}
	return c
}

// following is the store that deltas apply to.
func (r *Replica) following() *Store {
	if r.replacement != nil {
		return r.replacement
	}
	return r.store
}

// SubscribeRequest returns the next request. Each is sent once: a repeated one is stale.
func (r *Replica) SubscribeRequest() SubscribeRequest {
	s := r.following()
	r.seq++
	req := SubscribeRequest{Fleet: s.fleet, Epoch: s.epoch, Scope: r.scope, Have: s.have, Seen: s.newestSeen, Applied: r.applied, Generation: r.generation, Seq: r.seq,
		Rejection: r.rejection}
	if r.progress != nil {
		p := *r.progress
		req.Progress = &p
	} else if r.digestsWanted {
		req.Digests = slices.Clone(s.digests)
	}
	return req
}

// SwitchSource says that the reader continues at another source: what was begun at the previous one
// starts again.
func (r *Replica) SwitchSource() {
	r.generation++
	r.seq, r.progress, r.digestsWanted, r.replacement = 0, nil, false, nil
}

// MarkApplied says that what ApplyDelta returned up to this watermark, one that Consistent returned,
// is applied: it is acknowledged from now on (step 8). What the reader does not have consistently, or
// has of another history, does not count.
func (r *Replica) MarkApplied(w Watermark) {
	if w.Epoch != r.store.epoch {
		return
	}
	previous := r.applied.Position
	if r.applied.Epoch != w.Epoch {
		previous = Position{}
	}
	next := w.Position
	if !next.notAfter(r.store.consistent) {
		return
	}
	if r.rejection != nil {
		if newest, found := r.store.byKind[Config].byVersion.Max(); !found || newest.Version <= r.rejection.Version || next.Config < newest.Version {
			next.Config = previous.Config
		} else {
			r.rejection = nil
		}
	}
	r.applied = Watermark{w.Epoch, previous.later(next)}
}

// RejectConfig says that the configuration up to this version, the one of Consistent, cannot be
// applied: the last good one stays in force. It is reported, and no configuration counts as applied
// until one is that a later change made.
func (r *Replica) RejectConfig(version uint64, reason string) {
	r.rejection = &Rejection{version, reason[:min(len(reason), MaxReasonBytes)]}
}
