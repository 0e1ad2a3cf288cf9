// Package distribution is the edge of the feed of changes: the server that readers poll, the follower that polls it, the copy on disk and the
// relay that is made of them. internal/controlplane/watchstream decides; here are sockets, the clock, the encoding and the log.
package distribution

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotone"
)

const (
	dialIn    = time.Second
	pollFor   = time.Second             // a poll waits for news: a connection that fell silent looks just like none
	silentIn  = 1500 * time.Millisecond // beyond the poll's wait: then the source is silent
	relayMost = time.Second             // between a relay's calls of agents that fail: a few relays ask, and a region waits for each
	idleFor   = 30 * time.Second
	saveEvery = 10 * time.Second // between two copies on disk, while something changes; or
	saveShare = 200              // times as long as the last one took
	saveMoved = 10 * time.Minute // where nothing has changed but the position
	hurried   = 100 * time.Millisecond
	connBytes = 2 << 10 // of buffers, each way
)

// Options set up a follower.
type Options struct {
	Fleet, Name, Region, Zone string
	All                       bool                // a relay: all scopes are taken
	Relays                    []watchstream.Relay // what it may follow
	Dir                       string              // where the copy is kept; empty: nowhere
	Seed                      uint64              // of what is spread; 0: from the name
	Moves                     watchstream.MoverOptions
	Log                       *slog.Logger // nil: none
	// Transport carries the polls; nil: one of the follower's own, and then State counts all bytes of its connections and not the
	// bodies alone.
	Transport http.RoundTripper
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error) // of its own transport; nil: the usual one
	// Changed is told what is new, be it only that more is there than was known to be, in order, from the goroutine of Run; first of all
	// what the copy on disk had. When it returns nil, that is in force. An error turns the configuration down, with its text as the
	// reason: targets are in force all the same. nil: everything is in force at once.
	Changed func(Change) error
	Turn    uint64 // of the first hello, over all of earlier lives; 0: by the clock and the copy on disk
}

// Change is what a follower has got.
type Change struct {
	Records  []watchstream.Record // the newest state of each key that changed; Gone: it was taken away. Values must not be written to
	Whole    bool                 // all there is, from the copy on disk
	Position watchstream.Position // up to which everything is there
}

// State is what a follower tells of itself.
type State struct {
	Epoch    string                  `json:"epoch,omitempty"`
	Position watchstream.Position    `json:"position"` // up to which everything is there
	InForce  watchstream.Position    `json:"in_force"`
	Down     *watchstream.TurnedDown `json:"refused,omitempty"` // the configuration that couldn't be served
	AgeMs    int64                   `json:"age_ms"`            // since it was known to be as the log is; -1: never
	Relay    string                  `json:"relay,omitempty"`   // that answered last
	Region   string                  `json:"region,omitempty"`  // of that relay
	Moves    uint64                  `json:"moves"`
	Polls    uint64                  `json:"polls"`
	Deltas   uint64                  `json:"deltas"`
	Records  uint64                  `json:"records"`
	Failed   uint64                  `json:"failed"` // polls without an answer
	Busy     uint64                  `json:"busy"`   // polls that were told to come again
	Refused  map[string]uint64       `json:"turned"` // deltas that were not taken and hellos that were not, by reason
	In       uint64                  `json:"bytes_in"`
	Out      uint64                  `json:"bytes_out"`
	Saved    uint64                  `json:"saved"` // copies on disk
	Torn     uint64                  `json:"torn"`  // copies on disk that could not be used
}

// Follower has a copy of the feed and keeps it up to date. One goroutine, that of Run, does all the work.
type Follower struct {
	opt   Options
	log   *slog.Logger
	trans http.RoundTripper
	own   *http.Transport // nil: another's
	bytes meter
	mover *watchstream.Mover // of Run alone

	mu      sync.Mutex
	replica *watchstream.Replica
	changed chan struct{} // closed and renewed with each delta
	fresh   time.Duration // when what it has was known to be as the log is; 0: never
	state   State

	told  watchstream.Position // of Run alone, as what follows
	dirty bool                 // records have changed since the copy on disk
	moved bool                 // the position has
	due   time.Duration        // the next copy
	saved time.Duration        // the last one
}

// NewFollower checks the options and reads the copy on disk; it asks for nothing yet.
func NewFollower(opt Options) (*Follower, error) {
	scope := watchstream.Scope{Name: opt.Name, Region: opt.Region, Zone: opt.Zone, All: opt.All}
	switch err := scope.Check(); {
	case err != nil:
		return nil, err
	case opt.Fleet == "":
		return nil, &watchstream.FieldError{Field: "fleet", Why: "it is missing"}
	case len(opt.Relays) == 0:
		return nil, &watchstream.FieldError{Field: "relays", Why: "there are none"}
	}
	opt.Seed = cmp.Or(opt.Seed, xxhash.Sum64String(opt.Name))
	f := &Follower{opt: opt, log: opt.Log, trans: opt.Transport, changed: make(chan struct{}), state: State{Refused: map[string]uint64{}}}
	if f.log == nil {
		f.log = slog.New(slog.DiscardHandler)
	}
	if f.trans == nil {
		dial := opt.Dial
		if dial == nil {
			dial = (&net.Dialer{Timeout: dialIn, KeepAlive: -1}).DialContext
		}
		f.own = &http.Transport{DialContext: f.bytes.around(dial), MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: idleFor,
			DisableCompression: true, ReadBufferSize: connBytes, WriteBufferSize: connBytes, MaxResponseHeaderBytes: 8 << 10}
		f.trans = f.own
	}
	turn := cmp.Or(opt.Turn, uint64(time.Now().UnixMilli()))
	f.replica = watchstream.NewReplica(opt.Fleet, scope, turn, watchstream.Limits{})
	f.load()
	if opt.All {
		opt.Moves.Most = cmp.Or(opt.Moves.Most, relayMost)
	}
	f.mover = watchstream.NewMover(opt.Relays, opt.Region, opt.Name, opt.Seed, opt.Moves)
	return f, nil
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.begin()
	last := ""
	for ctx.Err() == nil {
		relay, at := f.mover.Next(monotone.Now())
		if !sleep(ctx, at-monotone.Now()) {
			break
		}
		if relay.ID != last {
			f.move(relay, last)
			last = relay.ID
		}
		out, after, age := f.poll(ctx, relay)
		if ctx.Err() != nil {
			break
		}
		f.mover.Ended(monotone.Now(), out, after, age)
		f.save(false)
	}
	f.save(true)
	if f.own != nil {
		f.own.CloseIdleConnections()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (f *Follower) move(to watchstream.Relay, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == "" {
		return
	}
	f.replica.Moved()
	f.state.Moves++
	f.log.Info("feed source", slog.String("reason", "FEED_MOVED"), slog.String("relay", to.ID), slog.String("region", to.Region), slog.String("from", from))
}

// poll asks a relay once, and takes what it answers: after is when to come again, age how old what it has may be.
func (f *Follower) poll(ctx context.Context, relay watchstream.Relay) (out watchstream.Outcome, after, age time.Duration) {
	f.mu.Lock()
	h := f.replica.Hello()
	f.state.Polls++
	f.mu.Unlock()
	h.WaitMs = pollFor.Milliseconds()
	began := monotone.Now()
	status, age, body, err := f.ask(ctx, relay.Addr, &h)
	switch {
	case ctx.Err() != nil:
		return watchstream.Failed, 0, 0
	case err != nil:
		f.failed(relay, err)
		if errors.Is(err, context.DeadlineExceeded) {
			return watchstream.Silent, 0, 0
		}
		return watchstream.Failed, 0, 0
	case status == http.StatusOK:
		out, age := f.take(relay, body)
		return out, 0, age
	case status == http.StatusNoContent:
		f.heard(relay, age)
		if monotone.Now()-began < hurried {
			sleep(ctx, hurried) // it leaves, or doesn't wait: it isn't asked without a pause
		}
		return watchstream.Answered, 0, age
	}
	var no Refused
	if err := format.Unmarshal(body, &no); err != nil || no.Reason == "" {
		f.failed(relay, fmt.Errorf("it answers %d, %.100q", status, body))
		return watchstream.Failed, 0, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if no.AfterMs > 0 {
		f.state.Busy++
		return watchstream.Turned, min(time.Duration(no.AfterMs)*time.Millisecond, time.Minute), 0
	}
	f.refused(relay, no.Reason, no.Why)
	return watchstream.Refused, 0, 0
}

// ask makes one call. The answer is unpacked.
func (f *Follower) ask(ctx context.Context, addr string, h *watchstream.Hello) (status int, age time.Duration, body []byte, err error) {
	text, err := format.Marshal(h)
	if err != nil {
		return 0, 0, nil, err
	}
	ctx, done := context.WithTimeout(ctx, pollFor+silentIn)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+watchPath, bytes.NewReader(text))
	if err != nil {
		return 0, 0, nil, err
	}
	req.Header["User-Agent"] = nil // bytes that say nothing
	req.Header.Set("Accept-Encoding", zipWord)
	resp, err := f.trans.RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return 0, 0, nil, err
	}
	defer resp.Body.Close()
	if f.own == nil {
		f.bytes.out.Add(uint64(len(text)))
	}
	ms, _ := strconv.ParseInt(resp.Header.Get(ageHead), 10, 64)
	in := &counted{Reader: io.LimitReader(resp.Body, mostDelta)}
	body, err = readAll(in, resp.Header.Get(packedHead) == zipWord, mostDelta)
	if f.own == nil {
		f.bytes.in.Add(in.n)
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return resp.StatusCode, time.Duration(max(0, ms)) * time.Millisecond, body, err
}

type counted struct {
	io.Reader
	n uint64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.n += uint64(n)
	return n, err
}

// take has a delta taken, and applied.
func (f *Follower) take(relay watchstream.Relay, body []byte) (out watchstream.Outcome, age time.Duration) {
	var d watchstream.Delta
	if err := format.Unmarshal(body, &d); err != nil {
		f.mu.Lock()
		f.refused(relay, watchstream.Malformed, err.Error())
		f.mu.Unlock()
		return watchstream.Failed, 0
	}
	f.mu.Lock()
	records, err := f.replica.Take(&d)
	var no *watchstream.Refusal
	if errors.As(err, &no) {
		f.refused(relay, no.Reason, no.Why)
		f.mu.Unlock()
		return watchstream.Refused, 0
	}
	f.state.Deltas++
	f.state.Records += uint64(len(records))
	mark := f.replica.Whole()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.dirty, f.moved = f.dirty || len(records) > 0, true
	age = time.Duration(max(0, d.AgeMs)) * time.Millisecond
	f.heard(relay, age)
	f.apply(Change{Records: records, Position: mark.Position}, mark)
	return watchstream.Answered, age
}

// apply tells what is new, and acknowledges it as far as it is in force.
func (f *Follower) apply(c Change, mark watchstream.Mark) {
	var err error
	if f.opt.Changed != nil && (len(c.Records) > 0 || c.Whole || c.Position != f.told) {
		err = f.opt.Changed(c)
		f.told = c.Position
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.replica.TurnDown(mark.Config, err.Error())
		f.state.Refused["config"]++
		f.log.Warn("configuration turned down", slog.String("reason", "FEED_BAD_CONFIG"), slog.Uint64("version", mark.Config), slog.Any("error", err))
	}
	f.replica.Applied(mark)
}

// heard notes who answered, and how old that is what it has.
func (f *Follower) heard(relay watchstream.Relay, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Relay, f.state.Region = relay.ID, relay.Region
	f.fresh = max(f.fresh, monotone.Now()-age)
}

func (f *Follower) failed(relay watchstream.Relay, err error) {
	f.mu.Lock()
	f.state.Failed++
	f.mu.Unlock()
	f.log.Warn("feed poll failed", slog.String("reason", "FEED_FAILED"), slog.String("relay", relay.ID), slog.Any("error", err))
}

// refused counts what was not taken. Its caller holds mu.
func (f *Follower) refused(relay watchstream.Relay, why watchstream.Reason, text string) {
	f.state.Refused[string(why)]++
	f.log.Warn("feed refused", slog.String("reason", "FEED_REFUSED"), slog.String("why", string(why)), slog.String("relay", relay.ID), slog.String("text", text))
}

// State tells of the follower; any goroutine may ask.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	whole := f.replica.Whole()
	s.Epoch, s.Position, s.InForce, s.Down = whole.Epoch, whole.Position, f.replica.InForce().Position, f.replica.TurnedDown()
	s.Refused = maps.Clone(s.Refused)
	s.In, s.Out = f.bytes.in.Load(), f.bytes.out.Load()
	if s.AgeMs = -1; f.fresh > 0 {
		s.AgeMs = max(0, (monotone.Now() - f.fresh).Milliseconds())
	}
	return s
}

// Records are the live ones of a kind that it has, in order of version; any goroutine may ask. Their values must not be written to.
func (f *Follower) Records(k watchstream.Kind) []watchstream.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Records(k)
}
