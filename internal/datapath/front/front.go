// Package front is the platform's HTTP/1.1 side: it accepts, parses and answers, and decides nothing.
package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/observability/figures"
	"spindlehitch/internal/process/listen"
)

const (
	maxTimeoutMs = 10 * 60 * 1000
	maxHead      = 16 << 10
	// headWithin is how long a head may take to come: from its first byte, or from the connection's start. True clients
	// take up to 2 s. One that is slower, or says nothing, is owed an end within 3 s.
	headWithin = 2500 * time.Millisecond
	// idleFor is how long a connection is kept for a next request, but while the program leaves. Clients count it among
	// the few they may hold.
	idleFor = 2 * time.Second
	// drainFor and drainMost bound what is read of a refused body, to be thrown away: the client must be able to
	// read its answer before a reset takes it.
	drainFor  = 3 * time.Second
	drainMost = 64 << 20
	// takeWithin is how long a process that is behind may still take connections that came before it stopped to listen.
	takeWithin = 200 * time.Millisecond
	// lastBytes is how long a request may still take to come whole once connections are ended because the program leaves.
	lastBytes = 150 * time.Millisecond
	// writeWithin is how long a client may take to read a piece of its answer.
	writeWithin = 10 * time.Second
)

// Options set up the front.
type Options struct {
	Admits    Admits      // at first
	MostConn  int         // clients' connections at a time
	EasyConn  int         // of these, how many may be without a request
	Ready     func() bool // whether requests can be sent on; nil: from the start
	ReadyOnly bool        // requests come in by another front
	Figures   *figures.Metrics
	Room      *budget.Bytes // for bodies and pieces of them
	// Ahead opens a large body's way to a target.
	Ahead func(ctx context.Context, node string, m *upstream.Message, length int64, wait time.Duration) (*upstream.Upload, error)
	Log   *slog.Logger
}

// Admits is what requests may name, and how the front leaves for the longest that their clients wait. It isn't changed once it is given.
type Admits struct {
	Classes map[string]bool
	Plans   map[string]bool
	Leave   core.Leave
}

// Core is what the front needs of the core.
type Core interface {
	Submit(*core.Job) bool
	Depart(*core.Job)
	Route(shard int, reply func(node string))
}

// Server is the front.
type Server struct {
	opt      Options
	core     Core
	http     http.Server
	listener atomic.Pointer[net.Listener]
	conns    *connTable
	left     atomic.Pointer[time.Time] // when Stop was called
	handed   atomic.Bool
	idle     time.Duration // idleFor
	admits   atomic.Pointer[Admits]
}

// New returns a front for the core.
func New(c Core, opt Options) *Server {
	s := &Server{opt: opt, core: c, idle: idleFor, conns: newConnTable(opt.MostConn, opt.EasyConn, opt.Room, opt.Log)}
	s.http = http.Server{Handler: s, ReadHeaderTimeout: headWithin, IdleTimeout: core.LeaveWithin(math.MaxInt64).Answer + idleFor, MaxHeaderBytes: maxHead,
		ConnState: s.conns.state, ConnContext: withConn, ErrorLog: slog.NewLogLogger(opt.Log.Handler(), slog.LevelWarn)}
	s.Admit(opt.Admits)
	return s
}

// Admit says what requests may name from now on. What was taken before is not asked again.
func (s *Server) Admit(a Admits) { s.admits.Store(&a) }

// Serve accepts until Stop.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Store(&l)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		tick := time.NewTicker(s.idle / 8)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
				s.conns.endIdle(s.idle)
			}
		}
	}()
	err := s.http.Serve(listener{l, s.conns})
	if errors.Is(err, http.ErrServerClosed) || s.left.Load() != nil {
		return nil
	}
	return err
}

// HandOver tells that a successor takes clients at the same socket: Stop need not wait for any.
func (s *Server) HandOver() { s.handed.Store(true) }

// Bound sets how many connections of clients there may be, and how many without a request, from now on.
func (s *Server) Bound(most, easy int) { s.conns.bound(most, easy) }

// Stop leaves ready at once, keeps accepting while clients may still come, serves them for a while on the connections
// they have, and then finishes what was taken until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	now := time.Now()
	s.left.Store(&now)
	s.conns.leave()
	how := s.admits.Load().Leave
	if s.handed.Load() {
		how.Linger, how.Serve = 0, 0
	}
	core.Pause(ctx, now.Add(how.Linger))
	if l := s.listener.Load(); l != nil {
		// What the machine has accepted and nobody has taken would be reset. At a successor's socket it is the successor's.
		for until := time.Now().Add(takeWithin); !s.handed.Load() && listen.Waiting(*l) && ctx.Err() == nil && time.Now().Before(until); {
			core.Pause(ctx, time.Now().Add(time.Millisecond))
		}
		(*l).Close()
	}
	// Clients of a successor go to it by themselves: each connection ends with its answer, and those that have just been
	// made, and have brought no request yet, have their time for one.
	for until := now.Add(headWithin); s.handed.Load() && s.conns.endAsked() > 0 && ctx.Err() == nil && time.Now().Before(until); {
		core.Pause(ctx, time.Now().Add(10*time.Millisecond))
	}
	core.Pause(ctx, now.Add(how.Serve))
	// net/http drops what it has read once it shuts down, and closes an idle connection in whose request it is just reading. So
	// that comes last, when there is none left but for those whose clients do not close them.
	hurry, over := now.Add(how.Serve+lastBytes), now.Add(how.Answer)
	for ctx.Err() == nil {
		left, waiting := s.conns.endAll(time.Now().After(hurry))
		if left == 0 || left == waiting && time.Now().After(over) {
			break
		}
		core.Pause(ctx, time.Now().Add(5*time.Millisecond))
	}
	return s.http.Shutdown(ctx)
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r.Context())
	conn.taken.Store(true)
	arrived := conn.arrival()
	if ready := r.URL.Path == "/-/ready"; ready || s.opt.ReadyOnly || conn.extra {
		conn.claim()
		conn.next()
		if conn.ends() {
			w.Header().Set("Connection", "close")
		}
		switch {
		case ready:
			s.ready(w)
		case s.opt.ReadyOnly:
			http.NotFound(w, r)
		default:
			w.Header().Set("Connection", "close")
			s.write(w, core.TooMany)
			s.opt.Figures.CountOutcome(classOf(r), figures.Overload)
		}
		return
	}
	j, m, f := s.parse(r)
	var early *core.Answer
	free := func() {}
	if f == nil {
		f, early, free = s.receive(w, r, conn, j, m)
	}
	defer func() { free() }()
	switch {
	case f != nil:
		s.opt.Figures.CountOutcome(classOf(r), figures.Failure)
		refuseBad(w, r, conn, f)
		return
	case early != nil:
		s.opt.Figures.CountOutcome(j.Class, figures.Overload)
		refuseBad(w, r, conn, &fault{after: early.RetryAfter, status: http.StatusServiceUnavailable, text: refusedText})
		return
	}
	if m.Upload != nil {
		defer m.Upload.Close() // where no attempt has taken it over
	} else {
		conn.claim()
	}
	if r.ContentLength != 0 {
		arrived = conn.arrival()
	}
	seen := s.opt.Figures.StartRequest(j.Class)
	defer seen.End(figures.Failure) // where nothing else is known by then
	// The time for the request to come must not run out on it while it is open.
	if r.ContentLength != 0 && http.NewResponseController(w).SetReadDeadline(time.Time{}) != nil {
		panic(http.ErrAbortHandler)
	}
	j.Patience = s.admits.Load().Leave.Cut(j.Patience, arrived, s.left.Load())
	// The core's goroutine must not wait for a client: the answer has a place of its own.
	final := &handOver{answer: make(chan core.Answer, 1)}
	j.Arrived, j.Payload, j.Done = arrived, m, final.put
	conn.next()
	if conn.gone(true) { // while the process was behind
		panic(http.ErrAbortHandler)
	}
	if !s.core.Submit(j) {
		// Nothing of it was taken or sent: a repeat is harmless.
		if conn.ends() {
			w.Header().Set("Connection", "close")
		}
		s.write(w, core.TooMany)
		seen.End(figures.Overload)
		return
	}
	select {
	case a := <-final.answer:
		if conn.ends() || s.handed.Load() && s.left.Load() != nil {
			w.Header().Set("Connection", "close")
		}
		if d, ok := a.Payload.(core.Discarder); ok { // its target may stand still when the client leaves
			defer context.AfterFunc(r.Context(), d.Discard)()
		}
		if !s.write(w, a) {
			panic(http.ErrAbortHandler) // the client must see that it is not whole
		}
		seen.End(endingOf(a))
		if a.Written != nil {
			http.NewResponseController(w).Flush()
			a.Written()
		}
	case <-r.Context().Done():
		s.core.Depart(j)
		final.leave()
		// A plain return would be answered with an empty 200, which no target made.
		panic(http.ErrAbortHandler)
	}
}

// Ready tells whether clients are invited.
func (s *Server) Ready() bool { return s.unready() == "" }

// unready is why clients are not invited; empty: they are.
func (s *Server) unready() string {
	switch {
	case s.left.Load() != nil:
		return "leaving"
	case s.opt.Ready != nil && !s.opt.Ready():
		return "no list of targets yet"
	}
	return ""
}

func (s *Server) ready(w http.ResponseWriter) {
	if why := s.unready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handOver is how a final answer gets from the core's goroutine, which must not wait, to a handler, which may have left.
type handOver struct {
	mu     sync.Mutex
	left   bool
	answer chan core.Answer
}

func (h *handOver) put(a core.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.left {
		a.Discard()
		return
	}
	h.answer <- a
}

// leave tells that nobody takes an answer any more.
func (h *handOver) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left = true
	select {
	case a := <-h.answer:
		a.Discard()
	default:
	}
}

// refusedText goes with each refusal.
const refusedText = "refused: trying again is harmless"

// refuseBad answers what could not be taken, before what is left of its body, and then reads that away for a while. A 503
// is for want of room; with all others a repeat would fare no better.
func refuseBad(w http.ResponseWriter, r *http.Request, conn *clientConn, f *fault) {
	rc := http.NewResponseController(w)
	// Without it net/http would first wait for the body, which may never come.
	_ = rc.EnableFullDuplex()
	_ = rc.SetWriteDeadline(time.Now().Add(writeWithin))
	w.Header().Set("Connection", "close")
	retryAfter(w, f.after)
	http.Error(w, f.text, f.status)
	flushed := rc.Flush() == nil
	if !conn.phase.CompareAndSwap(reading, spent) {
		conn.phase.CompareAndSwap(active, spent)
	}
	if flushed && f.status != http.StatusRequestTimeout && rc.SetReadDeadline(time.Now().Add(drainFor)) == nil {
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(r.Body, drainMost), make([]byte, 16<<10))
	}
}

// endingOf is the number that an answer counts under.
func endingOf(a core.Answer) figures.Outcome {
	switch a.Ending {
	case core.Served:
		return figures.Success
	case core.Refused:
		return figures.Overload
	}
	return figures.Failure
}

func retryAfter(w http.ResponseWriter, wait time.Duration) {
	if wait > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", wait.Seconds()))
	}
}

// write gives the one final answer. Its length is told ahead, or it comes in chunks, so that a cut one shows. It tells
// whether all of it was written, as far as is known.
func (s *Server) write(w http.ResponseWriter, a core.Answer) bool {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeWithin)) // that of an answer before may be over
	switch a.Ending {
	case core.Served:
		if st, ok := a.Payload.(*upstream.Stream); ok {
			return s.pass(w, st)
		}
		body, _ := a.Payload.([]byte)
		h := w.Header()
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
	case core.Refused:
		retryAfter(w, a.RetryAfter)
		http.Error(w, refusedText, http.StatusServiceUnavailable)
	case core.Conflict:
		w.Header().Set("Connection", "close")
		http.Error(w, "Request-Id: a request of that id is open or may have run", http.StatusConflict)
	default:
		http.Error(w, "failed: it may have run", http.StatusBadGateway)
	}
	return true
}

// pass writes an answer as it comes, each piece at once.
func (s *Server) pass(w http.ResponseWriter, st *upstream.Stream) bool {
	defer st.Discard() // if it has not ended by itself
	rc := http.NewResponseController(w)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	if st.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(st.Length, 10))
	}
	piece, done := upstream.Piece()
	defer done()
	if room := int64(len(piece)); s.opt.Room.Take(room) {
		defer s.opt.Room.Give(room)
	} else {
		piece = make([]byte, 2<<10) // it goes on, more slowly
	}
	for {
		n, err := st.Read(piece)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeWithin))
			if _, err := w.Write(piece[:n]); err != nil || rc.Flush() != nil {
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

var _ Core = (*core.Core)(nil)
var _ core.Upstream = (*upstream.Registry)(nil)
