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
	// pieceSize is how much of a body that passes through is here at a time.
	pieceSize = 16 << 10
	// holdFor is how long an answer without a length is held, since most are small and whole by then.
	holdFor = 25 * time.Millisecond
	// streamStall is how long an answer that is being passed on may bring nothing. What a target still gives must not be cut
	// off, and no request can be sent again for it.
	streamStall = 10 * time.Second
)

var pieces = sync.Pool{New: func() any { b := make([]byte, pieceSize); return &b }}

// Piece lends a buffer for a piece of a body; done returns it.
func AcquireBuffer() (piece []byte, done func()) {
	p := pieces.Get().(*[]byte)
	return *p, func() { pieces.Put(p) }
}

// Stream is the body of an answer that passes through. Whoever has it reads it to its end or discards it; only then is
// its connection free.
type Stream struct {
	Length int64 // -1: not told
	first  []byte
	eof    bool // first is all there is
	body   io.Reader
	in     *bufio.Reader
	conn   *httpSession
	close  bool // the connection ends with the answer
	passed int64
	mu     sync.Mutex
	ended  bool
	end    func(reuse bool, reason string)
}

// Read implements io.Reader. The end of a body that is not whole is an error other than io.EOF.
func (s *Stream) Read(b []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(b, s.first)
		s.first = s.first[n:]
		return n, nil
	}
	n, err := s.body.Read(b)
	if s.passed += int64(n); s.passed > MaxBody {
		err = errTooLarge // one without a length could go on for ever
	}
	if err != nil {
		s.finish(err)
	}
	return n, err
}

// begin reads the first of the body; all of it, where it is soon whole and small. Without a length it may be that: most
// are, so more of it is waited for a little.
func (s *Stream) begin(hold func(until time.Time)) error {
	first := make([]byte, 0, 4<<10)
	var since time.Time
	for {
		if len(first) == cap(first) {
			first = slices.Grow(first, len(first))
		}
		n, err := s.body.Read(first[len(first):cap(first)])
		first = first[:len(first)+n]
		s.first = first
		switch {
		case errors.Is(err, io.EOF):
			s.eof = true
			return nil
		case err != nil:
			return err
		case n == 0:
			continue
		case since.IsZero():
			since = time.Now()
		}
		hold(time.Time{})
		until := since.Add(holdFor)
		if s.Length >= 0 || len(first) >= pieceSize || !time.Now().Before(until) {
			return nil
		}
		// The wait is for raw bytes: a body's reader that met a deadline could not be read on.
		hold(until)
		_, err = s.in.Peek(1)
		hold(time.Time{})
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
	}
}

// Discard ends it early, if it has not ended.
func (s *Stream) Discard() { s.over(false, "CANCELLED") }

// finish ends it as its body did.
func (s *Stream) finish(err error) {
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		s.over(false, "READ_"+ReasonCode(err))
	case s.close || s.in.Buffered() > 0:
		s.over(false, "TARGET_CLOSES")
	default:
		s.over(s.conn.SetDeadline(time.Time{}) == nil, "CLOSED")
	}
}

func (s *Stream) over(reuse bool, reason string) {
	s.mu.Lock()
	end := s.end
	was := s.ended
	s.ended = true
	s.mu.Unlock()
	if !was && end != nil {
		end(reuse, reason)
	}
}

// onEnd has f called once it has ended, of which no reader can have heard before.
func (s *Stream) onEnd(f func(reuse bool, reason string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = f
}
