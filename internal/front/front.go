// Package front is the platform's HTTP/1.1 side: it accepts, parses and answers, and decides nothing.
package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"spindlehitch/internal/core"
	"spindlehitch/internal/figures"
	"spindlehitch/internal/upstream"
)

const (
	maxTimeoutMs = 10 * 60 * 1000
	maxHead      = 16 << 10
	// requestWithin is how long a request, head and body, may take to come: from its first byte, or from the
	// connection's start. A client that is slower, or says nothing, is owed an end within 3 s.
	requestWithin = 2 * time.Second
	// idleFor is how long a connection is kept for a next request, but while the program leaves. Clients count it among
	// the few they may hold.
	idleFor = 2 * time.Second
	// drainFor and drainMost bound what is read of a refused body, to be thrown away: the client must be able to
	// read its answer before a reset takes it.
	drainFor  = 3 * time.Second
	drainMost = 64 << 20
	// writeWithin is how long a client may take to read its answer.
	writeWithin = 5 * time.Second
)

// Options set up the front.
type Options struct {
	Classes   map[string]bool
	Plans     map[string]bool
	MostConn  int         // clients' connections at a time
	EasyConn  int         // of these, how many may be without a request
	Ready     func() bool // whether requests can be sent on; nil: from the start
	ReadyOnly bool        // requests come in by another front
	Figures   *figures.Book
	Log       *slog.Logger
}

// Core is what the front needs of the core.
type Core interface {
	Submit(*core.Job) bool
	Depart(*core.Job)
}

// Server is the front.
type Server struct {
	opt      Options
	core     Core
	http     http.Server
	listener atomic.Pointer[net.Listener]
	conns    *connTable
	left     atomic.Pointer[time.Time] // when Stop was called
}

// New returns a front for the core.
func New(c Core, opt Options) *Server {
	s := &Server{opt: opt, core: c, conns: newConnTable(opt.MostConn, opt.EasyConn, opt.Log)}
	s.http = http.Server{Handler: s, ReadTimeout: requestWithin, IdleTimeout: 2 * core.AnswerBy, MaxHeaderBytes: maxHead,
		ConnState: s.conns.state, ConnContext: withConn, ErrorLog: slog.NewLogLogger(opt.Log.Handler(), slog.LevelWarn)}
	return s
}

// Serve accepts until Stop.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Store(&l)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		tick := time.NewTicker(idleFor / 8)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
				s.conns.endIdle(idleFor)
			}
		}
	}()
	err := s.http.Serve(listener{l, s.conns})
	if errors.Is(err, http.ErrServerClosed) || s.left.Load() != nil {
		return nil
	}
	return err
}

// Stop leaves ready at once, keeps accepting while clients may still come, serves them for a while on the connections
// they have, and then finishes what was taken until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	now := time.Now()
	s.left.Store(&now)
	s.conns.leave()
	core.Pause(ctx, now.Add(core.LingerFor))
	if l := s.listener.Load(); l != nil {
		(*l).Close()
	}
	core.Pause(ctx, now.Add(core.ServeFor))
	s.conns.endUnasked()
	return s.http.Shutdown(ctx)
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r.Context())
	arrived := conn.arrival()
	if ready := r.URL.Path == "/-/ready"; ready || s.opt.ReadyOnly || conn.extra {
		conn.claim()
		switch {
		case ready:
			s.ready(w)
		case s.opt.ReadyOnly:
			http.NotFound(w, r)
		default:
			w.Header().Set("Connection", "close")
			write(w, core.TooMany)
			s.opt.Figures.Ended(classOf(r), figures.Overload)
		}
		return
	}
	j, m, f := s.parse(r)
	if f == nil {
		m.Body, f = readBody(r)
	}
	if f != nil {
		s.opt.Figures.Ended(classOf(r), figures.Failure)
		refuseBad(w, r, conn, f)
		return
	}
	conn.claim()
	if len(m.Body) > 0 {
		arrived = conn.arrival()
	}
	seen := s.opt.Figures.Take(j.Class)
	defer seen.End(figures.Failure) // where nothing else is known by then
	// The time for the request to come must not run out on it while it is open.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	j.Patience = core.Cut(j.Patience, arrived, s.left.Load())
	// The core's goroutine must not wait for a client: the answer has a place of its own.
	final := make(chan core.Answer, 1)
	j.Arrived, j.Payload, j.Done = arrived, m, func(a core.Answer) { final <- a }
	if !s.core.Submit(j) {
		// Nothing of it was taken or sent: a repeat is harmless.
		write(w, core.TooMany)
		seen.End(figures.Overload)
		return
	}
	select {
	case a := <-final:
		write(w, a)
		seen.End(endingOf(a))
		if a.Written != nil {
			http.NewResponseController(w).Flush()
			a.Written()
		}
	case <-r.Context().Done():
		s.core.Depart(j)
		// A plain return would be answered with an empty 200, which no target made.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) ready(w http.ResponseWriter) {
	switch {
	case s.left.Load() != nil:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case s.opt.Ready != nil && !s.opt.Ready():
		http.Error(w, "no list of targets yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// refuseBad answers what could not be taken, before what is left of its body, and then reads that away for a while. None
// of these is a 429 or 503: a repeat would fare no better.
func refuseBad(w http.ResponseWriter, r *http.Request, conn *clientConn, f *fault) {
	rc := http.NewResponseController(w)
	// Without it net/http would first wait for the body, which may never come.
	rc.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	http.Error(w, f.text, f.status)
	flushed := rc.Flush() == nil
	conn.phase.CompareAndSwap(reading, spent)
	if flushed && f.status != http.StatusRequestTimeout && rc.SetReadDeadline(time.Now().Add(drainFor)) == nil {
		io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(r.Body, drainMost), make([]byte, 16<<10))
	}
}

// endingOf is the number that an answer counts under.
func endingOf(a core.Answer) figures.Ending {
	switch a.Ending {
	case core.Served:
		return figures.Success
	case core.Refused:
		return figures.Overload
	}
	return figures.Failure
}

// write gives the one final answer. Its length is told ahead, so that a cut one shows.
func write(w http.ResponseWriter, a core.Answer) {
	switch a.Ending {
	case core.Served:
		body, _ := a.Payload.([]byte)
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeWithin))
		h := w.Header()
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(http.StatusOK)
		w.Write(body)
	case core.Refused:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", fmt.Sprintf("%.3f", a.RetryAfter.Seconds()))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
	case core.Conflict:
		w.Header().Set("Connection", "close")
		http.Error(w, "Request-Id: a request of that id is open or may have run", http.StatusConflict)
	default:
		http.Error(w, "failed: it may have run", http.StatusBadGateway)
	}
}

var _ Core = (*core.Core)(nil)
var _ core.Upstream = (*upstream.Registry)(nil)
