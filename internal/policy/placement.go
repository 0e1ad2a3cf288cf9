package policy

import (
	"math"
)

// placeRequest returns the lane for a request: its shard's, or for a new object the one of least expected wait.
func (s *Scheduler) placeRequest(r *request) *shardQueue {
	if n := s.byID[r.BoundEndpoint]; n != nil {
		return s.queueOf(n.Shard)
	}
	if r.Shard >= 0 || len(s.queues) == 0 {
		return s.queueOf(max(r.Shard, 0))
	}
	return s.minWaitFrom(s.rng.IntN(len(s.queues))) // the first of those whose wait is least
}

// expectedWait estimates how long a request newly put in the lane would take.
func (s *Scheduler) expectedWait(l *shardQueue) float64 {
	n := l.endpoint
	if n == nil {
		return math.Inf(1)
	}
	w := max(n.latency, 1e-3) * (1 + float64(len(l.requests)+len(n.inFlight))/n.concurrencyLimit)
	if s.isFaulty(n) || n.blockedUntil > s.now {
		w += 100 * s.minObjective.Seconds()
	}
	if n.Started > 0 && s.now-n.Started < s.settings.Rules.WarmUpTime {
		w *= 4
	}
	return w
}

// rebalanceNewObjects moves held new objects away from lanes that have become much worse than the best.
func (s *Scheduler) rebalanceNewObjects() {
	for l := range s.eachWaiting() {
		for i := 0; i < len(l.requests); i++ {
			r := l.requests[i]
			if r.Shard >= 0 || r.mayHaveRun || r.BoundEndpoint != "" {
				continue
			}
			if to := s.placeRequest(r); to != l && 2*s.expectedWait(to) < s.expectedWait(l) {
				r.dequeue()
				to.enqueue(r)
				i--
			}
		}
	}
}

// EndpointFor names the node that a request for the shard would go to now; empty: none. It is asked for where a
// body must be on its way before the request can be decided on.
func (s *Scheduler) EndpointFor(shard int) string {
	r := &request{Request: Request{Shard: shard}}
	if l := s.placeRequest(r); l.endpoint != nil {
		return l.endpoint.ID
	}
	return ""
}
