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

// plain returns settings with one safe class, one plan of 10 units a second and no rules.
func plain() Settings {
	return Settings{
		Initiators: 1, MinStep: ms, MeanUnits: 1, MaxUnits: 1, UsagePeriod: time.Second,
		Classes: []Class{{Name: "get", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans:   []Plan{{Name: "std", Rate: 10, ReservedRate: 10, Weight: 1, PriorityFactor: 1}},
	}
}

// rig drives one scheduler and remembers what it asked for.
type rig struct {
	t      *testing.T
	s      *Scheduler
	now    time.Duration
	sends  []Action
	sentAt []time.Duration
	ends   []Action
	tries  map[string]int
}

func newRig(t *testing.T, set Settings, nodes ...Endpoint) *rig {
	t.Helper()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, s: s, now: time.Second, tries: map[string]int{}}
	s.Step(0, nil) // it runs for a second: what it sent before to nodes that start then is known
	r.step(EndpointList{Full: true, Endpoints: nodes})
	return r
}

func (r *rig) step(events ...Event) []Action {
	out := r.s.Step(r.now, events)
	for _, a := range out {
		switch a.Kind {
		case Send:
			r.sends, r.sentAt = append(r.sends, a), append(r.sentAt, r.now)
			r.tries[a.Request]++
		case Reject, Fail:
			r.ends = append(r.ends, a)
		}
	}
	return out
}

// wait plays timers only, every 5 ms.
func (r *rig) wait(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 5 * ms
		r.step(TimerFired{})
	}
}

func (r *rig) end(id string, code OutcomeCode, took time.Duration) {
	r.step(Outcome{ID: id, Attempt: r.tries[id] - 1, Code: code, Latency: took, Final: code == Served})
}

func (r *rig) sent() []string {
	var ids []string
	for _, a := range r.sends {
		ids = append(ids, a.Request)
	}
	return ids
}

func req(id, vol string, units float64) Request {
	return Request{ID: id, Class: "get", Plan: "std", Volume: vol, Units: units, VolumeInitiators: 1, TimeLeft: 2 * time.Second}
}

func up(id string, shard int) Endpoint { return Endpoint{ID: id, Shard: shard} }

// TestTagCases works the three cases of the start tag by hand: bucket of 11 (a second's rate and one
// largest request), 10 units a second.
func TestTagCases(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []float64 // sizes asked before, at the same moment
		units  float64
		start  time.Duration // after now
		left   float64
	}{
		{"enough tokens: now", nil, 4, 0, 7},
		{"some tokens: when the rest has come", []float64{8}, 5, 200 * ms, -2},
		{"none left: behind the last", []float64{8, 5}, 3, 500 * ms, -5},
		{"exactly empty: behind the last", []float64{11}, 2, 200 * ms, -2},
	} {
		r := newRig(t, plain()) // no node: nothing leaves
		for i, u := range c.before {
			r.step(req(string(rune('a'+i)), "v", u))
		}
		r.step(req("x", "v", c.units))
		x := r.s.requests["x"]
		if got := (x.startTag - r.now).Round(time.Microsecond); got != c.start {
			t.Errorf("%s: start tag %v after now, want %v", c.name, got, c.start)
		}
		if x.finishTag-x.startTag != 400*ms {
			t.Errorf("%s: finish tag %v after start, want the aim", c.name, x.finishTag-x.startTag)
		}
		if got := x.volume.tokens; got < c.left-1e-9 || got > c.left+1e-9 {
			t.Errorf("%s: %v tokens left, want %v", c.name, got, c.left)
		}
	}
}

// TestBadSettings checks that New refuses what cannot be served.
func TestBadSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no class":      func(s *Settings) { s.Classes = nil },
		"no plan":       func(s *Settings) { s.Plans = nil },
		"no initiator":  func(s *Settings) { s.Initiators = 0 },
		"class, no aim": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
	} {
		set := plain()
		spoil(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: New returned no error", name)
		}
	}
}

// TestHeldIsAnswered checks that a request for a shard that no node holds is refused before its budget ends.
func TestHeldIsAnswered(t *testing.T) {
	r := newRig(t, plain(), up("n", 1))
	q := req("a", "v", 1)
	q.TimeLeft = 100 * ms
	r.step(q)
	r.wait(98 * ms)
	if len(r.sends) != 0 || len(r.ends) != 1 || r.ends[0].Kind != Reject {
		t.Fatalf("sends %v, ends %v; want one refusal", r.sends, r.ends)
	}
}

// TestDrainStopsAtOnce checks that a draining node gets nothing and its successor gets what was held.
func TestDrainStopsAtOnce(t *testing.T) {
	r := newRig(t, plain(), up("old", 0))
	r.step(EndpointList{Endpoints: []Endpoint{{ID: "old", State: Draining}}}, req("a", "v", 1))
	r.wait(50 * ms)
	if len(r.sends) != 0 {
		t.Fatalf("sent to a draining node: %v", r.sends)
	}
	r.step(EndpointList{Endpoints: []Endpoint{up("new", 0)}})
	if len(r.sends) != 1 || r.sends[0].Endpoint != "new" {
		t.Fatalf("sends %v, want one to the successor", r.sends)
	}
}

// TestSlowSpellIsForgotten guards against a spiral found in the first incidents: one long answer made all
// requests look hopeless, nothing was sent, and so nothing ever corrected the estimate.
func TestSlowSpellIsForgotten(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	for i := range 5 {
		id := string(rune('a' + i))
		r.step(req(id, "v", 1))
		r.now += 30 * ms
		r.end(id, Served, 30*ms)
	}
	r.step(req("slow", "v", 1))
	r.now += 5 * time.Second
	r.end("slow", Served, 5*time.Second)
	r.now += 10 * time.Second // a few spells
	r.step(req("next", "v", 1))
	if got := r.sent(); got[len(got)-1] != "next" {
		t.Fatalf("sent %v; want the next request sent at once", got)
	}
	if r.s.requests["next"].pastObjective {
		t.Fatal("the next request counts as late")
	}
}

// TestOverloadSetsLeastWorthAside checks that under overload the class worth less waits though its finish
// tag is earlier, and that what is kept is what can be done in time.
func TestOverloadSetsLeastWorthAside(t *testing.T) {
	set := plain()
	set.Classes[0].PriorityWeight = 1
	set.Classes = append(set.Classes, Class{Name: "dear", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 3})
	set.Plans[0].PriorityFactor = 1
	r := newRig(t, set, up("n", 0))
	r.step(req("warm", "v", 1))
	r.wait(300 * ms)
	r.end("warm", Served, 300*ms)
	ep := r.s.byID["n"]
	ep.concurrencyLimit = 1
	a, b, c := req("cheap1", "v", 1), req("cheap2", "w", 1), req("dear", "x", 1)
	c.Class = "dear"
	r.step(a, b, c)
	if got := r.sent(); len(got) != 2 || got[1] != "dear" {
		t.Fatalf("sent %v, want the dear one of three of which only one can make it", got)
	}
}

// TestImpatientClients guards against incident i4c00f7: when all clients came with a tenth of their usual
// patience, every request was taken for a late retry and held until it was refused.
func TestImpatientClients(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	r.step(req("full", "v", 1))
	r.now += 20 * ms
	r.end("full", Served, 20*ms)
	for i := range 40 {
		q := req(string(rune('A'+i)), "v", 1)
		q.TimeLeft = 200 * ms
		r.step(q)
		r.now += 20 * ms
		if r.tries[q.ID] > 0 {
			r.end(q.ID, Served, 20*ms)
		}
	}
	if got := len(r.sends); got < 25 {
		t.Fatalf("%d of 41 requests sent", got)
	}
}

// TestErringNodeIsStillUsed guards against a loss seen with nodes that fail part of their requests quickly:
// three errors in a row must not cut a node down to trials, while twelve must.
func TestErringNodeIsStillUsed(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	ep := r.s.byID["n"]
	for i := range 12 {
		id := string(rune('a' + i))
		r.now += time.Second
		r.step(req(id, "v", 1))
		r.end(id, AnsweredError, ms)
		r.step(ClientGone{ID: id})
		if got, want := r.s.isFaulty(ep), i >= 11; got != want {
			t.Fatalf("after %d errors troubled is %v, want %v", i+1, got, want)
		}
	}
}

// TestQuietNodeGetsTrials checks that a node that answers nothing is left with one fresh attempt at a time,
// and is used again from its first answer on.
func TestQuietNodeGetsTrials(t *testing.T) {
	set := plain()
	set.Initiators = 4 // each with one as its part of what the node serves at once
	r := newRig(t, set, up("n", 0))
	r.step(req("a", "v", 1), req("b", "v", 1))
	r.now += 500 * ms
	for i := range 5 {
		r.step(req(string(rune('p'+i)), "w", 1))
	}
	if got := r.sent(); len(got) != 3 {
		t.Fatalf("sent %v, want the two lost and one trial", got)
	}
	r.now += 10 * ms
	r.end("p", Served, 10*ms)
	if got := r.sent(); len(got) != 4 {
		t.Fatalf("sent %v, want the next one after the trial's answer", got)
	}
}

// TestRedemption replays the paper's first example: a client that used spare capacity is not starved when
// the other comes back.
func TestRedemption(t *testing.T) {
	set := plain()
	set.Classes[0] = Class{Name: "get", LatencyObjective: 10 * time.Second, Deadline: 60 * time.Second}
	set.Plans[0].Rate, set.Plans[0].ReservedRate = 50, 50
	r := newRig(t, set, up("n", 0))
	ep := r.s.byID["n"]
	ask := func(vol string, count int) {
		for range count {
			q := req(vol+string(rune(0x4e00+len(r.s.requests)+len(r.sends))), vol, 1)
			q.TimeLeft = time.Minute
			r.step(q)
		}
	}
	served := map[byte]int{}
	play := func(steps int) { // the node serves one request each 10 ms, in the order sent
		for range steps {
			r.now += 10 * ms
			ep.concurrencyLimit = 1
			if len(ep.inFlight) > 0 {
				id := ep.inFlight[0].ID
				served[id[0]]++
				r.end(id, Served, 10*ms)
			}
		}
	}
	ask("1", 200)
	play(200)
	if served['1'] < 195 {
		t.Fatalf("%d of 200 served from spare capacity", served['1'])
	}
	served = map[byte]int{}
	ask("2", 100)
	for range 50 {
		ask("1", 1)
		play(2)
	}
	if served['1'] < 20 || served['2'] < 20 {
		t.Fatalf("in the second after: %v, want neither client starved", served)
	}
}

// TestReportsTellOfAQueue guards against two losses: what a node serves at once was taken for a queue, and nodes idled;
// and a report that nothing renews was believed for ever.
func TestReportsTellOfAQueue(t *testing.T) {
	for _, c := range []struct {
		name string
		load Load
		gap  time.Duration
		want float64
	}{
		{"what is served at once", Load{Queued: -1, InFlight: 3}, 0, 0.05},
		{"four past that", Load{Queued: -1, InFlight: freeLoad + 4}, 0, 0.05 * (1 + 4*latencyPerLoad)},
		{"four that wait", Load{Queued: 4, InFlight: 30}, 0, 0.05 * (1 + 4*latencyPerLoad)},
		{"no word for a long time", Load{Queued: 4, InFlight: -1}, 30 * time.Second, 0.05},
	} {
		r := newRig(t, plain(), up("n", 0))
		r.step(req("a", "v", 1))
		r.now += 50 * ms
		r.step(Outcome{ID: "a", Code: Served, Latency: 50 * ms, Final: true, Load: &c.load})
		r.now += c.gap
		r.step()
		if got := r.s.expectedLatency(r.s.byID["n"]); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("%s: %.4f s expected, want %.4f", c.name, got, c.want)
		}
	}
}

// TestAnswerAfterGapCounts guards against an estimate that is minutes old at a host with an answer in seconds.
func TestAnswerAfterGapCounts(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	for i, took := range []time.Duration{50 * ms, 50 * ms, 600 * ms} {
		id := fmt.Sprintf("a%d", i)
		r.wait(10 * time.Second)
		r.step(req(id, "v", 1))
		r.wait(took)
		r.end(id, Served, took)
	}
	if got := r.s.expectedLatency(r.s.byID["n"]); got < 0.5 {
		t.Fatalf("%.2f s expected after one answer in 0.6 s, long after the others", got)
	}
}

// TestEarlyTimer guards against a lost request found by hunt --rules: the timer came a fraction of a microsecond
// before the time it was set for, nothing was due yet, and no other was set.
func TestEarlyTimer(t *testing.T) {
	r := newRig(t, plain()) // no node: held until its client is about to leave
	q := req("a", "v", 1)
	r.step(q)
	for end := r.now + q.TimeLeft; r.now < end; {
		wait := time.Duration(-1)
		for _, a := range r.step(TimerFired{}) {
			if a.Kind == SetTimer {
				wait = a.Wait
			}
		}
		if wait < 0 {
			break
		}
		r.now += wait - time.Nanosecond
	}
	if len(r.ends) != 1 {
		t.Fatalf("no final answer by %v; the timers ended", r.now)
	}
}

// TestOwnPause guards against taking the time that this initiator stood still for the node's: what came
// meanwhile has aged, and an answer found then teaches no latency.
func TestOwnPause(t *testing.T) {
	for _, c := range []struct {
		name   string
		stands bool
		aim    time.Duration
		learns bool
	}{
		{"timers came", false, 400 * ms, true},
		{"stood still", true, 100 * ms, false},
	} {
		r := newRig(t, plain(), up("n", 0))
		r.step(req("a", "v", 1))
		r.wait(50 * ms)
		r.end("a", Served, 50*ms)
		r.step(req("b", "v", 1))
		if c.stands {
			r.now += 600 * ms
		} else {
			r.wait(600 * ms)
		}
		q := req("c", "v", 1)
		q.TimeLeft -= 300 * ms
		r.step(q, Outcome{ID: "b", Code: Served, Latency: 600 * ms, Final: true})
		if got := r.s.requests["c"].objectiveAt - r.now; got != c.aim {
			t.Errorf("%s: aim in %v, want %v", c.name, got, c.aim)
		}
		if got := r.s.byID["n"].latency > 0.06; got != c.learns {
			t.Errorf("%s: learned %v, want %v", c.name, got, c.learns)
		}
	}
}

// TestShortPatienceIsNoFailure guards against counting what an impatient client cut short as the node's silence.
func TestShortPatienceIsNoFailure(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	for i := range 5 {
		q := req(fmt.Sprintf("a%d", i), "v", 1)
		q.TimeLeft = 60 * ms
		r.step(q)
		r.now += 60 * ms
		r.end(q.ID, TimedOut, 60*ms)
	}
	if r.s.isFaulty(r.s.byID["n"]) {
		t.Fatal("five short patiences make the node troubled")
	}
}

// TestLongLife plays hours in which volumes, keys and nodes come and go, and checks that what is kept is bounded.
func TestLongLife(t *testing.T) {
	for _, budget := range []bool{false, true} {
		set := plain()
		set.Rules.RetryBudget, set.Rules.RetryBudgetWindow, set.Rules.RetryBudgetFree = budget, time.Second, 3
		set.Classes[0].Ordered, set.Rules.OrderedQuietTime = true, 100*ms
		r := newRig(t, set, up("n0", 0))
		for i := range 4000 {
			if i%10 == 0 {
				r.step(EndpointList{Full: true, Endpoints: []Endpoint{{ID: fmt.Sprintf("n%d", i), Started: r.now - time.Hour}}})
			}
			q := req(fmt.Sprintf("r%d", i), fmt.Sprintf("v%d", i), 1)
			q.Extent = fmt.Sprintf("k%d", i)
			r.step(q)
			r.now += 20 * ms
			if r.tries[q.ID] > 0 {
				r.end(q.ID, []OutcomeCode{Served, ConnectionReset}[i%2], 20*ms)
			}
			for range 5 {
				r.now += time.Second
				r.step(TimerFired{})
			}
			for _, a := range r.sends {
				if r.s.requests[a.Request] != nil && r.s.requests[a.Request].inFlightAt != nil {
					r.end(a.Request, Served, time.Second)
				}
			}
			r.sends = nil
		}
		s := r.s
		for name, size := range map[string]int{"requests": len(s.requests), "taken": len(s.recentRequests), "extra": len(s.recentRetries),
			"turned": len(s.rejected), "turned by time": len(s.rejectedInOrder), "due": len(s.deadlines)} {
			if size > 10 {
				t.Errorf("budget %v: %d %s kept", budget, size, name)
			}
		}
		for name, size := range map[string]int{"volumes": len(s.volumes), "keys": len(s.orderedExtents), "nodes": len(s.endpoints),
			"nodes by name": len(s.byID), "flows": len(s.queues[0].flows), "flows by volume": len(s.queues[0].flowByVolume)} {
			if size > 250 {
				t.Errorf("budget %v: %d %s kept of 4000", budget, size, name)
			}
		}
	}
}

// TestSettingsAreOwn checks that a caller may reuse its slices.
func TestSettingsAreOwn(t *testing.T) {
	set := plain()
	r := newRig(t, set, up("n", 0))
	set.Classes[0].LatencyObjective, set.Plans[0].Rate = 0, 0
	r.step(req("a", "v", 1))
	if r.s.classes["get"].LatencyObjective != 400*ms || r.s.plans["std"].Rate != 10 {
		t.Fatal("the settings changed with the caller's slices")
	}
}

// TestCalmNodeGetsDepth guards against a loss seen on quiet days: depth stayed at one while cores stood idle,
// until requests became late. Under pressure the same latencies must leave the depth shallow.
func TestCalmNodeGetsDepth(t *testing.T) {
	depth := func(pressed bool) float64 {
		set := plain()
		set.Initiators = 8 // else its part of what the node serves at once is deeper than either
		r := newRig(t, set, up("n", 0))
		ep := r.s.byID["n"]
		r.wait(time.Minute)
		for i := range 60 {
			if pressed {
				ep.congestedAt = r.now
			}
			a, b := req(fmt.Sprintf("a%d", i), "v", 1), req(fmt.Sprintf("b%d", i), "w", 1)
			r.step(a, b)
			took := time.Duration(20+15*(i%4)) * ms
			r.wait(took)
			for _, q := range slices.Clone(ep.inFlight) {
				r.end(q.ID, Served, took)
			}
			r.wait(100 * ms)
		}
		return ep.concurrencyLimit
	}
	if calm, pressed := depth(false), depth(true); calm <= pressed {
		t.Fatalf("depth %.2f when calm, %.2f under pressure; want it deeper when calm", calm, pressed)
	}
}

// TestColdNodeWithCrowd guards against incident i67078b: with hundreds of initiators the even part of what a cold
// node bears is under one request, and nothing reached restarted nodes until they were warm. As many of them as the
// half of it allows may send one a span, more as the node warms, and each is one of them at some nodes.
func TestColdNodeWithCrowd(t *testing.T) {
	starts, ever := map[time.Duration]bool{}, 0
	for index := range 200 {
		set := plain()
		set.Initiators, set.InitiatorIndex, set.ColdUnitsPerWindow = 200, index+1, 10
		set.Rules = Rules{ColdCapacityFraction: 0.2, WarmUpTime: 10 * time.Second, OverloadWindow: time.Second, OverloadFactor: 3}
		r := newRig(t, set, up("n", 0))
		r.step(EndpointList{Endpoints: []Endpoint{{ID: "n", Started: r.now - time.Millisecond}}})
		told := r.now
		first, sent := time.Duration(0), []time.Duration{}
		for i := range 400 {
			q := req(fmt.Sprintf("r%d", i), "v", 1)
			r.step(q)
			if n := len(r.sends); n > len(sent) {
				sent = append(sent, r.now)
				if first == 0 {
					first = r.now - told + 1
				}
			}
			r.wait(15 * ms)
		}
		if first > 0 {
			ever++
			starts[first.Round(100*ms)] = true
		}
		for i := 1; i < len(sent); i++ {
			if sent[i]-sent[i-1] < time.Second-20*ms { // noted once in 15 ms
				t.Errorf("initiator %d: two requests to a silent cold node within a span", index)
			}
		}
	}
	// After 6 s it bears 34 units a span: half of them and half of what is put down to chance are for as many initiators.
	if ever < 20 || ever > 24 {
		t.Errorf("%d of 200 initiators sent in 6 s, want 24 or little less", ever)
	}
	if len(starts) < 4 {
		t.Errorf("all initiators start at the same moments: %v", starts)
	}
}

// TestColdNodeReportsToCrowd guards against what the fleet's days showed: with 80 initiators one request in 3 s from
// each left cold nodes idle, with 0.3 requests in hand, while most of what was asked of them was refused. What a cold
// node reports speaks for all initiators: few requests in hand let the next one go, many do not.
func TestColdNodeReportsToCrowd(t *testing.T) {
	for _, c := range []struct {
		load *Load
		want int
	}{{&Load{Queued: -1, InFlight: 1}, 10}, {&Load{Queued: -1, InFlight: 30}, 1}, {nil, 1}} {
		set := plain()
		set.Initiators, set.ColdUnitsPerWindow = 200, 10
		set.Rules = Rules{ColdCapacityFraction: 0.2, WarmUpTime: 10 * time.Second, OverloadWindow: time.Second, OverloadFactor: 3}
		r := newRig(t, set, up("n", 0))
		r.s.initiatorIndex = 0
		for r.s.initiatorRank(&endpoint{Endpoint: up("n", 0)}) > 0.01 { // one of those that send first there
			r.s.initiatorIndex++
		}
		r.wait(20 * time.Second)
		r.step(EndpointList{Endpoints: []Endpoint{{ID: "n", Started: r.now - time.Millisecond}}})
		began := len(r.sends)
		for i := range 10 {
			id := fmt.Sprintf("r%d", i)
			r.step(req(id, "v", 1), req(id+"b", "w", 1))
			if out := len(r.s.byID["n"].inFlight); out > 1 {
				t.Errorf("%+v: %d out at a cold node", c.load, out)
			}
			r.now += 40 * ms
			for _, q := range r.s.byID["n"].inFlight {
				r.step(Outcome{ID: q.ID, Attempt: r.tries[q.ID] - 1, Code: Served, Latency: 40 * ms, Final: true, Load: c.load})
			}
		}
		if got := len(r.sends) - began; got < c.want || c.want == 1 && got > 1 {
			t.Errorf("%+v: %d sent in 0.4 s, want %d", c.load, got, c.want)
		}
	}
}

// TestConnectionsAreScarce guards against what the fleet's days showed: 80 initiators opened two connections and more to
// each of their nodes for requests that had time to wait for the first, where the settings price each handshake.
func TestConnectionsAreScarce(t *testing.T) {
	set := plain()
	r := newRig(t, set, up("n", 0))
	r.step(req("a", "v", 1), req("b", "v", 1))
	if len(r.sends) != 2 {
		t.Fatalf("%d of 2 sent at once where handshakes cost nothing", len(r.sends))
	}
	set.ConnectCost = 0.08
	r = newRig(t, set, up("n", 0))
	r.step(req("a", "v", 1), req("b", "v", 1))
	r.wait(100 * ms)
	if len(r.sends) != 1 {
		t.Fatalf("%d out 100 ms into an aim of 400, want 1 while there is one connection", len(r.sends))
	}
	r.wait(120 * ms)
	if len(r.sends) != 2 {
		t.Fatalf("%d out past half of the aim, want the second on a connection of its own", len(r.sends))
	}
	r.end("a", Served, 220*ms)
	r.end("b", Served, 20*ms)
	r.step(req("c", "v", 1), req("d", "v", 1))
	if len(r.sends) != 4 {
		t.Errorf("%d of 2 more sent at once on the two connections there are", len(r.sends)-2)
	}
}

// TestAbsurdReports checks that figures no node can mean change nothing, and that a report for a node without an
// answer yet is no harm.
func TestAbsurdReports(t *testing.T) {
	for _, load := range []*Load{nil, {Queued: -1, InFlight: -1}, {Queued: 1e300, InFlight: -1}, {Queued: math.Inf(1)},
		{Queued: math.NaN(), InFlight: math.NaN()}, {Queued: -7, InFlight: -1e9}} {
		r := newRig(t, plain(), up("n", 0))
		for i := range 3 {
			id := fmt.Sprintf("a%d", i)
			r.step(req(id, "v", 1))
			r.now += 40 * ms
			r.step(Outcome{ID: id, Code: Served, Latency: 40 * ms, Final: true, Load: load})
		}
		if got := r.s.expectedLatency(r.s.byID["n"]); got < 0.039 || got > 0.041 {
			t.Errorf("%+v: %v s expected, want the 40 ms answered", load, got)
		}
		if len(r.sends) != 3 {
			t.Errorf("%+v: %d of 3 sent", load, len(r.sends))
		}
	}
}

// TestDecidedByHalfTime checks that a request with nothing sent is turned away before half its time is over,
// with the wait after which a further try could make sense; clients pay for being held back beyond that.
func TestDecidedByHalfTime(t *testing.T) {
	r := newRig(t, plain(), up("n", 1)) // its shard is nowhere
	q := req("a", "v", 1)
	q.TimeLeft = time.Second
	r.step(q)
	r.wait(500 * ms)
	if len(r.ends) != 1 || r.ends[0].Kind != Reject {
		t.Fatalf("ends %v by half the time, want one refusal", r.ends)
	}
}

// TestFullNodeCostsNoLook guards against a loss seen at 600 requests a second on a quarter of a core: each event had all
// that is held at a full node judged anew. Only a request that may follow on the last extent is worth it.
func TestFullNodeCostsNoLook(t *testing.T) {
	for _, extent := range []string{"other", "same"} {
		r := newRig(t, plain(), up("n", 0))
		r.s.byID["n"].concurrencyLimit = 1
		out := req("out", "v", 1)
		out.Extent = "same"
		r.step(out)
		r.s.sendable = nil
		held := req("held", "w", 1)
		held.Extent = extent
		r.step(held)
		if looked := r.s.sendable != nil; looked != (extent == "same") || looked != (len(r.sends) == 2) {
			t.Errorf("held of extent %q: looked at %v, sent %v", extent, looked, r.sent())
		}
	}
}

// TestFewShareANode guards against cores that idle where only two initiators share the nodes: however slow the answers,
// each keeps its part of what a node serves at once.
func TestFewShareANode(t *testing.T) {
	for initiators, want := range map[int]float64{1: 4, 2: 2, 8: 1} {
		set := plain()
		set.Initiators = initiators
		r := newRig(t, set, up("n", 0))
		r.s.byID["n"].concurrencyLimit = 6
		for i := range 80 {
			id := fmt.Sprintf("a%d", i)
			r.step(req(id, "v", 1))
			took := time.Duration(10+i*5) * ms
			r.wait(took)
			r.s.byID["n"].congestedAt = r.now
			r.end(id, Served, took)
		}
		if got := math.Round(r.s.byID["n"].concurrencyLimit); got != want {
			t.Errorf("%d initiators: depth %v after ever slower answers, want %v", initiators, got, want)
		}
	}
}

// TestSlowAnswerBarsNoClass guards against a node whose first answer came after the aim: everything lapses there at once,
// so that no answer could ever show that the node is quick again.
func TestSlowAnswerBarsNoClass(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	r.step(req("slow", "v", 1))
	r.wait(900 * ms)
	r.end("slow", Served, 900*ms)
	r.step(req("lapsed", "v", 1))
	if len(r.ends) != 1 || r.ends[0].Request != "lapsed" {
		t.Fatalf("ends %v, want one refused: the node takes 900 ms", r.ends)
	}
	r.wait(3 * time.Second)
	r.step(req("trial", "v", 1))
	if got := r.sent(); !slices.Contains(got, "trial") {
		t.Errorf("sent %v, want a trial once nothing was heard for a while", got)
	}
}

// TestHeldToTheAim guards against requests that wait on once their aim is lost, sent before or not: each holds one of
// the few connections that its client has. Up to then a request that came back unrun is not given up.
func TestHeldToTheAim(t *testing.T) {
	for _, sent := range []bool{false, true} {
		r := newRig(t, plain(), up("n", 0))
		if !sent {
			r.step(EndpointList{Endpoints: []Endpoint{{ID: "n", State: Draining}}})
		}
		r.step(req("a", "v", 1))
		if sent {
			r.end("a", Rejected, ms)
			r.step(EndpointList{Endpoints: []Endpoint{{ID: "n", State: Draining}}})
		}
		r.wait(380 * ms)
		if len(r.ends) != 0 {
			t.Errorf("sent %v: ended %v within the aim", sent, r.ends)
		}
		r.wait(30 * ms)
		if len(r.ends) != 1 || r.ends[0].Kind != Reject || r.ends[0].Wait < 1500*ms {
			t.Errorf("sent %v: ends %v past the aim, want one refusal until the client's patience is over", sent, r.ends)
		}
	}
}

// TestLapsesBeforeItsAim checks that a request which a busy node can no longer serve in time is refused while its aim
// still runs, and that its volume gets back what it drew.
func TestLapsesBeforeItsAim(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	r.step(req("warm", "v", 1))
	r.wait(200 * ms)
	r.end("warm", Served, 200*ms)
	r.s.byID["n"].concurrencyLimit = 1
	r.step(req("first", "v", 1), req("next", "w", 1))
	before := r.s.volumes["w"].tokens
	r.wait(250 * ms)
	r.end("first", Served, 250*ms)
	if len(r.ends) != 1 || r.ends[0].Request != "next" || r.ends[0].Kind != Reject {
		t.Fatalf("ends %v, want next refused: 200 ms of work do not fit into the 150 left", r.ends)
	}
	if got := r.s.volumes["w"].tokens; got != before+1 {
		t.Errorf("%v tokens after %v, want the one it drew back", got, before)
	}
}

// TestRepeatAtItsWindow ends a keyed attempt in doubt at every moment around the end of its window: a repeat is sent within it alone, says
// until when it may leave, and goes to the group that drops repeats; where none can be sent any more the request ends at once.
func TestRepeatAtItsWindow(t *testing.T) {
	const window = 300 * ms
	for _, group := range []DedupScope{DedupFleet, DedupZone, DedupShard} {
		inside, outside := 0, 0
		for doubt := 200 * ms; doubt < window+20*ms; doubt += ms {
			set := plain()
			set.Classes[0].Effect, set.Classes[0].DedupScope, set.Classes[0].DedupWindow = IdempotentWithKey, group, window
			r := newRig(t, set, Endpoint{ID: "n", Zone: "a"})
			x := req("x", "v", 1)
			x.Extent = "e"
			r.step(x)
			sent := r.now
			r.now += doubt
			r.end("x", ConnectionReset, doubt)
			next, here := Endpoint{ID: "m", Zone: "b"}, doubt%(2*ms) == 0
			if here {
				next.Zone = "a"
			}
			r.step(EndpointList{Full: true, Endpoints: []Endpoint{next}})
			r.wait(500 * ms)
			if len(r.sends) == 1 {
				outside++
				if len(r.ends) != 1 || (r.ends[0].Kind == Reject) != (group == DedupFleet) {
					t.Errorf("group %v, in doubt after %v: ends %+v", group, doubt, r.ends)
				}
				continue
			}
			inside++
			if a := r.sends[1]; a.SendWithin <= 0 || r.sentAt[1]+a.SendWithin >= sent+window || group != DedupFleet && !here {
				t.Errorf("group %v, in doubt after %v: sent again at %v, may leave for %v", group, doubt, r.sentAt[1]-sent, a.SendWithin)
			}
		}
		if inside < 10 || outside < 10 {
			t.Errorf("group %v: %d sent again, %d not", group, inside, outside)
		}
	}
}

// TestLateTryIsTurnedAwayAtOnce checks that a later try of what was turned away, coming past its aim, draws
// nothing and is refused at once until its client's patience is over.
func TestLateTryIsTurnedAwayAtOnce(t *testing.T) {
	r := newRig(t, plain(), up("n", 1))
	q := req("a", "v", 3)
	r.step(q)
	r.wait(time.Second)
	if len(r.ends) != 1 {
		t.Fatalf("ends %v, want the first try refused", r.ends)
	}
	before := r.s.volumes["v"].tokens
	q.ID, q.TimeLeft = "b", 900*ms
	out := r.step(q)
	if len(r.ends) != 2 || r.ends[1].Kind != Reject || r.ends[1].Wait != 900*ms {
		t.Fatalf("second try: %v, want it refused at once with a wait of 900ms", out)
	}
	if after := r.s.volumes["v"].tokens; after != before {
		t.Errorf("the second try moved the bucket from %v to %v", before, after)
	}
}

// TestDepartedIsNeverSent has the client leave with a late further try in one batch, held, between attempts and with one out:
// nothing is sent or answered from then on.
func TestDepartedIsNeverSent(t *testing.T) {
	for name, before := range map[string]func(r *rig){
		"late try": func(r *rig) {
			r.step(req("first", "v", 3)) // no node has its shard
			r.wait(time.Second)
			q := req("first", "v", 3)
			q.ID, q.TimeLeft = "a", 900*ms
			r.sends, r.ends = nil, nil
			r.step(q, ClientGone{ID: "a"})
		},
		"held": func(r *rig) { r.step(req("a", "v", 3)); r.step(ClientGone{ID: "a"}) },
		"between attempts": func(r *rig) {
			r.step(EndpointList{Endpoints: []Endpoint{up("n", 0)}}, req("a", "v", 3))
			r.end("a", AnsweredError, 5*ms)
			require.Len(t, r.sends, 1)
			r.step(ClientGone{ID: "a"})
		},
		"out": func(r *rig) {
			r.step(EndpointList{Endpoints: []Endpoint{up("n", 0)}}, req("a", "v", 3))
			r.step(ClientGone{ID: "a"})
			require.Len(t, r.sends, 1)
			r.end("a", ConnectionReset, 5*ms)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, plain(), up("m", 1))
			before(r)
			sent := len(r.sends)
			r.step(EndpointList{Endpoints: []Endpoint{up("n", 0)}})
			r.wait(3 * time.Second)
			require.Len(t, r.sends, sent, "sends after its client left")
			require.Empty(t, r.ends)
			require.Empty(t, r.s.requests)
		})
	}
}

// TestNeverWrittenIsDecidedByHalfTime checks that attempts which found no connection, or were not sent, do not
// count as tried: their request is decided as early as one that never left.
func TestNeverWrittenIsDecidedByHalfTime(t *testing.T) {
	for _, code := range []OutcomeCode{NotConnected, NotSent} {
		r := newRig(t, plain(), up("n", 0))
		r.step(req("a", "v", 1))
		r.end("a", code, ms)
		r.step(EndpointList{Endpoints: []Endpoint{{ID: "n", State: Draining}}})
		r.wait(time.Second)
		if len(r.ends) != 1 || r.ends[0].Kind != Reject {
			t.Errorf("code %v: ends %v by half the time, want one refusal", code, r.ends)
		}
	}
}

// TestLongAttemptIsAnsweredOnce has an attempt out past the aim, and then turned away: one answer, at once.
func TestLongAttemptIsAnsweredOnce(t *testing.T) {
	r := newRig(t, plain(), up("n", 0))
	r.step(req("a", "v", 1))
	r.wait(1500 * ms)
	if len(r.ends) != 0 {
		t.Errorf("ended %v with the attempt out", r.ends)
	}
	r.end("a", Rejected, 1500*ms)
	if len(r.ends) != 1 || r.ends[0].Kind != Reject {
		t.Errorf("ends %v, want one refusal", r.ends)
	}
	r.wait(time.Second)
	if len(r.ends) != 1 {
		t.Errorf("ends %v, want one", r.ends)
	}
}

// TestBodyElsewhere is about requests whose body went ahead to a node: they go there and nowhere else, and but once; where
// the shard has another node by then they are refused at once, since nothing has run.
func TestBodyElsewhere(t *testing.T) {
	ask := Request{ID: "1", Class: "get", Plan: "std", Volume: "v", Units: 1, VolumeInitiators: 1, TimeLeft: time.Second, BoundEndpoint: "a"}
	for _, shard := range []int{0, -1} {
		r := newRig(t, plain(), Endpoint{ID: "a"}, Endpoint{ID: "b", Shard: 1})
		if got := r.s.EndpointFor(1); got != "b" {
			t.Errorf("shard 1 is at %q, want b", got)
		}
		req := ask
		req.Shard = shard
		r.step(req)
		if len(r.sends) != 1 || r.sends[0].Endpoint != "a" {
			t.Fatalf("shard %d: sent %+v, want once to a", shard, r.sends)
		}
		r.step(Outcome{ID: "1", Endpoint: "a", Code: NotConnected})
		if r.wait(time.Second); len(r.sends) != 1 || len(r.ends) != 1 || r.ends[0].Kind != Reject {
			t.Errorf("shard %d: after the attempt: sends %+v, ends %+v", shard, r.sends, r.ends)
		}
	}
	r := newRig(t, plain(), Endpoint{ID: "a", State: Draining}, Endpoint{ID: "b"})
	r.step(ask)
	if len(r.sends) != 0 || len(r.ends) != 1 || r.ends[0].Kind != Reject {
		t.Errorf("with another node there: sends %+v, ends %+v", r.sends, r.ends)
	}
}

// TestKeyless holds a keyed request that lacks its key to what an unsafe one may: no node would drop its repeat.
func TestKeyless(t *testing.T) {
	for _, keyless := range []bool{false, true} {
		set := plain()
		set.Classes[0].Effect, set.Classes[0].DedupWindow = IdempotentWithKey, time.Minute
		r := newRig(t, set, Endpoint{ID: "a"})
		r.step(Request{ID: "1", Class: "get", Plan: "std", Volume: "v", Units: 1, VolumeInitiators: 1, TimeLeft: time.Second, MissingKey: keyless})
		r.step(Outcome{ID: "1", Endpoint: "a", Code: ConnectionReset})
		r.wait(time.Second)
		if !keyless {
			if len(r.sends) < 2 {
				t.Error("with its key it is not repeated")
			}
			continue
		}
		if len(r.sends) != 1 || len(r.ends) != 1 || r.ends[0].Kind != Fail {
			t.Errorf("without its key: sends %+v, ends %+v", r.sends, r.ends)
		}
	}
}

// TestSharedBudgets divides what the rules allow among the processes of an initiator, also for a while after one has gone.
func TestSharedBudgets(t *testing.T) {
	set := plain()
	set.ColdUnitsPerWindow = 4
	set.Rules = Rules{ColdCapacityFraction: 0.2, WarmUpTime: 20 * time.Second, OverloadWindow: 3 * time.Second, OverloadFactor: 4}
	sent := func(parts ...int) int {
		r := newRig(t, set, Endpoint{ID: "a", Started: time.Second - 10*ms})
		for _, n := range parts {
			r.step(ProcessCount{Processes: n})
		}
		for i := range 8 {
			id := string(rune('a' + i))
			r.step(Request{ID: id, Class: "get", Plan: "std", Volume: id, Units: 1, VolumeInitiators: 1, TimeLeft: 2 * time.Second})
			if len(r.sends) > i {
				r.step(Outcome{ID: id, Endpoint: "a", Code: AnsweredError})
			}
		}
		return len(r.sends)
	}
	if alone, two, after := sent(), sent(2), sent(2, 1); two >= alone || after != two {
		t.Errorf("%d sends alone, %d as one of two, %d just after the other has gone", alone, two, after)
	}
}
