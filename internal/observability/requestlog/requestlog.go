// Package requestlog logs how requests and attempts ended that did not succeed, one line each. Lines are written by a goroutine of its own, so
// that no caller waits for the output, and at a bounded rate: the next line tells how many were left out before it.
package requestlog

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

const (
	// linesPerSecond is how many lines are written in a second.
	linesPerSecond = 100
	// queuedLines is how many lines may wait to be written.
	queuedLines = 2 * linesPerSecond
	// maxTextBytes is how much is logged of a text that may be a client's.
	maxTextBytes = 128
)

// Attempt is how an attempt ended that did not serve its request.
type Attempt struct {
	RequestID string // as the client gave it
	Number    int    // of the attempt, from 0
	Target    string
	Outcome   string
	Took      time.Duration // since it was sent
}

// Request is how a request ended that was not served.
type Request struct {
	ID       string // as the client gave it; may be empty
	Class    string // may be empty
	Ending   string // such as "rejected"
	Reason   string // what decided it
	Attempts int
	Took     time.Duration // since it arrived; 0: not known
}

// Log writes the lines. A nil Log writes none. Its methods are safe for concurrent use and never block.
type Log struct {
	log   *slog.Logger
	lines chan line

	mu          sync.Mutex // guards the fields below
	windowStart time.Time
	inWindow    int // lines since windowStart
	omitted     int // lines left out since the last one that was not
}

// line is what one call of slog writes.
type line struct {
	text  string
	attrs []any
}

// New returns a log whose lines go to log once Run is called.
func New(log *slog.Logger) *Log {
	return &Log{log: log, lines: make(chan line, queuedLines)}
}

// Run writes lines until ctx ends, and then those that are still waiting.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case next := <-l.lines:
			l.log.Info(next.text, next.attrs...)
		case <-ctx.Done():
			l.writeWaiting()
			return
		}
	}
}

func (l *Log) writeWaiting() {
	for {
		select {
		case next := <-l.lines:
			l.log.Info(next.text, next.attrs...)
		default:
			return
		}
	}
}

// AttemptEnded logs an attempt that did not serve its request.
func (l *Log) AttemptEnded(a Attempt) {
	if omitted, ok := l.mayLog(); ok {
		l.put(omitted, "attempt ended", slog.String("request", clip(a.RequestID)), slog.Int("attempt", a.Number), slog.String("peer", a.Target),
			slog.String("reason", a.Outcome), slog.Duration("took", a.Took))
	}
}

// RequestEnded logs a request that was not served.
func (l *Log) RequestEnded(r Request) {
	if omitted, ok := l.mayLog(); ok {
		l.put(omitted, "request ended", slog.String("request", clip(r.ID)), slog.String("class", clip(r.Class)), slog.String("ending", r.Ending),
			slog.String("reason", clip(r.Reason)), slog.Int("attempts", r.Attempts), slog.Duration("took", r.Took))
	}
}

// clip returns the start of a text, not a part of one: the rest of a long head would stay in memory with it.
func clip(text string) string { return strings.Clone(text[:min(len(text), maxTextBytes)]) }

// mayLog reports whether another line keeps to the rate, and how many were left out before it.
func (l *Log) mayLog() (omitted int, ok bool) {
	if l == nil {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.inWindow = now, 0
	}
	if l.inWindow == linesPerSecond {
		l.omitted++
		return 0, false
	}
	l.inWindow++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// put queues a line, unless too many wait.
func (l *Log) put(omitted int, text string, attrs ...any) {
	if omitted > 0 {
		attrs = append(attrs, slog.Int("omitted", omitted))
	}
	select {
	case l.lines <- line{text, attrs}:
	default:
		l.mu.Lock()
		l.omitted += omitted + 1
		l.mu.Unlock()
	}
}
