package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/observability/accounts"
	"spindlehitch/internal/observability/accounts/disk"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/listen"
)

// accountsRecorder keeps a running instance's latency accounts, and writes, logs and serves them window by window. Only the
// core's goroutine uses book and since.
type accountsRecorder struct {
	rec             *accounts.Recorder
	opt             config.Accounts
	name            string
	log             *slog.Logger
	core            *core.Core
	since           time.Time
	retainedWindows int  // closed windows kept in memory for the fleet report; 0: none
	reusePort       bool // a predecessor may still listen at the address
	yielded         bool // YieldToSuccessor was called
	server          http.Server
	loop

	mu      sync.Mutex // guards windows
	windows []accountsWindow
}

// accountsWindow is a closed window. Its start is the same at every instance: a whole number of windows since 1970.
type accountsWindow struct {
	start    time.Time
	snapshot accounts.Snapshot
}

func newAccountsRecorder(opt config.Accounts, name string, priority func(policy.Request) float64, log *slog.Logger) *accountsRecorder {
	a := &accountsRecorder{rec: accounts.New(accounts.Options{MaxVolumes: opt.Volumes, MaxPairs: opt.Pairs, MaxOpen: opt.Open, Worth: priority}), opt: opt, name: name,
		log: log, since: time.Now()}
	a.run = a.writeWindows
	return a
}

// takeSnapshot has the core's goroutine take a snapshot, which ends the current window if cut is true.
func (a *accountsRecorder) takeSnapshot(ctx context.Context, cut bool) (s accounts.Snapshot, ok bool) {
	done := make(chan accounts.Snapshot, 1)
	a.core.Inspect(func() {
		now := time.Now()
		if !cut {
			done <- a.rec.Snapshot(a.name, a.since, now)
			return
		}
		done <- a.rec.SnapshotAndReset(a.name, a.since, now)
		a.since = now
	})
	select {
	case s = <-done:
		return s, true
	case <-ctx.Done():
		return s, false
	}
}

// writeWindows closes each window at its end, until the context ends; Stop closes the last one.
func (a *accountsRecorder) writeWindows(ctx context.Context) {
	if a.opt.Dir == "" && a.retainedWindows == 0 && !a.opt.Log {
		return
	}
	for {
		end := time.Now().Truncate(a.windowLength()).Add(a.windowLength())
		for time.Now().Before(end) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(end)):
			}
		}
		a.closeWindow(ctx, end.Add(-a.windowLength()))
	}
}

func (a *accountsRecorder) windowLength() time.Duration {
	return time.Duration(a.opt.WindowS) * time.Second
}

// closeWindow ends the window that began at start: it is kept for the fleet report, logged and written to the folder, as
// configured.
func (a *accountsRecorder) closeWindow(ctx context.Context, start time.Time) {
	snapshot, ok := a.takeSnapshot(ctx, true)
	if !ok {
		return
	}
	if a.retainedWindows > 0 {
		a.mu.Lock()
		a.windows = append(a.windows, accountsWindow{start, snapshot})
		a.windows = a.windows[max(0, len(a.windows)-a.retainedWindows):]
		a.mu.Unlock()
	}
	if a.opt.Log {
		served, _ := snapshot.Shares(0)
		a.log.Info(accounts.SharesLogMessage, slog.String("name", a.name), slog.Any("shares", accounts.LoggedShares(served)))
	}
	if a.opt.Dir == "" {
		return
	}
	if err := disk.Write(a.opt.Dir, snapshot, a.opt.Keep); err != nil {
		a.log.Error("accounts not written", slog.String("reason", "ACCOUNTS_FAILED"), slog.Any("error", err))
	}
}

// Start implements Component: it serves the accounts of the current window and of closed ones, and starts writeWindows.
func (a *accountsRecorder) Start(ctx context.Context) error {
	if a.opt.Listen != "" {
		ln, err := listen.Bind(ctx, a.opt.Listen, a.reusePort)
		if err != nil {
			return fmt.Errorf("operator's file: accounts.listen: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /accounts", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("window") {
				a.serveWindow(w, r)
				return
			}
			if s, ok := a.takeSnapshot(r.Context(), false); ok {
				w.Header().Set("Content-Type", "application/json")
				_ = json.NewEncoder(w).Encode(s)
			}
		})
		a.server = http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 8 << 10}
		go func() { _ = a.server.Serve(ln) }()
	}
	return a.loop.Start(ctx)
}

// YieldToSuccessor implements yielder. What ends later is in no account.
func (a *accountsRecorder) YieldToSuccessor(ctx context.Context) error {
	a.yielded = true
	return a.closeAccounts(ctx)
}

// Stop implements Component.
func (a *accountsRecorder) Stop(ctx context.Context) error {
	if a.yielded {
		return nil
	}
	return a.closeAccounts(ctx)
}

// closeAccounts ends the last window and the service.
func (a *accountsRecorder) closeAccounts(ctx context.Context) error {
	err := a.loop.Stop(ctx)
	a.closeWindow(ctx, time.Now().Truncate(a.windowLength()))
	return errors.Join(err, a.server.Close())
}

// serveWindow answers with the closed window that the query names.
func (a *accountsRecorder) serveWindow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("window_s") != strconv.Itoa(a.opt.WindowS) {
		http.Error(w, fmt.Sprintf("windows of %d s here", a.opt.WindowS), http.StatusConflict)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.windows) - 1; i >= 0; i-- {
		if k := a.windows[i]; strconv.FormatInt(k.start.Unix(), 10) == query.Get("window") {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(k.snapshot)
			return
		}
	}
	http.Error(w, "no such window is kept here", http.StatusNotFound)
}

// OnTargetList implements targetListener: a full list drops the accounts of targets that it doesn't contain.
func (a *accountsRecorder) OnTargetList(list *targetlist.List) {
	if !list.Full {
		return
	}
	listed := map[string]bool{}
	for _, e := range list.Targets {
		listed[e.ID] = true
	}
	a.core.Inspect(func() { a.rec.ForgetUnlisted(func(id string) bool { return listed[id] }) })
}
