package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name        string
	Deadline    time.Duration
	SideEffect  bool // it must not run twice
	AnswerBytes int
}

var classes = []Class{
	{"position-read", 750 * time.Millisecond, false, 200},
	{"event-write", 1200 * time.Millisecond, true, 200},
	{"history-export", longestDeadline, false, 200_000},
}

// classOf returns the class of a request's path.
func classOf(path string) Class {
	for _, c := range classes {
		if strings.HasPrefix(path, "/"+c.Name+"/") {
			return c
		}
	}
	return Class{}
}

const (
	slowWriteRate = 64_000 // bytes a second
	writePiece    = 4000   // bytes that a slow client writes at a time
	answerWait    = 8 * time.Second
	restTime      = 2500 * time.Millisecond
	redialPause   = 20 * time.Millisecond
)

// requestKind is how a client sends a request.
type requestKind struct {
	class     Class
	bodyBytes int
	chunked   bool
	slow      bool
	leaves    time.Duration // the client closes the connection so long after it began; 0: it waits for the answer
	rests     bool          // afterwards the client sends nothing until the connection ends
}

func drawKind(rng *rand.Rand) requestKind {
	k := requestKind{class: classes[rng.IntN(len(classes))]}
	switch rng.IntN(10) {
	case 0, 1:
		k.bodyBytes, k.chunked = 1+rng.IntN(2000), rng.IntN(2) == 0
	case 2:
		k.bodyBytes, k.chunked = 60_000+rng.IntN(900_000), rng.IntN(2) == 0
	case 3:
		k.bodyBytes, k.chunked, k.slow = 10_000+rng.IntN(60_000), rng.IntN(2) == 0, true
	}
	switch rng.IntN(12) {
	case 0:
		k.leaves = time.Duration(1+rng.IntN(120)) * time.Millisecond
	case 1:
		k.rests = rng.IntN(4) == 0
	}
	return k
}

// client sends one request after the other on a connection that it keeps, until stopped is set.
type client struct {
	name     string
	addr     string
	targets  int
	recorder *Recorder
	rng      *rand.Rand
	stopped  *atomic.Bool
	conn     *net.TCPConn
	in       *bufio.Reader
	dialedAt time.Time
	onConn   int64
	sent     int
}

func (c *client) run() {
	for !c.stopped.Load() {
		if c.conn == nil && !c.dial() {
			time.Sleep(redialPause)
			continue
		}
		kind := drawKind(c.rng)
		c.exchange(kind)
		if kind.rests && c.conn != nil {
			c.rest()
		}
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
	}
	c.hangUp()
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return false
	}
	c.conn = conn.(*net.TCPConn)
	c.in, c.dialedAt, c.onConn = bufio.NewReader(conn), time.Now(), 0
	return true
}

func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// rest waits until the connection ends.
func (c *client) rest() {
	_ = c.conn.SetReadDeadline(time.Now().Add(restTime))
	_, _ = c.in.Peek(1)
	c.hangUp()
}

// ended reports whether the other side has ended the connection.
func (c *client) ended() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	_ = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended
}

// exchange sends a request and records what became of it.
func (c *client) exchange(kind requestKind) {
	if c.ended() {
		c.hangUp()
		return
	}
	c.sent++
	c.onConn++
	e := &Exchange{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Class: kind.class, Timeout: kind.class.Deadline * time.Duration(6+c.rng.IntN(5)) / 10,
		LocalAddr: c.conn.LocalAddr().String(), OnConn: c.onConn, DialedAt: c.dialedAt, Begun: time.Now()}
	_ = c.conn.SetDeadline(time.Now().Add(answerWait))
	var leave *time.Timer
	conn, left := c.conn, make(chan time.Time, 1)
	if kind.leaves > 0 {
		leave = time.AfterFunc(kind.leaves, func() {
			conn.Close()
			left <- time.Now()
		})
	}
	answered := make(chan struct{})
	keep := false
	go func() {
		defer close(answered)
		keep = c.readAnswer(e, kind)
	}()
	e.Written = c.write(e, kind, answered)
	<-answered
	if leave != nil && !leave.Stop() {
		e.Left = <-left
	}
	if !keep || e.Written.IsZero() {
		c.hangUp()
	}
	c.recorder.addExchange(e)
}

// write writes the request and returns when the last byte was written, or the zero time if an answer or an error came before.
func (c *client) write(e *Exchange, kind requestKind, answered <-chan struct{}) time.Time {
	body := strings.Repeat("b", kind.bodyBytes)
	if _, err := io.WriteString(c.conn, c.head(e, kind)); err != nil {
		return time.Time{}
	}
	piece := len(body)
	if kind.slow {
		piece = writePiece
	}
	for len(body) > 0 {
		select {
		case <-answered:
			return time.Time{}
		default:
		}
		next := body[:min(piece, len(body))]
		body = body[len(next):]
		if kind.chunked {
			next = strconv.FormatInt(int64(len(next)), 16) + "\r\n" + next + "\r\n"
		}
		if _, err := io.WriteString(c.conn, next); err != nil {
			return time.Time{}
		}
		if kind.slow {
			time.Sleep(time.Second * writePiece / slowWriteRate)
		}
	}
	if kind.chunked && kind.bodyBytes > 0 {
		if _, err := io.WriteString(c.conn, "0\r\n\r\n"); err != nil {
			return time.Time{}
		}
	}
	return time.Now()
}

func (c *client) head(e *Exchange, kind requestKind) string {
	method, framing := http.MethodGet, ""
	if kind.bodyBytes > 0 {
		method, framing = http.MethodPut, fmt.Sprintf("Content-Length: %d\r\n", kind.bodyBytes)
		if kind.chunked {
			framing = "Transfer-Encoding: chunked\r\n"
		}
	}
	return requestHead(method, kind.class, e.ID, c.rng.IntN(c.targets), e.Timeout) + framing + "\r\n"
}

// requestHead returns the head of a request without the lines on its body and without the empty one.
func requestHead(method string, class Class, id string, shard int, timeout time.Duration) string {
	return fmt.Sprintf("%s /%s/0a00000000000001 HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: base\r\nRequest-Timeout-Ms: %d\r\n"+
		"IO-Info: volume=00000003b4d60021,units=1,shard=%d,hosts=1\r\n", method, class.Name, id, timeout.Milliseconds(), shard)
}

// readAnswer reads the answer and reports whether the connection can be used again.
func (c *client) readAnswer(e *Exchange, kind requestKind) (keep bool) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		e.Ended, e.Err = time.Now(), err
		return false
	}
	body, err := io.ReadAll(resp.Body)
	e.Ended, e.Status, e.Err, e.Whole = time.Now(), resp.StatusCode, err, err == nil
	e.WrongBody = e.Whole && e.Status == http.StatusOK && string(body) != answerBody(kind.class, e.ID, int64(kind.bodyBytes))
	return e.Whole && !resp.Close
}
