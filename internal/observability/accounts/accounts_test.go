package accounts

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const ms = time.Millisecond

// TestPhasesAddUp reports random events to a Recorder, in order of time: the phases of each volume's requests add up to their
// total time, no more time is attributed than was waited, and no bound is exceeded.
func TestPhasesAddUp(t *testing.T) { //nolint:gocognit // one scenario, step by step
	rapid.Check(t, func(t *rapid.T) {
		opt := Options{MaxVolumes: 3, MaxPairs: 4, MaxOpen: 6}
		rec := New(opt)
		total, requests := map[string]time.Duration{}, uint64(0)
		arrived, volume := map[string]time.Duration{}, map[string]string{}
		now := time.Duration(0)
		few := rapid.Bool().Draw(t, "few volumes")
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * ms
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			target := fmt.Sprint("n", rapid.IntRange(0, 1).Draw(t, "target"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if rec.open[id] != nil {
					continue
				}
				v := fmt.Sprint("v", rapid.IntRange(0, 2+4*map[bool]int{false: 1}[few]).Draw(t, "volume"))
				rec.Arrive(now, policy.Request{ID: id, Volume: v})
				if rec.open[id] != nil {
					arrived[id], volume[id] = now, v
				}
			case 1:
				rec.Release(now, id, target, time.Duration(rapid.IntRange(-50, 500).Draw(t, "tag lead"))*ms, rapid.Bool().Draw(t, "sent"))
			case 2:
				rec.AttemptStarted(now, id)
			case 3:
				rec.AttemptEnded(now, id, rapid.Bool().Draw(t, "answered"))
			case 4:
				if rec.open[id] != nil {
					total[volume[id]] += now - arrived[id]
					requests++
				}
				rec.End(now, id)
			case 5:
				rec.ForgetUnlisted(func(n string) bool { return n == "n0" })
			}
			if len(rec.volumes) > opt.MaxVolumes || len(rec.Attributions()) > opt.MaxPairs || len(rec.open) > opt.MaxOpen {
				t.Fatalf("beyond the bounds: %d volumes, %d pairs, %d open", len(rec.volumes), len(rec.Attributions()), len(rec.open))
			}
		}
		for id := range rec.open {
			total[volume[id]] += now - arrived[id]
			requests++
			rec.End(now, id)
		}
		rec.ForgetUnlisted(func(string) bool { return false })
		var accounted uint64
		var limitWait time.Duration
		for v, a := range rec.volumes {
			accounted += a.Requests
			limitWait += a.Times[LimitWait]
			for p, d := range a.Times {
				if d < 0 {
					t.Fatalf("%s: %v in phase %v", v, d, Phase(p))
				}
			}
			if few && a.Times.Total() != total[v] {
				t.Fatalf("%s: phases %v add up to %v, its requests took %v", v, a.Times, a.Times.Total(), total[v])
			}
		}
		if few && (accounted != requests || rec.Dropped.Volumes != 0) {
			t.Fatalf("%d of %d requests recorded, %+v", accounted, requests, rec.Dropped)
		}
		if few && rec.attributions.total > limitWait+time.Duration(requests) {
			t.Fatalf("%v attributed of %v waited", rec.attributions.total, limitWait)
		}
	})
}

// job is a request of the simulation below.
type job struct {
	at     time.Duration
	volume string
	work   time.Duration
}

// simulate serves jobs at a simulated target that processes two at a time and stalls in the given spans, while the initiator has
// at most four attempts open, and returns a Recorder that all events were reported to.
func simulate(t *testing.T, jobs []job, stalls ...span) *Recorder {
	t.Helper()
	slices.SortStableFunc(jobs, func(a, b job) int { return cmp.Compare(a.at, b.at) })
	rec := New(Options{MaxVolumes: 100, MaxPairs: 100, MaxOpen: 10000})
	type work struct {
		id   string
		left time.Duration
	}
	var held, out []work
	const step = 500 * time.Microsecond
	next := 0
	for now := time.Duration(0); next < len(jobs) || len(held)+len(out) > 0; now += step {
		if now > time.Minute {
			t.Fatal("the simulation does not end")
		}
		for ; next < len(jobs) && jobs[next].at <= now; next++ {
			id := fmt.Sprint(next)
			rec.Arrive(now, policy.Request{ID: id, Volume: jobs[next].volume})
			held = append(held, work{id, jobs[next].work})
		}
		stalled := slices.ContainsFunc(stalls, func(s span) bool { return s.from <= now && now < s.to })
		if !stalled {
			for i := range min(2, len(out)) {
				out[i].left -= step
			}
			for i := 0; i < len(out); {
				if out[i].left > 0 {
					i++
					continue
				}
				rec.AttemptEnded(now, out[i].id, true)
				rec.End(now, out[i].id)
				out = slices.Delete(out, i, i+1)
			}
		}
		for len(out) < 4 && len(held) > 0 {
			rec.Release(now, held[0].id, "node", 0, true)
			rec.AttemptStarted(now, held[0].id)
			out, held = append(out, held[0]), held[1:]
		}
	}
	return rec
}

// steadyLoad returns the base load: three volumes with about 60 requests a second in total, of about 20 ms each.
func steadyLoad() (jobs []job) {
	rng := rand.New(rand.NewPCG(1, 1))
	for at := time.Duration(0); at < 6*time.Second; at += time.Duration(rng.ExpFloat64() * 16 * float64(ms)) {
		jobs = append(jobs, job{at, fmt.Sprint("v", rng.IntN(3)), time.Duration(15+rng.IntN(10)) * ms})
	}
	return jobs
}

// waited returns, by cause, how long volumes other than the named one waited.
func waited(rec *Recorder, except string) map[WaitPair]time.Duration {
	sum := map[WaitPair]time.Duration{}
	for _, x := range rec.Attributions() {
		if x.Volume != except {
			sum[WaitPair{Cause: x.Cause, Stall: x.Stall}] += x.Waited
		}
	}
	return sum
}

func heaviest(sum map[WaitPair]time.Duration) (worst WaitPair) {
	for p, d := range sum {
		if d > sum[worst] {
			worst = p
		}
	}
	return worst
}

// TestSurgeIsAttributed adds a surge of one volume to the base load: most of the others' waiting is attributed to it.
func TestSurgeIsAttributed(t *testing.T) {
	jobs := steadyLoad()
	for i := range 120 {
		jobs = append(jobs, job{2*time.Second + time.Duration(i)*5*ms, "greedy", 20 * ms})
	}
	rec := simulate(t, jobs)
	sum := waited(rec, "greedy")
	if worst := heaviest(sum); worst != (WaitPair{Cause: "greedy"}) {
		t.Errorf("longest wait attributed to %+v: %v", worst, sum)
	}
	if rec.targets["node"].Stalls > 0 {
		t.Errorf("%d stalls of a target that never stalled", rec.targets["node"].Stalls)
	}
}

// TestStallIsAttributed stalls the target twice for 240 ms: most of that time is found, and most waiting is attributed to the
// target, not to other volumes.
func TestStallIsAttributed(t *testing.T) {
	rec := simulate(t, steadyLoad(), span{2 * time.Second, 2240 * ms}, span{4 * time.Second, 4240 * ms})
	n := rec.targets["node"]
	if n.Stalls != 2 || n.StalledFor < 300*ms || n.StalledFor > 560*ms {
		t.Errorf("%d stalls, %v of 480 ms found", n.Stalls, n.StalledFor)
	}
	sum := waited(rec, "")
	if worst := heaviest(sum); worst != (WaitPair{Cause: "node", Stall: true}) {
		t.Errorf("longest wait attributed to %+v: %v", worst, sum)
	}
	for v, a := range rec.volumes {
		if a.Times[Stalled] == 0 {
			t.Errorf("%s: no time at a stalled target", v)
		}
	}
}

// TestCostlyRequestsAreNoStall adds simultaneous costly requests to half of the base load: waiting is attributed to their
// volume, not to a stall. The load is halved so that other volumes do not queue behind one another long afterwards.
func TestCostlyRequestsAreNoStall(t *testing.T) {
	var jobs []job
	for i, j := range steadyLoad() {
		if i%2 == 0 {
			jobs = append(jobs, j)
		}
	}
	for i := range 10 {
		jobs = append(jobs, job{2*time.Second + time.Duration(i)*ms, "costly", time.Duration(150+40*i) * ms})
	}
	rec := simulate(t, jobs)
	if n := rec.targets["node"]; n.Stalls > 0 {
		t.Errorf("%d stalls, %v, of a target that never stalled", n.Stalls, n.StalledFor)
	}
	if worst := heaviest(waited(rec, "costly")); worst != (WaitPair{Cause: "costly"}) {
		t.Errorf("longest wait attributed to %+v", worst)
	}
}

// TestSurgeAndStallAreAttributed has a surge and a stall at different times: waiting is attributed to each of them.
func TestSurgeAndStallAreAttributed(t *testing.T) {
	jobs := steadyLoad()
	for i := range 80 {
		jobs = append(jobs, job{1*time.Second + time.Duration(i)*6*ms, "greedy", 20 * ms})
	}
	rec := simulate(t, jobs, span{4 * time.Second, 4240 * ms})
	sum := waited(rec, "greedy")
	greedy, stalled := sum[WaitPair{Cause: "greedy"}], sum[WaitPair{Cause: "node", Stall: true}]
	if greedy < 500*ms || stalled < 100*ms || rec.targets["node"].Stalls != 1 {
		t.Errorf("%v behind the surge, %v behind the stall, %d stalls", greedy, stalled, rec.targets["node"].Stalls)
	}
}

// TestClientLeaves ends a request whose client leaves while it is held, and one whose client leaves during an attempt.
func TestClientLeaves(t *testing.T) {
	rec := New(Options{MaxVolumes: 10, MaxPairs: 10, MaxOpen: 10})
	rec.Arrive(0, policy.Request{ID: "held", Volume: "v"})
	rec.End(30*ms, "held")
	rec.Arrive(30*ms, policy.Request{ID: "out", Volume: "v"})
	rec.Release(40*ms, "out", "n", 4*ms, true)
	rec.AttemptStarted(42*ms, "out")
	rec.End(60*ms, "out")
	want := Times{BucketWait: 4 * ms, LimitWait: 6 * ms, Connect: 2 * ms, AtTarget: 18 * ms, Reply: 30 * ms}
	if a := rec.Account("v"); a == nil || a.Times != want || a.Requests != 2 {
		t.Errorf("%+v, want %v", a, want)
	}
	if len(rec.targets["n"].openAttempts) > 0 || len(rec.open) > 0 {
		t.Error("state of ended requests is kept")
	}
}

// TestHeavyHittersBound checks the bounds of SpaceSaving: no pair with more than total/capacity is missing, and no pair is
// overestimated by more than its Overestimate.
func TestHeavyHittersBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, truth := newHeavyHitters(5), map[WaitPair]time.Duration{}
		for range rapid.IntRange(0, 200).Draw(t, "adds") {
			p := WaitPair{Volume: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "pair"))}
			d := time.Duration(rapid.IntRange(1, 1000).Draw(t, "time"))
			truth[p] += d
			h.add(p, d)
		}
		listed := map[WaitPair]bool{}
		for _, x := range h.list() {
			listed[x.WaitPair] = true
			if x.Waited < truth[x.WaitPair] || x.Waited-x.Overestimate > truth[x.WaitPair] {
				t.Fatalf("%+v, true wait %v", x, truth[x.WaitPair])
			}
		}
		for p, d := range truth {
			if d > h.total/5 && !listed[p] {
				t.Fatalf("a pair with %v of %v is missing", d, h.total)
			}
		}
	})
}

// TestPercentilesWithinAccuracy compares a volume's percentiles with the exact ones.
func TestPercentilesWithinAccuracy(t *testing.T) {
	rec := New(Options{MaxVolumes: 1, MaxPairs: 1, MaxOpen: 1})
	var all []float64
	now, rng := time.Duration(0), rand.New(rand.NewPCG(3, 3))
	for range 5000 {
		d := time.Duration(math.Exp(rng.NormFloat64()*1.5) * float64(20*ms))
		rec.Arrive(now, policy.Request{ID: "x", Volume: "v"})
		now += d
		rec.End(now, "x")
		all = append(all, d.Seconds())
	}
	slices.Sort(all)
	for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
		got, err := rec.Account("v").Latency.GetValueAtQuantile(q)
		exact := all[int(q*float64(len(all)-1))]
		if err != nil || math.Abs(got-exact) > Accuracy*exact*1.01 {
			t.Errorf("p%v: %v, exact value %v, %v", 100*q, got, exact, err)
		}
	}
}

// TestMerge merges the snapshots of two instances: sums are exact, percentiles equal those of a single Recorder of all requests,
// and pairs are within their overestimates.
func TestMerge(t *testing.T) {
	both, each := New(Options{MaxVolumes: 9, MaxPairs: 9, MaxOpen: 9}), [2]*Recorder{}
	rng, now := rand.New(rand.NewPCG(5, 5)), time.Duration(0)
	for i := range each {
		each[i] = New(Options{MaxVolumes: 9, MaxPairs: 9, MaxOpen: 9})
	}
	for i := range 4000 {
		took := time.Duration(rng.ExpFloat64() * float64(30*ms))
		for _, rec := range []*Recorder{both, each[i%2]} {
			rec.Arrive(now, policy.Request{ID: "x", Volume: fmt.Sprint("v", i%3)})
			rec.End(now+took, "x")
		}
		now += took
	}
	for i, rec := range each {
		rec.attributions.add(WaitPair{Volume: "v1", Cause: "v2"}, time.Duration(i+1)*time.Second)
	}
	at := time.Unix(1000, 0)
	m, err := Merge(each[0].SnapshotAndReset("a", at, at.Add(time.Minute)), each[1].SnapshotAndReset("b", at.Add(time.Minute), at.Add(2*time.Minute)))
	if err != nil || m.Validate() != nil {
		t.Fatal(err, m.Validate())
	}
	want := both.Snapshot("all", at, at.Add(2*time.Minute))
	for i := range want.Volumes {
		got, exp := &m.Volumes[i], &want.Volumes[i]
		p, err1 := got.Percentiles(0.5, 0.99)
		q, err2 := exp.Percentiles(0.5, 0.99)
		if err1 != nil || err2 != nil || got.Requests != exp.Requests || got.Times != exp.Times || !slices.Equal(p, q) {
			t.Errorf("%s: %d %v %v, want %d %v %v", got.Volume, got.Requests, got.Times, p, exp.Requests, exp.Times, q)
		}
	}
	if len(m.Attributions) != 1 || m.Attributions[0].Waited != 3*time.Second || !m.To.Equal(at.Add(2*time.Minute)) {
		t.Errorf("merged attributions: %+v", m.Attributions)
	}
	if each[0].Snapshot("a", at, at); len(each[0].volumes) != 0 {
		t.Error("SnapshotAndReset has kept accounts")
	}
	full := Snapshot{Attributions: []Attribution{{WaitPair: WaitPair{Volume: "x"}, Waited: 9 * ms}, {WaitPair: WaitPair{Volume: "y"}, Waited: 4 * ms, Overestimate: ms}}}
	other := Snapshot{Attributions: []Attribution{{WaitPair: WaitPair{Volume: "z"}, Waited: 20 * ms}}}
	for _, m := range [][]Snapshot{{full, other}, {other, full}} {
		s, err := Merge(m...)
		if err != nil || s.Attributions[0].Volume != "z" || s.Attributions[0].Waited != 24*ms || s.Attributions[0].Overestimate != 4*ms {
			t.Errorf("a pair that a full snapshot may have replaced: %+v, %v", s.Attributions, err)
		}
	}
}

// TestLeastRecentlyUsedAccountIsEvicted creates more accounts than MaxVolumes, also after SnapshotAndReset.
func TestLeastRecentlyUsedAccountIsEvicted(t *testing.T) {
	rec := New(Options{MaxVolumes: 2, MaxPairs: 1, MaxOpen: 1})
	use := func(volumes ...string) {
		for _, v := range volumes {
			rec.Arrive(0, policy.Request{ID: "x", Volume: v})
			rec.End(0, "x")
		}
	}
	use("a", "b", "a", "c")
	if rec.Account("a") == nil || rec.Account("b") != nil || rec.Account("c") == nil || rec.Dropped.Volumes != 1 {
		t.Errorf("kept %v, %+v", rec.volumes, rec.Dropped)
	}
	rec.SnapshotAndReset("n", time.Unix(0, 0), time.Unix(1, 0))
	use("d", "e", "f")
	if rec.Account("d") != nil || rec.Account("f") == nil || len(rec.volumes) != 2 || rec.lru.Len() != 2 {
		t.Errorf("after SnapshotAndReset: %v", rec.volumes)
	}
}
