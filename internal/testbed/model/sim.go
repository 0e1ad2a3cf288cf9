package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/fencing"
	"spindlehitch/internal/controlplane/lease/lessee"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/policy"
)

// Point is one step of a run's time series. Values are counts within the step unless they say otherwise.
type Point struct {
	T                 float64 `parquet:"t_s" json:"t_s"` // seconds, at its end
	Offered           float64 `parquet:"offered" json:"offered"`
	Served            float64 `parquet:"served" json:"served"`   // in time
	Late              float64 `parquet:"late" json:"late"`       // served, but not in time
	Refused           float64 `parquet:"refused" json:"refused"` // tries that were rejected
	Failed            float64 `parquet:"failed" json:"failed"`
	Lost              float64 `parquet:"lost" json:"lost"`           // clients that gave up
	Attempts          float64 `parquet:"attempts" json:"attempts"`   // sent to targets
	Retries           float64 `parquet:"repeats" json:"repeats"`     // attempts after the first of a request
	ColdUnits         float64 `parquet:"cold" json:"cold"`           // units sent to cold targets
	Overloads         float64 `parquet:"falls" json:"falls"`         // stalls of cold targets by overload
	Joins             float64 `parquet:"joins" json:"joins"`         // sessions begun
	FailedRenewals    float64 `parquet:"unheard" json:"unheard"`     // renewals without a response
	Elections         float64 `parquet:"elections" json:"elections"` // leaders elected
	Grants            float64 `parquet:"grants" json:"grants"`       // of leases
	Operations        float64 `parquet:"acts" json:"acts"`           // operations completed
	AbortedOperations float64 `parquet:"denied" json:"denied"`       // operations fenced or out of time
	LongestIdle       float64 `parquet:"gap_s" json:"gap_s"`         // longest time in seconds since the last operation on a shard, at the step's end
	AllocatedShare    float64 `parquet:"held" json:"held"`           // share of the first budget's limit that instances may use, at the step's end
	Alive             float64 `parquet:"alive" json:"alive"`         // running instances, at the step's end
}

// Result is the result of one run.
type Result struct {
	Series      []Point         `json:"series"`
	Events      uint64          `json:"events"`
	Violation   *ViolationError `json:"broken,omitempty"`
	Stopped     string          `json:"stopped,omitempty"` // why it was stopped before its end
	P50         float64         `json:"p50_s"`             // latency of served requests, from a client's first try
	P99         float64         `json:"p99_s"`
	WorstWindow float64         `json:"worst_window"` // over all budgets: the most units beyond the rate in a window, as a share of the burst
}

// ViolationError is a violated invariant.
type ViolationError struct {
	Invariant string   `json:"what"`
	At        float64  `json:"at_s"`
	On        int      `json:"on"`
	Message   string   `json:"says"`
	Event     uint64   `json:"event"`
	Chain     []string `json:"chain,omitempty"` // of causing events, the last first; only of a traced run
}

func (b *ViolationError) Error() string {
	return fmt.Sprintf("%s: broken at %.6f s, event %d: %s", b.Invariant, b.At, b.Event, b.Message)
}

// Sim is one run. It is not safe for concurrent use.
type Sim struct {
	spec             *Spec
	seed             uint64
	now              time.Duration
	queue            queue
	lastEvent, cause uint64
	limit            uint64
	trace            map[uint64]tracedEvent // by event number; nil: the run isn't traced

	instances   []*instance
	targets     []*target
	agents      *agents // nil: there are no budgets
	listVersion int     // of the target list
	targetIDs   []string
	targetByID  map[string]int
	settings    policy.Settings
	governed    []quota.Resource
	taskNames   []string
	cutZones    map[int]bool  // zones that are disconnected from all others
	answerGrace time.Duration // after a client gives up, until its request must have a final answer

	point     Point
	result    Result
	latencies *ddsketch.DDSketch
	checks    checkState
	guards    map[lease.Key]*fencing.Guard
}

// tracedEvent is what a trace keeps of an event.
type tracedEvent struct {
	cause uint64
	what  string
	on    int32
	at    time.Duration
}

// checkState is what the invariants are checked against. Of allocations it has only what instances may use.
type checkState struct {
	buckets       map[quota.Key]*bucket
	allocations   map[quota.Key]map[int]allocated // by instance
	allocatedRate map[quota.Key]float64
	lastOperation map[lease.Key][2]uint64
	lastHolder    map[lease.Key]string
	lastChange    map[lease.Key]time.Duration // when an operation last changed the resource
}

// bucket holds the units sent under a budget and drains at its rate. level is beyond burst if the limit is exceeded.
type bucket struct {
	rate, burst, level, worst float64
	at                        time.Duration
}

// allocated is what an instance may use of a budget beyond its floor.
type allocated struct {
	rate  float64
	until time.Duration // by true time
}

// Run runs a spec to its end, to a violated invariant, or to its limit of events. With trace, a violation has its chain of
// causing events.
func Run(spec *Spec, seed uint64, trace bool) Result {
	s := &Sim{spec: spec, seed: seed, limit: uint64(spec.MaxMillionEvents * 1e6), targetByID: map[string]int{}, cutZones: map[int]bool{}, guards: map[lease.Key]*fencing.Guard{},
		answerGrace: 100 * time.Millisecond, listVersion: 1}
	if trace {
		s.trace = map[uint64]tracedEvent{}
	}
	s.checks = checkState{buckets: map[quota.Key]*bucket{}, allocations: map[quota.Key]map[int]allocated{}, allocatedRate: map[quota.Key]float64{}, lastOperation: map[lease.Key][2]uint64{}, lastHolder: map[lease.Key]string{}, lastChange: map[lease.Key]time.Duration{}}
	s.latencies, _ = ddsketch.NewDefaultDDSketch(0.01)
	s.setUp()
	end := seconds(spec.LengthS)
	step := seconds(spec.StepS)
	next := step
	for len(s.queue) > 0 && s.result.Violation == nil {
		at := s.queue[0].at
		for next <= min(at, end) {
			s.recordPoint(next)
			next += step
		}
		if at > end {
			break
		}
		if s.result.Events >= s.limit {
			s.result.Stopped = fmt.Sprintf("max_events: %d events at %.3f s of %v", s.limit, s.now.Seconds(), spec.LengthS)
			break
		}
		e := s.queue.pop()
		s.now, s.cause = e.at, e.number
		s.result.Events++
		if s.trace != nil {
			s.trace[e.number] = tracedEvent{e.cause, e.what, e.on, e.at}
		}
		e.do()
	}
	if p, err := s.latencies.GetValuesAtQuantiles([]float64{0.5, 0.99}); err == nil {
		s.result.P50, s.result.P99 = p[0], p[1]
	}
	for _, b := range s.checks.buckets {
		s.result.WorstWindow = max(s.result.WorstWindow, b.worst/b.burst)
	}
	return s.result
}

func (s *Sim) setUp() {
	o := s.spec
	s.settings = policy.Settings{Initiators: o.Fleet.Instances, MinStep: time.Millisecond, MaxAttempts: o.Fleet.MaxAttempts, MeanUnits: o.Load.Units, MaxUnits: 8 * o.Load.Units,
		ColdUnitsPerWindow: o.Fleet.ColdUnits, FairSharePriority: 1, ExcessPriority: 1,
		Classes: []policy.Class{{Name: "read", LatencyObjective: milliseconds(o.Load.LatencyObjectiveMs), Deadline: seconds(o.Load.ClientTimeoutS), PriorityWeight: 1}},
		Plans:   []policy.Plan{{Name: "base", Rate: 1e4, ReservedRate: 1e4, Weight: 1, PriorityFactor: 1}},
		Rules: policy.Rules{ColdCapacityFraction: o.Targets.ColdShare, WarmUpTime: seconds(o.Targets.WarmUpS), OverloadWindow: seconds(o.Targets.OverloadWindowS), OverloadFactor: 1,
			RetryBudget: true, RetryBudgetRatio: o.Fleet.RetryRatio, RetryBudgetFree: o.Fleet.RetryFree, RetryBudgetWindow: seconds(o.Fleet.RetryWindowS)}}
	for i := range o.Targets.Count {
		id := fmt.Sprint("t", i)
		s.targetIDs, s.targetByID[id] = append(s.targetIDs, id), i
		t := &target{sim: s, id: i, rng: s.stream("target", i)}
		s.targets = append(s.targets, t)
		t.scheduleStall()
	}
	if o.Budgets != nil {
		seen := map[quota.Resource]bool{}
		for _, b := range o.Budgets.Budgets {
			if !seen[b.Resource] {
				seen[b.Resource] = true
				s.governed = append(s.governed, b.Resource)
			}
		}
		if o.Tasks != nil {
			for _, t := range o.Tasks.Tasks {
				s.taskNames = append(s.taskNames, t.Name)
				for shard := range t.Shards {
					s.guards[lease.Key{Task: t.Name, Shard: shard}] = &fencing.Guard{}
				}
			}
		}
		s.agents = newAgents(s)
	}
	sum := 0.0
	for i := range o.Fleet.Instances {
		n := &instance{sim: s, id: i, name: fmt.Sprint("n", i), zone: i % o.Fleet.Zones, rng: s.stream("instance", i), loadRNG: s.stream("load", i), clockRate: s.clockRate(i + 1)}
		n.loadShare = lognormal(s.stream("share", i), o.Load.ShareSigma)
		sum += n.loadShare
		if s.agents != nil {
			n.preferredAgent = i % len(s.agents.all)
		}
		s.instances = append(s.instances, n)
	}
	for _, n := range s.instances {
		n.loadShare /= sum
		s.after(time.Duration(n.rng.Float64()*float64(500*time.Millisecond)), "start", n.id, n.start)
		n.scheduleArrival()
	}
	s.scheduleFaults()
}

// stream returns an actor's own random stream.
func (s *Sim) stream(of string, i int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(fmt.Sprint(of, "/", i))))
}

// clockRate returns the rate of the i-th clock. The rates are spread over the whole drift bound.
func (s *Sim) clockRate(i int) float64 {
	return 1 + s.spec.Fleet.ClockPPM/1e6*float64(i%3-1)
}

// at schedules do for a time; what and on describe the event in traces.
func (s *Sim) at(at time.Duration, what string, on int, do func()) {
	s.lastEvent++
	s.queue.push(event{max(at, s.now), s.lastEvent, s.cause, what, int32(on), do})
}

// after schedules do for a time from now.
func (s *Sim) after(d time.Duration, what string, on int, do func()) { s.at(s.now+d, what, on, do) }

// networkDelay draws the delay of one message.
func (s *Sim) networkDelay(r *rand.Rand) time.Duration {
	return milliseconds(s.spec.Net.DelayMs + r.ExpFloat64()*s.spec.Net.JitterMs)
}

// drawLoss draws whether a message between an instance and an agent is lost.
func (s *Sim) drawLoss(r *rand.Rand) bool {
	return s.spec.Net.Loss > 0 && r.Float64() < s.spec.Net.Loss
}

// agentUnreachable reports whether a zone and an agent can't reach each other. Agents are spread over the zones as
// instances are.
func (s *Sim) agentUnreachable(zone, agent int) bool {
	return s.zonesSeparated(zone, agent%s.spec.Fleet.Zones)
}

// zonesSeparated reports whether two zones are disconnected from each other.
func (s *Sim) zonesSeparated(a, b int) bool { return a != b && (s.cutZones[a] || s.cutZones[b]) }

// surge returns the factor by which the load is raised now.
func (s *Sim) surge() float64 {
	l := &s.spec.Load
	if t := s.now.Seconds(); l.SurgeForS > 0 && t >= l.SurgeAtS && t < l.SurgeAtS+l.SurgeForS {
		return l.SurgeFactor
	}
	return 1
}

// publishTargets sends all running instances a new target list.
func (s *Sim) publishTargets() {
	s.listVersion++
	for _, n := range s.instances {
		if n.alive {
			n.receiveTargets()
		}
	}
}

// notifyLeaseChange has a member renew at once, since its lease has changed.
func (s *Sim) notifyLeaseChange(id string) {
	for _, n := range s.instances {
		if n.alive && n.memberID == id {
			incarnation := n.starts
			s.after(s.networkDelay(n.rng), "lease changed", n.id, func() {
				n.whenRunning(func() {
					if n.starts == incarnation && n.memberID == id {
						n.renew()
					}
				})
			})
		}
	}
}

func (s *Sim) recordServed(c *clientRequest) {
	if c.done {
		return
	}
	c.done = true
	took := s.now - c.arrivedAt
	_ = s.latencies.Add(took.Seconds())
	if took <= milliseconds(s.spec.Load.LatencyObjectiveMs) {
		s.point.Served++
	} else {
		s.point.Late++
	}
}

func (s *Sim) recordLost(c *clientRequest) {
	if !c.done {
		c.done = true
		s.point.Lost++
	}
}

// recordPoint adds the step that ends at t to the series, and begins the next.
func (s *Sim) recordPoint(t time.Duration) {
	s.point.T = t.Seconds()
	for _, at := range s.checks.lastChange {
		s.point.LongestIdle = max(s.point.LongestIdle, (t - at).Seconds())
	}
	for _, n := range s.instances {
		if n.alive {
			s.point.Alive++
		}
	}
	if s.agents != nil && len(s.spec.Budgets.Budgets) > 0 {
		b := &s.spec.Budgets.Budgets[0]
		k := quota.Key{Budget: b.Name}
		if b.Scope == quota.PerTarget {
			k.Key = s.targetIDs[0]
		}
		for _, n := range s.instances {
			s.point.AllocatedShare += n.quotaRate(k)
		}
		s.point.AllocatedShare /= b.Capacity
	}
	s.result.Series = append(s.result.Series, s.point)
	s.point = Point{}
}

// reportViolation records the first violation, which ends the run.
func (s *Sim) reportViolation(what string, on int, says string) {
	if s.result.Violation != nil {
		return
	}
	b := &ViolationError{Invariant: what, At: s.now.Seconds(), On: on, Message: says, Event: s.cause}
	for n := s.cause; s.trace != nil && n != 0 && len(b.Chain) < 64; n = s.trace[n].cause {
		e := s.trace[n]
		b.Chain = append(b.Chain, fmt.Sprintf("%.6f s, event %d: %s (%d)", e.at.Seconds(), n, e.what, e.on))
	}
	s.result.Violation = b
}

// checkReservation checks a send against every budget that covers it: in no window may the fleet exceed the rate by more
// than the burst (step 8 of docs/fleet-budgets.md).
func (s *Sim) checkReservation(n *instance, t *target, repeat, cold bool, units float64) {
	if s.agents == nil {
		return
	}
	for i := range s.spec.Budgets.Budgets {
		b := &s.spec.Budgets.Budgets[i]
		for _, d := range []struct {
			is bool
			quota.Reservation
		}{{true, quota.Reservation{Resource: quota.AllWork, Units: units}}, {repeat, quota.Reservation{Resource: quota.Retries, Units: 1}}, {cold, quota.Reservation{Resource: quota.ColdWork, Units: units / t.warmUpFactor()}}} {
			d.Target, d.Plan, d.Class = s.targetIDs[t.id], "base", "read"
			if !d.is || !b.Covers(d.Reservation) {
				continue
			}
			k := quota.Key{Budget: b.Name, Key: b.KeyOf(d.Reservation)}
			x := s.checks.buckets[k]
			if x == nil {
				x = &bucket{rate: b.Capacity, burst: b.Burst}
				s.checks.buckets[k] = x
			}
			x.level = max(0, x.level-x.rate*(s.now-x.at).Seconds()) + d.Units
			x.at, x.worst = s.now, max(x.worst, x.level)
			if x.level > x.burst+1e-6 {
				s.reportViolation("budget", n.id, fmt.Sprintf("a window sees %.3f units of %v beyond the rate, of %v", x.level, k, x.burst))
			}
		}
	}
}

// checkAllocations checks that what an instance may use from now on, together with all others' allocations, is within the
// limit.
func (s *Sim) checkAllocations(n *instance) {
	for _, has := range n.quota.Status(n.clock()) {
		until := n.trueDuration(has.GrantedUntil - epoch)
		if s.spec.Fleet.PlantedMistake == "greedy" && n.id%3 == 0 {
			until += seconds(float64(s.spec.Budgets.AllocationTTLMs) / 1000 * 4) // as if it used the allocation after its end
		}
		rate := has.Limit.Rate * n.clockRate
		b := s.spec.Budgets.Budget(has.Budget)
		if s.now < until {
			rate -= b.FloorRate * n.clockRate
		} else {
			rate = 0
		}
		s.checkAllocation(n, has.Key, allocated{rate, until}, b)
	}
}

func (s *Sim) checkAllocation(n *instance, k quota.Key, h allocated, b *quota.Budget) {
	all := s.checks.allocations[k]
	if all == nil {
		all = map[int]allocated{}
		s.checks.allocations[k] = all
	}
	s.checks.allocatedRate[k] += h.rate - all[n.id].rate
	if all[n.id] = h; h.rate == 0 {
		delete(all, n.id)
	}
	pool := b.Capacity - float64(s.spec.Budgets.MaxSessions)*b.FloorRate
	if s.checks.allocatedRate[k] <= pool+1e-6*b.Capacity {
		return
	}
	// Some allocations have ended: they are removed and the rest is summed again, in the order of the instances.
	sum := 0.0
	ids := make([]int, 0, len(all))
	for id, x := range all {
		if x.until <= s.now {
			delete(all, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		sum += all[id].rate
	}
	s.checks.allocatedRate[k] = sum
	if sum > pool+1e-6*b.Capacity {
		s.reportViolation("budget", n.id, fmt.Sprintf("parts of %v sum to %.4f of %.4f", k, sum, pool))
	}
}

// dropAllocations removes the allocations of a process that has ended or lost its session.
func (s *Sim) dropAllocations(n *instance) {
	for k, all := range s.checks.allocations {
		if x, there := all[n.id]; there {
			s.checks.allocatedRate[k] -= x.rate
			delete(all, n.id)
		}
	}
}

// checkBegin and checkChange check that operations on a shard are in the order of their fencing tokens.
func (s *Sim) checkBegin(n *instance, a lessee.Operation) bool {
	last := s.checks.lastOperation[a.Key]
	if a.Token < last[0] || a.Token == last[0] && s.checks.lastHolder[a.Key] != n.memberID {
		s.reportViolation("leases", n.id, fmt.Sprintf("act %d of %s begins at %v under token %d after %s under %d", a.Number, n.memberID, a.Key, a.Token, s.checks.lastHolder[a.Key], last[0]))
	}
	s.checks.lastOperation[a.Key], s.checks.lastHolder[a.Key] = [2]uint64{a.Token, a.Number}, n.memberID
	return true
}

func (s *Sim) checkChange(n *instance, a lessee.Operation) bool {
	s.checks.lastChange[a.Key] = s.now
	if last := s.checks.lastOperation[a.Key]; last != [2]uint64{a.Token, a.Number} || s.checks.lastHolder[a.Key] != n.memberID {
		s.reportViolation("leases", n.id, fmt.Sprintf("act %d of %s changes %v under token %d after %s began under %d", a.Number, n.memberID, a.Key, a.Token, s.checks.lastHolder[a.Key], last[0]))
	}
	return true
}

// Faults returns all faults of a run: those of the spec, and those drawn at random.
func Faults(spec *Spec, seed uint64) []Fault {
	all := slices.Clone(spec.Faults)
	r := spec.Random
	if r == nil {
		return all
	}
	names := r.Kinds
	if len(names) == 0 {
		for k, of := range faultKinds {
			if of != "zone" && (spec.Budgets != nil || of != "agent") {
				names = append(names, k)
			}
		}
		slices.Sort(names)
	}
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String("faults")))
	agentFree := 0.0
	for at := r.EveryS; at < spec.LengthS; at += r.EveryS * (0.5 + rng.Float64()) {
		f := Fault{AtS: at, Kind: names[rng.IntN(len(names))], ForS: 0.2 + (r.MaxForS-0.2)*rng.Float64(), Slowdown: 4}
		f.On = []int{rng.IntN(spec.count(faultKinds[f.Kind]))}
		if strings.HasPrefix(f.Kind, "agent") {
			if at < agentFree {
				continue // one agent at a time, so that there is always a majority
			}
			agentFree = at + f.ForS + 3
		}
		all = append(all, f)
	}
	return all
}

func (s *Sim) scheduleFaults() {
	for _, f := range Faults(s.spec, s.seed) {
		rng := s.stream("fault "+f.String(), 0) // independent of the other faults
		on := f.On
		if of := faultKinds[f.Kind]; len(on) == 0 && of != "zone" {
			for k := range s.spec.count(of) {
				zone := k % s.spec.Fleet.Zones
				if f.Zone != nil && zone == *f.Zone || f.Zone == nil && rng.Float64() < f.Share {
					on = append(on, k)
				}
			}
		}
		if faultKinds[f.Kind] == "zone" {
			s.at(seconds(f.AtS), f.Kind, *f.Zone, func() { s.cutZones[*f.Zone] = true })
			s.at(seconds(f.AtS+f.ForS), f.Kind+" ends", *f.Zone, func() { delete(s.cutZones, *f.Zone) })
			continue
		}
		for _, k := range on {
			begin := seconds(f.AtS + f.SpreadS*rng.Float64())
			s.at(begin, f.Kind, k, func() { s.applyFault(f, k, begin+seconds(f.ForS), true) })
			s.at(begin+seconds(f.ForS), f.Kind+" ends", k, func() { s.applyFault(f, k, 0, false) })
		}
	}
}

// applyFault begins a fault, or ends it.
func (s *Sim) applyFault(f Fault, k int, until time.Duration, begins bool) {
	what, _ := strings.CutPrefix(f.Kind, "target-")
	if faultKinds[f.Kind] == "target" {
		t := s.targets[k]
		switch {
		case what == "kill" && begins:
			t.kill()
		case what == "kill":
			t.start()
		case what == "stall" && begins:
			t.stalledUntil = max(t.stalledUntil, until)
		case what == "slow":
			t.slowdown = 1
			if begins {
				t.slowdown = max(f.Slowdown, 1)
			}
		case what == "bad":
			t.bad = begins
		}
		return
	}
	if faultKinds[f.Kind] == "agent" {
		if s.agents == nil {
			return
		}
		a := s.agents.all[k]
		switch {
		case f.Kind == "agent-kill" && begins:
			s.agents.kill(k)
		case f.Kind == "agent-kill":
			a.up = true
		case f.Kind == "agent-pause" && begins:
			s.agents.pause(k, until)
		case f.Kind == "agent-alone":
			a.isolated = begins
		}
		return
	}
	n := s.instances[k]
	switch {
	case f.Kind == "kill" && begins:
		if n.alive {
			n.kill()
		}
	case f.Kind == "kill":
		if !n.alive {
			s.after(seconds(s.spec.Fleet.RestartS), "start", n.id, func() {
				if !n.alive {
					n.start()
				}
			})
		}
	case f.Kind == "pause" && begins:
		n.pause(until)
	case f.Kind == "cut":
		n.requestsLost, n.responsesLost = begins, begins
	case f.Kind == "mute":
		n.requestsLost = begins
	case f.Kind == "deaf":
		n.responsesLost = begins
	case f.Kind == "slow":
		n.extraDelay = 0
		if begins {
			n.extraDelay = seconds(f.ForS / 16)
		}
	case f.Kind == "hang":
		n.hung = begins
		if !begins {
			n.operating = map[lease.Key]bool{}
		}
	}
}
