package policy

import (
	"maps"
	"slices"
	"time"
)

// sweep drops state that was not used since then: volumes with their flows, ordered extents, removed
// endpoints and queues of unknown shards.
func (s *Scheduler) sweep(since time.Duration) {
	idle := func(v *volume) bool { return v.backlog == 0 && v.tokensAt < since && v.ownUsageAt < since }
	for _, l := range s.flowingQueues {
		l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
			drop := f.queued == 0 && idle(f.volume)
			if drop {
				delete(l.flowByVolume, f.volume)
			}
			return drop
		})
	}
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool { return idle(v) })
	maps.DeleteFunc(s.orderedExtents, func(_ string, k *orderedExtent) bool { return len(k.queue) == 0 && k.quietUntil < since })
	// An empty queue of a shard that no endpoint serves is left over from requests for an unknown shard.
	s.dropGone(func(n *endpoint) bool { return n.State == Removed && len(n.inFlight) == 0 && n.lastAnswerAt < since })
	s.activeEndpoints()
}

// forget drops an answered request that has no attempt in flight.
func (s *Scheduler) forget(r *request) {
	delete(s.requests, r.ID)
	r.volume.backlog--
	k := s.orderedExtents[r.Extent]
	if k == nil || !r.class.Ordered {
		return
	}
	k.queue = removeRequest(k.queue, r)
	if len(k.queue) == 0 && k.quietUntil <= s.now {
		delete(s.orderedExtents, r.Extent)
	}
}
