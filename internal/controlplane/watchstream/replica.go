package watchstream

import (
	"slices"
)

// Replica is a reader's copy of the stream: a store that follows a source's store, and the reader's
// state of acknowledgement.
type Replica struct {
	store *Store
	// state of an epoch that replaces the store's, while it is incomplete (step 9); nil: none
	replacement   *Store
	scope         Scope
	applied       Watermark // acknowledged (step 8)
	generation    uint64    // see SubscribeRequest
	seq           uint64
	rejection     *Rejection      // of the configuration; nil: none
	progress      *DigestProgress // of a resync by digests; nil: none is running
	digestsWanted bool            // the source requested them
	ageMs         int64
	rejections    map[Reason]uint64
}

// NewReplica returns an empty replica in its first generation of this run. Generations increase across
// restarts, so it must exceed those of all earlier runs (the start time in milliseconds does). Zero
// limits are replaced by the defaults.
func NewReplica(fleet string, scope Scope, generation uint64, l Limits) *Replica {
	return &Replica{store: NewStore(fleet, l), scope: scope, generation: generation, rejections: map[Reason]uint64{}}
}

// Store returns the reader's store. It stays the same object across new epochs and restored snapshots,
// so that a relay's Source can serve it.
func (r *Replica) Store() *Store { return r.store }

// Scope returns the reader's identity.
func (r *Replica) Scope() Scope { return r.scope }

// Records returns the live records of a kind.
func (r *Replica) Records(k Kind) []Record { return r.store.Records(k) }

// Position returns the position after the last delta. During a resync in parts it is ahead of Consistent.
func (r *Replica) Position() Position { return r.store.have }

// Consistent returns the watermark up to which the reader has the log's state. It may be passed to
// MarkApplied once everything that ApplyDelta returned is applied.
func (r *Replica) Consistent() Watermark { return Watermark{r.store.epoch, r.store.consistent} }

// Applied returns the acknowledged watermark.
func (r *Replica) Applied() Watermark { return r.applied }

// Rejection returns the configuration that could not be applied; nil once a later one was applied.
func (r *Replica) Rejection() *Rejection { return r.rejection }

// Generation returns the current generation, which increases with each change of source.
func (r *Replica) Generation() uint64 { return r.generation }

// AgeMs returns the age of the last delta (Delta.AgeMs).
func (r *Replica) AgeMs() int64 { return r.ageMs }

// Rejections returns the number of rejected deltas by reason.
func (r *Replica) Rejections() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(r.rejections))
	for reason, n := range r.rejections {
		c[reason] = n
	}
	return c
}

// following returns the store that deltas apply to.
func (r *Replica) following() *Store {
	if r.replacement != nil {
		return r.replacement
	}
	return r.store
}

// SubscribeRequest returns the next request. It must be sent only once: sources reject a repeated one as
// stale.
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

// SwitchSource starts a new generation at another source. A resync or a replacing epoch that the previous
// source had begun starts again.
func (r *Replica) SwitchSource() {
	r.generation++
	r.seq, r.progress, r.digestsWanted, r.replacement = 0, nil, false, nil
}

// MarkApplied records that everything ApplyDelta returned up to the watermark, one that Consistent
// returned, is applied: it is acknowledged from now on (step 8). A watermark after Consistent or of
// another epoch is ignored.
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

// RejectConfig records that the configuration up to this version, that of Consistent, cannot be applied
// and the last valid one stays in force. The rejection is reported to the source, and no configuration
// counts as applied until a later change of it is.
func (r *Replica) RejectConfig(version uint64, reason string) {
	r.rejection = &Rejection{version, reason[:min(len(reason), MaxReasonBytes)]}
}
