package policy

import (
	"math"
)

// placeRequest returns the queue for a request: its shard's, or for a new object the one with the
// smallest expected wait. The search for the smallest starts at a random queue, so that ties spread.
func (s *Scheduler) placeRequest(r *request) *shardQueue {
	if n := s.byID[r.BoundEndpoint]; n != nil {
		return s.queueOf(n.Shard)
	}
	if r.Shard >= 0 || len(s.queues) == 0 {
		return s.queueOf(max(r.Shard, 0))
	}
	return s.minWaitFrom(s.rng.IntN(len(s.queues)))
}

// expectedWait estimates, in seconds, how long a new request would take in the queue. Faulty and
// blocked endpoints get a large penalty, warming ones a factor.
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

// rebalanceNewObjects moves queued new objects away from queues whose wait has become more than twice
// the smallest.
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

// EndpointFor returns the id of the endpoint that a request for the shard would go to now; empty:
// none. The caller asks where a body has to be streamed before the request can be queued.
func (s *Scheduler) EndpointFor(shard int) string {
	r := &request{Request: Request{Shard: shard}}
	if l := s.placeRequest(r); l.endpoint != nil {
		return l.endpoint.ID
	}
	return ""
}
