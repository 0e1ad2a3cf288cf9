package nvme

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/keys"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/policy"
)

// HostOptions set up the host side.
type HostOptions struct {
	Subsystem string // of the targets
	HostNQN   string
	HostID    [16]byte
	KeepAlive time.Duration
	Digests   bool        // ask for header and data digests
	Keys      *keys.Store // TLS, where there are any
}

// serial tells which keys connections are made with now.
func (o *HostOptions) serial() int {
	if o.Keys == nil {
		return 0
	}
	return o.Keys.Generation()
}

// peer is a target's address with the keys it is met with: after a change of keys a new association is made beside the
// old one, whose commands end on it.
type peer struct {
	addr   string
	serial int
}

// Host is the upstream wire: an association with each target, and under it one I/O queue for each command
// that is out. A queue of its own for each is what lets an attempt be given up by closing its connection,
// without a word to, or for, any other.
type Host struct {
	opt HostOptions
	mu  sync.Mutex
	all map[peer]*association
}

// NewHost returns a host.
func NewHost(opt HostOptions) *Host { return &Host{opt: opt, all: map[peer]*association{}} }

// association is the admin queue with one target, made when first needed.
type association struct {
	host *Host
	peer
	talk chan struct{} // held by whoever speaks on the admin queue; waiting for it can be given up

	mu      sync.Mutex
	admin   *wire // nil: none
	cntlid  uint16
	inUse   map[uint16]bool
	bears   bears
	usedAt  time.Time
	aborted int                        // Aborts whose completions nobody has read yet
	rests   backoff.ExponentialBackOff // after attempts in a row that came to no association
	restAt  time.Time
}

// bears is what a target's controller tells of itself.
type bears struct {
	inside int  // bytes of data that a capsule may hold
	cache  bool // it has a volatile write cache: a write is asked to be on its medium before it is completed
}

// wire is one connection, of either kind.
type wire struct {
	net.Conn
	in      *bufio.Reader
	framing framing // for what the controller wants
	most    uint32  // data of one H2CData
	cid     uint16
}

// Dial opens an I/O queue at the target, and the association before it if there is none.
func (h *Host) Dial(ctx context.Context, addr string) (upstream.Session, error) {
	h.mu.Lock()
	who := peer{addr, h.opt.serial()}
	a := h.all[who]
	if a == nil {
		maps.DeleteFunc(h.all, func(_ peer, old *association) bool { return old.forgotten() }) // targets come and go
		a = &association{host: h, peer: who, inUse: map[uint16]bool{}, talk: make(chan struct{}, 1), rests: newRests(), usedAt: time.Now()}
		h.all[who] = a
	}
	h.mu.Unlock()
	admin, cntlid, qid, can, err := a.enter(ctx)
	if err != nil {
		return nil, err
	}
	w, err := h.open(ctx, addr)
	if err == nil {
		if _, err = w.connect(h.opt, qid, cntlid); err != nil {
			w.Close()
		}
	}
	if err != nil {
		a.free(qid)
		// A target that turns the queue away has been started anew and knows nothing of the association: it
		// must not count until the next keep-alive finds out. One that only is slow may still have it.
		if !errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			a.lose(admin)
		}
		return nil, err
	}
	w.SetDeadline(time.Time{})
	return &session{wire: w, from: a, qid: qid, bears: can}, nil
}

// forgotten tells whether nothing is left of it that anybody could want.
func (a *association) forgotten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admin == nil && len(a.inUse) == 0 && time.Since(a.usedAt) > unusedFor && time.Since(a.restAt) > unusedFor
}

// lose ends the association of an admin queue, if it is still this one's.
func (a *association) lose(w *wire) {
	a.mu.Lock()
	if a.admin == w {
		a.admin = nil
	}
	a.mu.Unlock()
	w.Close()
}

// open makes a connection and agrees on its framing.
func (h *Host) open(ctx context.Context, addr string) (*wire, error) {
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if h.opt.Keys != nil {
		host, _, _ := net.SplitHostPort(addr)
		secure := tls.Client(c, h.opt.Keys.ClientConfig(host))
		if err := secure.HandshakeContext(ctx); err != nil {
			c.Close()
			return nil, err
		}
		c = secure
	}
	w := &wire{Conn: c, in: bufio.NewReaderSize(c, 16<<10)}
	if until, ok := ctx.Deadline(); ok {
		c.SetDeadline(until)
	}
	var digests byte
	if h.opt.Digests {
		digests = digestHeader | digestData
	}
	if _, err = c.Write(appendPDU(nil, framing{}, typeICReq, 0, icHead(digests, 0), nil)); err == nil {
		err = w.agree(digests)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return w, nil
}

func (w *wire) agree(asked byte) error {
	p, err := readPDU(w.in, framing{})
	switch {
	case err != nil:
		return err
	case p.kind != typeICResp || p.u16(8) != 0 || p.head[10] > maxPDA || p.head[11]&^asked != 0 || p.u32(12) < minH2CData:
		return errors.New("controller's ICResp is not usable")
	}
	w.framing = framing{hdigest: p.head[11]&digestHeader != 0, ddigest: p.head[11]&digestData != 0, pda: int(p.head[10])}
	w.most = p.u32(12)
	return nil
}

// receive reads a PDU; the host asked for no alignment of its own.
func (w *wire) receive() (*pdu, error) {
	p, err := readPDU(w.in, framing{hdigest: w.framing.hdigest, ddigest: w.framing.ddigest})
	var f *fatal
	if errors.As(err, &f) {
		_, _ = w.Write(termPDU(typeH2CTerm, f))
	}
	return p, err
}

func (w *wire) nextCID() uint16 {
	w.cid++
	return w.cid
}

// ask carries out a command outside the data path: data in the capsule, a page or nothing back.
func (w *wire) ask(c *command, data []byte) (completion, []byte, error) {
	if _, err := w.Write(appendPDU(nil, w.framing, typeCmd, 0, c[:], data)); err != nil {
		return completion{}, nil, err
	}
	var page []byte
	for {
		p, err := w.receive()
		if err != nil {
			return completion{}, nil, err
		}
		switch p.kind {
		case typeC2HData:
			if int64(len(page)) != int64(p.u32(12)) || len(page)+len(p.data) > identifyLen || p.dataError {
				return completion{}, nil, errors.New("data out of order")
			}
			page = append(page, p.data...)
		case typeResp:
			done := parseCompletion(p)
			if done.cid != c.cid() {
				continue // of an Abort that nobody waited for
			}
			if done.status != stOK {
				return done, nil, fmt.Errorf("command %#x ended with status %#x", c.op(), uint16(done.status))
			}
			return done, page, nil
		default:
			return completion{}, nil, fmt.Errorf("unexpected PDU type %#x", p.kind)
		}
	}
}

func fabricsCommand(w *wire, fctype byte, length int) *command {
	c := newCommand(opFabrics, w.nextCID(), length, length > 0)
	c[4] = fctype
	return c
}

// connect sends Connect; the answer is the controller's id.
func (w *wire) connect(opt HostOptions, qid, cntlid uint16) (uint16, error) {
	c := fabricsCommand(w, fctConnect, connectLen)
	c.set16(42, qid)
	c.set16(44, 31)
	if qid == 0 {
		c.set32(48, uint32(opt.KeepAlive.Milliseconds()))
	} else {
		c.set16(44, 1) // one command at a time
	}
	data := make([]byte, connectLen)
	copy(data, opt.HostID[:])
	binary.LittleEndian.PutUint16(data[16:], cntlid)
	copy(data[256:511], opt.Subsystem)
	copy(data[512:767], opt.HostNQN)
	done, _, err := w.ask(c, data)
	return uint16(done.result), err
}

// property reads a property of four bytes.
func (w *wire) property(offset uint32) (uint64, error) {
	c := fabricsCommand(w, fctPropertyGet, 0)
	c.set32(44, offset)
	done, _, err := w.ask(c, nil)
	return done.result, err
}

// enter makes sure of the association and takes a queue id in it. Neither a target that stands still nor
// whoever waits for it holds this up for longer than ctx allows.
func (a *association) enter(ctx context.Context) (admin *wire, cntlid, qid uint16, can bears, err error) {
	for {
		a.mu.Lock()
		if a.admin != nil {
			defer a.mu.Unlock()
			for id := uint16(1); id <= mostQueues; id++ {
				if !a.inUse[id] {
					a.inUse[id] = true
					a.usedAt = time.Now()
					return a.admin, a.cntlid, id, a.bears, nil
				}
			}
			return nil, 0, 0, can, errors.New("all I/O queues are in use")
		}
		a.mu.Unlock()
		select {
		case a.talk <- struct{}{}:
		case <-ctx.Done():
			return nil, 0, 0, can, ctx.Err()
		}
		err := a.establish(ctx)
		<-a.talk
		if err != nil {
			return nil, 0, 0, can, err
		}
	}
}

func (a *association) free(qid uint16) {
	a.mu.Lock()
	delete(a.inUse, qid)
	a.mu.Unlock()
}

// establish connects the admin queue, enables the controller and reads what it bears. Its caller holds talk.
func (a *association) establish(ctx context.Context) error {
	a.mu.Lock()
	there, rests := a.admin != nil, time.Now().Before(a.restAt)
	a.mu.Unlock()
	switch {
	case there:
		return nil
	case rests:
		return errRests
	}
	w, err := a.host.open(ctx, a.addr)
	var cntlid uint16
	var can bears
	if err == nil {
		if cntlid, can, err = a.host.enable(ctx, w); err != nil {
			w.Close()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.restAt = time.Now().Add(a.rests.NextBackOff())
		return err
	}
	w.SetDeadline(time.Time{})
	a.admin, a.cntlid, a.bears, a.aborted, a.usedAt = w, cntlid, can, 0, time.Now()
	a.rests.Reset()
	go a.keep(w)
	return nil
}

var errRests = errors.New("an association failed just now")

const (
	restLeast = 20 * time.Millisecond
	restMost  = time.Second
)

// newRests are how long a target is let be after attempts at an association that failed in a row. What is asked of it
// meanwhile fails at once, and the module decides what becomes of it.
func newRests() backoff.ExponentialBackOff {
	b := backoff.ExponentialBackOff{InitialInterval: restLeast, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: restMost}
	b.Reset()
	return b
}

func (h *Host) enable(ctx context.Context, w *wire) (cntlid uint16, can bears, err error) {
	if cntlid, err = w.connect(h.opt, 0, staticID); err != nil {
		return
	}
	c := fabricsCommand(w, fctPropertySet, 0)
	c.set32(44, propCC)
	c.set64(48, 4<<20|6<<16|ccEnable) // entry sizes, enabled
	if _, _, err = w.ask(c, nil); err != nil {
		return
	}
	for ready := false; !ready; {
		var v uint64
		if v, err = w.property(propCSTS); err != nil {
			return
		}
		if ready = v&cstsReady != 0; !ready {
			select {
			case <-ctx.Done():
				return 0, can, ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	id := newCommand(opIdentify, w.nextCID(), identifyLen, false)
	id.set32(40, 1)
	_, page, err := w.ask(id, nil)
	if err == nil && len(page) != identifyLen {
		err = errors.New("controller's identify page is not whole")
	}
	if err != nil {
		return
	}
	return cntlid, bears{inside: max(0, int(binary.LittleEndian.Uint32(page[1792:]))*16-64), cache: page[525]&1 != 0}, nil
}

// unusedFor is how long an association without I/O queues is kept, so that none outlives its target's place
// in the list for long.
const unusedFor = 30 * time.Second

// keep sends keep-alives until the admin queue fails or nothing needs it; the association has ended then.
func (a *association) keep(w *wire) {
	every := a.host.opt.KeepAlive / 2
	for {
		time.Sleep(every)
		a.mu.Lock()
		old := a.serial != a.host.opt.serial()
		over := a.admin != w || len(a.inUse) == 0 && (old || time.Since(a.usedAt) > unusedFor)
		a.mu.Unlock()
		if over {
			a.lose(w)
			if old { // nothing new comes to it
				a.host.mu.Lock()
				delete(a.host.all, a.peer)
				a.host.mu.Unlock()
			}
			return
		}
		a.talk <- struct{}{}
		w.SetDeadline(time.Now().Add(every))
		_, _, err := w.ask(newCommand(opKeepAlive, w.nextCID(), 0, false), nil)
		w.SetDeadline(time.Time{})
		a.mu.Lock()
		a.aborted = 0 // their completions came before this one's
		a.mu.Unlock()
		<-a.talk
		if err != nil {
			a.lose(w)
			return
		}
	}
}

// mostAborts bounds the Aborts of which no completion was read; the admin queue holds 32 entries.
const mostAborts = 3

// abort tells the controller that a command is not waited for any more. It is a courtesy: what counts is
// that the command's connection closes. So it waits for nothing, least of all for a target that stands
// still; its completion is passed over when the next keep-alive reads the queue.
func (a *association) abort(qid, cid uint16) {
	select {
	case a.talk <- struct{}{}:
		defer func() { <-a.talk }()
	default:
		return
	}
	a.mu.Lock()
	w := a.admin
	ok := w != nil && a.aborted < mostAborts
	a.aborted++
	a.mu.Unlock()
	if !ok {
		return
	}
	c := newCommand(opAbort, w.nextCID(), 0, false)
	c.set32(40, uint32(qid)|uint32(cid)<<16)
	w.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
	_, _ = w.Write(appendPDU(nil, w.framing, typeCmd, 0, c[:], nil))
	w.SetWriteDeadline(time.Time{})
}

// session is one I/O queue.
type session struct {
	*wire
	bears
	from *association
	qid  uint16
	once sync.Once
}

// Close ends the queue.
func (s *session) Close() error {
	c := s.Conn
	if secure, ok := c.(*tls.Conn); ok && upstream.HasUnackedData(secure.NetConn()) { // its word of the end would wait for that
		c = secure.NetConn()
	}
	err := upstream.CloseOrReset(c)
	s.once.Do(func() { s.from.free(s.qid) })
	return err
}

// Alive implements upstream.Session.
//
// One made with keys that have been changed is not used again: the target will end it once they are good no more, and a
// command written at that moment would be in doubt.
func (s *session) Alive() bool {
	c := s.Conn
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	return s.in.Buffered() == 0 && s.from.serial == s.from.host.opt.serial() && upstream.OpenAndIdle(c)
}

// Do carries one read or write. A write's data goes in the capsule where it fits, otherwise when the
// controller asks; until the last byte of it is written, it cannot have begun.
func (s *session) Do(a core.Attempt, first func() bool) (r core.Result, reuse bool, reason string) {
	x := a.Payload.(*IO)
	op := byte(opRead)
	if x.Write {
		op = opWrite
	}
	inside := x.Write && len(x.Data) <= s.inside
	c := newCommand(op, s.nextCID(), x.Bytes, inside)
	c.set32(4, x.NSID)
	c.set64(40, x.SLBA)
	c.set16(48, uint16(x.Blocks-1))
	if x.Write && s.cache {
		c.set32(48, c.dw(12)|fua)
	}
	var data []byte
	if inside {
		data = x.Data
	}
	capsule := appendPDU(nil, s.framing, typeCmd, 0, c[:], data)
	s.SetDeadline(a.Deadline)
	s.SetWriteDeadline(a.WriteDeadline())
	if !first() {
		r.Code = policy.NotSent
		return r, false, "TARGET_LEAVES"
	}
	if n, err := s.Write(capsule); n < len(capsule) {
		r.Code = policy.NotConnected
		return r, false, "WRITE_" + upstream.ReasonCode(err)
	}
	written := !x.Write || inside
	if written {
		a.NotifySent()
	}
	st, body, err := s.finish(c, x, a, &written)
	if err != nil {
		switch {
		case written && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(a.Deadline):
			s.from.abort(s.qid, c.cid())
			r.Code = policy.ConnectionReset
			return r, false, "READ_STALLED"
		case !written:
			r.Code = policy.NotConnected
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.Code = policy.TimedOut
		default:
			r.Code = policy.ConnectionReset
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			s.from.abort(s.qid, c.cid())
		}
		return r, false, "READ_" + upstream.ReasonCode(err)
	}
	r.Code, r.Payload = outcomeOf(st), body
	return r, s.SetDeadline(time.Time{}) == nil, "CLOSED"
}

// stallAfter is how long an answer that has begun may bring nothing, as on HTTP: one that stops midway is not waited for
// until the attempt's time is over.
const stallAfter = 250 * time.Millisecond

// finish takes part in the command's transfers until its completion.
func (s *session) finish(c *command, x *IO, a core.Attempt, written *bool) (status, []byte, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	var body []byte
	until := a.Deadline
	for {
		s.SetReadDeadline(until)
		if len(body) == 0 {
			if _, err := s.in.Peek(1); err != nil {
				return 0, nil, err
			}
		}
		if at := time.Now().Add(stallAfter); at.Before(until) {
			s.SetReadDeadline(at)
		}
		p, err := s.receive()
		if err != nil {
			return 0, nil, err
		}
		switch p.kind {
		case typeR2T:
			if *written || p.u16(8) != c.cid() {
				return 0, nil, errors.New("R2T for no write that waits")
			}
			offset, length := int64(p.u32(12)), int64(p.u32(16))
			if length == 0 || offset+length > int64(len(x.Data)) {
				return 0, nil, errors.New("R2T out of range")
			}
			if !time.Now().Before(a.WriteDeadline()) {
				// The deadline of writes is kept by a timer, which a busy machine may fire late: what must not leave any more must not hang on it.
				return 0, nil, os.ErrDeadlineExceeded
			}
			if err := s.sendData(c.cid(), p.u16(10), x.Data, int(offset), int(offset+length)); err != nil {
				return 0, nil, err
			}
			if *written = offset+length == int64(len(x.Data)); *written {
				a.NotifySent()
			}
		case typeC2HData:
			if x.Write || p.u16(8) != c.cid() || int64(p.u32(12)) != int64(len(body)) ||
				len(body)+len(p.data) > x.Bytes || p.dataError {
				return 0, nil, errors.New("data for no read, out of order or damaged")
			}
			body = append(body, p.data...)
			if p.flags&flagSuccess != 0 && p.flags&flagLast != 0 {
				return s.whole(stOK, x, body)
			}
		case typeResp:
			done := parseCompletion(p)
			if done.cid != c.cid() {
				return 0, nil, errors.New("completion of another command")
			}
			return s.whole(done.status, x, body)
		case typeC2HTerm:
			return 0, nil, io.ErrUnexpectedEOF
		default:
			return 0, nil, fmt.Errorf("unexpected PDU type %#x", p.kind)
		}
	}
}

// whole takes no read for served whose data is not all there.
func (s *session) whole(st status, x *IO, body []byte) (status, []byte, error) {
	if st == stOK && !x.Write && len(body) != x.Bytes {
		return 0, nil, errors.New("data is not whole")
	}
	return st, body, nil
}

func (s *session) sendData(cid, tag uint16, data []byte, from, to int) error {
	for from < to {
		n := min(to-from, int(s.most))
		flags := byte(0)
		if from+n == to {
			flags = flagLast
		}
		b := appendPDU(nil, s.framing, typeH2CData, flags, dataHead(cid, tag, uint32(from), uint32(n)), data[from:from+n])
		if _, err := s.Write(b); err != nil {
			return err
		}
		from += n
	}
	return nil
}

var _ upstream.Dialer = (*Host)(nil)
