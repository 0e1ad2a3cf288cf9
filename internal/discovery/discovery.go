// Package discovery keeps the list of targets: one actor watches it and tells what changes.
package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch"
	"spindlehitch/internal/mailbox"
)

const (
	// watchFor is how long a watch may wait. It is short, since a call whose connection fell silent looks just like a
	// list that does not change, until the wait is over: at 20 s, targets that were long replaced were still sent to.
	watchFor = time.Second
	// graceFor is how long an answer may be overdue before the call is given up. Discovery is the machine's own agent
	// and answers at once; far above what a busy process is late by.
	graceFor = 500 * time.Millisecond
	// retryAfter is the pause after a call that failed.
	retryAfter = 100 * time.Millisecond
	maxList    = 4 << 20
)

// Entry is a target as the list tells it.
type Entry struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Cell    *int   `json:"cell"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
}

// List is the whole list or a change of it.
type List struct {
	Version *int64  `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Decode reads a list and checks it: a list that is not understood whole is not used at all.
func Decode(b []byte) (*List, error) {
	var l List
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return &l, l.Check()
}

// Check names the first field that cannot be used.
func (l *List) Check() error {
	if l.Version == nil {
		return fmt.Errorf("list: version is missing")
	}
	for i, e := range l.Servers {
		_, known := states[e.State]
		switch {
		case e.ID == "":
			return fmt.Errorf("list: servers[%d].id is missing", i)
		case !known:
			return fmt.Errorf("list: servers[%d].state: unknown state %q", i, e.State)
		case e.State == "DELETED":
		case e.Cell == nil:
			return fmt.Errorf("list: servers[%d].cell is missing", i)
		}
		if _, _, err := net.SplitHostPort(e.Addr); err != nil && e.State != "DELETED" {
			return fmt.Errorf("list: servers[%d].addr: %w", i, err)
		}
	}
	return nil
}

var states = map[string]spindlehitch.NodeState{
	"SERVING": spindlehitch.Up, "DRAINING": spindlehitch.Draining, "DELETED": spindlehitch.Removed,
}

// Node is the entry as the module knows it.
func (e Entry) Node() spindlehitch.Node {
	n := spindlehitch.Node{ID: e.ID, Zone: e.Zone, State: states[e.State],
		Started: time.Duration(e.Started) * time.Millisecond}
	if e.Cell != nil {
		n.Shard = *e.Cell
	}
	return n
}

// Watcher is the list's actor: what its calls bring waits in its mailbox and is told in order, so that the
// next call, which may not come later than 200 ms after the last answer, waits for nobody.
type Watcher struct {
	addr  string // where it starts
	tell  func(*List)
	log   *slog.Logger
	call  http.Client
	box   *mailbox.Box[*List]
	moves *mailbox.Box[string]
	has   int64 // the version that came last
}

// New returns a watcher of discovery at addr. It tells the list as last known first, if there is one, however
// old; then what comes.
func New(addr string, known *List, tell func(*List), log *slog.Logger) *Watcher {
	w := &Watcher{addr: addr, tell: tell, log: log, box: mailbox.New[*List](), moves: mailbox.New[string](), has: -1}
	if known != nil {
		whole := *known
		whole.Full = true
		w.box.Put(&whole)
		w.has = *known.Version
	}
	w.call.Transport = &http.Transport{MaxConnsPerHost: 2, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return w
}

// Move has discovery asked at another address from now on, for the whole list first: what the old one had still
// to tell is not waited for.
func (w *Watcher) Move(addr string) { w.moves.Put(addr) }

// Run tells until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.watch(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.box.Wake():
			for _, l := range w.box.Take(nil) {
				w.tell(l)
			}
		}
	}
}

// watch calls discovery until the context ends, wherever it is by then.
func (w *Watcher) watch(ctx context.Context) {
	for addr := w.addr; ctx.Err() == nil; {
		at, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			defer close(left)
			w.watchAt(at, addr)
		}()
		select {
		case <-ctx.Done():
		case <-w.moves.Wake():
			for _, a := range w.moves.Take(nil) {
				addr = a
			}
		}
		leave()
		<-left // a call at the old address must not overtake the first at the new one
		w.call.CloseIdleConnections()
	}
}

// watchAt calls discovery at one address until the context ends. After any doubt (a call that failed or was given up, a
// list that makes no sense, a version that went back) it asks for the whole list; otherwise it goes on where it is, at
// once, since a gap of 200 ms between two calls would end the watch.
func (w *Watcher) watchAt(ctx context.Context, addr string) {
	sure, failed := false, 0
	for ctx.Err() == nil {
		path, wait := "/api/targets", time.Duration(0)
		if sure {
			path = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", w.has, watchFor.Milliseconds())
			wait = watchFor
		}
		l, err := w.fetch(ctx, "http://"+addr+path, wait+graceFor)
		if err == nil && !l.Full && (!sure || *l.Version < w.has) {
			err = fmt.Errorf("a change to version %d where %d is held and the whole list was due", *l.Version, w.has)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			// One line for each time that discovery goes down, not one for each call meanwhile.
			if failed++; failed == 1 {
				w.log.Warn("list call failed", slog.String("reason", "LIST_FAILED"), slog.Any("error", err))
			}
			sure = false
			select {
			case <-ctx.Done():
			case <-time.After(retryAfter):
			}
			continue
		}
		if failed > 0 {
			w.log.Info("list call works again", slog.Int("failed", failed))
			failed = 0
		}
		sure, w.has = true, *l.Version
		if l.Full || len(l.Servers) > 0 {
			w.box.Put(l)
		}
	}
}

func (w *Watcher) fetch(ctx context.Context, url string, within time.Duration) (*List, error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.call.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return Decode(body)
}
