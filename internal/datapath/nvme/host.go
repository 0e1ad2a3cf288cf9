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

	"spindlehitch/internal/datapath/certs"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/policy"
)

// HostOptions are the options of a Host.
type HostOptions struct {
	Subsystem string // of the targets
	HostNQN   string
	HostID    [16]byte
	KeepAlive time.Duration
	Digests   bool         // request header and data digests
	Certs     *certs.Store // TLS certificates; nil: no TLS
}

// keyGeneration returns the generation of the TLS certificates that new connections use.
func (o *HostOptions) keyGeneration() int {
	if o.Certs == nil {
		return 0
	}
	return o.Certs.Generation()
}

// peer is a target's address and the generation of the TLS certificates of its connections. After a rotation, a new
// association is made beside the old one, on which the open commands complete.
type peer struct {
	addr          string
	keyGeneration int
}

// Host is the upstream.Dialer for NVMe: an association with each target, with one I/O queue for each command that is in
// flight. As each command has its own queue, an attempt can be abandoned by closing its connection, without any effect on
// other commands.
type Host struct {
	opt          HostOptions
	mu           sync.Mutex // guards associations
	associations map[peer]*association
}

// NewHost returns a host.
func NewHost(opt HostOptions) *Host { return &Host{opt: opt, associations: map[peer]*association{}} }

// association is the association with one target: its admin queue, connected when it is first needed, and the ids of its
// I/O queues.
type association struct {
	host *Host
	peer
	adminSem chan struct{} // semaphore for the use of the admin queue; unlike a mutex, waiting for it can be abandoned

	mu           sync.Mutex // guards the fields below
	admin        *hostConn  // nil: not connected
	cntlid       uint16
	inUse        map[uint16]bool // ids of the I/O queues
	capabilities capabilities
	lastUsed     time.Time
	unreadAborts int                        // Aborts whose completions have not been read yet
	retryBackoff backoff.ExponentialBackOff // delay after consecutive failed attempts to establish
	retryAt      time.Time                  // no attempt before this time
}

// capabilities are what a target's controller reported in Identify.
type capabilities struct {
	inCapsuleSize int  // bytes of data that a capsule may hold
	writeCache    bool // it has a volatile write cache: writes are sent with FUA
}

// hostConn is one connection to a controller, for an admin queue or an I/O queue.
type hostConn struct {
	net.Conn
	in         *bufio.Reader
	framing    framing // of the PDUs sent; received ones have no alignment
	maxDataPDU uint32  // the controller's MAXH2CDATA
	lastCID    uint16
}

// Dial connects an I/O queue of the target, after the association if there is none yet.
func (h *Host) Dial(ctx context.Context, addr string) (upstream.Session, error) {
	h.mu.Lock()
	key := peer{addr, h.opt.keyGeneration()}
	a := h.associations[key]
	if a == nil {
		maps.DeleteFunc(h.associations, func(_ peer, old *association) bool { return old.removable() }) // of targets that are no longer listed
		a = &association{host: h, peer: key, inUse: map[uint16]bool{}, adminSem: make(chan struct{}, 1), retryBackoff: newRetryBackoff(), lastUsed: time.Now()}
		h.associations[key] = a
	}
	h.mu.Unlock()
	admin, cntlid, qid, caps, err := a.acquireQID(ctx)
	if err != nil {
		return nil, err
	}
	w, err := h.openConn(ctx, addr)
	if err == nil {
		if _, err = w.connect(h.opt, qid, cntlid); err != nil {
			w.Close()
		}
	}
	if err != nil {
		a.releaseQID(qid)
		// A target that rejects the queue has restarted and lost the association: drop it now, and not only when the next
		// Keep Alive fails. A target that timed out may be slow and still have the association.
		if !errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			a.dropAdmin(admin)
		}
		return nil, err
	}
	w.SetDeadline(time.Time{})
	return &session{hostConn: w, assoc: a, qid: qid, capabilities: caps}, nil
}

// removable reports whether the association has ended, has no I/O queues and was not used or retried for a while.
func (a *association) removable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admin == nil && len(a.inUse) == 0 && time.Since(a.lastUsed) > maxUnusedTime && time.Since(a.retryAt) > maxUnusedTime
}

// dropAdmin closes an admin queue. If it is the association's current one, the next Dial connects a new one.
func (a *association) dropAdmin(w *hostConn) {
	a.mu.Lock()
	if a.admin == w {
		a.admin = nil
	}
	a.mu.Unlock()
	w.Close()
}

// openConn opens a connection and negotiates its framing. The connection's deadline is that of ctx.
func (h *Host) openConn(ctx context.Context, addr string) (*hostConn, error) {
	c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if h.opt.Certs != nil {
		host, _, _ := net.SplitHostPort(addr)
		tlsConn := tls.Client(c, h.opt.Certs.ClientConfig(host))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			c.Close()
			return nil, err
		}
		c = tlsConn
	}
	w := &hostConn{Conn: c, in: bufio.NewReaderSize(c, 16<<10)}
	if deadline, ok := ctx.Deadline(); ok {
		c.SetDeadline(deadline)
	}
	var digests byte
	if h.opt.Digests {
		digests = digestHeader | digestData
	}
	if _, err = c.Write(appendPDU(nil, framing{}, typeICReq, 0, icHead(digests, 0), nil)); err == nil {
		err = w.readICResp(digests)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return w, nil
}

// readICResp reads the controller's ICResp, and checks that it grants no digest that was not requested.
func (w *hostConn) readICResp(requested byte) error {
	p, err := readPDU(w.in, framing{})
	switch {
	case err != nil:
		return err
	case p.kind != typeICResp || p.u16(8) != 0 || p.head[10] > maxPDA || p.head[11]&^requested != 0 || p.u32(12) < minH2CData:
		return errors.New("controller sent an invalid ICResp")
	}
	w.framing = framing{hdigest: p.head[11]&digestHeader != 0, ddigest: p.head[11]&digestData != 0, pda: int(p.head[10])}
	w.maxDataPDU = p.u32(12)
	return nil
}

// receive reads a PDU. If the PDU is invalid, it sends the controller a termination request.
func (w *hostConn) receive() (*pdu, error) {
	p, err := readPDU(w.in, framing{hdigest: w.framing.hdigest, ddigest: w.framing.ddigest})
	var f *fatalError
	if errors.As(err, &f) {
		_, _ = w.Write(termPDU(typeH2CTerm, f))
	}
	return p, err
}

func (w *hostConn) nextCID() uint16 {
	w.lastCID++
	return w.lastCID
}

// execute executes a command outside the data path. Its data, if any, is in the capsule; it returns the completion, and the
// page that the controller sent, if any.
func (w *hostConn) execute(c *command, data []byte) (completion, []byte, error) {
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
				return completion{}, nil, errors.New("data out of order, too long or with a wrong digest")
			}
			page = append(page, p.data...)
		case typeResp:
			done := parseCompletion(p)
			if done.cid != c.cid() {
				continue // of an earlier Abort, see association.abort
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

// fabricsCommand returns a fabrics command with length bytes of data in its capsule.
func fabricsCommand(w *hostConn, fctype byte, length int) *command {
	c := newCommand(opFabrics, w.nextCID(), length, length > 0)
	c[4] = fctype
	return c
}

// connect sends Connect and returns the controller's id.
func (w *hostConn) connect(opt HostOptions, qid, cntlid uint16) (uint16, error) {
	c := fabricsCommand(w, fctConnect, connectLen)
	c.set16(42, qid)
	c.set16(44, 31) // SQSIZE, zero-based
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
	done, _, err := w.execute(c, data)
	return uint16(done.result), err
}

// readProperty reads a property of four bytes.
func (w *hostConn) readProperty(offset uint32) (uint64, error) {
	c := fabricsCommand(w, fctPropertyGet, 0)
	c.set32(44, offset)
	done, _, err := w.execute(c, nil)
	return done.result, err
}

// acquireQID establishes the association if necessary and allocates a queue id in it. It returns when ctx ends, even if the
// target does not respond or another caller is waiting for it.
func (a *association) acquireQID(ctx context.Context) (admin *hostConn, cntlid, qid uint16, caps capabilities, err error) {
	for {
		a.mu.Lock()
		if a.admin != nil {
			defer a.mu.Unlock()
			for id := uint16(1); id <= maxIOQueues; id++ {
				if !a.inUse[id] {
					a.inUse[id] = true
					a.lastUsed = time.Now()
					return a.admin, a.cntlid, id, a.capabilities, nil
				}
			}
			return nil, 0, 0, caps, errors.New("all I/O queue ids of the association are in use")
		}
		a.mu.Unlock()
		select {
		case a.adminSem <- struct{}{}:
		case <-ctx.Done():
			return nil, 0, 0, caps, ctx.Err()
		}
		err := a.establish(ctx)
		<-a.adminSem
		if err != nil {
			return nil, 0, 0, caps, err
		}
	}
}

func (a *association) releaseQID(qid uint16) {
	a.mu.Lock()
	delete(a.inUse, qid)
	a.mu.Unlock()
}

// establish connects the admin queue, enables the controller and reads its capabilities. The caller holds adminSem.
func (a *association) establish(ctx context.Context) error {
	a.mu.Lock()
	connected, backingOff := a.admin != nil, time.Now().Before(a.retryAt)
	a.mu.Unlock()
	switch {
	case connected:
		return nil
	case backingOff:
		return errBackingOff
	}
	w, err := a.host.openConn(ctx, a.addr)
	var cntlid uint16
	var caps capabilities
	if err == nil {
		if cntlid, caps, err = a.host.enable(ctx, w); err != nil {
			w.Close()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.retryAt = time.Now().Add(a.retryBackoff.NextBackOff())
		return err
	}
	w.SetDeadline(time.Time{})
	a.admin, a.cntlid, a.capabilities, a.unreadAborts, a.lastUsed = w, cntlid, caps, 0, time.Now()
	a.retryBackoff.Reset()
	go a.sendKeepAlives(w)
	return nil
}

var errBackingOff = errors.New("connecting the association failed recently; backing off")

const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// newRetryBackoff returns the delays after consecutive failed attempts to establish an association. During a delay, attempts
// on the target fail at once, and the policy module decides what happens with their requests.
func newRetryBackoff() backoff.ExponentialBackOff {
	b := backoff.ExponentialBackOff{InitialInterval: minRetryDelay, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxRetryDelay}
	b.Reset()
	return b
}

// enable connects the admin queue, enables the controller, waits until it is ready and reads its capabilities.
func (h *Host) enable(ctx context.Context, w *hostConn) (cntlid uint16, caps capabilities, err error) {
	if cntlid, err = w.connect(h.opt, 0, dynamicCntlID); err != nil {
		return
	}
	c := fabricsCommand(w, fctPropertySet, 0)
	c.set32(44, propCC)
	c.set64(48, 4<<20|6<<16|ccEnable) // queue entry sizes, EN
	if _, _, err = w.execute(c, nil); err != nil {
		return
	}
	for ready := false; !ready; {
		var v uint64
		if v, err = w.readProperty(propCSTS); err != nil {
			return
		}
		if ready = v&cstsReady != 0; !ready {
			select {
			case <-ctx.Done():
				return 0, caps, ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	id := newCommand(opIdentify, w.nextCID(), identifyLen, false)
	id.set32(40, 1)
	_, page, err := w.execute(id, nil)
	if err == nil && len(page) != identifyLen {
		err = errors.New("controller's identify page is incomplete")
	}
	if err != nil {
		return
	}
	return cntlid, capabilities{inCapsuleSize: max(0, int(binary.LittleEndian.Uint32(page[1792:]))*16-64), writeCache: page[525]&1 != 0}, nil
}

// maxUnusedTime is how long an association without I/O queues is kept, so that it is closed soon after its target is removed
// from the list.
const maxUnusedTime = 30 * time.Second

// sendKeepAlives sends Keep Alives until the admin queue fails, is replaced or is unused. Then it closes the admin queue and
// returns.
func (a *association) sendKeepAlives(w *hostConn) {
	interval := a.host.opt.KeepAlive / 2
	for {
		time.Sleep(interval)
		a.mu.Lock()
		keysChanged := a.keyGeneration != a.host.opt.keyGeneration()
		unused := a.admin != w || len(a.inUse) == 0 && (keysChanged || time.Since(a.lastUsed) > maxUnusedTime)
		a.mu.Unlock()
		if unused {
			a.dropAdmin(w)
			if keysChanged { // no new connection uses the old certificates
				a.host.mu.Lock()
				delete(a.host.associations, a.peer)
				a.host.mu.Unlock()
			}
			return
		}
		a.adminSem <- struct{}{}
		w.SetDeadline(time.Now().Add(interval))
		_, _, err := w.execute(newCommand(opKeepAlive, w.nextCID(), 0, false), nil)
		w.SetDeadline(time.Time{})
		a.mu.Lock()
		a.unreadAborts = 0 // their completions preceded this one's
		a.mu.Unlock()
		<-a.adminSem
		if err != nil {
			a.dropAdmin(w)
			return
		}
	}
}

// maxUnreadAborts bounds the Aborts whose completions have not been read; the admin queue has 32 entries.
const maxUnreadAborts = 3

// abort sends an Abort for a command that is abandoned. It is best effort, as what counts is that the command's connection is
// closed. So it does not wait for the admin queue or for a target that does not respond. Its completion is skipped when the
// next Keep Alive reads the admin queue.
func (a *association) abort(qid, cid uint16) {
	select {
	case a.adminSem <- struct{}{}:
		defer func() { <-a.adminSem }()
	default:
		return
	}
	a.mu.Lock()
	w := a.admin
	ok := w != nil && a.unreadAborts < maxUnreadAborts
	a.unreadAborts++
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

// session is an I/O queue of a target, which carries one command at a time. It implements upstream.Session.
type session struct {
	*hostConn
	capabilities
	assoc       *association
	qid         uint16
	releaseOnce sync.Once
}

// Close closes the queue's connection and releases its queue id.
func (s *session) Close() error {
	c := s.Conn
	if tlsConn, ok := c.(*tls.Conn); ok && upstream.HasUnackedData(tlsConn.NetConn()) { // a close_notify alert would wait for the acknowledgement
		c = tlsConn.NetConn()
	}
	err := upstream.CloseOrReset(c)
	s.releaseOnce.Do(func() { s.assoc.releaseQID(s.qid) })
	return err
}

// Alive implements upstream.Session.
//
// It returns false if the certificates have been rotated since the connection was made: the target closes it once it no
// longer accepts the old certificate, and a command written at that moment might or might not have been executed.
func (s *session) Alive() bool {
	c := s.Conn
	if tlsConn, ok := c.(*tls.Conn); ok {
		c = tlsConn.NetConn()
	}
	return s.in.Buffered() == 0 && s.assoc.keyGeneration == s.assoc.host.opt.keyGeneration() && upstream.OpenAndIdle(c)
}

// Do implements upstream.Session.
//
// It executes one read or write. A write's data is sent in the capsule if it fits, and otherwise when the controller requests
// it with R2T. A write cannot have started before the last byte of its data was written.
func (s *session) Do(a core.Attempt, mayStart func() bool) (r core.Result, reuse bool, reason string) {
	x := a.Payload.(*IO)
	op := byte(opRead)
	if x.Write {
		op = opWrite
	}
	inCapsule := x.Write && len(x.Data) <= s.inCapsuleSize
	c := newCommand(op, s.nextCID(), x.Bytes, inCapsule)
	c.set32(4, x.NSID)
	c.set64(40, x.SLBA)
	c.set16(48, uint16(x.Blocks-1))
	if x.Write && s.writeCache {
		c.set32(48, c.dw(12)|fua)
	}
	var data []byte
	if inCapsule {
		data = x.Data
	}
	capsule := appendPDU(nil, s.framing, typeCmd, 0, c[:], data)
	s.SetDeadline(a.Deadline)
	s.SetWriteDeadline(a.WriteDeadline())
	if !mayStart() {
		r.Code = policy.NotSent
		return r, false, "TARGET_LEAVES"
	}
	if n, err := s.Write(capsule); n < len(capsule) {
		r.Code = policy.NotConnected
		return r, false, "WRITE_" + upstream.ReasonCode(err)
	}
	written := !x.Write || inCapsule
	if written {
		a.NotifySent()
	}
	st, body, err := s.transfer(c, x, a, &written)
	if err != nil {
		switch {
		case !written:
			r.Code = policy.NotConnected
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.Code = policy.TimedOut
		default:
			r.Code = policy.ConnectionReset
		}
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			s.assoc.abort(s.qid, c.cid())
		}
		if errors.Is(err, errStalled) {
			return r, false, "READ_STALLED"
		}
		return r, false, "READ_" + upstream.ReasonCode(err)
	}
	r.Code, r.Payload = outcomeOf(st), body
	return r, s.SetDeadline(time.Time{}) == nil, "CLOSED"
}

// errStalled means that a response began and did not end in its time.
var errStalled = fmt.Errorf("response stopped midway: %w", os.ErrDeadlineExceeded)

// stallError returns errStalled in place of a missed deadline, if the response has begun.
func stallError(err error, responding bool) error {
	if responding && errors.Is(err, os.ErrDeadlineExceeded) {
		return errStalled
	}
	return err
}

// transfer sends and receives the command's data until its completion. It sets written once the last byte of a write's data
// has been written.
func (s *session) transfer(c *command, x *IO, a core.Attempt, written *bool) (status, []byte, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	var body []byte
	s.SetReadDeadline(a.Deadline)
	responding := false
	for {
		if _, err := s.in.Peek(1); err != nil {
			return 0, nil, stallError(err, responding)
		}
		if responding = *written; responding {
			s.SetReadDeadline(a.AnswerDeadline())
		}
		p, err := s.receive()
		if err != nil {
			return 0, nil, stallError(err, responding)
		}
		switch p.kind {
		case typeR2T:
			if *written || p.u16(8) != c.cid() {
				return 0, nil, errors.New("unexpected R2T")
			}
			offset, length := int64(p.u32(12)), int64(p.u32(16))
			if length == 0 || offset+length > int64(len(x.Data)) {
				return 0, nil, errors.New("R2T out of range")
			}
			if !time.Now().Before(a.WriteDeadline()) {
				// A write deadline is enforced by a timer, which a busy machine may fire late. Data must not be sent after its
				// deadline, so check the time as well.
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
				return 0, nil, errors.New("unexpected data, or data out of order, too long or with a wrong digest")
			}
			body = append(body, p.data...)
			if p.flags&flagSuccess != 0 && p.flags&flagLast != 0 {
				return s.checkLength(stOK, x, body)
			}
		case typeResp:
			done := parseCompletion(p)
			if done.cid != c.cid() {
				return 0, nil, errors.New("completion with the id of another command")
			}
			return s.checkLength(done.status, x, body)
		case typeC2HTerm:
			return 0, nil, io.ErrUnexpectedEOF
		default:
			return 0, nil, fmt.Errorf("unexpected PDU type %#x", p.kind)
		}
	}
}

// checkLength fails a successful read whose data is incomplete.
func (s *session) checkLength(st status, x *IO, body []byte) (status, []byte, error) {
	if st == stOK && !x.Write && len(body) != x.Bytes {
		return 0, nil, errors.New("read completed with incomplete data")
	}
	return st, body, nil
}

// sendData sends the data from offset from up to to, in the H2CData PDUs of one R2T.
func (s *session) sendData(cid, tag uint16, data []byte, from, to int) error {
	for from < to {
		n := min(to-from, int(s.maxDataPDU))
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
