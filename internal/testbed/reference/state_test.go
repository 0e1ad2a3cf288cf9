package reference

// What the module in scheduler.go keeps, and small helpers. No decision is taken here.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// never is a time that no clock reaches.
const never = time.Duration(math.MaxInt64)

func seconds(x float64) time.Duration { return time.Duration(min(x, 1e6) * float64(time.Second)) }

// without returns the list with r taken out.
func without(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// request is a held or sent request; it stays known until it is answered and no attempt is out.
type request struct {
	Request
	class    *Class
	vol      *volume
	lane     *lane
	born     time.Duration // when its client first asked
	fullAim  time.Duration // when the aim ends
	due      time.Duration // when the client leaves
	by       time.Duration // when it gets its answer, if nothing is out then
	start    time.Duration // start tag
	finish   time.Duration // finish tag
	retryAt  time.Duration // no attempt before
	heldAt   time.Duration // since when it is held, now or last
	sent     int
	out      *node // where its attempt is, if any
	outAt    time.Duration
	mayRun   bool          // an attempt may have run
	ranZone  string        // where
	ranShard int           // and at which shard
	ranSince time.Duration // since when
	drawn    bool          // its units were drawn from the volume's limit
	late     bool          // can no longer be answered within the aim
	earns    float64       // what a unit of it earns, as last looked at
	aside    bool          // set aside: the node cannot do all in time, and this earns least
	done     bool
	heapAt   int // place among the times to answer by; -1: not there
}

// ask is what two tries of one client have in common.
type ask struct {
	class, volume, extent string
	units                 float64
}

func (r *request) sameAs() ask { return ask{r.Class, r.Volume, r.Extent, r.Units} }

// volume is the client of RFQ: one bucket at this initiator.
type volume struct {
	plan    *Plan
	hosts   float64
	tokens  float64
	filled  time.Duration
	backlog int // requests held or out here
	own     float64
	ownAt   time.Duration
	total   float64
	totalAt time.Duration
	store   float64 // this initiator's part of the limit
	storeAt time.Duration
	owed    float64 // units of the reserve not yet served here
	owedAt  time.Duration
}

// flow is a volume's tag state at one lane.
type flow struct {
	vol  *volume
	maxS time.Duration
	held int
}

// lane is the queue of one shard; its tags move together.
type lane struct {
	shard int
	node  *node // where the shard is served now; nil: nowhere known
	held  []*request
	flows []*flow
	byVol map[*volume]*flow
	wake  time.Duration
	sent  pace
}

// node is one server process.
type node struct {
	Node
	out     []*request
	window  float64
	wide    int           // most requests ever out there at once: so many connections there are
	latency float64       // smoothed, seconds for a request of mean size; 0: not known
	base    float64       // a low quantile of it: what the node takes when little waits there
	heard   time.Duration // when it last answered an attempt
	told    time.Duration // when it last reported its load
	atOnce  float64       // requests that it says to hold, smoothed
	share   float64       // of what goes there, this initiator's over an even one, as its start was told
	load    float64       // requests that it last said to hold or have waiting; -1: never told
	pressed time.Duration // when a request here was last late or set aside
	streak  float64       // bad outcomes since the last good one
	openAt  time.Duration // no attempt before
	last    string        // extent sent last
	run     int           // how often in a row
	recent  []draw        // units sent within the fall window that no answer stood for
	served  []draw        // units answered that nothing was sent for yet
}

type draw struct {
	at    time.Duration
	units float64
}

// spend notes that units are sent, for as many answered ones or as part of what may be sent unasked.
func (n *node) spend(now time.Duration, units float64, cold bool) {
	if !cold || total(n.served) < units {
		n.recent = append(n.recent, draw{now, units})
		return
	}
	for units > 0 && len(n.served) > 0 {
		d := &n.served[0]
		took := min(units, d.units)
		d.units, units = d.units-took, units-took
		if d.units <= 0 {
			n.served = n.served[1:]
		}
	}
}

// pace is the units sent over about as long as it looks back.
type pace struct {
	units float64
	at    time.Duration
}

func (p *pace) now(now, over time.Duration) float64 {
	return p.units * math.Exp(-(now-p.at).Seconds()/max(over.Seconds(), 1e-3))
}

func (p *pace) add(now time.Duration, units float64, over time.Duration) {
	p.units, p.at = p.now(now, over)+units, now
}

// noteWarm notes how long warm nodes take and how many they have in hand meanwhile.
func (s *Scheduler) noteWarm(n *node, took float64, l *Load) {
	if l == nil || !(l.InFlight >= 0 && l.InFlight < 1e6) || s.cold(n) {
		return
	}
	s.service = cmp.Or(s.service, took)
	s.service += (took - s.service) * windowGain / 8
	s.atOnce += (l.InFlight - s.atOnce) * windowGain / 8
	n.atOnce += (l.InFlight - n.atOnce) * windowGain
}

// crew is the processes that act for this initiator: for the rules they are one.
type crew struct {
	size, before float64 // now, and until lately; 0: one
	until        time.Duration
}

// set takes over their number. What one that has gone sent counts for the span that the rule on cold nodes looks back.
func (c *crew) set(size int, now, span time.Duration) {
	if next := float64(size); next < c.size {
		c.size, c.before, c.until = next, c.size, now+span
	} else {
		c.size = next
	}
}

// part is this process's part of what the rules allow them together.
func (c *crew) part(now time.Duration) float64 {
	if now < c.until {
		return 1 / max(1, c.size, c.before)
	}
	return 1 / max(1, c.size)
}

// since drops the draws before from.
func since(list []draw, from time.Duration) []draw {
	for len(list) > 0 && list[0].at < from {
		list = list[1:]
	}
	return list
}

// total sums the draws.
func total(list []draw) (sum float64) {
	for _, d := range list {
		sum += d.units
	}
	return sum
}

// orderKey is the queue of one extent whose requests take turns.
type orderKey struct {
	line []*request
	rest time.Duration
}

func (l *lane) flow(v *volume) *flow {
	f := l.byVol[v]
	if f == nil {
		f = &flow{vol: v}
		l.byVol[v] = f
		l.flows = append(l.flows, f)
	}
	return f
}

// hold queues the request at the lane, in order of aim.
func (l *lane) hold(r *request) {
	r.lane = l
	at := len(l.held)
	for at > 0 && l.held[at-1].fullAim > r.fullAim {
		at--
	}
	l.held = slices.Insert(l.held, at, r)
	l.flow(r.vol).held++
}

// ahead is how much of the time that it has been held for its start tag lay ahead.
func (r *request) ahead(now time.Duration) time.Duration { return max(0, min(r.start, now)-r.heldAt) }

// unhold takes the request out of its lane's queue, if it is there.
func (r *request) unhold() {
	l := r.lane
	if i := slices.Index(l.held, r); i >= 0 {
		l.held = slices.Delete(l.held, i, i+1)
		l.flow(r.vol).held--
	}
}

// clone copies what the settings share with their maker.
func clone(set Settings) Settings {
	set.Classes, set.Plans = slices.Clone(set.Classes), slices.Clone(set.Plans)
	return set
}

// sweep drops volumes that nothing was asked for since then, their flows and empty lanes, keys at rest, and nodes that
// are gone.
func (s *Scheduler) sweep(since time.Duration) {
	idle := func(v *volume) bool { return v.backlog == 0 && v.filled < since && v.ownAt < since }
	for _, l := range s.lanes {
		l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
			drop := f.held == 0 && idle(f.vol)
			if drop {
				delete(l.byVol, f.vol)
			}
			return drop
		})
	}
	// A lane of a shard that no known node holds, and nothing waits in, is what somebody once asked for in vain.
	s.lanes = slices.DeleteFunc(s.lanes, func(l *lane) bool {
		return len(l.held)+len(l.flows) == 0 && !slices.ContainsFunc(s.nodes, func(n *node) bool { return n.Shard == l.shard })
	})
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool { return idle(v) })
	maps.DeleteFunc(s.keys, func(_ string, k *orderKey) bool { return len(k.line) == 0 && k.rest < since })
	s.nodes = slices.DeleteFunc(s.nodes, func(n *node) bool {
		gone := n.State == Removed && len(n.out) == 0 && n.heard < since
		if gone {
			delete(s.byID, n.ID)
		}
		return gone
	})
}

// laneOf returns the lane of a shard, made at first need.
func (s *Scheduler) laneOf(shard int) *lane {
	for _, l := range s.lanes {
		if l.shard == shard {
			return l
		}
	}
	l := &lane{shard: shard, byVol: map[*volume]*flow{}}
	s.lanes = append(s.lanes, l)
	return l
}

// trim drops the times before from.
func trim(list []time.Duration, from time.Duration) []time.Duration {
	cut := 0
	for cut < len(list) && list[cut] < from {
		cut++
	}
	return list[cut:]
}

// dueHeap orders requests by when they must be answered.
type dueHeap []*request

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].by < h[j].by || h[i].by == h[j].by && h[i].ID < h[j].ID
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapAt, h[j].heapAt = i, j
}
func (h *dueHeap) Push(x any) {
	r := x.(*request)
	r.heapAt = len(*h)
	*h = append(*h, r)
}
func (h *dueHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	r.heapAt = -1
	*h = old[:len(old)-1]
	return r
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

// EjectedCount tells how many of the listed nodes get no request, or one trial at a time.
func (s *Scheduler) EjectedCount() (n int) {
	for _, x := range s.nodes {
		if x.State == Draining || s.avoids(x) {
			n++
		}
	}
	return n
}

// EndpointFor names the node that a request for the shard would go to now; empty: none. It is asked for where a
// body must be on its way before the request can be decided on.
func (s *Scheduler) EndpointFor(shard int) string {
	r := &request{Request: Request{Shard: shard}}
	if l := s.place(r); l.node != nil {
		return l.node.ID
	}
	return ""
}

// forget drops a finished request that has no attempt out.
func (s *Scheduler) forget(r *request) {
	delete(s.requests, r.ID)
	r.vol.backlog--
	k := s.keys[r.Extent]
	if k == nil || !r.class.Ordered {
		return
	}
	k.line = without(k.line, r)
	if len(k.line) == 0 && k.rest <= s.now {
		delete(s.keys, r.Extent)
	}
}
