package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/observability/figures"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var usual = core.LeaveWithin(2 * time.Second)

// back is the stand-in core: it hands jobs to the test and notes departures.
type back struct {
	jobs chan *core.Job
	gone chan *core.Job
	full bool
}

func (b *back) Submit(j *core.Job) bool {
	if b.full {
		return false
	}
	b.jobs <- j
	return true
}
func (b *back) Depart(j *core.Job)                  { b.gone <- j }
func (b *back) Route(shard int, reply func(string)) { reply("n") }

// admitted is what a front under test admits.
var admitted = Admits{Classes: map[string]bool{"get": true, "put": true}, Plans: map[string]bool{"std": true}, Leave: usual}

// testRoom is the budget of bytes of a front under test.
const testRoom = 1 << 20

func newFront(t *testing.T, most int, edit ...func(*Server)) (*Server, *back, string) {
	t.Helper()
	b := &back{jobs: make(chan *core.Job, 64), gone: make(chan *core.Job, 64)}
	s := New(b, Options{Admits: admitted, MostConn: most, EasyConn: most,
		Figures: figures.New([]string{"get", "put"}), Room: budget.New(testRoom),
		Log: slog.New(slog.DiscardHandler)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range edit {
		e(s)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.http.Close() })
	return s, b, l.Addr().String()
}

const goodHead = "PUT /put/x/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: a\r\nRequest-Id: id1\r\nTier: std\r\n" +
	"Request-Timeout-Ms: 480\r\nIO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n"

const good = goodHead + "Content-Length: 4\r\n\r\nbody"

// ask writes raw bytes on a connection of its own and reads one answer.
func ask(t *testing.T, addr, raw string) (*http.Response, string, net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return say(t, c, raw)
}

func say(t *testing.T, c net.Conn, raw string) (*http.Response, string, net.Conn) {
	t.Helper()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, raw)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%q: %v", raw, err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body), c
}

// TestAnswers passes a request whole to the core and each ending back to the client.
func TestAnswers(t *testing.T) {
	_, b, addr := newFront(t, 64)
	for _, c := range []struct {
		answer core.Answer
		status int
		after  string
		body   string
	}{
		{core.Answer{Payload: []byte("data")}, 200, "", "data"},
		{core.Answer{Ending: core.Refused, RetryAfter: 250 * time.Millisecond}, 503, "0.250", "refused: trying again is harmless\n"},
		{core.Answer{Ending: core.Refused}, 503, "", "refused: trying again is harmless\n"},
		{core.Answer{Ending: core.Conflict}, 409, "", "Request-Id: a request of that id is open or may have run\n"},
		{core.Answer{Ending: core.Failed}, 502, "", "failed: it may have run\n"},
	} {
		go func() { (<-b.jobs).Done(c.answer) }()
		resp, body, _ := ask(t, addr, good)
		if resp.StatusCode != c.status || body != c.body || resp.Header.Get("Retry-After") != c.after {
			t.Errorf("%+v: status %d, after %q, body %q", c.answer, resp.StatusCode, resp.Header.Get("Retry-After"), body)
		}
	}
	go func() {
		j := <-b.jobs
		m := j.Payload.(*upstream.Message)
		text := fmt.Sprint(j.Class, j.Plan, j.Volume, j.Extent, j.Units, j.Shard, j.VolumeInitiators, j.Patience, m.Method, m.URI, m.ID, string(m.Body))
		j.Done(core.Answer{Payload: []byte(text)})
	}()
	want := fmt.Sprint("put", "std", "00000003b4d60021", "7f3a9c21e0b4d655", 2.0, 5, 3, 480*time.Millisecond, "PUT", "/put/x/7f3a9c21e0b4d655?q=1", "id1", "body")
	if _, body, _ := ask(t, addr, good); body != want {
		t.Errorf("taken as %q, want %q", body, want)
	}
	for head, key := range map[string]string{"": "", "Idempotency-Key:  a 7=\"x\" \r\n": `a 7="x"`, "Idempotency-Key: \r\n": ""} {
		go func() {
			j := <-b.jobs
			j.Done(core.Answer{Payload: fmt.Append(nil, j.MissingKey, j.Payload.(*upstream.Message).Key)})
		}()
		_, body, _ := ask(t, addr, goodHead+head+"Content-Length: 4\r\n\r\nbody")
		require.Equal(t, fmt.Sprint(key == "", key), body)
	}
	resp, _, _ := ask(t, addr, goodHead+"Idempotency-Key: a\r\nIdempotency-Key: a\r\nContent-Length: 4\r\n\r\nbody")
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
}

// TestBadInput checks that what cannot be taken is told so, by a code that does not invite a repeat.
func TestBadInput(t *testing.T) {
	_, b, addr := newFront(t, 64)
	swap := func(old, by string) string { return strings.Replace(good, old, by, 1) }
	for _, c := range []struct {
		name, raw string
		want      int
	}{
		{"garbage", "nonsense\r\n\r\n", 400},
		{"method", swap("PUT", "DELETE"), 405},
		{"no key", swap("/put/x/7f3a9c21e0b4d655?q=1", "/put"), 400},
		{"short key", swap("7f3a9c21e0b4d655", "7f3a"), 400},
		{"class", swap("/put/", "/odd/"), 404},
		{"plan", swap("Tier: std", "Tier: odd"), 422},
		{"two lengths", swap("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400},
		{"length below none", swap("Content-Length: 4", "Content-Length: -4"), 400},
		{"length past all", swap("Content-Length: 4", "Content-Length: 99999999999999999999"), 400},
		{"length and coding", swap("Content-Length: 4\r\n\r\nbody", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+good), 400},
		{"length and coding of old", strings.Replace(swap("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"), "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"read with a body", strings.Replace(swap("PUT", "GET"), "/put/", "/get/", 1), 400},
		{"no host", swap("Host: a\r\n", ""), 400},
		{"no plan", swap("Tier: std\r\n", ""), 400},
		{"no info", swap("IO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n", ""), 400},
		{"empty id", swap("Request-Id: id1", "Request-Id:"), 400},
		{"odd key", swap("7f3a9c21e0b4d655", "7f3a9c21e0b4d65g"), 400},
		{"two ids", swap("Tier:", "Request-Id: id2\r\nTier:"), 400},
		{"two plans", swap("Tier: std", "Tier: std\r\nTier: std"), 400},
		{"two infos", swap("IO-Info:", "IO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\nIO-Info:"), 400},
		{"two times", swap("Request-Timeout-Ms: 480", "Request-Timeout-Ms: 480\r\nRequest-Timeout-Ms: 480"), 400},
		{"time with a sign", swap("480", "+480"), 400},
		{"time past all", swap("480", "99999999999999999999"), 400},
		{"no id", swap("Request-Id: id1\r\n", ""), 400},
		{"id with a blank", swap("id1", "i d"), 400},
		{"no time", swap("Request-Timeout-Ms: 480\r\n", ""), 400},
		{"time below none", swap("480", "-1"), 400},
		{"odd time", swap("480", "1e9"), 400},
		{"no volume", swap("volume=00000003b4d60021,", ""), 400},
		{"odd volume", swap("00000003b4d60021", "xyz"), 400},
		{"odd units", swap("units=2", "units=NaN"), 400},
		{"shard twice", swap("shard=5", "shard=5,shard=6"), 400},
		{"odd shard", swap("shard=5", "shard=-2"), 400},
		{"no hosts", swap(",hosts=3", ""), 400},
		{"long head", swap("Host: a", "Host: a\r\nX: "+strings.Repeat("x", 40<<10)), 431},
		{"long body", swap("Content-Length: 4\r\n\r\nbody", "Content-Length: 60000000\r\n\r\n"+strings.Repeat("x", 65537)), 413},
	} {
		resp, body, conn := ask(t, addr, c.raw)
		if resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: status %d (%q), closes %v, want %d and a close", c.name, resp.StatusCode, body, resp.Close, c.want)
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		if rest, _ := io.ReadAll(conn); len(rest) > 0 {
			t.Errorf("%s: more was answered: %q", c.name, rest)
		}
	}
	if len(b.jobs) != 0 {
		t.Errorf("%d of them reached the core", len(b.jobs))
	}
	b.full = true
	if resp, _, _ := ask(t, addr, good); resp.StatusCode != 503 {
		t.Errorf("too many held: status %d, want 503", resp.StatusCode)
	}
}

// TestNoTimeLeft guards against closing on a late retry that has no whole millisecond left: it is no malformed
// request, and the core refuses it.
func TestNoTimeLeft(t *testing.T) {
	_, b, addr := newFront(t, 64)
	go func() { (<-b.jobs).Done(core.Answer{Ending: core.Refused}) }()
	resp, _, c := ask(t, addr, strings.Replace(good, "480", "0", 1))
	if resp.StatusCode != 503 || resp.Close {
		t.Errorf("status %d, closes %v; want it refused on a connection that lives", resp.StatusCode, resp.Close)
	}
	go func() { (<-b.jobs).Done(core.Answer{Payload: []byte("x")}) }()
	if resp, _, _ := say(t, c, good); resp.StatusCode != 200 {
		t.Errorf("the next request: status %d", resp.StatusCode)
	}
}

// TestAbandonedIsNeverServed guards against net/http's implicit empty 200: a handler that returns without an
// answer would serve something that no target made.
func TestAbandonedIsNeverServed(t *testing.T) {
	s, b, _ := newFront(t, 64)
	ctx, leave := context.WithCancel(context.Background())
	req := httptest.NewRequest("GET", "/get/7f3a9c21e0b4d655", nil).WithContext(ctx)
	for k, v := range map[string]string{"Request-Id": "i", "Tier": "std", "Request-Timeout-Ms": "480",
		"IO-Info": "volume=00000003b4d60021,units=2,shard=5,hosts=3"} {
		req.Header.Set(k, v)
	}
	go func() { <-b.jobs; leave() }()
	defer func() {
		if p := recover(); p != any(http.ErrAbortHandler) {
			t.Errorf("the handler ended with %v, want it to abort the connection", p)
		}
	}()
	s.ServeHTTP(httptest.NewRecorder(), req)
}

// TestDeparture tells the core when a client goes away.
func TestDeparture(t *testing.T) {
	_, b, addr := newFront(t, 64)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, good)
	j := <-b.jobs
	c.Close()
	select {
	case g := <-b.gone:
		if g != j {
			t.Error("another job departed")
		}
	case <-time.After(20 * time.Second):
		t.Error("the core was not told")
	}
}

// TestSlowClients guards against clients that say nothing, too little or too slowly: each is told an error or closed
// within 3 s, one of them after a first request too. A request that is open for longer is none of them.
func TestSlowClients(t *testing.T) {
	_, b, addr := newFront(t, 64)
	half := goodHead + "Content-Length: 9\r\n\r\nbo"
	var wait sync.WaitGroup
	for name, raw := range map[string]string{"silent": "", "half a head": goodHead, "half a body": half,
		"a bad head with half a body": strings.Replace(half, "std", "odd", 1), "idle": good} {
		wait.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			begun := time.Now()
			c.SetDeadline(begun.Add(20 * time.Second))
			_, _ = io.WriteString(c, raw)
			got, err := io.ReadAll(c)
			if took := time.Since(begun); err != nil || took > 3*time.Second && name != "a bad head with half a body" {
				t.Errorf("%s: ended after %v: %v", name, took, err)
			}
			if want := map[string]string{"half a body": " 408 ", "a bad head with half a body": " 422 ", "idle": " 200 "}[name]; !strings.Contains(string(got), want) {
				t.Errorf("%s: told %q, want %s", name, got, want)
			}
		})
	}
	(<-b.jobs).Done(core.Answer{Payload: []byte("x")})
	wait.Go(func() {
		if resp, _, _ := ask(t, addr, strings.Replace(good, "480", "9999", 1)); resp.StatusCode != 200 {
			t.Errorf("open for long: status %d", resp.StatusCode)
		}
	})
	j := <-b.jobs
	time.Sleep(headWithin + 200*time.Millisecond)
	j.Done(core.Answer{Payload: []byte("x")})
	wait.Wait()
	if len(b.jobs)+len(b.gone) > 0 {
		t.Errorf("%d more reached the core, %d departed", len(b.jobs), len(b.gone))
	}
}

// TestHugeBody guards against an answer that a reset takes from a client which is still sending, and against holding
// what is refused.
func TestHugeBody(t *testing.T) {
	_, _, addr := newFront(t, 64)
	const size = 60 << 20
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", goodHead, size)
	part := make([]byte, 64<<10)
	for sent := 0; sent < size; sent += len(part) {
		if _, err := c.Write(part); err != nil {
			t.Fatalf("after %d bytes: %v", sent, err)
		}
	}
	runtime.ReadMemStats(&after)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 413 {
		t.Errorf("answered with %+v, %v", resp, err)
	}
	if held := after.TotalAlloc - before.TotalAlloc; held > 8<<20 {
		t.Errorf("%d bytes were taken in memory", held)
	}
}

// TestUselessMakeRoom fills the clients' connections with ones that say nothing, stop in a head or a body, or have been
// refused and never end their body: they make room for usual clients, and one with a request open does not go.
func TestUselessMakeRoom(t *testing.T) {
	for name, raw := range map[string]string{"silent": "", "half a head": goodHead,
		"half a body": goodHead + "Content-Length: 9\r\n\r\nbo",
		"refused":     strings.Replace(goodHead, "std", "odd", 1) + "Content-Length: 9\r\n\r\nbo"} {
		_, b, addr := newFront(t, 8)
		open, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer open.Close()
		_, _ = io.WriteString(open, good)
		j := <-b.jobs
		for range 7 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, raw)
		}
		time.Sleep(stalledFor + silentFor)
		go func() {
			for range 7 {
				(<-b.jobs).Done(core.Answer{Payload: []byte("x")})
			}
		}()
		for range 7 {
			if resp, _, _ := ask(t, addr, good); resp.StatusCode != 200 {
				t.Errorf("%s: a usual client got status %d", name, resp.StatusCode)
			}
		}
		j.Done(core.Answer{Payload: []byte("late")})
		open.SetDeadline(time.Now().Add(20 * time.Second))
		if resp, err := http.ReadResponse(bufio.NewReader(open), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("%s: the request that was open: %+v, %v", name, resp, err)
		}
	}
}

// TestIdleMakeRoomEarly guards against connections that asked once and stay: they go well before the cap, which clients
// that count them among their own would never meet. Those with a request may use all of it.
func TestIdleMakeRoomEarly(t *testing.T) {
	s, b, addr := newFront(t, 8)
	s.conns.mu.Lock()
	s.conns.easy = 3
	s.conns.mu.Unlock()
	go func() {
		for range 6 {
			(<-b.jobs).Done(core.Answer{Payload: []byte("x")})
		}
	}()
	for range 6 {
		ask(t, addr, good)
		time.Sleep(2 * unusedFor)
	}
	s.conns.mu.Lock()
	if n := len(s.conns.open); n > 3 {
		t.Errorf("%d connections without a request are kept, want 3", n)
	}
	s.conns.mu.Unlock()
	for i := range 8 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, good)
		select {
		case <-b.jobs:
		case <-time.After(20 * time.Second):
			t.Fatalf("request %d on a connection of its own was not taken", i)
		}
	}
}

// resting waits until so many connections have had their answers, and rest.
func resting(t *testing.T, s *Server, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		quiets := 0
		for c := range s.conns.open {
			if c.phase.Load() == quiet && c.used.Load() {
				quiets++
			}
		}
		return quiets == n
	}, 20*time.Second, time.Millisecond)
}

// TestCapMakesRoom fills the clients' connections: a new one is taken all the same, and the one idle longest goes.
func TestCapMakesRoom(t *testing.T) {
	s, b, addr := newFront(t, 2, func(s *Server) { s.idle = time.Hour }) // none ends by itself, however long the machine stands still
	go func() {
		for j := range b.jobs {
			j.Done(core.Answer{Payload: []byte("x")})
		}
	}()
	defer close(b.jobs)
	_, _, first := ask(t, addr, good)
	resting(t, s, 1) // a client may have its answer before its connection rests: of two that rest the order would be by chance
	_, _, second := ask(t, addr, good)
	resting(t, s, 2)
	if resp, _, _ := ask(t, addr, good); resp.StatusCode != 200 {
		t.Errorf("past the cap: status %d", resp.StatusCode)
	}
	first.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection idle longest: %v, want it closed", err)
	}
	if resp, _, _ := say(t, second, good); resp.StatusCode != 200 {
		t.Errorf("the one used later: status %d", resp.StatusCode)
	}
}

// TestCapRefuses fills the cap with requests that are open: one more is refused at once, on a connection that ends.
func TestCapRefuses(t *testing.T) {
	_, b, addr := newFront(t, 1)
	first, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	_, _ = io.WriteString(first, good)
	open := <-b.jobs
	resp, _, _ := ask(t, addr, good)
	if resp.StatusCode != 503 || !resp.Close || len(b.jobs) != 0 {
		t.Errorf("status %d, closes %v, %d jobs; want a refusal that reaches no core", resp.StatusCode, resp.Close, len(b.jobs))
	}
	open.Done(core.Answer{Payload: []byte("x")})
}

// TestLeaving checks the order of an end: not ready at once, new connections served meanwhile, and what was
// taken finished before Stop returns.
func TestLeaving(t *testing.T) {
	s, b, addr := newFront(t, 64)
	ready := "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
	if resp, _, _ := ask(t, addr, ready); resp.StatusCode != 200 {
		t.Fatalf("ready: %d", resp.StatusCode)
	}
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		if resp, body, _ := ask(t, addr, good); resp.StatusCode != 200 || body != "late" {
			t.Errorf("taken before the end: %d, %q", resp.StatusCode, body)
		}
	}()
	j := <-b.jobs
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for s.left.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	resp, _, kept := ask(t, addr, ready)
	if resp.StatusCode != 503 {
		t.Errorf("ready while leaving: %d", resp.StatusCode)
	}
	time.Sleep(usual.Linger + 100*time.Millisecond)
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("still accepting after the linger")
	}
	// A client that has a connection is served on it, within the time that is left.
	served := make(chan time.Duration, 1)
	go func() {
		j := <-b.jobs
		served <- j.Patience
		j.Done(core.Answer{Payload: []byte("kept")})
	}()
	if resp, body, _ := say(t, kept, strings.Replace(good, "480", "9999", 1)); resp.StatusCode != 200 || body != "kept" {
		t.Errorf("on a connection from before: %d, %q", resp.StatusCode, body)
	}
	if p := <-served; p > usual.Answer-usual.Linger {
		t.Errorf("it may take %v, past the end", p)
	}
	select {
	case <-stopped: //nolint:errcheck // that it has not returned is what is tested
		t.Error("ended with a request open")
	case <-time.After(usual.Serve):
	}
	j.Done(core.Answer{Payload: []byte("late")})
	wait.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestReadyNeedsAList checks that no client is invited before there is anywhere to send to.
func TestReadyNeedsAList(t *testing.T) {
	s, _, _ := newFront(t, 64)
	listed := false
	s.opt.Ready = func() bool { return listed }
	for _, want := range []int{503, 200} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/-/ready", nil))
		if w.Code != want {
			t.Errorf("listed %v: status %d, want %d", listed, w.Code, want)
		}
		listed = true
	}
}

// TestInfoCuts cuts a valid IO-Info and feeds garbage: whatever passes has all four fields in range.
func TestInfoCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=%d", rapid.Uint64().Draw(t, "v"),
			rapid.IntRange(1, 8).Draw(t, "u"), rapid.IntRange(-1, 9).Draw(t, "s"), rapid.IntRange(1, 9).Draw(t, "h"))
		if _, err := parseInfo(whole); err != nil {
			t.Fatalf("%q: %v", whole, err)
		}
		if cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut"); cut < strings.LastIndexByte(whole, '=') {
			if q, err := parseInfo(whole[:cut]); err == nil {
				t.Fatalf("%q passed as %+v", whole[:cut], q)
			}
		}
		garbage := rapid.StringMatching(`[a-z=,0-9.\-]{0,60}`).Draw(t, "garbage")
		if q, err := parseInfo(garbage); err == nil && (len(q.Volume) != 16 || q.Units < 0 || q.Shard < -1) {
			t.Fatalf("%q passed as %+v", garbage, q)
		}
	})
}

// TestSlowRequestsStay guards true clients that take 2 s to write their request, in a crowd that begins one and stops: as
// long as theirs keeps coming, others make room.
func TestSlowRequestsStay(t *testing.T) {
	_, b, addr := newFront(t, 8)
	go func() {
		for j := range b.jobs {
			j.Done(core.Answer{Payload: []byte("x")})
		}
	}()
	defer close(b.jobs)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			for part := range slices.Chunk([]byte(good), len(good)/9) {
				_, _ = c.Write(part)
				time.Sleep(stalledFor / 6)
			}
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
				t.Errorf("written slowly: %+v, %v", resp, err)
			}
		})
	}
	time.Sleep(stalledFor / 2) // they have begun
	for range 40 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, goodHead)
		time.Sleep(stalledFor / 24)
	}
	wait.Wait()
}

// TestHandOver leaves while a successor takes clients at the same socket: nothing more is accepted, an idle connection is
// closed without a reset, one with a request open ends with its answer, and one that was just made has its request served.
func TestHandOver(t *testing.T) {
	s, b, addr := newFront(t, 64)
	go func() { (<-b.jobs).Done(core.Answer{Payload: []byte("x")}) }()
	_, _, idle := ask(t, addr, good)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
	busy, fresh := dial(), dial()
	_, _ = io.WriteString(busy, good)
	open := <-b.jobs
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.conns.mu.Lock()
		n := len(s.conns.open)
		s.conns.mu.Unlock()
		if n == 3 {
			break
		}
	}
	s.HandOver()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	if n, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %d bytes, %v; want a clean end", n, err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("it still accepts")
	}
	for c, j := range map[net.Conn]func() *core.Job{busy: func() *core.Job { return open }, fresh: func() *core.Job { _, _ = io.WriteString(fresh, good); return <-b.jobs }} {
		j().Done(core.Answer{Payload: []byte("x")})
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("a request at the time: %+v, %v; want it served on a connection that ends", resp, err)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestNumbers counts each request once, however it ends, and none as open afterwards: served, refused, failed, turned away for
// what it is or for want of room, and left by its client.
func TestNumbers(t *testing.T) {
	s, b, addr := newFront(t, 64)
	for _, ending := range []core.Ending{core.Served, core.Refused, core.Failed, core.Conflict} {
		go func() { (<-b.jobs).Done(core.Answer{Ending: ending, Payload: []byte("x")}) }()
		ask(t, addr, good)
	}
	ask(t, addr, strings.Replace(good, "std", "odd", 1))
	ask(t, addr, strings.Replace(good, "/put/", "/odd/", 1))
	left, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(left, good)
	<-b.jobs
	if got := string(figures.Render(s.opt.Figures.Tell)); !strings.Contains(got, "concurrent:1|") {
		t.Errorf("with one open:\n%s", got)
	}
	left.Close()
	<-b.gone
	s.opt.Room.Give(-testRoom) // also what the request that was left still holds: its body comes back after its departure is known
	if resp, _, _ := ask(t, addr, good); resp.StatusCode != 503 {
		t.Errorf("without room: %d", resp.StatusCode)
	}
	want := []string{"put.success:1|", "put.overload:2|", "put.error:4|", "get.error:0|", "concurrent:0|"}
	require.EventuallyWithT(t, func(t *assert.CollectT) {
		got := string(figures.Render(s.opt.Figures.Tell))
		for _, w := range want {
			assert.Contains(t, got, w)
		}
	}, 20*time.Second, time.Millisecond)
}

// TestSendsUntilKilled has clients go on with request after request on every connection that stays open, from SIGTERM until the
// process would be killed: each request is answered whole, in good time, or the connection had ended in order before it was written.
func TestSendsUntilKilled(t *testing.T) { //nolint:gocognit // one scenario, told in order
	s, b, addr := newFront(t, 64)
	killed := usual.Answer + 100*time.Millisecond
	go func() {
		for j := range b.jobs {
			time.AfterFunc(5*time.Millisecond, func() { j.Done(core.Answer{Payload: []byte("ok")}) })
		}
	}()
	var clients sync.WaitGroup
	var lost, answered, crossed, early, reset atomic.Int64
	var left atomic.Pointer[time.Time]
	begun := make(chan bool, 12)
	for i := range cap(begun) {
		clients.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			in := bufio.NewReader(c)
			for n := 0; ; n++ {
				if n == 1 {
					begun <- true
				}
				time.Sleep(time.Duration(i) * time.Millisecond)
				if _, err := io.WriteString(c, good); err != nil {
					return // it had ended
				}
				resp, err := http.ReadResponse(in, nil)
				if errors.Is(err, syscall.ECONNRESET) {
					reset.Add(1)
				}
				if err != nil {
					// A request may cross the end of its connection: clients send it once more elsewhere.
					crossed.Add(1)
					if at := left.Load(); at == nil || time.Since(*at) < usual.Serve {
						early.Add(1)
					}
					return
				}
				if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
					lost.Add(1)
					return
				}
				answered.Add(1)
				if resp.Close {
					return
				}
			}
		})
	}
	for range cap(begun) {
		<-begun
	}
	now := time.Now()
	left.Store(&now)
	if err := s.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if took := time.Since(now); took > killed {
		t.Errorf("it ends %v after SIGTERM, and may be killed after %v", took, killed)
	}
	clients.Wait()
	t.Logf("%d answered, %d crossed the end of their connection", answered.Load(), crossed.Load())
	require.Zero(t, reset.Load(), "connections ended by a reset")
	if lost.Load() > 0 || early.Load() > 0 || answered.Load() < 100 {
		t.Errorf("%d answers cut, %d connections ended early, %d answers whole", lost.Load(), early.Load(), answered.Load())
	}
}
