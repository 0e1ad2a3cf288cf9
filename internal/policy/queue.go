package policy

import (
	"slices"
	"time"
)

// shardQueue is the queue of one shard; its tags move together.
type shardQueue struct {
	shard        int
	endpoint     *endpoint // where the shard is served now; nil: nowhere known
	requests     []*request
	flows        []*flow
	flowByVolume map[*volume]*flow
	wakeAt       time.Duration
	sentRate     decayingRate

	index    *endpointIndex
	position int // place among the lanes
	// Which lists of the finder it is on.
	listedWaiting, listedFlowing, listedOrphaned, listedStale, listedTouched, listedMoving bool
}

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

// enqueue queues the request at the lane, in order of aim.
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

// dequeue takes the request out of its lane's queue, if it is there.
func (r *request) dequeue() {
	l := r.queue
	if i := slices.Index(l.requests, r); i >= 0 {
		l.requests = slices.Delete(l.requests, i, i+1)
		l.index.someEmptied = l.index.someEmptied || len(l.requests) == 0
		l.markWaitStale()
		l.flow(r.volume).queued--
	}
}
