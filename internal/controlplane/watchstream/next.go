package watchstream

import (
	"cmp"
	"slices"
	"time"
)

const (
	pause     = time.Minute   // one waits so long who has nothing to wait for but a change
	sumBytes  = 11            // that a bucket's sum takes in a hello
	mostPiece = MostDelta / 8 // bytes that a delta is filled with at most, whatever the buckets allow; the change that passes it goes whole
)

// Next is what a reader whose hello waits is to get now. If nothing: when to ask again, unless the store changes or the reader is heard
// before. There is one delta for each hello at most.
func (s *Source) Next(now time.Duration, name string) (d *Delta, wait time.Duration) {
	r, st := s.readers[name], s.store
	if r == nil || !r.waits || st.epoch == "" {
		return nil, pause
	}
	have, seen, fresh := r.hello.Have, r.hello.Seen, r.hello.Epoch != st.epoch
	if fresh { // 9
		have, seen = Position{}, Position{}
	}
	head := st.whole
	switch {
	case !seen.within(head) || !st.level(Targets): // 4
		return nil, pause
	case have == head || have.Targets == head.Targets && !st.level(Config):
		return nil, pause
	case r.ever && now-r.served < s.opt.Gather:
		return nil, s.opt.Gather - (now - r.served)
	}
	r.fill(now)
	d = &Delta{Fleet: st.fleet, Epoch: st.epoch, Replaces: slices.Clone(st.replaces), For: r.hello.Scope, From: have, To: have, Head: head,
		AgeMs: s.Age(now).Milliseconds()}
	if have.Targets < st.floor { // 6
		wait = s.digests(r, d, fresh)
	} else {
		r.run = nil
		wait = s.versions(r, d)
	}
	if wait > 0 {
		return nil, wait
	}
	r.served, r.ever, r.waits = now, true, false
	return d, 0
}

// level tells whether a lane is the log's state at one version: not so in the midst of a bring-up in pieces (step 3).
func (s *Store) level(k Kind) bool { return *s.whole.of(k) == *s.seen.of(k) }

// versions fills a delta with what changed after the reader's position: of targets first, and the configuration once nothing of targets
// is owed (step 7).
func (s *Source) versions(r *reader, d *Delta) (wait time.Duration) {
	st := s.store
	list, to, wait := s.lane(r, Targets, d.From.Targets, r.targets())
	if wait > 0 {
		return wait
	}
	d.Records, d.To.Targets = list, to
	r.spend(size(list))
	if to != d.Head.Targets || !st.level(Config) {
		return 0
	}
	if d.For.All {
		list, to, wait = s.lane(r, Config, d.From.Config, r.both.tokens)
	} else {
		list, to, wait = s.layers(r, d)
	}
	if wait == 0 {
		d.Records, d.To.Config = append(d.Records, list...), to
		r.both.tokens -= float64(size(list))
	}
	if d.To != d.From {
		return 0
	}
	return wait
}

// lane is what is owed of a kind, oldest first, in whole versions and of one at least, and how far it goes. What doesn't fit waits until a
// good part of the burst is there, so that it doesn't go in crumbs.
func (s *Source) lane(r *reader, k Kind, from uint64, may float64) (list []Record, to uint64, wait time.Duration) {
	most, total, cut := min(may, mostPiece), 0, false
	to = from
	s.store.after(k, from, func(x *Record) bool {
		if x.Version != to && len(list) > 0 && float64(total) >= most {
			cut = true
			return false
		}
		list, to, total = append(list, *x), x.Version, total+x.Size()
		return true
	})
	if !cut {
		to = *s.store.whole.of(k)
	}
	if wait = r.crumbs(may, cut, len(list) > 0, k); wait > 0 {
		return nil, from, wait
	}
	return list, to, 0
}

// until is how long it takes until so many bytes of targets may go.
func (r *reader) until(n float64) time.Duration {
	if may := r.targets(); may < n {
		return max(time.Millisecond, time.Duration((n-may)/(r.own.rate+r.both.rate)*float64(time.Second)))
	}
	return 0
}

// crumbs is how long to wait before a part is sent, or anything.
func (r *reader) crumbs(may float64, cut, any bool, k Kind) time.Duration {
	rate, least := r.both.rate, r.both.burst/4
	if k == Targets {
		rate, least = rate+r.own.rate, (r.own.burst+r.both.burst)/4
	}
	if !any || may > 0 && !cut || cut && may >= least {
		return 0
	}
	if !cut {
		least = 1
	}
	return max(time.Millisecond, time.Duration((least-may)/rate*float64(time.Second)))
}

// layers is what is owed of a reader's own configuration: all of it or nothing, since its layers belong together.
func (s *Source) layers(r *reader, d *Delta) (list []Record, to uint64, wait time.Duration) {
	for _, key := range d.For.layers() {
		if x := s.store.lanes[Config].keys[key]; x != nil && x.Version > d.From.Config {
			list = append(list, *x)
		}
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key)) })
	if n := float64(size(list)); n > 0 && r.both.tokens < min(n, r.both.burst) {
		return nil, d.From.Config, max(time.Millisecond, r.both.until(n))
	}
	return list, d.Head.Config, 0
}

// fill lets time go on. What targets owe is paid by what either may have, too.
func (r *reader) fill(now time.Duration) {
	r.own.fill(now)
	r.both.fill(now)
	if pays := min(-r.own.tokens, r.both.tokens); pays > 0 {
		r.own.tokens += pays
		r.both.tokens -= pays
	}
}

// targets is how many bytes of targets may go now: what configuration owes doesn't count, what targets owe does.
func (r *reader) targets() float64 { return r.own.tokens + max(0, r.both.tokens) }

// spend takes bytes of targets out of what either kind may have first, then out of what targets alone may.
func (r *reader) spend(bytes int) {
	n := float64(bytes)
	of := min(n, max(0, r.both.tokens))
	r.both.tokens -= of
	r.own.tokens -= n - of
}

func size(records []Record) (n int) {
	for i := range records {
		n += records[i].Size()
	}
	return n
}

// digests fills a delta with the next buckets that differ, or asks the reader for its sums.
func (s *Source) digests(r *reader, d *Delta, fresh bool) (wait time.Duration) {
	st, p := s.store, r.hello.Digest
	at := 0
	switch {
	case fresh:
		r.run = &run{epoch: st.epoch, start: d.Head.Targets}
	case r.run != nil && r.run.epoch == st.epoch && p == nil: // its sums have just come
	case r.run != nil && r.run.epoch == st.epoch && p != nil && r.run.start == p.Start && p.At <= len(st.sums):
		at = p.At
	default:
		// It is asked only when there is enough for the sums and for a first part at once: else it would send them again and again.
		sums := float64(sumBytes * len(st.sums))
		if wait = r.until(min(sums+(r.own.burst+r.both.burst)/4, r.own.burst+r.both.burst)); wait > 0 {
			return wait
		}
		r.both.tokens -= sums
		r.run, d.Ask = nil, true
		return 0
	}
	may := r.targets()
	most, total, cut, to := min(may, mostPiece), 0, false, at
	for ; to < len(st.sums); to++ {
		theirs := uint64(0)
		if r.run.sums != nil {
			theirs = r.run.sums[to]
		}
		if st.sums[to] == theirs {
			continue
		}
		if cut = total > 0 && float64(total) >= most; cut {
			break
		}
		b := Bucket{N: to, Sum: st.sums[to]}
		for _, x := range st.buckets[to] {
			if x.Version <= d.From.Targets { // 2: the reader has it so
				b.Held = append(b.Held, x.Key)
			} else {
				b.Records = append(b.Records, *x)
			}
		}
		d.Buckets = append(d.Buckets, b)
		total += b.Size()
	}
	if wait = r.crumbs(may, cut, total > 0, Targets); wait > 0 {
		return wait
	}
	r.spend(total)
	if d.Span = (&Span{r.run.start, at, to}); to == len(st.sums) {
		d.To.Targets = r.run.start
	}
	return 0
}
