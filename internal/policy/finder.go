package policy

// What finds lanes and nodes for the module in scheduler.go, so that a step costs what it changes and what is in use, however
// many nodes are listed. No decision is taken here: what is found is what a look at all of them would find, in the same order.

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

// finder is all lanes and nodes.
type finder struct {
	lanes  []*lane // in the order in which they were made
	nodes  []*node // in the order in which they were first listed
	byID   map[string]*node
	shards map[int]*shard
	serial uint32 // of the next node

	// What a list has changed, until it is taken in.
	news  []*node // entries that are new or other than they were
	stale []*lane // lanes whose node is to be looked for anew

	// What is in use; the lists may also hold some that no longer are, until they are next gone through.
	held     []*lane // something waits there, in order of lanes
	came     []*lane // the same, not yet in order
	left     bool    // nothing waits any more in some of them
	flowing  []*lane // have flows
	bare     []*lane // of a shard that no known node holds
	used     []*node // may be avoided: something is out there, or ended badly
	removed  []*node
	draining int

	least least
}

// shard is what is known of one shard.
type shard struct {
	nodes []*node // that hold it, whatever their state, in order of nodes
	lane  *lane   // nil: never needed
}

func newFinder() finder { return finder{byID: map[string]*node{}, shards: map[int]*shard{}} }

// mark appends to the list what is not on it yet, as its flag tells.
func mark[T any](list []T, x T, on *bool) []T {
	if *on {
		return list
	}
	*on = true
	return append(list, x)
}

// shard returns what is known of a shard, made at first need.
func (x *finder) shard(number int) *shard {
	h := x.shards[number]
	if h == nil {
		h = &shard{}
		x.shards[number] = h
	}
	return h
}

// laneOf returns the lane of a shard, made at first need. It has no node before the next list is taken in.
func (x *finder) laneOf(number int) *lane {
	h := x.shard(number)
	if h.lane == nil {
		h.lane = &lane{shard: number, in: x, at: len(x.lanes)}
		x.lanes = append(x.lanes, h.lane)
		x.moved(h)
		h.lane.touch()
	}
	return h.lane
}

// moved notes that the shard's lane may have another node.
func (x *finder) moved(h *shard) {
	if h.lane == nil {
		return
	}
	x.stale = mark(x.stale, h.lane, &h.lane.stale)
	if len(h.nodes) == 0 {
		x.bare = mark(x.bare, h.lane, &h.lane.bare)
	}
}

// enter takes in a node that was not known.
func (x *finder) enter(n *node) {
	n.serial = x.serial
	x.serial++
	x.byID[n.ID] = n
	x.nodes = append(x.nodes, n)
	x.join(n)
}

func (x *finder) join(n *node) {
	h := x.shard(n.Shard)
	at, _ := slices.BinarySearchFunc(h.nodes, n, bySerial)
	h.nodes = slices.Insert(h.nodes, at, n)
	x.news = mark(x.news, n, &n.news)
	x.moved(h)
}

func (x *finder) part(n *node) {
	h := x.shards[n.Shard]
	h.nodes = slices.DeleteFunc(h.nodes, func(o *node) bool { return o == n })
	x.moved(h)
	x.forgetShard(n.Shard)
}

// forgetShard drops a shard that nobody holds and that has no lane.
func (x *finder) forgetShard(number int) {
	if h := x.shards[number]; h != nil && h.lane == nil && len(h.nodes) == 0 {
		delete(x.shards, number)
	}
}

// listed takes over what the list says of a known node.
func (x *finder) listed(n *node, as Node) {
	if n.Node == as {
		return
	}
	was := n.Node
	if as.Shard != was.Shard {
		x.part(n)
	}
	n.Node = as
	if as.Shard != was.Shard {
		x.join(n)
	}
	x.news = mark(x.news, n, &n.news)
	x.moved(x.shards[n.Shard])
	if was.State == Draining {
		x.draining--
	}
	switch n.State {
	case Draining:
		x.draining++
	case Removed:
		x.removed = mark(x.removed, n, &n.removed)
	}
}

// changed returns the nodes of which a list has told something new, in order of nodes.
func (x *finder) changed() []*node {
	news := x.news
	x.news = x.news[:0]
	slices.SortFunc(news, bySerial)
	for _, n := range news {
		n.news = false
	}
	return news
}

// unsettled returns the lanes whose node may be another than it was, or was never looked for.
func (x *finder) unsettled() []*lane {
	stale := x.stale
	x.stale = x.stale[:0]
	for _, l := range stale {
		l.stale = false
		l.touch()
	}
	return stale
}

// holders are the known nodes of a shard, whatever their state, in order of nodes.
func (x *finder) holders(number int) []*node {
	if h := x.shards[number]; h != nil {
		return h.nodes
	}
	return nil
}

func bySerial(a, b *node) int { return cmp.Compare(a.serial, b.serial) }

func byPlace(a, b *lane) int { return cmp.Compare(a.at, b.at) }

// use notes that something goes to the node, or is heard of it: it may be avoided from now on, and may take longer.
func (x *finder) use(n *node) {
	x.used = mark(x.used, n, &n.used)
	if h := x.shards[n.Shard]; h != nil && h.lane != nil {
		h.lane.touch()
	}
}

// inUse returns the nodes that may be avoided, in order of nodes. One that drains may be listed as up again.
func (s *Scheduler) inUse() []*node {
	s.used = slices.DeleteFunc(s.used, func(n *node) bool {
		n.used = s.byID[n.ID] == n && (len(n.out) > 0 || n.openAt > s.now || s.troubled(n))
		return !n.used
	})
	slices.SortFunc(s.used, bySerial)
	return s.used
}

// waiting yields the lanes in which something waits, in order, those included that come to it meanwhile further on.
func (x *finder) waiting() iter.Seq[*lane] {
	return func(yield func(*lane) bool) {
		x.settle()
		for i := 0; i < len(x.held); i++ {
			l := x.held[i]
			if len(l.held) == 0 {
				continue
			}
			if !yield(l) {
				return
			}
			if len(x.came) > 0 {
				i += x.merge(l)
			}
		}
	}
}

// settle puts the lanes in which something waits in order, and drops those in which nothing does.
func (x *finder) settle() {
	if x.left {
		x.left = false
		x.held = slices.DeleteFunc(x.held, func(l *lane) bool {
			l.waits = len(l.held) > 0
			return !l.waits
		})
	}
	if len(x.came) > 0 {
		x.merge(nil)
	}
}

// merge puts the lanes that came among those that are in order, and tells how many are now before the given one.
func (x *finder) merge(of *lane) (before int) {
	for _, o := range x.came {
		if of != nil && o.at < of.at {
			before++
		}
	}
	slices.SortFunc(x.came, byPlace)
	from, came := len(x.held)-1, len(x.came)-1
	x.held = append(x.held, x.came...)
	for to := len(x.held) - 1; came >= 0; to-- {
		if from >= 0 && x.held[from].at > x.came[came].at {
			x.held[to] = x.held[from]
			from--
		} else {
			x.held[to] = x.came[came]
			came--
		}
	}
	clear(x.came)
	x.came = x.came[:0]
	return before
}

// drop takes out nodes that are gone as told, and lanes of shards that no known node holds, and nothing waits in or has flows.
func (x *finder) drop(gone func(*node) bool) {
	x.settle()
	x.flowing = slices.DeleteFunc(x.flowing, func(l *lane) bool {
		l.flowing = len(l.flows) > 0
		if !l.flowing && len(l.held) == 0 {
			l.flows, l.held, l.byVol = nil, nil, nil
		}
		return !l.flowing
	})
	dropped := false
	x.bare = slices.DeleteFunc(x.bare, func(l *lane) bool {
		h := x.shards[l.shard]
		l.bare = len(h.nodes) == 0
		if l.bare && len(l.held)+len(l.flows) == 0 {
			dropped, h.lane = true, nil
			x.forgetShard(l.shard)
			return true
		}
		return !l.bare
	})
	if dropped {
		bare := func(l *lane) bool { return x.shards[l.shard] == nil || x.shards[l.shard].lane != l }
		x.lanes = slices.DeleteFunc(x.lanes, bare)
		x.stale = slices.DeleteFunc(x.stale, bare)
		for i, l := range x.lanes {
			l.at = i
		}
		x.least = least{}
	}
	x.removed = slices.DeleteFunc(x.removed, func(n *node) bool {
		if n.removed = n.State == Removed; n.removed && gone(n) {
			delete(x.byID, n.ID)
			at, _ := slices.BinarySearchFunc(x.nodes, n, bySerial)
			x.nodes = slices.Delete(x.nodes, at, at+1)
			x.part(n)
			return true
		}
		return !n.removed
	})
}

// least finds the lane of least wait. It keeps every lane's wait in a tree of minima, once it has been asked for.
type least struct {
	size    int       // leaves; 0: not made
	min     []float64 // of the two below, the root at 1; the leaves from size on, by the lanes' places
	touched []*lane   // wait may be another
	moving  []*lane   // wait changes by itself as time passes
	asOf    time.Duration
}

// touch notes that the lane's wait may be another.
func (l *lane) touch() {
	if t := &l.in.least; t.size > 0 {
		t.touched = mark(t.touched, l, &l.touched)
	}
}

// leastFrom returns the first lane of least wait, looking from the given place on and round.
func (s *Scheduler) leastFrom(from int) *lane {
	t := &s.least
	if t.asOf != s.now {
		t.asOf = s.now
		for _, l := range t.moving {
			l.moving = false
			l.touch()
		}
		t.moving = t.moving[:0]
	}
	if len(s.lanes) > t.size || len(t.touched) > 16+len(s.lanes)/8 {
		s.leastAnew()
	}
	for _, l := range t.touched {
		l.touched = false
		s.leaf(l)
		for at := (t.size + l.at) / 2; at > 0; at /= 2 {
			least := min(t.min[2*at], t.min[2*at+1])
			if t.min[at] == least {
				break
			}
			t.min[at] = least
		}
	}
	t.touched = t.touched[:0]
	at, wait := t.first(1, 0, t.size, from, len(s.lanes))
	if before, less := t.first(1, 0, t.size, 0, from); less < wait {
		at = before
	}
	return s.lanes[at]
}

// leastAnew makes the tree.
func (s *Scheduler) leastAnew() {
	t := &s.least
	if t.size < len(s.lanes) {
		for t.size = max(t.size, 1); t.size < len(s.lanes); {
			t.size *= 2
		}
		t.min = make([]float64, 2*t.size)
	}
	t.touched, t.moving = t.touched[:0], t.moving[:0]
	for _, l := range s.lanes {
		l.touched, l.moving = false, false
		s.leaf(l)
	}
	for at := t.size - 1; at > 0; at-- {
		t.min[at] = min(t.min[2*at], t.min[2*at+1])
	}
}

// leaf takes over the lane's wait, and notes whether it will be another by itself: while something is out at its node, which
// may come to be overdue, while the node is not open, and until it is warm.
func (s *Scheduler) leaf(l *lane) {
	t, n := &s.least, l.node
	t.min[t.size+l.at] = s.wait(l)
	if n != nil && (len(n.out) > 0 || n.openAt > s.now || n.Started > 0 && s.now-n.Started < s.set.Rules.WarmWithin) {
		t.moving = mark(t.moving, l, &l.moving)
	}
}

// first returns the first place of the least wait among the places from lo to below hi; the node at spans those from left on.
func (t *least) first(at, left, span, lo, hi int) (place int, wait float64) {
	switch {
	case hi <= left || left+span <= lo:
		return left, math.Inf(1)
	case lo <= left && left+span <= hi:
		for wait = t.min[at]; at < t.size; {
			if at, span = 2*at, span/2; t.min[at] != wait {
				at, left = at+1, left+span
			}
		}
		return left, wait
	}
	place, wait = t.first(2*at, left, span/2, lo, hi)
	if right, less := t.first(2*at+1, left+span/2, span/2, lo, hi); less < wait || place < lo {
		return right, less
	}
	return place, wait
}
