package distribution

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotone"
)

var jsonCodec = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	maxPollWait     = 2 * time.Second // a poll lasts
	answerTimeout   = 5 * time.Second // for a reader to take its answer; a slower one is cut off
	burstPause      = 200 * time.Millisecond
	notReadyRetry   = time.Second // for readers of a source that has nothing yet
	ageHeader       = "Feed-Age-Ms"
	headerBytes     = 300  // of a question's and an answer's headers, about
	defaultMaxPolls = 4096 // polls at a time, unless told
)

// Origin is where a server's deltas come from: a source under its owner's lock.
type Origin interface {
	// WithSource runs f while nobody else touches the source or its store, and returns what is closed at the store's next change. Without
	// a source there is nothing to serve yet, and f isn't run.
	WithSource(f func(now time.Duration, s *watchstream.Source)) (changed <-chan struct{}, ok bool)
}

// RejectedError is what a source answers to a hello that it doesn't take.
type RejectedError struct {
	Reason       watchstream.Reason `json:"reason"`
	Detail       string             `json:"why,omitempty"`
	RetryAfterMs int64              `json:"after_ms,omitempty"` // come again then, here or elsewhere
}

func (e *RejectedError) Error() string { return string(e.Reason) + ": " + e.Detail }

// reasonBusy is the reason that the source is used up for now.
const reasonBusy watchstream.Reason = "busy"

// Server answers readers' polls. What a reader is owed is read off the store when it can be sent, so that a slow one has nothing but its
// own connection.
type Server struct {
	origin    Origin
	pollSlots chan struct{}
	done      chan struct{}
	stopped   atomic.Bool
	counters  struct{ polls, deltas, records, bytes, refused, cut atomic.Uint64 }
}

// NewServer returns a server of at most so many polls at a time; 0: the usual number.
func NewServer(from Origin, most int) *Server {
	return &Server{origin: from, pollSlots: make(chan struct{}, cmp.Or(most, defaultMaxPolls)), done: make(chan struct{})}
}

// Routes has the mux answer readers.
func (s *Server) Routes(mux *http.ServeMux) { mux.HandleFunc("POST "+watchPath, s.handlePoll) }

// Stop ends the polls that wait.
func (s *Server) Stop() {
	if !s.stopped.Swap(true) {
		close(s.done)
	}
}

// ServerState are a server's numbers since it began.
type ServerState struct {
	Polls    uint64 `json:"polls"`
	Deltas   uint64 `json:"deltas"`
	Records  uint64 `json:"records"`
	Bytes    uint64 `json:"bytes"`   // of answers' bodies, as they were sent
	Rejected uint64 `json:"refused"` // hellos, busy ones too
	CutOff   uint64 `json:"cut"`     // readers that didn't take their answer in time
}

// State tells the numbers.
func (s *Server) State() ServerState {
	c := &s.counters
	return ServerState{c.polls.Load(), c.deltas.Load(), c.records.Load(), c.bytes.Load(), c.refused.Load(), c.cut.Load()}
}

func (s *Server) handlePoll(w http.ResponseWriter, r *http.Request) {
	s.counters.polls.Add(1)
	select {
	case s.pollSlots <- struct{}{}:
		defer func() { <-s.pollSlots }()
	default:
		s.reject(w, http.StatusServiceUnavailable, &RejectedError{reasonBusy, "too many polls at a time", notReadyRetry.Milliseconds()})
		return
	}
	// Of this answer alone: the connection may be another call's next.
	ctl := http.NewResponseController(w)
	_ = ctl.SetWriteDeadline(time.Now().Add(maxPollWait + answerTimeout)) // a writer that can't is bounded by its server
	defer func() { _ = ctl.SetWriteDeadline(time.Time{}) }()
	var h watchstream.SubscribeRequest
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxRequestBytes), r.Header.Get(encodingHeader) == gzipEncoding, maxRequestBytes)
	if err == nil {
		err = jsonCodec.Unmarshal(body, &h)
	}
	if err != nil {
		s.reject(w, http.StatusBadRequest, &RejectedError{Reason: watchstream.ReasonMalformed, Detail: "body: " + err.Error()})
		return
	}
	if status, no := s.subscribe(h); no != nil {
		s.reject(w, status, no)
		return
	}
	d, age := s.waitForDelta(r, h)
	if d == nil {
		w.Header().Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.sendDelta(w, r, d, len(body))
}

// subscribe brings the source a reader's word.
func (s *Server) subscribe(h watchstream.SubscribeRequest) (status int, no *RejectedError) {
	var err error
	if _, ok := s.origin.WithSource(func(now time.Duration, src *watchstream.Source) { err = src.Subscribe(now, h) }); !ok {
		return http.StatusServiceUnavailable, &RejectedError{watchstream.ReasonNotReady, "there is nothing here yet", notReadyRetry.Milliseconds()}
	}
	var full *watchstream.BusyError
	var refusal *watchstream.RejectedError
	switch {
	case err == nil:
		return 0, nil
	case errors.As(err, &full):
		return http.StatusServiceUnavailable, &RejectedError{reasonBusy, err.Error(), max(1, full.RetryAfter.Milliseconds())}
	case errors.As(err, &refusal) && refusal.Reason == watchstream.ReasonNotReady:
		return http.StatusServiceUnavailable, &RejectedError{refusal.Reason, refusal.Why, notReadyRetry.Milliseconds()}
	case errors.As(err, &refusal) && refusal.Reason != watchstream.ReasonMalformed:
		return http.StatusConflict, &RejectedError{Reason: refusal.Reason, Detail: refusal.Why}
	}
	return http.StatusUnprocessableEntity, &RejectedError{Reason: watchstream.ReasonMalformed, Detail: err.Error()}
}

// waitForDelta waits for what a reader is to get; nil: nothing within the time that it waits.
func (s *Server) waitForDelta(r *http.Request, h watchstream.SubscribeRequest) (d *watchstream.Delta, age time.Duration) {
	until := monotone.Now() + min(time.Duration(max(h.WaitMs, 0))*time.Millisecond, maxPollWait)
	var timer *time.Timer
	for {
		var wait, at time.Duration
		changed, _ := s.origin.WithSource(func(now time.Duration, src *watchstream.Source) {
			d, wait = src.NextDelta(now, h.Name)
			age, at = src.Age(now), now
		})
		if d != nil || at >= until {
			return d, age
		}
		// What is owed and may not go yet doesn't go sooner for a change: it isn't looked at again for each of a burst of them.
		if wait < maxPollWait {
			changed = nil
			wait = min(wait, burstPause)
		}
		if wait = max(min(wait, until-at), time.Millisecond); timer == nil {
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

// sendDelta writes a delta, within a time that doesn't hang on its reader, and tells the source what it and its question took.
func (s *Server) sendDelta(w http.ResponseWriter, r *http.Request, d *watchstream.Delta, asked int) {
	text, err := jsonCodec.Marshal(d)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if acceptsGzip(r) {
		var packed bool
		if text, packed = compress(text); packed {
			w.Header().Set(encodingHeader, gzipEncoding)
		}
	}
	s.origin.WithSource(func(_ time.Duration, src *watchstream.Source) {
		src.DeltaSent(d.Scope.Name, d, asked+len(text)+headerBytes)
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err = w.Write(text)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		s.counters.cut.Add(1)
		return
	}
	s.counters.deltas.Add(1)
	s.counters.records.Add(uint64(len(d.Records)))
	s.counters.bytes.Add(uint64(len(text)))
}

func (s *Server) reject(w http.ResponseWriter, status int, no *RejectedError) {
	s.counters.refused.Add(1)
	text, err := jsonCodec.Marshal(no)
	if err != nil {
		status, text = http.StatusInternalServerError, nil
	}
	if no.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((no.RetryAfterMs+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(text)) // a reader that is gone asks again
}
