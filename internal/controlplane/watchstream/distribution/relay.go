package distribution

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotonic"
)

// Times and bounds of a relay.
const (
	reportInterval  = time.Second
	reportTimeout   = 2 * time.Second // a later report replaces one that takes longer
	requestTimeout  = 5 * time.Second // for a reader to send its request
	shutdownTimeout = time.Second     // for open requests to end, before their connections are closed
	// connections beyond one for each reader, for readers that switch relays and for operators
	extraConns = 64
)

// RelayOptions configure a relay.
type RelayOptions struct {
	ID, Fleet, Region string
	Agents            []string // addresses of agents, one of which is followed at a time
	Dir               string   // of the snapshot; empty: no snapshot
	Source            watchstream.SourceOptions
	// Report sends a report to the agents' leader; nil: no reports are sent.
	Report func(context.Context, watchstream.Report) (watchstream.ReportResponse, error)
	Log    *slog.Logger                                                      // nil: no logging
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error) // to agents; nil: a net.Dialer
}

// Relay follows the agents' stream and serves its copy to readers.
type Relay struct {
	opt        RelayOptions
	log        *slog.Logger
	follower   *Follower
	source     *watchstream.Source // guarded by follower.mu, like the replica whose store it serves
	server     *Server
	httpServer http.Server
	conns      atomic.Int64
	reports    struct{ sent, failed atomic.Uint64 }
}

// NewRelay validates the options and reads the snapshot. Run and Serve start the relay.
func NewRelay(opt RelayOptions) (*Relay, error) {
	r := &Relay{opt: opt, log: opt.Log}
	if r.log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	agents := make([]watchstream.Relay, len(opt.Agents))
	for i, addr := range opt.Agents {
		agents[i] = watchstream.Relay{ID: addr, Region: opt.Region, Addr: addr}
	}
	var err error
	r.follower, err = NewFollower(FollowerOptions{Fleet: opt.Fleet, Name: opt.ID, Region: opt.Region, All: true, Relays: agents, Dir: opt.Dir, Log: opt.Log, Dial: opt.Dial})
	if err != nil {
		return nil, err
	}
	r.opt.Source.MaxReaders = cmp.Or(opt.Source.MaxReaders, watchstream.DefaultSourceOptions.MaxReaders)
	r.source = watchstream.NewSource(r.follower.replica.Store(), r.opt.Source, r.follower.replica.Generation())
	r.server = NewServer(r, r.opt.Source.MaxReaders)
	mux := http.NewServeMux()
	r.server.Routes(mux)
	mux.HandleFunc("GET /v1/feed", r.handleState)
	r.httpServer = http.Server{Handler: mux, ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout + maxPollWait, IdleTimeout: idleTimeout, MaxHeaderBytes: 8 << 10}
	return r, nil
}

// WithSource implements Origin.
func (r *Relay) WithSource(do func(now time.Duration, s *watchstream.Source)) (<-chan struct{}, bool) {
	f := r.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	r.source.MarkFresh(f.freshAt)
	do(monotonic.Now(), r.source)
	return f.changed, true
}

// Serve serves readers on l until Run returns, and then returns nil.
func (r *Relay) Serve(l net.Listener) error {
	if err := r.httpServer.Serve(&limitedListener{l, &r.conns, int64(r.opt.Source.MaxReaders + extraConns)}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Run follows the agents and reports to their leader until ctx ends. Then it shuts the server down, and
// returns when its goroutines have ended.
func (r *Relay) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.follower.Run(ctx) })
	if r.opt.Report != nil {
		wg.Go(func() { r.reportLoop(ctx) })
	}
	<-ctx.Done()
	r.server.Stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if r.httpServer.Shutdown(shutdownCtx) != nil {
		r.httpServer.Close() // cuts off readers that do not read their responses
	}
	wg.Wait()
}

// reportLoop regularly reports the changes of the readers' states to the agents' leader until ctx ends.
// After a failure the next report repeats what is not acknowledged.
func (r *Relay) reportLoop(ctx context.Context) {
	failing := false
	for sleep(ctx, reportInterval) {
		var rep watchstream.Report
		r.WithSource(func(now time.Duration, s *watchstream.Source) { rep = s.BuildReport(now, r.opt.ID, r.opt.Region) })
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		answer, err := r.opt.Report(reportCtx, rep)
		cancel()
		if err != nil {
			if r.reports.failed.Add(1); !failing && ctx.Err() == nil {
				r.log.Warn("relay report failed", slog.String("reason", "FEED_UNREPORTED"), slog.Any("error", err))
			}
			failing = true
			continue
		}
		r.reports.sent.Add(1)
		failing = false
		r.WithSource(func(_ time.Duration, s *watchstream.Source) { s.ReportAcked(answer) })
	}
}

// RelayState is a relay's state and its counters since the start.
type RelayState struct {
	ID            string                        `json:"id"`
	Readers       int                           `json:"readers"`
	Rejected      map[watchstream.Reason]uint64 `json:"refused,omitempty"` // requests by reason
	Busy          uint64                        `json:"busy"`              // requests rejected with a time to retry after
	Served        ServerState                   `json:"served"`
	Follower      FollowerState                 `json:"follower"`
	Reports       uint64                        `json:"reports"`
	ReportsFailed uint64                        `json:"reports_failed"`
	Targets       int                           `json:"targets"`
	ConfigLayers  int                           `json:"layers"`
}

// State returns the relay's state. It is safe for concurrent use.
func (r *Relay) State() RelayState {
	s := RelayState{ID: r.opt.ID, Served: r.server.State(), Follower: r.follower.State(), Reports: r.reports.sent.Load(), ReportsFailed: r.reports.failed.Load()}
	r.WithSource(func(_ time.Duration, src *watchstream.Source) {
		s.Readers = src.ReaderCount()
		s.Rejected, s.Busy = src.Rejections()
		store := r.follower.replica.Store()
		s.Targets, s.ConfigLayers = store.Count(watchstream.Targets), store.Count(watchstream.Config)
	})
	return s
}

// handleState answers GET /v1/feed with the relay's state.
func (r *Relay) handleState(w http.ResponseWriter, _ *http.Request) {
	text, err := jsonCodec.Marshal(r.State())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // the client may have disconnected
}
