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
	wakeAt       time.Duration // when a request that may not be sent yet is to be looked at again
	sentRate     decayingRate  // units sent recently

	index    *endpointIndex
	position int // among the index's queues
	// Which lists of the index it is on.
	listedWaiting, listedFlowing, listedOrphaned, listedStale, listedTouched, listedMoving bool
}

// flow returns the volume's tag state in this queue, created at first use.
func (l *shardQueue) flow(v *volume) *flow {
	f := l.flowByVolume[v]
	if f == nil {
		f = &flow{volume: v}
		if l.flowByVolume == nil {
			l.flowByVolume = map[*volume]*flow{}
		}
		l.flowByVolume[v] = f
		l.index.flowingQueues = appendOnce(l.index.flowingQueues, l, &l.listedFlowing)
		l.flows = append(l.flows, f)
	}
	return f
}

// enqueue inserts the request in order of its objective.
func (l *shardQueue) enqueue(r *request) {
	r.queue = l
	at := len(l.requests)
	for at > 0 && l.requests[at-1].objectiveAt > r.objectiveAt {
		at--
	}
	l.requests = slices.Insert(l.requests, at, r)
	l.index.newlyWaiting = appendOnce(l.index.newlyWaiting, l, &l.listedWaiting)
	l.markWaitStale()
	l.flow(r.volume).queued++
}

// dequeue removes the request from its queue, if it is there.
func (r *request) dequeue() {
	l := r.queue
	if i := slices.Index(l.requests, r); i >= 0 {
		l.requests = slices.Delete(l.requests, i, i+1)
		l.index.someEmptied = l.index.someEmptied || len(l.requests) == 0
		l.markWaitStale()
		l.flow(r.volume).queued--
	}
}
