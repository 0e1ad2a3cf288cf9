package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// seen is what the checker knows of one request, from events and actions alone.
type seen struct {
	req     Request
	class   Class
	due     time.Duration
	sends   []Action
	sentAt  []time.Duration
	codes   []OutcomeCode // outcome of each send; -1: still out
	ended   bool
	endedAt time.Duration
	doubtAt time.Duration
}

func (q *seen) out() bool { return len(q.codes) > 0 && q.codes[len(q.codes)-1] == -1 }

// ran returns when and where an attempt that may have run was sent.
func (q *seen) ran() (int, bool) {
	for i, c := range q.codes {
		if c != Rejected && c != NotConnected && c != NotSent {
			return i, true
		}
	}
	return 0, false
}

type drawn struct {
	at    time.Duration
	units float64
}

// store is what is left of a volume's limit here.
type store struct {
	level float64
	at    time.Duration
}

// fill fills it up to now by a plan of which it has this part.
func (s *store) fill(now time.Duration, p Plan, hosts float64) {
	if p.RateLimit > 0 {
		s.level = min(p.RateLimitBurst/hosts, s.level+(now-s.at).Seconds()*p.RateLimit/hosts)
	}
	s.at = now
}

// world plays random legal events into one scheduler and checks the seven rules by its own counting. It has
// no service model: outcomes and their times are drawn at random.
type world struct {
	rng    *rand.Rand
	set    Settings
	s      *Scheduler
	now    time.Duration
	nodes  map[string]Endpoint
	barred map[string]time.Duration // node told draining or gone since
	all    map[string]*seen
	order  []*seen
	serial int
	byKey  map[string][]*seen
	taken  []time.Duration
	extra  []time.Duration
	cold   map[string][]drawn
	served map[string][]drawn
	stores map[string]*store
	timers []time.Duration
	faults []string
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) pick(p float64) bool { return w.rng.Float64() < p }

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

// list returns a random change of the list and notes what it tells.
func (w *world) list() EndpointList {
	if w.pick(0.1) {
		return EndpointList{Failed: true}
	}
	e := EndpointList{Full: w.pick(0.3)}
	id := fmt.Sprintf("n%d", w.rng.IntN(8))
	n := w.nodes[id]
	n.ID, n.Shard, n.Zone = id, int(id[1]-'0')%4, []string{"a", "b"}[int(id[1]-'0')/4]
	n.State = EndpointState(w.rng.IntN(3))
	if n.State == Up && w.pick(0.5) {
		n.Started = w.now - time.Duration(w.rng.IntN(500))*ms
	}
	e.Endpoints = []Endpoint{n}
	if e.Full {
		for _, m := range slices.Sorted(keysOf(w.nodes)) {
			if m != id && w.pick(0.8) {
				e.Endpoints = append(e.Endpoints, w.nodes[m])
			}
		}
	}
	told := map[string]bool{}
	for _, m := range e.Endpoints {
		w.nodes[m.ID], told[m.ID] = m, true
		if m.State == Up {
			delete(w.barred, m.ID)
		} else if _, ok := w.barred[m.ID]; !ok {
			w.barred[m.ID] = w.now
		}
	}
	for m := range w.nodes {
		if _, ok := w.barred[m]; e.Full && !told[m] && !ok {
			w.barred[m] = w.now
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

func (w *world) arrive() Request {
	w.serial++
	c := w.set.Classes[w.rng.IntN(len(w.set.Classes))]
	vol := w.rng.IntN(6)
	r := Request{ID: fmt.Sprintf("r%d", w.serial), Class: c.Name, Plan: w.set.Plans[vol%2].Name,
		Volume: fmt.Sprintf("v%d", vol), Extent: fmt.Sprintf("k%d", w.rng.IntN(5)), Shard: w.rng.IntN(5) - 1,
		Units: float64(1 + w.rng.IntN(6)), VolumeInitiators: 2, TimeLeft: c.Deadline * time.Duration(1+w.rng.IntN(4)) / 4}
	q := &seen{req: r, class: c, due: w.now + r.TimeLeft}
	w.all[r.ID] = q
	w.order = append(w.order, q)
	w.taken = append(w.taken, w.now)
	if c.Ordered {
		w.byKey[r.Extent] = append(w.byKey[r.Extent], q)
	}
	return r
}

// outcomes ends some of what is out; everything has ended by its time-out.
func (w *world) outcomes(bad float64) []Event {
	var events []Event
	for _, q := range w.order {
		if !q.out() {
			continue
		}
		i := len(q.sends) - 1
		over := w.now >= min(q.sentAt[i]+q.sends[i].Wait, q.due)
		if !over && !w.pick(0.1) {
			continue
		}
		code := Served
		if over {
			code = TimedOut
		} else if w.pick(bad) {
			code = []OutcomeCode{AnsweredError, Rejected, NotConnected, ConnectionReset, Cancelled, NotSent}[w.rng.IntN(6)]
		}
		q.codes[i] = code
		if code == TimedOut || code == ConnectionReset || code == Cancelled {
			q.doubtAt = w.now
		}
		if code == Served {
			w.served[q.sends[i].Endpoint] = append(w.served[q.sends[i].Endpoint], drawn{w.now, q.req.Units})
		}
		if code == Served && !q.ended {
			q.ended, q.endedAt = true, w.now
		}
		events = append(events, Outcome{ID: q.req.ID, Attempt: i, Endpoint: q.sends[i].Endpoint, Code: code,
			Latency: w.now - q.sentAt[i], Final: q.ended, VolumeUsage: w.rng.IntN(200)})
	}
	return events
}

func (w *world) act(a Action) {
	if a.Kind == SetTimer {
		w.timers = append(w.timers, w.now+a.Wait)
	}
	if a.Kind != Send && a.Kind != Reject && a.Kind != Fail {
		return
	}
	q := w.all[a.Request]
	if q == nil {
		w.fault("action for unknown request %s", a.Request)
		return
	}
	if q.ended {
		w.fault("rule 1: action %d for %s after its end", a.Kind, a.Request)
		return
	}
	if a.Kind != Send {
		q.ended, q.endedAt = true, w.now
		if _, ran := q.ran(); ran && a.Kind == Reject && q.class.Effect != Idempotent && q.class.DedupScope != DedupFleet {
			w.fault("rule 2: %s refused though it may have run", a.Request)
		} else if ran && a.Kind == Reject && q.class.Effect == NonIdempotent {
			w.fault("rule 2: unsafe %s refused though it may have run", a.Request)
		}
		return
	}
	w.checkSend(q, a)
	q.sends, q.sentAt, q.codes = append(q.sends, a), append(q.sentAt, w.now), append(q.codes, -1)
}

func (w *world) checkSend(q *seen, a Action) { //nolint:gocognit // one scenario, told in order
	n, known := w.nodes[a.Endpoint]
	if !known {
		w.fault("sent to unknown node %s", a.Endpoint)
	}
	if _, bad := w.barred[a.Endpoint]; bad {
		w.fault("rule 3: sent to %s, which drains or is gone", a.Endpoint)
	}
	if q.out() {
		w.fault("rule 2: two attempts of %s out", a.Request)
	}
	if i, ran := q.ran(); ran && q.class.Effect != Idempotent {
		first := w.nodes[q.sends[i].Endpoint]
		switch {
		case q.class.Effect == NonIdempotent:
			w.fault("rule 2: unsafe %s sent again", a.Request)
		case w.now > q.sentAt[i]+q.class.DedupWindow:
			w.fault("rule 2: keyed %s sent after its window", a.Request)
		case a.SendWithin <= 0 || w.now+a.SendWithin >= q.sentAt[i]+q.class.DedupWindow:
			w.fault("rule 2: keyed %s may leave %v after it was decided on, past its window", a.Request, a.SendWithin)
		case q.class.DedupScope == DedupShard && first.Shard != n.Shard, first.Zone != n.Zone:
			w.fault("rule 2: keyed %s sent outside its group", a.Request)
		}
	}
	rules := w.set.Rules
	if rules.OverloadWindow > 0 && n.Started > 0 && w.now-n.Started < rules.WarmUpTime {
		w.cold[a.Endpoint] = append(w.cold[a.Endpoint], drawn{w.now, q.req.Units})
		sum := 0.0
		for _, d := range w.cold[a.Endpoint] {
			if d.at > w.now-rules.OverloadWindow && d.at >= n.Started {
				sum += d.units
			}
		}
		grown := rules.ColdCapacityFraction + (1-rules.ColdCapacityFraction)*(w.now-n.Started).Seconds()/rules.WarmUpTime.Seconds()
		if bears := w.set.ColdUnitsPerWindow/float64(w.set.Initiators)*grown/rules.ColdCapacityFraction + w.servedBy(a.Endpoint); sum > bears+1e-6 {
			w.fault("rule 4: %v units to cold %s, which bears %v of this host", sum, a.Endpoint, bears)
		}
	}
	if q.class.Ordered {
		for _, p := range w.byKey[q.req.Extent] {
			if p == q {
				break
			}
			if !p.ended || p.out() {
				w.fault("rule 5: %s sent before %s of its key is over", a.Request, p.req.ID)
			}
		}
		for _, p := range w.byKey[q.req.Extent] {
			if p != q && p.doubtAt > 0 && w.now < p.doubtAt+rules.OrderedQuietTime {
				w.fault("rule 5: %s sent while its key rests", a.Request)
			}
		}
	}
	if rules.RetryBudget && len(q.sends) > 0 {
		w.extra = append(w.extra, w.now)
		from := func(list []time.Duration) (n float64) {
			for _, at := range list {
				if at > w.now-rules.RetryBudgetWindow {
					n++
				}
			}
			return n
		}
		if from(w.extra) > rules.RetryBudgetFree+rules.RetryBudgetRatio*from(w.taken) {
			w.fault("rule 6: further attempt of %s over the budget", a.Request)
		}
	}
	if p := w.set.Plans[slices.IndexFunc(w.set.Plans, func(p Plan) bool { return p.Name == q.req.Plan })]; p.RateLimit > 0 && len(q.sends) == 0 {
		v, hosts := q.req.Volume, float64(q.req.VolumeInitiators)
		if w.stores[v] == nil {
			w.stores[v] = &store{}
		}
		w.stores[v].fill(w.now, p, hosts)
		w.stores[v].level -= q.req.Units
		if level := w.stores[v].level; level < -1e-6 {
			w.fault("rule 7: volume %s is %v under its part of the limit", v, -level)
		}
	}
}

// servedBy is what the node has answered within the span of the cold rule, which it has shown to bear.
func (w *world) servedBy(node string) (sum float64) {
	for _, d := range w.served[node] {
		if d.at > w.now-w.set.Rules.OverloadWindow {
			sum += d.units
		}
	}
	return sum
}

// change draws other settings: times, effects, rates, limits, bounds and spans, of the rules that there are.
func (w *world) change(mask int) Settings {
	set := ruleSettings(mask)
	some := func(of ...float64) float64 { return of[w.rng.IntN(len(of))] }
	for i := range set.Classes {
		c := &set.Classes[i]
		c.LatencyObjective, c.Deadline = time.Duration(some(0.5, 1, 2)*float64(c.LatencyObjective)), time.Duration(some(1, 1, 2)*float64(c.Deadline))
		c.PriorityWeight *= some(0.1, 1, 10)
		if c.Effect == NonIdempotent && w.pick(0.3) {
			c.Effect = Idempotent
		}
		c.Ordered = c.Ordered && w.pick(0.8)
	}
	for i := range set.Plans {
		p := &set.Plans[i]
		k := some(0.2, 1, 5)
		p.Rate, p.ReservedRate = p.Rate*k, p.ReservedRate*some(0, 1, 2)
		if p.RateLimit > 0 {
			p.RateLimit, p.RateLimitBurst = p.RateLimit*some(0, 0.5, 1, 2), p.RateLimitBurst*some(0.5, 1, 2)
		}
	}
	set.MaxAttempts, set.Initiators, set.UsagePeriod = w.rng.IntN(5), 2+w.rng.IntN(4), time.Duration(some(0, 1, 3))*time.Second
	if mask&2 != 0 {
		set.Rules.RetryBudgetFree, set.Rules.RetryBudgetRatio = some(0, 3, 6), some(0, 0.2, 0.5)
	}
	if mask&8 != 0 {
		// Each initiator's part is a largest request at least: one over it may go from a few all the same.
		switch rules := &set.Rules; w.rng.IntN(5) {
		case 0:
			set.ColdUnitsPerWindow = some(45, 60)
		case 1:
			rules.OverloadWindow = time.Duration(some(0.5, 3) * float64(time.Second))
		case 2:
			rules.WarmUpTime = time.Duration(some(2, 8)) * time.Second
		case 3:
			rules.ColdCapacityFraction, rules.WarmUpTime = 0.1, 9*time.Second
		}
	}
	hosts := 2.0
	for v, s := range w.stores {
		i := int(v[1]-'0') % 2
		s.fill(w.now, w.set.Plans[i], hosts)
		if w.set.Plans[i].RateLimit <= 0 {
			s.level = 0
		}
		s.level = min(s.level, max(0, set.Plans[i].RateLimitBurst/hosts))
	}
	w.set = set
	return set
}

// play runs one seeded sequence and returns the rules broken and a digest of the actions. With changing, other settings come now and then.
func play(seed uint64, mask int, changing bool) (faults []string, digest string) {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), set: ruleSettings(mask), now: time.Second,
		nodes: map[string]Endpoint{}, barred: map[string]time.Duration{}, all: map[string]*seen{},
		byKey: map[string][]*seen{}, cold: map[string][]drawn{}, served: map[string][]drawn{}, stores: map[string]*store{}}
	w.s, _ = New(w.set, seed)
	const length = 6000
	for i := range length {
		w.now += 2 * ms
		bad := []float64{0.05, 0.5, 0.95}[i/700%3]
		events := w.outcomes(bad)
		if w.pick(0.01) || i == 0 {
			events = append(events, w.list())
		}
		if changing && w.pick(0.005) {
			events = append(events, w.change(mask))
		}
		for i < length-1500 && w.pick(0.25) {
			events = append(events, w.arrive())
		}
		if q := w.some(); q != nil && w.pick(0.01) && !q.ended {
			q.ended, q.endedAt = true, w.now
			events = append(events, ClientGone{ID: q.req.ID})
		}
		if w.pick(0.02) && len(w.order) > 0 { // what is already dropped
			old := w.order[w.rng.IntN(len(w.order))].req.ID
			events = append(events, TimerFired{}, Outcome{ID: old, Attempt: 9, Code: ConnectionReset}, ClientGone{ID: old + "x"})
		}
		due := false
		w.timers = slices.DeleteFunc(w.timers, func(t time.Duration) bool { due = due || t <= w.now; return t <= w.now })
		if due {
			events = append(events, TimerFired{})
		}
		if len(events) > 0 {
			for _, a := range w.s.Step(w.now, events) {
				w.act(a)
				digest += fmt.Sprintf("%d%s%s", a.Kind, a.Request, a.Endpoint)
			}
		}
		w.order = slices.DeleteFunc(w.order, func(q *seen) bool {
			if !q.ended && w.now > q.due+8*ms {
				w.fault("rule 1: no final answer for %s", q.req.ID)
				return true
			}
			return q.ended && !q.out()
		})
	}
	return w.faults, digest
}

func (w *world) some() *seen {
	if len(w.order) == 0 {
		return nil
	}
	return w.order[w.rng.IntN(len(w.order))]
}

// TestRulesHold checks the seven rules over random event sequences, with each rule present and absent, also while settings change,
// and that the same events give the same actions.
func TestRulesHold(t *testing.T) {
	for mask := range 16 {
		for seed := range uint64(8) {
			changing := seed >= 3
			faults, first := play(seed, mask, changing)
			for i, f := range faults {
				if i < 3 {
					t.Errorf("settings %04b, seed %d, changing %v: %s", mask, seed, changing, f)
				}
			}
			if len(first) < 1000 {
				t.Errorf("settings %04b, seed %d, changing %v: hardly any action", mask, seed, changing)
			}
			if seed == 0 || seed == 3 {
				if _, again := play(seed, mask, changing); again != first {
					t.Errorf("settings %04b, changing %v: the same events gave other actions", mask, changing)
				}
			}
		}
	}
}
