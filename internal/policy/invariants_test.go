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
	codes   []Code // outcome of each send; -1: still out
	ended   bool
	endedAt time.Duration
	doubtAt time.Duration
}

func (q *seen) out() bool { return len(q.codes) > 0 && q.codes[len(q.codes)-1] == -1 }

// ran returns when and where an attempt that may have run was sent.
func (q *seen) ran() (int, bool) {
	for i, c := range q.codes {
		if c != Full && c != NoConnection && c != Moot {
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
	if p.Limit > 0 {
		s.level = min(p.LimitBurst/hosts, s.level+(now-s.at).Seconds()*p.Limit/hosts)
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
	nodes  map[string]Node
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
	set := Settings{Initiators: 3, Tick: 2 * ms, MeanUnits: 2, LargestUnits: 6, Meter: time.Second, MaxAttempts: 4,
		FairWorth: 0.3, IdleWorth: 0.05, ColdUnits: 30,
		Classes: []Class{
			{Name: "pure", Aim: 200 * ms, Deadline: time.Second, Worth: 3},
			{Name: "cell", Aim: 300 * ms, Deadline: 2 * time.Second, Worth: 2, Effect: Keyed, Group: GroupCell, Window: 700 * ms},
			{Name: "zone", Aim: 300 * ms, Deadline: 2 * time.Second, Worth: 2, Effect: Keyed, Group: GroupZone, Window: 700 * ms},
			{Name: "once", Aim: 300 * ms, Deadline: time.Second, Worth: 2, Effect: Unsafe},
			{Name: "turn", Aim: 300 * ms, Deadline: time.Second, Worth: 2, InOrder: mask&1 != 0},
		},
		Plans: []Plan{{Name: "p0", Rate: 10, Reserve: 5, Weight: 1, Price: 1}, {Name: "p1", Rate: 20, Weight: 2, Price: 1}},
	}
	set.Rules.Settle = 100 * ms
	if mask&2 != 0 {
		set.Rules.Budget, set.Rules.BudgetFree, set.Rules.BudgetShare = true, 3, 0.2
		set.Rules.BudgetSpan = time.Second
	}
	if mask&4 != 0 {
		set.Plans[0].Limit, set.Plans[0].LimitBurst = 40, 36
	}
	if mask&8 != 0 {
		set.Rules.ColdShare, set.Rules.WarmWithin, set.Rules.FallWithin = 0.2, 4*time.Second, time.Second
		set.Rules.FallMultiple = 3
	}
	return set
}

// list returns a random change of the list and notes what it tells.
func (w *world) list() NodeList {
	if w.pick(0.1) {
		return NodeList{Broken: true}
	}
	e := NodeList{Whole: w.pick(0.3)}
	id := fmt.Sprintf("n%d", w.rng.IntN(8))
	n := w.nodes[id]
	n.ID, n.Shard, n.Zone = id, int(id[1]-'0')%4, []string{"a", "b"}[int(id[1]-'0')/4]
	n.State = NodeState(w.rng.IntN(3))
	if n.State == Up && w.pick(0.5) {
		n.Started = w.now - time.Duration(w.rng.IntN(500))*ms
	}
	e.Nodes = []Node{n}
	if e.Whole {
		for _, m := range slices.Sorted(keysOf(w.nodes)) {
			if m != id && w.pick(0.8) {
				e.Nodes = append(e.Nodes, w.nodes[m])
			}
		}
	}
	told := map[string]bool{}
	for _, m := range e.Nodes {
		w.nodes[m.ID], told[m.ID] = m, true
		if m.State == Up {
			delete(w.barred, m.ID)
		} else if _, ok := w.barred[m.ID]; !ok {
			w.barred[m.ID] = w.now
		}
	}
	for m := range w.nodes {
		if _, ok := w.barred[m]; e.Whole && !told[m] && !ok {
			w.barred[m] = w.now
		}
	}
	return e
}

func keysOf(m map[string]Node) func(func(string) bool) {
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
		Units: float64(1 + w.rng.IntN(6)), Initiators: 2, Budget: c.Deadline * time.Duration(1+w.rng.IntN(4)) / 4}
	q := &seen{req: r, class: c, due: w.now + r.Budget}
	w.all[r.ID] = q
	w.order = append(w.order, q)
	w.taken = append(w.taken, w.now)
	if c.InOrder {
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
		code := Delivered
		if over {
			code = Expired
		} else if w.pick(bad) {
			code = []Code{Errored, Full, NoConnection, Reset, Cancelled, Moot}[w.rng.IntN(6)]
		}
		q.codes[i] = code
		if code == Expired || code == Reset || code == Cancelled {
			q.doubtAt = w.now
		}
		if code == Delivered {
			w.served[q.sends[i].Node] = append(w.served[q.sends[i].Node], drawn{w.now, q.req.Units})
		}
		if code == Delivered && !q.ended {
			q.ended, q.endedAt = true, w.now
		}
		events = append(events, Outcome{ID: q.req.ID, Attempt: i, Node: q.sends[i].Node, Code: code,
			Took: w.now - q.sentAt[i], Closed: q.ended, Used: w.rng.IntN(200)})
	}
	return events
}

func (w *world) act(a Action) {
	if a.Kind == SetTimer {
		w.timers = append(w.timers, w.now+a.Wait)
	}
	if a.Kind != Send && a.Kind != Refuse && a.Kind != Fail {
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
		if _, ran := q.ran(); ran && a.Kind == Refuse && q.class.Effect != Pure && q.class.Group != GroupAll {
			w.fault("rule 2: %s refused though it may have run", a.Request)
		} else if ran && a.Kind == Refuse && q.class.Effect == Unsafe {
			w.fault("rule 2: unsafe %s refused though it may have run", a.Request)
		}
		return
	}
	w.checkSend(q, a)
	q.sends, q.sentAt, q.codes = append(q.sends, a), append(q.sentAt, w.now), append(q.codes, -1)
}

func (w *world) checkSend(q *seen, a Action) {
	n, known := w.nodes[a.Node]
	if !known {
		w.fault("sent to unknown node %s", a.Node)
	}
	if _, bad := w.barred[a.Node]; bad {
		w.fault("rule 3: sent to %s, which drains or is gone", a.Node)
	}
	if q.out() {
		w.fault("rule 2: two attempts of %s out", a.Request)
	}
	if i, ran := q.ran(); ran && q.class.Effect != Pure {
		first := w.nodes[q.sends[i].Node]
		switch {
		case q.class.Effect == Unsafe:
			w.fault("rule 2: unsafe %s sent again", a.Request)
		case w.now > q.sentAt[i]+q.class.Window:
			w.fault("rule 2: keyed %s sent after its window", a.Request)
		case a.Within <= 0 || w.now+a.Within >= q.sentAt[i]+q.class.Window:
			w.fault("rule 2: keyed %s may leave %v after it was decided on, past its window", a.Request, a.Within)
		case q.class.Group == GroupCell && first.Shard != n.Shard, first.Zone != n.Zone:
			w.fault("rule 2: keyed %s sent outside its group", a.Request)
		}
	}
	ru := w.set.Rules
	if ru.FallWithin > 0 && n.Started > 0 && w.now-n.Started < ru.WarmWithin {
		w.cold[a.Node] = append(w.cold[a.Node], drawn{w.now, q.req.Units})
		sum := 0.0
		for _, d := range w.cold[a.Node] {
			if d.at > w.now-ru.FallWithin && d.at >= n.Started {
				sum += d.units
			}
		}
		grown := ru.ColdShare + (1-ru.ColdShare)*(w.now-n.Started).Seconds()/ru.WarmWithin.Seconds()
		if bears := w.set.ColdUnits/float64(w.set.Initiators)*grown/ru.ColdShare + w.servedBy(a.Node); sum > bears+1e-6 {
			w.fault("rule 4: %v units to cold %s, which bears %v of this host", sum, a.Node, bears)
		}
	}
	if q.class.InOrder {
		for _, p := range w.byKey[q.req.Extent] {
			if p == q {
				break
			}
			if !p.ended || p.out() {
				w.fault("rule 5: %s sent before %s of its key is over", a.Request, p.req.ID)
			}
		}
		for _, p := range w.byKey[q.req.Extent] {
			if p != q && p.doubtAt > 0 && w.now < p.doubtAt+ru.Settle {
				w.fault("rule 5: %s sent while its key rests", a.Request)
			}
		}
	}
	if ru.Budget && len(q.sends) > 0 {
		w.extra = append(w.extra, w.now)
		from := func(list []time.Duration) (n float64) {
			for _, at := range list {
				if at > w.now-ru.BudgetSpan {
					n++
				}
			}
			return n
		}
		if from(w.extra) > ru.BudgetFree+ru.BudgetShare*from(w.taken) {
			w.fault("rule 6: further attempt of %s over the budget", a.Request)
		}
	}
	if p := w.set.Plans[slices.IndexFunc(w.set.Plans, func(p Plan) bool { return p.Name == q.req.Plan })]; p.Limit > 0 && len(q.sends) == 0 {
		v, hosts := q.req.Volume, float64(q.req.Initiators)
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
		if d.at > w.now-w.set.Rules.FallWithin {
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
		c.Aim, c.Deadline = time.Duration(some(0.5, 1, 2)*float64(c.Aim)), time.Duration(some(1, 1, 2)*float64(c.Deadline))
		c.Worth *= some(0.1, 1, 10)
		if c.Effect == Unsafe && w.pick(0.3) {
			c.Effect = Pure
		}
		c.InOrder = c.InOrder && w.pick(0.8)
	}
	for i := range set.Plans {
		p := &set.Plans[i]
		k := some(0.2, 1, 5)
		p.Rate, p.Reserve = p.Rate*k, p.Reserve*some(0, 1, 2)
		if p.Limit > 0 {
			p.Limit, p.LimitBurst = p.Limit*some(0, 0.5, 1, 2), p.LimitBurst*some(0.5, 1, 2)
		}
	}
	set.MaxAttempts, set.Initiators, set.Meter = w.rng.IntN(5), 2+w.rng.IntN(4), time.Duration(some(0, 1, 3))*time.Second
	if mask&2 != 0 {
		set.Rules.BudgetFree, set.Rules.BudgetShare = some(0, 3, 6), some(0, 0.2, 0.5)
	}
	if mask&8 != 0 {
		// Each initiator's part is a largest request at least: one over it may go from a few all the same.
		switch ru := &set.Rules; w.rng.IntN(5) {
		case 0:
			set.ColdUnits = some(45, 60)
		case 1:
			ru.FallWithin = time.Duration(some(0.5, 3) * float64(time.Second))
		case 2:
			ru.WarmWithin = time.Duration(some(2, 8)) * time.Second
		case 3:
			ru.ColdShare, ru.WarmWithin = 0.1, 9*time.Second
		}
	}
	hosts := 2.0
	for v, s := range w.stores {
		i := int(v[1]-'0') % 2
		s.fill(w.now, w.set.Plans[i], hosts)
		if w.set.Plans[i].Limit <= 0 {
			s.level = 0
		}
		s.level = min(s.level, max(0, set.Plans[i].LimitBurst/hosts))
	}
	w.set = set
	return set
}

// play runs one seeded sequence and returns the rules broken and a digest of the actions. With changing, other settings come now and then.
func play(seed uint64, mask int, changing bool) (faults []string, digest string) {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), set: ruleSettings(mask), now: time.Second,
		nodes: map[string]Node{}, barred: map[string]time.Duration{}, all: map[string]*seen{},
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
			events = append(events, Departed{ID: q.req.ID})
		}
		if w.pick(0.02) && len(w.order) > 0 { // what is already dropped
			old := w.order[w.rng.IntN(len(w.order))].req.ID
			events = append(events, Timer{}, Outcome{ID: old, Attempt: 9, Code: Reset}, Departed{ID: old + "x"})
		}
		due := false
		w.timers = slices.DeleteFunc(w.timers, func(t time.Duration) bool { due = due || t <= w.now; return t <= w.now })
		if due {
			events = append(events, Timer{})
		}
		if len(events) > 0 {
			for _, a := range w.s.Step(w.now, events) {
				w.act(a)
				digest += fmt.Sprintf("%d%s%s", a.Kind, a.Request, a.Node)
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
