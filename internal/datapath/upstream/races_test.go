package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// held is a wire whose connections come up when the test says so, however long ago they were given up, and which keeps the last one.
type blockingDialer struct {
	Dialer
	dials chan pendingDial
	last  atomic.Pointer[httpSession]
}

// dialling is a connection that is to come up once up is closed; ctx is its attempt's.
type pendingDial struct {
	ctx     context.Context
	proceed chan bool
}

func (h *blockingDialer) Dial(ctx context.Context, addr string) (Session, error) {
	d := pendingDial{ctx, make(chan bool)}
	h.dials <- d
	<-d.proceed
	s, err := h.Dialer.Dial(context.Background(), addr)
	if err == nil {
		h.last.Store(s.(*httpSession))
	}
	return s, err
}

// next is the connection that is asked for next.
func (h *blockingDialer) nextDial(t *testing.T) pendingDial {
	select {
	case d := <-h.dials:
		return d
	case <-time.After(10 * time.Second):
		t.Fatal("no connection is asked for")
		return pendingDial{}
	}
}

// newHeld is a bench whose connections come up one by one.
func newBlockingHarness(addr string, opt Options) (*harness, *blockingDialer) {
	b := newHarnessWith(addr, opt)
	h := &blockingDialer{Dialer: b.opt.Dialer, dials: make(chan pendingDial, 8)}
	b.opt.Dialer = h
	b.Apply(nil, true)
	b.Apply([]Target{{ID: "n", Addr: addr}}, true)
	return b, h
}

// moment is a permit that has something happen just before the first byte, between the pool's look at a connection and the write.
type permitFunc func()

func (m permitFunc) Valid() bool { m(); return true }

// spoken waits until there is something to read on the wire's last connection.
func (h *blockingDialer) waitReadable(t *testing.T) {
	require.Eventually(t, func() bool { _, says := probeIdle(h.last.Load().Conn); return says }, 10*time.Second, 100*time.Microsecond)
}

// narrow listens where little is taken that nobody reads.
func listenSmallBuffer(t *testing.T) net.Listener {
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10) })
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// TestSecondAnswerInTheGap has a target answer twice for the first time, the second time in the two gaps in which the next request is on
// its way: after the pool has looked at the connection, and after the write and before the target has all of it. Neither is taken for an
// answer to that. In the first gap it is not even written, and goes out on a connection of its own.
func TestDuplicateAnswerDuringSend(t *testing.T) {
	twice, sent := make(chan bool), make(chan bool, 4)
	s := newFakeTarget(t, func(n int32, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			go func() { <-twice; respond(c, "200 OK", "1") }()
		}
		return respond(c, "200 OK", fmt.Sprint(n))
	})
	opt := Options{MaxConnsPerTarget: 4, MaxConnsTotal: 4, ReuseDelay: time.Hour, OnSent: func() { sent <- true }}
	b, h := newBlockingHarness(s.Addr().String(), opt)
	b.send(10 * time.Second)
	close(h.nextDial(t).proceed)
	require.Equal(t, "1", string(b.result(t).Payload.([]byte)))
	var once sync.Once
	next := core.Attempt{Request: "next", Node: "n", Until: time.Now().Add(10 * time.Second), Payload: &Request{Method: "GET", URI: "/r/1", ID: "id"},
		Permit: permitFunc(func() { once.Do(func() { close(twice); h.waitReadable(t) }) })}
	b.Send(next)
	close(h.nextDial(t).proceed)
	r := b.result(t)
	require.Equal(t, policy.Served, r.Code)
	require.Equal(t, "2", string(r.Payload.([]byte)))
	require.EqualValues(t, 2, s.accepted.Load())

	// A target that reads no more than the first request: most of the next one stays with whoever wrote it.
	l := listenSmallBuffer(t)
	twice = make(chan bool)
	go func() {
		c, _ := l.Accept()
		_, _ = http.ReadRequest(bufio.NewReaderSize(c, 16))
		respond(c, "200 OK", "1")
		<-twice
		respond(c, "200 OK", "1")
	}()
	for len(sent) > 0 {
		<-sent
	}
	b, h = newBlockingHarness(l.Addr().String(), opt)
	b.send(10 * time.Second)
	close(h.nextDial(t).proceed)
	require.Equal(t, "1", string(b.result(t).Payload.([]byte)))
	<-sent
	_ = h.last.Load().Conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
	next.Permit, next.Payload = nil, &Request{Method: "PUT", URI: "/w/1", ID: "id", Body: make([]byte, MaxBufferedBody)}
	b.Send(next)
	<-sent
	close(twice)
	r = b.result(t)
	require.Equal(t, policy.ConnectionReset, r.Code)
	require.Nil(t, r.Payload)
}

// TestSecondAnswerComesFirst has a target that has the next request already answer the one before once more, ahead of its own answer: the
// first time that it is heard to. Where all answers are alike none is a second one, and they are waited for behind one of them alone.
func TestDuplicateAnswerBeforeOwn(t *testing.T) {
	b := newHarnessWith(newFakeTarget(t, func(n int32, _ *http.Request, c net.Conn) bool {
		return (n != 2 || respond(c, "200 OK", "1")) && respond(c, "200 OK", fmt.Sprint(n))
	}).Addr().String(), Options{MaxConnsPerTarget: 4, MaxConnsTotal: 4, ReuseDelay: time.Hour})
	for _, want := range []policy.OutcomeCode{policy.Served, policy.ConnectionReset, policy.Served} {
		b.send(10 * time.Second)
		require.Equal(t, want, b.result(t).Code)
	}
	s := newFakeTarget(t, func(n int32, _ *http.Request, c net.Conn) bool {
		return n < 20 && respond(c, "200 OK", "alike") || n >= 20 && respond(c, "200 OK", "1") && (n < 21 || respond(c, "200 OK", "2"))
	})
	b = newHarnessWith(s.Addr().String(), Options{MaxConnsPerTarget: 4, MaxConnsTotal: 4, ReuseDelay: time.Hour})
	var waited time.Duration
	for range 19 {
		begun := time.Now()
		b.send(10 * time.Second)
		require.Equal(t, policy.Served, b.result(t).Code)
		waited += time.Since(begun)
	}
	require.Less(t, waited, 5*stallTimeout)
	require.EqualValues(t, 1, s.accepted.Load())
	for _, want := range []policy.OutcomeCode{policy.Served, policy.ConnectionReset} { // another answer twice, all the same
		b.send(10 * time.Second)
		require.Equal(t, want, b.result(t).Code)
	}
}

// TestLateDial has a connection come up after its attempt is over, called off, of no use any more or at a target that drains by now: it is
// closed, not a byte was written on it, and nothing is counted any more. One that comes up in time goes on.
func TestLateDial(t *testing.T) {
	heard := make(chan string, 8)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				all := make([]byte, 1<<10)
				n, _ := c.Read(all)
				respond(c, "200 OK", "")
				heard <- string(all[:n])
			}()
		}
	}()
	addr := l.Addr().String()
	for _, x := range []struct {
		name      string
		meanwhile func(b *harness, a *core.Attempt, given <-chan struct{})
		want      policy.OutcomeCode
	}{
		{"in time", func(*harness, *core.Attempt, <-chan struct{}) {}, policy.Served},
		{"its time is over", func(_ *harness, _ *core.Attempt, given <-chan struct{}) { <-given }, policy.NotSent},
		{"called off", func(b *harness, a *core.Attempt, given <-chan struct{}) { b.Cancel("n", a.Request); <-given }, policy.NotConnected},
		{"called off at a target that is gone", func(b *harness, a *core.Attempt, given <-chan struct{}) {
			b.Apply(nil, true)
			b.Apply([]Target{{ID: "n", Addr: addr}}, false) // and is back under its name
			b.Cancel("n", a.Request)
			<-given
		}, policy.NotConnected},
		{"its client has left", func(_ *harness, a *core.Attempt, _ <-chan struct{}) { a.Left.Store(true) }, policy.NotSent},
		{"the target drains", func(b *harness, _ *core.Attempt, _ <-chan struct{}) {
			b.Apply([]Target{{ID: "n", Addr: addr, State: policy.Draining}}, false)
		}, policy.NotSent},
		{"the target is gone", func(b *harness, _ *core.Attempt, _ <-chan struct{}) { b.Apply(nil, true) }, policy.NotSent},
		{"past its window", func(_ *harness, a *core.Attempt, _ <-chan struct{}) { time.Sleep(time.Until(a.Before)) }, policy.NotSent},
	} {
		t.Run(x.name, func(t *testing.T) {
			var sent atomic.Int32
			stock := &fakeQuota{}
			stock.limit.Store(4)
			b, h := newBlockingHarness(addr, Options{MaxConnsPerTarget: 4, MaxConnsTotal: 4, Quota: stock, OnSent: func() { sent.Add(1) }})
			a := core.Attempt{Request: "x", Node: "n", Until: time.Now().Add(10 * time.Second), Left: new(atomic.Bool), Before: time.Now().Add(10 * time.Second),
				Payload: &Request{Method: "GET", URI: "/r/1", ID: "id"}}
			switch x.name {
			case "its time is over":
				a.Until = time.Now().Add(200 * time.Millisecond)
			case "past its window":
				a.Before = time.Now().Add(50 * time.Millisecond)
			}
			b.Send(a)
			d := h.nextDial(t)
			x.meanwhile(b, &a, d.ctx.Done())
			close(d.proceed)
			r := b.result(t)
			require.Equal(t, x.want, r.Code)
			if x.want == policy.Served {
				require.NotEmpty(t, <-heard)
				require.EqualValues(t, 1, sent.Load())
				return
			}
			require.Empty(t, <-heard, "a byte was written")
			require.Zero(t, sent.Load())
			require.Zero(t, r.Began)
			require.Eventually(t, func() bool { return b.limits.open.Load() == 0 && stock.open.Load() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// TestCutAnywhere resets connections, and ends them, at every place of an answer in each framing: none passes for whole but the one that
// is whole by its own word, and the same once its first bytes have been passed on.
func TestAnswerCutAtEveryByte(t *testing.T) {
	const none = "HTTP/1.1 200 OK\r\nServer-Load: concurrent=1\r\n\r\nwhole"
	type answer struct {
		says  string
		reset bool
	}
	next, passed, closed := make(chan answer, 1), make(chan bool), make(chan bool, 8)
	s := newFakeTarget(t, func(_ int32, req *http.Request, c net.Conn) bool {
		x := <-next
		_, _ = io.WriteString(c, x.says)
		if req.Method == http.MethodGet {
			<-passed
		}
		if x.reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		closed <- true
		return false
	})
	b := newHarness(s.Addr().String())
	for _, whole := range []string{none, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"} {
		for cut := range len(whole) + 1 {
			for _, reset := range []bool{true, false} {
				if !reset && whole == none && cut >= strings.Index(none, "whole") {
					continue // that is its end
				}
				next <- answer{whole[:cut], reset}
				b.send(10 * time.Second)
				r := b.result(t)
				<-closed // the next must not go out on a connection whose end is still to come
				if cut == len(whole) && whole != none {
					require.Equal(t, policy.Served, r.Code)
					require.Equal(t, "whole", string(r.Payload.([]byte)))
					continue
				}
				require.Equal(t, policy.ConnectionReset, r.Code, "%q, reset %v", whole[:cut], reset)
			}
		}
	}
	for _, head := range []string{"", "Content-Length: 99999\r\n", "Transfer-Encoding: chunked\r\n"} {
		next <- answer{"HTTP/1.1 200 OK\r\n" + head + "\r\n" + "fff0\r\n" + strings.Repeat("x", bufferSize), true}
		b.Send(core.Attempt{Request: head, Node: "n", Until: time.Now().Add(10 * time.Second), Payload: &Request{Method: "GET", URI: "/r/1", ID: "id"}})
		st := b.result(t).Payload.(*Stream)
		_, _ = io.ReadFull(st, make([]byte, 100))
		passed <- true
		_, err := io.Copy(io.Discard, st)
		require.Error(t, err)
	}
	require.Eventually(t, func() bool { return b.limits.open.Load() == 0 }, 10*time.Second, time.Millisecond)
}

// TestUploadEnds has bodies that went ahead end at the wrong moment: their client leaves while the connection is made, their target is gone and
// another has its name, they are dropped just before the attempt, or are answered before their last piece. The attempt is theirs or nobody's, it
// has one result, and nothing stays counted.
func TestUploadEnds(t *testing.T) {
	early := make(chan bool)
	heard := make(chan string, 8)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				go func() { <-early; respond(c, "200 OK", "early") }()
				all, _ := io.ReadAll(c)
				heard <- string(all)
			}()
		}
	}()
	b, h := newBlockingHarness(l.Addr().String(), Options{MaxConnsPerTarget: 4, MaxConnsTotal: 4})
	ctx, leave := context.WithCancel(context.Background())
	begin := func() (*Upload, error) {
		return b.StartUpload(ctx, "n", &Request{Method: "PUT", URI: "/w/1", ID: "id"}, 4, time.Second)
	}
	attempt := func(u *Upload) policy.OutcomeCode {
		b.Send(core.Attempt{Request: "x", Node: "n", Until: time.Now().Add(10 * time.Second), Payload: &Request{Method: "PUT", Upload: u}})
		return b.result(t).Code
	}
	settled := func() {
		t.Helper()
		require.Eventually(t, func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.limits.open.Load() == 0 && len(b.removed) == 0
		}, 10*time.Second, time.Millisecond)
	}
	whole := func() *Upload {
		go func() { close((<-h.dials).proceed) }()
		u, err := begin()
		require.NoError(t, err)
		u.HoldLastPiece([]byte("body"))
		return u
	}
	another := func() {
		b.Apply(nil, true)
		b.Apply([]Target{{ID: "n", Addr: l.Addr().String()}}, false)
	}

	go func() {
		d := <-h.dials
		leave()
		close(d.proceed)
	}()
	_, err = begin()
	require.ErrorIs(t, err, ErrUploadFailed)
	require.Empty(t, <-heard, "a byte was written for a client that had left")
	settled()

	ctx = context.Background()
	u := whole()
	another()
	u.Close()
	settled()
	require.Equal(t, policy.NotSent, attempt(u))
	require.NotContains(t, <-heard, "body")

	u = whole()
	u.Close()
	require.Equal(t, policy.NotConnected, attempt(u))
	require.NotContains(t, <-heard, "body")

	u = whole()
	close(early)
	h.waitReadable(t)
	require.Equal(t, policy.NotConnected, attempt(u))
	require.NotContains(t, <-heard, "body")
	settled()
}

// TestUploadGoesToItsTarget has a body go ahead to a target that leaves the list and whose name another takes: its attempt ends on its own connection.
func TestUploadGoesToItsTarget(t *testing.T) {
	s := newFakeTarget(t, func(_ int32, _ *http.Request, c net.Conn) bool { return respond(c, "200 OK", "its own") })
	b := newHarness(s.Addr().String())
	u, err := b.StartUpload(context.Background(), "n", &Request{Method: "PUT", URI: "/w/1", ID: "id"}, 4, time.Second)
	require.NoError(t, err)
	u.HoldLastPiece([]byte("body"))
	b.Apply(nil, true)
	b.Apply([]Target{{ID: "n", Addr: "127.0.0.1:1"}}, false)
	b.Send(core.Attempt{Request: "x", Node: "n", Until: time.Now().Add(10 * time.Second), Payload: &Request{Method: "PUT", Upload: u}})
	require.Equal(t, policy.Served, b.result(t).Code)
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.limits.open.Load() == 0 && len(b.removed) == 0
	}, 10*time.Second, time.Millisecond)
}

// TestCalledOffOnItsWay calls attempts off, or ends their time, that are half written, or written whole to a target that does not read: by the
// time the outcome is told the connection is closed, and what was on its way then never arrives.
func TestCancelWhileSending(t *testing.T) {
	for _, x := range []struct {
		name   string
		buffer int
		want   policy.OutcomeCode
	}{{"half written", 4 << 10, policy.NotConnected}, {"written whole", 1 << 20, policy.Cancelled}} {
		t.Run(x.name, func(t *testing.T) {
			l := listenSmallBuffer(t)
			asked, over, arrived := make(chan bool), make(chan bool), make(chan int, 1)
			go func() {
				c, _ := l.Accept()
				defer c.Close()
				_, _ = c.Read(make([]byte, 1))
				asked <- true
				<-over
				n, _ := io.Copy(io.Discard, c)
				arrived <- int(n) + 1
			}()
			sent := make(chan bool, 1)
			b, h := newBlockingHarness(l.Addr().String(), Options{MaxConnsPerTarget: 4, MaxConnsTotal: 4, OnSent: func() { sent <- true }})
			closed := make(chan error, 1)
			b.Apply(nil, true)
			b.report = func(r core.Result) {
				closed <- h.last.Load().SetDeadline(time.Time{})
				b.results <- r
			}
			b.Apply([]Target{{ID: "n", Addr: l.Addr().String()}}, false)
			b.Send(core.Attempt{Request: "x", Node: "n", Until: time.Now().Add(time.Minute),
				Permit:  permitFunc(func() { _ = h.last.Load().Conn.(*net.TCPConn).SetWriteBuffer(x.buffer) }),
				Payload: &Request{Method: "PUT", URI: "/w/1", ID: "id", Body: make([]byte, 2*MaxBufferedBody)}})
			close(h.nextDial(t).proceed)
			<-asked
			if x.want == policy.Cancelled {
				<-sent
			}
			b.Cancel("n", "x")
			require.Equal(t, x.want, b.result(t).Code)
			require.ErrorIs(t, <-closed, net.ErrClosed)
			close(over)
			require.Less(t, <-arrived, 2*MaxBufferedBody)
		})
	}
}

// TestOldConnectionIsNotTaken has a connection be too old that the last look at idle ones left: the target may close it any moment.
func TestExpiredConnectionIsNotReused(t *testing.T) {
	s := newFakeTarget(t, func(int32, *http.Request, net.Conn) bool { return true })
	b := newHarness(s.Addr().String())
	tg := newTarget("n", b.opt, &b.limits, b.report)
	tg.setState(s.Addr().String(), policy.Up)
	c, err := b.opt.Dialer.Dial(context.Background(), s.Addr().String())
	require.NoError(t, err)
	require.True(t, tg.addConns(1))
	tg.idle = []*conn{{Session: c, addr: s.Addr().String(), idleSince: time.Now().Add(-b.opt.IdleTimeout)}}
	got, may := tg.acquireConn()
	require.True(t, may)
	require.Nil(t, got)
	require.ErrorIs(t, c.(*httpSession).SetDeadline(time.Time{}), net.ErrClosed)
	require.EqualValues(t, 1, b.limits.open.Load())
}

// TestOddReportsAreLoggedOnce has a target report what cannot be in each answer: it counts as not told, and each connection has one line.
func TestInvalidReportsAreLoggedOnce(t *testing.T) {
	for _, odd := range []string{"Server-Load: concurrent=NaN", "Server-Load: depth=-1,tps=3", "Volume-Load: 99999999999999999999", "Volume-Load: -1",
		"Volume-Load: 1e3", "Server-Load: inflight=" + strings.Repeat("9", 400) + "\r\nOther-Hosts: NaN"} {
		s := newFakeTarget(t, func(_ int32, _ *http.Request, c net.Conn) bool { return respond(c, "200 OK\r\n"+odd, "") })
		var lines bytes.Buffer
		b := newHarness(s.Addr().String())
		b.opt.Log = slog.New(slog.NewTextHandler(&lines, nil))
		b.Apply(nil, true)
		b.Apply([]Target{{ID: "n", Addr: s.Addr().String()}}, false)
		for range 3 {
			b.send(10 * time.Second)
			r := b.result(t)
			require.Equal(t, policy.Served, r.Code)
			require.Nil(t, r.Load)
			require.Zero(t, r.Used)
		}
		require.EqualValues(t, 1, s.accepted.Load())
		require.Equal(t, 1, strings.Count(lines.String(), "BAD_REPORT"), "%s: %s", odd, lines.String())
	}
}

// TestEachSendHasOneResult sends, with bodies ahead and without, and calls off while targets come, drain, go, come back under their names and
// break connections: each send has its one result, and in the end nothing is counted.
func TestEachSendHasOneResult(t *testing.T) { //nolint:gocognit // one scenario, told in order
	s := newFakeTarget(t, func(n int32, _ *http.Request, c net.Conn) bool {
		switch n % 7 {
		case 0:
			return false
		case 1:
			first := respond(c, "200 OK", "x")
			return first && respond(c, "200 OK", "x")
		case 2:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*bufferSize))
			return false
		}
		return respond(c, "200 OK", "x")
	})
	b := newHarnessWith(s.Addr().String(), Options{MaxConnsPerTarget: 3, MaxConnsTotal: 5, ReuseDelay: 5 * time.Millisecond})
	b.results = make(chan core.Result, 10000)
	names := []string{"n", "m", "o"}
	var sends sync.WaitGroup
	const each = 300
	for g := range 4 {
		sends.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(g), 1))
			for i := range each {
				a := core.Attempt{Request: fmt.Sprint(g, "/", i), Node: names[rng.IntN(3)], Until: time.Now().Add(time.Duration(rng.IntN(100)) * time.Millisecond),
					Payload: &Request{Method: "PUT", URI: "/w/1", ID: "id", Body: []byte("x")}}
				if rng.IntN(4) == 0 {
					if u, err := b.StartUpload(context.Background(), a.Node, &Request{Method: "PUT", URI: "/w/1", ID: "id"}, 1, time.Second); err == nil {
						u.HoldLastPiece([]byte("x"))
						a.Payload = &Request{Method: "PUT", Upload: u}
						if rng.IntN(2) == 0 {
							sends.Go(u.Close)
						}
					}
				}
				b.Send(a)
				if rng.IntN(3) == 0 {
					b.Cancel(a.Node, a.Request)
				}
			}
		})
	}
	listed := make(chan bool)
	over := make(chan bool)
	go func() {
		defer close(listed)
		rng := rand.New(rand.NewPCG(9, 9))
		for {
			select {
			case <-over:
				return
			default:
				b.Apply([]Target{{ID: names[rng.IntN(3)], Addr: s.Addr().String(), State: policy.EndpointState(rng.IntN(3))}}, rng.IntN(5) == 0)
			}
		}
	}()
	ended := map[string]bool{}
	for range 4 * each {
		r := b.result(t)
		require.False(t, ended[r.Request], "%s has two results", r.Request)
		ended[r.Request] = true
		core.Answer{Payload: r.Payload}.Discard()
	}
	sends.Wait()
	close(over)
	<-listed
	b.Shutdown()
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.limits.open.Load() == 0 && len(b.removed) == 0
	}, 20*time.Second, time.Millisecond)
	require.Empty(t, b.results)
}

// TestConnectionsThatComeUpLate has a target whose machine takes no connection until it has room: an attempt whose time is over and one that is
// called off end at once, and nothing of them is there when the machine takes connections again. One that waits gets its own a second later.
func TestFullAcceptQueue(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	raw, err := l.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	for full := false; !full; { // nobody takes what has come up
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if full = err != nil; !full {
			defer c.Close()
		}
	}
	var asked atomic.Int32
	b := newHarness(l.Addr().String())
	send := func(name string, wait time.Duration) {
		b.Send(core.Attempt{Request: name, Node: "n", Until: time.Now().Add(wait), Payload: &Request{Method: "GET", URI: "/r/1", ID: name}})
	}
	send("over", 100*time.Millisecond)
	send("called off", time.Minute)
	send("waits", time.Minute)
	b.Cancel("n", "called off")
	for range 2 {
		r := b.result(t)
		require.NotEqual(t, "waits", r.Request)
		require.Equal(t, policy.NotConnected, r.Code)
	}
	require.Eventually(t, func() bool { return b.limits.open.Load() == 1 }, 10*time.Second, time.Millisecond)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					asked.Add(1)
					respond(c, "200 OK", req.Header.Get("Request-Id"))
				}
			}()
		}
	}()
	r := b.result(t)
	require.Equal(t, policy.Served, r.Code)
	require.Equal(t, "waits", string(r.Payload.([]byte)))
	require.EqualValues(t, 1, asked.Load())
}
