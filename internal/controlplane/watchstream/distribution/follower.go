// Package distribution moves the watch stream between processes: the server that readers poll, the
// follower that polls it, the follower's snapshot on disk, the relay that is made of both, and the
// publisher that puts a discovery service's list into the stream. Package watchstream decides; here
// are sockets, the clock, the encoding and the log.
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

// Times and bounds of a follower.
const (
	dialTimeout = time.Second
	// that a poll waits for news: a connection that has failed silently looks like none
	pollWait  = time.Second
	pollGrace = 1500 * time.Millisecond // beyond the poll's wait, after which the source is silent
	// between a relay's calls of agents that fail: relays are few, and a region waits for each
	relayRetryMax = time.Second
	idleTimeout   = 30 * time.Second
	// between two snapshots while records change, or longer: saveCostFactor times what the last one took
	saveInterval         = 10 * time.Second
	saveCostFactor       = 200
	positionSaveInterval = 10 * time.Minute       // if only the position has changed
	minPollInterval      = 100 * time.Millisecond // after an answer without news that came at once
	connBufferBytes      = 2 << 10                // each way
)

// FollowerOptions configure a follower.
type FollowerOptions struct {
	Fleet, Name, Region, Zone string
	All                       bool                // a relay: all scopes
	Relays                    []watchstream.Relay // that it may call
	Dir                       string              // of the snapshot; empty: none
	Seed                      uint64              // of random waits; 0: from the name
	Selection                 watchstream.RelaySelectorOptions
	Log                       *slog.Logger // nil: none
	// Transport carries the polls; nil: a transport of its own, and then State counts all bytes of its connections
	// and not only bodies.
	Transport http.RoundTripper
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error) // of its own transport; nil: the usual one
	// OnChange is called with every update in order, on Run's goroutine, first with the snapshot from the disk.
	// If it returns nil the update is applied. An error rejects the configuration, with its text as the reason;
	// targets are applied all the same. nil: everything counts as applied at once.
	OnChange func(Update) error
	// of the first request, beyond those of earlier runs; 0: by the clock and the snapshot
	Generation uint64
}

// Update is what a follower has received.
type Update struct {
	Records  []watchstream.Record // newest state of each key that changed; must not be modified
	Full     bool                 // everything there is, from the snapshot
	Position watchstream.Position // up to which everything is there
}

// FollowerState is what a follower tells of itself.
type FollowerState struct {
	Epoch             string                 `json:"epoch,omitempty"`
	Position          watchstream.Position   `json:"position"` // up to which everything is there
	Applied           watchstream.Position   `json:"in_force"`
	Rejection         *watchstream.Rejection `json:"refused,omitempty"` // of the configuration
	AgeMs             int64                  `json:"age_ms"`            // since its state surely was the log's; -1: never
	Relay             string                 `json:"relay,omitempty"`   // that answered last
	Region            string                 `json:"region,omitempty"`  // of that relay
	Switches          uint64                 `json:"moves"`
	Polls             uint64                 `json:"polls"`
	Deltas            uint64                 `json:"deltas"`
	Records           uint64                 `json:"records"`
	Failed            uint64                 `json:"failed"` // polls without an answer
	Busy              uint64                 `json:"busy"`   // polls that were told to retry later
	Rejected          map[string]uint64      `json:"turned"` // deltas and requests by reason
	BytesIn           uint64                 `json:"bytes_in"`
	BytesOut          uint64                 `json:"bytes_out"`
	SnapshotsSaved    uint64                 `json:"saved"`
	SnapshotsUnusable uint64                 `json:"torn"` // that could not be used
}

// Follower has a copy of the stream and keeps it up to date. All work is done by the goroutine of Run.
type Follower struct {
	opt          FollowerOptions
	log          *slog.Logger
	transport    http.RoundTripper
	ownTransport *http.Transport // nil: the caller's is used
	traffic      trafficMeter
	selector     *watchstream.RelaySelector // of Run alone

	mu      sync.Mutex
	replica *watchstream.Replica
	changed chan struct{} // closed and replaced with each delta
	freshAt time.Duration // when its state surely was the log's; 0: never
	state   FollowerState

	notified        watchstream.Position // of Run alone, as are the following
	recordsChanged  bool                 // since the snapshot
	positionChanged bool                 // since the snapshot
	nextSaveAt      time.Duration
	lastSaveAt      time.Duration
}

// NewFollower validates the options and reads the snapshot; it makes no call yet.
func NewFollower(opt FollowerOptions) (*Follower, error) {
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
	generation := cmp.Or(opt.Generation, uint64(time.Now().UnixMilli()))
	f.replica = watchstream.NewReplica(opt.Fleet, scope, generation, watchstream.Limits{})
	f.loadSnapshot()
	if opt.All {
		opt.Selection.RetryMax = cmp.Or(opt.Selection.RetryMax, relayRetryMax)
	}
	f.selector = watchstream.NewRelaySelector(opt.Relays, opt.Region, opt.Name, opt.Seed, opt.Selection)
	return f, nil
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.applySnapshot()
	lastID := ""
	for ctx.Err() == nil {
		relay, at := f.selector.NextCall(monotone.Now())
		if !sleep(ctx, at-monotone.Now()) {
			break
		}
		if relay.ID != lastID {
			f.switchTo(relay, lastID)
			lastID = relay.ID
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

// sleep waits, and reports false if ctx ended.
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

// switchTo notes that another relay is called from now on.
func (f *Follower) switchTo(to watchstream.Relay, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == "" {
		return
	}
	f.replica.SwitchSource()
	f.state.Switches++
	f.log.Info("relay changed", slog.String("reason", "FEED_MOVED"), slog.String("relay", to.ID), slog.String("region", to.Region), slog.String("from", from))
}

// State returns the follower's state. It is safe for concurrent use.
func (f *Follower) State() FollowerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	watermark := f.replica.Consistent()
	s.Epoch, s.Position, s.Applied, s.Rejection = watermark.Epoch, watermark.Position, f.replica.Applied().Position, f.replica.Rejection()
	s.Rejected = maps.Clone(s.Rejected)
	s.BytesIn, s.BytesOut = f.traffic.in.Load(), f.traffic.out.Load()
	if s.AgeMs = -1; f.freshAt > 0 {
		s.AgeMs = max(0, (monotone.Now() - f.freshAt).Milliseconds())
	}
	return s
}

// Records returns the live records of a kind in order of version. It is safe for concurrent use; the
// values must not be modified.
func (f *Follower) Records(k watchstream.Kind) []watchstream.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Records(k)
}
