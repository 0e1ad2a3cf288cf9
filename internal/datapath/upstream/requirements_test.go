package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// TestLateDuplicateAnswer lets a target send each answer again some milliseconds later, when the connection is idle or has just been taken
// for another request. After the first duplicate, which arrives while the connection is idle, none is taken for the next request's answer.
func TestLateDuplicateAnswer(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			firstDuplicate := make(chan struct{}) // closed by the target once it has written the first duplicate
			s := newFakeTarget(t, func(n int32, _ *http.Request, c net.Conn) bool {
				body := fmt.Sprint("answer ", n)
				respond(c, "200 OK", body)
				go func() {
					time.Sleep(delay)
					if respond(c, "200 OK", body) && n == 1 {
						close(firstDuplicate)
					}
				}()
				time.Sleep(2 * time.Millisecond) // the processing time of a request
				return true
			})
			b := newHarnessWith(s.Addr().String(), Options{MaxConnsPerTarget: 40, MaxConnsTotal: 40, ReuseDelay: 60 * time.Millisecond})
			for i := range 30 {
				b.send(10 * time.Second)
				r := b.result(t)
				require.Equal(t, policy.Served, r.Code)
				require.Equal(t, fmt.Sprint("answer ", s.requests.Load()), string(r.Payload.([]byte)))
				if i == 0 {
					select {
					case <-firstDuplicate:
					case <-time.After(10 * time.Second):
						require.Fail(t, "the target has not written the first duplicate")
					}
				}
				time.Sleep(time.Duration(i%3) * delay / 4)
			}
		})
	}
}

// TestReuseWithoutDelay checks that a target without duplicate answers has its connection reused at once, whatever ReuseDelay is, if its
// answers differ, and after DuplicateWindow if they are alike.
func TestReuseWithoutDelay(t *testing.T) {
	for _, alike := range []bool{false, true} {
		s := newFakeTarget(t, func(n int32, _ *http.Request, c net.Conn) bool {
			if alike {
				n = 0
			}
			return respond(c, "200 OK", fmt.Sprint("once ", n))
		})
		opt := Options{MaxConnsPerTarget: 40, MaxConnsTotal: 40, ReuseDelay: time.Hour}
		if alike {
			opt.ReuseDelay = DuplicateWindow
		}
		b := newHarnessWith(s.Addr().String(), opt)
		for range 20 {
			b.send(10 * time.Second)
			require.Equal(t, policy.Served, b.result(t).Code)
			if alike {
				time.Sleep(DuplicateWindow + 10*time.Millisecond)
			}
		}
		require.EqualValues(t, 1, s.accepted.Load(), "alike: %v", alike)
	}
}

// TestResetIsNotEndOfBody resets the connection during an answer without a length: however much of it has arrived, it does not count as
// complete, neither buffered nor streamed.
func TestResetIsNotEndOfBody(t *testing.T) {
	for _, size := range []int{0, 1, 200, bufferSize - 1, 3 * bufferSize} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			s := newFakeTarget(t, func(_ int32, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size))
				c.(*net.TCPConn).SetLinger(0) // written data is read before the reset
				return false
			})
			b := newHarness(s.Addr().String())
			b.send(10 * time.Second)
			r := b.result(t)
			if st, passed := r.Payload.(*Stream); passed {
				_, err := io.Copy(io.Discard, st)
				require.Error(t, err)
				return
			}
			require.Equal(t, policy.ConnectionReset, r.Code)
		})
	}
}

// TestIdempotencyKeyIsForwarded checks that targets get a request's key as its client wrote it, with and without an upload.
func TestIdempotencyKeyIsForwarded(t *testing.T) {
	for _, key := range []string{"", `a 7="x"`} {
		received := make(chan []string, 1)
		s := newFakeTarget(t, func(_ int32, r *http.Request, c net.Conn) bool {
			received <- r.Header.Values("Idempotency-Key")
			return respond(c, "200 OK", "done")
		})
		b := newHarness(s.Addr().String())
		m := &Request{Method: "PUT", URI: "/w/1", ID: "id", IdempotencyKey: key}
		u, err := b.StartUpload(context.Background(), "n", m, 4, time.Second)
		require.NoError(t, err)
		u.HoldLastPiece([]byte("body"))
		for i, m := range []*Request{m, {Upload: u}} {
			b.Send(core.Attempt{RequestID: fmt.Sprint(i), Target: "n", Deadline: time.Now().Add(10 * time.Second), Payload: m})
			require.Equal(t, policy.Served, b.result(t).Code)
			if got := <-received; key == "" {
				require.Empty(t, got)
			} else {
				require.Equal(t, []string{key}, got)
			}
		}
	}
}

// TestTargetKilledBeforeAccept kills a target whose machine has completed connections that it has not accepted, and while an accepted one
// carries a request. A completely written request may have run and ends as a reset at once; a later one, which cannot connect, cannot have
// run. Each attempt has one result, no connection stays counted, and a new process at the same address is reached by a new connection.
func TestTargetKilledBeforeAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	b := newHarnessWith(addr, Options{MaxConnsPerTarget: 8, MaxConnsTotal: 8})
	sent := make(chan bool, 8)
	b.Apply(nil, true)
	b.opt.OnSent = func() { sent <- true }
	b.Apply([]Target{{ID: "n", Addr: addr}}, true)
	for range 4 {
		b.send(20 * time.Second)
		<-sent // the target's machine has received it
	}
	c, err := l.Accept()
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 10)) // closing with unread data sends a reset
	require.NoError(t, err)
	began := time.Now()
	l.Close()
	c.Close()
	for range 4 {
		require.Equal(t, policy.ConnectionReset, b.result(t).Code)
	}
	require.Less(t, time.Since(began), 10*time.Second, "waited until the deadline")
	b.send(20 * time.Second)
	require.Equal(t, policy.NotConnected, b.result(t).Code)
	require.Eventually(t, func() bool { return b.limits.open.Load() == 0 }, 20*time.Second, time.Millisecond)
	l, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	defer l.Close()
	b.send(20 * time.Second)
	c, err = l.Accept()
	require.NoError(t, err)
	defer c.Close()
	<-sent
	respond(c, "200 OK", "")
	require.Equal(t, policy.Served, b.result(t).Code)
	require.Empty(t, b.results)
}

// TestRequestTimeoutHeader delays the dial of first and further attempts: Request-Timeout-Ms is the time left at the write, not at the
// decision to send.
func TestRequestTimeoutHeader(t *testing.T) {
	timeouts := make(chan string, 1)
	s := newFakeTarget(t, func(_ int32, r *http.Request, c net.Conn) bool {
		timeouts <- r.Header.Get("Request-Timeout-Ms")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") // so that each attempt dials
		return false
	})
	b, h := newBlockingHarness(s.Addr().String(), Options{MaxConnsPerTarget: 4, MaxConnsTotal: 4})
	for number := range 3 {
		until := time.Now().Add(10 * time.Second)
		b.Send(core.Attempt{RequestID: "r", Number: number, Target: "n", Deadline: until, Payload: &Request{Method: "GET", URI: "/r/1", ID: "id"}})
		d := h.nextDial(t)
		time.Sleep(30 * time.Millisecond)
		up := time.Now()
		close(d.proceed)
		ms, err := strconv.Atoi(<-timeouts)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Duration(ms)*time.Millisecond, until.Sub(up))
		require.Positive(t, ms)
		require.Equal(t, policy.Served, b.result(t).Code)
	}
}
