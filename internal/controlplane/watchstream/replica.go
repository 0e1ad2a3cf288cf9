package watchstream

import (
	"slices"
)

// Replica is what a reader has: a store that follows a source's, what of it is in force, and what the reader says of it.
type Replica struct {
	store   *Store
	next    *Store // a history that takes the place of the store's, until it is whole (step 9); nil: none
	scope   Scope
	inForce Mark
	turn    uint64
	seq     uint64
	down    *TurnedDown
	digest  *Progress // in the store that is followed
	asked   bool      // the source wants the sums
	ageMs   int64
	counts  map[Reason]uint64
}

// NewReplica returns a reader that has nothing, in its first turn of this life: turns grow over restarts, so it is to be over all of an
// earlier life (the time of the start in milliseconds will do). Limits that are zero are the usual ones.
func NewReplica(fleet string, scope Scope, turn uint64, l Limits) *Replica {
	return &Replica{store: NewStore(fleet, l), scope: scope, turn: turn, counts: map[Reason]uint64{}}
}

// Store is what the reader has. It stays the same store over new histories and copies; a relay's Source serves it.
func (r *Replica) Store() *Store { return r.store }

// Scope is who the reader is.
func (r *Replica) Scope() Scope { return r.scope }

// Records are the live ones of a kind.
func (r *Replica) Records(k Kind) []Record { return r.store.Records(k) }

// Position is how far the reader has read. While a bring-up in pieces goes on it is ahead of what is whole.
func (r *Replica) Position() Position { return r.store.have }

// Whole is up to where the reader has the log's state: what may be said to be in force once everything that Take returned is applied.
func (r *Replica) Whole() Mark { return Mark{r.store.epoch, r.store.whole} }

// InForce is what is applied.
func (r *Replica) InForce() Mark { return r.inForce }

// TurnedDown is the configuration that could not be served, if there is one; nil once a later one is in force.
func (r *Replica) TurnedDown() *TurnedDown { return r.down }

// Turn is how often the reader has moved.
func (r *Replica) Turn() uint64 { return r.turn }

// AgeMs is how old what it has may be beside the time since the last delta: what that delta said, in milliseconds.
func (r *Replica) AgeMs() int64 { return r.ageMs }

// Counts are the deltas that were refused, by reason.
func (r *Replica) Counts() map[Reason]uint64 {
	c := make(map[Reason]uint64, len(r.counts))
	for k, n := range r.counts {
		c[k] = n
	}
	return c
}

func (r *Replica) follows() *Store {
	if r.next != nil {
		return r.next
	}
	return r.store
}

// Hello is what the reader says next. Each is said once: one that is said again is stale.
func (r *Replica) Hello() Hello {
	s := r.follows()
	r.seq++
	h := Hello{Fleet: s.fleet, Epoch: s.epoch, Scope: r.scope, Have: s.have, Seen: s.seen, InForce: r.inForce, Turn: r.turn, Seq: r.seq,
		Refused: r.down}
	if r.digest != nil {
		p := *r.digest
		h.Digest = &p
	} else if r.asked {
		h.Sums = slices.Clone(s.sums)
	}
	return h
}

// Moved says that the reader goes on with another source: what was begun with the one before is begun anew.
func (r *Replica) Moved() {
	r.turn++
	r.seq, r.digest, r.asked, r.next = 0, nil, false, nil
}

// Applied says that what Take returned up to this mark, one that Whole told, is in force: it is acknowledged from now on (step 8).
// Of what the reader doesn't have whole nothing counts; of another history than the store's, neither.
func (r *Replica) Applied(m Mark) {
	if m.Epoch != r.store.epoch {
		return
	}
	was := r.inForce.Position
	if r.inForce.Epoch != m.Epoch {
		was = Position{}
	}
	now := m.Position
	if !now.within(r.store.whole) {
		return
	}
	if r.down != nil {
		if newest, any := r.store.lanes[Config].order.Max(); !any || newest.Version <= r.down.Version || now.Config < newest.Version {
			now.Config = was.Config
		} else {
			r.down = nil
		}
	}
	r.inForce = Mark{m.Epoch, was.most(now)}
}

// TurnDown says that the configuration up to this version, Whole's, can't be served: the last good one stays in force. It is passed on,
// and no later version's configuration counts as in force, until one is applied that a later change made.
func (r *Replica) TurnDown(version uint64, reason string) {
	r.down = &TurnedDown{version, reason[:min(len(reason), MostReason)]}
}

// Copy is a whole store at one moment, for the disk and for the log's snapshots.
type Copy struct {
	Fleet    string   `json:"fleet"`
	Epoch    string   `json:"epoch"`
	Replaces []string `json:"replaces,omitempty"`
	Have     Position `json:"have"`
	Whole    Position `json:"whole"`
	Seen     Position `json:"seen"`
	Floor    uint64   `json:"floor"`
	Records  []Record `json:"records"` // in order of version, gone ones too, targets first
}

// Copy returns a copy of the store. Its values are shared and must not be written to.
func (s *Store) Copy() Copy {
	c := Copy{Fleet: s.fleet, Epoch: s.epoch, Replaces: slices.Clone(s.replaces), Have: s.have, Whole: s.whole, Seen: s.seen, Floor: s.floor}
	for k := range s.lanes {
		s.lanes[k].order.Ascend(func(r *Record) bool {
			c.Records = append(c.Records, *r)
			return true
		})
	}
	return c
}

// Restore takes a copy in place of all that the store has. Where it returns an error nothing has changed.
func (s *Store) Restore(c Copy) error {
	n := NewStore(s.fleet, s.limits)
	switch {
	case c.Fleet != s.fleet:
		return refuse(Foreign, "the copy is of fleet %q, and this is %q", c.Fleet, s.fleet)
	case c.Epoch == "" && (len(c.Records) > 0 || c.Have != Position{}):
		return refuse(Malformed, "the copy names no epoch")
	case !c.Whole.within(c.Seen) || !c.Have.within(c.Seen):
		return refuse(Malformed, "the copy is further than what it has seen")
	}
	var last *Record
	for i := range c.Records {
		r := c.Records[i]
		if err := (&Put{r.Kind, r.Key, r.Gone, r.Value}).check(); err != nil {
			return refuse(Malformed, "records[%d].%s: %s", i, err.Field, err.Why)
		}
		switch {
		case last != nil && (r.Kind < last.Kind || r.Kind == last.Kind && !byVersion(last, &r)):
			return refuse(Disorder, "records[%d]: out of order", i)
		case r.Version == 0 || r.Version > *c.Seen.of(r.Kind):
			return refuse(Disorder, "records[%d]: its version %d is not within the copy's", i, r.Version)
		case n.lanes[r.Kind].keys[r.Key] != nil:
			return refuse(Disorder, "records[%d]: %s %q is in it twice", i, r.Kind, r.Key)
		}
		n.set(&r)
		last = &c.Records[i]
	}
	n.epoch, n.replaces = c.Epoch, slices.Clone(c.Replaces)
	n.have, n.whole, n.seen, n.floor = c.Have, c.Whole, c.Seen, c.Floor
	n.trim()
	*s = *n
	return nil
}

// Restore begins with a copy, as it was on the disk. Nothing of it is in force yet.
func (r *Replica) Restore(c Copy) error {
	for i := range c.Records {
		if x := &c.Records[i]; !r.scope.Holds(x.Kind, x.Key) {
			return refuse(OutOf, "records[%d]: %s %q is not of %+v", i, x.Kind, x.Key, r.scope)
		}
	}
	if err := r.store.Restore(c); err != nil {
		return err
	}
	r.next, r.digest, r.asked, r.inForce, r.down = nil, nil, false, Mark{}, nil
	return nil
}
