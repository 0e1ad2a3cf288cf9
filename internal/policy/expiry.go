package policy

import (
	"maps"
	"slices"
	"time"
)

// sweep drops state that was not used after since: volumes with their flows, ordered extents, removed
// endpoints and queues of unknown shards.
func (s *Scheduler) sweep(since time.Duration) {
	idle := func(v *volume) bool { return v.backlog == 0 && v.tokensAt < since && v.ownUsageAt < since }
	for _, q := range s.queuesWithFlows {
		q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
			drop := f.queued == 0 && idle(f.volume)
			if drop {
				delete(q.flowByVolume, f.volume)
			}
			return drop
		})
	}
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool { return idle(v) })
	maps.DeleteFunc(s.orderedExtents, func(_ string, extent *orderedExtent) bool { return len(extent.queue) == 0 && extent.quietUntil < since })
	// This also drops the empty queues that requests for unknown shards have left.
	s.dropUnused(func(ep *endpoint) bool {
		return ep.State == Removed && len(ep.inFlight) == 0 && ep.lastAnswerAt < since
	})
	s.activeEndpoints()
}

// forget drops an answered request that has no attempt in flight.
func (s *Scheduler) forget(r *request) {
	delete(s.requests, r.ID)
	r.volume.backlog--
	extent := s.orderedExtents[r.Extent]
	if extent == nil || !r.class.Ordered {
		return
	}
	extent.queue = removeRequest(extent.queue, r)
	if len(extent.queue) == 0 && extent.quietUntil <= s.now {
		delete(s.orderedExtents, r.Extent)
	}
}
