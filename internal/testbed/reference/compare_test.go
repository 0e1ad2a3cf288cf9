package reference

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/seeded"
)

// histories is how many are compared, unless -rapid.checks says otherwise.
const histories = "500"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", histories); err != nil {
		panic(err)
	}
	seeded.Main(m)
}

const ms = time.Millisecond

// decider is what the module of that day and of today have in common.
type decider interface {
	Step(now time.Duration, events []Event) []Action
	EjectedCount() int
	EjectedEndpoints() []string
	EndpointFor(shard int) string
}

// meter is a ration that answers by turn, and keeps what it was asked: the questions have to be equal too.
type meter struct {
	answers []time.Duration
	asked   []Draw
}

type permit int

func (permit) Valid() bool { return true }

func (m *meter) Wait(d Draw) (time.Duration, bool) {
	m.asked = append(m.asked, d)
	wait := m.answers[len(m.asked)%len(m.answers)]
	return max(0, wait), wait >= 0
}

func (m *meter) Reserve(draws []Draw) Permit {
	m.asked = append(m.asked, draws...)
	return permit(len(m.asked))
}

// settings draws what an initiator is told at its start: each rule on or off.
func settings(t *rapid.T) Settings {
	on := func(name string) bool { return rapid.Bool().Draw(t, name) }
	set := Settings{Initiators: rapid.SampledFrom([]int{1, 3, 40}).Draw(t, "initiators"), MinStep: 2 * ms, MeanUnits: 2, MaxUnits: 6,
		MaxAttempts: rapid.IntRange(0, 4).Draw(t, "attempts"), FairSharePriority: 0.3, ExcessPriority: 0.05, ColdUnitsPerWindow: 30, SubscribeToList: on("asks"),
		Classes: []Class{
			{Name: "pure", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 3},
			{Name: "cell", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, Effect: Keyed, DedupScope: policy.DedupShard, DedupWindow: 700 * ms},
			{Name: "zone", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, Effect: Keyed, DedupScope: GroupZone, DedupWindow: 700 * ms},
			{Name: "once", LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 2, Effect: policy.NonIdempotent},
			{Name: "turn", LatencyObjective: 150 * ms, Deadline: time.Second, PriorityWeight: 2, Ordered: on("in order")},
		},
		Plans: []Plan{{Name: "p0", Rate: 10, ReservedRate: 5, Weight: 1, PriorityFactor: 1}, {Name: "p1", Rate: 200, Weight: 2, PriorityFactor: 1}},
	}
	set.Rules.OrderedQuietTime = 100 * ms
	if on("meter") {
		set.UsagePeriod = time.Second
	}
	if on("handshake") {
		set.ConnectCost = 0.5
	}
	if on("budget") {
		set.Rules.RetryBudget, set.Rules.RetryBudgetFree, set.Rules.RetryBudgetRatio, set.Rules.RetryBudgetWindow = true, 3, 0.2, time.Second
	}
	if on("limit") {
		set.Plans[0].RateLimit, set.Plans[0].RateLimitBurst = 40, 36
	}
	if on("cold") {
		set.Rules.ColdCapacityFraction, set.Rules.WarmUpTime, set.Rules.OverloadWindow, set.Rules.OverloadFactor = 0.2, 4*time.Second, time.Second, 3
	}
	return set
}

// history is one run of events and what is out in it. It has no model of nodes: any legal outcome may come at any time.
type history struct {
	t        *rapid.T
	now      time.Duration
	most     int // nodes
	shards   int
	few      bool // requests to few of the shards
	nodes    map[string]Node
	sends    map[string]int // attempts so far of requests that are not over
	out      []attempt
	open     []string
	timers   []time.Duration
	requests int
}

type attempt struct {
	Action
	number int
	at     time.Duration
}

func (h *history) int(name string, below int) int { return rapid.IntRange(0, below-1).Draw(h.t, name) }

// chance is true once in so many times; rapid shrinks towards never.
func (h *history) chance(name string, in int) bool { return h.int(name, in) == in-1 }

// node draws an entry of the list: mostly a node at a shard of its own or of its replacement, now and then one that moved.
func (h *history) node(id int) Node {
	name := fmt.Sprintf("n%d", id)
	x, known := h.nodes[name]
	if !known {
		x = Node{ID: name, Zone: []string{"a", "b"}[id%2], Shard: id % h.shards}
	}
	if h.chance("moves", 6) {
		x.Shard = h.int("shard", h.shards+2) - 1
	}
	x.State = []policy.EndpointState{Up, Up, Up, Draining, Removed}[h.int("state", 5)]
	if h.chance("starts", 3) {
		x.Started = h.now - time.Duration(h.int("age", 6000))*ms
	}
	h.nodes[name] = x
	return x
}

// list draws a whole list, a change, an empty one, or a call that failed.
func (h *history) list() Event {
	if h.chance("broken", 12) {
		return NodeList{Failed: true}
	}
	l := NodeList{Full: h.chance("whole", 5)}
	if !l.Full {
		for range h.int("entries", 4) {
			l.Endpoints = append(l.Endpoints, h.node(h.int("entry", h.most)))
		}
		return l
	}
	for id := range h.most {
		if x, known := h.nodes[fmt.Sprintf("n%d", id)]; known && h.chance("as it was", 2) {
			l.Endpoints = append(l.Endpoints, x)
		} else if !h.chance("left out", 3) {
			l.Endpoints = append(l.Endpoints, h.node(id))
		}
	}
	if h.chance("other order", 2) {
		slices.Reverse(l.Endpoints)
	}
	return l
}

func (h *history) request(set Settings) Event {
	h.requests++
	c, volume := set.Classes[h.int("class", len(set.Classes))], h.int("volume", 6)
	r := Request{ID: fmt.Sprintf("r%d", h.requests), Class: c.Name, Plan: set.Plans[volume%2].Name, Volume: fmt.Sprintf("v%d", volume),
		Units: float64(h.int("units", 7)), VolumeInitiators: 1 + h.int("hosts", 3), MissingKey: h.chance("keyless", 8),
		TimeLeft: c.Deadline * time.Duration(1+h.int("budget", 5)) / 4}
	if extent := h.int("extent", 5); extent > 0 {
		r.Extent = fmt.Sprintf("k%d", extent)
	}
	shards := h.shards + 2 // one that nobody holds
	if h.few {
		shards = 2
	}
	switch r.Shard = h.int("shard", shards) - 1; {
	case h.chance("at a node", 12):
		r.BoundEndpoint = fmt.Sprintf("n%d", h.int("at", h.most+1))
	case h.chance("no class", 40):
		r.Class = "other"
	case h.chance("again", 20): // under a name that may be open
		r.ID = fmt.Sprintf("r%d", 1+h.int("name", h.requests))
	}
	if h.sends[r.ID] == 0 {
		h.open = append(h.open, r.ID)
	}
	return r
}

// outcomes ends some of what is out: after its time-out for certain.
func (h *history) outcomes() (events []Event) {
	h.out = slices.DeleteFunc(h.out, func(a attempt) bool {
		took := h.now - a.at
		over := took >= a.Wait
		if !over && !h.chance("ends", 4) {
			return false
		}
		e := Outcome{ID: a.Request, Attempt: a.number, Endpoint: a.Endpoint, Code: Expired, Latency: took, VolumeUsage: h.int("used", 200)}
		if !over {
			e.Code = []policy.OutcomeCode{Delivered, Delivered, Delivered, Errored, Full, NoConnection, Reset, Cancelled, Moot}[h.int("code", 9)]
		}
		if e.Code == Delivered {
			e.Latency = min(took, time.Duration(1+h.int("took", 120))*ms)
			e.Final = true
		}
		if h.chance("tells", 3) {
			e.Load = &Load{Queued: float64(h.int("queue", 9) - 1), InFlight: float64(h.int("in flight", 20) - 1)}
		}
		events = append(events, e)
		return true
	})
	return events
}

// events draws what has come in by now.
func (h *history) events(set Settings) (events []Event) {
	if h.chance("list", 9) {
		events = append(events, h.list())
	}
	events = append(events, h.outcomes()...)
	for range h.int("requests", 4) {
		events = append(events, h.request(set))
	}
	if len(h.open) > 0 && h.chance("departs", 10) {
		at := h.int("who", len(h.open))
		events = append(events, Departed{ID: h.open[at]})
		h.open = slices.Delete(h.open, at, at+1)
	}
	switch h.int("more", 24) {
	case 23:
		events = append(events, Shared{Processes: h.int("parts", 4)})
	case 22:
		events = append(events, Watched{Endpoint: fmt.Sprintf("n%d", h.int("watched", h.most)), Healthy: h.chance("well", 2),
			Age: time.Duration(h.int("ago", 300)) * ms, NextProbe: time.Duration(h.int("next", 900)) * ms})
	case 21:
		events = append(events, policy.QuotaChanged{})
	case 20:
		if len(h.open) > 0 {
			events = append(events, StreamBegun{ID: h.open[h.int("whose", len(h.open))]})
		}
	case 19: // of what is long over
		events = append(events, Outcome{ID: fmt.Sprintf("r%d", h.int("old", h.requests+1)), Attempt: 7, Code: Reset})
	case 18:
		events = append(events, Timer{}) // nobody asked for it
	}
	due := len(h.timers)
	h.timers = slices.DeleteFunc(h.timers, func(at time.Duration) bool { return at <= h.now })
	if due > len(h.timers) {
		events = append(events, Timer{})
	}
	return events
}

// pass lets time go on: some ticks, to the next timer or a little past it, a standstill, or a time in which all is forgotten.
func (h *history) pass() {
	switch h.int("time", 16) {
	case 15:
		h.now += time.Duration(h.int("still", 500)) * ms
	case 14:
		if h.chance("long", 6) {
			h.now += time.Duration(h.int("seconds", 15)) * time.Second
		}
	case 13, 12, 11, 10:
		if len(h.timers) > 0 {
			h.now = max(h.now, slices.Min(h.timers)+time.Duration(h.int("late", 3)-1)*ms)
		}
	case 9: // twice at one time
	default:
		h.now += time.Duration(1+h.int("ticks", 8)) * 2 * ms
	}
}

func (h *history) take(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			h.timers = append(h.timers, h.now+a.Wait)
		case Send:
			h.out = append(h.out, attempt{a, h.sends[a.Request], h.now})
			h.sends[a.Request]++
		case Refuse, Fail:
			h.open = slices.DeleteFunc(h.open, func(id string) bool { return id == a.Request })
		}
	}
}

// seen counts what the histories had in them, so that none of it is compared in vain.
var seen = map[string]int{}

func note(what string, count int) { seen[what] += count }

// TestEqualActions holds the module to the decisions of the one before it: over generated histories each step's actions are
// equal, one by one, and so is all else that it can be asked.
func TestEqualActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, seed := settings(t), rapid.Uint64Range(0, 99).Draw(t, "seed")
		then, today := set, set
		var rations [2]meter
		if rapid.Bool().Draw(t, "rationed") {
			answers := make([]time.Duration, 7)
			for i := range answers { // under 0: no such whole
				answers[i] = time.Duration([]int{0, 0, 0, -1, -1, 0, 30}[rapid.IntRange(0, 6).Draw(t, "ration")]) * ms
			}
			rations[0].answers, rations[1].answers = answers, answers
			then.Quota, today.Quota = &rations[0], &rations[1]
		}
		old, err := New(then, seed)
		if err != nil {
			t.Fatal(err)
		}
		now, err := policy.New(today, seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &history{t: t, now: time.Hour, most: rapid.IntRange(1, 24).Draw(t, "nodes"), shards: rapid.IntRange(1, 16).Draw(t, "shards"),
			few: rapid.Bool().Draw(t, "few"), nodes: map[string]Node{}, sends: map[string]int{}}
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			h.pass()
			events := h.events(set)
			want := old.Step(h.now, slices.Clone(events))
			// Settings as they are change nothing, but that a step is no longer one of timers alone, which may have nothing to look at.
			beat := func(e Event) bool { _, is := e.(Timer); return is }
			if slices.ContainsFunc(events, func(e Event) bool { return !beat(e) }) && h.chance("told again", 12) {
				events = slices.Insert(events, h.int("told at", len(events)+1), Event(set))
				note("told again", 1)
			}
			got := now.Step(h.now, events)
			if !slices.Equal(want, got) {
				t.Fatalf("at %v\n%+v\nactions\n%+v\nbefore\n%+v", h.now, events, got, want)
			}
			if !slices.Equal(rations[0].asked, rations[1].asked) {
				t.Fatalf("at %v the ration was asked otherwise", h.now)
			}
			compareAsked(t, h, old, now)
			h.take(got)
			note("steps", 1)
			for _, a := range got {
				note(fmt.Sprintf("kind %d", a.Kind), 1)
			}
		}
	})
	for what, least := range map[string]int{"kind 0": 10000, "kind 1": 10000, "kind 2": 1000, "kind 3": 10000, "kind 4": 100, "avoided": 5000, "named": 1000, "swept": 500, "told again": 1000} {
		if seen[what] < least {
			t.Errorf("%s: %d, want %d at least", what, seen[what], least)
		}
	}
	t.Log(seen)
}

// compareAsked compares what is asked between two steps. Where draws from the source that placement draws from.
func compareAsked(t *rapid.T, h *history, old, now decider) {
	if h.chance("avoided", 3) {
		if a, b := old.EjectedCount(), now.EjectedCount(); a != b {
			t.Fatalf("at %v %d avoided, before %d", h.now, b, a)
		}
		ids := old.EjectedEndpoints()
		if got := now.EjectedEndpoints(); !slices.Equal(ids, got) {
			t.Fatalf("at %v avoided %v, before %v", h.now, got, ids)
		}
		note("avoided", len(ids))
	}
	if h.chance("where", 6) {
		shard := h.int("asked shard", h.shards+2) - 1
		a, b := old.EndpointFor(shard), now.EndpointFor(shard)
		if a != b {
			t.Fatalf("at %v shard %d is at %q, before %q", h.now, shard, b, a)
		}
		if a != "" {
			note("named", 1)
		}
	}
	if s := old.(*Scheduler); s.swept == h.now {
		note("swept", 1)
	}
	if math.IsNaN(old.(*Scheduler).service) {
		t.Fatal("not a number")
	}
}
