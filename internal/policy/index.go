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
func (x *endpointIndex) entryOf(number int) *shardEntry {
	h := x.shardEntries[number]
	if h == nil {
		h = &shardEntry{}
		x.shardEntries[number] = h
	}
	return h
}

// queueOf returns the queue of a shard, created at first use. It has no endpoint until takeStale is
// processed.
func (x *endpointIndex) queueOf(number int) *shardQueue {
	h := x.entryOf(number)
	if h.queue == nil {
		h.queue = &shardQueue{shard: number, index: x, position: len(x.queues)}
		x.queues = append(x.queues, h.queue)
		x.markStale(h)
		h.queue.markWaitStale()
	}
	return h.queue
}

// markStale notes that the shard's queue may have to use another endpoint.
func (x *endpointIndex) markStale(h *shardEntry) {
	if h.queue == nil {
		return
	}
	x.staleQueues = appendOnce(x.staleQueues, h.queue, &h.queue.listedStale)
	if len(h.endpoints) == 0 {
		x.orphanedQueues = appendOnce(x.orphanedQueues, h.queue, &h.queue.listedOrphaned)
	}
}

// addEndpoint adds an endpoint that was unknown.
func (x *endpointIndex) addEndpoint(n *endpoint) {
	n.serial = x.nextSerial
	x.nextSerial++
	x.byID[n.ID] = n
	x.endpoints = append(x.endpoints, n)
	x.linkEndpoint(n)
}

// linkEndpoint adds the endpoint to its shard.
func (x *endpointIndex) linkEndpoint(n *endpoint) {
	h := x.entryOf(n.Shard)
	at, _ := slices.BinarySearchFunc(h.endpoints, n, compareSerial)
	h.endpoints = slices.Insert(h.endpoints, at, n)
	x.changedEndpoints = appendOnce(x.changedEndpoints, n, &n.listedChanged)
	x.markStale(h)
}

// unlinkEndpoint removes the endpoint from its shard.
func (x *endpointIndex) unlinkEndpoint(n *endpoint) {
	h := x.shardEntries[n.Shard]
	h.endpoints = slices.DeleteFunc(h.endpoints, func(o *endpoint) bool { return o == n })
	x.markStale(h)
	x.dropEmptyShard(n.Shard)
}

// dropEmptyShard drops a shard without endpoints and without a queue.
func (x *endpointIndex) dropEmptyShard(number int) {
	if h := x.shardEntries[number]; h != nil && h.queue == nil && len(h.endpoints) == 0 {
		delete(x.shardEntries, number)
	}
}

// updateEndpoint takes over what the list says of a known endpoint.
func (x *endpointIndex) updateEndpoint(n *endpoint, as Endpoint) {
	if n.Endpoint == as {
		return
	}
	was := n.Endpoint
	if as.Shard != was.Shard {
		x.unlinkEndpoint(n)
	}
	n.Endpoint = as
	if as.Shard != was.Shard {
		x.linkEndpoint(n)
	}
	x.changedEndpoints = appendOnce(x.changedEndpoints, n, &n.listedChanged)
	x.markStale(x.shardEntries[n.Shard])
	if was.State == Draining {
		x.drainingCount--
	}
	switch n.State {
	case Draining:
		x.drainingCount++
	case Removed:
		x.removedEndpoints = appendOnce(x.removedEndpoints, n, &n.listedRemoved)
	}
}

// takeChanged returns and clears the endpoints that the list has changed, in the order in which they
// were first listed.
func (x *endpointIndex) takeChanged() []*endpoint {
	news := x.changedEndpoints
	x.changedEndpoints = x.changedEndpoints[:0]
	slices.SortFunc(news, compareSerial)
	for _, n := range news {
		n.listedChanged = false
	}
	return news
}

// takeStale returns and clears the queues whose endpoint has to be looked up.
func (x *endpointIndex) takeStale() []*shardQueue {
	stale := x.staleQueues
	x.staleQueues = x.staleQueues[:0]
	for _, l := range stale {
		l.listedStale = false
		l.markWaitStale()
	}
	return stale
}

// endpointsOf returns the known endpoints of a shard, in any state.
func (x *endpointIndex) endpointsOf(number int) []*endpoint {
	if h := x.shardEntries[number]; h != nil {
		return h.endpoints
	}
	return nil
}

func compareSerial(a, b *endpoint) int { return cmp.Compare(a.serial, b.serial) }

func comparePosition(a, b *shardQueue) int { return cmp.Compare(a.position, b.position) }

// markUsed notes that an attempt starts at the endpoint or that it was heard: it may be ejected, and
// its queue's wait may change.
func (x *endpointIndex) markUsed(n *endpoint) {
	x.usedEndpoints = appendOnce(x.usedEndpoints, n, &n.listedUsed)
	if h := x.shardEntries[n.Shard]; h != nil && h.queue != nil {
		h.queue.markWaitStale()
	}
}

// eachWaiting yields the queues with requests in order of position, including later ones that get
// requests meanwhile.
func (x *endpointIndex) eachWaiting() iter.Seq[*shardQueue] {
	return func(yield func(*shardQueue) bool) {
		x.settleWaiting()
		for i := 0; i < len(x.waitingQueues); i++ {
			l := x.waitingQueues[i]
			if len(l.requests) == 0 {
				continue
			}
			if !yield(l) {
				return
			}
			if len(x.newlyWaiting) > 0 {
				i += x.mergeWaiting(l)
			}
		}
	}
}

// settleWaiting removes empty queues and merges newly waiting ones.
func (x *endpointIndex) settleWaiting() {
	if x.someEmptied {
		x.someEmptied = false
		x.waitingQueues = slices.DeleteFunc(x.waitingQueues, func(l *shardQueue) bool {
			l.listedWaiting = len(l.requests) > 0
			return !l.listedWaiting
		})
	}
	if len(x.newlyWaiting) > 0 {
		x.mergeWaiting(nil)
	}
}

// mergeWaiting merges the newly waiting queues into the ordered list, and returns how many are before
// the given queue.
func (x *endpointIndex) mergeWaiting(of *shardQueue) (before int) {
	for _, o := range x.newlyWaiting {
		if of != nil && o.position < of.position {
			before++
		}
	}
	slices.SortFunc(x.newlyWaiting, comparePosition)
	from, came := len(x.waitingQueues)-1, len(x.newlyWaiting)-1
	x.waitingQueues = append(x.waitingQueues, x.newlyWaiting...)
	for to := len(x.waitingQueues) - 1; came >= 0; to-- {
		if from >= 0 && x.waitingQueues[from].position > x.newlyWaiting[came].position {
			x.waitingQueues[to] = x.waitingQueues[from]
			from--
		} else {
			x.waitingQueues[to] = x.newlyWaiting[came]
			came--
		}
	}
	clear(x.newlyWaiting)
	x.newlyWaiting = x.newlyWaiting[:0]
	return before
}

// dropGone removes removed endpoints that gone accepts, and queues of shards without endpoints,
// requests and flows.
func (x *endpointIndex) dropGone(gone func(*endpoint) bool) {
	x.settleWaiting()
	x.flowingQueues = slices.DeleteFunc(x.flowingQueues, func(l *shardQueue) bool {
		l.listedFlowing = len(l.flows) > 0
		if !l.listedFlowing && len(l.requests) == 0 {
			l.flows, l.requests, l.flowByVolume = nil, nil, nil
		}
		return !l.listedFlowing
	})
	dropped := false
	x.orphanedQueues = slices.DeleteFunc(x.orphanedQueues, func(l *shardQueue) bool {
		h := x.shardEntries[l.shard]
		l.listedOrphaned = len(h.endpoints) == 0
		if l.listedOrphaned && len(l.requests)+len(l.flows) == 0 {
			dropped, h.queue = true, nil
			x.dropEmptyShard(l.shard)
			return true
		}
		return !l.listedOrphaned
	})
	if dropped {
		bare := func(l *shardQueue) bool { return x.shardEntries[l.shard] == nil || x.shardEntries[l.shard].queue != l }
		x.queues = slices.DeleteFunc(x.queues, bare)
		x.staleQueues = slices.DeleteFunc(x.staleQueues, bare)
		for i, l := range x.queues {
			l.position = i
		}
		x.waitTree = minWaitTree{}
	}
	x.removedEndpoints = slices.DeleteFunc(x.removedEndpoints, func(n *endpoint) bool {
		if n.listedRemoved = n.State == Removed; n.listedRemoved && gone(n) {
			delete(x.byID, n.ID)
			at, _ := slices.BinarySearchFunc(x.endpoints, n, compareSerial)
			x.endpoints = slices.Delete(x.endpoints, at, at+1)
			x.unlinkEndpoint(n)
			return true
		}
		return !n.listedRemoved
	})
}
