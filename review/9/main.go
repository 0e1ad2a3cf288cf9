// Case 9: clients send many requests at once on a connection. At a planned restart the initiator ends such connections after one more
// answer: the requests behind it, which it has read, are never answered.
package main

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"spindlehitch/review/lab"
)

const (
	atOnce  = 6 // requests that a client sends at once
	clients = 4
)

// batch sends requests at once on a connection, all in one write, and reads the answers. It returns how many whole answers came, and why
// not all of them.
func batch(l *lab.Lab, c net.Conn, in *bufio.Reader, addr string, client int) (answered int, ids []string, err error) {
	var raw bytes.Buffer
	var requests []*http.Request
	for i := range atOnce {
		q := lab.Request{Class: "position-read", Plan: "standard", Volume: "00000003b4d60021", Timeout: 750 * time.Millisecond}
		if i == atOnce-1 {
			q = lab.Request{Class: "event-write", Plan: "standard", Volume: "00000003b4d60021", Timeout: 1200 * time.Millisecond, Body: []byte("position")}
		}
		r, id := lab.NewRequest(context.Background(), addr, q)
		_ = r.Write(&raw)
		requests, ids = append(requests, r), append(ids, id)
	}
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := c.Write(raw.Bytes()); err != nil {
		return 0, ids, err
	}
	l.Note("client %d: sent %d requests at once, %d bytes: %v", client, atOnce, raw.Len(), ids)
	for i, r := range requests {
		resp, err := http.ReadResponse(in, r)
		if err != nil {
			return i, ids, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return i, ids, err
		}
		l.Note("client %d: %s answered: %d, close: %v", client, ids[i], resp.StatusCode, resp.Close)
	}
	return atOnce, ids, nil
}

func main() {
	l := lab.New()
	l.Timeout(60 * time.Second)
	target := l.NewTarget("s-1")
	target.Work = 15 * time.Millisecond
	disc := l.NewDiscovery(1, target.Entry(0, "SERVING"))
	listen := l.FreeAddr()
	config := l.File("n1.json", lab.Config("n1", listen, disc.Addr, lab.Settings("standard"), nil))
	n1 := l.Start("n1", "exec bin/spindlehitch serve", "PROXY_CONFIG="+config)
	l.WaitReady(listen, 10*time.Second)
	var mu sync.Mutex
	lost, sent := 0, 0
	stop := make(chan struct{}) // clients come to another initiator from then on
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				select {
				case <-stop:
					return
				default:
				}
				answered, ids, err := batch(l, c, in, listen, client)
				mu.Lock()
				sent += atOnce
				// A batch of which nothing was answered may have crossed the end of the connection: it is sent once more elsewhere.
				if answered > 0 && answered < atOnce {
					lost += atOnce - answered
					l.Note("client %d: no answer to %v: %v", client, ids[answered:], err)
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if l.Trouble {
		l.Note("SIGTERM to n1")
		n1.Signal(syscall.SIGTERM)
		running.Wait() // until n1 has ended the connections
		select {
		case <-n1.Done():
		case <-time.After(4 * time.Second):
		}
	} else {
		time.Sleep(4 * time.Second)
	}
	close(stop)
	running.Wait()
	if sent < 10*atOnce {
		l.End(2, "could not run: %d requests were sent", sent)
	}
	if lost > 0 {
		l.End(1, "broken: %d of %d requests had no answer on a connection that the initiator ended itself", lost, sent)
	}
	l.End(0, "held: all of %d requests were answered", sent)
}
