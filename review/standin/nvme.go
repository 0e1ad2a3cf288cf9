//go:build review

package standin

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/nvme"
)

// Names of the subsystems, as in deploy/nvme.toml.
const (
	PoolNQN   = "nqn.2026-12.example.spindlehitch:pool"
	targetNQN = "nqn.2026-12.example.spindlehitch:target"
	hostNQN   = "nqn.2026-12.example.spindlehitch:review-host"
)

// BlockBytes is the size of a block of the namespace.
const BlockBytes = 512

// Operator returns an operator's file like deploy/nvme.toml.
func Operator(listen string) string {
	return fmt.Sprintf(`[nvme]
listen = %q
subsystem = %q
target_subsystem = %q
host_nqn = "nqn.2026-12.example.spindlehitch:initiator"
host_id = "5f0c2a7d9e314b68a1d47c03be925f16"
queue_depth = 64
keep_alive_ms = 5000
digests = false

[[nvme.namespace]]
id = 1
volume = "00000003b4d60021"
plan = "standard"
hosts = 1
block_bytes = %d
blocks = 2097152
stripe_blocks = 2048
shards = [0]
unit_blocks = 16
read = "position-read"
write = "event-write"
bulk = "history-export"
bulk_blocks = 64
`, listen, PoolNQN, targetNQN, BlockBytes)
}

// NVMeTarget is a storage node that speaks NVMe over TCP: the project's controller in front of a store in memory.
type NVMeTarget struct {
	c      *Case
	Work   func(x *nvme.IO) time.Duration // of a command
	mu     sync.Mutex
	blocks map[uint64][]byte
	runs   int
}

// RunCount returns the number of commands that were run.
func (t *NVMeTarget) RunCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs
}

// Submit implements nvme.Core.
func (t *NVMeTarget) Submit(j *core.Job) bool {
	x := j.Payload.(*nvme.IO)
	t.c.Log("target: runs write=%v slba=%d blocks=%d", x.Write, x.SLBA, x.Blocks)
	time.AfterFunc(t.Work(x), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.runs++
		if x.Write {
			for i := range uint64(x.Blocks) {
				t.blocks[x.SLBA+i] = x.Data[i*BlockBytes : (i+1)*BlockBytes]
			}
			j.Done(core.Response{Status: core.Served})
			return
		}
		body := make([]byte, 0, x.Bytes)
		empty := make([]byte, BlockBytes)
		for i := range uint64(x.Blocks) {
			if b := t.blocks[x.SLBA+i]; b != nil {
				body = append(body, b...)
			} else {
				body = append(body, empty...)
			}
		}
		j.Done(core.Response{Status: core.Served, Payload: body})
	})
	return true
}

// Cancel implements nvme.Core: running work goes on.
func (t *NVMeTarget) Cancel(*core.Job) {}

// NVMeTarget starts a storage node and returns its address.
func (c *Case) NVMeTarget(work func(x *nvme.IO) time.Duration) (*NVMeTarget, string) {
	t := &NVMeTarget{c: c, Work: work, blocks: map[uint64][]byte{}}
	l, err := net.Listen("tcp", c.FreeAddrs(1)[0])
	c.Must(err)
	ns := nvme.Namespace{ID: 1, Volume: "00000003b4d60021", Plan: "standard", Hosts: 1, BlockBytes: BlockBytes, Blocks: 2097152, StripeBlocks: 2048, Shards: []int{0}, UnitBlocks: 16,
		Read: "position-read", Write: "event-write"}
	s := nvme.New(t, nvme.Options{Subsystem: targetNQN, Namespaces: []nvme.Namespace{ns}, QueueDepth: 64, MaxConns: 1000, MaxBufferedBytes: 1 << 30,
		Timeouts: map[string]time.Duration{"position-read": time.Minute, "event-write": time.Minute}, Shutdown: core.NewShutdownSchedule(3 * time.Second), Log: slog.New(slog.DiscardHandler)})
	go func() { _ = s.Serve(l) }()
	return t, l.Addr().String()
}

// PDU types and opcodes that a host needs.
const (
	pduICReq   = 0x00
	pduCmd     = 0x04
	pduResp    = 0x05
	pduH2CData = 0x06
	pduC2HData = 0x07
	pduR2T     = 0x09
	OpWrite    = 0x01
	OpRead     = 0x02
	opFabrics  = 0x7F
)

// Completion is a command's end.
type Completion struct {
	CID    uint16
	Status uint16 // without the phase bit
	Bytes  int    // data received
	At     time.Time
}

// R2T is a controller's request for the data of a write.
type R2T struct {
	CID, Tag       uint16
	Offset, Length int
}

// Queue is a host's connection: its admin queue or an I/O queue. One goroutine may send at a time, and one may receive.
type Queue struct {
	net.Conn
	in     *bufio.Reader
	sendMu sync.Mutex
	cntlid uint16
	data   map[uint16]int
}

func pdu(kind, flags byte, head, data []byte) []byte {
	hlen, pdo := 8+len(head), 0
	plen := hlen + len(data)
	if len(data) > 0 {
		pdo = hlen
	}
	b := []byte{kind, flags, byte(hlen), byte(pdo)}
	b = binary.LittleEndian.AppendUint32(b, uint32(plen))
	return append(append(b, head...), data...)
}

func (q *Queue) send(b []byte) error {
	q.sendMu.Lock()
	defer q.sendMu.Unlock()
	_, err := q.Conn.Write(b)
	return err
}

// command sends a command capsule.
func (q *Queue) command(op byte, cid uint16, set func(c []byte), data []byte) error {
	c := make([]byte, 64)
	c[0], c[1] = op, 0x40
	binary.LittleEndian.PutUint16(c[2:], cid)
	binary.LittleEndian.PutUint32(c[32:], uint32(len(data)))
	c[39] = 0x5A
	if len(data) > 0 {
		c[39] = 0x01
	}
	set(c)
	return q.send(pdu(pduCmd, 0, c, data))
}

// IO sends a read or a write whose data is sent as the controller asks for it.
func (q *Queue) IO(op byte, cid uint16, slba uint64, blocks int) error {
	return q.command(op, cid, func(c []byte) {
		binary.LittleEndian.PutUint32(c[4:], 1)
		binary.LittleEndian.PutUint32(c[32:], uint32(blocks*BlockBytes))
		binary.LittleEndian.PutUint64(c[40:], slba)
		binary.LittleEndian.PutUint16(c[48:], uint16(blocks-1))
	}, nil)
}

// Data sends a part of a write's data.
func (q *Queue) Data(r R2T, offset int, part []byte) error {
	flags := byte(0)
	if offset+len(part) == r.Offset+r.Length {
		flags = 1 << 2
	}
	h := make([]byte, 16)
	binary.LittleEndian.PutUint16(h, r.CID)
	binary.LittleEndian.PutUint16(h[2:], r.Tag)
	binary.LittleEndian.PutUint32(h[4:], uint32(offset))
	binary.LittleEndian.PutUint32(h[8:], uint32(len(part)))
	return q.send(pdu(pduH2CData, flags, h, part))
}

// Next receives until a completion or an R2T.
func (q *Queue) Next() (*Completion, *R2T, error) {
	for {
		var ch [8]byte
		if _, err := io.ReadFull(q.in, ch[:]); err != nil {
			return nil, nil, err
		}
		plen := int(binary.LittleEndian.Uint32(ch[4:]))
		if plen < 24 || plen > 1<<20 {
			return nil, nil, fmt.Errorf("PDU of %d bytes", plen)
		}
		rest := make([]byte, plen-8)
		if _, err := io.ReadFull(q.in, rest); err != nil {
			return nil, nil, err
		}
		u16 := func(at int) uint16 { return binary.LittleEndian.Uint16(rest[at:]) }
		u32 := func(at int) int { return int(binary.LittleEndian.Uint32(rest[at:])) }
		switch ch[0] {
		case pduC2HData:
			q.data[u16(0)] += u32(8)
		case pduR2T:
			return nil, &R2T{u16(0), u16(2), u32(4), u32(8)}, nil
		case pduResp:
			done := &Completion{CID: u16(12), Status: u16(14) >> 1, Bytes: q.data[u16(12)], At: time.Now()}
			delete(q.data, done.CID)
			q.cntlid = u16(0)
			return done, nil, nil
		default:
			return nil, nil, fmt.Errorf("PDU of type %#x, %x", ch[0], rest[:min(len(rest), 16)])
		}
	}
}

// wait receives the completion of the only command that is open.
func (q *Queue) wait() error {
	done, _, err := q.Next()
	if err == nil && (done == nil || done.Status != 0) {
		err = fmt.Errorf("completion %+v", done)
	}
	return err
}

// connect opens a connection and sends Connect.
func connect(addr string, hostName string, qid, cntlid uint16, dial func(addr string) (net.Conn, error)) (*Queue, error) {
	c, err := dial(addr)
	if err != nil {
		return nil, err
	}
	q := &Queue{Conn: c, in: bufio.NewReaderSize(c, 4<<10), data: map[uint16]int{}}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if err := q.send(pdu(pduICReq, 0, make([]byte, 120), nil)); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(q.in, make([]byte, 128)); err != nil {
		return nil, err
	}
	data := make([]byte, 1024)
	binary.LittleEndian.PutUint16(data[16:], cntlid)
	copy(data[256:], PoolNQN)
	copy(data[512:], hostName)
	if err := q.command(opFabrics, 1, func(c []byte) {
		c[4] = 0x01
		binary.LittleEndian.PutUint16(c[42:], qid)
		if binary.LittleEndian.PutUint16(c[44:], 31); qid > 0 {
			binary.LittleEndian.PutUint16(c[44:], 63)
		}
	}, data); err != nil {
		return nil, err
	}
	return q, q.wait()
}

// Connect connects a host's admin queue and its I/O queues. The admin queue stays open with them.
func Connect(addr, name string, queues int, dial func(addr string) (net.Conn, error)) (admin *Queue, io []*Queue, err error) {
	if dial == nil {
		dial = func(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, time.Second) }
	}
	if admin, err = connect(addr, hostNQN+name, 0, 0xFFFF, dial); err != nil {
		return nil, nil, err
	}
	cntlid := admin.cntlid
	if err = admin.command(opFabrics, 2, func(c []byte) { // Property Set: CC, enable
		c[4] = 0x00
		binary.LittleEndian.PutUint32(c[44:], 0x14)
		binary.LittleEndian.PutUint64(c[48:], 4<<20|6<<16|1)
	}, nil); err == nil {
		err = admin.wait()
	}
	if err != nil {
		return nil, nil, errors.Join(errors.New("enable"), err)
	}
	for qid := 1; qid <= queues; qid++ {
		q, err := connect(addr, hostNQN+name, uint16(qid), cntlid, dial)
		if err != nil {
			return nil, nil, err
		}
		q.SetDeadline(time.Time{})
		io = append(io, q)
	}
	admin.SetDeadline(time.Time{})
	return admin, io, nil
}

// WriteInCapsule sends a write with its data in the capsule.
func (q *Queue) WriteInCapsule(cid uint16, slba uint64, data []byte) error {
	return q.command(OpWrite, cid, func(c []byte) {
		binary.LittleEndian.PutUint32(c[4:], 1)
		binary.LittleEndian.PutUint64(c[40:], slba)
		binary.LittleEndian.PutUint16(c[48:], uint16(len(data)/BlockBytes-1))
	}, data)
}
