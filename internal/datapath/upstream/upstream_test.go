package upstream

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// standIn is a target that answers with what serve writes; accepted counts its connections.
type standIn struct {
	net.Listener
	accepted atomic.Int32
	asked    atomic.Int32
}

func newStandIn(t *testing.T, serve func(n int32, req *http.Request, c net.Conn) bool) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if !serve(s.asked.Add(1), req, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// bench is a registry with one target "n" and its results.
type bench struct {
	*Registry
	results chan core.Result
	tries   int
}

func newBench(addr string) *bench { return newBenchThat(addr, Options{MostConn: 4, MostAll: 6}) }

func newBenchThat(addr string, opt Options) *bench {
	b := &bench{results: make(chan core.Result, 64)}
	opt.Wire, opt.Dial, opt.Idle, opt.Log = NewHTTP(budget.New(1<<20)), 20*time.Second, time.Minute, slog.New(slog.DiscardHandler)
	b.Registry = NewRegistry(opt, func(r core.Result) { b.results <- r })
	b.Apply([]Target{{ID: "n", Addr: addr}}, true)
	return b
}

func (b *bench) send(wait time.Duration) {
	b.tries++
	now := time.Now()
	b.Send(core.Attempt{Request: fmt.Sprint(b.tries), Node: "n", Until: now.Add(wait),
		Payload: &Message{Method: "PUT", URI: "/w/1", ID: "id", Body: []byte("body")}})
}

func (b *bench) result(t *testing.T) core.Result {
	t.Helper()
	select {
	case r := <-b.results:
		return r
	case <-time.After(20 * time.Second):
		t.Fatal("no result")
		return core.Result{}
	}
}

func say(c net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// deadlineConn remembers the deadline set last.
type deadlineConn struct {
	net.Conn
	at time.Time
}

func (c *deadlineConn) SetDeadline(t time.Time) error {
	c.at = t
	return c.Conn.SetDeadline(t)
}

// TestConnectionOutlivesAttempt guards the pool against an attempt's deadline: left on the connection, it made
// the look at the idle connection fail, and nearly every request paid for a handshake.
func TestConnectionOutlivesAttempt(t *testing.T) {
	tg := newTarget("n", Options{Log: slog.New(slog.DiscardHandler)}, nil, func(core.Result) {})
	tg.set("a:1", policy.Up)
	near, far := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		say(far, "200 OK", "x")
	}()
	c := &deadlineConn{Conn: near}
	var r core.Result
	y := &try{Attempt: core.Attempt{Until: time.Now().Add(time.Minute), Payload: &Message{Method: "GET", URI: "/"}}}
	if again, reason := tg.exchange(y, &conn{Session: &httpSession{Conn: c, host: "", room: NewHTTP(budget.New(1 << 20)).room}}, &r); again == nil || !c.at.IsZero() {
		t.Errorf("kept %v (%s), deadline left %v; want it kept with none", again, reason, c.at)
	}
}

// TestOutcomes checks what each ending is taken for; above all, that Not-Started counts only with 503 and 504
// and that what ends after the last byte may have run.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, head string
		want       policy.OutcomeCode
	}{
		{"served", "200 OK", policy.Served},
		{"error", "500 Internal Server Error", policy.AnsweredError},
		{"error that claims not to have run", "500 Internal Server Error\r\nNot-Started: 1", policy.AnsweredError},
		{"turned away", "503 Service Unavailable\r\nNot-Started: 1", policy.Rejected},
		{"over already", "504 Gateway Timeout\r\nNot-Started: 1", policy.Rejected},
		{"unavailable, no word", "503 Service Unavailable", policy.AnsweredError},
		{"broken off", "", policy.ConnectionReset},
	} {
		s := newStandIn(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
			return c.head != "" && say(conn, c.head, "")
		})
		b := newBench(s.Addr().String())
		b.send(10 * time.Second)
		if r := b.result(t); r.Code != c.want {
			t.Errorf("%s: code %v, want %v", c.name, r.Code, c.want)
		}
	}
}

// TestSpoiltAnswers has targets answer what cannot be used: it may have run, nothing of it is served, the connection is
// not used again, and what stops midway is not waited for. What is only more than was due costs the connection alone.
func TestSpoiltAnswers(t *testing.T) {
	const ok, spoilt = policy.Served, policy.ConnectionReset
	good := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	for _, c := range []struct {
		name, says string
		want       policy.OutcomeCode
		conns      int32 // for two attempts
	}{
		{"whole", good, ok, 1},
		{"noise", "\x00\xffnoise\r\n\r\n", spoilt, 2},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", spoilt, 2},
		{"length below none", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx", spoilt, 2},
		{"stops in its head", "HTTP/1.1 200 OK\r\nConte", spoilt, 2},
		{"stops in its body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", spoilt, 2},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5<<20), spoilt, 2},
		{"claims 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", spoilt, 2},
		{"1xx in front", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", mostInformed) + good, ok, 1},
		{"1xx without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", mostInformed+1) + good, spoilt, 2},
		{"a second copy", good + good, ok, 2},
		{"more than its length", good + "y", ok, 2},
		{"less than its length, ended", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nx", spoilt, 2},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", policy.AnsweredError, 2},
		{"noise for a size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\x00\r\nx\r\n0\r\n\r\n", spoilt, 2},
		{"reports that cannot be read", strings.Replace(good, "Cont", "Server-Load: concurrent=x,depth=1e99\r\nVolume-Load: -7\r\nCont", 1), ok, 1},
	} {
		var said atomic.Int64
		s := newStandIn(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
			_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
			for part := range slices.Chunk([]byte(c.says), 4<<10) {
				n, _ := conn.Write(part)
				said.Add(int64(n))
			}
			return true
		})
		b := newBench(s.Addr().String())
		for range 2 {
			begun := time.Now()
			b.send(10 * time.Second)
			r := b.result(t)
			if r.Code != c.want || r.Code == ok && string(r.Payload.([]byte)) != "x" || r.Load != nil || r.Used != 0 {
				t.Errorf("%s: %+v, want code %v", c.name, r, c.want)
			}
			if took := time.Since(begun); took > 5*time.Second {
				t.Errorf("%s: waited for %v", c.name, took)
			}
			time.Sleep(5 * time.Millisecond) // for what comes after the answer
		}
		if n := said.Load(); n > 20<<20 {
			t.Errorf("%s: %d bytes were taken for two attempts", c.name, n)
		}
		if got := s.accepted.Load(); got != c.conns {
			t.Errorf("%s: %d connections for two attempts, want %d", c.name, got, c.conns)
		}
	}
}

// TestStaleConnection checks that a connection which the target closed while idle is not written to.
func TestStaleConnection(t *testing.T) {
	closed := make(chan bool)
	s := newStandIn(t, func(n int32, _ *http.Request, c net.Conn) bool {
		say(c, "200 OK", "")
		if n == 1 {
			go func() { time.Sleep(20 * time.Millisecond); c.Close(); close(closed) }()
		}
		return true
	})
	b := newBench(s.Addr().String())
	b.send(10 * time.Second)
	b.result(t)
	<-closed
	time.Sleep(20 * time.Millisecond)
	b.send(10 * time.Second)
	if r := b.result(t); r.Code != policy.Served || s.asked.Load() != 2 {
		t.Errorf("code %v after %d requests, want it served by the second", r.Code, s.asked.Load())
	}
}

// TestTimeOutClosesFirst checks that the target sees the connection end before the outcome is told.
func TestTimeOutClosesFirst(t *testing.T) {
	for _, way := range []string{"time-out", "cancel"} {
		ended, asked := make(chan bool, 1), make(chan bool, 1)
		s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool {
			asked <- true
			_, _ = c.Read(make([]byte, 1))
			ended <- true
			return false
		})
		b := newBench(s.Addr().String())
		want := policy.TimedOut
		if way == "cancel" {
			want = policy.Cancelled
			b.send(time.Minute)
			<-asked
			b.Cancel("n", "1")
		} else {
			b.send(2 * time.Second)
		}
		r := b.result(t)
		if r.Code != want {
			t.Errorf("%s: code %v, want %v", way, r.Code, want)
		}
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Errorf("%s: the connection stayed open", way)
		}
	}
}

// TestDrainingGetsNoFirstByte guards the moment of the first byte: a send decided before the news came, and
// one that waits for its connection while it comes, must not start at a target that leaves.
func TestDrainingGetsNoFirstByte(t *testing.T) {
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "") })
	b := newBench(s.Addr().String())
	b.send(10 * time.Second)
	b.result(t)
	b.Apply([]Target{{ID: "n", Addr: s.Addr().String(), State: policy.Draining}}, false)
	b.send(10 * time.Second)
	if r := b.result(t); r.Code != policy.NotSent || s.asked.Load() != 1 {
		t.Errorf("draining: code %v, %d requests reached the target; want none after the first", r.Code, s.asked.Load())
	}
	// One whose first byte is out goes on to its end.
	asked, drains := make(chan bool), make(chan bool)
	s = newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool {
		close(asked)
		<-drains
		return say(c, "200 OK", "")
	})
	b = newBench(s.Addr().String())
	b.send(10 * time.Second)
	<-asked
	b.Apply([]Target{{ID: "n", Addr: s.Addr().String(), State: policy.Draining}}, false)
	close(drains)
	if r := b.result(t); r.Code != policy.Served {
		t.Errorf("draining with the first byte out: code %v", r.Code)
	}
	// The same at the last look, with the connection in hand.
	tg := newTarget("n", b.opt, &b.pool, b.report)
	tg.set(s.Addr().String(), policy.Draining)
	near, far := net.Pipe()
	defer far.Close()
	var r core.Result
	y := &try{Attempt: core.Attempt{Until: time.Now().Add(time.Minute), Payload: &Message{Method: "GET", URI: "/"}}}
	if again, _ := tg.exchange(y, &conn{Session: &httpSession{Conn: near, host: "", room: NewHTTP(budget.New(1 << 20)).room}}, &r); again != nil || r.Code != policy.NotSent {
		t.Errorf("first byte: code %v, want it not sent", r.Code)
	}
}

// TestConnectionsAreBounded checks both bounds: connections to one target, and to all of them together.
func TestConnectionsAreBounded(t *testing.T) {
	wait := make(chan bool)
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { <-wait; return say(c, "200 OK", "") })
	b := newBench(s.Addr().String())
	b.Apply([]Target{{ID: "m", Addr: s.Addr().String()}}, false)
	for i := range 10 {
		now := time.Now()
		b.Send(core.Attempt{Request: fmt.Sprint("r", i), Node: []string{"n", "m"}[i/5], Until: now.Add(time.Minute),
			Payload: &Message{Method: "GET", URI: "/r/1", ID: "id"}})
	}
	for range 4 { // the fifth at n, and all past two at m
		if r := b.result(t); r.Code != policy.NotConnected {
			t.Errorf("past the bounds: code %v, want no connection", r.Code)
		}
	}
	close(wait)
	for range 6 {
		if r := b.result(t); r.Code != policy.Served {
			t.Errorf("within the bounds: code %v, want it served", r.Code)
		}
	}
}

// TestPartWritten checks that an attempt which ends short of its last byte cannot have run.
func TestPartWritten(t *testing.T) {
	tg := newTarget("n", Options{Log: slog.New(slog.DiscardHandler)}, nil, func(core.Result) {})
	tg.set("a:1", policy.Up)
	near, far := net.Pipe()
	go func() { _, _ = io.ReadFull(far, make([]byte, 20)); far.Close() }()
	var r core.Result
	y := &try{Attempt: core.Attempt{Until: time.Now().Add(time.Minute), Payload: &Message{Method: "PUT", URI: "/",
		Body: make([]byte, 1000)}}}
	if again, _ := tg.exchange(y, &conn{Session: &httpSession{Conn: near, host: "", room: NewHTTP(budget.New(1 << 20)).room}}, &r); again != nil || r.Code != policy.NotConnected {
		t.Errorf("code %v, want no connection", r.Code)
	}
}

// TestLoadNames guards against reports that are missed without a sign: their fields go by the names in the settings.
func TestLoadNames(t *testing.T) {
	for report, want := range map[string]policy.Load{
		"concurrent=5.249":                 {InFlight: 5.249, Queued: -1},
		"concurrent=7,depth=2,tps=80":      {InFlight: 7, Queued: 2},
		"inflight=7, queue=2, util=0.61":   {InFlight: 7, Queued: 2},
		"concurrent=none,depth=2,depths=9": {InFlight: -1, Queued: 2},
	} {
		if l, odd := parseLoad(report); l == nil || *l != want || odd != strings.Contains(report, "none") {
			t.Errorf("%s: %+v, odd %v, want %+v", report, l, odd, want)
		}
	}
	if l, odd := parseLoad("tps=80,err_ps=0,=,,tps=NaN"); l != nil || odd {
		t.Errorf("no load told: %+v, odd %v", l, odd)
	}
	for _, x := range []string{"NaN", "-1", "-0.1", "Inf", "-Inf", "1e400", "1e99", "100000", "0x", "", "1 2"} {
		if l, odd := parseLoad("concurrent=" + x + ",depth=" + x); l != nil || !odd {
			t.Errorf("%q: %+v, odd %v", x, l, odd)
		}
	}
}

// TestAnswerCuts cuts valid answers anywhere and feeds garbage: no cut of an answer with a length passes for
// a whole one, and nothing makes the parser fail otherwise than by an error.
func TestAnswerCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.StringN(0, 200, 300).Draw(t, "body")
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Load: inflight=3\r\nVolume-Load: 85\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)
		a, err := readAnswer(bufio.NewReader(strings.NewReader(whole)), "GET", NewHTTP(budget.New(1<<20)).room, func(bool) error { return nil }, func(time.Time) {})
		if err != nil || string(a.body) != body || a.used != 86 || a.load.InFlight != 3 {
			t.Fatalf("whole answer: %+v, %v", a, err)
		}
		cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut")
		if a, err := readAnswer(bufio.NewReader(strings.NewReader(whole[:cut])), "GET", NewHTTP(budget.New(1<<20)).room, func(bool) error { return nil }, func(time.Time) {}); err == nil {
			t.Fatalf("cut at %d passed for whole: %+v", cut, a)
		}
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		_, _ = readAnswer(bufio.NewReader(strings.NewReader(string(garbage))), "GET", NewHTTP(budget.New(1<<20)).room, func(bool) error { return nil }, func(time.Time) {})
		parseLoad(string(garbage))
	})
}

// lapsed is a permit that has ended.
type lapsed struct{}

func (lapsed) Valid() bool { return false }

// few is a stock of connections.
type few struct{ most, open atomic.Int64 }

func (f *few) Open(string) bool {
	if f.open.Add(1) > f.most.Load() {
		f.open.Add(-1)
		return false
	}
	return true
}
func (f *few) Close(string)    { f.open.Add(-1) }
func (f *few) Over(string) int { return int(max(0, f.open.Load()-f.most.Load())) }

// TestRationed has an attempt whose permit has ended, which sends nothing, and a stock of connections that bounds them, is told of
// each that ends, and has idle ones closed when it shrinks.
func TestRationed(t *testing.T) {
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "") })
	stock := &few{}
	stock.most.Store(1)
	b := &bench{results: make(chan core.Result, 64)}
	b.Registry = NewRegistry(Options{Wire: NewHTTP(budget.New(1 << 20)), Dial: 20 * time.Second, Idle: time.Minute, MostConn: 4, MostAll: 6,
		Stock: stock, Log: slog.New(slog.DiscardHandler)}, func(r core.Result) { b.results <- r })
	b.Apply([]Target{{ID: "n", Addr: s.Addr().String()}}, true)
	b.Send(core.Attempt{Request: "x", Node: "n", Until: time.Now().Add(time.Minute), Permit: lapsed{}, Payload: &Message{Method: "GET", URI: "/r/1", ID: "id"}})
	if r := b.result(t); r.Code != policy.NotSent || s.asked.Load() != 0 {
		t.Errorf("without a permit: code %v, %d requests reached the target", r.Code, s.asked.Load())
	}
	b.send(time.Minute)
	if r := b.result(t); r.Code != policy.Served {
		t.Errorf("within the stock: code %v", r.Code)
	}
	stock.most.Store(0)
	b.Review()
	require.Eventually(t, func() bool { return stock.open.Load() == 0 }, time.Minute, time.Millisecond, "an idle connection past the stock stays open")
	b.send(time.Minute)
	if r := b.result(t); r.Code != policy.NotConnected {
		t.Errorf("without a stock: code %v", r.Code)
	}
}
