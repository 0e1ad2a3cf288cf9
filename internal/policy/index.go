package policy

// What finds lanes and nodes for the module in scheduler.go, so that a step costs what it changes and what is in use, however
// many nodes are listed. No decision is taken here: what is found is what a look at all of them would find, in the same order.

import (
	"cmp"
	"iter"
	"slices"
)

// endpointIndex is all lanes and nodes.
type endpointIndex struct {
	queues       []*shardQueue // in the order in which they were made
	endpoints    []*endpoint   // in the order in which they were first listed
	byID         map[string]*endpoint
	shardEntries map[int]*shardEntry
	nextSerial   uint32 // of the next node

	// What a list has changed, until it is taken in.
	changedEndpoints []*endpoint   // entries that are new or other than they were
	staleQueues      []*shardQueue // lanes whose node is to be looked for anew

	// What is in use; the lists may also hold some that no longer are, until they are next gone through.
	waitingQueues    []*shardQueue // something waits there, in order of lanes
	newlyWaiting     []*shardQueue // the same, not yet in order
	someEmptied      bool          // nothing waits any more in some of them
	flowingQueues    []*shardQueue // have flows
	orphanedQueues   []*shardQueue // of a shard that no known node holds
	usedEndpoints    []*endpoint   // may be avoided: something is out there, or ended badly
	removedEndpoints []*endpoint
	drainingCount    int

	waitTree minWaitTree
}

// shardEntry is what is known of one shard.
type shardEntry struct {
	endpoints []*endpoint // that hold it, whatever their state, in order of nodes
	queue     *shardQueue // nil: never needed
}

func newEndpointIndex() endpointIndex {
	return endpointIndex{byID: map[string]*endpoint{}, shardEntries: map[int]*shardEntry{}}
}

// appendOnce appends to the list what is not on it yet, as its flag tells.
func appendOnce[T any](list []T, x T, on *bool) []T {
	if *on {
		return list
	}
	*on = true
	return append(list, x)
}

// entryOf returns what is known of a shard, made at first need.
func (x *endpointIndex) entryOf(number int) *shardEntry {
	h := x.shardEntries[number]
	if h == nil {
		h = &shardEntry{}
		x.shardEntries[number] = h
	}
	return h
}

// queueOf returns the lane of a shard, made at first need. It has no node before the next list is taken in.
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

// markStale notes that the shard's lane may have another node.
func (x *endpointIndex) markStale(h *shardEntry) {
	if h.queue == nil {
		return
	}
	x.staleQueues = appendOnce(x.staleQueues, h.queue, &h.queue.listedStale)
	if len(h.endpoints) == 0 {
		x.orphanedQueues = appendOnce(x.orphanedQueues, h.queue, &h.queue.listedOrphaned)
	}
}

// addEndpoint takes in a node that was not known.
func (x *endpointIndex) addEndpoint(n *endpoint) {
	n.serial = x.nextSerial
	x.nextSerial++
	x.byID[n.ID] = n
	x.endpoints = append(x.endpoints, n)
	x.linkEndpoint(n)
}

func (x *endpointIndex) linkEndpoint(n *endpoint) {
	h := x.entryOf(n.Shard)
	at, _ := slices.BinarySearchFunc(h.endpoints, n, compareSerial)
	h.endpoints = slices.Insert(h.endpoints, at, n)
	x.changedEndpoints = appendOnce(x.changedEndpoints, n, &n.listedChanged)
	x.markStale(h)
}

func (x *endpointIndex) unlinkEndpoint(n *endpoint) {
	h := x.shardEntries[n.Shard]
	h.endpoints = slices.DeleteFunc(h.endpoints, func(o *endpoint) bool { return o == n })
	x.markStale(h)
	x.dropEmptyShard(n.Shard)
}

// dropEmptyShard drops a shard that nobody holds and that has no lane.
func (x *endpointIndex) dropEmptyShard(number int) {
	if h := x.shardEntries[number]; h != nil && h.queue == nil && len(h.endpoints) == 0 {
		delete(x.shardEntries, number)
	}
}

// updateEndpoint takes over what the list says of a known node.
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

// takeChanged returns the nodes of which a list has told something new, in order of nodes.
func (x *endpointIndex) takeChanged() []*endpoint {
	news := x.changedEndpoints
	x.changedEndpoints = x.changedEndpoints[:0]
	slices.SortFunc(news, compareSerial)
	for _, n := range news {
		n.listedChanged = false
	}
	return news
}

// takeStale returns the lanes whose node may be another than it was, or was never looked for.
func (x *endpointIndex) takeStale() []*shardQueue {
	stale := x.staleQueues
	x.staleQueues = x.staleQueues[:0]
	for _, l := range stale {
		l.listedStale = false
		l.markWaitStale()
	}
	return stale
}

// endpointsOf are the known nodes of a shard, whatever their state, in order of nodes.
func (x *endpointIndex) endpointsOf(number int) []*endpoint {
	if h := x.shardEntries[number]; h != nil {
		return h.endpoints
	}
	return nil
}

func compareSerial(a, b *endpoint) int { return cmp.Compare(a.serial, b.serial) }

func comparePosition(a, b *shardQueue) int { return cmp.Compare(a.position, b.position) }

// markUsed notes that something goes to the node, or is heard of it: it may be avoided from now on, and may take longer.
func (x *endpointIndex) markUsed(n *endpoint) {
	x.usedEndpoints = appendOnce(x.usedEndpoints, n, &n.listedUsed)
	if h := x.shardEntries[n.Shard]; h != nil && h.queue != nil {
		h.queue.markWaitStale()
	}
}

// eachWaiting yields the lanes in which something waits, in order, those included that come to it meanwhile further on.
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

// settleWaiting puts the lanes in which something waits in order, and drops those in which nothing does.
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

// mergeWaiting puts the lanes that came among those that are in order, and tells how many are now before the given one.
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

// dropGone takes out nodes that are gone as told, and lanes of shards that no known node holds, and nothing waits in or has flows.
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
