package front

import (
	"sync"
	"time"
)

const (
	// cheapRate and cheapBurst bound the requests of one connection, in requests a second and at once, that are answered without a target. A client
	// that sends them as fast as it can would otherwise take the processor from all others.
	cheapRate, cheapBurst = 300, 300
	// readyEvents is how many of these a readiness check counts for: nobody has reason to send many.
	readyEvents = 10
	// errorRate and errorBurst bound the error responses on all connections, each of which costs a connection.
	errorRate, errorBurst = 300, 300
	// maxPaceWait and maxErrorWait bound a single wait. A bad client's error is due 3 s after it has connected.
	maxPaceWait, maxErrorWait = time.Second, 400 * time.Millisecond
)

// pacer is a token bucket. It is safe for concurrent use; a nil one never waits.
type pacer struct {
	interval time.Duration // between two events, in the long run
	burst    time.Duration // by how much events may be ahead of that
	mu       sync.Mutex
	nextAt   time.Time // when the bucket is full less one event
}

func newPacer(rate, burst int) *pacer {
	interval := time.Second / time.Duration(rate)
	return &pacer{interval: interval, burst: time.Duration(burst) * interval}
}

// count counts events.
func (p *pacer) count(events int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	p.nextAt = p.nextAt.Add(time.Duration(events) * p.interval)
	// Waits are bounded, so events can come faster than the rate; those that come later must not wait for all of them.
	if latest := now.Add(p.burst + maxPaceWait); p.nextAt.After(latest) {
		p.nextAt = latest
	}
}

// ahead returns by how much the events so far exceed the burst.
func (p *pacer) ahead() time.Duration {
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(time.Until(p.nextAt), 0) - p.burst
}

// wait waits until the events so far keep to the rate, but no longer than most. It returns how long that was.
func (p *pacer) wait(most time.Duration) time.Duration {
	d := max(min(p.ahead(), most), 0)
	if d > 0 {
		time.Sleep(d)
	}
	return d
}
