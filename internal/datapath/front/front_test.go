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
	"spindlehitch/internal/observability/metrics"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var testSchedule = core.NewShutdownSchedule(2 * time.Second)

// fakeCore passes submitted and cancelled jobs to the test, and rejects all jobs if it is full.
type fakeCore struct {
	jobs      chan *core.Job
	cancelled chan *core.Job
	full      bool
}

func (b *fakeCore) Submit(j *core.Job) bool {
	if b.full {
		return false
	}
	b.jobs <- j
	return true
}
func (b *fakeCore) Cancel(j *core.Job)                  { b.cancelled <- j }
func (b *fakeCore) Route(shard int, reply func(string)) { reply("n") }

// testAdmission is the admission of a front under test.
var testAdmission = Admission{Classes: map[string]bool{"get": true, "put": true}, Plans: map[string]bool{"std": true}, Shutdown: testSchedule}

// testBufferBudget is the buffer budget of a front under test, in bytes.
const testBufferBudget = 1 << 20

func newFront(t *testing.T, maxConns int, options ...func(*Server)) (*Server, *fakeCore, string) {
	t.Helper()
	b := &fakeCore{jobs: make(chan *core.Job, 64), cancelled: make(chan *core.Job, 64)}
	s := New(b, Options{Admission: testAdmission, MaxConns: maxConns, SoftMaxConns: maxConns,
		Metrics: metrics.New([]string{"get", "put"}), BufferBudget: budget.New(testBufferBudget),
		Log: slog.New(slog.DiscardHandler)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range options {
		e(s)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.http.Close() })
	return s, b, l.Addr().String()
}

const validHead = "PUT /put/x/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: a\r\nRequest-Id: id1\r\nTier: std\r\n" +
	"Request-Timeout-Ms: 480\r\nIO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n"

const validRequest = validHead + "Content-Length: 4\r\n\r\nbody"

// sendRequest writes raw bytes on a new connection and reads one response.
func sendRequest(t *testing.T, addr, raw string) (*http.Response, string, net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return roundTrip(t, c, raw)
}

func roundTrip(t *testing.T, c net.Conn, raw string) (*http.Response, string, net.Conn) {
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

// TestResponses checks that a request reaches the core with all its fields, and how the client sees each status.
func TestResponses(t *testing.T) {
	_, b, addr := newFront(t, 64)
	for _, c := range []struct {
		answer core.Response
		status int
		after  string
		body   string
	}{
		{core.Response{Payload: []byte("data")}, 200, "", "data"},
		{core.Response{Status: core.Rejected, RetryAfter: 250 * time.Millisecond}, 503, "0.250", "refused: trying again is harmless\n"},
		{core.Response{Status: core.Rejected}, 503, "", "refused: trying again is harmless\n"},
		{core.Response{Status: core.Conflict}, 409, "", "Request-Id: a request of that id is open or may have run\n"},
		{core.Response{Status: core.Failed}, 502, "", "failed: it may have run\n"},
	} {
		go func() { (<-b.jobs).Done(c.answer) }()
		resp, body, _ := sendRequest(t, addr, validRequest)
		if resp.StatusCode != c.status || body != c.body || resp.Header.Get("Retry-After") != c.after {
			t.Errorf("%+v: status %d, after %q, body %q", c.answer, resp.StatusCode, resp.Header.Get("Retry-After"), body)
		}
	}
	go func() {
		j := <-b.jobs
		m := j.Payload.(*upstream.Request)
		text := fmt.Sprint(j.Class, j.Plan, j.Volume, j.Extent, j.Units, j.Shard, j.VolumeInitiators, j.Timeout, m.Method, m.URI, m.ID, string(m.Body))
		j.Done(core.Response{Payload: []byte(text)})
	}()
	want := fmt.Sprint("put", "std", "00000003b4d60021", "7f3a9c21e0b4d655", 2.0, 5, 3, 480*time.Millisecond, "PUT", "/put/x/7f3a9c21e0b4d655?q=1", "id1", "body")
	if _, body, _ := sendRequest(t, addr, validRequest); body != want {
		t.Errorf("the core received %q, want %q", body, want)
	}
	for head, key := range map[string]string{"": "", "Idempotency-Key:  a 7=\"x\" \r\n": `a 7="x"`, "Idempotency-Key: \r\n": ""} {
		go func() {
			j := <-b.jobs
			j.Done(core.Response{Payload: fmt.Append(nil, j.MissingKey, j.Payload.(*upstream.Request).IdempotencyKey)})
		}()
		_, body, _ := sendRequest(t, addr, validHead+head+"Content-Length: 4\r\n\r\nbody")
		require.Equal(t, fmt.Sprint(key == "", key), body)
	}
	resp, _, _ := sendRequest(t, addr, validHead+"Idempotency-Key: a\r\nIdempotency-Key: a\r\nContent-Length: 4\r\n\r\nbody")
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
}

// TestBadInput checks that invalid requests are rejected, with a status that does not invite a retry.
func TestBadInput(t *testing.T) {
	_, b, addr := newFront(t, 64)
	swap := func(old, by string) string { return strings.Replace(validRequest, old, by, 1) }
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
		{"negative length", swap("Content-Length: 4", "Content-Length: -4"), 400},
		{"length out of range", swap("Content-Length: 4", "Content-Length: 99999999999999999999"), 400},
		{"length and coding", swap("Content-Length: 4\r\n\r\nbody", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+validRequest), 400},
		{"length and coding in HTTP/1.0", strings.Replace(swap("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"), "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"read with a body", strings.Replace(swap("PUT", "GET"), "/put/", "/get/", 1), 400},
		{"no host", swap("Host: a\r\n", ""), 400},
		{"no plan", swap("Tier: std\r\n", ""), 400},
		{"no info", swap("IO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n", ""), 400},
		{"empty id", swap("Request-Id: id1", "Request-Id:"), 400},
		{"invalid key", swap("7f3a9c21e0b4d655", "7f3a9c21e0b4d65g"), 400},
		{"two ids", swap("Tier:", "Request-Id: id2\r\nTier:"), 400},
		{"two plans", swap("Tier: std", "Tier: std\r\nTier: std"), 400},
		{"two infos", swap("IO-Info:", "IO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\nIO-Info:"), 400},
		{"two timeouts", swap("Request-Timeout-Ms: 480", "Request-Timeout-Ms: 480\r\nRequest-Timeout-Ms: 480"), 400},
		{"timeout with a sign", swap("480", "+480"), 400},
		{"timeout out of range", swap("480", "99999999999999999999"), 400},
		{"no id", swap("Request-Id: id1\r\n", ""), 400},
		{"id with a blank", swap("id1", "i d"), 400},
		{"no timeout", swap("Request-Timeout-Ms: 480\r\n", ""), 400},
		{"negative timeout", swap("480", "-1"), 400},
		{"invalid timeout", swap("480", "1e9"), 400},
		{"no volume", swap("volume=00000003b4d60021,", ""), 400},
		{"invalid volume", swap("00000003b4d60021", "xyz"), 400},
		{"invalid units", swap("units=2", "units=NaN"), 400},
		{"shard twice", swap("shard=5", "shard=5,shard=6"), 400},
		{"invalid shard", swap("shard=5", "shard=-2"), 400},
		{"no hosts", swap(",hosts=3", ""), 400},
		{"long head", swap("Host: a", "Host: a\r\nX: "+strings.Repeat("x", 40<<10)), 431},
		{"long body", swap("Content-Length: 4\r\n\r\nbody", "Content-Length: 60000000\r\n\r\n"+strings.Repeat("x", 65537)), 413},
	} {
		resp, body, conn := sendRequest(t, addr, c.raw)
		if resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: status %d (%q), closes %v, want %d and a close", c.name, resp.StatusCode, body, resp.Close, c.want)
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		if rest, _ := io.ReadAll(conn); len(rest) > 0 {
			t.Errorf("%s: more than one response: %q", c.name, rest)
		}
	}
	if len(b.jobs) != 0 {
		t.Errorf("%d of them reached the core", len(b.jobs))
	}
	b.full = true
	if resp, _, _ := sendRequest(t, addr, validRequest); resp.StatusCode != 503 {
		t.Errorf("core at its limit: status %d, want 503", resp.StatusCode)
	}
}

// TestNoTimeLeft guards against closing the connection of a late retry that has less than a millisecond left: its request is
// not malformed, and the core rejects it.
func TestNoTimeLeft(t *testing.T) {
	_, b, addr := newFront(t, 64)
	go func() { (<-b.jobs).Done(core.Response{Status: core.Rejected}) }()
	resp, _, c := sendRequest(t, addr, strings.Replace(validRequest, "480", "0", 1))
	if resp.StatusCode != 503 || resp.Close {
		t.Errorf("status %d, closes %v; want 503 on a connection that stays open", resp.StatusCode, resp.Close)
	}
	go func() { (<-b.jobs).Done(core.Response{Payload: []byte("x")}) }()
	if resp, _, _ := roundTrip(t, c, validRequest); resp.StatusCode != 200 {
		t.Errorf("the next request: status %d", resp.StatusCode)
	}
}

// TestAbortedHandlerSendsNoResponse guards against net/http's implicit empty 200: a handler that returns without a
// response would send one that no target produced.
func TestAbortedHandlerSendsNoResponse(t *testing.T) {
	s, b, _ := newFront(t, 64)
	ctx, cancel := context.WithCancel(context.Background())
	req := httptest.NewRequest("GET", "/get/7f3a9c21e0b4d655", nil).WithContext(ctx)
	for k, v := range map[string]string{"Request-Id": "i", "Tier": "std", "Request-Timeout-Ms": "480",
		"IO-Info": "volume=00000003b4d60021,units=2,shard=5,hosts=3"} {
		req.Header.Set(k, v)
	}
	go func() { <-b.jobs; cancel() }()
	defer func() {
		if p := recover(); p != any(http.ErrAbortHandler) {
			t.Errorf("the handler ended with panic value %v, want http.ErrAbortHandler", p)
		}
	}()
	s.ServeHTTP(httptest.NewRecorder(), req)
}

// TestDisconnectCancelsJob checks that the job is cancelled when its client disconnects.
func TestDisconnectCancelsJob(t *testing.T) {
	_, b, addr := newFront(t, 64)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, validRequest)
	j := <-b.jobs
	c.Close()
	select {
	case g := <-b.cancelled:
		if g != j {
			t.Error("another job was cancelled")
		}
	case <-time.After(20 * time.Second):
		t.Error("the job was not cancelled")
	}
}

// TestSlowClients guards against clients that send nothing, too little or too slowly: each gets an error response or its connection is
// closed within 3 s, also if it is idle after a first request. A request that is open for longer is not affected.
func TestSlowClients(t *testing.T) {
	_, b, addr := newFront(t, 64)
	partialBody := validHead + "Content-Length: 9\r\n\r\nbo"
	var wait sync.WaitGroup
	for name, raw := range map[string]string{"silent": "", "half a head": validHead, "half a body": partialBody,
		"a bad head with half a body": strings.Replace(partialBody, "std", "odd", 1), "idle": validRequest} {
		wait.Go(func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			start := time.Now()
			c.SetDeadline(start.Add(20 * time.Second))
			_, _ = io.WriteString(c, raw)
			got, err := io.ReadAll(c)
			if took := time.Since(start); err != nil || took > 3*time.Second && name != "a bad head with half a body" {
				t.Errorf("%s: ended after %v: %v", name, took, err)
			}
			if want := map[string]string{"half a body": " 408 ", "a bad head with half a body": " 422 ", "idle": " 200 "}[name]; !strings.Contains(string(got), want) {
				t.Errorf("%s: received %q, want %s", name, got, want)
			}
		})
	}
	(<-b.jobs).Done(core.Response{Payload: []byte("x")})
	wait.Go(func() {
		if resp, _, _ := sendRequest(t, addr, strings.Replace(validRequest, "480", "9999", 1)); resp.StatusCode != 200 {
			t.Errorf("request open for longer: status %d", resp.StatusCode)
		}
	})
	j := <-b.jobs
	time.Sleep(headerTimeout + 200*time.Millisecond)
	j.Done(core.Response{Payload: []byte("x")})
	wait.Wait()
	if len(b.jobs)+len(b.cancelled) > 0 {
		t.Errorf("%d more requests reached the core, %d were cancelled", len(b.jobs), len(b.cancelled))
	}
}

// TestTooLargeBody guards against a reset that destroys the response to a client which is still sending, and against buffering
// a rejected body.
func TestTooLargeBody(t *testing.T) {
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
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", validHead, size)
	part := make([]byte, 64<<10)
	for sent := 0; sent < size; sent += len(part) {
		if _, err := c.Write(part); err != nil {
			t.Fatalf("after %d bytes: %v", sent, err)
		}
	}
	runtime.ReadMemStats(&after)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 413 {
		t.Errorf("response %+v, %v; want status 413", resp, err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > 8<<20 {
		t.Errorf("%d bytes were allocated, want at most 8 MB", allocated)
	}
}

// TestUnproductiveConnsAreEvicted uses up the connections by clients that send nothing, stop within a head or a body, or have had their
// request rejected and do not finish its body: they are evicted for normal clients, and one with an open request is not.
func TestUnproductiveConnsAreEvicted(t *testing.T) {
	for name, raw := range map[string]string{"silent": "", "half a head": validHead,
		"half a body": validHead + "Content-Length: 9\r\n\r\nbo",
		"rejected":    strings.Replace(validHead, "std", "odd", 1) + "Content-Length: 9\r\n\r\nbo"} {
		_, b, addr := newFront(t, 8)
		openConn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer openConn.Close()
		_, _ = io.WriteString(openConn, validRequest)
		j := <-b.jobs
		for range 7 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, raw)
		}
		time.Sleep(stalledTimeout + silentTimeout)
		go func() {
			for range 7 {
				(<-b.jobs).Done(core.Response{Payload: []byte("x")})
			}
		}()
		for range 7 {
			if resp, _, _ := sendRequest(t, addr, validRequest); resp.StatusCode != 200 {
				t.Errorf("%s: a normal client got status %d", name, resp.StatusCode)
			}
		}
		j.Done(core.Response{Payload: []byte("late")})
		openConn.SetDeadline(time.Now().Add(20 * time.Second))
		if resp, err := http.ReadResponse(bufio.NewReader(openConn), nil); err != nil || resp.StatusCode != 200 {
			t.Errorf("%s: the request that was open: %+v, %v", name, resp, err)
		}
	}
}

// TestIdleConnsAreEvictedAboveSoftMax guards against connections that were used once and stay open: they are evicted well below the
// cap, which clients that count them against a limit of their own would never reach. Connections with a request may use the whole cap.
func TestIdleConnsAreEvictedAboveSoftMax(t *testing.T) {
	s, b, addr := newFront(t, 8)
	s.conns.mu.Lock()
	s.conns.softMaxConns = 3
	s.conns.mu.Unlock()
	go func() {
		for range 6 {
			(<-b.jobs).Done(core.Response{Payload: []byte("x")})
		}
	}()
	for range 6 {
		sendRequest(t, addr, validRequest)
		time.Sleep(2 * minUnusedTime)
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
		_, _ = io.WriteString(c, validRequest)
		select {
		case <-b.jobs:
		case <-time.After(20 * time.Second):
			t.Fatalf("request %d on a connection of its own did not reach the core", i)
		}
	}
}

// waitIdle waits until n connections are idle after a response.
func waitIdle(t *testing.T, s *Server, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		idle := 0
		for c := range s.conns.open {
			if c.phase.Load() == phaseIdle && c.served.Load() {
				idle++
			}
		}
		return idle == n
	}, 20*time.Second, time.Millisecond)
}

// TestIdleConnIsEvictedAtCap uses up the connections: a new one is still accepted, and the one that was idle longest is closed.
func TestIdleConnIsEvictedAtCap(t *testing.T) {
	s, b, addr := newFront(t, 2, func(s *Server) { s.idleTimeout = time.Hour }) // none is closed by the idle timeout, even if the machine stalls
	go func() {
		for j := range b.jobs {
			j.Done(core.Response{Payload: []byte("x")})
		}
	}()
	defer close(b.jobs)
	_, _, first := sendRequest(t, addr, validRequest)
	waitIdle(t, s, 1) // a client may have its response before its connection is idle: without the wait the order of the two would vary
	_, _, second := sendRequest(t, addr, validRequest)
	waitIdle(t, s, 2)
	if resp, _, _ := sendRequest(t, addr, validRequest); resp.StatusCode != 200 {
		t.Errorf("over the cap: status %d", resp.StatusCode)
	}
	first.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection idle longest: %v, want it closed", err)
	}
	if resp, _, _ := roundTrip(t, second, validRequest); resp.StatusCode != 200 {
		t.Errorf("the connection used later: status %d", resp.StatusCode)
	}
}

// TestRequestOverCapIsRejected uses up the connections by open requests: one more is rejected at once, and its connection closed.
func TestRequestOverCapIsRejected(t *testing.T) {
	_, b, addr := newFront(t, 1)
	first, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	_, _ = io.WriteString(first, validRequest)
	openJob := <-b.jobs
	resp, _, _ := sendRequest(t, addr, validRequest)
	if resp.StatusCode != 503 || !resp.Close || len(b.jobs) != 0 {
		t.Errorf("status %d, closes %v, %d jobs; want 503, a close and no job", resp.StatusCode, resp.Close, len(b.jobs))
	}
	openJob.Done(core.Response{Payload: []byte("x")})
}

// TestShutdownOrder checks the order of a shutdown: it is not ready at once, new connections are served for a while, and requests
// accepted before are finished before Stop returns.
func TestShutdownOrder(t *testing.T) {
	s, b, addr := newFront(t, 64)
	ready := "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
	if resp, _, _ := sendRequest(t, addr, ready); resp.StatusCode != 200 {
		t.Fatalf("ready: %d", resp.StatusCode)
	}
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		if resp, body, _ := sendRequest(t, addr, validRequest); resp.StatusCode != 200 || body != "late" {
			t.Errorf("accepted before the shutdown: %d, %q", resp.StatusCode, body)
		}
	}()
	j := <-b.jobs
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for s.stoppedAt.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	resp, _, keptConn := sendRequest(t, addr, ready)
	if resp.StatusCode != 503 {
		t.Errorf("ready during the shutdown: %d", resp.StatusCode)
	}
	time.Sleep(testSchedule.AcceptFor + 100*time.Millisecond)
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("still accepting after AcceptFor")
	}
	// A client that has a connection is served on it, with the timeout limited to the time that is left.
	served := make(chan time.Duration, 1)
	go func() {
		j := <-b.jobs
		served <- j.Timeout
		j.Done(core.Response{Payload: []byte("kept")})
	}()
	if resp, body, _ := roundTrip(t, keptConn, strings.Replace(validRequest, "480", "9999", 1)); resp.StatusCode != 200 || body != "kept" {
		t.Errorf("on an existing connection: %d, %q", resp.StatusCode, body)
	}
	if p := <-served; p > testSchedule.RespondWithin-testSchedule.AcceptFor {
		t.Errorf("its timeout is %v, beyond the shutdown", p)
	}
	select {
	case <-stopped: //nolint:errcheck // that it has not returned is what is tested
		t.Error("Stop returned with a request open")
	case <-time.After(testSchedule.ServeFor):
	}
	j.Done(core.Response{Payload: []byte("late")})
	wait.Wait()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestNotReadyWithoutTargetList checks that the front is not ready before there is a list of targets.
func TestNotReadyWithoutTargetList(t *testing.T) {
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

// TestTruncatedIOInfo parses truncated IO-Info headers and garbage: whatever is accepted has all four fields in range.
func TestTruncatedIOInfo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=%d", rapid.Uint64().Draw(t, "v"),
			rapid.IntRange(1, 8).Draw(t, "u"), rapid.IntRange(-1, 9).Draw(t, "s"), rapid.IntRange(1, 9).Draw(t, "h"))
		if _, err := parseIOInfo(whole); err != nil {
			t.Fatalf("%q: %v", whole, err)
		}
		if cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut"); cut < strings.LastIndexByte(whole, '=') {
			if q, err := parseIOInfo(whole[:cut]); err == nil {
				t.Fatalf("%q passed as %+v", whole[:cut], q)
			}
		}
		garbage := rapid.StringMatching(`[a-z=,0-9.\-]{0,60}`).Draw(t, "garbage")
		if q, err := parseIOInfo(garbage); err == nil && (len(q.Volume) != 16 || q.Units < 0 || q.Shard < -1) {
			t.Fatalf("%q passed as %+v", garbage, q)
		}
	})
}

// TestSlowRequestsAreNotEvicted guards real clients that take 2 s to write their request, among many that begin one and stop: as
// long as bytes of their requests keep arriving, the others are evicted.
func TestSlowRequestsAreNotEvicted(t *testing.T) {
	_, b, addr := newFront(t, 8)
	go func() {
		for j := range b.jobs {
			j.Done(core.Response{Payload: []byte("x")})
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
			for part := range slices.Chunk([]byte(validRequest), len(validRequest)/9) {
				_, _ = c.Write(part)
				time.Sleep(stalledTimeout / 6)
			}
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
				t.Errorf("written slowly: %+v, %v", resp, err)
			}
		})
	}
	time.Sleep(stalledTimeout / 2) // the slow requests have begun
	for range 40 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, validHead)
		time.Sleep(stalledTimeout / 24)
	}
	wait.Wait()
}

// TestHandOver shuts down after a handover to a successor on the same socket: nothing more is accepted, an idle connection is
// closed without a reset, one with an open request is closed after its response, and a new one has its request served.
func TestHandOver(t *testing.T) {
	s, b, addr := newFront(t, 64)
	go func() { (<-b.jobs).Done(core.Response{Payload: []byte("x")}) }()
	_, _, idle := sendRequest(t, addr, validRequest)
	connect := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
	busy, fresh := connect(), connect()
	_, _ = io.WriteString(busy, validRequest)
	openJob := <-b.jobs
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
		t.Error("still accepting after the handover")
	}
	for c, j := range map[net.Conn]func() *core.Job{busy: func() *core.Job { return openJob }, fresh: func() *core.Job { _, _ = io.WriteString(fresh, validRequest); return <-b.jobs }} {
		j().Done(core.Response{Payload: []byte("x")})
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 || !resp.Close {
			t.Errorf("a request during the handover: %+v, %v; want it served, and the connection closed", resp, err)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestMetricsCountEachRequest checks that each request is counted once, however it ends, and none as open afterwards: served,
// rejected, failed, invalid, without buffer budget, and cancelled by its client.
func TestMetricsCountEachRequest(t *testing.T) {
	s, b, addr := newFront(t, 64)
	for _, status := range []core.Status{core.Served, core.Rejected, core.Failed, core.Conflict} {
		go func() { (<-b.jobs).Done(core.Response{Status: status, Payload: []byte("x")}) }()
		sendRequest(t, addr, validRequest)
	}
	sendRequest(t, addr, strings.Replace(validRequest, "std", "odd", 1))
	sendRequest(t, addr, strings.Replace(validRequest, "/put/", "/odd/", 1))
	closedConn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(closedConn, validRequest)
	<-b.jobs
	if got := string(metrics.Render(s.opt.Metrics.EmitMetrics)); !strings.Contains(got, "concurrent:1|") {
		t.Errorf("with one open:\n%s", got)
	}
	closedConn.Close()
	<-b.cancelled
	s.opt.BufferBudget.Release(-testBufferBudget) // also what the cancelled request still holds: that is returned only after its cancellation
	if resp, _, _ := sendRequest(t, addr, validRequest); resp.StatusCode != 503 {
		t.Errorf("without buffer budget: %d", resp.StatusCode)
	}
	want := []string{"put.success:1|", "put.overload:2|", "put.error:4|", "get.error:0|", "concurrent:0|"}
	require.EventuallyWithT(t, func(t *assert.CollectT) {
		got := string(metrics.Render(s.opt.Metrics.EmitMetrics))
		for _, w := range want {
			assert.Contains(t, got, w)
		}
	}, 20*time.Second, time.Millisecond)
}

// TestRequestsUntilKilled has clients send one request after another on every connection that stays open, from SIGTERM until the process
// would be killed: each request has a complete response in time, or its connection was closed without a reset before the request
// was written.
func TestRequestsUntilKilled(t *testing.T) { //nolint:gocognit // one scenario in sequence
	s, b, addr := newFront(t, 64)
	killAfter := testSchedule.RespondWithin + 100*time.Millisecond
	go func() {
		for j := range b.jobs {
			time.AfterFunc(5*time.Millisecond, func() { j.Done(core.Response{Payload: []byte("ok")}) })
		}
	}()
	var clients sync.WaitGroup
	var truncated, answered, crossed, early, reset atomic.Int64
	var stoppedAt atomic.Pointer[time.Time]
	started := make(chan bool, 12)
	for i := range cap(started) {
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
					started <- true
				}
				time.Sleep(time.Duration(i) * time.Millisecond)
				if _, err := io.WriteString(c, validRequest); err != nil {
					return // the connection was closed before
				}
				resp, err := http.ReadResponse(in, nil)
				if errors.Is(err, syscall.ECONNRESET) {
					reset.Add(1)
				}
				if err != nil {
					// A request may cross the close of its connection: clients retry it elsewhere.
					crossed.Add(1)
					if at := stoppedAt.Load(); at == nil || time.Since(*at) < testSchedule.ServeFor {
						early.Add(1)
					}
					return
				}
				if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
					truncated.Add(1)
					return
				}
				answered.Add(1)
				if resp.Close {
					return
				}
			}
		})
	}
	for range cap(started) {
		<-started
	}
	now := time.Now()
	stoppedAt.Store(&now)
	if err := s.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if took := time.Since(now); took > killAfter {
		t.Errorf("Stop returned %v after SIGTERM, but the process may be killed after %v", took, killAfter)
	}
	clients.Wait()
	t.Logf("%d answered, %d crossed the close of their connection", answered.Load(), crossed.Load())
	require.Zero(t, reset.Load(), "connections reset")
	if truncated.Load() > 0 || early.Load() > 0 || answered.Load() < 100 {
		t.Errorf("%d responses truncated, %d connections closed early, %d responses complete", truncated.Load(), early.Load(), answered.Load())
	}
}
