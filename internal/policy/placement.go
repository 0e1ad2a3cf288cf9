package policy

import (
	"math"
)

// placeRequest returns the queue for a request: its shard's, or for a new object the one with the
// smallest expected wait. The search starts at a random queue, so that ties are spread evenly.
func (s *Scheduler) placeRequest(r *request) *shardQueue {
	if ep := s.byID[r.BoundEndpoint]; ep != nil {
		return s.queueOf(ep.Shard)
	}
	if r.Shard >= 0 || len(s.queues) == 0 {
		return s.queueOf(max(r.Shard, 0))
	}
	return s.minWaitFrom(s.rng.IntN(len(s.queues)))
}

// expectedWait estimates, in seconds, how long a new request in the queue would take. It is increased
// by a large penalty for faulty and blocked endpoints, and by a factor for warming ones.
func (s *Scheduler) expectedWait(q *shardQueue) float64 {
	ep := q.endpoint
	if ep == nil {
		return math.Inf(1)
	}
	wait := max(ep.latency, 1e-3) * (1 + float64(len(q.requests)+len(ep.inFlight))/ep.concurrencyLimit)
	if s.isFaulty(ep) || ep.blockedUntil > s.now {
		wait += faultyPenaltyObjectives * s.minObjective.Seconds()
	}
	if ep.Started > 0 && s.now-ep.Started < s.settings.Rules.WarmUpTime {
		wait *= warmingPenalty
	}
	return wait
}

// rebalanceNewObjects moves queued new objects away from queues whose wait has become more than
// rebalanceRatio times the smallest.
func (s *Scheduler) rebalanceNewObjects() {
	for q := range s.eachWaiting() {
		for i := 0; i < len(q.requests); i++ {
			r := q.requests[i]
			if r.Shard >= 0 || r.mayHaveRun || r.BoundEndpoint != "" {
				continue
			}
			if to := s.placeRequest(r); to != q && rebalanceRatio*s.expectedWait(to) < s.expectedWait(q) {
				r.dequeue()
				to.enqueue(r)
				i--
			}
		}
	}
}

// EndpointFor returns the id of the endpoint that a request for the shard would go to now; empty:
// none. Callers use it to stream a body to the endpoint before they pass on the Request event.
func (s *Scheduler) EndpointFor(shard int) string {
	r := &request{Request: Request{Shard: shard}}
	if q := s.placeRequest(r); q.endpoint != nil {
		return q.endpoint.ID
	}
	return ""
}
