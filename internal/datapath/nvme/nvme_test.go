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
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const (
	targetNQN   = "nqn.2026-12.example.test:target"
	poolNQN     = "nqn.2026-12.example.test:pool"
	blockSize   = 512
	testTimeout = 20 * time.Second
)

var discardLog = slog.New(slog.DiscardHandler)

func testNamespace() Namespace {
	return Namespace{ID: 1, Volume: "00000003b4d60021", Plan: "std", Hosts: 1, BlockBytes: blockSize, Blocks: 1 << 20,
		StripeBlocks: 2048, Shards: []int{0}, UnitBlocks: 16, Read: "position-read", Write: "event-write"}
}

// newServer starts a Server in front of c, and returns it with its address.
func newServer(t testing.TB, c Core, subsystem string) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(c, Options{Subsystem: subsystem, Namespaces: []Namespace{testNamespace()}, QueueDepth: 8, MaxConns: 64,
		MaxBufferedBytes: 8 << 20, Timeouts: map[string]time.Duration{"position-read": testTimeout, "event-write": testTimeout}, Shutdown: core.NewShutdownSchedule(2 * time.Second),
		Metrics: metrics.New([]string{"position-read", "event-write"}), Log: discardLog})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { l.Close() })
	return s, l.Addr().String()
}

// store is the fake target's backend, in place of the core: it keeps blocks, counts what it executes, and can hold commands.
type store struct {
	mu       sync.Mutex
	blocks   map[uint64][]byte
	writes   map[string]int // number of writes of each text
	reads    int
	hold     chan struct{} // if not nil, commands wait until the test closes it
	received chan *IO      // every submitted command; Submit blocks when it is full
	answer   core.Response // if its Status is not Served, commands are not executed and get this response
}

func newStore() *store {
	return &store{blocks: map[uint64][]byte{}, writes: map[string]int{}, received: make(chan *IO, 64)}
}

func (s *store) Cancel(*core.Job) {}

func (s *store) Submit(j *core.Job) bool {
	x := j.Payload.(*IO)
	s.mu.Lock()
	hold, answer := s.hold, s.answer
	s.mu.Unlock()
	s.received <- x
	go func() {
		if hold != nil {
			<-hold
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

// wrote returns how often a text was written.
func (s *store) wrote(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes[text]
}

// testInitiator is an initiator: front, core, policy module, and targets reached over NVMe.
type testInitiator struct {
	addr     string
	registry *upstream.Registry
	core     *core.Core
	server   *Server
}

func newInitiator(t testing.TB, digests bool, latencyObjective time.Duration, targets ...string) *testInitiator {
	t.Helper()
	module, err := policy.New(policy.Settings{Initiators: 1, MinStep: time.Millisecond, MeanUnits: 1, MaxUnits: 8,
		MaxAttempts: 3, Plans: []policy.Plan{{Name: "std", Rate: 1000, ReservedRate: 1000, Weight: 1, PriorityFactor: 1}},
		Classes: []policy.Class{
			{Name: "position-read", LatencyObjective: latencyObjective, Deadline: testTimeout, PriorityWeight: 3},
			{Name: "event-write", LatencyObjective: latencyObjective, Deadline: testTimeout, PriorityWeight: 2, Effect: policy.NonIdempotent}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &testInitiator{}
	host := NewHost(HostOptions{Subsystem: targetNQN, HostNQN: "nqn.2026-12.example.test:initiator", KeepAlive: time.Minute, Digests: digests})
	r.registry = upstream.NewRegistry(upstream.Options{Dialer: host, DialTimeout: testTimeout, IdleTimeout: time.Minute, MaxConnsPerTarget: 16, MaxConnsTotal: 64, Log: discardLog},
		func(x core.Result) { r.core.Report(x) })
	r.core = core.New(module, r.registry, core.NewClock(), core.Options{})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go r.core.Run(ctx)
	for i, addr := range targets {
		r.setTarget(fmt.Sprint("t", i), addr, policy.Up)
	}
	r.server, r.addr = newServer(t, r.core, poolNQN)
	return r
}

// setTarget updates one target. Like the goroutine that applies the target list, it updates the registry before the core.
func (r *testInitiator) setTarget(id, addr string, state policy.EndpointState) {
	r.setShardTarget(id, addr, 0, state)
}

func (r *testInitiator) setShardTarget(id, addr string, shard int, state policy.EndpointState) {
	r.registry.Apply([]upstream.Target{{ID: id, Addr: addr, State: state}}, false)
	r.core.UpdateTargets(policy.EndpointList{Endpoints: []policy.Endpoint{{ID: id, Shard: shard, State: state}}})
}

// client is the fake host: an admin queue and an I/O queue of 8 entries, on which the test sends and receives PDUs itself.
type client struct {
	t     testing.TB
	admin *hostConn
	io    *hostConn
}

// newClient connects a client's admin queue and I/O queue to a server.
func newClient(t testing.TB, addr string, digests bool) *client {
	t.Helper()
	h := NewHost(HostOptions{Subsystem: poolNQN, HostNQN: "nqn.2026-12.example.test:client", KeepAlive: time.Minute, Digests: digests})
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(stop)
	c := &client{t: t}
	var err error
	if c.admin, err = h.openConn(ctx, addr); err != nil {
		t.Fatal(err)
	}
	cntlid, _, err := h.enable(ctx, c.admin)
	if err != nil {
		t.Fatal(err)
	}
	if c.io, err = h.openConn(ctx, addr); err != nil {
		t.Fatal(err)
	}
	cmd := fabricsCommand(c.io, fctConnect, connectLen)
	cmd.set16(42, 1)
	cmd.set16(44, 7)
	data := make([]byte, connectLen)
	binary.LittleEndian.PutUint16(data[16:], cntlid)
	copy(data[256:], poolNQN)
	copy(data[512:], "nqn.2026-12.example.test:client")
	if _, _, err = c.io.execute(cmd, data); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.io.Close(); c.admin.Close() })
	return c
}

func (c *client) send(w *hostConn, cmd *command, data []byte) uint16 {
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

// abort aborts a command of the I/O queue and returns the Abort's result: 0 if the command was aborted, 1 if not.
func (c *client) abort(cid uint16) uint64 {
	c.t.Helper()
	cmd := newCommand(opAbort, c.admin.nextCID(), 0, false)
	cmd.set32(40, 1|uint32(cid)<<16)
	done, _, err := c.admin.execute(cmd, nil)
	require.NoError(c.t, err)
	return done.result
}

// next reads PDUs up to the next completion on the I/O queue, and returns it with the data received before it.
func (c *client) next() (completion, []byte) {
	c.t.Helper()
	c.io.SetReadDeadline(time.Now().Add(testTimeout))
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

// TestPDUBytes compares encoded PDUs with bytes written by hand from the specification.
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
		{"completion, not ready, delay 2", completion{sqhd: 5, sqid: 1, cid: 9, status: stNSNotReady.withRetryDelay(2)}.head(),
			"00000000000000000500010009000421"},
		{"completion, may have been executed", completion{cid: 9, status: stTransient | dnr}.head(), "00000000000000000000000009004480"},
	} {
		if got := hex.EncodeToString(c.got); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}

// TestTruncatedAndDamagedPDUs truncates and damages valid PDUs and reads random bytes: a truncated PDU is never accepted, and
// a damaged PDU with digests is never accepted with other content.
func TestTruncatedAndDamagedPDUs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := framing{hdigest: rapid.Bool().Draw(t, "hd"), ddigest: rapid.Bool().Draw(t, "dd"), pda: rapid.IntRange(0, maxPDA).Draw(t, "pda")}
		data := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")
		kind := rapid.SampledFrom([]byte{typeCmd, typeH2CData, typeC2HData}).Draw(t, "kind")
		head := rapid.SliceOfN(rapid.Byte(), headLen(kind)-commonLen, headLen(kind)-commonLen).Draw(t, "head")
		whole := appendPDU(nil, f, kind, 0, head, data)
		p, err := readPDU(bytes.NewReader(whole), f)
		if err != nil || !bytes.Equal(p.head[commonLen:], head) || !bytes.Equal(p.data, data) || p.dataError {
			t.Fatalf("valid PDU was read as %+v, %v", p, err)
		}
		if p, err := readPDU(bytes.NewReader(whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "cut")]), f); err == nil {
			t.Fatalf("a truncated PDU was accepted: %+v", p)
		}
		if at := rapid.IntRange(commonLen, len(whole)-1).Draw(t, "at"); f.hdigest && f.ddigest {
			damaged := bytes.Clone(whole)
			damaged[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			p, err := readPDU(bytes.NewReader(damaged), f)
			if err == nil && !p.dataError && (!bytes.Equal(p.head[commonLen:], head) || !bytes.Equal(p.data, data)) {
				t.Fatalf("damage at byte %d was not detected", at)
			}
		}
		_, _ = readPDU(bytes.NewReader(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")), f)
	})
}

// TestEndToEnd reads back what was written, through initiator and target, small (data in the capsule) and large (data
// requested with R2T), with and without digests.
func TestEndToEnd(t *testing.T) {
	for _, digests := range []bool{false, true} {
		_, target := newServer(t, newStore(), targetNQN)
		r := newInitiator(t, digests, 5*time.Second, target)
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
		queue := &session{hostConn: c.io, assoc: &association{adminSem: make(chan struct{}, 1)}, capabilities: capabilities{inCapsuleSize: maxInCapsuleData}}
		always := func() bool { return true }
		until := time.Now().Add(testTimeout)
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

// TestQueueDepth sends several commands on one queue before any completes: each gets exactly one completion, by its id.
func TestQueueDepth(t *testing.T) {
	backend := newStore()
	backend.hold = make(chan struct{})
	_, target := newServer(t, backend, targetNQN)
	r := newInitiator(t, false, 5*time.Second, target)
	c := newClient(t, r.addr, false)
	want := map[uint16]bool{}
	for i := range 6 {
		want[c.write(uint64(i), fmt.Sprint("text ", i))] = true
	}
	<-backend.received
	close(backend.hold)
	for range 6 {
		done, _ := c.next()
		if !want[done.cid] || done.status != stOK {
			t.Fatalf("completion %+v, open command ids %v", done, want)
		}
		delete(want, done.cid)
	}
	for i := range 6 {
		if n := backend.wrote(fmt.Sprint("text ", i)); n != 1 {
			t.Errorf("write %d ran %d times", i, n)
		}
	}
}

// TestTargetHangsThenDrains guards against a double write when a target hangs with a write in progress and is then drained.
// The write gets one completion, with DNR set, and is not sent to another target. Later commands go to the target's
// successor only.
func TestTargetHangsThenDrains(t *testing.T) {
	hung, successor := newStore(), newStore()
	hung.hold = make(chan struct{})
	_, a := newServer(t, hung, targetNQN)
	_, b := newServer(t, successor, targetNQN)
	r := newInitiator(t, false, 300*time.Millisecond, a)
	c := newClient(t, r.addr, false)
	first := c.write(1, "event")
	<-hung.received
	r.setTarget("t0", a, policy.Draining)
	r.setTarget("t1", b, policy.Up)
	second := c.write(2, "later")
	third := c.read(3, 1)
	statuses := map[uint16]status{}
	for range 3 {
		done, _ := c.next()
		if _, twice := statuses[done.cid]; twice {
			t.Fatalf("command %d completed twice", done.cid)
		}
		statuses[done.cid] = done.status
	}
	if st := statuses[first]; st.code() == stOK || st&dnr == 0 {
		t.Errorf("the write that may have been executed ended with %#x, want a failure with DNR", uint16(st))
	}
	if statuses[second] != stOK || statuses[third] != stOK {
		t.Errorf("later commands ended with %#x and %#x", uint16(statuses[second]), uint16(statuses[third]))
	}
	close(hung.hold) // the target resumes and executes the write
	c.write(4, "last")
	if done, _ := c.next(); done.status != stOK {
		t.Errorf("after the target resumed: %+v", done)
	}
	if len(hung.received) != 0 {
		t.Errorf("the draining target received a new command")
	}
	for text, want := range map[string]int{"event": 0, "later": 1, "last": 1} {
		if n := successor.wrote(text); n != want {
			t.Errorf("the successor executed %q %d times, want %d", text, n, want)
		}
	}
	if n := hung.wrote("event"); n > 1 {
		t.Errorf("the write was executed %d times", n)
	}
}

// TestNothingSentWhenStartRefused checks that no byte is sent if mayStart returns false, as it does once the target is
// draining.
func TestNothingSentWhenStartRefused(t *testing.T) {
	near, far := net.Pipe()
	bytesSent := make(chan int, 1)
	go func() {
		b, _ := io.ReadAll(far)
		bytesSent <- len(b)
	}()
	queue := &session{hostConn: &hostConn{Conn: near}, assoc: &association{adminSem: make(chan struct{}, 1), inUse: map[uint16]bool{}}}
	r, reuse, _ := queue.Do(core.Attempt{Deadline: time.Now().Add(testTimeout), Payload: &IO{NSID: 1, Blocks: 1, Bytes: blockSize}},
		func() bool { return false })
	queue.Close()
	if n := <-bytesSent; r.Code != policy.NotSent || reuse || n != 0 {
		t.Errorf("code %v, reusable %v, %d bytes sent; want NotSent, not reusable and no bytes", r.Code, reuse, n)
	}
}

// TestTargetRestart restarts a target at the same address. The association that the new process does not have must be
// replaced on the next command, and not only when the next Keep Alive, up to a minute later here, fails.
func TestTargetRestart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	start := func(l net.Listener) *Server {
		s := New(newStore(), Options{Subsystem: targetNQN, Namespaces: []Namespace{testNamespace()}, QueueDepth: 8, MaxConns: 64,
			MaxBufferedBytes: 8 << 20, Timeouts: map[string]time.Duration{"event-write": testTimeout, "position-read": testTimeout}, Shutdown: core.NewShutdownSchedule(2 * time.Second), Log: discardLog})
		go func() { _ = s.Serve(l) }()
		return s
	}
	first := start(l)
	r := newInitiator(t, false, 5*time.Second, l.Addr().String())
	c := newClient(t, r.addr, false)
	c.read(1, 1)
	if done, _ := c.next(); done.status != stOK {
		t.Fatalf("before the restart: %+v", done)
	}
	if err := first.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	second, err := net.Listen("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	start(second)
	c.read(2, 1)
	if done, _ := c.next(); done.status != stOK {
		t.Errorf("after the restart: %+v", done)
	}
}

// TestStatuses checks the status for each response, and that only hosts that enabled ACRE get a retry delay.
func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer core.Response
		delays bool
		want   status
	}{
		{"served", core.Response{}, true, stOK},
		{"rejected", core.Response{Status: core.Rejected, RetryAfter: 200 * time.Millisecond}, false, stNSNotReady},
		{"rejected, with delay", core.Response{Status: core.Rejected, RetryAfter: 200 * time.Millisecond}, true, stNSNotReady.withRetryDelay(2)},
		{"rejected, longer than the longest delay", core.Response{Status: core.Rejected, RetryAfter: time.Minute}, true, stNSNotReady.withRetryDelay(3)},
		{"timed out", core.Response{Status: core.Failed, LastOutcome: policy.TimedOut}, true, stTransient | dnr},
		{"error", core.Response{Status: core.Failed, LastOutcome: policy.AnsweredError}, true, stInternal | dnr},
	} {
		if got := statusOf(c.answer, c.delays); got != c.want {
			t.Errorf("%s: %#x, want %#x", c.name, uint16(got), uint16(c.want))
		}
	}
	backend := newStore()
	backend.answer = core.Response{Status: core.Rejected, RetryAfter: 100 * time.Millisecond}
	_, addr := newServer(t, backend, poolNQN)
	c := newClient(t, addr, false)
	c.read(0, 1)
	if done, _ := c.next(); done.status != stNSNotReady {
		t.Errorf("before the host enabled retry delays: %#x", uint16(done.status))
	}
	set := newCommand(opSetFeatures, c.admin.nextCID(), 512, true)
	set.set32(40, featHostBehavior)
	if _, _, err := c.admin.execute(set, append([]byte{1}, make([]byte, 511)...)); err != nil {
		t.Fatal(err)
	}
	c.read(0, 1)
	if done, _ := c.next(); done.status != stNSNotReady.withRetryDelay(1) || done.status&dnr != 0 {
		t.Errorf("after the host enabled retry delays: %#x", uint16(done.status))
	}
}

// TestUnsupportedCommands checks that unsupported and invalid commands get their status, and that the connection stays open.
func TestUnsupportedCommands(t *testing.T) {
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
		{"length that does not match the blocks", func(c *command) { c.set32(32, 4) }, stInvalidField},
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
	if done, _, err := c.admin.execute(format, nil); err == nil || done.status != stInvalidOpcode|dnr {
		t.Errorf("format: %+v, %v", done, err)
	}
	if _, _, err := c.admin.execute(newCommand(opKeepAlive, c.admin.nextCID(), 0, false), nil); err != nil {
		t.Errorf("keep alive: %v", err)
	}
	c.read(0, 1)
	if done, _ := c.next(); done.status != stOK {
		t.Errorf("a valid command after the invalid ones: %+v", done)
	}
}

// TestAbort aborts a command by its queue and id. A second Abort of it finds no command.
func TestAbort(t *testing.T) {
	backend := newStore()
	backend.hold = make(chan struct{})
	_, addr := newServer(t, backend, poolNQN)
	c := newClient(t, addr, false)
	cid := c.write(1, "x")
	<-backend.received
	require.Zero(t, c.abort(cid))
	if done, _ := c.next(); done.cid != cid || done.status != stAborted|dnr {
		t.Errorf("aborted command: %+v", done)
	}
	require.EqualValues(t, 1, c.abort(cid))
	close(backend.hold)
	other := c.read(5, 1)
	if done, _ := c.next(); done.cid != other {
		t.Errorf("completion of command %d, want only that of %d", done.cid, other)
	}
}

// TestTermination checks that transport errors are answered with a termination request with the right fatal error status.
func TestTermination(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	for _, c := range []struct {
		name string
		send func(*client) error
		fes  uint16
	}{
		{"unknown type", func(c *client) error { return writeRaw(c, []byte{0x42, 0, 8, 0, 8, 0, 0, 0}) }, fesInvalidHeader},
		{"a PDU type that only controllers send", func(c *client) error {
			return writeRaw(c, appendPDU(nil, framing{}, typeR2T, 0, dataHead(1, 1, 0, 1), nil))
		}, fesSequence},
		{"data that was not requested", func(c *client) error {
			return writeRaw(c, appendPDU(nil, framing{}, typeH2CData, flagLast, dataHead(9, 9, 0, 1), []byte("x")))
		}, fesInvalidHeader},
		{"data out of range", func(c *client) error {
			cid := c.send(c.io, c.rw(opWrite, 0, 32, false), nil)
			p, err := c.io.receive()
			if err != nil || p.kind != typeR2T || p.u32(16) != 32*blockSize {
				return errors.Join(errors.New("no R2T"), err)
			}
			return writeRaw(c, appendPDU(nil, framing{}, typeH2CData, 0, dataHead(cid, p.u16(10), 512, 512), make([]byte, 512)))
		}, fesOutOfRange},
	} {
		h := newClient(t, addr, false)
		if err := c.send(h); err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		h.io.SetReadDeadline(time.Now().Add(testTimeout))
		p, err := h.io.receive()
		if err != nil || p.kind != typeC2HTerm || p.u16(8) != c.fes {
			t.Errorf("%s: %+v, %v; want a termination request with %#x", c.name, p, err, c.fes)
		}
	}
}

// TestTerminationRequestReachesHost has a host violate the protocol, send more data, and read only once its connection has
// been closed: the termination request arrives, and is not lost to a reset.
func TestTerminationRequestReachesHost(t *testing.T) {
	s, addr := newServer(t, newStore(), poolNQN)
	h := newClient(t, addr, false)
	open := func() int { s.mu.Lock(); defer s.mu.Unlock(); return len(s.queues) }
	require.Equal(t, 2, open())
	require.NoError(t, writeRaw(h, append([]byte{0x42, 0, 8, 0, 8, 0, 0, 0}, make([]byte, 100<<10)...)))
	require.Eventually(t, func() bool { return open() < 2 }, testTimeout, time.Millisecond)
	p, err := h.io.receive()
	require.NoError(t, err)
	require.EqualValues(t, typeC2HTerm, p.kind)
	_, err = h.io.receive()
	require.ErrorIs(t, err, io.EOF)
}

// TestWriteDataDuringShutdown has the data of a write arrive just after the server has begun to reject commands: the write is
// rejected as retryable and never executed. If it were submitted, its connection could be closed before it completes.
func TestWriteDataDuringShutdown(t *testing.T) {
	backend := newStore()
	s, addr := newServer(t, backend, poolNQN)
	h := newClient(t, addr, false)
	cid := h.send(h.io, h.rw(opWrite, 0, 32, false), nil)
	p, err := h.io.receive()
	require.NoError(t, err)
	require.EqualValues(t, typeR2T, p.kind)
	s.rejectNew.Store(true)
	for at := 0; at < 32*blockSize; at += maxH2CData {
		flags, n := byte(0), min(maxH2CData, 32*blockSize-at)
		if at+n == 32*blockSize {
			flags = flagLast
		}
		require.NoError(t, writeRaw(h, appendPDU(nil, framing{}, typeH2CData, flags, dataHead(cid, p.u16(10), uint32(at), uint32(n)), make([]byte, n))))
	}
	done, _ := h.next()
	require.Equal(t, stNSNotReady, done.status.code())
	require.Zero(t, done.status&dnr)
	backend.mu.Lock()
	defer backend.mu.Unlock()
	require.Empty(t, backend.writes)
}

func writeRaw(c *client, b []byte) error {
	_, err := c.io.Write(b)
	return err
}

// TestControllerSurvivesMalformedPDUs sends truncated and random PDUs after a valid ICReq, on one connection after another:
// each is answered or closed, and a well-behaved host is still served.
func TestControllerSurvivesMalformedPDUs(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	good := newClient(t, addr, false)
	rapid.Check(t, func(rt *rapid.T) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			rt.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
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
			rt.Fatal("the controller neither answered nor closed the connection")
		}
	})
	good.read(1, 1)
	if done, _ := good.next(); done.status != stOK {
		t.Errorf("a well-behaved host afterwards: %+v", done)
	}
}

// TestBadConnect checks that Connect to an unknown subsystem or an unknown controller is rejected.
func TestBadConnect(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	h := NewHost(HostOptions{Subsystem: "nqn.other", HostNQN: "nqn.host", KeepAlive: time.Minute})
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	w, err := h.openConn(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if _, err := w.connect(h.opt, 0, dynamicCntlID); err == nil {
		t.Error("Connect to an unknown subsystem succeeded")
	}
	if _, err := w.connect(HostOptions{Subsystem: poolNQN, HostNQN: "nqn.host"}, 1, 77); err == nil {
		t.Error("Connect of an I/O queue to an unknown controller succeeded")
	}
}

// TestUnconnectedHostsAreEvicted opens more silent connections than MaxConns: a host can still connect, connected hosts stay,
// and once all connections are connected hosts, a new one is closed.
func TestUnconnectedHostsAreEvicted(t *testing.T) {
	s, addr := newServer(t, newStore(), poolNQN)
	s.mu.Lock()
	s.opt.MaxConns = 4
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
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a fifth connection beside four connected ones: %v, want it closed", err)
	}
	for _, h := range []*client{first, second} {
		h.read(1, 1)
		if done, _ := h.next(); done.status != stOK {
			t.Errorf("a connected host: %+v", done)
		}
	}
}

// TestStopCompletesOpenCommands checks that commands open at the call of Stop are completed, that new commands are still
// served until Shutdown.ServeFor, and that they are rejected as retryable after that.
func TestStopCompletesOpenCommands(t *testing.T) {
	backend := newStore()
	backend.hold = make(chan struct{})
	s, addr := newServer(t, backend, poolNQN)
	c := newClient(t, addr, false)
	taken := c.read(1, 1)
	<-backend.received
	stopped := make(chan error)
	go func() { stopped <- s.Stop(context.Background()) }()
	time.Sleep(core.NewShutdownSchedule(2*time.Second).AcceptFor + 100*time.Millisecond)
	duringServe := c.read(3, 1)
	if x := <-backend.received; x.SLBA != 3 {
		t.Errorf("block %d was read during the shutdown, want 3", x.SLBA)
	}
	for !s.rejectNew.Load() {
		time.Sleep(time.Millisecond)
	}
	late := c.read(2, 1)
	if done, _ := c.next(); done.cid != late || done.status.code() != stNSNotReady || done.status&dnr != 0 {
		t.Errorf("late command: %+v, want it rejected as retryable", done)
	}
	close(backend.hold)
	for range 2 {
		if done, _ := c.next(); done.cid != taken && done.cid != duringServe || done.status != stOK {
			t.Errorf("command sent before ServeFor: %+v", done)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestIdentify checks the Identify pages that a host reads when it connects.
func TestIdentify(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	c := newClient(t, addr, true)
	for cns, check := range map[uint32]func([]byte) bool{
		0: func(p []byte) bool { return binary.LittleEndian.Uint64(p) == 1<<20 && p[130] == 9 },
		1: func(p []byte) bool { return bytes.HasPrefix(p[768:], []byte(poolNQN)) && p[512] == 0x66 },
		2: func(p []byte) bool { return binary.LittleEndian.Uint32(p) == 1 && p[4] == 0 },
		3: func(p []byte) bool { return p[0] == 1 && hex.EncodeToString(p[4:12]) == testNamespace().Volume },
	} {
		cmd := newCommand(opIdentify, c.admin.nextCID(), identifyLen, false)
		if cns != 2 {
			cmd.set32(4, 1)
		}
		cmd.set32(40, cns)
		_, page, err := c.admin.execute(cmd, nil)
		if err != nil || len(page) != identifyLen || !check(page) {
			t.Errorf("CNS %d: %d bytes, %v", cns, len(page), err)
		}
	}
}

// TestMetrics checks that each command is counted once, by its status, and none as concurrent once its connection is closed.
func TestMetrics(t *testing.T) {
	backend := newStore()
	s, addr := newServer(t, backend, poolNQN)
	c := newClient(t, addr, false)
	c.read(1, 1)
	c.next()
	backend.mu.Lock()
	backend.answer = core.Response{Status: core.Rejected}
	backend.mu.Unlock()
	c.read(2, 1)
	c.next()
	hold := make(chan struct{})
	defer close(hold)
	backend.mu.Lock()
	backend.hold = hold
	backend.mu.Unlock()
	for range 3 {
		c.read(3, 1)
	}
	for range 5 {
		<-backend.received
	}
	expectMetrics := func(want ...string) {
		t.Helper()
		require.EventuallyWithT(t, func(t *assert.CollectT) {
			got := string(metrics.Render(s.opt.Metrics.EmitMetrics))
			for _, w := range want {
				assert.Contains(t, got, w)
			}
		}, 20*time.Second, time.Millisecond)
	}
	expectMetrics("position-read.success:1|", "position-read.overload:1|", "position-read.error:0|", "concurrent:3|")
	c.io.Close()
	expectMetrics("position-read.success:1|", "position-read.overload:1|", "position-read.error:3|", "concurrent:0|")
}

// TestUnusedAssociationsAreRemoved dials targets that no longer exist: their associations are dropped once they have been unused
// for a while.
func TestUnusedAssociationsAreRemoved(t *testing.T) {
	h := NewHost(HostOptions{KeepAlive: time.Second})
	dialClosedPort := func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l.Close()
		_, err = h.Dial(context.Background(), l.Addr().String())
		require.Error(t, err)
	}
	dialClosedPort()
	dialClosedPort()
	require.Len(t, h.associations, 2) // both were used recently
	for _, a := range h.associations {
		a.lastUsed, a.retryAt = time.Now().Add(-2*maxUnusedTime), time.Now().Add(-2*maxUnusedTime)
	}
	dialClosedPort()
	require.Len(t, h.associations, 1)
}

// noWriteDeadlineConn is a connection whose write deadline is never enforced, as on a machine that is too busy to fire its
// timer.
type noWriteDeadlineConn struct{ net.Conn }

func (noWriteDeadlineConn) SetWriteDeadline(time.Time) error { return nil }

func (c noWriteDeadlineConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// TestNoDataAfterWriteDeadline has a target send an R2T before and after the attempt's write deadline, after which a retry
// must not be sent. After it, no data is sent, so the write cannot have started. Before it, the data is sent, and then the
// completion of another command is not accepted as that of the write.
func TestNoDataAfterWriteDeadline(t *testing.T) {
	for want, window := range map[policy.OutcomeCode]time.Duration{policy.ConnectionReset: testTimeout, policy.NotConnected: 50 * time.Millisecond} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		sendBefore := time.Now().Add(window)
		dataBytes := make(chan int, 1)
		go func() {
			c, _ := l.Accept()
			defer c.Close()
			capsule := make([]byte, 72)
			_, _ = io.ReadFull(c, capsule)
			if want == policy.NotConnected {
				time.Sleep(time.Until(sendBefore))
			}
			_, _ = c.Write(appendPDU(nil, framing{}, typeR2T, 0, dataHead(1, 7, 0, blockSize), nil))
			n := 0
			if want == policy.ConnectionReset {
				n, _ = io.ReadFull(c, make([]byte, 24+blockSize))
				_, _ = c.Write(appendPDU(nil, framing{}, typeResp, 0, make([]byte, 16), nil)) // for command id 0
			}
			more, _ := io.Copy(io.Discard, c)
			dataBytes <- n + int(more)
		}()
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		q := &session{hostConn: &hostConn{Conn: noWriteDeadlineConn{c}, in: bufio.NewReader(c), maxDataPDU: blockSize}, assoc: &association{adminSem: make(chan struct{}, 1), inUse: map[uint16]bool{}}}
		r, reuse, _ := q.Do(core.Attempt{Deadline: time.Now().Add(testTimeout), SendBefore: sendBefore, Payload: &IO{Write: true, NSID: 1, Blocks: 1, Bytes: blockSize,
			Data: make([]byte, blockSize)}}, func() bool { return true })
		q.Close()
		require.Equal(t, want, r.Code)
		require.False(t, reuse)
		require.Equal(t, want == policy.ConnectionReset, <-dataBytes > 0)
	}
}
