package core

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"spindlehitch/internal/datapath/requestid"
	"spindlehitch/internal/observability/accounts"
	"spindlehitch/internal/policy"
)

// fakeUpstream records the calls it receives.
type fakeUpstream struct {
	sent      []Attempt
	cancelled []string
}

func (f *fakeUpstream) Send(a Attempt)           { f.sent = append(f.sent, a) }
func (f *fakeUpstream) Cancel(target, id string) { f.cancelled = append(f.cancelled, target+"/"+id) }

func newScheduler(t testing.TB) *policy.Scheduler {
	t.Helper()
	s, err := policy.New(policy.Settings{Initiators: 1, MinStep: time.Millisecond, MeanUnits: 1, MaxUnits: 1,
		Classes: []policy.Class{{Name: "get", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "put", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, Effect: policy.NonIdempotent},
			{Name: "keyed", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, Effect: policy.IdempotentWithKey, DedupWindow: 500 * time.Millisecond}},
		Plans: []policy.Plan{{Name: "std", Rate: 1000, ReservedRate: 1000, Weight: 1, PriorityFactor: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// testRequestIDTTL differs widely from every other duration used here.
const testRequestIDTTL = 17 * time.Second

// steppedCore is a core that the test steps itself, at a time of its own.
type steppedCore struct {
	*Core
	fake *fakeUpstream
	now  time.Time
}

func newSteppedCore(t *testing.T) *steppedCore {
	h := &steppedCore{fake: &fakeUpstream{}, now: time.Now()}
	h.Core = New(newScheduler(t), h.fake, NewClock(), Options{MaxOpen: 100, Margin: 10 * time.Millisecond, RequestIDs: requestid.New(testRequestIDTTL)})
	h.step(h.now, []any{policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
	return h
}

// requestIDCount returns the number of client request IDs that are kept.
func (h *steppedCore) requestIDCount() int {
	open, mayHaveRun := h.opt.RequestIDs.Count()
	return open + mayHaveRun
}

func newJob(class string, arrived time.Time, responses *[]Response) *Job {
	return &Job{Request: policy.Request{Class: class, Plan: "std", Volume: "v", Units: 1, VolumeInitiators: 1},
		Arrived: arrived, Timeout: 2 * time.Second, Done: func(a Response) { *responses = append(*responses, a) }}
}

// advance moves the time on by d, with a step every 5 ms so that timers fire.
func (h *steppedCore) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(5 * time.Millisecond)
		h.step(h.now, nil)
	}
}

// TestSingleFinalResponse delivers results twice, late and for attempts that were never made: there is one response.
func TestSingleFinalResponse(t *testing.T) {
	h := newSteppedCore(t)
	var responses []Response
	h.step(h.now, []any{submitted{newJob("get", h.now, &responses)}})
	if len(h.fake.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.fake.sent))
	}
	r := Result{RequestID: h.fake.sent[0].RequestID, Target: "n", Code: policy.Served, Payload: "body"}
	wrong := r
	wrong.Number = 3
	h.step(h.now, []any{wrong, r, r})
	h.step(h.now, []any{r})
	if len(responses) != 1 || responses[0].Status != Served || responses[0].Payload != "body" {
		t.Fatalf("responses %+v, want one", responses)
	}
	if len(h.open) != 0 {
		t.Errorf("%d requests still recorded, want none", len(h.open))
	}
}

// TestDuplicateClientRequestID guards against a second copy at a target under the ID of a request that is open, that was
// cancelled with an attempt in flight, or that has run. The ID of a request that was never sent may be used again.
func TestDuplicateClientRequestID(t *testing.T) {
	h := newSteppedCore(t)
	var responses []Response
	submit := func(id, class string) *Job {
		j := newJob(class, h.now, &responses)
		j.ClientRequestID = id
		if !h.Submit(j) {
			t.Fatal("request not accepted")
		}
		h.step(h.now, h.mailbox.Take(nil))
		return j
	}
	conflict := func(when string) {
		t.Helper()
		submit("a", "put")
		if len(responses) == 0 || responses[len(responses)-1].Status != Conflict {
			t.Errorf("%s: responses %+v, want a conflict", when, responses)
		}
	}
	first := submit("a", "put")
	conflict("open")
	h.step(h.now, []any{first})
	conflict("cancelled with its attempt in flight")
	h.step(h.now, []any{Result{RequestID: h.fake.sent[0].RequestID, Target: "n", Code: policy.Cancelled}})
	conflict("may have run")
	served := func(id string) {
		t.Helper()
		submit(id, "get")
		h.step(h.now, []any{h.lastResult(policy.Served)})
	}
	for i := range 2 { // IDs expire when other requests end
		h.now = h.now.Add(testRequestIDTTL/2 - time.Second)
		served(fmt.Sprint("other", i))
	}
	conflict("may have run, a while ago")
	h.fake.sent = h.fake.sent[:1]
	if len(h.fake.sent) != 1 || h.OpenCount() != 0 {
		t.Errorf("%d attempts, %d open; want one, none", len(h.fake.sent), h.OpenCount())
	}
	for range 3 {
		h.now = h.now.Add(testRequestIDTTL + time.Second)
		submit("b", "put")
		last := h.fake.sent[len(h.fake.sent)-1]
		h.step(h.now, []any{Result{RequestID: last.RequestID, Number: last.Number, Target: "n", Code: policy.NotSent}})
		h.step(h.now, []any{policy.EndpointList{Full: true}})
		h.advance(2 * time.Second)
		if got := responses[len(responses)-1]; got.Status != Rejected {
			t.Errorf("never sent: %+v, want it rejected", got)
		}
		h.step(h.now, []any{policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
	}
	served("c")
	if n := h.requestIDCount(); n != 1 {
		t.Errorf("%d IDs are kept, want only the last", n)
	}
	for i := range 2*requestid.MaxExecuted + 10 {
		h.now, h.fake.sent = h.now.Add(time.Millisecond/10), nil
		served(fmt.Sprint("many", i))
	}
	if n := h.requestIDCount(); n > 2*requestid.MaxExecuted || n < requestid.MaxExecuted {
		t.Errorf("%d IDs are kept after many requests, which is out of bounds", n)
	}
}

// TestTimeoutRunsFromArrival guards against counting a request's timeout from when a busy process starts to handle it.
func TestTimeoutRunsFromArrival(t *testing.T) {
	h := newSteppedCore(t)
	var responses []Response
	h.step(h.now, []any{submitted{newJob("get", h.now.Add(-1500*time.Millisecond), &responses)}})
	if len(h.fake.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.fake.sent))
	}
	if left := h.fake.sent[0].Deadline.Sub(h.now); left > 490*time.Millisecond {
		t.Errorf("attempt may last %v, but its client times out in 500ms", left)
	}
}

// TestUncertainWriteIsNotRetried ends the attempt of a write that may have run: there is one failure, no second attempt, and the
// response does not call a retry harmless.
func TestUncertainWriteIsNotRetried(t *testing.T) {
	for _, code := range []policy.OutcomeCode{policy.ConnectionReset, policy.TimedOut, policy.AnsweredError, policy.Cancelled} {
		h := newSteppedCore(t)
		var responses []Response
		h.step(h.now, []any{submitted{newJob("put", h.now, &responses)}})
		h.step(h.now, []any{Result{RequestID: h.fake.sent[0].RequestID, Target: "n", Code: code}})
		h.advance(3 * time.Second)
		if len(h.fake.sent) != 1 || len(responses) != 1 || responses[0].Status != Failed || responses[0].LastOutcome != code {
			t.Errorf("code %v: %d attempts, responses %+v", code, len(h.fake.sent), responses)
		}
	}
}

// TestTargetListIsAppliedFirst checks the order within a batch: a list that marks a target as draining, queued behind a request
// and a result, reaches the scheduler before them, and nothing is sent to that target.
func TestTargetListIsAppliedFirst(t *testing.T) {
	h := newSteppedCore(t)
	var responses []Response
	msgs := func() []any {
		return []any{submitted{newJob("get", h.now, &responses)}, Result{RequestID: "none"},
			policy.EndpointList{Endpoints: []policy.Endpoint{{ID: "n", State: policy.Draining}}}}
	}
	if _, first := h.collectEvents(h.now, msgs())[0].(policy.EndpointList); !first {
		t.Error("the target list is not the first event")
	}
	h.step(h.now, msgs())
	if len(h.fake.sent) != 0 {
		t.Errorf("sent to a draining target: %+v", h.fake.sent)
	}
}

// TestCancelledJobCancelsAttempt checks that the attempt of a cancelled job is cancelled, and that no response is given.
func TestCancelledJobCancelsAttempt(t *testing.T) {
	h := newSteppedCore(t)
	var responses []Response
	j := newJob("get", h.now, &responses)
	h.step(h.now, []any{submitted{j}})
	h.step(h.now, []any{j})
	if len(h.fake.cancelled) != 1 || len(h.open) != 1 {
		t.Fatalf("cancelled %v, %d requests recorded; want the attempt cancelled and the request recorded until its result", h.fake.cancelled, len(h.open))
	}
	h.step(h.now, []any{Result{RequestID: h.fake.sent[0].RequestID, Target: "n", Code: policy.Cancelled}})
	h.advance(3 * time.Second)
	if len(responses) != 0 || len(h.open) != 0 {
		t.Errorf("responses %v, %d requests recorded; want none", responses, len(h.open))
	}
}

// TestCancelInEachState cancels a job in every state of its request, also in one batch with the message just before or just after: no attempt
// starts from then on, one in flight is cancelled, only a response that came first is given, and no record of the request remains.
func TestCancelInEachState(t *testing.T) {
	noTargets, oneTarget := policy.EndpointList{Full: true}, policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}
	for _, x := range []struct {
		name      string
		before    func(h *steppedCore, j *Job)
		batch     func(h *steppedCore, j *Job) []any // with the cancellation
		sent      int
		responses int
	}{
		{"with the submission", func(*steppedCore, *Job) {}, func(_ *steppedCore, j *Job) []any { return []any{submitted{j}, j} }, 0, 0},
		{"with the submission and the list", func(h *steppedCore, _ *Job) { h.step(h.now, []any{noTargets}) }, func(_ *steppedCore, j *Job) []any { return []any{submitted{j}, oneTarget, j} }, 0, 0},
		{"queued", func(h *steppedCore, j *Job) { h.step(h.now, []any{noTargets}); h.step(h.now, []any{submitted{j}}) }, func(_ *steppedCore, j *Job) []any { return []any{j} }, 0, 0},
		{"queued, with the list", func(h *steppedCore, j *Job) { h.step(h.now, []any{noTargets}); h.step(h.now, []any{submitted{j}}) }, func(_ *steppedCore, j *Job) []any { return []any{oneTarget, j} }, 0, 0},
		{"attempt in flight", func(h *steppedCore, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(_ *steppedCore, j *Job) []any { return []any{j} }, 1, 0},
		{"just after its attempt ends", func(h *steppedCore, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(h *steppedCore, j *Job) []any { return []any{h.lastResult(policy.ConnectionReset), j} }, 1, 0},
		{"just before its attempt ends", func(h *steppedCore, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(h *steppedCore, j *Job) []any { return []any{j, h.lastResult(policy.NotConnected)} }, 1, 0},
		{"just after it is served", func(h *steppedCore, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(h *steppedCore, j *Job) []any { return []any{h.lastResult(policy.Served), j} }, 1, 1},
		{"just before it is served", func(h *steppedCore, j *Job) { h.step(h.now, []any{submitted{j}}) }, func(h *steppedCore, j *Job) []any { return []any{j, h.lastResult(policy.Served)} }, 1, 0},
		{"between attempts", func(h *steppedCore, j *Job) {
			h.step(h.now, []any{submitted{j}})
			h.step(h.now, []any{h.lastResult(policy.ConnectionReset)})
		}, func(_ *steppedCore, j *Job) []any { return []any{j} }, 1, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := newSteppedCore(t)
			var responses []Response
			j := newJob("get", h.now, &responses)
			j.ClientRequestID = "a"
			h.openCount.Add(1) // as Submit does
			x.before(h, j)
			h.step(h.now, x.batch(h, j))
			h.step(h.now, []any{oneTarget})
			h.advance(200 * time.Millisecond)
			if e := h.open[j.ID]; e != nil && e.inFlight {
				if len(h.fake.cancelled) != 1 {
					t.Errorf("attempts cancelled: %v, want one", h.fake.cancelled)
				}
				h.step(h.now, []any{h.lastResult(policy.Cancelled)})
			}
			h.advance(3 * time.Second)
			if len(h.fake.sent) != x.sent || len(responses) != x.responses {
				t.Errorf("%d attempts, %d responses; want %d, %d", len(h.fake.sent), len(responses), x.sent, x.responses)
			}
			if openIDs, _ := h.opt.RequestIDs.Count(); len(h.open)+openIDs+h.OpenCount() != 0 {
				t.Errorf("remaining: %d records, %d IDs, %d open; want none", len(h.open), openIDs, h.OpenCount())
			}
			h.step(h.now, []any{submitted{newJob("get", h.now, &responses)}, submitted{newJob("get", h.now, &responses)}})
			if n := len(h.fake.sent) - x.sent; n != 2 {
				t.Errorf("%d of the next two are sent, want 2: the scheduler still counts the cancelled request", n)
			}
		})
	}
}

// lastResult returns a result with the given code for the attempt that was sent last.
func (h *steppedCore) lastResult(code policy.OutcomeCode) Result {
	a := h.fake.sent[len(h.fake.sent)-1]
	return Result{RequestID: a.RequestID, Number: a.Number, Target: a.Target, Code: code}
}

// TestAttemptMaySend checks MaySend, which is called just before the first byte: it is false once the client has disconnected, even if the
// core has not processed the cancellation, and after the time until which a retry with an idempotency key may be sent.
func TestAttemptMaySend(t *testing.T) {
	h := newSteppedCore(t)
	var responses []Response
	j := newJob("keyed", h.now, &responses)
	h.step(h.now, []any{submitted{j}})
	first := h.fake.sent[0]
	h.step(h.now, []any{Result{RequestID: first.RequestID, Target: "n", Code: policy.ConnectionReset}})
	h.advance(200 * time.Millisecond)
	if len(h.fake.sent) != 2 {
		t.Fatalf("%d attempts, want 2", len(h.fake.sent))
	}
	retry := h.fake.sent[1]
	if !first.SendBefore.IsZero() || retry.SendBefore.IsZero() || !retry.SendBefore.Before(first.Deadline.Add(-time.Second)) || retry.WriteDeadline() != retry.SendBefore {
		t.Errorf("the first attempt may be sent until %v, the retry until %v; want the retry limited to the window", first.SendBefore, retry.SendBefore)
	}
	if !retry.MaySend() {
		t.Error("within its window and with its client connected, it may not be sent")
	}
	h.Cancel(j)
	if retry.MaySend() {
		t.Error("after its client has disconnected, it may be sent")
	}
}

// notifyingPayload is a payload that is closed when it is discarded.
type notifyingPayload chan bool

func (a notifyingPayload) Discard() { close(a) }

// TestResultsAfterStopAreDiscarded reports results that hold resources just before the core stops and after it: they are discarded.
func TestResultsAfterStopAreDiscarded(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	for range 20 { // Run may still take a batch although its context has ended
		h := newSteppedCore(t)
		for _, end := range []func(){func() { h.Run(ctx) }, func() {}} {
			a := make(notifyingPayload)
			h.Report(Result{RequestID: "x", Payload: a})
			end()
			select {
			case <-a:
			case <-time.After(10 * time.Second):
				t.Fatal("the payload was not discarded")
			}
		}
	}
}

// TestClockNeverGoesBack steps the core with times out of order.
func TestClockNeverGoesBack(t *testing.T) {
	h := newSteppedCore(t)
	before := h.lastStep
	var responses []Response
	h.step(h.now.Add(-time.Second), []any{submitted{newJob("get", h.now, &responses)}})
	if h.lastStep < before {
		t.Errorf("clock went from %v to %v", before, h.lastStep)
	}
}

// echoUpstream reports each attempt as served, from a goroutine of its own.
type echoUpstream struct{ core *Core }

func (e *echoUpstream) Send(a Attempt) {
	go e.core.Report(Result{RequestID: a.RequestID, Number: a.Number, Target: a.Target, Code: policy.Served})
}
func (e *echoUpstream) Cancel(string, string) {}

// TestOneResponsePerRequestUnderLoad submits requests from many goroutines at once, more than may be open: each accepted
// request has exactly one response, and Submit returns false for the others.
func TestOneResponsePerRequestUnderLoad(t *testing.T) {
	up := &echoUpstream{}
	c := New(newScheduler(t), up, NewClock(), Options{MaxOpen: 500})
	up.core = c
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	c.UpdateTargets(policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}})
	var mu sync.Mutex
	responses := map[string]int{}
	var pending, submitters sync.WaitGroup
	accepted := 0
	for g := range 20 {
		submitters.Add(1)
		go func() {
			defer submitters.Done()
			for i := range 100 {
				name := fmt.Sprint(g, "/", i)
				j := &Job{Request: policy.Request{Class: "get", Plan: "std", Volume: name, Units: 1, VolumeInitiators: 1},
					Arrived: time.Now(), Timeout: 2 * time.Second}
				j.Done = func(Response) {
					mu.Lock()
					responses[name]++
					mu.Unlock()
					pending.Done()
				}
				pending.Add(1)
				if !c.Submit(j) {
					pending.Done()
					continue
				}
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		}()
	}
	submitters.Wait()
	pending.Wait()
	if len(responses) != accepted {
		t.Errorf("%d requests accepted, %d responses", accepted, len(responses))
	}
	for name, n := range responses {
		if n != 1 {
			t.Errorf("%s: %d responses", name, n)
		}
	}
}

// TestObserver connects the core to the accounts: the whole time of a request that is served, of one that is cancelled and of one
// that is rejected is accounted for, each under the part where it was spent, and none stays open.
func TestObserver(t *testing.T) {
	h := &steppedCore{fake: &fakeUpstream{}, now: time.Now()}
	recorder := accounts.New(accounts.Options{MaxVolumes: 10, MaxPairs: 10, MaxOpen: 10})
	h.Core = New(newScheduler(t), h.fake, NewClock(), Options{MaxOpen: 100, Observer: recorder})
	h.step(h.now, []any{policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
	var responses []Response
	h.step(h.now, []any{submitted{newJob("get", h.now, &responses)}})
	sendStarted := h.now.Add(3 * time.Millisecond)
	h.now = h.now.Add(40 * time.Millisecond)
	h.step(h.now, []any{Result{RequestID: h.fake.sent[0].RequestID, Target: "n", Code: policy.Served, SendStarted: sendStarted}})
	h.step(h.now, []any{responseWritten{h.fake.sent[0].RequestID, h.now.Add(2 * time.Millisecond)}})
	if responses[0].OnWritten == nil {
		t.Fatal("OnWritten is not set: the observer would not be notified that the response was written")
	}
	a := recorder.Account("v")
	want := accounts.Times{accounts.Connect: 3 * time.Millisecond, accounts.AtTarget: 37 * time.Millisecond, accounts.Reply: 2 * time.Millisecond}
	if a == nil || a.Requests != 1 || a.Times != want {
		t.Fatalf("%+v, want %v", a, want)
	}
	cancelledJob := newJob("get", h.now, &responses)
	h.step(h.now, []any{submitted{cancelledJob}})
	h.now = h.now.Add(10 * time.Millisecond)
	h.step(h.now, []any{cancelledJob})
	h.step(h.now, []any{policy.EndpointList{Full: true}})
	h.step(h.now, []any{submitted{newJob("get", h.now, &responses)}}) // there is no target: queued, then rejected
	h.advance(2 * time.Second)
	if n := len(responses); n != 2 || responses[1].Status != Rejected {
		t.Fatalf("responses %+v", responses)
	}
	responses[1].OnWritten()
	h.step(h.now, h.mailbox.Take(nil))
	if a.Requests != 3 || a.Times[accounts.LimitWait] < 100*time.Millisecond {
		t.Errorf("%+v: want 3 requests, the third with its time in the queue", a)
	}
	if n := recorder.OpenRequests(); n != 0 {
		t.Errorf("%d requests stay open", n)
	}
}

// BenchmarkRequests steps the core through requests of 100 volumes, each served, without accounts and with them.
func BenchmarkRequests(b *testing.B) {
	for name, observer := range map[string]Observer{"accounts=off": nil,
		"accounts=on": accounts.New(accounts.Options{MaxVolumes: 4096, MaxPairs: 4096, MaxOpen: 8192})} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			h := &steppedCore{fake: &fakeUpstream{}, now: time.Now()}
			h.Core = New(newScheduler(b), h.fake, NewClock(), Options{MaxOpen: 100, Observer: observer})
			h.step(h.now, []any{policy.EndpointList{Full: true, Endpoints: []policy.Endpoint{{ID: "n"}}}})
			for i := range b.N {
				j := &Job{Request: policy.Request{Class: "get", Plan: "std", Volume: fmt.Sprint("v", i%100), Units: 1, VolumeInitiators: 1},
					Arrived: h.now, Timeout: 2 * time.Second, Done: func(a Response) {
						if a.OnWritten != nil {
							a.OnWritten()
						}
					}}
				h.step(h.now, []any{submitted{j}})
				h.now = h.now.Add(20 * time.Millisecond)
				for _, a := range h.fake.sent {
					h.step(h.now, []any{Result{RequestID: a.RequestID, Number: a.Number, Target: a.Target, Code: policy.Served, SendStarted: h.now}})
				}
				h.fake.sent = h.fake.sent[:0]
				h.step(h.now, h.mailbox.Take(nil))
			}
		})
	}
}

// TestAttemptDeadlinesWithinTimeout ends one attempt of a request after another, with the core behind by various times: each next attempt may
// last no longer than the rest of the client's timeout, less the margin for the response.
func TestAttemptDeadlinesWithinTimeout(t *testing.T) {
	for _, code := range []policy.OutcomeCode{policy.Rejected, policy.NotConnected, policy.ConnectionReset, policy.NotSent} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
			h := newSteppedCore(t)
			var responses []Response
			arrived := h.now
			h.now = h.now.Add(delay)
			h.step(h.now, []any{submitted{newJob("get", arrived, &responses)}})
			for tries := 1; len(responses) == 0; {
				a := h.fake.sent[len(h.fake.sent)-1]
				if until := arrived.Add(2*time.Second - 10*time.Millisecond); a.Deadline.After(until) {
					t.Fatalf("code %v, %v behind: attempt %d may last %v too long", code, delay, tries, a.Deadline.Sub(until))
				}
				h.advance(20 * time.Millisecond)
				h.now = h.now.Add(delay)
				h.step(h.now, []any{h.lastResult(code)})
				for tries == len(h.fake.sent) && len(responses) == 0 {
					h.advance(5 * time.Millisecond)
				}
				if tries = len(h.fake.sent); tries > 100 {
					t.Fatal("more than 100 attempts")
				}
			}
			if len(h.fake.sent) < 2 {
				t.Errorf("code %v, %v behind: no further attempt", code, delay)
			}
		}
	}
}
