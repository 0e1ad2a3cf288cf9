package nvme

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/certs"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/process/mailbox"
)

// Options are the options of a Server.
type Options struct {
	Subsystem        string
	Namespaces       []Namespace
	QueueDepth       int
	MaxConns         int                      // hosts' connections at a time
	MaxBufferedBytes int64                    // data of all open commands
	Certs            *certs.Store             // TLS certificates; nil: no TLS
	Timeouts         map[string]time.Duration // of the commands of each class, as NVMe commands carry no deadline of their own
	Metrics          *metrics.Metrics         // nil: commands are not counted
	Shutdown         core.ShutdownSchedule
	Log              *slog.Logger
}

// Core is the part of core.Core that the Server uses.
type Core interface {
	Submit(*core.Job) bool
	Cancel(*core.Job)
}

const (
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 5 * time.Second
	maxIOQueues      = 16 // I/O queues of one controller
)

// Server is the NVMe over TCP front: it accepts hosts' connections, and submits their reads and writes to the core.
type Server struct {
	opt           Options
	core          Core
	namespaces    atomic.Pointer[map[uint32]*Namespace]
	bufferedBytes atomic.Int64 // data of the open commands
	health        healthCounters
	openCommands  atomic.Int64              // commands submitted to the core and not completed
	terminatedAt  atomic.Pointer[time.Time] // when SIGTERM came: the process may be killed soon
	superseded    atomic.Bool               // Supersede was called
	rejectNew     atomic.Bool               // new commands are rejected as retryable

	mu          sync.Mutex // guards the fields below
	controllers map[uint16]*controller
	queues      map[*queue]bool
	nextID      uint16
	listener    net.Listener
}

// New returns a Server for the core.
func New(c Core, opt Options) *Server {
	s := &Server{opt: opt, core: c, controllers: map[uint16]*controller{}, queues: map[*queue]bool{}}
	s.namespaces.Store(namespacesByID(opt.Namespaces))
	return s
}

// namespacesByID returns the namespaces by NSID.
func namespacesByID(list []Namespace) *map[uint32]*Namespace {
	m := make(map[uint32]*Namespace, len(list))
	for i := range list {
		m[list[i].ID] = &list[i]
	}
	return &m
}

// namespace returns the namespace with this NSID, or nil if there is none.
func (s *Server) namespace(id uint32) *Namespace { return (*s.namespaces.Load())[id] }

// controller is the controller of one association: an admin queue and its I/O queues. The association ends with the admin queue.
type controller struct {
	id             uint16
	server         *Server
	host           string     // the host's NQN
	mu             sync.Mutex // guards queues, cc, csts, acre and events
	queues         map[uint16]*queue
	cc             uint32
	csts           uint32
	acre           bool // the host enabled retry delays (ACRE)
	isDiscovery    bool
	events         asyncEvents
	errors         errorLog
	kato           time.Duration // keep-alive timeout; 0: none
	keepAliveTimer *time.Timer   // closes all queues unless a Keep Alive resets it; nil: no timeout
}

// Serve accepts connections until Stop closes the listener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	if s.opt.Certs != nil {
		stopped := make(chan struct{})
		defer close(stopped)
		go s.retireOldKeys(stopped)
	}
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // for example out of descriptors: open connections are still served
			continue
		}
		if s.opt.Certs != nil {
			c = tls.Server(c, s.opt.Certs.ServerConfig())
		}
		q := &queue{server: s, conn: c, outgoing: mailbox.New[[]byte](), closed: make(chan struct{}),
			cmds: map[uint16]*pending{}, transfers: newTransfers(), acceptedAt: time.Now()}
		s.mu.Lock()
		full := len(s.queues) >= s.opt.MaxConns && !s.evictUnconnected()
		if !full {
			s.queues[q] = true
		}
		s.mu.Unlock()
		if full {
			// No command has been received on it.
			c.Close()
			s.logClosed(q, "CAP")
			continue
		}
		go q.writeLoop()
		go q.readLoop()
	}
}

// keyCheckInterval is how often the hosts' certificates are checked against those that are accepted.
const keyCheckInterval = 100 * time.Millisecond

// retireOldKeys retires the connections of hosts whose certificates are no longer accepted: their open commands are
// completed, new ones are rejected as retryable, and then the connections are closed. It returns when Serve does.
func (s *Server) retireOldKeys(stopped <-chan struct{}) {
	tick := time.NewTicker(keyCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for q := range s.queues {
			if c := q.conn.(*tls.Conn); !q.keyRetired.Load() && q.connected.Load() && s.opt.Certs.VerifyClient(c.ConnectionState()) != nil {
				q.keyRetired.Store(true)
			}
			if q.keyRetired.Load() && q.idle() {
				q.closeAfterWrites("KEY_RETIRED")
			}
		}
		s.mu.Unlock()
	}
}

// evictUnconnected closes the connection that has been open longest without a Connect, so that silent connections do not
// lock out hosts. A connection whose Connect succeeded is never evicted. The caller holds s.mu.
func (s *Server) evictUnconnected() bool {
	var oldest *queue
	for q := range s.queues {
		if !q.connected.Load() && (oldest == nil || q.acceptedAt.Before(oldest.acceptedAt)) {
			oldest = q
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.queues, oldest)
	oldest.closeAfterWrites("CAP")
	return true
}

func (s *Server) logClosed(q *queue, reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s.opt.Log.Info("connection ended", slog.String("side", "host"), slog.String("peer", q.conn.RemoteAddr().String()),
		slog.String("reason", reason), slog.Int("requests", q.commandCount), slog.Int("queue", int(q.qid)))
}

// Supersede records that the next Stop begins since a successor serves, and not with SIGTERM: nothing will kill the process soon.
func (s *Server) Supersede() { s.superseded.Store(true) }

// Terminate records SIGTERM: commands that arrive from now on must be completed before the process may be killed.
func (s *Server) Terminate() {
	now := time.Now()
	s.terminatedAt.CompareAndSwap(nil, &now)
}

// Delivering reports whether all that Stop still waits for is that hosts read their completions.
func (s *Server) Delivering() bool { return s.rejectNew.Load() && s.openCommands.Load() == 0 }

// Stop accepts connections for Shutdown.AcceptFor, and serves commands on those that are open until Shutdown.ServeFor. Then
// it rejects new commands and those whose data is still on its way, waits for the open ones and closes all connections. If ctx
// ends first, it no longer waits for the open commands and returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	now := time.Now()
	if !s.superseded.Load() {
		s.Terminate()
	}
	core.SleepUntil(ctx, now.Add(s.opt.Shutdown.AcceptFor))
	s.mu.Lock()
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	core.SleepUntil(ctx, now.Add(s.opt.Shutdown.ServeFor))
	s.rejectNew.Store(true)
	for s.openCommands.Load() > 0 && ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
	}
	err := ctx.Err()
	s.mu.Lock()
	all := make([]*queue, 0, len(s.queues))
	for q := range s.queues {
		all = append(all, q)
	}
	s.mu.Unlock()
	for _, q := range all {
		q.rejectTransfers()
	}
	// The end of an admin queue ends its I/O queues: no command may be left on any by then.
	for _, q := range all {
		q.closeAfterWrites("LEAVING")
	}
	for _, q := range all {
		<-q.closed
	}
	return err
}
