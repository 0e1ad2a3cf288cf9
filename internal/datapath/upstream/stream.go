package upstream

import (
	"bufio"
	"errors"
	"io"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// bufferSize is the size of the buffers through which bodies are streamed.
	bufferSize = 16 << 10
	// holdTimeout is how long the start of an answer without a length is buffered: most are small and complete by then.
	holdTimeout = 25 * time.Millisecond
	// streamStallTimeout is how long an answer that is being streamed may bring no data. It is long since the request cannot be
	// retried any more, and an answer that still makes progress must not be cut off.
	streamStallTimeout = 10 * time.Second
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// AcquireBuffer returns a pooled buffer for a piece of a body; release returns it to the pool.
func AcquireBuffer() (buf []byte, release func()) {
	p := buffers.Get().(*[]byte)
	return *p, func() { buffers.Put(p) }
}

// Stream is the body of an answer that is not buffered completely. Its owner must read it until an error, io.EOF included, or
// discard it; only then does its connection go back to the pool or close. The mutex guards ended and notify.
type Stream struct {
	Length    int64  // -1: unknown
	prefix    []byte // the part that readPrefix has read and Read has not returned
	complete  bool   // prefix is the whole body
	body      io.Reader
	in        *bufio.Reader
	conn      *httpSession
	closes    bool // the connection ends with the answer
	bytesRead int64
	mu        sync.Mutex
	ended     bool
	notify    func(reuse bool, reason string) // called once, when it ends
}

// Read implements io.Reader. A truncated body ends with an error other than io.EOF.
func (s *Stream) Read(b []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(b, s.prefix)
		if s.prefix = s.prefix[n:]; len(s.prefix) == 0 {
			s.prefix = nil // its memory is in no budget
		}
		return n, nil
	}
	n, err := s.body.Read(b)
	if s.bytesRead += int64(n); s.bytesRead > MaxBody {
		err = errTooLarge // a body without a length could be endless
	}
	if err != nil {
		s.finish(err)
	}
	return n, err
}

// readPrefix reads the first part of the body. Without a length it waits up to holdTimeout for more, since most bodies are small
// and complete by then.
func (s *Stream) readPrefix(setReadDeadline func(until time.Time)) error {
	prefix := make([]byte, 0, 4<<10)
	var holdUntil time.Time // zero: nothing of the body has come yet
	for {
		if len(prefix) == cap(prefix) {
			prefix = slices.Grow(prefix, len(prefix))
		}
		n, err := s.body.Read(prefix[len(prefix):cap(prefix)])
		prefix = prefix[:len(prefix)+n]
		s.prefix = prefix
		held := !holdUntil.IsZero() && errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case errors.Is(err, io.EOF):
			s.complete = true
			return nil
		case err != nil && !held:
			return err
		case n == 0 && !held:
			continue
		case holdUntil.IsZero():
			holdUntil = time.Now().Add(holdTimeout)
		}
		if held || s.Length >= 0 || len(prefix) >= bufferSize || !time.Now().Before(holdUntil) {
			setReadDeadline(time.Time{})
			return nil
		}
		setReadDeadline(holdUntil)
	}
}

// Discard ends the stream and closes its connection, unless the stream has ended already.
func (s *Stream) Discard() { s.end(false, "CANCELLED") }

// finish ends the stream after the error that its body ended with.
func (s *Stream) finish(err error) {
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		s.end(false, "READ_"+ReasonCode(err))
	case s.closes || s.in.Buffered() > 0:
		s.end(false, "TARGET_CLOSES")
	default:
		s.end(s.conn.SetDeadline(time.Time{}) == nil, "CLOSED")
	}
}

// end marks the stream as ended and calls notify, once.
func (s *Stream) end(reuse bool, reason string) {
	s.mu.Lock()
	notify := s.notify
	already := s.ended
	s.ended = true
	s.mu.Unlock()
	if !already && notify != nil {
		notify(reuse, reason)
	}
}

// setNotify sets the function that is called at the end. It is called before the stream is given to a reader.
func (s *Stream) setNotify(f func(reuse bool, reason string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify = f
}
