//go:build review

package lab

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// PDU types of NVMe over TCP.
const (
	icReq, icResp, h2cTerm, c2hTerm, capsuleCmd, capsuleResp, h2cData, c2hData, r2t = 0, 1, 2, 3, 4, 5, 6, 7, 9

	sglOffset, sglTransport = 0x01, 0x5A
	inCapsuleBytes          = 8192
)

// nvmePDU is a PDU without digests; head has the common header too.
type nvmePDU struct {
	kind, flags byte
	head, data  []byte
}

func (p *nvmePDU) u16(at int) uint16 { return binary.LittleEndian.Uint16(p.head[at:]) }
func (p *nvmePDU) u32(at int) uint32 { return binary.LittleEndian.Uint32(p.head[at:]) }

func readPDU(in io.Reader) (*nvmePDU, error) {
	var ch [8]byte
	if _, err := io.ReadFull(in, ch[:]); err != nil {
		return nil, err
	}
	hlen, pdo, plen := int(ch[2]), int(ch[3]), int(binary.LittleEndian.Uint32(ch[4:]))
	if hlen < 8 || plen < hlen || plen > 1<<20 {
		return nil, errors.New("PDU lengths")
	}
	b := make([]byte, plen)
	copy(b, ch[:])
	if _, err := io.ReadFull(in, b[8:]); err != nil {
		return nil, err
	}
	p := &nvmePDU{kind: ch[0], flags: ch[1], head: b[:hlen]}
	if plen > hlen {
		p.data = b[max(pdo, hlen):]
	}
	return p, nil
}

func makePDU(kind, flags byte, head, data []byte) []byte {
	hlen, pdo := 8+len(head), 0
	if len(data) > 0 {
		pdo = hlen
	}
	b := []byte{kind, flags, byte(hlen), byte(pdo), 0, 0, 0, 0}
	binary.LittleEndian.PutUint32(b[4:], uint32(hlen+len(data)))
	return append(append(b, head...), data...)
}

func icHead(limit uint32) []byte {
	h := make([]byte, 120)
	binary.LittleEndian.PutUint32(h[4:], limit)
	return h
}

func dataHead(cid, tag uint16, offset, length uint32) []byte {
	h := make([]byte, 16)
	binary.LittleEndian.PutUint16(h, cid)
	binary.LittleEndian.PutUint16(h[2:], tag)
	binary.LittleEndian.PutUint32(h[4:], offset)
	binary.LittleEndian.PutUint32(h[8:], length)
	return h
}

func respHead(result uint64, cid, status uint16) []byte {
	h := make([]byte, 16)
	binary.LittleEndian.PutUint64(h, result)
	binary.LittleEndian.PutUint16(h[12:], cid)
	binary.LittleEndian.PutUint16(h[14:], status<<1)
	return h
}

// Executed is a write that a target has run.
type Executed struct {
	SLBA uint64
	Text string // the first 16 bytes of the data
	At   time.Time
}

// NVMeTarget is a storage node that speaks NVMe over TCP.
type NVMeTarget struct {
	lab        *Lab
	ID, Addr   string
	Work       time.Duration
	BlockBytes int
	Disturb    func() (delay time.Duration, reset bool) // of each write; nil: none

	mu       sync.Mutex // guards the fields below
	cntlid   uint16
	executed []Executed
}

// NewNVMeTarget starts a target.
func (l *Lab) NewNVMeTarget(id string) *NVMeTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err, "target")
	t := &NVMeTarget{lab: l, ID: id, Addr: ln.Addr().String(), Work: 5 * time.Millisecond, BlockBytes: 512}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t
}

// Entry returns the target's entry in discovery's list.
func (t *NVMeTarget) Entry(cell int, state string) Entry {
	return Entry{t.ID, t.Addr, "pavillon-a", "node-std", cell, state, 1, 0}
}

// Executed returns the writes that were run.
func (t *NVMeTarget) Executed() []Executed {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Executed(nil), t.executed...)
}

func (t *NVMeTarget) run(c net.Conn, slba uint64, data []byte) {
	time.Sleep(t.Work)
	if t.Disturb != nil {
		delay, reset := t.Disturb()
		time.Sleep(delay)
		if reset {
			c.Close()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Executed{slba, string(bytes.TrimRight(data[:min(16, len(data))], "\x00")), time.Now()}
	t.executed = append(t.executed, e)
	t.lab.Note("%s: ran the write %q at block %d", t.ID, e.Text, slba)
}

func (t *NVMeTarget) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var writing sync.Mutex
	send := func(b []byte) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = c.Write(b)
	}
	type open struct {
		slba uint64
		data []byte
		got  int
	}
	writes := map[uint16]*open{}
	admin := false
	for {
		p, err := readPDU(in)
		if err != nil {
			return
		}
		switch p.kind {
		case icReq:
			send(makePDU(icResp, 0, icHead(64<<10), nil))
			continue
		case h2cData:
			w := writes[p.u16(8)]
			if w == nil {
				return
			}
			copy(w.data[p.u32(12):], p.data)
			if w.got += len(p.data); w.got == len(w.data) {
				cid := p.u16(8)
				delete(writes, cid)
				go func() {
					t.run(c, w.slba, w.data)
					send(makePDU(capsuleResp, 0, respHead(0, cid, 0), nil))
				}()
			}
			continue
		case capsuleCmd:
		default:
			return
		}
		q := p.head[8:]
		op, cid := q[0], binary.LittleEndian.Uint16(q[2:])
		answer := func(result uint64) { send(makePDU(capsuleResp, 0, respHead(result, cid, 0), nil)) }
		switch {
		case op == 0x7F && q[4] == 1: // Connect
			admin = binary.LittleEndian.Uint16(q[42:]) == 0
			t.mu.Lock()
			if admin {
				t.cntlid++
			}
			id := t.cntlid
			t.mu.Unlock()
			answer(uint64(id))
		case op == 0x7F && q[4] == 4: // Property Get
			v := uint64(0)
			if binary.LittleEndian.Uint32(q[44:]) == 0x1C {
				v = 1
			}
			answer(v)
		case op == 0x7F:
			answer(0)
		case admin && op == 0x06: // Identify
			page := make([]byte, 4096)
			binary.LittleEndian.PutUint32(page[1792:], (64+inCapsuleBytes)/16)
			send(makePDU(c2hData, 4, dataHead(cid, 0, 0, 4096), page))
			answer(0)
		case admin && op == 0x0C: // an event that never comes
		case admin:
			answer(0)
		case op == 0x01: // Write
			slba, length := binary.LittleEndian.Uint64(q[40:]), binary.LittleEndian.Uint32(q[32:])
			if q[39] == sglOffset {
				data := p.data
				go func() {
					t.run(c, slba, data)
					answer(0)
				}()
				continue
			}
			writes[cid] = &open{slba: slba, data: make([]byte, length)}
			send(makePDU(r2t, 0, dataHead(cid, 1, 0, length), nil))
		case op == 0x02: // Read
			length := (int(binary.LittleEndian.Uint16(q[48:])) + 1) * t.BlockBytes
			go func() {
				time.Sleep(t.Work)
				send(makePDU(c2hData, 4, dataHead(cid, 0, 0, uint32(length)), make([]byte, length)))
				answer(0)
			}()
		default:
			answer(0)
		}
	}
}

// NVMeHost is a client that speaks NVMe over TCP: an admin queue and one I/O queue.
type NVMeHost struct {
	lab   *Lab
	Name  string
	admin net.Conn
	conn  net.Conn

	mu    sync.Mutex // guards the fields below
	cid   uint16
	open  map[uint16]*Command
	ended error // why the queue's connection has ended
	done  chan struct{}
}

// Command is a write.
type Command struct {
	CID     uint16
	Text    string // the first 16 bytes of its data
	data    []byte
	hold    time.Duration // of its data, once it is asked for
	rate    int           // bytes a second of its data; 0: at once
	SentAt  time.Time     // its capsule
	WholeAt time.Time     // its last byte of data; zero: not yet
	Status  uint16
	Done    chan struct{} // closed with its completion, or with the end of the connection
	EndedAt time.Time     // when it was completed; zero: never
}

func connectPDU(cid, qid, size, cntlid uint16, subsystem, host string) []byte {
	q := make([]byte, 64)
	q[0], q[1], q[4] = 0x7F, 0x40, 1
	binary.LittleEndian.PutUint16(q[2:], cid)
	binary.LittleEndian.PutUint32(q[32:], 1024)
	q[39] = sglOffset
	binary.LittleEndian.PutUint16(q[42:], qid)
	binary.LittleEndian.PutUint16(q[44:], size-1)
	if qid == 0 {
		binary.LittleEndian.PutUint32(q[48:], 0) // no keep-alive timeout
	}
	data := make([]byte, 1024)
	binary.LittleEndian.PutUint16(data[16:], cntlid)
	copy(data[256:], subsystem)
	copy(data[512:], host)
	return makePDU(capsuleCmd, 0, q, data)
}

// NewNVMeHost connects a host.
func (l *Lab) NewNVMeHost(name, addr, subsystem string) (*NVMeHost, error) {
	h := &NVMeHost{lab: l, Name: name, open: map[uint16]*Command{}, done: make(chan struct{})}
	hostNQN := "nqn.2026-12.example:" + name
	begin := func(qid, cntlid uint16) (net.Conn, *bufio.Reader, uint64, error) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, nil, 0, err
		}
		c.SetDeadline(time.Now().Add(3 * time.Second))
		in := bufio.NewReader(c)
		_, _ = c.Write(makePDU(icReq, 0, icHead(0), nil))
		if p, err := readPDU(in); err != nil || p.kind != icResp {
			return nil, nil, 0, fmt.Errorf("ICResp: %w", err)
		}
		_, _ = c.Write(connectPDU(1, qid, 32, cntlid, subsystem, hostNQN))
		p, err := readPDU(in)
		if err != nil {
			return nil, nil, 0, err
		}
		if st := p.u16(22) >> 1; p.kind != capsuleResp || st != 0 {
			return nil, nil, 0, fmt.Errorf("connect: status %#x", st)
		}
		return c, in, binary.LittleEndian.Uint64(p.head[8:]), nil
	}
	admin, in, id, err := begin(0, 0xFFFF)
	if err != nil {
		return nil, err
	}
	q := make([]byte, 64) // Property Set CC
	q[0], q[1], q[2] = 0x7F, 0x40, 2
	binary.LittleEndian.PutUint32(q[44:], 0x14)
	binary.LittleEndian.PutUint32(q[48:], 4<<20|6<<16|1)
	_, _ = admin.Write(makePDU(capsuleCmd, 0, q, nil))
	if _, err := readPDU(in); err != nil {
		return nil, err
	}
	admin.SetDeadline(time.Time{})
	c, in, _, err := begin(1, uint16(id))
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Time{})
	h.admin, h.conn = admin, c
	go h.read(in)
	return h, nil
}

// Write sends a write of a whole number of blocks. If it is asked for its data, it sends that after hold.
func (h *NVMeHost) Write(slba uint64, text string, size int, hold time.Duration) *Command {
	return h.write(slba, text, size, hold, 0)
}

// WriteAt sends a write whose data, once it is asked for, goes at so many bytes a second; 0: at once.
func (h *NVMeHost) WriteAt(slba uint64, text string, size, rate int) *Command {
	return h.write(slba, text, size, 0, rate)
}

func (h *NVMeHost) write(slba uint64, text string, size int, hold time.Duration, rate int) *Command {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cid = h.cid%1000 + 1
	for h.open[h.cid] != nil {
		h.cid = h.cid%1000 + 1
	}
	w := &Command{CID: h.cid, Text: text, data: make([]byte, size), hold: hold, rate: rate, SentAt: time.Now(), Done: make(chan struct{})}
	copy(w.data, text)
	if h.ended != nil {
		close(w.Done)
		return w
	}
	h.open[h.cid] = w
	q := make([]byte, 64)
	q[0], q[1], q[39] = 0x01, 0x40, sglTransport
	binary.LittleEndian.PutUint16(q[2:], w.CID)
	binary.LittleEndian.PutUint32(q[4:], 1)
	binary.LittleEndian.PutUint32(q[32:], uint32(size))
	binary.LittleEndian.PutUint64(q[40:], slba)
	binary.LittleEndian.PutUint16(q[48:], uint16(size/512-1))
	var data []byte
	if size <= inCapsuleBytes {
		q[39], data, w.WholeAt = sglOffset, w.data, time.Now()
	}
	_, _ = h.conn.Write(makePDU(capsuleCmd, 0, q, data))
	h.lab.Note("host %s: sent the write %q, command %d, %d bytes", h.Name, text, w.CID, size)
	return w
}

func (h *NVMeHost) read(in *bufio.Reader) {
	var err error
	for err == nil {
		var p *nvmePDU
		if p, err = readPDU(in); err != nil {
			break
		}
		switch p.kind {
		case r2t:
			h.mu.Lock()
			w := h.open[p.u16(8)]
			h.mu.Unlock()
			if w != nil {
				tag := p.u16(10)
				time.AfterFunc(w.hold, func() { h.sendData(w, tag) })
			}
		case capsuleResp:
			h.mu.Lock()
			cid := p.u16(20)
			if w := h.open[cid]; w != nil {
				delete(h.open, cid)
				w.Status, w.EndedAt = p.u16(22)>>1, time.Now()
				h.lab.Note("host %s: the write %q was completed with status %#x", h.Name, w.Text, w.Status)
				close(w.Done)
			}
			h.mu.Unlock()
		case c2hTerm:
			err = errors.New("termination request")
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = err
	h.lab.Note("host %s: the queue's connection has ended: %v; %d commands without a completion", h.Name, err, len(h.open))
	for _, w := range h.open {
		close(w.Done)
	}
	h.open = map[uint16]*Command{}
	close(h.done)
}

func (h *NVMeHost) sendData(w *Command, tag uint16) {
	piece := 32 << 10
	if w.rate > 0 {
		piece = 4 << 10
	}
	began := time.Now()
	for at := 0; at < len(w.data); at += piece {
		if w.rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(at) * time.Second / time.Duration(w.rate))))
		}
		part := w.data[at:min(at+piece, len(w.data))]
		flags := byte(0)
		h.mu.Lock()
		if h.ended != nil {
			h.mu.Unlock()
			return
		}
		if at+len(part) == len(w.data) {
			flags = 4
			w.WholeAt = time.Now()
		}
		_, _ = h.conn.Write(makePDU(h2cData, flags, dataHead(w.CID, tag, uint32(at), uint32(len(part))), part))
		h.mu.Unlock()
	}
	h.lab.Note("host %s: sent the data of %q", h.Name, w.Text)
}

// Close ends both connections.
func (h *NVMeHost) Close() {
	h.conn.Close()
	h.admin.Close()
}

// Ended is closed when the queue's connection has ended.
func (h *NVMeHost) Ended() <-chan struct{} { return h.done }
