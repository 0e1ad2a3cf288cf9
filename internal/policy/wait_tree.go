package policy

import (
	"math"
	"time"
)

// minWaitTree finds the queue with the smallest expected wait in logarithmic time: a binary tree of
// minima over the queues by position, built at first use and updated lazily.
type minWaitTree struct {
	leaves  int           // a power of two; 0: not built
	minima  []float64     // of the two nodes below, root at 1, leaves from index leaves on
	touched []*shardQueue // queues whose wait may have changed
	moving  []*shardQueue // queues whose wait changes as time passes
	asOf    time.Duration // time at which moving queues were last refreshed
}

// markWaitStale notes that the queue's expected wait may have changed.
func (q *shardQueue) markWaitStale() {
	if t := &q.index.waitTree; t.leaves > 0 {
		t.touched = appendOnce(t.touched, q, &q.listedTouched)
	}
}

// minWaitFrom returns the first queue with the smallest wait, searching cyclically from position from.
func (s *Scheduler) minWaitFrom(from int) *shardQueue {
	t := &s.waitTree
	if t.asOf != s.now {
		t.asOf = s.now
		for _, q := range t.moving {
			q.listedMoving = false
			q.markWaitStale()
		}
		t.moving = t.moving[:0]
	}
	if len(s.queues) > t.leaves || len(t.touched) > 16+len(s.queues)/8 {
		s.rebuildWaitTree()
	}
	for _, q := range t.touched {
		q.listedTouched = false
		s.updateWaitLeaf(q)
		for at := (t.leaves + q.position) / 2; at > 0; at /= 2 {
			least := min(t.minima[2*at], t.minima[2*at+1])
			if t.minima[at] == least {
				break
			}
			t.minima[at] = least
		}
	}
	t.touched = t.touched[:0]
	at, wait := t.firstMin(1, 0, t.leaves, from, len(s.queues))
	if before, less := t.firstMin(1, 0, t.leaves, 0, from); less < wait {
		at = before
	}
	return s.queues[at]
}

// rebuildWaitTree computes every leaf and all minima.
func (s *Scheduler) rebuildWaitTree() {
	t := &s.waitTree
	if t.leaves < len(s.queues) {
		for t.leaves = max(t.leaves, 1); t.leaves < len(s.queues); {
			t.leaves *= 2
		}
		t.minima = make([]float64, 2*t.leaves)
	}
	t.touched, t.moving = t.touched[:0], t.moving[:0]
	for _, q := range s.queues {
		q.listedTouched, q.listedMoving = false, false
		s.updateWaitLeaf(q)
	}
	for at := t.leaves - 1; at > 0; at-- {
		t.minima[at] = min(t.minima[2*at], t.minima[2*at+1])
	}
}

// updateWaitLeaf computes a queue's wait. It changes with time alone while attempts are in flight,
// which may become overdue, while the endpoint is blocked, and until it is warm.
func (s *Scheduler) updateWaitLeaf(q *shardQueue) {
	t, ep := &s.waitTree, q.endpoint
	t.minima[t.leaves+q.position] = s.expectedWait(q)
	if ep != nil && (len(ep.inFlight) > 0 || ep.blockedUntil > s.now || ep.Started > 0 && s.now-ep.Started < s.settings.Rules.WarmUpTime) {
		t.moving = appendOnce(t.moving, q, &q.listedMoving)
	}
}

// firstMin returns the first position of the smallest wait within [lo, hi). The node at covers span
// positions from left on.
func (t *minWaitTree) firstMin(at, left, span, lo, hi int) (place int, wait float64) {
	switch {
	case hi <= left || left+span <= lo:
		return left, math.Inf(1)
	case lo <= left && left+span <= hi:
		for wait = t.minima[at]; at < t.leaves; {
			if at, span = 2*at, span/2; t.minima[at] != wait {
				at, left = at+1, left+span
			}
		}
		return left, wait
	}
	place, wait = t.firstMin(2*at, left, span/2, lo, hi)
	if right, less := t.firstMin(2*at+1, left+span/2, span/2, lo, hi); less < wait || place < lo {
		return right, less
	}
	return place, wait
}
