package front

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/observability/requestlog"
)

// requestError is the error response to a request that is not accepted.
type requestError struct {
	status     int
	text       string
	reason     string        // for the log: the text without what the client sent
	retryAfter time.Duration // when the client should retry; 0: not stated
}

func newRequestError(status int, format string, args ...any) *requestError {
	return &requestError{status: status, text: fmt.Sprintf(format, args...), reason: format}
}

// rejectedText is the body of the response to a rejected request.
const rejectedText = "refused: trying again is harmless"

// rejectAndDrain responds to a request that was not accepted before the rest of its body has arrived, and then reads and discards
// that within limits. Status 503 means that the request was valid and a retry is safe: there was no capacity or no target, or reading was
// stopped. Any other status means that the request itself, or the way it was sent, is at fault. It ends the handler.
func (s *Server) rejectAndDrain(w http.ResponseWriter, r *http.Request, conn *clientConn, reqErr *requestError) {
	rc := http.NewResponseController(w)
	// Without full duplex net/http would read the body before it responds, and the body may never arrive.
	_ = rc.EnableFullDuplex()
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Connection", "close")
	setRetryAfter(w, reqErr.retryAfter)
	writeError(w, reqErr.text, reqErr.status)
	flushed := rc.Flush() == nil
	if !conn.phase.CompareAndSwap(phaseReading, phaseDraining) {
		conn.phase.CompareAndSwap(phaseActive, phaseDraining)
	}
	if flushed && reqErr.status != http.StatusRequestTimeout && rc.SetReadDeadline(time.Now().Add(drainTimeout)) == nil {
		s.conns.discard(r.Body)
	}
	if flushed {
		// After a plain return net/http would keep the connection's buffers for half a second more if some of the body is unread. The
		// response is whole, and Close lets the client read it.
		panic(http.ErrAbortHandler)
	}
}

// writeError writes an error response like http.Error, but with its length: without it the response would end only with the handler.
func writeError(w http.ResponseWriter, text string, status int) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}

func setRetryAfter(w http.ResponseWriter, wait time.Duration) {
	if wait > 0 {
		w.Header().Set("Retry-After", fmt.Sprintf("%.3f", wait.Seconds()))
	}
}

// refusalReason names what a request was rejected for before the core had it.
func refusalReason(rejection *core.Response) string {
	if rejection == &noTargetResponse {
		return "NO_TARGET_FOR_BODY"
	}
	return "NO_BUFFER"
}

// logRefusal logs a request that is refused before the core has it. Names that are not configured here are not logged.
func (s *Server) logRefusal(r *http.Request, conn *clientConn, reason string) {
	class := classOf(r)
	if !s.admission.Load().Classes[class] {
		class = ""
	}
	s.opt.RequestLog.RequestEnded(requestlog.Request{ID: r.Header.Get("Request-Id"), Class: class, Ending: "refused", Reason: reason, Took: time.Since(conn.lastArrival())})
}
