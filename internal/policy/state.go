package policy

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

func toDuration(x float64) time.Duration { return time.Duration(min(x, 1e6) * float64(time.Second)) }

// removeRequest returns the list with r taken out.
func removeRequest(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// request is a held or sent request; it stays known until it is answered and no attempt is out.
type request struct {
	Request
	class            *Class
	volume           *volume
	queue            *shardQueue
	firstSeenAt      time.Duration // when its client first asked
	objectiveAt      time.Duration // when the aim ends
	deadlineAt       time.Duration // when the client leaves
	answerBy         time.Duration // when it gets its answer, if nothing is out then
	startTag         time.Duration // start tag
	finishTag        time.Duration // finish tag
	notBefore        time.Duration // no attempt before
	heldSince        time.Duration // since when it is held, now or last
	attempts         int
	inFlightAt       *endpoint // where its attempt is, if any
	attemptStartedAt time.Duration
	mayHaveRun       bool          // an attempt may have run
	ranInZone        string        // where
	ranInShard       int           // and at which shard
	firstRanAt       time.Duration // since when
	rateLimitCharged bool          // its units were drawn from the volume's limit
	pastObjective    bool          // can no longer be answered within the aim
	unitValue        float64       // what a unit of it earns, as last looked at
	deferred         bool          // set aside: the node cannot do all in time, and this earns least
	answered         bool
	heapIndex        int // place among the times to answer by; -1: not there
}

// requestIdentity is what two tries of one client have in common.
type requestIdentity struct {
	class, volume, extent string
	units                 float64
}

func (r *request) identity() requestIdentity {
	return requestIdentity{r.Class, r.Volume, r.Extent, r.Units}
}

// volume is the client of RFQ: one bucket at this initiator.
type volume struct {
	plan              *Plan
	initiators        float64
	tokens            float64
	tokensAt          time.Duration
	backlog           int // requests held or out here
	ownUsage          float64
	ownUsageAt        time.Duration
	totalUsage        float64
	totalUsageAt      time.Duration
	rateLimitTokens   float64 // this initiator's part of the limit
	rateLimitTokensAt time.Duration
	reserveTokens     float64 // units of the reserve not yet served here
	reserveTokensAt   time.Duration
	tagScale          float64 // while its plan changes: its rate before over the one from now on
}

// flow is a volume's tag state at one lane.
type flow struct {
	volume      *volume
	maxStartTag time.Duration
	queued      int
}

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

// endpoint is one server process.
type endpoint struct {
	Endpoint
	inFlight            []*request
	concurrencyLimit    float64
	maxInFlight         int           // most requests ever out there at once: so many connections there are
	latency             float64       // smoothed, seconds for a request of mean size; 0: not known
	baseLatency         float64       // a low quantile of it: what the node takes when little waits there
	lastAnswerAt        time.Duration // when it last answered an attempt
	lastReportAt        time.Duration // when it last reported its load
	reportedConcurrency float64       // requests that it says to hold, smoothed
	trafficShare        float64       // of what goes there, this initiator's over an even one, as its start was told
	reportedLoad        float64       // requests that it last said to hold or have waiting; -1: never told
	congestedAt         time.Duration // when a request here was last late or set aside
	failureStreak       float64       // bad outcomes since the last good one
	blockedUntil        time.Duration // no attempt before
	lastExtent          string        // extent sent last
	extentRun           int           // how often in a row
	coldSent            []timedUnits  // units sent within the fall window that no answer stood for
	coldServed          []timedUnits  // units answered that nothing was sent for yet

	serial                                   uint32 // in order of nodes
	listedChanged, listedUsed, listedRemoved bool   // which lists of the finder it is on
}

type timedUnits struct {
	at    time.Duration
	units float64
}

// chargeCold notes that units are sent, for as many answered ones or as part of what may be sent unasked.
func (n *endpoint) chargeCold(now time.Duration, units float64, cold bool) {
	if !cold || sumUnits(n.coldServed) < units {
		n.coldSent = append(n.coldSent, timedUnits{now, units})
		return
	}
	for units > 0 && len(n.coldServed) > 0 {
		d := &n.coldServed[0]
		took := min(units, d.units)
		d.units, units = d.units-took, units-took
		if d.units <= 0 {
			n.coldServed = n.coldServed[1:]
		}
	}
}

// decayingRate is the units sent over about as long as it looks back.
type decayingRate struct {
	units float64
	at    time.Duration
}

func (p *decayingRate) current(current, over time.Duration) float64 {
	return p.units * math.Exp(-(current-p.at).Seconds()/max(over.Seconds(), 1e-3))
}

func (p *decayingRate) add(now time.Duration, units float64, over time.Duration) {
	p.units, p.at = p.current(now, over)+units, now
}

// learnWarm notes how long warm nodes take and how many they have in hand meanwhile.
func (s *Scheduler) learnWarm(n *endpoint, took float64, l *Load) {
	if l == nil || !(l.InFlight >= 0 && l.InFlight < 1e6) || s.isCold(n) {
		return
	}
	s.warmServiceTime = cmp.Or(s.warmServiceTime, took)
	s.warmServiceTime += (took - s.warmServiceTime) * learningGain / 8
	s.warmConcurrency += (l.InFlight - s.warmConcurrency) * learningGain / 8
	n.reportedConcurrency += (l.InFlight - n.reportedConcurrency) * learningGain
}

// processGroup is the processes that act for this initiator: for the rules they are one.
type processGroup struct {
	size, previousSize float64 // now, and until lately; 0: one
	previousUntil      time.Duration
}

// resize takes over their number. What one that has gone sent counts for the span that the rule on cold nodes looks back.
func (c *processGroup) resize(size int, now, span time.Duration) {
	if next := float64(size); next < c.size {
		c.size, c.previousSize, c.previousUntil = next, c.size, now+span
	} else {
		c.size = next
	}
}

// fraction is this process's part of what the rules allow them together.
func (c *processGroup) fraction(now time.Duration) float64 {
	if now < c.previousUntil {
		return 1 / max(1, c.size, c.previousSize)
	}
	return 1 / max(1, c.size)
}

// dropOlderUnits drops the draws before from.
func dropOlderUnits(list []timedUnits, from time.Duration) []timedUnits {
	for len(list) > 0 && list[0].at < from {
		list = list[1:]
	}
	return list
}

// sumUnits sums the draws.
func sumUnits(list []timedUnits) (sum float64) {
	for _, d := range list {
		sum += d.units
	}
	return sum
}

// orderedExtent is the queue of one extent whose requests take turns.
type orderedExtent struct {
	queue      []*request
	quietUntil time.Duration
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

// tagLead is how much of the time that it has been held for its start tag lay ahead.
func (r *request) tagLead(now time.Duration) time.Duration {
	return max(0, min(r.startTag, now)-r.heldSince)
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

// dropOlderTimes drops the times before from.
func dropOlderTimes(list []time.Duration, from time.Duration) []time.Duration {
	cut := 0
	for cut < len(list) && list[cut] < from {
		cut++
	}
	return list[cut:]
}

// deadlineHeap orders requests by when they must be answered.
type deadlineHeap []*request

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].answerBy < h[j].answerBy || h[i].answerBy == h[j].answerBy && h[i].ID < h[j].ID
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	r.heapIndex = -1
	*h = old[:len(old)-1]
	return r
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// EjectedCount tells how many of the listed nodes get no request, or one trial at a time.
func (s *Scheduler) EjectedCount() (n int) {
	n = s.drainingCount
	for _, x := range s.activeEndpoints() {
		if s.isEjected(x) {
			n++
		}
	}
	return n
}

// EndpointFor names the node that a request for the shard would go to now; empty: none. It is asked for where a
// body must be on its way before the request can be decided on.
func (s *Scheduler) EndpointFor(shard int) string {
	r := &request{Request: Request{Shard: shard}}
	if l := s.placeRequest(r); l.endpoint != nil {
		return l.endpoint.ID
	}
	return ""
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
