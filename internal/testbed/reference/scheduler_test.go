package reference

// The interface (settings, events, actions, outcomes) is in api.go; what is kept, in state.go.
//
// Reading order: tagging, release, node health, attempts and final answers, rule guards,
// placement. docs/design.md tells what is RFQ as published and what was added.

import (
	"container/heap"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// runLength bounds a run on one extent. Half saves less work, double passes others' deadlines.
	runLength = 6
	// latencyRise is how far above its base a node may answer before the depth shrinks: what waits there can
	// no longer be ordered. At 1.25 the simulator's days lost 0.01, at 1.75 0.04.
	latencyRise = 1.0
	// calmAims is how many least aims without a lapsed or set-aside request make a node calm: it may have
	// twice the depth. Half queues more between surges, double idles cores (without: quiet days lose 0.2).
	calmAims   = 30
	windowGain = 0.1  // part by which an answer moves depth and base. Half lags, double is noisy.
	windowPush = 0.25 // depth that each initiator leans on a node with. Half adapts slowly, double queues.
	errorPart  = 0.75 // forgiven of an error: quick ones cost little, so more of them mean trouble.
	windowMost = 16   // bounds the depth, whatever the estimates. Half would bind a lone host.
	// spellAims is how many least aims an answer stays telling: one after a longer gap outweighs all before,
	// and the latency expected falls to the base. Half forgets others' queues, double believes them too long.
	spellAims   = 4
	beatParts   = 8   // how many timers fit in a least aim, so that own pauses show. Half misses some.
	keepAims    = 60  // how many least aims what is idle stays known. Half forgets more, double holds more.
	quietFactor = 4   // usual latencies without an answer that make a node quiet. Half takes pauses for it.
	shareFloor  = 0.5 // least part of an even share that a host is taken to have. Double makes all even.
	// loadFree is how many requests a node may report before they tell of a queue: what it serves at once is
	// no wait, and reports are late. At 0, with the part below learned, the simulator's days lost 0.08.
	loadFree = 4
	// loadAdds is the part of the base latency that each one past them adds. Learned from answers it came out
	// high, as few of those that met a report had met the load in it.
	loadAdds = 0.25
	// coldLoad is how many requests a cold node may report for a crowd of initiators to send the next. Half
	// refuses what it would serve in time (0.903 on the fleet's days, 0.919 so), more is no better.
	coldLoad   = 8
	meterFresh = 5 // how many periods a reading of use is believed. Half drops seldom ones, double lags.
)

// Scheduler decides for one initiator. It is not safe for concurrent use.
type Scheduler struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	classes  map[string]*Class
	plans    map[string]*Plan
	turned   map[ask]*request // turned away, and may come again
	turnedAt []*request       // the same by time
	leastAim time.Duration
	index    int           // this one's number among the initiators, from 0
	born     time.Duration // the first step
	service  float64       // what a mean request takes at warm nodes, in seconds; 0: not known
	atOnce   float64       // how many are there meanwhile
	volumes  map[string]*volume
	requests map[string]*request
	lanes    []*lane
	nodes    []*node
	byID     map[string]*node
	keys     map[string]*orderKey
	dues     dueHeap
	crew     crew
	// For the attempt budget; the next timer and what it is for, the last sweep, how long this initiator
	// stood still before this step (0: not), when to ask for the list and how long to wait after that.
	taken, extra                                    []time.Duration
	timerAt, wakeAt, swept, stalled, askAt, askWait time.Duration

	ready   []*request // what the gate lets through at the lane in hand
	actions []Action
}

// New returns a scheduler for the given settings, or an error if they cannot be served.
func New(set Settings, seed uint64) (*Scheduler, error) {
	if len(set.Classes) == 0 || len(set.Plans) == 0 {
		return nil, errors.New("settings need at least one class and one plan")
	}
	if set.Initiators < 1 {
		return nil, fmt.Errorf("settings name %d initiators", set.Initiators)
	}
	s := &Scheduler{set: clone(set), rng: rand.New(rand.NewPCG(seed, seed)), leastAim: never,
		classes: map[string]*Class{}, plans: map[string]*Plan{}, turned: map[ask]*request{},
		volumes: map[string]*volume{}, requests: map[string]*request{},
		byID: map[string]*node{}, keys: map[string]*orderKey{},
		timerAt: never, askAt: never, born: never, askWait: time.Second,
	}
	s.set.MeanUnits = max(set.MeanUnits, 1e-3)
	if s.index = set.InitiatorIndex - 1; s.index < 0 {
		s.index = s.rng.IntN(set.Initiators)
	}
	if set.SubscribeToList {
		s.askAt = 0
	}
	for i := range s.set.Classes {
		c := &s.set.Classes[i]
		if c.LatencyObjective <= 0 || c.Deadline <= 0 {
			return nil, fmt.Errorf("class %q needs an aim and a deadline", c.Name)
		}
		s.classes[c.Name] = c
		s.leastAim = min(s.leastAim, c.LatencyObjective)
	}
	for i := range s.set.Plans {
		s.plans[s.set.Plans[i].Name] = &s.set.Plans[i]
	}
	return s, nil
}

// Step takes what happened up to now and returns what to do. The slice is valid until the next Step.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now, s.born, s.actions = now, min(s.born, now), s.actions[:0]
	// A timer that comes late: this initiator stood still, and what it finds has waited here, at no node.
	s.stalled = 0
	if late := now - s.timerAt; late >= 0 {
		s.timerAt = never
		if late > s.leastAim/beatParts {
			s.stalled = late
		}
	}
	idle := now < s.wakeAt // but for what the events bring
	for _, e := range events {
		_, beat := e.(Timer)
		idle = idle && beat
		switch e := e.(type) {
		case NodeList:
			s.onList(e)
		case Request:
			s.onRequest(e)
		case Outcome:
			s.onOutcome(e)
		case StreamBegun:
			if r := s.requests[e.ID]; r != nil && r.heapAt >= 0 {
				heap.Remove(&s.dues, r.heapAt)
			}
		case Departed:
			if r := s.requests[e.ID]; r != nil && !r.done {
				s.finish(r)
			}
		case Shared:
			s.crew.set(e.Processes, s.now, s.set.Rules.OverloadWindow)
		case Watched:
			s.watched(e)
		case Timer: // also one a little early: whoever drives the module may round
			s.timerAt = never
		}
	}
	if !idle {
		s.answerDue()
		s.replace()
		for _, l := range s.lanes {
			s.releaseLane(l)
		}
		s.answerDue() // what has lapsed
	}
	if now-s.swept > keepAims*s.leastAim {
		s.sweep(s.swept) // what was idle for that long starts afresh, as after a synchronization point
		s.swept = now
	}
	s.setTimer()
	return s.actions
}

// ---- Tagging ----

// rho is the rate at which the volume's bucket fills here: the plan's rate times this initiator's share of
// the volume's recent service, evenly while nothing fresh is known.
func (s *Scheduler) rho(v *volume) float64 {
	share := 1 / v.hosts
	if s.set.UsagePeriod > 0 && v.totalAt > 0 && s.now-v.totalAt < meterFresh*s.set.UsagePeriod && v.total > 0 {
		share = min(1, max(shareFloor/v.hosts, s.ownRate(v)/v.total))
	}
	return max(v.plan.Rate*share, 1e-3)
}

// sigma is the bucket's depth: a second of the reserve and one largest request, as worth is counted.
func (s *Scheduler) sigma(v *volume) float64 {
	return max(v.plan.ReservedRate, v.plan.Rate)/v.hosts + max(s.set.MaxUnits, s.set.MeanUnits)
}

func (s *Scheduler) ownRate(v *volume) float64 {
	tau := 2 * s.set.UsagePeriod.Seconds()
	return v.own * math.Exp(-(s.now-v.ownAt).Seconds()/tau)
}

// meter notes own service and what the answer tells of the volume's service everywhere.
func (s *Scheduler) meter(v *volume, units float64, used int) {
	if s.set.UsagePeriod <= 0 {
		return
	}
	v.own, v.ownAt = s.ownRate(v)+units/(2*s.set.UsagePeriod.Seconds()), s.now
	if told := float64(used-1) / 100 * v.plan.Rate; used > 0 {
		if v.totalAt == 0 {
			v.total = told
		}
		v.total, v.totalAt = v.total+(told-v.total)*0.3, s.now
	}
}

// tag gives the request its start and finish tag from the volume's bucket and the lane's tags.
func (s *Scheduler) tag(r *request, l *lane) {
	v, f, rho := r.vol, l.flow(r.vol), s.rho(r.vol)
	v.tokens, v.filled = min(s.sigma(v), v.tokens+(s.now-v.filled).Seconds()*rho), s.now
	switch {
	case v.tokens >= r.Units:
		r.start = s.now
	case v.tokens > 0:
		r.start = s.now + seconds((r.Units-v.tokens)/rho)
	default:
		r.start = max(f.maxS, s.now) + seconds(r.Units/rho)
	}
	f.maxS, r.finish = r.start, r.start+(r.fullAim-s.now)
	v.tokens -= r.Units
}

// untag gives back what a request drew that will not be served in time, so that it does not stand in
// the way of its volume's later ones.
func (s *Scheduler) untag(r *request) {
	f := r.lane.flow(r.vol)
	r.vol.tokens += r.Units
	back := seconds(r.Units / s.rho(r.vol))
	for _, q := range r.lane.held {
		if q.vol == r.vol && q.start > r.start {
			q.start, q.finish = q.start-back, q.finish-back
		}
	}
	f.maxS -= back
}

// sync is a synchronization point of the lane: room and nothing eligible. All tags of the lane shift
// back by the least gap, and volumes of the lane with no backlog at this initiator refill.
func (s *Scheduler) sync(l *lane, gap time.Duration) {
	for _, r := range l.held {
		r.start, r.finish = r.start-gap, r.finish-gap
	}
	for _, f := range l.flows {
		if f.held > 0 {
			f.maxS -= gap
		}
		if f.vol.backlog == 0 {
			f.vol.tokens, f.vol.filled = s.sigma(f.vol), s.now
		}
	}
}

// ---- Release ----

// releaseLane sends while the lane's node has room.
func (s *Scheduler) releaseLane(l *lane) {
	l.wake = never
	for l.node != nil && len(l.held) > 0 {
		if wait := s.thrift(l); wait > s.now {
			l.wake = min(l.wake, wait)
			return
		}
		room := s.room(l.node, 0)
		if !room && !(s.room(l.node, runLength-1) && slices.ContainsFunc(l.held, l.node.follows)) {
			return // without a look at all that is held, which each event would cost where much is
		}
		r := s.pick(l, room)
		if r == nil {
			return
		}
		s.send(r, l)
	}
}

// thrift tells until when the lane makes do with the connections it has to its node, where the settings price
// a handshake: what can wait for one in use until half of its aim is over does so. Two thirds are no better.
func (s *Scheduler) thrift(l *lane) time.Duration {
	n, r := l.node, l.held[0]
	if s.set.ConnectCost <= 0 || len(n.out) == 0 || len(n.out) < n.wide {
		return 0
	}
	return min(r.fullAim-seconds(2*s.expect(n)*s.size(r.Units)), r.fullAim-r.class.LatencyObjective/2)
}

// follows tells whether the request may go on with the extent that the node was sent last.
func (n *node) follows(r *request) bool {
	return n.run < runLength && r.Extent != "" && r.Extent == n.last && r.sent == 0
}

// pick returns what leaves next: of what can make its aim the eligible request of least finish tag, or one of
// the last extent; at a synchronization point the next to become eligible; on an idle node what is set aside.
func (s *Scheduler) pick(l *lane, room bool) *request {
	n := l.node
	var best, ahead, aside, follow *request
	s.sift(l)
	for _, r := range s.ready {
		switch {
		case r.aside:
			if aside == nil || r.earns > aside.earns {
				aside = r
			}
		case r.start > s.now:
			if ahead == nil || r.start < ahead.start || r.start == ahead.start && r.finish < ahead.finish {
				ahead = r
			}
		default:
			if best == nil || r.finish < best.finish {
				best = r
			}
			if n.follows(r) && (follow == nil || r.finish < follow.finish) {
				follow = r
			}
		}
	}
	switch {
	case follow != nil:
		return follow
	case !room:
		return nil
	case best != nil:
		return best
	case ahead != nil:
		s.sync(l, ahead.start-s.now)
		return ahead
	case aside != nil && len(n.out) == 0:
		return aside
	}
	return nil
}

// sift fills ready with the requests that the gate lets through. One that can no longer make its aim lapses;
// where the rest cannot all make it, those that earn least for a unit are set aside for now: earliest
// deadline first would serve each just too late. It harms where the latency is judged too high.
func (s *Scheduler) sift(l *lane) {
	n := l.node
	s.ready = s.ready[:0]
	usual, fresh := s.expect(n), s.fresh(n.heard)
	work, each := 0.0, usual/n.window/s.set.MeanUnits
	for _, r := range l.held { // in order of aim
		if wait := s.gate(r, l); wait > s.now {
			l.wake = min(l.wake, wait)
			continue
		}
		// The base fades while no answer renews it: else one slow answer would bar a class for ever.
		if s.now+seconds(n.base*fresh*s.size(r.Units)) > r.fullAim {
			s.lapse(r)
		}
		if r.late {
			continue
		}
		s.ready = append(s.ready, r)
		r.aside, r.earns = false, s.value(r)
		alone := s.now + seconds(usual*s.size(r.Units))
		work += r.Units
		for alone+seconds((work-r.Units)*each) > r.fullAim && !r.aside {
			least := r
			for _, q := range s.ready {
				if !q.aside && q.earns < least.earns {
					least = q
				}
			}
			least.aside, n.pressed = true, s.now
			work -= least.Units
		}
	}
}

// lapse gives up a request that can no longer make its aim: it is answered before the step is over. Waiting
// on, it would hold a connection that its client needs for the next, and a late answer earns next to nothing.
func (s *Scheduler) lapse(r *request) {
	if r.late {
		return
	}
	r.late, r.by = true, s.now
	if r.lane.node != nil {
		r.lane.node.pressed = s.now
	}
	s.untag(r)
	if r.heapAt >= 0 {
		heap.Fix(&s.dues, r.heapAt)
	}
}

// size is how much longer than a mean request one of so many units takes.
func (s *Scheduler) size(units float64) float64 { return (1 + units/s.set.MeanUnits) / 2 }

// value is what a unit of the request earns: full while its volume's reserve is owed, the share's part
// where its start tag says so, and less the further it is ahead.
func (s *Scheduler) value(r *request) float64 {
	v := r.class.PriorityWeight * r.vol.plan.PriorityFactor
	switch {
	case s.owed(r.vol) >= r.Units:
		return v
	case r.start <= s.now:
		return v * s.set.FairSharePriority
	}
	return v * (s.set.ExcessPriority + (s.set.FairSharePriority-s.set.ExcessPriority)/(1+(r.start-s.now).Seconds()))
}

// owed refills and returns what of its reserve the volume may still have served at full worth here.
func (s *Scheduler) owed(v *volume) float64 {
	rate := v.plan.ReservedRate * s.rho(v) / max(v.plan.Rate, 1e-3)
	v.owed = min(rate+s.set.MaxUnits, v.owed+(s.now-v.owedAt).Seconds()*rate)
	v.owedAt = s.now
	return v.owed
}

// room tells whether the node may have another attempt out now, extra of them past the bound. An attempt
// overdue far beyond the usual no longer holds its slot: it was lost, or nothing else would get through.
func (s *Scheduler) room(n *node, extra int) bool {
	fresh := 0
	for _, r := range n.out {
		if s.now-r.outAt < s.quietAfter(n) {
			fresh++
		}
	}
	if s.troubled(n) {
		return fresh == 0
	}
	return float64(fresh) < math.Floor(n.window)+float64(extra)
}

// send is the only way out: it sends r to the lane's node.
func (s *Scheduler) send(r *request, l *lane) {
	n := l.node
	permit := s.permit(n, r)
	r.unhold()
	if n.last == r.Extent {
		n.run++
	} else {
		n.last, n.run = r.Extent, 1
	}
	if r.sent > 0 {
		s.extra = append(trim(s.extra, s.now-s.set.Rules.RetryBudgetWindow-2*s.set.MinStep), s.now)
	} else {
		r.vol.owed = max(0, s.owed(r.vol)-r.Units)
	}
	if !r.drawn {
		r.vol.store, r.drawn = r.vol.store-r.Units, true
	}
	if s.set.Rules.OverloadWindow > 0 {
		n.spend(s.now, r.Units, s.cold(n))
		l.sent.add(s.now, r.Units, s.set.Rules.WarmUpTime)
	}
	r.sent++
	r.out, r.outAt = n, s.now
	n.out = append(n.out, r)
	n.wide = max(n.wide, len(n.out))
	wait, within := min(s.patience(n, r), max(r.due-s.now, s.set.MinStep)), time.Duration(0)
	if r.mayRun && r.class.Effect == Keyed {
		within = max(s.repeatBy(r)-s.now, 1) // it may wait for a connection yet
	}
	s.act(Action{Kind: Send, Request: r.ID, Endpoint: n.ID, Wait: wait, StartTagWait: r.ahead(s.now),
		Permit: permit, SendWithin: within})
}

// ---- Node health ----

// onList applies the list. A draining or gone node gets nothing more from that moment on.
func (s *Scheduler) onList(e NodeList) {
	if e.Failed {
		if s.set.SubscribeToList {
			s.askAt, s.askWait = s.now+s.askWait, min(2*s.askWait, 8*time.Second)
		}
		return
	}
	s.askWait = time.Second
	named := map[string]bool{}
	for _, x := range e.Endpoints {
		named[x.ID] = true
		n := s.byID[x.ID]
		if n == nil {
			n = &node{Node: Node{ID: x.ID}, window: 2, heard: s.now, load: -1}
			s.byID[x.ID] = n
			s.nodes = append(s.nodes, n)
		}
		if x.Started != n.Started && s.now-x.Started < s.set.Rules.WarmUpTime {
			n.share = s.share(x.Shard) // by what was sent before
			n.window, n.streak, n.latency, n.load, n.served = 1, 0, 0, -1, nil
		}
		n.Node = x
	}
	for _, n := range s.nodes {
		if e.Full && !named[n.ID] {
			n.State = Removed
		}
		if n.State == Up && n.Shard >= 0 {
			s.laneOf(n.Shard)
		}
	}
	for _, l := range s.lanes {
		l.node = nil
		for _, n := range s.nodes {
			if n.Shard == l.shard && n.State == Up && (l.node == nil || n.Started > l.node.Started) {
				l.node = n
			}
		}
	}
}

// quietAfter is how long a node may owe any answer before it counts as quiet.
func (s *Scheduler) quietAfter(n *node) time.Duration {
	return max(s.leastAim, seconds(quietFactor*n.latency))
}

// expect is the latency to expect now: as answers or reports tell, falling to the base while none renews it,
// so that one bad spell is not believed for ever by an initiator that holds back because of it.
func (s *Scheduler) expect(n *node) float64 {
	seen := (n.latency - n.base) * s.fresh(n.heard)
	told := n.base * loadAdds * max(0, n.load-loadFree) * s.fresh(n.told)
	return n.base + max(seen, told)
}

// fresh is how much of what was learned at that time is still believed.
func (s *Scheduler) fresh(at time.Duration) float64 {
	return math.Exp(-(s.now - at).Seconds() / (spellAims * s.leastAim.Seconds()))
}

// onLoad takes a node's report for one more sign of its latency: what waits there is answered first. Where
// reports are missing the answers have the word; absurd ones are ignored.
func (s *Scheduler) onLoad(n *node, l *Load) {
	if l == nil || n.latency == 0 {
		return
	}
	load := l.InFlight
	if l.Queued >= 0 {
		load = l.Queued + loadFree
	}
	if load >= 0 && load < 1e6 {
		n.load, n.told = load, s.now
	}
}

// troubled tells whether the node is quiet (an attempt is overdue far beyond the usual and nothing was heard
// since) or failed several times with nothing served between: whatever the cause, one trial at a time.
func (s *Scheduler) troubled(n *node) bool {
	if n.streak >= 3 {
		return true
	}
	for _, r := range n.out {
		if s.now-r.outAt > s.quietAfter(n) && n.heard <= r.outAt {
			return true
		}
	}
	return false
}

// patience is the time-out of an attempt. It is long: the data is nowhere else, so a premature second attempt
// only adds load, even where answers get lost. It frees the slot of an attempt that was lost.
func (s *Scheduler) patience(n *node, r *request) time.Duration {
	return max(4*r.class.LatencyObjective, seconds(2*quietFactor*n.latency))
}

// learn updates depth and latency from an attempt's end. The depth follows PARDA: it tends to where the
// node answers in latencyRise times its base, and grows only while it is in use.
func (s *Scheduler) learn(n *node, r *request, e Outcome) {
	switch e.Code {
	case Delivered:
		if s.troubled(n) {
			n.window = 1
		}
		n.streak, n.openAt = 0, 0
		if s.set.Rules.OverloadWindow > 0 {
			n.served = append(n.served, draw{s.now, r.Units})
		}
		took := e.Latency.Seconds() / s.size(r.Units)
		if s.stalled > 0 {
			n.heard = s.now
			return
		}
		s.noteWarm(n, took, e.Load)
		if n.latency == 0 {
			n.latency, n.base = took, took
		}
		gain := max(windowGain, 1-s.fresh(n.heard))
		if took < n.base {
			n.base += (took - n.base) * gain
		} else {
			n.base += (took - n.base) * windowGain / 8
		}
		n.latency += (took - n.latency) * gain
		n.heard = s.now
		goal := latencyRise * n.base
		if s.now-n.pressed > calmAims*s.leastAim {
			goal *= 2 // what waits at the node need not be ordered
		}
		next := n.window*min(2, goal/max(n.latency, 1e-6)) + windowPush
		if next < n.window || float64(len(n.out)) >= math.Floor(n.window) {
			n.window += (next - n.window) * windowGain
		}
		// Where few share a node, each has its part of what it serves at once: two with one out each idled
		// cores, most after each trouble, and a link that fell silent is one.
		n.window = min(windowMost, max(1, loadFree/float64(s.set.Initiators), n.window))
	case Full:
		n.window = max(1, n.window/2)
		n.heard = s.now
		n.openAt = s.now + seconds(n.latency)
	case Errored, NoConnection, Reset, Expired:
		if e.Code == Expired && e.Latency < s.quietAfter(n) {
			// The client's patience was short: it tells that the node takes at least this long, no more.
			n.latency += max(0, e.Latency.Seconds()-n.latency) * windowGain
			return
		}
		n.streak++
		if e.Code == Errored {
			n.streak -= errorPart
		}
		if e.Code == Expired {
			n.window = max(1, n.window/2)
			return
		}
		n.heard = s.now
		n.openAt = s.now + s.quietAfter(n)*time.Duration(max(0, min(n.streak, 4)-1)*16)/64
	}
}

// ---- Attempts and final answers ----

func (s *Scheduler) onRequest(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	s.taken = append(trim(s.taken, s.now-s.set.Rules.RetryBudgetWindow), s.now)
	c, p := s.classes[e.Class], s.plans[e.Plan]
	if c == nil || p == nil || e.TimeLeft <= 0 {
		s.act(Action{Kind: Refuse, Request: e.ID})
		return
	}
	e.TimeLeft = min(e.TimeLeft, c.Deadline) // nobody's patience is longer
	v := s.volumes[e.Volume]
	if v == nil {
		v = &volume{plan: p, hosts: float64(max(1, e.VolumeInitiators)), filled: s.now, storeAt: s.now}
		v.tokens = s.sigma(v)
		s.volumes[e.Volume] = v
	}
	v.hosts = float64(max(1, e.VolumeInitiators))
	e.Units = max(e.Units, 0)
	r := &request{Request: e, class: c, vol: v, born: s.now, heldAt: s.now, due: s.now + e.TimeLeft}
	r.by = s.now + max(e.TimeLeft/2-4*s.set.MinStep, s.set.MinStep)
	r.fullAim = s.now + c.LatencyObjective
	if waited := c.Deadline - e.TimeLeft; s.stalled > 0 && waited < s.stalled+s.leastAim/beatParts {
		r.fullAim -= waited
	}
	// A later try of a client that this initiator turned away has spent part of its aim. It is known by
	// asking for the same, within the whole patience; a short budget alone may be an impatient client's.
	if first := s.turned[r.sameAs()]; first != nil && s.now+e.TimeLeft <= first.born+c.Deadline+2*s.set.MinStep {
		r.born, r.fullAim = first.born, first.born+c.LatencyObjective
		delete(s.turned, r.sameAs())
	}
	r.fullAim = min(r.fullAim, r.due-2*s.set.MinStep)
	r.by = min(r.by, r.fullAim)
	s.requests[r.ID] = r
	heap.Push(&s.dues, r)
	v.backlog++
	if c.Ordered && r.Extent != "" {
		k := s.keys[r.Extent]
		if k == nil {
			k = &orderKey{}
			s.keys[r.Extent] = k
		}
		k.line = append(k.line, r)
	}
	r.lane = s.place(r)
	if r.fullAim <= s.now { // a later try of what was turned away, past its aim already
		r.late = true // answered once all events are known: its client may have left
		return
	}
	s.tag(r, r.lane)
	r.lane.hold(r)
}

func (s *Scheduler) onOutcome(e Outcome) {
	r := s.requests[e.ID]
	if r == nil || r.out == nil || e.Attempt != r.sent-1 {
		return
	}
	n := r.out
	s.learn(n, r, e)
	s.onLoad(n, e.Load)
	n.out = without(n.out, r)
	r.out, r.heldAt = nil, s.now
	if e.Code == Delivered {
		s.meter(r.vol, r.Units, e.VolumeUsage)
	}
	doubt := e.Code == Expired || e.Code == Reset || e.Code == Cancelled
	if k := s.keys[r.Extent]; k != nil && r.class.Ordered && doubt {
		k.rest = max(k.rest, s.now+s.set.Rules.OrderedQuietTime)
	}
	if e.Code != NoConnection && e.Code != Moot {
		r.by = r.fullAim // an attempt was written: its client is not held back for nothing
	}
	if e.Code.MayHaveRun() && !r.mayRun {
		r.mayRun, r.ranZone, r.ranShard, r.ranSince = true, n.Zone, n.Shard, r.outAt
	}
	switch {
	case r.done:
		s.forget(r)
	case e.Final:
		s.finish(r)
	default:
		if !s.mayRepeat(r) {
			r.by = s.now // answered once all events are known: its client may have left
		}
		// Further attempts wait a little longer each, the node's gate on top.
		r.retryAt = s.now + s.quietAfter(n)*time.Duration(r.sent)/8
		r.lane.hold(r)
		if r.heapAt >= 0 {
			heap.Fix(&s.dues, r.heapAt)
		} else {
			heap.Push(&s.dues, r)
		}
	}
}

// mayRepeat tells whether a further attempt of the request could ever be allowed.
func (s *Scheduler) mayRepeat(r *request) bool {
	if r.BoundEndpoint != "" || s.set.MaxAttempts > 0 && r.sent >= s.set.MaxAttempts { // its body is gone, or its tries
		return false
	}
	return !r.mayRun || r.class.Effect == Pure ||
		r.class.Effect == Keyed && !r.MissingKey && s.now < s.repeatBy(r)
}

// repeatBy is until when nodes surely drop a repeat: under the window, since to write takes a while.
func (s *Scheduler) repeatBy(r *request) time.Duration {
	return r.ranSince + r.class.DedupWindow - 4*s.set.MinStep
}

// answer gives the final answer: a refusal where a client's retry is harmless, otherwise a failure.
func (s *Scheduler) answer(r *request) {
	c, kind, wait := r.class, Refuse, time.Duration(0)
	if r.late {
		wait = r.due - s.now // a further try of the same ask would come too late for its aim
	} else if r.start > s.now {
		wait = r.start - s.now // the volume is ahead of its rate until then
	}
	if r.mayRun && c.Effect != Pure && (c.Effect != Keyed || c.DedupScope != GroupAll || r.MissingKey) {
		kind, wait = Fail, 0
	}
	end := Action{Kind: kind, Request: r.ID, Wait: wait, StartTagWait: r.ahead(s.now)}
	if r.lane.node != nil {
		end.Endpoint = r.lane.node.ID
	}
	s.act(end)
	s.turned[r.sameAs()] = r
	s.turnedAt = append(s.turnedAt, r)
	for len(s.turnedAt) > 0 && s.now > s.turnedAt[0].born+s.turnedAt[0].class.Deadline {
		if old := s.turnedAt[0]; s.turned[old.sameAs()] == old {
			delete(s.turned, old.sameAs())
		}
		s.turnedAt = s.turnedAt[1:]
	}
	s.finish(r)
}

// finish notes that the request has its final answer.
func (s *Scheduler) finish(r *request) {
	r.done = true
	if r.heapAt >= 0 {
		heap.Remove(&s.dues, r.heapAt)
	}
	if r.out == nil {
		r.unhold()
		s.forget(r)
	}
}

// answerDue ends the held requests that can no longer make their aim, and those of which half the time is
// over without an attempt: what still comes of them earns next to nothing, and clients pay for being held.
func (s *Scheduler) answerDue() {
	for len(s.dues) > 0 {
		r := s.dues[0]
		if r.by > s.now {
			return
		}
		if r.out != nil {
			// Its attempt was cut to end with the budget; the outcome brings the answer, or puts it back.
			heap.Pop(&s.dues)
			continue
		}
		if s.now >= r.fullAim {
			s.lapse(r)
		}
		s.answer(r)
	}
}

// setTimer asks to be woken when the next thing is due.
func (s *Scheduler) setTimer() {
	if s.askAt <= s.now {
		s.askAt = never
		s.act(Action{Kind: Subscribe})
	}
	next := s.askAt
	if len(s.dues) > 0 {
		next = min(next, s.dues[0].by)
	}
	for _, l := range s.lanes {
		if len(l.held) > 0 {
			next = min(next, l.wake)
		}
	}
	s.wakeAt, next = next, min(next, s.now+s.leastAim/beatParts)
	if next < s.timerAt {
		s.timerAt = next
		s.act(Action{Kind: SetTimer, Wait: max(next-s.now, s.set.MinStep)})
	}
}

// ---- Rule guards ----

// gate is the one gate that every send passes. It returns the time from which r may go to the lane's
// node, or a later one at which to look again.
func (s *Scheduler) gate(r *request, l *lane) time.Duration {
	n := l.node
	if r.BoundEndpoint != "" && r.BoundEndpoint != n.ID {
		s.lapse(r) // the rest of its body is elsewhere
		return never
	}
	at := max(r.retryAt, n.openAt, s.orderGate(r), s.coldGate(n, r), s.limitGate(r), s.rationGate(n, r))
	if r.sent > 0 {
		at = max(at, s.budgetGate(n, r))
		c := r.class
		there := n.Zone == r.ranZone && (c.DedupScope == GroupZone || n.Shard == r.ranShard)
		if r.mayRun && c.Effect == Keyed && c.DedupScope != GroupAll && !there || !s.mayRepeat(r) {
			return never
		}
	}
	return at
}

// orderGate keeps requests of one ordered extent in turn.
func (s *Scheduler) orderGate(r *request) time.Duration {
	k := s.keys[r.Extent]
	if k == nil || !r.class.Ordered || r.Extent == "" {
		return 0
	}
	if k.line[0] != r {
		return never
	}
	return k.rest
}

// coldGate keeps the sum of what all initiators send to a cold node within what it bears, whatever others do
// (docs/design.md, Cold nodes): half by parts, which need no word from anybody, and half by answers, each of
// which lets as much go once more. Where the even part is under one mean request, parts follow what was sent.
func (s *Scheduler) coldGate(n *node, r *request) time.Duration {
	ru, units := s.set.Rules, r.Units
	// Also while it is warm: a start is told late.
	n.recent = since(n.recent, s.now-ru.OverloadWindow-s.set.MinStep)
	answers := time.Duration(float64(ru.OverloadWindow) * max(0, ru.OverloadFactor/2-1)) // they count for so long
	n.served = since(n.served, s.now-answers+s.set.MinStep)
	if !s.cold(n) {
		return 0 // before the sums: every held request comes here at every step
	}
	if at, governed := s.rationed(ColdWork, n, r, units); governed {
		return at
	}
	each, sum := s.crew.part(s.now)/float64(s.set.Initiators), total(n.recent)
	part := s.set.ColdUnitsPerWindow * s.grown(n) * each
	if answers > 0 {
		part /= 2
	}
	crowd := part < s.set.MeanUnits
	few := len(n.out) == 0 && n.load >= 0 && n.load <= coldLoad && s.now-n.told < ru.OverloadWindow
	if crowd && few || !crowd && total(n.served) >= units {
		return 0
	}
	if n.Started < s.born && s.now-s.born < ru.OverloadWindow {
		return s.born + ru.OverloadWindow // what was sent before this process began is not known
	}
	if crowd { // by what is sent from here; answers have as much as the node does in the span
		part, n.served = s.bears(n)*(1-1/max(ru.OverloadFactor, 2))*each*n.share, nil
	}
	// One over the part goes from as few initiators as the part is of it, others at each node.
	if sum+units <= part || sum == 0 && units*s.rank(n) <= part {
		return 0
	}
	return s.now + ru.OverloadWindow/16
}

// bears is the units that a cold node bears now in the span of the rule, from all: along the slowest ramp, by
// the settings or, if that is more, by what warm nodes do (Little's law). It takes longer here while cold.
func (s *Scheduler) bears(n *node) float64 {
	ru, grown := s.set.Rules, s.grown(n)
	told := s.set.ColdUnitsPerWindow * grown
	if s.service <= 0 || ru.ColdCapacityFraction <= 0 {
		return told
	}
	takes := max(n.latency, s.service/(ru.ColdCapacityFraction*grown)) / max(1, s.atOnce)
	return max(told, s.set.MeanUnits*ru.OverloadFactor*ru.OverloadWindow.Seconds()/takes)
}

// share is this initiator's part of all that is sent to the shard, in even parts: what went from here of what
// its node and warm ones had in hand for as long as one took. Little sent says little, so one request of each
// in as many spans as a node takes to warm counts too. Its mean over all initiators is one.
func (s *Scheduler) share(shard int) float64 {
	if s.service <= 0 {
		return 1
	}
	rate := max(1, s.atOnce) / s.service
	for _, n := range s.nodes {
		if n.Shard == shard && n.latency > 0 {
			rate = max(rate, n.atOnce/n.latency)
		}
	}
	over, all := s.set.Rules.WarmUpTime, float64(s.set.Initiators)
	sent := s.laneOf(max(shard, 0)).sent.now(s.now, over) / s.set.MeanUnits
	little := s.set.Rules.OverloadWindow.Seconds() / over.Seconds() * all
	rate *= over.Seconds() * (1 - math.Exp(-(s.now-s.born).Seconds()/over.Seconds())) // in its life
	return (sent*all + little) / (rate + little)
}

// rank is this initiator's place among all at a node, from 0 to 1, known without talk.
func (s *Scheduler) rank(n *node) float64 {
	h := fnv.New32a()
	h.Write([]byte(n.ID))
	return (float64((uint32(s.index)+h.Sum32())%uint32(s.set.Initiators)) + 1) / float64(s.set.Initiators)
}

// budgetGate keeps further attempts within the ration, counted against us at both edges.
func (s *Scheduler) budgetGate(n *node, r *request) time.Duration {
	ru := s.set.Rules
	if at, governed := s.rationed(Repeats, n, r, 1); governed {
		return at
	}
	if !ru.RetryBudget {
		return 0
	}
	s.taken = trim(s.taken, s.now-ru.RetryBudgetWindow+2*s.set.MinStep)
	s.extra = trim(s.extra, s.now-ru.RetryBudgetWindow-2*s.set.MinStep)
	if float64(len(s.extra)+1) <= ru.RetryBudgetFree*s.crew.part(s.now)+ru.RetryBudgetRatio*float64(len(s.taken)) {
		return 0
	}
	return s.now + ru.RetryBudgetWindow/64
}

// limitGate keeps a volume within this initiator's even part of its plan's limit. The store starts
// empty: an initiator that was restarted cannot know what it drew before.
func (s *Scheduler) limitGate(r *request) time.Duration {
	v := r.vol
	if v.plan.RateLimit <= 0 || r.drawn {
		return 0
	}
	hosts := v.hosts / s.crew.part(s.now)
	v.store = min(v.plan.RateLimitBurst/hosts, v.store+(s.now-v.storeAt).Seconds()*v.plan.RateLimit/hosts)
	v.storeAt = s.now
	if v.store >= r.Units {
		return 0
	}
	return s.now + seconds((r.Units-v.store)*hosts/v.plan.RateLimit) + s.set.MinStep
}

// ---- Placement of new objects ----

// place returns the lane for a request: its shard's, or for a new object the one of least expected wait.
func (s *Scheduler) place(r *request) *lane {
	if n := s.byID[r.BoundEndpoint]; n != nil {
		return s.laneOf(n.Shard)
	}
	if r.Shard >= 0 || len(s.lanes) == 0 {
		return s.laneOf(max(r.Shard, 0))
	}
	var best *lane
	least, from := math.Inf(1), s.rng.IntN(len(s.lanes))
	for i := range s.lanes {
		l := s.lanes[(from+i)%len(s.lanes)]
		if w := s.wait(l); best == nil || w < least {
			best, least = l, w
		}
	}
	return best
}

// wait estimates how long a request newly put in the lane would take.
func (s *Scheduler) wait(l *lane) float64 {
	n := l.node
	if n == nil {
		return math.Inf(1)
	}
	w := max(n.latency, 1e-3) * (1 + float64(len(l.held)+len(n.out))/n.window)
	if s.troubled(n) || n.openAt > s.now {
		w += 100 * s.leastAim.Seconds()
	}
	if n.Started > 0 && s.now-n.Started < s.set.Rules.WarmUpTime {
		w *= 4
	}
	return w
}

// replace moves held new objects away from lanes that have become much worse than the best.
func (s *Scheduler) replace() {
	for _, l := range s.lanes {
		for i := 0; i < len(l.held); i++ {
			r := l.held[i]
			if r.Shard >= 0 || r.mayRun || r.BoundEndpoint != "" {
				continue
			}
			if to := s.place(r); to != l && 2*s.wait(to) < s.wait(l) {
				r.unhold()
				to.hold(r)
				i--
			}
		}
	}
}
