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
	Subsystem  string
	Namespaces []Namespace
	QueueDepth int
	MostConn   int                      // hosts' connections at a time
	MostBytes  int64                    // data of commands held at a time
	Keys       *keys.Store              // TLS, where there are any
	Patience   map[string]time.Duration // of each class: NVMe commands carry no deadline of their own
	Figures    *figures.Metrics         // nil: none are kept
	Leave      core.ShutdownSchedule
	Log        *slog.Logger
}

// Core is what the front needs of the core.
type Core interface {
	Submit(*core.Job) bool
	Cancel(*core.Job)
}

const (
	handshakeWithin = 2 * time.Second
	writeWithin     = 5 * time.Second
	mostQueues      = 16 // I/O queues of one controller
)

// Server is the NVMe over TCP front.
type Server struct {
	opt     Options
	core    Core
	spaces  atomic.Pointer[map[uint32]*Namespace]
	bytes   atomic.Int64
	health  health
	open    atomic.Int64              // commands in the core
	left    atomic.Pointer[time.Time] // when Stop was called
	leaving atomic.Bool               // new commands are turned away

	mu          sync.Mutex
	controllers map[uint16]*controller
	queues      map[*queue]bool
	nextID      uint16
	listener    net.Listener
}

// New returns a front for the core.
func New(c Core, opt Options) *Server {
	s := &Server{opt: opt, core: c, controllers: map[uint16]*controller{}, queues: map[*queue]bool{}}
	s.spaces.Store(byID(opt.Namespaces))
	return s
}

func byID(list []Namespace) *map[uint32]*Namespace {
	m := make(map[uint32]*Namespace, len(list))
	for i := range list {
		m[list[i].ID] = &list[i]
	}
	return &m
}

func (s *Server) space(id uint32) *Namespace { return (*s.spaces.Load())[id] }

// controller is one association: an admin queue and its I/O queues.
type controller struct {
	id     uint16
	server *Server
	host   string
	mu     sync.Mutex
	queues map[uint16]*queue
	cc     uint32
	csts   uint32
	delays bool // the host wants to be told how long to stay away (ACRE)
	finder bool // a discovery controller
	events events
	errors errorLog
	kato   time.Duration
	alive  *time.Timer
}

// queue is one connection: its reader's goroutine handles what comes, its writer's owns what goes.
type queue struct {
	server *Server
	net    net.Conn
	box    *mailbox.Box[[]byte]
	ended  chan struct{}
	once   sync.Once
	reason string

	retired atomic.Bool // its host's key is good no more: new commands are turned away
	since   time.Time
	joined  atomic.Bool // ctrl is set: the host has connected as NVMe knows it
	framing framing
	ctrl    *controller // set by Connect
	qid     uint16
	size    uint16

	mu     sync.Mutex
	sqhd   uint16
	asked  int
	cmds   map[uint16]*pending
	serial uint16
}

// pending is a command without its completion.
type pending struct {
	cmd  command
	io   *IO
	ns   *Namespace // as it was when the command came
	got  int
	tag  uint16
	wait *time.Timer // for the host's data
	jobs []*core.Job // the parts of it in the core
	left int         // of them without an answer
	ends []core.Response
	seen *figures.Request
}

// Serve accepts until Stop.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	if s.opt.Keys != nil {
		over := make(chan struct{})
		defer close(over)
		go s.watchKeys(over)
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
		q := &queue{server: s, net: c, box: mailbox.New[[]byte](), ended: make(chan struct{}),
			cmds: map[uint16]*pending{}, since: time.Now()}
		s.mu.Lock()
		full := len(s.queues) >= s.opt.MostConn && !s.makeRoom()
		if !full {
			s.queues[q] = true
		}
		s.mu.Unlock()
		if full {
			// Nothing was taken on it yet.
			c.Close()
			s.log(q, "CAP")
			continue
		}
		go q.write()
		go q.read()
	}
}

// keysEvery is how often connections are held against the keys that are good.
const keysEvery = 100 * time.Millisecond

// watchKeys retires the connections of hosts whose keys are good no more, until the server stops accepting: their commands
// are finished, new ones are turned away as retryable, and then they end.
func (s *Server) watchKeys(over <-chan struct{}) {
	tick := time.NewTicker(keysEvery)
	defer tick.Stop()
	for {
		select {
		case <-over:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for q := range s.queues {
			if c := q.net.(*tls.Conn); !q.retired.Load() && q.joined.Load() && s.opt.Keys.VerifyClient(c.ConnectionState()) != nil {
				q.retired.Store(true)
			}
			if q.retired.Load() && q.unused() {
				q.end("KEY_RETIRED")
			}
		}
		s.mu.Unlock()
	}
}

// unused tells whether nothing with data is open on the queue and, for an admin queue, none of its I/O queues is left.
func (q *queue) unused() bool {
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
func (s *Server) makeRoom() bool {
	var oldest *queue
	for q := range s.queues {
		if !q.joined.Load() && (oldest == nil || q.since.Before(oldest.since)) {
			oldest = q
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.queues, oldest)
	oldest.end("CAP")
	return true
}

func (s *Server) log(q *queue, reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s.opt.Log.Info("connection ended", slog.String("side", "host"), slog.String("peer", q.net.RemoteAddr().String()),
		slog.String("reason", reason), slog.Int("requests", q.asked), slog.Int("queue", int(q.qid)))
}

// Stop keeps accepting while hosts may still come, goes on for a while with commands on the connections there are, then
// turns new ones away, finishes those taken and ends all connections.
func (s *Server) Stop(ctx context.Context) error {
	now := time.Now()
	s.left.Store(&now)
	core.SleepUntil(ctx, now.Add(s.opt.Leave.AcceptFor))
	s.mu.Lock()
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	core.SleepUntil(ctx, now.Add(s.opt.Leave.ServeFor))
	s.leaving.Store(true)
	for s.open.Load() > 0 && ctx.Err() == nil {
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
		q.end("LEAVING")
	}
	for _, q := range all {
		<-q.ended
	}
	return err
}

// end closes the connection, for the first reason given, once what was put before has been written.
func (q *queue) end(reason string) {
	q.once.Do(func() {
		q.reason = reason
		q.box.Put(nil)
	})
}

// write is the writer: it sends what the mailbox holds, and ends the connection at a nil.
func (q *queue) write() {
	var spare [][]byte
	for {
		<-q.box.Wake()
		batch := q.box.Take(spare)
		for _, b := range batch {
			if b == nil {
				q.close()
				return
			}
			q.net.SetWriteDeadline(time.Now().Add(writeWithin))
			if _, err := q.net.Write(b); err != nil {
				q.end("HOST_WRITE_FAILED")
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
	_ = listen.Shut(q.net)
	q.mu.Lock()
	left, ctrl := q.cmds, q.ctrl
	q.cmds = nil
	q.mu.Unlock()
	for _, p := range left {
		q.drop(p)
	}
	if ctrl != nil {
		ctrl.leave(q)
	}
	q.server.log(q, q.reason)
	_ = listen.Linger(q.net)
	q.server.mu.Lock()
	delete(q.server.queues, q) // it has had a descriptor until now
	q.server.mu.Unlock()
	close(q.ended)
}

// drop lets go of a command that will not be answered any more.
func (q *queue) drop(p *pending) {
	q.release(p)
	q.depart(p)
}

// depart tells the core that nobody waits for the command's parts any more.
func (q *queue) depart(p *pending) {
	for _, j := range p.jobs {
		q.server.core.Cancel(j)
	}
}

// release gives back what an open command holds.
func (q *queue) release(p *pending) {
	p.seen.End(figures.Failure) // its host is gone, where it has no status yet
	if p.wait != nil {
		p.wait.Stop()
	}
	if p.io != nil {
		q.server.bytes.Add(-int64(p.io.Bytes))
	}
	if p.jobs != nil {
		q.server.open.Add(-1)
	}
}

// read is the reader. What ends it is told to the host where the protocol has a word for it.
func (q *queue) read() {
	err := q.serve()
	var f *fatal
	var timeout net.Error
	var noTLS tls.RecordHeaderError
	reason := "HOST_CLOSED"
	switch {
	case errors.As(err, &f):
		q.box.Put(termPDU(typeC2HTerm, f))
		reason = "PROTOCOL_ERROR"
		q.server.opt.Log.Warn("host broke the protocol", slog.String("error", f.Error()))
	case errors.Is(err, errHostTerminated):
		reason = "HOST_TERMINATED"
	case errors.As(err, &timeout) && timeout.Timeout():
		reason = "HANDSHAKE_SLOW"
	case errors.Is(err, keys.ErrPeerRejected), errors.As(err, &noTLS):
		reason = "TLS_REFUSED"
	case err != nil && err.Error() != "EOF":
		reason = "HOST_RESET"
	}
	q.end(reason)
}

var errHostTerminated = errors.New("host sent a termination request")

func (q *queue) serve() error {
	in := bufio.NewReaderSize(q.net, 16<<10)
	q.net.SetDeadline(time.Now().Add(handshakeWithin)) // TLS writes too, in its handshake
	p, err := readPDU(in, framing{})
	if err != nil {
		return err
	}
	if p.kind != typeICReq {
		return &fatal{fes: fesSequence, cause: "connection must begin with ICReq", head: p.head}
	}
	switch {
	case p.u16(8) != 0:
		return &fatal{fes: fesUnsupported, fei: 8, cause: "PDU format version", head: p.head}
	case p.head[10] > maxPDA:
		return &fatal{fes: fesInvalidHeader, fei: 10, cause: "data alignment", head: p.head}
	}
	digests := p.head[11] & (digestHeader | digestData)
	q.framing = framing{hdigest: digests&digestHeader != 0, ddigest: digests&digestData != 0, pda: int(p.head[10])}
	q.box.Put(appendPDU(nil, framing{}, typeICResp, 0, icHead(digests, maxH2CData), nil))
	first := true
	for {
		p, err := readPDU(in, framing{hdigest: q.framing.hdigest, ddigest: q.framing.ddigest})
		if err != nil {
			return err
		}
		switch p.kind {
		case typeCmd:
			if err := q.command(p); err != nil {
				return err
			}
			if first && q.ctrl != nil {
				first = false
				q.net.SetReadDeadline(time.Time{})
			}
		case typeH2CData:
			if err := q.data(p); err != nil {
				return err
			}
		case typeH2CTerm:
			return errHostTerminated
		default:
			return &fatal{fes: fesSequence, cause: "PDU type not for a controller", head: p.head}
		}
	}
}

// put sends a PDU of the agreed framing.
func (q *queue) put(kind, flags byte, head, data []byte) {
	q.box.Put(appendPDU(nil, q.framing, kind, flags, head, data))
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
		q.put(typeC2HData, flags, dataHead(cid, 0, uint32(at), uint32(len(part))), part)
	}
	q.put(typeResp, 0, completion{result: result, sqhd: q.sqhd, sqid: q.qid, cid: cid, status: st}.head(), nil)
	p.seen.End(endingOf(st))
	q.release(p) // after the answer is in the writer's mailbox: Stop ends connections once nothing is open
	q.mu.Unlock()
	return true
}

// command takes a submission queue entry.
func (q *queue) command(pd *pdu) error {
	p := &pending{}
	copy(p.cmd[:], pd.head[commonLen:])
	cid := p.cmd.cid()
	q.mu.Lock()
	q.asked++
	if q.size > 0 {
		q.sqhd = (q.sqhd + 1) % q.size
	}
	if q.cmds == nil {
		q.mu.Unlock()
		return nil // ending
	}
	if q.size > 0 && len(q.cmds) >= int(q.size) {
		q.mu.Unlock()
		return &fatal{fes: fesSequence, cause: "more commands than the queue holds", head: pd.head}
	}
	if q.cmds[cid] != nil {
		q.put(typeResp, 0, completion{sqhd: q.sqhd, sqid: q.qid, cid: cid, status: stCIDConflict | dnr}.head(), nil)
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
		q.connect(p, pd.data)
	case p.cmd.op() == opFabrics:
		q.fabrics(p)
	case q.qid == 0:
		q.admin(p, pd.data)
	default:
		return q.io(p, pd.data)
	}
	return nil
}

// io takes a command of the NVM command set. Data towards here is in the capsule, or asked for.
func (q *queue) io(p *pending, data []byte) error {
	s, c := q.server, &p.cmd
	ns := s.space(c.nsid())
	switch c.op() {
	case opFlush:
		// There is no volatile write cache: what was completed is kept (see HostOptions on targets that have one).
		if ns == nil && c.nsid() != everyNS {
			q.complete(p, stInvalidNS|dnr, 0, nil)
		} else {
			q.complete(p, stOK, 0, nil)
		}
		return nil
	case opRead, opWrite, opCompare, opWriteZeroes, opDataset:
	default:
		q.complete(p, stInvalidOpcode|dnr, 0, nil)
		return nil
	}
	if ns == nil {
		q.complete(p, stInvalidNS|dnr, 0, nil)
		return nil
	}
	if c.op() == opDataset {
		q.complete(p, ns.dataset(c, data), 0, nil)
		return nil
	}
	x := &IO{Write: c.op() == opWrite || c.op() == opWriteZeroes, NSID: ns.ID, SLBA: c.slba(), Blocks: c.blocks()}
	length := int(x.Blocks) * ns.BlockBytes
	takes := c.op() == opWrite || c.op() == opCompare // data of the host's
	inside, moved := c.sglType() == sglOffset, int(c.sglLen()) == length
	if c.op() == opWriteZeroes {
		inside, moved = false, len(data) == 0 // no data pointer
	}
	switch {
	case x.SLBA >= ns.Blocks || uint64(x.Blocks) > ns.Blocks-x.SLBA:
		q.complete(p, stLBARange|dnr, 0, nil)
	case length > maxTransfer, !moved, c.op() != opWriteZeroes && c.sglType() != sglOffset && c.sglType() != sglTransport,
		inside && (!takes || len(data) != length || length > inCapsule), !inside && len(data) > 0:
		q.complete(p, stInvalidField|dnr, 0, nil)
	case s.leaving.Load(), q.retired.Load(), s.bytes.Load()+int64(length) > s.opt.MostBytes:
		// Nothing of it was begun; the host may come back, or go elsewhere.
		q.complete(p, statusOf(core.Overloaded, q.ctrl.wantsDelays()), 0, nil)
	default:
		x.Bytes = length
		// A connection that ended meanwhile has let go of the command: what it would hold now, nobody gave back.
		q.mu.Lock()
		gone := q.cmds[c.cid()] != p
		if !gone {
			p.io, p.ns = x, ns
			s.bytes.Add(int64(length))
		}
		q.mu.Unlock()
		switch {
		case gone:
		case c.op() == opWriteZeroes:
			x.Data = make([]byte, length)
			q.submit(p)
		case !takes:
			q.submit(p)
		case inside:
			x.Data = data
			q.submit(p)
		default:
			q.ask(p)
		}
	}
	return nil
}

// ask has the host send a write's data. One R2T is out for a command at a time, which any host bears. The
// host has as long for it as the command may take.
func (q *queue) ask(p *pending) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cmds[p.cmd.cid()] != p {
		return
	}
	p.io.Data = make([]byte, p.io.Bytes)
	q.serial++
	p.tag = q.serial
	p.wait = time.AfterFunc(q.server.opt.Patience[p.ns.Write], func() { q.end("HOST_DATA_LATE") })
	q.put(typeR2T, 0, dataHead(p.cmd.cid(), p.tag, 0, uint32(p.io.Bytes)), nil)
}

// data takes a part of a write's data, which must come in order and within what was asked for.
func (q *queue) data(pd *pdu) error {
	q.mu.Lock()
	p := q.cmds[pd.u16(8)]
	q.mu.Unlock()
	wrong := func(fes uint16, at uint32, cause string) error {
		return &fatal{fes: fes, fei: at, cause: cause, head: pd.head}
	}
	switch {
	case p == nil || p.tag == 0 || p.wait == nil:
		return wrong(fesInvalidHeader, 8, "data for no command that waits for some")
	case pd.u16(10) != p.tag:
		return wrong(fesInvalidHeader, 10, "data for another transfer tag")
	}
	offset, length := int64(pd.u32(12)), int64(pd.u32(16))
	whole := offset+length == int64(p.io.Bytes)
	switch {
	case length != int64(len(pd.data)) || length > maxH2CData || length == 0:
		return wrong(fesInvalidHeader, 16, "data length")
	case offset != int64(p.got) || offset+length > int64(p.io.Bytes):
		return wrong(fesOutOfRange, 12, "data out of order or range")
	case whole != (pd.flags&flagLast != 0):
		return wrong(fesInvalidHeader, 1, "last-PDU flag")
	case pd.dataError:
		q.complete(p, stTransient, 0, nil)
		return nil
	}
	copy(p.io.Data[offset:], pd.data)
	if p.got += int(length); whole {
		p.wait.Stop()
		q.submit(p)
	}
	return nil
}

// submit hands the command to the core, in parts where it lies on several shards; the core owns its end from here on.
func (q *queue) submit(p *pending) {
	parts := p.ns.split(p.io)
	jobs := make([]*core.Job, len(parts))
	now := time.Now()
	for i, x := range parts {
		j := &core.Job{Request: p.ns.request(x), Arrived: now, Payload: x}
		j.Timeout = q.server.opt.Leave.LimitTimeout(q.server.opt.Patience[j.Class], now, q.server.left.Load())
		j.Done = func(a core.Response) { q.part(p, i, a) }
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
		p.seen = f.StartRequest(jobs[0].Class)
	}
	p.jobs, p.left, p.ends = jobs, len(jobs), make([]core.Response, len(jobs))
	q.server.open.Add(1)
	// Stop looks for open commands once it has turned away new ones: one that it has not seen must not be sent on.
	left := q.server.leaving.Load()
	var turned []int
	for i, j := range jobs {
		if left || !q.server.core.Submit(j) {
			turned = append(turned, i)
		}
	}
	q.mu.Unlock()
	for _, i := range turned {
		q.part(p, i, core.Overloaded)
	}
}

// part takes the end of a part; the last one completes the command.
func (q *queue) part(p *pending, i int, a core.Response) {
	q.mu.Lock()
	p.ends[i] = a
	p.left--
	last := p.left == 0
	q.mu.Unlock()
	if !last {
		return
	}
	st, body := gather(p.io, p.jobs, p.ends, q.ctrl.wantsDelays())
	switch {
	case st == stOK && p.cmd.op() == opCompare:
		if !bytes.Equal(body, p.io.Data) {
			st = stCompareFailure
		}
		body = nil
	case st == stOK:
		q.server.health.served(p.io)
	}
	q.complete(p, st, 0, body)
	for _, a := range p.ends {
		if a.OnWritten != nil {
			a.OnWritten()
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
	q.depart(p)
	return true
}

func euiOf(ns *Namespace) []byte {
	n, _ := strconv.ParseUint(ns.Volume, 16, 64)
	return binary.BigEndian.AppendUint64(nil, n)
}
