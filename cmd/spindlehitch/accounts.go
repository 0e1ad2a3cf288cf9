package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
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

// run writes each window's accounts until the context ends; serve saves the last.
func (l *ledger) run(ctx context.Context) {
	if l.opt.Dir == "" {
		return
	}
	tick := time.NewTicker(time.Duration(l.opt.WindowS) * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.save(ctx)
		}
	}
}

func (l *ledger) save(ctx context.Context) {
	s, ok := l.take(ctx, true)
	if !ok || l.opt.Dir == "" {
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
