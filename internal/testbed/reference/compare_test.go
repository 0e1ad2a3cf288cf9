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

// defaultChecks is how many random event sequences are compared, unless -rapid.checks sets another number.
const defaultChecks = "500"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", defaultChecks); err != nil {
		panic(err)
	}
	seeded.Main(m)
}

const ms = time.Millisecond

// policyScheduler is what the reference and the current scheduler have in common.
type policyScheduler interface {
	Step(now time.Duration, events []Event) []Action
	EjectedCount() int
	EjectedEndpoints() []string
	EndpointFor(shard int) string
}

// fakeQuota is a quota that returns its answers in turn and records its calls: both schedulers must make equal calls.
type fakeQuota struct {
	answers []time.Duration
	calls   []Reservation
}

type fakePermit int

func (fakePermit) Valid() bool { return true }

func (m *fakeQuota) Wait(d Reservation) (time.Duration, bool) {
	m.calls = append(m.calls, d)
	wait := m.answers[len(m.calls)%len(m.answers)]
	return max(0, wait), wait >= 0
}

func (m *fakeQuota) Reserve(draws []Reservation) Permit {
	m.calls = append(m.calls, draws...)
	return fakePermit(len(m.calls))
}

// drawSettings draws settings with each rule on or off.
func drawSettings(t *rapid.T) Settings {
	on := func(name string) bool { return rapid.Bool().Draw(t, name) }
	set := Settings{Initiators: rapid.SampledFrom([]int{1, 3, 40}).Draw(t, "initiators"), MinStep: 2 * ms, MeanUnits: 2, MaxUnits: 6,
		MaxAttempts: rapid.IntRange(0, 4).Draw(t, "attempts"), FairSharePriority: 0.3, ExcessPriority: 0.05, ColdUnitsPerWindow: 30, SubscribeToList: on("subscribes"),
		Classes: []Class{
			{Name: "pure", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 3},
			{Name: "cell", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, Effect: IdempotentWithKey, DedupScope: policy.DedupShard, DedupWindow: 700 * ms},
			{Name: "zone", LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 2, Effect: IdempotentWithKey, DedupScope: DedupZone, DedupWindow: 700 * ms},
			{Name: "once", LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 2, Effect: policy.NonIdempotent},
			{Name: "turn", LatencyObjective: 150 * ms, Deadline: time.Second, PriorityWeight: 2, Ordered: on("ordered")},
		},
		Plans: []Plan{{Name: "p0", Rate: 10, ReservedRate: 5, Weight: 1, PriorityFactor: 1}, {Name: "p1", Rate: 200, Weight: 2, PriorityFactor: 1}},
	}
	set.Rules.OrderedQuietTime = 100 * ms
	if on("usage") {
		set.UsagePeriod = time.Second
	}
	if on("connect cost") {
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

// eventGenerator draws one sequence of events and tracks the attempts in flight. It does not model endpoints: any valid
// outcome may occur at any time.
type eventGenerator struct {
	t            *rapid.T
	now          time.Duration
	maxEndpoints int // number of endpoint IDs
	shards       int
	fewShards    bool // requests go to few of the shards
	endpoints    map[string]Endpoint
	attempts     map[string]int // attempts so far, by request
	inFlight     []attempt
	openRequests []string
	timerTimes   []time.Duration
	requestCount int
}

type attempt struct {
	Action
	number int
	at     time.Duration
}

func (h *eventGenerator) int(name string, below int) int {
	return rapid.IntRange(0, below-1).Draw(h.t, name)
}

// chance is true once in so many draws; rapid shrinks towards false.
func (h *eventGenerator) chance(name string, in int) bool { return h.int(name, in) == in-1 }

// drawEndpoint draws an entry of the list: mostly an endpoint in its own shard or that of its replacement, sometimes
// one that has moved.
func (h *eventGenerator) drawEndpoint(id int) Endpoint {
	name := fmt.Sprintf("n%d", id)
	x, known := h.endpoints[name]
	if !known {
		x = Endpoint{ID: name, Zone: []string{"a", "b"}[id%2], Shard: id % h.shards}
	}
	if h.chance("moves", 6) {
		x.Shard = h.int("shard", h.shards+2) - 1
	}
	x.State = []policy.EndpointState{Up, Up, Up, Draining, Removed}[h.int("state", 5)]
	if h.chance("starts", 3) {
		x.Started = h.now - time.Duration(h.int("age", 6000))*ms
	}
	h.endpoints[name] = x
	return x
}

// drawList draws a full list, a change, an empty list, or a failed call.
func (h *eventGenerator) drawList() Event {
	if h.chance("failed call", 12) {
		return EndpointList{Failed: true}
	}
	l := EndpointList{Full: h.chance("full", 5)}
	if !l.Full {
		for range h.int("entries", 4) {
			l.Endpoints = append(l.Endpoints, h.drawEndpoint(h.int("entry", h.maxEndpoints)))
		}
		return l
	}
	for id := range h.maxEndpoints {
		if x, known := h.endpoints[fmt.Sprintf("n%d", id)]; known && h.chance("unchanged", 2) {
			l.Endpoints = append(l.Endpoints, x)
		} else if !h.chance("left out", 3) {
			l.Endpoints = append(l.Endpoints, h.drawEndpoint(id))
		}
	}
	if h.chance("other order", 2) {
		slices.Reverse(l.Endpoints)
	}
	return l
}

func (h *eventGenerator) drawRequest(set Settings) Event {
	h.requestCount++
	c, volume := set.Classes[h.int("class", len(set.Classes))], h.int("volume", 6)
	r := Request{ID: fmt.Sprintf("r%d", h.requestCount), Class: c.Name, Plan: set.Plans[volume%2].Name, Volume: fmt.Sprintf("v%d", volume),
		Units: float64(h.int("units", 7)), VolumeInitiators: 1 + h.int("hosts", 3), MissingKey: h.chance("missing key", 8),
		TimeLeft: c.Deadline * time.Duration(1+h.int("budget", 5)) / 4}
	if extent := h.int("extent", 5); extent > 0 {
		r.Extent = fmt.Sprintf("k%d", extent)
	}
	shards := h.shards + 2 // including a shard without an endpoint
	if h.fewShards {
		shards = 2
	}
	switch r.Shard = h.int("shard", shards) - 1; {
	case h.chance("at a node", 12):
		r.BoundEndpoint = fmt.Sprintf("n%d", h.int("at", h.maxEndpoints+1))
	case h.chance("no class", 40):
		r.Class = "other"
	case h.chance("again", 20): // with an ID that may be in use
		r.ID = fmt.Sprintf("r%d", 1+h.int("name", h.requestCount))
	}
	if h.attempts[r.ID] == 0 {
		h.openRequests = append(h.openRequests, r.ID)
	}
	return r
}

// drawOutcomes ends some of the attempts in flight, and all that have reached their timeout.
func (h *eventGenerator) drawOutcomes() (events []Event) {
	h.inFlight = slices.DeleteFunc(h.inFlight, func(a attempt) bool {
		elapsed := h.now - a.at
		over := elapsed >= a.Wait
		if !over && !h.chance("ends", 4) {
			return false
		}
		e := Outcome{ID: a.Request, Attempt: a.number, Endpoint: a.Endpoint, Code: TimedOut, Latency: elapsed, VolumeUsage: h.int("used", 200)}
		if !over {
			e.Code = []policy.OutcomeCode{Served, Served, Served, AnsweredError, Rejected, NotConnected, ConnectionReset, Cancelled, NotSent}[h.int("code", 9)]
		}
		if e.Code == Served {
			e.Latency = min(elapsed, time.Duration(1+h.int("took", 120))*ms)
			e.Final = true
		}
		if h.chance("reports load", 3) {
			e.Load = &Load{Queued: float64(h.int("queue", 9) - 1), InFlight: float64(h.int("in flight", 20) - 1)}
		}
		events = append(events, e)
		return true
	})
	return events
}

// drawEvents draws the events that have arrived by now.
func (h *eventGenerator) drawEvents(set Settings) (events []Event) {
	if h.chance("list", 9) {
		events = append(events, h.drawList())
	}
	events = append(events, h.drawOutcomes()...)
	for range h.int("requests", 4) {
		events = append(events, h.drawRequest(set))
	}
	if len(h.openRequests) > 0 && h.chance("client gone", 10) {
		at := h.int("who", len(h.openRequests))
		events = append(events, ClientGone{ID: h.openRequests[at]})
		h.openRequests = slices.Delete(h.openRequests, at, at+1)
	}
	switch h.int("more", 24) {
	case 23:
		events = append(events, ProcessCount{Processes: h.int("parts", 4)})
	case 22:
		events = append(events, ProbeResult{Endpoint: fmt.Sprintf("n%d", h.int("watched", h.maxEndpoints)), Healthy: h.chance("well", 2),
			Age: time.Duration(h.int("ago", 300)) * ms, NextProbe: time.Duration(h.int("next", 900)) * ms})
	case 21:
		events = append(events, policy.QuotaChanged{})
	case 20:
		if len(h.openRequests) > 0 {
			events = append(events, ResponseStarted{ID: h.openRequests[h.int("whose", len(h.openRequests))]})
		}
	case 19: // for a request that may have ended
		events = append(events, Outcome{ID: fmt.Sprintf("r%d", h.int("old", h.requestCount+1)), Attempt: 7, Code: ConnectionReset})
	case 18:
		events = append(events, TimerFired{}) // no timer was set
	}
	due := len(h.timerTimes)
	h.timerTimes = slices.DeleteFunc(h.timerTimes, func(at time.Duration) bool { return at <= h.now })
	if due > len(h.timerTimes) {
		events = append(events, TimerFired{})
	}
	return events
}

// advanceTime advances the time: by some ticks, to the next timer or slightly past it, by a pause, or by so long that
// idle state is dropped.
func (h *eventGenerator) advanceTime() {
	switch h.int("time", 16) {
	case 15:
		h.now += time.Duration(h.int("pause", 500)) * ms
	case 14:
		if h.chance("long", 6) {
			h.now += time.Duration(h.int("seconds", 15)) * time.Second
		}
	case 13, 12, 11, 10:
		if len(h.timerTimes) > 0 {
			h.now = max(h.now, slices.Min(h.timerTimes)+time.Duration(h.int("late", 3)-1)*ms)
		}
	case 9: // a second step at the same time
	default:
		h.now += time.Duration(1+h.int("ticks", 8)) * 2 * ms
	}
}

func (h *eventGenerator) applyActions(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case SetTimer:
			h.timerTimes = append(h.timerTimes, h.now+a.Wait)
		case Send:
			h.inFlight = append(h.inFlight, attempt{a, h.attempts[a.Request], h.now})
			h.attempts[a.Request]++
		case Reject, Fail:
			h.openRequests = slices.DeleteFunc(h.openRequests, func(id string) bool { return id == a.Request })
		}
	}
}

// coverage counts what the event sequences contained, so that the comparison does not pass for lack of cases.
var coverage = map[string]int{}

func countCoverage(what string, count int) { coverage[what] += count }

// TestEqualActions guards against unintended changes of decisions: over random event sequences the current scheduler
// must return the same actions as the reference in each step, and the same answers to all other queries.
func TestEqualActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, seed := drawSettings(t), rapid.Uint64Range(0, 99).Draw(t, "seed")
		then, today := set, set
		var rations [2]fakeQuota
		if rapid.Bool().Draw(t, "quota") {
			answers := make([]time.Duration, 7)
			for i := range answers { // negative: no quota covers the resource
				answers[i] = time.Duration([]int{0, 0, 0, -1, -1, 0, 30}[rapid.IntRange(0, 6).Draw(t, "quota wait")]) * ms
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
		h := &eventGenerator{t: t, now: time.Hour, maxEndpoints: rapid.IntRange(1, 24).Draw(t, "nodes"), shards: rapid.IntRange(1, 16).Draw(t, "shards"),
			fewShards: rapid.Bool().Draw(t, "few"), endpoints: map[string]Endpoint{}, attempts: map[string]int{}}
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			h.advanceTime()
			events := h.drawEvents(set)
			want := old.Step(h.now, slices.Clone(events))
			// Adopting unchanged settings changes nothing, except that the step no longer consists of timers alone,
			// which may skip all work.
			isTimer := func(e Event) bool { _, is := e.(TimerFired); return is }
			if slices.ContainsFunc(events, func(e Event) bool { return !isTimer(e) }) && h.chance("settings repeated", 12) {
				events = slices.Insert(events, h.int("settings position", len(events)+1), Event(set))
				countCoverage("settings repeated", 1)
			}
			got := now.Step(h.now, events)
			if !slices.Equal(want, got) {
				t.Fatalf("at %v events\n%+v\ngive actions\n%+v\nwant\n%+v", h.now, events, got, want)
			}
			if !slices.Equal(rations[0].calls, rations[1].calls) {
				t.Fatalf("at %v the quota got different calls", h.now)
			}
			compareQueries(t, h, old, now)
			h.applyActions(got)
			countCoverage("steps", 1)
			for _, a := range got {
				countCoverage(fmt.Sprintf("kind %d", a.Kind), 1)
			}
		}
	})
	for what, least := range map[string]int{"kind 0": 10000, "kind 1": 10000, "kind 2": 1000, "kind 3": 10000, "kind 4": 100, "ejected": 5000, "named": 1000, "swept": 500, "settings repeated": 1000} {
		if coverage[what] < least {
			t.Errorf("%s: %d times, want at least %d", what, coverage[what], least)
		}
	}
	t.Log(coverage)
}

// compareQueries compares the queries between two steps. EndpointFor draws from the same random source as placement.
func compareQueries(t *rapid.T, h *eventGenerator, old, now policyScheduler) {
	if h.chance("ejected", 3) {
		if a, b := old.EjectedCount(), now.EjectedCount(); a != b {
			t.Fatalf("at %v %d ejected, want %d", h.now, b, a)
		}
		ids := old.EjectedEndpoints()
		if got := now.EjectedEndpoints(); !slices.Equal(ids, got) {
			t.Fatalf("at %v ejected %v, want %v", h.now, got, ids)
		}
		countCoverage("ejected", len(ids))
	}
	if h.chance("endpoint for", 6) {
		shard := h.int("asked shard", h.shards+2) - 1
		a, b := old.EndpointFor(shard), now.EndpointFor(shard)
		if a != b {
			t.Fatalf("at %v shard %d is at %q, want %q", h.now, shard, b, a)
		}
		if a != "" {
			countCoverage("named", 1)
		}
	}
	if s := old.(*Scheduler); s.sweptAt == h.now {
		countCoverage("swept", 1)
	}
	if math.IsNaN(old.(*Scheduler).warmServiceTime) {
		t.Fatal("the warm service time is not a number")
	}
}
