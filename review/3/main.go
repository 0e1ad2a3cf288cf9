//go:build review

// Command hungbody plays case 3: a target hangs while a large body is on its way to it.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"spindlehitch/review/standin"
)

const (
	targets  = 4
	hung     = 3                       // the shard whose target hangs
	size     = 5_000_000               // bytes of a body; up to 32 MB occur
	deadline = 1200 * time.Millisecond // of event-write
	slack    = 500 * time.Millisecond  // a later answer is lost
)

func main() { standin.Run(100*time.Second, play) }

func play(c *standin.Case) bool {
	var hangs atomic.Bool
	var entries []standin.Entry
	for cell := range targets {
		l, err := net.Listen("tcp", c.FreeAddrs(1)[0])
		c.Must(err)
		entries = append(entries, standin.Entry{ID: fmt.Sprintf("s-%08x", 0x5be2a07c+cell), Addr: l.Addr().String(), Zone: "pavillon-a", Kind: "node-std", Cell: cell, State: "SERVING", Weight: 1})
		go func() {
			_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for cell == hung && hangs.Load() { // it has the head and reads no further
					time.Sleep(10 * time.Millisecond)
				}
				n, err := io.Copy(io.Discard, r.Body)
				if err != nil {
					c.Log("target %d: %s id %s did not arrive whole, %d bytes: %v", cell, r.Method, r.Header.Get("Request-Id"), n, err)
					return
				}
				c.Log("target %d: runs %s id %s, %d bytes", cell, r.Method, r.Header.Get("Request-Id"), n)
				time.Sleep(30 * time.Millisecond)
				w.Header().Set("Server-Load", "concurrent=1")
				fmt.Fprint(w, "done ", r.Header.Get("Request-Id"))
			}))
		}()
	}
	discovery := c.Discovery(entries...)
	addr := c.FreeAddrs(1)[0]
	config := c.Write("config.json", fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`,
		addr, discovery.Addr, standin.Settings(1, "standard")))
	initiator := c.Start("initiator", c.DeployCommand("run"), []string{"PROXY_CONFIG=" + config})
	c.WaitFor("the initiator is ready", 30*time.Second, func() bool { return standin.StatusOf("http://"+addr+"/-/ready") == 200 })

	// write sends an event-write and waits for its answer until it is lost. It reports whether it was answered in time.
	write := func(id string, shard, size int) bool {
		conn, err := net.Dial("tcp", addr)
		c.Must(err)
		defer conn.Close()
		began := time.Now()
		_, err = fmt.Fprintf(conn, "PUT /event-write/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\nTier: standard\r\nRequest-Timeout-Ms: %d\r\nIO-Info: volume=00000003b4d60021,units=8,shard=%d,hosts=1\r\nContent-Length: %d\r\n\r\n",
			id, deadline.Milliseconds(), shard, size)
		if err == nil {
			conn.SetWriteDeadline(time.Now().Add(time.Minute))
			_, err = conn.Write(make([]byte, size))
		}
		if err != nil {
			c.Log("client: event-write id %s of %d bytes to shard %d could not be written: %v", id, size, shard, err)
			return true // not taken
		}
		lastByte := time.Now()
		conn.SetReadDeadline(lastByte.Add(deadline + slack))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.Log("client: event-write id %s of %d bytes to shard %d: its last byte was written after %d ms, no answer %d ms after that (deadline %v)",
				id, size, shard, lastByte.Sub(began).Milliseconds(), time.Since(lastByte).Milliseconds(), deadline)
			return false
		}
		if err != nil {
			c.Log("client: event-write id %s of %d bytes to shard %d: no whole answer: %v", id, size, shard, err)
			return false
		}
		c.Log("client: event-write id %s of %d bytes to shard %d: its last byte was written after %d ms, status %d %d ms after that", id, size, shard, lastByte.Sub(began).Milliseconds(), resp.StatusCode, time.Since(lastByte).Milliseconds())
		return true
	}
	for shard := range targets {
		if !write(fmt.Sprintf("9b1f03aa5c7e2d%02x", shard), shard, size) {
			c.Fail("not answered before the disruption")
		}
	}
	if c.Trouble {
		c.Log("target %d hangs, one of %d", hung, targets)
		hangs.Store(true)
	}
	lost := 0
	for n := range 3 {
		if !write(fmt.Sprintf("9b1f03aa5c7e2e%02x", n), hung, 100) {
			c.Log("a small one is lost")
		}
		if !write(fmt.Sprintf("9b1f03aa5c7e2f%02x", n), hung, size) {
			lost++
		}
	}
	hangs.Store(false)
	c.Log("result: %d of 3 large event-writes were taken and not answered %v after their deadline; the initiator runs: %v", lost, slack, !initiator.Ended())
	return lost > 0
}
