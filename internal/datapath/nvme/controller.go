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

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/keys"
	"spindlehitch/internal/observability/figures"
	"spindlehitch/internal/process/listen"
	"spindlehitch/internal/process/mailbox"
)

// Options set up the controller side.
type Options struct {
	Subsystem        string
	Namespaces       []Namespace
	QueueDepth       int
	MaxConns         int                      // hosts' connections at a time
	MaxBufferedBytes int64                    // data of commands held at a time
	Keys             *keys.Store              // TLS, where there are any
	Timeouts         map[string]time.Duration // of each class: NVMe commands carry no deadline of their own
	Figures          *figures.Book            // nil: none are kept
	Shutdown         core.ShutdownSchedule
	Log              *slog.Logger
}

// Core is what the front needs of the core.
type Core interface {
	Submit(*core.Job) bool
	Cancel(*core.Job)
}

const (
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 5 * time.Second
	maxIOQueues      = 16 // I/O queues of one controller
)

// Server is the NVMe over TCP front.
type Server struct {
	opt           Options
	core          Core
	namespaces    atomic.Pointer[map[uint32]*Namespace]
	bufferedBytes atomic.Int64
	health        healthCounters
	openCommands  atomic.Int64              // commands in the core
	stopTime      atomic.Pointer[time.Time] // when Stop was called
	rejectNew     atomic.Bool               // new commands are turned away

	mu          sync.Mutex
	controllers map[uint16]*controller
	queues      map[*queue]bool
	nextID      uint16
	listener    net.Listener
}

// New returns a front for the core.
func New(c Core, opt Options) *Server {
	s := &Server{opt: opt, core: c, controllers: map[uint16]*controller{}, queues: map[*queue]bool{}}
	s.namespaces.Store(namespacesByID(opt.Namespaces))
	return s
}

func namespacesByID(list []Namespace) *map[uint32]*Namespace {
	m := make(map[uint32]*Namespace, len(list))
	for i := range list {
		m[list[i].ID] = &list[i]
	}
	return &m
}

func (s *Server) namespace(id uint32) *Namespace { return (*s.namespaces.Load())[id] }

// controller is one association: an admin queue and its I/O queues.
type controller struct {
	id             uint16
	server         *Server
	host           string
	mu             sync.Mutex
	queues         map[uint16]*queue
	cc             uint32
	csts           uint32
	acre           bool // the host wants to be told how long to stay away (ACRE)
	isDiscovery    bool // a discovery controller
	events         asyncEvents
	errors         errorLog
	kato           time.Duration
	keepAliveTimer *time.Timer
}

// queue is one connection: its reader's goroutine handles what comes, its writer's owns what goes.
type queue struct {
	server      *Server
	conn        net.Conn
	outgoing    *mailbox.Box[[]byte]
	closed      chan struct{}
	closeOnce   sync.Once
	closeReason string

	keyRetired atomic.Bool // its host's key is good no more: new commands are turned away
	acceptedAt time.Time
	connected  atomic.Bool // ctrl is set: the host has connected as NVMe knows it
	framing    framing
	ctrl       *controller // set by Connect
	qid        uint16
	size       uint16

	mu           sync.Mutex
	sqhd         uint16
	commandCount int
	cmds         map[uint16]*pending
	lastTag      uint16
}

// pending is a command without its completion.
type pending struct {
	cmd         command
	io          *IO
	ns          *Namespace // as it was when the command came
	received    int
	transferTag uint16
	dataTimer   *time.Timer // for the host's data
	jobs        []*core.Job // the parts of it in the core
	unanswered  int         // of them without an answer
	responses   []core.Response
	stats       *figures.Request
}

// Serve accepts until Stop.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	if s.opt.Keys != nil {
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
			time.Sleep(10 * time.Millisecond) // out of descriptors, say: what is open goes on
			continue
		}
		if s.opt.Keys != nil {
			c = tls.Server(c, s.opt.Keys.ServerConfig())
		}
		q := &queue{server: s, conn: c, outgoing: mailbox.New[[]byte](), closed: make(chan struct{}),
			cmds: map[uint16]*pending{}, acceptedAt: time.Now()}
		s.mu.Lock()
		full := len(s.queues) >= s.opt.MaxConns && !s.evictUnconnected()
		if !full {
			s.queues[q] = true
		}
		s.mu.Unlock()
		if full {
			// Nothing was taken on it yet.
			c.Close()
			s.logClosed(q, "CAP")
			continue
		}
		go q.writeLoop()
		go q.readLoop()
	}
}

// keysEvery is how often connections are held against the keys that are good.
const keyCheckInterval = 100 * time.Millisecond

// watchKeys retires the connections of hosts whose keys are good no more, until the server stops accepting: their commands
// are finished, new ones are turned away as retryable, and then they end.
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
			if c := q.conn.(*tls.Conn); !q.keyRetired.Load() && q.connected.Load() && s.opt.Keys.VerifyClient(c.ConnectionState()) != nil {
				q.keyRetired.Store(true)
			}
			if q.keyRetired.Load() && q.idle() {
				q.closeAfterWrites("KEY_RETIRED")
			}
		}
		s.mu.Unlock()
	}
}

// unused tells whether nothing with data is open on the queue and, for an admin queue, none of its I/O queues is left.
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

// makeRoom ends the connection that has been longest without a Connect, so that silent ones do not shut out hosts; the
// server is locked. One that has joined is never ended for another.
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

// Stop keeps accepting while hosts may still come, goes on for a while with commands on the connections there are, then
// turns new ones away, finishes those taken and ends all connections.
func (s *Server) Stop(ctx context.Context) error {
	now := time.Now()
	s.stopTime.Store(&now)
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
		q.closeAfterWrites("LEAVING")
	}
	for _, q := range all {
		<-q.closed
	}
	return err
}

// end closes the connection, for the first reason given, once what was put before has been written.
func (q *queue) closeAfterWrites(reason string) {
	q.closeOnce.Do(func() {
		q.closeReason = reason
		q.outgoing.Put(nil)
	})
}

// write is the writer: it sends what the mailbox holds, and ends the connection at a nil.
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

// close ends the connection and everything that hung on it: commands whose host is gone, and with the admin
// queue the whole association. What the host still sends is read away, so that no reset takes the last word to it.
func (q *queue) close() {
	_ = listen.Shut(q.conn)
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
	_ = listen.Linger(q.conn)
	q.server.mu.Lock()
	delete(q.server.queues, q) // it has had a descriptor until now
	q.server.mu.Unlock()
	close(q.closed)
}

// drop lets go of a command that will not be answered any more.
func (q *queue) drop(p *pending) {
	q.release(p)
	q.cancelJobs(p)
}

// depart tells the core that nobody waits for the command's parts any more.
func (q *queue) cancelJobs(p *pending) {
	for _, j := range p.jobs {
		q.server.core.Cancel(j)
	}
}

// release gives back what an open command holds.
func (q *queue) release(p *pending) {
	p.stats.End(figures.Failure) // its host is gone, where it has no status yet
	if p.dataTimer != nil {
		p.dataTimer.Stop()
	}
	if p.io != nil {
		q.server.bufferedBytes.Add(-int64(p.io.Bytes))
	}
	if p.jobs != nil {
		q.server.openCommands.Add(-1)
	}
}

// read is the reader. What ends it is told to the host where the protocol has a word for it.
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
	case errors.Is(err, keys.ErrPeerRejected), errors.As(err, &notTLS):
		reason = "TLS_REFUSED"
	case err != nil && err.Error() != "EOF":
		reason = "HOST_RESET"
	}
	q.closeAfterWrites(reason)
}

var errHostTerminated = errors.New("host sent a termination request")

func (q *queue) servePDUs() error {
	in := bufio.NewReaderSize(q.conn, 16<<10)
	q.conn.SetDeadline(time.Now().Add(handshakeTimeout)) // TLS writes too, in its handshake
	p, err := readPDU(in, framing{})
	if err != nil {
		return err
	}
	if p.kind != typeICReq {
		return &fatalError{fes: fesSequence, cause: "connection must begin with ICReq", head: p.head}
	}
	switch {
	case p.u16(8) != 0:
		return &fatalError{fes: fesUnsupported, fei: 8, cause: "PDU format version", head: p.head}
	case p.head[10] > maxPDA:
		return &fatalError{fes: fesInvalidHeader, fei: 10, cause: "data alignment", head: p.head}
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
			return &fatalError{fes: fesSequence, cause: "PDU type not for a controller", head: p.head}
		}
	}
}

// put sends a PDU of the agreed framing.
func (q *queue) send(kind, flags byte, head, data []byte) {
	q.outgoing.Put(appendPDU(nil, q.framing, kind, flags, head, data))
}

// complete gives a command its one completion, with its data before it; later ones are ignored.
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
	p.stats.End(endingOf(st))
	q.release(p) // after the answer is in the writer's mailbox: Stop ends connections once nothing is open
	q.mu.Unlock()
	return true
}

// command takes a submission queue entry.
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
		return nil // ending
	}
	if q.size > 0 && len(q.cmds) >= int(q.size) {
		q.mu.Unlock()
		return &fatalError{fes: fesSequence, cause: "more commands than the queue holds", head: pd.head}
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
		q.complete(p, stInvalidField|dnr, 0, nil) // SGLs are a must on fabrics; no fused commands here
	case pd.dataError:
		q.complete(p, stTransient, 0, nil) // nothing was begun: a repeat is harmless
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

// io takes a command of the NVM command set. Data towards here is in the capsule, or asked for.
func (q *queue) handleIO(p *pending, data []byte) error {
	s, c := q.server, &p.cmd
	ns := s.namespace(c.nsid())
	switch c.op() {
	case opFlush:
		// There is no volatile write cache: what was completed is kept (see HostOptions on targets that have one).
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
	needsHostData := c.op() == opWrite || c.op() == opCompare // data of the host's
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
		// Nothing of it was begun; the host may come back, or go elsewhere.
		q.complete(p, statusOf(core.Overloaded, q.ctrl.retryDelaysEnabled()), 0, nil)
	default:
		x.Bytes = length
		// A connection that ended meanwhile has let go of the command: what it would hold now, nobody gave back.
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

// ask has the host send a write's data. One R2T is out for a command at a time, which any host bears. The
// host has as long for it as the command may take.
func (q *queue) requestData(p *pending) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cmds[p.cmd.cid()] != p {
		return
	}
	p.io.Data = make([]byte, p.io.Bytes)
	q.lastTag++
	p.transferTag = q.lastTag
	p.dataTimer = time.AfterFunc(q.server.opt.Timeouts[p.ns.Write], func() { q.closeAfterWrites("HOST_DATA_LATE") })
	q.send(typeR2T, 0, dataHead(p.cmd.cid(), p.transferTag, 0, uint32(p.io.Bytes)), nil)
}

// data takes a part of a write's data, which must come in order and within what was asked for.
func (q *queue) handleData(pd *pdu) error {
	q.mu.Lock()
	p := q.cmds[pd.u16(8)]
	q.mu.Unlock()
	dataError := func(fes uint16, at uint32, cause string) error {
		return &fatalError{fes: fes, fei: at, cause: cause, head: pd.head}
	}
	switch {
	case p == nil || p.transferTag == 0 || p.dataTimer == nil:
		return dataError(fesInvalidHeader, 8, "data for no command that waits for some")
	case pd.u16(10) != p.transferTag:
		return dataError(fesInvalidHeader, 10, "data for another transfer tag")
	}
	offset, length := int64(pd.u32(12)), int64(pd.u32(16))
	last := offset+length == int64(p.io.Bytes)
	switch {
	case length != int64(len(pd.data)) || length > maxH2CData || length == 0:
		return dataError(fesInvalidHeader, 16, "data length")
	case offset != int64(p.received) || offset+length > int64(p.io.Bytes):
		return dataError(fesOutOfRange, 12, "data out of order or range")
	case last != (pd.flags&flagLast != 0):
		return dataError(fesInvalidHeader, 1, "last-PDU flag")
	case pd.dataError:
		q.complete(p, stTransient, 0, nil)
		return nil
	}
	copy(p.io.Data[offset:], pd.data)
	if p.received += int(length); last {
		p.dataTimer.Stop()
		q.submit(p)
	}
	return nil
}

// submit hands the command to the core, in parts where it lies on several shards; the core owns its end from here on.
func (q *queue) submit(p *pending) {
	parts := p.ns.splitByShard(p.io)
	jobs := make([]*core.Job, len(parts))
	now := time.Now()
	for i, x := range parts {
		j := &core.Job{Request: p.ns.request(x), Arrived: now, Payload: x}
		j.Timeout = q.server.opt.Shutdown.LimitTimeout(q.server.opt.Timeouts[j.Class], now, q.server.stopTime.Load())
		j.Done = func(r core.Response) { q.completePart(p, i, r) }
		jobs[i] = j
	}
	// Under the lock, so that an Abort finds the command either not handed over or wholly so. Submit does
	// not wait, and Done never runs within it.
	q.mu.Lock()
	if q.cmds[p.cmd.cid()] != p {
		q.mu.Unlock()
		return
	}
	if f := q.server.opt.Figures; f != nil {
		p.stats = f.Take(jobs[0].Class)
	}
	p.jobs, p.unanswered, p.responses = jobs, len(jobs), make([]core.Response, len(jobs))
	q.server.openCommands.Add(1)
	// Stop looks for open commands once it has turned away new ones: one that it has not seen must not be sent on.
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

// part takes the end of a part; the last one completes the command.
func (q *queue) completePart(p *pending, i int, a core.Response) {
	q.mu.Lock()
	p.responses[i] = a
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

// abort ends a command from the admin queue; false where there is no such command.
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

func eui64Of(ns *Namespace) []byte {
	n, _ := strconv.ParseUint(ns.Volume, 16, 64)
	return binary.BigEndian.AppendUint64(nil, n)
}
