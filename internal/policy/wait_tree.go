package policy

import (
	"math"
	"time"
)

// minWaitTree finds the queue with the smallest expected wait in logarithmic time: a binary tree of
// minima over the queues by position, built at first use and updated lazily.
type minWaitTree struct {
	leaves        int           // a power of two; 0: not built
	minima        []float64     // of the two child nodes; root at 1, leaves from index leaves on
	dirty         []*shardQueue // queues whose wait may have changed
	timeDependent []*shardQueue // queues whose wait changes as time passes
	refreshedAt   time.Duration // time at which the time-dependent queues were last marked dirty
}

// markWaitDirty records that the queue's expected wait may have changed.
func (q *shardQueue) markWaitDirty() {
	if t := &q.index.waitTree; t.leaves > 0 {
		t.dirty = appendOnce(t.dirty, q, &q.inDirtyList)
	}
}

// minWaitFrom returns the first queue with the smallest wait, searching cyclically from position from.
func (s *Scheduler) minWaitFrom(from int) *shardQueue {
	t := &s.waitTree
	if t.refreshedAt != s.now {
		t.refreshedAt = s.now
		for _, q := range t.timeDependent {
			q.inTimeDependentList = false
			q.markWaitDirty()
		}
		t.timeDependent = t.timeDependent[:0]
	}
	if len(s.queues) > t.leaves || len(t.dirty) > 16+len(s.queues)/8 {
		s.rebuildWaitTree()
	}
	for _, q := range t.dirty {
		q.inDirtyList = false
		s.updateWaitLeaf(q)
		for node := (t.leaves + q.position) / 2; node > 0; node /= 2 {
			smallest := min(t.minima[2*node], t.minima[2*node+1])
			if t.minima[node] == smallest {
				break
			}
			t.minima[node] = smallest
		}
	}
	t.dirty = t.dirty[:0]
	first, wait := t.firstMin(1, 0, t.leaves, from, len(s.queues))
	if wrapped, wrappedWait := t.firstMin(1, 0, t.leaves, 0, from); wrappedWait < wait {
		first = wrapped
	}
	return s.queues[first]
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
	t.dirty, t.timeDependent = t.dirty[:0], t.timeDependent[:0]
	for _, q := range s.queues {
		q.inDirtyList, q.inTimeDependentList = false, false
		s.updateWaitLeaf(q)
	}
	for at := t.leaves - 1; at > 0; at-- {
		t.minima[at] = min(t.minima[2*at], t.minima[2*at+1])
	}
}

// updateWaitLeaf computes a queue's wait. The wait changes with time alone while attempts are in flight,
// which may become overdue, while the endpoint is blocked, and until it is warm.
func (s *Scheduler) updateWaitLeaf(q *shardQueue) {
	t, ep := &s.waitTree, q.endpoint
	t.minima[t.leaves+q.position] = s.expectedWait(q)
	if ep != nil && (len(ep.inFlight) > 0 || ep.blockedUntil > s.now || ep.Started > 0 && s.now-ep.Started < s.settings.Rules.WarmUpTime) {
		t.timeDependent = appendOnce(t.timeDependent, q, &q.inTimeDependentList)
	}
}

// firstMin returns the first position of the smallest wait within [lo, hi). The given node covers span
// positions from left on.
func (t *minWaitTree) firstMin(node, left, span, lo, hi int) (position int, wait float64) {
	switch {
	case hi <= left || left+span <= lo:
		return left, math.Inf(1)
	case lo <= left && left+span <= hi:
		for wait = t.minima[node]; node < t.leaves; {
			if node, span = 2*node, span/2; t.minima[node] != wait {
				node, left = node+1, left+span
			}
		}
		return left, wait
	}
	position, wait = t.firstMin(2*node, left, span/2, lo, hi)
	if rightPosition, rightWait := t.firstMin(2*node+1, left+span/2, span/2, lo, hi); rightWait < wait || position < lo {
		return rightPosition, rightWait
	}
	return position, wait
}
