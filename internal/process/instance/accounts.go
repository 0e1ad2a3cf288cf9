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
	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/observability/accounts"
	"spindlehitch/internal/observability/accounts/disk"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/listen"
)

// ledger is a running instance's accounts: the book, which the core's goroutine alone touches, and what is done with it.
type ledger struct {
	book   *accounts.Recorder
	opt    config.Accounts
	name   string
	log    *slog.Logger
	core   *core.Core
	from   time.Time
	kept   int  // windows for the fleet's account; 0: none is kept
	shared bool // a predecessor may still listen at the address
	server http.Server
	loop

	mu      sync.Mutex
	windows []keptWindow
}

// keptWindow is a window that is over, of the same beginning at every instance: a whole number of windows since 1970.
type keptWindow struct {
	start time.Time
	s     accounts.Snapshot
}

func newLedger(opt config.Accounts, name string, worth func(policy.Request) float64, log *slog.Logger) *ledger {
	l := &ledger{book: accounts.New(accounts.Options{MaxVolumes: opt.Volumes, MaxPairs: opt.Pairs, MaxOpen: opt.Open, Worth: worth}), opt: opt, name: name,
		log: log, from: time.Now()}
	l.run = l.write
	return l
}

// take has the core's goroutine make a snapshot, and start the next stretch where cut is true.
func (l *ledger) take(ctx context.Context, cut bool) (s accounts.Snapshot, ok bool) {
	done := make(chan accounts.Snapshot, 1)
	l.core.Inspect(func() {
		now := time.Now()
		if !cut {
			done <- l.book.Snapshot(l.name, l.from, now)
			return
		}
		done <- l.book.SnapshotAndReset(l.name, l.from, now)
		l.from = now
	})
	select {
	case s = <-done:
		return s, true
	case <-ctx.Done():
		return s, false
	}
}

// write writes each window's accounts, and keeps them for the fleet's, until the context ends; Stop saves the last.
func (l *ledger) write(ctx context.Context) {
	if l.opt.Dir == "" && l.kept == 0 && !l.opt.Log {
		return
	}
	for {
		end := time.Now().Truncate(l.window()).Add(l.window())
		for time.Now().Before(end) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(end)):
			}
		}
		l.save(ctx, end.Add(-l.window()))
	}
}

func (l *ledger) window() time.Duration { return time.Duration(l.opt.WindowS) * time.Second }

// save ends the window that began at start.
func (l *ledger) save(ctx context.Context, start time.Time) {
	s, ok := l.take(ctx, true)
	if !ok {
		return
	}
	if l.kept > 0 {
		l.mu.Lock()
		l.windows = append(l.windows, keptWindow{start, s})
		l.windows = l.windows[max(0, len(l.windows)-l.kept):]
		l.mu.Unlock()
	}
	if l.opt.Log {
		served, _ := s.Shares(0)
		l.log.Info(accounts.SharesLogMessage, slog.String("name", l.name), slog.Any("shares", accounts.LoggedShares(served)))
	}
	if l.opt.Dir == "" {
		return
	}
	if err := disk.Write(l.opt.Dir, s, l.opt.Keep); err != nil {
		l.log.Error("accounts not written", slog.String("reason", "ACCOUNTS_FAILED"), slog.Any("error", err))
	}
}

// Start implements Part: it tells the accounts of the window that is under way, and writes those that are over.
func (l *ledger) Start(stop context.Context) error {
	if l.opt.Listen != "" {
		at, err := listen.Bound(stop, l.opt.Listen, l.shared)
		if err != nil {
			return fmt.Errorf("operator's file: accounts.listen: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /accounts", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("window") {
				l.past(w, r)
				return
			}
			if s, ok := l.take(r.Context(), false); ok {
				w.Header().Set("Content-Type", "application/json")
				_ = json.NewEncoder(w).Encode(s)
			}
		})
		l.server = http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second}
		go func() { _ = l.server.Serve(at) }()
	}
	return l.loop.Start(stop)
}

// Stop implements Part: the window under way is cut short and kept.
func (l *ledger) Stop(within context.Context) error {
	err := l.loop.Stop(within)
	l.save(within, time.Now().Truncate(l.window()))
	return errors.Join(err, l.server.Close())
}

// past tells one window that is over.
func (l *ledger) past(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if q.Get("window_s") != strconv.Itoa(l.opt.WindowS) {
		http.Error(w, fmt.Sprintf("windows of %d s here", l.opt.WindowS), http.StatusConflict)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.windows) - 1; i >= 0; i-- {
		if k := l.windows[i]; strconv.FormatInt(k.start.Unix(), 10) == q.Get("window") {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(k.s)
			return
		}
	}
	http.Error(w, "no such window is kept here", http.StatusNotFound)
}

// Listed drops what is known of targets that a whole list does not have.
func (l *ledger) Listed(list *listing.List) {
	if !list.Full {
		return
	}
	listed := map[string]bool{}
	for _, e := range list.Targets {
		listed[e.ID] = true
	}
	l.core.Inspect(func() { l.book.ForgetUnlisted(func(id string) bool { return listed[id] }) })
}
