package core

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"spindlehitch/internal/observability/accounts"
	"spindlehitch/internal/policy"
)

// fake is an upstream that notes what it is told.
type fake struct {
	sent      []Attempt
	cancelled []string
}

func (f *fake) Send(a Attempt)              { f.sent = append(f.sent, a) }
func (f *fake) Cancel(node, request string) { f.cancelled = append(f.cancelled, node+"/"+request) }

func module(t testing.TB) *policy.Scheduler {
	t.Helper()
	m, err := policy.New(policy.Settings{Initiators: 1, MinStep: time.Millisecond, MeanUnits: 1, MaxUnits: 1,
		Classes: []policy.Class{{Name: "get", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "put", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, Effect: policy.NonIdempotent},
			{Name: "keyed", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, Effect: policy.IdempotentWithKey, DedupWindow: 500 * time.Millisecond}},
		Plans: []policy.Plan{{Name: "std", Rate: 1000, ReservedRate: 1000, Weight: 1, PriorityFactor: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// namesFor is far from any constant.
const namesFor = 17 * time.Second

// hand is a core stepped by hand.
type hand struct {
	*Core
	up  *fake
	now time.Time
}

func newHand(t *testing.T) *hand {
	h := &hand{up: &fake{}, now: time.Now()}
	h.Core = New(module(t), h.up, NewClock(), Options{MostHeld: 100, Margin: 10 * time.Millisecond, NamesFor: namesFor})
	h.step(h.now, []any{policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
	return h
}

func job(class string, arrived time.Time, answers *[]Answer) *Job {
	return &Job{Request: policy.Request{Class: class, Plan: "std", Volume: "v", Units: 1, VolumeInitiators: 1},
		Arrived: arrived, Patience: 2 * time.Second, Done: func(a Answer) { *answers = append(*answers, a) }}
}

// later steps the core at timers until the time has passed.
func (h *hand) later(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(5 * time.Millisecond)
		h.step(h.now, nil)
	}
}

// TestOneFinalAnswer plays outcomes twice, late and of attempts that never were: one answer is given.
func TestOneFinalAnswer(t *testing.T) {
	h := newHand(t)
	var answers []Answer
	h.step(h.now, []any{submitted{job("get", h.now, &answers)}})
	if len(h.up.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.up.sent))
	}
	r := Result{Request: h.up.sent[0].Request, Node: "n", Code: policy.Served, Payload: "body"}
	wrong := r
	wrong.Number = 3
	h.step(h.now, []any{wrong, r, r})
	h.step(h.now, []any{r})
	if len(answers) != 1 || answers[0].Ending != Served || answers[0].Payload != "body" {
		t.Fatalf("answers %+v, want one", answers)
	}
	if len(h.open) != 0 {
		t.Errorf("%d requests kept", len(h.open))
	}
}

// TestNameOnce guards against a second copy at a target under the name of a request that is open, whose client has left
// with an attempt out, or that has run. A name whose request was never sent may come again.
func TestNameOnce(t *testing.T) {
	h := newHand(t)
	var answers []Answer
	submit := func(name, class string) *Job {
		j := job(class, h.now, &answers)
		j.Name = name
		if !h.Submit(j) {
			t.Fatal("not taken")
		}
		h.step(h.now, h.box.Take(nil))
		return j
	}
	conflict := func(when string) {
		t.Helper()
		submit("a", "put")
		if len(answers) == 0 || answers[len(answers)-1].Ending != Conflict {
			t.Errorf("%s: answers %+v, want a conflict", when, answers)
		}
	}
	first := submit("a", "put")
	conflict("open")
	h.step(h.now, []any{first})
	conflict("its client gone, its attempt out")
	h.step(h.now, []any{Result{Request: h.up.sent[0].Request, Node: "n", Code: policy.Cancelled}})
	conflict("may have run")
	served := func(name string) {
		t.Helper()
		submit(name, "get")
		h.step(h.now, []any{h.ends(policy.Served)})
	}
	for i := range 2 { // names are let go as others end
		h.now = h.now.Add(namesFor/2 - time.Second)
		served(fmt.Sprint("other", i))
	}
	conflict("may have run, a while ago")
	h.up.sent = h.up.sent[:1]
	if len(h.up.sent) != 1 || h.Open() != 0 {
		t.Errorf("%d attempts, %d open; want one, none", len(h.up.sent), h.Open())
	}
	for range 3 {
		h.now = h.now.Add(namesFor + time.Second)
		submit("b", "put")
		last := h.up.sent[len(h.up.sent)-1]
		h.step(h.now, []any{Result{Request: last.Request, Number: last.Number, Node: "n", Code: policy.NotSent}})
		h.step(h.now, []any{policy.EndpointList{Full: true}})
		h.later(2 * time.Second)
		if got := answers[len(answers)-1]; got.Ending != Refused {
			t.Errorf("never sent: %+v, want it refused", got)
		}
		h.step(h.now, []any{policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
	}
	served("c")
	if n := len(h.named) + len(h.ran[0]) + len(h.ran[1]); n != 1 {
		t.Errorf("%d names are kept, want the last alone", n)
	}
	for i := range 2*mostNames + 10 {
		h.now, h.up.sent = h.now.Add(time.Millisecond/10), nil
		served(fmt.Sprint("many", i))
	}
	if n := len(h.named) + len(h.ran[0]) + len(h.ran[1]); n > 2*mostNames || n < mostNames {
		t.Errorf("%d names are kept of a flood", n)
	}
}

// TestDeadlineRunsFromArrival guards against counting a request's time from when a busy process got to it.
func TestDeadlineRunsFromArrival(t *testing.T) {
	h := newHand(t)
	var answers []Answer
	h.step(h.now, []any{submitted{job("get", h.now.Add(-1500*time.Millisecond), &answers)}})
	if len(h.up.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.up.sent))
	}
	if left := h.up.sent[0].Until.Sub(h.now); left > 490*time.Millisecond {
		t.Errorf("attempt may last %v, but its client leaves in 500ms", left)
	}
}

// TestUnsafeIsNotRepeated ends a write in doubt: one failure, no second attempt, no word that a repeat is harmless.
func TestUnsafeIsNotRepeated(t *testing.T) {
	for _, code := range []policy.OutcomeCode{policy.ConnectionReset, policy.TimedOut, policy.AnsweredError, policy.Cancelled} {
		h := newHand(t)
		var answers []Answer
		h.step(h.now, []any{submitted{job("put", h.now, &answers)}})
		h.step(h.now, []any{Result{Request: h.up.sent[0].Request, Node: "n", Code: code}})
		h.later(3 * time.Second)
		if len(h.up.sent) != 1 || len(answers) != 1 || answers[0].Ending != Failed || answers[0].Last != code {
			t.Errorf("code %v: %d attempts, answers %+v", code, len(h.up.sent), answers)
		}
	}
}

// TestListComesFirst guards the order within a batch: a drain notice that waits behind a request and an outcome
// reaches the module before them, and nothing is sent to the target that drains.
func TestListComesFirst(t *testing.T) {
	h := newHand(t)
	var answers []Answer
	msgs := func() []any {
		return []any{submitted{job("get", h.now, &answers)}, Result{Request: "none"},
			policy.EndpointList{Endpoints: []policy.Endpoint{{ID: "n", State: policy.Draining}}}}
	}
	if _, first := h.gather(h.now, msgs())[0].(policy.EndpointList); !first {
		t.Error("the notice came behind the request")
	}
	h.step(h.now, msgs())
	if len(h.up.sent) != 0 {
		t.Errorf("sent to a target known to drain: %+v", h.up.sent)
	}
}

// TestDepartedIsCalledOff checks that an attempt nobody waits for is called off, and no answer is given.
func TestDepartedIsCalledOff(t *testing.T) {
	h := newHand(t)
	var answers []Answer
	j := job("get", h.now, &answers)
	h.step(h.now, []any{submitted{j}})
	h.step(h.now, []any{j})
	if len(h.up.cancelled) != 1 || len(h.open) != 1 {
		t.Fatalf("cancelled %v, %d kept; want it called off and kept until its outcome", h.up.cancelled, len(h.open))
	}
	h.step(h.now, []any{Result{Request: h.up.sent[0].Request, Node: "n", Code: policy.Cancelled}})
	h.later(3 * time.Second)
	if len(answers) != 0 || len(h.open) != 0 {
		t.Errorf("answers %v, %d kept", answers, len(h.open))
	}
}

// TestDepartAnywhere has a client leave in every state of its request, also in one batch with what came just before or comes just after: no
// attempt begins from then on, one that is out is called off, at most the one answer is given that was there first, and nothing is kept.
func TestDepartAnywhere(t *testing.T) {
	gone, back := policy.EndpointList{Full: true}, policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}
	for _, x := range []struct {
		name    string
		before  func(h *hand, j *Job)
		batch   func(h *hand, j *Job) []any // with the departure
		sent    int
		answers int
	}{
		{"as it comes", func(*hand, *Job) {}, func(_ *hand, j *Job) []any { return []any{submitted{j}, j} }, 0, 0},
		{"as it comes, with the list", func(h *hand, _ *Job) { h.step(h.now, []any{gone}) }, func(_ *hand, j *Job) []any { return []any{submitted{j}, back, j} }, 0, 0},
		{"held", func(h *hand, j *Job) { h.step(h.now, []any{gone}); h.step(h.now, []any{submitted{j}}) }, func(_ *hand, j *Job) []any { return []any{j} }, 0, 0},
		{"held, with the list", func(h *hand, j *Job) { h.step(h.now, []any{gone}); h.step(h.now, []any{submitted{j}}) }, func(_ *hand, j *Job) []any { return []any{back, j} }, 0, 0},
		{"out", func(h *hand, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(_ *hand, j *Job) []any { return []any{j} }, 1, 0},
		{"as its attempt ends", func(h *hand, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(h *hand, j *Job) []any { return []any{h.ends(policy.ConnectionReset), j} }, 1, 0},
		{"just before its attempt ends", func(h *hand, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(h *hand, j *Job) []any { return []any{j, h.ends(policy.NotConnected)} }, 1, 0},
		{"as it is served", func(h *hand, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(h *hand, j *Job) []any { return []any{h.ends(policy.Served), j} }, 1, 1},
		{"just before it is served", func(h *hand, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(h *hand, j *Job) []any { return []any{j, h.ends(policy.Served)} }, 1, 0},
		{"between attempts", func(h *hand, j *Job) {
			h.step(h.now, []any{submitted{j}})
			h.step(h.now, []any{h.ends(policy.ConnectionReset)})
		}, func(_ *hand, j *Job) []any { return []any{j} }, 1, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := newHand(t)
			var answers []Answer
			j := job("get", h.now, &answers)
			j.Name = "a"
			h.held.Add(1) // as Submit does
			x.before(h, j)
			h.step(h.now, x.batch(h, j))
			h.step(h.now, []any{back})
			h.later(200 * time.Millisecond)
			if e := h.open[j.ID]; e != nil && e.out {
				if len(h.up.cancelled) != 1 {
					t.Errorf("called off: %v", h.up.cancelled)
				}
				h.step(h.now, []any{h.ends(policy.Cancelled)})
			}
			h.later(3 * time.Second)
			if len(h.up.sent) != x.sent || len(answers) != x.answers {
				t.Errorf("%d attempts, %d answers; want %d, %d", len(h.up.sent), len(answers), x.sent, x.answers)
			}
			if len(h.open)+len(h.named)+h.Open() != 0 {
				t.Errorf("kept: %d requests, %d names, %d open", len(h.open), len(h.named), h.Open())
			}
			h.step(h.now, []any{submitted{job("get", h.now, &answers)}, submitted{job("get", h.now, &answers)}})
			if n := len(h.up.sent) - x.sent; n != 2 {
				t.Errorf("%d of the next two are sent: the module holds on to one that left", n)
			}
		})
	}
}

// ends is the end of the attempt that was sent last.
func (h *hand) ends(code policy.OutcomeCode) Result {
	a := h.up.sent[len(h.up.sent)-1]
	return Result{Request: a.Request, Number: a.Number, Node: a.Node, Code: code}
}

// TestAttemptKnowsItsEnds checks what an attempt can tell at its first byte without the core's goroutine: that its client has left, before
// the core has come to hear of it, and that the window for a keyed repeat is over.
func TestAttemptKnowsItsEnds(t *testing.T) {
	h := newHand(t)
	var answers []Answer
	j := job("keyed", h.now, &answers)
	h.step(h.now, []any{submitted{j}})
	first := h.up.sent[0]
	h.step(h.now, []any{Result{Request: first.Request, Node: "n", Code: policy.ConnectionReset}})
	h.later(200 * time.Millisecond)
	if len(h.up.sent) != 2 {
		t.Fatalf("%d attempts, want 2", len(h.up.sent))
	}
	again := h.up.sent[1]
	if !first.Before.IsZero() || again.Before.IsZero() || !again.Before.Before(first.Until.Add(-time.Second)) || again.WriteBy() != again.Before {
		t.Errorf("the first may leave until %v, a repeat until %v; want it within the window", first.Before, again.Before)
	}
	if !again.Allowed() {
		t.Error("within its window, its client there: not allowed")
	}
	h.Depart(j)
	if again.Allowed() {
		t.Error("its client has left: allowed")
	}
}

// answered is a payload that tells when it is let go.
type answered chan bool

func (a answered) Discard() { close(a) }

// TestResultsAtTheEnd has answers that hold something come just before the core ends and after it: they are let go.
func TestResultsAtTheEnd(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	for range 20 { // a core that is to end may still take a batch
		h := newHand(t)
		for _, end := range []func(){func() { h.Run(ctx) }, func() {}} {
			a := make(answered)
			h.Report(Result{Request: "x", Payload: a})
			end()
			select {
			case <-a:
			case <-time.After(10 * time.Second):
				t.Fatal("an answer is held for ever")
			}
		}
	}
}

// TestClockNeverGoesBack steps the core with times out of order.
func TestClockNeverGoesBack(t *testing.T) {
	h := newHand(t)
	before := h.lastStep
	var answers []Answer
	h.step(h.now.Add(-time.Second), []any{submitted{job("get", h.now, &answers)}})
	if h.lastStep < before {
		t.Errorf("clock went from %v to %v", before, h.lastStep)
	}
}

// echo answers each attempt from many goroutines at once.
type echo struct{ core *Core }

func (e *echo) Send(a Attempt) {
	go e.core.Report(Result{Request: a.Request, Number: a.Number, Node: a.Node, Code: policy.Served})
}
func (e *echo) Cancel(string, string) {}

// TestNothingIsLostUnderLoad has many goroutines hand over requests at once, more than the core may hold: each
// taken one has exactly one answer, and what is not taken is said so.
func TestNothingIsLostUnderLoad(t *testing.T) {
	up := &echo{}
	c := New(module(t), up, NewClock(), Options{MostHeld: 500})
	up.core = c
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	c.List(policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}})
	var mu sync.Mutex
	answers := map[string]int{}
	var open, turned sync.WaitGroup
	taken := 0
	for g := range 20 {
		turned.Add(1)
		go func() {
			defer turned.Done()
			for i := range 100 {
				name := fmt.Sprint(g, "/", i)
				j := &Job{Request: policy.Request{Class: "get", Plan: "std", Volume: name, Units: 1, VolumeInitiators: 1},
					Arrived: time.Now(), Patience: 2 * time.Second}
				j.Done = func(Answer) {
					mu.Lock()
					answers[name]++
					mu.Unlock()
					open.Done()
				}
				open.Add(1)
				if !c.Submit(j) {
					open.Done()
					continue
				}
				mu.Lock()
				taken++
				mu.Unlock()
			}
		}()
	}
	turned.Wait()
	open.Wait()
	if len(answers) != taken {
		t.Errorf("%d requests taken, %d answered", taken, len(answers))
	}
	for name, n := range answers {
		if n != 1 {
			t.Errorf("%s: %d answers", name, n)
		}
	}
}

// TestObserver feeds the accounts: a request that is served, one whose client goes, and one that is refused have their time
// accounted for in full, each in the part where it went, and none stays open.
func TestObserver(t *testing.T) {
	h := &hand{up: &fake{}, now: time.Now()}
	book := accounts.New(accounts.Options{MaxVolumes: 10, MaxPairs: 10, MaxOpen: 10})
	h.Core = New(module(t), h.up, NewClock(), Options{MostHeld: 100, Observer: book})
	h.step(h.now, []any{policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
	var answers []Answer
	h.step(h.now, []any{submitted{job("get", h.now, &answers)}})
	began := h.now.Add(3 * time.Millisecond)
	h.now = h.now.Add(40 * time.Millisecond)
	h.step(h.now, []any{Result{Request: h.up.sent[0].Request, Node: "n", Code: policy.Served, Began: began}})
	h.step(h.now, []any{written{h.up.sent[0].Request, h.now.Add(2 * time.Millisecond)}})
	if answers[0].Written == nil {
		t.Fatal("nobody would hear that the answer was written")
	}
	a := book.Account("v")
	want := accounts.Times{accounts.Connect: 3 * time.Millisecond, accounts.AtTarget: 37 * time.Millisecond, accounts.Reply: 2 * time.Millisecond}
	if a == nil || a.Requests != 1 || a.Times != want {
		t.Fatalf("%+v, want %v", a, want)
	}
	goes := job("get", h.now, &answers)
	h.step(h.now, []any{submitted{goes}})
	h.now = h.now.Add(10 * time.Millisecond)
	h.step(h.now, []any{goes})
	h.step(h.now, []any{policy.EndpointList{Full: true}})
	h.step(h.now, []any{submitted{job("get", h.now, &answers)}}) // no node any more: held, and refused
	h.later(2 * time.Second)
	if n := len(answers); n != 2 || answers[1].Ending != Refused {
		t.Fatalf("answers %+v", answers)
	}
	answers[1].Written()
	h.step(h.now, h.box.Take(nil))
	if a.Requests != 3 || a.Times[accounts.LimitWait] < 100*time.Millisecond {
		t.Errorf("%+v: the third was held", a)
	}
	if n := book.OpenRequests(); n != 0 {
		t.Errorf("%d requests stay open", n)
	}
}

// BenchmarkRequests steps the core by hand through requests of 100 volumes, each served, without accounts and with them.
func BenchmarkRequests(b *testing.B) {
	for name, observer := range map[string]Observer{"accounts=off": nil,
		"accounts=on": accounts.New(accounts.Options{MaxVolumes: 4096, MaxPairs: 4096, MaxOpen: 8192})} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			h := &hand{up: &fake{}, now: time.Now()}
			h.Core = New(module(b), h.up, NewClock(), Options{MostHeld: 100, Observer: observer})
			h.step(h.now, []any{policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
			for i := range b.N {
				j := &Job{Request: policy.Request{Class: "get", Plan: "std", Volume: fmt.Sprint("v", i%100), Units: 1, VolumeInitiators: 1},
					Arrived: h.now, Patience: 2 * time.Second, Done: func(a Answer) {
						if a.Written != nil {
							a.Written()
						}
					}}
				h.step(h.now, []any{submitted{j}})
				h.now = h.now.Add(20 * time.Millisecond)
				for _, a := range h.up.sent {
					h.step(h.now, []any{Result{Request: a.Request, Number: a.Number, Node: a.Node, Code: policy.Served, Began: h.now}})
				}
				h.up.sent = h.up.sent[:0]
				h.step(h.now, h.box.Take(nil))
			}
		})
	}
}

// TestAttemptsLastWithinWhatIsLeft has attempt after attempt of a request end, however late the core hears of it: each next one may last no longer
// than its client still waits, less the margin for the answer.
func TestAttemptsLastWithinWhatIsLeft(t *testing.T) {
	for _, code := range []policy.OutcomeCode{policy.Rejected, policy.NotConnected, policy.ConnectionReset, policy.NotSent} {
		for _, behind := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
			h := newHand(t)
			var answers []Answer
			arrived := h.now
			h.now = h.now.Add(behind)
			h.step(h.now, []any{submitted{job("get", arrived, &answers)}})
			for tries := 1; len(answers) == 0; {
				a := h.up.sent[len(h.up.sent)-1]
				if until := arrived.Add(2*time.Second - 10*time.Millisecond); a.Until.After(until) {
					t.Fatalf("code %v, %v behind: attempt %d may last %v too long", code, behind, tries, a.Until.Sub(until))
				}
				h.later(20 * time.Millisecond)
				h.now = h.now.Add(behind)
				h.step(h.now, []any{h.ends(code)})
				for tries == len(h.up.sent) && len(answers) == 0 {
					h.later(5 * time.Millisecond)
				}
				if tries = len(h.up.sent); tries > 100 {
					t.Fatal("it is tried without end")
				}
			}
			if len(h.up.sent) < 2 {
				t.Errorf("code %v, %v behind: no further attempt", code, behind)
			}
		}
	}
}
