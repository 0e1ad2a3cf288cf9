//go:build review

// Command foreign plays case 1: a target sends one large answer a second time, some milliseconds late.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"spindlehitch/review/standin"
)

const (
	targets  = 2
	size     = 100_000               // bytes of an answer; up to 32 MB occur
	late     = 5 * time.Millisecond  // the second copy
	requests = 40                    // of each client, one after the other
	spoilt   = 20                    // the answer of target 0, counted from 1, that has the second copy
	clients  = 4                     // two of each target
	work     = 50 * time.Millisecond // of a history-export: 40 to 64 ms
)

func main() { standin.Run(100*time.Second, play) }

// answerTo is the answer made for a request.
func answerTo(id string) string { return strings.Repeat("data of "+id+"\n", size/25) }

// target is a storage node. It answers the requests of a connection one after the other.
type target struct {
	c     *standin.Case
	cell  int
	mu    sync.Mutex
	count int // answers sent
}

func (t *target) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		time.Sleep(work)
		body := answerTo(id)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Load: concurrent=1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		t.mu.Lock()
		t.count++
		again := t.c.Trouble && t.cell == 0 && t.count == spoilt
		t.mu.Unlock()
		if again {
			time.Sleep(late) // it has read no other request on this connection
			t.c.Log("target %d: sends the answer to id %s once more, %v late", t.cell, id, late)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
}

func play(c *standin.Case) bool {
	var entries []standin.Entry
	for cell := range targets {
		l, err := net.Listen("tcp", c.FreeAddrs(1)[0])
		c.Must(err)
		t := &target{c: c, cell: cell}
		entries = append(entries, standin.Entry{ID: fmt.Sprintf("s-%08x", 0x5be2a07c+cell), Addr: l.Addr().String(), Zone: "pavillon-a", Kind: "node-std", Cell: cell, State: "SERVING", Weight: 1})
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go t.serve(conn)
			}
		}()
	}
	discovery := c.Discovery(entries...)
	addr := c.FreeAddrs(1)[0]
	config := c.Write("config.json", fmt.Sprintf(`{"name":"n3","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`,
		addr, discovery.Addr, standin.Settings(1, "standard")))
	c.Start("initiator", c.DeployCommand("run"), []string{"PROXY_CONFIG=" + config})
	c.WaitFor("the initiator is ready", 30*time.Second, func() bool { return standin.StatusOf("http://"+addr+"/-/ready") == 200 })
	var mu sync.Mutex // guards the counts
	var served, other, foreign [targets]int
	var done sync.WaitGroup
	for client := range clients {
		done.Go(func() {
			conn, cell := (*standin.Conn)(nil), client%targets
			for n := range requests {
				if conn == nil {
					var err error
					if conn, err = standin.Dial(addr); err != nil {
						c.Log("client %d: %v", client, err)
						return
					}
				}
				id := fmt.Sprintf("9b1f03aa5c%02x%04x", client, n)
				status, body, err := conn.Do(standin.Request{Method: "GET", Class: "history-export", Key: fmt.Sprintf("7f3a9c21e0%02x%04x", client, n), ID: id, Plan: "standard",
					Volume: fmt.Sprintf("%016x", client+1), Units: 4, Shard: cell, TimeoutMs: 2500})
				mu.Lock()
				switch {
				case status == 200 && err == nil && body == answerTo(id):
					served[cell]++
				case status == 200 && err == nil:
					foreign[cell]++
					c.Log("client %d: asked shard %d for id %s, and got 200 with %d bytes that begin %.24q", client, cell, id, len(body), body)
				default:
					other[cell]++
					c.Log("client %d: asked shard %d for id %s: status %d, error %v", client, cell, id, status, err)
					conn.Close()
					conn = nil
				}
				mu.Unlock()
			}
		})
	}
	done.Wait()
	wrong := 0
	for cell := range targets {
		c.Log("result: shard %d: %d answers served, %d refused or failed, %d with the data of another request", cell, served[cell], other[cell], foreign[cell])
		wrong += foreign[cell]
	}
	if served[0] == 0 {
		c.Fail("nothing was served")
	}
	return wrong > 0
}
