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
	// bodyTimeout is how long a body may take to arrive, plus one second for each minBodyRate bytes received. Real clients send
	// 64 kB a second.
	bodyTimeout = headerTimeout
	minBodyRate = 32 << 10
)

// pacedReader reads a body with a deadline that moves on as bytes arrive.
type pacedReader struct {
	body     io.Reader
	rc       *http.ResponseController
	start    time.Time
	received int64
}

func (p *pacedReader) Read(b []byte) (int, error) {
	deadline := p.start.Add(bodyTimeout + time.Duration(p.received)*time.Second/minBodyRate)
	if err := p.rc.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.received += int64(n)
	return n, err
}

// bodyError returns the response to a request whose body could not be read.
func bodyError(err error) *requestError {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRequestError(http.StatusRequestTimeout, "body: did not come whole")
	case errors.Is(err, net.ErrClosed): // evicted, or stopped by a shutdown: the request has not run
		return &requestError{status: http.StatusServiceUnavailable, text: rejectedText, reason: "READ_STOPPED"}
	case errors.Is(err, errBodyTooLong):
		return newRequestError(http.StatusRequestEntityTooLarge, "body: over %d bytes", upstream.MaxBody)
	}
	return newRequestError(http.StatusBadRequest, "body: cannot be read")
}

var errBodyTooLong = errors.New("body is too long")

// receiveBody reads the body: a small one is buffered, of a large one all but the last piece is sent to a target. A request is
// rejected if there is no budget or no target for its body; it cannot have run. The returned function releases the budget of a
// buffered body.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request, conn *clientConn, j *core.Job, m *upstream.Request) (*requestError, *core.Response, func()) {
	release := func() {}
	if r.ContentLength == 0 {
		return nil, nil, release
	}
	body := &pacedReader{body: r.Body, rc: http.NewResponseController(w), start: conn.lastArrival()}
	if r.ContentLength > upstream.MaxBufferedBody {
		reqErr, resp := s.forwardBody(r, conn, j, m, body, nil)
		return reqErr, resp, release
	}
	size := r.ContentLength
	if size < 0 {
		size = upstream.MaxBufferedBody
	}
	if !s.opt.BufferBudget.TryAcquire(size) {
		return nil, &core.Overloaded, release
	}
	release = func() { s.opt.BufferBudget.Release(size) }
	buffered, complete, err := readBuffered(body, r.ContentLength)
	switch {
	case err != nil:
		return bodyError(err), nil, release
	case !complete:
		reqErr, resp := s.forwardBody(r, conn, j, m, body, buffered)
		return reqErr, resp, release
	}
	if unused := size - int64(len(buffered)); unused > 0 {
		s.opt.BufferBudget.Release(unused)
		size -= unused
	}
	m.Body = buffered
	return nil, nil, release
}

// readBuffered reads a body of a known length, or one of an unknown length (-1) up to upstream.MaxBufferedBody bytes.
func readBuffered(body io.Reader, length int64) (buf []byte, complete bool, err error) {
	if length >= 0 {
		buf = make([]byte, length)
		_, err = io.ReadFull(body, buf)
		return buf, true, err
	}
	buf, err = io.ReadAll(io.LimitReader(body, upstream.MaxBufferedBody))
	return buf, len(buf) < upstream.MaxBufferedBody, err
}

// forwardBody sends the body to the target that the scheduler names, one piece at a time and without the last piece, which the
// attempt sends.
func (s *Server) forwardBody(r *http.Request, conn *clientConn, j *core.Job, m *upstream.Request, body *pacedReader, buffered []byte) (*requestError, *core.Response) {
	conn.claimRequest() // its client is sending the body: the connection must not be evicted any more
	if conn.clientClosed(false) {
		panic(http.ErrAbortHandler)
	}
	buf1, done1 := upstream.AcquireBuffer()
	defer done1()
	buf2, done2 := upstream.AcquireBuffer()
	defer done2()
	if size := int64(len(buf1) + len(buf2)); !s.opt.BufferBudget.TryAcquire(size) {
		return nil, &core.Overloaded
	} else {
		defer s.opt.BufferBudget.Release(size)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer conn.watchDisconnect(cancel)()
	arrival := &bodyArrival{conn: conn, length: r.ContentLength, since: body.start}
	respondBy := func() time.Time {
		since := arrival.mayBeWholeSince(body.received)
		timeout := s.admission.Load().Shutdown.LimitTimeout(j.Timeout, since, s.terminatedAt.Load())
		return since.Add(timeout - core.ResponseMargin)
	}
	up, err := s.openUpload(ctx, j, m, r.ContentLength, respondBy())
	if err != nil {
		return nil, &noTargetResponse
	}
	defer context.AfterFunc(ctx, up.Close)() // ends a write that blocks on a target that does not read
	reqErr, err := forwardPieces(up, body, buffered, buf1, buf2, respondBy)
	if reqErr != nil || err != nil {
		up.Close()
		if reqErr != nil {
			return reqErr, nil
		}
		return nil, &noTargetResponse
	}
	m.Upload, j.BoundEndpoint, j.Arrived = up, up.TargetID(), arrival.mayBeWholeSince(body.received)
	return nil, nil
}

// openUpload opens an upload to the target that the scheduler names, until the given time.
func (s *Server) openUpload(parent context.Context, j *core.Job, m *upstream.Request, length int64, until time.Time) (*upstream.Upload, error) {
	ctx, cancel := context.WithDeadline(parent, until)
	defer cancel()
	target := make(chan string, 1)
	s.core.Route(j.Shard, func(n string) { target <- n })
	select {
	case n := <-target:
		return s.opt.OpenUpload(ctx, n, m, length, j.Timeout)
	case <-ctx.Done(): // also if the core has stopped
		return nil, context.Cause(ctx)
	}
}

// noTargetResponse rejects a request if there is no target for its body, or if the upload failed.
var noTargetResponse = core.Response{Status: core.Rejected}

// forwardPieces writes a body to the upload, except for the last piece, which it passes to Upload.HoldLastPiece. It returns a requestError for a
// failure on the client's side, an error for one on the target's, which is also that a piece was not taken by the time of respondBy.
func forwardPieces(up *upstream.Upload, body *pacedReader, buffered, next, spare []byte, respondBy func() time.Time) (*requestError, error) {
	last := buffered
	var total = int64(len(buffered))
	for {
		n, err := readSome(body, next)
		if total += int64(n); total > upstream.MaxBody {
			return bodyError(errBodyTooLong), nil
		}
		if n > 0 {
			if len(last) > 0 {
				if err := up.Write(last, respondBy()); err != nil {
					return nil, err
				}
			}
			last = next[:n]
			next, spare = spare, next
		}
		switch {
		case errors.Is(err, io.EOF) && len(last) > 0:
			up.HoldLastPiece(last)
			return nil, nil
		case err != nil:
			return bodyError(err), nil
		}
	}
}

// readSome reads what is available, at least one byte.
func readSome(body io.Reader, b []byte) (n int, err error) {
	for n == 0 && err == nil {
		n, err = body.Read(b)
	}
	return n, err
}
