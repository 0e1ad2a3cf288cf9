package nvme

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/observability/figures"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const (
	targetNQN = "nqn.2026-12.example.test:target"
	poolNQN   = "nqn.2026-12.example.test:pool"
	blockSize = 512
	patient   = 20 * time.Second
)

var quiet = slog.New(slog.DiscardHandler)

func space() Namespace {
	return Namespace{ID: 1, Volume: "00000003b4d60021", Plan: "std", Hosts: 1, BlockBytes: blockSize, Blocks: 1 << 20,
		StripeBlocks: 2048, Shards: []int{0}, UnitBlocks: 16, Read: "position-read", Write: "event-write"}
}

func newServer(t testing.TB, c Core, subsystem string) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(c, Options{Subsystem: subsystem, Namespaces: []Namespace{space()}, QueueDepth: 8, MostConn: 64,
		MostBytes: 8 << 20, Patience: map[string]time.Duration{"position-read": patient, "event-write": patient}, Leave: core.NewShutdownSchedule(2 * time.Second),
		Figures: figures.New([]string{"position-read", "event-write"}), Log: quiet})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { l.Close() })
	return s, l.Addr().String()
}

// store is the stand-in target's back: it keeps blocks, counts what it runs, and can stand still.
type store struct {
	mu     sync.Mutex
	blocks map[uint64][]byte
	writes map[string]int // how often each text was written
	reads  int
	still  chan struct{} // not nil: commands wait until it is closed
	came   chan *IO
	answer core.Response // instead of serving, where its Status is not Served
}

func newStore() *store {
	return &store{blocks: map[uint64][]byte{}, writes: map[string]int{}, came: make(chan *IO, 64)}
}

func (s *store) Cancel(*core.Job) {}

func (s *store) Submit(j *core.Job) bool {
	x := j.Payload.(*IO)
	s.mu.Lock()
	still, answer := s.still, s.answer
	s.mu.Unlock()
	s.came <- x
	go func() {
		if still != nil {
			<-still
		}
		if answer.Status != core.Served {
			j.Done(answer)
			return
		}
		s.mu.Lock()
		var body []byte
		if x.Write {
			s.writes[string(bytes.TrimRight(x.Data, "\x00"))]++
		} else {
			s.reads++
		}
		for i := range uint64(x.Blocks) {
			if x.Write {
				s.blocks[x.SLBA+i] = x.Data[i*blockSize : (i+1)*blockSize]
				continue
			}
			b := s.blocks[x.SLBA+i]
			body = append(body, append(b, make([]byte, blockSize-len(b))...)...)
		}
		s.mu.Unlock()
		j.Done(core.Response{Payload: body})
	}()
	return true
}

func (s *store) wrote(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes[text]
}

// rig is an initiator: front, core, module, and targets reached over NVMe.
type rig struct {
	addr   string
	up     *upstream.Registry
	core   *core.Core
	server *Server
}

func newRig(t testing.TB, digests bool, aim time.Duration, targets ...string) *rig {
	t.Helper()
	module, err := policy.New(policy.Settings{Initiators: 1, MinStep: time.Millisecond, MeanUnits: 1, MaxUnits: 8,
		MaxAttempts: 3, Plans: []policy.Plan{{Name: "std", Rate: 1000, ReservedRate: 1000, Weight: 1, PriorityFactor: 1}},
		Classes: []policy.Class{
			{Name: "position-read", LatencyObjective: aim, Deadline: patient, PriorityWeight: 3},
			{Name: "event-write", LatencyObjective: aim, Deadline: patient, PriorityWeight: 2, Effect: policy.NonIdempotent}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{}
	host := NewHost(HostOptions{Subsystem: targetNQN, HostNQN: "nqn.2026-12.example.test:initiator", KeepAlive: time.Minute, Digests: digests})
	r.up = upstream.NewRegistry(upstream.Options{Dialer: host, DialTimeout: patient, IdleTimeout: time.Minute, MaxConnsPerTarget: 16, MaxConnsTotal: 64, Log: quiet},
		func(x core.Result) { r.core.Report(x) })
	r.core = core.New(module, r.up, core.NewClock(), core.Options{})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go r.core.Run(ctx)
	for i, addr := range targets {
		r.list(fmt.Sprint("t", i), addr, policy.Up)
	}
	r.server, r.addr = newServer(t, r.core, poolNQN)
	return r
}

// list tells of one target, as the list's actor does: the registry first.
func (r *rig) list(id, addr string, state policy.EndpointState) { r.listAt(id, addr, 0, state) }

func (r *rig) listAt(id, addr string, shard int, state policy.EndpointState) {
	r.up.Apply([]upstream.Target{{ID: id, Addr: addr, State: state}}, false)
	r.core.UpdateTargets(policy.EndpointList{Endpoints: []policy.Endpoint{{ID: id, Shard: shard, State: state}}})
}

// client is the stand-in host: an admin queue and one I/O queue of some depth, spoken to by hand.
type client struct {
	t     testing.TB
	admin *wire
	io    *wire
}

func newClient(t testing.TB, addr string, digests bool) *client {
	t.Helper()
	h := NewHost(HostOptions{Subsystem: poolNQN, HostNQN: "nqn.2026-12.example.test:client", KeepAlive: time.Minute, Digests: digests})
	ctx, stop := context.WithTimeout(context.Background(), patient)
	t.Cleanup(stop)
	c := &client{t: t}
	var err error
	if c.admin, err = h.open(ctx, addr); err != nil {
		t.Fatal(err)
	}
	cntlid, _, err := h.enable(ctx, c.admin)
	if err != nil {
		t.Fatal(err)
	}
	if c.io, err = h.open(ctx, addr); err != nil {
		t.Fatal(err)
	}
	cmd := fabricsCommand(c.io, fctConnect, connectLen)
	cmd.set16(42, 1)
	cmd.set16(44, 7)
	data := make([]byte, connectLen)
	binary.LittleEndian.PutUint16(data[16:], cntlid)
	copy(data[256:], poolNQN)
	copy(data[512:], "nqn.2026-12.example.test:client")
	if _, _, err = c.io.ask(cmd, data); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.io.Close(); c.admin.Close() })
	return c
}

func (c *client) send(w *wire, cmd *command, data []byte) uint16 {
	c.t.Helper()
	if _, err := w.Write(appendPDU(nil, w.framing, typeCmd, 0, cmd[:], data)); err != nil {
		c.t.Fatal(err)
	}
	return cmd.cid()
}

func (c *client) rw(op byte, lba uint64, blocks int, inside bool) *command {
	cmd := newCommand(op, c.io.nextCID(), blocks*blockSize, inside && op == opWrite)
	cmd.set32(4, 1)
	cmd.set64(40, lba)
	cmd.set16(48, uint16(blocks-1))
	return cmd
}

func (c *client) write(lba uint64, text string) uint16 {
	data := make([]byte, blockSize)
	copy(data, text)
	return c.send(c.io, c.rw(opWrite, lba, 1, true), data)
}

func (c *client) read(lba uint64, blocks int) uint16 {
	return c.send(c.io, c.rw(opRead, lba, blocks, false), nil)
}

// next reads PDUs up to the next completion, with the data that came for it.
func (c *client) next() (completion, []byte) {
	c.t.Helper()
	c.io.SetReadDeadline(time.Now().Add(patient))
	var body []byte
	for {
		p, err := c.io.receive()
		if err != nil {
			c.t.Fatalf("no completion: %v", err)
		}
		if p.kind == typeResp {
			return parseCompletion(p), body
		}
		body = append(body, p.data...)
	}
}

// TestPDUBytes holds the layout against bytes written out by hand from the specification.
func TestPDUBytes(t *testing.T) {
	for _, c := range []struct {
		name string
		got  []byte
		want string
	}{
		{"ICReq", appendPDU(nil, framing{}, typeICReq, 0, icHead(3, 0), nil)[:16], "00008000800000000000000300000000"},
		{"R2T", appendPDU(nil, framing{}, typeR2T, 0, dataHead(0x0102, 0x0304, 0x1000, 0x2000), nil),
			"090018001800000002010403001000000020000000000000"},
		{"data with both digests", appendPDU(nil, framing{hdigest: true, ddigest: true}, typeC2HData, flagLast,
			dataHead(1, 0, 0, 4), []byte("1234"))[:8], "0707181c24000000"},
		{"completion, not ready, delay 2", completion{sqhd: 5, sqid: 1, cid: 9, status: stNSNotReady.withDelay(2)}.head(),
			"00000000000000000500010009000421"},
		{"completion, may have run", completion{cid: 9, status: stTransient | dnr}.head(), "00000000000000000000000009004480"},
	} {
		if got := hex.EncodeToString(c.got); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}

// TestPDUCuts cuts and damages valid PDUs and feeds garbage: a cut is never whole, a damaged PDU under
// digests is never taken for the one sent.
func TestPDUCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := framing{hdigest: rapid.Bool().Draw(t, "hd"), ddigest: rapid.Bool().Draw(t, "dd"), pda: rapid.IntRange(0, maxPDA).Draw(t, "pda")}
		data := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")
		kind := rapid.SampledFrom([]byte{typeCmd, typeH2CData, typeC2HData}).Draw(t, "kind")
		head := rapid.SliceOfN(rapid.Byte(), headLen(kind)-commonLen, headLen(kind)-commonLen).Draw(t, "head")
		whole := appendPDU(nil, f, kind, 0, head, data)
		p, err := readPDU(bytes.NewReader(whole), f)
		if err != nil || !bytes.Equal(p.head[commonLen:], head) || !bytes.Equal(p.data, data) || p.dataError {
			t.Fatalf("whole PDU came back as %+v, %v", p, err)
		}
		if p, err := readPDU(bytes.NewReader(whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "cut")]), f); err == nil {
			t.Fatalf("a cut passed for whole: %+v", p)
		}
		if at := rapid.IntRange(commonLen, len(whole)-1).Draw(t, "at"); f.hdigest && f.ddigest {
			bent := bytes.Clone(whole)
			bent[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			p, err := readPDU(bytes.NewReader(bent), f)
			if err == nil && !p.dataError && (!bytes.Equal(p.head[commonLen:], head) || !bytes.Equal(p.data, data)) {
				t.Fatalf("damage at %d went unseen", at)
			}
		}
		_, _ = readPDU(bytes.NewReader(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")), f)
	})
}

// TestEndToEnd reads back what was written, through initiator and target, small (in the capsule) and large
// (asked for by R2T), with digests and without.
func TestEndToEnd(t *testing.T) {
	for _, digests := range []bool{false, true} {
		_, target := newServer(t, newStore(), targetNQN)
		r := newRig(t, digests, 5*time.Second, target)
		c := newClient(t, r.addr, digests)
		cid := c.write(7, "small")
		if done, _ := c.next(); done.cid != cid || done.status != stOK {
			t.Fatalf("write: %+v", done)
		}
		c.read(7, 1)
		if done, body := c.next(); done.status != stOK || string(bytes.TrimRight(body, "\x00")) != "small" {
			t.Fatalf("read: %+v, %q", done, body)
		}
		large := bytes.Repeat([]byte("0123456789abcdef"), 200*blockSize/16)
		queue := &session{wire: c.io, from: &association{talk: make(chan struct{}, 1)}, bears: bears{inside: inCapsule}}
		always := func() bool { return true }
		until := time.Now().Add(patient)
		got, _, reason := queue.Do(core.Attempt{Deadline: until, Payload: &IO{Write: true, NSID: 1, SLBA: 100, Blocks: 200, Bytes: len(large), Data: large}}, always)
		if got.Code != policy.Served {
			t.Fatalf("large write: %+v, %s", got, reason)
		}
		got, _, reason = queue.Do(core.Attempt{Deadline: until, Payload: &IO{NSID: 1, SLBA: 100, Blocks: 200, Bytes: len(large)}}, always)
		if body, _ := got.Payload.([]byte); got.Code != policy.Served || !bytes.Equal(body, large) {
			t.Fatalf("large read: %v, %d bytes, %s", got.Code, len(body), reason)
		}
	}
}

// TestQueueDepth has several commands out at once, by their ids, and each gets its one completion.
func TestQueueDepth(t *testing.T) {
	back := newStore()
	back.still = make(chan struct{})
	_, target := newServer(t, back, targetNQN)
	r := newRig(t, false, 5*time.Second, target)
	c := newClient(t, r.addr, false)
	want := map[uint16]bool{}
	for i := range 6 {
		want[c.write(uint64(i), fmt.Sprint("text ", i))] = true
	}
	<-back.came
	close(back.still)
	for range 6 {
		done, _ := c.next()
		if !want[done.cid] || done.status != stOK {
			t.Fatalf("completion %+v, ids open %v", done, want)
		}
		delete(want, done.cid)
	}
	for i := range 6 {
		if n := back.wrote(fmt.Sprint("text ", i)); n != 1 {
			t.Errorf("write %d ran %d times", i, n)
		}
	}
}

// TestStandStillAndDrain is the case the operators fear: a target stands still with a write in its hands, and
// a drain notice for it arrives. The write gets one completion, which tells the host not to send it again; it
// is not sent anywhere else; what comes later goes to the target's successor and to nowhere else.
func TestStandStillAndDrain(t *testing.T) {
	stuck, next := newStore(), newStore()
	stuck.still = make(chan struct{})
	_, a := newServer(t, stuck, targetNQN)
	_, b := newServer(t, next, targetNQN)
	r := newRig(t, false, 300*time.Millisecond, a)
	c := newClient(t, r.addr, false)
	first := c.write(1, "event")
	<-stuck.came
	r.list("t0", a, policy.Draining)
	r.list("t1", b, policy.Up)
	second := c.write(2, "later")
	third := c.read(3, 1)
	ends := map[uint16]status{}
	for range 3 {
		done, _ := c.next()
		if _, twice := ends[done.cid]; twice {
			t.Fatalf("command %d completed twice", done.cid)
		}
		ends[done.cid] = done.status
	}
	if st := ends[first]; st.code() == stOK || st&dnr == 0 {
		t.Errorf("the write that may have run ended with %#x, want a failure with DNR", uint16(st))
	}
	if ends[second] != stOK || ends[third] != stOK {
		t.Errorf("later commands ended with %#x and %#x", uint16(ends[second]), uint16(ends[third]))
	}
	close(stuck.still) // it wakes, and runs what it had
	c.write(4, "last")
	if done, _ := c.next(); done.status != stOK {
		t.Errorf("after it woke: %+v", done)
	}
	if len(stuck.came) != 0 {
		t.Errorf("the draining target was sent something new")
	}
	for text, want := range map[string]int{"event": 0, "later": 1, "last": 1} {
		if n := next.wrote(text); n != want {
			t.Errorf("%q ran %d times at the successor, want %d", text, n, want)
		}
	}
	if n := stuck.wrote("event"); n > 1 {
		t.Errorf("the write ran %d times", n)
	}
}

// TestNoFirstByteToALeavingTarget has the last look, with the queue in hand, say no: not a byte is sent.
func TestNoFirstByteToALeavingTarget(t *testing.T) {
	near, far := net.Pipe()
	bytesSent := make(chan int, 1)
	go func() {
		b, _ := io.ReadAll(far)
		bytesSent <- len(b)
	}()
	queue := &session{wire: &wire{Conn: near}, from: &association{talk: make(chan struct{}, 1), inUse: map[uint16]bool{}}}
	r, reuse, _ := queue.Do(core.Attempt{Deadline: time.Now().Add(patient), Payload: &IO{NSID: 1, Blocks: 1, Bytes: blockSize}},
		func() bool { return false })
	queue.Close()
	if n := <-bytesSent; r.Code != policy.NotSent || reuse || n != 0 {
		t.Errorf("code %v, kept %v, %d bytes sent; want it not sent", r.Code, reuse, n)
	}
}

// TestTargetStartsAnew loses a target and finds it again at its address: the association that it no longer
// knows must not stand in the way until a keep-alive, a minute off here, finds out.
func TestTargetStartsAnew(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	start := func(l net.Listener) *Server {
		s := New(newStore(), Options{Subsystem: targetNQN, Namespaces: []Namespace{space()}, QueueDepth: 8, MostConn: 64,
			MostBytes: 8 << 20, Patience: map[string]time.Duration{"event-write": patient, "position-read": patient}, Leave: core.NewShutdownSchedule(2 * time.Second), Log: quiet})
		go func() { _ = s.Serve(l) }()
		return s
	}
	first := start(l)
	r := newRig(t, false, 5*time.Second, l.Addr().String())
	c := newClient(t, r.addr, false)
	c.read(1, 1)
	if done, _ := c.next(); done.status != stOK {
		t.Fatalf("before: %+v", done)
	}
	if err := first.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	again, err := net.Listen("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	start(again)
	c.read(2, 1)
	if done, _ := c.next(); done.status != stOK {
		t.Errorf("after: %+v", done)
	}
}

// TestStatuses maps each end to its status, and refuses with a delay only to hosts that asked to be told.
func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer core.Response
		delays bool
		want   status
	}{
		{"served", core.Response{}, true, stOK},
		{"refused", core.Response{Status: core.Rejected, RetryAfter: 200 * time.Millisecond}, false, stNSNotReady},
		{"refused, told how long", core.Response{Status: core.Rejected, RetryAfter: 200 * time.Millisecond}, true, stNSNotReady.withDelay(2)},
		{"refused for longer than can be told", core.Response{Status: core.Rejected, RetryAfter: time.Minute}, true, stNSNotReady.withDelay(3)},
		{"timed out", core.Response{Status: core.Failed, LastOutcome: policy.TimedOut}, true, stTransient | dnr},
		{"error", core.Response{Status: core.Failed, LastOutcome: policy.AnsweredError}, true, stInternal | dnr},
	} {
		if got := statusOf(c.answer, c.delays); got != c.want {
			t.Errorf("%s: %#x, want %#x", c.name, uint16(got), uint16(c.want))
		}
	}
	back := newStore()
	back.answer = core.Response{Status: core.Rejected, RetryAfter: 100 * time.Millisecond}
	_, addr := newServer(t, back, poolNQN)
	c := newClient(t, addr, false)
	c.read(0, 1)
	if done, _ := c.next(); done.status != stNSNotReady {
		t.Errorf("before the host asked for delays: %#x", uint16(done.status))
	}
	set := newCommand(opSetFeatures, c.admin.nextCID(), 512, true)
	set.set32(40, featHostBehavior)
	if _, _, err := c.admin.ask(set, append([]byte{1}, make([]byte, 511)...)); err != nil {
		t.Fatal(err)
	}
	c.read(0, 1)
	if done, _ := c.next(); done.status != stNSNotReady.withDelay(1) || done.status&dnr != 0 {
		t.Errorf("after: %#x", uint16(done.status))
	}
}

// TestOutsideTheSubset checks that what is not served gets its status, and the connection goes on.
func TestOutsideTheSubset(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	c := newClient(t, addr, false)
	for _, x := range []struct {
		name  string
		spoil func(*command)
		want  status
	}{
		{"write uncorrectable", func(c *command) { c[0] = 0x04 }, stInvalidOpcode},
		{"reservation", func(c *command) { c[0] = 0x0D }, stInvalidOpcode},
		{"unknown namespace", func(c *command) { c.set32(4, 9) }, stInvalidNS},
		{"past the end", func(c *command) { c.set64(40, 1<<20) }, stLBARange},
		{"fused", func(c *command) { c[1] |= 1 }, stInvalidField},
		{"PRPs", func(c *command) { c[1] = 0 }, stInvalidField},
		{"length that does not fit", func(c *command) { c.set32(32, 4) }, stInvalidField},
		{"connect again", func(c *command) { c[0], c[4] = opFabrics, fctConnect }, stSequence},
	} {
		cmd := c.rw(opRead, 0, 1, false)
		x.spoil(cmd)
		cid := c.send(c.io, cmd, nil)
		if done, _ := c.next(); done.cid != cid || done.status != x.want|dnr {
			t.Errorf("%s: %+v, want %#x", x.name, done, uint16(x.want|dnr))
		}
	}
	format := newCommand(0x80, c.admin.nextCID(), 0, false)
	if done, _, err := c.admin.ask(format, nil); err == nil || done.status != stInvalidOpcode|dnr {
		t.Errorf("format: %+v, %v", done, err)
	}
	if _, _, err := c.admin.ask(newCommand(opKeepAlive, c.admin.nextCID(), 0, false), nil); err != nil {
		t.Errorf("keep alive: %v", err)
	}
	c.read(0, 1)
	if done, _ := c.next(); done.status != stOK {
		t.Errorf("a good command after all these: %+v", done)
	}
}

// TestAbort ends a command by its queue and id, once.
func TestAbort(t *testing.T) {
	back := newStore()
	back.still = make(chan struct{})
	_, addr := newServer(t, back, poolNQN)
	c := newClient(t, addr, false)
	cid := c.write(1, "x")
	<-back.came
	abort := func(want uint64) {
		t.Helper()
		cmd := newCommand(opAbort, c.admin.nextCID(), 0, false)
		cmd.set32(40, 1|uint32(cid)<<16)
		if done, _, err := c.admin.ask(cmd, nil); err != nil || done.result != want {
			t.Errorf("abort: result %d, %v; want %d", done.result, err, want)
		}
	}
	abort(0)
	if done, _ := c.next(); done.cid != cid || done.status != stAborted|dnr {
		t.Errorf("aborted command: %+v", done)
	}
	abort(1)
	close(back.still)
	other := c.read(5, 1)
	if done, _ := c.next(); done.cid != other {
		t.Errorf("completion of %d, want none but of %d", done.cid, other)
	}
}

// TestTermination checks that what breaks the transport's rules ends with a termination request that says why.
func TestTermination(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	for _, c := range []struct {
		name string
		send func(*client) error
		fes  uint16
	}{
		{"unknown type", func(c *client) error { return raw(c, []byte{0x42, 0, 8, 0, 8, 0, 0, 0}) }, fesInvalidHeader},
		{"a controller's PDU", func(c *client) error { return raw(c, appendPDU(nil, framing{}, typeR2T, 0, dataHead(1, 1, 0, 1), nil)) }, fesSequence},
		{"data nobody asked for", func(c *client) error {
			return raw(c, appendPDU(nil, framing{}, typeH2CData, flagLast, dataHead(9, 9, 0, 1), []byte("x")))
		}, fesInvalidHeader},
		{"data out of range", func(c *client) error {
			cid := c.send(c.io, c.rw(opWrite, 0, 32, false), nil)
			p, err := c.io.receive()
			if err != nil || p.kind != typeR2T || p.u32(16) != 32*blockSize {
				return errors.Join(errors.New("no R2T"), err)
			}
			return raw(c, appendPDU(nil, framing{}, typeH2CData, 0, dataHead(cid, p.u16(10), 512, 512), make([]byte, 512)))
		}, fesOutOfRange},
	} {
		h := newClient(t, addr, false)
		if err := c.send(h); err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		h.io.SetReadDeadline(time.Now().Add(patient))
		p, err := h.io.receive()
		if err != nil || p.kind != typeC2HTerm || p.u16(8) != c.fes {
			t.Errorf("%s: %+v, %v; want a termination request with %#x", c.name, p, err, c.fes)
		}
	}
}

// TestLastWordArrives has a host break the protocol, send on, and read only once its connection has ended: the termination request is
// there, and no reset took it.
func TestLastWordArrives(t *testing.T) {
	s, addr := newServer(t, newStore(), poolNQN)
	h := newClient(t, addr, false)
	open := func() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.queues) }
	require.Equal(t, 2, open())
	require.NoError(t, raw(h, append([]byte{0x42, 0, 8, 0, 8, 0, 0, 0}, make([]byte, 100<<10)...)))
	require.Eventually(t, func() bool { return open() < 2 }, patient, time.Millisecond)
	p, err := h.io.receive()
	require.NoError(t, err)
	require.EqualValues(t, typeC2HTerm, p.kind)
	_, err = h.io.receive()
	require.ErrorIs(t, err, io.EOF)
}

// TestDataAsItEnds has the data of a write come in the instant in which the program has begun to turn commands away: it is turned away
// as one that may come again, and never written; what is sent on then might find its connection ended.
func TestDataAsItEnds(t *testing.T) {
	back := newStore()
	s, addr := newServer(t, back, poolNQN)
	h := newClient(t, addr, false)
	cid := h.send(h.io, h.rw(opWrite, 0, 32, false), nil)
	p, err := h.io.receive()
	require.NoError(t, err)
	require.EqualValues(t, typeR2T, p.kind)
	s.leaving.Store(true)
	for at := 0; at < 32*blockSize; at += maxH2CData {
		flags, n := byte(0), min(maxH2CData, 32*blockSize-at)
		if at+n == 32*blockSize {
			flags = flagLast
		}
		require.NoError(t, raw(h, appendPDU(nil, framing{}, typeH2CData, flags, dataHead(cid, p.u16(10), uint32(at), uint32(n)), make([]byte, n))))
	}
	done, _ := h.next()
	require.Equal(t, stNSNotReady, done.status.code())
	require.Zero(t, done.status&dnr)
	back.mu.Lock()
	defer back.mu.Unlock()
	require.Empty(t, back.writes)
}

func raw(c *client, b []byte) error {
	_, err := c.io.Write(b)
	return err
}

// TestControllerCuts sends a live controller damaged, cut and made-up PDUs after a valid start, connection after
// connection: each ends or is answered, and a good host is served as before.
func TestControllerCuts(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	good := newClient(t, addr, false)
	rapid.Check(t, func(rt *rapid.T) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			rt.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patient))
		out := appendPDU(nil, framing{}, typeICReq, 0, icHead(0, 0), nil)
		for range rapid.IntRange(1, 4).Draw(rt, "pdus") {
			kind := rapid.SampledFrom([]byte{typeICReq, typeCmd, typeH2CData, typeH2CTerm, typeR2T, 0x55}).Draw(rt, "kind")
			head := rapid.SliceOfN(rapid.Byte(), max(headLen(kind), dataLen)-commonLen, max(headLen(kind), dataLen)-commonLen).Draw(rt, "head")
			if kind == typeCmd && rapid.Bool().Draw(rt, "connect") {
				copy(head, []byte{opFabrics, 0x40, 1, 0, fctConnect})
			}
			out = appendPDU(out, framing{}, kind, 0, head, rapid.SliceOfN(rapid.Byte(), 0, 1100).Draw(rt, "data"))
		}
		_, _ = c.Write(out[:rapid.IntRange(0, len(out)).Draw(rt, "cut")])
		_ = c.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			rt.Fatal("the controller neither answered nor ended the connection")
		}
	})
	good.read(1, 1)
	if done, _ := good.next(); done.status != stOK {
		t.Errorf("a good host afterwards: %+v", done)
	}
}

// TestBadConnect refuses hosts that ask for what is not there.
func TestBadConnect(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	h := NewHost(HostOptions{Subsystem: "nqn.other", HostNQN: "nqn.host", KeepAlive: time.Minute})
	ctx, stop := context.WithTimeout(context.Background(), patient)
	defer stop()
	w, err := h.open(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if _, err := w.connect(h.opt, 0, staticID); err == nil {
		t.Error("a subsystem that is not here was connected to")
	}
	if _, err := w.connect(HostOptions{Subsystem: poolNQN, HostNQN: "nqn.host"}, 1, 77); err == nil {
		t.Error("an I/O queue joined no association")
	}
}

// TestSilentHostsMakeRoom fills the hosts' connections with silent ones: a host still gets in, what has joined stays, and
// nobody is let in once all have joined.
func TestSilentHostsMakeRoom(t *testing.T) {
	s, addr := newServer(t, newStore(), poolNQN)
	s.mu.Lock()
	s.opt.MostConn = 4
	s.mu.Unlock()
	first := newClient(t, addr, false)
	for range 50 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	second := newClient(t, addr, false)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patient))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a fifth connection beside four that have joined: %v, want it closed", err)
	}
	for _, h := range []*client{first, second} {
		h.read(1, 1)
		if done, _ := h.next(); done.status != stOK {
			t.Errorf("a host that had joined: %+v", done)
		}
	}
}

// TestStopFinishes checks that a command taken before the end is completed, that hosts are served for a while after it on
// what they have, within the time that is left, and turned away then.
func TestStopFinishes(t *testing.T) {
	back := newStore()
	back.still = make(chan struct{})
	s, addr := newServer(t, back, poolNQN)
	c := newClient(t, addr, false)
	taken := c.read(1, 1)
	<-back.came
	stopped := make(chan error)
	go func() { stopped <- s.Stop(context.Background()) }()
	time.Sleep(core.NewShutdownSchedule(2*time.Second).AcceptFor + 100*time.Millisecond)
	meanwhile := c.read(3, 1)
	if x := <-back.came; x.SLBA != 3 {
		t.Errorf("block %d was read while the program leaves, want 3", x.SLBA)
	}
	for !s.leaving.Load() {
		time.Sleep(time.Millisecond)
	}
	late := c.read(2, 1)
	if done, _ := c.next(); done.cid != late || done.status.code() != stNSNotReady || done.status&dnr != 0 {
		t.Errorf("late command: %+v, want it turned away", done)
	}
	close(back.still)
	for range 2 {
		if done, _ := c.next(); done.cid != taken && done.cid != meanwhile || done.status != stOK {
			t.Errorf("commands taken before: %+v", done)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestIdentify reads the pages a host begins with.
func TestIdentify(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	c := newClient(t, addr, true)
	for cns, check := range map[uint32]func([]byte) bool{
		0: func(p []byte) bool { return binary.LittleEndian.Uint64(p) == 1<<20 && p[130] == 9 },
		1: func(p []byte) bool { return bytes.HasPrefix(p[768:], []byte(poolNQN)) && p[512] == 0x66 },
		2: func(p []byte) bool { return binary.LittleEndian.Uint32(p) == 1 && p[4] == 0 },
		3: func(p []byte) bool { return p[0] == 1 && hex.EncodeToString(p[4:12]) == space().Volume },
	} {
		cmd := newCommand(opIdentify, c.admin.nextCID(), identifyLen, false)
		if cns != 2 {
			cmd.set32(4, 1)
		}
		cmd.set32(40, cns)
		_, page, err := c.admin.ask(cmd, nil)
		if err != nil || len(page) != identifyLen || !check(page) {
			t.Errorf("CNS %d: %d bytes, %v", cns, len(page), err)
		}
	}
}

// TestNumbers counts each command once, by its status, and none as open once its connection has ended under it.
func TestNumbers(t *testing.T) {
	back := newStore()
	s, addr := newServer(t, back, poolNQN)
	c := newClient(t, addr, false)
	c.read(1, 1)
	c.next()
	back.mu.Lock()
	back.answer = core.Response{Status: core.Rejected}
	back.mu.Unlock()
	c.read(2, 1)
	c.next()
	still := make(chan struct{})
	defer close(still)
	back.mu.Lock()
	back.still = still
	back.mu.Unlock()
	for range 3 {
		c.read(3, 1)
	}
	for range 5 {
		<-back.came
	}
	numbers := func(want ...string) {
		t.Helper()
		require.EventuallyWithT(t, func(t *assert.CollectT) {
			got := string(figures.Render(s.opt.Figures.WriteMetrics))
			for _, w := range want {
				assert.Contains(t, got, w)
			}
		}, 20*time.Second, time.Millisecond)
	}
	numbers("position-read.success:1|", "position-read.overload:1|", "position-read.error:0|", "concurrent:3|")
	c.io.Close()
	numbers("position-read.success:1|", "position-read.overload:1|", "position-read.error:3|", "concurrent:0|")
}

// TestTargetsThatAreGoneAreForgotten has a host meet targets that come and go: of one that nobody has asked for in a while nothing is kept.
func TestTargetsThatAreGoneAreForgotten(t *testing.T) {
	h := NewHost(HostOptions{KeepAlive: time.Second})
	meet := func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l.Close()
		_, err = h.Dial(context.Background(), l.Addr().String())
		require.Error(t, err)
	}
	meet()
	meet()
	require.Len(t, h.all, 2) // their rests hold
	for _, a := range h.all {
		a.usedAt, a.restAt = time.Now().Add(-2*unusedFor), time.Now().Add(-2*unusedFor)
	}
	meet()
	require.Len(t, h.all, 1)
}

// tardy is a connection on a machine that is too busy to fire the timer of its writes' deadline.
type tardy struct{ net.Conn }

func (tardy) SetWriteDeadline(time.Time) error { return nil }

func (c tardy) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// TestDataPastItsWindow has a target ask for a write's data just inside the window that the repeat may leave in, and after it: then no byte of
// the data goes out, and the write cannot have begun. A completion of another command is not taken for its.
func TestDataPastItsWindow(t *testing.T) {
	for want, window := range map[policy.OutcomeCode]time.Duration{policy.ConnectionReset: patient, policy.NotConnected: 50 * time.Millisecond} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		before := time.Now().Add(window)
		asked := make(chan int, 1)
		go func() {
			c, _ := l.Accept()
			defer c.Close()
			capsule := make([]byte, 72)
			_, _ = io.ReadFull(c, capsule)
			if want == policy.NotConnected {
				time.Sleep(time.Until(before))
			}
			_, _ = c.Write(appendPDU(nil, framing{}, typeR2T, 0, dataHead(1, 7, 0, blockSize), nil))
			n := 0
			if want == policy.ConnectionReset {
				n, _ = io.ReadFull(c, make([]byte, 24+blockSize))
				_, _ = c.Write(appendPDU(nil, framing{}, typeResp, 0, make([]byte, 16), nil)) // names command 0
			}
			more, _ := io.Copy(io.Discard, c)
			asked <- n + int(more)
		}()
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		q := &session{wire: &wire{Conn: tardy{c}, in: bufio.NewReader(c), most: blockSize}, from: &association{talk: make(chan struct{}, 1), inUse: map[uint16]bool{}}}
		r, reuse, _ := q.Do(core.Attempt{Deadline: time.Now().Add(patient), SendBefore: before, Payload: &IO{Write: true, NSID: 1, Blocks: 1, Bytes: blockSize,
			Data: make([]byte, blockSize)}}, func() bool { return true })
		q.Close()
		require.Equal(t, want, r.Code)
		require.False(t, reuse)
		require.Equal(t, want == policy.ConnectionReset, <-asked > 0)
	}
}
