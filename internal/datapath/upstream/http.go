package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

const (
	// MaxHeld is the largest body that is held whole, of a request or an answer.
	MaxHeld = 64 << 10
	// MaxBody is the largest body there may be: 32 MB, and some room.
	MaxBody = 36 << 20
	maxHead = 16 << 10
	// stallAfter is how long an answer that has begun may bring nothing: one that stops midway is not waited for until
	// the attempt's time is over. Far above what a busy process is late by.
	stallAfter = 250 * time.Millisecond
	// mostInformed is how many 1xx answers may come in front of one.
	mostInformed = 8
	// secondWithin is how soon after an answer one like it is taken for the same once more. Targets are late with it by some
	// milliseconds.
	secondWithin = 50 * time.Millisecond
)

// Message is the payload of a job on this wire: what passes on unchanged.
type Message struct {
	Method string
	URI    string
	ID     string
	Key    string // Idempotency-Key; empty: there is none
	Body   []byte
	Upload *Upload // where the body is instead, but for its last piece; nil: here
}

// HTTP is the platform's wire.
type HTTP struct {
	room *budget.Bytes // for answers that are held
}

// NewHTTP returns a wire that holds answers within the budget.
func NewHTTP(room *budget.Bytes) HTTP { return HTTP{room} }

// Dial opens a connection.
func (h HTTP) Dial(ctx context.Context, addr string) (Session, error) {
	n, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &httpSession{Conn: n, host: addr, room: h.room}, nil
}

type httpSession struct {
	net.Conn
	host   string
	room   *budget.Bytes
	talked bool // more came than was asked for
	// What comes may be a second answer to the request before, if there was one: what its answer was like, when it was here,
	// and which answers are alike here and no second ones.
	asked   bool
	last    uint64
	heardAt time.Time
	alike   [2]uint64 // of good ones and others
	odd     bool      // it brought a report that cannot be
}

// stallReader reads an answer that has begun, as long as its parts keep coming: each within stall, and all of them until
// a moment, if there is one. How the connection ended stays known: the system tells of a reset once, and of an end from then
// on, which bufio's Peek would make of it, since it forgets the error that it returns.
type stallReader struct {
	net.Conn
	until time.Time
	stall time.Duration
	begun bool
	ended error
}

func (s *stallReader) Read(b []byte) (n int, err error) {
	if s.ended != nil {
		return 0, s.ended
	}
	defer func() {
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			s.ended = err
		}
	}()
	if s.begun {
		at := time.Now().Add(s.stall)
		if !s.until.IsZero() && s.until.Before(at) {
			at = s.until
		}
		if err := s.SetReadDeadline(at); err != nil {
			return 0, err
		}
	}
	return s.Conn.Read(b)
}

// Do writes the request and reads the answer. The outcome is judged by the bytes written: short of the last
// one the target cannot have begun, after it the attempt may have run. Write, head and body are all bounded
// by the attempt's time.
func (c *httpSession) Do(a core.Attempt, first func() bool) (r core.Result, reuse bool, reason string) { //nolint:gocognit // to be split with its package, see docs/left.md
	c.SetDeadline(a.Until)
	c.SetWriteDeadline(a.WriteBy())
	m := a.Payload.(*Message)
	var raw []byte
	if m.Upload != nil {
		raw = m.Upload.tail
	} else {
		wait := max(time.Until(a.Until).Milliseconds(), 1)
		raw = append(appendHead(make([]byte, 0, 256+len(m.Body)), m, c.host, wait, int64(len(m.Body))), m.Body...)
	}
	// The last look before the first byte: news may have come while the connection was being made. The first byte of a
	// body that went ahead is long written, but nothing of it has begun: without a permit it does not.
	if !first() && (m.Upload == nil || !a.Allowed()) {
		r.Code = policy.NotSent
		return r, false, "TARGET_LEAVES"
	}
	// And at the connection: what came since the pool looked is no answer to what is only now written.
	if !c.Alive() {
		r.Code = policy.NotConnected
		return r, false, Stale
	}
	again, soon := c.asked, time.Since(c.heardAt) < secondWithin
	c.asked = true
	if n, err := c.Write(raw); n < len(raw) {
		r.Code = policy.NotConnected
		return r, false, "WRITE_" + Cause(err)
	}
	a.Sent()
	parts := &stallReader{Conn: c.Conn, until: a.Until, stall: stallAfter}
	limit := &io.LimitedReader{R: parts}
	in := bufio.NewReaderSize(limit, 4096)
	ans, err := readAnswer(in, m.Method, c.room, func(head bool) error {
		if !head {
			limit.N = 2*MaxBody + maxHead // chunks have some framing; what is held is bounded besides
			return nil
		}
		// A head without end must cost no more than a head.
		limit.N, parts.begun = maxHead, false
		if err := c.SetReadDeadline(a.Until); err != nil {
			return err
		}
		_, err := in.Peek(1)
		if parts.begun = err == nil; parts.begun && again && Unheard(c.Conn) {
			return errTooSoon
		}
		return err
	}, func(until time.Time) { parts.until, parts.stall = until, streamStall })
	if err != nil {
		r.Code = policy.ConnectionReset
		switch late := errors.Is(err, os.ErrDeadlineExceeded); {
		case late && parts.begun && time.Now().Before(a.Until):
			return r, false, "READ_STALLED"
		case late:
			r.Code = policy.TimedOut
		case limit.N <= 0:
			return r, false, "ANSWER_TOO_LARGE"
		case errors.Is(err, errTooSoon):
			c.talked = true
			return r, false, "ANSWER_TOO_SOON"
		}
		return r, false, "READ_" + Cause(err)
	}
	c.odd = c.odd || ans.odd
	// Nothing in an answer tells whose it is. One just like the one before and soon after it may be that one once more: then its
	// own comes behind it. Where none does, those like it are what the target says, and are not waited behind again.
	before, heardAt := c.last, c.heardAt
	c.last, c.heardAt = ans.sum(), time.Now()
	alike := &c.alike[0]
	if ans.status != http.StatusOK {
		alike = &c.alike[1]
	}
	if again && soon && !ans.close && ans.stream == nil && c.last == before && c.last != *alike {
		if at := heardAt.Add(secondWithin); ans.status != http.StatusOK && at.Before(a.Until) {
			parts.until = at // turned away, most of all: there is little to tell such answers apart, and they come in rows
		}
		if _, err := in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.talked = err == nil
			r.Code = policy.ConnectionReset
			return r, false, "ANSWER_TWICE"
		} else if !time.Now().Before(a.Until) {
			r.Code = policy.TimedOut
			return r, false, "READ_TIMEOUT"
		}
		*alike = c.last
	}
	r.Code, r.Load, r.Used, r.Payload = ans.code(), ans.load, ans.used, ans.body
	if s := ans.stream; s != nil {
		s.conn = c
		r.Payload = s
		return r, false, ""
	}
	if ans.close || in.Buffered() > 0 {
		c.talked = in.Buffered() > 0
		return r, false, "TARGET_CLOSES"
	}
	// An attempt's time must not outlive it: once past, the next look at the idle connection would fail and
	// take a healthy connection for a closed one.
	return r, c.SetDeadline(time.Time{}) == nil, "CLOSED"
}

// Alive implements Session.
func (c *httpSession) Alive() bool {
	quiet, says := listen(c.Conn)
	c.talked = c.talked || says
	return quiet
}

// Close ends it.
func (c *httpSession) Close() error { return CloseNow(c.Conn) }

// Talked implements Talker.
func (c *httpSession) Talked() bool { return c.talked }

// Odd implements Talker.
func (c *httpSession) Odd() bool { return c.odd }

// appendHead writes the request's head; a length of -1 has the body in chunks. What is not listed in the protocol is not sent.
func appendHead(b []byte, m *Message, host string, waitMs, length int64) []byte {
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nRequest-Id: "...)
	b = append(b, m.ID...)
	if m.Key != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, m.Key...)
	}
	b = append(b, "\r\nRequest-Timeout-Ms: "...)
	b = strconv.AppendInt(b, waitMs, 10)
	switch {
	case length < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case length > 0 || m.Method != http.MethodGet:
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, length, 10)
	}
	return append(b, "\r\n\r\n"...)
}

// answer is what a target said.
type answer struct {
	status int
	notRun bool
	load   *policy.Load
	used   int
	body   []byte  // held
	stream *Stream // passes through instead
	close  bool
	odd    bool // it reports what cannot be
}

// code is the outcome. The target's word that it never began counts only with the two statuses that go
// with it: anything else may have run.
func (a *answer) code() policy.OutcomeCode {
	switch {
	case a.status == http.StatusOK:
		return policy.Served
	case a.notRun && (a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout):
		return policy.Rejected
	}
	return policy.AnsweredError
}

// sum tells answers that are held apart by what they bring; their heads may differ.
func (a *answer) sum() uint64 { return xxhash.Sum64(a.body) + uint64(a.status) }

var (
	errTooLarge = errors.New("answer's body is too large")
	errInformed = errors.New("too many answers of the kind 1xx")
	errTooSoon  = errors.New("answer to an earlier request")
)

// readAnswer reads one answer: whole, if it is small and there is room, otherwise up to the first of its body. Await is
// called before each head and before the body, and hold, for one that passes through, to bound what may be waited for.
func readAnswer(in *bufio.Reader, method string, room *budget.Bytes, await func(head bool) error, hold func(until time.Time)) (*answer, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	for informed := 0; ; informed++ {
		if err := await(true); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
			if informed == mostInformed {
				return nil, errInformed
			}
			continue
		}
		a := &answer{status: resp.StatusCode, notRun: resp.Header.Get("Not-Started") == "1", close: resp.Close}
		a.close = a.close || a.status == http.StatusSwitchingProtocols // nobody asked to
		a.load, a.odd = parseLoad(resp.Header.Get("Server-Load"))
		if n, err := strconv.Atoi(resp.Header.Get("Volume-Load")); err == nil && n >= 0 && n < mostUsed {
			a.used = n + 1 // the header is the percentage itself; the module's 0 means not told
		} else {
			a.odd = a.odd || resp.Header.Get("Volume-Load") != ""
		}
		if resp.ContentLength > MaxBody {
			return nil, errTooLarge
		}
		if err := await(false); err != nil {
			return nil, err
		}
		if n := resp.ContentLength; n >= 0 && n <= MaxHeld && room.Take(n) {
			defer room.Give(n)
			a.body = make([]byte, n)
			if _, err := io.ReadFull(resp.Body, a.body); err != nil {
				return nil, err
			}
			return a, nil
		}
		if resp.StatusCode != http.StatusOK {
			a.close = true // nobody is owed its body, so it is not read
			return a, nil
		}
		a.stream = &Stream{Length: resp.ContentLength, body: resp.Body, in: in, close: resp.Close}
		if len(resp.TransferEncoding) > 0 {
			a.stream.body = &chunks{in: in}
		}
		if err := a.stream.begin(hold); err != nil {
			return nil, err
		}
		if s := a.stream; s.eof {
			a.body, a.stream = s.first, nil
		}
		return a, nil
	}
}

// mostLoad is past any number of requests that a target holds: what tells of more is no report.
const mostLoad = 1e5

// mostUsed is past any use of a volume, as a percentage of its plan's rate.
const mostUsed = 1e6

// parseLoad reads a load report such as concurrent=7,depth=2; nil where there is none that can be read. Its fields have
// the names that the settings give (report.fields: concurrent, depth); inflight and queue are the names in the protocol's
// own example. A report under names that are not known here would be missed without a sign. A figure that cannot be counts as not
// told, and makes the report odd.
func parseLoad(s string) (l *policy.Load, odd bool) {
	if s == "" {
		return nil, false
	}
	l = &policy.Load{Queued: -1, InFlight: -1}
	for field := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		into := &l.Queued
		switch name {
		case "depth", "queue":
		case "concurrent", "inflight":
			into = &l.InFlight
		default:
			continue
		}
		if x, err := strconv.ParseFloat(value, 64); err == nil && x >= 0 && x < mostLoad {
			*into = x
		} else {
			odd = true
		}
	}
	if l.Queued < 0 && l.InFlight < 0 {
		return nil, odd
	}
	return l, odd
}

// Cause is the reason code of a failed read or write.
func Cause(err error) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "TIMEOUT"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "EOF"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "RESET"
	case errors.Is(err, net.ErrClosed):
		return "CLOSED"
	case errors.Is(err, errTooLarge):
		return "TOO_LARGE"
	}
	return "MALFORMED"
}

// Unheard tells whether the other side has yet to acknowledge some of what was written. It acknowledges all that it has with
// whatever it sends, so what it sent before that answers nothing of this. Where the system does not tell, it has heard all.
func Unheard(c net.Conn) (yes bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		yes = err == nil && n > 0
	})
	return yes
}

// CloseNow closes a connection. What of a request is still on its way then does not arrive: else the system would go on with it,
// for minutes where the other side is silent, and it could begin long after it was given up.
func CloseNow(c net.Conn) error {
	if tc, ok := c.(*net.TCPConn); ok && Unheard(tc) {
		tc.SetLinger(0)
	}
	return c.Close()
}

// Quiet tells whether an idle connection is still open and quiet.
func Quiet(c net.Conn) bool {
	quiet, _ := listen(c)
	return quiet
}

// listen tells whether an idle connection is still open and quiet, and if not, whether there is something to read. It looks without
// taking: a target that closed it, or that speaks unasked, makes it useless, and a write to it would end as a reset.
func listen(c net.Conn) (quiet, says bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	var one [1]byte
	// Control, not Read, which would wait for a reader that waits for bytes.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet, says = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK, err == nil && n > 0
	})
	return err == nil && quiet, says
}
