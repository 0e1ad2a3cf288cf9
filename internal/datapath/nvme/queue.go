package nvme

import (
	"bufio"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/certs"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/process/listen"
	"spindlehitch/internal/process/mailbox"
)

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
	case err != nil && !errors.Is(err, io.EOF):
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
