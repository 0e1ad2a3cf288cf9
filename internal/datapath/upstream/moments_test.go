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
type held struct {
	Wire
	dials chan dialling
	last  atomic.Pointer[httpSession]
}

// dialling is a connection that is to come up once up is closed; ctx is its attempt's.
type dialling struct {
	ctx context.Context
	up  chan bool
}

func (h *held) Dial(ctx context.Context, addr string) (Session, error) {
	d := dialling{ctx, make(chan bool)}
	h.dials <- d
	<-d.up
	s, err := h.Wire.Dial(context.Background(), addr)
	if err == nil {
		h.last.Store(s.(*httpSession))
	}
	return s, err
}

// next is the connection that is asked for next.
func (h *held) next(t *testing.T) dialling {
	select {
	case d := <-h.dials:
		return d
	case <-time.After(10 * time.Second):
		t.Fatal("no connection is asked for")
		return dialling{}
	}
}

// newHeld is a bench whose connections come up one by one.
func newHeld(addr string, opt Options) (*bench, *held) {
	b := newBenchThat(addr, opt)
	h := &held{Wire: b.opt.Wire, dials: make(chan dialling, 8)}
	b.opt.Wire = h
	b.Apply(nil, true)
	b.Apply([]Target{{ID: "n", Addr: addr}}, true)
	return b, h
}

// moment is a permit that has something happen just before the first byte, between the pool's look at a connection and the write.
type moment func()

func (m moment) Valid() bool { m(); return true }

// spoken waits until there is something to read on the wire's last connection.
func (h *held) spoken(t *testing.T) {
	require.Eventually(t, func() bool { _, says := listen(h.last.Load().Conn); return says }, 10*time.Second, 100*time.Microsecond)
}

// narrow listens where little is taken that nobody reads.
func narrow(t *testing.T) net.Listener {
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
func TestSecondAnswerInTheGap(t *testing.T) {
	twice, sent := make(chan bool), make(chan bool, 4)
	s := newStandIn(t, func(n int32, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			go func() { <-twice; say(c, "200 OK", "1") }()
		}
		return say(c, "200 OK", fmt.Sprint(n))
	})
	opt := Options{MostConn: 4, MostAll: 4, Rest: time.Hour, Sent: func() { sent <- true }}
	b, h := newHeld(s.Addr().String(), opt)
	b.send(10 * time.Second)
	close(h.next(t).up)
	require.Equal(t, "1", string(b.result(t).Payload.([]byte)))
	var once sync.Once
	next := core.Attempt{RequestID: "next", Target: "n", Deadline: time.Now().Add(10 * time.Second), Payload: &Message{Method: "GET", URI: "/r/1", ID: "id"},
		Permit: moment(func() { once.Do(func() { close(twice); h.spoken(t) }) })}
	b.Send(next)
	close(h.next(t).up)
	r := b.result(t)
	require.Equal(t, policy.Served, r.Code)
	require.Equal(t, "2", string(r.Payload.([]byte)))
	require.EqualValues(t, 2, s.accepted.Load())

	// A target that reads no more than the first request: most of the next one stays with whoever wrote it.
	l := narrow(t)
	twice = make(chan bool)
	go func() {
		c, _ := l.Accept()
		_, _ = http.ReadRequest(bufio.NewReaderSize(c, 16))
		say(c, "200 OK", "1")
		<-twice
		say(c, "200 OK", "1")
	}()
	for len(sent) > 0 {
		<-sent
	}
	b, h = newHeld(l.Addr().String(), opt)
	b.send(10 * time.Second)
	close(h.next(t).up)
	require.Equal(t, "1", string(b.result(t).Payload.([]byte)))
	<-sent
	_ = h.last.Load().Conn.(*net.TCPConn).SetWriteBuffer(1 << 20)
	next.Permit, next.Payload = nil, &Message{Method: "PUT", URI: "/w/1", ID: "id", Body: make([]byte, MaxHeld)}
	b.Send(next)
	<-sent
	close(twice)
	r = b.result(t)
	require.Equal(t, policy.ConnectionReset, r.Code)
	require.Nil(t, r.Payload)
}

// TestSecondAnswerComesFirst has a target that has the next request already answer the one before once more, ahead of its own answer: the
// first time that it is heard to. Where all answers are alike none is a second one, and they are waited for behind one of them alone.
func TestSecondAnswerComesFirst(t *testing.T) {
	b := newBenchThat(newStandIn(t, func(n int32, _ *http.Request, c net.Conn) bool {
		return (n != 2 || say(c, "200 OK", "1")) && say(c, "200 OK", fmt.Sprint(n))
	}).Addr().String(), Options{MostConn: 4, MostAll: 4, Rest: time.Hour})
	for _, want := range []policy.OutcomeCode{policy.Served, policy.ConnectionReset, policy.Served} {
		b.send(10 * time.Second)
		require.Equal(t, want, b.result(t).Code)
	}
	s := newStandIn(t, func(n int32, _ *http.Request, c net.Conn) bool {
		return n < 20 && say(c, "200 OK", "alike") || n >= 20 && say(c, "200 OK", "1") && (n < 21 || say(c, "200 OK", "2"))
	})
	b = newBenchThat(s.Addr().String(), Options{MostConn: 4, MostAll: 4, Rest: time.Hour})
	var waited time.Duration
	for range 19 {
		begun := time.Now()
		b.send(10 * time.Second)
		require.Equal(t, policy.Served, b.result(t).Code)
		waited += time.Since(begun)
	}
	require.Less(t, waited, 5*stallAfter)
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
				say(c, "200 OK", "")
				heard <- string(all[:n])
			}()
		}
	}()
	addr := l.Addr().String()
	for _, x := range []struct {
		name      string
		meanwhile func(b *bench, a *core.Attempt, given <-chan struct{})
		want      policy.OutcomeCode
	}{
		{"in time", func(*bench, *core.Attempt, <-chan struct{}) {}, policy.Served},
		{"its time is over", func(_ *bench, _ *core.Attempt, given <-chan struct{}) { <-given }, policy.NotSent},
		{"called off", func(b *bench, a *core.Attempt, given <-chan struct{}) { b.Cancel("n", a.RequestID); <-given }, policy.NotConnected},
		{"called off at a target that is gone", func(b *bench, a *core.Attempt, given <-chan struct{}) {
			b.Apply(nil, true)
			b.Apply([]Target{{ID: "n", Addr: addr}}, false) // and is back under its name
			b.Cancel("n", a.RequestID)
			<-given
		}, policy.NotConnected},
		{"its client has left", func(_ *bench, a *core.Attempt, _ <-chan struct{}) { a.ClientGone.Store(true) }, policy.NotSent},
		{"the target drains", func(b *bench, _ *core.Attempt, _ <-chan struct{}) {
			b.Apply([]Target{{ID: "n", Addr: addr, State: policy.Draining}}, false)
		}, policy.NotSent},
		{"the target is gone", func(b *bench, _ *core.Attempt, _ <-chan struct{}) { b.Apply(nil, true) }, policy.NotSent},
		{"past its window", func(_ *bench, a *core.Attempt, _ <-chan struct{}) { time.Sleep(time.Until(a.SendBefore)) }, policy.NotSent},
	} {
		t.Run(x.name, func(t *testing.T) {
			var sent atomic.Int32
			stock := &few{}
			stock.most.Store(4)
			b, h := newHeld(addr, Options{MostConn: 4, MostAll: 4, Stock: stock, Sent: func() { sent.Add(1) }})
			a := core.Attempt{RequestID: "x", Target: "n", Deadline: time.Now().Add(10 * time.Second), ClientGone: new(atomic.Bool), SendBefore: time.Now().Add(10 * time.Second),
				Payload: &Message{Method: "GET", URI: "/r/1", ID: "id"}}
			switch x.name {
			case "its time is over":
				a.Deadline = time.Now().Add(200 * time.Millisecond)
			case "past its window":
				a.SendBefore = time.Now().Add(50 * time.Millisecond)
			}
			b.Send(a)
			d := h.next(t)
			x.meanwhile(b, &a, d.ctx.Done())
			close(d.up)
			r := b.result(t)
			require.Equal(t, x.want, r.Code)
			if x.want == policy.Served {
				require.NotEmpty(t, <-heard)
				require.EqualValues(t, 1, sent.Load())
				return
			}
			require.Empty(t, <-heard, "a byte was written")
			require.Zero(t, sent.Load())
			require.Zero(t, r.SendStarted)
			require.Eventually(t, func() bool { return b.pool.conns.Load() == 0 && stock.open.Load() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// TestCutAnywhere resets connections, and ends them, at every place of an answer in each framing: none passes for whole but the one that
// is whole by its own word, and the same once its first bytes have been passed on.
func TestCutAnywhere(t *testing.T) {
	const none = "HTTP/1.1 200 OK\r\nServer-Load: concurrent=1\r\n\r\nwhole"
	type answer struct {
		says  string
		reset bool
	}
	next, passed, closed := make(chan answer, 1), make(chan bool), make(chan bool, 8)
	s := newStandIn(t, func(_ int32, req *http.Request, c net.Conn) bool {
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
	b := newBench(s.Addr().String())
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
		next <- answer{"HTTP/1.1 200 OK\r\n" + head + "\r\n" + "fff0\r\n" + strings.Repeat("x", pieceSize), true}
		b.Send(core.Attempt{RequestID: head, Target: "n", Deadline: time.Now().Add(10 * time.Second), Payload: &Message{Method: "GET", URI: "/r/1", ID: "id"}})
		st := b.result(t).Payload.(*Stream)
		_, _ = io.ReadFull(st, make([]byte, 100))
		passed <- true
		_, err := io.Copy(io.Discard, st)
		require.Error(t, err)
	}
	require.Eventually(t, func() bool { return b.pool.conns.Load() == 0 }, 10*time.Second, time.Millisecond)
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
				go func() { <-early; say(c, "200 OK", "early") }()
				all, _ := io.ReadAll(c)
				heard <- string(all)
			}()
		}
	}()
	b, h := newHeld(l.Addr().String(), Options{MostConn: 4, MostAll: 4})
	ctx, leave := context.WithCancel(context.Background())
	begin := func() (*Upload, error) {
		return b.Ahead(ctx, "n", &Message{Method: "PUT", URI: "/w/1", ID: "id"}, 4, time.Second)
	}
	attempt := func(u *Upload) policy.OutcomeCode {
		b.Send(core.Attempt{RequestID: "x", Target: "n", Deadline: time.Now().Add(10 * time.Second), Payload: &Message{Method: "PUT", Upload: u}})
		return b.result(t).Code
	}
	settled := func() {
		t.Helper()
		require.Eventually(t, func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.pool.conns.Load() == 0 && len(b.leaving) == 0
		}, 10*time.Second, time.Millisecond)
	}
	whole := func() *Upload {
		go func() { close((<-h.dials).up) }()
		u, err := begin()
		require.NoError(t, err)
		u.Last([]byte("body"))
		return u
	}
	another := func() {
		b.Apply(nil, true)
		b.Apply([]Target{{ID: "n", Addr: l.Addr().String()}}, false)
	}

	go func() {
		d := <-h.dials
		leave()
		close(d.up)
	}()
	_, err = begin()
	require.ErrorIs(t, err, ErrNoUpload)
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
	h.spoken(t)
	require.Equal(t, policy.NotConnected, attempt(u))
	require.NotContains(t, <-heard, "body")
	settled()
}

// TestUploadGoesToItsTarget has a body go ahead to a target that leaves the list and whose name another takes: its attempt ends on its own connection.
func TestUploadGoesToItsTarget(t *testing.T) {
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "its own") })
	b := newBench(s.Addr().String())
	u, err := b.Ahead(context.Background(), "n", &Message{Method: "PUT", URI: "/w/1", ID: "id"}, 4, time.Second)
	require.NoError(t, err)
	u.Last([]byte("body"))
	b.Apply(nil, true)
	b.Apply([]Target{{ID: "n", Addr: "127.0.0.1:1"}}, false)
	b.Send(core.Attempt{RequestID: "x", Target: "n", Deadline: time.Now().Add(10 * time.Second), Payload: &Message{Method: "PUT", Upload: u}})
	require.Equal(t, policy.Served, b.result(t).Code)
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.pool.conns.Load() == 0 && len(b.leaving) == 0
	}, 10*time.Second, time.Millisecond)
}

// TestCalledOffOnItsWay calls attempts off, or ends their time, that are half written, or written whole to a target that does not read: by the
// time the outcome is told the connection is closed, and what was on its way then never arrives.
func TestCalledOffOnItsWay(t *testing.T) {
	for _, x := range []struct {
		name   string
		buffer int
		want   policy.OutcomeCode
	}{{"half written", 4 << 10, policy.NotConnected}, {"written whole", 1 << 20, policy.Cancelled}} {
		t.Run(x.name, func(t *testing.T) {
			l := narrow(t)
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
			b, h := newHeld(l.Addr().String(), Options{MostConn: 4, MostAll: 4, Sent: func() { sent <- true }})
			closed := make(chan error, 1)
			b.Apply(nil, true)
			b.report = func(r core.Result) {
				closed <- h.last.Load().SetDeadline(time.Time{})
				b.results <- r
			}
			b.Apply([]Target{{ID: "n", Addr: l.Addr().String()}}, false)
			b.Send(core.Attempt{RequestID: "x", Target: "n", Deadline: time.Now().Add(time.Minute),
				Permit:  moment(func() { _ = h.last.Load().Conn.(*net.TCPConn).SetWriteBuffer(x.buffer) }),
				Payload: &Message{Method: "PUT", URI: "/w/1", ID: "id", Body: make([]byte, 2*MaxHeld)}})
			close(h.next(t).up)
			<-asked
			if x.want == policy.Cancelled {
				<-sent
			}
			b.Cancel("n", "x")
			require.Equal(t, x.want, b.result(t).Code)
			require.ErrorIs(t, <-closed, net.ErrClosed)
			close(over)
			require.Less(t, <-arrived, 2*MaxHeld)
		})
	}
}

// TestOldConnectionIsNotTaken has a connection be too old that the last look at idle ones left: the target may close it any moment.
func TestOldConnectionIsNotTaken(t *testing.T) {
	s := newStandIn(t, func(int32, *http.Request, net.Conn) bool { return true })
	b := newBench(s.Addr().String())
	tg := newTarget("n", b.opt, &b.pool, b.report)
	tg.set(s.Addr().String(), policy.Up)
	c, err := b.opt.Wire.Dial(context.Background(), s.Addr().String())
	require.NoError(t, err)
	require.True(t, tg.count(1))
	tg.idle = []*conn{{Session: c, addr: s.Addr().String(), idleAt: time.Now().Add(-b.opt.Idle)}}
	got, may := tg.take()
	require.True(t, may)
	require.Nil(t, got)
	require.ErrorIs(t, c.(*httpSession).SetDeadline(time.Time{}), net.ErrClosed)
	require.EqualValues(t, 1, b.pool.conns.Load())
}

// TestOddReportsAreLoggedOnce has a target report what cannot be in each answer: it counts as not told, and each connection has one line.
func TestOddReportsAreLoggedOnce(t *testing.T) {
	for _, odd := range []string{"Server-Load: concurrent=NaN", "Server-Load: depth=-1,tps=3", "Volume-Load: 99999999999999999999", "Volume-Load: -1",
		"Volume-Load: 1e3", "Server-Load: inflight=" + strings.Repeat("9", 400) + "\r\nOther-Hosts: NaN"} {
		s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK\r\n"+odd, "") })
		var lines bytes.Buffer
		b := newBench(s.Addr().String())
		b.opt.Log = slog.New(slog.NewTextHandler(&lines, nil))
		b.Apply(nil, true)
		b.Apply([]Target{{ID: "n", Addr: s.Addr().String()}}, false)
		for range 3 {
			b.send(10 * time.Second)
			r := b.result(t)
			require.Equal(t, policy.Served, r.Code)
			require.Nil(t, r.Load)
			require.Zero(t, r.VolumeUsage)
		}
		require.EqualValues(t, 1, s.accepted.Load())
		require.Equal(t, 1, strings.Count(lines.String(), "BAD_REPORT"), "%s: %s", odd, lines.String())
	}
}

// TestEachSendHasOneResult sends, with bodies ahead and without, and calls off while targets come, drain, go, come back under their names and
// break connections: each send has its one result, and in the end nothing is counted.
func TestEachSendHasOneResult(t *testing.T) { //nolint:gocognit // one scenario, told in order
	s := newStandIn(t, func(n int32, _ *http.Request, c net.Conn) bool {
		switch n % 7 {
		case 0:
			return false
		case 1:
			first := say(c, "200 OK", "x")
			return first && say(c, "200 OK", "x")
		case 2:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*pieceSize))
			return false
		}
		return say(c, "200 OK", "x")
	})
	b := newBenchThat(s.Addr().String(), Options{MostConn: 3, MostAll: 5, Rest: 5 * time.Millisecond})
	b.results = make(chan core.Result, 10000)
	names := []string{"n", "m", "o"}
	var sends sync.WaitGroup
	const each = 300
	for g := range 4 {
		sends.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(g), 1))
			for i := range each {
				a := core.Attempt{RequestID: fmt.Sprint(g, "/", i), Target: names[rng.IntN(3)], Deadline: time.Now().Add(time.Duration(rng.IntN(100)) * time.Millisecond),
					Payload: &Message{Method: "PUT", URI: "/w/1", ID: "id", Body: []byte("x")}}
				if rng.IntN(4) == 0 {
					if u, err := b.Ahead(context.Background(), a.Target, &Message{Method: "PUT", URI: "/w/1", ID: "id"}, 1, time.Second); err == nil {
						u.Last([]byte("x"))
						a.Payload = &Message{Method: "PUT", Upload: u}
						if rng.IntN(2) == 0 {
							sends.Go(u.Close)
						}
					}
				}
				b.Send(a)
				if rng.IntN(3) == 0 {
					b.Cancel(a.Target, a.RequestID)
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
		require.False(t, ended[r.RequestID], "%s has two results", r.RequestID)
		ended[r.RequestID] = true
		core.Response{Payload: r.Payload}.Discard()
	}
	sends.Wait()
	close(over)
	<-listed
	b.Retire()
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.pool.conns.Load() == 0 && len(b.leaving) == 0
	}, 20*time.Second, time.Millisecond)
	require.Empty(t, b.results)
}

// TestConnectionsThatComeUpLate has a target whose machine takes no connection until it has room: an attempt whose time is over and one that is
// called off end at once, and nothing of them is there when the machine takes connections again. One that waits gets its own a second later.
func TestConnectionsThatComeUpLate(t *testing.T) {
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
	b := newBench(l.Addr().String())
	send := func(name string, wait time.Duration) {
		b.Send(core.Attempt{RequestID: name, Target: "n", Deadline: time.Now().Add(wait), Payload: &Message{Method: "GET", URI: "/r/1", ID: name}})
	}
	send("over", 100*time.Millisecond)
	send("called off", time.Minute)
	send("waits", time.Minute)
	b.Cancel("n", "called off")
	for range 2 {
		r := b.result(t)
		require.NotEqual(t, "waits", r.RequestID)
		require.Equal(t, policy.NotConnected, r.Code)
	}
	require.Eventually(t, func() bool { return b.pool.conns.Load() == 1 }, 10*time.Second, time.Millisecond)
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
					say(c, "200 OK", req.Header.Get("Request-Id"))
				}
			}()
		}
	}()
	r := b.result(t)
	require.Equal(t, policy.Served, r.Code)
	require.Equal(t, "waits", string(r.Payload.([]byte)))
	require.EqualValues(t, 1, asked.Load())
}
