package upstream

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"
)

// uploadWithin is how long a target may take to read a piece of a body that goes ahead.
const uploadWithin = 10 * time.Second

// ErrNoUpload tells that a body could not go ahead to its target. Nothing of its request can have run.
var ErrUploadFailed = errors.New("no connection for the body")

// Upload is a connection on which a body goes to its target ahead of the decision on its request. The target begins a
// request at its last byte, so the last piece stays here until the attempt is made; up to then nothing has run, and closing
// it undoes all.
type Upload struct {
	msg    *Request
	length int64 // -1: in chunks
	wait   time.Duration
	ctx    context.Context
	ready  chan struct{}
	t      *target

	mu    sync.Mutex
	conn  *conn
	state uploadState
	tail  []byte // framed
}

type uploadState int

const (
	uploading uploadState = iota
	attempted             // an attempt has its connection
	dropped
)

// Messages of a target's actor about uploads.
type (
	ahead    struct{ up *Upload }
	unloaded struct {
		conn   *conn
		reason string
	}
)

// Ahead has a body's request opened at a target. Length is -1 where it is not known; wait is how long the target is told
// that an answer will be waited for.
func (g *Registry) StartUpload(ctx context.Context, node string, m *Request, length int64, wait time.Duration) (*Upload, error) {
	u := &Upload{msg: m, length: length, wait: wait, ctx: ctx, ready: make(chan struct{})}
	g.mu.Lock()
	if u.t = g.targets[node]; u.t != nil {
		g.tell(u.t, ahead{u})
	}
	g.mu.Unlock()
	if u.t == nil {
		return nil, ErrUploadFailed
	}
	<-u.ready // a connection comes up within the dial's time, or not
	if u.conn == nil {
		return nil, ErrUploadFailed
	}
	return u, nil
}

// begin gives an upload a connection; it is counted until it has ended.
func (t *target) begin(u *Upload) {
	if !open(&t.state) {
		close(u.ready)
		return
	}
	c, ok := t.take()
	if !ok {
		close(u.ready)
		return
	}
	t.uploads++
	go func() {
		defer close(u.ready)
		if c == nil {
			if c = t.dial(u.ctx); c == nil {
				t.box.Put(unloaded{nil, "CONNECT_FAILED"})
				return
			}
		}
		s, can := c.Session.(*httpSession)
		// News may have come while the connection was being made; the first byte is what counts.
		switch {
		case u.ctx.Err() != nil:
			t.box.Put(unloaded{c, "CANCELLED"})
			return
		case !can || !open(&t.state):
			t.box.Put(unloaded{c, "TARGET_LEAVES"})
			return
		}
		c.used++
		if !u.put(s, appendHead(nil, u.msg, s.host, u.wait.Milliseconds(), u.length)) {
			t.box.Put(unloaded{c, "WRITE_FAILED"})
			return
		}
		u.conn = c
	}()
}

// put writes to the target.
func (u *Upload) put(s *httpSession, b []byte) bool {
	s.SetWriteDeadline(time.Now().Add(uploadWithin))
	_, err := s.Write(b)
	return err == nil
}

// Write sends a piece that is not the last.
func (u *Upload) Write(piece []byte) (int, error) {
	if !u.put(u.conn.Session.(*httpSession), u.frame(piece)) {
		return 0, ErrUploadFailed
	}
	return len(piece), nil
}

// frame is a piece as it is written.
func (u *Upload) frame(piece []byte) []byte {
	if u.length >= 0 {
		return piece
	}
	b := strconv.AppendInt(make([]byte, 0, len(piece)+16), int64(len(piece)), 16)
	b = append(append(append(b, "\r\n"...), piece...), "\r\n"...)
	return b
}

// Last keeps the last piece, which is not empty, until the attempt.
func (u *Upload) HoldLastPiece(piece []byte) {
	u.tail = append([]byte(nil), u.frame(piece)...)
	if u.length < 0 {
		u.tail = append(u.tail, "0\r\n\r\n"...)
	}
}

// Node is the target that has it.
func (u *Upload) TargetID() string { return u.t.id }

// Close ends it, unless an attempt has taken it over.
func (u *Upload) Close() {
	if u.move(dropped) {
		u.t.box.Put(unloaded{u.conn, "CANCELLED"})
	}
}

// move tells whether it was still uploading.
func (u *Upload) move(to uploadState) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state != uploading {
		return false
	}
	u.state = to
	return true
}
