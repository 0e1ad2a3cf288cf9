package nvme

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"time"
)

// Verdict is the result of checking a clause.
type Verdict string

const (
	// Pass means that the controller meets the clause.
	Pass Verdict = "pass"
	// Fail means that it does not; Result.Detail says what it did instead.
	Fail Verdict = "fail"
	// Unsupported means that the clause is about a feature outside the subset, and that the controller rejects the feature with
	// the status that the specification requires.
	Unsupported Verdict = "outside"
	// Skipped means that the check writes to the namespace and ConformanceOptions.AllowWrites is not set.
	Skipped Verdict = "skipped"
)

// Result is the result of one clause.
type Result struct {
	Section string // of the specification
	Clause  string // the requirement
	Verdict Verdict
	Detail  string // what failed
}

// ConformanceOptions are the options of RunConformance.
type ConformanceOptions struct {
	Addr        string // of the controller, a loopback address
	Subsystem   string
	NSID        uint32
	AllowWrites bool          // blocks 0 to 255 of the namespace may be overwritten
	Timeout     time.Duration // of each connection in all; 0: 5 s
}

// clause is one requirement and its check. Sections are those of the TCP transport specification 1.0 (TCP), the base
// specification 2.0 (base) and the NVM command set specification 1.0 (NVM).
type clause struct {
	section, text       string
	writes, unsupported bool // unsupported: the feature is outside the subset, and check expects its rejection
	check               func(*probe) error
}

// RunConformance checks a controller against each clause, each on connections of its own.
func RunConformance(opt ConformanceOptions) ([]Result, error) {
	host, _, err := net.SplitHostPort(opt.Addr)
	if err != nil {
		return nil, fmt.Errorf("address: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("address: %q is not a loopback address", host)
	}
	if opt.Timeout <= 0 {
		opt.Timeout = 5 * time.Second
	}
	var results []Result
	for _, c := range clauses {
		r := Result{Section: c.section, Clause: c.text, Verdict: Pass}
		switch {
		case c.writes && !opt.AllowWrites:
			r.Verdict = Skipped
		default:
			p := &probe{opt: opt}
			err := c.check(p)
			p.close()
			switch {
			case err != nil:
				r.Verdict, r.Detail = Fail, err.Error()
			case c.unsupported:
				r.Verdict = Unsupported
			}
		}
		results = append(results, r)
	}
	return results, nil
}

// probe is the host that checks one clause: the connections that it opened, and what the controller reported.
type probe struct {
	opt        ConformanceOptions
	conns      []*hostConn
	cntlid     uint16
	blockBytes int // block size of the namespace
	blocks     uint64
	digests    bool          // request digests on the next connections
	kato       time.Duration // keep-alive timeout; 0: a minute
}

func (p *probe) close() {
	for _, w := range p.conns {
		w.Close()
	}
}

func (p *probe) host() *Host {
	kato := p.kato
	if kato == 0 {
		kato = time.Minute
	}
	return NewHost(HostOptions{Subsystem: p.opt.Subsystem, HostNQN: "nqn.2026-12.example.spindlehitch:conformance",
		KeepAlive: kato, Digests: p.digests})
}

// connect opens a connection, with a deadline, and negotiates its framing.
func (p *probe) connect() (*hostConn, error) {
	ctx, stop := context.WithTimeout(context.Background(), p.opt.Timeout)
	defer stop()
	w, err := p.host().openConn(ctx, p.opt.Addr)
	if err == nil {
		p.conns = append(p.conns, w)
	}
	return w, err
}

// dialRaw opens a TCP connection without sending anything on it.
func (p *probe) dialRaw() (net.Conn, error) {
	c, err := net.DialTimeout("tcp", p.opt.Addr, p.opt.Timeout)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(p.opt.Timeout))
	p.conns = append(p.conns, &hostConn{Conn: c})
	return c, nil
}

// admin connects and enables an admin queue.
func (p *probe) admin() (*hostConn, error) {
	w, err := p.connect()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), p.opt.Timeout)
	defer stop()
	p.cntlid, _, err = p.host().enable(ctx, w)
	return w, err
}

// queue connects an admin queue and an I/O queue of 8 entries, and reads the namespace's size.
func (p *probe) queue() (*hostConn, error) {
	adminConn, err := p.admin()
	if err != nil {
		return nil, err
	}
	id := newCommand(opIdentify, adminConn.nextCID(), identifyLen, false)
	id.set32(4, p.opt.NSID)
	_, page, err := adminConn.execute(id, nil)
	if err != nil {
		return nil, fmt.Errorf("identify namespace: %w", err)
	}
	p.blocks, p.blockBytes = binary.LittleEndian.Uint64(page), 1<<page[130]
	w, err := p.connect()
	if err != nil {
		return nil, err
	}
	return w, p.connectQueue(w, 1, 8)
}

// connectQueue sends Connect for an I/O queue.
func (p *probe) connectQueue(w *hostConn, qid, size uint16) error {
	c := fabricsCommand(w, fctConnect, connectLen)
	c.set16(42, qid)
	c.set16(44, size-1)
	_, _, err := w.execute(c, p.connectData(p.opt.Subsystem))
	return err
}

func (p *probe) connectData(subsystem string) []byte {
	data := make([]byte, connectLen)
	binary.LittleEndian.PutUint16(data[16:], p.cntlid)
	copy(data[256:511], subsystem)
	copy(data[512:767], p.host().opt.HostNQN)
	return data
}

// rw returns a read, a write or another command with the same fields, for some blocks.
func (p *probe) rw(w *hostConn, op byte, lba uint64, blocks int, inCapsule bool) *command {
	c := newCommand(op, w.nextCID(), blocks*p.blockBytes, inCapsule)
	c.set32(4, p.opt.NSID)
	c.set64(40, lba)
	c.set16(48, uint16(blocks-1))
	return c
}

// expectStatus executes a command and checks its status.
func (p *probe) expectStatus(w *hostConn, c *command, data []byte, want status) error {
	done, _, err := w.execute(c, data)
	if done.status == want && (err == nil || want != stOK) {
		return nil
	}
	if err != nil && done.status == stOK {
		return err
	}
	return fmt.Errorf("status %#x, want %#x", uint16(done.status), uint16(want))
}

// expectTermination waits for a termination request and checks its status and its field (negative: any).
func expectTermination(in io.Reader, fes uint16, fei int64) error {
	for {
		pd, err := readPDU(in, framing{})
		if err != nil {
			return fmt.Errorf("no termination request: %w", err)
		}
		if pd.kind != typeC2HTerm {
			continue
		}
		if got := pd.u16(8); got != fes {
			return fmt.Errorf("FES %#x, want %#x", got, fes)
		}
		if got := int64(binary.LittleEndian.Uint32(pd.head[10:])); fei >= 0 && got != fei {
			return fmt.Errorf("FEI %d, want %d", got, fei)
		}
		return nil
	}
}

// terminatedAfterBytes sends bytes on a new connection and expects a termination request.
func terminatedAfterBytes(b []byte, fes uint16, fei int64) func(*probe) error {
	return func(p *probe) error {
		c, err := p.dialRaw()
		if err != nil {
			return err
		}
		if _, err := c.Write(b); err != nil {
			return err
		}
		return expectTermination(c, fes, fei)
	}
}

// onQueue runs a check on an I/O queue.
func onQueue(check func(*probe, *hostConn) error) func(*probe) error {
	return func(p *probe) error {
		w, err := p.queue()
		if err != nil {
			return err
		}
		return check(p, w)
	}
}

// onAdmin runs a check on an enabled admin queue.
func onAdmin(check func(*probe, *hostConn) error) func(*probe) error {
	return func(p *probe) error {
		w, err := p.admin()
		if err != nil {
			return err
		}
		return check(p, w)
	}
}

// adminStatus sends an admin command with these dwords and checks its status.
func adminStatus(op byte, length int, dw10, dw11 uint32, want status) func(*probe) error {
	return onAdmin(func(p *probe, w *hostConn) error {
		c := newCommand(op, w.nextCID(), length, false)
		c.set32(40, dw10)
		c.set32(44, dw11)
		return p.expectStatus(w, c, nil, want)
	})
}

// ioStatus sends a command on an I/O queue, after modify has changed it, and checks its status.
func ioStatus(op byte, blocks int, want status, modify func(*probe, *command)) func(*probe) error {
	return onQueue(func(p *probe, w *hostConn) error {
		c := p.rw(w, op, 0, blocks, false)
		modify(p, c)
		return p.expectStatus(w, c, nil, want)
	})
}

// startWrite sends a write without data in the capsule, and returns the transfer tag of the R2T for its data.
func (p *probe) startWrite(w *hostConn, blocks int) (c *command, tag uint16, err error) {
	c = p.rw(w, opWrite, 0, blocks, false)
	if _, err = w.Write(appendPDU(nil, w.framing, typeCmd, 0, c[:], nil)); err != nil {
		return
	}
	pd, err := w.receive()
	if err == nil && pd.kind != typeR2T {
		err = fmt.Errorf("PDU type %#x where an R2T was due", pd.kind)
	}
	if err == nil {
		tag = pd.u16(10)
	}
	return
}

// terminatedAfterData starts a write of 32 blocks, sends an H2CData with the fields that modify returns and expects a
// termination request.
func terminatedAfterData(fes uint16, fei int64, modify func(p *probe, cid, tag uint16) (cidOut, tagOut uint16, offset, length, body int)) func(*probe) error {
	return onQueue(func(p *probe, w *hostConn) error {
		c, tag, err := p.startWrite(w, 32)
		if err != nil {
			return err
		}
		cid, tag, offset, length, body := modify(p, c.cid(), tag)
		_, _ = w.Write(appendPDU(nil, w.framing, typeH2CData, 0, dataHead(cid, tag, uint32(offset), uint32(length)), make([]byte, body)))
		return expectTermination(w.in, fes, fei)
	})
}

// icReq returns an ICReq, after modify has changed it.
func icReq(modify func([]byte)) []byte {
	b := appendPDU(nil, framing{}, typeICReq, 0, icHead(0, 0), nil)
	modify(b)
	return b
}

// pattern returns data for some blocks, different in each of them and for each seed.
func (p *probe) pattern(blocks, seed int) []byte {
	b := make([]byte, blocks*p.blockBytes)
	for i := range b {
		b[i] = byte(i*7 + i/p.blockBytes + seed)
	}
	return b
}

// readData sends a command and returns its data and its status.
func (p *probe) readData(w *hostConn, c *command) ([]byte, status, error) {
	if _, err := w.Write(appendPDU(nil, w.framing, typeCmd, 0, c[:], nil)); err != nil {
		return nil, 0, err
	}
	var body []byte
	for {
		pd, err := w.receive()
		if err != nil {
			return nil, 0, err
		}
		switch {
		case pd.kind == typeResp && parseCompletion(pd).cid == c.cid():
			return body, parseCompletion(pd).status, nil
		case pd.kind == typeC2HData && pd.u16(8) == c.cid() && int(pd.u32(12)) == len(body):
			body = append(body, pd.data...)
		default:
			return nil, 0, fmt.Errorf("PDU type %#x out of place", pd.kind)
		}
	}
}

// writeAndReadBack writes blocks and checks that they read back as written.
func writeAndReadBack(blocks int, inCapsule, digests bool) func(*probe) error { //nolint:gocognit // to be split with its package, see docs/left.md
	return func(p *probe) error {
		p.digests = digests
		return onQueue(func(p *probe, w *hostConn) error {
			data := p.pattern(blocks, blocks)
			c := p.rw(w, opWrite, 0, blocks, inCapsule)
			if inCapsule {
				if err := p.expectStatus(w, c, data, stOK); err != nil {
					return err
				}
			} else {
				var tag uint16
				var err error
				if c, tag, err = p.startWrite(w, blocks); err != nil {
					return err
				}
				if err = (&session{hostConn: w}).sendData(c.cid(), tag, data, 0, len(data)); err != nil {
					return err
				}
				pd, err := w.receive()
				if err != nil {
					return err
				}
				if done := parseCompletion(pd); pd.kind != typeResp || done.status != stOK || done.cid != c.cid() {
					return fmt.Errorf("write ended with %+v", done)
				}
			}
			body, st, err := p.readData(w, p.rw(w, opRead, 0, blocks, false))
			if err != nil {
				return err
			}
			if st != stOK || !bytes.Equal(body, data) {
				return fmt.Errorf("read back: status %#x, %d bytes, not what was written", uint16(st), len(body))
			}
			return nil
		})(p)
	}
}

// expectClose waits until the controller closes the connection.
func expectClose(w *hostConn) error {
	for {
		if _, err := w.receive(); errors.Is(err, os.ErrDeadlineExceeded) {
			return errors.New("the connection is still open")
		} else if err != nil {
			return nil
		}
	}
}

// writeCC sets the property CC, the controller configuration.
func writeCC(w *hostConn, cc uint64) error {
	c := fabricsCommand(w, fctPropertySet, 0)
	c.set32(44, propCC)
	c.set64(48, cc)
	_, _, err := w.execute(c, nil)
	return err
}

// identifyPage reads an Identify page and checks it.
func identifyPage(cns uint32, check func(*probe, []byte) bool) func(*probe) error {
	return onAdmin(func(p *probe, w *hostConn) error {
		c := newCommand(opIdentify, w.nextCID(), identifyLen, false)
		if cns == 0 || cns == 3 {
			c.set32(4, p.opt.NSID)
		}
		c.set32(40, cns)
		_, b, err := w.execute(c, nil)
		switch {
		case err != nil:
			return err
		case len(b) != identifyLen || !check(p, b):
			return fmt.Errorf("%d bytes that do not say so", len(b))
		}
		return nil
	})
}

// truncatedConnects sends prefixes of ICReq and Connect, each on its own connection, and checks that the controller still
// accepts a host.
func truncatedConnects(p *probe) error {
	c := fabricsCommand(&hostConn{}, fctConnect, connectLen)
	whole := append(icReq(func([]byte) {}), appendPDU(nil, framing{}, typeCmd, 0, c[:], p.connectData(p.opt.Subsystem))...)
	for cut := 0; cut < len(whole); cut += 1 + cut/16 {
		n, err := p.dialRaw()
		if err != nil {
			return err
		}
		_, _ = n.Write(whole[:cut])
		n.Close()
	}
	_, err := p.admin()
	return err
}

var clauses = slices.Concat([]clause{
	{section: "TCP 3.6.2.2", text: "a connection that does not begin with ICReq is terminated (sequence error)",
		check: terminatedAfterBytes(appendPDU(nil, framing{}, typeCmd, 0, make([]byte, cmdLen-commonLen), nil), fesSequence, -1)},
	{section: "TCP 3.6.2.2", text: "a PDU format version that is not supported is terminated, with its field",
		check: terminatedAfterBytes(icReq(func(b []byte) { b[8] = 9 }), fesUnsupported, 8)},
	{section: "TCP 3.6.2.3", text: "ICResp grants no digest that was not asked for; MAXH2CDATA is 4,096 at least",
		check: func(p *probe) error { _, err := p.connect(); return err }},
	{section: "TCP 3.6.1", text: "a PDU type that does not exist is terminated (invalid header, field 0)",
		check: terminatedAfterBytes([]byte{0x0F, 0, 128, 0, 128, 0, 0, 0}, fesInvalidHeader, 0)},
	{section: "TCP 3.6.1", text: "a header length that does not fit the type is terminated (field 2)",
		check: terminatedAfterBytes([]byte{typeICReq, 0, 64, 0, 64, 0, 0, 0}, fesInvalidHeader, 2)},
	{section: "TCP 3.6.1", text: "a PDU length under its header's is terminated (field 4)",
		check: terminatedAfterBytes([]byte{typeICReq, 0, 128, 0, 8, 0, 0, 0}, fesInvalidHeader, 4)},
	{section: "TCP 3.6.1", text: "a PDU length without bound is terminated (field 4)",
		check: terminatedAfterBytes([]byte{typeCmd, 0, 72, 72, 255, 255, 255, 255}, fesInvalidHeader, 4)},
	{section: "TCP 3.3.2.1", text: "a header digest that is wrong is terminated (header digest error)",
		check: func(p *probe) error {
			p.digests = true
			w, err := p.connect()
			if err != nil {
				return err
			}
			b := appendPDU(nil, w.framing, typeCmd, 0, make([]byte, cmdLen-commonLen), nil)
			b[len(b)-1] ^= 1
			_, _ = w.Write(b)
			return expectTermination(w.in, fesHeaderDigest, -1)
		}},
	{section: "TCP 3.3.2.1", text: "a data digest that is wrong fails its command (transient), the connection goes on",
		check: func(p *probe) error {
			p.digests = true
			return onQueue(func(p *probe, w *hostConn) error {
				c := p.rw(w, opCompare, 0, 1, true)
				b := appendPDU(nil, w.framing, typeCmd, 0, c[:], p.pattern(1, 1))
				b[len(b)-1] ^= 1
				if _, err := w.Write(b); err != nil {
					return err
				}
				pd, err := w.receive()
				if err != nil {
					return err
				}
				if st := parseCompletion(pd).status; st.code() != stTransient {
					return fmt.Errorf("status %#x", uint16(st))
				}
				return p.expectStatus(w, p.rw(w, opFlush, 0, 1, false), nil, stOK)
			})(p)
		}},
	{section: "TCP 3.6", text: "a connection cut at any byte harms no other", check: truncatedConnects},
	{section: "TCP 3.6.2.4", text: "a host's termination request ends the connection", check: func(p *probe) error {
		w, err := p.connect()
		if err != nil {
			return err
		}
		_, _ = w.Write(termPDU(typeH2CTerm, &fatalError{fes: fesSequence}))
		return expectClose(w)
	}},
	{section: "TCP 3.6.2.8", text: "data for a command that asked for none is terminated (field 8)", writes: true,
		check: terminatedAfterData(fesInvalidHeader, 8, func(p *probe, cid, tag uint16) (uint16, uint16, int, int, int) {
			return cid + 1, tag, 0, p.blockBytes, p.blockBytes
		})},
	{section: "TCP 3.6.2.8", text: "data under another transfer tag is terminated (field 10)", writes: true,
		check: terminatedAfterData(fesInvalidHeader, 10, func(p *probe, cid, tag uint16) (uint16, uint16, int, int, int) {
			return cid, tag + 1, 0, p.blockBytes, p.blockBytes
		})},
	{section: "TCP 3.6.2.8", text: "data out of order is terminated (out of range)", writes: true,
		check: terminatedAfterData(fesOutOfRange, -1, func(p *probe, cid, tag uint16) (uint16, uint16, int, int, int) {
			return cid, tag, p.blockBytes, p.blockBytes, p.blockBytes
		})},
	{section: "TCP 3.6.2.8", text: "data beyond the command's length is terminated", writes: true,
		check: terminatedAfterData(fesOutOfRange, -1, func(p *probe, cid, tag uint16) (uint16, uint16, int, int, int) {
			return cid, tag, 0, 33 * p.blockBytes, 33 * p.blockBytes
		})},
	{section: "TCP 3.6.2.8", text: "a data length that is not the data's is terminated (field 16)", writes: true,
		check: terminatedAfterData(fesInvalidHeader, 16, func(p *probe, cid, tag uint16) (uint16, uint16, int, int, int) {
			return cid, tag, 0, 2 * p.blockBytes, p.blockBytes
		})},
	{section: "TCP 3.6.2.8", text: "data that overlaps what came is terminated (out of range)", writes: true,
		check: onQueue(func(p *probe, w *hostConn) error {
			c, tag, err := p.startWrite(w, 32)
			if err != nil {
				return err
			}
			for range 2 {
				_, _ = w.Write(appendPDU(nil, w.framing, typeH2CData, 0, dataHead(c.cid(), tag, 0, uint32(p.blockBytes)), make([]byte, p.blockBytes)))
			}
			return expectTermination(w.in, fesOutOfRange, -1)
		})},
	{section: "TCP 3.6.2.9", text: "read back what was written, data in the capsule", writes: true, check: writeAndReadBack(4, true, false)},
	{section: "TCP 3.6.2.10", text: "read back what was written, data asked for by R2T, both digests", writes: true, check: writeAndReadBack(200, false, true)},
	{section: "TCP 3.6.2.8", text: "a host that goes amid a write's data harms no other", writes: true,
		check: onQueue(func(p *probe, w *hostConn) error {
			if _, _, err := p.startWrite(w, 32); err != nil {
				return err
			}
			w.Close()
			_, err := p.queue()
			return err
		})},
}, []clause{
	{section: "base 6.3", text: "Connect to a subsystem of another name: Connect Invalid Parameters", check: func(p *probe) error {
		w, err := p.connect()
		if err != nil {
			return err
		}
		p.cntlid = dynamicCntlID
		c := fabricsCommand(w, fctConnect, connectLen)
		c.set16(44, 31)
		return p.expectStatus(w, c, p.connectData("nqn.2026-12.example:nobody"), stBadConnect|dnr)
	}},
	{section: "base 6.3", text: "another command before Connect: Command Sequence Error", check: func(p *probe) error {
		w, err := p.connect()
		if err != nil {
			return err
		}
		return p.expectStatus(w, newCommand(opKeepAlive, w.nextCID(), 0, false), nil, stSequence|dnr)
	}},
	{section: "base 6.3", text: "an I/O queue of a controller that is not there: Connect Invalid Parameters", check: func(p *probe) error {
		w, err := p.connect()
		if err != nil {
			return err
		}
		p.cntlid = 0xFFEF
		c := fabricsCommand(w, fctConnect, connectLen)
		c.set16(42, 1)
		c.set16(44, 7)
		return p.expectStatus(w, c, p.connectData(p.opt.Subsystem), stBadConnect|dnr)
	}},
	{section: "base 6.3", text: "an I/O queue that is there already: Command Sequence Error", check: onQueue(func(p *probe, _ *hostConn) error {
		w, err := p.connect()
		if err != nil {
			return err
		}
		c := fabricsCommand(w, fctConnect, connectLen)
		c.set16(42, 1)
		c.set16(44, 7)
		return p.expectStatus(w, c, p.connectData(p.opt.Subsystem), stSequence|dnr)
	})},
	{section: "base 6.4", text: "Disconnect deletes the queue", check: onQueue(func(p *probe, w *hostConn) error {
		if _, _, err := w.execute(fabricsCommand(w, fctDisconnect, 0), nil); err != nil {
			return err
		}
		return expectClose(w)
	})},
	{section: "base 6.5", text: "Property Get: version 1.4 or later, ready once enabled", check: onAdmin(func(p *probe, w *hostConn) error {
		v, err := w.readProperty(propVS)
		if err == nil && v < version {
			err = fmt.Errorf("version %#x", v)
		}
		if err != nil {
			return err
		}
		if v, err = w.readProperty(propCSTS); err == nil && v&cstsReady == 0 {
			err = fmt.Errorf("status %#x", v)
		}
		return err
	})},
	{section: "base 6.5", text: "Property Get of what there is not: Invalid Field", check: onAdmin(func(p *probe, w *hostConn) error {
		c := fabricsCommand(w, fctPropertyGet, 0)
		c.set32(44, 0x44)
		return p.expectStatus(w, c, nil, stInvalidField|dnr)
	})},
	{section: "base 3.6.1", text: "CC.SHN: shutdown is told as complete", check: onAdmin(func(p *probe, w *hostConn) error {
		if err := writeCC(w, 4<<20|6<<16|1<<14|ccEnable); err != nil {
			return err
		}
		v, err := w.readProperty(propCSTS)
		if err == nil && v&(3<<2) != cstsShutdown {
			err = fmt.Errorf("status %#x", v)
		}
		return err
	})},
	{section: "base 3.7.2", text: "a controller reset ends I/O queues and keeps the admin queue", check: onQueue(func(p *probe, w *hostConn) error {
		adminConn := p.conns[0]
		if err := writeCC(adminConn, 0); err != nil {
			return err
		}
		if err := expectClose(w); err != nil {
			return err
		}
		_, err := adminConn.readProperty(propCSTS)
		return err
	})},
	{section: "base 3.9", text: "a host without keep-alives past its time-out loses its association", check: func(p *probe) error {
		p.kato = 300 * time.Millisecond
		w, err := p.admin()
		if err != nil {
			return err
		}
		return expectClose(w)
	}},
	{section: "base 5.18", text: "keep-alives keep the association past its time-out", check: func(p *probe) error {
		p.kato = 400 * time.Millisecond
		w, err := p.admin()
		for range 6 {
			if err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
			_, _, err = w.execute(newCommand(opKeepAlive, w.nextCID(), 0, false), nil)
		}
		return err
	}},
	{section: "base 5.17.2.1", text: "Identify namespace: a size, blocks of 512 bytes at least",
		check: identifyPage(0, func(_ *probe, b []byte) bool { return binary.LittleEndian.Uint64(b) > 0 && b[130] >= 9 })},
	{section: "base 5.17.2.2", text: "Identify controller: the subsystem's name, entry sizes, a keep-alive granularity",
		check: identifyPage(1, func(p *probe, b []byte) bool {
			return parseNQN(b[768:1024]) == p.opt.Subsystem && b[512]&15 == 6 && b[513]&15 == 4 && binary.LittleEndian.Uint16(b[320:]) > 0
		})},
	{section: "base 5.17.2.3", text: "Identify active namespaces: the namespace is there, ids ascend",
		check: identifyPage(2, func(p *probe, b []byte) bool {
			found, last := false, uint32(0)
			for at := 0; at < len(b); at += 4 {
				id := binary.LittleEndian.Uint32(b[at:])
				if id == 0 {
					break
				}
				if id <= last {
					return false
				}
				found, last = found || id == p.opt.NSID, id
			}
			return found
		})},
	{section: "base 5.17.2.4", text: "Identify namespace identification: one descriptor at least",
		check: identifyPage(3, func(_ *probe, b []byte) bool { return b[0] > 0 && b[1] > 0 })},
	{section: "base 5.17", text: "Identify of a CNS there is not: Invalid Field", check: adminStatus(opIdentify, identifyLen, 0xC0, 0, stInvalidField|dnr)},
	{section: "base 5.16.1.2", text: "Get Log Page: error information", check: adminStatus(opGetLogPage, 64, logErrors|15<<16, 0, stOK)},
	{section: "base 5.16.1.3", text: "Get Log Page: health", check: adminStatus(opGetLogPage, 512, logHealth|127<<16, 0, stOK)},
	{section: "base 5.16.1.4", text: "Get Log Page: firmware slot", check: adminStatus(opGetLogPage, 512, logFirmware|127<<16, 0, stOK)},
	{section: "base 5.16.1.5", text: "Get Log Page: changed namespaces", check: adminStatus(opGetLogPage, 4096, logNamespaces|1023<<16, 0, stOK)},
	{section: "base 5.16.1.6", text: "Get Log Page: commands and their effects", check: adminStatus(opGetLogPage, 4096, logEffects|1023<<16, 0, stOK)},
	{section: "base 5.16", text: "Get Log Page of a page there is not: Invalid Log Page", check: adminStatus(opGetLogPage, 512, 0xDF|127<<16, 0, stInvalidLogPage|dnr)},
	{section: "base 5.27.1.5", text: "Set Features: number of queues", check: onAdmin(func(p *probe, w *hostConn) error {
		c := newCommand(opSetFeatures, w.nextCID(), 0, false)
		c.set32(40, featQueues)
		c.set32(44, 3<<16|3)
		_, _, err := w.execute(c, nil)
		return err
	})},
	{section: "base 5.27.1.9", text: "Set Features: asynchronous event configuration", check: adminStatus(opSetFeatures, 0, featAsyncEvents, supportedEvents, stOK)},
	{section: "base 5.27", text: "Set Features of a feature there is not: Invalid Field", check: adminStatus(opSetFeatures, 0, 0xCF, 0, stInvalidField|dnr)},
	{section: "base 5.1", text: "Abort of a command that is not there: completed, told as not aborted", check: onAdmin(func(p *probe, w *hostConn) error {
		c := newCommand(opAbort, w.nextCID(), 0, false)
		c.set32(40, 1|0x7777<<16)
		done, _, err := w.execute(c, nil)
		if err == nil && done.result&1 == 0 {
			err = errors.New("told as aborted")
		}
		return err
	})},
	{section: "base 5.2", text: "event requests wait; past the limit: Asynchronous Event Request Limit Exceeded", check: onAdmin(func(p *probe, w *hostConn) error {
		for range 17 {
			c := newCommand(opAsyncEvent, w.nextCID(), 0, false)
			_, _ = w.Write(appendPDU(nil, w.framing, typeCmd, 0, c[:], nil))
		}
		pd, err := w.receive()
		if err != nil {
			return err
		}
		if st := parseCompletion(pd).status; st.code() != stAsyncLimit {
			return fmt.Errorf("status %#x", uint16(st))
		}
		return nil
	})},
	{section: "base 3.3.3", text: "a command id that is in use: Command ID Conflict", check: onAdmin(func(p *probe, w *hostConn) error {
		c := newCommand(opAsyncEvent, w.nextCID(), 0, false)
		_, _ = w.Write(appendPDU(nil, w.framing, typeCmd, 0, c[:], nil))
		again := newCommand(opKeepAlive, c.cid(), 0, false)
		return p.expectStatus(w, again, nil, stCIDConflict|dnr)
	})},
	{section: "base 5.16.1.23", text: "discovery: the subsystem is found by the well-known name", check: func(p *probe) error {
		subsystem := p.opt.Subsystem
		p.opt.Subsystem = discoveryNQN
		defer func() { p.opt.Subsystem = subsystem }()
		w, err := p.admin()
		if err != nil {
			return err
		}
		c := newCommand(opGetLogPage, w.nextCID(), 2*discoveryLen, false)
		c.set32(40, logDiscovery|(2*discoveryLen/4-1)<<16)
		_, b, err := w.execute(c, nil)
		if err == nil && parseNQN(b[discoveryLen+256:discoveryLen+512]) != subsystem {
			err = fmt.Errorf("the first entry is %q", parseNQN(b[discoveryLen+256:discoveryLen+512]))
		}
		return err
	}},
	{section: "base 7.1", text: "Flush of a namespace", check: ioStatus(opFlush, 1, stOK, func(*probe, *command) {})},
	{section: "base 3.1.2", text: "an opcode that does not exist: Invalid Opcode", check: ioStatus(0x7E, 1, stInvalidOpcode|dnr, func(*probe, *command) {})},
	{section: "base 3.2.1", text: "a namespace that is not there: Invalid Namespace", check: ioStatus(opRead, 1, stInvalidNS|dnr, func(_ *probe, c *command) { c.set32(4, 0xABCDE) })},
	{section: "NVM 3.2.4", text: "Read past the namespace's end: LBA Out of Range", check: ioStatus(opRead, 2, stLBARange|dnr, func(p *probe, c *command) { c.set64(40, p.blocks-1) })},
	{section: "NVM 3.2.4", text: "Read from an address near the largest: LBA Out of Range", check: ioStatus(opRead, 2, stLBARange|dnr, func(_ *probe, c *command) { c.set64(40, 1<<64-1) })},
	{section: "NVM 3.2.4", text: "Read with a length that is not its blocks': Invalid Field", check: ioStatus(opRead, 2, stInvalidField|dnr, func(p *probe, c *command) { c.set32(32, uint32(p.blockBytes)) })},
	{section: "NVM 3.2.1", text: "Compare: success, and Compare Failure", writes: true, check: onQueue(func(p *probe, w *hostConn) error {
		data := p.pattern(2, 5)
		if err := p.expectStatus(w, p.rw(w, opWrite, 8, 2, true), data, stOK); err != nil {
			return err
		}
		if err := p.expectStatus(w, p.rw(w, opCompare, 8, 2, true), data, stOK); err != nil {
			return err
		}
		return p.expectStatus(w, p.rw(w, opCompare, 8, 2, true), p.pattern(2, 6), stCompareFailure)
	})},
	{section: "NVM 3.2.8", text: "Write Zeroes: the blocks read as zeroes", writes: true, check: onQueue(func(p *probe, w *hostConn) error {
		if err := p.expectStatus(w, p.rw(w, opWrite, 8, 2, true), p.pattern(2, 5), stOK); err != nil {
			return err
		}
		c := p.rw(w, opWriteZeroes, 8, 2, false)
		c.set32(32, 0)
		c[39] = 0
		if err := p.expectStatus(w, c, nil, stOK); err != nil {
			return err
		}
		body, st, err := p.readData(w, p.rw(w, opRead, 8, 2, false))
		if err == nil && (st != stOK || !bytes.Equal(body, make([]byte, 2*p.blockBytes))) {
			err = fmt.Errorf("status %#x, %d bytes that are not all zeroes", uint16(st), len(body))
		}
		return err
	})},
	{section: "NVM 3.2.3", text: "Dataset Management: a range past the end: LBA Out of Range", check: onQueue(func(p *probe, w *hostConn) error {
		r := make([]byte, 16)
		binary.LittleEndian.PutUint32(r[4:], 2)
		binary.LittleEndian.PutUint64(r[8:], p.blocks-1)
		c := newCommand(opDatasetManagement, w.nextCID(), len(r), true)
		c.set32(4, p.opt.NSID)
		c.set32(44, 1<<2)
		return p.expectStatus(w, c, r, stLBARange|dnr)
	})},
}, []clause{
	{section: "base 3.3.1", text: "fused commands", unsupported: true, check: ioStatus(opRead, 1, stInvalidField|dnr, func(_ *probe, c *command) { c[1] |= 1 })},
	{section: "base 4.1.1", text: "PRPs", unsupported: true, check: ioStatus(opRead, 1, stInvalidField|dnr, func(_ *probe, c *command) { c[1] = 0 })},
	{section: "base 7.5", text: "reservations", unsupported: true, check: ioStatus(0x0D, 1, stInvalidOpcode|dnr, func(*probe, *command) {})},
	{section: "NVM 3.2.7", text: "Write Uncorrectable", unsupported: true, check: ioStatus(0x04, 1, stInvalidOpcode|dnr, func(*probe, *command) {})},
	{section: "NVM 3.2.5", text: "Verify", unsupported: true, check: ioStatus(0x0C, 1, stInvalidOpcode|dnr, func(*probe, *command) {})},
	{section: "NVM 3.2.2", text: "Copy", unsupported: true, check: ioStatus(0x19, 1, stInvalidOpcode|dnr, func(*probe, *command) {})},
	{section: "base 5.14", text: "Format NVM", unsupported: true, check: adminStatus(0x80, 0, 0, 0, stInvalidOpcode|dnr)},
	{section: "base 5.24", text: "Namespace Management", unsupported: true, check: adminStatus(0x0D, 0, 0, 0, stInvalidOpcode|dnr)},
	{section: "base 6.2", text: "in-band authentication", unsupported: true, check: onAdmin(func(p *probe, w *hostConn) error {
		return p.expectStatus(w, fabricsCommand(w, 0x05, 0), nil, stInvalidOpcode|dnr)
	})},
})
