package nvme

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
)

// Log pages.
const (
	logErrors     = 0x01
	logHealth     = 0x02
	logFirmware   = 0x03
	logNamespaces = 0x04
	logEffects    = 0x05
	logDiscovery  = 0x70

	errorEntries  = 16
	errorEntryLen = 64
	discoveryLen  = 1024 // length of the discovery log page's header, and of each of its entries
	discoveryNQN  = "nqn.2014-08.org.nvmexpress.discovery"
)

// healthCounters counts the commands and the 512-byte units that the health log page reports.
type healthCounters struct{ reads, writes, readBlocks, writeBlocks atomic.Uint64 }

func (h *healthCounters) count(x *IO) {
	const unit = 512
	if x.Write {
		h.writes.Add(1)
		h.writeBlocks.Add(uint64(x.Bytes / unit))
	} else {
		h.reads.Add(1)
		h.readBlocks.Add(uint64(x.Bytes / unit))
	}
}

// errorLog keeps an entry for each of a controller's last commands that ended with an error.
type errorLog struct {
	mu      sync.Mutex // guards the fields below
	count   uint64     // errors in all
	entries [errorEntries][errorEntryLen]byte
}

func (l *errorLog) add(qid uint16, c *command, st status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &l.entries[l.count%errorEntries]
	l.count++
	*e = [errorEntryLen]byte{}
	binary.LittleEndian.PutUint64(e[0:], l.count)
	binary.LittleEndian.PutUint16(e[8:], qid)
	binary.LittleEndian.PutUint16(e[10:], c.cid())
	binary.LittleEndian.PutUint16(e[12:], uint16(st)<<1)
	binary.LittleEndian.PutUint16(e[14:], 0xFFFF) // the parameter at fault is not reported
	if qid > 0 {
		binary.LittleEndian.PutUint64(e[16:], c.slba())
	}
	if c.op() != opFabrics {
		binary.LittleEndian.PutUint32(e[24:], c.nsid())
	}
}

// page returns the log page, with the newest entry first.
func (l *errorLog) page() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := make([]byte, 0, errorEntries*errorEntryLen)
	for i := uint64(0); i < min(l.count, errorEntries); i++ {
		b = append(b, l.entries[(l.count-1-i)%errorEntries][:]...)
	}
	return b[:cap(b)]
}

// handleGetLogPage carries out Get Log Page for any part of a page, in dwords. Past the end of a page the specification
// leaves the data undefined; it is zeroes here.
func (q *queue) handleGetLogPage(p *pending) {
	c := &p.cmd
	length := (int64(c.dw(10)>>16) | int64(c.dw(11)&0xFFFF)<<16) + 1
	length *= 4
	offset := int64(c.dw(12)) | int64(c.dw(13))<<32
	if length > maxTransfer || int64(c.sglLen()) != length || c.sglType() != sglTransport || offset < 0 || offset%4 != 0 {
		q.complete(p, stInvalidField|dnr, 0, nil)
		return
	}
	const retain = 1 << 15
	page := q.logPageData(byte(c.dw(10)), c.dw(10)&retain != 0)
	switch {
	case page == nil:
		q.complete(p, stInvalidLogPage|dnr, 0, nil)
	case offset > int64(len(page)):
		q.complete(p, stInvalidField|dnr, 0, nil)
	default:
		part := make([]byte, length)
		copy(part, page[offset:])
		q.complete(p, stOK, 0, part)
	}
}

// logPageData returns a whole log page, or nil if the controller has no such page.
func (q *queue) logPageData(lid byte, retain bool) []byte {
	s := q.server
	if q.ctrl.isDiscovery {
		if lid == logDiscovery {
			return s.discoveryPage(q.conn.LocalAddr())
		}
		return nil
	}
	page := make([]byte, 512)
	switch lid {
	case logErrors:
		return q.ctrl.errors.page()
	case logHealth:
		const kelvin = 273
		binary.LittleEndian.PutUint16(page[1:], kelvin+25)
		page[3], page[4] = 100, 10 // available spare and its threshold, in percent
		for at, n := range map[int]uint64{32: (s.health.readBlocks.Load() + 999) / 1000, 48: (s.health.writeBlocks.Load() + 999) / 1000,
			64: s.health.reads.Load(), 80: s.health.writes.Load()} {
			binary.LittleEndian.PutUint64(page[at:], n)
		}
		q.ctrl.errors.mu.Lock()
		binary.LittleEndian.PutUint64(page[176:], q.ctrl.errors.count)
		q.ctrl.errors.mu.Unlock()
	case logFirmware:
		page[0] = 1 // the active slot
		copy(page[8:], "1       ")
	case logNamespaces:
		return q.ctrl.changedNamespacesPage(retain)
	case logEffects:
		page = make([]byte, 4096)
		for _, op := range []int{opGetLogPage, opIdentify, opAbort, opSetFeatures, opGetFeatures, opAsyncEvent, opKeepAlive} {
			page[4*op] = 1
		}
		for _, op := range []int{opFlush, opRead, opCompare, opDatasetManagement} {
			page[1024+4*op] = 1
		}
		for _, op := range []int{opWrite, opWriteZeroes} {
			page[1024+4*op] = 3 // supported, and changes the content of blocks
		}
	default:
		return nil
	}
	return page
}

// discoveryPage returns the discovery log page: one entry, for this subsystem at the address that the host connected to.
func (s *Server) discoveryPage(local net.Addr) []byte {
	page := make([]byte, 2*discoveryLen)
	binary.LittleEndian.PutUint64(page[0:], 1) // generation counter
	binary.LittleEndian.PutUint64(page[8:], 1) // number of records
	e := page[discoveryLen:]
	const tcp, ipv4, ipv6, nvm = 3, 1, 2, 2
	host, port, _ := net.SplitHostPort(local.String())
	e[0], e[1], e[2] = tcp, ipv4, nvm
	if ip := net.ParseIP(host); ip != nil && ip.To4() == nil {
		e[1] = ipv6
	}
	binary.LittleEndian.PutUint16(e[6:], dynamicCntlID)
	binary.LittleEndian.PutUint16(e[8:], uint16(max(s.opt.QueueDepth, 32)))
	pad := func(b []byte, text string) {
		for i := range b {
			b[i] = ' '
		}
		copy(b, text)
	}
	pad(e[32:64], port)
	copy(e[256:512], s.opt.Subsystem)
	pad(e[512:768], host)
	return page
}
