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
	"spindlehitch/internal/process/monotone"
)

// jsonCodec is the JSON codec of all messages.
var jsonCodec = jsoniter.ConfigCompatibleWithStandardLibrary

// Times and bounds of a server.
const (
	maxPollWait   = 2 * time.Second // of a poll
	answerTimeout = 5 * time.Second // for a reader to read its answer; a slower one is cut off
	// for a reader whose rate is used up: it is not looked at again for each change of a burst
	burstPause      = 200 * time.Millisecond
	notReadyRetry   = time.Second // for readers of a source that has nothing yet
	ageHeader       = "Feed-Age-Ms"
	headerBytes     = 300  // estimated size of a request's and an answer's headers
	defaultMaxPolls = 4096 // at a time
)

// Origin is where a server's deltas come from: a source under its owner's lock.
type Origin interface {
	// WithSource runs f while it holds the lock of the source and its store, and returns a channel that is closed
	// at the store's next change. ok is false, and f is not run, if there is no source yet.
	WithSource(f func(now time.Duration, s *watchstream.Source)) (changed <-chan struct{}, ok bool)
}

// RejectedError is a source's answer to a request that it does not serve.
type RejectedError struct {
	Reason       watchstream.Reason `json:"reason"`
	Detail       string             `json:"why,omitempty"`
	RetryAfterMs int64              `json:"after_ms,omitempty"` // retry then, here or elsewhere
}

// Error returns the reason and the detail.
func (e *RejectedError) Error() string { return string(e.Reason) + ": " + e.Detail }

// reasonBusy says that the source has no capacity now.
const reasonBusy watchstream.Reason = "busy"

// Server answers readers' polls. What a reader lacks is read from the store when it can be sent, so
// that a slow reader has nothing but its own connection.
type Server struct {
	origin    Origin
	pollSlots chan struct{} // bounds polls at a time
	done      chan struct{} // closed by Stop
	stopped   atomic.Bool
	counters  struct{ polls, deltas, records, bytes, rejected, failedWrites atomic.Uint64 }
}

// NewServer returns a server of at most so many polls at a time; 0: the default.
func NewServer(origin Origin, maxPolls int) *Server {
	return &Server{origin: origin, pollSlots: make(chan struct{}, cmp.Or(maxPolls, defaultMaxPolls)), done: make(chan struct{})}
}

// Routes registers the server's route.
func (s *Server) Routes(mux *http.ServeMux) { mux.HandleFunc("POST "+watchPath, s.handlePoll) }

// Stop ends the polls that wait.
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
	Bytes        uint64 `json:"bytes"`   // of answer bodies, as sent
	Rejected     uint64 `json:"refused"` // requests, busy ones included
	FailedWrites uint64 `json:"cut"`     // readers that did not read their answer in time
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
		s.reject(w, http.StatusServiceUnavailable, &RejectedError{reasonBusy, "too many polls at a time", notReadyRetry.Milliseconds()})
		return
	}
	// For this answer alone: the connection may serve other calls later.
	ctl := http.NewResponseController(w)
	_ = ctl.SetWriteDeadline(time.Now().Add(maxPollWait + answerTimeout)) // a writer without deadlines is bounded by its server
	defer func() { _ = ctl.SetWriteDeadline(time.Time{}) }()
	var req watchstream.SubscribeRequest
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxRequestBytes), r.Header.Get(encodingHeader) == gzipEncoding, maxRequestBytes)
	if err == nil {
		err = jsonCodec.Unmarshal(body, &req)
	}
	if err != nil {
		s.reject(w, http.StatusBadRequest, &RejectedError{Reason: watchstream.ReasonMalformed, Detail: "body: " + err.Error()})
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

// subscribe passes a request to the source; rejection is nil if it was accepted.
func (s *Server) subscribe(req watchstream.SubscribeRequest) (status int, rejection *RejectedError) {
	var err error
	if _, ok := s.origin.WithSource(func(now time.Duration, src *watchstream.Source) { err = src.Subscribe(now, req) }); !ok {
		return http.StatusServiceUnavailable, &RejectedError{watchstream.ReasonNotReady, "there is nothing here yet", notReadyRetry.Milliseconds()}
	}
	var busy *watchstream.BusyError
	var rejected *watchstream.RejectedError
	switch {
	case err == nil:
		return 0, nil
	case errors.As(err, &busy):
		return http.StatusServiceUnavailable, &RejectedError{reasonBusy, err.Error(), max(1, busy.RetryAfter.Milliseconds())}
	case errors.As(err, &rejected) && rejected.Reason == watchstream.ReasonNotReady:
		return http.StatusServiceUnavailable, &RejectedError{rejected.Reason, rejected.Why, notReadyRetry.Milliseconds()}
	case errors.As(err, &rejected) && rejected.Reason != watchstream.ReasonMalformed:
		return http.StatusConflict, &RejectedError{Reason: rejected.Reason, Detail: rejected.Why}
	}
	return http.StatusUnprocessableEntity, &RejectedError{Reason: watchstream.ReasonMalformed, Detail: err.Error()}
}

// waitForDelta waits for what a reader gets; nil: nothing within the time that it waits.
func (s *Server) waitForDelta(r *http.Request, req watchstream.SubscribeRequest) (d *watchstream.Delta, age time.Duration) {
	until := monotone.Now() + min(time.Duration(max(req.WaitMs, 0))*time.Millisecond, maxPollWait)
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
		// What the reader's rate does not allow yet is not allowed sooner because of a change.
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

// sendDelta writes a delta within a time that does not depend on its reader, and tells the source how
// many bytes it and its request took.
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

// reject answers with a rejection.
func (s *Server) reject(w http.ResponseWriter, status int, rejected *RejectedError) {
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
	_, _ = w.Write(text) // a reader that is gone asks again
}
