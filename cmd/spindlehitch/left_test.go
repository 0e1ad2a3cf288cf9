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

// sight is a target that notes which requests have come to it whole, and which not.
type sight struct {
	mu          sync.Mutex
	whole, part []string
	begun       chan string // each request, with its head
	release     chan bool
}

func (s *sight) saw(id string, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		s.whole = append(s.whole, id)
	} else {
		s.part = append(s.part, id)
	}
}

func (s *sight) seen() (whole, part []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.whole...), append([]string{}, s.part...)
}

func (s *sight) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.begun <- id
	if strings.HasPrefix(id, "stalled") {
		<-s.release
	}
	_, err := io.Copy(io.Discard, r.Body)
	s.saw(id, err == nil)
	switch {
	case strings.HasPrefix(id, "slow"):
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	case id == "stuck": // after the first of its answer
		_, _ = w.Write(make([]byte, 64<<10))
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
		s.begun <- "ended"
	case strings.HasPrefix(id, "endless"):
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, 64<<10))
		}
		s.begun <- "ended"
	}
	_, _ = io.WriteString(w, "from the target")
}

// TestLeftEverywhere has clients send more than their request and go, or be reset, wherever their requests are: held for want of a
// target, waiting behind others, out at the target, half here, half on their way there, or with an answer that passes through. Only
// when the initiator has had its time to hear of it is what they waited for let happen: nothing of theirs begins any more.
func TestLeftEverywhere(t *testing.T) {
	s := &sight{begun: make(chan string, 256), release: make(chan bool)}
	w := largeWorld(t, s.ServeHTTP)
	listed := make(chan bool)
	held := largeWorld(t, s.ServeHTTP)
	relay, err := net.Listen("tcp", "127.0.0.1:0") // discovery, once it is up
	require.NoError(t, err)
	defer relay.Close()
	discovery := held.discovery
	held.discovery = relay.Addr().String()
	go func() {
		<-listed
		for {
			c, err := relay.Accept()
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
	begin := func(w *world) (open func(int)) {
		control := freeAddr(t)
		start(t, strings.Replace(w.config(), `"settings":`, fmt.Sprintf(`"control":%q,"settings":`, control), 1))
		require.Eventually(t, func() bool { c, err := net.Dial("tcp", w.listen); return err == nil && c.Close() == nil }, 20*time.Second, time.Millisecond)
		return func(want int) {
			t.Helper()
			require.Eventually(t, func() bool {
				resp, err := http.Get("http://" + control + "/v1/metrics")
				require.NoError(t, err)
				defer resp.Body.Close()
				text, _ := io.ReadAll(resp.Body)
				return strings.Contains(string(text), fmt.Sprintf("concurrent:%d|", want))
			}, 5*time.Second, time.Millisecond, "not %d requests are open", want)
		}
	}
	ask := func(w *world, id, rest string) *net.TCPConn {
		c, err := net.Dial("tcp", w.listen)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		method := "PUT"
		if rest == "" {
			method, rest = "GET", "\r\n"
		}
		fmt.Fprintf(c, "%s /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nRequest-Id: %s\r\n%s%s", method, id, largeHead, rest)
		return c.(*net.TCPConn)
	}
	flood := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, strings.Repeat("x", 200<<10))
		c.Close()
	}
	reset := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	next := func() string {
		select {
		case id := <-s.begun:
			return id
		case <-time.After(20 * time.Second):
			t.Fatal("nothing came to the target")
			return ""
		}
	}

	// Held: no target is known yet.
	open := begin(held)
	for i, leave := range []func(*net.TCPConn){flood, reset} {
		c := ask(held, fmt.Sprint("held", i), "")
		open(1)
		leave(c)
		open(0)
	}
	close(listed)
	ready(t, "http://"+held.listen+"/-/ready")
	ask(held, "after", "")
	require.Equal(t, "after", next())

	// Behind others, and out at the target.
	open = begin(w)
	ready(t, "http://"+w.listen+"/-/ready")
	var all []*net.TCPConn
	for i := range 40 {
		all = append(all, ask(w, fmt.Sprint("slow", i), ""))
	}
	next()
	open(len(all))
	for _, c := range all {
		flood(c)
	}
	open(0)
	whole, _ := s.seen()
	require.Less(t, len(whole), 40, "none waited")

	// Half here.
	reset(ask(w, "half", "Content-Length: 9\r\n\r\nbo"))
	// On its way: the target reads no more than the head until the client is gone.
	for _, leave := range []func(*net.TCPConn){reset, func(c *net.TCPConn) { c.Close() }} {
		c := ask(w, "stalled", "Content-Length: 90000\r\n\r\n"+strings.Repeat("x", 80000))
		for next() != "stalled" {
		}
		leave(c)
		s.release <- true
		require.Eventually(t, func() bool { _, part := s.seen(); return len(part) > 0 && part[len(part)-1] == "stalled" }, 20*time.Second, time.Millisecond)
	}
	// With its answer passing through, and stuck on its way.
	for _, id := range []string{"endless", "stuck"} {
		c := ask(w, id, "")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		_, _ = io.CopyN(io.Discard, resp.Body, 32<<10)
		reset(c)
		open(0) // well before the target is given up
		for next() != "ended" {
		}
	}

	ask(w, "sentinel", "")
	for next() != "sentinel" {
	}
	after, part := s.seen()
	require.Equal(t, append(whole, "endless", "stuck", "sentinel"), after)
	require.NotContains(t, part, "half")
}
