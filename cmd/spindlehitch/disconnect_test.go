package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recordingTarget is a target that records the ids of the requests it received in full and of those cut short.
type recordingTarget struct {
	mu                sync.Mutex
	complete, partial []string    // guarded by mu
	started           chan string // request ids as heads arrive, and "ended" when a response is abandoned; never closed
	release           chan bool   // each value lets one "slow" or "stalled" request continue; never closed
}

func (s *recordingTarget) record(id string, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if complete {
		s.complete = append(s.complete, id)
	} else {
		s.partial = append(s.partial, id)
	}
}

func (s *recordingTarget) requests() (complete, partial []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.complete...), append([]string{}, s.partial...)
}

func (s *recordingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.started <- id
	if strings.HasPrefix(id, "stalled") {
		<-s.release
	}
	_, err := io.Copy(io.Discard, r.Body)
	s.record(id, err == nil)
	switch {
	case strings.HasPrefix(id, "slow"):
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	case id == "stuck": // blocks after the first part of its response
		_, _ = w.Write(make([]byte, 64<<10))
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
		s.started <- "ended"
	case strings.HasPrefix(id, "endless"):
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, 64<<10))
		}
		s.started <- "ended"
	}
	_, _ = io.WriteString(w, "from the target")
}

// TestDisconnectEverywhere has clients disconnect, by sending excess bytes and closing or by a reset, at every stage of a request: held
// without a known target, queued behind others, sent to the target, partly received, partly forwarded, and during the response. What the
// request waited for happens only after the initiator could detect the disconnect; no request of a disconnected client may start after it.
func TestDisconnectEverywhere(t *testing.T) {
	target := &recordingTarget{started: make(chan string, 256), release: make(chan bool)}
	f := newHandlerFixture(t, target.ServeHTTP)
	discoveryUp := make(chan bool)
	pending := newHandlerFixture(t, target.ServeHTTP)
	proxy, err := net.Listen("tcp", "127.0.0.1:0") // forwards to discovery after discoveryUp is closed
	require.NoError(t, err)
	defer proxy.Close()
	discovery := pending.discovery
	pending.discovery = proxy.Addr().String()
	go func() {
		<-discoveryUp
		for {
			c, err := proxy.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", discovery)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(d, c); d.Close() }()
			go func() { _, _ = io.Copy(c, d); c.Close() }()
		}
	}()
	startCounted := func(f *fixture) (waitOpen func(int)) {
		control := freeAddr(t)
		startInstance(t, strings.Replace(f.config(), `"settings":`, fmt.Sprintf(`"control":%q,"settings":`, control), 1))
		require.Eventually(t, func() bool { c, err := net.Dial("tcp", f.listen); return err == nil && c.Close() == nil }, 20*time.Second, time.Millisecond)
		return func(want int) {
			t.Helper()
			require.Eventually(t, func() bool {
				resp, err := http.Get("http://" + control + "/v1/metrics")
				require.NoError(t, err)
				defer resp.Body.Close()
				text, _ := io.ReadAll(resp.Body)
				return strings.Contains(string(text), fmt.Sprintf("concurrent:%d|", want))
			}, 5*time.Second, time.Millisecond, "number of open requests is not %d", want)
		}
	}
	send := func(f *fixture, id, rest string) *net.TCPConn {
		c, err := net.Dial("tcp", f.listen)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		method := "PUT"
		if rest == "" {
			method, rest = "GET", "\r\n"
		}
		fmt.Fprintf(c, "%s /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nRequest-Id: %s\r\n%s%s", method, id, requestHeaders, rest)
		return c.(*net.TCPConn)
	}
	floodAndClose := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, strings.Repeat("x", 200<<10))
		c.Close()
	}
	reset := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	nextStarted := func() string {
		select {
		case id := <-target.started:
			return id
		case <-time.After(20 * time.Second):
			t.Fatal("no request reached the target")
			return ""
		}
	}

	// Held: no target is known yet.
	waitOpen := startCounted(pending)
	for i, disconnect := range []func(*net.TCPConn){floodAndClose, reset} {
		c := send(pending, fmt.Sprint("held", i), "")
		waitOpen(1)
		disconnect(c)
		waitOpen(0)
	}
	close(discoveryUp)
	waitReady(t, "http://"+pending.listen+"/-/ready")
	send(pending, "after", "")
	require.Equal(t, "after", nextStarted())

	// Queued behind others, and sent to the target.
	waitOpen = startCounted(f)
	waitReady(t, "http://"+f.listen+"/-/ready")
	var conns []*net.TCPConn
	for i := range 40 {
		conns = append(conns, send(f, fmt.Sprint("slow", i), ""))
	}
	nextStarted()
	waitOpen(len(conns))
	for _, c := range conns {
		floodAndClose(c)
	}
	waitOpen(0)
	complete, _ := target.requests()
	require.Less(t, len(complete), 40, "no request was queued")

	// Body partly received.
	reset(send(f, "half", "Content-Length: 9\r\n\r\nbo"))
	// Body partly forwarded: the target reads only the head until the client has disconnected.
	for _, disconnect := range []func(*net.TCPConn){reset, func(c *net.TCPConn) { c.Close() }} {
		c := send(f, "stalled", "Content-Length: 90000\r\n\r\n"+strings.Repeat("x", 80000))
		for nextStarted() != "stalled" {
		}
		disconnect(c)
		target.release <- true
		require.Eventually(t, func() bool {
			_, partial := target.requests()
			return len(partial) > 0 && partial[len(partial)-1] == "stalled"
		}, 20*time.Second, time.Millisecond)
	}
	// During the response: one that the target keeps sending, and one that the target stalls.
	for _, id := range []string{"endless", "stuck"} {
		c := send(f, id, "")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_, _ = io.CopyN(io.Discard, resp.Body, 32<<10)
		reset(c)
		waitOpen(0) // well before the attempt at the target times out
		for nextStarted() != "ended" {
		}
	}

	send(f, "sentinel", "")
	for nextStarted() != "sentinel" {
	}
	completed, partial := target.requests()
	require.Equal(t, append(complete, "endless", "stuck", "sentinel"), completed)
	require.NotContains(t, partial, "half")
}
