package nvme

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"time"

	"spindlehitch/internal/datapath/core"
)

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
