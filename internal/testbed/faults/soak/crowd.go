package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	crowdBodyBytes   = 4 << 20
	crowdFieldBytes  = 15 << 10
	crowdReadBytes   = 1000
	crowdReadPause   = 20 * time.Millisecond
	crowdDialPause   = 100 * time.Millisecond // between two connections of a client, which leaves processors to the stand-ins
	crowdBehindCount = 300
	floodBatch       = 50
	floodClients     = 12 // of a crowd that floods, which is about as many as a core can bear
)

// crowdClient is one client of a crowd. It begins anew when its connection ends, until stopped is set.
type crowdClient struct {
	crowd   Crowd
	name    string
	addr    string
	stopped *atomic.Bool
	conn    atomic.Pointer[net.Conn]
}

func (c *crowdClient) run() {
	for n := 0; !c.stopped.Load(); n++ {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			time.Sleep(redialPause)
			continue
		}
		c.conn.Store(&conn)
		if !c.stopped.Load() {
			c.use(conn, fmt.Sprintf("%s-%d", c.name, n))
		}
		conn.Close()
		time.Sleep(crowdDialPause)
	}
}

// interrupt ends the client's connection.
func (c *crowdClient) interrupt() {
	if conn := c.conn.Load(); conn != nil {
		(*conn).Close()
	}
}

// use uses a connection until it ends.
func (c *crowdClient) use(conn net.Conn, id string) {
	write, read := classes[1], classes[2]
	switch c.crowd {
	case noCrowd, idleConns:
	case stoppedBody:
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", requestHead(http.MethodPut, write, id, 0, write.Deadline), crowdBodyBytes)
		_, _ = conn.Write(make([]byte, crowdBodyBytes/2))
	case shortFields:
		_, _ = io.WriteString(conn, requestHead(http.MethodPut, write, id, 0, write.Deadline)+manyFields())
	case slowReaders:
		_, _ = io.WriteString(conn, requestHead(http.MethodGet, read, id, 0, read.Deadline)+"\r\n")
		for piece := make([]byte, crowdReadBytes); ; time.Sleep(crowdReadPause) {
			if _, err := conn.Read(piece); err != nil {
				return
			}
		}
	case flooding:
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		batch := strings.Repeat("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", floodBatch) + "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n"
		for {
			if _, err := io.WriteString(conn, batch); err != nil {
				return
			}
		}
	case leavingEarly:
		_, _ = io.WriteString(conn, requestHead(http.MethodPut, write, id, 0, write.Deadline)+"Content-Length: 1\r\n\r\nx")
		_ = conn.SetWriteDeadline(time.Now().Add(crowdReadPause))
		behind := requestHead(http.MethodPut, write, id+"-behind", 0, write.Deadline) + "Content-Length: 1\r\n\r\nx"
		_, _ = io.WriteString(conn, strings.Repeat(behind, crowdBehindCount))
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// manyFields returns fields of a head with names as short as they can be.
func manyFields() string {
	var b strings.Builder
	for i := 0; b.Len() < crowdFieldBytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}
