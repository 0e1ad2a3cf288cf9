package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
)

const (
	// bodyWithin is how long a body may take to come, and bodyRate how many bytes a second it must bring beyond that. True
	// clients write 64 kB a second.
	bodyWithin = headWithin
	bodyRate   = 32 << 10
)

// paced reads a body for as long as it keeps coming.
type paced struct {
	body  io.Reader
	rc    *http.ResponseController
	since time.Time
	got   int64
}

func (p *paced) Read(b []byte) (int, error) {
	at := p.since.Add(bodyWithin + time.Duration(p.got)*time.Second/bodyRate)
	if err := p.rc.SetReadDeadline(at); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.got += int64(n)
	return n, err
}

// broken is what a client is told whose body did not come whole.
func broken(err error) *fault {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bad(http.StatusRequestTimeout, "body: did not come whole")
	case errors.Is(err, net.ErrClosed): // it made room, or the program leaves: nothing of it was taken
		return &fault{status: http.StatusServiceUnavailable, text: refusedText}
	case errors.Is(err, errLong):
		return bad(http.StatusRequestEntityTooLarge, "body: over %d bytes", upstream.MaxBody)
	}
	return bad(http.StatusBadRequest, "body: cannot be read")
}

var errLong = errors.New("body is too long")

// receive takes the body: held, where it is small, or on its way to its target but for the last of it. A request that
// could not be taken in for want of room or of a target is refused; nothing of it can have run. Held bytes are given back
// by what it returns last.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, conn *clientConn, j *core.Job, m *upstream.Message) (*fault, *core.Response, func()) {
	free := func() {}
	if r.ContentLength == 0 {
		return nil, nil, free
	}
	body := &paced{body: r.Body, rc: http.NewResponseController(w), since: conn.arrival()}
	if r.ContentLength > upstream.MaxHeld {
		f, a := s.forward(r, conn, j, m, body, nil)
		return f, a, free
	}
	hold := r.ContentLength
	if hold < 0 {
		hold = upstream.MaxHeld
	}
	if !s.opt.BufferBudget.Take(hold) {
		return nil, &core.Overloaded, free
	}
	free = func() { s.opt.BufferBudget.Give(hold) }
	held, whole, err := readHeld(body, r.ContentLength)
	switch {
	case err != nil:
		return broken(err), nil, free
	case !whole:
		f, a := s.forward(r, conn, j, m, body, held)
		return f, a, free
	}
	if left := hold - int64(len(held)); left > 0 {
		s.opt.BufferBudget.Give(left)
		hold -= left
	}
	m.Body = held
	return nil, nil, free
}

// readHeld reads a body of a known length, or one of an unknown length (-1) as far as may be held.
func readHeld(body io.Reader, length int64) (held []byte, whole bool, err error) {
	if length >= 0 {
		held = make([]byte, length)
		_, err = io.ReadFull(body, held)
		return held, true, err
	}
	held, err = io.ReadAll(io.LimitReader(body, upstream.MaxHeld))
	return held, len(held) < upstream.MaxHeld, err
}

// forward has the body go ahead to the target that the module names, a piece at a time, all but the last one.
func (s *Server) forward(r *http.Request, conn *clientConn, j *core.Job, m *upstream.Message, body *paced, held []byte) (*fault, *core.Response) {
	conn.claim() // it brings what it claimed to: it does not make room for others any more
	a, done := upstream.Piece()
	defer done()
	b, doneToo := upstream.Piece()
	defer doneToo()
	if room := int64(len(a) + len(b)); !s.opt.BufferBudget.Take(room) {
		return nil, &core.Overloaded
	} else {
		defer s.opt.BufferBudget.Give(room)
	}
	ctx, leave := context.WithCancel(r.Context())
	defer leave()
	defer conn.mind(leave)()
	node := make(chan string, 1)
	s.core.Route(j.Shard, func(n string) { node <- n })
	up, err := s.opt.OpenUpload(ctx, <-node, m, r.ContentLength, j.Timeout)
	if err != nil {
		return nil, &noTarget
	}
	defer context.AfterFunc(ctx, up.Close)() // a write to a target that does not read ends with it
	f, err := feed(up, body, held, a, b)
	if f != nil || err != nil {
		up.Close()
		if f != nil {
			return f, nil
		}
		return nil, &noTarget
	}
	m.Upload, j.BoundEndpoint = up, up.Node()
	return nil, nil
}

// noTarget refuses a request whose body found no target, or lost it.
var noTarget = core.Response{Status: core.Rejected}

// feed passes a body on and keeps its last piece back. What goes wrong on the client's side is a fault, on the target's an
// error.
func feed(up *upstream.Upload, body *paced, held, next, spare []byte) (*fault, error) {
	last := held
	var total = int64(len(held))
	for {
		n, err := fill(body, next)
		if total += int64(n); total > upstream.MaxBody {
			return broken(errLong), nil
		}
		if n > 0 {
			if len(last) > 0 {
				if _, err := up.Write(last); err != nil {
					return nil, err
				}
			}
			last = next[:n]
			next, spare = spare, next
		}
		switch {
		case errors.Is(err, io.EOF) && len(last) > 0:
			up.Last(last)
			return nil, nil
		case err != nil:
			return broken(err), nil
		}
	}
}

// fill reads what there is, at least a byte.
func fill(body io.Reader, b []byte) (n int, err error) {
	for n == 0 && err == nil {
		n, err = body.Read(b)
	}
	return n, err
}

// headScan looks at a request's head as it comes in, for what net/http does not tell of it. It is fed by whoever reads the
// connection and asked by the handler.
type headScan struct {
	line   []byte // the request line, as far as it fits
	field  []byte // the start of the line under way
	lines  int
	length bool // a Content-Length was there
	done   bool
}

const (
	maxLine     = 4 << 10
	lengthField = "content-length:"
)

// feed takes bytes in.
func (h *headScan) feed(b []byte) {
	for _, c := range b {
		switch {
		case h.done:
			return
		case c != '\n':
			if h.lines == 0 && len(h.line) < maxLine {
				h.line = append(h.line, c)
			}
			if len(h.field) < len(lengthField) && c != '\r' {
				h.field = append(h.field, c|0x20) // a colon stays what it is
			}
			continue
		case len(h.field) == 0:
			if h.lines > 0 { // empty lines in front of a request are none of it
				h.done = true
			}
		default:
			h.length = h.length || string(h.field) == lengthField
			h.lines++
		}
		h.field = h.field[:0]
	}
}

// fresh has it look for the next head.
func (h *headScan) fresh() {
	*h = headScan{line: h.line[:0], field: h.field[:0]}
}

// codedAlone tells whether the request's head was seen whole, from its first line on, and has no Content-Length.
func (h *headScan) codedAlone(r *http.Request) bool {
	line := h.line
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return h.done && !h.length && string(line) == r.Method+" "+r.RequestURI+" "+r.Proto
}
