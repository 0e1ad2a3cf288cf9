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
	"spindlehitch/internal/process/monotone"
)

// Times and bounds of a relay.
const (
	reportInterval  = time.Second
	reportTimeout   = 2 * time.Second // by then the next report is more recent
	requestTimeout  = 5 * time.Second // for a reader to send its request
	shutdownTimeout = time.Second
	// connections beyond one for each reader: readers that switch, and operators
	extraConns = 64
)

// RelayOptions configure a relay.
type RelayOptions struct {
	ID, Fleet, Region string
	Agents            []string // addresses of agents; any of them is followed
	Dir               string   // of the snapshot; empty: none
	Source            watchstream.SourceOptions
	// Report sends a report to the agents' leader; nil: none is sent.
	Report func(context.Context, watchstream.Report) (watchstream.ReportResponse, error)
	Log    *slog.Logger
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Relay follows the agents and serves readers.
type Relay struct {
	opt        RelayOptions
	log        *slog.Logger
	follower   *Follower
	source     *watchstream.Source // guarded by the follower's lock
	server     *Server
	httpServer http.Server
	conns      atomic.Int64
	reports    struct{ sent, failed atomic.Uint64 }
}

// NewRelay validates the options and reads the snapshot.
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
	do(monotone.Now(), r.source)
	return f.changed, true
}

// Serve answers readers until Run ends.
func (r *Relay) Serve(l net.Listener) error {
	if err := r.httpServer.Serve(&limitedListener{l, &r.conns, int64(r.opt.Source.MaxReaders + extraConns)}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Run follows the agents and reports to their leader until ctx ends; then no more readers are served.
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
		r.httpServer.Close() // readers that do not read their answers
	}
	wg.Wait()
}

// reportLoop regularly tells the agents' leader what has changed at the readers. After a failure the
// next report has it all.
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

// RelayState is what a relay tells of itself.
type RelayState struct {
	ID            string                        `json:"id"`
	Readers       int                           `json:"readers"`
	Rejected      map[watchstream.Reason]uint64 `json:"refused,omitempty"` // requests by reason
	Busy          uint64                        `json:"busy"`              // readers that were told to retry later
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

// handleState answers an operator.
func (r *Relay) handleState(w http.ResponseWriter, _ *http.Request) {
	text, err := jsonCodec.Marshal(r.State())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // the operator may be gone
}
