package policy

import (
	"cmp"
	"iter"
	"slices"
)

// endpointIndex finds queues and endpoints, so that the cost of a step depends on what changes and
// what is in use, not on the number of listed endpoints. It takes no decisions: it finds what a scan
// over all of them would find, in the same order.
type endpointIndex struct {
	queues       []*shardQueue // in order of creation
	endpoints    []*endpoint   // in the order in which they were first listed
	byID         map[string]*endpoint
	shardEntries map[int]*shardEntry
	nextSerial   uint32 // of the next endpoint

	changedEndpoints []*endpoint   // new or different entries
	staleQueues      []*shardQueue // queues whose endpoint has to be looked up again

	waitingQueues    []*shardQueue // have requests; in order of position
	newlyWaiting     []*shardQueue // the same, not merged yet
	someEmptied      bool          // some of them have become empty
	flowingQueues    []*shardQueue // have flows
	orphanedQueues   []*shardQueue // no endpoint of their shard is listed
	usedEndpoints    []*endpoint   // may be ejected: attempts are in flight or ended badly
	removedEndpoints []*endpoint
	drainingCount    int

	waitTree minWaitTree
}

// shardEntry is what is known of one shard.
type shardEntry struct {
	endpoints []*endpoint // that hold it, in any state, in the order in which they were listed
	queue     *shardQueue // nil: not needed yet
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{byID: map[string]*endpoint{}, shardEntries: map[int]*shardEntry{}}
}

// appendOnce appends x unless its flag says that it is on the list already.
func appendOnce[T any](list []T, x T, on *bool) []T {
	if *on {
		return list
	}
	*on = true
	return append(list, x)
}

// entryOf returns the entry of a shard, created at first use.
func (ix *endpointIndex) entryOf(number int) *shardEntry {
	e := ix.shardEntries[number]
	if e == nil {
		e = &shardEntry{}
		ix.shardEntries[number] = e
	}
	return e
}

// queueOf returns the queue of a shard, created at first use. It has no endpoint until takeStale is
// processed.
func (ix *endpointIndex) queueOf(number int) *shardQueue {
	e := ix.entryOf(number)
	if e.queue == nil {
		e.queue = &shardQueue{shard: number, index: ix, position: len(ix.queues)}
		ix.queues = append(ix.queues, e.queue)
		ix.markStale(e)
		e.queue.markWaitStale()
	}
	return e.queue
}

// markStale notes that the shard's queue may have to use another endpoint.
func (ix *endpointIndex) markStale(e *shardEntry) {
	if e.queue == nil {
		return
	}
	ix.staleQueues = appendOnce(ix.staleQueues, e.queue, &e.queue.listedStale)
	if len(e.endpoints) == 0 {
		ix.orphanedQueues = appendOnce(ix.orphanedQueues, e.queue, &e.queue.listedOrphaned)
	}
}

// addEndpoint adds an endpoint that was unknown.
func (ix *endpointIndex) addEndpoint(ep *endpoint) {
	ep.serial = ix.nextSerial
	ix.nextSerial++
	ix.byID[ep.ID] = ep
	ix.endpoints = append(ix.endpoints, ep)
	ix.linkEndpoint(ep)
}

// linkEndpoint adds the endpoint to its shard.
func (ix *endpointIndex) linkEndpoint(ep *endpoint) {
	e := ix.entryOf(ep.Shard)
	at, _ := slices.BinarySearchFunc(e.endpoints, ep, compareSerial)
	e.endpoints = slices.Insert(e.endpoints, at, ep)
	ix.changedEndpoints = appendOnce(ix.changedEndpoints, ep, &ep.listedChanged)
	ix.markStale(e)
}

// unlinkEndpoint removes the endpoint from its shard.
func (ix *endpointIndex) unlinkEndpoint(ep *endpoint) {
	e := ix.shardEntries[ep.Shard]
	e.endpoints = slices.DeleteFunc(e.endpoints, func(o *endpoint) bool { return o == ep })
	ix.markStale(e)
	ix.dropEmptyShard(ep.Shard)
}

// dropEmptyShard drops a shard without endpoints and without a queue.
func (ix *endpointIndex) dropEmptyShard(number int) {
	if e := ix.shardEntries[number]; e != nil && e.queue == nil && len(e.endpoints) == 0 {
		delete(ix.shardEntries, number)
	}
}

// updateEndpoint takes over what the list says of a known endpoint.
func (ix *endpointIndex) updateEndpoint(ep *endpoint, as Endpoint) {
	if ep.Endpoint == as {
		return
	}
	was := ep.Endpoint
	if as.Shard != was.Shard {
		ix.unlinkEndpoint(ep)
	}
	ep.Endpoint = as
	if as.Shard != was.Shard {
		ix.linkEndpoint(ep)
	}
	ix.changedEndpoints = appendOnce(ix.changedEndpoints, ep, &ep.listedChanged)
	ix.markStale(ix.shardEntries[ep.Shard])
	if was.State == Draining {
		ix.drainingCount--
	}
	switch ep.State {
	case Draining:
		ix.drainingCount++
	case Removed:
		ix.removedEndpoints = appendOnce(ix.removedEndpoints, ep, &ep.listedRemoved)
	}
}

// takeChanged returns and clears the endpoints that the list has changed, in the order in which they
// were first listed.
func (ix *endpointIndex) takeChanged() []*endpoint {
	news := ix.changedEndpoints
	ix.changedEndpoints = ix.changedEndpoints[:0]
	slices.SortFunc(news, compareSerial)
	for _, ep := range news {
		ep.listedChanged = false
	}
	return news
}

// takeStale returns and clears the queues whose endpoint has to be looked up.
func (ix *endpointIndex) takeStale() []*shardQueue {
	stale := ix.staleQueues
	ix.staleQueues = ix.staleQueues[:0]
	for _, q := range stale {
		q.listedStale = false
		q.markWaitStale()
	}
	return stale
}

// endpointsOf returns the known endpoints of a shard, in any state.
func (ix *endpointIndex) endpointsOf(number int) []*endpoint {
	if e := ix.shardEntries[number]; e != nil {
		return e.endpoints
	}
	return nil
}

func compareSerial(a, b *endpoint) int { return cmp.Compare(a.serial, b.serial) }

func comparePosition(a, b *shardQueue) int { return cmp.Compare(a.position, b.position) }

// markUsed notes that an attempt starts at the endpoint or that it was heard: it may be ejected, and
// its queue's wait may change.
func (ix *endpointIndex) markUsed(ep *endpoint) {
	ix.usedEndpoints = appendOnce(ix.usedEndpoints, ep, &ep.listedUsed)
	if e := ix.shardEntries[ep.Shard]; e != nil && e.queue != nil {
		e.queue.markWaitStale()
	}
}

// eachWaiting yields the queues with requests in order of position, including later ones that get
// requests meanwhile.
func (ix *endpointIndex) eachWaiting() iter.Seq[*shardQueue] {
	return func(yield func(*shardQueue) bool) {
		ix.settleWaiting()
		for i := 0; i < len(ix.waitingQueues); i++ {
			q := ix.waitingQueues[i]
			if len(q.requests) == 0 {
				continue
			}
			if !yield(q) {
				return
			}
			if len(ix.newlyWaiting) > 0 {
				i += ix.mergeWaiting(q)
			}
		}
	}
}

// settleWaiting removes empty queues and merges newly waiting ones.
func (ix *endpointIndex) settleWaiting() {
	if ix.someEmptied {
		ix.someEmptied = false
		ix.waitingQueues = slices.DeleteFunc(ix.waitingQueues, func(q *shardQueue) bool {
			q.listedWaiting = len(q.requests) > 0
			return !q.listedWaiting
		})
	}
	if len(ix.newlyWaiting) > 0 {
		ix.mergeWaiting(nil)
	}
}

// mergeWaiting merges the newly waiting queues into the ordered list, and returns how many are before
// the given queue.
func (ix *endpointIndex) mergeWaiting(of *shardQueue) (before int) {
	for _, o := range ix.newlyWaiting {
		if of != nil && o.position < of.position {
			before++
		}
	}
	slices.SortFunc(ix.newlyWaiting, comparePosition)
	from, came := len(ix.waitingQueues)-1, len(ix.newlyWaiting)-1
	ix.waitingQueues = append(ix.waitingQueues, ix.newlyWaiting...)
	for to := len(ix.waitingQueues) - 1; came >= 0; to-- {
		if from >= 0 && ix.waitingQueues[from].position > ix.newlyWaiting[came].position {
			ix.waitingQueues[to] = ix.waitingQueues[from]
			from--
		} else {
			ix.waitingQueues[to] = ix.newlyWaiting[came]
			came--
		}
	}
	clear(ix.newlyWaiting)
	ix.newlyWaiting = ix.newlyWaiting[:0]
	return before
}

// dropGone removes removed endpoints that gone accepts, and queues of shards without endpoints,
// requests and flows.
func (ix *endpointIndex) dropGone(gone func(*endpoint) bool) {
	ix.settleWaiting()
	ix.flowingQueues = slices.DeleteFunc(ix.flowingQueues, func(q *shardQueue) bool {
		q.listedFlowing = len(q.flows) > 0
		if !q.listedFlowing && len(q.requests) == 0 {
			q.flows, q.requests, q.flowByVolume = nil, nil, nil
		}
		return !q.listedFlowing
	})
	dropped := false
	ix.orphanedQueues = slices.DeleteFunc(ix.orphanedQueues, func(q *shardQueue) bool {
		e := ix.shardEntries[q.shard]
		q.listedOrphaned = len(e.endpoints) == 0
		if q.listedOrphaned && len(q.requests)+len(q.flows) == 0 {
			dropped, e.queue = true, nil
			ix.dropEmptyShard(q.shard)
			return true
		}
		return !q.listedOrphaned
	})
	if dropped {
		bare := func(q *shardQueue) bool {
			return ix.shardEntries[q.shard] == nil || ix.shardEntries[q.shard].queue != q
		}
		ix.queues = slices.DeleteFunc(ix.queues, bare)
		ix.staleQueues = slices.DeleteFunc(ix.staleQueues, bare)
		for i, q := range ix.queues {
			q.position = i
		}
		ix.waitTree = minWaitTree{}
	}
	ix.removedEndpoints = slices.DeleteFunc(ix.removedEndpoints, func(ep *endpoint) bool {
		if ep.listedRemoved = ep.State == Removed; ep.listedRemoved && gone(ep) {
			delete(ix.byID, ep.ID)
			at, _ := slices.BinarySearchFunc(ix.endpoints, ep, compareSerial)
			ix.endpoints = slices.Delete(ix.endpoints, at, at+1)
			ix.unlinkEndpoint(ep)
			return true
		}
		return !ep.listedRemoved
	})
}
