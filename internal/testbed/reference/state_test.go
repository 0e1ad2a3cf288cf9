package reference

// The state of the scheduler in scheduler_test.go, and small helpers. No decision is made here.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// never is later than any time of the caller's clock.
const never = time.Duration(math.MaxInt64)

func toDuration(x float64) time.Duration { return time.Duration(min(x, 1e6) * float64(time.Second)) }

// removeRequest returns the list without r.
func removeRequest(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// request is a queued or sent request. It is kept until it is answered and no attempt is in flight.
type request struct {
	Request
	class            *Class
	volume           *volume
	queue            *shardQueue
	firstSeenAt      time.Duration // when it arrived; for a retry after a rejection, when the first try arrived
	objectiveAt      time.Duration // end of its latency objective
	deadlineAt       time.Duration // when its client gives up
	answerBy         time.Duration // when it is answered without being served, unless an attempt is in flight
	startTag         time.Duration // start tag
	finishTag        time.Duration // finish tag
	notBefore        time.Duration // no attempt is sent before
	queuedSince      time.Duration // when it was last queued
	attempts         int
	inFlightAt       *endpoint // endpoint of the attempt in flight; nil: none
	attemptStartedAt time.Duration
	mayHaveRun       bool          // an attempt may have taken effect; of the first such attempt:
	ranInZone        string        // zone
	ranInShard       int           // shard
	firstRanAt       time.Duration // when it started
	rateLimitCharged bool          // its units were taken from the volume's rate limit
	pastObjective    bool          // it cannot be answered within its objective any more
	valuePerUnit     float64       // value of serving one unit, as last computed
	deferred         bool          // the endpoint cannot serve all in time, and this one is among the least valuable
	answered         bool
	heapIndex        int // index in Scheduler.deadlines; -1: not in it
}

// requestIdentity is the fields that a rejected request and its client's retry have in common.
type requestIdentity struct {
	class, volume, extent string
	units                 float64
}

func (r *request) identity() requestIdentity {
	return requestIdentity{r.Class, r.Volume, r.Extent, r.Units}
}

// volume is a client of fair queuing: one bucket at this initiator.
type volume struct {
	plan              *Plan
	initiators        float64
	tokens            float64
	tokensAt          time.Duration
	backlog           int // requests queued or in flight at this initiator
	ownUsage          float64
	ownUsageAt        time.Duration
	totalUsage        float64
	totalUsageAt      time.Duration
	rateLimitTokens   float64 // bucket of this initiator's share of the rate limit
	rateLimitTokensAt time.Duration
	reserveTokens     float64 // bucket of the reserved rate, in units
	reserveTokensAt   time.Duration
}

// flow is the tag state of one volume in one queue.
type flow struct {
	volume      *volume
	maxStartTag time.Duration
	queued      int
}

// shardQueue is the queue of one shard. Its tags are shifted together.
type shardQueue struct {
	shard        int
	endpoint     *endpoint // the endpoint that serves the shard now; nil: none is known
	requests     []*request
	flows        []*flow
	flowByVolume map[*volume]*flow
	wakeAt       time.Duration
	sentRate     decayingRate
}

// endpoint is the state of one listed storage server process.
type endpoint struct {
	Endpoint
	inFlight            []*request
	concurrencyLimit    float64
	maxInFlight         int           // most attempts ever in flight, hence the number of connections
	latency             float64       // smoothed, in seconds for a request of mean size; 0: unknown
	baseLatency         float64       // low quantile of the latency: the service time without a queue
	lastAnswerAt        time.Duration // when an attempt was last answered
	lastReportAt        time.Duration // when it last reported its load
	reportedConcurrency float64       // requests in flight by its reports, smoothed
	trafficShare        float64       // this initiator's traffic over an even share, estimated when the endpoint restarted
	reportedLoad        float64       // requests queued or in flight by its last report; -1: none yet
	congestedAt         time.Duration // when a request for it last expired or was deferred
	failureStreak       float64       // failures since the last success
	blockedUntil        time.Duration // no attempt is sent before
	lastExtent          string        // extent of the last request sent
	extentRun           int           // requests of that extent sent in a row
	coldSent            []timedUnits  // units sent within the overload window that used no credit
	coldCredit          []timedUnits  // units answered that no later send has used up
}

type timedUnits struct {
	at    time.Duration
	units float64
}

// chargeCold records units that are sent. At a cold endpoint they use up the credit of answered units if it is large
// enough, and otherwise count against the even share.
func (n *endpoint) chargeCold(now time.Duration, units float64, cold bool) {
	if !cold || sumUnits(n.coldCredit) < units {
		n.coldSent = append(n.coldSent, timedUnits{now, units})
		return
	}
	for units > 0 && len(n.coldCredit) > 0 {
		d := &n.coldCredit[0]
		used := min(units, d.units)
		d.units, units = d.units-used, units-used
		if d.units <= 0 {
			n.coldCredit = n.coldCredit[1:]
		}
	}
}

// decayingRate is an exponentially decaying sum of units, as of the time at.
type decayingRate struct {
	units float64
	at    time.Duration
}

func (p *decayingRate) current(now, over time.Duration) float64 {
	return p.units * math.Exp(-(now-p.at).Seconds()/max(over.Seconds(), 1e-3))
}

func (p *decayingRate) add(now time.Duration, units float64, over time.Duration) {
	p.units, p.at = p.current(now, over)+units, now
}

// updateWarmEstimates updates the mean service time and concurrency of warm endpoints.
func (s *Scheduler) updateWarmEstimates(n *endpoint, serviceTime float64, load *Load) {
	if load == nil || !(load.InFlight >= 0 && load.InFlight < 1e6) || s.isCold(n) {
		return
	}
	s.warmServiceTime = cmp.Or(s.warmServiceTime, serviceTime)
	s.warmServiceTime += (serviceTime - s.warmServiceTime) * learningGain / 8
	s.warmConcurrency += (load.InFlight - s.warmConcurrency) * learningGain / 8
	n.reportedConcurrency += (load.InFlight - n.reportedConcurrency) * learningGain
}

// processGroup counts the processes that act as this initiator. They share the limits of one initiator.
type processGroup struct {
	size, previousSize float64 // number of processes now, and the one that applies until previousUntil; 0: one
	previousUntil      time.Duration
}

// resize sets the number of processes. After a process has exited, the larger number still applies for the window of
// the cold start rule, in which its sends still count.
func (c *processGroup) resize(size int, now, span time.Duration) {
	if next := float64(size); next < c.size {
		c.size, c.previousSize, c.previousUntil = next, c.size, now+span
	} else {
		c.size = next
	}
}

// fraction is this process's fraction of the initiator's limits.
func (c *processGroup) fraction(now time.Duration) float64 {
	if now < c.previousUntil {
		return 1 / max(1, c.size, c.previousSize)
	}
	return 1 / max(1, c.size)
}

// dropOlderUnits returns the ordered list without the entries before from.
func dropOlderUnits(list []timedUnits, from time.Duration) []timedUnits {
	for len(list) > 0 && list[0].at < from {
		list = list[1:]
	}
	return list
}

// sumUnits returns the total units of the entries.
func sumUnits(list []timedUnits) (sum float64) {
	for _, d := range list {
		sum += d.units
	}
	return sum
}

// orderedExtent is an extent whose requests run one at a time.
type orderedExtent struct {
	queue      []*request
	quietUntil time.Duration
}

func (l *shardQueue) flow(v *volume) *flow {
	f := l.flowByVolume[v]
	if f == nil {
		f = &flow{volume: v}
		l.flowByVolume[v] = f
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
	l.flow(r.volume).queued++
}

// startTagWait is how long, since it was last queued, the request has waited for its start tag.
func (r *request) startTagWait(now time.Duration) time.Duration {
	return max(0, min(r.startTag, now)-r.queuedSince)
}

// dequeue removes the request from its queue, if it is there.
func (r *request) dequeue() {
	l := r.queue
	if i := slices.Index(l.requests, r); i >= 0 {
		l.requests = slices.Delete(l.requests, i, i+1)
		l.flow(r.volume).queued--
	}
}

// cloneSettings copies the slices that the settings share with the caller.
func cloneSettings(set Settings) Settings {
	set.Classes, set.Plans = slices.Clone(set.Classes), slices.Clone(set.Plans)
	return set
}

// sweep drops state that was not used after since: volumes and their flows, empty queues, ordered extents, and removed
// endpoints.
func (s *Scheduler) sweep(since time.Duration) {
	idle := func(v *volume) bool { return v.backlog == 0 && v.tokensAt < since && v.ownUsageAt < since }
	for _, l := range s.queues {
		l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
			drop := f.queued == 0 && idle(f.volume)
			if drop {
				delete(l.flowByVolume, f.volume)
			}
			return drop
		})
	}
	// An empty queue of a shard that no known endpoint serves was created by a request for an unknown shard.
	s.queues = slices.DeleteFunc(s.queues, func(l *shardQueue) bool {
		return len(l.requests)+len(l.flows) == 0 && !slices.ContainsFunc(s.endpoints, func(n *endpoint) bool { return n.Shard == l.shard })
	})
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool { return idle(v) })
	maps.DeleteFunc(s.orderedExtents, func(_ string, k *orderedExtent) bool { return len(k.queue) == 0 && k.quietUntil < since })
	s.endpoints = slices.DeleteFunc(s.endpoints, func(n *endpoint) bool {
		drop := n.State == Removed && len(n.inFlight) == 0 && n.lastAnswerAt < since
		if drop {
			delete(s.byID, n.ID)
		}
		return drop
	})
}

// queueOf returns the queue of a shard, created at first use.
func (s *Scheduler) queueOf(shard int) *shardQueue {
	for _, l := range s.queues {
		if l.shard == shard {
			return l
		}
	}
	l := &shardQueue{shard: shard, flowByVolume: map[*volume]*flow{}}
	s.queues = append(s.queues, l)
	return l
}

// dropOlderTimes returns the ordered list without the times before from.
func dropOlderTimes(list []time.Duration, from time.Duration) []time.Duration {
	cut := 0
	for cut < len(list) && list[cut] < from {
		cut++
	}
	return list[cut:]
}

// deadlineHeap orders requests by the time at which they must be answered.
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

// EjectedCount returns the number of listed endpoints that are draining or ejected.
func (s *Scheduler) EjectedCount() (n int) {
	for _, x := range s.endpoints {
		if x.State == Draining || s.isEjected(x) {
			n++
		}
	}
	return n
}

// EndpointFor returns the ID of the endpoint that a request for the shard would go to now; empty: none. Callers use it
// where a body must be streamed before the request can be decided on.
func (s *Scheduler) EndpointFor(shard int) string {
	r := &request{Request: Request{Shard: shard}}
	if l := s.placeRequest(r); l.endpoint != nil {
		return l.endpoint.ID
	}
	return ""
}

// forget drops an answered request that has no attempt in flight.
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
