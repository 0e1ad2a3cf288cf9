package control

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func start(t *testing.T, ready func() bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{Ready: ready, Metrics: func() []byte { return []byte("edge_proxy.concurrent:0|g\n") }, Log: slog.New(slog.DiscardHandler)})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func call(t *testing.T, addr, raw string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, raw)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%q: %v", raw, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !resp.Close {
		t.Errorf("%q: closes %v, %v; want one request per connection", raw, resp.Close, err)
	}
	return resp.StatusCode, string(body)
}

// TestRequestStatus sends valid requests, requests for unknown paths and methods, and a malformed one, and checks their status.
func TestRequestStatus(t *testing.T) {
	var ready atomic.Bool
	addr := start(t, ready.Load)
	for _, c := range []struct {
		raw    string
		status int
	}{
		{"GET /v1/metrics HTTP/1.1\r\nHost: a\r\n\r\n", 200},
		{"GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n", 503},
		{"GET /v1/other HTTP/1.1\r\nHost: a\r\n\r\n", 404},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404},
		{"POST /v1/metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 405},
		{"nonsense\r\n\r\n", 400},
	} {
		if got, _ := call(t, addr, c.raw); got != c.status {
			t.Errorf("%q: %d, want %d", c.raw, got, c.status)
		}
	}
	ready.Store(true)
	if got, _ := call(t, addr, "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n"); got != 200 {
		t.Errorf("ready: %d", got)
	}
}

// TestIncompleteRequestsDoNotBlockOthers opens four times MaxConnections connections, half of them idle and half with an
// incomplete request: a complete request is still served within a second.
func TestIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	addr := start(t, func() bool { return true })
	for i := range 4 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			_, _ = io.WriteString(c, "GET /v1/metr")
		}
		if i%MaxConnections != 0 {
			continue
		}
		started := time.Now()
		status, body := call(t, addr, "GET /v1/metrics HTTP/1.1\r\nHost: a\r\n\r\n")
		if took := time.Since(started); status != 200 || !strings.Contains(body, "|g") || took > time.Second {
			t.Errorf("with %d connections without a complete request: %d, %q after %v", i+1, status, body, took)
		}
	}
}
