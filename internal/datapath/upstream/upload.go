package upstream

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"
)

// uploadWriteTimeout is how long the write of one piece of a body may take, however long its client waits.
const uploadWriteTimeout = 10 * time.Second

// ErrUploadFailed means that a body could not be sent to its target. Its request cannot have run.
var ErrUploadFailed = errors.New("upload to the target failed")

// Upload sends a body to its target before the policy decides on its request. A target starts a request at its last byte, so the
// last piece is held back until the attempt; until then nothing has run, and closing the connection cancels the request. The mutex
// guards state.
type Upload struct {
	request       *Request
	length        int64           // -1: unknown, sent in chunks
	answerTimeout time.Duration   // sent to the target
	ctx           context.Context // bounds the dial and the write of the head
	ready         chan struct{}   // closed when conn is set or the upload has failed
	target        *target

	mu        sync.Mutex
	conn      *conn // set before ready is closed, and not changed after that; nil: failed
	state     uploadState
	failure   string // reason code of a write that failed; empty: none has
	lastPiece []byte // with its framing; set before the request is submitted to the core
}

type uploadState int

const (
	uploadOpen     uploadState = iota
	uploadAttached             // an attempt owns its connection
	uploadClosed
)

// Messages to a target's actor about uploads. An uploadEndedMsg is about one that ends without an attempt.
type (
	uploadMsg      struct{ upload *Upload }
	unsolicitedMsg struct{} // a connection taken for an upload had unsolicited data
	uploadEndedMsg struct {
		conn   *conn
		reason string
	}
)

// StartUpload opens a connection to a target and sends the head of a request. Length is -1 if it is unknown; answerTimeout is the
// Request-Timeout-Ms of the head.
func (g *Registry) StartUpload(ctx context.Context, targetID string, req *Request, length int64, answerTimeout time.Duration) (*Upload, error) {
	u := &Upload{request: req, length: length, answerTimeout: answerTimeout, ctx: ctx, ready: make(chan struct{})}
	g.mu.Lock()
	if u.target = g.targets[targetID]; u.target != nil {
		g.post(u.target, uploadMsg{u})
	}
	g.mu.Unlock()
	if u.target == nil {
		return nil, ErrUploadFailed
	}
	<-u.ready // bounded by the dial timeout and uploadWriteTimeout
	if u.conn == nil {
		return nil, ErrUploadFailed
	}
	return u, nil
}

// startUpload gives an upload a connection and sends the head. The upload counts in uploads until its attempt starts or it ends.
func (t *target) startUpload(u *Upload) {
	if !acceptsNew(&t.state) {
		close(u.ready)
		return
	}
	c, ok := t.acquireConn()
	if !ok {
		close(u.ready)
		return
	}
	t.uploads++
	go func() {
		defer close(u.ready)
		if c = t.usableConn(u.ctx, c); c == nil {
			t.inbox.Put(uploadEndedMsg{nil, "CONNECT_FAILED"})
			return
		}
		s, isHTTP := c.Session.(*httpSession)
		// Check again before the first byte: the client may have left or the target's state changed during the dial.
		switch {
		case u.ctx.Err() != nil:
			t.inbox.Put(uploadEndedMsg{c, "CANCELLED"})
			return
		case !isHTTP || !acceptsNew(&t.state):
			t.inbox.Put(uploadEndedMsg{c, "TARGET_LEAVES"})
			return
		}
		c.requests++
		until, _ := u.ctx.Deadline()
		if !u.writeTo(s, appendHead(nil, u.request, s.host, u.answerTimeout.Milliseconds(), u.length), until) {
			t.inbox.Put(uploadEndedMsg{c, u.endReason()})
			return
		}
		u.conn = c
	}()
}

// usableConn returns c once it has rested, or a new connection if c is nil or has ended or got data meanwhile; nil if the dial fails.
func (t *target) usableConn(ctx context.Context, c *conn) *conn {
	if c == nil {
		return t.dial(ctx)
	}
	c.awaitReusable(ctx)
	if c.Alive() {
		return c
	}
	if t.hasUnsolicited(c) {
		t.inbox.Put(unsolicitedMsg{})
	}
	c.Close()
	t.logConnEnd(c.requests, ReasonClosedWhileIdle)
	return t.dial(ctx)
}

// writeTo writes b to the target within uploadWriteTimeout, and until the given time; zero: without such a bound.
func (u *Upload) writeTo(s *httpSession, b []byte, until time.Time) bool {
	deadline := time.Now().Add(uploadWriteTimeout)
	if !until.IsZero() && until.Before(deadline) {
		deadline = until
	}
	s.SetWriteDeadline(deadline)
	_, err := s.Write(b)
	if err != nil {
		u.mu.Lock()
		u.failure = "WRITE_" + ReasonCode(err)
		u.mu.Unlock()
	}
	return err == nil
}

// Write sends a piece of the body that is not its last, until the given time.
func (u *Upload) Write(piece []byte, until time.Time) error {
	if !u.writeTo(u.conn.Session.(*httpSession), u.frame(piece), until) {
		return ErrUploadFailed
	}
	return nil
}

// frame returns a piece with chunk framing, if the body is chunked.
func (u *Upload) frame(piece []byte) []byte {
	if u.length >= 0 {
		return piece
	}
	b := strconv.AppendInt(make([]byte, 0, len(piece)+16), int64(len(piece)), 16)
	b = append(append(append(b, "\r\n"...), piece...), "\r\n"...)
	return b
}

// HoldLastPiece keeps the last piece, which is not empty, until the attempt.
func (u *Upload) HoldLastPiece(piece []byte) {
	u.lastPiece = append([]byte(nil), u.frame(piece)...)
	if u.length < 0 {
		u.lastPiece = append(u.lastPiece, "0\r\n\r\n"...)
	}
}

// TargetID returns the target's ID.
func (u *Upload) TargetID() string { return u.target.id }

// Close ends the upload and closes its connection, unless an attempt owns it.
func (u *Upload) Close() {
	if u.transition(uploadClosed) {
		u.target.inbox.Put(uploadEndedMsg{u.conn, u.endReason()})
	}
}

// endReason returns the reason code of an upload that ends without an attempt.
func (u *Upload) endReason() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failure != "" {
		return u.failure
	}
	return "CANCELLED"
}

// transition changes the state from uploadOpen. It returns false if the upload is in another state.
func (u *Upload) transition(to uploadState) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state != uploadOpen {
		return false
	}
	u.state = to
	return true
}
