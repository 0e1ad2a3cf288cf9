package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// requestRecord is the checker's record of one request, from events and actions alone.
type requestRecord struct {
	req         Request
	class       Class
	deadline    time.Duration
	sends       []Action
	sentAt      []time.Duration
	outcomes    []OutcomeCode // outcome of each send; -1: still in flight
	ended       bool
	endedAt     time.Duration
	uncertainAt time.Duration
}

func (q *requestRecord) inFlight() bool {
	return len(q.outcomes) > 0 && q.outcomes[len(q.outcomes)-1] == -1
}

// firstRun returns the index of the first attempt that may have run, and whether there is one.
func (q *requestRecord) firstRun() (int, bool) {
	for i, c := range q.outcomes {
		if c != Rejected && c != NotConnected && c != NotSent {
			return i, true
		}
	}
	return 0, false
}

// unitsRecord is a number of units sent or served at a time.
type unitsRecord struct {
	at    time.Duration
	units float64
}

// rateBucket is the token bucket of a volume's rate limit at this initiator.
type rateBucket struct {
	tokens float64
	at     time.Duration
}

// refill refills the bucket up to now, with one of initiators shares of the plan's rate limit.
func (b *rateBucket) refill(now time.Duration, p Plan, initiators float64) {
	if p.RateLimit > 0 {
		b.tokens = min(p.RateLimitBurst/initiators, b.tokens+(now-b.at).Seconds()*p.RateLimit/initiators)
	}
	b.at = now
}

// ruleChecker passes random legal events to one scheduler and checks the rules by its own counting. It has
// no service model: outcomes and their times are random. The rules:
//
//  1. A request gets exactly one final answer, by its deadline.
//  2. A request has one attempt in flight, and is retried or rejected after an attempt that may have run only
//     where its class allows it.
//  3. No attempt is sent to a draining or removed endpoint.
//  4. A cold endpoint gets no more units than its limit for this initiator.
//  5. Requests of an ordered extent run one at a time in order, with a pause after an uncertain outcome.
//  6. Retries stay within the retry budget.
//  7. A volume stays within its share of the plan's rate limit.
type ruleChecker struct {
	rng              *rand.Rand
	set              Settings
	s                *Scheduler
	now              time.Duration
	endpoints        map[string]Endpoint
	unavailableSince map[string]time.Duration // endpoints that are listed as draining or removed, and since when
	records          map[string]*requestRecord
	open             []*requestRecord
	requestCount     int
	byExtent         map[string][]*requestRecord
	arrivals         []time.Duration
	retries          []time.Duration
	coldSent         map[string][]unitsRecord
	served           map[string][]unitsRecord
	buckets          map[string]*rateBucket
	timers           []time.Duration
	violations       []string
}

func (rc *ruleChecker) violated(format string, args ...any) {
	rc.violations = append(rc.violations, fmt.Sprintf("%v: ", rc.now)+fmt.Sprintf(format, args...))
}

func (rc *ruleChecker) chance(p float64) bool { return rc.rng.Float64() < p }

func ruleSettings(mask int) Settings {
	set := Settings{Initiators: 3, MinStep: 2 * ms, MeanUnits: 2, MaxUnits: 6, UsagePeriod: time.Second, MaxAttempts: 4,
		FairSharePriority: 0.3, ExcessPriority: 0.05, ColdUnitsPerWindow: 30,
		Classes: []Class{
			{Name: "pure", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 3},
			{Name: "cell", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, Effect: IdempotentWithKey, DedupScope: DedupShard, DedupWindow: 700 * ms},
			{Name: "zone", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, Effect: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 700 * ms},
			{Name: "once", LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 2, Effect: NonIdempotent},
			{Name: "turn", LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 2, Ordered: mask&1 != 0},
		},
		Plans: []Plan{{Name: "p0", Rate: 10, ReservedRate: 5, Weight: 1, PriorityFactor: 1}, {Name: "p1", Rate: 20, Weight: 2, PriorityFactor: 1}},
	}
	set.Rules.OrderedQuietTime = 100 * ms
	if mask&2 != 0 {
		set.Rules.RetryBudget, set.Rules.RetryBudgetFree, set.Rules.RetryBudgetRatio = true, 3, 0.2
		set.Rules.RetryBudgetWindow = time.Second
	}
	if mask&4 != 0 {
		set.Plans[0].RateLimit, set.Plans[0].RateLimitBurst = 40, 36
	}
	if mask&8 != 0 {
		set.Rules.ColdCapacityFraction, set.Rules.WarmUpTime, set.Rules.OverloadWindow = 0.2, 4*time.Second, time.Second
		set.Rules.OverloadFactor = 3
	}
	return set
}

// randomList returns a random change of the endpoint list and records its content.
func (rc *ruleChecker) randomList() EndpointList {
	if rc.chance(0.1) {
		return EndpointList{Failed: true}
	}
	e := EndpointList{Full: rc.chance(0.3)}
	id := fmt.Sprintf("n%d", rc.rng.IntN(8))
	changed := rc.endpoints[id]
	changed.ID, changed.Shard, changed.Zone = id, int(id[1]-'0')%4, []string{"a", "b"}[int(id[1]-'0')/4]
	changed.State = EndpointState(rc.rng.IntN(3))
	if changed.State == Up && rc.chance(0.5) {
		changed.Started = rc.now - time.Duration(rc.rng.IntN(500))*ms
	}
	e.Endpoints = []Endpoint{changed}
	if e.Full {
		for _, m := range slices.Sorted(keysOf(rc.endpoints)) {
			if m != id && rc.chance(0.8) {
				e.Endpoints = append(e.Endpoints, rc.endpoints[m])
			}
		}
	}
	listed := map[string]bool{}
	for _, m := range e.Endpoints {
		rc.endpoints[m.ID], listed[m.ID] = m, true
		if m.State == Up {
			delete(rc.unavailableSince, m.ID)
		} else if _, ok := rc.unavailableSince[m.ID]; !ok {
			rc.unavailableSince[m.ID] = rc.now
		}
	}
	for m := range rc.endpoints {
		if _, ok := rc.unavailableSince[m]; e.Full && !listed[m] && !ok {
			rc.unavailableSince[m] = rc.now
		}
	}
	return e
}

func keysOf(m map[string]Endpoint) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (rc *ruleChecker) randomRequest() Request {
	rc.requestCount++
	c := rc.set.Classes[rc.rng.IntN(len(rc.set.Classes))]
	vol := rc.rng.IntN(6)
	r := Request{ID: fmt.Sprintf("r%d", rc.requestCount), Class: c.Name, Plan: rc.set.Plans[vol%2].Name,
		Volume: fmt.Sprintf("v%d", vol), Extent: fmt.Sprintf("k%d", rc.rng.IntN(5)), Shard: rc.rng.IntN(5) - 1,
		Units: float64(1 + rc.rng.IntN(6)), VolumeInitiators: 2, TimeLeft: c.Deadline * time.Duration(1+rc.rng.IntN(4)) / 4}
	q := &requestRecord{req: r, class: c, deadline: rc.now + r.TimeLeft}
	rc.records[r.ID] = q
	rc.open = append(rc.open, q)
	rc.arrivals = append(rc.arrivals, rc.now)
	if c.Ordered {
		rc.byExtent[r.Extent] = append(rc.byExtent[r.Extent], q)
	}
	return r
}

// randomOutcomes ends some of the attempts in flight, and all that have reached their timeout.
func (rc *ruleChecker) randomOutcomes(failureRate float64) []Event {
	var events []Event
	for _, q := range rc.open {
		if !q.inFlight() {
			continue
		}
		i := len(q.sends) - 1
		expired := rc.now >= min(q.sentAt[i]+q.sends[i].Wait, q.deadline)
		if !expired && !rc.chance(0.1) {
			continue
		}
		code := Served
		if expired {
			code = TimedOut
		} else if rc.chance(failureRate) {
			code = []OutcomeCode{AnsweredError, Rejected, NotConnected, ConnectionReset, Cancelled, NotSent}[rc.rng.IntN(6)]
		}
		q.outcomes[i] = code
		if code == TimedOut || code == ConnectionReset || code == Cancelled {
			q.uncertainAt = rc.now
		}
		if code == Served {
			rc.served[q.sends[i].Endpoint] = append(rc.served[q.sends[i].Endpoint], unitsRecord{rc.now, q.req.Units})
		}
		if code == Served && !q.ended {
			q.ended, q.endedAt = true, rc.now
		}
		events = append(events, Outcome{ID: q.req.ID, Attempt: i, Endpoint: q.sends[i].Endpoint, Code: code,
			Latency: rc.now - q.sentAt[i], Final: q.ended, VolumeUsage: rc.rng.IntN(200)})
	}
	return events
}

func (rc *ruleChecker) checkAction(a Action) {
	if a.Kind == SetTimer {
		rc.timers = append(rc.timers, rc.now+a.Wait)
	}
	if a.Kind != Send && a.Kind != Reject && a.Kind != Fail {
		return
	}
	q := rc.records[a.Request]
	if q == nil {
		rc.violated("action for unknown request %s", a.Request)
		return
	}
	if q.ended {
		rc.violated("rule 1: action %d for %s after its final answer", a.Kind, a.Request)
		return
	}
	if a.Kind != Send {
		q.ended, q.endedAt = true, rc.now
		if _, ran := q.firstRun(); ran && a.Kind == Reject && q.class.Effect != Idempotent && q.class.DedupScope != DedupFleet {
			rc.violated("rule 2: %s rejected though it may have run", a.Request)
		} else if ran && a.Kind == Reject && q.class.Effect == NonIdempotent {
			rc.violated("rule 2: non-idempotent %s rejected though it may have run", a.Request)
		}
		return
	}
	rc.checkSend(q, a)
	q.sends, q.sentAt, q.outcomes = append(q.sends, a), append(q.sentAt, rc.now), append(q.outcomes, -1)
}

func (rc *ruleChecker) checkSend(q *requestRecord, a Action) { //nolint:gocognit // one check for each rule
	n, known := rc.endpoints[a.Endpoint]
	if !known {
		rc.violated("sent to unknown endpoint %s", a.Endpoint)
	}
	if _, unavailable := rc.unavailableSince[a.Endpoint]; unavailable {
		rc.violated("rule 3: sent to %s, which is draining or removed", a.Endpoint)
	}
	if q.inFlight() {
		rc.violated("rule 2: two attempts of %s in flight", a.Request)
	}
	if i, ran := q.firstRun(); ran && q.class.Effect != Idempotent {
		first := rc.endpoints[q.sends[i].Endpoint]
		switch {
		case q.class.Effect == NonIdempotent:
			rc.violated("rule 2: non-idempotent %s sent again", a.Request)
		case rc.now > q.sentAt[i]+q.class.DedupWindow:
			rc.violated("rule 2: %s with a key sent after its deduplication window", a.Request)
		case a.SendWithin <= 0 || rc.now+a.SendWithin >= q.sentAt[i]+q.class.DedupWindow:
			rc.violated("rule 2: %s with a key may be written up to %v after the decision, past its deduplication window", a.Request, a.SendWithin)
		case q.class.DedupScope == DedupShard && first.Shard != n.Shard, first.Zone != n.Zone:
			rc.violated("rule 2: %s with a key sent outside its deduplication scope", a.Request)
		}
	}
	rules := rc.set.Rules
	if rules.OverloadWindow > 0 && n.Started > 0 && rc.now-n.Started < rules.WarmUpTime {
		rc.coldSent[a.Endpoint] = append(rc.coldSent[a.Endpoint], unitsRecord{rc.now, q.req.Units})
		sum := 0.0
		for _, d := range rc.coldSent[a.Endpoint] {
			if d.at > rc.now-rules.OverloadWindow && d.at >= n.Started {
				sum += d.units
			}
		}
		growth := rules.ColdCapacityFraction + (1-rules.ColdCapacityFraction)*(rc.now-n.Started).Seconds()/rules.WarmUpTime.Seconds()
		if limit := rc.set.ColdUnitsPerWindow/float64(rc.set.Initiators)*growth/rules.ColdCapacityFraction + rc.recentlyServed(a.Endpoint); sum > limit+1e-6 {
			rc.violated("rule 4: %v units to cold %s, whose limit for this initiator is %v", sum, a.Endpoint, limit)
		}
	}
	if q.class.Ordered {
		for _, p := range rc.byExtent[q.req.Extent] {
			if p == q {
				break
			}
			if !p.ended || p.inFlight() {
				rc.violated("rule 5: %s sent before %s of its extent has ended", a.Request, p.req.ID)
			}
		}
		for _, p := range rc.byExtent[q.req.Extent] {
			if p != q && p.uncertainAt > 0 && rc.now < p.uncertainAt+rules.OrderedQuietTime {
				rc.violated("rule 5: %s sent while its extent is paused", a.Request)
			}
		}
	}
	if rules.RetryBudget && len(q.sends) > 0 {
		rc.retries = append(rc.retries, rc.now)
		from := func(list []time.Duration) (n float64) {
			for _, at := range list {
				if at > rc.now-rules.RetryBudgetWindow {
					n++
				}
			}
			return n
		}
		if from(rc.retries) > rules.RetryBudgetFree+rules.RetryBudgetRatio*from(rc.arrivals) {
			rc.violated("rule 6: retry of %s exceeds the budget", a.Request)
		}
	}
	if p := rc.set.Plans[slices.IndexFunc(rc.set.Plans, func(p Plan) bool { return p.Name == q.req.Plan })]; p.RateLimit > 0 && len(q.sends) == 0 {
		v, initiators := q.req.Volume, float64(q.req.VolumeInitiators)
		if rc.buckets[v] == nil {
			rc.buckets[v] = &rateBucket{}
		}
		rc.buckets[v].refill(rc.now, p, initiators)
		rc.buckets[v].tokens -= q.req.Units
		if level := rc.buckets[v].tokens; level < -1e-6 {
			rc.violated("rule 7: volume %s exceeds its share of the rate limit by %v", v, -level)
		}
	}
}

// recentlyServed returns the units that the endpoint has served within the window of the cold start rule, which add to its limit.
func (rc *ruleChecker) recentlyServed(endpoint string) (sum float64) {
	for _, d := range rc.served[endpoint] {
		if d.at > rc.now-rc.set.Rules.OverloadWindow {
			sum += d.units
		}
	}
	return sum
}

// randomSettings changes the settings at random: times, effects, rates, limits, bounds and windows, of the rules in force.
func (rc *ruleChecker) randomSettings(mask int) Settings {
	set := ruleSettings(mask)
	oneOf := func(values ...float64) float64 { return values[rc.rng.IntN(len(values))] }
	for i := range set.Classes {
		c := &set.Classes[i]
		c.LatencyObjective, c.Deadline = time.Duration(oneOf(0.5, 1, 2)*float64(c.LatencyObjective)), time.Duration(oneOf(1, 1, 2)*float64(c.Deadline))
		c.PriorityWeight *= oneOf(0.1, 1, 10)
		if c.Effect == NonIdempotent && rc.chance(0.3) {
			c.Effect = Idempotent
		}
		c.Ordered = c.Ordered && rc.chance(0.8)
	}
	for i := range set.Plans {
		p := &set.Plans[i]
		k := oneOf(0.2, 1, 5)
		p.Rate, p.ReservedRate = p.Rate*k, p.ReservedRate*oneOf(0, 1, 2)
		if p.RateLimit > 0 {
			p.RateLimit, p.RateLimitBurst = p.RateLimit*oneOf(0, 0.5, 1, 2), p.RateLimitBurst*oneOf(0.5, 1, 2)
		}
	}
	set.MaxAttempts, set.Initiators, set.UsagePeriod = rc.rng.IntN(5), 2+rc.rng.IntN(4), time.Duration(oneOf(0, 1, 3))*time.Second
	if mask&2 != 0 {
		set.Rules.RetryBudgetFree, set.Rules.RetryBudgetRatio = oneOf(0, 3, 6), oneOf(0, 0.2, 0.5)
	}
	if mask&8 != 0 {
		// Each initiator's share stays at least one largest request, since a few initiators may send a request that exceeds their share.
		switch rules := &set.Rules; rc.rng.IntN(5) {
		case 0:
			set.ColdUnitsPerWindow = oneOf(45, 60)
		case 1:
			rules.OverloadWindow = time.Duration(oneOf(0.5, 3) * float64(time.Second))
		case 2:
			rules.WarmUpTime = time.Duration(oneOf(2, 8)) * time.Second
		case 3:
			rules.ColdCapacityFraction, rules.WarmUpTime = 0.1, 9*time.Second
		}
	}
	initiators := 2.0
	for v, s := range rc.buckets {
		i := int(v[1]-'0') % 2
		s.refill(rc.now, rc.set.Plans[i], initiators)
		if rc.set.Plans[i].RateLimit <= 0 {
			s.tokens = 0
		}
		s.tokens = min(s.tokens, max(0, set.Plans[i].RateLimitBurst/initiators))
	}
	rc.set = set
	return set
}

// runRandom runs one seeded sequence and returns the violations and a digest of the actions. With changing, the settings change at
// random times.
func runRandom(seed uint64, mask int, changing bool) (violations []string, digest string) {
	w := &ruleChecker{rng: rand.New(rand.NewPCG(seed, 7)), set: ruleSettings(mask), now: time.Second,
		endpoints: map[string]Endpoint{}, unavailableSince: map[string]time.Duration{}, records: map[string]*requestRecord{},
		byExtent: map[string][]*requestRecord{}, coldSent: map[string][]unitsRecord{}, served: map[string][]unitsRecord{}, buckets: map[string]*rateBucket{}}
	w.s, _ = New(w.set, seed)
	const length = 6000
	for i := range length {
		w.now += 2 * ms
		failureRate := []float64{0.05, 0.5, 0.95}[i/700%3]
		events := w.randomOutcomes(failureRate)
		if w.chance(0.01) || i == 0 {
			events = append(events, w.randomList())
		}
		if changing && w.chance(0.005) {
			events = append(events, w.randomSettings(mask))
		}
		for i < length-1500 && w.chance(0.25) {
			events = append(events, w.randomRequest())
		}
		if q := w.randomOpen(); q != nil && w.chance(0.01) && !q.ended {
			q.ended, q.endedAt = true, w.now
			events = append(events, ClientGone{ID: q.req.ID})
		}
		if w.chance(0.02) && len(w.open) > 0 { // events for requests that are no longer known
			old := w.open[w.rng.IntN(len(w.open))].req.ID
			events = append(events, TimerFired{}, Outcome{ID: old, Attempt: 9, Code: ConnectionReset}, ClientGone{ID: old + "x"})
		}
		timerDue := false
		w.timers = slices.DeleteFunc(w.timers, func(t time.Duration) bool { timerDue = timerDue || t <= w.now; return t <= w.now })
		if timerDue {
			events = append(events, TimerFired{})
		}
		if len(events) > 0 {
			for _, a := range w.s.Step(w.now, events) {
				w.checkAction(a)
				digest += fmt.Sprintf("%d%s%s", a.Kind, a.Request, a.Endpoint)
			}
		}
		w.open = slices.DeleteFunc(w.open, func(q *requestRecord) bool {
			if !q.ended && w.now > q.deadline+8*ms {
				w.violated("rule 1: no final answer for %s", q.req.ID)
				return true
			}
			return q.ended && !q.inFlight()
		})
	}
	return w.violations, digest
}

func (rc *ruleChecker) randomOpen() *requestRecord {
	if len(rc.open) == 0 {
		return nil
	}
	return rc.open[rc.rng.IntN(len(rc.open))]
}

// TestRulesHoldForRandomEvents checks the seven rules over random event sequences, with each optional rule on and off, also while
// settings change, and that equal events give equal actions.
func TestRulesHoldForRandomEvents(t *testing.T) {
	for mask := range 16 {
		for seed := range uint64(8) {
			changing := seed >= 3
			violations, first := runRandom(seed, mask, changing)
			for i, violation := range violations {
				if i < 3 {
					t.Errorf("settings %04b, seed %d, changing %v: %s", mask, seed, changing, violation)
				}
			}
			if len(first) < 1000 {
				t.Errorf("settings %04b, seed %d, changing %v: too few actions", mask, seed, changing)
			}
			if seed == 0 || seed == 3 {
				if _, again := runRandom(seed, mask, changing); again != first {
					t.Errorf("settings %04b, changing %v: equal events gave different actions", mask, changing)
				}
			}
		}
	}
}
