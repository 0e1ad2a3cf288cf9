package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	uploadTimeout = 1200 * time.Millisecond // how long the client of an upload waits
	lossSlack     = 500 * time.Millisecond  // a later response is lost
)

// uploadTarget is a target with a small receive buffer that reads bodies as the test says. It counts those that it got whole.
type uploadTarget struct {
	readBody func(io.Reader) error
	whole    atomic.Int32
}

func (u *uploadTarget) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if u.readBody(r.Body) == nil {
		u.whole.Add(1)
		fmt.Fprint(rw, "done")
	}
}

// start returns a fixture whose only target is this one.
func (u *uploadTarget) start(t *testing.T) *fixture {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(u)
	server.Listener.Close()
	server.Listener = l
	server.Start()
	t.Cleanup(server.Close)
	discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(rw, `{"version":1,"full":true,"servers":[{"id":"t","addr":%q,"cell":0,"state":"SERVING"}]}`, l.Addr())
	}))
	t.Cleanup(discovery.Close)
	f := &fixture{listen: freeAddr(t), discovery: strings.TrimPrefix(discovery.URL, "http://")}
	startInstance(t, fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"settings":{"peersTotal":1,"tickUs":2000,
 "classes":[{"name":"event-write","promiseUs":1000000,"deadlineUs":%d,"effect":"side_effect","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8,"writes":[true]},"limits":{"sendCap":3}}}`,
		f.listen, f.discovery, uploadTimeout.Microseconds()))
	waitReady(t, "http://"+f.listen+"/-/ready")
	return f
}

// uploadResult is what a client of an upload sees.
type uploadResult struct {
	status   int           // 0: no whole response
	taken    bool          // its last byte was written
	waited   time.Duration // from the last byte that was written to the response
	received error
}

// upload sends a body in pieces, with a pause after each, and reads the response meanwhile.
func upload(t *testing.T, addr string, chunked bool, size, piece int, pause time.Duration) uploadResult {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err = fmt.Fprintf(conn, "PUT /event-write/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nRequest-Id: u1\r\nTier: base\r\nRequest-Timeout-Ms: %d\r\n"+
		"IO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n%s\r\n\r\n", uploadTimeout.Milliseconds(), framing)
	require.NoError(t, err)
	var taken atomic.Bool
	var lastWriteNanos atomic.Int64 // since began
	began := time.Now()
	go func() {
		data := make([]byte, piece)
		for left := size; left > 0; left -= piece {
			part := string(data[:min(piece, left)])
			if chunked {
				part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
				if left <= piece {
					part += "0\r\n\r\n"
				}
			}
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
			lastWriteNanos.Store(int64(time.Since(began)))
			if left > piece {
				time.Sleep(pause)
			}
		}
		taken.Store(true)
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	result := uploadResult{received: err, taken: taken.Load(), waited: time.Since(began) - time.Duration(lastWriteNanos.Load())}
	if err == nil {
		result.status = resp.StatusCode
	}
	return result
}

// readUntilClosed reads a body's first bytes and then nothing until the connection ends.
func readUntilClosed(first int64) func(io.Reader) error {
	return func(body io.Reader) error {
		if _, err := io.CopyN(io.Discard, body, first); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		_, err := io.Copy(io.Discard, body)
		return err
	}
}

// readSlowly reads a body in pieces with a pause after each.
func readSlowly(piece int64, pause time.Duration) func(io.Reader) error {
	return func(body io.Reader) error {
		for {
			_, err := io.CopyN(io.Discard, body, piece)
			switch {
			case errors.Is(err, io.EOF):
				return nil
			case err != nil:
				return err
			}
			time.Sleep(pause)
		}
	}
}

// TestLargeBodyToHungTarget guards against a large body that gets no response in its client's time while its target does not read it, or
// only slowly: the front looked at the client's timeout only once the body was through.
func TestLargeBodyToHungTarget(t *testing.T) {
	for _, x := range []struct {
		name     string
		readBody func(io.Reader) error
		chunked  bool
		size     int
	}{
		{"reads nothing", readUntilClosed(0), false, 5_000_000},
		{"reads nothing, chunked", readUntilClosed(0), true, 5_000_000},
		{"hangs midway", readUntilClosed(1 << 20), false, 5_000_000},
		{"reads slowly", readSlowly(64<<10, 50*time.Millisecond), false, 5_000_000},
		{"reads slowly, chunked", readSlowly(64<<10, 50*time.Millisecond), true, 5_000_000},
		{"reads nothing of 32 MB", readUntilClosed(0), false, 32_000_000},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			target := &uploadTarget{readBody: x.readBody}
			f := target.start(t)
			r := upload(t, f.listen, x.chunked, x.size, 256<<10, 0)
			require.NoError(t, r.received)
			require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusBadGateway}, r.status)
			require.Less(t, r.waited, uploadTimeout+lossSlack, "taken: %v, status %d", r.taken, r.status)
			if r.status == http.StatusServiceUnavailable {
				time.Sleep(50 * time.Millisecond)
				require.Zero(t, target.whole.Load(), "rejected, and run")
			}
		})
	}
}

// TestLargeBodyIsNotRejectedEarly checks that large bodies are served whose target resumes in time, or whose client sends for longer than it
// waits for the response.
func TestLargeBodyIsNotRejectedEarly(t *testing.T) {
	resume := func(body io.Reader) error {
		time.Sleep(uploadTimeout / 2)
		_, err := io.Copy(io.Discard, body)
		return err
	}
	for _, x := range []struct {
		name     string
		readBody func(io.Reader) error
		chunked  bool
		size     int
		pause    time.Duration // of the client after each tenth of the body
	}{
		{"the target resumes", resume, false, 5_000_000, 0},
		{"the target resumes, chunked", resume, true, 5_000_000, 0},
		{"a slow client", readSlowly(64<<10, time.Millisecond), false, 1_000_000, uploadTimeout / 5},
		{"a slow client, chunked", readSlowly(64<<10, time.Millisecond), true, 1_000_000, uploadTimeout / 5},
		{"a slow client, the target resumes", resume, false, 1_000_000, uploadTimeout / 5},
		{"32 MB, slowly read", readSlowly(1<<20, 60*time.Millisecond), false, 32_000_000, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			target := &uploadTarget{readBody: x.readBody}
			f := target.start(t)
			r := upload(t, f.listen, x.chunked, x.size, x.size/10, x.pause)
			require.NoError(t, r.received)
			require.Equal(t, http.StatusOK, r.status, "after %v, taken: %v", r.waited, r.taken)
			require.EqualValues(t, 1, target.whole.Load())
		})
	}
}
