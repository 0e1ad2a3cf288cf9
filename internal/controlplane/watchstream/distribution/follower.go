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
	dialTimeout          = time.Second
	pollWait             = time.Second             // a poll waits for news: a connection that fell silent looks just like none
	pollGrace            = 1500 * time.Millisecond // beyond the poll's wait: then the source is silent
	relayRetryMax        = time.Second             // between a relay's calls of agents that fail: a few relays ask, and a region waits for each
	idleTimeout          = 30 * time.Second
	saveInterval         = 10 * time.Second // between two copies on disk, while something changes; or
	saveCostFactor       = 200              // times as long as the last one took
	positionSaveInterval = 10 * time.Minute // where nothing has changed but the position
	minPollInterval      = 100 * time.Millisecond
	connBufferBytes      = 2 << 10 // of buffers, each way
)

// Options set up a follower.
type Options struct {
	Fleet, Name, Region, Zone string
	All                       bool                // a relay: all scopes are taken
	Relays                    []watchstream.Relay // what it may follow
	Dir                       string              // where the copy is kept; empty: nowhere
	Seed                      uint64              // of what is spread; 0: from the name
	Selection                 watchstream.RelaySelectorOptions
	Log                       *slog.Logger // nil: none
	// Transport carries the polls; nil: one of the follower's own, and then State counts all bytes of its connections and not the
	// bodies alone.
	Transport http.RoundTripper
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error) // of its own transport; nil: the usual one
	// OnChange is told what is new, be it only that more is there than was known to be, in order, from the goroutine of Run; first of all
	// what the copy on disk had. When it returns nil, that is in force. An error turns the configuration down, with its text as the
	// reason: targets are in force all the same. nil: everything is in force at once.
	OnChange   func(Update) error
	Generation uint64 // of the first hello, over all of earlier lives; 0: by the clock and the copy on disk
}

// Update is what a follower has got.
type Update struct {
	Records  []watchstream.Record // the newest state of each key that changed; Gone: it was taken away. Values must not be written to
	Full     bool                 // all there is, from the copy on disk
	Position watchstream.Position // up to which everything is there
}

// FollowerState is what a follower tells of itself.
type FollowerState struct {
	Epoch            string                 `json:"epoch,omitempty"`
	Position         watchstream.Position   `json:"position"` // up to which everything is there
	Applied          watchstream.Position   `json:"in_force"`
	Rejection        *watchstream.Rejection `json:"refused,omitempty"` // the configuration that couldn't be served
	AgeMs            int64                  `json:"age_ms"`            // since it was known to be as the log is; -1: never
	Relay            string                 `json:"relay,omitempty"`   // that answered last
	Region           string                 `json:"region,omitempty"`  // of that relay
	Switches         uint64                 `json:"moves"`
	Polls            uint64                 `json:"polls"`
	Deltas           uint64                 `json:"deltas"`
	Records          uint64                 `json:"records"`
	Failed           uint64                 `json:"failed"` // polls without an answer
	Busy             uint64                 `json:"busy"`   // polls that were told to come again
	Rejected         map[string]uint64      `json:"turned"` // deltas that were not taken and hellos that were not, by reason
	BytesIn          uint64                 `json:"bytes_in"`
	BytesOut         uint64                 `json:"bytes_out"`
	SnapshotsSaved   uint64                 `json:"saved"` // copies on disk
	SnapshotsDamaged uint64                 `json:"torn"`  // copies on disk that could not be used
}

// Follower has a copy of the feed and keeps it up to date. One goroutine, that of Run, does all the work.
type Follower struct {
	opt          Options
	log          *slog.Logger
	transport    http.RoundTripper
	ownTransport *http.Transport // nil: another's
	traffic      trafficMeter
	selector     *watchstream.RelaySelector // of Run alone

	mu      sync.Mutex
	replica *watchstream.Replica
	changed chan struct{} // closed and renewed with each delta
	freshAt time.Duration // when what it has was known to be as the log is; 0: never
	state   FollowerState

	notified        watchstream.Position // of Run alone, as what follows
	recordsChanged  bool                 // records have changed since the copy on disk
	positionChanged bool                 // the position has
	nextSaveAt      time.Duration        // the next copy
	lastSaveAt      time.Duration        // the last one
}

// NewFollower checks the options and reads the copy on disk; it asks for nothing yet.
func NewFollower(opt Options) (*Follower, error) {
	scope := watchstream.Scope{Name: opt.Name, Region: opt.Region, Zone: opt.Zone, All: opt.All}
	switch err := scope.Validate(); {
	case err != nil:
		return nil, err
	case opt.Fleet == "":
		return nil, &watchstream.FieldError{Field: "fleet", Why: "it is missing"}
	case len(opt.Relays) == 0:
		return nil, &watchstream.FieldError{Field: "relays", Why: "there are none"}
	}
	opt.Seed = cmp.Or(opt.Seed, xxhash.Sum64String(opt.Name))
	f := &Follower{opt: opt, log: opt.Log, transport: opt.Transport, changed: make(chan struct{}), state: FollowerState{Rejected: map[string]uint64{}}}
	if f.log == nil {
		f.log = slog.New(slog.DiscardHandler)
	}
	if f.transport == nil {
		dial := opt.Dial
		if dial == nil {
			dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext
		}
		f.ownTransport = &http.Transport{DialContext: f.traffic.wrapDial(dial), MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, IdleConnTimeout: idleTimeout,
			DisableCompression: true, ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes, MaxResponseHeaderBytes: 8 << 10}
		f.transport = f.ownTransport
	}
	turn := cmp.Or(opt.Generation, uint64(time.Now().UnixMilli()))
	f.replica = watchstream.NewReplica(opt.Fleet, scope, turn, watchstream.Limits{})
	f.loadSnapshot()
	if opt.All {
		opt.Selection.RetryMax = cmp.Or(opt.Selection.RetryMax, relayRetryMax)
	}
	f.selector = watchstream.NewRelaySelector(opt.Relays, opt.Region, opt.Name, opt.Seed, opt.Selection)
	return f, nil
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.applySnapshot()
	last := ""
	for ctx.Err() == nil {
		relay, at := f.selector.NextCall(monotone.Now())
		if !sleep(ctx, at-monotone.Now()) {
			break
		}
		if relay.ID != last {
			f.switchTo(relay, last)
			last = relay.ID
		}
		out, after, age := f.poll(ctx, relay)
		if ctx.Err() != nil {
			break
		}
		f.selector.CallEnded(monotone.Now(), out, after, age)
		f.saveSnapshot(false)
	}
	f.saveSnapshot(true)
	if f.ownTransport != nil {
		f.ownTransport.CloseIdleConnections()
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

func (f *Follower) switchTo(to watchstream.Relay, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == "" {
		return
	}
	f.replica.SwitchSource()
	f.state.Switches++
	f.log.Info("feed source", slog.String("reason", "FEED_MOVED"), slog.String("relay", to.ID), slog.String("region", to.Region), slog.String("from", from))
}

// poll asks a relay once, and takes what it answers: after is when to come again, age how old what it has may be.
func (f *Follower) poll(ctx context.Context, relay watchstream.Relay) (out watchstream.CallOutcome, after, age time.Duration) {
	f.mu.Lock()
	h := f.replica.SubscribeRequest()
	f.state.Polls++
	f.mu.Unlock()
	h.WaitMs = pollWait.Milliseconds()
	began := monotone.Now()
	status, age, body, err := f.roundTrip(ctx, relay.Addr, &h)
	switch {
	case ctx.Err() != nil:
		return watchstream.CallFailed, 0, 0
	case err != nil:
		f.pollFailed(relay, err)
		if errors.Is(err, context.DeadlineExceeded) {
			return watchstream.CallTimedOut, 0, 0
		}
		return watchstream.CallFailed, 0, 0
	case status == http.StatusOK:
		out, age := f.applyDelta(relay, body)
		return out, 0, age
	case status == http.StatusNoContent:
		f.noteAnswer(relay, age)
		if monotone.Now()-began < minPollInterval {
			sleep(ctx, minPollInterval) // it leaves, or doesn't wait: it isn't asked without a pause
		}
		return watchstream.CallAnswered, 0, age
	}
	var no RejectedError
	if err := jsonCodec.Unmarshal(body, &no); err != nil || no.Reason == "" {
		f.pollFailed(relay, fmt.Errorf("it answers %d, %.100q", status, body))
		return watchstream.CallFailed, 0, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if no.RetryAfterMs > 0 {
		f.state.Busy++
		return watchstream.CallBusy, min(time.Duration(no.RetryAfterMs)*time.Millisecond, time.Minute), 0
	}
	f.noteRejected(relay, no.Reason, no.Detail)
	return watchstream.CallRejected, 0, 0
}

// roundTrip makes one call. The answer is unpacked.
func (f *Follower) roundTrip(ctx context.Context, addr string, h *watchstream.SubscribeRequest) (status int, age time.Duration, body []byte, err error) {
	text, err := jsonCodec.Marshal(h)
	if err != nil {
		return 0, 0, nil, err
	}
	ctx, done := context.WithTimeout(ctx, pollWait+pollGrace)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+watchPath, bytes.NewReader(text))
	if err != nil {
		return 0, 0, nil, err
	}
	req.Header["User-Agent"] = nil // bytes that say nothing
	req.Header.Set("Accept-Encoding", gzipEncoding)
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return 0, 0, nil, err
	}
	defer resp.Body.Close()
	if f.ownTransport == nil {
		f.traffic.out.Add(uint64(len(text)))
	}
	ms, _ := strconv.ParseInt(resp.Header.Get(ageHeader), 10, 64)
	in := &countingReader{Reader: io.LimitReader(resp.Body, maxAnswerBytes)}
	body, err = readAll(in, resp.Header.Get(encodingHeader) == gzipEncoding, maxAnswerBytes)
	if f.ownTransport == nil {
		f.traffic.in.Add(in.n)
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	return resp.StatusCode, time.Duration(max(0, ms)) * time.Millisecond, body, err
}

type countingReader struct {
	io.Reader
	n uint64
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.n += uint64(n)
	return n, err
}

// applyDelta has a delta taken, and applied.
func (f *Follower) applyDelta(relay watchstream.Relay, body []byte) (out watchstream.CallOutcome, age time.Duration) {
	var d watchstream.Delta
	if err := jsonCodec.Unmarshal(body, &d); err != nil {
		f.mu.Lock()
		f.noteRejected(relay, watchstream.ReasonMalformed, err.Error())
		f.mu.Unlock()
		return watchstream.CallFailed, 0
	}
	f.mu.Lock()
	records, err := f.replica.ApplyDelta(&d)
	var no *watchstream.RejectedError
	if errors.As(err, &no) {
		f.noteRejected(relay, no.Reason, no.Why)
		f.mu.Unlock()
		return watchstream.CallRejected, 0
	}
	f.state.Deltas++
	f.state.Records += uint64(len(records))
	mark := f.replica.Consistent()
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.recordsChanged, f.positionChanged = f.recordsChanged || len(records) > 0, true
	age = time.Duration(max(0, d.AgeMs)) * time.Millisecond
	f.noteAnswer(relay, age)
	f.notify(Update{Records: records, Position: mark.Position}, mark)
	return watchstream.CallAnswered, age
}

// notify tells what is new, and acknowledges it as far as it is in force.
func (f *Follower) notify(c Update, mark watchstream.Watermark) {
	var err error
	if f.opt.OnChange != nil && (len(c.Records) > 0 || c.Full || c.Position != f.notified) {
		err = f.opt.OnChange(c)
		f.notified = c.Position
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.replica.RejectConfig(mark.Config, err.Error())
		f.state.Rejected["config"]++
		f.log.Warn("configuration turned down", slog.String("reason", "FEED_BAD_CONFIG"), slog.Uint64("version", mark.Config), slog.Any("error", err))
	}
	f.replica.MarkApplied(mark)
}

// noteAnswer notes who answered, and how old that is what it has.
func (f *Follower) noteAnswer(relay watchstream.Relay, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Relay, f.state.Region = relay.ID, relay.Region
	f.freshAt = max(f.freshAt, monotone.Now()-age)
}

func (f *Follower) pollFailed(relay watchstream.Relay, err error) {
	f.mu.Lock()
	f.state.Failed++
	f.mu.Unlock()
	f.log.Warn("feed poll failed", slog.String("reason", "FEED_FAILED"), slog.String("relay", relay.ID), slog.Any("error", err))
}

// noteRejected counts what was not taken. Its caller holds mu.
func (f *Follower) noteRejected(relay watchstream.Relay, why watchstream.Reason, text string) {
	f.state.Rejected[string(why)]++
	f.log.Warn("feed refused", slog.String("reason", "FEED_REFUSED"), slog.String("why", string(why)), slog.String("relay", relay.ID), slog.String("text", text))
}

// State tells of the follower; any goroutine may ask.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	whole := f.replica.Consistent()
	s.Epoch, s.Position, s.Applied, s.Rejection = whole.Epoch, whole.Position, f.replica.Applied().Position, f.replica.Rejection()
	s.Rejected = maps.Clone(s.Rejected)
	s.BytesIn, s.BytesOut = f.traffic.in.Load(), f.traffic.out.Load()
	if s.AgeMs = -1; f.freshAt > 0 {
		s.AgeMs = max(0, (monotone.Now() - f.freshAt).Milliseconds())
	}
	return s
}

// Records are the live ones of a kind that it has, in order of version; any goroutine may ask. Their values must not be written to.
func (f *Follower) Records(k watchstream.Kind) []watchstream.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Records(k)
}
