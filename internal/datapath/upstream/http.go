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
	// MaxBufferedBody is the largest body of a request or an answer that is buffered completely.
	MaxBufferedBody = 64 << 10
	// MaxBody is the largest body that is accepted: 32 MB, with some margin.
	MaxBody      = 36 << 20
	maxHeadBytes = 16 << 10
	// maxInformational is how many 1xx answers may precede an answer.
	maxInformational = 8
)

// Request is the payload of an attempt over HTTP: the parts of the client's request that are forwarded unchanged.
type Request struct {
	Method         string
	URI            string
	ID             string
	IdempotencyKey string // the header of that name; empty: none
	Body           []byte
	Upload         *Upload // carries the body instead; nil: it is in Body
}

// HTTPDialer opens connections of the targets' HTTP protocol.
type HTTPDialer struct {
	memory *budget.Bytes // for buffered answers
}

// NewHTTPDialer returns a dialer whose connections buffer answers within the memory budget.
func NewHTTPDialer(memory *budget.Bytes) HTTPDialer { return HTTPDialer{memory} }

// Dial opens a connection.
func (h HTTPDialer) Dial(ctx context.Context, addr string) (Session, error) {
	n, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &httpSession{Conn: n, host: addr, memory: h.memory}, nil
}

// httpSession is an HTTP/1.1 connection. One goroutine uses it at a time, except for Close.
type httpSession struct {
	net.Conn
	host        string
	memory      *budget.Bytes
	unsolicited bool // the target sent data that no request asked for
	// For recognizing a copy of the last answer: whether there was a request, and the last answer and its time.
	used          bool
	last          answerIdentity
	lastAt        time.Time
	invalidReport bool // an answer had an impossible load report
}

// stallReader sets a read deadline before each read of an answer that has started: maxGap from now and at most deadline, where each applies
// only if it is set. It returns the same error again after the connection has ended. The system returns a reset only once and an end of file after that, and
// bufio's Peek forgets the error that it returned, so a reset would pass for the regular end of an answer.
type stallReader struct {
	net.Conn
	deadline time.Time
	maxGap   time.Duration // between two reads; 0: no such limit
	started  bool          // the answer's first byte is there
	endErr   error         // by which the connection ended
}

func (s *stallReader) Read(b []byte) (n int, err error) {
	if s.endErr != nil {
		return 0, s.endErr
	}
	defer func() {
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			s.endErr = err
		}
	}()
	if s.started {
		if err := s.SetReadDeadline(s.nextDeadline()); err != nil {
			return 0, err
		}
	}
	return s.Conn.Read(b)
}

// nextDeadline returns the deadline of the next read.
func (s *stallReader) nextDeadline() time.Time {
	if s.maxGap == 0 {
		return s.deadline
	}
	at := time.Now().Add(s.maxGap)
	if !s.deadline.IsZero() && s.deadline.Before(at) {
		return s.deadline
	}
	return at
}

// Do writes the request and reads the answer. After an error the outcome depends on the bytes written: before the last byte is
// written the target cannot have started the request, after that it may have run. Writing and the wait for
// the answer's first byte are bounded by the attempt's deadline, the rest of the answer by its AnswerDeadline.
func (c *httpSession) Do(a core.Attempt, mayStart func() bool) (r core.Result, reuse bool, reason string) {
	c.SetDeadline(a.Deadline)
	c.SetWriteDeadline(a.WriteDeadline())
	req := a.Payload.(*Request)
	hadRequest, previous := c.used, c.last
	// Taken before the check of the connection, which then sees a copy of the previous answer that was sent within the window.
	recent := hadRequest && time.Since(c.lastAt) < DuplicateWindow
	if r.Code, reason = c.writeRequest(a, req, mayStart); reason != "" {
		return r, false, reason
	}
	a.NotifySent()
	in := newAnswerReader(c, a, hadRequest)
	ans, err := readAnswer(in.in, req.Method, c.memory, in.beforeRead, in.setReadDeadline)
	if err != nil {
		r.Code, reason = in.failure(err)
		return r, false, reason
	}
	c.invalidReport = c.invalidReport || ans.invalidReport
	c.last, c.lastAt = ans.following(previous), time.Now()
	suspect := recent && c.last.repeats && !ans.closes
	if suspect {
		if r.Code, reason = in.awaitOwnAnswer(); reason != "" {
			return r, false, reason
		}
	}
	r.Code, r.Load, r.VolumeUsage, r.Payload = ans.code(), ans.load, ans.volumeLoad, ans.body
	switch {
	case ans.stream != nil:
		ans.stream.conn = c
		r.Payload = ans.stream
		return r, false, ""
	case ans.closes || in.in.Buffered() > 0:
		c.unsolicited = in.in.Buffered() > 0
		return r, false, "TARGET_CLOSES"
	case suspect:
		return r, false, "ANSWER_UNCONFIRMED" // the target's own answer could still come
	}
	// The deadline must not stay on the connection: once past, Alive would fail and a healthy connection would be
	// closed.
	return r, c.SetDeadline(time.Time{}) == nil, "CLOSED"
}

// writeRequest writes the request, or the last piece of its upload. If that fails it returns the outcome and the reason code.
func (c *httpSession) writeRequest(a core.Attempt, req *Request, mayStart func() bool) (code policy.OutcomeCode, reason string) {
	var raw []byte
	if req.Upload != nil {
		raw = req.Upload.lastPiece
	} else {
		wait := max(time.Until(a.Deadline).Milliseconds(), 1)
		raw = append(appendHead(make([]byte, 0, 256+len(req.Body)), req, c.host, wait, int64(len(req.Body))), req.Body...)
	}
	// Check once more before the first byte: the target's state may have changed during the dial. An upload's first byte is already
	// written, so the target's state does not matter, but the target has not started the request: MaySend is still required.
	if !mayStart() && (req.Upload == nil || !a.MaySend()) {
		return policy.NotSent, "TARGET_LEAVES"
	}
	// Check the connection too: data that arrived since takeIdle checked it cannot be the answer to a request not yet written.
	if !c.Alive() {
		return policy.NotConnected, ReasonClosedWhileIdle
	}
	c.used = true
	if n, err := c.Write(raw); n < len(raw) {
		return policy.NotConnected, "WRITE_" + ReasonCode(err)
	}
	return policy.Served, ""
}

// answerReader reads the answer to one attempt and bounds the time and the bytes that it takes.
type answerReader struct {
	session    *httpSession
	attempt    core.Attempt
	conn       *stallReader
	limited    *io.LimitedReader
	in         *bufio.Reader
	hadRequest bool // the connection carried a request before this one
}

func newAnswerReader(c *httpSession, a core.Attempt, hadRequest bool) *answerReader {
	conn := &stallReader{Conn: c.Conn, deadline: a.AnswerDeadline()}
	limited := &io.LimitedReader{R: conn}
	return &answerReader{session: c, attempt: a, conn: conn, limited: limited, in: bufio.NewReaderSize(limited, 4096), hadRequest: hadRequest}
}

// beforeRead sets the bounds for a head, whose first byte it waits for, or for a body.
func (r *answerReader) beforeRead(head bool) error {
	if !head {
		r.limited.N = 2*MaxBody + maxHeadBytes // room for chunk framing; buffered bytes are bounded separately
		return nil
	}
	// Bounds the bytes read for a head that does not end.
	r.limited.N, r.conn.started = maxHeadBytes, false
	if err := r.session.SetReadDeadline(r.attempt.Deadline); err != nil {
		return err
	}
	_, err := r.in.Peek(1)
	if r.conn.started = err == nil; r.conn.started && r.hadRequest && HasUnackedData(r.session.Conn) {
		return errEarlyAnswer
	}
	return err
}

// setReadDeadline bounds the next reads of a body that is streamed; a zero time is no deadline.
func (r *answerReader) setReadDeadline(until time.Time) {
	r.conn.deadline, r.conn.maxGap = until, streamStallTimeout
}

// failure returns the outcome and the reason code of an answer that could not be read.
func (r *answerReader) failure(err error) (policy.OutcomeCode, string) {
	switch timedOut := errors.Is(err, os.ErrDeadlineExceeded); {
	case timedOut && r.conn.started:
		return policy.TimedOut, "READ_STALLED"
	case timedOut:
		return policy.TimedOut, "READ_" + ReasonCode(err)
	case r.limited.N <= 0:
		return policy.ConnectionReset, "ANSWER_TOO_LARGE"
	case errors.Is(err, errEarlyAnswer):
		r.session.unsolicited = true
		return policy.ConnectionReset, "ANSWER_TOO_SOON"
	}
	return policy.ConnectionReset, "READ_" + ReasonCode(err)
}

// Alive implements Session.
func (c *httpSession) Alive() bool {
	idle, readable := probeIdle(c.Conn)
	c.unsolicited = c.unsolicited || readable
	return idle
}

// Close implements Session.
func (c *httpSession) Close() error { return CloseOrReset(c.Conn) }

// UnsolicitedData implements UncorrelatedSession.
func (c *httpSession) UnsolicitedData() bool { return c.unsolicited }

// LastAnswer implements UncorrelatedSession.
func (c *httpSession) LastAnswer() answerIdentity { return c.last }

// InvalidReport implements UncorrelatedSession.
func (c *httpSession) InvalidReport() bool { return c.invalidReport }

// appendHead appends the request's head; with a length of -1 the body is chunked. Only headers of the targets' protocol are sent.
func appendHead(b []byte, req *Request, host string, waitMs, length int64) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nRequest-Id: "...)
	b = append(b, req.ID...)
	if req.IdempotencyKey != "" {
		b = append(b, "\r\nIdempotency-Key: "...)
		b = append(b, req.IdempotencyKey...)
	}
	b = append(b, "\r\nRequest-Timeout-Ms: "...)
	b = strconv.AppendInt(b, waitMs, 10)
	switch {
	case length < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case length > 0 || req.Method != http.MethodGet:
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, length, 10)
	}
	return append(b, "\r\n\r\n"...)
}

// answer is a target's answer.
type answer struct {
	status        int
	notStarted    bool         // it has Not-Started: 1
	load          *policy.Load // nil: not reported
	volumeLoad    int          // percentage + 1; 0: not reported
	body          []byte       // if buffered
	stream        *Stream      // the body if it is streamed; nil otherwise
	closes        bool         // the connection cannot be reused after it
	invalidReport bool         // a load figure is impossible
}

// code returns the outcome. Not-Started counts only with status 503 and 504; with any other error the request
// may have run.
func (a *answer) code() policy.OutcomeCode {
	switch {
	case a.status == http.StatusOK:
		return policy.Served
	case a.notStarted && (a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout):
		return policy.Rejected
	}
	return policy.AnsweredError
}

// fingerprint identifies a buffered answer by its status and body; equal ones may have different headers.
func (a *answer) fingerprint() uint64 { return xxhash.Sum64(a.body) + uint64(a.status) }

var (
	errTooLarge             = errors.New("answer body is too large")
	errTooManyInformational = errors.New("too many 1xx answers")
	errEarlyAnswer          = errors.New("answer arrived before the target had the whole request")
)

// readAnswer reads one answer: completely if its body is small and fits the memory budget, otherwise up to the first part of its body,
// which is then streamed. It calls beforeRead before each head (true) and before the body (false), and setReadDeadline, for a streamed
// body only, to bound the next reads; a zero time is no deadline.
func readAnswer(in *bufio.Reader, method string, memory *budget.Bytes, beforeRead func(head bool) error, setReadDeadline func(until time.Time)) (*answer, error) { //nolint:gocognit // to be split with its package, see docs/left.md
	for informational := 0; ; informational++ {
		if err := beforeRead(true); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
			if informational == maxInformational {
				return nil, errTooManyInformational
			}
			continue
		}
		a := &answer{status: resp.StatusCode, notStarted: resp.Header.Get("Not-Started") == "1", closes: resp.Close}
		a.closes = a.closes || a.status == http.StatusSwitchingProtocols // no request asks for an upgrade
		a.load, a.invalidReport = parseLoad(resp.Header.Get("Server-Load"))
		if n, err := strconv.Atoi(resp.Header.Get("Volume-Load")); err == nil && n >= 0 && n < maxVolumeLoad {
			a.volumeLoad = n + 1 // the header is the percentage; 0 in core.Result means that there was none
		} else {
			a.invalidReport = a.invalidReport || resp.Header.Get("Volume-Load") != ""
		}
		if resp.ContentLength > MaxBody {
			return nil, errTooLarge
		}
		if err := beforeRead(false); err != nil {
			return nil, err
		}
		if n := resp.ContentLength; n >= 0 && n <= MaxBufferedBody && memory.TryAcquire(n) {
			defer memory.Release(n)
			a.body = make([]byte, n)
			if _, err := io.ReadFull(resp.Body, a.body); err != nil {
				return nil, err
			}
			return a, nil
		}
		if resp.StatusCode != http.StatusOK {
			a.closes = true // the body of an error is not forwarded, so it is not read
			return a, nil
		}
		a.stream = &Stream{Length: resp.ContentLength, body: resp.Body, in: in, closes: resp.Close}
		if len(resp.TransferEncoding) > 0 {
			a.stream.body = &chunkedReader{in: in}
		}
		if err := a.stream.readPrefix(setReadDeadline); err != nil {
			return nil, err
		}
		if s := a.stream; s.complete {
			a.body, a.stream = s.prefix, nil
		}
		return a, nil
	}
}

// maxLoad is above any number of requests that a target can hold. Higher figures in a load report are invalid.
const maxLoad = 1e5

// maxVolumeLoad is above any load of a volume, as a percentage of its plan's rate. Higher figures are invalid.
const maxVolumeLoad = 1e6

// parseLoad parses a load report such as concurrent=7,depth=2; it returns nil if no field can be used. The field names are those of
// the settings (report.fields: concurrent, depth); inflight and queue are the names in the protocol's own example. A report that uses
// other names is ignored without notice. An impossible figure is ignored and makes the report invalid.
func parseLoad(s string) (l *policy.Load, invalid bool) {
	if s == "" {
		return nil, false
	}
	l = &policy.Load{Queued: -1, InFlight: -1}
	for field := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		dest := &l.Queued
		switch name {
		case "depth", "queue":
		case "concurrent", "inflight":
			dest = &l.InFlight
		default:
			continue
		}
		if x, err := strconv.ParseFloat(value, 64); err == nil && x >= 0 && x < maxLoad {
			*dest = x
		} else {
			invalid = true
		}
	}
	if l.Queued < 0 && l.InFlight < 0 {
		return nil, invalid
	}
	return l, invalid
}

// ReasonCode returns the reason code of a failed read or write.
func ReasonCode(err error) string {
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

// HasUnackedData reports whether the peer has not acknowledged all written data. Every segment that the peer sends acknowledges all
// that it has received, so data that arrives before that cannot be the answer to what was written last. It returns false if the system
// does not say.
func HasUnackedData(c net.Conn) (unacked bool) {
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
		unacked = err == nil && n > 0
	})
	return unacked
}

// CloseOrReset closes a connection, with a reset if written data is not acknowledged. A reset drops that data: otherwise the system
// would retransmit it, for minutes if the peer is silent, and a request could start long after it was given up.
func CloseOrReset(c net.Conn) error {
	if tc, ok := c.(*net.TCPConn); ok && HasUnackedData(tc) {
		tc.SetLinger(0)
	}
	return c.Close()
}

// OpenAndIdle reports whether a connection is still open and has nothing to read.
func OpenAndIdle(c net.Conn) bool {
	idle, _ := probeIdle(c)
	return idle
}

// probeIdle reports whether a connection is open with nothing to read, and if not, whether there is data to read. It reads nothing. A
// connection that the target closed, or sent unsolicited data on, is useless: a write to it would end in a reset.
func probeIdle(c net.Conn) (idle, readable bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	var one [1]byte
	// Control, not Read, since Read would block while another goroutine reads.
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle, readable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK, err == nil && n > 0
	})
	return err == nil && idle, readable
}
