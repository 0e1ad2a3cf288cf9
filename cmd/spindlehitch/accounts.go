package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"spindlehitch/internal/accounts"
	"spindlehitch/internal/accounts/disk"
	"spindlehitch/internal/config"
	"spindlehitch/internal/core"
	"spindlehitch/internal/discovery"
	"spindlehitch/internal/listen"
)

// ledger is a running instance's accounts: the book, which the core's goroutine alone touches, and what is done with it.
type ledger struct {
	book *accounts.Book
	opt  config.Accounts
	name string
	log  *slog.Logger
	core *core.Core
	from time.Time
	kept int // windows for the fleet's account; 0: none is kept

	mu      sync.Mutex
	windows []keptWindow
}

// keptWindow is a window that is over, of the same beginning at every instance: a whole number of windows since 1970.
type keptWindow struct {
	start time.Time
	s     accounts.Snapshot
}

func newLedger(opt config.Accounts, name string, log *slog.Logger) *ledger {
	return &ledger{book: accounts.New(accounts.Options{Volumes: opt.Volumes, Pairs: opt.Pairs, Open: opt.Open}), opt: opt, name: name,
		log: log, from: time.Now()}
}

// take has the core's goroutine make a snapshot, and start the next stretch where cut is true.
func (l *ledger) take(ctx context.Context, cut bool) (s accounts.Snapshot, ok bool) {
	done := make(chan accounts.Snapshot, 1)
	l.core.Inspect(func() {
		now := time.Now()
		if !cut {
			done <- l.book.Look(l.name, l.from, now)
			return
		}
		done <- l.book.Cut(l.name, l.from, now)
		l.from = now
	})
	select {
	case s = <-done:
		return s, true
	case <-ctx.Done():
		return s, false
	}
}

// run writes each window's accounts, and keeps them for the fleet's, until the context ends; serve saves the last.
func (l *ledger) run(ctx context.Context) {
	if l.opt.Dir == "" && l.kept == 0 {
		return
	}
	window := time.Duration(l.opt.WindowS) * time.Second
	for {
		end := time.Now().Truncate(window).Add(window)
		for time.Now().Before(end) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(end)):
			}
		}
		l.save(ctx, end.Add(-window))
	}
}

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
	if l.opt.Dir == "" {
		return
	}
	if err := disk.Write(l.opt.Dir, s, l.opt.Keep); err != nil {
		l.log.Error("accounts not written", slog.String("reason", "ACCOUNTS_FAILED"), slog.Any("error", err))
	}
}

// serve tells the accounts of the window that is under way.
func (l *ledger) serve(ctx context.Context, shared bool) error {
	if l.opt.Listen == "" {
		return nil
	}
	at, err := listen.Bound(ctx, l.opt.Listen, shared)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /accounts", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("window") {
			l.window(w, r)
			return
		}
		if s, ok := l.take(r.Context(), false); ok {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(s)
		}
	})
	server := &http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go server.Serve(at)
	return nil
}

// window tells one window that is over.
func (l *ledger) window(w http.ResponseWriter, r *http.Request) {
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
			json.NewEncoder(w).Encode(k.s)
			return
		}
	}
	http.Error(w, "no such window is kept here", http.StatusNotFound)
}

// forget drops what is known of targets that a whole list does not have.
func (l *ledger) forget(list *discovery.List) {
	if !list.Full {
		return
	}
	listed := map[string]bool{}
	for _, e := range list.Servers {
		listed[e.ID] = true
	}
	l.core.Inspect(func() { l.book.Forget(func(id string) bool { return listed[id] }) })
}
