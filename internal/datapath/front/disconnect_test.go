package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
)

// lines keeps what a front logs.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func (l *logBuffer) attach(s *Server) {
	s.opt.Log = slog.New(slog.NewTextHandler(l, nil))
	s.conns.log = s.opt.Log
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c.(*net.TCPConn)
}

// count is how many connections there are, and how many wait for their clients' ends.
func (t *connTable) counts() (open, shut int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), len(t.lingering)
}

// empty waits until no connection is left.
func waitNoConns(t *testing.T, s *Server) {
	t.Helper()
	require.Eventually(t, func() bool { open, shut := s.conns.counts(); return open+shut == 0 }, 20*time.Second, time.Millisecond)
}

// ended holds that so many connections have their line. It may come a moment after the connection is gone.
func (l *logBuffer) requireEnded(t *testing.T, want int) {
	t.Helper()
	count := func() int { return strings.Count(l.String(), "connection ended") }
	require.Eventually(t, func() bool { return count() >= want }, 20*time.Second, time.Millisecond)
	require.Equal(t, want, count())
}

// the is the one connection there is.
func (t *connTable) onlyConn() (only *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		only = c
	}
	return only
}

// unbroken holds that no reset has come.
func requireNoReset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		e, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		require.NoError(t, err)
		require.Zero(t, e, "reset: %v", unix.Errno(e))
	}))
}

// TestLeftAfterMore has clients send more while their request is open, from a byte to a flood, and go in each way there is: the
// core is told, no second request is taken, and what was kept is given back. net/http alone stops looking after one byte.
func TestDisconnectAfterPipelinedBytes(t *testing.T) {
	var log logBuffer
	s, b, addr := newFront(t, 64, log.attach)
	room := s.opt.BufferBudget.Left()
	ways := map[string]func(*net.TCPConn){"closes": func(c *net.TCPConn) { c.Close() }, "half-closes": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"resets": func(c *net.TCPConn) { c.SetLinger(0); c.Close() }}
	for name, leave := range ways {
		for _, more := range []string{"", "G", validRequest, validRequest + validRequest, strings.Repeat("x", 3*maxReadAhead), strings.Repeat("x", 3<<20)} {
			c := dial(t, addr)
			_, _ = io.WriteString(c, validRequest)
			j := <-b.jobs
			_, _ = io.WriteString(c, more)
			leave(c)
			select {
			case g := <-b.cancelled:
				require.Same(t, j, g)
			case <-time.After(5 * time.Second):
				t.Fatalf("%s after %d bytes more: the core was not told", name, len(more))
			}
		}
	}
	waitNoConns(t, s)
	require.Empty(t, b.jobs)
	require.Equal(t, room, s.opt.BufferBudget.Left())
	log.requireEnded(t, 18)
	require.Contains(t, log.String(), "CLIENT_FLOOD")
}

// TestMoreIsKept has a second request come while the first is open, cut anywhere: it is served after it, in chunks too, where it was
// not in the first one's packet. Past what is kept a connection ends with its answer, which its client can read.
func TestPipelinedRequestIsServed(t *testing.T) {
	s, b, addr := newFront(t, 64)
	second := chunkedHead + "\r\n3\r\nabc\r\n0\r\n\r\n"
	kept := func() int {
		c := s.conns.onlyConn()
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.aheadBuf) + c.dropped
	}
	for _, cut := range []int{1, 2, len(validHead), len(second)} {
		c := dial(t, addr)
		in := bufio.NewReader(c)
		_, _ = io.WriteString(c, validRequest)
		j := <-b.jobs
		_, _ = io.WriteString(c, second[:cut])
		require.Eventually(t, func() bool { return kept() == cut }, 20*time.Second, time.Millisecond)
		j.Done(core.Response{Payload: []byte("first")})
		_, _ = io.WriteString(c, second[cut:])
		require.Equal(t, "abc", string((serveSecond(t, b)).Body))
		for _, want := range []string{"first", "second"} {
			resp, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, want, string(body))
		}
		c.Close()
		waitNoConns(t, s)
	}
	// Where there is no room for it, it waits with the machine.
	c := dial(t, addr)
	_, _ = io.WriteString(c, validRequest)
	j := <-b.jobs
	left := s.opt.BufferBudget.Left()
	s.opt.BufferBudget.Give(-left)
	cc := s.conns.onlyConn()
	_, _ = io.WriteString(c, strings.Replace(strings.Replace(validHead, "PUT", "GET", 1), "/put/", "/get/", 1)+"\r\n")
	require.Eventually(t, func() bool { return cc.overflowed.Load() || !upstream.Quiet(cc.Conn) }, 20*time.Second, time.Millisecond)
	require.False(t, cc.clientClosed(true))
	j.Done(core.Response{Payload: []byte("first")})
	serveSecond(t, b)
	s.opt.BufferBudget.Give(left)
	c.Close()
	waitNoConns(t, s)
	c = dial(t, addr)
	_, _ = io.WriteString(c, validRequest)
	j = <-b.jobs
	_, _ = io.WriteString(c, strings.Repeat("x", 2*maxReadAhead))
	require.Eventually(t, func() bool { return kept() > maxReadAhead }, 20*time.Second, time.Millisecond)
	j.Done(core.Response{Payload: []byte("last")})
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.True(t, resp.Close)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "last", string(body))
}

// j2 takes the next request and serves it as the second.
func serveSecond(t *testing.T, b *fakeCore) *upstream.Message {
	select {
	case j := <-b.jobs:
		j.Done(core.Response{Payload: []byte("second")})
		return j.Payload.(*upstream.Message)
	case <-time.After(20 * time.Second):
		t.Fatal("the second request was not taken")
	}
	return nil
}

// TestLeftBeforeTaken has a client write its request and go before the process comes to read it: it never reaches the core.
func TestDisconnectBeforeAccept(t *testing.T) {
	for name, raw := range map[string]string{"write": validRequest, "read": strings.Replace(strings.Replace(validHead, "PUT", "GET", 1), "/put/", "/get/", 1) + "\r\n",
		"chunks": chunkedHead + "\r\n3\r\nabc\r\n0\r\n\r\n", "pipeline": validRequest + "GET"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		c := dial(t, l.Addr().String())
		_, _ = io.WriteString(c, raw)
		c.Close()
		var log logBuffer
		s, b, _ := newFront(t, 64, log.attach)
		go func() { _ = s.Serve(l) }() // only now is it accepted
		require.Eventually(t, func() bool { return strings.Contains(log.String(), "connection ended") }, 20*time.Second, time.Millisecond)
		require.Empty(t, b.jobs, name)
		require.Contains(t, log.String(), "CLIENT_CLOSED", name)
	}
}

// TestLeftWhileBodyWaits has a client of a large body go while its way to the target is being opened, with bytes of the body
// unread: the way is given up, and nothing reaches the core.
func TestDisconnectWhileUploadOpens(t *testing.T) {
	opening, given := make(chan bool), make(chan error, 1)
	_, b, addr := newFront(t, 64, func(s *Server) {
		s.opt.OpenUpload = func(ctx context.Context, _ string, _ *upstream.Message, _ int64, _ time.Duration) (*upstream.Upload, error) {
			opening <- true
			<-ctx.Done()
			given <- ctx.Err()
			return nil, ctx.Err()
		}
	})
	c := dial(t, addr)
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", validHead, 10*upstream.MaxHeld, strings.Repeat("x", upstream.MaxHeld/2))
	<-opening
	c.Close()
	select {
	case <-given: //nolint:errcheck // that the call has returned is what is tested
	case <-time.After(5 * time.Second):
		t.Fatal("its way is still being opened")
	}
	require.Empty(t, b.jobs)
}

// TestCloseKeepsAnswer has clients send more than is read of them, and read their answer only once the connection was closed: it is
// there whole, and no reset took it.
func TestCloseKeepsResponse(t *testing.T) {
	more := strings.Repeat("x", 100<<10)
	for name, x := range map[string]struct {
		raw  string
		want int
	}{
		"garbage":       {"nonsense\r\n\r\n" + more, 400},
		"odd coding":    {validHead + "Transfer-Encoding: gzip\r\n\r\n" + more, 501},
		"long head":     {"GET / HTTP/1.1\r\nX: " + more + "\r\n\r\n", 431},
		"expects":       {validHead + "Expect: tea\r\nContent-Length: 102400\r\n\r\n" + more, 417},
		"bad head":      {strings.Replace(validRequest, "std", "odd", 1) + more, 422},
		"bad with body": {strings.Replace(validHead, "std", "odd", 1) + "Content-Length: 102400\r\n\r\n" + more, 422},
		"asks to close": {strings.Replace(validRequest, "Tier:", "Connection: close\r\nTier:", 1) + more, 200},
		"floods":        {validRequest + more, 200},
	} {
		s, b, addr := newFront(t, 64)
		c := dial(t, addr)
		_, _ = io.WriteString(c, x.raw)
		if x.want == 200 {
			j := <-b.jobs
			cc := s.conns.onlyConn()
			require.Eventually(t, func() bool { return cc.overflowed.Load() }, 20*time.Second, time.Millisecond, name)
			j.Done(core.Response{Payload: []byte("answer")})
		}
		require.Eventually(t, func() bool { open, _ := s.conns.counts(); return open == 0 }, 20*time.Second, time.Millisecond, name)
		all, err := io.ReadAll(c)
		require.NoError(t, err, name)
		require.Contains(t, string(all), fmt.Sprintf("HTTP/1.1 %d ", x.want), name)
		require.Equal(t, 1, strings.Count(string(all), "HTTP/1.1"), name)
	}
}

// TestEndMeetsRequest ends a resting connection, in each way there is, whose client has not read its last answer and then asks again:
// the answer is there, the end is clean, and the request that crossed it goes nowhere.
func TestRequestCrossingClose(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"idle":    func(s *Server) { s.conns.closeIdle(0) },
		"leaving": func(s *Server) { s.conns.closeForShutdown(false) },
		"handed":  func(s *Server) { s.conns.closeServed() },
		"room": func(s *Server) {
			s.SetConnLimits(1, 1)
			l, _ := net.Listen("tcp", "127.0.0.1:0")
			go func() { _, _ = net.Dial("tcp", l.Addr().String()) }()
			c, _ := l.Accept()
			t.Cleanup(func() { c.Close(); l.Close() })
			s.conns.add(c)
		},
	} {
		s, b, addr := newFront(t, 64)
		c := dial(t, addr)
		_, _ = io.WriteString(c, validRequest)
		(<-b.jobs).Done(core.Response{Payload: []byte("answer")})
		cc := s.conns.onlyConn()
		require.Eventually(t, func() bool { return cc.phase.Load() == phaseIdle }, 20*time.Second, time.Millisecond)
		end(s)
		require.Equal(t, phaseEvicted, cc.phase.Load(), name)
		_, err := io.WriteString(c, validRequest)
		require.NoError(t, err, name)
		requireNoReset(t, c)
		require.Eventually(t, func() bool { cc.mu.Lock(); defer cc.mu.Unlock(); return cc.closed }, 20*time.Second, time.Millisecond)
		all, err := io.ReadAll(c)
		require.NoError(t, err, name)
		require.True(t, strings.HasSuffix(string(all), "\r\n\r\nanswer"), "%s: %q", name, all)
		require.Empty(t, b.jobs, name)
	}
}

// paused is a front whose connections stop at a state until they are let go on.
func newPausedFront(t *testing.T, at http.ConnState) (s *Server, b *fakeCore, addr string, reached chan bool, release func()) {
	reached, free := make(chan bool), make(chan bool)
	s, b, addr = newFront(t, 64, func(s *Server) {
		a := testAdmission
		a.Shutdown = core.ShutdownSchedule{RespondWithin: 5 * time.Second}
		s.SetAdmission(a)
		s.http.ConnState = func(c net.Conn, st http.ConnState) {
			s.conns.connState(c, st)
			if st == at {
				reached <- true
				<-free
			}
		}
	})
	return s, b, addr, reached, func() { close(free) }
}

// TestReadAsItEnds stops the process right after it has read a request, or with one unread on a resting connection, and has it leave
// in that instant: the request is answered, on a connection that ends with it.
func TestRequestReadDuringShutdown(t *testing.T) {
	for name, at := range map[string]http.ConnState{"read": http.StateActive, "unread": http.StateIdle} {
		s, b, addr, reached, release := newPausedFront(t, at)
		c := dial(t, addr)
		in := bufio.NewReader(c)
		_, _ = io.WriteString(c, validRequest)
		if at == http.StateIdle {
			(<-b.jobs).Done(core.Response{Payload: []byte("x")})
			resp, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			<-reached
			_, _ = io.WriteString(c, validRequest)
			require.Eventually(t, func() bool { return !upstream.Quiet(s.conns.onlyConn().Conn) }, 20*time.Second, time.Millisecond)
		} else {
			<-reached
		}
		s.conns.closeForShutdown(true)
		stopped, drops := make(chan error, 1), make(chan bool)
		s.http.RegisterOnShutdown(func() { close(drops) })
		go func() { stopped <- s.Stop(context.Background()) }()
		select {
		case <-drops:
			t.Fatalf("%s: net/http drops from now on what it has read", name)
		case <-time.After(50 * time.Millisecond):
		}
		release()
		if at == http.StateIdle {
			go func() { <-reached }()
		}
		select {
		case j := <-b.jobs:
			j.Done(core.Response{Payload: []byte("owed")})
		case <-time.After(5 * time.Second):
			t.Fatalf("%s: it was dropped", name)
		}
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err, name)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err, name)
		require.Equal(t, "owed", string(body), name)
		require.True(t, resp.Close, name)
		c.Close()
		require.NoError(t, <-stopped, name)
	}
}

// behind is a listener of a process that is slow to accept.
type slowListener struct {
	*net.TCPListener
	mayAccept chan bool
}

func (b slowListener) Accept() (net.Conn, error) {
	<-b.mayAccept
	return b.TCPListener.Accept()
}

// TestTakesWhatWaits has the process leave while it has not come to accept a connection with a request on it: it is served.
func TestShutdownAcceptsBacklog(t *testing.T) {
	other, b, _ := newFront(t, 64)
	opt := other.opt
	opt.Admission.Shutdown = core.ShutdownSchedule{RespondWithin: 5 * time.Second}
	s := New(b, opt)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	late := slowListener{l.(*net.TCPListener), make(chan bool)}
	go func() { _ = s.Serve(late) }()
	c := dial(t, l.Addr().String())
	_, _ = io.WriteString(c, validRequest)
	require.Eventually(t, func() bool { return s.listener.Load() != nil }, 20*time.Second, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	require.Eventually(t, func() bool { return s.stoppedAt.Load() != nil }, 20*time.Second, time.Millisecond)
	time.AfterFunc(backlogTimeout/4, func() { close(late.mayAccept) })
	select {
	case j := <-b.jobs:
		j.Done(core.Response{Payload: []byte("x")})
	case <-time.After(5 * time.Second):
		t.Fatal("it was not taken")
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	c.Close()
	require.NoError(t, <-stopped)
}

// TestPartReadAsItEnds has the process leave while part of a request has come: its end may still come for a while; after that it is
// refused or dropped, never sent on.
func TestPartialRequestDuringShutdown(t *testing.T) {
	for name, cut := range map[string]int{"head": len(validHead) / 2, "body": len(validRequest) - 2} {
		for _, hurry := range []bool{false, true} {
			s, b, addr := newFront(t, 64)
			c := dial(t, addr)
			_, _ = io.WriteString(c, validRequest[:cut])
			var cc *clientConn
			require.Eventually(t, func() bool {
				cc = s.conns.onlyConn()
				return cc != nil && cc.phase.Load() == phaseReading
			}, 20*time.Second, time.Millisecond)
			s.conns.closeForShutdown(hurry)
			_, _ = io.WriteString(c, validRequest[cut:])
			if !hurry {
				(<-b.jobs).Done(core.Response{Payload: []byte("whole")})
			}
			all, err := io.ReadAll(c)
			require.NoError(t, err, name)
			switch {
			case !hurry:
				require.Contains(t, string(all), "whole", name)
			case name == "body":
				require.Contains(t, string(all), "HTTP/1.1 503 ")
			default:
				require.Empty(t, all)
			}
			require.Empty(t, b.jobs, name)
		}
	}
}

// TestEndsAreBounded has clients that never close what was ended: they wait for a while, at most as many as there is room for, and
// make room before all others do.
func TestLingeringConnsAreBounded(t *testing.T) {
	const most = 6
	s, b, addr := newFront(t, most)
	for range 4 * most {
		c := dial(t, addr)
		_, _ = io.WriteString(c, validRequest)
		select {
		case j := <-b.jobs:
			j.Done(core.Response{Status: core.Conflict}) // which ends the connection
		case <-time.After(20 * time.Second):
			t.Fatal("not taken")
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, 409, resp.StatusCode)
		open, shut := s.conns.counts()
		require.LessOrEqual(t, open+shut, most+1)
	}
	_, shut := s.conns.counts()
	require.NotZero(t, shut, "they were not waited for")
	waitNoConns(t, s)
}

// TestNothingHeldBack looks at the option by which the system would hold small writes back: they would go with a reset.
func TestNoDelayIsSet(t *testing.T) {
	s, b, addr := newFront(t, 64)
	c := dial(t, addr)
	_, _ = io.WriteString(c, validRequest)
	j := <-b.jobs
	require.NoError(t, s.conns.onlyConn().raw.Control(func(fd uintptr) {
		on, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		require.NoError(t, err)
		require.Equal(t, 1, on)
	}))
	j.Done(core.Response{})
}

// TestGarbageAndCuts sends requests that were cut, doubled, or spoilt anywhere, many at a time, with fixed seeds: each is answered or its
// connection ended in time, what reaches the core is a whole request, one line tells of each connection, nothing stays held, and the
// next client is served.
func TestDamagedRequests(t *testing.T) {
	var log logBuffer
	s, b, addr := newFront(t, 400, log.attach, func(s *Server) {
		s.opt.OpenUpload = func(context.Context, string, *upstream.Message, int64, time.Duration) (*upstream.Upload, error) {
			return nil, upstream.ErrNoUpload
		}
	})
	room := s.opt.BufferBudget.Left()
	spoilt := rapid.Custom(func(t *rapid.T) string {
		raw := []byte(rapid.SampledFrom([]string{validRequest, validRequest + validRequest, validHead + "\r\n", chunkedHead + "\r\n3\r\nabc\r\n0\r\n\r\n",
			strings.Replace(validRequest, "Content-Length: 4", "Content-Length: 70000", 1) + strings.Repeat("b", 70000)}).Draw(t, "whole"))
		for range rapid.IntRange(1, 3).Draw(t, "times") {
			from := rapid.IntRange(0, min(len(raw), 400)).Draw(t, "from")
			to := min(from+rapid.IntRange(0, 40).Draw(t, "length"), len(raw))
			switch rapid.IntRange(0, 3).Draw(t, "how") {
			case 0:
				return string(raw[:from])
			case 1:
				raw = slices.Concat(raw[:from], raw[to:])
			case 2:
				raw = slices.Concat(raw[:to], raw[from:])
			default:
				raw = slices.Concat(raw[:from], rapid.SliceOfN(rapid.SampledFrom([]byte("\x00\r\n\xff:; 9-zA\t,=")), 1, 20).Draw(t, "bytes"), raw[to:])
			}
		}
		return string(raw)
	})
	go func() {
		for j := range b.jobs {
			m := j.Payload.(*upstream.Message)
			assert.True(t, isHex16(j.Extent) && isHex16(j.Volume) && j.Plan == "std" && len(m.Body) <= upstream.MaxHeld, "%+v", j)
			j.Done(core.Response{Payload: []byte("x")})
		}
	}()
	const clients = 300
	var wait sync.WaitGroup
	for i := range clients {
		raw := spoilt.Example(i)
		wait.Go(func() {
			c, err := net.Dial("tcp", addr)
			if !assert.NoError(t, err) {
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(2 * (headerTimeout + drainTimeout)))
			_, _ = io.WriteString(c, raw)
			_, err = io.ReadAll(c)
			assert.NoError(t, err, "%.1000q", raw)
		})
	}
	wait.Wait()
	waitNoConns(t, s)
	log.requireEnded(t, clients)
	require.Equal(t, clients, strings.Count(log.String(), "reason="))
	require.Equal(t, room, s.opt.BufferBudget.Left())
	resp, _, _ := sendRequest(t, addr, validRequest)
	require.Equal(t, 200, resp.StatusCode)
}
