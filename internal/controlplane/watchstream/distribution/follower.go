// Package distribution carries the watch stream between processes: the server that readers poll, the
// follower that polls it, the follower's snapshot on disk, the relay that consists of both, and the
// publisher that writes a discovery service's list to the stream. The protocol's decisions are in
// package watchstream; this package adds sockets, the clock, encoding and logging.
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
	"spindlehitch/internal/process/monotonic"
)

// Times and bounds of a follower.
const (
	dialTimeout = time.Second
	// time that a poll waits for a change. It is short, since a silently failed connection looks like one without
	// changes.
	pollWait  = time.Second
	pollGrace = 1500 * time.Millisecond // beyond pollWait, until the call times out
	// upper limit of a relay's retry delay; short, since relays are few and a region's readers depend on each
	relayRetryMax = time.Second
	idleTimeout   = 30 * time.Second
	// minimum time between two snapshots while records change; if longer, saveCostFactor times the duration of the last write
	saveInterval         = 10 * time.Second
	saveCostFactor       = 200
	positionSaveInterval = 10 * time.Minute       // minimum time between snapshots if only the position has changed
	minPollInterval      = 100 * time.Millisecond // pause after an answer without a change that came at once
	connBufferBytes      = 2 << 10                // in each direction
)

// FollowerOptions configure a follower.
type FollowerOptions struct {
	Fleet, Name, Region, Zone string
	All                       bool                // receive the layers of all scopes; set by relays
	Relays                    []watchstream.Relay // that may be called
	Dir                       string              // of the snapshot; empty: no snapshot
	Seed                      uint64              // of random delays; 0: a hash of the name
	Selection                 watchstream.RelaySelectorOptions
	Log                       *slog.Logger // nil: no logging
	// Transport carries the polls. nil: the follower has its own transport, and State counts all bytes of its
	// connections instead of only bodies.
	Transport http.RoundTripper
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error) // used by the follower's own transport; nil: a net.Dialer
	// OnChange is called on Run's goroutine with every update in order, first with the snapshot on disk if there is
	// one. When it returns nil the update counts as applied. An error rejects the configuration with its text as the
	// reason; targets still count as applied. nil: every update counts as applied at once.
	OnChange func(Update) error
	// Generation of the first request, greater than those of earlier runs; 0: derived from the clock. It is raised
	// above the snapshot's.
	Generation uint64
}

// Update is a change that a follower has received.
type Update struct {
	Records  []watchstream.Record // newest state of each key that changed; must not be modified
	Full     bool                 // Records are all live records, from the snapshot
	Position watchstream.Position // up to which the follower is consistent
}

// FollowerState is a follower's position and its counters since the start.
type FollowerState struct {
	Epoch             string                 `json:"epoch,omitempty"`
	Position          watchstream.Position   `json:"position"` // up to which the follower is consistent
	Applied           watchstream.Position   `json:"in_force"`
	Rejection         *watchstream.Rejection `json:"refused,omitempty"` // of the configuration; nil: none
	AgeMs             int64                  `json:"age_ms"`            // upper bound of the age of its state; -1: no answer yet
	Relay             string                 `json:"relay,omitempty"`   // relay that answered last
	Region            string                 `json:"region,omitempty"`  // of that relay
	Switches          uint64                 `json:"moves"`
	Polls             uint64                 `json:"polls"`
	Deltas            uint64                 `json:"deltas"`
	Records           uint64                 `json:"records"`
	Failed            uint64                 `json:"failed"` // polls without an answer
	Busy              uint64                 `json:"busy"`   // polls rejected with a time to retry after
	Rejected          map[string]uint64      `json:"turned"` // deltas, requests and configurations, by reason
	BytesIn           uint64                 `json:"bytes_in"`
	BytesOut          uint64                 `json:"bytes_out"`
	SnapshotsSaved    uint64                 `json:"saved"`
	SnapshotsUnusable uint64                 `json:"torn"` // snapshots on disk that could not be used
}

// Follower keeps a copy of the stream up to date by polling relays. All work is done on the goroutine of
// Run; the other methods only read.
type Follower struct {
	opt          FollowerOptions
	log          *slog.Logger
	transport    http.RoundTripper
	ownTransport *http.Transport // nil if FollowerOptions.Transport is set
	traffic      trafficMeter
	selector     *watchstream.RelaySelector // used by Run only

	mu      sync.Mutex // guards replica, changed, freshAt and state
	replica *watchstream.Replica
	changed chan struct{} // closed and replaced with each delta
	freshAt time.Duration // when the state last was the log's, by the last answer's age; 0: no answer yet
	state   FollowerState

	notified        watchstream.Position // position of the last OnChange; used by Run only, as are the following fields
	recordsChanged  bool                 // since the last snapshot
	positionChanged bool                 // since the last snapshot
	nextSaveAt      time.Duration        // earliest time of the next snapshot if records changed
	lastSaveAt      time.Duration
}

// NewFollower validates the options and reads the snapshot. Polling starts with Run.
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

// Run polls relays until ctx ends, and writes a last snapshot before it returns.
func (f *Follower) Run(ctx context.Context) {
	f.applySnapshot()
	lastID := ""
	for ctx.Err() == nil {
		relay, at := f.selector.NextCall(monotonic.Now())
		if !sleep(ctx, at-monotonic.Now()) {
			break
		}
		if relay.ID != lastID {
			f.switchTo(relay, lastID)
			lastID = relay.ID
		}
		outcome, retryAfter, age := f.poll(ctx, relay)
		if ctx.Err() != nil {
			break
		}
		f.selector.CallEnded(monotonic.Now(), outcome, retryAfter, age)
		f.saveSnapshot(false)
	}
	f.saveSnapshot(true)
	if f.ownTransport != nil {
		f.ownTransport.CloseIdleConnections()
	}
}

// sleep waits for d or until ctx ends, and reports whether ctx has not ended.
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

// switchTo prepares the replica for another relay. It does nothing for the first one (from is empty).
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
		s.AgeMs = max(0, (monotonic.Now() - f.freshAt).Milliseconds())
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
