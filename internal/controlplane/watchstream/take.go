package watchstream

import (
	"bytes"
	"slices"
)

// Take takes a delta, and returns the records that changed by it, gone ones too, targets first. They are to be applied at once; what is
// then in force is told by Applied. Where it returns an error (a *Refusal) nothing has changed.
func (r *Replica) Take(d *Delta) (changed []Record, err error) {
	s, begins, err := r.check(d)
	if err != nil {
		if e, ok := err.(*Refusal); ok {
			r.counts[e.Reason]++
		}
		return nil, err
	}
	r.ageMs = d.AgeMs
	if d.Ask {
		r.asked, r.digest = true, nil
		return nil, nil
	}
	r.asked = false
	switch {
	case begins && r.store.epoch == "":
		s.epoch = d.Epoch
	case begins:
		s.epoch, r.next = d.Epoch, s
	}
	s.replaces = slices.Clone(d.Replaces)
	s.seen = s.seen.most(d.Head)
	if d.Span != nil {
		changed = s.takeBuckets(d)
		if r.digest = (&Progress{d.Span.Start, d.Span.To}); d.Span.To == len(s.sums) {
			r.digest = nil
		}
	} else {
		changed = s.takeRecords(d)
		r.digest = nil
	}
	s.have = d.To
	for _, k := range Kinds { // 3
		if *d.To.of(k) == *s.seen.of(k) {
			*s.whole.of(k) = *d.To.of(k)
		}
	}
	s.trim()
	if s == r.next {
		if s.whole != s.seen || s.whole.Targets != s.whole.Config { // a relay that has no configuration yet has all that it has, too
			return nil, nil
		}
		return r.turnOver(), nil // 9
	}
	return changed, nil
}

// check finds the store that the delta is for, and whether that begins with it; it changes nothing.
func (r *Replica) check(d *Delta) (s *Store, begins bool, err error) {
	s = r.follows()
	switch {
	case d.Fleet != s.fleet:
		return nil, false, refuse(Foreign, "the delta is of fleet %q, and this is %q", d.Fleet, s.fleet)
	case d.For != r.scope:
		return nil, false, refuse(Misdirect, "the delta is for %+v, and this is %+v", d.For, r.scope)
	case d.Epoch == "" || len(d.Epoch) > MostName || len(d.Replaces) > MostReplaced:
		return nil, false, refuse(Malformed, "the delta names no epoch, or too many")
	case d.Size() > MostDelta:
		return nil, false, refuse(Oversize, "the delta is of %d bytes: %d at most", d.Size(), MostDelta)
	case d.Epoch == s.epoch:
	case r.store.epoch == "":
		begins = true
	case slices.Contains(d.Replaces, r.store.epoch) && !slices.Contains(r.store.replaces, d.Epoch):
		s, begins = NewStore(s.fleet, s.limits), true
	default:
		return nil, false, refuse(Epoch, "the delta is of epoch %q, which doesn't say that it takes the place of %q", d.Epoch, r.store.epoch)
	}
	switch {
	case !s.seen.within(d.Head):
		return nil, false, refuse(Back, "the source is at %v, and %v is known of", d.Head, s.seen)
	case d.From != s.have:
		return nil, false, refuse(Gap, "the delta goes on from %v, and this is at %v", d.From, s.have)
	case d.Ask:
		if d.To != d.From || len(d.Records)+len(d.Buckets) > 0 || d.Span != nil || begins {
			return nil, false, refuse(Disorder, "the delta asks and brings something")
		}
		return s, false, nil
	case !d.From.within(d.To) || !d.To.within(d.Head):
		return nil, false, refuse(Disorder, "the delta goes from %v to %v, and the source is at %v", d.From, d.To, d.Head)
	case d.To.Config != d.From.Config && d.To.Targets != d.Head.Targets:
		return nil, false, refuse(Disorder, "the delta brings configuration before all of targets")
	case d.To.Config != d.From.Config && d.To.Config != d.Head.Config && !r.scope.All:
		return nil, false, refuse(Disorder, "the delta brings a part of the configuration")
	case d.Span != nil:
		return s, begins, r.checkBuckets(s, d)
	}
	return s, begins, r.checkRecords(s, d)
}

func (r *Replica) checkRecords(s *Store, d *Delta) error {
	if len(d.Buckets) > 0 {
		return refuse(Disorder, "the delta brings buckets and doesn't say which it covers")
	}
	var last *Record
	seen := make(map[string]Kind, len(d.Records))
	for i := range d.Records {
		x := &d.Records[i]
		if err := r.checkRecord(s, x); err != nil {
			return err
		}
		if k, again := seen[x.Key]; again && k == x.Kind {
			return refuse(Disorder, "records[%d]: %s %q is in it twice", i, x.Kind, x.Key)
		}
		seen[x.Key] = x.Kind
		switch {
		case last != nil && (x.Kind < last.Kind || x.Kind == last.Kind && x.Version < last.Version):
			return refuse(Disorder, "records[%d]: out of order", i)
		case x.Version <= *d.From.of(x.Kind) || x.Version > *d.To.of(x.Kind):
			return refuse(Disorder, "records[%d]: its version %d is not within %v and %v", i, x.Version, d.From, d.To)
		}
		last = x
	}
	return nil
}

// checkRecord holds one record against the scope and against what is held of its key (step 5).
func (r *Replica) checkRecord(s *Store, x *Record) error {
	if err := (&Put{x.Kind, x.Key, x.Gone, x.Value}).check(); err != nil {
		return refuse(Malformed, "%s %q: %s: %s", x.Kind, x.Key, err.Field, err.Why)
	}
	if !r.scope.Holds(x.Kind, x.Key) {
		return refuse(OutOf, "%s %q is not of %+v", x.Kind, x.Key, r.scope)
	}
	if old := s.lanes[x.Kind].keys[x.Key]; old != nil && x.Version < old.Version && !(x.Gone && old.Gone) {
		return refuse(Back, "%s %q is brought at version %d, and is held at %d", x.Kind, x.Key, x.Version, old.Version)
	}
	return nil
}

func (r *Replica) checkBuckets(s *Store, d *Delta) error {
	p, n := d.Span, len(s.sums)
	progress := Progress{p.Start, 0}
	if r.digest != nil && p.From > 0 {
		progress = *r.digest
	}
	switch {
	case len(d.Records) > 0:
		return refuse(Disorder, "the delta brings buckets and records")
	case p.From < 0 || p.To <= p.From || p.To > n:
		return refuse(Disorder, "the delta covers buckets %d to %d of %d", p.From, p.To, n)
	case progress != Progress{p.Start, p.From}:
		return refuse(Gap, "the delta goes on at bucket %d of a run from %d, and this is at %+v", p.From, p.Start, progress)
	case p.Start < d.From.Targets || p.Start > d.Head.Targets || d.To.Config != d.From.Config:
		return refuse(Disorder, "the delta's run is from %d, and goes from %v to %v", p.Start, d.From, d.To)
	case p.To < n && d.To != d.From || p.To == n && d.To.Targets != p.Start:
		return refuse(Disorder, "the delta covers buckets to %d of %d, and goes to %v", p.To, n, d.To)
	}
	next := p.From
	seen := map[string]bool{}
	for i, b := range d.Buckets {
		if b.N < next || b.N >= p.To {
			return refuse(Disorder, "buckets[%d]: %d is not within %d and %d", i, b.N, next, p.To)
		}
		next = b.N + 1
		sum := uint64(0)
		for j, key := range b.Held {
			old := s.lanes[Targets].keys[key]
			if old == nil || old.Gone || s.bucket(key) != b.N || seen[key] {
				return refuse(Disorder, "buckets[%d].held[%d]: %q isn't held there", i, j, key)
			}
			seen[key] = true
			sum += old.hash()
		}
		for j := range b.Records {
			x := &b.Records[j]
			if err := r.checkRecord(s, x); err != nil {
				return err
			}
			if x.Kind != Targets || x.Gone || x.Version == 0 || x.Version > d.Head.Targets || s.bucket(x.Key) != b.N || seen[x.Key] {
				return refuse(Disorder, "buckets[%d].records[%d]: %s %q doesn't belong there", i, j, x.Kind, x.Key)
			}
			seen[x.Key] = true
			sum += x.hash()
		}
		if sum != b.Sum {
			return refuse(Disorder, "buckets[%d]: what it names doesn't have the sum that it has at the source", i)
		}
	}
	return nil
}

func (s *Store) takeRecords(d *Delta) (changed []Record) {
	for i := range d.Records {
		if x := d.Records[i]; s.take(x) {
			changed = append(changed, x)
		}
	}
	return changed
}

// take tells whether the record changed something that is not only a tombstone's version.
func (s *Store) take(x Record) bool {
	old := s.lanes[x.Kind].keys[x.Key]
	if old != nil && old.Version >= x.Version {
		return false
	}
	s.set(&x)
	return !x.Gone || old == nil || !old.Gone
}

// takeBuckets puts whole buckets in place of those that are held. What is not named in one went at the source's head or before: so it is
// held, and the floor rises, since when it went is not known (step 6).
func (s *Store) takeBuckets(d *Delta) (changed []Record) {
	for _, b := range d.Buckets {
		named := make(map[string]bool, len(b.Records)+len(b.Held))
		for _, key := range b.Held {
			named[key] = true
		}
		for _, x := range b.Records {
			named[x.Key] = true
		}
		for _, old := range slices.Clone(s.buckets[b.N]) {
			if !named[old.Key] {
				gone := Record{Kind: Targets, Key: old.Key, Version: d.Head.Targets, Gone: true}
				s.set(&gone)
				changed = append(changed, gone)
			}
		}
		for _, x := range b.Records {
			if s.take(x) {
				changed = append(changed, x)
			}
		}
	}
	s.floor = max(s.floor, d.Head.Targets)
	return changed
}

// turnOver puts the new history in place of the one that was held, and returns what differs.
func (r *Replica) turnOver() (changed []Record) {
	old, now := r.store, r.next
	for _, k := range Kinds {
		old.lanes[k].order.Ascend(func(x *Record) bool {
			if is := now.lanes[k].keys[x.Key]; !x.Gone && (is == nil || is.Gone) {
				changed = append(changed, Record{Kind: k, Key: x.Key, Version: *now.whole.of(k), Gone: true})
			}
			return true
		})
		now.lanes[k].order.Ascend(func(x *Record) bool {
			if was := old.lanes[k].keys[x.Key]; !x.Gone && (was == nil || was.Gone || !bytes.Equal(was.Value, x.Value)) {
				changed = append(changed, *x)
			}
			return true
		})
	}
	*r.store, r.next, r.down = *now, nil, nil
	return changed
}
