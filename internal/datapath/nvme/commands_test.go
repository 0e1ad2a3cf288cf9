package nvme

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// TestCommandsMadeHere plays the commands that targets need not know, each to its end and with what is wrong of it.
func TestCommandsMadeHere(t *testing.T) {
	back := newStore()
	_, addr := newServer(t, back, poolNQN)
	c := newClient(t, addr, true)
	end := func(name string, cmd *command, data []byte, want status) {
		t.Helper()
		cid := c.send(c.io, cmd, data)
		if done, _ := c.next(); done.cid != cid || done.status != want {
			t.Errorf("%s: %+v, want %#x", name, done, uint16(want))
		}
	}
	text := make([]byte, blockSize)
	copy(text, "held")
	c.write(7, "held")
	c.next()
	compare := func() *command {
		cmd := newCommand(opCompare, c.io.nextCID(), blockSize, true)
		cmd.set32(4, 1)
		cmd.set64(40, 7)
		return cmd
	}
	end("compare with what is there", compare(), text, stOK)
	end("compare with something else", compare(), make([]byte, blockSize), stCompareFailure)

	zeroes := newCommand(opWriteZeroes, c.io.nextCID(), 0, false)
	zeroes[39] = 0
	zeroes.set32(4, 1)
	zeroes.set64(40, 7)
	end("write zeroes", zeroes, nil, stOK)
	end("compare after zeroes", compare(), make([]byte, blockSize), stOK)
	zeroes.set16(2, c.io.nextCID())
	zeroes.set16(48, maxTransfer/blockSize)
	end("more zeroes than a transfer", zeroes, nil, stInvalidField|dnr)

	flush := newCommand(opFlush, c.io.nextCID(), 0, false)
	flush.set32(4, everyNS)
	end("flush of all", flush, nil, stOK)
	flush.set16(2, c.io.nextCID())
	flush.set32(4, 9)
	end("flush of none", flush, nil, stInvalidNS|dnr)

	dataset := func(blocks uint32) (*command, []byte) {
		cmd, r := newCommand(opDataset, c.io.nextCID(), 16, true), make([]byte, 16)
		cmd.set32(4, 1)
		cmd.set32(44, 1<<2) // deallocate
		binary.LittleEndian.PutUint32(r[4:], blocks)
		return cmd, r
	}
	cmd, r := dataset(1 << 10)
	end("deallocate", cmd, r, stOK)
	cmd, r = dataset(1<<20 + 1)
	end("deallocate past the end", cmd, r, stLBARange|dnr)
	cmd, r = dataset(1)
	cmd.set32(40, 1) // two ranges, one there
	end("deallocate with a range missing", cmd, r, stInvalidField|dnr)
	if back.wrote("") != 1 {
		t.Errorf("zeroes were written %d times", back.wrote(""))
	}
}

// adminPage reads a log page, or part of it.
func (c *client) logPage(lid byte, offset uint64, length int, retain bool) ([]byte, error) {
	cmd := newCommand(opGetLogPage, c.admin.nextCID(), length, false)
	dwords := uint32(length/4 - 1)
	cmd.set32(40, uint32(lid)|dwords<<16)
	if retain {
		cmd.set32(40, cmd.dw(10)|1<<15)
	}
	cmd.set32(44, dwords>>16)
	cmd.set64(48, offset)
	_, page, err := c.admin.ask(cmd, nil)
	return page, err
}

// TestLogPages reads each page a host reads, whole and in part, and pages there are not.
func TestLogPages(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	c := newClient(t, addr, false)
	c.write(1, "x")
	c.next()
	c.send(c.io, c.rw(opRead, 1<<20, 1, false), nil)
	c.next()
	page, err := c.logPage(logErrors, 0, errorEntries*errorEntryLen, false)
	if err != nil || binary.LittleEndian.Uint64(page) != 1 || binary.LittleEndian.Uint16(page[8:]) != 1 ||
		binary.LittleEndian.Uint16(page[12:])>>1 != uint16(stLBARange|dnr) || binary.LittleEndian.Uint64(page[16:]) != 1<<20 {
		t.Errorf("error log: %v, %x", err, page[:min(len(page), 32)])
	}
	page, err = c.logPage(logHealth, 0, 512, false)
	if err != nil || page[80] != 1 || page[64] != 0 || page[176] != 1 {
		t.Errorf("health: %v", err)
	}
	page, err = c.logPage(logFirmware, 8, 8, false)
	if err != nil || string(page) != "1       " {
		t.Errorf("firmware slot, from its offset: %v, %q", err, page)
	}
	page, err = c.logPage(logEffects, 1024, 4096, false)
	if err != nil || page[4*opWrite] != 3 || page[4*opCompare] != 1 || !bytes.Equal(page[3072:], make([]byte, 1024)) {
		t.Errorf("effects, past the page's end: %v", err)
	}
	for name, read := range map[string]func() ([]byte, error){
		"an unknown page":                         func() ([]byte, error) { return c.logPage(0xC5, 0, 512, false) },
		"from past its end":                       func() ([]byte, error) { return c.logPage(logHealth, 516, 512, false) },
		"more than a transfer":                    func() ([]byte, error) { return c.logPage(logHealth, 0, maxTransfer+4, false) },
		"the discovery page of an I/O controller": func() ([]byte, error) { return c.logPage(logDiscovery, 0, 1024, false) },
	} {
		if _, err := read(); err == nil {
			t.Errorf("%s was served", name)
		}
	}
}

// TestNamespaceEvents changes the namespaces while a host waits: it is told once, reads which, and is told again only
// after that. Event requests past the limit are turned away, aborted ones make room.
func TestNamespaceEvents(t *testing.T) {
	s, addr := newServer(t, newStore(), poolNQN)
	c := newClient(t, addr, false)
	await := func() uint16 {
		cmd := newCommand(opAsyncEvent, c.admin.nextCID(), 0, false)
		return c.send(c.admin, cmd, nil)
	}
	told := func() completion {
		t.Helper()
		c.admin.SetReadDeadline(time.Now().Add(patient))
		p, err := c.admin.receive()
		if err != nil {
			t.Fatal(err)
		}
		return parseCompletion(p)
	}
	second := space()
	second.ID = 2
	s.Update([]Namespace{space(), second}) // the host has not asked for such events: nothing is out, but it is kept
	want := newCommand(opSetFeatures, c.admin.nextCID(), 0, false)
	want.set32(40, featAsyncEvents)
	want.set32(44, 0xFFFF)
	if _, _, err := c.admin.ask(want, nil); err != nil {
		t.Fatal(err)
	}
	first := await()
	if done := told(); done.cid != first || done.result != namespaceNotice {
		t.Fatalf("event %+v", done)
	}
	var waiting []uint16
	for range mostEvents {
		waiting = append(waiting, await())
	}
	over := await()
	if done := told(); done.cid != over || done.status != stAsyncLimit|dnr {
		t.Errorf("one too many: %+v", done)
	}
	s.Update([]Namespace{space()}) // masked: the page has not been read
	abort := newCommand(opAbort, c.admin.nextCID(), 0, false)
	abort.set32(40, uint32(waiting[0])<<16)
	c.send(c.admin, abort, nil)
	for range 2 {
		if done := told(); done.cid != waiting[0] && done.cid != abort.cid() {
			t.Errorf("%+v came where the abort was due", done)
		}
	}
	page, err := c.logPage(logNamespaces, 0, 4096, false)
	if err != nil || binary.LittleEndian.Uint32(page) != 2 || binary.LittleEndian.Uint32(page[4:]) != 0 {
		t.Errorf("changed namespaces: %v, %x", err, page[:min(len(page), 8)])
	}
	third := space()
	third.ID = 3
	s.Update([]Namespace{third})
	if done := told(); done.cid != waiting[1] || done.result != namespaceNotice {
		t.Errorf("event after the page was read: %+v", done)
	}
	if page, err = c.logPage(logNamespaces, 0, 4096, true); err != nil || binary.LittleEndian.Uint32(page) != 1 || binary.LittleEndian.Uint32(page[4:]) != 3 {
		t.Errorf("changed namespaces, retained: %v", err)
	}
	s.Update([]Namespace{third}) // the same again is no change
	c.read(0, 1)
	if done, _ := c.next(); done.status != stInvalidNS|dnr {
		t.Errorf("read of a namespace that is gone: %+v", done)
	}
}

// TestDiscovery finds the subsystem by the well-known name and connects to what the entry says.
func TestDiscovery(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	h := NewHost(HostOptions{Subsystem: discoveryNQN, HostNQN: "nqn.2026-12.example.test:client", KeepAlive: time.Minute})
	ctx, stop := context.WithTimeout(context.Background(), patient)
	defer stop()
	w, err := h.open(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	cntlid, _, err := h.enable(ctx, w)
	if err != nil {
		t.Fatal(err)
	}
	c := &client{t: t, admin: w}
	page, err := c.logPage(logDiscovery, 0, 2*discoveryLen, false)
	if err != nil || binary.LittleEndian.Uint64(page[8:]) != 1 {
		t.Fatalf("discovery page: %v", err)
	}
	e := page[discoveryLen:]
	found := strings.TrimSpace(string(e[512:768])) + ":" + strings.TrimSpace(string(e[32:64]))
	if found != addr || nqn(e[256:512]) != poolNQN || e[0] != 3 || e[2] != 2 {
		t.Errorf("entry %q %q", found, nqn(e[256:512]))
	}
	if _, err := c.logPage(logHealth, 0, 512, false); err == nil {
		t.Error("a discovery controller told of its health")
	}
	io, err := h.open(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer io.Close()
	if _, err := io.connect(h.opt, 1, cntlid); err == nil {
		t.Error("an I/O queue at a discovery controller")
	}
	newClient(t, found, false)
}

// TestDisconnect deletes an I/O queue by the host's word; the association goes on without it.
func TestDisconnect(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	c := newClient(t, addr, false)
	if _, _, err := c.io.ask(fabricsCommand(c.io, fctDisconnect, 0), nil); err != nil {
		t.Fatal(err)
	}
	if _, err := c.io.receive(); err == nil {
		t.Error("the queue's connection is still open")
	}
	if _, _, err := c.admin.ask(newCommand(opKeepAlive, c.admin.nextCID(), 0, false), nil); err != nil {
		t.Errorf("keep-alive after it: %v", err)
	}
}

// TestFeatures sets and gets what hosts do at their start.
func TestFeatures(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	c := newClient(t, addr, false)
	feature := func(op byte, dw10, dw11 uint32) (completion, error) {
		cmd := newCommand(op, c.admin.nextCID(), 0, false)
		cmd.set32(40, dw10)
		cmd.set32(44, dw11)
		done, _, err := c.admin.ask(cmd, nil)
		return done, err
	}
	for _, x := range []struct {
		name       string
		op         byte
		dw10, dw11 uint32
		result     uint64
		want       status
	}{
		{"queues", opSetFeatures, featQueues, 3<<16 | 3, (mostQueues-1)<<16 | (mostQueues - 1), stOK},
		{"events", opSetFeatures, featAsyncEvents, 0xFFFFFFFF, 0, stOK},
		{"events as set", opGetFeatures, featAsyncEvents, 0, eventsKnown, stOK},
		{"whether events can be changed", opGetFeatures, featAsyncEvents | 3<<8, 0, 4, stOK},
		{"keep-alive", opGetFeatures, featKeepAlive, 0, 60000, stOK},
		{"keep-alive, to be set", opSetFeatures, featKeepAlive, 5, 0, stNotChangeable | dnr},
		{"events, to be saved", opSetFeatures, featAsyncEvents | 1<<31, 0, 0, stNotChangeable | dnr},
		{"volatile write cache, of which there is none", opGetFeatures, 0x06, 0, 0, stInvalidField | dnr},
	} {
		done, err := feature(x.op, x.dw10, x.dw11)
		if done.status != x.want || done.result != x.result || (err == nil) != (x.want == stOK) {
			t.Errorf("%s: %+v, %v", x.name, done, err)
		}
	}
}

// TestSplit cuts commands where the shard changes, and nowhere else.
func TestSplit(t *testing.T) {
	n := space()
	n.StripeBlocks, n.Shards = 4, []int{0, 0, 1}
	x := &IO{Write: true, NSID: 1, SLBA: 2, Blocks: 16, Bytes: 16 * blockSize, Data: make([]byte, 16*blockSize)}
	for i := range x.Data {
		x.Data[i] = byte(i / blockSize)
	}
	next, data := x.SLBA, []byte(nil)
	var shards []int
	for _, p := range n.split(x) {
		if p.SLBA != next || p.Bytes != len(p.Data) || p.Bytes != int(p.Blocks)*blockSize {
			t.Errorf("part %+v does not follow", p)
		}
		shards = append(shards, n.request(p).Shard)
		next, data = next+uint64(p.Blocks), append(data, p.Data...)
	}
	if next != x.SLBA+16 || !bytes.Equal(data, x.Data) || len(shards) != 3 || shards[0] != 0 || shards[1] != 1 || shards[2] != 0 {
		t.Errorf("shards %v, up to block %d", shards, next)
	}
	whole := &IO{NSID: 1, SLBA: 1, Blocks: 7, Bytes: 7 * blockSize}
	if parts := n.split(whole); len(parts) != 1 || parts[0] != whole {
		t.Errorf("%d parts of what lies on one shard", len(parts))
	}
}

// TestGather holds the status of a command in parts against what of it has run or may have.
func TestGather(t *testing.T) {
	served := core.Response{Status: core.Served}
	refused := core.Response{Status: core.Rejected, RetryAfter: 250 * time.Millisecond}
	failed := core.Response{Status: core.Failed, LastOutcome: policy.AnsweredError}
	doubt := core.Response{Status: core.Failed, LastOutcome: policy.TimedOut}
	for _, c := range []struct {
		name        string
		write       bool
		ends        []core.Response
		want        status
		wantRetried bool
	}{
		{"all served", true, []core.Response{served, served}, stOK, false},
		{"all refused", true, []core.Response{refused, core.Overloaded}, stNSNotReady, true},
		{"a write half served", true, []core.Response{served, refused}, stInternal | dnr, false},
		{"a read half served", false, []core.Response{served, refused}, stNSNotReady, true},
		{"one failed", true, []core.Response{refused, failed}, stInternal | dnr, false},
		{"one in doubt", true, []core.Response{doubt, refused}, stTransient | dnr, false},
		{"doubt outweighs an error", true, []core.Response{failed, doubt, served}, stTransient | dnr, false},
	} {
		jobs := make([]*core.Job, len(c.ends))
		for i := range jobs {
			jobs[i] = &core.Job{Payload: &IO{Write: c.write}}
		}
		st, _ := gather(&IO{Write: c.write}, jobs, c.ends, false)
		if st != c.want || (st&dnr == 0 && st != stOK) != c.wantRetried {
			t.Errorf("%s: %#x, want %#x", c.name, uint16(st), uint16(c.want))
		}
	}
	jobs := []*core.Job{{Payload: &IO{Bytes: 1}}, {Payload: &IO{Bytes: 2}}}
	st, body := gather(&IO{}, jobs, []core.Response{{Payload: []byte("a")}, {Payload: []byte("bc")}}, false)
	if st != stOK || string(body) != "abc" {
		t.Errorf("read in parts: %#x, %q", uint16(st), body)
	}
	if st, _ = gather(&IO{}, jobs, []core.Response{{Payload: []byte("a")}, {Payload: []byte("b")}}, false); st != stInternal|dnr {
		t.Errorf("a part that is short: %#x", uint16(st))
	}
}

// TestOverTwoShards sends commands that lie on two targets end to end: data in order, nothing written twice, and one
// completion where one of the two is gone.
func TestOverTwoShards(t *testing.T) {
	var stores []*store
	var addrs []string
	for range 2 {
		back := newStore()
		_, addr := newServer(t, back, targetNQN)
		stores, addrs = append(stores, back), append(addrs, addr)
	}
	r := newRig(t, true, time.Second)
	for i, addr := range addrs {
		r.listAt(string(rune('a'+i)), addr, i, policy.Up)
	}
	n := space()
	n.StripeBlocks, n.Shards = 4, []int{0, 1}
	r.server.Update([]Namespace{n})
	c := newClient(t, r.addr, true)
	data := bytes.Repeat([]byte("0123456789abcdef"), 10*blockSize/16)
	for i := range 10 {
		data[i*blockSize] = byte('A' + i)
	}
	c.send(c.io, c.rw(opWrite, 2, 10, true), data)
	if done, _ := c.next(); done.status != stOK {
		t.Fatalf("write %+v", done)
	}
	c.read(2, 10)
	if done, got := c.next(); done.status != stOK || !bytes.Equal(got, data) {
		t.Errorf("read %+v, %d bytes, the same: %v", done, len(got), bytes.Equal(got, data))
	}
	if len(stores[0].came) == 0 || len(stores[1].came) == 0 {
		t.Error("one of the targets got nothing")
	}
	for i, s := range stores {
		for text, times := range s.writes {
			if times != 1 {
				t.Errorf("target %d wrote %q %d times", i, text[:1], times)
			}
		}
	}
	r.listAt("b", addrs[1], 1, policy.Draining)
	c.send(c.io, c.rw(opWrite, 2, 10, true), data)
	if done, _ := c.next(); done.status != stInternal|dnr {
		t.Errorf("write of which half has run: %+v", done)
	}
	c.read(2, 10)
	if done, _ := c.next(); done.status.code() != stNSNotReady || done.status&dnr != 0 {
		t.Errorf("read of which half is to be had: %+v", done)
	}
}

// TestShutdownAndReset plays what a host does at its end: CC.SHN, then a reset, which ends I/O queues but not the
// association.
func TestShutdownAndReset(t *testing.T) {
	_, addr := newServer(t, newStore(), poolNQN)
	c := newClient(t, addr, false)
	set := func(cc uint64) {
		t.Helper()
		cmd := fabricsCommand(c.admin, fctPropertySet, 0)
		cmd.set32(44, propCC)
		cmd.set64(48, cc)
		if _, _, err := c.admin.ask(cmd, nil); err != nil {
			t.Fatal(err)
		}
	}
	set(4<<20 | 6<<16 | 1<<14 | ccEnable)
	if v, err := c.admin.property(propCSTS); err != nil || v&(3<<2) != cstsShutdown {
		t.Errorf("status after a shutdown: %#x, %v", v, err)
	}
	set(0)
	if _, err := c.io.receive(); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("an I/O queue outlived the reset: %v", err)
	}
	if v, err := c.admin.property(propCSTS); err != nil || v != 0 {
		t.Errorf("status after a reset: %#x, %v", v, err)
	}
}

// scripted is a target's I/O queue played by hand: it gives the command it got to the script, which writes what it likes.
func scripted(t *testing.T, can bears, x *IO, script func(net.Conn, *pdu)) (core.Result, string) {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	go func() {
		if p, err := readPDU(bufio.NewReader(there), framing{}); err == nil {
			script(there, p)
		}
	}()
	s := &session{wire: &wire{Conn: here, in: bufio.NewReader(here), most: minH2CData}, bears: can,
		from: &association{talk: make(chan struct{}, 1), inUse: map[uint16]bool{}}}
	r, _, reason := s.Do(core.Attempt{Deadline: time.Now().Add(patient), Payload: x}, func() bool { return true })
	return r, reason
}

// TestAnswerStopsMidway bounds an answer that has begun, as on HTTP: it is not waited for until its time is over.
func TestAnswerStopsMidway(t *testing.T) {
	x := &IO{NSID: 1, Blocks: 2, Bytes: 2 * blockSize}
	part := func(p *pdu, at, length int) []byte {
		return appendPDU(nil, framing{}, typeC2HData, 0, dataHead(p.u16(10), 0, uint32(at), uint32(length)), make([]byte, length))
	}
	for name, script := range map[string]func(net.Conn, *pdu){
		"within a PDU": func(c net.Conn, p *pdu) { _, _ = c.Write(part(p, 0, blockSize)[:100]) },
		"between two":  func(c net.Conn, p *pdu) { _, _ = c.Write(part(p, 0, blockSize)) },
	} {
		began := time.Now()
		r, reason := scripted(t, bears{}, x, script)
		if r.Code != policy.ConnectionReset || reason != "READ_STALLED" || time.Since(began) > patient/2 {
			t.Errorf("%s: %v %s after %v", name, r.Code, reason, time.Since(began))
		}
	}
}

// TestWritesReachTheMedium asks a target with a volatile write cache to have a write on its medium before it says so:
// hosts are told that there is no such cache, and that Flush has nothing to do.
func TestWritesReachTheMedium(t *testing.T) {
	for _, cache := range []bool{false, true} {
		asked := uint32(0)
		x := &IO{Write: true, NSID: 1, Blocks: 1, Bytes: blockSize, Data: make([]byte, blockSize)}
		r, reason := scripted(t, bears{inside: inCapsule, cache: cache}, x, func(c net.Conn, p *pdu) {
			var cmd command
			copy(cmd[:], p.head[commonLen:])
			asked = cmd.dw(12)
			_, _ = c.Write(appendPDU(nil, framing{}, typeResp, 0, completion{cid: cmd.cid()}.head(), nil))
		})
		if r.Code != policy.Served || (asked&fua != 0) != cache || asked&0xFFFF != 0 {
			t.Errorf("cache %v: %v %s, dword 12 %#x", cache, r.Code, reason, asked)
		}
	}
}

// TestRests bounds the rests after associations that failed, spreads them, and has none while they work.
func TestRests(t *testing.T) {
	rests, seen := newRests(), map[time.Duration]bool{}
	for failed := range 100 {
		due := min(restLeast<<min(failed, 16), restMost)
		rest := rests.NextBackOff()
		if rest < due/2 || rest > due*3/2 {
			t.Errorf("after %d: %v, about %v is due", failed, rest, due)
		}
		seen[rest] = true
	}
	if len(seen) < 50 {
		t.Errorf("rests are in step: %v", seen)
	}
	h := NewHost(HostOptions{Subsystem: targetNQN, HostNQN: "nqn.2026-12.example.test:client", KeepAlive: time.Minute})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	ctx, stop := context.WithTimeout(context.Background(), patient)
	defer stop()
	if _, err := h.Dial(ctx, addr); err == nil || errors.Is(err, errRests) {
		t.Errorf("first attempt at nobody: %v", err)
	}
	if _, err := h.Dial(ctx, addr); !errors.Is(err, errRests) {
		t.Errorf("attempt during the rest: %v", err)
	}
	if l, err = net.Listen("tcp", addr); err != nil {
		t.Skipf("the address was taken meanwhile: %v", err)
	}
	s := New(newStore(), Options{Subsystem: targetNQN, Namespaces: []Namespace{space()}, QueueDepth: 8, MostConn: 8, MostBytes: 1 << 20, Log: quiet})
	go func() { _ = s.Serve(l) }()
	defer l.Close()
	for end := time.Now().Add(patient); ; time.Sleep(5 * time.Millisecond) {
		w, err := h.Dial(ctx, addr)
		if err == nil {
			w.Close()
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the target is back and still not reached: %v", err)
		}
	}
}

// TestConformance runs the whole suite against the front, through the core and two targets, and against targets alone;
// and holds the suite itself against a controller that breaks clauses.
func TestConformance(t *testing.T) {
	_, target := newServer(t, newStore(), targetNQN)
	r := newRig(t, true, time.Second, target)
	for name, opt := range map[string]ConformOptions{
		"through the core": {Addr: r.addr, Subsystem: poolNQN, NSID: 1, Write: true},
		"a target alone":   {Addr: target, Subsystem: targetNQN, NSID: 1, Write: true},
	} {
		results, err := Conform(opt)
		if err != nil {
			t.Fatal(err)
		}
		seen := map[Verdict]int{}
		for _, x := range results {
			seen[x.Verdict]++
			if x.Verdict == Miss {
				t.Errorf("%s: %s %s: %s", name, x.Section, x.Clause, x.Detail)
			}
		}
		if seen[Pass] < 40 || seen[Outside] < 5 || seen[Skipped] > 0 {
			t.Errorf("%s: %v", name, seen)
		}
	}
	if _, err := Conform(ConformOptions{Addr: "192.0.2.1:4420"}); err == nil {
		t.Error("the suite would leave this machine")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for { // one that reads what comes and says nothing
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	results, err := Conform(ConformOptions{Addr: l.Addr().String(), Subsystem: poolNQN, NSID: 1, Within: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range results {
		if x.Verdict != Miss && x.Verdict != Skipped {
			t.Errorf("a silent controller: %s %s: %s", x.Section, x.Clause, x.Verdict)
		}
	}
}

// TestDataNeverComes has a host ask to write and send none of the data that it was asked for: its connection ends when the
// command's time is over, nothing is kept, and nothing was written.
func TestDataNeverComes(t *testing.T) {
	back := newStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := New(back, Options{Subsystem: poolNQN, Namespaces: []Namespace{space()}, QueueDepth: 8, MostConn: 8, MostBytes: 1 << 20,
		Patience: map[string]time.Duration{"event-write": 100 * time.Millisecond}, Log: quiet})
	go func() { _ = s.Serve(l) }()
	c := newClient(t, l.Addr().String(), false)
	c.send(c.io, c.rw(opWrite, 0, 32, false), nil)
	if p, err := c.io.receive(); err != nil || p.kind != typeR2T {
		t.Fatalf("no R2T: %v", err)
	}
	if held := s.bytes.Load(); held != 32*blockSize {
		t.Errorf("%d bytes held", held)
	}
	c.io.SetReadDeadline(time.Now().Add(patient))
	if _, err := c.io.receive(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection lives on: %v", err)
	}
	require.Eventually(t, func() bool { return s.bytes.Load() == 0 && s.open.Load() == 0 }, patient, time.Millisecond, "bytes or commands are kept")
	if len(back.came) > 0 {
		t.Error("a write without its data was run")
	}
}

// TestAbortRacesCompletion aborts commands while their answers come: each has one completion, aborted or not, and no
// write runs twice.
func TestAbortRacesCompletion(t *testing.T) {
	back := newStore()
	_, addr := newServer(t, back, poolNQN)
	c := newClient(t, addr, false)
	aborted := 0
	for i := range 300 {
		drain(back)
		cid := c.write(uint64(i), fmt.Sprint("w", i))
		abort := newCommand(opAbort, c.admin.nextCID(), 0, false)
		abort.set32(40, 1|uint32(cid)<<16)
		done, _, err := c.admin.ask(abort, nil)
		if err != nil {
			t.Fatal(err)
		}
		end, _ := c.next()
		switch {
		case end.cid != cid:
			t.Fatalf("completion of %d where %d was out", end.cid, cid)
		case (end.status == stAborted|dnr) != (done.result == 0):
			t.Errorf("ended with %#x, the abort says %d", uint16(end.status), done.result)
		case end.status == stAborted|dnr:
			aborted++
		}
	}
	for i := range 300 {
		if n := back.wrote(fmt.Sprint("w", i)); n > 1 {
			t.Errorf("write %d ran %d times", i, n)
		}
	}
	t.Logf("%d of 300 were aborted", aborted)
}

// drain makes room in the store's record of what came.
func drain(s *store) {
	for len(s.came) > 0 {
		<-s.came
	}
}

// TestQueueFull sends more commands than the queue holds while the node stands still: the connection ends for that, with
// a termination request, and another queue goes on.
func TestQueueFull(t *testing.T) {
	back := newStore()
	back.still = make(chan struct{})
	defer close(back.still)
	_, addr := newServer(t, back, poolNQN)
	c := newClient(t, addr, false)
	for range 9 {
		c.read(0, 1)
	}
	if err := terminated(c.io.in, fesSequence, -1); err != nil {
		t.Error(err)
	}
	if _, _, err := c.admin.ask(newCommand(opKeepAlive, c.admin.nextCID(), 0, false), nil); err != nil {
		t.Errorf("the admin queue: %v", err)
	}
}

// TestHostGoesAmidCommands has hosts end their connections with commands out, over and over: the core hears of each, and
// nothing is kept.
func TestHostGoesAmidCommands(t *testing.T) {
	_, target := newServer(t, newStore(), targetNQN)
	r := newRig(t, false, time.Second, target)
	for i := range 20 {
		c := newClient(t, r.addr, false)
		c.write(uint64(i), "half")
		c.send(c.io, c.rw(opWrite, 0, 32, false), nil)
		c.io.Close()
		c.admin.Close()
	}
	require.Eventually(t, func() bool {
		return r.core.OpenCount() == 0 && r.server.bytes.Load() == 0 && r.server.open.Load() == 0
	}, patient, time.Millisecond, "requests, bytes or commands are kept")
}
