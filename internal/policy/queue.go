package policy

import (
	"slices"
	"time"
)

// shardQueue is the queue of one shard. Its requests are in order of their objectives.
type shardQueue struct {
	shard        int
	endpoint     *endpoint // the endpoint that serves the shard now; nil: none is known
	requests     []*request
	flows        []*flow
	flowByVolume map[*volume]*flow
	wakeAt       time.Duration // when to check again a request that may not be sent yet; never: none
	sentRate     decayingRate  // units sent recently

	index    *endpointIndex
	position int // in the index's list of queues
	// Whether it is on the index's list of that name (see appendOnce).
	inWaitingList, inWithFlowsList, inOrphanedList, inStaleList, inDirtyList, inTimeDependentList bool
}

// flow returns the volume's tag state in this queue, created at first use.
func (q *shardQueue) flow(v *volume) *flow {
	f := q.flowByVolume[v]
	if f == nil {
		f = &flow{volume: v}
		if q.flowByVolume == nil {
			q.flowByVolume = map[*volume]*flow{}
		}
		q.flowByVolume[v] = f
		q.index.queuesWithFlows = appendOnce(q.index.queuesWithFlows, q, &q.inWithFlowsList)
		q.flows = append(q.flows, f)
	}
	return f
}

// enqueue inserts the request in order of its objective.
func (q *shardQueue) enqueue(r *request) {
	r.queue = q
	at := len(q.requests)
	for at > 0 && q.requests[at-1].objectiveAt > r.objectiveAt {
		at--
	}
	q.requests = slices.Insert(q.requests, at, r)
	q.index.newlyWaiting = appendOnce(q.index.newlyWaiting, q, &q.inWaitingList)
	q.markWaitDirty()
	q.flow(r.volume).queued++
}

// dequeue removes the request from its queue, if it is there.
func (r *request) dequeue() {
	q := r.queue
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
		q.index.hasEmptyQueues = q.index.hasEmptyQueues || len(q.requests) == 0
		q.markWaitDirty()
		q.flow(r.volume).queued--
	}
}
