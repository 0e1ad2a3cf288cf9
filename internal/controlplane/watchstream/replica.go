package watchstream

import (
	"slices"
)

// Replica is what a reader has: a store that follows a source's, what of it is in force, and what the reader says of it.
type Replica struct {
	store         *Store
	successor     *Store // a history that takes the place of the store's, until it is whole (step 9); nil: none
	scope         Scope
	applied       Watermark
	generation    uint64
	seq           uint64
	rejection     *Rejection
	progress      *DigestProgress // in the store that is followed
	digestsWanted bool            // the source wants the sums
	ageMs         int64
	rejections    map[Reason]uint64
}

// NewReplica returns a reader that has nothing, in its first turn of this life: turns grow over restarts, so it is to be over all of an
// earlier life (the time of the start in milliseconds will do). Limits that are zero are the usual ones.
func NewReplica(fleet string, scope Scope, turn uint64, l Limits) *Replica {
	return &Replica{store: NewStore(fleet, l), scope: scope, generation: turn, rejections: map[Reason]uint64{}}
}

// Store is what the reader has. It stays the same store over new histories and copies; a relay's Source serves it.
func (r *Replica) Store() *Store { return r.store }

// Scope is who the reader is.
func (r *Replica) Scope() Scope { return r.scope }

// Records are the live ones of a kind.
func (r *Replica) Records(k Kind) []Record { return r.store.Records(k) }

// Position is how far the reader has read. While a bring-up in pieces goes on it is ahead of what is whole.
func (r *Replica) Position() Position { return r.store.have }

// Consistent is up to where the reader has the log's state: what may be said to be in force once everything that Take returned is applied.
func (r *Replica) Consistent() Watermark { return Watermark{r.store.epoch, r.store.consistent} }

// Applied is what is applied.
func (r *Replica) Applied() Watermark { return r.applied }

// Rejection is the configuration that could not be served, if there is one; nil once a later one is in force.
func (r *Replica) Rejection() *Rejection { return r.rejection }

// Generation is how often the reader has moved.
func (r *Replica) Generation() uint64 { return r.generation }

// AgeMs is how old what it has may be beside the time since the last delta: what that delta said, in milliseconds.
func (r *Replica) AgeMs() int64 { return r.ageMs }

// Rejections are the deltas that were refused, by reason.
func (r *Replica) Rejections() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(r.rejections))
	for k, n := range r.rejections {
		c[k] = n
	}
	return c
}

func (r *Replica) following() *Store {
	if r.successor != nil {
		return r.successor
	}
	return r.store
}

// SubscribeRequest is what the reader says next. Each is said once: one that is said again is stale.
func (r *Replica) SubscribeRequest() SubscribeRequest {
	s := r.following()
	r.seq++
	h := SubscribeRequest{Fleet: s.fleet, Epoch: s.epoch, Scope: r.scope, Have: s.have, Seen: s.newestSeen, Applied: r.applied, Generation: r.generation, Seq: r.seq,
		Rejection: r.rejection}
	if r.progress != nil {
		p := *r.progress
		h.Progress = &p
	} else if r.digestsWanted {
		h.Digests = slices.Clone(s.digests)
	}
	return h
}

// SwitchSource says that the reader goes on with another source: what was begun with the one before is begun anew.
func (r *Replica) SwitchSource() {
	r.generation++
	r.seq, r.progress, r.digestsWanted, r.successor = 0, nil, false, nil
}

// MarkApplied says that what Take returned up to this mark, one that Whole told, is in force: it is acknowledged from now on (step 8).
// Of what the reader doesn't have whole nothing counts; of another history than the store's, neither.
func (r *Replica) MarkApplied(m Watermark) {
	if m.Epoch != r.store.epoch {
		return
	}
	was := r.applied.Position
	if r.applied.Epoch != m.Epoch {
		was = Position{}
	}
	now := m.Position
	if !now.notAfter(r.store.consistent) {
		return
	}
	if r.rejection != nil {
		if newest, any := r.store.lanes[Config].byVersion.Max(); !any || newest.Version <= r.rejection.Version || now.Config < newest.Version {
			now.Config = was.Config
		} else {
			r.rejection = nil
		}
	}
	r.applied = Watermark{m.Epoch, was.furthest(now)}
}

// RejectConfig says that the configuration up to this version, Whole's, can't be served: the last good one stays in force. It is passed on,
// and no later version's configuration counts as in force, until one is applied that a later change made.
func (r *Replica) RejectConfig(version uint64, reason string) {
	r.rejection = &Rejection{version, reason[:min(len(reason), MaxReasonBytes)]}
}
