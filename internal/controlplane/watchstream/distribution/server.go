package distribution

import (
	"cmp"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotonic"
)

// jsonCodec encodes and decodes all messages.
var jsonCodec = jsoniter.ConfigCompatibleWithStandardLibrary

// Times and bounds of a server.
const (
	maxPollWait   = 2 * time.Second // upper limit of a poll's wait
	answerTimeout = 5 * time.Second // for a reader to read its response; a slower one's connection is closed
	// upper limit of the wait for a reader whose rate is used up; such readers are not checked at each change of a burst
	burstPause      = 200 * time.Millisecond
	notReadyRetry   = time.Second // retry delay of readers whose source has no state yet or whose server is at its limit of polls
	ageHeader       = "Feed-Age-Ms"
	headerBytes     = 300  // estimated size of the headers of a request and its response
	defaultMaxPolls = 4096 // concurrent polls of a server, if NewServer is given none
)

// Origin gives a server access to a source under the lock that guards it.
type Origin interface {
	// WithSource calls f while it holds the lock of the source and its store, and returns a channel that the owner
	// closes at the store's next change. ok is false, and f is not called, if there is no source yet.
	WithSource(f func(now time.Duration, s *watchstream.Source)) (changed <-chan struct{}, ok bool)
}

// ResponseError is the response body for a request that a server rejects.
type ResponseError struct {
	Reason       watchstream.Reason `json:"reason"`
	Detail       string             `json:"why,omitempty"`
	RetryAfterMs int64              `json:"after_ms,omitempty"` // retry after this time, at this source or another; 0: not given
}

// Error returns the reason and the detail.
func (e *ResponseError) Error() string { return string(e.Reason) + ": " + e.Detail }

// reasonBusy is the reason if a server has no capacity now.
const reasonBusy watchstream.Reason = "busy"

// Server answers readers' polls. Records are read from the store when they can be sent, so that a slow
// reader occupies nothing but its own connection and poll.
type Server struct {
	origin    Origin
	pollSlots chan struct{} // one token for each poll in progress; its capacity bounds them
	done      chan struct{} // closed by the first Stop
	stopped   atomic.Bool   // Stop was called
	counters  struct{ polls, deltas, records, bytes, rejected, failedWrites atomic.Uint64 }
}

// NewServer returns a server that serves at most maxPolls at a time; 0: defaultMaxPolls.
func NewServer(origin Origin, maxPolls int) *Server {
	return &Server{origin: origin, pollSlots: make(chan struct{}, cmp.Or(maxPolls, defaultMaxPolls)), done: make(chan struct{})}
}

// Routes registers the server's routes.
func (s *Server) Routes(mux *http.ServeMux) { mux.HandleFunc("POST "+watchPath, s.handlePoll) }

// Stop ends all waiting polls, which are then answered without a delta.
func (s *Server) Stop() {
	if !s.stopped.Swap(true) {
		close(s.done)
	}
}

// ServerState is a server's counters since its start.
type ServerState struct {
	Polls        uint64 `json:"polls"`
	Deltas       uint64 `json:"deltas"`
	Records      uint64 `json:"records"`
	Bytes        uint64 `json:"bytes"`   // of response bodies with deltas, as sent
	Rejected     uint64 `json:"refused"` // requests, including those rejected as busy
	FailedWrites uint64 `json:"cut"`     // responses that a reader did not read in time, or whose connection failed
}

// State returns the counters.
func (s *Server) State() ServerState {
	c := &s.counters
	return ServerState{c.polls.Load(), c.deltas.Load(), c.records.Load(), c.bytes.Load(), c.rejected.Load(), c.failedWrites.Load()}
}

// handlePoll answers one poll.
func (s *Server) handlePoll(w http.ResponseWriter, r *http.Request) {
	s.counters.polls.Add(1)
	select {
	case s.pollSlots <- struct{}{}:
		defer func() { <-s.pollSlots }()
	default:
		s.reject(w, http.StatusServiceUnavailable, &ResponseError{reasonBusy, "too many polls at a time", notReadyRetry.Milliseconds()})
		return
	}
	// The deadline is for this response only, since the connection may serve other requests later.
	ctl := http.NewResponseController(w)
	_ = ctl.SetWriteDeadline(time.Now().Add(maxPollWait + answerTimeout)) // without support for deadlines, the HTTP server's timeouts apply
	defer func() { _ = ctl.SetWriteDeadline(time.Time{}) }()
	var req watchstream.SubscribeRequest
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxRequestBytes), r.Header.Get(encodingHeader) == gzipEncoding, maxRequestBytes)
	if err == nil {
		err = jsonCodec.Unmarshal(body, &req)
	}
	if err != nil {
		s.reject(w, http.StatusBadRequest, &ResponseError{Reason: watchstream.ReasonMalformed, Detail: "body: " + err.Error()})
		return
	}
	if status, rejected := s.subscribe(req); rejected != nil {
		s.reject(w, status, rejected)
		return
	}
	d, age := s.waitForDelta(r, req)
	if d == nil {
		w.Header().Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.sendDelta(w, r, d, len(body))
}

// subscribe passes a request to the source. rejection is nil if the source accepted it; status is the HTTP
// status of a rejection.
func (s *Server) subscribe(req watchstream.SubscribeRequest) (status int, rejection *ResponseError) {
	var err error
	if _, ok := s.origin.WithSource(func(now time.Duration, src *watchstream.Source) { err = src.Subscribe(now, req) }); !ok {
		return http.StatusServiceUnavailable, &ResponseError{watchstream.ReasonNotReady, "there is nothing here yet", notReadyRetry.Milliseconds()}
	}
	var busy *watchstream.BusyError
	var rejected *watchstream.RejectedError
	switch {
	case err == nil:
		return 0, nil
	case errors.As(err, &busy):
		return http.StatusServiceUnavailable, &ResponseError{reasonBusy, err.Error(), max(1, busy.RetryAfter.Milliseconds())}
	case errors.As(err, &rejected) && rejected.Reason == watchstream.ReasonNotReady:
		return http.StatusServiceUnavailable, &ResponseError{rejected.Reason, rejected.Why, notReadyRetry.Milliseconds()}
	case errors.As(err, &rejected) && rejected.Reason != watchstream.ReasonMalformed:
		return http.StatusConflict, &ResponseError{Reason: rejected.Reason, Detail: rejected.Why}
	}
	return http.StatusUnprocessableEntity, &ResponseError{Reason: watchstream.ReasonMalformed, Detail: err.Error()}
}

// waitForDelta waits for a reader's next delta. It returns nil once the request's wait is over, the reader
// has disconnected or the server is stopped.
func (s *Server) waitForDelta(r *http.Request, req watchstream.SubscribeRequest) (d *watchstream.Delta, age time.Duration) {
	until := monotonic.Now() + min(time.Duration(max(req.WaitMs, 0))*time.Millisecond, maxPollWait)
	var timer *time.Timer
	for {
		var wait, checkedAt time.Duration
		changed, _ := s.origin.WithSource(func(now time.Duration, src *watchstream.Source) {
			d, wait = src.NextDelta(now, req.Name)
			age, checkedAt = src.Age(now), now
		})
		if d != nil || checkedAt >= until {
			return d, age
		}
		// The delta is limited by the reader's rate, which a change of the store does not affect.
		if wait < maxPollWait {
			changed = nil
			wait = min(wait, burstPause)
		}
		if wait = max(min(wait, until-checkedAt), time.Millisecond); timer == nil {
			timer = time.NewTimer(wait)
			defer timer.Stop()
		} else {
			timer.Reset(wait)
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			return nil, age
		case <-s.done:
			return nil, age
		}
	}
}

// sendDelta writes a delta, within the write deadline set before, and reports the bytes of the response and
// its request to the source.
func (s *Server) sendDelta(w http.ResponseWriter, r *http.Request, d *watchstream.Delta, requestBytes int) {
	text, err := jsonCodec.Marshal(d)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if acceptsGzip(r) {
		var compressed bool
		if text, compressed = compress(text); compressed {
			w.Header().Set(encodingHeader, gzipEncoding)
		}
	}
	s.origin.WithSource(func(_ time.Duration, src *watchstream.Source) {
		src.DeltaSent(d.Scope.Name, d, requestBytes+len(text)+headerBytes)
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err = w.Write(text)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		s.counters.failedWrites.Add(1)
		return
	}
	s.counters.deltas.Add(1)
	s.counters.records.Add(uint64(len(d.Records)))
	s.counters.bytes.Add(uint64(len(text)))
}

// reject answers a request with a rejection.
func (s *Server) reject(w http.ResponseWriter, status int, rejected *ResponseError) {
	s.counters.rejected.Add(1)
	text, err := jsonCodec.Marshal(rejected)
	if err != nil {
		status, text = http.StatusInternalServerError, nil
	}
	if rejected.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((rejected.RetryAfterMs+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // a reader that has disconnected retries
}
