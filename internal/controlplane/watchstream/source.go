package watchstream

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// SourceOptions bound the readers and their traffic. Zero values are replaced by those of
// DefaultSourceOptions.
type SourceOptions struct {
	ReaderRate       float64 // bytes a second for one reader; half of it is reserved for targets
	ReaderBurst      float64 // bytes that may exceed the rate, divided likewise
	RelayRate        float64 // the same, for readers that are relays
	RelayBurst       float64
	AdmitRate        float64       // new readers a second
	AdmitBurst       float64       // new readers at once
	MaxReaders       int           // at a time
	ForgetAfter      time.Duration // a reader that sends no request for this long is dropped
	SilentAfter      time.Duration // a reader that sends no request for this long is reported as silent
	CoalesceInterval time.Duration // minimum time between two deltas to one reader: changes within it are sent together
}

// DefaultSourceOptions are sized for a relay with 200 to 400 initiators.
var DefaultSourceOptions = SourceOptions{ReaderRate: 10_000, ReaderBurst: 64 << 10, RelayRate: 4 << 20, RelayBurst: 4 << 20, AdmitRate: 100, AdmitBurst: 100, MaxReaders: 1024,
	ForgetAfter: 10 * time.Minute, SilentAfter: 10 * time.Second, CoalesceInterval: 200 * time.Millisecond}

// Source serves a store to readers. Its state per reader is bounded, whatever the reader does; the
// records that a reader lacks are read from the store and never queued (step 7).
type Source struct {
	store        *Store
	opt          SourceOptions
	readers      map[string]*reader
	admission    tokenBucket
	nextBusySlot time.Duration     // retry time of the last reader rejected as busy
	freshAt      time.Duration     // when the store last had its own source's newest state; see MarkFresh
	rejections   map[Reason]uint64 // requests by reason
	busyCount    uint64            // requests rejected as busy

	incarnation uint64 // of this source, increases across restarts
	reportSeq   uint64 // of the last report
	changeSeq   uint64 // number of the last change to a reported state; each reader has that of its own last change
	reportedSeq uint64 // change number up to which the tracker has acknowledged reports
}

// reader is the state of one reader at a source.
type reader struct {
	request      SubscribeRequest // the last one, without digests
	lastHeardAt  time.Duration
	lastDeltaAt  time.Duration // valid if hadDelta
	hadDelta     bool          // a delta was sent
	waiting      bool          // the last request has had no delta yet
	targetTokens tokenBucket   // bytes, for targets only
	sharedTokens tokenBucket   // bytes, for either kind
	resync       *digestResync // nil: none is running
	changeSeq    uint64        // Source.changeSeq at the last change to the reader's reported state
	silent       bool
}

// NewSource returns a source without readers. The incarnation must increase across restarts, as a
// Replica's first generation does.
func NewSource(store *Store, o SourceOptions, incarnation uint64) *Source {
	o.ReaderRate, o.ReaderBurst = cmp.Or(o.ReaderRate, DefaultSourceOptions.ReaderRate), cmp.Or(o.ReaderBurst, DefaultSourceOptions.ReaderBurst)
	o.RelayRate, o.RelayBurst = cmp.Or(o.RelayRate, DefaultSourceOptions.RelayRate), cmp.Or(o.RelayBurst, DefaultSourceOptions.RelayBurst)
	o.AdmitRate, o.AdmitBurst, o.MaxReaders = cmp.Or(o.AdmitRate, DefaultSourceOptions.AdmitRate), cmp.Or(o.AdmitBurst, DefaultSourceOptions.AdmitBurst), cmp.Or(o.MaxReaders, DefaultSourceOptions.MaxReaders)
	o.ForgetAfter, o.SilentAfter, o.CoalesceInterval = cmp.Or(o.ForgetAfter, DefaultSourceOptions.ForgetAfter), cmp.Or(o.SilentAfter, DefaultSourceOptions.SilentAfter), cmp.Or(o.CoalesceInterval, DefaultSourceOptions.CoalesceInterval)
	return &Source{store: store, opt: o, readers: map[string]*reader{}, admission: tokenBucket{tokens: o.AdmitBurst, rate: o.AdmitRate, burst: o.AdmitBurst},
		rejections: map[Reason]uint64{}, incarnation: incarnation}
}

// MarkFresh records that the store had its own source's newest state at this time: at an agent, the time
// of the last contact with the leader; at a relay, the time of the last answer minus the age in it.
func (s *Source) MarkFresh(now time.Duration) { s.freshAt = max(s.freshAt, now) }

// Age returns an upper bound of the age of the store's state.
func (s *Source) Age(now time.Duration) time.Duration { return max(0, now-s.freshAt) }

// ReaderCount returns the number of readers.
func (s *Source) ReaderCount() int { return len(s.readers) }

// Rejections returns the number of rejected requests by reason, and that of requests rejected as busy.
func (s *Source) Rejections() (byReason map[Reason]uint64, busy uint64) {
	c := make(map[Reason]uint64, len(s.rejections))
	for reason, n := range s.rejections {
		c[reason] = n
	}
	return c, s.busyCount
}

// Subscribe processes a reader's request. If it returns an error (a *FieldError, a *RejectedError or a
// *BusyError), the state of the request's reader is unchanged.
func (s *Source) Subscribe(now time.Duration, req SubscribeRequest) error {
	err := s.subscribe(now, req)
	if e := (*RejectedError)(nil); errors.As(err, &e) {
		s.rejections[e.Reason]++
	}
	return err
}

func (s *Source) subscribe(now time.Duration, req SubscribeRequest) error {
	if err := req.Validate(); err != nil {
		return err
	}
	r := s.readers[req.Name]
	switch {
	case req.Fleet != s.store.fleet:
		return reject(ReasonForeignFleet, "the reader is of fleet %q, and this is %q", req.Fleet, s.store.fleet)
	case s.store.epoch == "":
		return reject(ReasonNotReady, "there is nothing here yet")
	case req.Epoch != "" && req.Epoch != s.store.epoch && !slices.Contains(s.store.replaces, req.Epoch):
		return reject(ReasonEpoch, "the reader has epoch %q, and %q doesn't say that it takes its place", req.Epoch, s.store.epoch)
	case len(req.Digests) > 0 && len(req.Digests) != len(s.store.digests):
		return reject(ReasonMalformed, "the reader has %d buckets, and this has %d", len(req.Digests), len(s.store.digests))
	case r != nil && (req.Generation < r.request.Generation || req.Generation == r.request.Generation && req.Seq <= r.request.Seq):
		return reject(ReasonStale, "turn %d, hello %d: %d, %d was heard", req.Generation, req.Seq, r.request.Generation, r.request.Seq)
	}
	if r == nil {
		if err := s.admitReader(now); err != nil {
			s.busyCount++
			return err
		}
		rate, burst := s.opt.ReaderRate, s.opt.ReaderBurst
		if req.All {
			rate, burst = s.opt.RelayRate, s.opt.RelayBurst
		}
		r = &reader{targetTokens: newTokenBucket(now, rate/2, burst/2), sharedTokens: newTokenBucket(now, rate/2, burst/2)}
		s.readers[req.Name] = r
	}
	previous := r.request
	if r.changeSeq == 0 || r.silent || previous.Applied != req.Applied || previous.Generation != req.Generation || previous.Scope != req.Scope || previous.Epoch != req.Epoch ||
		(previous.Rejection == nil) != (req.Rejection == nil) || previous.Rejection != nil && *previous.Rejection != *req.Rejection {
		s.changeSeq++
		r.changeSeq = s.changeSeq
	}
	switch {
	case len(req.Digests) > 0:
		r.resync = &digestResync{epoch: req.Epoch, start: s.store.consistent.Targets, digests: req.Digests}
		req.Digests = nil
	case req.Progress == nil:
		r.resync = nil // the resync has ended, or none of its deltas has arrived
	}
	r.request, r.lastHeardAt, r.waiting, r.silent = req, now, true, false
	return nil
}

// admitReader admits a new reader or returns a BusyError. The retry times of rejected readers are spread
// at the admission rate.
func (s *Source) admitReader(now time.Duration) error {
	s.Expire(now)
	if len(s.readers) >= s.opt.MaxReaders {
		return &BusyError{s.opt.SilentAfter}
	}
	s.admission.refill(now)
	if s.admission.tokens >= 1 {
		s.admission.tokens--
		return nil
	}
	s.nextBusySlot = max(s.nextBusySlot, now) + time.Duration(float64(time.Second)/s.opt.AdmitRate)
	return &BusyError{min(s.nextBusySlot-now, 30*time.Second)}
}

// Expire drops readers without a request for ForgetAfter and marks those without one for SilentAfter as
// silent. It must be called regularly.
func (s *Source) Expire(now time.Duration) {
	for name, r := range s.readers {
		switch {
		case now-r.lastHeardAt >= s.opt.ForgetAfter:
			delete(s.readers, name) // it was reported as silent before
		case now-r.lastHeardAt >= s.opt.SilentAfter && !r.silent:
			s.changeSeq++
			r.silent, r.changeSeq = true, s.changeSeq
		}
	}
}
