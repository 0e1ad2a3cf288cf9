package soak

import (
	"fmt"
	"sync"
	"time"
)

// Exchange is a request as its client saw it.
type Exchange struct {
	ID         string
	Class      Class
	Timeout    time.Duration
	LocalAddr  string    // of the client's connection
	OnConn     int64     // how many requests were sent on that connection, this one included
	DialedAt   time.Time // when the connection was opened
	Begun      time.Time // when its first byte was written
	Written    time.Time // when its last byte was written; zero: it was not
	Left       time.Time // when the client closed the connection without waiting for the answer; zero: it did not
	Ended      time.Time // when the last byte of the answer came, or the connection's end
	Status     int       // 0: no answer
	Whole      bool      // the answer came to its end
	WrongBody  bool      // it is not the target's answer to this request
	ConnClosed bool      // the connection had ended before the request was written
	Err        error
}

// Deadline returns when the answer is due.
func (e *Exchange) Deadline() time.Time { return e.Written.Add(e.Timeout) }

// Attempt is a request as a target saw it.
type Attempt struct {
	ID       string
	Target   string
	Fault    TargetFault
	Begun    time.Time     // when its head came
	Whole    time.Time     // when its last byte came; zero: it did not
	Told     time.Duration // the time that it may take
	Answered time.Time     // when the last byte of the answer was written; zero: it was not
	Broken   time.Time     // when the connection was found broken while the answer was written
	NotRun   bool          // it was turned away
}

// ServerEnd is the end of a client's connection in the process's log.
type ServerEnd struct {
	At       time.Time
	Reason   string
	Requests int64 // of which a byte was read
}

// History is what clients, targets and the process recorded in a run.
type History struct {
	Plan       Plan
	Exchanges  []*Exchange
	Attempts   map[string][]*Attempt
	Drained    map[string]time.Time   // when a target was listed as draining, by ID
	Outages    []time.Time            // when discovery began to be unusable
	ServerEnds map[string][]ServerEnd // by the client's address
	TermAt     time.Time
	KilledAt   time.Time
	ExitedAt   time.Time // when the process ended by itself; zero: it was killed
	ExitErr    error
	PeakKB     int
	Machine    Machine
	Log        string
}

// Recorder collects a History. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	exchanges []*Exchange
	attempts  map[string][]*Attempt
	drained   map[string]time.Time
}

func newRecorder() *Recorder {
	return &Recorder{attempts: map[string][]*Attempt{}, drained: map[string]time.Time{}}
}

// addExchange records an exchange, which must not be changed any more.
func (r *Recorder) addExchange(e *Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges = append(r.exchanges, e)
}

// addAttempt records an attempt that is changed only by update.
func (r *Recorder) addAttempt(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a.ID] = append(r.attempts[a.ID], a)
}

// update changes recorded attempts.
func (r *Recorder) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// Timeline returns what is known of a request, one line for each step, with times in seconds since start.
func (h *History) Timeline(e *Exchange, start time.Time) string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3f", t.Sub(start).Seconds())
	}
	text := fmt.Sprintf("%s %s, %v: begun %s, written %s, left %s, ended %s with status %d, whole %v, request %d from %s, %v\n",
		e.Class.Name, e.ID, e.Timeout, at(e.Begun), at(e.Written), at(e.Left), at(e.Ended), e.Status, e.Whole, e.OnConn, e.LocalAddr, e.Err)
	for _, a := range h.Attempts[e.ID] {
		text += fmt.Sprintf("  at %s (%s): head %s, whole %s, told %v, answered %s, broken %s, turned away %v\n",
			a.Target, a.Fault, at(a.Begun), at(a.Whole), a.Told, at(a.Answered), at(a.Broken), a.NotRun)
	}
	for _, end := range h.ServerEnds[e.LocalAddr] {
		text += fmt.Sprintf("  connection ended at %s, %s, after %d requests\n", at(end.At), end.Reason, end.Requests)
	}
	return text
}
