package watchstream

import (
	"cmp"
	"slices"
	"time"
)

// SourceOptions bound what readers get. What is zero is as Fair has it.
type SourceOptions struct {
	Rate       float64       // bytes a second for a reader, half of it for targets alone
	Burst      float64       // bytes that it may be ahead
	RelayRate  float64       // the same for readers that are relays
	RelayBurst float64       //
	Admit      float64       // new readers a second
	AdmitBurst float64       // and so many at once
	MaxReaders int           // at a time
	Forget     time.Duration // after so long without a hello a reader is dropped
	Silent     time.Duration // and after so long it is reported as silent
	Gather     time.Duration // between two deltas to one reader; changes within it go together
}

// Fair is what a relay of 200 to 400 initiators goes by.
var Fair = SourceOptions{Rate: 10_000, Burst: 64 << 10, RelayRate: 4 << 20, RelayBurst: 4 << 20, Admit: 100, AdmitBurst: 100, MaxReaders: 1024,
	Forget: 10 * time.Minute, Silent: 10 * time.Second, Gather: 200 * time.Millisecond}

// Source serves a store to readers. What it keeps of each is bounded, whatever the reader does; what is owed to one is never kept but
// read off the store (step 7).
type Source struct {
	store   *Store
	opt     SourceOptions
	readers map[string]*reader
	admit   bucket
	booked  time.Duration // when the next of those that were turned away is to come again
	fresh   time.Duration // when the store was last known to be as its own source's
	counts  map[Reason]uint64
	turned  uint64 // away as busy

	life    uint64 // of reports
	reports uint64
	changes uint64 // of what is reported; each reader has the number of its last
	base    uint64 // up to which the tally has them
}

type reader struct {
	hello  Hello
	heard  time.Duration
	served time.Duration // the last delta
	ever   bool          // there was one
	waits  bool          // a hello waits for its answer
	own    bucket        // for targets alone
	both   bucket        // for either
	run    *run
	change uint64
	silent bool
}

// run is a bring-up by digests.
type run struct {
	epoch string
	start uint64
	sums  Sums // of the reader when it began; nil: it had nothing
}

// bucket is a token bucket. It may be overdrawn by what can't be sent in parts.
type bucket struct {
	tokens, rate, burst float64
	at                  time.Duration
}

func newBucket(now time.Duration, rate, burst float64) bucket { return bucket{burst, rate, burst, now} }

func (b *bucket) fill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// until is how long it takes until there are so many.
func (b *bucket) until(n float64) time.Duration {
	return max(time.Millisecond, time.Duration((min(n, b.burst)-b.tokens)/b.rate*float64(time.Second)))
}

// NewSource returns a source without readers. Life is to grow over its restarts, as a Replica's first turn does.
func NewSource(store *Store, o SourceOptions, life uint64) *Source {
	o.Rate, o.Burst = cmp.Or(o.Rate, Fair.Rate), cmp.Or(o.Burst, Fair.Burst)
	o.RelayRate, o.RelayBurst = cmp.Or(o.RelayRate, Fair.RelayRate), cmp.Or(o.RelayBurst, Fair.RelayBurst)
	o.Admit, o.AdmitBurst, o.MaxReaders = cmp.Or(o.Admit, Fair.Admit), cmp.Or(o.AdmitBurst, Fair.AdmitBurst), cmp.Or(o.MaxReaders, Fair.MaxReaders)
	o.Forget, o.Silent, o.Gather = cmp.Or(o.Forget, Fair.Forget), cmp.Or(o.Silent, Fair.Silent), cmp.Or(o.Gather, Fair.Gather)
	return &Source{store: store, opt: o, readers: map[string]*reader{}, admit: bucket{tokens: o.AdmitBurst, rate: o.Admit, burst: o.AdmitBurst},
		counts: map[Reason]uint64{}, life: life}
}

// Fresh says that the store was as its own source's at this moment: at an agent, that a leader was heard; at a relay, when the answer
// came less what the answer's AgeMs said.
func (s *Source) Fresh(now time.Duration) { s.fresh = max(s.fresh, now) }

// Age is how old the store may be.
func (s *Source) Age(now time.Duration) time.Duration { return max(0, now-s.fresh) }

// Readers is how many there are.
func (s *Source) Readers() int { return len(s.readers) }

// Counts are the hellos that were refused, by reason, and how many readers were turned away as busy.
func (s *Source) Counts() (refused map[Reason]uint64, busy uint64) {
	c := make(map[Reason]uint64, len(s.counts))
	for k, n := range s.counts {
		c[k] = n
	}
	return c, s.turned
}

// Hear takes a reader's word. It returns a *FieldError, a *Refusal or a *Busy, and has then changed nothing of what it knows of readers.
func (s *Source) Hear(now time.Duration, h Hello) error {
	err := s.hear(now, h)
	if e, ok := err.(*Refusal); ok {
		s.counts[e.Reason]++
	}
	return err
}

func (s *Source) hear(now time.Duration, h Hello) error {
	if err := h.Check(); err != nil {
		return err
	}
	r := s.readers[h.Name]
	switch {
	case h.Fleet != s.store.fleet:
		return refuse(Foreign, "the reader is of fleet %q, and this is %q", h.Fleet, s.store.fleet)
	case s.store.epoch == "":
		return refuse(Unready, "there is nothing here yet")
	case h.Epoch != "" && h.Epoch != s.store.epoch && !slices.Contains(s.store.replaces, h.Epoch):
		return refuse(Epoch, "the reader has epoch %q, and %q doesn't say that it takes its place", h.Epoch, s.store.epoch)
	case len(h.Sums) > 0 && len(h.Sums) != len(s.store.sums):
		return refuse(Malformed, "the reader has %d buckets, and this has %d", len(h.Sums), len(s.store.sums))
	case r != nil && (h.Turn < r.hello.Turn || h.Turn == r.hello.Turn && h.Seq <= r.hello.Seq):
		return refuse(Stale, "turn %d, hello %d: %d, %d was heard", h.Turn, h.Seq, r.hello.Turn, r.hello.Seq)
	}
	if r == nil {
		if err := s.admits(now); err != nil {
			s.turned++
			return err
		}
		rate, burst := s.opt.Rate, s.opt.Burst
		if h.All {
			rate, burst = s.opt.RelayRate, s.opt.RelayBurst
		}
		r = &reader{own: newBucket(now, rate/2, burst/2), both: newBucket(now, rate/2, burst/2)}
		s.readers[h.Name] = r
	}
	was := r.hello
	if r.change == 0 || r.silent || was.InForce != h.InForce || was.Turn != h.Turn || was.Scope != h.Scope || was.Epoch != h.Epoch ||
		(was.Refused == nil) != (h.Refused == nil) || was.Refused != nil && *was.Refused != *h.Refused {
		s.changes++
		r.change = s.changes
	}
	switch {
	case len(h.Sums) > 0:
		r.run = &run{epoch: h.Epoch, start: s.store.whole.Targets, sums: h.Sums}
		h.Sums = nil
	case h.Digest == nil:
		r.run = nil // it is over, or nothing of it arrived
	}
	r.hello, r.heard, r.waits, r.silent = h, now, true, false
	return nil
}

// admits takes one new reader, or says when to come again: those that are turned away get moments one after another.
func (s *Source) admits(now time.Duration) error {
	s.Sweep(now)
	if len(s.readers) >= s.opt.MaxReaders {
		return &Busy{s.opt.Silent}
	}
	s.admit.fill(now)
	if s.admit.tokens >= 1 {
		s.admit.tokens--
		return nil
	}
	s.booked = max(s.booked, now) + time.Duration(float64(time.Second)/s.opt.Admit)
	return &Busy{min(s.booked-now, 30*time.Second)}
}

// Sweep drops readers that are silent for long and marks those that have become silent. It is to be called now and then.
func (s *Source) Sweep(now time.Duration) {
	for name, r := range s.readers {
		switch {
		case now-r.heard >= s.opt.Forget:
			delete(s.readers, name) // the tally has it as silent
		case now-r.heard >= s.opt.Silent && !r.silent:
			s.changes++
			r.silent, r.change = true, s.changes
		}
	}
}
