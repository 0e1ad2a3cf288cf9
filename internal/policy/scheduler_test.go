package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// testSettings returns settings with one idempotent class, one plan of 10 units per second and no rules.
func testSettings() Settings {
	return Settings{
		Initiators: 1, MinStep: ms, MeanUnits: 1, MaxUnits: 1, UsagePeriod: time.Second,
		Classes: []Class{{Name: "get", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []Plan{{Name: "std", Rate: 10, ReservedRate: 10, Weight: 1, PriorityFactor: 1}},
	}
}

// harness steps one scheduler and records its actions.
type harness struct {
	t        *testing.T
	s        *Scheduler
	now      time.Duration
	sends    []Action
	sentAt   []time.Duration
	ends     []Action
	attempts map[string]int
}

func newHarness(t *testing.T, set Settings, endpoints ...Endpoint) *harness {
	t.Helper()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, s: s, now: time.Second, attempts: map[string]int{}}
	s.Step(0, nil) // the process has run for a second, so that it is known what it sent to endpoints that start now
	h.step(EndpointList{Full: true, Endpoints: endpoints})
	return h
}

func (h *harness) step(events ...Event) []Action {
	out := h.s.Step(h.now, events)
	for _, a := range out {
		switch a.Kind {
		case Send:
			h.sends, h.sentAt = append(h.sends, a), append(h.sentAt, h.now)
			h.attempts[a.Request]++
		case Reject, Fail:
			h.ends = append(h.ends, a)
		}
	}
	return out
}

// advance advances the time by d and steps with a timer event every 5 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 5 * ms
		h.step(TimerFired{})
	}
}

func (h *harness) endAttempt(id string, code OutcomeCode, latency time.Duration) {
	h.step(Outcome{ID: id, Attempt: h.attempts[id] - 1, Code: code, Latency: latency, Final: code == Served})
}

func (h *harness) sentIDs() []string {
	var ids []string
	for _, a := range h.sends {
		ids = append(ids, a.Request)
	}
	return ids
}

func testRequest(id, vol string, units float64) Request {
	return Request{ID: id, Class: "get", Plan: "std", Volume: vol, Units: units, VolumeInitiators: 1, TimeLeft: 2 * time.Second}
}

func upEndpoint(id string, shard int) Endpoint { return Endpoint{ID: id, Shard: shard} }

// TestStartTagCases checks the three cases of the start tag against values computed by hand, for a bucket
// of 11 units (one second of the rate and one largest request) and 10 units per second.
func TestStartTagCases(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []float64 // units of earlier requests at the same time
		units  float64
		start  time.Duration // after now
		left   float64
	}{
		{"bucket covers the request: now", nil, 4, 0, 7},
		{"bucket covers a part: when it covers the rest", []float64{8}, 5, 200 * ms, -2},
		{"bucket empty: after the largest start tag", []float64{8, 5}, 3, 500 * ms, -5},
		{"bucket exactly empty: after the largest start tag", []float64{11}, 2, 200 * ms, -2},
	} {
		h := newHarness(t, testSettings()) // no endpoint: nothing is sent
		for i, u := range c.before {
			h.step(testRequest(string(rune('a'+i)), "v", u))
		}
		h.step(testRequest("x", "v", c.units))
		x := h.s.requests["x"]
		if got := (x.startTag - h.now).Round(time.Microsecond); got != c.start {
			t.Errorf("%s: start tag %v after now, want %v", c.name, got, c.start)
		}
		if x.finishTag-x.startTag != 400*ms {
			t.Errorf("%s: finish tag %v after the start tag, want the objective", c.name, x.finishTag-x.startTag)
		}
		if got := x.volume.tokens; got < c.left-1e-9 || got > c.left+1e-9 {
			t.Errorf("%s: %v tokens left, want %v", c.name, got, c.left)
		}
	}
}

// TestNewRejectsInvalidSettings checks that New returns an error for invalid settings.
func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no class":                func(s *Settings) { s.Classes = nil },
		"no plan":                 func(s *Settings) { s.Plans = nil },
		"no initiator":            func(s *Settings) { s.Initiators = 0 },
		"class without objective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
	} {
		set := testSettings()
		invalidate(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}

// TestQueuedRequestIsRejectedInTime checks that a request for a shard that no endpoint holds is rejected
// before its client's time ends.
func TestQueuedRequestIsRejectedInTime(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 1))
	q := testRequest("a", "v", 1)
	q.TimeLeft = 100 * ms
	h.step(q)
	h.advance(98 * ms)
	if len(h.sends) != 0 || len(h.ends) != 1 || h.ends[0].Kind != Reject {
		t.Fatalf("sends %v, ends %v; want one Reject", h.sends, h.ends)
	}
}

// TestDrainingEndpointGetsNoRequest checks that a draining endpoint gets no request, and that the new
// endpoint of the shard gets the queued one.
func TestDrainingEndpointGetsNoRequest(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("old", 0))
	h.step(EndpointList{Endpoints: []Endpoint{{ID: "old", State: Draining}}}, testRequest("a", "v", 1))
	h.advance(50 * ms)
	if len(h.sends) != 0 {
		t.Fatalf("sent to a draining endpoint: %v", h.sends)
	}
	h.step(EndpointList{Endpoints: []Endpoint{upEndpoint("new", 0)}})
	if len(h.sends) != 1 || h.sends[0].Endpoint != "new" {
		t.Fatalf("sends %v, want one to the new endpoint", h.sends)
	}
}

// TestLatencyEstimateDecays guards against a feedback loop of the first incidents: after one slow answer
// all requests were expected to miss their objectives, nothing was sent, and so no answer ever corrected
// the estimate.
func TestLatencyEstimateDecays(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	for i := range 5 {
		id := string(rune('a' + i))
		h.step(testRequest(id, "v", 1))
		h.now += 30 * ms
		h.endAttempt(id, Served, 30*ms)
	}
	h.step(testRequest("slow", "v", 1))
	h.now += 5 * time.Second
	h.endAttempt("slow", Served, 5*time.Second)
	h.now += 10 * time.Second // long enough for the estimate to decay
	h.step(testRequest("next", "v", 1))
	if got := h.sentIDs(); got[len(got)-1] != "next" {
		t.Fatalf("sent %v, want the next request sent at once", got)
	}
	if h.s.requests["next"].unservable {
		t.Fatal("the next request counts as past its objective")
	}
}

// TestOverloadDefersLeastValuable checks that under overload the class of lower value is deferred although
// its finish tag is earlier, and that the requests that are not deferred can be served in time.
func TestOverloadDefersLeastValuable(t *testing.T) {
	set := testSettings()
	set.Classes[0].PriorityWeight = 1
	set.Classes = append(set.Classes, Class{Name: "dear", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 3})
	set.Plans[0].PriorityFactor = 1
	h := newHarness(t, set, upEndpoint("n", 0))
	h.step(testRequest("warm", "v", 1))
	h.advance(300 * ms)
	h.endAttempt("warm", Served, 300*ms)
	ep := h.s.byID["n"]
	ep.concurrencyLimit = 1
	a, b, c := testRequest("cheap1", "v", 1), testRequest("cheap2", "w", 1), testRequest("dear", "x", 1)
	c.Class = "dear"
	h.step(a, b, c)
	if got := h.sentIDs(); len(got) != 2 || got[1] != "dear" {
		t.Fatalf("sent %v, want the most valuable of three requests, since only one can be served in time", got)
	}
}

// TestShortTimeoutIsNotTakenForRetry guards against incident i4c00f7: when all clients used a tenth of
// their usual timeout, every request was taken for a late retry and queued until it was rejected.
func TestShortTimeoutIsNotTakenForRetry(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	h.step(testRequest("full", "v", 1))
	h.now += 20 * ms
	h.endAttempt("full", Served, 20*ms)
	for i := range 40 {
		q := testRequest(string(rune('A'+i)), "v", 1)
		q.TimeLeft = 200 * ms
		h.step(q)
		h.now += 20 * ms
		if h.attempts[q.ID] > 0 {
			h.endAttempt(q.ID, Served, 20*ms)
		}
	}
	if got := len(h.sends); got < 25 {
		t.Fatalf("%d of 41 requests sent", got)
	}
}

// TestQuickErrorsCountLess guards against lost throughput at endpoints that fail some of their requests
// quickly: three errors in a row must not limit an endpoint to one attempt at a time, while twelve must.
func TestQuickErrorsCountLess(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	ep := h.s.byID["n"]
	for i := range 12 {
		id := string(rune('a' + i))
		h.now += time.Second
		h.step(testRequest(id, "v", 1))
		h.endAttempt(id, AnsweredError, ms)
		h.step(ClientGone{ID: id})
		if got, want := h.s.isFaulty(ep), i >= 11; got != want {
			t.Fatalf("after %d errors faulty is %v, want %v", i+1, got, want)
		}
	}
}

// TestSilentEndpointGetsOneAttempt checks that an endpoint that does not answer gets one attempt at a time
// that is not overdue, and more again from its first answer on.
func TestSilentEndpointGetsOneAttempt(t *testing.T) {
	set := testSettings()
	set.Initiators = 4 // so that each initiator's share of the endpoint's concurrency is one request
	h := newHarness(t, set, upEndpoint("n", 0))
	h.step(testRequest("a", "v", 1), testRequest("b", "v", 1))
	h.now += 500 * ms
	for i := range 5 {
		h.step(testRequest(string(rune('p'+i)), "w", 1))
	}
	if got := h.sentIDs(); len(got) != 3 {
		t.Fatalf("sent %v, want the two unanswered ones and one trial", got)
	}
	h.now += 10 * ms
	h.endAttempt("p", Served, 10*ms)
	if got := h.sentIDs(); len(got) != 4 {
		t.Fatalf("sent %v, want one more after the trial's answer", got)
	}
}

// TestUseOfSpareCapacityIsNotPenalized is the first example of the fair queuing paper: a client that has
// used spare capacity is not starved when the other client sends requests again.
func TestUseOfSpareCapacityIsNotPenalized(t *testing.T) {
	set := testSettings()
	set.Classes[0] = Class{Name: "get", LatencyObjective: 10 * time.Second, Deadline: 60 * time.Second}
	set.Plans[0].Rate, set.Plans[0].ReservedRate = 50, 50
	h := newHarness(t, set, upEndpoint("n", 0))
	ep := h.s.byID["n"]
	addRequests := func(vol string, count int) {
		for range count {
			q := testRequest(vol+string(rune(0x4e00+len(h.s.requests)+len(h.sends))), vol, 1)
			q.TimeLeft = time.Minute
			h.step(q)
		}
	}
	served := map[byte]int{}
	serveSteps := func(steps int) { // the endpoint serves one request each 10 ms, in the order sent
		for range steps {
			h.now += 10 * ms
			ep.concurrencyLimit = 1
			if len(ep.inFlight) > 0 {
				id := ep.inFlight[0].ID
				served[id[0]]++
				h.endAttempt(id, Served, 10*ms)
			}
		}
	}
	addRequests("1", 200)
	serveSteps(200)
	if served['1'] < 195 {
		t.Fatalf("%d of 200 served from spare capacity", served['1'])
	}
	served = map[byte]int{}
	addRequests("2", 100)
	for range 50 {
		addRequests("1", 1)
		serveSteps(2)
	}
	if served['1'] < 20 || served['2'] < 20 {
		t.Fatalf("in the second thereafter: %v served, want neither client starved", served)
	}
}

// TestLoadReportsIndicateQueue guards against two faults: requests that an endpoint serves concurrently were taken for a queue, so
// that endpoints idled; and a report that was never renewed kept its full weight for ever.
func TestLoadReportsIndicateQueue(t *testing.T) {
	for _, c := range []struct {
		name string
		load Load
		gap  time.Duration
		want float64
	}{
		{"requests served concurrently", Load{Queued: -1, InFlight: 3}, 0, 0.05},
		{"four more than served concurrently", Load{Queued: -1, InFlight: freeLoad + 4}, 0, 0.05 * (1 + 4*latencyPerLoad)},
		{"four waiting", Load{Queued: 4, InFlight: 30}, 0, 0.05 * (1 + 4*latencyPerLoad)},
		{"no new report for a long time", Load{Queued: 4, InFlight: -1}, 30 * time.Second, 0.05},
	} {
		h := newHarness(t, testSettings(), upEndpoint("n", 0))
		h.step(testRequest("a", "v", 1))
		h.now += 50 * ms
		h.step(Outcome{ID: "a", Code: Served, Latency: 50 * ms, Final: true, Load: &c.load})
		h.now += c.gap
		h.step()
		if got := h.s.expectedLatency(h.s.byID["n"]); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%s: %.4f s expected, want %.4f", c.name, got, c.want)
		}
	}
}

// TestAnswerAfterGapHasFullWeight guards against an old latency estimate that outweighs a new answer after a long gap, at an
// initiator that gets an answer only every few seconds.
func TestAnswerAfterGapHasFullWeight(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	for i, latency := range []time.Duration{50 * ms, 50 * ms, 600 * ms} {
		id := fmt.Sprintf("a%d", i)
		h.advance(10 * time.Second)
		h.step(testRequest(id, "v", 1))
		h.advance(latency)
		h.endAttempt(id, Served, latency)
	}
	if got := h.s.expectedLatency(h.s.byID["n"]); got < 0.5 {
		t.Fatalf("%.2f s expected after an answer in 0.6 s, long after the previous ones", got)
	}
}

// TestTimerFiresEarly guards against a lost request found by hunt --rules: the timer fired a fraction of a microsecond
// early, nothing was due yet, and no other timer was set.
func TestTimerFiresEarly(t *testing.T) {
	h := newHarness(t, testSettings()) // no endpoint: queued until it is rejected
	q := testRequest("a", "v", 1)
	h.step(q)
	for end := h.now + q.TimeLeft; h.now < end; {
		wait := time.Duration(-1)
		for _, a := range h.step(TimerFired{}) {
			if a.Kind == SetTimer {
				wait = a.Wait
			}
		}
		if wait < 0 {
			break
		}
		h.now += wait - time.Nanosecond
	}
	if len(h.ends) != 1 {
		t.Fatalf("no final answer by %v, and no timer is set", h.now)
	}
}

// TestPauseOfThisProcess guards against attributing a pause of this process to the endpoint: the objective of a
// request that arrived during the pause is shortened by its wait, and an answer read after the pause does not change
// the latency estimate.
func TestPauseOfThisProcess(t *testing.T) {
	for _, c := range []struct {
		name      string
		paused    bool
		objective time.Duration
		updates   bool
	}{
		{"timers fired", false, 400 * ms, true},
		{"paused", true, 100 * ms, false},
	} {
		h := newHarness(t, testSettings(), upEndpoint("n", 0))
		h.step(testRequest("a", "v", 1))
		h.advance(50 * ms)
		h.endAttempt("a", Served, 50*ms)
		h.step(testRequest("b", "v", 1))
		if c.paused {
			h.now += 600 * ms
		} else {
			h.advance(600 * ms)
		}
		q := testRequest("c", "v", 1)
		q.TimeLeft -= 300 * ms
		h.step(q, Outcome{ID: "b", Code: Served, Latency: 600 * ms, Final: true})
		if got := h.s.requests["c"].objectiveAt - h.now; got != c.objective {
			t.Errorf("%s: objective in %v, want %v", c.name, got, c.objective)
		}
		if got := h.s.byID["n"].latency > 0.06; got != c.updates {
			t.Errorf("%s: estimate updated: %v, want %v", c.name, got, c.updates)
		}
	}
}

// TestShortDeadlineIsNoFailure guards against counting an attempt that a client's short deadline ended as a failure of the endpoint.
func TestShortDeadlineIsNoFailure(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	for i := range 5 {
		q := testRequest(fmt.Sprintf("a%d", i), "v", 1)
		q.TimeLeft = 60 * ms
		h.step(q)
		h.now += 60 * ms
		h.endAttempt(q.ID, TimedOut, 60*ms)
	}
	if h.s.isFaulty(h.s.byID["n"]) {
		t.Fatal("five attempts with short deadlines make the endpoint faulty")
	}
}

// TestStateIsBounded simulates hours in which volumes, extents and endpoints come and go, and checks that the kept state is bounded.
func TestStateIsBounded(t *testing.T) {
	for _, budget := range []bool{false, true} {
		set := testSettings()
		set.Rules.RetryBudget, set.Rules.RetryBudgetWindow, set.Rules.RetryBudgetFree = budget, time.Second, 3
		set.Classes[0].Ordered, set.Rules.OrderedQuietTime = true, 100*ms
		h := newHarness(t, set, upEndpoint("n0", 0))
		for i := range 4000 {
			if i%10 == 0 {
				h.step(EndpointList{Full: true, Endpoints: []Endpoint{{ID: fmt.Sprintf("n%d", i), Started: h.now - time.Hour}}})
			}
			q := testRequest(fmt.Sprintf("r%d", i), fmt.Sprintf("v%d", i), 1)
			q.Extent = fmt.Sprintf("k%d", i)
			h.step(q)
			h.now += 20 * ms
			if h.attempts[q.ID] > 0 {
				h.endAttempt(q.ID, []OutcomeCode{Served, ConnectionReset}[i%2], 20*ms)
			}
			for range 5 {
				h.now += time.Second
				h.step(TimerFired{})
			}
			for _, a := range h.sends {
				if h.s.requests[a.Request] != nil && h.s.requests[a.Request].inFlightAt != nil {
					h.endAttempt(a.Request, Served, time.Second)
				}
			}
			h.sends = nil
		}
		s := h.s
		for name, size := range map[string]int{"requests": len(s.requests), "recent requests": len(s.recentRequests), "recent retries": len(s.recentRetries),
			"unserved": len(s.unserved), "unserved in order": len(s.unservedInOrder), "deadlines": len(s.deadlines)} {
			if size > 10 {
				t.Errorf("budget %v: %d %s kept", budget, size, name)
			}
		}
		for name, size := range map[string]int{"volumes": len(s.volumes), "extents": len(s.orderedExtents), "endpoints": len(s.endpoints),
			"endpoints by id": len(s.byID), "flows": len(s.queues[0].flows), "flows by volume": len(s.queues[0].flowByVolume)} {
			if size > 250 {
				t.Errorf("budget %v: %d %s kept of 4000", budget, size, name)
			}
		}
	}
}

// TestSettingsAreCopied checks that a caller may reuse the slices of its settings.
func TestSettingsAreCopied(t *testing.T) {
	set := testSettings()
	h := newHarness(t, set, upEndpoint("n", 0))
	set.Classes[0].LatencyObjective, set.Plans[0].Rate = 0, 0
	h.step(testRequest("a", "v", 1))
	if h.s.classes["get"].LatencyObjective != 400*ms || h.s.plans["std"].Rate != 10 {
		t.Fatal("the settings changed with the caller's slices")
	}
}

// TestConcurrencyLimitGrowsWithoutCongestion guards against lost throughput at low load: the limit stayed at one while
// the endpoint's cores idled, until requests became late. Under congestion the same latencies must keep the limit lower.
func TestConcurrencyLimitGrowsWithoutCongestion(t *testing.T) {
	limitAfter := func(congested bool) float64 {
		set := testSettings()
		set.Initiators = 8 // so that its share of the endpoint's concurrency is below either limit
		h := newHarness(t, set, upEndpoint("n", 0))
		ep := h.s.byID["n"]
		h.advance(time.Minute)
		for i := range 60 {
			if congested {
				ep.congestedAt = h.now
			}
			a, b := testRequest(fmt.Sprintf("a%d", i), "v", 1), testRequest(fmt.Sprintf("b%d", i), "w", 1)
			h.step(a, b)
			latency := time.Duration(20+15*(i%4)) * ms
			h.advance(latency)
			for _, q := range slices.Clone(ep.inFlight) {
				h.endAttempt(q.ID, Served, latency)
			}
			h.advance(100 * ms)
		}
		return ep.concurrencyLimit
	}
	if uncongestedLimit, congestedLimit := limitAfter(false), limitAfter(true); uncongestedLimit <= congestedLimit {
		t.Fatalf("limit %.2f without congestion, %.2f with; want it higher without", uncongestedLimit, congestedLimit)
	}
}

// TestColdEndpointInLargeFleet guards against incident i67078b: with hundreds of initiators the even share of a cold
// endpoint's capacity is less than one request, and nothing was sent to restarted endpoints until they were warm. So many
// initiators as half of the capacity allows may send one request per window, and more as the endpoint warms up; which
// ones they are differs for each endpoint.
func TestColdEndpointInLargeFleet(t *testing.T) {
	firstSends, senders := map[time.Duration]bool{}, 0
	for index := range 200 {
		set := testSettings()
		set.Initiators, set.InitiatorIndex, set.ColdUnitsPerWindow = 200, index+1, 10
		set.Rules = Rules{ColdCapacityFraction: 0.2, WarmUpTime: 10 * time.Second, OverloadWindow: time.Second, OverloadFactor: 3}
		h := newHarness(t, set, upEndpoint("n", 0))
		h.step(EndpointList{Endpoints: []Endpoint{{ID: "n", Started: h.now - time.Millisecond}}})
		listedAt := h.now
		first, sent := time.Duration(0), []time.Duration{}
		for i := range 400 {
			q := testRequest(fmt.Sprintf("r%d", i), "v", 1)
			h.step(q)
			if n := len(h.sends); n > len(sent) {
				sent = append(sent, h.now)
				if first == 0 {
					first = h.now - listedAt + 1
				}
			}
			h.advance(15 * ms)
		}
		if first > 0 {
			senders++
			firstSends[first.Round(100*ms)] = true
		}
		for i := 1; i < len(sent); i++ {
			if sent[i]-sent[i-1] < time.Second-20*ms { // observed every 15 ms
				t.Errorf("initiator %d: two requests to a cold endpoint without answers within a window", index)
			}
		}
	}
	// After 6 s its capacity is 34 units per window. Half of them, and half of the allowance for chance, are for one initiator each.
	if senders < 20 || senders > 24 {
		t.Errorf("%d of 200 initiators sent in 6 s, want 20 to 24", senders)
	}
	if len(firstSends) < 4 {
		t.Errorf("the initiators' first sends are at too few different times: %v", firstSends)
	}
}

// TestColdEndpointLoadReportsInLargeFleet guards against a fault seen in fleet runs: with 80 initiators, one request per
// 3 s from each left cold endpoints idle, with 0.3 requests in flight, while most requests for them were rejected. The
// load report of a cold endpoint covers all initiators: few requests in flight allow the next one, many do not.
func TestColdEndpointLoadReportsInLargeFleet(t *testing.T) {
	for _, c := range []struct {
		load *Load
		want int
	}{{&Load{Queued: -1, InFlight: 1}, 10}, {&Load{Queued: -1, InFlight: 30}, 1}, {nil, 1}} {
		set := testSettings()
		set.Initiators, set.ColdUnitsPerWindow = 200, 10
		set.Rules = Rules{ColdCapacityFraction: 0.2, WarmUpTime: 10 * time.Second, OverloadWindow: time.Second, OverloadFactor: 3}
		h := newHarness(t, set, upEndpoint("n", 0))
		h.s.initiatorIndex = 0
		for h.s.initiatorRank(&endpoint{Endpoint: upEndpoint("n", 0)}) > 0.01 { // one of the initiators that send first to this endpoint
			h.s.initiatorIndex++
		}
		h.advance(20 * time.Second)
		h.step(EndpointList{Endpoints: []Endpoint{{ID: "n", Started: h.now - time.Millisecond}}})
		began := len(h.sends)
		for i := range 10 {
			id := fmt.Sprintf("r%d", i)
			h.step(testRequest(id, "v", 1), testRequest(id+"b", "w", 1))
			if inFlight := len(h.s.byID["n"].inFlight); inFlight > 1 {
				t.Errorf("%+v: %d in flight at a cold endpoint", c.load, inFlight)
			}
			h.now += 40 * ms
			for _, q := range h.s.byID["n"].inFlight {
				h.step(Outcome{ID: q.ID, Attempt: h.attempts[q.ID] - 1, Code: Served, Latency: 40 * ms, Final: true, Load: c.load})
			}
		}
		if got := len(h.sends) - began; got < c.want || c.want == 1 && got > 1 {
			t.Errorf("%+v: %d sent in 0.4 s, want %d", c.load, got, c.want)
		}
	}
}

// TestConnectCostDelaysNewConnections guards against a fault seen in fleet runs: 80 initiators opened two or more connections
// to each of their endpoints, for requests that had time to wait for the first, although the settings give each new
// connection a cost.
func TestConnectCostDelaysNewConnections(t *testing.T) {
	set := testSettings()
	h := newHarness(t, set, upEndpoint("n", 0))
	h.step(testRequest("a", "v", 1), testRequest("b", "v", 1))
	if len(h.sends) != 2 {
		t.Fatalf("%d of 2 sent at once without a connect cost", len(h.sends))
	}
	set.ConnectCost = 0.08
	h = newHarness(t, set, upEndpoint("n", 0))
	h.step(testRequest("a", "v", 1), testRequest("b", "v", 1))
	h.advance(100 * ms)
	if len(h.sends) != 1 {
		t.Fatalf("%d sent 100 ms into an objective of 400 ms, want 1 on the one connection", len(h.sends))
	}
	h.advance(120 * ms)
	if len(h.sends) != 2 {
		t.Fatalf("%d sent past half of the objective, want the second one on a new connection", len(h.sends))
	}
	h.endAttempt("a", Served, 220*ms)
	h.endAttempt("b", Served, 20*ms)
	h.step(testRequest("c", "v", 1), testRequest("d", "v", 1))
	if len(h.sends) != 4 {
		t.Errorf("%d of 2 more sent at once on the two existing connections", len(h.sends)-2)
	}
}

// TestImplausibleLoadReports checks that implausible load reports change nothing, also that of an endpoint that has not
// answered before.
func TestImplausibleLoadReports(t *testing.T) {
	for _, load := range []*Load{nil, {Queued: -1, InFlight: -1}, {Queued: 1e300, InFlight: -1}, {Queued: math.Inf(1)},
		{Queued: math.NaN(), InFlight: math.NaN()}, {Queued: -7, InFlight: -1e9}} {
		h := newHarness(t, testSettings(), upEndpoint("n", 0))
		for i := range 3 {
			id := fmt.Sprintf("a%d", i)
			h.step(testRequest(id, "v", 1))
			h.now += 40 * ms
			h.step(Outcome{ID: id, Code: Served, Latency: 40 * ms, Final: true, Load: load})
		}
		if got := h.s.expectedLatency(h.s.byID["n"]); got < 0.039 || got > 0.041 {
			t.Errorf("%+v: %v s expected, want the 40 ms of the answers", load, got)
		}
		if len(h.sends) != 3 {
			t.Errorf("%+v: %d of 3 sent", load, len(h.sends))
		}
	}
}

// TestRejectedByHalfOfItsTime checks that a request without an attempt is rejected before half of its time has passed,
// with the wait after which a retry makes sense: queueing it longer costs its client the time for a retry elsewhere.
func TestRejectedByHalfOfItsTime(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 1)) // no endpoint holds shard 0
	q := testRequest("a", "v", 1)
	q.TimeLeft = time.Second
	h.step(q)
	h.advance(500 * ms)
	if len(h.ends) != 1 || h.ends[0].Kind != Reject {
		t.Fatalf("ends %v by half of the time, want one Reject", h.ends)
	}
}

// TestFullEndpointSkipsQueueScan guards against lost throughput, seen at 600 requests per second on a quarter of a core:
// each event scanned all requests queued for a full endpoint. A scan is needed only if a queued request continues the
// last extent.
func TestFullEndpointSkipsQueueScan(t *testing.T) {
	for _, extent := range []string{"other", "same"} {
		h := newHarness(t, testSettings(), upEndpoint("n", 0))
		h.s.byID["n"].concurrencyLimit = 1
		inFlight := testRequest("out", "v", 1)
		inFlight.Extent = "same"
		h.step(inFlight)
		h.s.sendable = nil
		queued := testRequest("held", "w", 1)
		queued.Extent = extent
		h.step(queued)
		if scanned := h.s.sendable != nil; scanned != (extent == "same") || scanned != (len(h.sends) == 2) {
			t.Errorf("queued request of extent %q: scanned %v, sent %v", extent, scanned, h.sentIDs())
		}
	}
}

// TestConcurrencyLimitFloorWithFewInitiators guards against idle cores where only two initiators share the endpoints:
// however slow the answers, each keeps its even share of the requests that an endpoint serves concurrently.
func TestConcurrencyLimitFloorWithFewInitiators(t *testing.T) {
	for initiators, want := range map[int]float64{1: 4, 2: 2, 8: 1} {
		set := testSettings()
		set.Initiators = initiators
		h := newHarness(t, set, upEndpoint("n", 0))
		h.s.byID["n"].concurrencyLimit = 6
		for i := range 80 {
			id := fmt.Sprintf("a%d", i)
			h.step(testRequest(id, "v", 1))
			latency := time.Duration(10+i*5) * ms
			h.advance(latency)
			h.s.byID["n"].congestedAt = h.now
			h.endAttempt(id, Served, latency)
		}
		if got := math.Round(h.s.byID["n"].concurrencyLimit); got != want {
			t.Errorf("%d initiators: limit %v after increasingly slow answers, want %v", initiators, got, want)
		}
	}
}

// TestSlowFirstAnswerDoesNotBlockClass guards against a feedback loop at an endpoint whose first answer took longer than the
// objective: every later request expired at once, so that no answer could ever show that the endpoint is fast again.
func TestSlowFirstAnswerDoesNotBlockClass(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	h.step(testRequest("slow", "v", 1))
	h.advance(900 * ms)
	h.endAttempt("slow", Served, 900*ms)
	h.step(testRequest("lapsed", "v", 1))
	if len(h.ends) != 1 || h.ends[0].Request != "lapsed" {
		t.Fatalf("ends %v, want one rejected: the endpoint takes 900 ms", h.ends)
	}
	h.advance(3 * time.Second)
	h.step(testRequest("trial", "v", 1))
	if got := h.sentIDs(); !slices.Contains(got, "trial") {
		t.Errorf("sent %v, want a trial after some time without an answer", got)
	}
}

// TestRejectedAtObjective guards against requests that stay queued after their objective, with or without an earlier
// attempt: each occupies one of the few connections of its client. Until its objective a request whose attempt the
// endpoint rejected stays queued.
func TestRejectedAtObjective(t *testing.T) {
	for _, sent := range []bool{false, true} {
		h := newHarness(t, testSettings(), upEndpoint("n", 0))
		if !sent {
			h.step(EndpointList{Endpoints: []Endpoint{{ID: "n", State: Draining}}})
		}
		h.step(testRequest("a", "v", 1))
		if sent {
			h.endAttempt("a", Rejected, ms)
			h.step(EndpointList{Endpoints: []Endpoint{{ID: "n", State: Draining}}})
		}
		h.advance(380 * ms)
		if len(h.ends) != 0 {
			t.Errorf("sent %v: ended %v within the objective", sent, h.ends)
		}
		h.advance(30 * ms)
		if len(h.ends) != 1 || h.ends[0].Kind != Reject || h.ends[0].Wait < 1500*ms {
			t.Errorf("sent %v: ends %v past the objective, want one Reject with a wait until the client's deadline", sent, h.ends)
		}
	}
}

// TestExpiresBeforeObjective checks that a request that a busy endpoint can no longer serve in time is rejected before its
// objective ends, and that its units are refunded to its volume.
func TestExpiresBeforeObjective(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	h.step(testRequest("warm", "v", 1))
	h.advance(200 * ms)
	h.endAttempt("warm", Served, 200*ms)
	h.s.byID["n"].concurrencyLimit = 1
	h.step(testRequest("first", "v", 1), testRequest("next", "w", 1))
	before := h.s.volumes["w"].tokens
	h.advance(250 * ms)
	h.endAttempt("first", Served, 250*ms)
	if len(h.ends) != 1 || h.ends[0].Request != "next" || h.ends[0].Kind != Reject {
		t.Fatalf("ends %v, want next rejected: 200 ms of work do not fit into the remaining 150 ms", h.ends)
	}
	if got := h.s.volumes["w"].tokens; got != before+1 {
		t.Errorf("%v tokens after %v, want one refunded", got, before)
	}
}

// TestRetryNearDedupWindowEnd ends an attempt with an idempotency key by a connection reset at every millisecond around the end of the
// deduplication window. A retry is sent only within the window, with the time until which it may be written, and only to an endpoint
// in the deduplication scope. If no retry is possible any more, the request ends at once.
func TestRetryNearDedupWindowEnd(t *testing.T) {
	const window = 300 * ms
	for _, scope := range []DedupScope{DedupFleet, DedupZone, DedupShard} {
		retried, notRetried := 0, 0
		for endedAfter := 200 * ms; endedAfter < window+20*ms; endedAfter += ms {
			set := testSettings()
			set.Classes[0].Effect, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = IdempotentWithKey, scope, window
			h := newHarness(t, set, Endpoint{ID: "n", Zone: "a"})
			x := testRequest("x", "v", 1)
			x.Extent = "e"
			h.step(x)
			sent := h.now
			h.now += endedAfter
			h.endAttempt("x", ConnectionReset, endedAfter)
			next, sameZone := Endpoint{ID: "m", Zone: "b"}, endedAfter%(2*ms) == 0
			if sameZone {
				next.Zone = "a"
			}
			h.step(EndpointList{Full: true, Endpoints: []Endpoint{next}})
			h.advance(500 * ms)
			if len(h.sends) == 1 {
				notRetried++
				if len(h.ends) != 1 || (h.ends[0].Kind == Reject) != (scope == DedupFleet) {
					t.Errorf("scope %v, reset after %v: ends %+v", scope, endedAfter, h.ends)
				}
				continue
			}
			retried++
			if a := h.sends[1]; a.SendWithin <= 0 || h.sentAt[1]+a.SendWithin >= sent+window || scope != DedupFleet && !sameZone {
				t.Errorf("scope %v, reset after %v: retried at %v, may be written for %v", scope, endedAfter, h.sentAt[1]-sent, a.SendWithin)
			}
		}
		if retried < 10 || notRetried < 10 {
			t.Errorf("scope %v: %d retried, %d not", scope, retried, notRetried)
		}
	}
}

// TestRetryPastObjectiveIsRejectedAtOnce checks that a client's retry of a rejected request that arrives past the
// objective takes no tokens, and is rejected at once with a wait until the client's deadline.
func TestRetryPastObjectiveIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 1))
	q := testRequest("a", "v", 3)
	h.step(q)
	h.advance(time.Second)
	if len(h.ends) != 1 {
		t.Fatalf("ends %v, want the first try rejected", h.ends)
	}
	before := h.s.volumes["v"].tokens
	q.ID, q.TimeLeft = "b", 900*ms
	out := h.step(q)
	if len(h.ends) != 2 || h.ends[1].Kind != Reject || h.ends[1].Wait != 900*ms {
		t.Fatalf("second try: %v, want it rejected at once with a wait of 900ms", out)
	}
	if after := h.s.volumes["v"].tokens; after != before {
		t.Errorf("the second try changed the tokens from %v to %v", before, after)
	}
}

// TestNoSendAfterClientDisconnects disconnects the client in the same step as a late retry, while the request is queued, between
// attempts and during one: nothing is sent or answered from then on.
func TestNoSendAfterClientDisconnects(t *testing.T) {
	for name, before := range map[string]func(h *harness){
		"late retry": func(h *harness) {
			h.step(testRequest("first", "v", 3)) // no endpoint holds its shard
			h.advance(time.Second)
			q := testRequest("first", "v", 3)
			q.ID, q.TimeLeft = "a", 900*ms
			h.sends, h.ends = nil, nil
			h.step(q, ClientGone{ID: "a"})
		},
		"queued": func(h *harness) { h.step(testRequest("a", "v", 3)); h.step(ClientGone{ID: "a"}) },
		"between attempts": func(h *harness) {
			h.step(EndpointList{Endpoints: []Endpoint{upEndpoint("n", 0)}}, testRequest("a", "v", 3))
			h.endAttempt("a", AnsweredError, 5*ms)
			require.Len(t, h.sends, 1)
			h.step(ClientGone{ID: "a"})
		},
		"in flight": func(h *harness) {
			h.step(EndpointList{Endpoints: []Endpoint{upEndpoint("n", 0)}}, testRequest("a", "v", 3))
			h.step(ClientGone{ID: "a"})
			require.Len(t, h.sends, 1)
			h.endAttempt("a", ConnectionReset, 5*ms)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), upEndpoint("m", 1))
			before(h)
			sent := len(h.sends)
			h.step(EndpointList{Endpoints: []Endpoint{upEndpoint("n", 0)}})
			h.advance(3 * time.Second)
			require.Len(t, h.sends, sent, "sends after the client disconnected")
			require.Empty(t, h.ends)
			require.Empty(t, h.s.requests)
		})
	}
}

// TestUnsentAttemptIsRejectedByHalfTime checks that an attempt without a connection, or of which nothing was sent, does not
// extend the time until the request is rejected: it is half of the request's time, as without an attempt.
func TestUnsentAttemptIsRejectedByHalfTime(t *testing.T) {
	for _, code := range []OutcomeCode{NotConnected, NotSent} {
		h := newHarness(t, testSettings(), upEndpoint("n", 0))
		h.step(testRequest("a", "v", 1))
		h.endAttempt("a", code, ms)
		h.step(EndpointList{Endpoints: []Endpoint{{ID: "n", State: Draining}}})
		h.advance(time.Second)
		if len(h.ends) != 1 || h.ends[0].Kind != Reject {
			t.Errorf("code %v: ends %v by half of the time, want one Reject", code, h.ends)
		}
	}
}

// TestLongAttemptIsAnsweredOnce has an attempt in flight past the objective that the endpoint then rejects: the request gets one
// answer, at once.
func TestLongAttemptIsAnsweredOnce(t *testing.T) {
	h := newHarness(t, testSettings(), upEndpoint("n", 0))
	h.step(testRequest("a", "v", 1))
	h.advance(1500 * ms)
	if len(h.ends) != 0 {
		t.Errorf("ended %v with the attempt in flight", h.ends)
	}
	h.endAttempt("a", Rejected, 1500*ms)
	if len(h.ends) != 1 || h.ends[0].Kind != Reject {
		t.Errorf("ends %v, want one Reject", h.ends)
	}
	h.advance(time.Second)
	if len(h.ends) != 1 {
		t.Errorf("ends %v, want one", h.ends)
	}
}

// TestBoundEndpoint checks requests whose body was streamed to an endpoint before: they are sent to that endpoint only, and once. If
// the shard has another endpoint by then, they are rejected at once, since nothing has run.
func TestBoundEndpoint(t *testing.T) {
	bound := Request{ID: "1", Class: "get", Plan: "std", Volume: "v", Units: 1, VolumeInitiators: 1, TimeLeft: time.Second, BoundEndpoint: "a"}
	for _, shard := range []int{0, -1} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b", Shard: 1})
		if got := h.s.EndpointFor(1); got != "b" {
			t.Errorf("shard 1 is at %q, want b", got)
		}
		req := bound
		req.Shard = shard
		h.step(req)
		if len(h.sends) != 1 || h.sends[0].Endpoint != "a" {
			t.Fatalf("shard %d: sent %+v, want once to a", shard, h.sends)
		}
		h.step(Outcome{ID: "1", Endpoint: "a", Code: NotConnected})
		if h.advance(time.Second); len(h.sends) != 1 || len(h.ends) != 1 || h.ends[0].Kind != Reject {
			t.Errorf("shard %d: after the attempt: sends %+v, ends %+v", shard, h.sends, h.ends)
		}
	}
	h := newHarness(t, testSettings(), Endpoint{ID: "a", State: Draining}, Endpoint{ID: "b"})
	h.step(bound)
	if len(h.sends) != 0 || len(h.ends) != 1 || h.ends[0].Kind != Reject {
		t.Errorf("with another endpoint for the shard: sends %+v, ends %+v", h.sends, h.ends)
	}
}

// TestMissingIdempotencyKey checks that a request whose class requires an idempotency key, but that has none, is not retried after it
// may have run: no endpoint would drop the repeat.
func TestMissingIdempotencyKey(t *testing.T) {
	for _, missingKey := range []bool{false, true} {
		set := testSettings()
		set.Classes[0].Effect, set.Classes[0].DedupWindow = IdempotentWithKey, time.Minute
		h := newHarness(t, set, Endpoint{ID: "a"})
		h.step(Request{ID: "1", Class: "get", Plan: "std", Volume: "v", Units: 1, VolumeInitiators: 1, TimeLeft: time.Second, MissingKey: missingKey})
		h.step(Outcome{ID: "1", Endpoint: "a", Code: ConnectionReset})
		h.advance(time.Second)
		if !missingKey {
			if len(h.sends) < 2 {
				t.Error("with its key it is not retried")
			}
			continue
		}
		if len(h.sends) != 1 || len(h.ends) != 1 || h.ends[0].Kind != Fail {
			t.Errorf("without its key: sends %+v, ends %+v", h.sends, h.ends)
		}
	}
}

// TestProcessesShareLimits checks that the processes of an initiator share its limits, also for a while after one has exited.
func TestProcessesShareLimits(t *testing.T) {
	set := testSettings()
	set.ColdUnitsPerWindow = 4
	set.Rules = Rules{ColdCapacityFraction: 0.2, WarmUpTime: 20 * time.Second, OverloadWindow: 3 * time.Second, OverloadFactor: 4}
	sent := func(processCounts ...int) int {
		h := newHarness(t, set, Endpoint{ID: "a", Started: time.Second - 10*ms})
		for _, n := range processCounts {
			h.step(ProcessCount{Processes: n})
		}
		for i := range 8 {
			id := string(rune('a' + i))
			h.step(Request{ID: id, Class: "get", Plan: "std", Volume: id, Units: 1, VolumeInitiators: 1, TimeLeft: 2 * time.Second})
			if len(h.sends) > i {
				h.step(Outcome{ID: id, Endpoint: "a", Code: AnsweredError})
			}
		}
		return len(h.sends)
	}
	if alone, shared, afterExit := sent(), sent(2), sent(2, 1); shared >= alone || afterExit != shared {
		t.Errorf("%d sends alone, %d as one of two, %d just after the other has exited", alone, shared, afterExit)
	}
}
