package policy

import (
	"cmp"
	"iter"
	"slices"
)

// endpointIndex finds queues and endpoints, so that the cost of a step depends on the entries that have
// changed or are in use, not on the number of listed endpoints. It takes no decisions: its results are
// those of a scan over all of them, in the same order.
type endpointIndex struct {
	queues       []*shardQueue // in order of creation
	endpoints    []*endpoint   // in the order in which they were first listed
	byID         map[string]*endpoint
	shardEntries map[int]*shardEntry
	nextSerial   uint32 // serial of the next endpoint added

	changedEndpoints []*endpoint   // new or changed entries, until takeChanged
	staleQueues      []*shardQueue // queues whose endpoint has to be looked up again, until takeStale

	waitingQueues    []*shardQueue // have requests; ordered by position
	newlyWaiting     []*shardQueue // have requests; not yet merged into waitingQueues
	hasEmptyQueues   bool          // waitingQueues contains queues without requests
	queuesWithFlows  []*shardQueue // have flows
	orphanedQueues   []*shardQueue // no endpoint of their shard is listed
	usedEndpoints    []*endpoint   // may be ejected: attempts are in flight or have failed
	removedEndpoints []*endpoint
	drainingCount    int

	waitTree minWaitTree
}

// shardEntry holds the endpoints and the queue of one shard.
type shardEntry struct {
	endpoints []*endpoint // endpoints that hold the shard, in any state, in the order in which they were first listed
	queue     *shardQueue // created by queueOf at first use; nil before
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{byID: map[string]*endpoint{}, shardEntries: map[int]*shardEntry{}}
}

// appendOnce appends x to the list and sets x's flag for that list, unless the flag is set already.
func appendOnce[T any](list []T, x T, included *bool) []T {
	if *included {
		return list
	}
	*included = true
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

// queueOf returns the queue of a shard, created at first use. A new queue has no endpoint until its
// entry in takeStale is processed.
func (ix *endpointIndex) queueOf(number int) *shardQueue {
	e := ix.entryOf(number)
	if e.queue == nil {
		e.queue = &shardQueue{shard: number, index: ix, position: len(ix.queues)}
		ix.queues = append(ix.queues, e.queue)
		ix.markStale(e)
		e.queue.markWaitDirty()
	}
	return e.queue
}

// markStale records that the shard's queue may have to use another endpoint.
func (ix *endpointIndex) markStale(e *shardEntry) {
	if e.queue == nil {
		return
	}
	ix.staleQueues = appendOnce(ix.staleQueues, e.queue, &e.queue.inStaleList)
	if len(e.endpoints) == 0 {
		ix.orphanedQueues = appendOnce(ix.orphanedQueues, e.queue, &e.queue.inOrphanedList)
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
	ix.changedEndpoints = appendOnce(ix.changedEndpoints, ep, &ep.inChangedList)
	ix.markStale(e)
}

// unlinkEndpoint removes the endpoint from its shard.
func (ix *endpointIndex) unlinkEndpoint(ep *endpoint) {
	e := ix.shardEntries[ep.Shard]
	e.endpoints = slices.DeleteFunc(e.endpoints, func(other *endpoint) bool { return other == ep })
	ix.markStale(e)
	ix.dropEmptyShard(ep.Shard)
}

// dropEmptyShard drops a shard without endpoints and without a queue.
func (ix *endpointIndex) dropEmptyShard(number int) {
	if e := ix.shardEntries[number]; e != nil && e.queue == nil && len(e.endpoints) == 0 {
		delete(ix.shardEntries, number)
	}
}

// updateEndpoint replaces the list entry of a known endpoint.
func (ix *endpointIndex) updateEndpoint(ep *endpoint, entry Endpoint) {
	if ep.Endpoint == entry {
		return
	}
	previous := ep.Endpoint
	if entry.Shard != previous.Shard {
		ix.unlinkEndpoint(ep)
	}
	ep.Endpoint = entry
	if entry.Shard != previous.Shard {
		ix.linkEndpoint(ep)
	}
	ix.changedEndpoints = appendOnce(ix.changedEndpoints, ep, &ep.inChangedList)
	ix.markStale(ix.shardEntries[ep.Shard])
	if previous.State == Draining {
		ix.drainingCount--
	}
	switch ep.State {
	case Draining:
		ix.drainingCount++
	case Removed:
		ix.removedEndpoints = appendOnce(ix.removedEndpoints, ep, &ep.inRemovedList)
	}
}

// takeChanged returns and clears the endpoints whose entries have changed, in the order in which they
// were first listed.
func (ix *endpointIndex) takeChanged() []*endpoint {
	changed := ix.changedEndpoints
	ix.changedEndpoints = ix.changedEndpoints[:0]
	slices.SortFunc(changed, compareSerial)
	for _, ep := range changed {
		ep.inChangedList = false
	}
	return changed
}

// takeStale returns and clears the queues whose endpoint has to be looked up.
func (ix *endpointIndex) takeStale() []*shardQueue {
	stale := ix.staleQueues
	ix.staleQueues = ix.staleQueues[:0]
	for _, q := range stale {
		q.inStaleList = false
		q.markWaitDirty()
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

// markUsed records that an attempt at the endpoint starts or ends, or that a probe result of it has
// arrived: it may become ejected, and its queue's wait may change.
func (ix *endpointIndex) markUsed(ep *endpoint) {
	ix.usedEndpoints = appendOnce(ix.usedEndpoints, ep, &ep.inUsedList)
	if e := ix.shardEntries[ep.Shard]; e != nil && e.queue != nil {
		e.queue.markWaitDirty()
	}
}

// eachWaiting yields the queues with requests in order of position. A queue that gets its first request
// during the iteration is yielded too if its position is still ahead.
func (ix *endpointIndex) eachWaiting() iter.Seq[*shardQueue] {
	return func(yield func(*shardQueue) bool) {
		ix.compactWaiting()
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

// compactWaiting removes the empty queues from waitingQueues and merges in the newly waiting ones.
func (ix *endpointIndex) compactWaiting() {
	if ix.hasEmptyQueues {
		ix.hasEmptyQueues = false
		ix.waitingQueues = slices.DeleteFunc(ix.waitingQueues, func(q *shardQueue) bool {
			q.inWaitingList = len(q.requests) > 0
			return !q.inWaitingList
		})
	}
	if len(ix.newlyWaiting) > 0 {
		ix.mergeWaiting(nil)
	}
}

// mergeWaiting merges the newly waiting queues into waitingQueues, and returns how many of them are
// before the current queue (nil: not counted).
func (ix *endpointIndex) mergeWaiting(current *shardQueue) (before int) {
	for _, added := range ix.newlyWaiting {
		if current != nil && added.position < current.position {
			before++
		}
	}
	slices.SortFunc(ix.newlyWaiting, comparePosition)
	oldIndex, newIndex := len(ix.waitingQueues)-1, len(ix.newlyWaiting)-1
	ix.waitingQueues = append(ix.waitingQueues, ix.newlyWaiting...)
	for to := len(ix.waitingQueues) - 1; newIndex >= 0; to-- {
		if oldIndex >= 0 && ix.waitingQueues[oldIndex].position > ix.newlyWaiting[newIndex].position {
			ix.waitingQueues[to] = ix.waitingQueues[oldIndex]
			oldIndex--
		} else {
			ix.waitingQueues[to] = ix.newlyWaiting[newIndex]
			newIndex--
		}
	}
	clear(ix.newlyWaiting)
	ix.newlyWaiting = ix.newlyWaiting[:0]
	return before
}

// dropUnused drops the removed endpoints for which expired returns true, and the queues without
// requests and flows whose shard has no endpoint.
func (ix *endpointIndex) dropUnused(expired func(*endpoint) bool) {
	ix.compactWaiting()
	ix.queuesWithFlows = slices.DeleteFunc(ix.queuesWithFlows, func(q *shardQueue) bool {
		q.inWithFlowsList = len(q.flows) > 0
		if !q.inWithFlowsList && len(q.requests) == 0 {
			q.flows, q.requests, q.flowByVolume = nil, nil, nil
		}
		return !q.inWithFlowsList
	})
	dropped := false
	ix.orphanedQueues = slices.DeleteFunc(ix.orphanedQueues, func(q *shardQueue) bool {
		e := ix.shardEntries[q.shard]
		q.inOrphanedList = len(e.endpoints) == 0
		if q.inOrphanedList && len(q.requests)+len(q.flows) == 0 {
			dropped, e.queue = true, nil
			ix.dropEmptyShard(q.shard)
			return true
		}
		return !q.inOrphanedList
	})
	if dropped {
		detached := func(q *shardQueue) bool {
			return ix.shardEntries[q.shard] == nil || ix.shardEntries[q.shard].queue != q
		}
		ix.queues = slices.DeleteFunc(ix.queues, detached)
		ix.staleQueues = slices.DeleteFunc(ix.staleQueues, detached)
		for i, q := range ix.queues {
			q.position = i
		}
		ix.waitTree = minWaitTree{}
	}
	ix.removedEndpoints = slices.DeleteFunc(ix.removedEndpoints, func(ep *endpoint) bool {
		if ep.inRemovedList = ep.State == Removed; ep.inRemovedList && expired(ep) {
			delete(ix.byID, ep.ID)
			at, _ := slices.BinarySearchFunc(ix.endpoints, ep, compareSerial)
			ix.endpoints = slices.Delete(ix.endpoints, at, at+1)
			ix.unlinkEndpoint(ep)
			return true
		}
		return !ep.inRemovedList
	})
}
