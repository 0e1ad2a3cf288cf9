package policy

import (
	"maps"
	"slices"
	"time"
)

// sweep drops volumes that nothing was asked for since then, their flows and empty lanes, keys at rest, and nodes that
// are gone.
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
	// A lane of a shard that no known node holds, and nothing waits in, is what somebody once asked for in vain.
	s.dropGone(func(n *endpoint) bool { return n.State == Removed && len(n.inFlight) == 0 && n.lastAnswerAt < since })
	s.activeEndpoints()
}

// forget drops a finished request that has no attempt out.
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
