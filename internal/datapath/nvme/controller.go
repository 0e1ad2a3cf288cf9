package nvme

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/certs"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/process/listen"
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

// queue is one connection of a host. readLoop handles the received PDUs and ends when the connection fails or is closed.
// writeLoop writes the PDUs in outgoing, ends at a nil or a failed write, and closes the connection.
type queue struct {
	server      *Server
	conn        net.Conn
	outgoing    *mailbox.Box[[]byte]
	closed      chan struct{} // closed by close, at its end
	closeOnce   sync.Once     // for closeReason and the nil in outgoing
	closeReason string

	bytesRead  atomic.Int64
	keyRetired atomic.Bool // the host's certificate is no longer accepted: new commands are rejected
	acceptedAt time.Time
	connected  atomic.Bool // Connect has succeeded, and ctrl is set
	framing    framing     // set before the first command
	ctrl       *controller // this and the next two fields are set by Connect, under mu
	qid        uint16
	size       uint16

	mu           sync.Mutex // guards the fields below
	sqhd         uint16
	commandCount int
	cmds         map[uint16]*pending // open commands by command id; nil once the connection is closed
	transfers    transfers
}

// pending is a command that has not been completed. Its fields are written by readLoop, under queue.mu where other goroutines
// use them, except for unanswered and responses, which completePart writes under queue.mu.
type pending struct {
	cmd        command
	io         *IO
	ns         *Namespace       // as it was when the command was received
	transfer   *transfer        // of its data, while that is on its way; nil: none is
	jobs       []*core.Job      // the command's parts, once they are submitted to the core
	unanswered int              // jobs without a response
	responses  []core.Response  // to jobs, in their order
	stats      *metrics.Request // nil: not counted
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

// idle reports whether no read or write is open on the queue and, for an admin queue, whether it has no I/O queues left.
func (q *queue) idle() bool {
	q.mu.Lock()
	for _, p := range q.cmds {
		if p.io != nil {
			q.mu.Unlock()
			return false
		}
	}
	ctrl, admin := q.ctrl, q.qid == 0
	q.mu.Unlock()
	if !admin {
		return true
	}
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	return len(ctrl.queues) <= 1
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
		q.closeAfterWrites("LEAVING")
	}
	for _, q := range all {
		<-q.closed
	}
	return err
}

// closeAfterWrites closes the connection once the PDUs sent before have been written. Only the first call has an effect; its
// reason is logged.
func (q *queue) closeAfterWrites(reason string) {
	q.closeOnce.Do(func() {
		q.closeReason = reason
		q.outgoing.Put(nil)
	})
}

// writeLoop writes the PDUs in the mailbox. It closes the connection and returns at a nil, or when a write fails.
func (q *queue) writeLoop() {
	var spare [][]byte
	for {
		<-q.outgoing.Wake()
		batch := q.outgoing.Take(spare)
		for _, b := range batch {
			if b == nil {
				q.close()
				return
			}
			q.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := q.conn.Write(b); err != nil {
				q.closeAfterWrites("HOST_WRITE_FAILED")
				q.close()
				return
			}
		}
		spare = batch
	}
}

// close closes the connection, drops its open commands and, if it is the admin queue, ends the association. What the host
// still sends is read and discarded: a reset could discard the last PDU, such as a termination request, before the host
// has read it.
func (q *queue) close() {
	_ = listen.CloseWrite(q.conn)
	q.mu.Lock()
	open, ctrl := q.cmds, q.ctrl
	q.cmds = nil
	q.mu.Unlock()
	for _, p := range open {
		q.drop(p)
	}
	if ctrl != nil {
		ctrl.removeQueue(q)
	}
	q.server.logClosed(q, q.closeReason)
	_ = listen.DrainAndClose(q.conn)
	q.server.mu.Lock()
	delete(q.server.queues, q) // only now, as MaxConns bounds descriptors, and the connection had one until here
	q.server.mu.Unlock()
	close(q.closed)
}

// drop releases and cancels a command that will not be completed, as its connection is closed.
func (q *queue) drop(p *pending) {
	q.mu.Lock()
	q.release(p)
	q.mu.Unlock()
	q.cancelJobs(p)
}

// cancelJobs cancels the command's parts in the core.
func (q *queue) cancelJobs(p *pending) {
	for _, j := range p.jobs {
		q.server.core.Cancel(j)
	}
}

// release returns what an open command holds: its bytes and its place among the open commands. Data that is still on its way is discarded.
// The caller holds mu.
func (q *queue) release(p *pending) {
	p.stats.End(metrics.Failure) // no effect if complete has counted it: otherwise its connection was closed
	if p.transfer != nil {
		q.transfers.abandon(p.transfer)
	}
	if p.io != nil {
		q.server.bufferedBytes.Add(-int64(p.io.Bytes))
	}
	if p.jobs != nil {
		q.server.openCommands.Add(-1)
	}
}

// readLoop handles PDUs until the connection fails, and then has it closed. A protocol error is answered with a termination
// request.
func (q *queue) readLoop() {
	err := q.servePDUs()
	var f *fatalError
	var timeout net.Error
	var notTLS tls.RecordHeaderError
	reason := "HOST_CLOSED"
	switch {
	case errors.As(err, &f):
		q.outgoing.Put(termPDU(typeC2HTerm, f))
		reason = "PROTOCOL_ERROR"
		q.server.opt.Log.Warn("host broke the protocol", slog.String("error", f.Error()))
	case errors.Is(err, errHostTerminated):
		reason = "HOST_TERMINATED"
	case errors.As(err, &timeout) && timeout.Timeout():
		reason = "HANDSHAKE_SLOW"
	case errors.Is(err, certs.ErrPeerRejected), errors.As(err, &notTLS):
		reason = "TLS_REFUSED"
	case err != nil && err.Error() != "EOF":
		reason = "HOST_RESET"
	}
	q.closeAfterWrites(reason)
}

var errHostTerminated = errors.New("host sent a termination request")

// servePDUs negotiates the framing and handles PDUs until the connection fails or the host violates the protocol. The
// handshake timeout covers everything up to a successful Connect.
func (q *queue) servePDUs() error {
	in := bufio.NewReaderSize(&countingReader{q.conn, &q.bytesRead}, 16<<10)
	q.conn.SetDeadline(time.Now().Add(handshakeTimeout)) // for writes as well, as the TLS handshake writes
	p, err := readPDU(in, framing{})
	if err != nil {
		return err
	}
	if p.kind != typeICReq {
		return &fatalError{fes: fesSequence, cause: "connection must begin with ICReq", head: p.head}
	}
	switch {
	case p.u16(8) != 0:
		return &fatalError{fes: fesUnsupported, fei: 8, cause: "unsupported PDU format version", head: p.head}
	case p.head[10] > maxPDA:
		return &fatalError{fes: fesInvalidHeader, fei: 10, cause: "data alignment out of range", head: p.head}
	}
	digests := p.head[11] & (digestHeader | digestData)
	q.framing = framing{hdigest: digests&digestHeader != 0, ddigest: digests&digestData != 0, pda: int(p.head[10])}
	q.outgoing.Put(appendPDU(nil, framing{}, typeICResp, 0, icHead(digests, maxH2CData), nil))
	first := true
	for {
		p, err := readPDU(in, framing{hdigest: q.framing.hdigest, ddigest: q.framing.ddigest})
		if err != nil {
			return err
		}
		switch p.kind {
		case typeCmd:
			if err := q.handleCommand(p); err != nil {
				return err
			}
			if first && q.ctrl != nil {
				first = false
				q.conn.SetReadDeadline(time.Time{})
			}
		case typeH2CData:
			if err := q.handleData(p); err != nil {
				return err
			}
		case typeH2CTerm:
			return errHostTerminated
		default:
			return &fatalError{fes: fesSequence, cause: "PDU type is not valid from a host", head: p.head}
		}
	}
}

// send puts a PDU, in the negotiated framing, into the mailbox of writeLoop.
func (q *queue) send(kind, flags byte, head, data []byte) {
	q.outgoing.Put(appendPDU(nil, q.framing, kind, flags, head, data))
}

// complete completes a command, with its data sent first. It returns false, and does nothing, if the command was completed or
// dropped before.
func (q *queue) complete(p *pending, st status, result uint64, data []byte) bool {
	cid := p.cmd.cid()
	q.mu.Lock()
	if q.cmds[cid] != p {
		q.mu.Unlock()
		return false
	}
	delete(q.cmds, cid)
	if q.ctrl != nil && st != stOK {
		q.ctrl.errors.add(q.qid, &p.cmd, st)
	}
	for at := 0; at < len(data); at += maxH2CData {
		part := data[at:min(at+maxH2CData, len(data))]
		flags := byte(0)
		if at+len(part) == len(data) {
			flags = flagLast
		}
		q.send(typeC2HData, flags, dataHead(cid, 0, uint32(at), uint32(len(part))), part)
	}
	q.send(typeResp, 0, completion{result: result, sqhd: q.sqhd, sqid: q.qid, cid: cid, status: st}.head(), nil)
	p.stats.End(metricsOutcome(st))
	q.release(p) // once the completion is in the mailbox: Stop closes connections as soon as no command is open
	q.mu.Unlock()
	return true
}

// handleCommand handles a command capsule.
func (q *queue) handleCommand(pd *pdu) error {
	p := &pending{}
	copy(p.cmd[:], pd.head[commonLen:])
	cid := p.cmd.cid()
	q.mu.Lock()
	q.commandCount++
	if q.size > 0 {
		q.sqhd = (q.sqhd + 1) % q.size
	}
	if q.cmds == nil {
		q.mu.Unlock()
		return nil // the connection is being closed
	}
	if q.size > 0 && len(q.cmds) >= int(q.size) {
		q.mu.Unlock()
		return &fatalError{fes: fesSequence, cause: "more open commands than the queue has entries", head: pd.head}
	}
	if q.cmds[cid] != nil {
		q.send(typeResp, 0, completion{sqhd: q.sqhd, sqid: q.qid, cid: cid, status: stCIDConflict | dnr}.head(), nil)
		q.mu.Unlock()
		return nil
	}
	q.cmds[cid] = p
	q.mu.Unlock()
	switch {
	case p.cmd[1]&0xC0 != 0x40 || p.cmd[1]&3 != 0:
		q.complete(p, stInvalidField|dnr, 0, nil) // fabrics require SGLs, and fused commands are not supported
	case pd.dataError:
		q.complete(p, stTransient, 0, nil) // the command was not started: a retry is harmless
	case q.ctrl == nil:
		q.handleConnect(p, pd.data)
	case p.cmd.op() == opFabrics:
		q.handleFabrics(p)
	case q.qid == 0:
		q.handleAdmin(p, pd.data)
	default:
		return q.handleIO(p, pd.data)
	}
	return nil
}

// handleIO handles a command of the NVM command set. Data from the host is in the capsule, or is requested with R2T.
func (q *queue) handleIO(p *pending, data []byte) error {
	s, c := q.server, &p.cmd
	ns := s.namespace(c.nsid())
	switch c.op() {
	case opFlush:
		// There is no volatile write cache to flush: completed writes are durable (see capabilities.writeCache for targets that
		// have one).
		if ns == nil && c.nsid() != allNamespaces {
			q.complete(p, stInvalidNS|dnr, 0, nil)
		} else {
			q.complete(p, stOK, 0, nil)
		}
		return nil
	case opRead, opWrite, opCompare, opWriteZeroes, opDatasetManagement:
	default:
		q.complete(p, stInvalidOpcode|dnr, 0, nil)
		return nil
	}
	if ns == nil {
		q.complete(p, stInvalidNS|dnr, 0, nil)
		return nil
	}
	if c.op() == opDatasetManagement {
		q.complete(p, ns.checkDatasetManagement(c, data), 0, nil)
		return nil
	}
	x := &IO{Write: c.op() == opWrite || c.op() == opWriteZeroes, NSID: ns.ID, SLBA: c.slba(), Blocks: c.blocks()}
	length := int(x.Blocks) * ns.BlockBytes
	needsHostData := c.op() == opWrite || c.op() == opCompare
	inCapsule, lengthMatches := c.sglType() == sglOffset, int(c.sglLen()) == length
	if c.op() == opWriteZeroes {
		inCapsule, lengthMatches = false, len(data) == 0 // no data pointer
	}
	switch {
	case x.SLBA >= ns.Blocks || uint64(x.Blocks) > ns.Blocks-x.SLBA:
		q.complete(p, stLBARange|dnr, 0, nil)
	case length > maxTransfer, !lengthMatches, c.op() != opWriteZeroes && c.sglType() != sglOffset && c.sglType() != sglTransport,
		inCapsule && (!needsHostData || len(data) != length || length > maxInCapsuleData), !inCapsule && len(data) > 0:
		q.complete(p, stInvalidField|dnr, 0, nil)
	case s.rejectNew.Load(), q.keyRetired.Load(), s.bufferedBytes.Load()+int64(length) > s.opt.MaxBufferedBytes:
		q.reject(p)
	default:
		x.Bytes = length
		// If the connection was closed meanwhile, the command was released: bytes that it took now would never be returned.
		q.mu.Lock()
		dropped := q.cmds[c.cid()] != p
		if !dropped {
			p.io, p.ns = x, ns
			s.bufferedBytes.Add(int64(length))
		}
		q.mu.Unlock()
		switch {
		case dropped:
		case c.op() == opWriteZeroes:
			x.Data = make([]byte, length)
			q.submit(p)
		case !needsHostData:
			q.submit(p)
		case inCapsule:
			x.Data = data
			q.submit(p)
		default:
			q.requestData(p)
		}
	}
	return nil
}

// submit submits the command to the core, split into parts if it spans several shards. From here on the command ends with
// the core's responses, unless it is aborted or its connection is closed.
func (q *queue) submit(p *pending) {
	parts := p.ns.splitByShard(p.io)
	jobs := make([]*core.Job, len(parts))
	now := time.Now()
	for i, x := range parts {
		j := &core.Job{Request: p.ns.request(x), Arrived: now, Payload: x}
		j.Timeout = q.server.opt.Shutdown.LimitTimeout(q.server.opt.Timeouts[j.Class], now, q.server.terminatedAt.Load())
		j.Done = func(r core.Response) { q.completePart(p, i, r) }
		jobs[i] = j
	}
	// Under the lock, so that an Abort finds either none or all of the command's parts submitted. Submit does not block, and
	// never calls Done itself.
	q.mu.Lock()
	if q.cmds[p.cmd.cid()] != p {
		q.mu.Unlock()
		return
	}
	if m := q.server.opt.Metrics; m != nil {
		p.stats = m.StartRequest(jobs[0].Class)
	}
	p.jobs, p.unanswered, p.responses = jobs, len(jobs), make([]core.Response, len(jobs))
	q.server.openCommands.Add(1)
	// Stop sets rejectNew before it waits for openCommands to reach zero: a command that is counted too late must not be submitted.
	rejectAll := q.server.rejectNew.Load()
	var rejected []int
	for i, j := range jobs {
		if rejectAll || !q.server.core.Submit(j) {
			rejected = append(rejected, i)
		}
	}
	q.mu.Unlock()
	for _, i := range rejected {
		q.completePart(p, i, core.Overloaded)
	}
}

// completePart records the response to a part of a command. The last one completes the command.
func (q *queue) completePart(p *pending, i int, response core.Response) {
	q.mu.Lock()
	p.responses[i] = response
	p.unanswered--
	last := p.unanswered == 0
	q.mu.Unlock()
	if !last {
		return
	}
	st, body := mergeResponses(p.io, p.jobs, p.responses, q.ctrl.retryDelaysEnabled())
	switch {
	case st == stOK && p.cmd.op() == opCompare:
		if !bytes.Equal(body, p.io.Data) {
			st = stCompareFailure
		}
		body = nil
	case st == stOK:
		q.server.health.count(p.io)
	}
	q.complete(p, st, 0, body)
	for _, r := range p.responses {
		if r.OnWritten != nil {
			r.OnWritten()
		}
	}
}

// abort completes a command as aborted and cancels it in the core. It returns false if no such command is open.
func (q *queue) abort(cid uint16) bool {
	q.mu.Lock()
	p := q.cmds[cid]
	q.mu.Unlock()
	if p == nil || !q.complete(p, stAborted|dnr, 0, nil) {
		return false
	}
	q.cancelJobs(p)
	return true
}

// eui64Of returns a namespace's EUI-64, which is its volume's id.
func eui64Of(ns *Namespace) []byte {
	n, _ := strconv.ParseUint(ns.Volume, 16, 64)
	return binary.BigEndian.AppendUint64(nil, n)
}
