// Package front is the HTTP/1.1 server for the platform's clients. It accepts connections, parses requests and writes
// responses; the core makes all decisions.
package front

import (
	"context"
	"errors"
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
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/observability/requestlog"
	"spindlehitch/internal/process/listen"
)

const (
	maxTimeoutMs   = 10 * 60 * 1000
	maxHeaderBytes = 16 << 10
	// headerTimeout is how long a request's head may take to arrive, from its first byte or from the start of the connection.
	// Real clients take up to 2 s. A connection whose client is slower, or sends nothing, must be ended within 3 s.
	headerTimeout = 2500 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept open for another request, except during shutdown. An idle connection
	// counts against the few that clients may hold.
	defaultIdleTimeout = 2 * time.Second
	// drainTimeout and maxDrainBytes bound how much of a rejected body is read and discarded: the client must be able to
	// read its response before the connection is reset.
	drainTimeout  = 3 * time.Second
	maxDrainBytes = 64 << 20
	// drainRate is in bytes a second, over all connections: clients that send all that they can must not take the processor from others, and
	// the rest of one body of 60 MB is read within drainTimeout.
	drainRate = 24 << 20
	// backlogTimeout is how long a busy process may still accept the connections in the backlog before it closes the listener.
	backlogTimeout = 200 * time.Millisecond
	// partialRequestGrace is how long a request that has begun may still take to arrive once shutdown closes connections.
	partialRequestGrace = 150 * time.Millisecond
	// writeTimeout is how long a client may take to read a piece of its response.
	writeTimeout = 10 * time.Second
)

// Options configure the front.
type Options struct {
	Admission    Admission   // until SetAdmission
	MaxConns     int         // clients' connections at a time
	SoftMaxConns int         // above this number, those without a request are evicted
	Ready        func() bool // whether requests can be forwarded; nil: always
	ReadyOnly    bool        // serve /-/ready only: requests come in through another front
	Metrics      *metrics.Metrics
	BufferBudget *budget.Bytes // for bodies and pieces of them
	// OpenUpload opens an upload to a target, for a body that is too large to be buffered.
	OpenUpload func(ctx context.Context, target string, m *upstream.Request, length int64, wait time.Duration) (*upstream.Upload, error)
	Log        *slog.Logger
	RequestLog *requestlog.Log // nil: none
}

// Admission holds the classes and plans that requests may name, and the shutdown schedule for the longest timeout of their clients.
// It must not be changed once it has been passed to the front.
type Admission struct {
	Classes  map[string]bool
	Plans    map[string]bool
	Shutdown core.ShutdownSchedule
}

// Core is the part of core.Core that the front uses.
type Core interface {
	Submit(*core.Job) bool
	Cancel(*core.Job)
	Route(shard int, reply func(target string))
}

// Server is the front's HTTP server. Serve runs it, Stop ends it.
type Server struct {
	opt          Options
	core         Core
	http         http.Server
	listener     atomic.Pointer[net.Listener]
	acceptEnded  atomic.Pointer[chan struct{}] // closed once Serve accepts no more, and each connection that it accepted is in conns
	conns        *connTable
	stoppedAt    atomic.Pointer[time.Time] // when Stop was called
	terminatedAt atomic.Pointer[time.Time] // when SIGTERM came: the process may be killed soon
	handedOver   atomic.Bool               // HandOver was called
	superseded   atomic.Bool               // Supersede was called
	idleTimeout  time.Duration             // defaultIdleTimeout, except in tests
	admission    atomic.Pointer[Admission]
}

// New returns a front for the core.
func New(c Core, opt Options) *Server {
	s := &Server{opt: opt, core: c, idleTimeout: defaultIdleTimeout, conns: newConnTable(opt.MaxConns, opt.SoftMaxConns, opt.BufferBudget, opt.Log)}
	s.http = http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: core.NewShutdownSchedule(math.MaxInt64).RespondWithin + defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.conns.connState, ConnContext: withConn, ErrorLog: slog.NewLogLogger(opt.Log.Handler(), slog.LevelWarn)}
	s.SetAdmission(opt.Admission)
	return s
}

// SetAdmission changes what requests may name. Requests that were parsed before are not checked again.
func (s *Server) SetAdmission(a Admission) { s.admission.Store(&a) }

// Serve accepts and serves connections on l until Stop.
func (s *Server) Serve(l net.Listener) error {
	ended := make(chan struct{}) // closed on return; also ends the goroutine that closes idle connections
	defer close(ended)
	s.acceptEnded.Store(&ended)
	s.listener.Store(&l)
	go func() {
		tick := time.NewTicker(s.idleTimeout / 8)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
				s.conns.closeIdle(s.idleTimeout)
			}
		}
	}()
	err := s.http.Serve(trackingListener{l, s.conns})
	if errors.Is(err, http.ErrServerClosed) || s.stoppedAt.Load() != nil {
		return nil
	}
	return err
}

// HandOver records that a successor accepts on the same socket: Stop need not wait for new clients.
func (s *Server) HandOver() { s.handedOver.Store(true) }

// Supersede records that the next Stop begins since a successor serves, and not with SIGTERM: nothing will kill the process before its
// clients have sent the requests that they have begun, and have read their responses.
func (s *Server) Supersede() { s.superseded.Store(true) }

// Terminate records SIGTERM: from now on the shutdown schedule applies, also to a Stop that began after Supersede.
func (s *Server) Terminate() {
	now := time.Now()
	s.terminatedAt.CompareAndSwap(nil, &now)
}

// Delivering reports whether all that Stop still waits for is that clients read their responses.
func (s *Server) Delivering() bool {
	accepted := s.acceptEnded.Load()
	if s.stoppedAt.Load() == nil || accepted == nil {
		return false
	}
	select {
	case <-*accepted:
		return !s.conns.hasUndecided()
	default:
		return false
	}
}

// SetConnLimits changes how many client connections there may be, and above which number those without a request are evicted.
func (s *Server) SetConnLimits(maxConns, softMaxConns int) { s.conns.setLimits(maxConns, softMaxConns) }

// Stop shuts the front down. It is not ready from then on. It accepts connections while new clients may still arrive, serves
// requests on existing connections for a while, and then waits for open requests to finish, until the context ends. Requests of which
// only a part has come by then are dropped, unless the stop began after Supersede.
func (s *Server) Stop(ctx context.Context) error {
	now := time.Now()
	s.stoppedAt.Store(&now)
	s.conns.markStopping()
	if !s.superseded.Load() {
		s.Terminate()
	}
	schedule := s.admission.Load().Shutdown
	if s.handedOver.Load() {
		schedule.AcceptFor, schedule.ServeFor = 0, 0
	}
	core.SleepUntil(ctx, now.Add(schedule.AcceptFor))
	s.stopAccepting(ctx)
	if s.handedOver.Load() {
		s.awaitFirstRequests(ctx, now.Add(headerTimeout))
	}
	core.SleepUntil(ctx, now.Add(schedule.ServeFor))
	s.closeConns(ctx, now, schedule)
	return s.http.Shutdown(ctx)
}

// stopAccepting closes the listener. Without a handover it first accepts the connections in the backlog, for up to backlogTimeout: they
// would be reset, whereas after a handover the successor accepts them.
func (s *Server) stopAccepting(ctx context.Context) {
	l := s.listener.Load()
	if l == nil {
		return
	}
	for until := time.Now().Add(backlogTimeout); !s.handedOver.Load() && listen.HasPending(*l) && ctx.Err() == nil && time.Now().Before(until); {
		core.SleepUntil(ctx, time.Now().Add(time.Millisecond))
	}
	(*l).Close()
	// A connection that was accepted in this moment may not be in conns yet: without it, its request would be dropped.
	select {
	case <-*s.acceptEnded.Load():
	case <-time.After(backlogTimeout):
	case <-ctx.Done():
	}
}

// awaitFirstRequests waits, after a handover, for the requests of connections that have sent none yet, and closes each other connection once it
// has had its response: their clients connect to the successor.
func (s *Server) awaitFirstRequests(ctx context.Context, until time.Time) {
	for s.conns.closeServed() > 0 && ctx.Err() == nil && time.Now().Before(until) {
		core.SleepUntil(ctx, time.Now().Add(10*time.Millisecond))
	}
}

// closeConns closes each connection once it has no request, until none is left or only those that wait for their clients to close them,
// past the time for responses. http.Server.Shutdown drops requests that have been read but not started, and closes connections that it
// considers idle although a request is being read. So it is called after this, when only connections remain that their clients do not close.
func (s *Server) closeConns(ctx context.Context, stoppedAt time.Time, schedule core.ShutdownSchedule) {
	responseDeadline := stoppedAt.Add(schedule.RespondWithin)
	for ctx.Err() == nil {
		remaining, lingering := s.conns.closeForShutdown(s.dropsPartialRequests(schedule.ServeFor))
		if remaining == 0 || remaining == lingering && time.Now().After(responseDeadline) {
			return
		}
		core.SleepUntil(ctx, time.Now().Add(5*time.Millisecond))
	}
}

// dropsPartialRequests reports whether a request of which only a part has come is dropped by now: those have partialRequestGrace once the
// time in which requests are served is over, which counts from SIGTERM.
func (s *Server) dropsPartialRequests(serveFor time.Duration) bool {
	at := s.terminatedAt.Load()
	return at != nil && time.Now().After(at.Add(serveFor+partialRequestGrace))
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connFromContext(r.Context())
	conn.inHandler.Store(true)
	sized := conn.beginBody(r)
	arrived := conn.lastArrival()
	if isReadinessCheck(r) || s.opt.ReadyOnly || conn.overCap {
		s.serveAtOnce(w, r, conn)
		return
	}
	j, m, reqErr := s.parseHead(r, sized)
	var rejection *core.Response
	release := func() {}
	if reqErr == nil {
		reqErr, rejection, release = s.receiveBody(w, r, conn, j, m)
	}
	defer func() { release() }()
	switch {
	case reqErr != nil:
		s.opt.Metrics.CountOutcome(classOf(r), metrics.Failure)
		if reqErr.status != http.StatusRequestTimeout && reqErr.status != http.StatusServiceUnavailable {
			s.conns.paceError()
		}
		s.logRefusal(r, conn, reqErr.reason)
		s.rejectAndDrain(w, r, conn, reqErr)
		return
	case rejection != nil:
		s.opt.Metrics.CountOutcome(j.Class, metrics.Overload)
		s.logRefusal(r, conn, refusalReason(rejection))
		s.rejectAndDrain(w, r, conn, &requestError{retryAfter: rejection.RetryAfter, status: http.StatusServiceUnavailable, text: rejectedText})
		return
	}
	if m.Upload != nil {
		defer m.Upload.Close() // no effect once an attempt uses it
	} else {
		conn.claimRequest()
	}
	switch {
	case m.Upload != nil:
		arrived = j.Arrived
	case r.ContentLength != 0:
		arrived = conn.lastArrival()
	}
	counted := s.opt.Metrics.StartRequest(j.Class)
	defer counted.End(metrics.Failure) // unless another ending has been counted by then
	// The read deadline for the body must not expire while the request is open.
	if r.ContentLength != 0 && http.NewResponseController(w).SetReadDeadline(time.Time{}) != nil {
		panic(http.ErrAbortHandler)
	}
	j.Timeout = s.admission.Load().Shutdown.LimitTimeout(j.Timeout, arrived, s.terminatedAt.Load())
	// The core's goroutine must not wait for a client: the channel has room for the response.
	slot := &responseSlot{ch: make(chan core.Response, 1)}
	j.Arrived, j.Payload, j.Done = arrived, m, slot.put
	if conn.clientClosed(true) { // before this busy process got here
		panic(http.ErrAbortHandler)
	}
	if !s.core.Submit(j) {
		// Nothing was sent to a target: a retry is harmless.
		s.logRefusal(r, conn, "TOO_MANY_OPEN")
		conn.pace.count(1)
		if conn.closesAfterResponse() {
			w.Header().Set("Connection", "close")
		}
		s.writeResponse(w, core.Overloaded)
		counted.End(metrics.Overload)
		return
	}
	select {
	case resp := <-slot.ch:
		conn.responding.Store(true)
		if resp.Status == core.Rejected {
			conn.pace.count(1)
		}
		if conn.closesAfterResponse() || s.handedOver.Load() && s.stoppedAt.Load() != nil {
			w.Header().Set("Connection", "close")
		}
		if d, ok := resp.Payload.(core.Discarder); ok { // ends a read from a stalled target when the client disconnects
			defer context.AfterFunc(r.Context(), d.Discard)()
		}
		if !s.writeResponse(w, resp) {
			panic(http.ErrAbortHandler) // shows the client that the response is incomplete
		}
		counted.End(metricsOutcome(resp))
		if resp.OnWritten != nil {
			http.NewResponseController(w).Flush()
			resp.OnWritten()
		}
	case <-r.Context().Done():
		s.core.Cancel(j)
		slot.abandon()
		// After a plain return net/http would send an empty 200 response, which no target produced.
		panic(http.ErrAbortHandler)
	}
}

func isReadinessCheck(r *http.Request) bool { return r.URL.Path == "/-/ready" }

// serveAtOnce answers a readiness check, or a request that is not accepted whatever it is.
func (s *Server) serveAtOnce(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	conn.claimRequest()
	conn.pace.count(readyEvents)
	if conn.closesAfterResponse() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case isReadinessCheck(r):
		s.serveReady(w)
	case s.opt.ReadyOnly:
		http.NotFound(w, r)
	default:
		s.logRefusal(r, conn, "CAP")
		w.Header().Set("Connection", "close")
		s.writeResponse(w, core.Overloaded)
		s.opt.Metrics.CountOutcome(classOf(r), metrics.Overload)
	}
}

// Ready reports whether clients should send requests here.
func (s *Server) Ready() bool { return s.notReadyReason() == "" }

// notReadyReason returns why the front is not ready, empty if it is.
func (s *Server) notReadyReason() string {
	switch {
	case s.stoppedAt.Load() != nil:
		return "leaving"
	case s.opt.Ready != nil && !s.opt.Ready():
		return "no list of targets yet"
	}
	return ""
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// responseSlot passes the final response from the core's goroutine, which must not block, to a handler, which may have returned.
type responseSlot struct {
	mu        sync.Mutex // guards abandoned, and makes put and abandon exclude each other
	abandoned bool
	ch        chan core.Response // holds one response; never closed
}

func (s *responseSlot) put(resp core.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned {
		resp.Discard()
		return
	}
	s.ch <- resp
}

// abandon discards the response, also one that comes later: the handler returns without it.
func (s *responseSlot) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	select {
	case resp := <-s.ch:
		resp.Discard()
	default:
	}
}

// metricsOutcome returns the outcome that a response is counted under.
func metricsOutcome(resp core.Response) metrics.Outcome {
	switch resp.Status {
	case core.Served:
		return metrics.Success
	case core.Rejected:
		return metrics.Overload
	}
	return metrics.Failure
}

// writeResponse writes the final response, with a Content-Length or in chunks, so that the client can detect a truncated
// one. It reports whether all of it was written, as far as is known.
func (s *Server) writeResponse(w http.ResponseWriter, resp core.Response) bool {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout)) // the previous response's deadline may have passed
	switch resp.Status {
	case core.Served:
		if st, ok := resp.Payload.(*upstream.Stream); ok {
			return s.writeStream(w, st)
		}
		body, _ := resp.Payload.([]byte)
		h := w.Header()
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
	case core.Rejected:
		setRetryAfter(w, resp.RetryAfter)
		http.Error(w, rejectedText, http.StatusServiceUnavailable)
	case core.Conflict:
		w.Header().Set("Connection", "close")
		http.Error(w, "Request-Id: a request of that id is open or may have run", http.StatusConflict)
	default:
		http.Error(w, "failed: it may have run", http.StatusBadGateway)
	}
	return true
}

// writeStream forwards a response as it arrives, and flushes each piece.
func (s *Server) writeStream(w http.ResponseWriter, st *upstream.Stream) bool {
	defer st.Discard() // if it was not read to its end
	rc := http.NewResponseController(w)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	if st.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(st.Length, 10))
	}
	piece, done := upstream.AcquireBuffer()
	defer done()
	if size := int64(len(piece)); s.opt.BufferBudget.TryAcquire(size) {
		defer s.opt.BufferBudget.Release(size)
	} else {
		piece = make([]byte, 2<<10) // without budget it continues with a smaller buffer
	}
	for {
		n, err := st.Read(piece)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
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
