//go:build review

// Command cutanswer plays case 3: an upgrade while a large answer is on its way to a client.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"spindlehitch/review/standin"
)

const (
	size      = 17_000_000 // bytes of the answer; up to 32 MB occur
	bytesASec = 2_000_000
	piece     = 16 << 10
)

func main() { standin.Run(100*time.Second, play) }

// slowReader reads at bytesASec.
type slowReader struct {
	io.Reader
	began, last time.Time
	read        int
	longest     time.Duration
}

func (s *slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Until(s.began.Add(time.Duration(s.read) * time.Second / bytesASec)))
	if !s.last.IsZero() {
		s.longest = max(s.longest, time.Since(s.last))
	}
	s.last = time.Now()
	n, err := s.Reader.Read(b[:min(len(b), piece)])
	s.read += n
	return n, err
}

func play(c *standin.Case) bool {
	l, err := net.Listen("tcp", c.FreeAddrs(1)[0])
	c.Must(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.Log("target: runs %s %s id %s", r.Method, r.URL.Path, r.Header.Get("Request-Id"))
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Server-Load", "concurrent=1")
			w.Header().Set("Content-Length", strconv.Itoa(size))
			for sent := 0; sent < size; {
				n, err := w.Write(make([]byte, min(64<<10, size-sent)))
				if sent += n; err != nil {
					c.Log("target: the initiator cut the answer off after %d of %d bytes were sent: %v", sent, size, err)
					return
				}
			}
			c.Log("target: has sent all of the answer")
		}))
	}()
	discovery := c.Discovery(standin.Entry{ID: "s-5be2a07c", Addr: l.Addr().String(), Zone: "pavillon-a", Kind: "node-std", Cell: 0, State: "SERVING", Weight: 1})
	addrs := c.FreeAddrs(3)
	clients, err := net.Listen("tcp", addrs[0]) // the platform holds the clients' socket
	c.Must(err)
	socket, err := clients.(*net.TCPListener).File()
	c.Must(err)
	null, err := os.Open(os.DevNull)
	c.Must(err)
	config := c.Write("config.json", fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`,
		addrs[0], discovery.Addr, standin.Settings(1, "standard")))
	c.Must(os.MkdirAll(c.Path("tmp"), 0o700))
	start := func(name, control string) *standin.Proc {
		return c.Start(name, c.DeployCommand("run"), []string{"PROXY_CONFIG=" + config, "PROXY_CONTROL=" + control, "PROXY_SOCKET_FD=4", "TMPDIR=" + c.Path("tmp")}, null, socket)
	}
	ready := func(control string) bool { return standin.StatusOf("http://"+control+"/v1/readyz") == 200 }
	old := start("old", addrs[1])
	c.WaitFor("the old process is ready", 30*time.Second, func() bool { return ready(addrs[1]) })

	conn, err := net.Dial("tcp", addrs[0])
	c.Must(err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /history-export/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nTier: standard\r\nRequest-Timeout-Ms: 2500\r\nIO-Info: volume=00000003b4d60021,units=8,shard=0,hosts=1\r\n\r\n")
	c.Log("client: sends a history-export, whose answer it reads at %d bytes a second", bytesASec)
	reader := &slowReader{Reader: conn, began: time.Now()}
	resp, err := http.ReadResponse(bufio.NewReaderSize(reader, piece), nil)
	c.Must(err)
	c.Log("client: status %d, a body of %d bytes, after %d ms", resp.StatusCode, resp.ContentLength, time.Since(reader.began).Milliseconds())
	if resp.StatusCode != 200 {
		c.Fail("not served")
	}
	type outcome struct {
		n   int64
		err error
	}
	result := make(chan outcome, 1)
	go func() {
		n, err := io.Copy(struct{ io.Writer }{io.Discard}, resp.Body)
		c.Log("client: has read %d of %d bytes after %.1f s, the longest time between two reads %d ms, error %v", n, size, time.Since(reader.began).Seconds(), reader.longest.Milliseconds(), err)
		result <- outcome{n, err}
	}()
	var got outcome
	if c.Trouble {
		c.Log("upgrade: the new process is started, with the same addresses, the same socket and a new second address")
		start("new", addrs[2])
		c.WaitFor("the new process is ready", 30*time.Second, func() bool { return ready(addrs[2]) })
		yes := time.Now()
		c.Log("upgrade: the new process says yes; SIGTERM is due within 6 s, SIGKILL 3.2 s after that")
		ended := false
		for time.Since(yes) < 5900*time.Millisecond {
			if !ended && old.Ended() {
				ended = true
				c.Log("the old process has ended by itself, %.1f s after the yes, before any signal", time.Since(yes).Seconds())
			}
			time.Sleep(10 * time.Millisecond)
		}
		if !ended {
			old.Signal(syscall.SIGTERM)
			c.WaitFor("SIGKILL is due", 4*time.Second, func() bool { return old.Ended() || time.Since(yes) > 5900*time.Millisecond+3200*time.Millisecond })
			if !old.Ended() {
				old.Signal(syscall.SIGKILL)
			}
		}
	}
	select {
	case got = <-result:
	case <-time.After(60 * time.Second):
		c.Fail("the answer has no end")
	}
	for _, line := range old.LogLines("leav") {
		c.Log("log of the old process: %s", line)
	}
	c.Log("result: whole answer: %v", got.n == size && got.err == nil)
	return got.n != size || got.err != nil
}
