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

var format = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	mostWait   = 2 * time.Second // a poll lasts
	answerIn   = 5 * time.Second // for a reader to take its answer; a slower one is cut off
	deafFor    = 200 * time.Millisecond
	retryIn    = time.Second // for readers of a source that has nothing yet
	ageHead    = "Feed-Age-Ms"
	headBytes  = 300  // of a question's and an answer's headers, about
	mostServed = 4096 // polls at a time, unless told
)

// Origin is where a server's deltas come from: a source under its owner's lock.
type Origin interface {
	// Do runs f while nobody else touches the source or its store, and returns what is closed at the store's next change. Without
	// a source there is nothing to serve yet, and f isn't run.
	Do(f func(now time.Duration, s *watchstream.Source)) (changed <-chan struct{}, ok bool)
}

// Refused is what a source answers to a hello that it doesn't take.
type Refused struct {
	Reason  watchstream.Reason `json:"reason"`
	Why     string             `json:"why,omitempty"`
	AfterMs int64              `json:"after_ms,omitempty"` // come again then, here or elsewhere
}

func (e *Refused) Error() string { return string(e.Reason) + ": " + e.Why }

// busy is the reason that the source is used up for now.
const busy watchstream.Reason = "busy"

// Server answers readers' polls. What a reader is owed is read off the store when it can be sent, so that a slow one has nothing but its
// own connection.
type Server struct {
	from  Origin
	slots chan struct{}
	done  chan struct{}
	ended atomic.Bool
	count struct{ polls, deltas, records, bytes, refused, cut atomic.Uint64 }
}

// NewServer returns a server of at most so many polls at a time; 0: the usual number.
func NewServer(from Origin, most int) *Server {
	return &Server{from: from, slots: make(chan struct{}, cmp.Or(most, mostServed)), done: make(chan struct{})}
}

// Routes has the mux answer readers.
func (s *Server) Routes(mux *http.ServeMux) { mux.HandleFunc("POST "+watchPath, s.watch) }

// Stop ends the polls that wait.
func (s *Server) Stop() {
	if !s.ended.Swap(true) {
		close(s.done)
	}
}

// Served are a server's numbers since it began.
type Served struct {
	Polls   uint64 `json:"polls"`
	Deltas  uint64 `json:"deltas"`
	Records uint64 `json:"records"`
	Bytes   uint64 `json:"bytes"`   // of answers' bodies, as they were sent
	Refused uint64 `json:"refused"` // hellos, busy ones too
	Cut     uint64 `json:"cut"`     // readers that didn't take their answer in time
}

// Served tells the numbers.
func (s *Server) Served() Served {
	c := &s.count
	return Served{c.polls.Load(), c.deltas.Load(), c.records.Load(), c.bytes.Load(), c.refused.Load(), c.cut.Load()}
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.count.polls.Add(1)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.refuse(w, http.StatusServiceUnavailable, &Refused{busy, "too many polls at a time", retryIn.Milliseconds()})
		return
	}
	// Of this answer alone: the connection may be another call's next.
	ctl := http.NewResponseController(w)
	_ = ctl.SetWriteDeadline(time.Now().Add(mostWait + answerIn)) // a writer that can't is bounded by its server
	defer func() { _ = ctl.SetWriteDeadline(time.Time{}) }()
	var h watchstream.Hello
	body, err := readAll(http.MaxBytesReader(w, r.Body, mostHello), r.Header.Get(packedHead) == zipWord, mostHello)
	if err == nil {
		err = format.Unmarshal(body, &h)
	}
	if err != nil {
		s.refuse(w, http.StatusBadRequest, &Refused{Reason: watchstream.Malformed, Why: "body: " + err.Error()})
		return
	}
	if status, no := s.hear(h); no != nil {
		s.refuse(w, status, no)
		return
	}
	d, age := s.next(r, h)
	if d == nil {
		w.Header().Set(ageHead, strconv.FormatInt(age.Milliseconds(), 10))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	s.send(w, r, d, len(body))
}

// hear brings the source a reader's word.
func (s *Server) hear(h watchstream.Hello) (status int, no *Refused) {
	var err error
	if _, ok := s.from.Do(func(now time.Duration, src *watchstream.Source) { err = src.Hear(now, h) }); !ok {
		return http.StatusServiceUnavailable, &Refused{watchstream.Unready, "there is nothing here yet", retryIn.Milliseconds()}
	}
	var full *watchstream.Busy
	var refusal *watchstream.Refusal
	switch {
	case err == nil:
		return 0, nil
	case errors.As(err, &full):
		return http.StatusServiceUnavailable, &Refused{busy, err.Error(), max(1, full.After.Milliseconds())}
	case errors.As(err, &refusal) && refusal.Reason == watchstream.Unready:
		return http.StatusServiceUnavailable, &Refused{refusal.Reason, refusal.Why, retryIn.Milliseconds()}
	case errors.As(err, &refusal) && refusal.Reason != watchstream.Malformed:
		return http.StatusConflict, &Refused{Reason: refusal.Reason, Why: refusal.Why}
	}
	return http.StatusUnprocessableEntity, &Refused{Reason: watchstream.Malformed, Why: err.Error()}
}

// next waits for what a reader is to get; nil: nothing within the time that it waits.
func (s *Server) next(r *http.Request, h watchstream.Hello) (d *watchstream.Delta, age time.Duration) {
	until := monotone.Now() + min(time.Duration(max(h.WaitMs, 0))*time.Millisecond, mostWait)
	var timer *time.Timer
	for {
		var wait, at time.Duration
		changed, _ := s.from.Do(func(now time.Duration, src *watchstream.Source) {
			d, wait = src.Next(now, h.Name)
			age, at = src.Age(now), now
		})
		if d != nil || at >= until {
			return d, age
		}
		// What is owed and may not go yet doesn't go sooner for a change: it isn't looked at again for each of a burst of them.
		if wait < mostWait {
			changed = nil
			wait = min(wait, deafFor)
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

// send writes a delta, within a time that doesn't hang on its reader, and tells the source what it and its question took.
func (s *Server) send(w http.ResponseWriter, r *http.Request, d *watchstream.Delta, asked int) {
	text, err := format.Marshal(d)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if packs(r) {
		var packed bool
		if text, packed = pack(text); packed {
			w.Header().Set(packedHead, zipWord)
		}
	}
	s.from.Do(func(_ time.Duration, src *watchstream.Source) { src.Sent(d.For.Name, d, asked+len(text)+headBytes) })
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err = w.Write(text)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		s.count.cut.Add(1)
		return
	}
	s.count.deltas.Add(1)
	s.count.records.Add(uint64(len(d.Records)))
	s.count.bytes.Add(uint64(len(text)))
}

func (s *Server) refuse(w http.ResponseWriter, status int, no *Refused) {
	s.count.refused.Add(1)
	text, err := format.Marshal(no)
	if err != nil {
		status, text = http.StatusInternalServerError, nil
	}
	if no.AfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((no.AfterMs+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(text)) // a reader that is gone asks again
}
