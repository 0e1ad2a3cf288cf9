// Package distribution is the edge of the feed of changes: the server that readers poll, the follower that polls it, the copy on disk and the
// relay that is made of them. internal/controlplane/watchstream decides; here are sockets, the clock, the encoding and the log.
package distribution

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
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
