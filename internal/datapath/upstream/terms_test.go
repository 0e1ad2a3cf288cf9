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

// TestLateSecondAnswer has a target answer twice, the second time some milliseconds late, while the connection is idle or has just been
// taken for another request: once it has been heard to do so, the second is never taken for an answer to what comes next. Its first time
// comes while the connection is idle.
func TestLateSecondAnswer(t *testing.T) {
	for _, late := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			s := newStandIn(t, func(n int32, _ *http.Request, c net.Conn) bool {
				body := fmt.Sprint("answer ", n)
				say(c, "200 OK", body)
				go func() {
					time.Sleep(late)
					say(c, "200 OK", body)
				}()
				time.Sleep(2 * time.Millisecond) // a request takes its time
				return true
			})
			b := newBenchThat(s.Addr().String(), Options{MostConn: 40, MostAll: 40, Rest: 60 * time.Millisecond})
			for i := range 30 {
				b.send(10 * time.Second)
				r := b.result(t)
				require.Equal(t, policy.Served, r.Code)
				require.Equal(t, fmt.Sprint("answer ", s.asked.Load()), string(r.Payload.([]byte)))
				if i == 0 {
					time.Sleep(2 * late)
				}
				time.Sleep(time.Duration(i%3) * late / 4)
			}
		})
	}
}

// TestNoRest has a target that answers once: its connection is used again at once, however long connections would rest elsewhere.
func TestNoRest(t *testing.T) {
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "once") })
	b := newBenchThat(s.Addr().String(), Options{MostConn: 40, MostAll: 40, Rest: time.Hour})
	for range 20 {
		b.send(10 * time.Second)
		require.Equal(t, policy.Served, b.result(t).Code)
	}
	require.EqualValues(t, 1, s.accepted.Load())
}

// TestResetIsNoEnd resets a connection under an answer that has no length: however much of it came, it is not whole, neither where it is
// held until its end nor where it is passed on.
func TestResetIsNoEnd(t *testing.T) {
	for _, came := range []int{0, 1, 200, pieceSize - 1, 3 * pieceSize} {
		t.Run(fmt.Sprint(came), func(t *testing.T) {
			s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", came))
				c.(*net.TCPConn).SetLinger(0) // what was written before the reset is read before it
				return false
			})
			b := newBench(s.Addr().String())
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

// TestKeyPassesOn has targets see a request's key as its client wrote it, where the body goes with the head and where it goes ahead.
func TestKeyPassesOn(t *testing.T) {
	for _, key := range []string{"", `a 7="x"`} {
		seen := make(chan []string, 1)
		s := newStandIn(t, func(_ int32, r *http.Request, c net.Conn) bool {
			seen <- r.Header.Values("Idempotency-Key")
			return say(c, "200 OK", "done")
		})
		b := newBench(s.Addr().String())
		m := &Message{Method: "PUT", URI: "/w/1", ID: "id", Key: key}
		u, err := b.Ahead(context.Background(), "n", m, 4, time.Second)
		require.NoError(t, err)
		u.Last([]byte("body"))
		for i, m := range []*Message{m, {Upload: u}} {
			b.Send(core.Attempt{RequestID: fmt.Sprint(i), Target: "n", Deadline: time.Now().Add(10 * time.Second), Payload: m})
			require.Equal(t, policy.Served, b.result(t).Code)
			if got := <-seen; key == "" {
				require.Empty(t, got)
			} else {
				require.Equal(t, []string{key}, got)
			}
		}
	}
}

// TestKilledBehindAccept has a target be killed while the machine still takes connections for it that nobody there accepts, and while one that
// it has accepted brings a request. What was written whole may have run and ends as a reset, at once; what was not cannot have. Each attempt has
// one result, no connection stays counted, and its successor at the same address is reached by a new one.
func TestKilledBehindAccept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	b := newBenchThat(addr, Options{MostConn: 8, MostAll: 8})
	sent := make(chan bool, 8)
	b.Apply(nil, true)
	b.opt.Sent = func() { sent <- true }
	b.Apply([]Target{{ID: "n", Addr: addr}}, true)
	for range 4 {
		b.send(20 * time.Second)
		<-sent // the machine has it
	}
	c, err := l.Accept()
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 10)) // with the rest unread its close is a reset
	require.NoError(t, err)
	began := time.Now()
	l.Close()
	c.Close()
	for range 4 {
		require.Equal(t, policy.ConnectionReset, b.result(t).Code)
	}
	require.Less(t, time.Since(began), 10*time.Second, "waited for until its time was over")
	b.send(20 * time.Second)
	require.Equal(t, policy.NotConnected, b.result(t).Code)
	require.Eventually(t, func() bool { return b.pool.conns.Load() == 0 }, 20*time.Second, time.Millisecond)
	l, err = net.Listen("tcp", addr)
	require.NoError(t, err)
	defer l.Close()
	b.send(20 * time.Second)
	c, err = l.Accept()
	require.NoError(t, err)
	defer c.Close()
	<-sent
	say(c, "200 OK", "")
	require.Equal(t, policy.Served, b.result(t).Code)
	require.Empty(t, b.results)
}

// TestToldTime has connections come up late under first and further attempts: the time that a target is told is what is left of the attempt's
// then, not what there was as it was decided.
func TestToldTime(t *testing.T) {
	told := make(chan string, 1)
	s := newStandIn(t, func(_ int32, r *http.Request, c net.Conn) bool {
		told <- r.Header.Get("Request-Timeout-Ms")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n") // each attempt has a connection of its own
		return false
	})
	b, h := newHeld(s.Addr().String(), Options{MostConn: 4, MostAll: 4})
	for number := range 3 {
		until := time.Now().Add(10 * time.Second)
		b.Send(core.Attempt{RequestID: "r", Number: number, Target: "n", Deadline: until, Payload: &Message{Method: "GET", URI: "/r/1", ID: "id"}})
		d := h.next(t)
		time.Sleep(30 * time.Millisecond)
		up := time.Now()
		close(d.up)
		ms, err := strconv.Atoi(<-told)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Duration(ms)*time.Millisecond, until.Sub(up))
		require.Positive(t, ms)
		require.Equal(t, policy.Served, b.result(t).Code)
	}
}
