package nvme

import (
	"bytes"
	"encoding/binary"
	"time"
)

const (
	// capBase is CAP without the queue size: contiguous queues required, ready within ten times 500 ms, NVM command set.
	capBase = 1<<16 | 10<<24 | 1<<37
	version = 0x00010400 // 1.4

	ccEnable      = 1 << 0
	ccShutdown    = 3 << 14
	cstsReady     = 1 << 0
	cstsShutdown  = 2 << 2 // shutdown complete
	dynamicCntlID = 0xFFFF

	hostBehaviorLen = 512
)

// handleConnect carries out a connection's first command, which must be Connect. An admin queue gets a new controller, an
// I/O queue is added to the controller of its association.
func (q *queue) handleConnect(p *pending, data []byte) {
	c, s := &p.cmd, q.server
	if c.op() != opFabrics || c.fctype() != fctConnect {
		q.complete(p, stSequence|dnr, 0, nil)
		return
	}
	if len(data) != connectLen {
		q.complete(p, stInvalidField|dnr, 0, nil)
		return
	}
	if c.dw(10)&0xFFFF != 0 {
		q.complete(p, stBadFormat|dnr, 0, nil)
		return
	}
	qid, size := uint16(c.dw(10)>>16), c.dw(11)&0xFFFF+1
	cntlid := binary.LittleEndian.Uint16(data[16:])
	subnqn, host := parseNQN(data[256:512]), parseNQN(data[512:768])
	isDiscovery := subnqn == discoveryNQN
	if subnqn != s.opt.Subsystem && (!isDiscovery || qid > 0) || host == "" || size < 2 || int(size) > max(s.opt.QueueDepth, 32) || qid > 0 && int(size) > s.opt.QueueDepth {
		q.complete(p, stBadConnect|dnr, 0, nil)
		return
	}
	st := stOK
	var ctrl *controller
	if qid == 0 {
		if cntlid != dynamicCntlID {
			st = stBadConnect | dnr
		} else if ctrl = s.newController(q, host, time.Duration(c.dw(12))*time.Millisecond, isDiscovery); ctrl == nil {
			st = stControllerBusy
		}
	} else {
		s.mu.Lock()
		ctrl = s.controllers[cntlid]
		s.mu.Unlock()
		switch {
		case ctrl == nil || ctrl.host != host || ctrl.isDiscovery || qid > maxIOQueues:
			st = stBadConnect | dnr
		case !ctrl.addQueue(q, qid):
			st = stSequence | dnr // the controller is not enabled, or it already has this queue
		}
	}
	if st != stOK {
		q.complete(p, st, 0, nil)
		return
	}
	q.mu.Lock()
	q.ctrl, q.qid, q.size, q.sqhd = ctrl, qid, uint16(size), 1
	connClosed := q.cmds == nil
	q.mu.Unlock()
	if connClosed {
		ctrl.removeQueue(q) // closed meanwhile: closing did not remove it, as it had no controller yet
		return
	}
	q.connected.Store(true)
	q.complete(p, stOK, uint64(ctrl.id), nil)
}

// parseNQN returns the null-terminated name in a field.
func parseNQN(b []byte) string {
	s, _, _ := bytes.Cut(b, []byte{0})
	return string(s)
}

// newController returns a controller for a host's admin queue, or nil if all controller ids are in use.
func (s *Server) newController(q *queue, host string, kato time.Duration, isDiscovery bool) *controller {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 0xFF00 {
		s.nextID = s.nextID%0xFF00 + 1
		if s.controllers[s.nextID] != nil {
			continue
		}
		c := &controller{id: s.nextID, server: s, host: host, queues: map[uint16]*queue{0: q}, kato: kato, isDiscovery: isDiscovery}
		if kato > 0 {
			c.keepAliveTimer = time.AfterFunc(kato, func() { c.closeAllQueues("KEEP_ALIVE_LATE") })
		}
		s.controllers[c.id] = c
		return c
	}
	return nil
}

// addQueue adds an I/O queue. It returns false if the controller is not enabled, has no admin queue or already has this one.
func (c *controller) addQueue(q *queue, qid uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.csts&cstsReady == 0 || c.queues[qid] != nil || c.queues[0] == nil {
		return false
	}
	c.queues[qid] = q
	return true
}

// removeQueue removes a queue whose connection has closed. Without its admin queue, the association ends.
func (c *controller) removeQueue(q *queue) {
	c.mu.Lock()
	if c.queues[q.qid] == q {
		delete(c.queues, q.qid)
	}
	c.mu.Unlock()
	if q.qid != 0 {
		return
	}
	c.server.mu.Lock()
	delete(c.server.controllers, c.id)
	c.server.mu.Unlock()
	c.closeAllQueues("ASSOCIATION_ENDED")
}

func (c *controller) closeAllQueues(reason string) { c.closeQueues(reason, 0) }

// closeQueues closes the connections of all queues with this id or a higher one.
func (c *controller) closeQueues(reason string, from uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keepAliveTimer != nil && from == 0 {
		c.keepAliveTimer.Stop()
	}
	for id, q := range c.queues {
		if id >= from {
			q.closeAfterWrites(reason)
		}
	}
}

// retryDelaysEnabled reports whether the host enabled retry delays (ACRE).
func (c *controller) retryDelaysEnabled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acre
}

// handleFabrics carries out Property Get and Property Set, and Disconnect on an I/O queue. Other fabrics commands are
// outside the subset.
func (q *queue) handleFabrics(p *pending) {
	c := &p.cmd
	if c.fctype() == fctConnect {
		q.complete(p, stSequence|dnr, 0, nil)
		return
	}
	if q.qid != 0 && c.fctype() == fctDisconnect {
		if c.dw(10)&0xFFFF != 0 {
			q.complete(p, stBadFormat|dnr, 0, nil)
			return
		}
		q.complete(p, stOK, 0, nil)
		q.closeAfterWrites("HOST_DISCONNECTED") // open commands end with the queue, as the host asked
		return
	}
	if q.qid != 0 || c.fctype() != fctPropertyGet && c.fctype() != fctPropertySet {
		q.complete(p, stInvalidOpcode|dnr, 0, nil)
		return
	}
	eightBytes, offset := c.dw(10)&7 == 1, c.dw(11)
	if c.fctype() == fctPropertySet {
		if offset != propCC || eightBytes {
			q.complete(p, stInvalidField|dnr, 0, nil)
			return
		}
		q.ctrl.setCC(c.dw(12))
		q.complete(p, stOK, 0, nil)
		return
	}
	ctrl := q.ctrl
	ctrl.mu.Lock()
	values := map[uint32]uint64{propCAP: capBase | uint64(q.server.opt.QueueDepth-1), propVS: version, propCC: uint64(ctrl.cc), propCSTS: uint64(ctrl.csts)}
	ctrl.mu.Unlock()
	v, known := values[offset]
	if !known || eightBytes != (offset == propCAP) {
		q.complete(p, stInvalidField|dnr, 0, nil)
		return
	}
	q.complete(p, stOK, v, nil)
}

// setCC enables, resets or shuts down the controller. A reset closes its I/O queues.
func (c *controller) setCC(cc uint32) {
	c.mu.Lock()
	oldCC := c.cc
	c.cc = cc
	switch {
	case cc&ccEnable == 0:
		c.csts = 0
		c.events.reset()
	case cc&ccShutdown != 0:
		c.csts |= cstsShutdown
	default:
		c.csts = cstsReady
	}
	c.mu.Unlock()
	if oldCC&ccEnable != 0 && cc&ccEnable == 0 {
		c.closeQueues("CONTROLLER_RESET", 1)
	}
}

// handleAdmin carries out the admin commands of the subset.
func (q *queue) handleAdmin(p *pending, data []byte) {
	c := &p.cmd
	switch c.op() {
	case opKeepAlive:
		if q.ctrl.keepAliveTimer != nil {
			q.ctrl.keepAliveTimer.Reset(q.ctrl.kato)
		}
		q.complete(p, stOK, 0, nil)
	case opAbort:
		q.ctrl.mu.Lock()
		at := q.ctrl.queues[uint16(c.dw(10))]
		q.ctrl.mu.Unlock()
		notAborted := uint64(1)
		if at != nil && at.abort(uint16(c.dw(10)>>16)) {
			notAborted = 0
		}
		q.complete(p, stOK, notAborted, nil)
	case opIdentify:
		page := q.identify(c)
		if page == nil || c.sglType() != sglTransport || c.sglLen() != identifyLen {
			q.complete(p, stInvalidField|dnr, 0, nil)
			return
		}
		q.complete(p, stOK, 0, page)
	case opSetFeatures, opGetFeatures:
		q.handleFeature(p, data)
	case opAsyncEvent:
		q.handleAsyncEvent(p)
	case opGetLogPage:
		q.handleGetLogPage(p)
	default:
		q.complete(p, stInvalidOpcode|dnr, 0, nil)
	}
}

// handleFeature carries out Set Features and Get Features for what hosts set when they start: the number of queues, the
// enabled events, the keep-alive timeout and retry delays. None of them can be saved.
func (q *queue) handleFeature(p *pending, data []byte) {
	c, ctrl := &p.cmd, q.ctrl
	set, fid, value := c.op() == opSetFeatures, c.dw(10)&0xFF, c.dw(11)
	const save, selectBits, capabilities = 1 << 31, 7 << 8, 3 << 8
	if set && c.dw(10)&save != 0 {
		q.complete(p, stNotChangeable|dnr, 0, nil)
		return
	}
	changeable := uint64(0)
	switch fid {
	case featQueues, featAsyncEvents, featHostBehavior:
		changeable = 1 << 2
	case featKeepAlive:
	default:
		q.complete(p, stInvalidField|dnr, 0, nil)
		return
	}
	if !set && c.dw(10)&selectBits == capabilities {
		q.complete(p, stOK, changeable, nil)
		return
	}
	ctrl.mu.Lock()
	result, page, st := uint64(0), []byte(nil), stOK
	switch {
	case fid == featQueues:
		result = (maxIOQueues-1)<<16 | (maxIOQueues - 1)
	case fid == featAsyncEvents && set:
		ctrl.events.enabled = value & supportedEvents
	case fid == featAsyncEvents:
		result = uint64(ctrl.events.enabled)
	case fid == featKeepAlive && set:
		st = stNotChangeable | dnr // it is set by Connect
	case fid == featKeepAlive:
		result = uint64(ctrl.kato.Milliseconds())
	case set && len(data) != hostBehaviorLen:
		st = stInvalidField | dnr
	case set:
		ctrl.acre = data[0] == 1
	default:
		page = make([]byte, hostBehaviorLen)
		if ctrl.acre {
			page[0] = 1
		}
	}
	ctrl.mu.Unlock()
	q.complete(p, st, result, page)
}

// identify returns the requested page, or nil if the subset does not have it.
func (q *queue) identify(c *command) []byte {
	page := make([]byte, identifyLen)
	s := q.server
	ns := s.namespace(c.nsid())
	if q.ctrl.isDiscovery && c.dw(10)&0xFF != 1 {
		return nil
	}
	switch c.dw(10) & 0xFF {
	case 0, 0x11: // namespace, active or allocated: here all allocated ones are active
		if ns == nil {
			return nil
		}
		for _, at := range []int{0, 8, 16} {
			binary.LittleEndian.PutUint64(page[at:], ns.Blocks)
		}
		for size := ns.BlockBytes; size > 1; size >>= 1 {
			page[130]++
		}
	case 1: // controller
		putText := func(at, n int, s string) { copy(page[at:at+n], append([]byte(s), bytes.Repeat([]byte(" "), n)...)) }
		putText(4, 20, s.opt.Subsystem[max(0, len(s.opt.Subsystem)-20):])
		putText(24, 40, "spindlehitch")
		putText(64, 8, "1")
		page[77] = 5 // MDTS: 2^5 pages of 4 KiB, see maxTransfer
		binary.LittleEndian.PutUint16(page[78:], q.ctrl.id)
		binary.LittleEndian.PutUint32(page[80:], version)
		page[111] = 1 // an I/O controller
		if q.ctrl.isDiscovery {
			page[111] = 2
		}
		binary.LittleEndian.PutUint32(page[92:], supportedEvents) // OAES
		for i, d := range retryDelays {
			binary.LittleEndian.PutUint16(page[128+2*i:], d)
		}
		page[258] = 3                                   // ACL: four Aborts at a time
		page[259] = maxEventRequests - 1                // AERL, zero-based
		page[261] = 1<<1 | 1<<2                         // Commands Supported and Effects page, log pages with an offset
		page[262] = errorEntries - 1                    // error log entries, zero-based
		binary.LittleEndian.PutUint16(page[320:], 1)    // keep-alive granularity of 100 ms
		page[512], page[513] = 0x66, 0x44               // sizes of queue entries
		binary.LittleEndian.PutUint16(page[514:], 1024) // MAXCMD: most outstanding commands of a queue
		binary.LittleEndian.PutUint32(page[516:], s.maxNSID())
		binary.LittleEndian.PutUint16(page[520:], 1|1<<2|1<<3) // Compare, Dataset Management, Write Zeroes
		binary.LittleEndian.PutUint32(page[536:], 1|1<<20)     // SGLs, with offsets in the capsule
		copy(page[768:1024], s.opt.Subsystem)
		if q.ctrl.isDiscovery {
			copy(page[768:1024], discoveryNQN+"\x00")
		}
		binary.LittleEndian.PutUint32(page[1792:], (64+maxInCapsuleData)/16)
		binary.LittleEndian.PutUint32(page[1796:], 1)
		page[1803] = 1
		binary.LittleEndian.PutUint16(page[1804:], 1) // Disconnect
	case 6: // the NVM command set's controller page
		page[1] = 5 // WZSL: the limit of Write Zeroes is that of a transfer
	case 2, 0x10: // list of active or allocated namespaces with a higher id than the given one
		if c.nsid() >= allNamespaces-1 {
			return nil
		}
		at := 0
		for id := c.nsid() + 1; id != 0 && id <= s.maxNSID() && at < identifyLen; id++ {
			if s.namespace(id) != nil {
				binary.LittleEndian.PutUint32(page[at:], id)
				at += 4
			}
		}
	case 3: // namespace identification descriptors
		if ns == nil {
			return nil
		}
		page[0], page[1] = 1, 8 // EUI-64
		copy(page[4:], eui64Of(ns))
	default:
		return nil
	}
	return page
}

// maxNSID returns the highest NSID in use.
func (s *Server) maxNSID() uint32 {
	top := uint32(0)
	for id := range *s.namespaces.Load() {
		top = max(top, id)
	}
	return top
}
