package nvme

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"spindlehitch/internal/datapath/core"
)

const (
	// dataTimeout is how long the data of a command may take to arrive, if the command's own timeout is not longer, plus one second for
	// each minDataRate bytes that the connection brings meanwhile. Real hosts send 64,000 bytes a second.
	dataTimeout = 2500 * time.Millisecond
	minDataRate = 32 << 10
)

// transfer is data of a command that the host was asked for by an R2T. It lasts until its last byte has come or the connection ends, also if
// its command is completed earlier: the host may be sending the rest, which is discarded. queue.mu guards its fields.
type transfer struct {
	tag       uint16
	cid       uint16
	command   *pending // nil: completed without this data
	size      int      // bytes in all
	received  int
	startedAt time.Time
	readAt    int64       // bytes that the connection had brought at startedAt
	aheadOf   int         // bytes of all transfers of the queue that had not come at startedAt, this one included
	timer     *time.Timer // fails the command if its data is late
}

// transfers are a queue's transfers by tag. queue.mu guards them.
type transfers struct {
	byTag      map[uint16]*transfer
	lastTag    uint16
	abandoned  int  // without a command
	lateLogged bool // only a connection's first late transfer is logged
}

func newTransfers() transfers { return transfers{byTag: map[uint16]*transfer{}} }

// start adds a transfer for a command.
func (ts *transfers) start(p *pending, readAt int64) *transfer {
	for ts.lastTag++; ts.lastTag == 0 || ts.byTag[ts.lastTag] != nil; ts.lastTag++ {
	}
	t := &transfer{tag: ts.lastTag, cid: p.cmd.cid(), command: p, size: p.io.Bytes, startedAt: time.Now(), readAt: readAt}
	ts.byTag[t.tag] = t
	for _, other := range ts.byTag {
		t.aheadOf += other.size - other.received
	}
	p.transfer = t
	return t
}

// abandon takes the command from a transfer whose data is no longer wanted.
func (ts *transfers) abandon(t *transfer) {
	t.timer.Stop()
	t.command.transfer, t.command = nil, nil
	ts.abandoned++
}

// end removes a transfer whose last byte has come, and returns its command; nil: it was completed before.
func (ts *transfers) end(t *transfer) *pending {
	delete(ts.byTag, t.tag)
	p := t.command
	if p == nil {
		ts.abandoned--
		return nil
	}
	t.timer.Stop()
	p.transfer, t.command = nil, nil
	return p
}

// find returns the transfer of a data PDU. The error names the field at fault.
func (ts *transfers) find(pd *pdu) (*transfer, error) {
	cid, tag := pd.u16(8), pd.u16(10)
	if t := ts.byTag[tag]; t != nil && t.cid == cid {
		return t, nil
	}
	for _, t := range ts.byTag {
		if t.cid == cid {
			return nil, &fatalError{fes: fesInvalidHeader, fei: 10, cause: "transfer tag does not match the R2T", head: pd.head}
		}
	}
	return nil, &fatalError{fes: fesInvalidHeader, fei: 8, cause: "data for a command that has no outstanding R2T", head: pd.head}
}

// checkData checks that a data PDU is the next part of the transfer and within the requested range, and reports whether it is the last part.
func (t *transfer) checkData(pd *pdu) (last bool, err error) {
	offset, length := int64(pd.u32(12)), int64(pd.u32(16))
	last = offset+length == int64(t.size)
	fault := &fatalError{head: pd.head}
	switch {
	case length != int64(len(pd.data)) || length > maxH2CData || length == 0:
		fault.fes, fault.fei, fault.cause = fesInvalidHeader, 16, "data length out of range or not that of the data"
	case offset != int64(t.received) || offset+length > int64(t.size):
		fault.fes, fault.fei, fault.cause = fesOutOfRange, 12, "data out of order or beyond the requested range"
	case last != (pd.flags&flagLast != 0):
		fault.fes, fault.fei, fault.cause = fesInvalidHeader, 1, "last-PDU flag does not match the data offset and length"
	default:
		return last, nil
	}
	return false, fault
}

// deadline returns until when the data must have come, given how many bytes the connection has brought and the command's own timeout. What
// else the connection brings counts too, since hosts send the data of several commands on one connection, up to what was to come when the
// transfer began.
func (t *transfer) deadline(bytesRead int64, timeout time.Duration) time.Time {
	progress := min(bytesRead-t.readAt, int64(t.aheadOf))
	return t.startedAt.Add(max(timeout, dataTimeout) + time.Duration(progress)*time.Second/minDataRate)
}

// requestData requests a command's data with an R2T. Only one R2T is outstanding for a command, which every host supports. It rejects
// commands while the host owes the data of as many completed ones as the queue has entries.
func (q *queue) requestData(p *pending) {
	q.mu.Lock()
	if q.cmds[p.cmd.cid()] != p {
		q.mu.Unlock()
		return
	}
	// Stop sets rejectNew before it rejects all transfers: none may begin after that.
	if q.transfers.abandoned >= int(q.size) || q.server.rejectNew.Load() {
		q.mu.Unlock()
		q.reject(p)
		return
	}
	p.io.Data = make([]byte, p.io.Bytes)
	t := q.transfers.start(p, q.bytesRead.Load())
	t.timer = time.AfterFunc(max(q.classTimeout(p), dataTimeout), func() { q.failIfLate(t) })
	q.send(typeR2T, 0, dataHead(t.cid, t.tag, 0, uint32(t.size)), nil)
	q.mu.Unlock()
}

// classTimeout returns the timeout of the write class of the command's namespace.
func (q *queue) classTimeout(p *pending) time.Duration { return q.server.opt.Timeouts[p.ns.Write] }

// failIfLate completes the command of a transfer whose data has not come by its deadline, as not started. Its connection and all
// other commands go on.
func (q *queue) failIfLate(t *transfer) {
	q.mu.Lock()
	p := t.command
	if p == nil {
		q.mu.Unlock()
		return
	}
	if wait := time.Until(t.deadline(q.bytesRead.Load(), q.classTimeout(p))); wait > 0 {
		t.timer.Reset(wait)
		q.mu.Unlock()
		return
	}
	q.transfers.abandon(t) // now, so that data which comes at this moment does not submit the command
	logged := q.transfers.lateLogged
	q.transfers.lateLogged = true
	q.mu.Unlock()
	if q.complete(p, stTransient, 0, nil) && !logged {
		q.server.opt.Log.Warn("host data late", slog.String("reason", "HOST_DATA_LATE"), slog.String("peer", q.conn.RemoteAddr().String()), slog.Int("queue", int(q.qid)))
	}
}

// handleData handles a part of a command's data, which must be in order and within the requested range.
func (q *queue) handleData(pd *pdu) error {
	q.mu.Lock()
	t, err := q.transfers.find(pd)
	if err != nil {
		q.mu.Unlock()
		return err
	}
	last, err := t.checkData(pd)
	if err != nil {
		q.mu.Unlock()
		return err
	}
	offset := t.received
	t.received += len(pd.data)
	p := t.command
	if last {
		p = q.transfers.end(t)
	}
	q.mu.Unlock()
	switch {
	case p == nil: // completed without this data
	case pd.dataError:
		q.complete(p, stTransient, 0, nil) // the command was not started: a retry is harmless
	default:
		copy(p.io.Data[offset:], pd.data)
		if last {
			q.submit(p)
		}
	}
	return nil
}

// rejectTransfers rejects all commands whose data is on its way.
func (q *queue) rejectTransfers() {
	q.mu.Lock()
	var rejected []*pending
	for _, t := range q.transfers.byTag {
		if t.command != nil {
			rejected = append(rejected, t.command)
			q.transfers.abandon(t)
		}
	}
	q.mu.Unlock()
	for _, p := range rejected {
		q.reject(p)
	}
}

// reject completes a command that was not started: the host may retry it here or on another path.
func (q *queue) reject(p *pending) {
	q.complete(p, statusOf(core.Overloaded, q.ctrl.retryDelaysEnabled()), 0, nil)
}

// countingReader counts the bytes that are read through it.
type countingReader struct {
	io.Reader
	count *atomic.Int64
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.count.Add(int64(n))
	return n, err
}
